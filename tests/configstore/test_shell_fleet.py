"""A whole fleet that follows the store, and what a node without the section loads."""

import json
import os
import signal
import subprocess
import sys

import pytest
import shells

from cottonspread.fleet import control


@pytest.fixture
def store(tmp_path):
    made = shells.Store(tmp_path)
    yield made
    made.end()


class Fleet:
    """Two instances under a supervisor."""

    def __init__(self, store, discovery, **settings):
        self.store, self.port = store, shells.free_ports(2)[0]
        (store.folder / "template.json").write_text(
            json.dumps(configuration(discovery) | {"limits": {"memory_mb": 100}})
        )
        fleet = {
            "name": "f",
            "config": "template.json",
            "instances": 2,
            "listen": f"127.0.0.1:{self.port}",
            "state": "s",
            "stuck_s": 10.0,
            "start_s": 30.0,
            "live_watch_s": 0.1,
            **settings,
        }
        self.keys = "[fleet]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in fleet.items())
        self.toml = store.operator("fleet", self.keys)
        self.start()

    def start(self):
        self.process = self.store.process("fleet.log", "fleet", "run", "--operator", str(self.toml))
        self.store.nodes.append(self.process)
        shells.until(lambda: self.status().get("ready"), self.log, 60)

    def status(self):
        try:
            with control.connect(str(self.store.folder / "s" / "fleet.sock")) as sock:
                sock.sendall(b'{"do": "status"}\n')
                return json.loads(sock.makefile().readline())["status"]
        except (OSError, ValueError):
            return {}

    def pids(self):
        return [row["pid"] for row in self.status()["instances"]]

    def log(self):
        return (self.store.folder / "fleet.log").read_text()


def configuration(discovery, *names):
    return shells.configuration(TrafficTypes=shells.types("chat", *names)) | {"discovery": discovery}


def test_a_fleet_takes_over_what_is_published_and_says_why_it_refuses(store, capsys):
    discovery = shells.two_toys()
    fleet = Fleet(store, discovery, discovery_step=1)
    fleet.process.send_signal(signal.SIGHUP)  # with its own file it goes on as ever
    shells.until(lambda: "event=rollout" in fleet.log(), fleet.log)
    pids = fleet.pids()
    store.until_heard(1)

    code, said = store.publish(capsys, configuration(discovery, "other"))
    assert code == 0 and "in force at 1 nodes" in said, said
    assert fleet.pids() == pids, "nobody was restarted"
    assert [log(store, n).count("event=reload") for n in range(2)] == [1, 1]
    shown = fleet.status()["configuration"]
    assert (shown["version"], shown["refused"], shown["cut_off"]) == (1, 0, False)

    code, said = store.publish(capsys, configuration("127.0.0.1:65535", "third"))
    assert code == 1 and "discovery: '127.0.0.1:65536' is not an address" in said, said
    shells.until(lambda: fleet.status()["configuration"]["version"] == 3, "the body before, as a new version")
    assert fleet.pids() == pids

    for process in (fleet.process, *store.replicas):
        process.kill()
        process.wait()
    fleet.start()
    assert fleet.pids() == pids and "event=going-back" not in fleet.log()
    assert [log(store, n).count("event=reload") for n in range(2)] == [1, 1], (
        "it had what it needs on its disk"
    )


def log(store, n):
    return (store.folder / "s" / "log" / f"f-{n}.log").read_text()


def test_only_a_new_supervisor_takes_another_section(store):
    fleet = Fleet(store, shells.toy())
    store.operator("fleet", fleet.keys, node="another")
    words = [sys.executable, "-m", "cottonspread", "fleet", "reload", "--operator", str(fleet.toml)]
    done = subprocess.run(words, cwd=shells.ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 1 and "configuration: only a new supervisor takes this over" in done.stderr


WITHOUT = """
import os, sys
from cottonspread.net.node import Node
Node.join = lambda self, wait=None: True
from cottonspread.cli import main
main(sys.argv[1:])
print([name for name in sys.modules if "configstore" in name], flush=True)
os._exit(0)
"""


@pytest.mark.parametrize("more", [(), ("--operator", "o.toml")])
def test_a_node_without_the_section_loads_nothing_of_the_store(tmp_path, more):
    (tmp_path / "o.toml").write_text("[log]\n")
    whole = shells.configuration() | {"listen": "127.0.0.1:0", "operator": None}
    (tmp_path / "node.json").write_text(json.dumps(whole))
    done = subprocess.run(
        [sys.executable, "-c", WITHOUT, "serve", "--config", "node.json", *more],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(shells.ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.stdout.splitlines()[-1:] == ["[]"], done.stdout + done.stderr
