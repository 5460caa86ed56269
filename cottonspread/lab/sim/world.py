"""Simulated time: an event queue with a total order, seeded random streams, records and a trace digest.

Each user of random numbers has a stream of its own, so that leaving out a client or fault does not change
what the others draw.
"""

import hashlib
import heapq
from zlib import crc32

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # Unix time at the start of every simulation


class RandomStream:
    """A stream of random numbers that is determined by its name."""

    def __init__(self, *name):
        """`name`: the parts of the stream's name, joined by colons."""
        self.name, self.count = ":".join(map(str, name)).encode(), 0

    def next_uint32(self):
        """Returns an integer in [0, 2**32).

        The checksum is multiplied because checksums of similar texts keep their order.
        """
        self.count += 1
        return crc32(b"%s:%d" % (self.name, self.count)) * 2654435761 + 1013904223 & 0xFFFFFFFF

    def randbelow(self, n):
        """Returns an integer in [0, n)."""
        return self.next_uint32() * n >> 32

    def randint(self, least, most):
        """Returns an integer in [least, most]."""
        return least + self.randbelow(most - least + 1)

    def random(self):
        """Returns a float in [0, 1)."""
        return self.next_uint32() / 0x1_0000_0000

    def choice(self, choices):
        """Returns one element of a sequence."""
        return choices[self.randbelow(len(choices))]

    def sample(self, choices, share):
        """Returns a share (0 to 1) of the elements, at least one, in their original order."""
        ranked = sorted((self.next_uint32(), n) for n in range(len(choices)))
        chosen = {n for _, n in ranked[: max(1, round(len(choices) * share))]}
        return [choice for n, choice in enumerate(choices) if n in chosen]


class World:
    """The simulation: its clock (microseconds since its start), event queue, trace and records."""

    def __init__(self, seed, traced=False):
        """`traced`: keeps every trace line; the digest is always computed."""
        self.seed, self.now, self.queue, self.sequence, self.events = seed, 0, [], 0, 0
        self.trace_hash, self.trace = hashlib.blake2b(digest_size=8), [] if traced else None
        self.records = {"load": [], "hosts": [], "list": [], "nodes": []}

    def random_stream(self, *name):
        """Returns the random stream of this name for the world's seed."""
        return RandomStream(self.seed, *name)

    def at(self, when, callback, *args):
        """Schedules `callback(*args)` at time `when`, or now if that has passed."""
        self.sequence += 1
        heapq.heappush(self.queue, (max(when, self.now), self.sequence, callback, args))

    def after(self, span, callback, *args):
        """Schedules `callback(*args)` after `span` microseconds."""
        self.at(self.now + span, callback, *args)

    def add_trace_line(self, *words):
        """Adds a line with the current time to the trace and its digest."""
        line = f"{self.now} {' '.join(map(str, words))}"
        self.trace_hash.update(line.encode())
        if self.trace is not None:
            self.trace.append(line)

    def trace_digest(self):
        """Returns the digest of all trace lines so far, in hexadecimal."""
        return self.trace_hash.hexdigest()

    def run(self, until):
        """Runs all events up to time `until`; an exception from an event ends the run."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            self.events += 1
            callback(*args)
        self.now = max(self.now, until)
