"""Lines in pieces against what may come between two of them: the end, a reload, a change
of the list, a move.
"""

import socket

import pytest
from standins import (
    SETTINGS,
    TYPES,
    WAIT,
    client,
    listed,
    opening,
    running,
    serve,
    settings,
    standing,
    until,
)

from cottonspread import config
from cottonspread.net import events as ev


def peeked(sock):
    """What lies unread in a socket."""
    try:
        return sock.recv(8192, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def piece(node, one, data):
    """A part of a line, which the node holds when this returns."""
    one.sock.sendall(data)

    def held():
        gatherers = [worker.gatherer for worker in list(node.workers.live)]
        lies = [waiting.sock for waiting in list(node.admission.pending.clients.values())]
        return any(g and g.buffer is not None and bytes(g.buffer[: g.filled]) == data for g in gatherers) or (
            any(peeked(sock) == data for sock in lies)
        )

    until(held, "the piece is not here")


LINE = opening(1, "once") + b"\r\n"


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 2, len(LINE) - 1))
def test_a_first_line_whose_end_comes_after_the_stop_is_answered_and_not_sent_on(hosts, agent, cut):
    with running(agent) as node:
        listed(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        node.stop()
        node.seen.wait(ev.StopRequested)
        one.sock.sendall(LINE[cut:])
        assert one.hear().startswith(b"BUSY") and one.hear() == b"" and not one.broken()
        assert not any(host.waits() for host in hosts)
        assert node.join(WAIT)


def retuned(node, agent, **more):
    parts = config.read_node(settings(agent, settings=SETTINGS | more), {})
    node.retune(*parts[:-1])
    node.seen.wait(ev.SettingsReloaded)


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 1))
@pytest.mark.parametrize("known", (True, False))
def test_a_first_line_whose_end_comes_after_a_reload_is_read_under_the_new_settings(hosts, agent, cut, known):
    with running(agent) as node:
        listed(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        effect = {"once": "safe"}
        kept = [
            t | {"Effect": effect.get(t["Name"], t["Effect"])} for t in TYPES if known or t["Name"] != "once"
        ]
        retuned(node, agent, TrafficTypes=kept)
        one.sock.sendall(LINE[cut:])
        if not known:
            assert one.hear() == b"ERR" and one.hear() == b""
            assert not any(host.waits() for host in hosts)
            return
        peer = serve(hosts)
        peer.close("reset")  # it may have run, and it may run again by now
        peer = serve(hosts)
        assert peer.line.startswith(b"OPEN 00000001 ")
        peer.say(b"UP r")
        assert one.hear() == b"UP r"
        peer.close()


@pytest.mark.parametrize("cut", (1, len(LINE) - 1))
def test_a_first_line_whose_end_comes_after_a_drain_goes_where_the_list_is_now(hosts, agent, cut):
    with running(agent) as node:
        listed(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        agent.change(hosts[0], "Terminating")
        listed(node, agent.version)
        one.sock.sendall(LINE[cut:])
        peer = hosts[1].take()
        assert peer.hear().startswith(b"OPEN 00000001 ") and not hosts[0].waits()
        peer.close()


@pytest.mark.parametrize("how", ("close", "reset", "half"))
def test_a_client_that_leaves_in_the_middle_of_its_first_line_is_sent_nowhere(hosts, agent, how):
    with running(agent) as node:
        listed(node)
        one = client(node)
        piece(node, one, LINE[:-1])
        one.close(how)
        if how == "half":  # it may still hear
            assert one.rest() in (b"ERR\r\n", b"BUSY\r\n", b"")
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")
        assert not any(host.waits() for host in hosts)


def drained(node, agent, hosts):
    agent.change(hosts[0], "Terminating")
    agent.change(hosts[1], "Terminating")


def stopped(node, agent, hosts):
    node.stop()


@pytest.mark.parametrize("end", (drained, stopped), ids=lambda end: end.__name__)
@pytest.mark.parametrize("whose", ("host", "client", "both"))
def test_half_a_line_is_not_passed_on_before_a_move(hosts, agent, end, whose):
    """MOVE comes between two lines: no half of one before it, and none at the host before its end."""
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        if whose != "client":
            piece(node, peer, b"M 1 half of a host's")
        if whose != "host":
            piece(node, one, b"M 1 half of a client's")
        end(node, agent, hosts)
        assert one.hear() == b"MOVE" and one.hear() == b""
        assert peer.rest() == b""
        one.say(b" line")  # its other half, in the moment of the close
        assert not one.broken()
        one.close()
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")


@pytest.mark.parametrize("size", (1, 2, 3, 7))
def test_lines_of_both_sides_in_pieces_arrive_whole_and_in_order(hosts, agent, size):
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        said = b"".join(b"M %d ab\r\n" % n for n in range(5))
        for at in range(0, len(said), size):
            one.sock.sendall(said[at : at + size])
            peer.sock.sendall(said[at : at + size])
        for n in range(5):
            assert peer.hear() == b"M %d ab" % n
            assert one.hear() == b"M %d ab" % n
        peer.say(b"BYE")
        peer.end()
        assert one.hear() == b"BYE" and one.hear() == b""
        one.close()


def test_no_small_write_is_held_back(hosts, agent):
    """Every socket that lines are written to sends at once: what the
    system still held back went with a reset.
    """
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        ends = list(node.workers.live)
        assert len(ends) == 2
        assert all(worker.sock.getsockopt(6, 1) for worker in ends)  # IPPROTO_TCP, TCP_NODELAY
        peer.close()
        one.close()
