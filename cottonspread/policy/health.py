"""Server health, judged by how legs end and by reported message delays (outlier ejection)."""

from cottonspread.state import SECOND, SlowReport


class Health:
    """Ejects failing servers, and limits the legs to one that returns until it has proved itself."""

    MIN_EJECTION_TIME = SECOND  # about the longest queue that a live server clears within its set-up target
    MAX_EJECTION_TIME = 8 * SECOND
    RECOVERY_PERIOD = 3 * SECOND // 4  # together with the bucket in which it begins, a second
    SHARED_FAULT_SERVERS = 3  # this many servers that time out with no answer in between share a fault
    RECOVERED_AT = 8  # a recovery limit of this many legs is lifted
    EARLY_SLOW_SHARE = 0.7  # of the message target: slow already, where many nodes fill one server
    NEAR_SLOW_SHARE = 0.4  # of the message target: one more connection makes a server slow
    SAME_REPORT_RATIO = 100  # reports that differ by at most one part in this many are the same
    # Slowness is reported once a second while it lasts: after two missing reports it is over.
    REPORT_MAX_AGE = 5 * SECOND // 2

    def __init__(self, settings):
        """`settings`: the `Settings` in force."""
        self.settings = settings

    def slow_threshold(self):
        """The message delay in microseconds from which a server counts as slow."""
        return self.settings.message_target * (
            self.EARLY_SLOW_SHARE if self.settings.probes_report_load else 1
        )

    def record_success(self, host):
        """Doubles the recovery limit after an answered leg, and lifts it once it is large enough."""
        host.recovery_limit *= 2
        if host.recovery_limit >= self.RECOVERED_AT:
            host.recovery_limit = host.ejection_time = 0

    def record_failure(self, host, now):
        """Ejects the server, each time for twice as long; False if it is ejected already."""
        if now < host.ejected_until:  # many legs report the same failure
            return False
        host.answers, host.ejection_time = (
            0,
            min(host.ejection_time * 2, self.MAX_EJECTION_TIME) or self.MIN_EJECTION_TIME,
        )
        host.ejected_until, host.recovery_limit = now + host.ejection_time, 1
        return True

    def may_send(self, host, now):
        """Whether it is not ejected and its recovery limit allows another leg."""
        return now >= host.ejected_until and (
            not host.recovery_limit or host.sent.total(now, self.RECOVERY_PERIOD) < host.recovery_limit
        )

    def is_slow(self, host, now, share=1):
        """Whether a recent report put its message delay at or over this share of the slow threshold."""
        return host.delay >= self.slow_threshold() * share and now - host.delay_at < self.REPORT_MAX_AGE

    def record_delay(self, host, delay, now):
        """Records a reported message delay in microseconds; returns a `SlowReport` if slow, else None."""
        report = SlowReport(delay, host.delay, now - host.delay_at, self.is_slow(host, now))
        host.delay, host.delay_at = delay, now
        if delay < self.slow_threshold():
            host.slow_since, host.hung = 0, False
            return None
        host.slow_since = host.slow_since if report.still_slow and host.slow_since else now
        return report

    def is_far(self, host, report):
        """Whether the server is far away rather than overloaded: report after report shows the same delay.

        The delay of a queue would grow or shrink, so the network path is long or lossy, and moving
        connections away would not help.
        """
        same = (
            report.still_slow
            and report.interval >= SECOND // 2
            and abs(report.growth) <= report.previous // self.SAME_REPORT_RATIO
        )
        host.same_reports = host.same_reports + 1 if same else 0
        return host.same_reports > (not self.settings.probes_report_load)

    def is_hung(self, host, report, now):
        """Whether the server hangs, that is, answers nothing.

        Either the delay grew more than any load can queue up in that time, or by the whole time since the
        last report (as seen by a node that waits for echoes), or cutting its load has not helped.
        """
        if report.growth > 2 * min(report.interval, SECOND):
            return True
        stuck = report.delay >= SECOND and now - host.slow_since >= 2 * SECOND
        return report.still_slow and (report.growth >= report.interval or stuck)

    def is_overloaded(self, host, report, now):
        """Whether connections should be moved off a slow server that still answers."""
        if host.hung:
            return False  # it is back and working off its backlog
        if report.still_slow and report.delay <= report.previous / 2:
            return False  # its queue will soon be empty: another cut would leave it idle
        # Where probes report load a node holds only a small share of a server's connections. Its second
        # report comes a second later, and waiting for it costs all nodes the revenue of that second.
        return (
            self.settings.probes_report_load
            or now - host.slow_since >= SECOND // 2
            or report.delay >= 4 * self.slow_threshold()
        )
