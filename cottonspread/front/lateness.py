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

    ORDINARY = SECOND // 50  # less is no news: a thread that waits its turn

    def __init__(self):
        """Nothing was late so far."""
        self.since, self.here, self.before = 0, 0, 0

    def measured(self, now, late):
        """Something that was due was dealt with so many microseconds late."""
        self.turn(now)
        self.here = max(self.here, late)

    def turn(self, now):
        """Begins another half second, once one is over."""
        if now - self.since >= HALF:
            self.before = self.here if now - self.since < 2 * HALF else 0
            self.since, self.here = now, 0

    def most(self, now):
        """What the node may have been late by, with whatever is judged
        now; 0 if that is no more than ordinary.
        """
        self.turn(now)
        late = max(self.here, self.before)
        return late if late > self.ORDINARY else 0


class Door:
    """Which new connections are turned away because the node itself cannot keep up.

    Judged by how long clients' first lines had lain when the reducer got to them, on the mean over a tenth of
    a second. Over `target` twice and not falling, the rate let in is cut to 0.85 of what the node got done,
    which is what it can do while it is late: the queue drains, and the rate does not collapse cut by cut.
    Under half the target the rate grows again. Falling by itself, as after a pause of the node, nothing is
    cut: what lies there can still be answered.
    """

    STEP = SECOND // 10
    SPAN = 5  # steps over which it is counted what the node got done
    CUT, GROW = 0.85, 1.01
    NO_LIMIT = 2  # times what came: a limit so high is dropped
    LEAST = 10.0  # a second: some always pass, or nothing would tell that the trouble is over

    def __init__(self, target):
        """`target`: microseconds for which first lines may lie."""
        self.target, self.rate, self.tokens, self.filled = target, 0.0, 0.0, 0  # rate a second; 0: no limit
        self.until, self.last, self.lain_sum, self.lain_count, self.came = 0, 0, 0, 0, 0
        self.done, self.arrived = deque(maxlen=self.SPAN), deque(maxlen=self.SPAN)

    def lain(self, now, late):
        """The reducer got to a first line that had lain so long."""
        self.look(now)
        self.lain_sum += late
        self.lain_count += 1

    def look(self, now):
        """Judges the step of a tenth of a second that is over, if one is."""
        if now < self.until:
            return
        if now - self.until > self.SPAN * self.STEP:  # nothing came for a while
            self.done.clear()
            self.arrived.clear()
        self.done.append(self.lain_count)
        self.arrived.append(self.came)
        mean = self.lain_sum // self.lain_count if self.lain_count else 0
        a_second = SECOND / self.STEP / len(self.done)
        if mean > self.target and self.last > self.target and mean > self.last - self.STEP // 10:
            self.rate = max(self.LEAST, self.CUT * sum(self.done) * a_second)
        elif mean < self.target // 2 and self.rate:
            self.rate *= self.GROW
            if self.rate > self.NO_LIMIT * max(sum(self.arrived) * a_second, self.LEAST):
                self.rate = 0.0
        self.last, self.lain_sum, self.lain_count, self.came, self.until = mean, 0, 0, 0, now + self.STEP

    def admits(self, now):
        """Whether a connection that comes now is let in."""
        self.look(now)
        self.came += 1
        if not self.rate:
            return True
        most = max(1.0, self.rate * self.STEP / SECOND)
        self.tokens = min(most, self.tokens + self.rate * (now - self.filled) / SECOND)
        self.filled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
