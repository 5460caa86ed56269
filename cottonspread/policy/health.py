"""Health: which servers are in trouble, by how legs end and by what messages take there."""

from cottonspread.state import SECOND, SlowNote


class Health:
    """Who is set aside, and the trickle by which one comes back (outlier ejection with a gradual return)."""

    FIRST_REST = SECOND  # about the longest queue that a live server clears in its set-up target
    LONGEST_REST = 8 * SECOND
    PERIOD = 3 * SECOND // 4  # with the bucket it falls in, a second
    RUN = 3  # servers timed out with no answer between: not the trouble of one
    OPEN_AT = 8  # trickle that counts as no limit any more
    EARLY = 0.7  # of the message target: slow already, where many nodes fill one server
    NEAR = 0.4  # of the message target: one more connection makes a server slow
    SAME = 100  # words that differ by a smaller part say the same
    NOTE_LIFE = 5 * SECOND // 2  # told once a second while it lasts: two words missed, and it is over

    def __init__(self, settings):
        self.settings = settings

    def slow_from(self):
        """What messages take from which on they are slow, in microseconds."""
        return self.settings.message_target * (self.EARLY if self.settings.probed else 1)

    def good(self, host):
        """A leg was answered: twice as many may go in the next period, and soon any number."""
        host.trickle *= 2
        if host.trickle >= self.OPEN_AT:
            host.trickle = host.rest = 0

    def bad(self, host, now):
        """A trouble, for which the server is set aside; False if it is already."""
        if now < host.aside_until:  # one trouble, told by many legs
            return False
        host.answers, host.rest = 0, min(host.rest * 2, self.LONGEST_REST) or self.FIRST_REST
        host.aside_until, host.trickle = now + host.rest, 1
        return True

    def may_send(self, host, now):
        """Not set aside, and its trickle leaves room."""
        return now >= host.aside_until and (
            not host.trickle or host.sent.total(now, self.PERIOD) < host.trickle
        )

    def slow(self, host, now, part=1):
        """Whether messages take over this part of the message target there."""
        return host.delay >= self.slow_from() * part and now - host.delay_at < self.NOTE_LIFE

    def note(self, host, delay, now):
        """Messages take `delay` at the server now; returns a `SlowNote` if that is slow, else None."""
        told = SlowNote(delay, host.delay, now - host.delay_at, self.slow(host, now))
        host.delay, host.delay_at = delay, now
        if delay < self.slow_from():
            host.slow_from, host.hung = 0, False
            return None
        host.slow_from = host.slow_from if told.lasts and host.slow_from else now
        return told

    def far(self, host, told):
        """The same word after word: a queue grows or drains, so it is the way there, long or lossy, and cuts
        would not help."""
        same = told.lasts and told.since >= SECOND // 2 and abs(told.grown) <= told.before // self.SAME
        host.same = host.same + 1 if same else 0
        return host.same > (not self.settings.probed)

    def hangs(self, host, told, now):
        """More than any load piles up in that time, or all the time since (as a front sees that waits for
        echoes), or no cut helps: it answers nothing."""
        if told.grown > 2 * min(told.since, SECOND):
            return True
        stuck = told.delay >= SECOND and now - host.slow_from >= 2 * SECOND
        return told.lasts and (told.grown >= told.since or stuck)

    def overloaded(self, host, told, now):
        """Whether a server that is slow and answers is to be relieved now."""
        if host.hung:
            return False  # back, and working off what piled up
        if told.lasts and told.delay <= told.before / 2:
            return False  # soon drained: one more cut would leave it idle afterwards
        # Where loads are probed a node holds next to nothing of a server; its second word comes a second
        # later, and all nodes together have lost the revenue of that second.
        return (
            self.settings.probed or now - host.slow_from >= SECOND // 2 or told.delay >= 4 * self.slow_from()
        )
