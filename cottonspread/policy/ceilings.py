"""Ceilings: a load limit for each overloaded server, cut at once and grown slowly (AIMD)."""

from cottonspread.policy.load import Loads
from cottonspread.state import SECOND


class Ceilings:
    """How much of this node's load an overloaded server keeps: cut while messages take long, grown after."""

    CUT_TO = 0.75  # kept at a cut: well under full, so that what is piled up drains
    DOUBLING_TIME = 60 * SECOND
    # a smaller part of slow servers is no jam
    CALM_TIME, CALM_DOUBLING_TIME, FLEET_OVERLOAD_SHARE = 5 * SECOND, 4 * SECOND, 0.3
    MIN_GROWTH_BASE = Loads.MEAN  # grows at least as one of this size would

    def __init__(self, loads, rng, settings):
        self.loads, self.rng, self.settings = loads, rng, settings
        self.fleet_overloaded_at = -60 * SECOND  # when there last was a jam

    def cut(self, host, now):
        """Cuts; gives the connections too many, the ones that relieve the server most first."""
        host.ceiling, host.cut_at = host.load * self.CUT_TO, now
        standing = sorted(
            host.staying_legs(), key=lambda leg: (-self.loads.freed_by(leg), leg.call.type.revenue)
        )
        over = (
            host.load
            - host.ceiling
            - sum(self.loads.freed_by(leg) for leg in host.legs if leg.move_requested)
        )
        for leg in standing:
            weight = self.loads.freed_by(leg)
            # The last one goes by chance: nodes that each hold few would else all move one too many.
            if over <= 0 or over < weight and self.rng.below(1000) >= 1000 * over / weight:
                return
            over -= weight
            yield leg

    def has_room(self, host, call, now):
        """Whether the call still fits under the server's ceiling."""
        if not host.ceiling:
            return True
        # One that holds nothing tells nothing: tried with one call now and then, by one node or so at a time.
        if not host.legs and now - host.cut_at > 2 * self.CALM_TIME:
            return not self.rng.below(self.settings.nodes)
        # Additive where little is left, or it would stay shut; and with no end: ceilings cut together and
        # dropped together let the whole jam back in.
        limit = (
            host.ceiling + max(host.ceiling, self.MIN_GROWTH_BASE) * (now - host.cut_at) / self.DOUBLING_TIME
        )
        # Once there is no jam any more, the trouble was passing, and not too many calls: servers cut together
        # would else stand idle for a minute.
        calm = (
            max(0, now - max(self.fleet_overloaded_at, host.cut_at) - self.CALM_TIME)
            / self.CALM_DOUBLING_TIME
        )
        return host.load + self.loads.added_by(call, host) <= limit * 2 ** min(calm, 9)
