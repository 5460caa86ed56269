"""Probes: what all nodes together put on servers."""

from cottonspread.interface import Ending
from cottonspread.state import SECOND
from cottonspread.structures import RunningMean


class Readings:
    """Load asked of a server over what it can do, as probes tell it."""

    MAX_AGE = 4 * SECOND  # an older reading tells nothing
    REPROBE_AFTER = SECOND  # an older one is asked for anew before a call goes by it
    LOW, HIGH = 0.55, 0.85  # a call passes over a server asked for more; one bound for all would herd
    MAX_PROBES = 3  # probes a call: a budget over all nodes that follows the calls
    BUSY_FROM, WINDOW = 0.4, 8  # mean of the last readings from which a group fills its servers in order
    SILENT_LOAD = 9.0  # the load of one that does not answer

    def __init__(self, rng, settings):
        self.rng, self.settings, self.fleet_load = rng, settings, RunningMean(self.WINDOW)

    def draw_bound(self):
        """A call's own: drawn between LOW and HIGH."""
        if not self.settings.probes_report_load:
            return 0
        return self.LOW + (self.HIGH - self.LOW) * self.rng.below(1000) / 1000

    def needs_probe(self, call, host, now):
        """Whether the call is to wait for a probe of the server."""
        return (
            self.settings.probes_report_load
            and call.probes < self.MAX_PROBES
            and now - host.load_ratio_at > self.REPROBE_AFTER
        )

    def record(self, host, e, now):
        """A probe of the server has ended."""
        if e.ending is Ending.FULL or e.ending is Ending.OK and e.load < 0:
            return  # asked too often, or it tells no load
        host.load_ratio, host.load_ratio_at = e.load if e.ending is Ending.OK else self.SILENT_LOAD, now
        if (
            e.backlog * SECOND >= self.settings.message_target
        ):  # one that hangs is asked for no more than before
            host.load_ratio = max(host.load_ratio, 1.0)
        if e.ending is Ending.OK:  # one that does not answer tells nothing of how full the fleet is
            self.fleet_load.add(min(host.load_ratio, 1))

    def fleet_busy(self):
        """Whether servers are asked for so much that what groups cost them tells."""
        return self.fleet_load.mean >= self.BUSY_FROM

    def fleet_has_room(self):
        """Whether the fleet has room by what was heard last."""
        return self.settings.probes_report_load and self.fleet_load.mean < self.LOW

    def has_room(self, host, now):
        """It has room: neither its listed weight nor this node's count of calls there is the measure."""
        return self.settings.probes_report_load and self.is_current(host, now) and host.load_ratio < self.LOW

    def is_current(self, host, now):
        """Whether there is a reading that still tells something."""
        return now - host.load_ratio_at <= self.MAX_AGE

    def is_full(self, host, now):
        """Or silent."""
        return host.load_ratio >= self.HIGH and self.is_current(host, now)

    def exceeds_bound(self, host, call, now):
        """Over the call's own bound."""
        return self.is_current(host, now) and host.load_ratio >= call.max_load_ratio
