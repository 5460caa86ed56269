"""`lab scale` end to end at small sizes, and hollow requests compared with real ones over sockets."""

import subprocess
import sys
import time
from pathlib import Path

import pytest

from cottonspread.cli import main
from cottonspread.lab.scale import command
from cottonspread.lab.scale.hollow_plans import Size
from cottonspread.lab.scale.hollow_sockets import ListClient
from cottonspread.lab.scale.hollow_sweeps import FleetRun
from cottonspread.lab.scale.processes import ListStub, Relay
from cottonspread.lab.scale.results import read, read_fault_run

ROOT = Path(__file__).parent.parent.parent


def test_a_small_run_prints_its_points_and_writes_its_result(tmp_path):
    """In a process of its own: its memory is measured, which falls when other tests free theirs."""
    words = ["lab", "scale", "--small", "--seed", "3", "--only", "hollow-changes", "fault-node-lost"]
    arguments = [sys.executable, "-m", "cottonspread", *words, "--out", str(tmp_path)]
    done = subprocess.run(arguments, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    shown = done.stdout
    assert "control_bytes_in" in shown and "changes_a_minute 600" in shown and "fault-node-lost" in shown
    sweep = read(tmp_path / "hollow-changes.json")
    assert sweep.fixed["seed"] == 3 and sweep.command.endswith("--small --seed 3 --only hollow-changes")
    assert read_fault_run(tmp_path / "fault-node-lost.json").seed == 3


def test_each_quick_sweep_runs_at_small_sizes():
    sweeps = [*command.hollow_propagation.SWEEPS[2:], *command.hollow_faults.SWEEPS]
    for sweep in map(command.scaled_down, sweeps):
        figures = command.run_inline(command.hollow_sweeps.measure_point, sweep, sweep.values[0], 1)
        assert figures and all(figure.value >= 0 for figure in figures.values())


def test_an_unknown_run_is_an_error_that_names_it(tmp_path, capsys):
    assert main(["lab", "scale", "--only", "no-such-run", "--out", str(tmp_path)]) == 2
    assert "no-such-run: one of hollow-nodes" in capsys.readouterr().err


def test_run_names_are_unique_and_small_runs_exclude_real_time_sweeps():
    names = [run.name for run in command.runs()]
    assert len(set(names)) == len(names)
    quick = {run.name for run in command.select_runs(command.Options(small=True))}
    assert "hollow-nodes" in quick and "fault-zone-lost" in quick
    assert not quick & {"sockets-idle", "sockets-changes", "real-beside-hollow"}


def test_other_sizes_are_taken_from_the_command_line():
    sweep = command.override_sizes(command.hollow_sweeps.SWEEPS[0], nodes=80, servers=7)
    assert sweep.values == (10, 20, 40, 80) and sweep.base.servers == 7


def test_a_run_that_takes_too_much_memory_fails(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(command, "MAX_GIB", 0)
    words = ["lab", "scale", "--small", "--only", "fault-node-lost", "--out", str(tmp_path)]
    assert main(words) == 1


@pytest.fixture
def list_stub(tmp_path):
    one = ListStub(tmp_path, 0, 20)
    one.begin(time.monotonic())
    yield one
    one.end()


def test_a_hollow_node_s_bytes_are_those_of_real_calls(list_stub):
    """A full list and a watch that ends without a change, over sockets and simulated."""
    relay = Relay(list_stub.address)
    client = ListClient(relay.address)
    for _ in range(2):
        assert client.discovery.poll() == 0
    client.discovery.http.close()
    relay.end()
    fleet_run = FleetRun(Size(nodes=1, servers=20, seconds=10.0))
    meter = fleet_run.fleet.nodes[0].fleet.total_work
    at = 2.0
    while meter().answers < 2:
        at += 0.1
        fleet_run.run_until(at)
    hollow, real = meter(), client.counts
    assert (real.requests, real.entries) == (2, 20) and hollow.entries == 20
    assert real.bytes_out == pytest.approx(hollow.bytes_out, rel=0.15)
    assert real.bytes_in == pytest.approx(hollow.bytes_in, rel=0.15)
    assert (relay.bytes_out, relay.bytes_in) == (real.bytes_out, real.bytes_in)
