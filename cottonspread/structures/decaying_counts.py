"""Counts of which the later ones weigh most."""

from collections import Counter


class DecayingCounts:
    """How often each key was counted; all counts are halved once their total has come to `most`."""

    def __init__(self, most, doubt):
        """`doubt`: counts of others that are reckoned with besides."""
        self.most, self.doubt, self.counts, self.total = most, doubt, Counter(), 0

    def add(self, key):
        """Counts the key once."""
        self.counts[key] += 1
        self.total += 1
        if self.total >= self.most:
            self.counts = Counter({key: count // 2 for key, count in self.counts.items() if count > 1})
            self.total = sum(self.counts.values())

    def part(self, key):
        """The key's part of all counts, 0 to 1."""
        return self.counts[key] / (self.total + self.doubt)
