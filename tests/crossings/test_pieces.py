"""Lines that arrive in parts, and what may happen between two parts: the end, a reload, a change of the host
list, a move.
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


def unread(sock):
    """The unread input of a socket."""
    try:
        return sock.recv(8192, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def send_part(node, conn, data):
    """Sends part of a line and waits until the node has received it."""
    conn.sock.sendall(data)

    def received():
        readers = [worker.line_reader for worker in list(node.workers.live)]
        pending = [client.sock for client in list(node.admission.pending.clients.values())]
        return any(
            reader and reader.buffer is not None and bytes(reader.buffer[: reader.filled]) == data
            for reader in readers
        ) or (any(unread(sock) == data for sock in pending))

    wait_until(received, "the part has not arrived")


LINE = open_line(1, "once") + b"\r\n"


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 2, len(LINE) - 1))
def test_a_first_line_completed_after_the_stop_is_answered_and_not_forwarded(hosts, list_server, cut):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node)
        send_part(node, conn, LINE[:cut])
        node.stop()
        node.seen.wait(ev.StopRequested)
        conn.sock.sendall(LINE[cut:])
        assert conn.read_line().startswith(b"BUSY") and conn.read_line() == b"" and not conn.broken()
        assert not any(host.has_connection() for host in hosts)
        assert node.join(WAIT)


def reload(node, list_server, **more):
    parts = config.read_node(settings(list_server, settings=SETTINGS | more), {})
    node.reload(*parts[:-1])
    node.seen.wait(ev.SettingsReloaded)


@pytest.mark.parametrize("cut", (1, len(LINE) // 2, len(LINE) - 1))
@pytest.mark.parametrize("known", (True, False))
def test_a_first_line_completed_after_a_reload_uses_the_new_settings(hosts, list_server, cut, known):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node)
        send_part(node, conn, LINE[:cut])
        effect = {"once": "safe"}
        types = [
            t | {"Effect": effect.get(t["Name"], t["Effect"])} for t in TYPES if known or t["Name"] != "once"
        ]
        reload(node, list_server, TrafficTypes=types)
        conn.sock.sendall(LINE[cut:])
        if not known:
            assert conn.read_line() == b"ERR" and conn.read_line() == b""
            assert not any(host.has_connection() for host in hosts)
            return
        peer = serve(hosts)
        peer.close("reset")  # the call may have run, and it may run again under the new settings
        peer = serve(hosts)
        assert peer.line.startswith(b"OPEN 00000001 ")
        peer.send_lines(b"UP r")
        assert conn.read_line() == b"UP r"
        peer.close()


@pytest.mark.parametrize("cut", (1, len(LINE) - 1))
def test_a_first_line_completed_after_a_host_drains_goes_to_another_host(hosts, list_server, cut):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node)
        send_part(node, conn, LINE[:cut])
        list_server.change(hosts[0], "Terminating")
        wait_for_list(node, list_server.version)
        conn.sock.sendall(LINE[cut:])
        peer = hosts[1].accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ") and not hosts[0].has_connection()
        peer.close()


@pytest.mark.parametrize("how", ("close", "reset", "half"))
def test_part_of_a_first_line_is_not_forwarded_when_the_client_leaves(hosts, list_server, how):
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node)
        send_part(node, conn, LINE[:-1])
        conn.close(how)
        if how == "half":  # it may still read
            assert conn.read_all() in (b"ERR\r\n", b"BUSY\r\n", b"")
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")
        assert not any(host.has_connection() for host in hosts)


def drain_hosts(node, list_server, hosts):
    list_server.change(hosts[0], "Terminating")
    list_server.change(hosts[1], "Terminating")


def stop_node(node, list_server, hosts):
    node.stop()


@pytest.mark.parametrize("end", (drain_hosts, stop_node), ids=lambda end: end.__name__)
@pytest.mark.parametrize("whose", ("host", "client", "both"))
def test_part_of_a_line_is_not_forwarded_before_a_move(hosts, list_server, end, whose):
    """MOVE comes between two lines: no part of a line goes before it, nor to the host before its end."""
    with running(list_server) as node:
        wait_for_list(node)
        conn, peer = establish(node, hosts)
        if whose != "client":
            send_part(node, peer, b"M 1 half of a host's")
        if whose != "host":
            send_part(node, conn, b"M 1 half of a client's")
        end(node, list_server, hosts)
        assert conn.read_line() == b"MOVE" and conn.read_line() == b""
        assert peer.read_all() == b""
        conn.send_lines(b" line")  # the rest of the line, at the moment of the close
        assert not conn.broken()
        conn.close()
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")


@pytest.mark.parametrize("size", (1, 2, 3, 7))
def test_lines_sent_in_parts_by_both_sides_arrive_complete_and_in_order(hosts, list_server, size):
    with running(list_server) as node:
        wait_for_list(node)
        conn, peer = establish(node, hosts)
        lines = b"".join(b"M %d ab\r\n" % n for n in range(5))
        for at in range(0, len(lines), size):
            conn.sock.sendall(lines[at : at + size])
            peer.sock.sendall(lines[at : at + size])
        for n in range(5):
            assert peer.read_line() == b"M %d ab" % n
            assert conn.read_line() == b"M %d ab" % n
        peer.send_lines(b"BYE")
        peer.end()
        assert conn.read_line() == b"BYE" and conn.read_line() == b""
        conn.close()


def test_small_writes_are_sent_at_once(hosts, list_server):
    """TCP_NODELAY is set on every socket that lines are written to.

    Data that the kernel still held back was lost when the connection was reset.
    """
    with running(list_server) as node:
        wait_for_list(node)
        conn, peer = establish(node, hosts)
        ends = list(node.workers.live)
        assert len(ends) == 2
        assert all(worker.sock.getsockopt(6, 1) for worker in ends)  # IPPROTO_TCP, TCP_NODELAY
        peer.close()
        conn.close()
