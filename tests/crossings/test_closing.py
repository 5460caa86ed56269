"""Ends of connections against bytes that come just then: no last line is lost to a
reset, and no descriptor is kept for long.
"""

import socket
import threading

import pytest
from standins import Gate, Peer, client, listed, opening, running, serve, standing, until

from cottonspread.net import admission, closing, reducer
from cottonspread.net import events as ev


def told_the_end(peer, word):
    """The last line came, then the end; and nothing that is sent after it brings a reset."""
    assert peer.hear().startswith(word) and peer.hear() == b""
    for _ in range(3):
        peer.say(b"M 1 " + b"x" * 900)
        assert not peer.broken(), "closed over what came just then"
    peer.close()


@pytest.mark.parametrize(
    "first, word",
    [
        (b"HELLO", b"ERR"),
        (opening(1, "none"), b"ERR"),
        (b"x" * 4200, b"ERR"),
        (b"OPEN \x00 k c=plain,d=9", b"ERR"),
        (b"OPEN \xc3\xa9 k c=plain,d=9", b"ERR"),
        (opening(2) + b"\r\nM 1 ab", b"ERR"),
    ],
)
def test_what_is_no_first_line_is_answered_and_read_to_its_end(agent, first, word):
    with running(agent) as node:
        listed(node)
        told_the_end(client(node, first), word)
        until(lambda: not node.reducer.conns, "kept")


def test_a_client_turned_away_at_the_door_may_send_its_line_just_then(agent):
    """The door is for calls: one that says nothing is told the end when its time is over."""
    with running(agent, lambda node: setattr(node.door, "admits", lambda now: False)) as node:
        listed(node)
        told_the_end(client(node), b"BUSY")
        told_the_end(client(node, opening(1)), b"BUSY")
        until(lambda: not node.closer.open_sockets, "kept")
        assert node.ended["node-late"] == 1 and node.ended["no-first-line"] == 1


def test_a_request_that_crosses_the_end_of_a_resting_connection_is_answered_and_not_sent_on(
    hosts, agent, monkeypatch
):
    """The node closes one who said nothing; its line is here before the close, or right after it."""
    gate = Gate()
    monkeypatch.setattr(admission, "FIRST_LINE_TIMEOUT", 100_000)

    def before(node):
        refuse = node.refuse

        def held(*told):
            gate.wait()  # it is decided, and the word and the end wait
            refuse(*told)

        node.refuse = held

    with running(agent, before) as node:
        listed(node)
        one = client(node)
        assert gate.here.wait(10)
        one.say(opening(1))
        gate.open.set()
        told_the_end(one, b"BUSY")
        assert not any(host.waits() for host in hosts)


def test_a_request_that_crosses_the_end_of_a_connection_that_rests_after_a_ping(hosts, agent, monkeypatch):
    """The same where the reducer knows the client already."""
    gate = Gate()
    monkeypatch.setattr(reducer, "FIRST_LINE_TIMEOUT", 100_000)

    def before(node):
        finish = node.workers.carry_out

        def held(effect):
            if isinstance(effect, ev.Write) and effect.data.startswith(b"BUSY"):
                gate.wait()  # the word and the end wait, the reducer has decided
            finish(effect)

        node.workers.carry_out = held

    with running(agent, before) as node:
        listed(node)
        one = client(node, b"PING")
        assert one.hear() == b"PONG"
        assert gate.here.wait(10)
        one.say(opening(1))
        gate.open.set()
        told_the_end(one, b"BUSY")
        assert not any(host.waits() for host in hosts)


def test_a_client_that_is_moved_may_still_be_sending(hosts, agent):
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1))
        until(lambda: any(h.waits() for h in hosts), "nobody came")
        host = next(h for h in hosts if h.waits())
        peer = serve([host])
        peer.say(b"UP r")
        assert one.hear() == b"UP r"
        agent.change(host, "Terminating")
        told_the_end(one, b"MOVE")
        assert peer.rest() == b""


def test_a_standing_client_that_sends_what_is_no_line_has_an_end_that_can_be_read(hosts, agent):
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1))
        peer = serve(hosts)
        peer.say(b"UP r", b"M 1 ab")
        assert (one.hear(), one.hear()) == (b"UP r", b"M 1 ab")
        one.say(b"x" * 5000)
        assert one.hear() == b"" and not one.broken()
        assert peer.rest() == b""


def test_one_that_sends_at_full_speed_and_stays_is_given_up_and_holds_nobody_up(agent):
    with running(agent) as node:
        listed(node)
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
            assert client(node, b"PING").hear() == b"PONG"
        thread.join(10)
        assert stop.is_set(), "still read after a second and more"
        until(lambda: node.ended["garbled"] + node.ended["early-line"] == 1, "kept")  # as its lines were read


def test_the_closer_keeps_no_more_than_it_may_and_nobody_for_good(monkeypatch):
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
        theirs.sendall(b"x" * 100)  # they stay and speak
    until(lambda: one.step() and not one.open_sockets, "kept for good")
    one.stop()
    assert not one.step()


def test_a_second_answer_that_comes_late_meets_a_closed_attempt(hosts, agent):
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1, "once"))
        peer = serve(hosts)
        peer.say(b"ERR")
        assert one.hear() == b"ERR"
        peer.sock.sendall(b"UP r\r\n" * 10)
        assert one.hear() == b""
        until(lambda: not node.reducer.open_sockets, "a descriptor is kept")


@pytest.mark.parametrize("answer", (b"UP r\r\n", b""))
def test_an_answer_that_never_ends_is_given_up(hosts, agent, answer):
    with running(agent) as node:
        listed(node)
        one = client(node, opening(1, "once"))
        peer = serve(hosts)
        peer.sock.sendall(answer)
        try:
            while True:
                peer.sock.sendall(b"x" * 4096)
        except OSError:
            pass
        assert one.rest() in (b"ERR\r\n", b"UP r\r\n")
        one.close()
        until(lambda: not node.reducer.open_sockets, "a descriptor is kept")


def test_a_descriptor_that_is_used_again_meets_no_order_for_the_one_before(hosts, agent):
    """Connections come and go while others are set up: each client hears its
    own host's receipt and no one else's.
    """
    with running(agent) as node:
        listed(node)

        def serve(host):
            while True:
                try:
                    peer = host.take()
                except OSError:
                    return
                line = peer.hear()
                if line:
                    peer.say(b"UP " + line.split()[1], b"BYE")
                peer.close()

        for host in hosts:
            threading.Thread(target=serve, args=(host,), daemon=True).start()

        def call(n):
            one = client(node, opening(n))
            heard.append((n, one.hear(), one.hear()))
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


def test_peers_are_told_a_reset_as_a_reset(hosts, agent):
    """When one side breaks, so does the other: a host that resets is no host that ended."""
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        peer.close("reset")
        with pytest.raises(ConnectionResetError):
            one.hear()
        assert isinstance(one, Peer)
