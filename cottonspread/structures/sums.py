"""Sums over all servers, without a walk over them."""

NEVER = -1


class Sums:
    """Legs and load on all servers that are up, and on those of them that stand apart. They follow every
    event: a call that walked the fleet for them would cost more the larger it is."""

    def __init__(self):
        self.legs, self.load, self.size, self.count = 0, 0, 0, 0
        self.holding = 0  # servers that are up and hold legs
        self.weighed_at_count = NEVER  # how many loads had been told as all legs were last weighed
        self.exclude([])

    def add(self, host, legs, load):
        """A server's load changes by `load`, and the legs out or standing there, still to be counted in
        `host.legs`, by `legs`."""
        host.load += load
        if host.up:
            self.legs += legs
            self.load += load
            held = len(host.legs)
            self.holding += bool(held + legs) - bool(held)
        if host in self.excluded:
            self.excluded_legs += legs
            self.excluded_load += load

    def reweigh(self, leg, load):
        """A leg weighs `load` from now on."""
        self.add(leg.host, 0, load - leg.load)
        leg.load = load

    def reweigh_all(self, hosts, reported, scale):
        """Every leg on servers that are up weighs the load told of it over the mean of all, in parts of
        `scale`, from now on. To be followed by `exclude`, whose sums do not follow this."""
        if self.weighed_at_count == reported.added:  # no load was told since, so nothing weighs otherwise
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
        """The servers that are up, after one came or went: none of them stands apart until `exclude` says
        so, and what legs weigh on those that came back is to be looked at again."""
        self.legs, self.load = sum(len(host.legs) for host in hosts), sum(host.load for host in hosts)
        self.size, self.count = sum(host.size for host in hosts), len(hosts)
        self.holding, self.weighed_at_count = sum(1 for host in hosts if host.legs), NEVER
        self.exclude([])

    def exclude(self, hosts):
        """These of the servers that are up do not count in the means from now on."""
        self.excluded = set(hosts)
        self.excluded_legs, self.excluded_load = (
            sum(len(host.legs) for host in hosts),
            sum(h.load for h in hosts),
        )
        self.excluded_size = sum(host.size for host in hosts)

    def means(self):
        """(legs, load, size; 1 for a size of 0) of a server that is up and not apart; of all if all are."""
        count = self.count - len(self.excluded)
        if count <= 0:
            count = max(1, self.count)
            return self.legs / count, self.load / count, self.size / count or 1
        legs, load = self.legs - self.excluded_legs, self.load - self.excluded_load
        return legs / count, load / count, (self.size - self.excluded_size) / count or 1
