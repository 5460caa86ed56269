"""The balancer's work for one event, counted at two sizes: no more than the event touches.

Work is counted in lines of code executed, each loop iteration anew (`lab/scale/measuring.py`), or by the
structures themselves. The times at the target's sizes are in benchmarks/scale/results/module-*.json.
"""

import pytest

from cottonspread import interface as io
from cottonspread.lab.scale.balancer_node import GUARD, LOAD, REVIEW_INTERVAL, BalancerNode, entry
from cottonspread.lab.scale.measuring import lines_run
from cottonspread.policy.records import Records
from cottonspread.state import SECOND

SLACK = 1.1  # random draws may change the work by up to 10%


def add_connections(node, count, host="server-0"):
    """Adds `count` connections, each of a group of its own, all on one server."""
    for _ in range(count):
        call = node.new_call_id()
        node.handle(io.CallArrived(call, 0, GUARD, None, f"held-{call}", held_by=host))
        node.handle(io.LoadReported(call, LOAD))


def warmed_up(node):
    """The node after each group's share of all calls has become small and the servers were reviewed."""
    for n in range(600):
        node.handle(io.CallArrived(f"warm-{n}", 0, 0, None, f"warm-{n}"))
    node.review_servers()
    return node


def test_removing_servers_visits_only_their_own_records():
    """Iterating all records for each removed server took 2.4 s for 125 of 1,000 at 40,000 connections."""

    def work(others):
        node = BalancerNode(80, 40, 80)
        add_connections(node, others)
        return lines_run(lambda: node.remove_servers(range(20, 30)))

    few, many = work(10), work(1000)
    assert many <= few * SLACK, (few, many)


@pytest.mark.parametrize("group", (None, "a new group"))
def test_a_call_visits_only_servers_that_it_may_go_to(group):
    """Copying the rotation and sorting all servers for a group took 1,256 us a call at 3,000 servers."""

    def work(servers):
        node = warmed_up(BalancerNode(servers * 2, servers, 200))
        node.run_call("another")
        return lines_run(lambda: node.run_call(group))

    few, many = work(50), work(500)
    assert many <= few * 1.6, (few, many)  # slack for longer names and one or two more servers


def test_a_group_s_order_is_computed_in_one_pass_and_only_once():
    node = warmed_up(BalancerNode(1000, 500, 200))
    orders = node.balancer.rotation.group_orders
    before = orders.scans
    for _ in range(5):
        node.arrive("some group")
    assert orders.scans - before == 1


def test_a_call_in_a_zone_without_servers_does_not_search_all_others():
    """Guards against comparing every server's zone in each call when a zone has lost all its servers."""

    def work(servers):
        node = BalancerNode(0, servers, 1)
        node.remove_servers(range(0, servers, 8))
        node.review_servers()
        node.run_call()
        return lines_run(node.run_call)

    few, many = work(40), work(400)
    assert many <= few * SLACK, (few, many)


def test_a_review_does_not_visit_unexceptional_servers():
    """Guards against checking all servers for slow, recently cut and ejected ones, four times a second."""

    def work(servers):
        node = BalancerNode(20, servers, 20)
        node.review_servers()
        return lines_run(node.review_servers)

    few, many = work(40), work(400)
    assert many <= few * SLACK, (few, many)


def test_a_review_recomputes_no_weight_without_a_load_report():
    def work(connections):
        node = BalancerNode(connections, 40, 40)
        node.review_servers()
        return lines_run(node.review_servers)

    few, many = work(40), work(400)
    assert many <= few * SLACK, (few, many)


def test_a_review_after_a_load_report_takes_five_lines_a_connection():
    """A new mean load changes each connection's weight, which once took eight lines and two calls each."""

    def work(connections):
        node = BalancerNode(connections, 40, 40)
        node.review_servers()
        node.handle(io.LoadReported(next(iter(node.established)), 2 * LOAD))
        return lines_run(node.review_servers)

    few, many = work(40), work(400)
    assert many - few <= 360 * 5, (few, many)


def test_the_end_of_a_leg_costs_the_same_however_many_groups_its_server_has():
    """Guards against searching all groups of the server for those that are gone."""

    def work(groups):
        node = BalancerNode(0, 4, 1)
        add_connections(node, groups)
        call = node.last_call_id
        return lines_run(lambda: node.handle(io.LegEnded(call, 0, io.Ending.OK, True)))

    few, many = work(5), work(500)
    assert many <= few * SLACK, (few, many)


def test_a_call_does_not_sum_over_servers_that_are_excluded():
    """Servers started in a rollout are excluded for 20 s.

    Guards against summing the legs, load and size of all of them in each call.
    """

    def work(cold_count):
        node = BalancerNode(400, 200, 400)
        node.now += 10 * SECOND
        started = [entry(n, started=node.now - SECOND) for n in range(cold_count)]
        node.update(io.ListUpdateKind.CHANGES, started)
        node.review_servers()
        group = "group-150"  # it has a record, which decides the call at once
        node.run_call(group)
        return lines_run(lambda: node.run_call(group))

    few, many = work(10), work(100)
    assert many <= few * SLACK, (few, many)


def test_no_record_of_an_established_connection_is_evicted(monkeypatch):
    """A fixed limit of 50,000 records is too small for a node, which has up to 76,190 connections."""
    monkeypatch.setattr(Records, "MAX_IDLE_KEYS", 20)
    node = BalancerNode(60, 4, 60)
    node.run_call("group-0")
    assert {f"group-{n}" for n in range(60)} <= set(node.balancer.records.entries)


def test_records_are_bounded_by_the_connections_held(monkeypatch):
    monkeypatch.setattr(Records, "MAX_IDLE_KEYS", 20)
    node = BalancerNode(60, 4, 60)
    for n in range(100):
        node.run_call(f"passing-{n}")
    assert len(node.balancer.records) <= 20 + 61 + 1  # one more for the call itself, and one for its record
    for call in node.established:
        node.handle(io.LegEnded(call, 0, io.Ending.OK, True))
    node.now += REVIEW_INTERVAL
    node.run_call("last")
    assert len(node.balancer.records) <= 20 + 1 + 1


def test_a_move_off_a_draining_server_costs_the_same_however_many_clients_it_has():
    """Guards against searching all connections of the server for those that are still to be moved."""

    def work(connections):
        node = BalancerNode(0, 4, 1)
        add_connections(node, connections)
        node.update(io.ListUpdateKind.CHANGES, [entry(0)._replace(state=io.HostState.DRAINING)])
        node.now += SECOND
        return lines_run(lambda: node.handle(io.TimerFired("off")))

    few, many = work(5), work(500)
    assert many <= few * SLACK, (few, many)
