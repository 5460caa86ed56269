"""Weights of connections, by the load that they cause."""

from cottonspread.structures import RunningMean


def well_over(count, mean):
    """Whether a count exceeds the mean by an eighth, and by at least two connections."""
    return count >= mean + max(2, mean / 8)


class Loads:
    """Weights of legs in thousandths of the mean leg; one without a reported load weighs the mean."""

    MEAN = 1000
    GROUP_COST = 2 * MEAN  # what a group costs a server besides its legs; no report includes it
    WINDOW = 50  # reported loads over which the mean is taken

    def __init__(self):
        """No load is reported yet."""
        self.reported = RunningMean(self.WINDOW)

    def record(self, leg, load):
        """Records the leg's reported load, in microseconds of work a second."""
        leg.reported_load = load
        self.reported.add(load)

    def weight_of(self, leg):
        """The leg's weight."""
        return round(self.MEAN * leg.reported_load / self.reported.mean) if leg.reported_load else self.MEAN

    def freed_by(self, leg):
        """The weight that the leg's end takes off its server: more if it is the last of its group there."""
        return leg.load + self.GROUP_COST * (leg.host.groups[leg.call.group] == 1)

    def added_by(self, call, host):
        """The weight that the call would add to the server: less if its group has legs there already."""
        return self.MEAN + self.GROUP_COST * (call.group not in host.groups)
