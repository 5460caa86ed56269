"""Slow start: how much a server gets that was started a moment ago."""

import math


class SlowStart:
    """A fresh server's cap, within this node's part of the cold budget."""

    DRAW_FACTOR = 3.0  # times a node's part of the budget: it seldom has a call to send there
    SHARED_DRAW_FACTOR = 1.8  # the same where many are fresh and share it: as many go there as at 3 each
    DEFAULT_NODES = 256  # nodes reckoned with where none is told: too many only cost time
    INITIAL_SETUPS = 4  # set-ups in flight to a warm server before it answered any

    def __init__(self, rng, settings):
        self.rng, self.settings = rng, settings
        self.warm_mean = 0.0  # connections that this node has on a warm server

    def capacity_share(self, host, now):
        """What it can do at least, as a share of its full work."""
        started, cold = host.entry.started, self.settings.cold
        if not started or not cold.warm_after or now - started >= cold.warm_after:
            return 1.0
        return cold.share + (1 - cold.share) * max(0, now - started) / cold.warm_after

    def budget(self, part):
        """This node's part of what a server that can do such a part may be sent in a window, in legs."""
        cold = self.settings.cold
        if not cold.warm_after:
            return math.inf  # none is cold, whatever was seen before these settings
        return max(
            1 / self.settings.nodes, cold.multiple * part * self.warm_mean * cold.window / cold.warm_after
        )

    def draw(self, cold, budget, part, calls):
        """The one of many fresh servers that a call of a group is for, or None. What this node may send to
        all of them is shared out over its calls of a window, and a group keeps to its part of them: drawn for
        at each in turn, every cold server paid for one group more with nearly every call."""
        few = min(len(cold), max(2, round(len(cold) * part)))
        goes = self.rng.below(10000) * max(1, calls) < 10000 * self.SHARED_DRAW_FACTOR * budget * len(cold)
        return cold[self.rng.below(few)] if goes else None

    def may_send(self, host, now, drawn=False):
        """What others carry is the guide to what a fresh one could: it fills up in its warm-up time."""
        part, window = self.capacity_share(host, now), self.settings.cold.window
        # After a restart of a node all its clients come at once: set-ups that wait too long are tried again
        # and double the work, so their number grows with the answers on warm servers too.
        if host.setups >= (1 if part < 1 else self.INITIAL_SETUPS) + host.answers:
            return False
        if part >= 1 or len(host.legs) >= 1 + part * self.warm_mean:
            return part >= 1
        budget = self.budget(part)
        if budget >= 1:
            return host.sent.total(now, window) < budget
        # A draw that the call's own probe came after is still good: else no cold server ever got a call.
        if drawn:
            return True
        # The rule counts all nodes together, and no part of a leg can be sent: it draws once a window whether
        # it may send one: a leg a window from each node, or parts saved up, would push it over.
        if now - host.last_draw_at < window:
            return False
        host.last_draw_at = now
        return self.rng.below(10000) < 10000 * self.DRAW_FACTOR * budget
