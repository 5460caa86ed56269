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
SLOP = SECOND // 30  # how far a word may stray from its second
DOUBT = 2 * SECOND  # how long a claim may wait for a silence that confirms it
MOST = 60 * SECOND  # no word on messages is larger
CHAIN = 2 * SECOND + 2 * SLOP  # three words a second apart are known for words, whatever their size
HELD = 64  # lines under way whose times are kept


@dataclass(eq=False)
class ConnectionSignals:
    """What one connection has told."""

    waiting: deque = field(default_factory=lambda: deque(maxlen=HELD))  # when lines without an echo were sent
    load: float = 0.0  # last told; 0: not yet

    def sent(self, now, count):
        self.waiting.extend([now] * min(count, HELD))

    def written(self, ordered, at):
        """The lines ordered out at `ordered` went out at `at`: what the order lay here is not the host's."""
        for n, sent in enumerate(self.waiting):
            if sent == ordered:
                self.waiting[n] = max(sent, at)

    def echoed(self):
        """An echo has come: when its line was sent, None if no line was out."""
        return self.waiting.popleft() if self.waiting else None

    def oldest(self, after):
        """When the oldest line that has no echo was sent, of those sent after `after`;
        None if there is none.
        """
        return next((sent for sent in self.waiting if sent > after), None)


@dataclass(eq=False)
class Line:
    """A LOAD line that may yet turn out to be a word on messages."""

    when: int
    took: int  # what messages take, if it is one
    signals: ConnectionSignals
    before: float  # the load of its connection before it
    held: bool  # not told as a load yet: it is small for one


@dataclass(eq=False)
class MessageDelays:
    """What this node has heard of one host's messages."""

    slow_threshold: int  # shorter is no news: a third of the shortest message target
    connected_since: int = -10 * SECOND  # since when connections of this node stand there
    answered: int = -1  # when the latest line that got its echo was sent, on any connection
    told_at: int = -SECOND  # by silence or a late echo: the last word passed on
    over: bool = False  # and it was over the threshold
    word_at: int = -1  # the host's own words on its messages: the last
    reported_delay: int = 0  # what it said, 0 once it is back under
    beat: int = -1  # a time at which a word came: others come whole seconds from it; -1: not known
    alone: Line = None  # a first word believed by its size alone: the next second will tell
    candidates: deque = field(default_factory=lambda: deque(maxlen=32))  # of the last two seconds
    # (connection, its load before): told as loads, and were words
    misread_loads: list = field(default_factory=list)
    # Each a hang or a load: (when, took, connection, its load before, silence needed to believe it).
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
            if (sent := one.signals.oldest(self.answered)) is not None
        ]
        sent, _, one = min(out, default=(now, 0, None))
        return now - sent, one

    def classify(self, now, signals, value, waited, usual):
        """What messages take if `LOAD value` is a word on them, None if it is a load, 0 if that is not clear
        yet. `waited`: how long the host has been silent; `usual`: the mean of the loads told.
        """
        took, slow = round(value * 1000), self.slow_threshold
        if took > MOST:  # in a silence it would be believed, and the load be lost
            return None
        line = Line(now, took, signals, signals.load, value < (signals.load or usual) / 4)
        # What is piled up grows by the second at most, or the host answers nothing: then its echoes stop too.
        # A host met just now may have piled up anything before.
        grown = took <= (self.reported_delay or slow) + SECOND
        fits = grown or waited > slow or line.held and now - self.connected_since <= SECOND + SLOP
        due = self.beat >= 0 and one_second(now - self.beat)
        if due and (took > slow or self.reported_delay) and fits:
            return self.accept_delay(now, took)
        if any(line.held and other.held or self.follows(other) for other in self.before(line)):
            return self.accept_delay(now, took)
        if any(
            one_second(now - when) and abs(took - claimed - now + when) <= SLOP
            for when, claimed, *_ in self.claims
        ):
            return self.accept_delay(now, took)  # grown by just the time passed: it answers nothing
        # The module does nothing yet on a first word so small; and loads don't fall so deep at once.
        if (
            self.beat < 0
            and line.held
            and took > slow
            and fits
            and (took < 12 * slow or value < signals.load / 100)
        ):
            taken = self.accept_delay(now, took)
            self.alone = line
            return taken
        if not grown and (self.beat < 0 or due):
            self.claims.append((now, took, signals, signals.load, 3 * slow if due else SECOND // 2))
        self.candidates.append(line)
        return 0 if line.held else None

    def before(self, line):
        """The lines of a second before that `line` may be the next word after."""
        return [
            other
            for other in self.candidates
            if abs(line.when - other.when - SECOND) <= SLOP
            and other.took > self.slow_threshold
            and line.took <= other.took + SECOND
        ]

    def follows(self, line):
        return any(self.before(line))

    def accept_delay(self, now, took):
        self.word_at = self.beat = now
        self.reported_delay, self.alone = took if took > self.slow_threshold else 0, None
        self.claims.clear()
        # the first load last
        for line in reversed([line for line in self.candidates if one_second(now - line.when)]):
            self.candidates.remove(line)
            if not line.held and line.before:
                self.misread_loads.append((line.signals, line.before))
        return took

    def confirmed_claim(self, now, waited):
        """A claim that a silence bears out: (what messages take, the connection, its load
        before), else None.
        """
        while self.claims and now - self.claims[0][0] > DOUBT:
            self.claims.popleft()
        for when, took, signals, load, silence in self.claims:
            if waited >= silence:
                self.accept_delay(when, took)
                return took + now - when, signals, load
        return None

    def resolved_loads(self, now):
        """What turned out to be loads: (connection, load) of each that was not told yet."""
        found = []
        # Words come each second until messages are quick again: one with none after it was a load after all.
        if self.reported_delay and now - self.word_at > SECOND + SECOND // 2:
            if self.alone:
                found.append(self.alone)
                self.beat = -1
            self.reported_delay, self.alone = 0, None
        while self.candidates and now - self.candidates[0].when > CHAIN:
            self.candidates.popleft()
        for line in self.candidates:
            if line.held and now - line.when > SECOND + 2 * SLOP:
                line.held = False
                found.append(line)
        return [(line.signals, line.took / 1000) for line in found]


def one_second(span):
    """Whether that is a whole number of seconds, as near as such words come."""
    return (span + SLOP) % SECOND <= 2 * SLOP and span > SLOP
