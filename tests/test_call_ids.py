"""Guards against an id that runs twice: its call ended, or its client left, at one process of a
replacement, and then it came to the other.
"""

import contextlib
import os
import signal
import socket
import time
from pathlib import Path

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


def thread_states(pid):
    """The states of a process's threads, as letters; T: stopped."""
    return {path.read_text().rpartition(") ")[2][0] for path in Path(f"/proc/{pid}/task").glob("*/stat")}


def wait_until_stopped(pid):
    """Waits until every thread has stopped: until then one may accept a connection."""
    deadline = time.monotonic() + WAIT
    while thread_states(pid) != {"T"}:
        assert time.monotonic() < deadline


@contextlib.contextmanager
def stopped(process):
    """Stops a process meanwhile: the other one takes what comes, and does not wait for it."""
    process.process.send_signal(signal.SIGSTOP)
    wait_until_stopped(process.process.pid)
    try:
        yield
    finally:
        process.process.send_signal(signal.SIGCONT)


def take_and_leave(address, ids):
    for id in ids:
        client = open_call(address, id)
        assert client.read_line().startswith(b"UP ")
        leave(client)


@pytest.mark.parametrize("stopping", (False, True))
def test_an_id_that_came_while_both_processes_run_does_not_run_at_the_other(platform, stopping):  # noqa: F811
    """In both directions, and also after the first process has exited."""
    start, address = platform
    first = start().ready()
    second = start().ready()
    assert second.wait_for_log("event=takes")
    at_first, at_second = [b"f%d" % n for n in range(8)], [b"s%d" % n for n in range(8)]
    with stopped(second):
        take_and_leave(address, at_first)
    with stopped(first):
        take_and_leave(address, at_second)
        assert [open_call(address, id).read_line() for id in at_first] == [b"ERR"] * 8
    with stopped(second):
        assert [open_call(address, id).read_line() for id in at_second] == [b"ERR"] * 8
    if stopping:
        first.process.send_signal(signal.SIGTERM)
        assert first.process.wait(WAIT) == 0
        assert [open_call(address, id).read_line() for id in at_first + at_second] == [b"ERR"] * 16


def test_an_id_that_comes_to_the_old_process_as_it_stops_does_not_run_at_the_new_one(platform):  # noqa: F811
    start, address = platform
    first = start().ready()
    second = start().ready()
    assert second.wait_for_log("event=takes")
    with stopped(second):  # the old process accepts these; the rest of their first lines comes after SIGTERM
        waiting = {b"w%d" % n: SlowClient(address, b"OPEN w%d" % n) for n in range(8)}
        take_and_leave(address, [b"behind-them"])
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
    assert ran and all(f"call={id.decode()} " in first.log_text() for id in ran)
    assert answers == [b"ERR"] * len(answers)


def shares_ids(process):
    """Whether a process has the file of shared ids open."""
    links = Path(f"/proc/{process.process.pid}/fd").glob("*")
    return any(".ids" in os.path.realpath(link) for link in links)


@pytest.mark.parametrize("survivor", ("first", "second"))
def test_ids_are_shared_until_one_process_has_ended_and_then_remembered(platform, tmp_path, survivor):  # noqa: F811
    start, address = platform
    processes = {"first": start().ready(), "second": start().ready()}
    assert processes["second"].wait_for_log("event=takes") and all(map(shares_ids, processes.values()))
    kept = processes.pop(survivor)
    (ending,) = processes.values()
    with stopped(kept):
        take_and_leave(address, [b"of-the-other"])
    ending.process.kill()
    ending.process.wait(WAIT)
    deadline = time.monotonic() + WAIT
    while shares_ids(kept):
        assert time.monotonic() < deadline
        time.sleep(0.02)
    assert survivor == "first" or not list(tmp_path.glob("*.ids")), "the successor removes the file"
    assert open_call(address, b"of-the-other").read_line() == b"ERR"
    assert open_call(address, b"new").read_line().startswith(b"UP ")
