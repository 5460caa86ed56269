"""What clients may make a node keep in memory: names of any length, new ones, ended calls."""

import gc
import weakref

import pytest
from notation import ms, traffic_type
from test_reducer import World

from cottonspread import config
from cottonspread.net import lines, node
from cottonspread.policy.records import Records

TYPES = {"chat": 0}
LONGEST = 3_900  # characters of a name that fit into a first line


def group_of(name, use_groups=True):
    line = f"OPEN id key c=chat,d=1000,g={name}\r\n".encode()
    return lines.parse_open(line, TYPES, {}, use_groups, 10_000_000).group


def test_a_long_group_name_is_not_remembered_whole():
    """Guards against memory that grows with ever new names: a record kept up to 4 KiB for its group."""
    assert group_of("g" * lines.MAX_GROUP_LENGTH) == "g" * lines.MAX_GROUP_LENGTH
    assert len(group_of("g" * LONGEST)) <= lines.MAX_GROUP_LENGTH
    assert group_of("g" * LONGEST) == group_of("g" * LONGEST) != group_of("g" * (LONGEST - 1) + "h")
    assert group_of("g" * LONGEST, use_groups=False) is None


@pytest.mark.parametrize("memory_mb, expected", [(32, 2_000), (64, 23_592), (192, 50_000)])
def test_a_process_remembers_as_many_keys_as_its_memory_has_room_for(memory_mb, expected):
    """Guards against memory that grows with ever new names: 50,000 records took 18 MB of a node's 32."""
    limits = config.ResourceLimits(memory_mb, 1024)
    records = Records(node.record_limit(limits, node.socket_limit(limits)))
    host = object()
    for number in range(expected + 100):
        records.put(f"key-{number}", host, number)
    records.find("another", 0, open_calls=10)
    assert len(records) == expected + 10


def test_an_ended_call_is_not_kept_in_memory_until_its_deadline():
    """Guards against memory that grows while clients come and go: timers kept each call for up to 20 s."""
    world = World({}, [traffic_type("any", {"guard": "2000"})])
    world.act(0, "list", ["full", "a"])
    world.act(1, "accept", ["c1"])
    world.act(2, "read", ["c1", "OPEN", "one", "k", "c=any,d=20000"])
    call = weakref.ref(world.ends["c1"].conn)
    world.act(3, "connected", ["h1"])
    world.act(4, "read", ["h1", "UP", "r"])
    world.act(5, "end", ["c1"])
    world.act(ms(400), "tick", [])  # past the next sweep
    world.ends.clear()
    world.names.clear()
    world.freed.clear()
    world.got_first_line.clear()
    gc.collect()
    assert call() is None and world.reducer.timers
