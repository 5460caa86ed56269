"""SIGTERM during calls in any state: accepted calls are answered, nothing read afterwards is forwarded, and
the process ends in time.
"""

import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from stubs import (
    TYPES,
    WAIT,
    Gate,
    Peer,
    client,
    delay_connects,
    establish,
    open_line,
    running,
    serve,
    settings,
    wait_for_list,
    wait_until,
)

from cottonspread import cli
from cottonspread.cli import node as command
from cottonspread.net import events as ev

ROOT = Path(__file__).parent.parent.parent
GUARD = max(t["GuardTime"] for t in TYPES)


def expect_clean_end(peer, word):
    assert peer.read_line().startswith(word)
    assert peer.read_line() == b"" and not peer.broken()


def at_the_end(monkeypatch, node, action):
    """Calls `action` after the reducer's last step, before anything is closed."""
    finish = node.close_all

    def finishing():
        action()
        finish()

    monkeypatch.setattr(node, "close_all", finishing)


def test_a_connection_in_the_listeners_queue_at_the_end_is_refused(list_server, monkeypatch):
    """Its whole first line has arrived, but no thread accepts connections any more."""
    late, gate = [], Gate()
    with running(list_server) as node:
        wait_for_list(node)

        def connect_late():
            gate.reached.wait(WAIT)  # the accepting thread is blocked: two more stay in the queue
            late.extend(client(node, open_line(n)) for n in (2, 3))
            gate.open.set()

        admits = node.admission_limiter.admits

        def gated_admits(now):
            if node.reducer.stopped:
                gate.wait()
            return admits(now)

        monkeypatch.setattr(node.admission_limiter, "admits", gated_admits)
        finish = node.close_all

        def finishing():
            late.append(client(node, open_line(1)))
            connect_late()
            finish()

        monkeypatch.setattr(node, "close_all", finishing)
        node.stop()
        assert node.join(WAIT)
        assert len(late) == 3
        for conn in late:
            expect_clean_end(conn, b"BUSY")


def test_a_connection_that_the_reducer_does_not_know_at_the_end_is_refused(list_server, monkeypatch):
    late = []
    with running(list_server) as node:
        wait_for_list(node)

        def connect_late():
            late.append(client(node, open_line(1)))
            wait_until(
                lambda: any(isinstance(e[1], ev.ClientAccepted) for e in list(node.events.queue)),
                "not accepted",
            )

        at_the_end(monkeypatch, node, connect_late)
        node.stop()
        assert node.join(WAIT)
        expect_clean_end(late[0], b"BUSY")


@pytest.mark.parametrize("data", (b"", b"OPEN 0000"))
def test_a_silent_client_or_one_with_half_a_line_is_told_of_the_end(list_server, data):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node)
        conn.sock.sendall(data)
        wait_until(lambda: node.admission.pending, "the client is not pending")
        node.stop()
        assert conn.read_line().startswith(b"BUSY") and conn.read_line() == b""
        conn.send_lines(open_line(1))  # at the moment of the close: not forwarded, and no reset
        assert not conn.broken()
        assert node.join(WAIT)


def test_lines_read_after_the_stop_are_not_forwarded_and_earlier_calls_are_answered(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        before = client(node, open_line(1))
        peer = serve(hosts)
        node.stop()
        node.seen.wait(ev.StopRequested)
        after = client(node, open_line(2))
        expect_clean_end(after, b"BUSY")
        peer.send_lines(b"UP r")
        assert before.read_line() == b"UP r"
        expect_clean_end(before, b"MOVE")
        assert peer.read_all() == b"" and not any(h.has_connection() for h in hosts)
        assert node.join(WAIT)


@pytest.mark.parametrize("kind, word", (("plain", b"BUSY"), ("once", b"ERR")))
def test_calls_at_hosts_that_hang_are_answered_before_the_end(hosts, list_server, kind, word):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, kind))
        peer = serve(hosts)
        started_at = node.clock.now()
        node.stop()
        expect_clean_end(conn, word)
        assert node.join(WAIT)
        assert node.clock.now() - started_at < (GUARD + 700) * 1000
        assert peer.read_all() == b""


def test_a_call_whose_connection_is_not_established_is_refused_at_the_end_as_never_sent(
    hosts, list_server, monkeypatch
):
    gate = delay_connects(monkeypatch)
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "once"))
        assert gate.reached.wait(WAIT)
        node.stop()
        expect_clean_end(conn, b"BUSY")
        gate.open.set()
        assert serve(hosts).line == b""
        assert node.join(WAIT)


def test_an_answer_to_a_slow_peer_does_not_delay_the_end_of_the_process(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        conn, peer = establish(node, hosts)

        def flood():
            try:
                while True:
                    peer.sock.sendall(b"M 1 " + b"x" * 4000 + b"\r\n")
            except OSError:
                pass

        thread = threading.Thread(target=flood)
        thread.start()
        wait_until(
            lambda: any(t.name.endswith("write_blocking") for t in threading.enumerate()),
            "no write has blocked",
        )
        started_at = node.clock.now()
        node.stop()
        assert node.join(WAIT)
        assert node.clock.now() - started_at < (GUARD + 700) * 1000
        conn.close()
        for worker in list(node.workers.live):  # the kernel does this when a real process exits
            worker.sock.close()
        peer.close()
        thread.join(WAIT)


def test_sigterm_overtakes_queued_events(list_server):
    """A stop request behind 4,096 queued events was handled too late for the platform's time limit."""
    gate = Gate()

    def before(node):
        node.reducer.handlers[ev.ReloadRejected] = lambda e: gate.wait()

    with running(list_server, before) as node:
        wait_for_list(node)
        node.post_urgent(ev.ReloadRejected())
        assert gate.reached.wait(WAIT)
        while True:
            try:
                node.events.put_nowait((0, ev.Tick()))
            except queue.Full:
                break
        stopper = threading.Thread(target=node.stop)
        stopper.start()
        stopper.join(WAIT)
        assert not stopper.is_alive(), "stop() blocks"
        gate.open.set()
        node.seen.wait(ev.StopRequested)
        events = node.seen.events
        assert (
            sum(
                isinstance(e, ev.Tick)
                for e in events[: next(n for n, e in enumerate(events) if isinstance(e, ev.StopRequested))]
            )
            < 100
        )


def test_two_stops_with_a_reload_and_a_drain_in_between_end_like_one(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        conn, peer = establish(node, hosts)
        started_at = node.clock.now()
        node.stop()
        node.seen.wait(ev.StopRequested)
        node.post_urgent(ev.DrainRequested(True))
        node.reload(
            node.endpoints,
            node.resource_limits,
            node.discovery.names,
            node.reducer.host_protocol,
            node.reducer.config,
        )
        node.change_discovery(node.endpoints.discovery, True)
        node.stop()
        node.post_urgent(ev.DrainRequested(False))
        expect_clean_end(conn, b"MOVE")
        conn.close()
        assert node.join(WAIT)
        assert node.clock.now() - started_at < (GUARD + 700) * 1000


def test_a_signal_during_the_start_does_not_kill_the_process(list_server, tmp_path, monkeypatch):
    """A SIGTERM that came before the handler was installed killed the process."""
    file, read = tmp_path / "node.json", command.ActiveConfiguration.read
    file.write_text(settings(list_server))

    def read_during_signal(active):
        assert signal.getsignal(signal.SIGTERM) not in (signal.SIG_DFL, signal.SIG_IGN), (
            "the signal would kill this process"
        )
        os.kill(os.getpid(), signal.SIGTERM)
        return read(active)

    old_handlers = {
        number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    }
    monkeypatch.setattr(command.ActiveConfiguration, "read", read_during_signal)
    monkeypatch.setattr(command.logfmt, "configure", lambda *_, **__: lambda: None)
    try:
        assert cli.main(["serve", "--config", str(file)]) == 0
    finally:
        for number, handler in old_handlers.items():
            signal.signal(number, handler)


def test_a_process_with_calls_in_progress_exits_with_0_and_in_time(hosts, list_server, tmp_path):
    """Clients that are silent, have sent half a line, are in setup, are established, or connect with the
    signal: each gets its last line, and none a reset.
    """
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    file = tmp_path / "node.json"
    file.write_text(json.dumps(json.loads(settings(list_server)) | {"listen": "{}:{}".format(*address)}))
    process = subprocess.Popen(
        [sys.executable, "-m", "cottonspread", "serve", "--config", str(file)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )

    def open_connection(*lines):
        peer = Peer(socket.create_connection(address, timeout=WAIT))
        peer.send_lines(*lines)
        return peer

    try:
        for line in process.stderr:
            if "event=list news=full" in line:
                break
        threading.Thread(target=process.stderr.read, daemon=True).start()
        established, silent, half = open_connection(open_line(1)), open_connection(), open_connection()
        silent.sock.sendall(b"")
        half.sock.sendall(b"OPEN 0")
        peer = serve(hosts)
        peer.send_lines(b"UP r")
        assert established.read_line() == b"UP r"
        waiting = open_connection(open_line(2, "once"))
        other = serve(hosts)
        process.send_signal(signal.SIGTERM)
        late = open_connection(open_line(3))
        process.send_signal(signal.SIGTERM)
        for conn, word in ((late, b"BUSY"), (half, b"BUSY"), (established, b"MOVE"), (waiting, b"ERR")):
            assert conn.read_line().startswith(word), word
            assert conn.read_line() == b""
        assert other.read_all() == b"" and peer.read_all() == b""
        assert process.wait((GUARD + 700) / 1000) == 0
    finally:
        process.kill()
        process.wait()
