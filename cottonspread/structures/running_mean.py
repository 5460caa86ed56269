"""A mean of which the later values count most."""


class RunningMean:
    """The mean of about the last `window` values; 0 before the first."""

    def __init__(self, window):
        self.window, self.mean, self.count, self.added = window, 0.0, 0, 0

    def add(self, value):
        """One value more."""
        self.added += 1
        self.count = min(self.count + 1, self.window)
        self.mean += (value - self.mean) / self.count
