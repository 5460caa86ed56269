"""The fleet as one node sees it: which servers differ from the ordinary one, and what the others hold."""

from cottonspread.policy.ceilings import Ceilings
from cottonspread.state import SECOND


class Overview:
    """Which servers are fresh, slow or in trouble. An ordinary one is looked into by no call for that."""

    EVERY = SECOND // 4  # looked at anew

    def __init__(self, node):
        self.rotation, self.slow_start, self.health = node.rotation, node.slow_start, node.health
        self.readings, self.loads, self.sums = node.readings, node.loads, node.sums
        self.settings = node.settings
        self.marked = {}  # servers that may be fresh, set aside, slow or under a ceiling
        self.watched = {}  # these, and those that may be full, or were cut; no other is looked at
        self.fresh = set()  # in slow start
        self.slow_part = 0  # of the servers that this node hears of
        self.looked_at = -SECOND

    def keep(self, up, now):
        """The servers that are up have changed."""
        self.sums.count_anew(up)
        self.looked_at = -SECOND
        for host in up:
            if self.is_fresh(host, now):
                self.mark(host)

    def mark(self, host):
        """It may differ from the ordinary server from now on."""
        self.marked[host] = self.watched[host] = None

    def means(self):
        """(legs, load, size) of an ordinary server; of all where all stand apart."""
        means = self.sums.means()
        if self.sums.count > len(self.sums.apart):
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
        self.sums.weigh_all(self.rotation.order, self.loads.told, self.loads.MEAN)
        if self.settings.take_change():  # by which others may be slow
            self.watched.update(self.rotation.places)
        self.marked = {h: None for h in self.marked if self.differs(h, now)}
        self.fresh = {h for h in self.marked if h.up and self.is_fresh(h, now)}
        self.watched = {h: None for h in self.watched if self.worth_watching(h, now)}
        watched = self.rotation.sorted(self.watched)
        self.slow_part = self.part_slow(watched, now)
        self.sums.set_apart([h for h in watched if self.stands_apart(h, now)])

    def worth_watching(self, host, now):
        """Whether it differs, or a probe or a cut of a moment ago still counts."""
        return self.differs(host, now) or self.cut(host, now) or self.readings.full(host, now)

    def cut(self, host, now):
        """Whether it was overloaded a moment ago."""
        return now - host.cut_at < Ceilings.CALM

    def differs(self, host, now):
        """Whether a marked server is still to be looked into by each call that might go there."""
        return self.is_fresh(host, now) or host.recovery_limit or host.ceiling or self.near_slow(host, now)

    def near_slow(self, host, now):
        """Whether one more connection would make it slow."""
        return self.health.slow(host, now, self.health.NEAR)

    def part_slow(self, watched, now):
        """The part of slow servers. One that hangs tells nothing of the others' load."""
        cut = [h for h in watched if self.cut(h, now)]
        slow = [h for h in watched if h.legs and not h.hung and self.health.slow(h, now)]
        heard = self.sums.holding + sum(not h.legs for h in cut)
        return len({*cut, *slow}) / (heard + 2)  # two in doubt: one server tells little of the others

    def stands_apart(self, host, now):
        """Fresh ones and those set aside or tried would pull the mean down: sound ones would all seem well
        over it. So would, where probes tell of all nodes' calls, slow, silent and full ones."""
        told = self.settings.probes_report_load and (
            self.readings.full(host, now) or self.near_slow(host, now)
        )
        return host in self.fresh or host.recovery_limit or told
