"""A farm server's behaviour, pure: (state, time, event) to effects.

No clock, socket, thread or chance of its own.

A fluid queue: work is microseconds of one core. What stands costs its load every second, and its group's cost
once a server; a set-up costs its work once. What the cores cannot do in time piles up, and every line waits
behind the backlog. `rng` is a numpy Generator; the same one and the same events give the same effects.
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
class SendLine:
    at: int
    conn: object
    line: bytes


@dataclass(frozen=True, slots=True)
class Close:
    at: int
    conn: object
    how: str  # "end" or "reset"


@dataclass(frozen=True, slots=True)
class AddressChange:
    """How the address takes connections from now on: open, refused or vanished (silent, never up)."""

    state: str


@dataclass(frozen=True, slots=True)
class HostEvent:
    """For the record: what the audit reads."""

    kind: str
    conn: object = None
    value: object = None


@dataclass(eq=False, slots=True)
class Connection:
    """A connection from its first line on."""

    type: str
    group: str
    load: float
    mean: float
    ran: bool = False
    setup_done_at: int = 0  # when its set-up is done
    last_line_at: int = 0  # when its last line goes out: lines keep their order
    changes: int = 0


@dataclass(eq=False)
class Host:
    traits: Traits
    loads: dict  # traffic type: mean load
    rng: object
    now: int = 0
    started: int = 0  # 0: warm since long ago
    state: str = "up"  # up, draining, down, tipped
    backlog: float = 0.0  # work waiting
    slow: float = 1.0
    hung_until: int = 0  # hangs until then
    unresponsive: bool = False  # half-dead or vanished: takes everything, answers nothing
    load: float = 0.0
    conns: dict = field(default_factory=dict)
    groups: Counter = field(default_factory=Counter)
    cold_work: deque = field(default_factory=deque)  # (time, work) sent to it while cold
    setups: int = 0
    extra_setup_delay: int = 0  # what all set-ups wait for besides, in microseconds: a store, perhaps

    def capacity_share(self):
        """Which part of its work it can do: rises evenly from the cold share."""
        t, age = self.traits, self.now - self.started
        if not self.started or age >= t.warm_s * SECOND:
            return 1.0
        return t.cold_share + (1 - t.cold_share) * max(0, age) / (t.warm_s * SECOND)

    def capacity(self):
        """Work a microsecond."""
        return self.traits.cores * self.traits.speed * self.capacity_share() / self.slow

    def demand(self):
        """Work a microsecond that stands on it."""
        return (self.load + self.traits.group_us * len(self.groups)) / SECOND

    def advance(self, now):
        span = now - self.now
        if span <= 0:
            return
        hung = max(0, min(now, self.hung_until) - self.now)
        self.backlog += self.demand() * hung
        self.backlog = max(0.0, self.backlog + (self.demand() - self.capacity()) * (span - hung))
        self.now = now

    def load_report(self, now):
        """What a probe is told, as (name, value): load asked over what it can do,
        seconds of work piled up, connections.
        """
        self.advance(now)
        capacity = self.capacity()
        return (
            (b"x0", self.demand() / capacity),
            (b"x1", self.backlog / capacity / SECOND),
            (b"outstanding", len(self.conns)),
        )

    def work_done_at(self, work=0.0):
        """When work that comes now is through."""
        return (
            max(self.now, self.hung_until)
            + round((self.backlog + work) / self.capacity())
            + self.traits.message_us
        )

    # Events

    def on_first_line(self, now, conn, request):
        """A leg's first line is whole."""
        self.advance(now)
        work = self.traits.setup_us * (0.5 + self.rng.random())
        out = self.add_cold_work(work)
        if self.state in ("down", "tipped"):
            return out + [Close(now, conn, "reset")]
        if self.unresponsive:
            return out + [HostEvent("swallowed", conn)]
        if self.state == "draining" or len(self.conns) >= self.traits.room:
            return out + [
                HostEvent("full", conn),
                SendLine(now + self.traits.message_us, conn, b"BUSY"),
                Close(now + self.traits.message_us, conn, "end"),
            ]
        mean = self.loads.get(request.type, 1000.0)
        sigma = self.traits.load_sigma
        load = mean * float(self.rng.lognormal(-sigma * sigma / 2, sigma)) if sigma else mean
        connection = self.conns[conn] = Connection(request.type, request.group or request.key, load, mean)
        self.backlog += work
        setup_done_at = connection.setup_done_at = connection.last_line_at = (
            self.work_done_at() + self.extra_setup_delay
        )
        if request.wait_ms and setup_done_at - now > request.wait_ms * 1000:
            late = now + request.wait_ms * 1000  # its client's time is up before its turn
            self.conns.pop(conn)
            return out + [HostEvent("late", conn), SendLine(late, conn, b"BUSY"), Close(late, conn, "end")]
        return out + [HostEvent("turn", conn, setup_done_at)]

    def add_cold_work(self, work):
        """A cold server that is sent too much goes down for good."""
        t = self.traits
        if self.capacity_share() >= 1 or not t.tip_multiple:
            return []
        window = t.tip_s * SECOND
        self.cold_work.append((self.now, work))
        while self.cold_work and self.cold_work[0][0] < self.now - window:
            self.cold_work.popleft()
        sent = sum(w for _, w in self.cold_work) + self.demand() * min(window, self.now - self.started)
        if sent <= t.tip_multiple * t.cores * t.speed * self.capacity_share() * window:
            return []
        self.state = "tipped"
        return [HostEvent("tipped", None, round(sent)), AddressChange("refused")] + self.close_all("reset")

    def finish_setup(self, now, conn):
        """A set-up's turn has come: UP, and its load from now on."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None or connection.ran or self.unresponsive:
            return []
        if now < self.hung_until:  # it hangs meanwhile: its turn is later
            connection.setup_done_at = self.work_done_at()
            return [HostEvent("turn", conn, connection.setup_done_at)]
        connection.ran = True
        self.load += connection.load
        self.groups[connection.group] += 1
        self.setups += 1
        out = [
            HostEvent("ran", conn, round(connection.load)),
            SendLine(now, conn, b"UP %x" % (self.setups * 65536 + (now & 65535))),
        ]
        if self.state == "draining":
            out += [SendLine(now, conn, b"MOVE"), Close(now, conn, "end")]
        elif self.traits.tells_load:
            out += [SendLine(now, conn, b"LOAD %d" % connection.load), self.next_change(conn)]
        return out

    def next_change(self, conn):
        return HostEvent(
            "change", conn, self.now + round(self.rng.exponential(self.traits.change_s) * SECOND) + 1
        )

    def change_load(self, now, conn):
        """A connection's load changes."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None or not connection.ran or self.unresponsive or self.state == "tipped":
            return []
        sigma = self.traits.load_sigma
        load = connection.mean * float(self.rng.lognormal(-sigma * sigma / 2, sigma))
        self.load += load - connection.load
        connection.load = load
        connection.last_line_at = max(connection.last_line_at, self.work_done_at())
        return [
            HostEvent("load", conn, round(load)),
            SendLine(connection.last_line_at, conn, b"LOAD %d" % load),
            self.next_change(conn),
        ]

    def on_line(self, now, conn, line):
        """A line after the first: its echo, behind all that is piled up."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None or self.unresponsive:
            return []
        connection.last_line_at = max(connection.last_line_at, self.work_done_at())
        if line == b"BYE":
            return [
                SendLine(connection.last_line_at, conn, b"BYE"),
                Close(connection.last_line_at, conn, "end"),
            ]
        return [SendLine(connection.last_line_at, conn, line)]

    def on_end(self, now, conn):
        """The other side has ended it, or this one has."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None:
            return []
        if not connection.ran and not self.traits.cancels and not self.unresponsive:
            return []  # it runs all the same, for nobody
        del self.conns[conn]
        if connection.ran:
            self.load -= connection.load
            self.groups -= Counter([connection.group])
        else:
            self.backlog = max(0.0, self.backlog - self.traits.setup_us)
        return []

    def close_all(self, how):
        out = [Close(self.now, conn, how) for conn in self.conns]
        self.conns.clear()
        self.groups.clear()
        self.load = self.backlog = 0.0
        return out

    def start_fault(self, now, kind, span=0, factor=1.0):
        """`span` in microseconds. Those that last are over with `mend`."""
        self.advance(now)
        if self.state == "tipped":
            return []
        if kind == "hang":
            self.hung_until = max(self.hung_until, now + span)
        elif kind == "slow":
            self.slow = factor
        elif kind == "jam":
            self.backlog += span * self.capacity()
        elif kind == "reset":
            return self.close_all("reset")
        elif kind == "refuse":
            return [AddressChange("refused")]
        elif kind in ("vanish", "half-dead"):
            self.unresponsive = True
            return [AddressChange("vanished")] if kind == "vanish" else []
        elif kind == "cold":
            self.state = "down"
            return [AddressChange("refused")] + self.close_all("reset")
        elif kind == "drain":
            self.state = "draining"
            return self.move_clients_off()
        else:
            raise ValueError(f"no fault of a host: {kind}")
        return []

    def move_clients_off(self):
        established = [conn for conn, s in self.conns.items() if s.ran]
        if self.traits.drain == "none":
            return []
        span = self.traits.drain_s * SECOND if self.traits.drain == "paced" else 0
        out = []
        for n, conn in enumerate(established):
            at = max(self.now + round(span * n / len(established)), self.conns[conn].last_line_at)
            out += [SendLine(at, conn, b"MOVE"), Close(at, conn, "end")]
        return out

    def end_fault(self, now, kind):
        """The end of a fault that lasts."""
        self.advance(now)
        if self.state == "tipped":
            return []
        if kind == "slow":
            self.slow = 1.0
        elif kind == "refuse":
            return [AddressChange("open")]
        elif kind == "half-dead":
            self.unresponsive = False
        elif kind in ("vanish", "cold", "join"):
            out = self.close_all("reset")
            self.unresponsive, self.state, self.started = False, "up", now
            self.cold_work.clear()
            return [*out, AddressChange("open"), HostEvent("started", None, now)]
        elif kind == "drain":
            self.state = "down"
            return [AddressChange("refused")] + self.close_all("end")
        return []
