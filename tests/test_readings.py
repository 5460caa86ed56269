"""How the module uses probe results, in details too small for a scenario."""

import pytest
from notation import node_config, traffic_type

from cottonspread import interface as io
from cottonspread.policy.readings import Readings
from cottonspread.state import SECOND, Host, SeededRandom, Settings


@pytest.fixture
def readings():
    types = (traffic_type("t", {"message": 50}),)
    return Readings(SeededRandom(1), Settings(node_config({"probe": "1"}, types), default_nodes=1))


def host(name="a"):
    return Host(name, io.Entry(name))


def test_an_unanswered_probe_says_nothing_of_how_full_the_fleet_is(readings):
    """Guards against unanswered probes that count as full servers: six servers out of reach made a node find
    the whole fleet busy and save on the cost of groups, so that it rejected calls beside idle servers.
    """
    for n in range(10):
        readings.record(host(), io.ProbeEnded("a", io.Ending.TIMEOUT, 120_000), n)
    assert not readings.fleet_busy()
    for n in range(10):
        readings.record(host(), io.ProbeEnded("a", io.Ending.OK, 1_000, 0.8), n)
    assert readings.fleet_busy()


def test_a_server_that_does_not_answer_counts_as_full_while_its_result_is_current(readings):
    one = host()
    readings.record(one, io.ProbeEnded("a", io.Ending.TIMEOUT, 120_000), SECOND)
    assert readings.is_full(one, 2 * SECOND) and not readings.is_full(one, SECOND + Readings.MAX_AGE + 1)
    readings.record(one, io.ProbeEnded("a", io.Ending.OK, 1_000, 0.3), 2 * SECOND)
    assert not readings.is_full(one, 2 * SECOND)
