"""How late the node itself is, and what it turns away for that. Pure: driven by (time, what was measured).

A node whose core is busy, shared or stopped handles what came some time ago. Taken for slowness of servers,
that makes a node set aside every server it has (docs/notes/lab.md). So lateness is measured for itself: how
long an event had lain when the reducer got to it, and by how much the reducer was late for its own timers.
Times are whole microseconds.
"""

from collections import deque

SECOND = 1_000_000
HALF = SECOND // 2


class Lateness:
    """The node's own lateness over the last half to whole second."""

    NEGLIGIBLE = SECOND // 50  # less is no news: a thread that waits its turn

    def __init__(self):
        """Nothing was late so far."""
        self.since, self.current, self.previous = 0, 0, 0

    def record(self, now, late):
        """Something that was due was dealt with so many microseconds late."""
        self.end_half_second(now)
        self.current = max(self.current, late)

    def end_half_second(self, now):
        """Begins another half second, once one is over."""
        if now - self.since >= HALF:
            self.previous = self.current if now - self.since < 2 * HALF else 0
            self.since, self.current = now, 0

    def recent_max(self, now):
        """What the node may have been late by, with whatever is judged
        now; 0 if that is no more than ordinary.
        """
        self.end_half_second(now)
        late = max(self.current, self.previous)
        return late if late > self.NEGLIGIBLE else 0


class AdmissionLimiter:
    """Which new connections are turned away because the node itself cannot keep up.

    Judged by how long clients' first lines had lain when the reducer got to them, on the mean over a tenth of
    a second. Over `target` twice and not falling, the rate let in is cut to 0.85 of what the node got done,
    which is what it can do while it is late: the queue drains, and the rate does not collapse cut by cut.
    Under half the target the rate grows again. Falling by itself, as after a pause of the node, nothing is
    cut: what lies there can still be answered.
    """

    INTERVAL = SECOND // 10
    INTERVALS = 5  # steps over which it is counted what the node got done
    CUT, GROW = 0.85, 1.01
    DROP_LIMIT_AT = 2  # times what came: a limit so high is dropped
    MIN_RATE = 10.0  # a second: some always pass, or nothing would tell that the trouble is over

    def __init__(self, target):
        """`target`: microseconds for which first lines may lie."""
        # rate a second; 0: no limit
        self.target, self.rate, self.tokens, self.refilled_at = target, 0.0, 0.0, 0
        self.interval_end, self.last_mean, self.wait_sum, self.wait_count, self.arrived = 0, 0, 0, 0, 0
        self.handled, self.arrivals = deque(maxlen=self.INTERVALS), deque(maxlen=self.INTERVALS)

    def record_wait(self, now, late):
        """The reducer got to a first line that had lain so long."""
        self.end_interval(now)
        self.wait_sum += late
        self.wait_count += 1

    def end_interval(self, now):
        """Judges the step of a tenth of a second that is over, if one is."""
        if now < self.interval_end:
            return
        if now - self.interval_end > self.INTERVALS * self.INTERVAL:  # nothing came for a while
            self.handled.clear()
            self.arrivals.clear()
        self.handled.append(self.wait_count)
        self.arrivals.append(self.arrived)
        mean = self.wait_sum // self.wait_count if self.wait_count else 0
        a_second = SECOND / self.INTERVAL / len(self.handled)
        if (
            mean > self.target
            and self.last_mean > self.target
            and mean > self.last_mean - self.INTERVAL // 10
        ):
            self.rate = max(self.MIN_RATE, self.CUT * sum(self.handled) * a_second)
        elif mean < self.target // 2 and self.rate:
            self.rate *= self.GROW
            if self.rate > self.DROP_LIMIT_AT * max(sum(self.arrivals) * a_second, self.MIN_RATE):
                self.rate = 0.0
        self.last_mean, self.wait_sum, self.wait_count, self.arrived, self.interval_end = (
            mean,
            0,
            0,
            0,
            now + self.INTERVAL,
        )

    def admits(self, now):
        """Whether a connection that comes now is let in."""
        self.end_interval(now)
        self.arrived += 1
        if not self.rate:
            return True
        most = max(1.0, self.rate * self.INTERVAL / SECOND)
        self.tokens = min(most, self.tokens + self.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
