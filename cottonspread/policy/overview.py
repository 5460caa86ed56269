"""The fleet as one node sees it: which servers differ from the ordinary one, and what the others hold."""

from cottonspread.policy.ceilings import Ceilings
from cottonspread.state import SECOND


class Overview:
    """Which servers are fresh, slow or in trouble. An ordinary one is looked into by no call for that."""

    EVERY = SECOND // 4  # looked at anew

    def __init__(self, node):
        self.rotation, self.slow_start, self.health = node.rotation, node.slow_start, node.health
        self.readings, self.loads, self.sums = node.readings, node.loads, node.sums
        self.marked = {}  # servers that may be fresh, set aside, slow or under a ceiling
        self.fresh, self.apart = set(), []  # in slow start; not counted in the mean
        self.slow_part = 0  # of the servers that this node hears of
        self.looked_at = -SECOND

    def keep(self, up, now):
        """The servers that are up have changed."""
        self.sums.count_anew(up)
        self.looked_at = -SECOND
        self.marked.update((h, None) for h in up if self.is_fresh(h, now))

    def means(self):
        """(legs, load, size) of an ordinary server; of all where all stand apart."""
        ordinary = len(self.rotation.order) > len(self.apart)
        means = self.sums.means(self.apart if ordinary else ())
        if ordinary:
            self.slow_start.usual = means[0]
        return means

    def is_fresh(self, host, now):
        """Whether it is in slow start."""
        return self.slow_start.part(host, now) < 1

    def look(self, now):
        """Makes all of it anew, four times a second."""
        if now - self.looked_at < self.EVERY:
            return
        self.looked_at = now
        for host in self.rotation.order if self.loads.told.heard else ():
            for leg in host.legs:
                self.sums.weigh(leg, self.loads.of(leg))  # the mean moves with every word
        self.marked = {h: None for h in self.marked if self.differs(h, now)}
        self.fresh = {h for h in self.marked if h.up and self.is_fresh(h, now)}
        self.slow_part = self.part_slow(now)
        self.apart = [h for h in self.rotation.order if self.stands_apart(h, now)]

    def differs(self, host, now):
        """Whether a marked server is still to be looked into by each call that might go there."""
        return self.is_fresh(host, now) or host.trickle or host.ceiling or self.near_slow(host, now)

    def near_slow(self, host, now):
        """Whether one more connection would make it slow."""
        return self.health.slow(host, now, self.health.NEAR)

    def part_slow(self, now):
        """The part of slow servers. One that hangs tells nothing of the others' load."""
        heard = [h for h in self.rotation.order if h.legs or now - h.cut_at < Ceilings.CALM]
        slow = sum(self.health.slow(h, now) and not h.hung or now - h.cut_at < Ceilings.CALM for h in heard)
        return slow / (len(heard) + 2)  # two in doubt: one server tells little of the others

    def stands_apart(self, host, now):
        """Fresh ones and those set aside or tried would pull the mean down: sound ones would all seem well
        over it. So would, where probes tell of all nodes' calls, slow, silent and full ones."""
        probed = self.readings.settings.probed
        told = probed and (self.readings.full(host, now) or self.near_slow(host, now))
        return host in self.fresh or host.trickle or told
