"""The work of the reducer's timers, counted at two sizes: it does not grow with idle connections.

Work is counted in lines of code executed, each loop iteration anew (`lab/scale/measuring.py`).
"""

import pytest

from cottonspread.lab.scale.measuring import lines_run
from cottonspread.lab.scale.reducer_node import ReducerNode

SERVERS, GROUPS, FEW, MANY = 20, 50, 100, 400
BUSY = 10  # connections with a line that awaits its echo, at both sizes


def work_of(kind, connections, busy):
    """Lines that one run of a timer of that kind executes, `busy` of the connections awaiting an echo."""
    node = ReducerNode(connections, SERVERS, GROUPS)
    return lines_run(node.advance_to_timer(kind, list(node.hosts)[:busy]))


@pytest.mark.parametrize("busy", (0, BUSY))
@pytest.mark.parametrize("kind", ("sweep", "listen"))
def test_a_timer_checks_active_connections_and_not_idle_ones(kind, busy):
    """Checking all connections and legs, fourteen times a second, took over 17 ms of a core a second."""
    few, many = work_of(kind, FEW, busy), work_of(kind, MANY, busy)
    assert many <= few * 1.05, (few, many)


@pytest.mark.parametrize("kind", ("sweep", "listen"))
def test_a_timer_checks_all_active_connections(kind):
    """Each connection that awaits an echo adds work: none is skipped."""
    few, many = work_of(kind, MANY, BUSY), work_of(kind, MANY, 4 * BUSY)
    assert many >= few + 3 * BUSY, (few, many)


def test_a_load_report_checks_only_connections_that_await_an_echo():
    """Guards against searching all legs of the host for the oldest line without an echo."""

    def work(connections):
        node = ReducerNode(connections, 1, GROUPS)
        return lines_run(lambda: node.send_load_report(next(iter(node.hosts))))

    few, many = work(FEW), work(MANY)
    assert many <= few * 1.05, (few, many)


def test_a_drain_creates_one_timer_for_all_connections():
    """With a timer for each connection a node did not respond for 0.1 s or more at 76,190 connections."""

    def work(connections):
        node = ReducerNode(connections, SERVERS, GROUPS)
        before = len(node.reducer.timers)
        lines = lines_run(node.drain)
        return lines, len(node.reducer.timers) - before

    (few, timers), (many, more_timers) = work(FEW), work(MANY)
    assert timers == more_timers == 2
    assert many - few <= 3 * (MANY - FEW), (few, many)
