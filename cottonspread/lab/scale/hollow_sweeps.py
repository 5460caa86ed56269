"""Sweeps of hollow fleets: the cost of control per instance and per list machine.

The sweeps vary the number of nodes, the list changes a minute and the number of servers. Counts (bytes,
messages, entries, ticks) are the same in every run of a seed. Processor times are those of the thread. Each
point of a sweep runs in a process of its own, so that its memory can be told from that of other points.
"""

import gc
import logging
import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields, replace

from cottonspread.lab.scale.hollow import HollowFleet, MachineMeter, Meter
from cottonspread.lab.scale.hollow_plans import WARMUP_S, Size, fleet_plan
from cottonspread.lab.scale.results import Kind, Measure, Point, Sweep
from cottonspread.lab.sim.world import SECOND

PAGE = os.sysconf("SC_PAGE_SIZE")
MIB = 2**20
NS_PER_MS = 1e6


@dataclass(frozen=True)
class Figure:
    """One measured value, its unit, and whether it belongs to control or to clients' lines."""

    value: float
    unit: str
    control: bool = True


def resident() -> int:
    """Resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE


def meter_difference(after, before):
    """What a meter has counted between two readings."""
    return type(after)(*(getattr(after, f.name) - getattr(before, f.name) for f in fields(after)))


class FleetRun:
    """A running hollow fleet, and its counts since the last reading."""

    def __init__(self, size: Size):
        """Builds the fleet; it does not run yet."""
        self.size = size
        seconds = WARMUP_S + size.seconds
        self.fleet = HollowFleet(fleet_plan(size, seconds), checked=False)
        self.counted, self.machines_counted = Meter(), MachineMeter()

    def run_until(self, seconds: float) -> None:
        """Runs the simulation up to this second."""
        self.fleet.world.run(round(seconds * SECOND))

    def take_counts(self) -> tuple[Meter, MachineMeter]:
        """Returns the work since the last call, of all instances and of all list machines."""
        meter, machines = self.fleet.total_work(), MachineMeter()
        for machine in self.fleet.list_machines:
            for field in fields(machines):
                now = getattr(machines, field.name) + getattr(machine.meter, field.name)
                setattr(machines, field.name, now)
        work = meter_difference(meter, self.counted), meter_difference(machines, self.machines_counted)
        self.counted, self.machines_counted = meter, machines
        return work

    def change(self, number: int) -> None:
        """Makes change `number`: a server drains, or the one that drained last is ready again."""
        server = f"h{number // 2 % self.size.servers}"
        self.fleet.change_lifecycle(server, "Ready" if number % 2 else "Terminating")

    def schedule_changes(self, start: float, count: int, gap: float) -> None:
        """Schedules `count` changes from `start` on, `gap` seconds apart."""
        for number in range(count):
            self.fleet.world.at(round((start + number * gap) * SECOND), self.change, number)


def measure_control(size: Size) -> dict[str, Figure]:
    """An instance's control work a second at this size."""
    fleet_run, before = FleetRun(size), resident()
    fleet_run.run_until(WARMUP_S)
    assert fleet_run.fleet.nodes_with_servers() == size.nodes
    fleet_run.take_counts()
    gap = 60 / size.changes_a_minute if size.changes_a_minute else 0
    changes = round(size.seconds / gap) if gap else 0
    fleet_run.schedule_changes(WARMUP_S + min(gap, 1) / 2, changes, gap)
    fleet_run.run_until(WARMUP_S + size.seconds)
    work, machines = fleet_run.take_counts()
    gc.collect()
    span = size.nodes * size.seconds
    memory = (resident() - before) / size.nodes / MIB
    up = fleet_run.fleet.clients.counts["up"]
    figures = {
        "control_bytes_in": Figure(work.bytes_in / span, "B/s an instance"),
        "control_bytes_out": Figure(work.bytes_out / span, "B/s an instance"),
        "control_messages": Figure((work.requests + work.answers) / span, "messages/s an instance"),
        "entries_read": Figure(work.entries / span, "entries/s an instance"),
        "list_processor": Figure(work.list_control_ns / NS_PER_MS / span, "ms/s an instance"),
        "ticks": Figure(work.ticks / span, "ticks/s an instance"),
        "tick_processor": Figure(work.tick_ns / NS_PER_MS / span, "ms/s an instance"),
        "memory": Figure(memory, "MiB an instance"),
        "list_machine_bytes_out": Figure(
            machines.bytes_out / size.seconds / len(fleet_run.fleet.list_machines), "B/s a list machine"
        ),
        "list_machine_answers": Figure(
            machines.answers / size.seconds / len(fleet_run.fleet.list_machines), "answers/s a list machine"
        ),
    }
    if size.connections:
        figures["connections_up"] = Figure(up / size.nodes, "connections an instance", False)
        figures["line_processor"] = Figure(work.line_ns / NS_PER_MS / span, "ms/s an instance", False)
        figures["line_steps"] = Figure(work.line_steps / span, "steps/s an instance", False)
    return figures


CHANGE_COUNT = 10
"""The cost of a change is the mean over this many."""


def measure_full_list_and_change(size: Size) -> dict[str, Figure]:
    """Cost of a full list and of one change at an instance, and its ticks, at this many servers."""
    fleet_run, before = FleetRun(size), resident()
    fleet_run.run_until(WARMUP_S)
    gc.collect()
    memory = (resident() - before) / size.nodes / MIB
    first, _ = fleet_run.take_counts()
    for process in fleet_run.fleet.processes():  # as after an answer that could not be parsed
        process.discovery.need_full_list = True
    fleet_run.run_until(WARMUP_S + 2.55)
    whole, _ = fleet_run.take_counts()
    fleet_run.schedule_changes(WARMUP_S + 2.65, CHANGE_COUNT, 1.0)
    fleet_run.run_until(WARMUP_S + 2.6 + CHANGE_COUNT)
    change, _ = fleet_run.take_counts()
    nodes, events = size.nodes, size.nodes * CHANGE_COUNT
    assert whole.entries == nodes * size.servers, "each node must read the full list once"
    return {
        "whole_list_bytes": Figure(whole.bytes_in / nodes, "B a whole list"),
        "whole_list_entries": Figure(whole.entries / nodes, "entries a whole list"),
        "whole_list_client": Figure(whole.client_ns / NS_PER_MS / nodes, "ms a whole list"),
        "whole_list_module": Figure(whole.list_ns / NS_PER_MS / nodes, "ms a whole list"),
        "first_list_processor": Figure(first.list_control_ns / NS_PER_MS / nodes, "ms the first list"),
        "change_bytes": Figure(change.bytes_in / events, "B a change"),
        "change_entries": Figure(change.entries / events, "entries a change"),
        "change_client": Figure(change.client_ns / NS_PER_MS / events, "ms a change"),
        "change_module": Figure(change.list_ns / NS_PER_MS / events, "ms a change"),
        "ticks": Figure(change.ticks / events, "ticks/s an instance"),
        "tick_processor": Figure(change.tick_ns / NS_PER_MS / events, "ms/s an instance"),
        "memory": Figure(memory, "MiB an instance"),
    }


@dataclass(frozen=True)
class SweepPlan:
    """A sweep: sizes that differ in one variable, and the function that measures each."""

    name: str
    description: str
    variable: str
    unit: str
    values: tuple
    base: Size
    measure: Callable[[Size], dict[str, Figure]]
    kind: Kind = "hollow"


SWEEPS = (
    SweepPlan(
        "hollow-nodes",
        "Control of an idle instance and of a list machine, and clients' lines, by nodes of the fleet.",
        "nodes",
        "nodes",
        (10, 50, 150, 420),
        Size(servers=80, connections=10, seconds=10.0),
        measure_control,
    ),
    SweepPlan(
        "hollow-changes",
        "Control of an instance by changes of the list a minute; window of one minute.",
        "changes_a_minute",
        "changes/min",
        (1, 6, 60, 600),
        Size(nodes=12, servers=300, seconds=60.0),
        measure_control,
    ),
    SweepPlan(
        "hollow-servers",
        "A whole list and one change at an instance, and its ticks, by servers listed.",
        "servers",
        "servers",
        (50, 300, 1000, 3000),
        Size(nodes=12, seconds=20.0),
        measure_full_list_and_change,
    ),
)


SMALL_VALUES = {"nodes": (2, 4, 8, 16), "changes_a_minute": (6, 60, 120, 600), "servers": (10, 20, 40, 80)}


def scaled_down(sweep: SweepPlan) -> SweepPlan:
    """The same sweep at sizes that take a second or two."""
    base = sweep.base
    base = replace(base, nodes=3, servers=min(base.servers, 20), connections=min(2, base.connections))
    if sweep.variable != "servers":
        base = replace(base, seconds=10.0)
    if sweep.kind == "sockets":  # it runs in real time
        base = replace(base, seconds=4.0)
    if sweep.variable == "setup_us":  # one node in each zone
        base = replace(base, nodes=8, servers=16)
    if hasattr(base, "phases"):
        base = replace(base, phases=2)
    return replace(sweep, values=SMALL_VALUES.get(sweep.variable, sweep.values), base=base)


def override_sizes(sweep: SweepPlan, **sizes: int | None) -> SweepPlan:
    """The sweep with other sizes.

    A variable that is swept takes the size as its largest value, reached by doubling; one that is fixed takes
    it as it is.
    """
    for name, size in sizes.items():
        if size is None:
            continue
        if name == sweep.variable:
            sweep = replace(sweep, values=tuple(max(n, size * n // 8) for n in (1, 2, 4, 8)))
        else:
            sweep = replace(sweep, base=replace(sweep.base, **{name: size}))
    return sweep


def measure_point(sweep: SweepPlan, value: float, seed: int) -> dict[str, Figure]:
    """Measures one point in this process. A small run before it fills what all runs share."""
    logging.getLogger("cottonspread").addHandler(logging.NullHandler())  # failed calls are part of the runs
    measure_full_list_and_change(Size(nodes=1, servers=4))
    gc.collect()
    return sweep.measure(replace(sweep.base, **{sweep.variable: value}, seed=seed))


def run_in_subprocess(function, *arguments):
    """Calls the function in a process of its own and returns its result."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(function, *arguments).result()


def run_inline(function, *arguments):
    """Calls the function in this process: faster, but memory is shared with other points."""
    return function(*arguments)


def run_sweep(
    plan: SweepPlan, command: str, seed: int, alone: bool, on_point=lambda *_: None, call=run_in_subprocess
) -> Sweep:
    """Measures every size of a sweep; `on_point` gets each value of the variable with its figures."""
    points = {}
    for value in plan.values:
        points[value] = call(measure_point, plan, value, seed)
        on_point(value, points[value])
    base = replace(plan.base, seed=seed)
    fixed = {f.name: getattr(base, f.name) for f in fields(base) if f.name != plan.variable}
    first = points[plan.values[0]]
    return Sweep(
        name=plan.name,
        what=plan.description,
        command=command,
        kind=plan.kind,
        alone=alone,
        variable=plan.variable,
        variable_unit=plan.unit,
        fixed=fixed,
        measures=[
            Measure(
                name=name,
                unit=figure.unit,
                control=figure.control,
                plays=1,
                points=[Point(value, float(points[value][name].value)) for value in plan.values],
            )
            for name, figure in first.items()
        ],
    )
