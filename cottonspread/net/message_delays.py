"""What a host's messages take, as its connections show it.

Two things tell it. A line that has no echo has waited so long at least. And a `LOAD X` line may carry either
of the simulator's two notes, for the line does not say which: the load of its connection in microseconds a
second, or the milliseconds that a message takes at the host (seen on the bench: the same figures that the
simulator gives as its second note came as LOAD lines, once a second, among loads a thousand times as large;
taken for loads, they made the connections of a jammed host weigh nothing). `MessageDelays.classify`
tells the two apart: words on messages come on the host's own beat, a second apart, and few loads are
that small.
"""

from collections import deque
from dataclasses import dataclass, field

SECOND = 1_000_000
TOLERANCE = SECOND // 30  # how far a word may stray from its second
CLAIM_TIMEOUT = 2 * SECOND  # how long a claim may wait for a silence that confirms it
MAX_DELAY = 60 * SECOND  # no word on messages is larger
CHAIN_TIME = 2 * SECOND + 2 * TOLERANCE  # three words a second apart are known for words, whatever their size
MAX_AWAITING_ECHO = 64  # lines under way whose times are kept


@dataclass(eq=False)
class ConnectionSignals:
    """What one connection has told."""

    awaiting_echo: deque = field(
        default_factory=lambda: deque(maxlen=MAX_AWAITING_ECHO)
    )  # when lines without an echo were sent
    load: float = 0.0  # last told; 0: not yet

    def line_sent(self, now, count):
        self.awaiting_echo.extend([now] * min(count, MAX_AWAITING_ECHO))

    def line_written(self, ordered, at):
        """The lines ordered out at `ordered` went out at `at`: what the order lay here is not the host's."""
        for n, sent in enumerate(self.awaiting_echo):
            if sent == ordered:
                self.awaiting_echo[n] = max(sent, at)

    def echo_received(self):
        """An echo has come: when its line was sent, None if no line was out."""
        return self.awaiting_echo.popleft() if self.awaiting_echo else None

    def oldest_after(self, after):
        """When the oldest line that has no echo was sent, of those sent after `after`;
        None if there is none.
        """
        return next((sent for sent in self.awaiting_echo if sent > after), None)


@dataclass(eq=False)
class LoadLine:
    """A LOAD line that may yet turn out to be a word on messages."""

    when: int
    delay: int  # what messages take, if it is one
    signals: ConnectionSignals
    previous_load: float  # the load of its connection before it
    withheld: bool  # not told as a load yet: it is small for one


@dataclass(eq=False)
class MessageDelays:
    """What this node has heard of one host's messages."""

    slow_threshold: int  # shorter is no news: a third of the shortest message target
    connected_since: int = -10 * SECOND  # since when connections of this node stand there
    last_echoed: int = -1  # when the latest line that got its echo was sent, on any connection
    reported_at: int = -SECOND  # by silence or a late echo: the last word passed on
    reported_slow: bool = False  # and it was over the threshold
    last_delay_at: int = -1  # the host's own words on its messages: the last
    reported_delay: int = 0  # what it said, 0 once it is back under
    report_phase: int = -1  # a time at which a word came: others come whole seconds from it; -1: not known
    unconfirmed: LoadLine = None  # a first word believed by its size alone: the next second will tell
    candidates: deque = field(default_factory=lambda: deque(maxlen=32))  # of the last two seconds
    # (connection, its load before): told as loads, and were words
    misread_loads: list = field(default_factory=list)
    # Each a hang or a load: (when, delay, connection, its load before, silence needed to believe it).
    claims: deque = field(default_factory=lambda: deque(maxlen=8))

    def undecided(self):
        """Whether time alone may change what is made of what was heard."""
        return bool(self.reported_delay or self.candidates or self.claims)

    def silence(self, now, connections):
        """How long the host has been silent, and on which of `connections` (they have `heard`): the age of
        the oldest line without an echo, later ones on other connections without one too. One connection that
        is dead by itself must not make its host look hung.
        """
        out = [
            (sent, n, one)
            for n, one in enumerate(connections)
            if (sent := one.signals.oldest_after(self.last_echoed)) is not None
        ]
        sent, _, one = min(out, default=(now, 0, None))
        return now - sent, one

    def classify(self, now, signals, value, waited, usual):
        """What messages take if `LOAD value` is a word on them, None if it is a load, 0 if that is not clear
        yet. `waited`: how long the host has been silent; `usual`: the mean of the loads told.
        """
        delay, slow = round(value * 1000), self.slow_threshold
        if delay > MAX_DELAY:  # in a silence it would be believed, and the load be lost
            return None
        line = LoadLine(now, delay, signals, signals.load, value < (signals.load or usual) / 4)
        # What is piled up grows by the second at most, or the host answers nothing: then its echoes stop too.
        # A host met just now may have piled up anything before.
        grown = delay <= (self.reported_delay or slow) + SECOND
        fits = grown or waited > slow or line.withheld and now - self.connected_since <= SECOND + TOLERANCE
        due = self.report_phase >= 0 and is_whole_seconds(now - self.report_phase)
        if due and (delay > slow or self.reported_delay) and fits:
            return self.accept_delay(now, delay)
        if any(line.withheld and other.withheld or self.follows(other) for other in self.predecessors(line)):
            return self.accept_delay(now, delay)
        if any(
            is_whole_seconds(now - when) and abs(delay - claimed - now + when) <= TOLERANCE
            for when, claimed, *_ in self.claims
        ):
            return self.accept_delay(now, delay)  # grown by just the time passed: it answers nothing
        # The module does nothing yet on a first word so small; and loads don't fall so deep at once.
        if (
            self.report_phase < 0
            and line.withheld
            and delay > slow
            and fits
            and (delay < 12 * slow or value < signals.load / 100)
        ):
            taken = self.accept_delay(now, delay)
            self.unconfirmed = line
            return taken
        if not grown and (self.report_phase < 0 or due):
            self.claims.append((now, delay, signals, signals.load, 3 * slow if due else SECOND // 2))
        self.candidates.append(line)
        return 0 if line.withheld else None

    def predecessors(self, line):
        """The lines of a second before that `line` may be the next word after."""
        return [
            other
            for other in self.candidates
            if abs(line.when - other.when - SECOND) <= TOLERANCE
            and other.delay > self.slow_threshold
            and line.delay <= other.delay + SECOND
        ]

    def follows(self, line):
        return any(self.predecessors(line))

    def accept_delay(self, now, delay):
        self.last_delay_at = self.report_phase = now
        self.reported_delay, self.unconfirmed = delay if delay > self.slow_threshold else 0, None
        self.claims.clear()
        # the first load last
        for line in reversed([line for line in self.candidates if is_whole_seconds(now - line.when)]):
            self.candidates.remove(line)
            if not line.withheld and line.previous_load:
                self.misread_loads.append((line.signals, line.previous_load))
        return delay

    def confirmed_claim(self, now, waited):
        """A claim that a silence bears out: (what messages take, the connection, its load
        before), else None.
        """
        while self.claims and now - self.claims[0][0] > CLAIM_TIMEOUT:
            self.claims.popleft()
        for when, delay, signals, load, silence in self.claims:
            if waited >= silence:
                self.accept_delay(when, delay)
                return delay + now - when, signals, load
        return None

    def resolved_loads(self, now):
        """What turned out to be loads: (connection, load) of each that was not told yet."""
        found = []
        # Words come each second until messages are quick again: one with none after it was a load after all.
        if self.reported_delay and now - self.last_delay_at > SECOND + SECOND // 2:
            if self.unconfirmed:
                found.append(self.unconfirmed)
                self.report_phase = -1
            self.reported_delay, self.unconfirmed = 0, None
        while self.candidates and now - self.candidates[0].when > CHAIN_TIME:
            self.candidates.popleft()
        for line in self.candidates:
            if line.withheld and now - line.when > SECOND + 2 * TOLERANCE:
                line.withheld = False
                found.append(line)
        return [(line.signals, line.delay / 1000) for line in found]


def is_whole_seconds(span):
    """Whether that is a whole number of seconds, as near as such words come."""
    return (span + TOLERANCE) % SECOND <= 2 * TOLERANCE and span > TOLERANCE
