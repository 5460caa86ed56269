"""A complete fleet that follows the store, and which modules a node without the section loads."""

import json
import os
import signal
import subprocess
import sys
from types import SimpleNamespace

import pytest
import shells

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.configstore import messages as m
from cottonspread.fleet import control
from cottonspread.fleet import plan as plans
from cottonspread.fleet.store_follower import StoreFollower


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


def test_a_fleet_applies_what_is_published_and_reports_why_it_refuses(store, capsys):
    discovery = shells.start_two_toys()
    fleet = Fleet(store, discovery, discovery_step=1)
    fleet.process.send_signal(signal.SIGHUP)  # before the first publish its own file counts
    shells.until(lambda: "event=rollout" in fleet.log(), fleet.log)
    pids = fleet.pids()
    store.until_watching(1)

    code, output = store.publish(capsys, configuration(discovery, "other"))
    assert code == 0 and "in force at 1 nodes" in output, output
    assert fleet.pids() == pids, "no process was restarted"
    assert [log(store, n).count("event=reload") for n in range(2)] == [1, 1]
    shown = fleet.status()["configuration"]
    assert (shown["version"], shown["refused"], shown["cut_off"]) == (1, 0, False)

    code, output = store.publish(capsys, configuration("127.0.0.1:65535", "third"))
    assert code == 1 and "discovery: '127.0.0.1:65536' is not an address" in output, output
    shells.until(lambda: fleet.status()["configuration"]["version"] == 3, "the body before, as a new version")
    assert fleet.pids() == pids

    for process in (fleet.process, *store.replicas):
        process.kill()
        process.wait()
    fleet.start()
    assert fleet.pids() == pids and "event=going-back" not in fleet.log()
    assert [log(store, n).count("event=reload") for n in range(2)] == [1, 1], "the saved record sufficed"


def log(store, n):
    return (store.folder / "s" / "log" / f"f-{n}.log").read_text()


class Supervisor:
    """The part of a supervisor that `StoreFollower` uses; the test reports the outcome of rollouts."""

    def __init__(self, folder):
        self.path, self.program, self.rollouts = str(folder / "o.toml"), ("python", ""), []
        self.fleet = SimpleNamespace(name="f")
        self.core = SimpleNamespace(
            stopping=False, pending=None, plan=SimpleNamespace(program=("python", ""))
        )

    @staticmethod
    def check(text):
        return config.read_node(text, {})

    def read_plan(self, program):
        return plans.read(self.path, program, self.check, self.store_follower.wanted_body)

    def begin_rollout(self, plan, why, connection):
        self.rollouts.append((plan, connection))


def test_the_outcome_of_a_rollout_is_reported_and_a_failed_body_is_dropped(tmp_path):
    (tmp_path / "node.json").write_text(json.dumps(configuration("127.0.0.1:1")))
    (tmp_path / "o.toml").write_text(
        '[configuration]\nreplicas = ["127.0.0.1:1"]\n'
        '[fleet]\nname = "f"\nconfig = "node.json"\ninstances = 1\nlisten = "127.0.0.1:9"\n'
    )
    supervisor, outcomes = Supervisor(tmp_path), []
    store_follower = supervisor.store_follower = StoreFollower(
        supervisor, op.read_fleet(str(supervisor.path))[3]
    )
    store_follower.prepare()

    def enqueue(version, stage, text):
        record = m.make_record(version, version, stage, 2**32, text)
        store_follower.enqueue(record, lambda ok, why="": outcomes.append((version, ok, why)))
        store_follower.process_records()
        return record

    good = json.dumps(configuration("127.0.0.1:1", "second"))
    enqueue(1, m.Stage.CANARY, good)
    plan, connection = supervisor.rollouts.pop()
    assert "second" in plan.specs["f-0"].live and plan.fleet.live_watch_s == 0.5 and not outcomes
    connection.send({"ok": True, "why": "done"})
    assert (
        outcomes.pop() == (1, True, "done")
        and store_follower.body_in_force == store_follower.wanted_body == good
    )

    third = enqueue(2, m.Stage.EVERYWHERE, json.dumps(configuration("127.0.0.1:1", "third")))
    plan, connection = supervisor.rollouts.pop()
    assert plan.fleet.live_watch_s == 0 and store_follower.wanted_body == third.body
    connection.send({"ok": False, "why": "f-0: refused"})
    assert (
        outcomes.pop() == (2, False, "f-0: refused")
        and store_follower.body_in_force == store_follower.wanted_body == good
    )

    faulty = enqueue(3, m.Stage.EVERYWHERE, '{"settings": 3}')
    assert not supervisor.rollouts and outcomes.pop()[:2] == (3, False) and store_follower.wanted_body == good
    with pytest.raises(config.ConfigurationError):
        store_follower.check(faulty)
    store_follower.check(third)

    supervisor.core.stopping = True
    enqueue(4, m.Stage.EVERYWHERE, good)
    assert not supervisor.rollouts and outcomes.pop() == (4, False, "the fleet is stopping")


def test_another_section_needs_a_restart_of_the_supervisor(store):
    fleet = Fleet(store, shells.start_toy())
    store.operator("fleet", fleet.keys, node="another")
    words = [sys.executable, "-m", "cottonspread", "fleet", "reload", "--operator", str(fleet.toml)]
    done = subprocess.run(words, cwd=shells.ROOT, capture_output=True, text=True, timeout=60)
    assert (
        done.returncode == 1
        and "configuration: a change of this section needs a restart of the supervisor" in done.stderr
    )


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
