"""What a node keeps: chance, counts over time, servers, calls and their legs. No decisions here."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from cottonspread import interface as io
from cottonspread.interface import Ending, HostState

SECOND = 1_000_000


class SeededRandom:
    """Draws that depend on the node's seed and on how many came before."""

    def __init__(self, seed):
        self.seed, self.drawn = seed, 0

    def below(self, n):
        """The next draw, a whole number from 0 to n - 1."""
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) * n >> 32


class SlidingCount:
    """A count over the last `buckets` stretches of `width`, in buckets that are used again."""

    def __init__(self, width, buckets):
        self.width, self.counts, self.stamps = width, [0] * buckets, [-1] * buckets

    def add(self, now, amount=1):
        """Counts into the bucket of this time."""
        stamp = now // self.width
        at = stamp % len(self.counts)
        if self.stamps[at] != stamp:
            self.stamps[at], self.counts[at] = stamp, 0
        self.counts[at] += amount

    def buckets_in(self, now, span):
        """(when, amount) of each bucket that `total` would count, the oldest first."""
        oldest = (now - span) // self.width
        return sorted(
            (s * self.width, c) for c, s in zip(self.counts, self.stamps, strict=True) if c and s >= oldest
        )

    def total(self, now, span):
        """The count over the last `span`, and what else falls in the bucket where it begins."""
        oldest = (now - span) // self.width
        return sum(c for c, s in zip(self.counts, self.stamps, strict=True) if s >= oldest)


class Settings:
    """What is in force, out of `NodeConfig`. All parts of the policy hold this one object."""

    def __init__(self, config, default_nodes):
        """`default_nodes`: the number of nodes to reckon with where none is told."""
        self.default_nodes = default_nodes
        self.apply(config)

    def apply(self, config):
        """Other settings from now on."""
        self.unread_change = True
        self.types, self.limits, self.tick, self.cold = config.types, config.legs, config.tick, config.cold
        self.zone, self.zone_crossing_price, self.move_price = (
            config.zone,
            config.prices.zone_crossing,
            config.prices.move,
        )
        self.nodes, self.poll_interval = config.nodes or self.default_nodes, config.server_list.poll_interval
        self.groups_share_work, self.probes_report_load = config.groups_share_work, config.probes_report_load
        targets = [one.message_target for one in config.types if one.message_target]
        self.message_target = min(targets, default=SECOND)

    def take_change(self):
        """Whether others came into force since this was last asked."""
        changed, self.unread_change = self.unread_change, False
        return changed


@dataclass(eq=False)
class Host:
    """One server as this node knows it."""

    name: object
    entry: io.Entry
    size: float = 1.0  # nominal, for its turn in the rotation
    load_ratio: float = 0.0  # load asked of it over what it can do, as a probe told
    load_ratio_at: int = -60 * SECOND
    legs: dict = field(default_factory=dict)  # legs out or standing, in order of sending
    setups: int = 0  # of these, not yet answered
    groups: Counter = field(default_factory=Counter)
    load: int = 0  # what its legs and groups weigh here, see `Loads`
    turn_credit: float = 0.0  # rotation: part of a turn saved up
    answers: int = 0  # since it last started
    last_draw_at: int = -60 * SECOND  # cold: when chance was last asked for a leg to it
    ejected_until: int = 0  # health: no leg before this
    skip_until: int = 0  # found not open to new keys: not looked at again before
    recovery_limit: int = 0  # health: legs allowed in a trickle period; 0: no limit
    ejection_time: int = 0
    delay: int = 0  # what messages took, and when that was told
    delay_at: int = -10 * SECOND
    same_reports: int = 0  # health: words in a row that said the same
    slow_since: int = 0  # health: slow in every word since then; 0: not slow
    hung: bool = False  # health: seen to hang, and not yet quick again
    last_break_at: int = -10 * SECOND  # health: when a standing connection last broke
    ceiling: float = 0.0  # overload: load it may hold from here; 0: no limit
    cut_at: int = -10 * SECOND
    draining: bool = False  # told to, and its clients are to leave
    moves_own_clients: bool = False  # and it asks them to itself
    sent: SlidingCount = field(default_factory=lambda: SlidingCount(SECOND // 4, 64))  # legs, over up to 16 s

    @property
    def up(self):
        """Whether the list lets it have something new."""
        return self.entry.state is HostState.UP

    def staying_legs(self):
        """Its legs that are accepted and not asked to leave."""
        return [leg for leg in self.legs if leg.accepted and not leg.move_requested]

    def restart(self):
        """It was started anew: what was found out of the process before it is forgotten."""
        self.skip_until = self.answers = self.recovery_limit = self.ejection_time = self.ejected_until = (
            self.delay
        ) = 0
        self.ceiling, self.hung, self.draining, self.moves_own_clients = 0, False, False, False


@dataclass(eq=False)
class Leg:
    """One try of a call at one server."""

    call: "Call"
    number: int
    host: Host
    sent_at: int
    reported_load: float = 0.0  # its load as told; 0: not told
    load: int = 0  # what it weighs, see `Loads`
    accepted: bool = False
    move_requested: bool = False
    ending: Ending = None

    def accept(self):
        """The server has taken the call."""
        self.accepted = True
        self.host.setups -= 1

    def close(self, ending):
        """The leg has ended: its server holds it no more."""
        self.ending = ending
        del self.host.legs[self]
        self.host.setups -= not self.accepted
        groups = self.host.groups
        groups[self.call.group] -= 1
        if groups[self.call.group] <= 0:
            del groups[self.call.group]


class SlowReport(NamedTuple):
    """A word of messages that take long at a server, beside the word before. Microseconds."""

    delay: int
    previous: int
    interval: int  # time between the two
    still_slow: bool  # the word before said slow too, and still counts

    @property
    def growth(self):
        """By how much messages take longer than they did while they were slow."""
        return self.delay - self.previous if self.still_slow else self.delay


@dataclass(eq=False)
class Call:
    """One call, from its arrival to the end of its last leg."""

    id: object
    type: io.TrafficType
    key: object
    group: object
    guard: int  # when this try is given up by its client
    returned: bool
    legs: list = field(default_factory=list)
    path: object = None
    max_legs: int = 1
    max_load_ratio: float = 0.0  # a server asked for more is passed over, see `Readings`
    probes: int = 0
    probed_host: Host = None  # whose probe it waited for: within the cold budget then
    drawn_host: Host = None  # the fresh server that it is for, within the cold budget
    ended: bool = False

    def open_leg(self, host, now, load):
        """A new leg of this weight stands at the server, not accepted yet."""
        leg = Leg(self, len(self.legs), host, now, load=load)
        self.legs.append(leg)
        host.legs[leg] = None
        host.setups += 1
        host.groups[self.group] += 1
        return leg
