"""What a front and the decision module say to each other.

A front makes one `policy.Balancer` from a `NodeConfig`, passes it every event with the time, and carries out
the actions it gets back, in their order. Times and spans are whole microseconds of the front's own clock.
Calls and hosts are named by whatever hashable id the front uses; the module gives the ids back as they came.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    REPEATABLE = "may run again"
    REFERENCED = "carries a mark by which a repeat is known"
    ONCE_ONLY = "must never run twice"


class Ending(Enum):
    """How a leg ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "turned away unseen"
    TIMEOUT = "no answer in time"
    CONNECT_FAILED = "no connection"
    RESET = "connection broke"
    CANCELLED = "called off"
    NOT_SENT = "never sent"


class HostState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdateKind(Enum):
    """What a word from the server list holds."""

    CHANGES = "only what changed"
    FULL = "the whole list"
    SAVED = "the whole list as last held, perhaps stale"
    FAILED = "the list could not be reached"


@dataclass(frozen=True)
class TrafficType:
    name: str
    effect: Effect
    deduplicated_by: str  # "all", "zone" or "cell": the group of hosts that drops repeats
    deduplicated_for: int  # how long that group remembers
    setup_target: int
    guard_time: int
    revenue: float
    message_target: int = 0


@dataclass(frozen=True)
class Tenant:
    name: str
    share: float = 0.0
    allowance_per_s: float = 0.0  # calls a second over all nodes; 0: not told
    quota_connections: float = 0.0  # open connections over all nodes; 0: not told


@dataclass(frozen=True)
class LegLimits:
    max_legs: int = 1
    parallel_legs: bool = False
    may_cancel: bool = False
    may_retry_after: bool = False  # a reject may say when to come back
    max_retry_after: int = 0


@dataclass(frozen=True)
class ColdStart:
    share: float = 1.0  # a fresh host does at least this part of its work
    warm_after: int = 0
    multiple: float = 1.0  # all nodes together stay under this many times what it can do
    window: int = 0  # over any window of this length


@dataclass(frozen=True)
class ServerListRules:
    polled: bool = False  # the list answers only when asked
    poll_interval: int = 0  # unasked for this long, a node counts as told
    drain_grace: int = 0


@dataclass(frozen=True)
class Prices:
    zone_crossing: float = 0.0
    move: float = 0.0
    probe: float = 0.0
    peer_message: float = 0.0


@dataclass(frozen=True)
class AvailabilityGoal:
    """A part of the result: over spans of 5 s, the tenfold steps by which the
    unserved share lies below the whole.
    """

    weight: float = 0.0  # its weight; 0: it does not count
    nines_for_full: float = 3.0  # steps that earn all of it


@dataclass(frozen=True)
class NodeConfig:
    """A node starts. Each part of the module takes from here only what it needs."""

    seed: int
    node_number: int
    nodes: int  # 0: not told
    zone: int
    tick: int
    types: tuple
    tenants: tuple = ()
    legs: LegLimits = field(default_factory=LegLimits)
    cold: ColdStart = field(default_factory=ColdStart)
    server_list: ServerListRules = field(default_factory=ServerListRules)
    prices: Prices = field(default_factory=Prices)
    may_probe: bool = False
    may_message_peers: bool = False
    groups_share_work: bool = False
    probes_report_load: bool = False  # a probe's answer tells the load asked of a host over what it can do
    dynamic_weights: bool = False  # listed weights: nominal size over 1 + calls held a core, late
    availability: AvailabilityGoal = field(default_factory=AvailabilityGoal)


class Entry(NamedTuple):  # made for every server at every word of the list: the cheapest type
    host: object
    zone: int = 0
    kind: int = 0
    weight: float = 1.0  # as listed: its size, or what `NodeConfig.dynamic_weights` says
    cell: int = 0
    started: int = 0  # 0: long ago
    state: HostState = HostState.UP

    def equals_except_weight(self, other):
        """Whether it differs from `other` by its weight at most."""
        return (
            self.state is other.state
            and self.started == other.started
            and self.zone == other.zone
            and self.kind == other.kind
            and self.cell == other.cell
        )


# Events: what a front tells.


@dataclass(frozen=True)
class ListUpdate:
    kind: ListUpdateKind
    version: int = 0
    entries: tuple = ()
    took: int = 0  # of one that failed: how long it was waited for


@dataclass(frozen=True)
class CallArrived:
    call: object
    type: int
    time_left: int
    key: object = None
    group: object = None
    tenant: int = 0
    load: float = 0.0
    returned: bool = False  # back after a break or a move
    held_by: object = None  # already open through this node, at this host


@dataclass(frozen=True)
class LegAccepted:
    call: object
    leg: int
    waited: int


@dataclass(frozen=True)
class LegEnded:
    call: object
    leg: int
    ending: Ending
    closed: bool  # nothing more is owed for the call
    waited: int = 0


@dataclass(frozen=True)
class LoadReported:
    call: object
    load: float  # microseconds of work a second


@dataclass(frozen=True)
class DelayReported:
    call: object
    delay: int  # what a message takes at the call's host now


@dataclass(frozen=True)
class CallExpired:
    call: object


@dataclass(frozen=True)
class TimerFired:
    token: str


@dataclass(frozen=True)
class ProbeEnded:
    host: object
    ending: Ending
    waited: int = 0
    load: float = -1.0  # asked of the host over what it can do, seconds ago; -1: not told
    backlog: float = 0.0  # seconds of work piled up


@dataclass(frozen=True)
class Reconfigured:
    """Other settings from now on. Calls that are open keep the type that they opened under."""

    config: NodeConfig


@dataclass(frozen=True)
class Inherited:
    """What the process that this one replaces had kept: to the servers the two are one node."""

    records: tuple  # (key, host)
    sent: tuple  # (host, when, legs), the oldest first


@dataclass(frozen=True)
class PeerMessageReceived:
    peer: int
    data: bytes


# Actions: what the module wants done.


@dataclass(frozen=True)
class Send:
    call: object
    host: object
    deadline: int  # time of the clock
    send_by: int = 0  # its first byte may go out until then; 0: while the call is open


@dataclass(frozen=True)
class Reject:
    call: object
    retry_after: int = 0  # 0: nothing is said


@dataclass(frozen=True)
class Release:
    call: object


@dataclass(frozen=True)
class Cancel:
    call: object
    leg: int


@dataclass(frozen=True)
class Move:
    call: object


@dataclass(frozen=True)
class Timer:
    after: int
    token: str


@dataclass(frozen=True)
class Probe:
    host: object


@dataclass(frozen=True)
class Subscribe:
    """Open the standing subscription to the list."""


@dataclass(frozen=True)
class SendToPeer:
    data: bytes
    peer: int = -1  # -1: every other node


@dataclass(frozen=True)
class Log:
    text: str
