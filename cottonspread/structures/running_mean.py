"""An exponentially weighted running mean."""


class RunningMean:
    """The mean of about the last `window` values, the latest weighing most; 0 before the first."""

    def __init__(self, window):
        """`window`: the number of values after which an old one has largely faded."""
        self.window, self.mean, self.count, self.added = window, 0.0, 0, 0

    def add(self, value):
        """Takes in one value."""
        self.added += 1
        self.count = min(self.count + 1, self.window)
        self.mean += (value - self.mean) / self.count
