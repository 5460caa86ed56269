"""What servers can do, out of the weights that the list tells."""


class NominalSizes:
    """Sizes of servers. A listed weight is its size; one that moves with load is size over 1 + calls held a
    core, and then the largest listed for a kind (where kinds are not told, for a server) is its size."""

    SMALLEST = 0.01  # a server listed without any weight still gets its turns

    def __init__(self, dynamic_weights):
        self.dynamic_weights, self.largest = dynamic_weights, {}  # kind or server: the largest weight listed

    def update(self, entry, before):
        """An entry of the list, and the one before it of the same server; whether a size has changed."""
        if not self.dynamic_weights:
            return entry.weight != before.weight
        size_class = self.size_class(entry)
        grows = entry.weight > self.largest.get(size_class, 0)
        if grows:
            self.largest[size_class] = entry.weight
        return grows

    def size_of(self, entry):
        """The size of the server that is listed so."""
        return max(self.largest.get(self.size_class(entry), entry.weight), self.SMALLEST)

    @staticmethod
    def size_class(entry):
        """What servers of one size share: the kind, or the server where kinds are not told."""
        return entry.kind if entry.kind >= 0 else entry.host
