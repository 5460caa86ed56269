"""Measures how late the node itself is, and limits admission accordingly. Does no I/O and reads no clock.

A node whose core is busy, shared or stopped handles events late. Mistaken for slowness of servers, that makes
it eject every server it has (docs/notes/lab.md). So its own lateness is measured: how long an event had
waited when the reducer got to it, and how late the reducer was for its own timers. Times are whole
microseconds.
"""

from collections import deque

SECOND = 1_000_000
HALF_SECOND = SECOND // 2


class Lateness:
    """The node's own greatest lateness in the last half to whole second."""

    NEGLIGIBLE = SECOND // 50  # no more than a thread waits to be scheduled

    def __init__(self):
        """Nothing has been late so far."""
        self.since, self.current, self.previous = 0, 0, 0

    def record(self, now, late):
        """Records that something was handled `late` microseconds after it was due."""
        self.end_half_second(now)
        self.current = max(self.current, late)

    def end_half_second(self, now):
        """Starts a new half second if the current one is over."""
        if now - self.since >= HALF_SECOND:
            self.previous = self.current if now - self.since < 2 * HALF_SECOND else 0
            self.since, self.current = now, 0

    def recent_max(self, now):
        """By how much measurements made now may be late; 0 if that is negligible."""
        self.end_half_second(now)
        late = max(self.current, self.previous)
        return late if late > self.NEGLIGIBLE else 0


class AdmissionLimiter:
    """Decides which new connections to refuse because the node itself cannot keep up.

    It goes by how long clients' first lines had waited when the reducer got to them, on the mean over a tenth
    of a second. If that is over `target` twice and not falling, the admitted rate is cut to 0.85 of the rate
    that the node handled lately. That rate is its capacity while it is late, so the queue drains, and
    repeated cuts do not make the rate collapse. Under half the target the rate grows again. While the wait
    falls by itself, as after a pause of the node, nothing is cut, because what waits there can still be
    answered.
    """

    INTERVAL = SECOND // 10
    INTERVALS = 5  # handled and arrived connections are counted over this many intervals
    CUT, GROWTH = 0.85, 1.01
    DROP_LIMIT_AT = 2  # a limit of this many times the arrival rate is dropped
    MIN_RATE = 10.0  # a second: some are always admitted, or the end of an overload would go unnoticed

    def __init__(self, target):
        """`target`: microseconds for which first lines may wait."""
        # `rate`: admitted connections a second; 0: no limit
        self.target, self.rate, self.tokens, self.refilled_at = target, 0.0, 0.0, 0
        self.interval_end, self.last_mean, self.wait_sum, self.wait_count, self.arrived = 0, 0, 0, 0, 0
        self.handled, self.arrivals = deque(maxlen=self.INTERVALS), deque(maxlen=self.INTERVALS)

    def record_wait(self, now, late):
        """Records that the reducer got to a first line `late` microseconds after it came."""
        self.end_interval(now)
        self.wait_sum += late
        self.wait_count += 1

    def end_interval(self, now):
        """Adjusts the rate at the end of an interval."""
        if now < self.interval_end:
            return
        if now - self.interval_end > self.INTERVALS * self.INTERVAL:  # nothing arrived for a while
            self.handled.clear()
            self.arrivals.clear()
        self.handled.append(self.wait_count)
        self.arrivals.append(self.arrived)
        mean = self.wait_sum // self.wait_count if self.wait_count else 0
        per_second = SECOND / self.INTERVAL / len(self.handled)
        if (
            mean > self.target
            and self.last_mean > self.target
            and mean > self.last_mean - self.INTERVAL // 10
        ):
            self.rate = max(self.MIN_RATE, self.CUT * sum(self.handled) * per_second)
        elif mean < self.target // 2 and self.rate:
            self.rate *= self.GROWTH
            if self.rate > self.DROP_LIMIT_AT * max(sum(self.arrivals) * per_second, self.MIN_RATE):
                self.rate = 0.0
        self.last_mean, self.wait_sum, self.wait_count, self.arrived, self.interval_end = (
            mean,
            0,
            0,
            0,
            now + self.INTERVAL,
        )

    def admits(self, now):
        """Whether to admit a connection that arrives now."""
        self.end_interval(now)
        self.arrived += 1
        if not self.rate:
            return True
        burst = max(1.0, self.rate * self.INTERVAL / SECOND)
        self.tokens = min(burst, self.tokens + self.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
