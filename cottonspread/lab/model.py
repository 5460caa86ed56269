"""A farm server's behaviour, pure: (state, time, event) to effects.

No clock, socket, thread or chance of its own.

A fluid queue: work is microseconds of one core. What stands costs its load every second, and its group's cost
once a server; a set-up costs its work once. What the cores cannot do in time piles up, and every line waits
behind the pile. `chance` is a numpy Generator; the same one and the same events give the same effects.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

SECOND = 1_000_000


class Traits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a server can bear. Times in the unit of their name; loads in microseconds of work a second."""

    cores: float = 2.0
    speed: float = 1.0
    room: int = 600  # connections, set-ups included
    setup_us: float = 2400.0  # work of one set-up
    group_us: float = 2000.0  # each group that it holds any of, a second
    message_us: int = 300  # what a line takes on an idle server
    change_s: float = 8.0  # mean time between changes of a connection's load
    load_sigma: float = 0.5  # of the logarithm of loads round their type's mean
    cold_share: float = 0.2  # what it can do just after a start
    warm_s: float = 15.0
    tip_multiple: float = (
        3.0  # sent more than so many times what it can do for so long, it goes down for good
    )
    tip_s: float = 3.0
    drain: str = "paced"  # how it sees its clients off: paced, at-once or none
    drain_s: float = 2.0  # paced: over so long
    cancels: bool = True  # a leg given up before its turn never runs
    tells_load: bool = True


# Effects


@dataclass(frozen=True, slots=True)
class Say:
    at: int
    conn: object
    line: bytes


@dataclass(frozen=True, slots=True)
class Close:
    at: int
    conn: object
    how: str  # "end" or "reset"


@dataclass(frozen=True, slots=True)
class Door:
    """How the address takes connections from now on: open, refused or vanished (silent, never up)."""

    state: str


@dataclass(frozen=True, slots=True)
class Note:
    """For the record: what the audit reads."""

    kind: str
    conn: object = None
    value: object = None


@dataclass(eq=False, slots=True)
class Standing:
    """A connection from its first line on."""

    type: str
    group: str
    load: float
    mean: float
    ran: bool = False
    turn: int = 0  # when its set-up is done
    last: int = 0  # when its last line goes out: lines keep their order
    changes: int = 0


@dataclass(eq=False)
class Host:
    traits: Traits
    loads: dict  # traffic type: mean load
    chance: object
    now: int = 0
    started: int = 0  # 0: warm since long ago
    state: str = "up"  # up, draining, down, tipped
    pile: float = 0.0  # work waiting
    slow: float = 1.0
    stuck: int = 0  # hangs until then
    deaf: bool = False  # half-dead or vanished: takes everything, answers nothing
    load: float = 0.0
    conns: dict = field(default_factory=dict)
    groups: Counter = field(default_factory=Counter)
    pushed: deque = field(default_factory=deque)  # (time, work) sent to it while cold
    setups: int = 0
    store: int = 0  # what all set-ups wait for besides, in microseconds: a store, perhaps

    def share(self):
        """Which part of its work it can do: rises evenly from the cold share."""
        t, age = self.traits, self.now - self.started
        if not self.started or age >= t.warm_s * SECOND:
            return 1.0
        return t.cold_share + (1 - t.cold_share) * max(0, age) / (t.warm_s * SECOND)

    def capacity(self):
        """Work a microsecond."""
        return self.traits.cores * self.traits.speed * self.share() / self.slow

    def demand(self):
        """Work a microsecond that stands on it."""
        return (self.load + self.traits.group_us * len(self.groups)) / SECOND

    def pass_time(self, now):
        span = now - self.now
        if span <= 0:
            return
        hung = max(0, min(now, self.stuck) - self.now)
        self.pile += self.demand() * hung
        self.pile = max(0.0, self.pile + (self.demand() - self.capacity()) * (span - hung))
        self.now = now

    def report(self, now):
        """What a probe is told, as (name, value): load asked over what it can do,
        seconds of work piled up, connections.
        """
        self.pass_time(now)
        capacity = self.capacity()
        return (
            (b"x0", self.demand() / capacity),
            (b"x1", self.pile / capacity / SECOND),
            (b"outstanding", len(self.conns)),
        )

    def done(self, work=0.0):
        """When work that comes now is through."""
        return (
            max(self.now, self.stuck) + round((self.pile + work) / self.capacity()) + self.traits.message_us
        )

    # Events

    def first(self, now, conn, opening):
        """A leg's first line is whole."""
        self.pass_time(now)
        work = self.traits.setup_us * (0.5 + self.chance.random())
        out = self.push(work)
        if self.state in ("down", "tipped"):
            return out + [Close(now, conn, "reset")]
        if self.deaf:
            return out + [Note("swallowed", conn)]
        if self.state == "draining" or len(self.conns) >= self.traits.room:
            return out + [
                Note("full", conn),
                Say(now + self.traits.message_us, conn, b"BUSY"),
                Close(now + self.traits.message_us, conn, "end"),
            ]
        mean = self.loads.get(opening.type, 1000.0)
        sigma = self.traits.load_sigma
        load = mean * float(self.chance.lognormal(-sigma * sigma / 2, sigma)) if sigma else mean
        standing = self.conns[conn] = Standing(opening.type, opening.group or opening.key, load, mean)
        self.pile += work
        turn = standing.turn = standing.last = self.done() + self.store
        if opening.wait_ms and turn - now > opening.wait_ms * 1000:
            late = now + opening.wait_ms * 1000  # its client's time is up before its turn
            self.conns.pop(conn)
            return out + [Note("late", conn), Say(late, conn, b"BUSY"), Close(late, conn, "end")]
        return out + [Note("turn", conn, turn)]

    def push(self, work):
        """A cold server that is sent too much goes down for good."""
        t = self.traits
        if self.share() >= 1 or not t.tip_multiple:
            return []
        window = t.tip_s * SECOND
        self.pushed.append((self.now, work))
        while self.pushed and self.pushed[0][0] < self.now - window:
            self.pushed.popleft()
        sent = sum(w for _, w in self.pushed) + self.demand() * min(window, self.now - self.started)
        if sent <= t.tip_multiple * t.cores * t.speed * self.share() * window:
            return []
        self.state = "tipped"
        return [Note("tipped", None, round(sent)), Door("refused")] + self.drop_all("reset")

    def run(self, now, conn):
        """A set-up's turn has come: UP, and its load from now on."""
        self.pass_time(now)
        standing = self.conns.get(conn)
        if standing is None or standing.ran or self.deaf:
            return []
        if now < self.stuck:  # it hangs meanwhile: its turn is later
            standing.turn = self.done()
            return [Note("turn", conn, standing.turn)]
        standing.ran = True
        self.load += standing.load
        self.groups[standing.group] += 1
        self.setups += 1
        out = [
            Note("ran", conn, round(standing.load)),
            Say(now, conn, b"UP %x" % (self.setups * 65536 + (now & 65535))),
        ]
        if self.state == "draining":
            out += [Say(now, conn, b"MOVE"), Close(now, conn, "end")]
        elif self.traits.tells_load:
            out += [Say(now, conn, b"LOAD %d" % standing.load), self.next_change(conn)]
        return out

    def next_change(self, conn):
        return Note(
            "change", conn, self.now + round(self.chance.exponential(self.traits.change_s) * SECOND) + 1
        )

    def change(self, now, conn):
        """A connection's load changes."""
        self.pass_time(now)
        standing = self.conns.get(conn)
        if standing is None or not standing.ran or self.deaf or self.state == "tipped":
            return []
        sigma = self.traits.load_sigma
        load = standing.mean * float(self.chance.lognormal(-sigma * sigma / 2, sigma))
        self.load += load - standing.load
        standing.load = load
        standing.last = max(standing.last, self.done())
        return [
            Note("load", conn, round(load)),
            Say(standing.last, conn, b"LOAD %d" % load),
            self.next_change(conn),
        ]

    def line(self, now, conn, line):
        """A line after the first: its echo, behind all that is piled up."""
        self.pass_time(now)
        standing = self.conns.get(conn)
        if standing is None or self.deaf:
            return []
        standing.last = max(standing.last, self.done())
        if line == b"BYE":
            return [Say(standing.last, conn, b"BYE"), Close(standing.last, conn, "end")]
        return [Say(standing.last, conn, line)]

    def ended(self, now, conn):
        """The other side has ended it, or this one has."""
        self.pass_time(now)
        standing = self.conns.get(conn)
        if standing is None:
            return []
        if not standing.ran and not self.traits.cancels and not self.deaf:
            return []  # it runs all the same, for nobody
        del self.conns[conn]
        if standing.ran:
            self.load -= standing.load
            self.groups -= Counter([standing.group])
        else:
            self.pile = max(0.0, self.pile - self.traits.setup_us)
        return []

    def drop_all(self, how):
        out = [Close(self.now, conn, how) for conn in self.conns]
        self.conns.clear()
        self.groups.clear()
        self.load = self.pile = 0.0
        return out

    def fault(self, now, kind, span=0, factor=1.0):
        """`span` in microseconds. Those that last are over with `mend`."""
        self.pass_time(now)
        if self.state == "tipped":
            return []
        if kind == "hang":
            self.stuck = max(self.stuck, now + span)
        elif kind == "slow":
            self.slow = factor
        elif kind == "jam":
            self.pile += span * self.capacity()
        elif kind == "reset":
            return self.drop_all("reset")
        elif kind == "refuse":
            return [Door("refused")]
        elif kind in ("vanish", "half-dead"):
            self.deaf = True
            return [Door("vanished")] if kind == "vanish" else []
        elif kind == "cold":
            self.state = "down"
            return [Door("refused")] + self.drop_all("reset")
        elif kind == "drain":
            self.state = "draining"
            return self.see_off()
        else:
            raise ValueError(f"no fault of a host: {kind}")
        return []

    def see_off(self):
        standing = [conn for conn, s in self.conns.items() if s.ran]
        if self.traits.drain == "none":
            return []
        span = self.traits.drain_s * SECOND if self.traits.drain == "paced" else 0
        out = []
        for n, conn in enumerate(standing):
            at = max(self.now + round(span * n / len(standing)), self.conns[conn].last)
            out += [Say(at, conn, b"MOVE"), Close(at, conn, "end")]
        return out

    def mend(self, now, kind):
        """The end of a fault that lasts."""
        self.pass_time(now)
        if self.state == "tipped":
            return []
        if kind == "slow":
            self.slow = 1.0
        elif kind == "refuse":
            return [Door("open")]
        elif kind == "half-dead":
            self.deaf = False
        elif kind in ("vanish", "cold", "join"):
            out = self.drop_all("reset")
            self.deaf, self.state, self.started = False, "up", now
            self.pushed.clear()
            return [*out, Door("open"), Note("started", None, now)]
        elif kind == "drain":
            self.state = "down"
            return [Door("refused")] + self.drop_all("end")
        return []
