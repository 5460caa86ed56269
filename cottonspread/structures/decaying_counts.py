"""Counts by key that weigh recent ones most."""

from collections import Counter


class DecayingCounts:
    """Counts by key; all are halved whenever their total reaches `max_total`."""

    def __init__(self, max_total, prior):
        """`prior`: counts assumed of other keys, so that a few counts do not make a large share."""
        self.max_total, self.prior, self.counts, self.total = max_total, prior, Counter(), 0

    def add(self, key):
        """Counts the key once."""
        self.counts[key] += 1
        self.total += 1
        if self.total >= self.max_total:
            self.counts = Counter({key: count // 2 for key, count in self.counts.items() if count > 1})
            self.total = sum(self.counts.values())

    def share(self, key):
        """The key's share of all counts, 0 to 1."""
        return self.counts[key] / (self.total + self.prior)
