"""Faults at size: events played on a hollow fleet from a seed, what they cost, and an audit.

Every event begins at `AT_S` of a play in which all clients stand. A client that is lost is one whose standing
connection ended by no will of its own; it comes again by itself. The fleet is whole when none is lost any
more and every node has each change of the list in force. Rules are audited by the promises of `lab/sim` at
every step and by `lab/audit.py` over the record.

A lost machine's connections break at once, as where its process ends. Servers are the lab's own, smaller:
what stands uses two thirds of them, and a lost zone's clients are 50 ms of their set-ups.
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
from cottonspread.lab.scale.hollow_plans import BLOCK, WARM_S, ZONES, Size, experiment
from cottonspread.lab.scale.hollow_sweeps import Figure, SweepPlan, apart, between
from cottonspread.lab.scale.results import FaultRow, FaultRun
from cottonspread.lab.sim import fault_injection
from cottonspread.lab.sim.clients import Clients
from cottonspread.lab.sim.contract import ContractError
from cottonspread.lab.sim.invariants import InvariantError
from cottonspread.lab.sim.node import NodeError
from cottonspread.lab.sim.world import SECOND

AT_S = WARM_S + 1.0
RACKS = 40
FOR_GOOD_S = 3600.0
"""Of a machine that is not back within the play."""

TRAITS = {"cores": 0.8, "change_s": 1000.0}
LOAD_US = 3000.0
DEAR_SETUP_US = 96_000.0
"""A lost zone's clients are then two seconds of the other servers' set-ups."""

ROOMY_CORES = 64.0
"""Of each server while all clients come at once, before anything is measured."""

FAULT_SIZE = Size(nodes=420, servers=40, connections=10, line_s=4.0)
FEW = replace(FAULT_SIZE, connections=2, line_s=8.0)
"""For plays of over a minute."""


class CountedClients(Clients):
    """Simulated clients that tell how many were lost, and when each was served again."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.from_, self.lost, self.ends, self.spans = round(AT_S * SECOND), {}, Counter(), []
        self.whole_at, self.turned_away, self.without_answer = self.from_, 0, 0

    def on_up(self, call):
        super().on_up(call)
        since = self.lost.pop(call.schedule_index, None)
        if since is not None:
            self.spans.append((self.world.now - since) / SECOND)
            if not self.lost:
                self.whole_at = self.world.now

    def end_call(self, call, how):
        if not call.done and self.world.now >= self.from_ and how not in ("cut", "left"):
            self.count(call, how)
        super().end_call(call, how)

    def count(self, call, how):
        if call.up:
            self.ends[how] += 1
            self.lost.setdefault(call.schedule_index, self.world.now)
        elif call.answers and call.answers[0][1] == "BUSY":
            self.turned_away += 1
        elif not call.answers:
            self.without_answer += 1


class FaultFleet(HollowFleet):
    clients_type = CountedClients


@dataclass(frozen=True)
class Event:
    """`faults(size)`: what the plan has, by the lab's kinds. `begin(fleet)`: what is done besides, at AT_S.
    `changes`: seconds after AT_S at which a server's weight changes in the list, which moves no client."""

    name: str
    notes: str
    seconds: float = 20.0
    size: Size = FAULT_SIZE
    faults: Callable[[Size], list[Fault]] = lambda size: []
    begin: Callable[[HollowFleet], None] = lambda fleet: None
    changes: tuple[float, ...] = (1.0, 2.0, 8.0, 9.0)
    setup_us: float = 2400.0


def nodes(size: Size, of: int, which: int) -> list[str]:
    return [f"n{n}" for n in range(size.nodes) if n % of == which % of]


def servers(size: Size, of: int, which: int) -> list[str]:
    return [f"h{n}" for n in range(size.servers) if n % of == which % of]


def part_lost(size: Size, of: int, which: int) -> list[Fault]:
    """One part of so many, nodes and servers: nodes end without a word, servers are silent."""
    lost = servers(size, of, which) or [f"h{which % size.servers}"]
    return [
        Fault(at=AT_S, kind="kill", on=nodes(size, of, which)),
        Fault(at=AT_S, kind="vanish", on=lost, seconds=FOR_GOOD_S),
    ]


def rolling(size: Size) -> list[Fault]:
    """Every node's process is replaced, one node after the other within twenty seconds."""
    gap = 20.0 / size.nodes
    return [Fault(at=AT_S + n * gap, kind="replace", on=[f"n{n}"]) for n in range(size.nodes)]


def ordinary(size: Size) -> list[Fault]:
    """Two nodes fail, six are restarted, a server is replaced and another drained."""
    picked = [f"n{(7 + 31 * n) % size.nodes}" for n in range(8)]
    failed = [Fault(at=AT_S + 5.0 * n, kind="kill", on=[picked[n]], seconds=4.0) for n in range(2)]
    restarted = [
        Fault(at=AT_S + 1.5 * n, kind="stop", on=[name], seconds=5.0) for n, name in enumerate(picked[2:], 1)
    ]
    hosts = [
        Fault(at=AT_S + 2, kind="cold", on=["h3"], seconds=3.0),
        Fault(at=AT_S + 4, kind="drain", on=["h1"], seconds=4.0),
    ]
    return sorted(failed + restarted + hosts, key=lambda one: one.at)


def region(size: Size) -> frozenset[str]:
    """The first third of the nodes."""
    return frozenset(f"n{n}" for n in range(size.nodes // 3))


REGION_CUT_S = 60.0
CATCHING_UP_S = 4.5
"""Until every node of a region that is back has heard what it missed."""


def cut_region(fleet: HollowFleet) -> None:
    span, cut = round(REGION_CUT_S * SECOND), region(fleet.size)
    for machine in fleet.list_machines:
        machine.cut_ways(cut, span)
    fleet.world.after(span, catching_up, fleet, cut)


def catching_up(fleet: HollowFleet, cut: frozenset[str]) -> None:
    """The region is back: what its nodes hear from now on is counted."""
    before = heard_by(fleet, cut)

    def caught_up():
        heard = heard_by(fleet, cut) - before
        fleet.told["catching_up_bytes_in_an_instance"] = heard / len(cut)

    fleet.world.after(round(CATCHING_UP_S * SECOND), caught_up)


def heard_by(fleet: HollowFleet, names: frozenset[str]) -> int:
    """Bytes that these nodes' list clients have received."""
    return sum(fleet.by_name[name].process.meter.bytes_in for name in names)


def lose_machines(count: int, span_s: float) -> Callable[[HollowFleet], None]:
    def lose(fleet):
        for machine in fleet.list_machines[:count]:
            machine.vanish(round(span_s * SECOND))

    return lose


def most(counted: Counter) -> str:
    """What was counted most often; of equals the last by name."""
    return max(counted, key=lambda name: (counted[name], name))


def lose_largest_server(fleet: HollowFleet) -> None:
    """The server that holds most connections of the largest group is silent from now on."""
    standing = [
        (conn.call.group, host.name)
        for host in fleet.hosts.values()
        for conn in host.conns
        if conn.call is not None
    ]
    largest = most(Counter(group for group, _ in standing))
    held = Counter(name for group, name in standing if group == largest)
    name = most(held)
    count = held[name]
    fleet.told["largest_group_connections_lost"] = count
    fleet.told["largest_group_servers"] = len(held)
    lost = Fault(at=AT_S, kind="vanish", on=[name], seconds=FOR_GOOD_S)
    fault_injection.inject(fleet, lost)
    fleet.schedule_change(round((AT_S + fleet.plan.experiment.listing.silent_s) * SECOND), name, "Gone", None)


EVENTS = (
    Event(
        "ordinary-day",
        "Two nodes fail, six restart, a server is replaced, one drains.",
        25.0,
        faults=ordinary,
    ),
    Event(
        "node-lost",
        "One node's process ends without a word; no successor.",
        12.0,
        faults=lambda size: [Fault(at=AT_S, kind="kill", on=["n7"])],
    ),
    Event(
        "node-restarted",
        "SIGTERM to one node, back after 4 s.",
        14.0,
        faults=lambda size: [Fault(at=AT_S, kind="stop", on=["n7"], seconds=4.0)],
    ),
    Event("rolling-release", "Every node's process replaced within 20 s.", 28.0, faults=rolling),
    Event("rack-lost", "A fortieth of nodes and servers.", 20.0, faults=lambda s: part_lost(s, RACKS, 5)),
    Event("zone-lost", "An eighth of nodes and servers.", 25.0, faults=lambda s: part_lost(s, ZONES, 3)),
    Event(
        "zone-lost-dear-set-ups",
        "An eighth of nodes and servers, where a set-up takes forty times the usual work.",
        25.0,
        faults=lambda size: part_lost(size, ZONES, 3),
        setup_us=DEAR_SETUP_US,
    ),
    Event(
        "region-cut-off",
        f"A third of the nodes hears no list for {REGION_CUT_S:g} s; two servers drain meanwhile.",
        REGION_CUT_S + 12.0,
        size=FEW,
        faults=lambda size: [
            Fault(at=AT_S + 10.0, kind="drain", on=["h1"], seconds=10.0),
            Fault(at=AT_S + 30.0, kind="drain", on=["h2"], seconds=10.0),
        ],
        begin=cut_region,
        changes=(5.0, 15.0, 25.0, 35.0, 45.0, 55.0),
    ),
    Event(
        "list-machine-lost",
        "One of three list machines is lost for 20 s; changes meanwhile.",
        28.0,
        size=FEW,
        begin=lose_machines(1, 20.0),
    ),
    Event(
        "two-list-machines-lost",
        "Two of three list machines are lost for 20 s; changes meanwhile.",
        28.0,
        size=FEW,
        begin=lose_machines(2, 20.0),
    ),
    Event(
        "largest-group-server-lost",
        "The server with most connections of the largest group is silent from then on.",
        20.0,
        begin=lose_largest_server,
    ),
)


@dataclass
class Played:
    """What came of an event."""

    figures: dict[str, float]
    seconds_until_whole: float | None
    rules_broken: int
    trace: str
    offences: list[str] = field(default_factory=list)


def fault_plan(event: Event, size: Size) -> plans.Plan:
    made = experiment(size, AT_S + event.seconds, event.faults(size))
    made.hosts.traits = msgspec.convert(TRAITS | {"setup_us": event.setup_us}, type(made.hosts.traits))
    made.load.types[0].load_us = LOAD_US
    made = plans.check(made, simulated=True)
    return plans.make(made, plans.Variant(name="only"), size.seed, BLOCK)


def play(event: Event, size: Size) -> Played:
    """Plays one event to its end, or to the first promise that breaks."""
    logging.getLogger("cottonspread").addHandler(logging.NullHandler())  # failed calls are played, not news
    began = time.monotonic()
    fleet = FaultFleet(fault_plan(event, size))
    fleet.size, fleet.told, broken = size, {}, ""
    give_cores(fleet, ROOMY_CORES)
    fleet.world.at(round(WARM_S * SECOND), give_cores, fleet, TRAITS["cores"])
    fleet.world.at(round(AT_S * SECOND), event.begin, fleet)
    made = {}
    for after in event.changes:
        fleet.world.at(round((AT_S + after) * SECOND), change, fleet, made)
    before, standing = Meter(), 0
    try:
        fleet.world.run(round(AT_S * SECOND) - 1)
        before, standing = fleet.metered(), len(fleet.clients.established)
        fleet.world.run(round((AT_S + event.seconds) * SECOND))
        fleet.invariants.check_at_end()
    except (InvariantError, ContractError, NodeError) as fault:
        broken = str(fault)
    lost, whole_at = len(fleet.clients.lost), fleet.clients.whole_at
    work = between(fleet.metered(), before)
    fleet.clients.finish()
    audit = audits.Audit(fleet.plan, 0, fleet.records.__getitem__).run()
    news = in_force(fleet, made)
    figures = {
        "standing_before": standing,
        "lost": sum(fleet.clients.ends.values()),
        **{f"lost_{how.replace('-', '_')}": count for how, count in sorted(fleet.clients.ends.items())},
        "not_back_at_the_end": lost,
        "turned_away": fleet.clients.turned_away,
        "without_answer": fleet.clients.without_answer,
        **spread("back", fleet.clients.spans),
        **news.figures,
        "list_failures": work.failures,
        "control_bytes_in_an_instance_s": work.bytes_in / size.nodes / event.seconds,
        "control_bytes_out_an_instance_s": work.bytes_out / size.nodes / event.seconds,
        **fleet.told,
        "clients": size.nodes * size.connections,
        "servers": size.servers,
        "played_s": event.seconds,
        "peak_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "real_s": time.monotonic() - began,
    }
    offences = [f"{one['what']} ({one['count']})" for one in audit["offences"]] + ([broken] if broken else [])
    rules = sum(rule["broken"] for rule in audit["rules"].values()) + bool(broken)
    whole = None if lost or news.missing else max(whole_at, news.at) / SECOND - AT_S
    return Played(
        {k: round(float(v), 4) for k, v in figures.items()},
        whole,
        rules,
        fleet.world.trace_digest(),
        offences,
    )


def give_cores(fleet: HollowFleet, cores: float) -> None:
    """To every server, beside its speed, which was drawn."""
    for host in fleet.hosts.values():
        host.model.traits = msgspec.structs.replace(host.model.traits, cores=cores)


def change(fleet: HollowFleet, made: dict[int, int]) -> None:
    made[fleet.change_weight()] = fleet.world.now


@dataclass(frozen=True)
class News:
    """Whether every node that lives has the changes in force, and since when the last one has."""

    figures: dict[str, float]
    missing: int
    at: int


def in_force(fleet: HollowFleet, made: dict[int, int]) -> News:
    alive = {node.name for node in fleet.nodes if node.processes}
    spans, missing, last = [], 0, 0
    for version, at in made.items():
        reached = {name: when for name, when in fleet.versions[version].items() if name in alive}
        missing = max(missing, len(alive) - len(reached))
        spans += [(when - at) / SECOND for when in reached.values()]
        last = max([last, *reached.values()])
    late = sum(span > 3.0 for span in spans)
    figures = {"nodes_without_a_change": missing, "changes_in_force_over_3_s": late}
    return News(figures | spread("in_force", spans), missing, last if late else 0)


def spread(name: str, spans: list[float]) -> dict[str, float]:
    if not spans:
        return {}
    p50, p99 = np.percentile(spans, [50, 99])
    return {f"{name}_p50_s": p50, f"{name}_p99_s": p99, f"{name}_last_s": max(spans)}


def row(event: Event, played: Played) -> FaultRow:
    told = "; ".join(played.offences)
    return FaultRow(
        event=event.name,
        figures=played.figures,
        seconds_until_whole=played.seconds_until_whole,
        rules_broken=played.rules_broken,
        notes=f"{event.notes} Trace {played.trace}." + (f" Broken: {told[:600]}" if told else ""),
    )


def sized(event: Event, small: bool, node_count: int | None, server_count: int | None, seed: int) -> Size:
    size = replace(event.size, seed=seed)
    if small:
        size = replace(size, nodes=8, servers=16, connections=6)
    if node_count:
        size = replace(size, nodes=node_count)
    if server_count:
        size = replace(size, servers=server_count)
    return size


def fault_run(event: Event, size: Size, command: str, alone: bool, call=apart) -> FaultRun:
    return FaultRun(
        name=f"fault-{event.name}",
        what=f"{event.notes} Hollow fleet, {size.connections} clients a node, simulated time.",
        command=command,
        kind="hollow",
        alone=alone,
        nodes=size.nodes,
        seed=size.seed,
        rows=[row(event, call(play_named, event.name, size))],
    )


def play_named(name: str, size: Size) -> Played:
    """An event by its name: what goes to a process of its own."""
    return play(next(event for event in EVENTS if event.name == name), size)


@dataclass(frozen=True)
class ZoneSize(Size):
    """A zone is lost where a set-up costs so much work."""

    setup_us: float = 2400.0


def zone_by_set_up(size: ZoneSize) -> dict[str, Figure]:
    """How a lost zone's clients come again, by what a set-up costs."""
    event = next(event for event in EVENTS if event.name == "zone-lost")
    told = play(replace(event, setup_us=size.setup_us), size).figures
    clients = told["clients"]
    return {
        "moved": Figure(told.get("lost_moved", 0) / clients * 100, "% of all clients", False),
        "reset": Figure(told.get("lost_reset", 0) / clients * 100, "% of all clients", False),
        "not_back": Figure(told["not_back_at_the_end"] / clients * 100, "% of all clients", False),
        "turned_away": Figure(told["turned_away"] / clients, "times a client", False),
        "back_p99": Figure(told.get("back_p99_s", 0.0), "s", False),
    }


SWEEPS = (
    SweepPlan(
        "hollow-zone-set-ups",
        "A lost zone, by the work of a set-up: who is moved, turned away and not back 24 s later; simulated.",
        "setup_us",
        "us",
        (2400.0, 12_000.0, 24_000.0, 48_000.0, 96_000.0),
        ZoneSize(nodes=104, servers=10, connections=10, line_s=4.0),
        zone_by_set_up,
    ),
)


def shown(found: FaultRow) -> dict[str, Figure]:
    """A row for the terminal."""
    figures = {name: Figure(value, name.rsplit("_", 1)[-1], False) for name, value in found.figures.items()}
    whole = found.seconds_until_whole
    figures["seconds_until_whole"] = Figure(-1 if whole is None else whole, "s; -1: not whole", False)
    return figures | {"rules_broken": Figure(found.rules_broken, "", False)}
