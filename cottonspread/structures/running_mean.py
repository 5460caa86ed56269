"""A mean of which the later values count most."""


class RunningMean:
    """The mean of about the last `most` values; 0 before the first."""

    def __init__(self, most):
        self.most, self.mean, self.heard, self.added = most, 0.0, 0, 0

    def add(self, value):
        """One value more."""
        self.added += 1
        self.heard = min(self.heard + 1, self.most)
        self.mean += (value - self.mean) / self.heard
