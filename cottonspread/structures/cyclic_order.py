"""A cycle of servers with a place in it, taken in turn by their sizes."""

from bisect import bisect_left
from heapq import heapify, heappop


class CyclicOrder:
    """Servers in a fixed cyclic order, and the place after the one that was taken last.

    `keep` costs a step for each server; `next` one for each that it looks at, wherever it stands.
    """

    def __init__(self):
        self.order, self.at, self.largest = [], 0, 1
        self.places, self.zones = {}, {}  # server: its place; zone asked for: places of its servers

    def keep(self, items):
        """Exactly these from now on; new ones come last, in the order given."""
        following = list(self.following())
        wanted, known = set(items), set(following)
        self.order = [one for one in following if one in wanted] + [one for one in items if one not in known]
        self.at, self.largest = 0, max((one.size for one in items), default=1)
        self.places, self.zones = dict(zip(self.order, range(len(self.order)), strict=True)), {}

    def following(self):
        """All from the place on, once round, lazily."""
        order, at = self.order, self.at
        for place in range(at, len(order)):
            yield order[place]
        for place in range(at):
            yield order[place]

    def sorted(self, servers):
        """Those of these servers that are in the order, by their places in it."""
        return sorted((one for one in servers if one in self.places), key=self.places.get)

    def in_zone(self, zone):
        """Those of one zone, in the same order, lazily."""
        if zone not in self.zones:
            self.zones[zone] = [place for place, one in enumerate(self.order) if one.entry.zone == zone]
        places = self.zones[zone]
        first = bisect_left(places, self.at)
        for turn in range(len(places)):
            yield self.order[places[(first + turn) % len(places)]]

    def among(self, servers):
        """Some of them, in the same order, lazily."""
        distances = [((self.places[one] - self.at) % len(self.order), one) for one in servers]
        heapify(distances)
        while distances:
            yield heappop(distances)[1]

    def next(self, fits, now, among):
        """The next of `among` that is not shut and `fits(server)`, or None; one of half the largest takes
        every second turn. `among`: as `following`, `in_zone` or `among` give them."""
        left = (one for one in among if one.skip_until <= now)
        while True:
            waiting = []
            for one in left:
                if fits(one):
                    one.turn_credit += one.size / self.largest
                    if one.turn_credit >= 1:
                        one.turn_credit -= 1
                        self.at = self.places[one] + 1
                        return one
                    waiting.append(one)
            if not waiting:
                return None
            left, fits = waiting, bool  # these fit, and it is soon the turn of one
