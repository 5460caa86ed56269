"""The events that the workers report to the reducer, and the effects that it asks them to carry out.

Types only. Times and time spans are microseconds of the reducer's clock.
"""

from dataclasses import dataclass

from cottonspread import interface as io


@dataclass(eq=False, slots=True)
class ConnectionEnd:
    """One socket of a proxied connection, the client's or the host's, as the reducer sees it.

    Closing has two steps: a shutdown starts it (`closing_since`), and once the other side has ended too and
    no read or write is pending, the socket is freed (`freed`).
    """

    is_client: bool
    conn: object = None  # the connection that it belongs to
    leg: object = None  # its leg, if it is a host's socket
    worker: object = None  # belongs to the workers; the reducer only checks whether it is set
    connected: bool = False  # the connect succeeded; hosts' sockets only
    read_pending: bool = False  # a `Read` or `DiscardInput` has not been answered yet
    writing_since: int = 0  # when the pending `Write` was issued; 0: no write is pending
    closing_since: int = 0  # when this side started to close it, or last repeated the shutdown; 0: never
    shutdown_when_written: bool = False  # to be closed once the pending write is done
    input_ended: bool = False  # no more input will come
    freed: bool = False


# Events


@dataclass(frozen=True, slots=True)
class ClientAccepted:
    """A client's connection was accepted."""

    end: ConnectionEnd
    accepted_at: int = 0  # 0: now


@dataclass(frozen=True, slots=True)
class ConnectDone:
    """The result of a `Connect`."""

    end: ConnectionEnd
    ok: bool
    error: str = ""


@dataclass(frozen=True, slots=True)
class LinesRead:
    """The result of a `Read`: one or more complete lines, unchanged."""

    end: ConnectionEnd
    data: bytes
    more_follows: bool = False  # part of a further line has arrived already
    at: int = 0  # when the kernel received it; 0: not known
    id_taken: bool = False  # a first line whose id another process of this node has taken


@dataclass(frozen=True, slots=True)
class WriteDone:
    """The result of a `Write`."""

    end: ConnectionEnd
    ok: bool
    at: int = 0  # when the kernel took it; 0: not known
    skip_reason: str = ""  # why a leg's first line was not sent at all: "client-gone" or "too-late"


@dataclass(frozen=True, slots=True)
class ReadEnded:
    """A `Read` or `DiscardInput` ended without a line.

    `cause`: "end" if the other side closed the connection, "reset" if it was reset, "fault" after an internal
    error, or the reason code of a malformed line, which ends in "-line"; more input may follow after that.
    """

    end: ConnectionEnd
    cause: str


@dataclass(frozen=True, slots=True)
class ListReceived:
    """An update of the host list from discovery."""

    update: io.ListUpdate
    addresses: dict  # by host


@dataclass(frozen=True, slots=True)
class ProbeDone:
    """The result of a `Probe`. `report`: the values of the host's load report by name."""

    host: object
    ending: io.Ending
    report: dict
    waited: int = 0


@dataclass(frozen=True, slots=True)
class ListFailed:
    """A request to discovery failed."""

    took: int = 0  # how long the request took


@dataclass(frozen=True, slots=True)
class StopRequested:
    """SIGTERM.

    `has_successor`: another process accepts new connections from now on; clients accepted before are still
    served. `transfer_connections`: that process takes over established connections too.
    """

    has_successor: bool = False
    transfer_connections: bool = False


@dataclass(frozen=True, slots=True)
class TransferDone:
    """The result of a `Transfer`. Unless the successor `accepted` the connection, it is read here as before.

    `retry`: the connection was being read at that moment, so it may be offered again.
    """

    conn: object
    accepted: bool
    retry: bool = False


@dataclass(frozen=True, slots=True)
class TransferOffered:
    """The previous process offers an established connection; it gives it up once `reply(True)` is called."""

    client: ConnectionEnd
    host: ConnectionEnd
    connection: object  # `front.handover.OpenConnection`
    reply: object


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operators ask the node to drain, or with `on` false to serve again."""

    on: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """SIGHUP, with a valid configuration file."""

    config: io.NodeConfig
    names: object
    host_protocol: object


@dataclass(frozen=True, slots=True)
class ReloadRejected:
    """SIGHUP, with an invalid configuration file: nothing changes."""


@dataclass(frozen=True, slots=True)
class StateInherited:
    """State handed over by the process that this one replaces (`front.handover.HandoverState`)."""

    state: object


@dataclass(frozen=True, slots=True)
class HandOverRequested:
    """A successor of this process asks for its state. While both run, they share the limit on connections."""

    reply: object  # called with the `front.handover.HandoverState`


@dataclass(frozen=True, slots=True)
class IdsRequested:
    """A successor of this process shares the ids of calls from now on (`shared_ids`)."""

    reply: object  # called with all ids that are taken


@dataclass(frozen=True, slots=True)
class IdsLearned:
    """The other process of a replacement has ended; these are the ids that it has taken, among others."""

    ids: tuple


@dataclass(frozen=True, slots=True)
class Tick:
    """Nothing happened, but time has passed."""


# Effects


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to a host; answered by `ConnectDone`."""

    end: ConnectionEnd
    address: tuple
    timeout: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a host for its load on a connection of its own; `ProbeDone` follows within about `timeout`."""

    host: object
    address: tuple
    timeout: int


@dataclass(frozen=True, slots=True)
class Read:
    """Read lines; answered by `LinesRead` or `ReadEnded`."""

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Write:
    """Write data; answered by `WriteDone`."""

    end: ConnectionEnd
    data: bytes
    first_line: bool = False  # it is a leg's first line, sent only while the client is still connected
    send_by: int = 0  # do not start to send it after this time; 0: no limit


@dataclass(frozen=True, slots=True)
class DiscardInput:
    """Read and discard input until the other side closes; answered by `ReadEnded`.

    For a socket that this side has started to close.
    """

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class ShutdownWrite:
    """Shut down the sending direction (half-close); input is read until the other side closes too."""

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Shut down both directions now; with `reset` the other side gets a connection reset."""

    end: ConnectionEnd
    reset: bool = False


@dataclass(frozen=True, slots=True)
class DiscardUnread:
    """Discard the unread input of all sockets, after all pending writes: the process is about to exit.

    Closing a socket with unread input sends a reset, which can destroy the last line on its way to the other
    side.
    """


@dataclass(frozen=True, slots=True)
class Free:
    """Close the socket and end its thread; no read or write is pending on it."""

    end: ConnectionEnd


@dataclass(frozen=True, slots=True)
class Transfer:
    """Offer an idle established connection to the successor; answered by `TransferDone`."""

    conn: object
    client: ConnectionEnd
    host: ConnectionEnd
    connection: object  # `front.handover.OpenConnection`


@dataclass(frozen=True, slots=True)
class FollowList:
    """Start, or resume, following discovery's host list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    event: str
    pairs: dict
    level: str = "info"


@dataclass(frozen=True, slots=True)
class Exit:
    """The node has shut down; the process may exit."""
