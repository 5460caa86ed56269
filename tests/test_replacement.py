"""Whole `serve` processes on loopback: one is replaced by the next on its listening socket, or reloaded."""

import io
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from test_admin import call
from test_net import WAIT, Client, discovery_of, toy  # noqa: F401 (fixture)
from test_succession import CONFIG, without

from cottonspread.lab.soak.runner import unassigned_address

ROOT = Path(__file__).parent.parent


class Process:
    """A `serve` process; several of the same name share one listening socket."""

    def __init__(self, folder, listener, discovery_address, **more):
        self.operator_address = unassigned_address()
        values = (
            {key: value for key, value in CONFIG.items() if key != "operator"}
            | {
                "discovery": "{}:{}".format(*discovery_address),
                "listen": "{}:{}".format(*listener.getsockname()),
            }
            | more
        )
        (folder / "node.json").write_text(json.dumps(values))
        self.log = io.FileIO(folder / f"{len(list(folder.glob('*.log')))}.log", "w+b")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cottonspread", "serve", "--config", str(folder / "node.json")],
            cwd=ROOT,
            stderr=self.log,
            pass_fds=(listener.fileno(),),
            env=os.environ
            | {
                "TMPDIR": str(folder),
                "PROXY_INHERITED_FD": str(listener.fileno()),
                "PROXY_OPERATOR": "{}:{}".format(*self.operator_address),
            },
        )

    def ready(self):
        while self.process.poll() is None:
            try:
                if call(self.operator_address, b"health\n") == b"200 yes\n":
                    return self
            except OSError:  # not listening yet
                pass
        raise AssertionError(self.log_text())

    def log_text(self):
        self.log.seek(0)
        return self.log.read().decode()

    def wait_for_log(self, text):
        """Waits for a text in the log, which a separate thread writes with a short delay."""
        deadline = time.monotonic() + WAIT
        while text not in self.log_text():
            assert time.monotonic() < deadline, self.log_text()
        return True

    def counter(self, name):
        text = call(self.operator_address, b"counters\n").decode()
        return int(next(line for line in text.splitlines() if line.startswith(f"app_{name}")).split()[-1])


@pytest.fixture
def servers(toy):  # noqa: F811
    return toy.Toy(2)


@pytest.fixture
def platform(tmp_path, servers):
    discovery = discovery_of(servers)
    listener, processes = socket.create_server(("127.0.0.1", 0), backlog=200), []

    def start(**more):
        processes.append(Process(tmp_path, listener, discovery, **more))
        return processes[-1]

    yield start, listener.getsockname()
    for node in processes:
        node.process.kill()
        node.process.wait(WAIT)


def open_call(address, id, key=b"0a"):
    return Client(address, b"OPEN %s 02 c=chat,d=2000,g=%s" % (id, key))


def open_connections(address, count):
    """Opens `count` connections, one after the other: a server that has not answered yet gets at most four
    call setups at a time.
    """
    clients = []
    for n in range(count):
        clients.append(open_call(address, b"a%d" % n, b"g%d" % n))
        assert clients[-1].read_line().startswith(b"UP ")
    return clients


def test_a_process_is_replaced_and_no_client_is_refused(platform):
    """The second process failed to bind its address and exited."""
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 6)
    second = start().ready()
    assert second.wait_for_log("handed=True") and first.wait_for_log("hands-over")
    duplicate = open_call(address, b"a0")  # whichever of the two takes it
    assert duplicate.read_line() == b"ERR"
    answers, done = [], threading.Event()

    def open_calls():
        n = 0
        while not done.is_set():
            n += 1
            client = open_call(address, b"b%d" % n, b"g%d" % (n % 9))
            answers.append(client.read_line())
            client.sock.close()

    caller = threading.Thread(target=open_calls, daemon=True)
    caller.start()
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    done.set()
    caller.join(WAIT)
    assert len(answers) > 10 and all(answer.startswith(b"UP ") for answer in answers)
    for n, client in enumerate(clients):  # established connections go on at the second process
        client.send_line(b"still here %d" % n)
        assert client.read_line() == b"still here %d" % n
    assert open_call(address, b"a0").read_line() == b"ERR"
    assert (
        second.counter("inflight") >= 6
        and second.counter('success{tier="chat"}') > 0
        and second.process.poll() is None
    )
    assert first.log_text().count("reason=handed-over") >= 6 and "moved" not in first.log_text()


def test_lines_sent_during_the_transfer_arrive_once_and_in_order(platform):
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 12)
    start().ready()
    received, done = [[] for _ in range(6)], threading.Event()  # half of them send without a pause

    def send_lines(client, echoes):
        n = 0
        while (not done.is_set() or n < 50) and b"MOVE" not in echoes:
            client.send_line(b"line %d" % n)
            echoes.append(client.read_line())
            n += 1

    senders = [
        threading.Thread(target=send_lines, args=pair, daemon=True)
        for pair in zip(clients[:6], received, strict=True)
    ]
    for sender in senders:
        sender.start()
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    done.set()
    for sender in senders:
        sender.join(WAIT)
    transferred = first.log_text().count("reason=handed-over")
    assert transferred + sum(b"MOVE" in echoes for echoes in received) == 12 and transferred >= 6
    for echoes in received:  # a connection that was never idle when checked is moved
        before_move = echoes[: echoes.index(b"MOVE")] if b"MOVE" in echoes else echoes
        assert before_move == [b"line %d" % n for n in range(len(before_move))]


def test_a_successor_stopped_during_the_transfer_loses_no_connection(platform):
    """Some connections have been transferred and some are not idle yet when both processes stop."""
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 12)
    second = start().ready()
    received = [[] for _ in clients]

    def send_lines(client, echoes):
        while b"MOVE" not in echoes and b"" not in echoes:
            client.send_line(b"line")
            echoes.append(client.read_line())
        echoes.append(client.read_line())

    senders = [
        threading.Thread(target=send_lines, args=pair, daemon=True)
        for pair in zip(clients, received, strict=True)
    ]
    for sender in senders[:6]:
        sender.start()
    first.process.send_signal(signal.SIGTERM)
    assert second.wait_for_log("event=adopted")
    second.process.send_signal(signal.SIGTERM)
    for sender in senders[6:]:
        sender.start()
    for sender in senders:
        sender.join(WAIT)
    assert first.process.wait(WAIT) == 0 and second.process.wait(WAIT) == 0
    for echoes in received:
        assert echoes[-2:] == [b"MOVE", b""] and set(echoes[:-2]) <= {b"line"}
    assert "Traceback" not in first.log_text() + second.log_text()


def test_clients_of_a_server_that_drains_during_a_replacement_are_moved(platform, servers):
    """Guards against moves that are lost with the process that planned them when the drain was listed."""
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 6)
    second = start().ready()
    servers.change(0, "Terminating")
    assert all(node.wait_for_log("news=changes version=2") for node in (first, second))
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    log = first.log_text()
    ended = re.findall(r"event=closed .*call=a(\d) .*host=(toy-\d)", log)
    assert len(ended) == 6 and {host for _, host in ended} == {"toy-1", "toy-2"}
    assert "reason=handed-over" in log
    for number, host in ended:
        client = clients[int(number)]
        if host == "toy-1":
            assert client.read_line() == b"MOVE" and client.read_line() == b""
        else:
            client.send_line(b"still here")
            assert client.read_line() == b"still here"


def test_half_a_line_waits_for_its_other_half_and_is_not_lost(platform):
    start, address = platform
    first = start().ready()
    (client,) = open_connections(address, 1)
    start().ready()
    client.sock.sendall(b"first ha")
    first.process.send_signal(signal.SIGTERM)
    assert first.wait_for_log("event=stopping")
    client.sock.sendall(b"lf\r\n")
    assert client.read_line() == b"first half" and first.process.wait(WAIT) == 0
    client.send_line(b"more")
    assert client.read_line() == b"more" and first.wait_for_log("reason=handed-over")


def test_when_the_successor_has_exited_the_predecessor_moves_the_clients(platform):
    start, address = platform
    first = start().ready()
    (client,) = open_connections(address, 1)
    second = start().ready()
    second.process.kill()
    second.process.wait(WAIT)
    first.process.send_signal(signal.SIGTERM)
    assert client.read_line() == b"MOVE" and client.read_line() == b"" and first.process.wait(WAIT) == 0


def test_a_hanging_successor_delays_one_connection_and_the_others_are_moved(platform):
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 4)
    second = start().ready()
    assert second.wait_for_log("handed=True")
    second.process.send_signal(signal.SIGSTOP)
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    second.process.send_signal(signal.SIGCONT)
    for client in clients:
        client.send_line(b"still here")
    assert sorted(client.read_line() for client in clients) == [b"MOVE"] * 3 + [b"still here"]


def test_a_slow_disk_does_not_keep_the_state_from_the_successor(platform, tmp_path, monkeypatch):
    """Guards against a successor that starts without its predecessor's state, since request and reply were
    synchronised with a busy disk.
    """
    slow = tmp_path / "slow"
    slow.mkdir()
    (slow / "sitecustomize.py").write_text("import os, time\nos.fsync = lambda fd: time.sleep(0.7)\n")
    monkeypatch.setenv("PYTHONPATH", str(slow))
    start, address = platform
    first = start().ready()
    open_connections(address, 1)
    second = start().ready()
    assert second.wait_for_log("handed=True") and first.wait_for_log("hands-over")


def test_a_slow_disk_does_not_delay_the_next_change_of_the_list(platform, servers, tmp_path, monkeypatch):
    """Guards against a node that learns late that a server drains: it was still saving the list before."""
    slow = tmp_path / "slow"
    slow.mkdir()
    (slow / "sitecustomize.py").write_text("import os, time\nos.fsync = lambda fd: time.sleep(1.5)\n")
    monkeypatch.setenv("PYTHONPATH", str(slow))
    start, _ = platform
    node = start().ready()
    servers.change(0, "Terminating")
    assert node.wait_for_log("news=changes version=2")
    servers.change(1, "Terminating")
    changed_at = time.monotonic()
    assert node.wait_for_log("news=changes version=3")
    assert time.monotonic() - changed_at < 0.5, "the grace in which a draining server may get calls"


def test_a_successor_that_cannot_start_leaves_the_other_serving(platform):
    start, address = platform
    first = start().ready()
    for more in ({"seed": "no"}, {"known": {"instances": 1}}):
        second = start(**more)
        assert second.process.wait(WAIT) == 2
    assert open_call(address, b"a1").read_line().startswith(b"UP ") and first.process.poll() is None


def test_after_a_kill_the_next_process_starts_with_the_saved_list(platform):
    start, address = platform
    first = start().ready()
    first.process.kill()
    first.process.wait(WAIT)
    second = start(discovery="127.0.0.1:1").ready()  # discovery does not answer
    assert second.wait_for_log("alone=True") and open_call(address, b"a1").read_line().startswith(b"UP ")


def test_a_hanging_predecessor_does_not_keep_the_successor_from_serving(platform):
    start, address = platform
    first = start().ready()
    first.process.send_signal(signal.SIGSTOP)
    try:
        second = start().ready()
        assert second.wait_for_log("handed=False")
    finally:
        first.process.send_signal(signal.SIGCONT)


def test_sighup_changes_the_types_of_a_serving_node(platform, tmp_path):
    start, address = platform
    node = start().ready()
    client = open_call(address, b"a1")
    assert client.read_line().startswith(b"UP ")
    values = json.loads((tmp_path / "node.json").read_text())
    for text, counter in (("{", "reconfig_failed"), (json.dumps(without(("name",))), "reconfig_failed")):
        (tmp_path / "node.json").write_text(text)
        before = node.counter(counter)
        node.process.send_signal(signal.SIGHUP)
        while node.counter(counter) == before:
            pass
    assert node.counter("reconfig_failed") == 2 and node.counter("reconfig_ok") == 0
    values["settings"]["TrafficTypes"][0]["Name"] = "talk"
    (tmp_path / "node.json").write_text(json.dumps(values))
    node.process.send_signal(signal.SIGHUP)
    while not node.counter("reconfig_ok"):
        pass
    assert Client(address, b"OPEN a2 02 c=talk,d=2000,g=0b").read_line().startswith(b"UP ")
    assert Client(address, b"OPEN a3 02 c=chat,d=2000,g=0b").read_line() == b"ERR"
    client.send_line(b"still here")
    assert client.read_line() == b"still here"
