"""Group spread: over how many servers the calls of one group may go."""

from cottonspread.structures import DecayingCounts


class Groups:
    """How often each group called of late: its part of all calls tells how many servers it needs."""

    MAX_TOTAL = 2000  # calls counted; then all counts are halved
    PRIOR = 10  # calls; fewer tell little of a group's part

    def __init__(self):
        self.calls = DecayingCounts(self.MAX_TOTAL, self.PRIOR)

    def servers(self, group, listed):
        """How many of the listed servers it goes to: its part of them, and two more."""
        return min(listed, 2 + round(listed * self.calls.share(group)))
