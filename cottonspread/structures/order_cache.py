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

# 2**32 over the golden ratio. Checksums are multiplied by it, because the plain checksums of similar names
# keep their order from one key to the next.
MULTIPLIER = 2654435761
MASK = 0xFFFFFFFF
LANE = 8  # bytes of a lane, which holds a checksum times MULTIPLIER
TOP_BYTE = 3  # the byte of a lane with the highest eight bits of a rank
BYTE_VALUES = 256  # values of that byte
SPARE = 8  # servers searched for beyond those requested, for later requests of a few more


def key_checksum(key):
    """The checksum of a key, with which the checksums of its servers' ranks start."""
    return crc32(str(key).encode())


def name_of(server):
    """The server's name in bytes, from which its ranks are computed."""
    return str(server.name).encode()


def rank(key_sum, name):
    """The rank of the server with that name (bytes) for the key with that checksum."""
    return crc32(name, key_sum) * MULTIPLIER & MASK


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

    def below(self, key_sum, limit):
        """Yields the index of each name whose rank has a highest byte below `limit`.

        `key_sum`: the checksum of the key for which the ranks are, see `key_checksum`.
        """
        zeros = bytes(self.length)
        flipped_bits = crc32(zeros, key_sum) ^ crc32(zeros)
        ranks = (self.sums ^ flipped_bits * self.ones) * MULTIPLIER
        highest = ranks.to_bytes(self.size, "little")[TOP_BYTE::LANE]
        found = highest.translate(bytes(limit) + b"\1" * (BYTE_VALUES - limit))
        index = found.find(0)
        while index >= 0:
            yield index
            index = found.find(0, index + 1)


@dataclass(eq=False)
class Prefix:
    """The first servers of one key's order: all whose rank has a highest byte below `limit`."""

    servers: list
    limit: int


class OrderCache:
    """Caches the first servers of each key's order.

    The cache is emptied once all cached orders together hold `max_servers` servers.
    """

    def __init__(self, max_servers):
        """`max_servers`: the number of servers that all cached orders together may hold."""
        self.max_servers, self.scans = max_servers, 0  # `scans`: searches through all servers so far
        self.set_servers([])

    def set_servers(self, servers):
        """Replaces the servers by these and empties the cache."""
        self.servers = servers
        self.lanes = None  # (Checksums, their servers) for each length of names; computed when needed
        self.prefixes, self.cached_count = {}, 0

    def first(self, key, count):
        """The servers in the key's order, lazily; about `count` of them are expected to be needed."""
        prefix, yielded = self.prefixes.get(key), 0
        while True:
            if prefix is None or len(prefix.servers) < count and prefix.limit < BYTE_VALUES:
                prefix = self.extend(key, prefix, count + SPARE)
            while yielded < len(prefix.servers):
                yield prefix.servers[yielded]
                yielded += 1
            if prefix.limit == BYTE_VALUES:
                return
            count = 2 * yielded + 1

    def sorted(self, key, servers):
        """The given servers in the key's order."""
        key_sum = key_checksum(key)
        return sorted(servers, key=lambda server: (rank(key_sum, name_of(server)), server.name))

    def extend(self, key, prefix, count):
        """Computes and caches a prefix of about `count` servers, longer than `prefix`."""
        if self.cached_count >= self.max_servers:
            self.prefixes, self.cached_count = {}, 0
        limit = BYTE_VALUES * count // max(1, len(self.servers)) + 1
        limit, key_sum = min(BYTE_VALUES, max(limit, prefix.limit + 1 if prefix else 1)), key_checksum(key)
        found = [servers[index] for sums, servers in self.by_length() for index in sums.below(key_sum, limit)]
        prefix = self.prefixes[key] = Prefix(self.sorted(key, found), limit)
        self.cached_count += len(found) + 1
        self.scans += 1
        return prefix

    def by_length(self):
        """(Checksums, their servers) for each length of names."""
        if self.lanes is None:
            by_length = defaultdict(list)
            for server in self.servers:
                by_length[len(name_of(server))].append(server)
            self.lanes = [
                (Checksums([name_of(server) for server in servers]), servers)
                for servers in by_length.values()
            ]
        return self.lanes
