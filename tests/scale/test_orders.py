"""The structures under rotation, group orders and records do as plain copies of what they replaced.

The plain copies walk or sort everything, as the text before did; many seeds are played against them.
"""

from collections import OrderedDict
from random import Random
from types import SimpleNamespace

import pytest

from cottonspread.structures import AgedMap

SEEDS = range(60)


def server(name, chance):
    """A server as far as these structures know one."""
    entry = SimpleNamespace(zone=chance.randrange(4))
    size = chance.choice((1.0, 1.0, 0.5, 3.0))
    return SimpleNamespaceById(name=name, entry=entry, size=size, turn=0.0, shut_until=0)


class SimpleNamespaceById(SimpleNamespace):
    """Two of them are the same only if they are one."""

    __hash__ = object.__hash__
    __eq__ = object.__eq__


# Records


class PlainRecords:
    """The map as it was: all entries walked for each value that is dropped."""

    def __init__(self):
        self.entries = OrderedDict()

    def get(self, key):
        """The key's value."""
        return self.entries.get(key, (None,))[0]

    def put(self, key, value, now):
        """Sets it."""
        self.entries[key] = value, now
        self.entries.move_to_end(key)

    def touch(self, key, value, now):
        """Counts as a use."""
        if self.get(key) is value:
            self.put(key, value, now)

    def drop(self, key, value):
        """Takes out the key."""
        if self.get(key) is value:
            del self.entries[key]

    def drop_value(self, value):
        """Takes out all keys of a value."""
        for key in [k for k, (v, _) in self.entries.items() if v is value]:
            del self.entries[key]

    def trim(self, oldest, most):
        """Takes out the idle ones."""
        while self.entries:
            key, (_, used) = next(iter(self.entries.items()))
            if used >= oldest and len(self.entries) <= most:
                return
            del self.entries[key]


@pytest.mark.parametrize("seed", SEEDS)
def test_records_hold_what_the_plain_map_holds(seed):
    chance, values = Random(seed), [server(f"s{n}", Random(n)) for n in range(6)]
    plain, indexed = PlainRecords(), AgedMap()
    for now in range(800):
        kind, key, value = chance.randrange(20), chance.randrange(60), chance.choice(values)
        for one in (plain, indexed):
            if kind < 12:
                one.put(key, value, now)
            elif kind < 15:
                one.touch(key, value, now)
            elif kind < 18:
                one.drop(key, value)
            elif kind == 18:
                one.drop_value(value)
            else:
                one.trim(now - 100, 30)
        assert list(indexed.items()) == list(plain.entries.items())
        indexed_keys = {value: keys for value, keys in indexed.keys_of.items()}
        held = [value for value, _ in plain.entries.values()]
        assert all(len(keys) == held.count(value) > 0 for value, keys in indexed_keys.items())
        assert sum(map(len, indexed_keys.values())) == len(held)
