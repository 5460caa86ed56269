"""The order in which servers are considered: in rotation, or in an order that depends on the key."""

from cottonspread.structures import CyclicOrder, OrderCache


class Rotation(CyclicOrder):
    """Weighted round robin over the servers by their sizes, from a random start."""

    MAX_CACHED_SERVERS = 40_000  # servers in all cached prefixes of group orders together, 3 MB

    def __init__(self, rng):
        """`rng`: the node's `SeededRandom`."""
        super().__init__()
        self.rng, self.group_orders = rng, OrderCache(self.MAX_CACHED_SERVERS)

    def set_servers(self, hosts):
        """Sets the servers that are up; new ones go behind the others."""
        is_first = hosts and not self.order
        super().set_servers(hosts)
        self.at = self.rng.below(len(hosts)) if is_first else 0
        self.group_orders.set_servers(self.order)
