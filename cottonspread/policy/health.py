"""Health: which servers are in trouble, by how legs end and by what messages take there."""

from cottonspread.state import SECOND, SlowReport


class Health:
    """Who is set aside, and the trickle by which one comes back (outlier ejection with a gradual return)."""

    MIN_EJECTION_TIME = SECOND  # about the longest queue that a live server clears in its set-up target
    MAX_EJECTION_TIME = 8 * SECOND
    RECOVERY_PERIOD = 3 * SECOND // 4  # with the bucket it falls in, a second
    SHARED_FAULT_SERVERS = 3  # servers timed out with no answer between: not the trouble of one
    RECOVERED_AT = 8  # trickle that counts as no limit any more
    EARLY_SLOW_SHARE = 0.7  # of the message target: slow already, where many nodes fill one server
    NEAR_SLOW_SHARE = 0.4  # of the message target: one more connection makes a server slow
    SAME_REPORT_RATIO = 100  # words that differ by a smaller part say the same
    REPORT_MAX_AGE = (
        5 * SECOND // 2
    )  # reported once a second while it lasts: two words missed, and it is over

    def __init__(self, settings):
        self.settings = settings

    def slow_threshold(self):
        """What messages take from which on they are slow, in microseconds."""
        return self.settings.message_target * (
            self.EARLY_SLOW_SHARE if self.settings.probes_report_load else 1
        )

    def record_success(self, host):
        """A leg was answered: twice as many may go in the next period, and soon any number."""
        host.recovery_limit *= 2
        if host.recovery_limit >= self.RECOVERED_AT:
            host.recovery_limit = host.ejection_time = 0

    def record_failure(self, host, now):
        """A trouble, for which the server is set aside; False if it is already."""
        if now < host.ejected_until:  # one trouble, reported by many legs
            return False
        host.answers, host.ejection_time = (
            0,
            min(host.ejection_time * 2, self.MAX_EJECTION_TIME) or self.MIN_EJECTION_TIME,
        )
        host.ejected_until, host.recovery_limit = now + host.ejection_time, 1
        return True

    def may_send(self, host, now):
        """Not set aside, and its trickle leaves room."""
        return now >= host.ejected_until and (
            not host.recovery_limit or host.sent.total(now, self.RECOVERY_PERIOD) < host.recovery_limit
        )

    def is_slow(self, host, now, part=1):
        """Whether messages take over this part of the message target there."""
        return host.delay >= self.slow_threshold() * part and now - host.delay_at < self.REPORT_MAX_AGE

    def record_delay(self, host, delay, now):
        """Messages take `delay` at the server now; returns a `SlowReport` if that is slow, else None."""
        report = SlowReport(delay, host.delay, now - host.delay_at, self.is_slow(host, now))
        host.delay, host.delay_at = delay, now
        if delay < self.slow_threshold():
            host.slow_since, host.hung = 0, False
            return None
        host.slow_since = host.slow_since if report.still_slow and host.slow_since else now
        return report

    def is_far(self, host, report):
        """The same word after word: a queue grows or drains, so it is the way there, long or lossy, and cuts
        would not help."""
        same = (
            report.still_slow
            and report.interval >= SECOND // 2
            and abs(report.growth) <= report.previous // self.SAME_REPORT_RATIO
        )
        host.same_reports = host.same_reports + 1 if same else 0
        return host.same_reports > (not self.settings.probes_report_load)

    def is_hung(self, host, report, now):
        """More than any load piles up in that time, or all the time since (as a front sees that waits for
        echoes), or no cut helps: it answers nothing."""
        if report.growth > 2 * min(report.interval, SECOND):
            return True
        stuck = report.delay >= SECOND and now - host.slow_since >= 2 * SECOND
        return report.still_slow and (report.growth >= report.interval or stuck)

    def is_overloaded(self, host, report, now):
        """Whether a server that is slow and answers is to be relieved now."""
        if host.hung:
            return False  # back, and working off what piled up
        if report.still_slow and report.delay <= report.previous / 2:
            return False  # soon drained: one more cut would leave it idle afterwards
        # Where loads are probed a node holds next to nothing of a server; its second word comes a second
        # later, and all nodes together have lost the revenue of that second.
        return (
            self.settings.probes_report_load
            or now - host.slow_since >= SECOND // 2
            or report.delay >= 4 * self.slow_threshold()
        )
