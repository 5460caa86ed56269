"""Faults at scale: events injected into a hollow fleet from a seed, what they cost, and an audit.

Every event begins at `FAULT_AT_S`, when all clients are connected. A client counts as lost when its
established connection ends against its will; it reconnects by itself. The fleet has recovered ("is whole"
in the results) when no client is lost any more and every node has applied each list change. Rules are
checked by the invariants of `lab/sim` at every step and by `lab/audit.py` over the record.

A lost machine's connections break at once, as if its process had ended. Servers are those of the lab, but
smaller: the established connections use two thirds of them, and reconnecting a lost zone's clients takes
50 ms of the servers' set-up time.
"""

import logging
import resource
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec
import numpy as np

from cottonspread.lab import audit as audits
from cottonspread.lab import plan as plans
from cottonspread.lab.plan import Fault
from cottonspread.lab.scale.hollow import HollowFleet, Meter
from cottonspread.lab.scale.hollow_plans import ADDRESS_BLOCK, WARMUP_S, ZONES, Size, experiment
from cottonspread.lab.scale.hollow_sweeps import Figure, SweepPlan, meter_difference, run_in_subprocess
from cottonspread.lab.scale.results import FaultRow, FaultRun
from cottonspread.lab.sim import fault_injection
from cottonspread.lab.sim.clients import Clients
from cottonspread.lab.sim.contract import ContractError
from cottonspread.lab.sim.invariants import InvariantError
from cottonspread.lab.sim.node import NodeError
from cottonspread.lab.sim.world import SECOND

FAULT_AT_S = WARMUP_S + 1.0
RACKS = 40
PERMANENT_S = 3600.0
"""Outage of a machine that does not return within the run."""

TRAITS = {"cores": 0.8, "change_s": 1000.0}
LOAD_US = 3000.0
COSTLY_SETUP_US = 96_000.0
"""Reconnecting a lost zone's clients then takes two seconds of the other servers' set-up time."""

WARMUP_CORES = 64.0
"""Cores of each server during the warm-up, in which all clients connect at once."""

FAULT_SIZE = Size(nodes=420, servers=40, connections=10, line_s=4.0)
FEW_CONNECTIONS = replace(FAULT_SIZE, connections=2, line_s=8.0)
"""For runs of over a minute."""


class CountedClients(Clients):
    """Simulated clients that record how many were lost and when each was served again."""

    def __init__(self, *arguments, **options):
        """Arguments as of `Clients`; nothing is counted before `FAULT_AT_S`."""
        super().__init__(*arguments, **options)
        self.count_from, self.lost_at, self.losses, self.recovery_s = (
            round(FAULT_AT_S * SECOND),
            {},
            Counter(),
            [],
        )
        self.recovered_at, self.busy_answers, self.unanswered = self.count_from, 0, 0

    def on_up(self, call):
        """Records the recovery of a client that was lost."""
        super().on_up(call)
        since = self.lost_at.pop(call.schedule_index, None)
        if since is not None:
            self.recovery_s.append((self.world.now - since) / SECOND)
            if not self.lost_at:
                self.recovered_at = self.world.now

    def end_call(self, call, how):
        """Records a call that ended against the client's will after the fault."""
        if not call.done and self.world.now >= self.count_from and how not in ("cut", "left"):
            self.record_loss(call, how)
        super().end_call(call, how)

    def record_loss(self, call, how):
        """Counts a lost connection, or an attempt that got BUSY or no answer."""
        if call.up:
            self.losses[how] += 1
            self.lost_at.setdefault(call.schedule_index, self.world.now)
        elif call.answers and call.answers[0][1] == "BUSY":
            self.busy_answers += 1
        elif not call.answers:
            self.unanswered += 1


class FaultFleet(HollowFleet):
    """A hollow fleet with `CountedClients`."""

    clients_type = CountedClients


@dataclass(frozen=True)
class Event:
    """A fault event.

    `faults(size)`: the plan's faults, of the lab's kinds. `on_fault(fleet)`: further actions at FAULT_AT_S.
    `changes`: seconds after FAULT_AT_S at which a server's weight changes in the list, which moves no client.
    """

    name: str
    notes: str
    seconds: float = 20.0
    size: Size = FAULT_SIZE
    faults: Callable[[Size], list[Fault]] = lambda size: []
    on_fault: Callable[[HollowFleet], None] = lambda fleet: None
    changes: tuple[float, ...] = (1.0, 2.0, 8.0, 9.0)
    setup_us: float = 2400.0


def node_names(size: Size, divisor: int, offset: int) -> list[str]:
    """Every `divisor`-th node, from `offset` on."""
    return [f"n{n}" for n in range(size.nodes) if n % divisor == offset % divisor]


def server_names(size: Size, divisor: int, offset: int) -> list[str]:
    """Every `divisor`-th server, from `offset` on."""
    return [f"h{n}" for n in range(size.servers) if n % divisor == offset % divisor]


def partial_outage(size: Size, divisor: int, offset: int) -> list[Fault]:
    """Loses one of `divisor` parts of nodes and servers: nodes are killed, servers stop answering."""
    lost = server_names(size, divisor, offset) or [f"h{offset % size.servers}"]
    return [
        Fault(at=FAULT_AT_S, kind="kill", on=node_names(size, divisor, offset)),
        Fault(at=FAULT_AT_S, kind="vanish", on=lost, seconds=PERMANENT_S),
    ]


def rolling_replacement(size: Size) -> list[Fault]:
    """Replaces every node's process, one node after the other within twenty seconds."""
    gap = 20.0 / size.nodes
    return [Fault(at=FAULT_AT_S + n * gap, kind="replace", on=[f"n{n}"]) for n in range(size.nodes)]


def ordinary_day(size: Size) -> list[Fault]:
    """Two nodes fail, six are restarted, a server is replaced and another drained."""
    picked = [f"n{(7 + 31 * n) % size.nodes}" for n in range(8)]
    failed = [Fault(at=FAULT_AT_S + 5.0 * n, kind="kill", on=[picked[n]], seconds=4.0) for n in range(2)]
    restarted = [
        Fault(at=FAULT_AT_S + 1.5 * n, kind="stop", on=[name], seconds=5.0)
        for n, name in enumerate(picked[2:], 1)
    ]
    hosts = [
        Fault(at=FAULT_AT_S + 2, kind="cold", on=["h3"], seconds=3.0),
        Fault(at=FAULT_AT_S + 4, kind="drain", on=["h1"], seconds=4.0),
    ]
    return sorted(failed + restarted + hosts, key=lambda one: one.at)


def region_nodes(size: Size) -> frozenset[str]:
    """The first third of the nodes."""
    return frozenset(f"n{n}" for n in range(size.nodes // 3))


REGION_CUT_S = 60.0
CATCH_UP_S = 4.5
"""Within this time every node of a region that is reachable again has received what it missed."""


def cut_region(fleet: HollowFleet) -> None:
    """Cuts the region's nodes off from all list machines for `REGION_CUT_S`."""
    span, cut = round(REGION_CUT_S * SECOND), region_nodes(fleet.size)
    for machine in fleet.list_machines:
        machine.partition(cut, span)
    fleet.world.after(span, measure_catch_up, fleet, cut)


def measure_catch_up(fleet: HollowFleet, cut: frozenset[str]) -> None:
    """Counts the bytes that a region's nodes receive from now on, when it is reachable again."""
    before = bytes_received(fleet, cut)

    def record_catch_up():
        received = bytes_received(fleet, cut) - before
        fleet.extra_figures["catching_up_bytes_in_an_instance"] = received / len(cut)

    fleet.world.after(round(CATCH_UP_S * SECOND), record_catch_up)


def bytes_received(fleet: HollowFleet, names: frozenset[str]) -> int:
    """Bytes that these nodes' list clients have received."""
    return sum(fleet.by_name[name].process.meter.bytes_in for name in names)


def list_machine_outage(count: int, span_s: float) -> Callable[[HollowFleet], None]:
    """An action that makes the first `count` list machines unreachable for `span_s` seconds."""

    def start_outage(fleet):
        for machine in fleet.list_machines[:count]:
            machine.drop_traffic(round(span_s * SECOND))

    return start_outage


def most_frequent(counted: Counter) -> str:
    """What was counted most often; on a tie the last by name."""
    return max(counted, key=lambda name: (counted[name], name))


def lose_largest_server(fleet: HollowFleet) -> None:
    """Makes the server with most connections of the largest group stop answering for good."""
    established = [
        (conn.call.group, host.name)
        for host in fleet.hosts.values()
        for conn in host.conns
        if conn.call is not None
    ]
    largest = most_frequent(Counter(group for group, _ in established))
    held = Counter(name for group, name in established if group == largest)
    name = most_frequent(held)
    count = held[name]
    fleet.extra_figures["largest_group_connections_lost"] = count
    fleet.extra_figures["largest_group_servers"] = len(held)
    lost = Fault(at=FAULT_AT_S, kind="vanish", on=[name], seconds=PERMANENT_S)
    fault_injection.inject(fleet, lost)
    fleet.schedule_change(
        round((FAULT_AT_S + fleet.plan.experiment.listing.silent_s) * SECOND), name, "Gone", None
    )


EVENTS = (
    Event(
        "ordinary-day",
        "Two nodes fail, six restart, a server is replaced, one drains.",
        25.0,
        faults=ordinary_day,
    ),
    Event(
        "node-lost",
        "One node's process ends without a word; no successor.",
        12.0,
        faults=lambda size: [Fault(at=FAULT_AT_S, kind="kill", on=["n7"])],
    ),
    Event(
        "node-restarted",
        "SIGTERM to one node, back after 4 s.",
        14.0,
        faults=lambda size: [Fault(at=FAULT_AT_S, kind="stop", on=["n7"], seconds=4.0)],
    ),
    Event("rolling-release", "Every node's process replaced within 20 s.", 28.0, faults=rolling_replacement),
    Event(
        "rack-lost", "A fortieth of nodes and servers.", 20.0, faults=lambda s: partial_outage(s, RACKS, 5)
    ),
    Event("zone-lost", "An eighth of nodes and servers.", 25.0, faults=lambda s: partial_outage(s, ZONES, 3)),
    Event(
        "zone-lost-dear-set-ups",
        "An eighth of nodes and servers, where a set-up takes forty times the usual work.",
        25.0,
        faults=lambda size: partial_outage(size, ZONES, 3),
        setup_us=COSTLY_SETUP_US,
    ),
    Event(
        "region-cut-off",
        f"A third of the nodes hears no list for {REGION_CUT_S:g} s; two servers drain meanwhile.",
        REGION_CUT_S + 12.0,
        size=FEW_CONNECTIONS,
        faults=lambda size: [
            Fault(at=FAULT_AT_S + 10.0, kind="drain", on=["h1"], seconds=10.0),
            Fault(at=FAULT_AT_S + 30.0, kind="drain", on=["h2"], seconds=10.0),
        ],
        on_fault=cut_region,
        changes=(5.0, 15.0, 25.0, 35.0, 45.0, 55.0),
    ),
    Event(
        "list-machine-lost",
        "One of three list machines is lost for 20 s; changes meanwhile.",
        28.0,
        size=FEW_CONNECTIONS,
        on_fault=list_machine_outage(1, 20.0),
    ),
    Event(
        "two-list-machines-lost",
        "Two of three list machines are lost for 20 s; changes meanwhile.",
        28.0,
        size=FEW_CONNECTIONS,
        on_fault=list_machine_outage(2, 20.0),
    ),
    Event(
        "largest-group-server-lost",
        "The server with most connections of the largest group is silent from then on.",
        20.0,
        on_fault=lose_largest_server,
    ),
)


@dataclass
class EventResult:
    """The outcome of an event."""

    figures: dict[str, float]
    seconds_until_whole: float | None
    rules_broken: int
    trace: str
    violations: list[str] = field(default_factory=list)


def fault_plan(event: Event, size: Size) -> plans.Plan:
    """The plan of a run with this event."""
    planned = experiment(size, FAULT_AT_S + event.seconds, event.faults(size))
    planned.hosts.traits = msgspec.convert(TRAITS | {"setup_us": event.setup_us}, type(planned.hosts.traits))
    planned.load.types[0].load_us = LOAD_US
    planned = plans.check(planned, simulated=True)
    return plans.make(planned, plans.Variant(name="only"), size.seed, ADDRESS_BLOCK)


def run_event(event: Event, size: Size) -> EventResult:
    """Runs one event to its end, or to the first violated invariant."""
    logging.getLogger("cottonspread").addHandler(logging.NullHandler())  # failed calls are part of the runs
    started_at = time.monotonic()
    fleet = FaultFleet(fault_plan(event, size))
    fleet.size, fleet.extra_figures, violation = size, {}, ""
    set_cores(fleet, WARMUP_CORES)
    fleet.world.at(round(WARMUP_S * SECOND), set_cores, fleet, TRAITS["cores"])
    fleet.world.at(round(FAULT_AT_S * SECOND), event.on_fault, fleet)
    changed_at = {}
    for after in event.changes:
        fleet.world.at(round((FAULT_AT_S + after) * SECOND), change_weight, fleet, changed_at)
    before, established = Meter(), 0
    try:
        fleet.world.run(round(FAULT_AT_S * SECOND) - 1)
        before, established = fleet.total_work(), len(fleet.clients.established)
        fleet.world.run(round((FAULT_AT_S + event.seconds) * SECOND))
        fleet.invariants.check_at_end()
    except (InvariantError, ContractError, NodeError) as error:
        violation = str(error)
    lost, recovered_at = len(fleet.clients.lost_at), fleet.clients.recovered_at
    work = meter_difference(fleet.total_work(), before)
    fleet.clients.finish()
    audit = audits.Audit(fleet.plan, 0, fleet.records.__getitem__).run()
    propagated = propagation(fleet, changed_at)
    figures = {
        "standing_before": established,
        "lost": sum(fleet.clients.losses.values()),
        **{f"lost_{how.replace('-', '_')}": count for how, count in sorted(fleet.clients.losses.items())},
        "not_back_at_the_end": lost,
        "turned_away": fleet.clients.busy_answers,
        "without_answer": fleet.clients.unanswered,
        **delay_figures("back", fleet.clients.recovery_s),
        **propagated.figures,
        "list_failures": work.failures,
        "control_bytes_in_an_instance_s": work.bytes_in / size.nodes / event.seconds,
        "control_bytes_out_an_instance_s": work.bytes_out / size.nodes / event.seconds,
        **fleet.extra_figures,
        "clients": size.nodes * size.connections,
        "servers": size.servers,
        "played_s": event.seconds,
        "peak_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "real_s": time.monotonic() - started_at,
    }
    violations = [f"{one['what']} ({one['count']})" for one in audit["offences"]] + (
        [violation] if violation else []
    )
    rules = sum(rule["broken"] for rule in audit["rules"].values()) + bool(violation)
    recovery_s = (
        None
        if lost or propagated.missing
        else max(recovered_at, propagated.caught_up_at) / SECOND - FAULT_AT_S
    )
    return EventResult(
        {k: round(float(v), 4) for k, v in figures.items()},
        recovery_s,
        rules,
        fleet.world.trace_digest(),
        violations,
    )


def set_cores(fleet: HollowFleet, cores: float) -> None:
    """Sets the cores of every server; its speed, which was drawn at random, stays."""
    for host in fleet.hosts.values():
        host.model.traits = msgspec.structs.replace(host.model.traits, cores=cores)


def change_weight(fleet: HollowFleet, changed_at: dict[int, int]) -> None:
    """Changes a server's weight in the list and records when."""
    changed_at[fleet.change_weight()] = fleet.world.now


@dataclass(frozen=True)
class PropagationResult:
    """Which list changes have arrived.

    `missing`: nodes alive that lack a change. `caught_up_at`: when the last late change arrived, 0 if none
    was late.
    """

    figures: dict[str, float]
    missing: int
    caught_up_at: int


def propagation(fleet: HollowFleet, changed_at: dict[int, int]) -> PropagationResult:
    """When the nodes that are alive applied the list changes; over 3 s is late."""
    alive = {node.name for node in fleet.nodes if node.processes}
    delays, missing, last = [], 0, 0
    for version, at in changed_at.items():
        applied = {name: when for name, when in fleet.applied_at[version].items() if name in alive}
        missing = max(missing, len(alive) - len(applied))
        delays += [(when - at) / SECOND for when in applied.values()]
        last = max([last, *applied.values()])
    late = sum(delay > 3.0 for delay in delays)
    figures = {"nodes_without_a_change": missing, "changes_in_force_over_3_s": late}
    return PropagationResult(figures | delay_figures("in_force", delays), missing, last if late else 0)


def delay_figures(name: str, delays: list[float]) -> dict[str, float]:
    """Percentiles of these delays, as figures."""
    if not delays:
        return {}
    p50, p99 = np.percentile(delays, [50, 99])
    return {f"{name}_p50_s": p50, f"{name}_p99_s": p99, f"{name}_last_s": max(delays)}


def row(event: Event, result: EventResult) -> FaultRow:
    """The row of the results for an event."""
    violations = "; ".join(result.violations)
    return FaultRow(
        event=event.name,
        figures=result.figures,
        seconds_until_whole=result.seconds_until_whole,
        rules_broken=result.rules_broken,
        notes=f"{event.notes} Trace {result.trace}." + (f" Broken: {violations[:600]}" if violations else ""),
    )


def event_size(
    event: Event, small: bool, node_count: int | None, server_count: int | None, seed: int
) -> Size:
    """The size of an event's run, as the command line asks for it."""
    size = replace(event.size, seed=seed)
    if small:
        size = replace(size, nodes=8, servers=16, connections=6)
    if node_count:
        size = replace(size, nodes=node_count)
    if server_count:
        size = replace(size, servers=server_count)
    return size


def fault_run(event: Event, size: Size, command: str, alone: bool, call=run_in_subprocess) -> FaultRun:
    """Runs an event and returns it as a result."""
    return FaultRun(
        name=f"fault-{event.name}",
        what=f"{event.notes} Hollow fleet, {size.connections} clients a node, simulated time.",
        command=command,
        kind="hollow",
        alone=alone,
        nodes=size.nodes,
        seed=size.seed,
        rows=[row(event, call(run_named_event, event.name, size))],
    )


def run_named_event(name: str, size: Size) -> EventResult:
    """Runs the event of this name; its arguments can be passed to another process."""
    return run_event(next(event for event in EVENTS if event.name == name), size)


@dataclass(frozen=True)
class ZoneSize(Size):
    """Size of a fleet that loses a zone, and the work of a set-up on its servers in microseconds."""

    setup_us: float = 2400.0


def measure_zone_loss(size: ZoneSize) -> dict[str, Figure]:
    """How the clients of a lost zone reconnect where a set-up costs `size.setup_us`."""
    event = next(event for event in EVENTS if event.name == "zone-lost")
    figures = run_event(replace(event, setup_us=size.setup_us), size).figures
    clients = figures["clients"]
    return {
        "moved": Figure(figures.get("lost_moved", 0) / clients * 100, "% of all clients", False),
        "reset": Figure(figures.get("lost_reset", 0) / clients * 100, "% of all clients", False),
        "not_back": Figure(figures["not_back_at_the_end"] / clients * 100, "% of all clients", False),
        "turned_away": Figure(figures["turned_away"] / clients, "times a client", False),
        "back_p99": Figure(figures.get("back_p99_s", 0.0), "s", False),
    }


SWEEPS = (
    SweepPlan(
        "hollow-zone-set-ups",
        "A lost zone, by the work of a set-up: who is moved, turned away and not back 24 s later; simulated.",
        "setup_us",
        "us",
        (2400.0, 12_000.0, 24_000.0, 48_000.0, 96_000.0),
        ZoneSize(nodes=104, servers=10, connections=10, line_s=4.0),
        measure_zone_loss,
    ),
)


def as_figures(fault_row: FaultRow) -> dict[str, Figure]:
    """A row's figures for the terminal."""
    figures = {
        name: Figure(value, name.rsplit("_", 1)[-1], False) for name, value in fault_row.figures.items()
    }
    recovery_s = fault_row.seconds_until_whole
    figures["seconds_until_whole"] = Figure(
        -1 if recovery_s is None else recovery_s, "s; -1: not whole", False
    )
    return figures | {"rules_broken": Figure(fault_row.rules_broken, "", False)}
