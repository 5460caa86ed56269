"""What a host's messages take, as its connections show it.

Two things tell it. A line that has no echo has waited so long at least. And a `LOAD X` line may carry either of
the simulator's two notes, for the line does not say which: the load of its connection in microseconds a second,
or the milliseconds that a message takes at the host (seen on the bench: the same figures that the simulator
gives as its second note came as LOAD lines, once a second, among loads a thousand times as large; taken for loads,
they made the connections of a jammed host weigh nothing). `Notes.delay` tells the two apart.
"""
from collections import deque
from dataclasses import dataclass, field

SECOND = 1_000_000
SLOP = SECOND // 20                # how far a word may stray from its second
DOUBT = 2 * SECOND                 # how long a claim may wait for a silence that confirms it
HELD = 64                          # lines under way whose times are kept


@dataclass(eq=False)
class Heard:
    """What one connection has told."""
    waiting: deque = field(default_factory=lambda: deque(maxlen=HELD))    # when lines without an echo were sent
    load: float = 0.0              # last told; 0: not yet

    def sent(self, now, count):
        self.waiting.extend([now] * min(count, HELD))

    def echoed(self):
        """An echo has come: when its line was sent, None if no line was out."""
        return self.waiting.popleft() if self.waiting else None

    def oldest(self, after):
        """When the oldest line that has no echo was sent, of those sent after `after`; None if there is none."""
        return next((sent for sent in self.waiting if sent > after), None)


@dataclass(eq=False)
class Notes:
    """What this node has heard of one host's messages."""
    slow_from: int                 # shorter is no news: a third of the shortest message target
    answered: int = -1             # when the latest line that got its echo was sent, on any connection
    told_at: int = -SECOND         # by silence or a late echo: the last word passed on
    over: bool = False             # and it was over the threshold
    word_at: int = -1              # the host's own words on its messages: the last; -1: none, its step is unknown
    word: int = 0                  # what it said, 0 once it is back under
    doubt: tuple = None            # (when, value, connection): a word or a load, the next second will tell
    # Each a hang or a load: (when, took, connection, its load before, silence needed to believe it).
    claims: deque = field(default_factory=lambda: deque(maxlen=8))

    def waited(self, now, connections):
        """How long the host has been silent, and on which of `connections` (they have `heard`): the age of the
        oldest line without an echo, later ones on other connections without one too. One connection that is
        dead by itself must not make its host look hung."""
        out = [(sent, n, one) for n, one in enumerate(connections)
               if (sent := one.heard.oldest(self.answered)) is not None]
        sent, _, one = min(out, default=(now, 0, None))
        return now - sent, one

    def delay(self, now, heard, value, waited):
        """What messages take if `LOAD value` is a word on them, None if it is a load, 0 if that is not clear yet.
        `waited`: how long the host has been silent."""
        took, slow = round(value * 1000), self.slow_from
        if not heard.load:                             # a connection tells its load first
            return None
        first, low = self.word_at < 0, value < heard.load / 4
        in_step = not first and one_second(now - self.word_at)
        # What is piled up grows by the second at most, or the host answers nothing: then its echoes stop too.
        grown = took <= (self.word or slow) + SECOND
        if in_step and (took > slow or self.word) and (grown or waited > slow):
            return self.take(now, took)
        if low and self.doubt and one_second(now - self.doubt[0]):
            return self.take(now, took)
        if any(one_second(now - when) and abs(took - claimed - now + when) <= SLOP
               for when, claimed, *_ in self.claims):
            return self.take(now, took)                # grown by just the time passed: it answers nothing
        if first and low and slow < took and grown:
            # The module does nothing yet on a first word so small; and loads don't fall so deep at once.
            if took < 12 * slow or value < heard.load / 32:
                return self.take(now, took)
            self.doubt = self.doubt or (now, value, heard)
            return 0 if self.doubt[0] == now else None
        if not grown and (first or in_step):
            self.claims.append((now, took, heard, heard.load, 3 * slow if in_step else SECOND // 2))
        return None

    def take(self, now, took):
        self.word_at, self.word, self.doubt = now, took if took > self.slow_from else 0, None
        self.claims.clear()
        return took

    def confirmed(self, now, waited):
        """A claim that a silence bears out: (what messages take, the connection, its load before), else None."""
        while self.claims and now - self.claims[0][0] > DOUBT:
            self.claims.popleft()
        for when, took, heard, load, silence in self.claims:
            if waited >= silence:
                self.take(when, took)
                return took + now - when, heard, load
        return None

    def lapsed(self, now):
        """Words come each second until messages are quick again: one with none after it was a load after all.
        Gives (connection, load) where that was not told yet."""
        if self.word and now - self.word_at > SECOND + SECOND // 2:
            self.word_at, self.word = -1, 0
        if self.doubt and now - self.doubt[0] > SECOND + 2 * SLOP:
            _, value, heard = self.doubt
            self.doubt = None
            return heard, value
        return None


def one_second(span):
    """Whether that is a whole number of seconds, as near as such words come."""
    return (span + SLOP) % SECOND <= 2 * SLOP and span > SLOP
