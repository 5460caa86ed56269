"""Lines that arrive in parts, and what may happen between two parts: the end, a reload, a change of the host
list, a move.
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


def unread(sock):
    """The unread input of a socket."""
    try:
        return sock.recv(8192, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def send_part(node, one, data):
    """Sends part of a line and waits until the node has received it."""
    one.sock.sendall(data)

    def received():
        readers = [worker.gatherer for worker in list(node.workers.live)]
        pending = [waiting.sock for waiting in list(node.admission.pending.clients.values())]
        return any(g and g.buffer is not None and bytes(g.buffer[: g.filled]) == data for g in readers) or (
            any(unread(sock) == data for sock in pending)
        )

    until(received, "the part has not arrived")


LINE = opening(1, "once") + b"\r\n"


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 2, len(LINE) - 1))
def test_a_first_line_completed_after_the_stop_is_answered_and_not_forwarded(hosts, agent, cut):
    with running(agent) as node:
        listed(node)
        one = client(node)
        send_part(node, one, LINE[:cut])
        node.stop()
        node.seen.wait(ev.StopRequested)
        one.sock.sendall(LINE[cut:])
        assert one.hear().startswith(b"BUSY") and one.hear() == b"" and not one.broken()
        assert not any(host.waits() for host in hosts)
        assert node.join(WAIT)


def reload(node, agent, **more):
    parts = config.read_node(settings(agent, settings=SETTINGS | more), {})
    node.retune(*parts[:-1])
    node.seen.wait(ev.SettingsReloaded)


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 1))
@pytest.mark.parametrize("known", (True, False))
def test_a_first_line_completed_after_a_reload_uses_the_new_settings(hosts, agent, cut, known):
    with running(agent) as node:
        listed(node)
        one = client(node)
        send_part(node, one, LINE[:cut])
        effect = {"once": "safe"}
        types = [
            t | {"Effect": effect.get(t["Name"], t["Effect"])} for t in TYPES if known or t["Name"] != "once"
        ]
        reload(node, agent, TrafficTypes=types)
        one.sock.sendall(LINE[cut:])
        if not known:
            assert one.hear() == b"ERR" and one.hear() == b""
            assert not any(host.waits() for host in hosts)
            return
        peer = serve(hosts)
        peer.close("reset")  # the call may have run, and it may run again under the new settings
        peer = serve(hosts)
        assert peer.line.startswith(b"OPEN 00000001 ")
        peer.say(b"UP r")
        assert one.hear() == b"UP r"
        peer.close()


@pytest.mark.parametrize("cut", (1, len(LINE) - 1))
def test_a_first_line_completed_after_a_host_drains_goes_to_another_host(hosts, agent, cut):
    with running(agent) as node:
        listed(node)
        one = client(node)
        send_part(node, one, LINE[:cut])
        agent.change(hosts[0], "Terminating")
        listed(node, agent.version)
        one.sock.sendall(LINE[cut:])
        peer = hosts[1].take()
        assert peer.hear().startswith(b"OPEN 00000001 ") and not hosts[0].waits()
        peer.close()


@pytest.mark.parametrize("how", ("close", "reset", "half"))
def test_part_of_a_first_line_is_not_forwarded_when_the_client_leaves(hosts, agent, how):
    with running(agent) as node:
        listed(node)
        one = client(node)
        send_part(node, one, LINE[:-1])
        one.close(how)
        if how == "half":  # it may still read
            assert one.rest() in (b"ERR\r\n", b"BUSY\r\n", b"")
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")
        assert not any(host.waits() for host in hosts)


def drain_hosts(node, agent, hosts):
    agent.change(hosts[0], "Terminating")
    agent.change(hosts[1], "Terminating")


def stop_node(node, agent, hosts):
    node.stop()


@pytest.mark.parametrize("end", (drain_hosts, stop_node), ids=lambda end: end.__name__)
@pytest.mark.parametrize("whose", ("host", "client", "both"))
def test_part_of_a_line_is_not_forwarded_before_a_move(hosts, agent, end, whose):
    """MOVE comes between two lines: no part of a line goes before it, nor to the host before its end."""
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        if whose != "client":
            send_part(node, peer, b"M 1 half of a host's")
        if whose != "host":
            send_part(node, one, b"M 1 half of a client's")
        end(node, agent, hosts)
        assert one.hear() == b"MOVE" and one.hear() == b""
        assert peer.rest() == b""
        one.say(b" line")  # the rest of the line, at the moment of the close
        assert not one.broken()
        one.close()
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")


@pytest.mark.parametrize("size", (1, 2, 3, 7))
def test_lines_sent_in_parts_by_both_sides_arrive_complete_and_in_order(hosts, agent, size):
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        lines = b"".join(b"M %d ab\r\n" % n for n in range(5))
        for at in range(0, len(lines), size):
            one.sock.sendall(lines[at : at + size])
            peer.sock.sendall(lines[at : at + size])
        for n in range(5):
            assert peer.hear() == b"M %d ab" % n
            assert one.hear() == b"M %d ab" % n
        peer.say(b"BYE")
        peer.end()
        assert one.hear() == b"BYE" and one.hear() == b""
        one.close()


def test_small_writes_are_sent_at_once(hosts, agent):
    """TCP_NODELAY is set on every socket that lines are written to.

    Data that the kernel still held back was lost when the connection was reset.
    """
    with running(agent) as node:
        listed(node)
        one, peer = standing(node, hosts)
        ends = list(node.workers.live)
        assert len(ends) == 2
        assert all(worker.sock.getsockopt(6, 1) for worker in ends)  # IPPROTO_TCP, TCP_NODELAY
        peer.close()
        one.close()
