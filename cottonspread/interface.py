"""The interface between a front end, which does the I/O, and the decision module.

A front end (`cottonspread.net`, `cottonspread.drill`) makes one `policy.Balancer` from a `NodeConfig`, passes
it every event with the time, and carries out the returned actions in order. Times and durations are whole
microseconds of the front end's own clock. Calls and hosts are identified by whatever hashable ids the front
end uses; the module returns them unchanged.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """Whether a call of some type may run more than once."""

    REPEATABLE = "may run again"
    REFERENCED = "carries a mark by which a repeat is known"  # an idempotency key
    ONCE_ONLY = "must never run twice"


class Ending(Enum):
    """How a leg ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "refused at capacity"  # the host did not process the call
    TIMEOUT = "no answer in time"
    CONNECT_FAILED = "no connection"
    RESET = "connection reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class HostState(Enum):
    """State of a host in the server list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdateKind(Enum):
    """What an update of the server list contains."""

    CHANGES = "only what changed"
    FULL = "the whole list"
    SAVED = "the whole list as last saved, possibly stale"
    FAILED = "the list could not be read"


@dataclass(frozen=True)
class TrafficType:
    """A type of call, with its retry rules, time limits and value."""

    name: str
    effect: Effect
    deduplicated_by: str  # "all", "zone" or "cell": the set of hosts that recognises repeats of a call
    deduplicated_for: int  # how long these hosts recognise repeats
    setup_target: int
    guard_time: int
    revenue: float
    message_target: int = 0


@dataclass(frozen=True)
class Tenant:
    """A tenant, with its quotas over all nodes."""

    name: str
    share: float = 0.0
    allowance_per_s: float = 0.0  # calls a second over all nodes; 0: not set
    quota_connections: float = 0.0  # open connections over all nodes; 0: not set


@dataclass(frozen=True)
class LegLimits:
    """What a node may do with the legs of one call."""

    max_legs: int = 1
    parallel_legs: bool = False  # whether two may be open at the same time
    may_cancel: bool = False
    may_retry_after: bool = False  # whether a rejection may say when to retry
    max_retry_after: int = 0


@dataclass(frozen=True)
class ColdStart:
    """How hosts warm up after their start, and the budget of what they may be sent meanwhile."""

    share: float = 1.0  # the part of its full capacity that a host has at its start
    warm_after: int = 0
    multiple: float = 1.0  # bounds what all nodes together send a host, as a multiple of what it can handle
    window: int = 0  # the bound holds in any window of this length


@dataclass(frozen=True)
class ServerListRules:
    """How the server list is read."""

    polled: bool = False  # the list only answers polls; it pushes no changes
    poll_interval: int = 0  # a node that has not polled for this long counts as informed of all changes
    drain_grace: int = 0


@dataclass(frozen=True)
class Prices:
    """What each kind of action costs, as a fraction of a call's revenue."""

    zone_crossing: float = 0.0
    move: float = 0.0
    probe: float = 0.0
    peer_message: float = 0.0


@dataclass(frozen=True)
class AvailabilityGoal:
    """The availability component of the score: the nines of the served share, over spans of 5 s.

    A nine is a factor of ten by which the unserved share lies below the whole.
    """

    weight: float = 0.0  # weight in the score; 0: availability does not count
    nines_for_full: float = 3.0  # nines that earn the whole component


@dataclass(frozen=True)
class NodeConfig:
    """The configuration of a node. Each part of the module reads only what it needs."""

    seed: int
    node_number: int
    nodes: int  # number of nodes; 0: not known
    zone: object  # the node's own, as the list identifies it; None: not known
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
    probes_report_load: bool = False  # an answered probe reports the host's load ratio
    dynamic_weights: bool = False  # a listed weight is the size over 1 + open calls per core, and lags
    availability: AvailabilityGoal = field(default_factory=AvailabilityGoal)
    # Keys without a connection, and ids of ended calls, that memory has room for; 0: no limit of its own.
    max_remembered: int = 0


class Entry(NamedTuple):  # cheap to create: there is one for every host in every list update
    """A host as the server list has it."""

    host: object
    zone: object = 0  # None: the list does not say
    kind: int = 0
    weight: float = 1.0  # as listed: the host's size, or see `NodeConfig.dynamic_weights`
    cell: object = 0  # None: the list does not say
    started: int = 0  # 0: long ago
    state: HostState = HostState.UP

    def equals_except_weight(self, other):
        """Whether it differs from `other` in its weight at most."""
        return (
            self.state is other.state
            and self.started == other.started
            and self.zone == other.zone
            and self.kind == other.kind
            and self.cell == other.cell
        )


# Events, from the front end to the module


@dataclass(frozen=True)
class ListUpdate:
    """The server list was read, has changed, or could not be read."""

    kind: ListUpdateKind
    version: int = 0
    entries: tuple = ()
    took: int = 0  # duration of a poll that failed


@dataclass(frozen=True)
class CallArrived:
    """A client opened a call."""

    call: object
    type: int
    time_left: int
    key: object = None
    group: object = None
    tenant: int = 0
    load: float = 0.0
    returned: bool = False  # the client is back after a broken connection or a move
    held_by: object = None  # the host at which the call is already open through this node


@dataclass(frozen=True)
class LegAccepted:
    """The host accepted the call."""

    call: object
    leg: int
    waited: int


@dataclass(frozen=True)
class LegEnded:
    """A leg ended."""

    call: object
    leg: int
    ending: Ending
    closed: bool  # the call needs no further leg or answer
    waited: int = 0
    # Of a cancelled leg: whether the host cancelled it, to move its client. A front end that cannot tell
    # leaves it True.
    cancelled_by_host: bool = True


@dataclass(frozen=True)
class LoadReported:
    """A host reported the load of a connection."""

    call: object
    load: float  # microseconds of work a second


@dataclass(frozen=True)
class DelayReported:
    """A message delay was measured or reported on a connection."""

    call: object
    delay: int  # microseconds that a message takes at the call's host now


@dataclass(frozen=True)
class CallExpired:
    """The client gave up a call that had no answer."""

    call: object


@dataclass(frozen=True)
class TimerFired:
    """A `Timer` is due."""

    token: str


@dataclass(frozen=True)
class ProbeEnded:
    """A probe of a host was answered or failed."""

    host: object
    ending: Ending
    waited: int = 0
    load: float = -1.0  # the host's load over its capacity, seconds ago; -1: not reported
    backlog: float = 0.0  # seconds of queued work


@dataclass(frozen=True)
class Reconfigured:
    """Another configuration applies from now on. Open calls keep the type under which they were opened."""

    config: NodeConfig


@dataclass(frozen=True)
class Inherited:
    """State of the process that this one replaces: to the servers the two are one node."""

    records: tuple  # (key, host)
    sent: tuple  # (host, time, legs), the oldest first


@dataclass(frozen=True)
class PeerMessageReceived:
    """Another node sent a message."""

    peer: int
    data: bytes


# Actions, from the module to the front end


@dataclass(frozen=True)
class Send:
    """Open a leg of the call at the host."""

    call: object
    host: object
    deadline: int  # clock time at which the leg times out
    send_by: int = 0  # latest clock time for its first byte; 0: while the call is open


@dataclass(frozen=True)
class Reject:
    """Tell the client that the call is rejected and that a retry is harmless."""

    call: object
    retry_after: int = 0  # 0: not given to the client


@dataclass(frozen=True)
class Release:
    """End the call as failed; it may have run."""

    call: object


@dataclass(frozen=True)
class Cancel:
    """Cancel a leg that is not accepted yet."""

    call: object
    leg: int


@dataclass(frozen=True)
class Move:
    """Ask the call's client to reconnect, to reach another host."""

    call: object


@dataclass(frozen=True)
class Timer:
    """Return `TimerFired` with this token after some time."""

    after: int
    token: str


@dataclass(frozen=True)
class Probe:
    """Ask the host for its load."""

    host: object


@dataclass(frozen=True)
class Subscribe:
    """Subscribe to the server list, or poll it."""


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to another node."""

    data: bytes
    peer: int = -1  # -1: to all other nodes


@dataclass(frozen=True)
class Log:
    """Write a line to the node's log."""

    text: str
