"""Sums over all servers, without a walk over them."""


class Sums:
    """Legs and load on all servers that are up. They follow every event: a call that walked the fleet for
    them would cost more the larger it is."""

    def __init__(self):
        self.legs, self.load, self.size, self.count = 0, 0, 0, 0

    def add(self, host, legs, load):
        """A server's load changes by `load`, and the legs out or standing there by `legs`."""
        host.load += load
        if host.up:
            self.legs += legs
            self.load += load

    def weigh(self, leg, load):
        """A leg weighs `load` from now on."""
        self.add(leg.host, 0, load - leg.load)
        leg.load = load

    def count_anew(self, hosts):
        """The servers that are up, after one came or went."""
        self.legs, self.load = sum(len(host.legs) for host in hosts), sum(host.load for host in hosts)
        self.size, self.count = sum(host.size for host in hosts), len(hosts)

    def means(self, apart):
        """(legs, load, size; 1 for a size of 0) of a server that is up and not `apart`."""
        count = max(1, self.count - len(apart))
        legs = (self.legs - sum(len(host.legs) for host in apart)) / count
        load = (self.load - sum(host.load for host in apart)) / count
        return legs, load, (self.size - sum(host.size for host in apart)) / count or 1
