"""Weighted round robin over a cyclic order of servers."""

from bisect import bisect_left
from heapq import heapify, heappop


class CyclicOrder:
    """Servers in a fixed cyclic order, and the current position: behind the server taken last.

    `set_servers` costs one step for each server, `next` one step for each server that it considers.
    """

    def __init__(self):
        """An empty order."""
        # `at`: the current position; `largest`: the largest size
        self.order, self.at, self.largest = [], 0, 1
        # server: its position; zone: positions of its servers, when requested
        self.positions, self.zones = {}, {}

    def set_servers(self, items):
        """Replaces the servers by these; new ones come last, in the given order."""
        following = list(self.following())
        wanted, known = set(items), set(following)
        self.order = [one for one in following if one in wanted] + [one for one in items if one not in known]
        self.at, self.largest = 0, max((one.size for one in items), default=1)
        self.positions, self.zones = dict(zip(self.order, range(len(self.order)), strict=True)), {}

    def following(self):
        """All servers, lazily, once round from the current position."""
        order, at = self.order, self.at
        for position in range(at, len(order)):
            yield order[position]
        for position in range(at):
            yield order[position]

    def sorted(self, servers):
        """Those of the given servers that are in the order, sorted by position."""
        return sorted((one for one in servers if one in self.positions), key=self.positions.get)

    def in_zone(self, zone):
        """The servers of one zone, lazily, once round from the current position."""
        if zone not in self.zones:
            self.zones[zone] = [position for position, one in enumerate(self.order) if one.entry.zone == zone]
        positions = self.zones[zone]
        first = bisect_left(positions, self.at)
        for step in range(len(positions)):
            yield self.order[positions[(first + step) % len(positions)]]

    def among(self, servers):
        """The given servers, lazily, once round from the current position."""
        distances = [((self.positions[one] - self.at) % len(self.order), one) for one in servers]
        heapify(distances)
        while distances:
            yield heappop(distances)[1]

    def next(self, fits, now, among):
        """The next server of `among` that is not to be skipped and `fits(server)`, or None.

        A server of half the largest size takes every second turn. `among`: servers as `following`, `in_zone`
        or `among` yield them.
        """
        left = (one for one in among if one.skip_until <= now)
        while True:
            waiting = []
            for one in left:
                if fits(one):
                    one.turn_credit += one.size / self.largest
                    if one.turn_credit >= 1:
                        one.turn_credit -= 1
                        self.at = self.positions[one] + 1
                        return one
                    waiting.append(one)
            if not waiting:
                return None
            left, fits = waiting, bool  # these fit already: go round until one has a full turn
