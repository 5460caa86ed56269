"""How long a change of the list takes from the list machines to the balancers of all hollow nodes.

Times are simulated: they include network delays, timeouts and pauses of the real list client, but not
the list machine's own processor time (see the runs over sockets for that).
"""

from dataclasses import dataclass, replace

import numpy as np

from cottonspread.lab.scale.hollow_plans import WARMUP_S, Size
from cottonspread.lab.scale.hollow_sweeps import Figure, FleetRun, SweepPlan
from cottonspread.lab.sim.world import SECOND

CHANGE_COUNT = 40
"""Changes in each run, at random times, one a second on average."""

MAX_PROPAGATION_S = 6.0
"""Time within which every node must have a change after an outage; the worst case is computed as 4.5 s."""


@dataclass(frozen=True)
class DelayStats:
    """Seconds from a change until a balancer has it, over all nodes and changes."""

    p50: float
    p99: float
    last: float

    @staticmethod
    def of(delays: list[float]) -> "DelayStats":
        """Statistics of these delays."""
        p50, p99 = np.percentile(delays, [50, 99])
        return DelayStats(float(p50), float(p99), max(delays))

    def figures(self) -> dict[str, Figure]:
        """The statistics as measures of a sweep."""
        return {
            "in_force_p50": Figure(self.p50, "s"),
            "in_force_p99": Figure(self.p99, "s"),
            "in_force_last": Figure(self.last, "s"),
        }


def measure_propagation(size: Size) -> dict[str, Figure]:
    """Delay from a change to each balancer while all list machines work."""
    fleet_run = FleetRun(replace(size, seconds=CHANGE_COUNT + 3.0))
    fleet, rng, changed_at = fleet_run.fleet, fleet_run.fleet.world.random_stream("news"), {}

    def change(number):
        fleet_run.change(number)
        changed_at[fleet.list_machines[0].host_list.version] = fleet.world.now

    for number in range(CHANGE_COUNT):
        fleet.world.at(round((WARMUP_S + number) * SECOND) + rng.randbelow(SECOND), change, number)
    fleet_run.run_until(WARMUP_S + CHANGE_COUNT + 2.5)
    delays = []
    for version, applied in fleet.applied_at.items():
        assert len(applied) == size.nodes, f"version {version} reached {len(applied)} of {size.nodes} nodes"
        delays += [(at - changed_at[version]) / SECOND for at in applied.values()]
    return DelayStats.of(delays).figures()


@dataclass(frozen=True)
class OutageSize(Size):
    """A fleet whose list machines fail.

    `away_s`: how long every list machine is unreachable. `refuses`: its process has stopped and the kernel
    refuses connections; otherwise nothing answers. `back_s` over 0: the machines return for that time and are
    unreachable once more, for `SECOND_OUTAGE_S`, before the change.
    """

    away_s: float = 1.0
    refuses: bool = False
    back_s: float = 0.0
    phases: int = 8
    """Outages, each begun at a later phase of the watch interval."""


SECOND_OUTAGE_S = 0.1


def fail_list_machines(fleet_run: FleetRun, at: float, away_s: float, refuses: bool) -> float:
    """Fails every list machine at second `at`; returns the second at which they are back."""
    fleet_run.run_until(at)
    for machine in fleet_run.fleet.list_machines:
        fail = machine.stop_process if refuses else machine.drop_traffic
        fail(round(away_s * SECOND))
    fleet_run.run_until(at + away_s)
    return at + away_s


def measure_after_outage(size: OutageSize) -> dict[str, Figure]:
    """Fails all list machines and makes a change as they return: delay from the return to each balancer."""
    delays = []
    fleet_run = FleetRun(replace(size, seconds=size.phases * (size.away_s + MAX_PROPAGATION_S + 2)))
    fleet, at = fleet_run.fleet, WARMUP_S
    for phase in range(size.phases):
        at += 2 / size.phases  # a watch lasts 2 s
        at = fail_list_machines(fleet_run, at, size.away_s, size.refuses)
        if size.back_s:
            at = fail_list_machines(fleet_run, at + size.back_s, SECOND_OUTAGE_S, size.refuses)
        returned_at = fleet.world.now
        fleet_run.change(phase)
        version = fleet.list_machines[0].host_list.version
        at += MAX_PROPAGATION_S
        fleet_run.run_until(at)
        applied = fleet.applied_at[version]
        assert len(applied) == size.nodes, (
            f"{len(applied)} of {size.nodes} nodes had the change after {MAX_PROPAGATION_S} s"
        )
        delays += [(when - returned_at) / SECOND for when in applied.values()]
    figures = DelayStats.of(delays).figures()
    return figures | {
        "list_failures": Figure(fleet.total_work().failures / size.nodes / size.phases, "failed calls")
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
