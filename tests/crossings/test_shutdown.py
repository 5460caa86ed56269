"""SIGTERM against whatever is under way: what was taken is answered, nothing read after it
is sent on, and the end comes in time.
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
from standins import (
    TYPES,
    WAIT,
    Gate,
    Peer,
    client,
    hold_connects,
    listed,
    opening,
    running,
    serve,
    settings,
    standing,
    until,
)

from cottonspread import cli
from cottonspread.cli import node as command
from cottonspread.net import events as ev

ROOT = Path(__file__).parent.parent.parent
GUARD = max(t["GuardTime"] for t in TYPES)


def clean_end(peer, word):
    assert peer.hear().startswith(word)
    assert peer.hear() == b"" and not peer.broken()


def at_the_end(monkeypatch, node, what):
    """`what` happens after the reducer's last step, before anything is closed."""
    finish = node.finish

    def finishing():
        what()
        finish()

    monkeypatch.setattr(node, "finish", finishing)


def test_a_connection_in_the_listeners_queue_at_the_end_is_turned_away(agent, monkeypatch):
    """Nobody accepts any more, and its first line lies there whole."""
    late, gate = [], Gate()
    with running(agent) as node:
        listed(node)

        def what():
            gate.here.wait(WAIT)  # the accepting thread is held: two more stay in the queue
            late.extend(client(node, opening(n)) for n in (2, 3))
            gate.open.set()

        admits = node.door.admits

        def held(now):
            if node.reducer.stopped:
                gate.wait()
            return admits(now)

        monkeypatch.setattr(node.door, "admits", held)
        finish = node.finish

        def finishing():
            late.append(client(node, opening(1)))
            what()
            finish()

        monkeypatch.setattr(node, "finish", finishing)
        node.stop()
        assert node.join(WAIT)
        assert len(late) == 3
        for one in late:
            clean_end(one, b"BUSY")


def test_a_connection_that_the_reducer_does_not_know_at_the_end_is_turned_away(agent, monkeypatch):
    late = []
    with running(agent) as node:
        listed(node)

        def what():
            late.append(client(node, opening(1)))
            until(
                lambda: any(isinstance(e[1], ev.ClientAccepted) for e in list(node.events.queue)),
                "not accepted",
            )

        at_the_end(monkeypatch, node, what)
        node.stop()
        assert node.join(WAIT)
        clean_end(late[0], b"BUSY")


@pytest.mark.parametrize("said", (b"", b"OPEN 0000"))
def test_one_that_rests_or_has_said_half_a_line_is_told_the_end(agent, said):
    with running(agent) as node:
        listed(node)
        one = client(node)
        one.sock.sendall(said)
        until(lambda: node.admission.pending, "not there")
        node.stop()
        assert one.hear().startswith(b"BUSY") and one.hear() == b""
        one.say(opening(1))  # the moment of the close: not sent on, and no reset
        assert not one.broken()
        assert node.join(WAIT)


def test_what_is_read_after_the_stop_is_not_sent_on_and_what_was_read_before_is_answered(hosts, agent):
    with running(agent) as node:
        listed(node)
        before = client(node, opening(1))
        peer = serve(hosts)
        node.stop()
        node.seen.wait(ev.StopRequested)
        after = client(node, opening(2))
        clean_end(after, b"BUSY")
        peer.say(b"UP r")
        assert before.hear() == b"UP r"
        clean_end(before, b"MOVE")
        assert peer.rest() == b"" and not any(h.waits() for h in hosts)
        assert node.join(WAIT)


@pytest.mark.parametrize("kind, word", (("plain", b"BUSY"), ("once", b"ERR")))
def test_calls_at_hosts_that_hang_are_answered_before_the_end(hosts, agent, kind, word):
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1, kind))
        peer = serve(hosts)
        began = node.clock.now()
        node.stop()
        clean_end(one, word)
        assert node.join(WAIT)
        assert node.clock.now() - began < (GUARD + 700) * 1000
        assert peer.rest() == b""


def test_a_call_whose_connection_does_not_come_up_is_turned_away_at_the_end_as_never_sent(
    hosts, agent, monkeypatch
):
    gate = hold_connects(monkeypatch)
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1, "once"))
        assert gate.here.wait(WAIT)
        node.stop()
        clean_end(one, b"BUSY")
        gate.open.set()
        assert serve(hosts).line == b""
        assert node.join(WAIT)


def test_an_answer_held_by_a_slow_peer_does_not_keep_the_process_past_its_time(hosts, agent):
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)

        def flood():
            try:
                while True:
                    peer.sock.sendall(b"M 1 " + b"x" * 4000 + b"\r\n")
            except OSError:
                pass

        thread = threading.Thread(target=flood)
        thread.start()
        until(
            lambda: any(t.name.endswith("write_slowly") for t in threading.enumerate()), "it took everything"
        )
        began = node.clock.now()
        node.stop()
        assert node.join(WAIT)
        assert node.clock.now() - began < (GUARD + 700) * 1000
        one.close()
        for worker in list(node.workers.live):  # in a process of its own the kernel does that
            worker.sock.close()
        peer.close()
        thread.join(WAIT)


def test_sigterm_goes_before_all_that_waits(agent):
    """Behind 4,096 events it came as late as they took, and the platform's time ran."""
    gate = Gate()

    def before(node):
        node.reducer.handlers[ev.ReloadRejected] = lambda e: gate.wait()

    with running(agent, before) as node:
        listed(node)
        node.hasten(ev.ReloadRejected())
        assert gate.here.wait(WAIT)
        while True:
            try:
                node.events.put_nowait((0, ev.Tick()))
            except queue.Full:
                break
        asked = threading.Thread(target=node.stop)
        asked.start()
        asked.join(WAIT)
        assert not asked.is_alive(), "the one who asks is held up"
        gate.open.set()
        node.seen.wait(ev.StopRequested)
        told = node.seen.told
        assert (
            sum(
                isinstance(e, ev.Tick)
                for e in told[: next(n for n, e in enumerate(told) if isinstance(e, ev.StopRequested))]
            )
            < 100
        )


def test_twice_with_a_reload_and_a_drain_in_between_it_ends_as_once(hosts, agent):
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        began = node.clock.now()
        node.stop()
        node.seen.wait(ev.StopRequested)
        node.hasten(ev.DrainRequested(True))
        node.retune(
            node.endpoints,
            node.resource_limits,
            node.discovery.names,
            node.reducer.host_protocol,
            node.reducer.config,
        )
        node.follow(node.endpoints.discovery, True)
        node.stop()
        node.hasten(ev.DrainRequested(False))
        clean_end(one, b"MOVE")
        one.close()
        assert node.join(WAIT)
        assert node.clock.now() - began < (GUARD + 700) * 1000


def test_a_signal_during_the_start_is_no_end_by_force(agent, tmp_path, monkeypatch):
    """It came before anybody listened for it, and the process was killed by it."""
    file, read = tmp_path / "node.json", command.ActiveConfiguration.read
    file.write_text(settings(agent))

    def reading(active):
        assert signal.getsignal(signal.SIGTERM) not in (signal.SIG_DFL, signal.SIG_IGN), (
            "the signal would kill this process"
        )
        os.kill(os.getpid(), signal.SIGTERM)
        return read(active)

    kept = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)}
    monkeypatch.setattr(command.ActiveConfiguration, "read", reading)
    monkeypatch.setattr(command.logfmt, "configure", lambda *_, **__: lambda: None)
    try:
        assert cli.main(["serve", "--config", str(file)]) == 0
    finally:
        for number, what in kept.items():
            signal.signal(number, what)


def test_a_whole_process_with_calls_in_flight_ends_with_0_and_in_time(hosts, agent, tmp_path):
    """Resting, half said, in set-up, standing, and one that comes with the signal; each
    has its last line, and none a reset.
    """
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    file = tmp_path / "node.json"
    file.write_text(json.dumps(json.loads(settings(agent)) | {"listen": "{}:{}".format(*address)}))
    process = subprocess.Popen(
        [sys.executable, "-m", "cottonspread", "serve", "--config", str(file)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )

    def come(*lines):
        peer = Peer(socket.create_connection(address, timeout=WAIT))
        peer.say(*lines)
        return peer

    try:
        for line in process.stderr:
            if "event=list news=full" in line:
                break
        threading.Thread(target=process.stderr.read, daemon=True).start()
        stands, resting, half = come(opening(1)), come(), come()
        resting.sock.sendall(b"")
        half.sock.sendall(b"OPEN 0")
        peer = serve(hosts)
        peer.say(b"UP r")
        assert stands.hear() == b"UP r"
        hangs = come(opening(2, "once"))
        other = serve(hosts)
        process.send_signal(signal.SIGTERM)
        late = come(opening(3))
        process.send_signal(signal.SIGTERM)
        for one, word in ((late, b"BUSY"), (half, b"BUSY"), (stands, b"MOVE"), (hangs, b"ERR")):
            assert one.hear().startswith(word), word
            assert one.hear() == b""
        assert other.rest() == b"" and peer.rest() == b""
        assert process.wait((GUARD + 700) / 1000) == 0
    finally:
        process.kill()
        process.wait()
