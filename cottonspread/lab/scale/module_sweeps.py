"""Sweeps of the balancer (the decision module) alone: the cost of one event, at sizes up to the target's.

    python -m cottonspread.lab.scale.module_sweeps [--small] [--sweep NAME] [--out DIR] [--suffix TEXT]

Each sweep varies one size and measures each kind of event by processor time and by lines executed, see
measuring.py.
"""

import argparse
import gc
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

from cottonspread import interface as io
from cottonspread.lab.scale import results
from cottonspread.lab.scale.balancer_node import LOAD, REVIEW_INTERVAL, BalancerNode
from cottonspread.lab.scale.measuring import Cost, memory_taken

REPEATS = 6  # runs of each list event: half are timed, half have their lines counted
CALLS = 60
LARGE_GROUP_NODES = 420  # nodes that share the listeners of a large group evenly

SIZES = {
    "connections": (1_000, 5_000, 10_000, 20_000, 40_000, 76_190),
    "servers": (50, 200, 400, 1_000, 3_000),
    "groups": (1_000, 10_000, 50_000, 150_000),
    "large-group": (1_000, 10_000, 100_000, 430_000),
}
SMALL = {
    "connections": (200, 400, 800, 1_600),
    "servers": (20, 40, 80, 160),
    "groups": (100, 200, 400, 800),
    "large-group": (1_000, 10_000, 42_000, 84_000),
}
FIXED = {
    "connections": {"servers": 1_000, "groups": 50_000},
    "servers": {"connections": 10_000, "groups": 10_000},
    "groups": {"connections": 20_000, "servers": 1_000},
    "large-group": {"connections": 10_000, "servers": 1_000, "groups": 10_000},
}
SMALL_FIXED = {"connections": 400, "servers": 40, "groups": 200}
UNITS = {
    "connections": "connections on the node",
    "servers": "servers listed",
    "groups": "groups in the fleet",
    "large-group": "listeners of the largest group, all nodes together",
}


def node_of(sweep, size, fixed, probed=False):
    """The node of a sweep at one size."""
    shape = dict(fixed)
    if sweep == "large-group":
        shape["large_group"] = min(size // LARGE_GROUP_NODES, shape["connections"])
    else:
        shape[sweep] = size
    return BalancerNode(**shape, probed=probed)


class NodeBenchmark:
    """All measurements of one node, ordered so that none disturbs a later one."""

    def __init__(self, node, probed, seed=3):
        """`probed`: a second node of the same size that probes its hosts; None to measure no probes."""
        self.node, self.probed, self.rng = node, probed, Random(seed)
        self.figures = {}  # (name, unit, whether it is control): value

    def record(self, name, cost, control, longest=False):
        """Records the cost of one kind of event."""
        value = cost.longest if longest else cost.median
        self.figures[f"{name}_us", "us", control] = round(value, 1)
        self.figures[f"{name}_lines", "lines run", control] = cost.max_lines

    def random_groups(self):
        """A random group for each call, of all that the node may know."""
        return [f"group-{self.rng.randrange(self.node.groups)}" for _ in range(CALLS)]

    def new_groups(self):
        """A group for each call that the node has no record of."""
        return [f"new-group-{n}" for n in range(CALLS)]

    def measure_calls(self):
        """Calls without and with a group, and those of a node that probes."""
        node = self.node
        node.review_servers()
        self.record("call", Cost.measure([node.run_call] * CALLS), False)
        tasks = [lambda group=group: node.run_call(group) for group in self.random_groups()]
        self.record("call_shared", Cost.measure(tasks), False)
        tasks = [lambda group=group: node.run_call(group) for group in self.new_groups()]
        self.record("call_new_group", Cost.measure(tasks), False)
        tasks = [lambda group=group: self.probed.run_call(group) for group in self.new_groups()]
        self.record("call_probed", Cost.measure(tasks), False)
        self.record("look_quiet", Cost.measure([node.review_servers] * REPEATS), True)
        self.record("look", Cost.measure([ReviewAfterLoad(node)] * REPEATS), True)

    def measure_load_reports(self):
        """Load reports on established connections."""
        calls = self.rng.sample(sorted(self.node.established), CALLS)
        tasks = [lambda call=call: self.node.handle(io.LoadReported(call, 12_000.0)) for call in calls]
        self.record("load_told", Cost.measure(tasks), False)

    def measure_list_updates(self):
        """List updates: the full list unchanged, a server that drains, a server that started."""
        node = self.node
        self.record("whole_list", Cost.measure([node.send_full_list] * REPEATS), True, longest=True)
        numbers = range(node.servers - 1, node.servers - 1 - REPEATS, -1)
        tasks = [lambda number=number: node.drain(number) for number in numbers]
        self.record("drain", Cost.measure(tasks), True, longest=True)
        tasks = [lambda number=number: node.restart_server(number) for number in numbers]
        self.record("started", Cost.measure(tasks), True, longest=True)

    def measure_server_loss(self):
        """An eighth of the servers disappears at once (timed), then another (lines counted).

        Their connections break.
        """
        node, eighth = self.node, self.node.servers // 8
        parts = [range(eighth), range(eighth, 2 * eighth)]
        tasks = [lambda numbers=numbers: node.remove_servers(numbers) for numbers in parts]
        self.record("lost_eighth", Cost.measure(tasks), True, longest=True)
        endings = node.connection_losses(range(2 * eighth))
        self.record("broken_off", Cost.measure([lambda end=end: node.handle(end) for end in endings]), False)
        node.now += REVIEW_INTERVAL
        self.record("call_after_loss", Cost.measure([node.run_call, node.run_call]), False, longest=True)

    def run_all(self):
        """Runs all measurements; returns the figures."""
        self.measure_calls()
        self.measure_load_reports()
        self.measure_list_updates()
        self.measure_server_loss()
        return self.figures


class ReviewAfterLoad:
    """A review of the servers after one load report, as nearly every review is in production."""

    def __init__(self, node):
        """The loads are reported on the node's first connection."""
        self.node, self.call, self.load = node, next(iter(node.established)), LOAD

    def prepare(self):
        """Reports a load other than the last; returns the review."""
        self.load += 1
        self.node.handle(io.LoadReported(self.call, self.load))
        return self.node.review_servers


def measure(sweep, size, fixed):
    """All figures of one size of a sweep."""
    node, allocated = memory_taken(lambda: node_of(sweep, size, fixed))
    gc.collect()
    figures = NodeBenchmark(node, node_of(sweep, size, fixed, probed=True)).run_all()
    figures["memory", "bytes", True] = allocated
    return figures


@dataclass(frozen=True)
class SweepFamily:
    """What the sweeps of one kind vary, hold fixed and measure."""

    kind: str  # "module" or "reducer"
    sizes: dict  # sweep: sizes
    fixed: dict  # sweep: {name: value}
    units: dict  # sweep: what the size counts
    measure: object  # function (sweep, size, fixed) -> {(name, unit, control): value}
    small: bool

    def run_sweep(self, sweep, suffix=""):
        """Runs one sweep; returns its result."""
        measures = {}
        for size in self.sizes[sweep]:
            print(f"{sweep} {size}", file=sys.stderr, flush=True)
            for key, value in self.measure(sweep, size, self.fixed[sweep]).items():
                measures.setdefault(key, []).append(results.Point(size, value))
        flags = " --small" * self.small + f" --suffix={suffix}" * bool(suffix)
        return results.Sweep(
            name=f"{self.kind}-{sweep}{suffix}",
            what=f"Cost of each event of the {self.kind} alone, by {self.units[sweep]}; processor time",
            command=f"python -m cottonspread.lab.scale.{self.kind}_sweeps --sweep {sweep}{flags}",
            kind=self.kind,
            alone=False,
            variable=sweep,
            variable_unit=self.units[sweep],
            fixed=self.fixed[sweep],
            measures=[
                results.Measure(name=name, unit=unit, control=control, points=points, plays=1)
                for (name, unit, control), points in measures.items()
            ],
        )


def table(result):
    """The result as text, a row for each measure."""
    rows = [f"{result.name}: " + ", ".join(f"{name}={value}" for name, value in result.fixed.items())]
    for one in result.measures:
        values = "".join(f"{point.value:>14,.0f}" for point in one.points)
        rows.append(f"{one.name:<28}{values}")
    return "\n".join(rows)


def run_command(kind, sizes, small_sizes, fixed, small_fixed, units, measure, text):
    """Runs the sweeps that the command line names, or all of them."""
    parser = argparse.ArgumentParser(description=text.split("\n")[0])
    parser.add_argument("--small", action="store_true", help="small sizes; a sweep takes seconds")
    parser.add_argument("--sweep", choices=sorted(sizes), help="sweep to run (default: all)")
    parser.add_argument("--out", type=Path, help="folder for the results (default: print them only)")
    parser.add_argument("--suffix", default="", help="text appended to each result's name")
    options = parser.parse_args()
    if options.small:
        sizes = small_sizes
        fixed = {sweep: {name: small_fixed[name] for name in shape} for sweep, shape in fixed.items()}
    plan = SweepFamily(kind, sizes, fixed, units, measure, options.small)
    for sweep in [options.sweep] if options.sweep else sizes:
        result = plan.run_sweep(sweep, options.suffix)
        print(table(result), flush=True)
        if options.out:
            results.write(result, options.out)


if __name__ == "__main__":
    run_command("module", SIZES, SMALL, FIXED, SMALL_FIXED, UNITS, measure, __doc__)
