"""Real replicas, nodes and followers on loopback, for the tests of the I/O shells.

Every wait is for the expected condition, with a timeout.
"""

import importlib.util
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from cottonspread import cli
from cottonspread.configstore import driver
from cottonspread.configstore import messages as m
from cottonspread.configstore.client import Client

ROOT = Path(__file__).parent.parent.parent
WAIT = 20


def until(condition, what, wait=WAIT):
    """Waits until `condition()` is true and returns its value; AssertionError after `wait` seconds."""
    deadline = time.monotonic() + wait
    while not (value := condition()):
        assert time.monotonic() < deadline, what() if callable(what) else what
        time.sleep(0.01)
    return value


PORTS = iter(range(15_000 + os.getpid() * 40 % 5_000, 21_000))


def free_ports(count):
    """Returns consecutive ports that nobody listens on, below the system's ephemeral range.

    No port is returned twice, because the intended listener may not have bound it yet.
    """
    found = []
    while len(found) < count:
        port = next(PORTS)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            found = []
            continue
        found.append(port)
    return found


def start_toy(port=0):
    """Starts a discovery service with one server; returns its address. `port`: 0 for any."""
    spec = importlib.util.spec_from_file_location("toy", ROOT / "examples" / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    discovery, listener = module.Toy(1), socket.create_server(("127.0.0.1", port))
    threading.Thread(target=discovery.accept, args=(listener, discovery.discover), daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def start_two_toys():
    """Starts two discovery services on consecutive ports; returns the first one's address."""
    first, second = free_ports(2)
    start_toy(second)
    return start_toy(first)


def configuration(**settings):
    """Returns the example's platform JSON, parsed, with these additional settings."""
    config_json = json.loads((ROOT / "examples" / "node.json").read_text())
    config_json["settings"] |= settings
    return config_json


def types(*names):
    """Returns traffic types with these names."""
    first = configuration()["settings"]["TrafficTypes"][0]
    return [{**first, "Name": name} for name in names]


class Store:
    """Three replica processes, and the nodes and followers that watch them."""

    def __init__(self, folder):
        self.folder, self.ports = folder, free_ports(3)
        self.names = [f"127.0.0.1:{port}" for port in self.ports]
        self.replicas, self.nodes, self.followers = [None] * 3, [], []
        for n in range(3):
            self.start(n, "--new")

    @property
    def addresses(self):
        """The replicas' addresses as a command-line argument."""
        return ",".join(self.names)

    def process(self, log, *words):
        """Starts a `cottonspread` command as a process."""
        with open(self.folder / log, "ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", "cottonspread", *words], cwd=ROOT, stdout=out, stderr=out
            )

    def start(self, n, *more):
        """Starts replica n; `more`: further arguments of its command."""
        peers = ",".join(name for name in self.names if name != self.names[n])
        words = ("--listen", self.names[n], "--peers", peers, "--state", str(self.folder / f"r{n}"))
        self.replicas[n] = self.process(f"r{n}.log", "configuration", "serve", *words, *more)

    def kill(self, n):
        """Kills replica n, as a power failure would."""
        self.replicas[n].kill()
        self.replicas[n].wait(WAIT)

    def command(self, capsys, *words):
        """Returns exit code and output of `cottonspread configuration ...`."""
        capsys.readouterr()
        code = cli.main(["configuration", words[0], "--replicas", self.addresses, *words[1:]])
        output = capsys.readouterr()
        return code, output.out + output.err

    def status(self, capsys):
        """Returns the status, parsed."""
        _, output = self.command(capsys, "status", "--json", "--wait", "1")
        return json.loads(output)

    def publish(self, capsys, config_json, *words):
        """Publishes a configuration; returns exit code and output."""
        file = self.folder / "next.json"
        file.write_text(json.dumps(config_json))
        return self.command(capsys, "publish", str(file), *words)

    def until_watching(self, count):
        """Waits until `count` nodes watch two replicas each, so that any majority has all their reports."""

        def watches():
            states = driver.read_states(tuple(self.names), 1.0).values()
            replies = [state for state in states if isinstance(state, m.StateReply)]
            return sum(received.watching for reply in replies for received in reply.reports)

        until(lambda: watches() >= 2 * count, lambda: f"{watches()} watches of {count} nodes")

    def operator(self, name, more="", **keys):
        """Writes an operator's file with the section for this store; returns its path."""
        keys = {"replicas": self.names, "state": f"kept-{name}", **keys}
        path = self.folder / f"{name}.toml"
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())
        path.write_text(f"{more}[configuration]\n{text}")
        return path

    def follower(self, name, check=lambda record: None, apply=lambda record, done: done(True)):
        """Starts a follower without a node in this process."""
        client = Client(name, tuple(self.names), str(self.folder / name), check, apply)
        client.start()
        self.followers.append(client)
        return client

    def end(self):
        """Stops all followers, nodes and replicas."""
        for client in self.followers:
            client.stop()
        for process in [*self.nodes, *self.replicas]:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in [*self.nodes, *self.replicas]:
            try:
                process.wait(WAIT)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                raise


class ServeNode:
    """A node, `cottonspread serve`, that follows the store."""

    def __init__(self, store, name, discovery, **settings):
        self.store, self.name, self.port = store, name, free_ports(1)[0]
        self.file = store.folder / f"{name}.json"
        own = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery}
        config_json = configuration(**settings) | own
        del config_json["operator"]
        self.file.write_text(json.dumps(config_json))
        self.toml = store.operator(name)
        self.start()

    def start(self):
        """Starts the process and waits until it serves."""
        words = ("serve", "--config", str(self.file), "--operator", str(self.toml))
        self.process = self.store.process(f"{self.name}.log", *words)
        self.store.nodes.append(self.process)
        until(lambda: self.accepts("chat"), lambda: self.log())

    def log(self):
        """Returns the complete log."""
        return (self.store.folder / f"{self.name}.log").read_text()

    def first_answer(self, kind):
        """Returns the first line of the answer to a call of this type, or the error."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=5) as sock:
                sock.sendall(b"OPEN i%d k c=%s,d=20\r\n" % (time.monotonic_ns(), kind.encode()))
                return sock.makefile("rb").readline().decode().strip()
        except OSError as error:
            return str(error)

    def accepts(self, kind):
        """Whether the node accepts a call of this type."""
        return self.first_answer(kind).startswith("UP")

    def knows(self, kind):
        """Whether this type is configured: an unknown type is answered ERR, a slow server gives BUSY."""
        answer = self.first_answer(kind)
        assert answer.split(" ")[0] in ("UP", "BUSY", "ERR"), answer
        return not answer.startswith("ERR")
