"""How long a change of the list takes from the list machines to the modules of all hollow nodes.

Simulated time: ways, waits and pauses of the real list client are in it, the list machine's own processor
time is not (see the runs over sockets).
"""

from dataclasses import dataclass, replace

import numpy as np

from cottonspread.lab.scale.hollow_plans import WARM_S, Size
from cottonspread.lab.scale.hollow_sweeps import Figure, Playing, SweepPlan
from cottonspread.lab.sim.world import SECOND

CHANGES = 40
"""Changes in each play, at drawn moments, one a second on the mean."""

LONGEST_S = 6.0
"""Until a node that came through an absence must have the change: 4.5 s are reckoned at the longest."""


@dataclass(frozen=True)
class Spread:
    """Seconds from a change to the module, over all nodes and changes."""

    p50: float
    p99: float
    last: float

    @staticmethod
    def of(spans: list[float]) -> "Spread":
        p50, p99 = np.percentile(spans, [50, 99])
        return Spread(float(p50), float(p99), max(spans))

    def figures(self) -> dict[str, Figure]:
        return {
            "in_force_p50": Figure(self.p50, "s"),
            "in_force_p99": Figure(self.p99, "s"),
            "in_force_last": Figure(self.last, "s"),
        }


def news(size: Size) -> dict[str, Figure]:
    """All machines are well: from the change to each module."""
    playing = Playing(replace(size, seconds=CHANGES + 3.0))
    fleet, draws, made = playing.fleet, playing.fleet.world.random_stream("news"), {}

    def change(number):
        playing.change(number)
        made[fleet.list_machines[0].book.version] = fleet.world.now

    for number in range(CHANGES):
        fleet.world.at(round((WARM_S + number) * SECOND) + draws.randbelow(SECOND), change, number)
    playing.until(WARM_S + CHANGES + 2.5)
    spans = []
    for version, reached in fleet.versions.items():
        assert len(reached) == size.nodes, f"version {version} is in force at {len(reached)} nodes"
        spans += [(at - made[version]) / SECOND for at in reached.values()]
    return Spread.of(spans).figures()


@dataclass(frozen=True)
class AbsenceSize(Size):
    """`away_s`: how long every list machine is lost; `refuses`: its process ended, else nothing is heard of
    it. `back_s` over 0: it comes back for so long and is lost once more, for `AGAIN_S`, before the change."""

    away_s: float = 1.0
    refuses: bool = False
    back_s: float = 0.0
    phases: int = 8
    """Absences, each begun a further part of a watch later."""


AGAIN_S = 0.1


def lose_all(playing: Playing, at: float, away_s: float, refuses: bool) -> float:
    """Every list machine, from `at` on; when they are back."""
    playing.until(at)
    for machine in playing.fleet.list_machines:
        lose = machine.end if refuses else machine.vanish
        lose(round(away_s * SECOND))
    playing.until(at + away_s)
    return at + away_s


def after_absence(size: AbsenceSize) -> dict[str, Figure]:
    """The list machines are away, and a change is made as they come back: from then to each module."""
    spans = []
    playing = Playing(replace(size, seconds=size.phases * (size.away_s + LONGEST_S + 2)))
    fleet, at = playing.fleet, WARM_S
    for phase in range(size.phases):
        at += 2 / size.phases  # a watch lasts 2 s
        at = lose_all(playing, at, size.away_s, size.refuses)
        if size.back_s:
            at = lose_all(playing, at + size.back_s, AGAIN_S, size.refuses)
        back = fleet.world.now
        playing.change(phase)
        version = fleet.list_machines[0].book.version
        at += LONGEST_S
        playing.until(at)
        reached = fleet.versions[version]
        assert len(reached) == size.nodes, f"in force at {len(reached)} nodes {LONGEST_S} s later"
        spans += [(when - back) / SECOND for when in reached.values()]
    figures = Spread.of(spans).figures()
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
        news,
    ),
    SweepPlan(
        "hollow-news-lost",
        "Seconds from the return of three lost list machines, with a change just made, to all modules; "
        "8 absences begun evenly over a watch; simulated time.",
        "away_s",
        "s",
        (0.1, 0.5, 2.0, 8.0),
        AbsenceSize(nodes=420, servers=10),
        after_absence,
    ),
    SweepPlan(
        "hollow-news-ended",
        "The same where the list machines' processes ended and refuse connections meanwhile.",
        "away_s",
        "s",
        (0.1, 0.5, 2.0, 8.0),
        AbsenceSize(nodes=420, servers=10, refuses=True),
        after_absence,
    ),
    SweepPlan(
        "hollow-news-flapping",
        "The same where they were lost for 8 s, came back, and were lost once more for 0.1 s.",
        "back_s",
        "s",
        (0.1, 0.5, 1.0, 1.5),
        AbsenceSize(nodes=420, servers=10, away_s=8.0),
        after_absence,
    ),
)
