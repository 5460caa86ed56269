"""In which order servers are looked at: in turn, or in an order of the key's own."""

from cottonspread.structures import CyclicOrder, OrderCache


class Rotation(CyclicOrder):
    """Servers in turn by their sizes, from a random start."""

    MAX_PLACES = 40_000  # servers in the beginnings of all orders that are kept, 3 MB

    def __init__(self, rng):
        super().__init__()
        self.rng, self.group_orders = rng, OrderCache(self.MAX_PLACES)

    def keep(self, hosts):
        """The servers now listed; new ones go behind the others."""
        first = hosts and not self.order
        super().keep(hosts)
        self.at = self.rng.below(len(hosts)) if first else 0
        self.group_orders.keep(self.order)
