"""A node that gets calls attempts some of them, however its earlier attempts ended."""

import heapq
import itertools

from notation import entry, node_config, traffic_type

from cottonspread import interface as io
from cottonspread.policy.path import Balancer
from cottonspread.state import SECOND

DURATION = 60 * SECOND
IDLE, CALLS = 4 * SECOND, 15  # from these on the long-running test counts a process as idle


def longest_idle(ending, servers, rate, group, **site):
    """(microseconds, calls) of the longest time in which `CALLS` calls or more came and all were rejected.

    Every attempt ends with `ending`: a time-out at its deadline, any other after a millisecond.
    """
    node = Balancer(0, node_config({"nodes": 20} | site, (traffic_type("t", {}),)))
    node.handle(0, io.ListUpdate(io.ListUpdateKind.FULL, 1, tuple(entry(f"s{n}") for n in range(servers))))
    ends, attempts, longest = [], {}, (0, 0)
    last, rejected = 0, 0

    def carry_out(now, actions):
        nonlocal last, rejected, longest
        for action in actions:
            if isinstance(action, io.Send):
                number = attempts.get(action.call, 0)
                attempts[action.call] = number + 1
                until = action.deadline if ending is io.Ending.TIMEOUT else now + 1000
                heapq.heappush(ends, (until, action.call, number))
                if rejected >= CALLS:
                    longest = max(longest, (now - last, rejected))
                last, rejected = now, 0
            elif isinstance(action, io.Reject):
                rejected += 1

    for now in range(SECOND, DURATION, SECOND // rate):
        while ends and ends[0][0] <= now:
            at, call, number = heapq.heappop(ends)
            carry_out(at, node.handle(at, io.LegEnded(call, number, ending, False)))
        call = f"c{now}"
        carry_out(now, node.handle(now, io.CallArrived(call, 0, 2 * SECOND, call, group and f"g{now % 5}")))
    assert len(attempts) > DURATION // IDLE, "too few calls were attempted"
    return longest


def test_a_node_whose_servers_all_fail_goes_on_trying():
    """Ejections last 8 s and longer: without forced attempts, up to 331 calls in a row were rejected."""
    endings = io.Ending.TIMEOUT, io.Ending.CONNECT_FAILED
    cases = itertools.product(endings, (3, 8, 60), (5, 40), (False, True))
    worst = max(longest_idle(ending, servers, rate, group) for ending, servers, rate, group in cases)
    assert worst[0] < IDLE, worst


def test_a_cold_server_gets_no_calls_beyond_its_budget():
    """A cold server has one budget for all nodes: calls beyond it are rejected, however many come."""
    node = Balancer(0, node_config({"nodes": 100, "seed": 5}, (traffic_type("t", {}),)))
    node.handle(0, io.ListUpdate(io.ListUpdateKind.FULL, 1, (entry("a:started=1"),)))
    sent = [
        action
        for n in range(1, 121)  # twelve a second for ten seconds, in which the node draws five times
        for action in node.handle(SECOND * n // 12, io.CallArrived(f"c{n}", 0, 2 * SECOND, f"c{n}"))
        if isinstance(action, io.Send)
    ]
    assert not sent, len(sent)
