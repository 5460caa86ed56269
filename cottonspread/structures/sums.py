"""Sums over all servers, updated with every event instead of computed by a walk."""

NEVER = -1


class Sums:
    """Legs and load on all servers that are up, and on those of them that are excluded from the means.

    Every event updates the sums: a call that walked the fleet for them would cost more with each server.
    """

    def __init__(self):
        """No server is up yet."""
        self.legs, self.load, self.size, self.count = 0, 0, 0, 0
        self.servers_with_legs = 0  # number of servers that are up and have legs
        self.weighed_at_count = NEVER  # how many loads had been reported when all legs were last weighed
        self.exclude([])

    def add(self, host, legs, load):
        """Adds to a server's load, and to the sums.

        `legs`: the change in its number of legs, which `host.legs` does not show yet.
        """
        host.load += load
        if host.up:
            self.legs += legs
            self.load += load
            held = len(host.legs)
            self.servers_with_legs += bool(held + legs) - bool(held)
        if host in self.excluded:
            self.excluded_legs += legs
            self.excluded_load += load

    def reweigh(self, leg, load):
        """Sets the weight of a leg."""
        self.add(leg.host, 0, load - leg.load)
        leg.load = load

    def reweigh_all(self, hosts, reported, scale):
        """Sets the weight of every leg with a reported load to that load over the mean, times `scale`.

        The sums over excluded servers are not updated: `exclude` has to be called next.
        """
        if self.weighed_at_count == reported.added:  # no load was reported since, so no weight has changed
            return
        self.weighed_at_count, mean = reported.added, reported.mean
        for host in hosts:
            change = 0
            for leg in host.legs:
                if leg.reported_load:
                    load = round(scale * leg.reported_load / mean)
                    change += load - leg.load
                    leg.load = load
            host.load += change
            self.load += change

    def recount(self, hosts):
        """Computes all sums anew after the set of servers that are up has changed.

        None of them is excluded until `exclude` is called, and all legs are due to be weighed again, because
        those on servers that came back were left out.
        """
        self.legs, self.load = sum(len(host.legs) for host in hosts), sum(host.load for host in hosts)
        self.size, self.count = sum(host.size for host in hosts), len(hosts)
        self.servers_with_legs, self.weighed_at_count = sum(1 for host in hosts if host.legs), NEVER
        self.exclude([])

    def exclude(self, hosts):
        """Excludes these of the servers that are up from the means, and no others."""
        self.excluded = set(hosts)
        self.excluded_legs, self.excluded_load = (
            sum(len(host.legs) for host in hosts),
            sum(h.load for h in hosts),
        )
        self.excluded_size = sum(host.size for host in hosts)

    def means(self):
        """Mean (legs, load, size) of the servers that are up and not excluded, or of all if none is left.

        A mean size of 0 is given as 1.
        """
        count = self.count - len(self.excluded)
        if count <= 0:
            count = max(1, self.count)
            return self.legs / count, self.load / count, self.size / count or 1
        legs, load = self.legs - self.excluded_legs, self.load - self.excluded_load
        return legs / count, load / count, (self.size - self.excluded_size) / count or 1
