"""Closing connections while the other side is still sending: no last line is lost to a reset, and no
descriptor is kept for long.
"""

import socket
import threading

import pytest
from stubs import Gate, Peer, client, establish, open_line, running, serve, wait_for_list, wait_until

from cottonspread.net import admission, closing, reducer
from cottonspread.net import events as ev


def expect_clean_end(peer, word):
    """The last line arrives, then the end, and sending more does not cause a reset."""
    assert peer.read_line().startswith(word) and peer.read_line() == b""
    for _ in range(3):
        peer.send_lines(b"M 1 " + b"x" * 900)
        assert not peer.broken(), "closed over what came just then"
    peer.close()


@pytest.mark.parametrize(
    "first, word",
    [
        (b"HELLO", b"ERR"),
        (open_line(1, "none"), b"ERR"),
        (b"x" * 4200, b"ERR"),
        (b"OPEN \x00 k c=plain,d=9", b"ERR"),
        (b"OPEN \xc3\xa9 k c=plain,d=9", b"ERR"),
        (open_line(2) + b"\r\nM 1 ab", b"ERR"),
    ],
)
def test_an_invalid_first_line_is_answered_and_input_is_read_to_the_end(list_server, first, word):
    with running(list_server) as node:
        wait_for_list(node)
        expect_clean_end(client(node, first), word)
        wait_until(lambda: not node.reducer.conns, "kept")


def test_a_client_refused_on_accept_may_send_its_line_at_that_moment(list_server):
    """Overload protection applies to calls: a client that sends nothing is closed after its timeout."""
    with running(
        list_server, lambda node: setattr(node.admission_limiter, "admits", lambda now: False)
    ) as node:
        wait_for_list(node)
        expect_clean_end(client(node), b"BUSY")
        expect_clean_end(client(node, open_line(1)), b"BUSY")
        wait_until(lambda: not node.closer.open_sockets, "kept")
        # A refusal is counted after its socket has gone to the closer, which may have closed it by then.
        wait_until(lambda: sum(node.end_reasons.values()) == 2, "not counted")
        assert node.end_reasons["node-late"] == 1 and node.end_reasons["no-first-line"] == 1


def test_a_request_sent_while_an_idle_connection_is_closed_is_answered_and_not_forwarded(
    hosts, list_server, monkeypatch
):
    """The node closes a silent client, whose first line arrives just before the close or just after."""
    gate = Gate()
    monkeypatch.setattr(admission, "FIRST_LINE_TIMEOUT", 100_000)

    def before(node):
        refuse = node.refuse

        def held(*args):
            gate.wait()  # the decision is made, BUSY and the close are not sent yet
            refuse(*args)

        node.refuse = held

    with running(list_server, before) as node:
        wait_for_list(node)
        one = client(node)
        assert gate.reached.wait(10)
        one.send_lines(open_line(1))
        gate.open.set()
        expect_clean_end(one, b"BUSY")
        assert not any(host.has_connection() for host in hosts)


def test_a_request_sent_while_a_connection_idle_after_a_ping_is_closed(hosts, list_server, monkeypatch):
    """The same for a client that the reducer knows already."""
    gate = Gate()
    monkeypatch.setattr(reducer, "FIRST_LINE_TIMEOUT", 100_000)

    def before(node):
        finish = node.workers.execute

        def held(effect):
            if isinstance(effect, ev.Write) and effect.data.startswith(b"BUSY"):
                gate.wait()  # the reducer has decided, BUSY and the close are not sent yet
            finish(effect)

        node.workers.execute = held

    with running(list_server, before) as node:
        wait_for_list(node)
        one = client(node, b"PING")
        assert one.read_line() == b"PONG"
        assert gate.reached.wait(10)
        one.send_lines(open_line(1))
        gate.open.set()
        expect_clean_end(one, b"BUSY")
        assert not any(host.has_connection() for host in hosts)


def test_a_client_that_is_moved_may_still_be_sending(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node, open_line(1))
        wait_until(lambda: any(h.has_connection() for h in hosts), "no connection")
        host = next(h for h in hosts if h.has_connection())
        peer = serve([host])
        peer.send_lines(b"UP r")
        assert one.read_line() == b"UP r"
        list_server.change(host, "Terminating")
        expect_clean_end(one, b"MOVE")
        assert peer.read_all() == b""


def test_an_established_client_that_sends_an_invalid_line_sees_a_clean_end(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node, open_line(1))
        peer = serve(hosts)
        peer.send_lines(b"UP r", b"M 1 ab")
        assert (one.read_line(), one.read_line()) == (b"UP r", b"M 1 ab")
        one.send_lines(b"x" * 5000)
        assert one.read_line() == b"" and not one.broken()
        assert peer.read_all() == b""


def test_a_client_that_floods_and_never_closes_is_cut_off_and_blocks_no_other(list_server):
    with running(list_server) as node:
        wait_for_list(node)
        flood = client(node, b"HELLO")
        stop = threading.Event()

        def send():
            try:
                while not stop.is_set():
                    flood.sock.sendall(b"M 1 ab\r\n" * 1000)
            except OSError:
                stop.set()

        thread = threading.Thread(target=send)
        thread.start()
        for _ in range(20):
            assert client(node, b"PING").read_line() == b"PONG"
        thread.join(10)
        assert stop.is_set(), "still read after a second and more"
        # which of the two depends on how its lines were read
        wait_until(lambda: node.end_reasons["garbled"] + node.end_reasons["early-line"] == 1, "kept")


def test_the_closer_respects_its_limit_and_keeps_no_socket_for_ever(monkeypatch):
    monkeypatch.setattr(closing, "TIMEOUT", 0.05)
    one = closing.Closer(lambda: 3)
    pairs = [socket.socketpair() for _ in range(8)]
    for ours, _ in pairs:
        ours.shutdown(socket.SHUT_WR)
        one.add(ours)
    for _ in pairs:
        one.step()
    assert len(one.open_sockets) == 3 and [ours.fileno() < 0 for ours, _ in pairs] == [True] * 5 + [False] * 3
    for _, theirs in pairs[5:]:
        theirs.sendall(b"x" * 100)  # they stay open and send
    wait_until(lambda: one.step() and not one.open_sockets, "kept for good")
    one.stop()
    assert not one.step()


def test_a_late_second_answer_finds_the_attempt_closed(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node, open_line(1, "once"))
        peer = serve(hosts)
        peer.send_lines(b"ERR")
        assert one.read_line() == b"ERR"
        peer.sock.sendall(b"UP r\r\n" * 10)
        assert one.read_line() == b""
        wait_until(lambda: not node.reducer.open_sockets, "a descriptor is kept")


@pytest.mark.parametrize("answer", (b"UP r\r\n", b""))
def test_an_endless_answer_is_cut_off(hosts, list_server, answer):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node, open_line(1, "once"))
        peer = serve(hosts)
        peer.sock.sendall(answer)
        try:
            while True:
                peer.sock.sendall(b"x" * 4096)
        except OSError:
            pass
        assert one.read_all() in (b"ERR\r\n", b"UP r\r\n")
        one.close()
        wait_until(lambda: not node.reducer.open_sockets, "a descriptor is kept")


def test_a_reused_descriptor_gets_no_order_meant_for_the_previous_one(hosts, list_server):
    """Connections open and close while others are set up: each client gets the answer to its own call and
    never another's.
    """
    with running(list_server) as node:
        wait_for_list(node)

        def serve(host):
            while True:
                try:
                    peer = host.accept()
                except OSError:
                    return
                line = peer.read_line()
                if line:
                    peer.send_lines(b"UP " + line.split()[1], b"BYE")
                peer.close()

        for host in hosts:
            threading.Thread(target=serve, args=(host,), daemon=True).start()

        def call(n):
            one = client(node, open_line(n))
            heard.append((n, one.read_line(), one.read_line()))
            one.close("reset" if n % 2 else "close")

        heard = []
        for start in range(0, 120, 12):
            threads = [threading.Thread(target=call, args=(n,)) for n in range(start, start + 12)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(10)
        assert len(heard) == 120
        assert {said for n, said, _ in heard if said != b"UP %08x" % n} <= {b"BUSY"}


def test_a_reset_reaches_the_other_side_as_a_reset(hosts, list_server):
    """A reset from one side reaches the other as a reset, not as a normal end."""
    with running(list_server) as node:
        wait_for_list(node)
        one, peer = establish(node, hosts)
        peer.close("reset")
        with pytest.raises(ConnectionResetError):
            one.read_line()
        assert isinstance(one, Peer)
