"""Orders of servers by key, by rendezvous hashing: all nodes compute the same order of the same servers.

A server's rank for a key is a checksum of both; the order is by rank, then by name. A call needs the first
few servers of an order and seldom more, so only servers of low rank are searched for, and no order is sorted
as a whole.

Rendezvous (highest random weight) hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import struct
from collections import defaultdict
from dataclasses import dataclass
from zlib import crc32

# 2**32 over the golden ratio. Checksums are multiplied by it: those of similar texts keep their order.
SPREAD = 2654435761
MASK = 0xFFFFFFFF
LANE = 8  # bytes of a lane, which holds a checksum times SPREAD
TOP = 3  # the byte of a lane with the highest eight bits of a rank
STEPS = 256  # values of that byte
SPARE = 8  # servers searched for beyond those requested, for later requests of a few more


def start_of(key):
    """The checksum of a key, with which the checksums of its servers' ranks start."""
    return crc32(str(key).encode())


def name_of(server):
    """The server's name in bytes, from which its ranks are computed."""
    return str(server.name).encode()


def rank(start, name):
    """The rank of the server with that name (bytes) for the key with that start."""
    return crc32(name, start) * SPREAD & MASK


class Checksums:
    """The checksums of many names of equal length (in bytes), packed into one integer, a lane for each.

    One operation on that integer processes all lanes, about thirty times as fast as a loop over the names.
    The checksum of a key and a name is the name's with some bits flipped, which depend only on the key and
    the length of the name (a CRC is linear over XOR): a key's ranks take one XOR and one multiplication.
    """

    def __init__(self, names):
        """`names`: at least one, all of the same length."""
        self.length, self.size = len(names[0]), len(names) * LANE
        self.sums = int.from_bytes(struct.pack(f"<{len(names)}Q", *map(crc32, names)), "little")
        self.ones = int.from_bytes(b"\1".ljust(LANE, b"\0") * len(names), "little")

    def below(self, start, steps):
        """Yields the index of each name whose rank has a highest byte below `steps`.

        `start`: the checksum of the key for which the ranks are, see `start_of`.
        """
        zeros = bytes(self.length)
        turned = crc32(zeros, start) ^ crc32(zeros)
        ranks = (self.sums ^ turned * self.ones) * SPREAD
        highest = ranks.to_bytes(self.size, "little")[TOP::LANE]
        found = highest.translate(bytes(steps) + b"\1" * (STEPS - steps))
        place = found.find(0)
        while place >= 0:
            yield place
            place = found.find(0, place + 1)


@dataclass(eq=False)
class Prefix:
    """The first servers of one key's order: all whose rank has a highest byte below `steps`."""

    servers: list
    steps: int


class OrderCache:
    """Caches the first servers of each key's order.

    The cache is emptied once all cached orders together hold `most` servers.
    """

    def __init__(self, most):
        """`most`: the number of servers that all cached orders together may hold."""
        self.most, self.passes = most, 0  # `passes`: searches through all servers so far
        self.keep([])

    def keep(self, servers):
        """Replaces the servers by these and empties the cache."""
        self.servers = servers
        self.lanes = None  # (Checksums, their servers) for each length of names; computed when needed
        self.prefixes, self.places = {}, 0

    def first(self, key, count):
        """The servers in the key's order, lazily; about `count` of them are expected to be needed."""
        prefix, given = self.prefixes.get(key), 0
        while True:
            if prefix is None or len(prefix.servers) < count and prefix.steps < STEPS:
                prefix = self.longer(key, prefix, count + SPARE)
            while given < len(prefix.servers):
                yield prefix.servers[given]
                given += 1
            if prefix.steps == STEPS:
                return
            count = 2 * given + 1

    def sorted(self, key, servers):
        """The given servers in the key's order."""
        start = start_of(key)
        return sorted(servers, key=lambda one: (rank(start, name_of(one)), one.name))

    def longer(self, key, prefix, count):
        """Computes and caches a prefix of about `count` servers, longer than `prefix`."""
        if self.places >= self.most:
            self.prefixes, self.places = {}, 0
        steps = STEPS * count // max(1, len(self.servers)) + 1
        steps, start = min(STEPS, max(steps, prefix.steps + 1 if prefix else 1)), start_of(key)
        found = [servers[place] for sums, servers in self.by_length() for place in sums.below(start, steps)]
        prefix = self.prefixes[key] = Prefix(self.sorted(key, found), steps)
        self.places += len(found) + 1
        self.passes += 1
        return prefix

    def by_length(self):
        """(Checksums, their servers) for each length of names."""
        if self.lanes is None:
            alike = defaultdict(list)
            for one in self.servers:
                alike[len(name_of(one))].append(one)
            self.lanes = [(Checksums([name_of(one) for one in some]), some) for some in alike.values()]
        return self.lanes
