"""Weighted round robin over a cyclic order of servers."""

from bisect import bisect_left
from heapq import heapify, heappop


class CyclicOrder:
    """Servers in a fixed cyclic order, and the current position: behind the server taken last.

    `set_servers` costs one step for each server, `next` one step for each server that it considers.
    """

    def __init__(self):
        """An empty order."""
        # `at`: the current position; `largest_size`: of all servers
        self.order, self.at, self.largest_size = [], 0, 1
        # server: its position; zone: positions of its servers, when requested
        self.positions, self.zone_positions = {}, {}

    def set_servers(self, servers):
        """Replaces the servers by these; new ones come last, in the given order."""
        following = list(self.following())
        wanted, known = set(servers), set(following)
        self.order = [server for server in following if server in wanted] + [
            server for server in servers if server not in known
        ]
        self.at, self.largest_size = 0, max((server.size for server in servers), default=1)
        self.positions, self.zone_positions = dict(zip(self.order, range(len(self.order)), strict=True)), {}

    def following(self):
        """All servers, lazily, once round from the current position."""
        order, at = self.order, self.at
        for position in range(at, len(order)):
            yield order[position]
        for position in range(at):
            yield order[position]

    def sorted(self, servers):
        """Those of the given servers that are in the order, sorted by position."""
        return sorted((server for server in servers if server in self.positions), key=self.positions.get)

    def in_zone(self, zone):
        """The servers of one zone, lazily, once round from the current position."""
        if zone not in self.zone_positions:
            self.zone_positions[zone] = [
                position for position, server in enumerate(self.order) if server.entry.zone == zone
            ]
        positions = self.zone_positions[zone]
        first = bisect_left(positions, self.at)
        for step in range(len(positions)):
            yield self.order[positions[(first + step) % len(positions)]]

    def among(self, servers):
        """The given servers, lazily, once round from the current position."""
        distances = [((self.positions[server] - self.at) % len(self.order), server) for server in servers]
        heapify(distances)
        while distances:
            yield heappop(distances)[1]

    def next(self, fits, now, servers):
        """The next of `servers` that is not to be skipped and `fits(server)`, or None.

        A server of half the largest size takes every second turn. `servers`: in the order in which
        `following`, `in_zone` or `among` yield them.
        """
        remaining = (server for server in servers if server.skip_until <= now)
        while True:
            fitting = []
            for server in remaining:
                if fits(server):
                    server.turn_credit += server.size / self.largest_size
                    if server.turn_credit >= 1:
                        server.turn_credit -= 1
                        self.at = self.positions[server] + 1
                        return server
                    fitting.append(server)
            if not fitting:
                return None
            remaining, fits = fitting, bool  # these fit already: go round until one has a full turn
