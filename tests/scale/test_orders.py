"""The structures under rotation, group orders and records do as plain copies of what they replaced.

The plain copies walk or sort everything, as the text before did; many seeds are played against them.
"""

from collections import OrderedDict
from random import Random
from types import SimpleNamespace
from zlib import crc32

import pytest

from cottonspread.structures import CyclicOrder, LruMap, OrderCache

SEEDS = range(60)


def server(name, chance):
    """A server as far as these structures know one."""
    entry = SimpleNamespace(zone=chance.randrange(4))
    size = chance.choice((1.0, 1.0, 0.5, 3.0))
    return SimpleNamespaceById(name=name, entry=entry, size=size, turn_credit=0.0, skip_until=0)


class SimpleNamespaceById(SimpleNamespace):
    """Two of them are the same only if they are one."""

    __hash__ = object.__hash__
    __eq__ = object.__eq__


def drawn_servers(chance, most):
    """Servers with names of several lengths, some of them no text."""
    count = chance.randrange(1, most)
    names = chance.sample([f"server-{n}" for n in range(2 * most)] + [f"s{n:x}" for n in range(99)], count)
    return [server(name, chance) for name in names]


# Orders of groups


def plain_order(key, servers):
    """The order as it was made before: all servers sorted."""
    start = crc32(str(key).encode())

    def place(one):
        return crc32(str(one.name).encode(), start) * 2654435761 & 0xFFFFFFFF, one.name

    return sorted(servers, key=place)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_key_s_order_is_the_one_that_sorting_all_gives(seed):
    chance = Random(seed)
    servers, orders = drawn_servers(chance, 3 if seed % 3 == 0 else 300), OrderCache(200)
    for _ in range(6):
        orders.keep(servers)
        for key in (chance.choice(("a", "group-7", 12, None, "x" * 40)) for _ in range(12)):
            wanted, count = plain_order(key, servers), chance.randrange(len(servers) + 1)
            found = orders.first(key, chance.choice((0, 3, count)))
            assert [next(found) for _ in range(count)] == wanted[:count]
            if chance.random() < 0.5:
                assert list(found) == wanted[count:]
            some = chance.sample(servers, count)
            assert orders.sorted(key, some) == plain_order(key, some)
        servers = [one for one in servers if chance.random() < 0.9] or servers
        servers.append(server(f"come-{chance.randrange(10**6)}", chance))


def test_a_name_that_is_a_number_is_ranked_by_its_text():
    chance = Random(1)
    servers, orders = [server(n, chance) for n in range(150)], OrderCache(200)
    orders.keep(servers)
    assert list(orders.first("k", 5)) == plain_order("k", servers)


def test_orders_kept_are_bounded():
    servers, orders = [server(f"s{n}", Random(n)) for n in range(100)], OrderCache(500)
    orders.keep(servers)
    for n in range(1000):
        next(orders.first(f"g{n}", 2))
        assert sum(len(prefix.servers) for prefix in orders.prefixes.values()) <= 500 + 100


def test_no_server_at_all_gives_empty_orders():
    orders = OrderCache(10)
    assert list(orders.first("a", 3)) == []


# The rotation


class PlainRotation:
    """The rotation as it was: the whole order copied and filtered at each call."""

    def __init__(self):
        self.order, self.at, self.largest = [], 0, 1

    def keep(self, hosts):
        """The servers now listed."""
        following = self.order[self.at :] + self.order[: self.at]
        listed, known = set(hosts), set(following)
        self.order = [h for h in following if h in listed] + [h for h in hosts if h not in known]
        self.at, self.largest = 0, max((h.size for h in hosts), default=1)

    def next(self, fits, now):
        """The next that fits."""
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


def twin(one):
    """Another of the same."""
    return SimpleNamespaceById(**vars(one))


def has_name(names):
    """Whether a server has one of these names."""
    return lambda one: one.name in names


def name_of(one):
    """The name of a server, None of none."""
    return one and one.name


@pytest.mark.parametrize("seed", SEEDS)
def test_the_rotation_goes_on_as_the_plain_one_does(seed):
    chance = Random(seed)
    servers = drawn_servers(chance, 40)
    twins = {one.name: twin(one) for one in servers}
    plain, rotation = PlainRotation(), CyclicOrder()
    plain.keep(servers)
    rotation.keep(list(twins.values()))
    for now in range(300):
        if chance.random() < 0.05:
            listed = chance.sample(servers, chance.randrange(len(servers) + 1))
            plain.keep(listed)
            rotation.keep([twins[one.name] for one in listed])
        for one in chance.sample(servers, len(servers) // 8):
            one.skip_until = twins[one.name].skip_until = now + chance.randrange(9)
        good = {one.name for one in plain.order if chance.random() < 0.5}
        few = [one for one in plain.order if chance.random() < 0.3]
        zone, kind = chance.randrange(5), chance.randrange(3)
        if kind == 0:
            wanted, among = plain.order, rotation.following()
        elif kind == 1:
            wanted = [one for one in plain.order if one.entry.zone == zone]
            among = rotation.in_zone(zone)
        else:
            wanted, among = few, rotation.among([twins[one.name] for one in few])
        allowed = {one.name for one in wanted} & good
        expected = plain.next(has_name(allowed), now)
        found = rotation.next(has_name(good), now, among)
        assert name_of(found) == name_of(expected)
        assert rotation.at == plain.at
        assert [one.turn_credit for one in rotation.order] == [one.turn_credit for one in plain.order]


def test_servers_that_are_looked_at_may_shut_themselves_as_they_are():
    """What `fits` does to the server that it looks at, as a call that finds it not open."""
    rotation = CyclicOrder()
    servers = [server(f"s{n}", Random(n)) for n in range(5)]
    rotation.keep(servers)
    looked = []

    def fits(one):
        looked.append(one)
        one.skip_until = 10
        return False

    assert rotation.next(fits, 1, rotation.following()) is None
    assert looked == servers
    assert rotation.next(fits, 2, rotation.following()) is None
    assert looked == servers


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
    plain, indexed = PlainRecords(), LruMap()
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
