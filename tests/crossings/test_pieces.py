"""Lines in pieces against what may come between two of them: the end, a reload, a change
of the list, a move.
"""

import socket

import pytest
from stubs import (
    SETTINGS,
    TYPES,
    WAIT,
    client,
    establish,
    open_line,
    running,
    serve,
    settings,
    wait_for_list,
    wait_until,
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
        readers = [worker.line_reader for worker in list(node.workers.live)]
        lies = [waiting.sock for waiting in list(node.admission.pending.clients.values())]
        return any(g and g.buffer is not None and bytes(g.buffer[: g.filled]) == data for g in readers) or (
            any(peeked(sock) == data for sock in lies)
        )

    wait_until(held, "the piece is not here")


LINE = open_line(1, "once") + b"\r\n"


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 2, len(LINE) - 1))
def test_a_first_line_whose_end_comes_after_the_stop_is_answered_and_not_sent_on(hosts, list_server, cut):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        node.stop()
        node.seen.wait(ev.StopRequested)
        one.sock.sendall(LINE[cut:])
        assert one.read_line().startswith(b"BUSY") and one.read_line() == b"" and not one.broken()
        assert not any(host.has_connection() for host in hosts)
        assert node.join(WAIT)


def retuned(node, list_server, **more):
    parts = config.read_node(settings(list_server, settings=SETTINGS | more), {})
    node.reload(*parts[:-1])
    node.seen.wait(ev.SettingsReloaded)


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 1))
@pytest.mark.parametrize("known", (True, False))
def test_a_first_line_whose_end_comes_after_a_reload_is_read_under_the_new_settings(
    hosts, list_server, cut, known
):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        effect = {"once": "safe"}
        kept = [
            t | {"Effect": effect.get(t["Name"], t["Effect"])} for t in TYPES if known or t["Name"] != "once"
        ]
        retuned(node, list_server, TrafficTypes=kept)
        one.sock.sendall(LINE[cut:])
        if not known:
            assert one.read_line() == b"ERR" and one.read_line() == b""
            assert not any(host.has_connection() for host in hosts)
            return
        peer = serve(hosts)
        peer.close("reset")  # it may have run, and it may run again by now
        peer = serve(hosts)
        assert peer.line.startswith(b"OPEN 00000001 ")
        peer.send_lines(b"UP r")
        assert one.read_line() == b"UP r"
        peer.close()


@pytest.mark.parametrize("cut", (1, len(LINE) - 1))
def test_a_first_line_whose_end_comes_after_a_drain_goes_where_the_list_is_now(hosts, list_server, cut):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node)
        piece(node, one, LINE[:cut])
        list_server.change(hosts[0], "Terminating")
        wait_for_list(node, list_server.version)
        one.sock.sendall(LINE[cut:])
        peer = hosts[1].accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ") and not hosts[0].has_connection()
        peer.close()


@pytest.mark.parametrize("how", ("close", "reset", "half"))
def test_a_client_that_leaves_in_the_middle_of_its_first_line_is_sent_nowhere(hosts, list_server, how):
    with running(list_server) as node:
        wait_for_list(node)
        one = client(node)
        piece(node, one, LINE[:-1])
        one.close(how)
        if how == "half":  # it may still hear
            assert one.read_all() in (b"ERR\r\n", b"BUSY\r\n", b"")
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")
        assert not any(host.has_connection() for host in hosts)


def drained(node, list_server, hosts):
    list_server.change(hosts[0], "Terminating")
    list_server.change(hosts[1], "Terminating")


def stopped(node, list_server, hosts):
    node.stop()


@pytest.mark.parametrize("end", (drained, stopped), ids=lambda end: end.__name__)
@pytest.mark.parametrize("whose", ("host", "client", "both"))
def test_half_a_line_is_not_passed_on_before_a_move(hosts, list_server, end, whose):
    """MOVE comes between two lines: no half of one before it, and none at the host before its end."""
    with running(list_server) as node:
        wait_for_list(node)
        one, peer = establish(node, hosts)
        if whose != "client":
            piece(node, peer, b"M 1 half of a host's")
        if whose != "host":
            piece(node, one, b"M 1 half of a client's")
        end(node, list_server, hosts)
        assert one.read_line() == b"MOVE" and one.read_line() == b""
        assert peer.read_all() == b""
        one.send_lines(b" line")  # its other half, in the moment of the close
        assert not one.broken()
        one.close()
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")


@pytest.mark.parametrize("size", (1, 2, 3, 7))
def test_lines_of_both_sides_in_pieces_arrive_whole_and_in_order(hosts, list_server, size):
    with running(list_server) as node:
        wait_for_list(node)
        one, peer = establish(node, hosts)
        said = b"".join(b"M %d ab\r\n" % n for n in range(5))
        for at in range(0, len(said), size):
            one.sock.sendall(said[at : at + size])
            peer.sock.sendall(said[at : at + size])
        for n in range(5):
            assert peer.read_line() == b"M %d ab" % n
            assert one.read_line() == b"M %d ab" % n
        peer.send_lines(b"BYE")
        peer.end()
        assert one.read_line() == b"BYE" and one.read_line() == b""
        one.close()


def test_no_small_write_is_held_back(hosts, list_server):
    """Every socket that lines are written to sends at once: what the
    system still held back went with a reset.
    """
    with running(list_server) as node:
        wait_for_list(node)
        one, peer = establish(node, hosts)
        ends = list(node.workers.live)
        assert len(ends) == 2
        assert all(worker.sock.getsockopt(6, 1) for worker in ends)  # IPPROTO_TCP, TCP_NODELAY
        peer.close()
        one.close()
