"""Guards against an id that runs twice: its call ended, or its client left, at one process of a
replacement, and then it came to the other.
"""

import signal
import socket
import time

import pytest
from test_net import WAIT, Client
from test_replacement import open_call, platform, servers, toy  # noqa: F401 (fixtures)


def leave(client):
    """Closes a client's connection."""
    client.file.close()
    client.sock.close()


class SlowClient(Client):
    """A client that has sent part of its first line."""

    def __init__(self, address, part):
        self.sock = socket.create_connection(address, timeout=WAIT)
        self.file = self.sock.makefile("rb")
        self.sock.sendall(part)


def wait_for_end(process, id):
    deadline = time.monotonic() + WAIT
    while f"call={id}" not in process.log_text():
        assert time.monotonic() < deadline, process.log_text()


def test_an_id_that_ended_before_the_replacement_does_not_run_again(platform):  # noqa: F811
    start, address = platform
    first = start().ready()
    for n in range(8):
        client = open_call(address, b"e%d" % n)
        assert client.read_line().startswith(b"UP ")
        leave(client)
        wait_for_end(first, f"e{n}")
    start().ready()
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    assert [open_call(address, b"e%d" % n).read_line() for n in range(8)] == [b"ERR"] * 8


def ran_at(processes, id):
    """The process that has logged the end of this call."""
    deadline = time.monotonic() + WAIT
    while time.monotonic() < deadline:
        for process in processes:
            if f"call={id} " in process.log_text():
                return process
    raise AssertionError(f"{id} ended nowhere")


@pytest.mark.parametrize("stopping", (False, True))
def test_an_id_that_came_while_both_processes_run_does_not_run_at_the_other(platform, stopping):  # noqa: F811
    """Whichever of the two takes it first, the other one refuses it, also after the first has exited."""
    start, address = platform
    first = start().ready()
    second = start().ready()
    assert second.wait_for_log("event=takes")
    ids = [b"o%d" % n for n in range(40)]
    at_first = 0
    for id in ids:
        client = open_call(address, id)
        assert client.read_line().startswith(b"UP ")
        leave(client)
        at_first += ran_at((first, second), id.decode()) is first
    assert 0 < at_first < len(ids), "both have taken calls"
    if stopping:
        first.process.send_signal(signal.SIGTERM)
        assert first.process.wait(WAIT) == 0
    for id in ids:
        for _ in range(1 if stopping else 4):  # at either of them
            assert open_call(address, id).read_line() == b"ERR", id


def test_an_id_that_comes_to_the_old_process_as_it_stops_does_not_run_at_the_new_one(platform):  # noqa: F811
    start, address = platform
    first = start().ready()
    second = start().ready()
    assert second.wait_for_log("event=takes")
    # accepted by either process; the rest of their first lines comes after SIGTERM
    waiting = {b"w%d" % n: SlowClient(address, b"OPEN w%d" % n) for n in range(24)}
    time.sleep(0.1)
    first.process.send_signal(signal.SIGTERM)
    assert first.wait_for_log("event=stopping")
    for client in waiting.values():
        client.send_line(b" 02 c=chat,d=2000,g=0a")
    ran = [id for id, client in waiting.items() if client.read_line().startswith(b"UP ")]
    for client in waiting.values():
        leave(client)
    answers = [open_call(address, id).read_line() for id in ran]
    assert first.process.wait(WAIT) == 0
    answers += [open_call(address, id).read_line() for id in ran]
    assert any(f"call={id.decode()} " in first.log_text() for id in ran), "the old process has taken some"
    assert answers == [b"ERR"] * len(answers)
