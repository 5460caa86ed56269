"""The fleet as one node sees it: which servers differ from the ordinary one, and what the others hold."""

from cottonspread.policy.ceilings import Ceilings
from cottonspread.state import SECOND


class Overview:
    """Which servers are fresh, slow or in trouble. An ordinary one is looked into by no call for that."""

    REFRESH_INTERVAL = SECOND // 4  # looked at anew

    def __init__(self, node):
        self.rotation, self.slow_start, self.health = node.rotation, node.slow_start, node.health
        self.readings, self.loads, self.sums = node.readings, node.loads, node.sums
        self.settings = node.settings
        self.exceptional = {}  # servers that may be fresh, set aside, slow or under a ceiling
        self.watched = {}  # these, and those that may be full, or were cut; no other is looked at
        self.cold = set()  # in slow start
        self.slow_share = 0  # of the servers that this node hears of
        self.refreshed_at = -SECOND

    def keep(self, up, now):
        """The servers that are up have changed."""
        self.sums.recount(up)
        self.refreshed_at = -SECOND
        for host in up:
            if self.is_cold(host, now):
                self.mark_exceptional(host)

    def mark_exceptional(self, host):
        """It may differ from the ordinary server from now on."""
        self.exceptional[host] = self.watched[host] = None

    def means(self):
        """(legs, load, size) of an ordinary server; of all where all stand apart."""
        means = self.sums.means()
        if self.sums.count > len(self.sums.excluded):
            self.slow_start.warm_mean = means[0]
        return means

    def is_cold(self, host, now):
        """Whether it is in slow start."""
        return self.slow_start.capacity_share(host, now) < 1

    def refresh(self, now):
        """Makes all of it anew, four times a second."""
        if now - self.refreshed_at < self.REFRESH_INTERVAL:
            return
        self.refreshed_at = now
        self.sums.reweigh_all(self.rotation.order, self.loads.reported, self.loads.MEAN)
        if self.settings.take_change():  # by which others may be slow
            self.watched.update(self.rotation.places)
        self.exceptional = {h: None for h in self.exceptional if self.is_exceptional(h, now)}
        self.cold = {h for h in self.exceptional if h.up and self.is_cold(h, now)}
        self.watched = {h: None for h in self.watched if self.is_watched(h, now)}
        watched = self.rotation.sorted(self.watched)
        self.slow_share = self.compute_slow_share(watched, now)
        self.sums.exclude([h for h in watched if self.is_excluded(h, now)])

    def is_watched(self, host, now):
        """Whether it differs, or a probe or a cut of a moment ago still counts."""
        return (
            self.is_exceptional(host, now) or self.recently_cut(host, now) or self.readings.is_full(host, now)
        )

    def recently_cut(self, host, now):
        """Whether it was overloaded a moment ago."""
        return now - host.cut_at < Ceilings.CALM_TIME

    def is_exceptional(self, host, now):
        """Whether an exceptional server is still to be looked into by each call that might go there."""
        return self.is_cold(host, now) or host.recovery_limit or host.ceiling or self.near_slow(host, now)

    def near_slow(self, host, now):
        """Whether one more connection would make it slow."""
        return self.health.is_slow(host, now, self.health.NEAR_SLOW_SHARE)

    def compute_slow_share(self, watched, now):
        """The part of slow servers. One that hangs tells nothing of the others' load."""
        cut = [h for h in watched if self.recently_cut(h, now)]
        slow = [h for h in watched if h.legs and not h.hung and self.health.is_slow(h, now)]
        heard = self.sums.holding + sum(not h.legs for h in cut)
        return len({*cut, *slow}) / (heard + 2)  # two in doubt: one server tells little of the others

    def is_excluded(self, host, now):
        """Fresh ones and those set aside or tried would pull the mean down: sound ones would all seem well
        over it. So would, where probes tell of all nodes' calls, slow, silent and full ones."""
        full_or_slow = self.settings.probes_report_load and (
            self.readings.is_full(host, now) or self.near_slow(host, now)
        )
        return host in self.cold or host.recovery_limit or full_or_slow
