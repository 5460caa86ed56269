"""Group spread: over how many servers the calls of one group may go."""

from cottonspread.structures import DecayingCounts


class Groups:
    """Counts recent calls by group: a group's share of all calls decides how many servers it needs."""

    MAX_TOTAL = 2000  # calls counted before all counts are halved
    PRIOR = 10  # calls assumed of other groups: a few calls say little of a group's share

    def __init__(self):
        """No call is counted yet."""
        self.calls = DecayingCounts(self.MAX_TOTAL, self.PRIOR)

    def servers(self, group, listed):
        """How many of `listed` servers the group may use: its share of them, and two more."""
        return min(listed, 2 + round(listed * self.calls.share(group)))
