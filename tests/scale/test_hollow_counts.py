"""Hollow fleets: control is metered, and grows with size no faster than the capacity page states."""

import sys

import pytest

from cottonspread.lab.scale import hollow_propagation, hollow_sweeps
from cottonspread.lab.scale.hollow import HollowFleet
from cottonspread.lab.scale.hollow_plans import WARMUP_S, Size, fleet_plan
from cottonspread.lab.scale.hollow_sweeps import FleetRun, measure_control, measure_full_list_and_change
from cottonspread.lab.sim.world import SECOND

IDLE = Size(nodes=4, servers=20, seconds=20.0)


def counts(figures, *names):
    return [figures[name].value for name in names]


def test_an_idle_instance_makes_one_watch_request_every_two_seconds():
    figures = measure_control(IDLE)
    request = b"GET /api/targets?since=1&timeout_ms=2000 HTTP/1.1\r\nHost: 127.64.0.10:8400\r\n"
    request += b"Accept: application/json\r\n\r\n"
    assert figures["control_messages"].value == pytest.approx(1.0, rel=0.02)
    assert figures["control_bytes_out"].value == pytest.approx(len(request) / 2, rel=0.02)
    assert figures["entries_read"].value == 0
    assert figures["control_bytes_in"].value + figures["control_bytes_out"].value < 120


def test_an_instance_s_control_does_not_grow_with_the_fleet():
    flat = ("control_bytes_in", "control_bytes_out", "control_messages", "entries_read", "ticks")
    few, many = (measure_control(Size(nodes=nodes, servers=20)) for nodes in (3, 24))
    assert counts(many, *flat) == pytest.approx(counts(few, *flat), rel=0.02)
    machine = "list_machine_bytes_out", "list_machine_answers"
    assert counts(many, *machine) == pytest.approx([8 * one for one in counts(few, *machine)], rel=0.02)


def test_a_change_is_one_entry_and_one_answer_whatever_the_list_s_length():
    short, long = (measure_full_list_and_change(Size(nodes=2, servers=servers)) for servers in (20, 160))
    assert counts(short, "change_entries") == counts(long, "change_entries") == [1]
    assert counts(long, "change_bytes") == pytest.approx(counts(short, "change_bytes"), rel=0.02)


def test_the_cost_of_a_full_list_is_proportional_to_its_entries():
    short, long = (measure_full_list_and_change(Size(nodes=2, servers=servers)) for servers in (20, 160))
    assert counts(short, "whole_list_entries") == [20] and counts(long, "whole_list_entries") == [160]
    grown = long["whole_list_bytes"].value / short["whole_list_bytes"].value
    assert grown <= 8 * 1.02
    assert 140 <= long["whole_list_bytes"].value / 160 <= 180  # bytes per entry


@pytest.mark.parametrize("rate", (60, 600))
def test_bytes_are_proportional_to_changes(rate):
    """One request and one answer a change; no watch ends without a change in between."""
    figures = measure_control(Size(nodes=2, servers=20, changes_a_minute=rate, seconds=10.0))
    assert figures["entries_read"].value == pytest.approx(rate / 60, rel=0.02)
    assert figures["control_messages"].value == pytest.approx(2 * rate / 60, rel=0.05)
    assert figures["control_bytes_in"].value == pytest.approx(282 * rate / 60, rel=0.05)


def count_instructions(function):
    """Bytecode instructions that it executes: work that is the same on every machine."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(None)
    return count


def work(servers):
    """Instructions of an instance for a full list, for one change and for a second of ticks."""
    fleet_run = FleetRun(Size(nodes=1, servers=servers, seconds=30.0))
    fleet_run.run_until(WARMUP_S + 0.01)
    fleet_run.fleet.processes()[0].discovery.need_full_list = True
    whole = count_instructions(lambda: fleet_run.run_until(WARMUP_S + 2.1))
    at = WARMUP_S + 4.0
    fleet_run.run_until(at)
    idle = count_instructions(lambda: fleet_run.run_until(at + 1))
    fleet_run.schedule_changes(at + 1.05, 1, 1.0)
    changed = count_instructions(lambda: fleet_run.run_until(at + 2))
    return whole, changed, idle


def test_no_control_work_grows_faster_than_the_list():
    """The second hundred servers add at most twice what the first fifty added: no quadratic work."""
    counted = [work(servers) for servers in (50, 100, 200)]
    for name, few, some, many in zip(("whole list", "change", "ticks"), *counted, strict=True):
        assert many - some <= 2.1 * (some - few) + 500, f"{name}: {few}, {some}, {many} instructions"


def test_one_seed_gives_one_trace_and_another_a_different_one():
    def run(seed):
        size = Size(nodes=6, servers=10, connections=3, seed=seed)
        fleet = HollowFleet(fleet_plan(size, 8.0), checked=False)
        fleet.world.run(8 * SECOND)
        assert fleet.clients.counts["up"] == 18
        meter = fleet.total_work()
        return fleet.world.trace_digest(), meter.bytes_in, meter.line_steps

    assert run(3) == run(3)
    assert run(3)[0] != run(4)[0]


def test_a_change_is_applied_everywhere_within_a_message_s_delay():
    figures = hollow_propagation.measure_propagation(Size(nodes=9, servers=10))
    assert figures["in_force_last"].value < 0.005


@pytest.mark.parametrize("refuses", (False, True))
@pytest.mark.parametrize("away_s, back_s", ((0.1, 0), (4.0, 0), (8.0, 1.0)))
def test_after_an_outage_a_change_is_applied_within_the_computed_maximum(away_s, back_s, refuses):
    size = hollow_propagation.OutageSize(nodes=6, servers=10, away_s=away_s, back_s=back_s, refuses=refuses)
    figures = hollow_propagation.measure_after_outage(size)
    assert figures["list_failures"].value >= 1
    assert figures["in_force_last"].value <= 4.5


def test_a_lost_list_machine_affects_only_its_own_nodes():
    fleet_run = FleetRun(Size(nodes=6, servers=10, seconds=30.0))
    fleet_run.run_until(WARMUP_S)
    fleet_run.fleet.list_machines[1].drop_traffic(8 * SECOND)
    fleet_run.run_until(WARMUP_S + 7)
    failed = [process.meter.failures > 0 for process in fleet_run.fleet.processes()]
    assert failed == [False, True, False] * 2
    fleet_run.change(0)
    fleet_run.run_until(WARMUP_S + 7.5)
    (applied,) = fleet_run.fleet.applied_at.values()
    assert sorted(applied) == ["n0", "n2", "n3", "n5"]
    fleet_run.run_until(WARMUP_S + 8 + 4.5)
    assert len(applied) == 6 and fleet_run.fleet.nodes_with_servers() == 6


def test_an_older_list_applies_no_later_change():
    fleet_run = FleetRun(Size(nodes=2, servers=10))
    fleet_run.run_until(WARMUP_S)
    fleet, node = fleet_run.fleet, fleet_run.fleet.nodes[0]
    version = fleet.change_weight()
    fleet.record_applied(node, version - 1)
    assert fleet.applied_at == {version: {}}
    fleet.record_applied(node, version)
    assert list(fleet.applied_at[version]) == [node.name]


def test_an_additional_control_client_is_started_with_each_process():
    started = []

    class Heartbeat:
        def __init__(self, process):
            self.process = process

        def begin(self):
            started.append(self.process.node.name)
            self.process.world.after(SECOND, self.beat)

        def beat(self):
            if not self.process.dead:
                self.process.meter.bytes_out += 10
                self.process.world.after(SECOND, self.beat)

    size = Size(nodes=3, servers=4)
    fleet = HollowFleet(fleet_plan(size, 20.0), control=(Heartbeat,), checked=False)
    plain = HollowFleet(fleet_plan(size, 20.0), checked=False)
    for one in (fleet, plain):
        one.world.run(13 * SECOND)
    assert sorted(started) == ["n0", "n1", "n2"]
    beats = (fleet.total_work().bytes_out - plain.total_work().bytes_out) / 10
    assert 3 * 11 <= beats <= 3 * 12
    fleet.nodes[1].process.kill()
    fleet.nodes[1].start()
    assert started[-1] == "n1" and len(started) == 4
    # The work of the ended process still counts.
    assert fleet.total_work().bytes_out > plain.total_work().bytes_out


def test_a_small_sweep_gives_a_result_that_can_be_written_and_read(tmp_path):
    from cottonspread.lab.scale.results import read_sweep, write

    one = hollow_sweeps.scaled_down(hollow_sweeps.SWEEPS[1])
    reported = []
    result = hollow_sweeps.run_sweep(one, "the test", 1, False, lambda value, _: reported.append(value))
    kept = read_sweep(write(result, tmp_path))
    assert reported == list(one.values)
    entries = kept.measure("entries_read")
    assert [point.value for point in entries.points] == pytest.approx([n / 60 for n in one.values], rel=0.02)
    assert {m.control for m in kept.measures} == {True}
