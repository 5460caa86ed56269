"""A load limit for each overloaded server: cut at once and raised slowly (AIMD)."""

from cottonspread.policy.load import Loads
from cottonspread.state import SECOND


class Ceilings:
    """How much of this node's load an overloaded server keeps.

    The ceiling is cut while messages are slow and raised afterwards.
    """

    CUT_TO = 0.75  # of the load, kept at a cut: well below full, so that the server's backlog drains
    DOUBLING_TIME = 60 * SECOND
    # A ceiling grows faster once `COOLDOWN` has passed since the last cut and the last overload of the fleet,
    # that is, the last time at which at least `FLEET_OVERLOAD_SHARE` of the servers were slow.
    COOLDOWN, FAST_DOUBLING_TIME, FLEET_OVERLOAD_SHARE = 5 * SECOND, 4 * SECOND, 0.3
    MIN_GROWTH_BASE = Loads.MEAN  # a ceiling grows at least as fast as one of this size would

    def __init__(self, loads, rng, settings):
        """`loads`: the weights of legs; `rng`, `settings`: the node's `SeededRandom` and `Settings`."""
        self.loads, self.rng, self.settings = loads, rng, settings
        self.fleet_overloaded_at = -60 * SECOND  # when the fleet was last overloaded

    def cut(self, host, now):
        """Cuts the ceiling; yields the legs in excess of it, those that free the most load first."""
        host.ceiling, host.cut_at = host.load * self.CUT_TO, now
        legs = sorted(host.staying, key=lambda leg: (-self.loads.freed_by(leg), leg.call.type.revenue))
        excess = (
            host.load
            - host.ceiling
            - sum(self.loads.freed_by(leg) for leg in host.legs if leg.move_requested)
        )
        for leg in legs:
            weight = self.loads.freed_by(leg)
            # The last one is drawn at random: otherwise nodes that each hold few would all move one too many.
            if excess <= 0 or excess < weight and self.rng.below(1000) >= 1000 * excess / weight:
                return
            excess -= weight
            yield leg

    def has_room(self, host, call, now):
        """Whether the call still fits under the server's ceiling."""
        if not host.ceiling:
            return True
        # A server on which this node has no leg reports nothing: it is tried with one call now and then, by
        # about one node at a time.
        if not host.legs and now - host.cut_at > 2 * self.COOLDOWN:
            return not self.rng.below(self.settings.nodes)
        # The growth is additive at low ceilings; otherwise the server would get no more calls. The ceiling is
        # never dropped after a fixed time: ceilings cut together and dropped together let the whole overload
        # back in.
        limit = (
            host.ceiling + max(host.ceiling, self.MIN_GROWTH_BASE) * (now - host.cut_at) / self.DOUBLING_TIME
        )
        # If the fleet is no longer overloaded, the cause was a passing fault, not too many calls. Growth then
        # speeds up, because servers cut together would otherwise stay idle for a minute.
        fast_doublings = (
            max(0, now - max(self.fleet_overloaded_at, host.cut_at) - self.COOLDOWN) / self.FAST_DOUBLING_TIME
        )
        return host.load + self.loads.added_by(call, host) <= limit * 2 ** min(fast_doublings, 9)
