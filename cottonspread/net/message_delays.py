"""Estimates the delay of a host's messages from what its connections show.

There are two sources. The age of a line without an echo is a lower bound on the delay. A `LOAD X` line may be
one of two reports and does not say which: the load of its connection in microseconds a second, or the
delay of a message at the host in milliseconds. (On the test bench, the values that the simulator gives as
delay reports arrived as LOAD lines, once a second, among loads a thousand times as large. When they were
taken for loads, the connections of an overloaded host counted as almost idle.) `MessageDelays.classify` tells
the two apart: a host sends its delay reports at intervals of one second, and few loads are that small.

Times are microseconds.
"""

from collections import deque
from dataclasses import dataclass, field

SECOND = 1_000_000
TOLERANCE = SECOND // 30  # how far the interval between delay reports may differ from whole seconds
HANG_CONFIRM_TIMEOUT = 2 * SECOND  # how long a suspected hang may wait for a silence that confirms it
MAX_DELAY = 60 * SECOND  # no delay report is larger
SERIES_TIME = 2 * SECOND + 2 * TOLERANCE  # three reports one second apart are delays, whatever their size
MAX_AWAITING_ECHO = 64  # sent lines whose times are kept, per connection


@dataclass(eq=False)
class ConnectionSignals:
    """What one connection shows of its host."""

    # when the lines that have no echo yet were sent
    awaiting_echo: deque = field(default_factory=lambda: deque(maxlen=MAX_AWAITING_ECHO))
    load: float = 0.0  # last reported; 0: not yet

    def line_sent(self, now, count):
        """Records that `count` lines are being sent."""
        self.awaiting_echo.extend([now] * min(count, MAX_AWAITING_ECHO))

    def line_written(self, issued_at, written_at):
        """Corrects the time of lines whose write was issued at `issued_at` and done at `written_at`.

        The time in between was spent in this node, not at the host.
        """
        for n, sent in enumerate(self.awaiting_echo):
            if sent == issued_at:
                self.awaiting_echo[n] = max(sent, written_at)

    def echo_received(self):
        """Records an echo; returns when its line was sent, or None if no line was waiting for one."""
        return self.awaiting_echo.popleft() if self.awaiting_echo else None

    def oldest_after(self, after):
        """When the oldest line without an echo was sent, of those sent after `after`, or None."""
        return next((sent for sent in self.awaiting_echo if sent > after), None)


@dataclass(eq=False)
class LoadLine:
    """A LOAD line that may still turn out to be a delay report."""

    when: int
    delay: int  # its value, taken as a delay
    signals: ConnectionSignals
    previous_load: float  # the load of its connection before it
    withheld: bool  # not reported as a load yet, since it is small for one


@dataclass(eq=False)
class MessageDelays:
    """What this node knows of the delay of one host's messages."""

    slow_threshold: int  # shorter delays are normal; a third of the shortest message target
    connected_since: int = -10 * SECOND  # since when this node has established connections there
    last_echoed: int = -1  # when the latest line that got its echo was sent, on any connection
    # the last delay passed to the balancer that was measured by a silence or a late echo
    reported_at: int = -SECOND
    reported_slow: bool = False  # it was over the threshold
    # the last delay report of the host
    last_delay_at: int = -1
    reported_delay: int = 0  # its value; 0 once it is below the threshold
    report_phase: int = -1  # when a delay report came; others come whole seconds later; -1: not known
    unconfirmed: LoadLine = None  # a first delay report accepted for its size alone; the next second decides
    candidates: deque = field(default_factory=lambda: deque(maxlen=32))  # of the last two seconds
    # (signals of the connection, its load before) of delays that were reported as loads
    misread_loads: list = field(default_factory=list)
    # LOAD lines that are either loads or reports of a hang: (when, delay, signals of the connection, its load
    # before, silence from which it is accepted as a hang).
    suspected_hangs: deque = field(default_factory=lambda: deque(maxlen=8))

    def undecided(self):
        """Whether the passing of time alone may change an interpretation."""
        return bool(self.reported_delay or self.candidates or self.suspected_hangs)

    def silence(self, now, connections):
        """How long the host has been silent, and the item of `connections` (with `signals`) that shows it.

        It is the age of the oldest line without an echo, of those sent after the last line that got one on
        any connection: a single dead connection must not make its host look hung.
        """
        oldest = [
            (sent, n, conn)
            for n, conn in enumerate(connections)
            if (sent := conn.signals.oldest_after(self.last_echoed)) is not None
        ]
        sent, _, conn = min(oldest, default=(now, 0, None))
        return now - sent, conn

    def classify(self, now, signals, value, silent_for, mean_load):
        """The delay of messages if `LOAD value` is a delay report, None if it is a load, 0 if not clear yet.

        `silent_for`: how long the host has been silent; `mean_load`: the mean of the reported loads.
        """
        delay, slow = round(value * 1000), self.slow_threshold
        if delay > MAX_DELAY:  # in a silence it would be accepted, and the load would be lost
            return None
        line = LoadLine(now, delay, signals, signals.load, value < (signals.load or mean_load) / 4)
        # A backlog grows by at most a second per second. A larger delay means that the host answers nothing,
        # and then its echoes are missing too. A host that was connected just now may have any backlog.
        can_be_backlog = delay <= (self.reported_delay or slow) + SECOND
        is_plausible = (
            can_be_backlog
            or silent_for > slow
            or line.withheld
            and now - self.connected_since <= SECOND + TOLERANCE
        )
        due = self.report_phase >= 0 and is_whole_seconds(now - self.report_phase)
        if due and (delay > slow or self.reported_delay) and is_plausible:
            return self.accept_delay(now, delay)
        if any(line.withheld and other.withheld or self.follows(other) for other in self.predecessors(line)):
            return self.accept_delay(now, delay)
        if any(
            is_whole_seconds(now - when) and abs(delay - suspected_delay - now + when) <= TOLERANCE
            for when, suspected_delay, *_ in self.suspected_hangs
        ):
            return self.accept_delay(now, delay)  # grown by exactly the time passed: the host hangs
        # The balancer does not react yet to a single delay that short, and no load falls that far at once.
        if (
            self.report_phase < 0
            and line.withheld
            and delay > slow
            and is_plausible
            and (delay < 12 * slow or value < signals.load / 100)
        ):
            accepted = self.accept_delay(now, delay)
            self.unconfirmed = line
            return accepted
        if not can_be_backlog and (self.report_phase < 0 or due):
            self.suspected_hangs.append((now, delay, signals, signals.load, 3 * slow if due else SECOND // 2))
        self.candidates.append(line)
        return 0 if line.withheld else None

    def predecessors(self, line):
        """The candidates one second earlier that may be the delay report before `line`."""
        return [
            other
            for other in self.candidates
            if abs(line.when - other.when - SECOND) <= TOLERANCE
            and other.delay > self.slow_threshold
            and line.delay <= other.delay + SECOND
        ]

    def follows(self, line):
        """Whether `line` may continue a series of delay reports."""
        return any(self.predecessors(line))

    def accept_delay(self, now, delay):
        """Records a delay report, and finds earlier ones that were taken for loads; returns the delay."""
        self.last_delay_at = self.report_phase = now
        self.reported_delay, self.unconfirmed = delay if delay > self.slow_threshold else 0, None
        self.suspected_hangs.clear()
        # latest first, so that each connection ends with the load before its first misread line
        for line in reversed([line for line in self.candidates if is_whole_seconds(now - line.when)]):
            self.candidates.remove(line)
            if not line.withheld and line.previous_load:
                self.misread_loads.append((line.signals, line.previous_load))
        return delay

    def confirmed_hang(self, now, silent_for):
        """The suspected hang that a silence confirms, or None.

        Returns (delay, signals of the connection, its load before). `silent_for`: how long the host has been
        silent.
        """
        while self.suspected_hangs and now - self.suspected_hangs[0][0] > HANG_CONFIRM_TIMEOUT:
            self.suspected_hangs.popleft()
        for when, delay, signals, load, needed_silence in self.suspected_hangs:
            if silent_for >= needed_silence:
                self.accept_delay(when, delay)
                return delay + now - when, signals, load
        return None

    def resolved_loads(self, now):
        """Lines that turned out to be loads and were not reported yet: (signals of the connection, load)."""
        found = []
        # Delay reports come every second until messages are fast again. One without a successor was a load.
        if self.reported_delay and now - self.last_delay_at > SECOND + SECOND // 2:
            if self.unconfirmed:
                found.append(self.unconfirmed)
                self.report_phase = -1
            self.reported_delay, self.unconfirmed = 0, None
        while self.candidates and now - self.candidates[0].when > SERIES_TIME:
            self.candidates.popleft()
        for line in self.candidates:
            if line.withheld and now - line.when > SECOND + 2 * TOLERANCE:
                line.withheld = False
                found.append(line)
        return [(line.signals, line.delay / 1000) for line in found]


def is_whole_seconds(span):
    """Whether a time span is a whole number of seconds, within the tolerance of delay reports."""
    return (span + TOLERANCE) % SECOND <= 2 * TOLERANCE and span > TOLERANCE
