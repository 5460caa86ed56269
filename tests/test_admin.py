"""The operators' address: commands, bad input, callers who never finish; and the metrics as text."""

import queue
import re
import socket
import threading

import pytest
from test_net import NODE, WAIT, Client, discovery_of, service, toy  # noqa: F401 (fixtures)

from cottonspread import config
from cottonspread.front.counters import ANSWERS, Counters
from cottonspread.net import admin, lines
from cottonspread.net import events as ev
from cottonspread.net.node import Node, socket_limit


def call(address, command, end=False):
    """Sends an operator's command and returns everything received until the end of the connection."""
    with socket.create_connection(address, timeout=WAIT) as sock:
        sock.sendall(command)
        if end:
            sock.shutdown(socket.SHUT_WR)
        with sock.makefile("rb") as file:
            return file.read()


@pytest.fixture
def admin_server():
    """A server of the operators' address without a node, which echoes each command."""
    server = admin.Admin(("127.0.0.1", 0), lambda command: b"200 " + command.encode() + b"\n")
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    yield server, server.listener.getsockname()
    server.stop()
    thread.join(WAIT)
    assert not thread.is_alive() and not server.callers


@pytest.mark.parametrize(
    "command, answer",
    [
        (b"health\r\n", b"200 health\n"),
        (b"health\n", b"200 health\n"),
        (b" health \r\n", b"200 health\n"),
        (b"x" * admin.MAX_LINE + b"\n", b"200 " + b"x" * admin.MAX_LINE + b"\n"),
        (b"health\r\nhealth\r\n", b"400"),
        (b"health\nh", b"400"),
        (b"x" * 4000, b"400"),
        (b"x" * 400 + b"\n", b"400"),
    ],
)
def test_one_line_gets_one_answer_and_anything_else_gets_400(admin_server, command, answer):
    assert call(admin_server[1], command).startswith(answer)


def test_an_incomplete_line_gets_400_and_no_input_gets_no_answer(admin_server):
    assert call(admin_server[1], b"heal", end=True).startswith(b"400")
    assert call(admin_server[1], b"", end=True) == b""


def test_a_line_in_pieces_is_one_line(admin_server):
    with socket.create_connection(admin_server[1], timeout=WAIT) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in (b"he", b"al", b"th\r", b"\n"):
            sock.sendall(piece)
        assert sock.makefile("rb").read() == b"200 health\n"


def test_idle_callers_do_not_lock_others_out(admin_server):
    """At the limit the oldest caller is evicted for a new one: with the timeout alone the thirteenth caller
    waited two seconds.
    """
    silent = [socket.create_connection(admin_server[1], timeout=WAIT) for _ in range(3 * admin.MAX_CALLERS)]
    for sock in silent:
        sock.sendall(b"hea")
    assert call(admin_server[1], b"health\n") == b"200 health\n"
    assert len(admin_server[0].callers) <= admin.MAX_CALLERS


def test_an_incomplete_line_is_closed_after_the_timeout(admin_server, monkeypatch):
    monkeypatch.setattr(admin, "LINE_TIMEOUT", 0.05)
    with socket.create_connection(admin_server[1], timeout=WAIT) as sock:
        sock.sendall(b"heal")
        assert sock.makefile("rb").read().startswith(b"400")


def test_an_internal_error_fails_only_one_command():
    answers = iter([RuntimeError("broken"), b"200 yes\n"])

    def answer(command):
        result = next(answers)
        if isinstance(result, Exception):
            raise result
        return result

    server = admin.Admin(("127.0.0.1", 0), answer)
    threading.Thread(target=server.run, daemon=True).start()
    address = server.listener.getsockname()
    assert call(address, b"health\n").startswith(b"400") and call(address, b"health\n") == b"200 yes\n"
    server.stop()


# Counters


def test_every_known_type_has_its_counters_even_at_zero_and_names_are_escaped():
    counters = Counters(["plain", 'a"b\\c\nd'])
    counters.count_answer("busy", "plain")
    counters.count_refused_on_accept("plain")
    counters.count_refused_on_accept("unheard-of")
    text = counters.text(3)
    assert 'app_busy{tier="plain"} 2\n' in text and "app_inflight 3\n" in text
    assert 'app_success{tier="a\\"b\\\\c\\nd"} 0\n' in text
    assert all(
        re.fullmatch(r'app_[a-z_]+(\{tier="(?:[^"\\]|\\.)*"\})? \d+', line) for line in text.splitlines()
    )
    counters.add_types(["new"])
    assert 'app_failure{tier="new"} 0\n' in counters.text(
        0
    ) and 'app_busy{tier="plain"} 2\n' in counters.text(0)
    assert {name for name, _, _ in counters.samples(0)} == {
        *ANSWERS,
        "inflight",
        "backend_calls",
        "hosts_listed",
        "hosts_down",
        "reconfig_ok",
        "reconfig_failed",
    }


@pytest.mark.parametrize(
    "line, name",
    [
        (b"OPEN 01 02 c=chat,d=2000\r\n", "chat"),
        (b"OPEN 01 02 d=2000,c=chat\r\n", "chat"),
        (b"OPEN 01 02 d=1,xc=chat", ""),
        (b"PING\r\n", ""),
        (b"", ""),
        (b"\xff\xfe c=chat", ""),
        (b"OPEN 01 02 c=\xff\n", "\ufffd"),
    ],
)
def test_the_type_of_a_call_refused_on_accept_is_read(line, name):
    assert lines.traffic_type_name(line) == name


# A node with an operators' address


@pytest.fixture
def node_with_admin(monkeypatch, toy):  # noqa: F811
    parts = list(config.read_node(NODE, {}))
    parts[0] = config.Endpoints("n1", ("127.0.0.1", 0), discovery_of(toy.Toy(2)), ("127.0.0.1", 0))
    node = Node(*parts)
    node.start()
    yield node, node.listener.getsockname(), node.admin.listener.getsockname()
    node.stop()
    assert node.join(WAIT)


def repeat_until(address, command, accepts):
    """Repeats the command until the answer is as wanted: a command takes effect shortly after its answer."""
    while not accepts(answer := call(address, command)):
        pass
    return answer


def test_a_node_answers_operators_and_is_drained_and_resumed(node_with_admin):
    node, address, operator = node_with_admin
    repeat_until(operator, b"health\n", lambda a: a == b"200 yes\n")
    client = Client(address, b"OPEN 01 02 c=chat,d=2000,g=0a")
    assert client.read_line().startswith(b"UP ")
    text = call(operator, b"counters\r\n")
    assert text.startswith(b"200") and text.endswith(b"\nEOF\n")
    for line in (
        b'app_success{tier="chat"} 1\n',
        b"app_backend_calls 1\n",
        b"app_inflight 1\n",
        b"app_hosts_listed 2\n",
    ):
        assert line in text
    assert call(operator, b"stop\n").startswith(b"400") and call(operator, b"\n").startswith(b"400")
    assert call(operator, b"quiesce\n").startswith(b"200")
    assert call(address, b"PING\r\n").startswith(b"ERR")
    assert client.read_line() == b"MOVE" and client.read_line() == b""
    assert call(operator, b"resume\n").startswith(b"200")
    ping = Client(address, b"PING")
    assert ping.read_line() == b"PONG"


def test_operators_are_answered_while_the_reducer_does_nothing_and_its_queue_is_full(
    node_with_admin, monkeypatch
):
    """A command that went through the reducer's queue waited as long as the node was busy."""
    node, address, operator = node_with_admin
    repeat_until(operator, b"health\n", lambda a: a == b"200 yes\n")
    release, blocked = threading.Event(), threading.Event()

    def block(event):
        blocked.set()
        release.wait(WAIT)

    monkeypatch.setitem(node.reducer.handlers, ev.Tick, block)
    node.post(ev.Tick())
    assert blocked.wait(WAIT)
    try:
        while True:
            node.events.put_nowait((0, ev.Tick()))
    except queue.Full:
        pass
    for command in (b"health\n", b"counters\n", b"quiesce\n"):
        assert call(operator, command).startswith(b"200")
    assert not node.reducer.draining
    monkeypatch.setitem(node.reducer.handlers, ev.Tick, lambda event: None)
    release.set()
    repeat_until(address, b"PING\r\n", lambda a: a.startswith(b"ERR"))  # quiesce overtook the queued events


def test_a_node_without_the_key_has_no_such_address(service):  # noqa: F811
    node, _ = service
    assert node.endpoints.operator is None and node.admin is None


def test_the_descriptors_of_the_address_are_reserved():
    resource_limits = config.ResourceLimits(192, 256)
    assert (
        socket_limit(resource_limits) - socket_limit(resource_limits, ("127.0.0.1", 1))
        == admin.RESERVED_DESCRIPTORS
        > admin.MAX_CALLERS
    )
