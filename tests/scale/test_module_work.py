"""What the decision module looks at for one event, counted at two sizes: no more than the event touches.

Work is counted in lines of code run, each turn of a loop anew (`lab/scale/measuring.py`), or by structures.
The times at the target's sizes stand in benchmarks/scale/results/module-*.json.
"""

from cottonspread import interface as io
from cottonspread.lab.scale.measuring import lines_run
from cottonspread.lab.scale.module_node import GUARD, LOAD, LOOK, ModuleNode
from cottonspread.policy.records import Records

SLACK = 1.1  # what chance draws may make of the same work


def hold(node, count, host="server-0"):
    """So many connections more, each of a group of its own, all on one server."""
    for _ in range(count):
        call = node.next_call()
        node.handle(io.Arrived(call, 0, GUARD, None, f"held-{call}", held_by=host))
        node.handle(io.LoadTold(call, LOAD))


def test_servers_that_vanish_cost_their_own_records_and_no_others():
    """All records were walked for each server: 125 of 1,000 lost took 2.4 s at 40,000 connections."""

    def work(others):
        node = ModuleNode(80, 40, 80)
        hold(node, others)
        return lines_run(lambda: node.lose(range(20, 30)))

    few, many = work(10), work(1000)
    assert many <= few * SLACK, (few, many)


def test_no_record_of_a_connection_that_stands_is_dropped_for_their_number(monkeypatch):
    """50,000 were kept at most, and a node holds 76,190 connections."""
    monkeypatch.setattr(Records, "MOST", 20)
    node = ModuleNode(60, 4, 60)
    node.whole_call("group-0")
    assert {f"group-{n}" for n in range(60)} <= set(node.balancer.records.entries)


def test_records_are_bounded_by_the_connections_held(monkeypatch):
    monkeypatch.setattr(Records, "MOST", 20)
    node = ModuleNode(60, 4, 60)
    for n in range(100):
        node.whole_call(f"passing-{n}")
    assert len(node.balancer.records) <= 20 + 61 + 1  # the call itself is held, and then has its record
    for call in node.standing:
        node.handle(io.LegEnded(call, 0, io.Ending.OK, True))
    node.now += LOOK
    node.whole_call("last")
    assert len(node.balancer.records) <= 20 + 1 + 1
