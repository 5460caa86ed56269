"""Probe results: the load that all nodes together put on each server."""

from cottonspread.interface import Ending
from cottonspread.state import SECOND
from cottonspread.structures import RunningMean


class Readings:
    """Load ratios of servers, that is, load divided by capacity, as probes report them."""

    MAX_AGE = 4 * SECOND  # older results are ignored
    REPROBE_AFTER = SECOND  # an older result is renewed before a call relies on it
    # A call passes over servers with a load ratio over its bound, drawn from this range: with one bound for
    # all, calls would flock to the same servers.
    LOW, HIGH = 0.55, 0.85
    MAX_PROBES = 3  # per call, so that the probes of all nodes together grow with the number of calls
    # From this mean load ratio on, over the last `WINDOW` results, a group fills its servers in order.
    BUSY_FROM, WINDOW = 0.4, 8
    SILENT_LOAD = 9.0  # the load ratio of a server that does not answer

    def __init__(self, rng, settings):
        """`rng`, `settings`: the node's `SeededRandom` and `Settings`."""
        self.rng, self.settings, self.fleet_load = rng, settings, RunningMean(self.WINDOW)

    def draw_bound(self):
        """Draws a call's bound on load ratios, between `LOW` and `HIGH`; 0 where probes report no load."""
        if not self.settings.probes_report_load:
            return 0
        return self.LOW + (self.HIGH - self.LOW) * self.rng.below(1000) / 1000

    def needs_probe(self, call, host, now):
        """Whether the call has to wait for a probe of the server."""
        return (
            self.settings.probes_report_load
            and call.probes < self.MAX_PROBES
            and now - host.load_ratio_at > self.REPROBE_AFTER
        )

    def record(self, host, e, now):
        """Records the result of a probe; `e`: a `ProbeEnded`."""
        if e.ending is Ending.FULL or e.ending is Ending.OK and e.load < 0:
            return  # probed too often, or the server reports no load
        host.load_ratio, host.load_ratio_at = e.load if e.ending is Ending.OK else self.SILENT_LOAD, now
        # The load of a server that hangs does not grow, but its backlog does.
        if e.backlog * SECOND >= self.settings.message_target:
            host.load_ratio = max(host.load_ratio, 1.0)
        if e.ending is Ending.OK:  # a server that does not answer says nothing of how full the fleet is
            self.fleet_load.add(min(host.load_ratio, 1))

    def fleet_busy(self):
        """Whether the fleet is so loaded that the cost of groups matters."""
        return self.fleet_load.mean >= self.BUSY_FROM

    def fleet_has_room(self):
        """Whether the fleet has room, by the last results."""
        return self.settings.probes_report_load and self.fleet_load.mean < self.LOW

    def has_room(self, host, now):
        """Whether the server's last probe shows room, whatever its listed weight and this node's calls."""
        return self.settings.probes_report_load and self.is_current(host, now) and host.load_ratio < self.LOW

    def is_current(self, host, now):
        """Whether the server's last result is recent enough to count."""
        return now - host.load_ratio_at <= self.MAX_AGE

    def is_full(self, host, now):
        """Whether the server is full, or did not answer its last probe."""
        return host.load_ratio >= self.HIGH and self.is_current(host, now)

    def exceeds_bound(self, host, call, now):
        """Whether the server's load ratio is at or over the call's bound."""
        return self.is_current(host, now) and host.load_ratio >= call.max_load_ratio
