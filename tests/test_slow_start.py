"""Slow start together with other events."""

from dataclasses import replace

from notation import entry, node_config, traffic_type

from cottonspread import interface as io
from cottonspread.policy import Balancer
from cottonspread.state import SECOND


def test_a_reload_that_ends_slow_start_finds_servers_that_are_in_it():
    """A call of a group raised a division by zero until the next refresh of the overview."""
    site, types = {"nodes": 40}, (traffic_type("t", {}),)
    node = Balancer(0, node_config(site, types))
    servers = [f"s{n}:started=1000" for n in range(4)] + ["w0", "w1"]
    node.handle(SECOND, io.ListUpdate(io.ListUpdateKind.FULL, 1, tuple(entry(word) for word in servers)))
    node.handle(SECOND, io.CallArrived("before", 0, SECOND, None, "g"))
    node.handle(SECOND, io.Reconfigured(replace(node_config(site, types), cold=io.ColdStart())))
    actions = node.handle(SECOND + 1000, io.CallArrived("after", 0, SECOND, None, "other", returned=True))
    assert isinstance(actions[0], io.Send)
