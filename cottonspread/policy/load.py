"""Load: what connections weigh."""

from cottonspread.structures import RunningMean


def well_over(count, mean):
    """The design's skip: never under two connections over the mean, wider where the mean is high."""
    return count >= mean + max(2, mean / 8)


class Loads:
    """What connections weigh, in thousandths of a mean one: as told, else as a mean one."""

    MEAN = 1000
    GROUP_COST = 2 * MEAN  # what a group costs a server besides, which nobody tells
    WINDOW = 50  # loads told of which the mean is kept

    def __init__(self):
        self.reported = RunningMean(self.WINDOW)

    def record(self, leg, load):
        """The leg's own load is told, in microseconds of work a second."""
        leg.reported_load = load
        self.reported.add(load)

    def weight_of(self, leg):
        """The leg's weight."""
        return round(self.MEAN * leg.reported_load / self.reported.mean) if leg.reported_load else self.MEAN

    def freed_by(self, leg):
        """What its server is relieved of by the leg's end: more if it is the last of its group there."""
        return leg.load + self.GROUP_COST * (leg.host.groups[leg.call.group] == 1)

    def added_by(self, call, host):
        """What a call would add: less where its group is there already and its work is shared."""
        return self.MEAN + self.GROUP_COST * (call.group not in host.groups)
