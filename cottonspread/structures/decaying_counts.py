"""Counts of which the later ones weigh most."""

from collections import Counter


class DecayingCounts:
    """How often each key was counted; all counts are halved once their total has come to `max_total`."""

    def __init__(self, max_total, prior):
        """`prior`: counts of others that are reckoned with besides."""
        self.max_total, self.prior, self.counts, self.total = max_total, prior, Counter(), 0

    def add(self, key):
        """Counts the key once."""
        self.counts[key] += 1
        self.total += 1
        if self.total >= self.max_total:
            self.counts = Counter({key: count // 2 for key, count in self.counts.items() if count > 1})
            self.total = sum(self.counts.values())

    def share(self, key):
        """The key's part of all counts, 0 to 1."""
        return self.counts[key] / (self.total + self.prior)
