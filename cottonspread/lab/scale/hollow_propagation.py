"""How long a change of the list takes from the list machines to the modules of all hollow nodes.

Simulated time: ways, waits and pauses of the real list client are in it, the list machine's own processor
time is not (see the runs over sockets).
"""

from dataclasses import dataclass, replace

import numpy as np

from cottonspread.lab.scale.hollow_plans import WARMUP_S, Size
from cottonspread.lab.scale.hollow_sweeps import Figure, FleetRun, SweepPlan
from cottonspread.lab.sim.world import SECOND

CHANGES = 40
"""Changes in each play, at drawn moments, one a second on the mean."""

MAX_PROPAGATION_S = 6.0
"""Until a node that came through an absence must have the change: 4.5 s are reckoned at the longest."""


@dataclass(frozen=True)
class DelayStats:
    """Seconds from a change to the module, over all nodes and changes."""

    p50: float
    p99: float
    last: float

    @staticmethod
    def of(spans: list[float]) -> "DelayStats":
        p50, p99 = np.percentile(spans, [50, 99])
        return DelayStats(float(p50), float(p99), max(spans))

    def figures(self) -> dict[str, Figure]:
        return {
            "in_force_p50": Figure(self.p50, "s"),
            "in_force_p99": Figure(self.p99, "s"),
            "in_force_last": Figure(self.last, "s"),
        }


def measure_propagation(size: Size) -> dict[str, Figure]:
    """All machines are well: from the change to each module."""
    fleet_run = FleetRun(replace(size, seconds=CHANGES + 3.0))
    fleet, draws, made = fleet_run.fleet, fleet_run.fleet.world.random_stream("news"), {}

    def change(number):
        fleet_run.change(number)
        made[fleet.list_machines[0].book.version] = fleet.world.now

    for number in range(CHANGES):
        fleet.world.at(round((WARMUP_S + number) * SECOND) + draws.randbelow(SECOND), change, number)
    fleet_run.until(WARMUP_S + CHANGES + 2.5)
    spans = []
    for version, reached in fleet.versions.items():
        assert len(reached) == size.nodes, f"version {version} is in force at {len(reached)} nodes"
        spans += [(at - made[version]) / SECOND for at in reached.values()]
    return DelayStats.of(spans).figures()


@dataclass(frozen=True)
class OutageSize(Size):
    """`away_s`: how long every list machine is lost; `refuses`: its process ended, else nothing is heard of
    it. `back_s` over 0: it comes back for so long and is lost once more, for `AGAIN_S`, before the change."""

    away_s: float = 1.0
    refuses: bool = False
    back_s: float = 0.0
    phases: int = 8
    """Absences, each begun a further part of a watch later."""


SECOND_OUTAGE_S = 0.1


def lose_all(fleet_run: FleetRun, at: float, away_s: float, refuses: bool) -> float:
    """Every list machine, from `at` on; when they are back."""
    fleet_run.until(at)
    for machine in fleet_run.fleet.list_machines:
        lose = machine.end if refuses else machine.vanish
        lose(round(away_s * SECOND))
    fleet_run.until(at + away_s)
    return at + away_s


def measure_after_outage(size: OutageSize) -> dict[str, Figure]:
    """The list machines are away, and a change is made as they come back: from then to each module."""
    spans = []
    fleet_run = FleetRun(replace(size, seconds=size.phases * (size.away_s + MAX_PROPAGATION_S + 2)))
    fleet, at = fleet_run.fleet, WARMUP_S
    for phase in range(size.phases):
        at += 2 / size.phases  # a watch lasts 2 s
        at = lose_all(fleet_run, at, size.away_s, size.refuses)
        if size.back_s:
            at = lose_all(fleet_run, at + size.back_s, SECOND_OUTAGE_S, size.refuses)
        back = fleet.world.now
        fleet_run.change(phase)
        version = fleet.list_machines[0].book.version
        at += MAX_PROPAGATION_S
        fleet_run.until(at)
        reached = fleet.versions[version]
        assert len(reached) == size.nodes, f"in force at {len(reached)} nodes {MAX_PROPAGATION_S} s later"
        spans += [(when - back) / SECOND for when in reached.values()]
    figures = DelayStats.of(spans).figures()
    return figures | {
        "list_failures": Figure(fleet.metered().failures / size.nodes / size.phases, "failed calls")
    }


SWEEPS = (
    SweepPlan(
        "hollow-news",
        "Seconds from a change at the list machines to the modules of all nodes, 40 changes; simulated time.",
        "nodes",
        "nodes",
        (10, 50, 150, 420),
        Size(servers=50),
        measure_propagation,
    ),
    SweepPlan(
        "hollow-news-lost",
        "Seconds from the return of three lost list machines, with a change just made, to all modules; "
        "8 absences begun evenly over a watch; simulated time.",
        "away_s",
        "s",
        (0.1, 0.5, 2.0, 8.0),
        OutageSize(nodes=420, servers=10),
        measure_after_outage,
    ),
    SweepPlan(
        "hollow-news-ended",
        "The same where the list machines' processes ended and refuse connections meanwhile.",
        "away_s",
        "s",
        (0.1, 0.5, 2.0, 8.0),
        OutageSize(nodes=420, servers=10, refuses=True),
        measure_after_outage,
    ),
    SweepPlan(
        "hollow-news-flapping",
        "The same where they were lost for 8 s, came back, and were lost once more for 0.1 s.",
        "back_s",
        "s",
        (0.1, 0.5, 1.0, 1.5),
        OutageSize(nodes=420, servers=10, away_s=8.0),
        measure_after_outage,
    ),
)
