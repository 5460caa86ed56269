"""Slow start: how many calls a recently started server gets."""

import math


class SlowStart:
    """Caps what a cold server is sent, within this node's share of the budget of all nodes."""

    # Chance of a draw, as a multiple of the node's share of the budget. It is over 1 because a node seldom
    # has a call for the server just when it may send one.
    DRAW_FACTOR = 3.0
    # The same for draws that many cold servers share; it sends them as many calls as a factor of 3 with draws
    # for each server alone.
    SHARED_DRAW_FACTOR = 1.8
    DEFAULT_NODES = 256  # nodes assumed if their number is not set; too high a number only slows the warm-up
    INITIAL_SETUPS = 4  # set-ups in flight to a warm server that has not answered any yet

    def __init__(self, rng, settings):
        """`rng`, `settings`: the node's `SeededRandom` and `Settings`."""
        self.rng, self.settings = rng, settings
        self.warm_mean = 0.0  # this node's mean number of connections on a warm server

    def capacity_share(self, host, now):
        """The least that the server can do now, as a share of its full capacity."""
        started, cold = host.entry.started, self.settings.cold
        if not started or not cold.warm_after or now - started >= cold.warm_after:
            return 1.0
        return cold.share + (1 - cold.share) * max(0, now - started) / cold.warm_after

    def budget(self, share):
        """How many legs this node may send, in a window, to a server with this share of its capacity."""
        cold = self.settings.cold
        if not cold.warm_after:
            return math.inf  # no server is cold under these settings, whatever held before
        return max(
            1 / self.settings.nodes, cold.multiple * share * self.warm_mean * cold.window / cold.warm_after
        )

    def draw(self, cold, budget, share, calls):
        """Draws one of many cold servers for a call of a group, or None.

        What this node may send to all of them is spread over its calls in a window, and a group keeps to its
        share of them: with a draw at each server in turn, nearly every call cost a cold server the work of
        one more group.
        """
        candidate_count = min(len(cold), max(2, round(len(cold) * share)))
        admitted = self.rng.below(10000) * max(1, calls) < 10000 * self.SHARED_DRAW_FACTOR * budget * len(
            cold
        )
        return cold[self.rng.below(candidate_count)] if admitted else None

    def may_send(self, host, now, drawn=False):
        """Whether the server may get another leg; `drawn`: this call was drawn for it already.

        A cold server is filled, over its warm-up time, to what a warm one carries.
        """
        share, window = self.capacity_share(host, now), self.settings.cold.window
        # After a restart of a node all its clients come back at once, and set-ups that wait too long are
        # retried, which doubles the work: so on warm servers too their number grows with the answers.
        if host.setups >= (1 if share < 1 else self.INITIAL_SETUPS) + host.answers:
            return False
        if share >= 1 or len(host.legs) >= 1 + share * self.warm_mean:
            return share >= 1
        budget = self.budget(share)
        if budget >= 1:
            return host.sent.total(now, window) < budget
        # A draw made before the call waited for its probe still counts: otherwise no cold server got a call.
        if drawn:
            return True
        # The budget is for all nodes together and a fraction of a leg cannot be sent, so the node draws once
        # in a window whether it may send one: a leg a window from each node, or fractions saved up, would
        # exceed the budget.
        if now - host.last_draw_at < window:
            return False
        host.last_draw_at = now
        return self.rng.below(10000) < 10000 * self.DRAW_FACTOR * budget
