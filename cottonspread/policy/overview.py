"""The fleet as one node sees it: the servers in exceptional states, and the means over all others."""

from cottonspread.policy.ceilings import Ceilings
from cottonspread.state import SECOND


class Overview:
    """Tracks which servers are cold, slow or failing, so that calls need no checks of ordinary servers."""

    REFRESH_INTERVAL = SECOND // 4

    def __init__(self, node):
        """`node`: the `Balancer` whose parts it reads."""
        self.rotation, self.slow_start, self.health = node.rotation, node.slow_start, node.health
        self.readings, self.loads, self.sums = node.readings, node.loads, node.sums
        self.settings = node.settings
        self.exceptional = {}  # servers that may be cold, ejected, slow or under a ceiling
        self.watched = {}  # these, and servers that may be full or were cut: `refresh` checks no others
        self.cold = set()  # servers in slow start
        self.slow_share = 0  # slow servers, as a share of those that this node has reports from
        self.refreshed_at = -SECOND

    def set_servers(self, up, now):
        """Takes over a changed set of servers that are up."""
        self.sums.recount(up)
        self.refreshed_at = -SECOND
        for host in up:
            if self.is_cold(host, now):
                self.mark_exceptional(host)

    def mark_exceptional(self, host):
        """Makes every call check this server's state, until a refresh finds it ordinary again."""
        self.exceptional[host] = self.watched[host] = None

    def means(self):
        """Mean (legs, load, size) of the ordinary servers, or of all servers if none is ordinary."""
        means = self.sums.means()
        if self.sums.count > len(self.sums.excluded):
            self.slow_start.warm_mean = means[0]
        return means

    def is_cold(self, host, now):
        """Whether the server is in slow start."""
        return self.slow_start.capacity_share(host, now) < 1

    def refresh(self, now):
        """Recomputes everything, at most four times a second."""
        if now - self.refreshed_at < self.REFRESH_INTERVAL:
            return
        self.refreshed_at = now
        self.sums.reweigh_all(self.rotation.order, self.loads.reported, self.loads.MEAN)
        if self.settings.consume_change():  # other servers may be slow under the new settings
            self.watched.update(self.rotation.positions)
        self.exceptional = {h: None for h in self.exceptional if self.is_exceptional(h, now)}
        self.cold = {h for h in self.exceptional if h.up and self.is_cold(h, now)}
        self.watched = {h: None for h in self.watched if self.is_watched(h, now)}
        watched = self.rotation.sorted(self.watched)
        self.slow_share = self.compute_slow_share(watched, now)
        self.sums.exclude([h for h in watched if self.is_excluded(h, now)])

    def is_watched(self, host, now):
        """Whether it is exceptional, or a recent probe or cut of its ceiling still counts."""
        return (
            self.is_exceptional(host, now) or self.recently_cut(host, now) or self.readings.is_full(host, now)
        )

    def recently_cut(self, host, now):
        """Whether its ceiling was cut within the last `Ceilings.COOLDOWN`."""
        return now - host.cut_at < Ceilings.COOLDOWN

    def is_exceptional(self, host, now):
        """Whether each call that might go there still has to check the server's state."""
        return self.is_cold(host, now) or host.recovery_limit or host.ceiling or self.is_near_slow(host, now)

    def is_near_slow(self, host, now):
        """Whether one more connection would make the server slow."""
        return self.health.is_slow(host, now, self.health.NEAR_SLOW_SHARE)

    def compute_slow_share(self, watched, now):
        """The share of slow servers. One that hangs does not count: it says nothing of the others' load."""
        cut = [h for h in watched if self.recently_cut(h, now)]
        slow = [h for h in watched if h.legs and not h.hung and self.health.is_slow(h, now)]
        reporting = self.sums.servers_with_legs + sum(not h.legs for h in cut)
        # The 2 is a prior, because a single server says little of the others.
        return len({*cut, *slow}) / (reporting + 2)

    def is_excluded(self, host, now):
        """Whether the server is left out of the means.

        Cold, ejected and recovering servers would lower the mean until all healthy ones seem well over it.
        Where probes report the load of all nodes' calls, so would slow, silent and full servers.
        """
        full_or_slow = self.settings.probes_report_load and (
            self.readings.is_full(host, now) or self.is_near_slow(host, now)
        )
        return host in self.cold or host.recovery_limit or full_or_slow
