"""Faults in small hollow fleets: reproducible by seed, recovered, no rule broken; violations are found."""

import pytest

from cottonspread.lab.scale import hollow_faults
from cottonspread.lab.scale.hollow import ListMachine
from cottonspread.lab.scale.hollow_faults import EVENTS, event_size, fault_run, run_named_event
from cottonspread.lab.scale.hollow_sweeps import run_inline
from cottonspread.lab.scale.results import read_fault_run, write
from cottonspread.lab.sim.node import Process
from cottonspread.lab.sim.world import SECOND

BY_NAME = {event.name: event for event in EVENTS}


def small_size(name, seed=1):
    return event_size(BY_NAME[name], True, None, None, seed)


@pytest.fixture(scope="module")
def result_of():
    """Runs each event once, when a test first needs it."""
    results = {}

    def run(name):
        if name not in results:
            results[name] = run_named_event(name, small_size(name))
        return results[name]

    return run


@pytest.mark.parametrize("name", BY_NAME)
def test_no_rule_is_broken_and_the_fleet_recovers(result_of, name):
    result = result_of(name)
    assert result.violations == [] and result.rules_broken == 0
    assert result.figures["standing_before"] == result.figures["clients"]
    assert result.seconds_until_whole is not None
    assert result.figures["not_back_at_the_end"] == 0
    assert result.figures["nodes_without_a_change"] == 0


def test_the_same_seed_gives_the_same_trace_and_another_a_different_one(result_of):
    again = run_named_event("zone-lost", small_size("zone-lost"))
    first = result_of("zone-lost")
    measured = {"real_s", "peak_mib"}
    assert again.trace == first.trace
    assert {k: v for k, v in again.figures.items() if k not in measured} == {
        k: v for k, v in first.figures.items() if k not in measured
    }
    assert run_named_event("zone-lost", small_size("zone-lost", seed=2)).trace != first.trace


def test_a_lost_zone_loses_its_clients_and_they_reconnect_elsewhere(result_of):
    figures = result_of("zone-lost").figures
    assert figures["lost_reset"] >= 3  # one of eight nodes has about six of 48 clients
    assert figures["back_last_s"] < 5
    assert result_of("node-lost").figures["lost"] < figures["lost"]


def test_a_rollout_hands_established_clients_over(result_of):
    figures = result_of("rolling-release").figures
    assert figures["lost"] < 0.2 * figures["clients"]
    assert figures.get("lost_reset", 0) == 0


def test_lost_list_machines_only_delay_changes_at_their_nodes(result_of):
    one, two = result_of("list-machine-lost"), result_of("two-list-machines-lost")
    assert one.figures["lost"] == two.figures["lost"] == 0
    # eight nodes, three machines, four changes while they are away
    assert one.figures["changes_in_force_over_3_s"] == 3 * 4
    assert two.figures["changes_in_force_over_3_s"] == 6 * 4
    for run in (one, two):
        assert 20 < run.seconds_until_whole <= 20 + 4.5


def test_a_region_without_the_list_catches_up_afterwards(result_of):
    result = result_of("region-cut-off")
    cut = hollow_faults.REGION_CUT_S
    assert result.figures["changes_in_force_over_3_s"] == 2 * 6
    assert cut < result.seconds_until_whole <= cut + 4.5
    # Three servers changed, two of them drained and removed; then an idle watch or two.
    assert 500 < result.figures["catching_up_bytes_in_an_instance"] < 2000


def test_a_fault_run_can_be_written_and_read(tmp_path):
    event = BY_NAME["node-restarted"]
    result = fault_run(event, small_size(event.name), "the test", False, run_inline)
    loaded = read_fault_run(write(result, tmp_path))
    assert loaded.name == "fault-node-restarted" and loaded.nodes == 8
    assert "Trace " in loaded.rows[0].notes and loaded.rows[0].rules_broken == 0


def test_a_client_that_is_never_served_again_is_reported(monkeypatch):
    """A fleet that does not recover is reported as such; here no client reconnects."""
    monkeypatch.setattr(hollow_faults.CountedClients, "schedule_call", lambda *_: None)
    result = run_named_event("node-lost", small_size("node-lost"))
    assert result.seconds_until_whole is None and result.figures["not_back_at_the_end"] > 0


def test_a_node_that_resets_its_clients_violates_a_rule(monkeypatch):
    """The node resets its connections on SIGTERM instead of asking the clients to move."""
    monkeypatch.setattr(Process, "stop", lambda self: self.exit("stopped"))
    result = run_named_event("node-restarted", small_size("node-restarted"))
    assert result.rules_broken >= 1 and result.violations


def test_a_node_that_never_gets_the_list_is_reported(monkeypatch):
    monkeypatch.setattr(ListMachine, "is_unreachable", lambda self, process: process.node.name == "n5")
    result = run_named_event("list-machine-lost", small_size("list-machine-lost"))
    assert result.seconds_until_whole is None
    assert result.figures["nodes_without_a_change"] == 1


def test_the_runs_last_longer_than_what_they_wait_for():
    for event in EVENTS:
        assert event.seconds * SECOND > 10 * SECOND and max(event.changes) + 2 < event.seconds
