"""Case 3: a withdrawn version stays in force at its canaries, for the body before does not come back."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

NODES = 3
KILL_AFTER = 0.5  # seconds from the line "canaries" to the loss: canaries settle for 1 s at least
WATCH = 15.0  # seconds for the nodes to take over what is in force; promise 4: 3 s
PYTHON = str(standins.ROOT / ".venv" / "bin" / "python")
CHAT = {"Effect": "safe", "SetupTarget": 800.0, "GuardTime": 4800.0, "Revenue": 1.0, "Stream": True}


class Store:
    """Three replicas of the configuration store."""

    def __init__(self, folder, record):
        """Starts them for the first time."""
        self.folder, self.record = folder, record
        self.names = [f"127.0.0.1:{standins.free_port()}" for _ in range(3)]
        self.processes = [self.start(n, "--new") for n in range(3)]

    @property
    def addresses(self):
        """As --replicas wants them."""
        return ",".join(self.names)

    def start(self, n, *more):
        """Starts replica `n` as the guide says; `more`: further arguments."""
        self.record.note("staff", f"starts replica {n}")
        peers = ",".join(name for name in self.names if name != self.names[n])
        words = [
            "serve",
            "--listen",
            self.names[n],
            "--peers",
            peers,
            "--state",
            f"{self.folder}/replica-{n}",
        ]
        with open(self.folder / f"replica-{n}.log", "ab") as log:
            return subprocess.Popen(
                [PYTHON, "-m", "cottonspread", "configuration", *words, *more],
                cwd=standins.ROOT,
                stdout=log,
                stderr=log,
            )

    def kill(self, n):
        """Kills replica `n`."""
        self.processes[n].kill()
        self.processes[n].wait()
        self.record.note("test", f"kills replica {n}")

    def command(self, *words):
        """Starts `configuration ...`."""
        self.record.note("staff", "configuration " + " ".join(words))
        return subprocess.Popen(
            [
                PYTHON,
                "-m",
                "cottonspread",
                "configuration",
                words[0],
                "--replicas",
                self.addresses,
                *words[1:],
            ],
            cwd=standins.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def run(self, *words):
        """Runs `configuration ...` to its end; returns exit code and output."""
        process = self.command(*words)
        output = process.communicate(timeout=40)[0]
        self.record.note("staff", f"exit code {process.returncode}: {output.strip()!r}")
        return process.returncode, output

    def status(self):
        """What `configuration status --json` says."""
        process = self.command("status", "--json", "--wait", "1")
        return json.loads(process.communicate(timeout=20)[0])

    def end(self):
        """Ends the replicas."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(10)


def answer(node, record, name):
    """The first word that a client of this class gets from the node."""
    client = standins.Client(node.address, record, name, 4800, 0.0)
    client.thread.join(8)
    return (client.answer or "(nothing)").split(" ")[0]


def wait_for(condition, wait, pause=0.2):
    """Waits until the condition is true; returns its last value."""
    deadline = time.monotonic() + wait
    while not (value := condition()) and time.monotonic() < deadline:
        time.sleep(pause)
    return value


class NotRunError(Exception):
    """The case could not run; the text says why."""


def require(condition, why):
    """Raises NotRunError unless the condition holds."""
    if not condition:
        raise NotRunError(why)


def start_nodes(record, folder, store, discovery, before):
    """Starts the nodes, each with the operator's file that makes it follow the store."""
    nodes = []
    for n in range(NODES):
        toml = folder / f"n{n}.toml"
        toml.write_text(f"[configuration]\nreplicas = {json.dumps(store.names)}\nstate = 'kept-{n}'\n")
        more = f" --operator {toml}"
        nodes.append(standins.Node(folder, record, discovery, before, f"n{n}", None, more))
    return nodes


def publish_and_lose_replicas(record, store, file):
    """Publishes a file, loses two of three replicas meanwhile, starts one of them again, and withdraws."""
    publisher = store.command("publish", file)
    for line in publisher.stdout:
        record.note("publisher", line.strip())
        if line.startswith("canaries:"):
            break
    time.sleep(KILL_AFTER)
    for n in (1, 2):
        store.kill(n)
    output = publisher.communicate(timeout=30)[0].strip().replace("\n", " | ")
    record.note("publisher", f"exit code {publisher.returncode}: {output}")
    require(publisher.returncode == 3, "the publisher did not say that there is no majority")
    store.processes[1] = store.start(1)
    require(wait_for(lambda: store.status()["quorum"], 20), "the replica did not come back")
    time.sleep(3)  # the nodes are heard again
    shown = store.status()
    record.note("staff", f"status: version {shown['version']} at stage {shown['stage']}")
    require(shown["stage"] == "canary", "the version is not at its canaries")
    require(store.run("publish", "--withdraw")[0] == 1, "it was not withdrawn")


def nodes_behind(record, nodes, served, dropped):
    """The names of the nodes that do not answer by the body that has to be in force."""
    return [
        node.name
        for node in nodes
        if (answer(node, record, served), answer(node, record, dropped)) != ("UP", "ERR")
    ]


def play(record, folder, store, nodes, trouble):
    """Plays the run; returns the nodes that do not answer as they have to."""
    cell = standins.Cell(0)
    hosts = [standins.Host(f"s-{n}", cell, record) for n in range(3)]
    discovery = standins.Discovery([host.entry() for host in hosts], record).address
    before = standins.settings(TrafficTypes=[{"Name": "chat"} | CHAT], Balancers=NODES)
    after = standins.settings(TrafficTypes=[{"Name": "talk"} | CHAT], Balancers=NODES)
    first = {"name": "x", "listen": "127.0.0.1:1", "discovery": discovery, "settings": before}
    second = first | {"settings": after}
    (folder / "first.json").write_text(json.dumps(first))
    (folder / "second.json").write_text(json.dumps(second))

    nodes += start_nodes(record, folder, store, discovery, before)
    require(all(node.until_ready() for node in nodes), "a node did not get ready")
    require(wait_for(lambda: len(store.status()["waiting"]) == NODES, 20), "the replicas do not hear all")
    require(store.run("publish", f"{folder}/first.json", "--without-canaries")[0] == 0, "no version 1")
    require({answer(node, record, "chat") for node in nodes} == {"UP"}, "version 1 is not in force")

    if trouble:
        publish_and_lose_replicas(record, store, f"{folder}/second.json")
    else:
        store.run("publish", f"{folder}/second.json")
    shown = store.status()
    record.note("staff", f"status: version {shown['version']} at stage {shown['stage']}")
    names = ("chat", "talk") if trouble else ("talk", "chat")  # of the class to be served, and the other
    wait_for(lambda: not nodes_behind(record, nodes, *names), WATCH, 3.0)
    late = nodes_behind(record, nodes, *names)
    shown = store.status()
    reported = {one["name"]: one["version"] for one in shown["waiting"]}
    record.note("staff", f"status: version {shown['version']} {shown['stage']}; nodes report {reported}")
    return late


def run(record, folder, trouble):
    """Plays the run and ends all processes; returns the exit code."""
    store, nodes = Store(folder, record), []
    try:
        late = play(record, folder, store, nodes, trouble)
    except NotRunError as error:
        record.note("test", f"the case could not run: {error}")
        return 2
    finally:
        for node in nodes:
            node.end()
        store.end()
    for name in late:
        record.note("check", f"BROKEN: {name} answers by the withdrawn version")
    record.note("check", f"{NODES} nodes, {len(late)} not by the body that has to be in force")
    return standins.BROKEN if late else 0


def main():
    """Runs the case; returns the exit code."""
    standins.end_on_sigterm()
    record = standins.Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            return run(record, Path(folder), os.environ.get("TROUBLE", "1") != "0")
        finally:
            record.write(Path(__file__).resolve().parent / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
