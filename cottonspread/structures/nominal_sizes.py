"""Capacities of servers, from the weights in the server list."""


class NominalSizes:
    """Sizes of servers, that is, their nominal capacities.

    A static weight is the size. A dynamic weight is the size over 1 + open calls per core; then the largest
    weight listed for any server of a kind is the size (or for the server alone, if kinds are not known).
    """

    SMALLEST = 0.01  # a server listed with weight 0 still gets its turns

    def __init__(self, dynamic_weights):
        """`dynamic_weights`: whether listed weights vary with load."""
        self.dynamic_weights, self.largest = dynamic_weights, {}  # kind or server: its largest listed weight

    def update(self, entry, previous):
        """Takes in an entry and the server's previous one; returns whether a size has changed."""
        if not self.dynamic_weights:
            return entry.weight != previous.weight
        size_class = self.size_class(entry)
        grows = entry.weight > self.largest.get(size_class, 0)
        if grows:
            self.largest[size_class] = entry.weight
        return grows

    def size_of(self, entry):
        """The size of the server with this entry."""
        return max(self.largest.get(self.size_class(entry), entry.weight), self.SMALLEST)

    @staticmethod
    def size_class(entry):
        """What servers of one size share: their kind, or the server itself if kinds are not known."""
        return entry.kind if entry.kind >= 0 else entry.host
