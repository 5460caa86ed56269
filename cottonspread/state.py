"""A node's state: random draws, counts over time, servers, calls and their legs. Makes no decisions."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from cottonspread import interface as io
from cottonspread.interface import Ending, HostState

SECOND = 1_000_000


class SeededRandom:
    """Reproducible random draws, which depend on the node's seed and the number of earlier draws alone."""

    def __init__(self, seed):
        """`seed`: a whole number; nodes with the same seed draw the same."""
        self.seed, self.drawn = seed, 0

    def below(self, n):
        """Draws a whole number from 0 to n - 1."""
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) * n >> 32


class SlidingCount:
    """A count over a sliding window of time, kept in a ring of reused buckets."""

    def __init__(self, width, buckets):
        """`width`: microseconds of a bucket; `buckets`: their number, so the window is their product."""
        self.width, self.counts, self.stamps = width, [0] * buckets, [-1] * buckets

    def add(self, now, amount=1):
        """Adds to the bucket of this time."""
        stamp = now // self.width
        at = stamp % len(self.counts)
        if self.stamps[at] != stamp:
            self.stamps[at], self.counts[at] = stamp, 0
        self.counts[at] += amount

    def buckets_in(self, now, span):
        """(start time, amount) of each non-empty bucket that `total` counts, the oldest first."""
        oldest = (now - span) // self.width
        return sorted(
            (s * self.width, c) for c, s in zip(self.counts, self.stamps, strict=True) if c and s >= oldest
        )

    def total(self, now, span):
        """The count over the last `span`, including all of the bucket in which it begins."""
        oldest = (now - span) // self.width
        return sum(c for c, s in zip(self.counts, self.stamps, strict=True) if s >= oldest)


class Settings:
    """The settings in force, from a `NodeConfig`. All parts of the policy share this one object."""

    def __init__(self, config, default_nodes):
        """`default_nodes`: the number of nodes assumed where the configuration has none."""
        self.default_nodes = default_nodes
        self.apply(config)

    def apply(self, config):
        """Puts the settings of `config` in force."""
        self.change_pending = True
        self.types, self.limits, self.tick, self.cold = config.types, config.legs, config.tick, config.cold
        self.zone, self.move_price = config.zone, config.prices.move
        # A node that does not know its zone prefers none.
        self.zone_crossing_price = 0.0 if config.zone is None else config.prices.zone_crossing
        self.nodes, self.poll_interval = config.nodes or self.default_nodes, config.server_list.poll_interval
        self.groups_share_work, self.probes_report_load = config.groups_share_work, config.probes_report_load
        targets = [one.message_target for one in config.types if one.message_target]
        self.message_target = min(targets, default=SECOND)

    def consume_change(self):
        """Whether the settings changed since the last call of this method."""
        changed, self.change_pending = self.change_pending, False
        return changed


@dataclass(eq=False)
class Drain:
    """A drain of a server, from when the list tells of it until the server is ready again."""

    since: int
    move_by: int = 0  # its clients are being moved, all by this time; 0: not now
    timer_set: bool = False  # for the next move
    moves_own_clients: bool = False  # the server moves its clients itself


@dataclass(eq=False)
class Host:
    """One server as this node knows it."""

    name: object
    entry: io.Entry
    size: float = 1.0  # nominal capacity, its weight in the rotation
    load_ratio: float = 0.0  # its load divided by its capacity, as last probed
    load_ratio_at: int = -60 * SECOND
    legs: dict = field(default_factory=dict)  # legs being set up or established, in order of sending
    staying: dict = field(default_factory=dict)  # those established whose clients were not asked to move
    setups: int = 0  # those of them not yet answered
    groups: Counter = field(default_factory=Counter)
    load: int = 0  # weight of its legs and groups on this node, see `Loads`
    turn_credit: float = 0.0  # rotation: accumulated fraction of a turn
    answers: int = 0  # answered set-ups since its last start or ejection
    last_draw_at: int = -60 * SECOND  # slow start: time of the last draw for a leg to it
    ejected_until: int = 0  # health: no leg before this time
    skip_until: int = 0  # found unfit for a new key: not considered again before this time
    recovery_limit: int = 0  # health: legs allowed in `Health.RECOVERY_PERIOD`; 0: no limit
    ejection_time: int = 0  # health: duration of its last ejection; 0: recovered since
    delay: int = 0  # last reported message delay
    delay_at: int = -10 * SECOND
    same_reports: int = 0  # health: consecutive reports of the same delay
    slow_since: int = 0  # health: slow in every report since then; 0: not slow
    hung: bool = False  # health: found hanging, and slow in every report since
    last_break_at: int = -10 * SECOND  # health: when an established connection last broke
    ceiling: float = 0.0  # overload: weight that it may hold on this node; 0: no limit
    cut_at: int = -10 * SECOND  # overload: when the ceiling was last cut
    drain: Drain = None  # while it drains, and afterwards until it is ready again
    sent: SlidingCount = field(default_factory=lambda: SlidingCount(SECOND // 4, 64))  # legs, over up to 16 s

    @property
    def up(self):
        """Whether it may get new calls, as far as the list goes."""
        return self.entry.state is HostState.UP

    def restart(self):
        """Forgets what was observed of the server process before its restart."""
        self.skip_until = self.answers = self.recovery_limit = self.ejection_time = self.ejected_until = (
            self.delay
        ) = 0
        self.ceiling, self.hung, self.drain = 0, False, None


@dataclass(eq=False)
class Leg:
    """One attempt of a call at one server."""

    call: "Call"
    number: int
    host: Host
    sent_at: int
    zone: object  # of the server when the leg was sent: the list may tell otherwise by the time of a retry
    cell: object
    reported_load: float = 0.0  # microseconds of work a second; 0: not reported
    load: int = 0  # its weight, see `Loads`
    accepted: bool = False
    move_requested: bool = False
    ending: Ending = None

    def accept(self):
        """Marks the leg as accepted by its server."""
        self.accepted = True
        self.host.setups -= 1
        self.host.staying[self] = None

    def request_move(self):
        """Marks the leg as one whose client was asked to move."""
        self.move_requested = True
        self.host.staying.pop(self, None)

    def close(self, ending):
        """Marks the leg as ended and removes it from its server."""
        self.ending = ending
        del self.host.legs[self]
        self.host.staying.pop(self, None)
        self.host.setups -= not self.accepted
        groups = self.host.groups
        groups[self.call.group] -= 1
        if groups[self.call.group] <= 0:
            del groups[self.call.group]


class SlowReport(NamedTuple):
    """A report of slow messages at a server, beside the previous report. Microseconds."""

    delay: int
    previous: int
    interval: int  # time between the two reports
    still_slow: bool  # the previous report was slow too, and is recent enough to count

    @property
    def growth(self):
        """By how much the delay has grown since the previous report, if that was slow; else the delay."""
        return self.delay - self.previous if self.still_slow else self.delay


@dataclass(eq=False)
class Call:
    """One call, from its arrival to the end of its last leg."""

    id: object
    type: io.TrafficType
    key: object
    group: object
    guard: int  # time at which the client gives up
    returned: bool
    legs: list = field(default_factory=list)
    path: object = None
    max_legs: int = 1
    max_load_ratio: float = 0.0  # servers with a higher load ratio are passed over, see `Readings`
    probes: int = 0
    probed_host: Host = None  # the server whose probe it waited for: a cold one was drawn then
    drawn_host: Host = None  # the cold server drawn for it, within the budget of cold servers
    ended: bool = False

    def open_leg(self, host, now, load):
        """Adds a leg of this weight at the server, not accepted yet."""
        leg = Leg(self, len(self.legs), host, now, host.entry.zone, host.entry.cell, load=load)
        self.legs.append(leg)
        host.legs[leg] = None
        host.setups += 1
        host.groups[self.group] += 1
        return leg
