"""What a node keeps: chance, counts over time, servers, calls and their legs. No decisions here."""

from collections import Counter
from dataclasses import dataclass, field
from zlib import crc32

from cottonspread import interface as io
from cottonspread.interface import Ending, State

SECOND = 1_000_000


class Chance:
    """Draws that depend on the node's seed and on how many came before."""

    def __init__(self, seed):
        self.seed, self.drawn = seed, 0

    def below(self, n):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) * n >> 32


class Ring:
    """A count over the last `buckets` stretches of `width`, in buckets that are used again."""

    def __init__(self, width, buckets):
        self.width, self.counts, self.stamps = width, [0] * buckets, [-1] * buckets

    def add(self, now, amount=1):
        stamp = now // self.width
        at = stamp % len(self.counts)
        if self.stamps[at] != stamp:
            self.stamps[at], self.counts[at] = stamp, 0
        self.counts[at] += amount

    def kept(self, now, span):
        """(when, amount) of each bucket that `total` would count, the oldest first."""
        oldest = (now - span) // self.width
        return sorted((s * self.width, c) for c, s in zip(self.counts, self.stamps) if c and s >= oldest)

    def total(self, now, span):
        oldest = (now - span) // self.width
        return sum(c for c, s in zip(self.counts, self.stamps) if s >= oldest)


@dataclass(eq=False)
class Host:
    """One server as this node knows it."""

    name: object
    entry: io.Entry
    size: float = 1.0  # nominal, for its turn in the rotation
    asked: float = 0.0  # load asked of it over what it can do, as a probe told
    asked_at: int = -60 * SECOND
    legs: dict = field(default_factory=dict)  # legs out or standing, in order of sending
    setups: int = 0  # of these, not yet answered
    groups: Counter = field(default_factory=Counter)
    load: int = 0  # what its legs and groups weigh here, see `Loads`
    turn: float = 0.0  # rotation: part of a turn saved up
    answers: int = 0  # since it last started
    drawn_at: int = -60 * SECOND  # cold: when chance was last asked for a leg to it
    aside_until: int = 0  # health: no leg before this
    shut_until: int = 0  # found not open to new keys: not looked at again before
    trickle: int = 0  # health: legs allowed in a trickle period; 0: no limit
    rest: int = 0
    delay: int = 0  # what messages took, and when that was told
    delay_at: int = -10 * SECOND
    same: int = 0  # health: words in a row that said the same
    slow_from: int = 0  # health: slow in every word since then; 0: not slow
    hung: bool = False  # health: seen to hang, and not yet quick again
    broke_at: int = -10 * SECOND  # health: when a standing connection last broke
    ceiling: float = 0.0  # overload: load it may hold from here; 0: no limit
    cut_at: int = -10 * SECOND
    drains: bool = False  # told to, and its clients are to leave
    sends_away: bool = False  # and it asks them to itself
    sent: Ring = field(default_factory=lambda: Ring(SECOND // 4, 64))  # legs, over up to 16 s

    @property
    def up(self):
        return self.entry.state is State.UP


@dataclass(eq=False)
class Leg:
    call: "Call"
    number: int
    host: Host
    sent: int
    told: float = 0.0  # its load as told; 0: not told
    load: int = 0  # what it weighs, see `Loads`
    accepted: bool = False
    moved: bool = False
    ending: Ending = None


@dataclass(eq=False)
class Call:
    id: object
    type: io.TrafficType
    key: object
    group: object
    guard: int  # when this try is given up by its client
    returned: bool
    legs: list = field(default_factory=list)
    path: object = None
    most_legs: int = 1
    bound: float = 0.0  # a server asked for more is passed over, see `Readings`
    probes: int = 0
    asked: Host = None  # whose probe it waited for: within the cold budget then
    drawn: Host = None  # the fresh server that it is for, within the cold budget
    ended: bool = False
