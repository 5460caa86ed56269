"""The structures behind rotation, group orders and records behave like naive versions of themselves.

The naive versions iterate or sort everything; both run the same random operations, for many seeds.
"""

from collections import OrderedDict
from random import Random
from types import SimpleNamespace
from zlib import crc32

import pytest

from cottonspread.structures import CyclicOrder, LruMap, OrderCache

SEEDS = range(60)


def server(name, rng):
    """A server with the attributes that these structures use."""
    entry = SimpleNamespace(zone=rng.randrange(4))
    size = rng.choice((1.0, 1.0, 0.5, 3.0))
    return IdentityNamespace(name=name, entry=entry, size=size, turn_credit=0.0, skip_until=0)


class IdentityNamespace(SimpleNamespace):
    """A namespace that is compared by identity."""

    __hash__ = object.__hash__
    __eq__ = object.__eq__


def random_servers(rng, max_count):
    """Servers with names of several lengths."""
    count = rng.randrange(1, max_count)
    names = rng.sample([f"server-{n}" for n in range(2 * max_count)] + [f"s{n:x}" for n in range(99)], count)
    return [server(name, rng) for name in names]


# Orders of groups


def sorted_order(key, servers):
    """A naive order: all servers sorted by their rank for the key."""
    start = crc32(str(key).encode())

    def place(one):
        return crc32(str(one.name).encode(), start) * 2654435761 & 0xFFFFFFFF, one.name

    return sorted(servers, key=place)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_key_s_order_is_the_one_that_sorting_all_gives(seed):
    rng = Random(seed)
    servers, orders = random_servers(rng, 3 if seed % 3 == 0 else 300), OrderCache(200)
    for _ in range(6):
        orders.set_servers(servers)
        for key in (rng.choice(("a", "group-7", 12, None, "x" * 40)) for _ in range(12)):
            expected_order, count = sorted_order(key, servers), rng.randrange(len(servers) + 1)
            found = orders.first(key, rng.choice((0, 3, count)))
            assert [next(found) for _ in range(count)] == expected_order[:count]
            if rng.random() < 0.5:
                assert list(found) == expected_order[count:]
            some = rng.sample(servers, count)
            assert orders.sorted(key, some) == sorted_order(key, some)
        servers = [one for one in servers if rng.random() < 0.9] or servers
        servers.append(server(f"come-{rng.randrange(10**6)}", rng))


def test_a_name_that_is_a_number_is_ranked_by_its_text():
    rng = Random(1)
    servers, orders = [server(n, rng) for n in range(150)], OrderCache(200)
    orders.set_servers(servers)
    assert list(orders.first("k", 5)) == sorted_order("k", servers)


def test_cached_orders_are_bounded():
    servers, orders = [server(f"s{n}", Random(n)) for n in range(100)], OrderCache(500)
    orders.set_servers(servers)
    for n in range(1000):
        next(orders.first(f"g{n}", 2))
        assert sum(len(prefix.servers) for prefix in orders.prefixes.values()) <= 500 + 100


def test_no_server_at_all_gives_empty_orders():
    orders = OrderCache(10)
    assert list(orders.first("a", 3)) == []


# The rotation


class NaiveRotation:
    """A naive rotation: the whole order is copied and filtered at each call."""

    def __init__(self):
        self.order, self.at, self.largest = [], 0, 1

    def keep(self, hosts):
        """The servers now listed."""
        following = self.order[self.at :] + self.order[: self.at]
        listed, known = set(hosts), set(following)
        self.order = [h for h in following if h in listed] + [h for h in hosts if h not in known]
        self.at, self.largest = 0, max((h.size for h in hosts), default=1)

    def next(self, fits, now):
        """The next server that fits."""
        left = [h for h in self.order[self.at :] + self.order[: self.at] if h.skip_until <= now]
        while left:
            waiting = []
            for host in left:
                if fits(host):
                    host.turn_credit += host.size / self.largest
                    if host.turn_credit >= 1:
                        host.turn_credit -= 1
                        self.at = self.order.index(host) + 1
                        return host
                    waiting.append(host)
            left, fits = waiting, bool
        return None


def copy_of(one):
    """A copy with the same attributes."""
    return IdentityNamespace(**vars(one))


def has_name(names):
    """Whether a server has one of these names."""
    return lambda one: one.name in names


def name_of(one):
    """The name of a server; None for None."""
    return one and one.name


@pytest.mark.parametrize("seed", SEEDS)
def test_the_rotation_behaves_as_the_naive_one(seed):
    rng = Random(seed)
    servers = random_servers(rng, 40)
    copies = {one.name: copy_of(one) for one in servers}
    naive, rotation = NaiveRotation(), CyclicOrder()
    naive.keep(servers)
    rotation.set_servers(list(copies.values()))
    for now in range(300):
        if rng.random() < 0.05:
            listed = rng.sample(servers, rng.randrange(len(servers) + 1))
            naive.keep(listed)
            rotation.set_servers([copies[one.name] for one in listed])
        for one in rng.sample(servers, len(servers) // 8):
            one.skip_until = copies[one.name].skip_until = now + rng.randrange(9)
        allowed_names = {one.name for one in naive.order if rng.random() < 0.5}
        subset = [one for one in naive.order if rng.random() < 0.3]
        zone, kind = rng.randrange(5), rng.randrange(3)
        if kind == 0:
            candidates, among = naive.order, rotation.following()
        elif kind == 1:
            candidates = [one for one in naive.order if one.entry.zone == zone]
            among = rotation.in_zone(zone)
        else:
            candidates, among = subset, rotation.among([copies[one.name] for one in subset])
        allowed = {one.name for one in candidates} & allowed_names
        expected = naive.next(has_name(allowed), now)
        found = rotation.next(has_name(allowed_names), now, among)
        assert name_of(found) == name_of(expected)
        assert rotation.at == naive.at
        assert [one.turn_credit for one in rotation.order] == [one.turn_credit for one in naive.order]


def test_servers_may_become_skipped_while_they_are_checked():
    """`fits` changes the server that it checks, as a call does that finds it unavailable."""
    rotation = CyclicOrder()
    servers = [server(f"s{n}", Random(n)) for n in range(5)]
    rotation.set_servers(servers)
    checked = []

    def fits(one):
        checked.append(one)
        one.skip_until = 10
        return False

    assert rotation.next(fits, 1, rotation.following()) is None
    assert checked == servers
    assert rotation.next(fits, 2, rotation.following()) is None
    assert checked == servers


# Records


class NaiveRecords:
    """A naive map: all entries are iterated for each value that is dropped."""

    def __init__(self):
        self.entries = OrderedDict()

    def get(self, key):
        """The key's value."""
        return self.entries.get(key, (None,))[0]

    def put(self, key, value, now):
        """Sets the key's value."""
        self.entries[key] = value, now
        self.entries.move_to_end(key)

    def touch(self, key, value, now):
        """Counts as a use."""
        if self.get(key) is value:
            self.put(key, value, now)

    def drop(self, key, value):
        """Removes the key."""
        if self.get(key) is value:
            del self.entries[key]

    def drop_value(self, value):
        """Removes all keys of a value."""
        for key in [k for k, (v, _) in self.entries.items() if v is value]:
            del self.entries[key]

    def trim(self, oldest, max_count):
        """Removes the entries that were idle longest."""
        while self.entries:
            key, (_, used) = next(iter(self.entries.items()))
            if used >= oldest and len(self.entries) <= max_count:
                return
            del self.entries[key]


@pytest.mark.parametrize("seed", SEEDS)
def test_records_hold_what_the_naive_map_holds(seed):
    rng, values = Random(seed), [server(f"s{n}", Random(n)) for n in range(6)]
    naive, indexed = NaiveRecords(), LruMap()
    for now in range(800):
        kind, key, value = rng.randrange(20), rng.randrange(60), rng.choice(values)
        for one in (naive, indexed):
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
        assert list(indexed.items()) == list(naive.entries.items())
        indexed_keys = {value: keys for value, keys in indexed.keys_of.items()}
        held = [value for value, _ in naive.entries.values()]
        assert all(len(keys) == held.count(value) > 0 for value, keys in indexed_keys.items())
        assert sum(map(len, indexed_keys.values())) == len(held)
