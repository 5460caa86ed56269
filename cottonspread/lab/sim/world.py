"""Simulated time: one queue of events in one order, draws, the record, and a sum over all that happened.

Whatever is drawn is drawn from a stream of its owner's own, so that a client or fault
that is left out changes no other's.
"""

import hashlib
import heapq
from zlib import crc32

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # Unix time at the start of every world


class RandomStream:
    """A stream of draws, named by what it is for."""

    def __init__(self, *name):
        self.name, self.count = ":".join(map(str, name)).encode(), 0

    def next_uint32(self):
        """Below 2 to the 32; multiplied, for checksums of like texts keep their order."""
        self.count += 1
        return crc32(b"%s:%d" % (self.name, self.count)) * 2654435761 + 1013904223 & 0xFFFFFFFF

    def randbelow(self, n):
        return self.next_uint32() * n >> 32

    def randint(self, least, most):
        return least + self.randbelow(most - least + 1)

    def random(self):
        return self.next_uint32() / 0x1_0000_0000

    def choice(self, choices):
        return choices[self.randbelow(len(choices))]

    def sample(self, choices, share):
        """A share of them, one at least, in their order."""
        ranked = sorted((self.next_uint32(), n) for n in range(len(choices)))
        taken = {n for _, n in ranked[: max(1, round(len(choices) * share))]}
        return [one for n, one in enumerate(choices) if n in taken]


class World:
    def __init__(self, seed, traced=False):
        """`traced`: keep every line of the trace; its sum is kept anyhow."""
        self.seed, self.now, self.queue, self.sequence, self.events = seed, 0, [], 0, 0
        self.trace_hash, self.trace = hashlib.blake2b(digest_size=8), [] if traced else None
        self.records = {"load": [], "hosts": [], "list": [], "nodes": []}

    def random_stream(self, *name):
        return RandomStream(self.seed, *name)

    def at(self, when, callback, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (max(when, self.now), self.sequence, callback, args))

    def after(self, span, callback, *args):
        self.at(self.now + span, callback, *args)

    def add_trace_line(self, *words):
        """A line of the trace."""
        line = f"{self.now} {' '.join(map(str, words))}"
        self.trace_hash.update(line.encode())
        if self.trace is not None:
            self.trace.append(line)

    def trace_digest(self):
        return self.trace_hash.hexdigest()

    def run(self, until):
        """Everything up to `until`, or until something raises."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            self.events += 1
            callback(*args)
        self.now = max(self.now, until)
