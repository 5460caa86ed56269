"""What the workers tell the reducer (events) and what it asks of them (effects). Types only."""

from dataclasses import dataclass

from cottonspread import interface as io


@dataclass(eq=False, slots=True)
class ConnectionEnd:
    """One end of a connection, a client's or a host's, as the reducer knows it."""

    is_client: bool
    conn: object = None  # the connection it belongs to
    leg: object = None  # of a host's end: its leg
    worker: object = None  # the workers' own, not the reducer's
    connected: bool = False  # of a host's end: it came up
    read_pending: bool = False  # an order to read is out
    writing_since: int = 0  # when the order to write that is out was given; 0: none is
    closing_since: int = 0  # when it was closed from here; 0: it is not
    shutdown_when_written: bool = False  # to be closed once what is being written is out
    input_ended: bool = False  # nothing more comes from it
    freed: bool = False


# Events


@dataclass(frozen=True, slots=True)
class ClientAccepted:
    """A client has connected."""

    end: ConnectionEnd
    accepted_at: int = 0  # when it was accepted; 0: now


@dataclass(frozen=True, slots=True)
class ConnectDone:
    end: ConnectionEnd
    ok: bool
    error: str = ""


@dataclass(frozen=True, slots=True)
class LinesRead:
    """Whole lines, as they came."""

    end: ConnectionEnd
    data: bytes
    more_follows: bool = False  # part of a further line is there already
    at: int = 0  # when the kernel had it; 0: not known


@dataclass(frozen=True, slots=True)
class WriteDone:
    end: ConnectionEnd
    ok: bool
    at: int = 0  # when the kernel took it; 0: not known
    skip_reason: str = ""  # an attempt of which nothing was sent: "client-gone" or "too-late"


@dataclass(frozen=True, slots=True)
class ReadEnded:
    """Nothing more comes: the other side ended ("end"), broke ("reset") or sent what is no line."""

    end: ConnectionEnd
    cause: str


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has spoken."""

    update: io.ListUpdate
    addresses: dict


@dataclass(frozen=True, slots=True)
class ProbeDone:
    """A probe is over. `report`: the host's load report, by name."""

    host: object
    ending: io.Ending
    report: dict
    waited: int = 0


@dataclass(frozen=True, slots=True)
class ListFailed:
    took: int = 0  # microseconds that the call was out


@dataclass(frozen=True, slots=True)
class StopRequested:
    """SIGTERM. `has_successor`: a successor takes what comes from now on; what was taken
    before is answered as ever.

    `transfer_connections`: it takes standing connections too.
    """

    has_successor: bool = False
    transfer_connections: bool = False


@dataclass(frozen=True, slots=True)
class TransferDone:
    """What became of a `Transfer`: the successor has the connection, or not; then it is read here as before.

    `retry`: it was just being read.
    """

    conn: object
    accepted: bool
    retry: bool = False


@dataclass(frozen=True, slots=True)
class TransferOffered:
    """A standing connection from the process before this one, which has let go
    of it once `reply` is called with True.
    """

    client: ConnectionEnd
    host: ConnectionEnd
    connection: object
    reply: object


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """By the operators: the node is to be drained, or (`on` is false) to serve again."""

    on: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """SIGHUP with a file that is in order."""

    config: io.NodeConfig
    names: object
    host_protocol: object


@dataclass(frozen=True, slots=True)
class ReloadRejected:
    """SIGHUP with one that is not: nothing changes."""


@dataclass(frozen=True, slots=True)
class StateInherited:
    """From the process that this one replaces."""

    state: object


@dataclass(frozen=True, slots=True)
class HandOverRequested:
    """By a successor of this process, which may hold `room` connections while both are there."""

    reply: object  # called with what is handed over


@dataclass(frozen=True, slots=True)
class Tick:
    """Only time has passed."""


# Effects


@dataclass(frozen=True, slots=True)
class Connect:
    end: ConnectionEnd
    address: tuple
    timeout: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a host on a connection of its own; `ProbeDone` comes within `timeout` microseconds
    or little more.
    """

    host: object
    address: tuple
    timeout: int


@dataclass(frozen=True, slots=True)
class Read:
    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Write:
    end: ConnectionEnd
    data: bytes
    first_line: bool = False  # the first line of an attempt: it goes out only while its client is there
    send_by: int = 0  # and not later than this; 0: whenever


@dataclass(frozen=True, slots=True)
class DiscardInput:
    """Read to the other side's end and drop what comes: `ReadEnded` follows.

    For an end that was closed from here.
    """

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class ShutdownWrite:
    """End the sending; the other side is read until it ends too."""

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Shutdown:
    """End both directions now; `reset` as a reset."""

    end: ConnectionEnd
    reset: bool = False


@dataclass(frozen=True, slots=True)
class DiscardUnread:
    """The process is about to end and closes all sockets: what lies unread on them is taken, behind all that
    was written. Over unread bytes a close is a reset, which takes the last line with it.
    """


@dataclass(frozen=True, slots=True)
class Free:
    """Give the socket back: nothing is out on this end any more."""

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Transfer:
    """Pass a connection on which nothing is under way to the successor; `TransferDone` comes."""

    conn: object
    client: ConnectionEnd
    host: ConnectionEnd
    connection: object


@dataclass(frozen=True, slots=True)
class FollowList:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    """A log line."""

    event: str
    pairs: dict
    level: str = "info"


@dataclass(frozen=True, slots=True)
class Exit:
    """The node is done."""
