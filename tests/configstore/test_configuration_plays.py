"""The configuration store in simulated time at small sizes: plays, random faults, counted work and checks."""

from types import SimpleNamespace

import pytest
from drivers import CANARY, EVERYWHERE, record

from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.lab.scale import configuration, results
from cottonspread.lab.scale.configuration_fleet import Fleet
from cottonspread.lab.scale.configuration_invariants import (
    MAX_CUT_OFF_CLEAR_DELAY,
    MAX_CUT_OFF_REPORT_DELAY,
    Invariants,
)
from cottonspread.lab.scale.configuration_network import (
    FleetParameters,
    from_request,
    from_response,
    to_request,
)
from cottonspread.lab.scale.configuration_scenarios import (
    SCENARIOS,
    RandomPublisherScenario,
    RandomScenario,
    ScenarioRun,
    calm,
    lossy,
    measure_idle,
)

SMALL = FleetParameters(nodes=16, body_bytes=200)
SEEDS, CHUNK = 200, 25


@pytest.mark.parametrize(
    "number", range(len(SCENARIOS)), ids=[scenario.__doc__.splitlines()[0] for scenario in SCENARIOS]
)
def test_each_play_holds_its_promises(number):
    row = SCENARIOS[number](ScenarioRun("ci", SMALL, small=True))
    assert row.rules_broken == 0, row.notes
    assert row.seconds_until_whole is not None


def test_the_same_seed_gives_the_same_play_and_another_another():
    first, again, other = (calm(ScenarioRun(seed, SMALL, small=True)) for seed in (1, 1, 2))
    assert first == again and first.notes != other.notes
    assert "sum " in first.notes


@pytest.mark.parametrize("first", range(0, SEEDS, CHUNK))
def test_drawn_faults(first):
    for seed in range(first, first + CHUNK):
        assert RandomScenario(seed).run() == [], seed


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_drawn_publishers_at_the_same_time_before_replicas_that_restart(first):
    for seed in range(first, first + 20):
        assert RandomPublisherScenario(seed).run() == [], seed


def test_a_drawn_play_is_repeatable():
    sums = set()
    for _ in range(2):
        scenario = RandomScenario(3)
        scenario.run()
        sums.add(scenario.fleet.world.trace_digest())
    assert len(sums) == 1


# Counted work


def test_what_an_idle_node_sends_does_not_grow_with_the_fleet_and_keeps_its_budget():
    small, large = measure_idle(8), measure_idle(32)
    for traffic in (small, large):
        assert traffic["node_bytes"] < 100 and traffic["node_messages"] < 0.6
    assert abs(small["node_bytes"] - large["node_bytes"]) < 0.05 * small["node_bytes"]
    assert large["replica_bytes"] < 5 * small["replica_bytes"]


def test_a_change_costs_a_node_two_bodies_and_few_messages_at_any_size():
    for nodes in (8, 32):
        row = calm(ScenarioRun("ci", FleetParameters(nodes=nodes, body_bytes=4_096), small=True))
        assert row.figures["change_node_bytes"] < 3 * 4_096
        assert row.figures["change_node_messages"] < 6


def test_a_commit_answers_each_watch_once():
    fleet = Fleet("ci", SMALL)
    fleet.run_for(12)
    waiting = {name: one.core.watches for name, one in fleet.replicas.items()}
    assert sum(waiting.values()) >= 2 * 16 - 4
    before = sum(node.messages for node in fleet.nodes.values())
    done = fleet.run_until_done(fleet.publish(pu.Publish("fine", without_canaries=True)))
    assert done.outcome == pu.Outcome.IN_FORCE
    fleet.run_for(0.5)
    assert sum(node.messages for node in fleet.nodes.values()) - before <= 4 * 16 + 4


# The simulated network and the checks themselves


def test_requests_and_responses_are_read_as_they_were_written():
    report = m.NodeReport(node="n1", in_force=3, why="a b&c")
    for message in (
        m.WatchRequest(since=3, timeout_ms=100, report=report),
        m.ReadState(reports=True, nodes=["n1"]),
        m.Accept(base=m.EMPTY_POSITION, record=record(1, 1)),
        m.Commit(record=record(1, 1)),
    ):
        assert from_request(to_request("r1", message)) == message
    with pytest.raises(m.MessageError):
        from_response(b"HTTP/1.1 503 Service Unavailable\r\n\r\n", m.WatchReply)


class InvariantHarness:
    """The simulation's checks with a clock set by the test, and three replicas that accept everything."""

    def __init__(self):
        self.world = SimpleNamespace(now=0)
        self.invariants = Invariants(self.world, 3)
        self.disks = {}

    def accept(self, one, *replicas):
        for name in replicas:
            old = self.disks.get(name, m.ReplicaState())
            self._store(name, m.ReplicaState(accepted=one, committed=old.committed, good=old.good))

    def commit(self, one, *replicas):
        for name in replicas:
            old = self.disks.get(name, m.ReplicaState())
            good = one if one.stage == EVERYWHERE else old.good
            self._store(name, m.ReplicaState(accepted=one, committed=one, good=good))

    def _store(self, name, state):
        self.disks[name] = state
        self.invariants.on_stored(name, state)

    def violations(self):
        return " ".join(self.invariants.violations)


def test_the_judge_finds_a_commit_without_a_majority():
    harness = InvariantHarness()
    harness.accept(record(1, 1), "r1")
    harness.commit(record(1, 1), "r1")
    assert "without a majority" in harness.violations()


def test_the_judge_finds_two_digests_and_two_records_of_a_generation():
    harness = InvariantHarness()
    harness.accept(record(1, 1), "r1", "r2")
    harness.commit(record(1, 1), "r1")
    harness.accept(record(1, 1, body="other"), "r2", "r3")
    harness.commit(record(1, 1, body="other"), "r3")
    assert "two digests" in harness.violations() and "two records" in harness.violations()


def test_the_judge_finds_a_committed_version_that_goes_back():
    harness = InvariantHarness()
    for one in (record(1, 2), record(2, 1)):
        harness.accept(one, "r1", "r2")
        harness.commit(one, "r1")
    assert "committed version went back" in harness.violations()


def test_the_judge_finds_what_a_node_must_not_put_into_force():
    harness = InvariantHarness()
    new, canary, refused = record(2, 2), record(3, 3, CANARY, below=0), record(4, 4, body="refused by all")
    for one in (record(1, 1), new, canary, refused):
        harness.accept(one, "r1", "r2")
        harness.commit(one, "r1", "r2")
    assert "faulty version went everywhere" in harness.violations()
    for node, one, words in (
        ("n1", record(2, 2, body="other"), "another digest"),
        ("n2", canary, "no canary"),
        ("n3", refused, "a faulty version in force"),
        ("n4", record(9, 9), "no majority"),
    ):
        harness.invariants.violations.clear()
        harness.invariants.on_applied(node, one)
        assert words in harness.violations()
    harness.invariants.violations.clear()
    harness.invariants.on_applied("n5", new)
    assert harness.violations() == ""
    harness.invariants.on_applied("n5", record(1, 1))
    assert "went back" in harness.violations()


def test_the_judge_finds_a_faulty_version_beyond_the_canaries():
    harness = InvariantHarness()
    harness.invariants.on_checked("n1", record(1, 1, CANARY, body="refused by all"))
    assert harness.violations() == ""
    harness.invariants.on_checked("n1", record(1, 1, CANARY, body="refused by all", below=0))
    assert "beyond the canaries" in harness.violations()


def test_the_judge_finds_who_does_not_say_that_it_is_cut_off_and_who_says_so_wrongly():
    harness = InvariantHarness()
    harness.invariants.on_reachability("n1", False, 0, True)
    harness.invariants.on_reachability("n2", True, 0, True)
    harness.world.now = MAX_CUT_OFF_REPORT_DELAY
    harness.invariants.on_cut_off_report("n1", False)
    assert harness.violations() == ""
    harness.world.now += 1
    harness.invariants.on_cut_off_report("n1", False)
    assert "does not say so" in harness.violations()
    harness.invariants.violations.clear()
    assert MAX_CUT_OFF_CLEAR_DELAY <= MAX_CUT_OFF_REPORT_DELAY
    harness.invariants.on_cut_off_report("n2", True)
    assert "says it is cut off and is not" in harness.violations()


def test_a_play_finds_nodes_that_lag_and_changes_that_come_late():
    slow = ScenarioRun("ci", FleetParameters(nodes=8, body_bytes=50, apply=4_000_000), small=True)
    row = calm(slow)
    assert row.rules_broken and "in force within 3 s" in row.notes
    stuck = ScenarioRun("ci", SMALL, small=True)
    stuck.fleet.nodes["z1-node-000"].rejects_all = True
    row = lossy(stuck)
    assert row.rules_broken and "reachable nodes lag" in row.notes


def test_the_command_writes_results_that_can_be_read(tmp_path, capsys):
    assert configuration.main(["--small", "--out", str(tmp_path), "--only", "calm", "replica", "body"]) == 0
    run = results.read(tmp_path / "config-faults.json")
    assert run.rows[0].event == "calm: one change" and run.nodes == 24
    for name in ("config-replica", "config-body"):
        assert len(results.read_sweep(tmp_path / f"{name}.json").measures[0].points) >= 4
    assert "holds" in capsys.readouterr().out
