"""Simulated time: one queue of events in one order, draws, the record, and a sum over all that happened.

Whatever is drawn is drawn from a stream of its owner's own, so that a client or fault
that is left out changes no other's.
"""

import hashlib
import heapq
from zlib import crc32

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # Unix time at the start of every world


class Draws:
    """A stream of draws, named by what it is for."""

    def __init__(self, *name):
        self.name, self.drawn = ":".join(map(str, name)).encode(), 0

    def number(self):
        """Below 2 to the 32; multiplied, for checksums of like texts keep their order."""
        self.drawn += 1
        return crc32(b"%s:%d" % (self.name, self.drawn)) * 2654435761 + 1013904223 & 0xFFFFFFFF

    def below(self, n):
        return self.number() * n >> 32

    def between(self, least, most):
        return least + self.below(most - least + 1)

    def part(self):
        return self.number() / 0x1_0000_0000

    def one_of(self, choices):
        return choices[self.below(len(choices))]

    def some_of(self, choices, share):
        """A share of them, one at least, in their order."""
        ranked = sorted((self.number(), n) for n in range(len(choices)))
        taken = {n for _, n in ranked[: max(1, round(len(choices) * share))]}
        return [one for n, one in enumerate(choices) if n in taken]


class World:
    def __init__(self, seed, traced=False):
        """`traced`: keep every line of the trace; its sum is kept anyhow."""
        self.seed, self.now, self.queue, self.stamp, self.events = seed, 0, [], 0, 0
        self.hash, self.trace = hashlib.blake2b(digest_size=8), [] if traced else None
        self.records = {"load": [], "hosts": [], "list": [], "nodes": []}

    def draws(self, *name):
        return Draws(self.seed, *name)

    def at(self, when, what, *args):
        self.stamp += 1
        heapq.heappush(self.queue, (max(when, self.now), self.stamp, what, args))

    def after(self, span, what, *args):
        self.at(self.now + span, what, *args)

    def note(self, *words):
        """A line of the trace."""
        line = f"{self.now} {' '.join(map(str, words))}"
        self.hash.update(line.encode())
        if self.trace is not None:
            self.trace.append(line)

    def sum(self):
        return self.hash.hexdigest()

    def run(self, until):
        """Everything up to `until`, or until something raises."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, what, args = heapq.heappop(queue)
            self.events += 1
            what(*args)
        self.now = max(self.now, until)
