"""The model of a host: a pure function from (state, time, event) to effects.

It has no clock, socket, thread or randomness of its own. `rng` is a numpy Generator; the same generator state
and the same events give the same effects.

A fluid queue: work is measured in microseconds of one core. Each established connection costs its load every
second, each group that the host holds any connection of costs a fixed amount every second, and each set-up
costs its work once. Work that exceeds the cores' capacity accumulates in a backlog, and every line waits
behind it.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

SECOND = 1_000_000


class Traits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A host's capacity and behaviour. Loads are in microseconds of work a second."""

    cores: float = 2.0
    speed: float = 1.0
    room: int = 600  # maximum number of connections, set-ups included
    setup_us: float = 2400.0  # work of one set-up
    group_us: float = 2000.0  # work a second for each group that it holds any connection of
    message_us: int = 300  # time that a line takes on an idle host
    change_s: float = 8.0  # mean time between changes of a connection's load
    load_sigma: float = 0.5  # standard deviation of the logarithm of loads around their type's mean
    cold_share: float = 0.2  # the share of its capacity that it has just after a start
    warm_s: float = 15.0  # time after a start until it has its full capacity
    # a cold host that is sent more than this multiple of its capacity over tip_s fails for good ("tipped")
    tip_multiple: float = 3.0
    tip_s: float = 3.0
    drain: str = "paced"  # how it moves its clients off when it drains: paced, at-once or none
    drain_s: float = 2.0  # paced: the time over which it moves them off
    cancels: bool = True  # a leg that is given up before its set-up is done never runs
    tells_load: bool = True  # reports the load of its connections by LOAD lines


# Effects


@dataclass(frozen=True, slots=True)
class SendLine:
    """Send a line on a connection at the time `at`."""

    at: int
    conn: object
    line: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close a connection at the time `at`."""

    at: int
    conn: object
    how: str  # "end" or "reset"


@dataclass(frozen=True, slots=True)
class AddressChange:
    """How the address treats new connections from now on: open, refused or vanished (no reply at all)."""

    state: str


@dataclass(frozen=True, slots=True)
class HostEvent:
    """An event for the record, which the audit reads; or, for "turn" and "change", a timer to set.

    "turn": a set-up is done at the time `value`; "change": a connection's load changes then.
    """

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
    setup_done_at: int = 0
    last_line_at: int = 0  # when its last line is sent; later lines are not sent before it
    changes: int = 0


@dataclass(eq=False)
class Host:
    """The state of a host. All times are microseconds of the caller's clock."""

    traits: Traits
    loads: dict  # traffic type: mean load
    rng: object
    now: int = 0
    started: int = 0  # 0: before the run, so that it is warm
    state: str = "up"  # up, draining, down, or tipped: failed for good under overload while cold
    backlog: float = 0.0  # work that waits
    slow: float = 1.0  # factor by which a fault slows it down
    hung_until: int = 0
    unresponsive: bool = False  # half-dead or vanished: reads everything, answers nothing
    load: float = 0.0
    conns: dict = field(default_factory=dict)
    groups: Counter = field(default_factory=Counter)
    cold_work: deque = field(default_factory=deque)  # (time, work) sent to it while cold
    setups: int = 0
    extra_setup_delay: int = 0  # microseconds that all set-ups wait for a dependency, such as a store

    def capacity_share(self):
        """Returns the share of its capacity that it has; it rises linearly after a start."""
        t, age = self.traits, self.now - self.started
        if not self.started or age >= t.warm_s * SECOND:
            return 1.0
        return t.cold_share + (1 - t.cold_share) * max(0, age) / (t.warm_s * SECOND)

    def capacity(self):
        """Returns the work that it can do in a microsecond."""
        return self.traits.cores * self.traits.speed * self.capacity_share() / self.slow

    def demand(self):
        """Returns the work that its connections and groups cost in a microsecond."""
        return (self.load + self.traits.group_us * len(self.groups)) / SECOND

    def advance(self, now):
        """Updates the backlog to the time `now`."""
        span = now - self.now
        if span <= 0:
            return
        hung = max(0, min(now, self.hung_until) - self.now)
        self.backlog += self.demand() * hung
        self.backlog = max(0.0, self.backlog + (self.demand() - self.capacity()) * (span - hung))
        self.now = now

    def load_report(self, now):
        """Returns the reply to a probe as (name, value): load ratio, backlog in seconds, connections."""
        self.advance(now)
        capacity = self.capacity()
        return (
            (b"x0", self.demand() / capacity),
            (b"x1", self.backlog / capacity / SECOND),
            (b"outstanding", len(self.conns)),
        )

    def work_done_at(self, work=0.0):
        """Returns when work that arrives now will be done."""
        return (
            max(self.now, self.hung_until)
            + round((self.backlog + work) / self.capacity())
            + self.traits.message_us
        )

    # Events

    def on_first_line(self, now, conn, request):
        """Handles a leg's complete first line."""
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
            late = now + request.wait_ms * 1000  # its client's time is up before the set-up is done
            self.conns.pop(conn)
            return out + [HostEvent("late", conn), SendLine(late, conn, b"BUSY"), Close(late, conn, "end")]
        return out + [HostEvent("turn", conn, setup_done_at)]

    def add_cold_work(self, work):
        """Counts the work that a cold host is sent; one that is sent too much fails for good."""
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
        """Completes a set-up: UP, and the connection's load from now on."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None or connection.ran or self.unresponsive:
            return []
        if now < self.hung_until:  # the host hangs: the set-up is done later
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
        if self.state == "draining" and self.traits.drain != "none":
            out += [SendLine(now, conn, b"MOVE"), Close(now, conn, "end")]
        elif self.traits.tells_load:
            out += [SendLine(now, conn, b"LOAD %d" % connection.load), self.next_change(conn)]
        return out

    def next_change(self, conn):
        """Returns the timer for the next change of a connection's load."""
        return HostEvent(
            "change", conn, self.now + round(self.rng.exponential(self.traits.change_s) * SECOND) + 1
        )

    def change_load(self, now, conn):
        """Changes a connection's load."""
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
        """Handles a line after the first: echoes it once the backlog before it is done."""
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
        """Handles the end of a connection, by either side."""
        self.advance(now)
        connection = self.conns.get(conn)
        if connection is None:
            return []
        if not connection.ran and not self.traits.cancels and not self.unresponsive:
            return []  # the set-up runs all the same, though its client is gone
        del self.conns[conn]
        if connection.ran:
            self.load -= connection.load
            self.groups -= Counter([connection.group])
        else:
            self.backlog = max(0.0, self.backlog - self.traits.setup_us)
        return []

    def close_all(self, how):
        """Closes all connections."""
        out = [Close(self.now, conn, how) for conn in self.conns]
        self.conns.clear()
        self.groups.clear()
        self.load = self.backlog = 0.0
        return out

    def start_fault(self, now, kind, span=0, factor=1.0):
        """Starts a fault. `span` in microseconds; faults that last end by `end_fault`."""
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
            raise ValueError(f"not a host fault: {kind}")
        return []

    def move_clients_off(self):
        """Sends MOVE to all established connections and closes them, in the way that `traits.drain` names."""
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
        """Ends a fault that lasts."""
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
