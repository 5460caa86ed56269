"""Attempts and what may happen between the decision and the first byte: the client leaves, the host drains,
time passes.
"""

import threading

import pytest
from stubs import (
    SETTINGS,
    TYPES,
    Gate,
    client,
    delay_connects,
    open_line,
    running,
    serve,
    settings,
    wait_for_list,
    wait_until,
)

from cottonspread import config
from cottonspread.net import events as ev
from cottonspread.net import workers
from cottonspread.net.admission import Admission


@pytest.mark.parametrize("how", ("close", "reset", "half"))
def test_nothing_is_sent_if_the_client_left_while_the_host_connection_was_opening(
    hosts, list_server, how, monkeypatch
):
    """The client's end is far back in the event queue: here the reducer does not get it in time."""
    gate, release = delay_connects(monkeypatch), threading.Event()

    def before(node):
        post = node.workers.post

        def post_late(event):
            if isinstance(event, ev.ReadEnded) and event.end.is_client:
                release.wait(10)
            post(event)

        node.workers.post = post_late

    with running(list_server, before) as node:
        wait_for_list(node)
        conn = client(node, open_line(1))
        assert gate.reached.wait(10)
        conn.close(how)
        wait_until(
            lambda: any(workers.peer_closed(w.sock) for w in list(node.workers.live) if w.end.is_client),
            "the client's end has not arrived",
        )
        gate.open.set()
        first = next(host for host in hosts if host.has_connection())
        assert first.accept().read_all() == b"", "sent although the client had left"
        node.seen.wait(ev.WriteDone, lambda e: e.skip_reason == "client-gone")
        release.set()
        wait_until(lambda: node.end_reasons["left-in-setup"] == 1, "not ended")
        assert not any(host.has_connection() for host in hosts)


def test_nothing_is_sent_for_a_burst_of_clients_that_leave_at_once(hosts, list_server):
    """Hundreds of clients connected, sent their first line and left while the node was busy."""
    gate, lines_read = Gate(), threading.Semaphore(0)

    def before(node):
        node.reducer.handlers[ev.ReloadRejected] = lambda e: gate.wait()
        post = node.workers.post

        def post_counted(event):
            if isinstance(event, ev.LinesRead):
                lines_read.release()
            post(event)

        node.workers.post = post_counted

    with running(list_server, before, sockets=1024) as node:
        wait_for_list(node)
        node.post_urgent(ev.ReloadRejected())
        assert gate.reached.wait(10)
        clients = [client(node, open_line(n)) for n in range(150)]
        wait_until(lambda: len(node.workers.live) == len(clients), "not all accepted")
        for conn in clients:
            conn.close()
        gate.open.set()
        wait_until(lambda: sum(node.end_reasons.values()) == len(clients), "not all ended")
        for host in hosts:
            while host.has_connection():
                assert host.accept().read_all() == b""
        # 8: the number of call set-ups that may be in progress at once
        assert node.end_reasons["left-in-setup"] >= 8 and node.end_reasons.keys() <= {
            "left-in-setup",
            "rejected",
        }


def test_nothing_is_sent_to_a_host_that_began_to_drain_while_its_connection_was_opening(
    hosts, list_server, monkeypatch
):
    gate = delay_connects(monkeypatch, lambda nth: nth == 1)
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1))
        assert gate.reached.wait(10)
        first, other = sorted(hosts, key=lambda h: not h.has_connection())
        list_server.change(first, "Terminating")
        wait_for_list(node, 2)
        gate.open.set()
        assert first.accept().read_all() == b""
        peer = other.accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ")
        peer.send_lines(b"UP r")
        assert conn.read_line() == b"UP r"
        peer.close()


def test_a_keyed_call_is_not_retried_after_the_deduplication_time(hosts, list_server, monkeypatch):
    """The second attempt is decided on in time, but its connection is established too late.

    Hosts recognise repeats for 400 ms.
    """
    gate = delay_connects(monkeypatch, lambda nth: nth == 2)
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "marked"))
        first = next(
            h
            for h in hosts
            if wait_until(lambda: any(h.has_connection() for h in hosts), "no connection has arrived") is None
            and h.has_connection()
        )
        peer = first.accept()
        started_at = node.clock.now()
        assert peer.read_line().startswith(b"OPEN ")
        peer.close("reset")
        assert gate.reached.wait(10)
        wait_until(lambda: node.clock.now() - started_at > 450_000, "the clock does not advance")
        gate.open.set()
        other = next(h for h in hosts if h is not first)
        assert other.accept().read_all() == b""
        assert conn.read_line().startswith(
            b"BUSY"
        )  # all hosts recognise repeats: the client may safely try again


def keyed_settings(scope, zones):
    """Settings with one type, "marked", of keyed calls that the hosts of one cell or zone recognise."""
    marked = {**TYPES[2], "KeyScope": scope, "KeyTtl": 4000}
    return {**SETTINGS, "TrafficTypes": [marked], "Zones": zones}


def assert_not_retried_elsewhere(conn, peer, other):
    """The first host, at `peer`, may have run the call: it fails without an attempt at the other host."""
    peer.close("reset")
    assert conn.read_line() == b"ERR"
    assert not other.has_connection(), "retried at a host that does not recognise the repeat"


@pytest.mark.parametrize("zones", (("x", "y"), (None, None)))
def test_a_keyed_call_is_not_retried_in_another_zone_that_the_settings_do_not_name(hosts, list_server, zones):
    """Guards against a repeat in another zone: zones that the settings did not name were taken for one."""
    for host, zone in zip(hosts, zones, strict=True):
        host.entry["zone"] = zone
    list_server.add(*hosts)
    with running(list_server, settings=keyed_settings("zone", ["here"])) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "marked"))
        peer = serve(hosts)
        other = next(host for host in hosts if host.listener.getsockname() != peer.sock.getsockname())
        assert_not_retried_elsewhere(conn, peer, other)


def test_a_keyed_call_is_not_retried_in_another_zone_after_a_reload_that_reorders_the_zones(
    hosts, list_server
):
    """Guards against a repeat in another zone: the zones' numbers changed while the attempt was out."""
    for host, zone in zip(hosts, ("a", "b"), strict=True):
        host.entry["zone"] = zone
    list_server.add(*hosts)
    with running(list_server, settings=keyed_settings("zone", ["a", "b"])) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "marked"))
        peer = serve(hosts)
        other = next(host for host in hosts if host.listener.getsockname() != peer.sock.getsockname())
        reloaded = settings(list_server, settings=keyed_settings("zone", ["b", "a"]))
        node.reload(*config.read_node(reloaded, {})[:-1])
        node.seen.wait(ev.SettingsReloaded)
        list_server.change(next(host for host in hosts if host is not other), "Ready")
        wait_for_list(node, list_server.version)
        assert_not_retried_elsewhere(conn, peer, other)


@pytest.mark.parametrize(
    "answer, ran",
    [
        (b"BUSY\r\n", False),
        (b"", True),
        (b"UP", True),
        (b"ERR\r\n", True),
        (b"BUSY\r\nUP r\r\n", True),
        (b"\x00\xff\r\n", True),
        (b"UPON r\r\n", True),
        (b"UP\r\n", True),
        (b"x" * 5000, True),
    ],
)
def test_a_call_that_must_not_run_twice_is_retried_only_if_it_cannot_have_run(
    hosts, list_server, answer, ran
):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "once"))
        wait_until(lambda: any(h.has_connection() for h in hosts), "no connection has arrived")
        first, other = sorted(hosts, key=lambda h: not h.has_connection())
        peer = first.accept()
        assert peer.read_line().startswith(b"OPEN ")
        peer.sock.sendall(answer)
        peer.end()
        if ran:
            assert conn.read_line() == b"ERR" and conn.read_line() == b""
            assert not other.has_connection()
        else:
            second = other.accept()
            assert second.read_line().startswith(b"OPEN ")
            second.send_lines(b"UP r")
            assert conn.read_line() == b"UP r"
            second.close()
        peer.close()


def test_a_call_that_must_not_run_twice_is_retried_after_a_refused_connection(hosts, list_server):
    hosts[0].close()
    with running(list_server) as node:
        wait_for_list(node)
        for n in range(3):  # the hosts take turns, so the dead one is tried first for one of them
            conn = client(node, open_line(n, "once"))
            peer = hosts[1].accept()
            assert peer.read_line().startswith(b"OPEN ")
            peer.send_lines(b"UP r")
            assert conn.read_line() == b"UP r"
            conn.close()
            assert peer.read_all() == b""
        assert node.reducer.counters.answers["success", "once"] == 3


def test_an_answer_still_queued_at_the_deadline_gives_one_final_answer(hosts, list_server):
    """The time-out and the answer come together.

    Whichever is handled first, the client gets one answer, and the host's connection ends unless the call was
    accepted.
    """
    gate = Gate()

    def before(node):
        node.reducer.handlers[ev.ReloadRejected] = lambda e: gate.wait()

    with running(list_server, before) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "once", wait=300))
        peer = serve(hosts)
        assert peer.line.startswith(b"OPEN ")
        node.post_urgent(ev.ReloadRejected())
        assert gate.reached.wait(10)
        started_at = node.clock.now()
        peer.send_lines(b"UP r")
        wait_until(lambda: node.clock.now() - started_at > 400_000, "the clock does not advance")
        gate.open.set()
        answer = conn.read_line()
        assert answer in (b"UP r", b"ERR", b"BUSY")
        if answer != b"UP r":
            assert conn.read_line() == b"" and peer.read_all() == b""


@pytest.mark.parametrize("kind", ("plain", "once", "marked"))
def test_a_host_killed_right_after_accepting_has_not_run_the_call(hosts, list_server, monkeypatch, kind):
    """The connection is reset before the first byte is sent.

    Nothing has run, so even a call that must not run twice is tried elsewhere.
    """
    gate = delay_connects(monkeypatch, lambda nth: nth == 1)
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, kind))
        assert gate.reached.wait(10)
        first, other = sorted(hosts, key=lambda h: not h.has_connection())
        first.accept().close("reset")
        gate.open.set()
        peer = other.accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ")
        peer.send_lines(b"UP r")
        assert conn.read_line() == b"UP r"
        peer.close()


@pytest.mark.parametrize("how", ("reset", "half"))
def test_a_host_killed_with_the_first_line_unread_may_have_run_the_call(hosts, list_server, how):
    """The host's kernel had received the whole line: a call that must not run twice fails without a retry."""
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "once"))
        wait_until(lambda: any(h.has_connection() for h in hosts), "no connection has arrived")
        first, other = sorted(hosts, key=lambda h: not h.has_connection())
        peer = first.accept()
        node.seen.wait(ev.WriteDone, lambda e: not e.end.is_client)
        peer.close(how)
        assert conn.read_line() == b"ERR" and conn.read_line() == b""
        assert not other.has_connection()


def test_a_client_killed_right_after_connecting_leaves_nothing_open(hosts, list_server, monkeypatch):
    """The reset, or the first line and then the reset, arrives before the node handles the connection."""
    gate, accepted = Gate(), Admission.on_accepted

    def accept_later(admission, sock):
        gate.wait()
        accepted(admission, sock)

    monkeypatch.setattr(Admission, "on_accepted", accept_later)
    with running(list_server) as node:
        wait_for_list(node)
        clients = [client(node) if n % 2 else client(node, open_line(n)) for n in range(20)]
        assert gate.reached.wait(10)
        for conn in clients:
            conn.close("reset")
        gate.open.set()
        last = client(node, open_line(99))  # last in the listener's queue: the others have all been accepted
        while not (peer := serve(hosts)).line:  # a connection was opened and nothing was sent on it
            pass
        assert peer.line.startswith(b"OPEN 00000063 "), "sent although the client had left"
        peer.send_lines(b"UP r")
        assert last.read_line() == b"UP r"
        last.close()
        assert peer.read_all() == b""
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")
        for host in hosts:
            while host.has_connection():
                assert host.accept().read_all() == b""


def test_every_call_is_answered_whatever_its_hosts_do(hosts, list_server):
    """Sixty calls to hosts that do not answer, reset, refuse or send garbage or part of a line.

    Each gets one final line, and in time: the node itself counts late ones (`overdue`).
    """
    stop, peers = threading.Event(), []

    def run_host(host):
        while not stop.is_set():
            try:
                peer = host.accept()
            except OSError:
                return
            peers.append(peer)
            line = peer.read_line()
            answer = (
                (None, b"", b"BUSY\r\n", b"\x00\xff\r\n", b"UP", b"ERR\r\n")[len(peers) % 6] if line else b""
            )
            if answer is None:  # it hangs
                continue
            peer.sock.sendall(answer)
            if len(peers) % 4 or answer == b"":
                peer.close("reset" if len(peers) % 2 else "close")

    threads = [threading.Thread(target=run_host, args=(host,), daemon=True) for host in hosts]
    for thread in threads:
        thread.start()
    with running(list_server) as node:
        wait_for_list(node)
        clients = [
            client(node, open_line(n, ("plain", "once", "marked")[n % 3], wait=300 + 40 * (n % 10)))
            for n in range(60)
        ]
        for conn in clients:
            assert conn.read_line().split()[:1] in ([b"BUSY"], [b"ERR"])
            assert conn.read_line() == b""
            conn.close()
        assert sum(node.end_reasons.values()) <= 60 and not node.end_reasons["overdue"]
        wait_until(lambda: sum(node.end_reasons.values()) == 60, "not all ended")
        assert not node.end_reasons["overdue"]
    stop.set()
    for host in hosts:
        host.close()
    for peer in peers:
        peer.close()
