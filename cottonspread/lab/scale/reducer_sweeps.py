"""Sweeps of the reducer with its balancer, no sockets: cost of timers, lines, calls, operators' commands.

    python -m cottonspread.lab.scale.reducer_sweeps [--small] [--sweep NAME] [--out DIR] [--suffix TEXT]

The measures `sweep` and `listen` are the reducer's own timers, which run four and ten times a second;
`timers_a_second` is the processor time that both take in a second.
"""

import gc

from cottonspread.lab.scale.measuring import Cost, memory_taken
from cottonspread.lab.scale.module_sweeps import CALLS, REPEATS, NodeBenchmark, run_command
from cottonspread.lab.scale.reducer_node import ReducerNode
from cottonspread.net.echo_monitor import ECHO_CHECK_INTERVAL
from cottonspread.net.reducer import SECOND, SWEEP_INTERVAL

UNECHOED_DIVISOR = 10  # one connection in this many has a line that awaits its echo
SIZES = {
    "connections": (1_000, 5_000, 10_000, 20_000, 40_000, 76_190),
    "servers": (50, 200, 400, 1_000, 3_000),
}
SMALL = {"connections": (200, 400, 800, 1_600), "servers": (20, 40, 80, 160)}
FIXED = {
    "connections": {"servers": 1_000, "groups": 50_000},
    "servers": {"connections": 10_000, "groups": 10_000},
}
SMALL_FIXED = {"connections": 400, "servers": 40, "groups": 200}
UNITS = {"connections": "connections on the node", "servers": "servers listed"}


class ReducerBenchmark(NodeBenchmark):
    """All measurements of one reducer."""

    def __init__(self, node):
        """`node`: the `ReducerNode` to measure."""
        super().__init__(node, None)
        self.clients = list(node.hosts)

    def measure_timers(self):
        """The reducer's two timers while nothing is in progress, then with lines that await an echo."""
        node = self.node
        for state, busy in (("idle", []), ("lines_out", self.clients[::UNECHOED_DIVISOR])):
            for kind in ("sweep", "listen"):
                timer_run = TimerRun(node, kind, busy)
                self.record(f"{kind}_{state}", Cost.measure([timer_run] * REPEATS), True)
                timer_run.echo()
            sweeps, listens = (self.figures[f"{kind}_{state}_us", "us", True] for kind in ("sweep", "listen"))
            second = round(sweeps * (SECOND // SWEEP_INTERVAL) + listens * (SECOND // ECHO_CHECK_INTERVAL))
            self.figures[f"timers_a_second_{state}_us", "us a second", True] = second

    def measure_lines_and_calls(self):
        """Events caused by clients: lines, calls."""
        node = self.node
        tasks = [lambda client=client: node.line_and_echo(client) for client in self.clients[1 : CALLS + 1]]
        self.record("line_and_echo", Cost.measure(tasks), False)
        tasks = [lambda group=group: node.run_call(group) for group in self.random_groups()]
        self.record("call", Cost.measure(tasks), False)
        tasks = [lambda group=group: node.run_call(group) for group in self.new_groups()]
        self.record("call_new_group", Cost.measure(tasks), False)

    def measure_list_and_operator_events(self):
        """Events caused by the list and by operators."""
        node = self.node
        self.record("whole_list", Cost.measure([node.send_full_list] * REPEATS), True, longest=True)
        self.record("hand_over", Cost.measure([node.hand_over] * 2), True, longest=True)
        self.record(
            "drain", Cost.measure([node.drain, node.resume, node.resume, node.drain]), True, longest=True
        )

    def run_all(self):
        """Runs all measurements; returns the figures."""
        self.measure_lines_and_calls()
        self.measure_timers()
        self.measure_list_and_operator_events()
        return self.figures


class TimerRun:
    """The next run of one timer alone; advancing to it is not measured."""

    def __init__(self, node, kind, busy):
        """`kind`: "sweep" or "listen". `busy`: clients that send a line just before the timer."""
        self.node, self.kind, self.busy, self.sent = node, kind, busy, []

    def prepare(self):
        """Advances to when it is due, just after each of `busy` sent a line; returns the work."""
        self.echo()
        work = self.node.advance_to_timer(self.kind, self.busy)
        self.sent = self.busy
        return work

    def echo(self):
        """Each host echoes what was sent before the last run."""
        for client in self.sent:
            self.node.echo(client)
        self.sent = []


def measure(sweep, size, fixed):
    """All figures of one size of a sweep."""
    shape = {**fixed, sweep: size}
    node, allocated = memory_taken(lambda: ReducerNode(**shape))
    gc.collect()
    figures = ReducerBenchmark(node).run_all()
    figures["memory", "bytes", True] = allocated
    return figures


if __name__ == "__main__":
    run_command("reducer", SIZES, SMALL, FIXED, SMALL_FIXED, UNITS, measure, __doc__)
