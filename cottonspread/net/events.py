"""What the workers tell the reducer (events) and what it asks of them (effects). Types only."""

from dataclasses import dataclass

from cottonspread import interface as io


@dataclass(eq=False, slots=True)
class End:
    """One end of a connection, a client's or a host's, as the reducer knows it."""

    client: bool
    conn: object = None  # the connection it belongs to
    leg: object = None  # of a host's end: its leg
    worker: object = None  # the workers' own, not the reducer's
    connected: bool = False  # of a host's end: it came up
    reading: bool = False  # an order to read is out
    writing: int = 0  # when the order to write that is out was given; 0: none is
    closing: int = 0  # when it was closed from here; 0: it is not
    finish: bool = False  # to be closed once what is being written is out
    over: bool = False  # nothing more comes from it
    freed: bool = False


# Events


@dataclass(frozen=True, slots=True)
class Came:
    """A client has connected."""

    end: End
    since: int = 0  # when it was accepted; 0: now


@dataclass(frozen=True, slots=True)
class Connected:
    end: End
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Got:
    """Whole lines, as they came."""

    end: End
    data: bytes
    more: bool = False  # part of a further line is there already
    at: int = 0  # when the kernel had it; 0: not known


@dataclass(frozen=True, slots=True)
class Written:
    end: End
    ok: bool
    at: int = 0  # when the kernel took it; 0: not known
    why: str = ""  # an attempt of which nothing was sent: "client-gone" or "too-late"


@dataclass(frozen=True, slots=True)
class Over:
    """Nothing more comes: the other side ended ("end"), broke ("reset") or sent what is no line."""

    end: End
    how: str


@dataclass(frozen=True, slots=True)
class Heard:
    """Discovery has spoken."""

    listed: io.ListUpdate
    addresses: dict


@dataclass(frozen=True, slots=True)
class Asked:
    """A probe is over. `report`: the host's load report, by name."""

    host: object
    ending: io.Ending
    report: dict
    waited: int = 0


@dataclass(frozen=True, slots=True)
class ListFailed:
    took: int = 0  # microseconds that the call was out


@dataclass(frozen=True, slots=True)
class StopAsked:
    """SIGTERM. `handed`: a successor takes what comes from now on; what was taken before is answered as ever.

    `heir`: it takes standing connections too.
    """

    handed: bool = False
    heir: bool = False


@dataclass(frozen=True, slots=True)
class Passed:
    """What became of a `Pass`: the successor has the connection, or not; then it is read here as before.

    `again`: it was just being read.
    """

    conn: object
    taken: bool
    again: bool = False


@dataclass(frozen=True, slots=True)
class Adopted:
    """A standing connection from the process before this one, which has let go
    of it once `give` is called with True.
    """

    client: End
    host: End
    standing: object
    give: object


@dataclass(frozen=True, slots=True)
class DrainAsked:
    """By the operators: the node is to be drained, or (`on` is false) to serve again."""

    on: bool


@dataclass(frozen=True, slots=True)
class Retuned:
    """SIGHUP with a file that is in order."""

    begin: io.NodeConfig
    names: object
    hearing: object


@dataclass(frozen=True, slots=True)
class NotRetuned:
    """SIGHUP with one that is not: nothing changes."""


@dataclass(frozen=True, slots=True)
class Inherited:
    """From the process that this one replaces."""

    handed: object


@dataclass(frozen=True, slots=True)
class HandOverAsked:
    """By a successor of this process, which may hold `room` connections while both are there."""

    give: object  # called with what is handed over


@dataclass(frozen=True, slots=True)
class Tick:
    """Only time has passed."""


# Effects


@dataclass(frozen=True, slots=True)
class Connect:
    end: End
    address: tuple
    wait: int


@dataclass(frozen=True, slots=True)
class Ask:
    """Probe a host on a connection of its own; `Asked` comes within `wait` microseconds or little more."""

    host: object
    address: tuple
    wait: int


@dataclass(frozen=True, slots=True)
class Read:
    end: End


@dataclass(frozen=True, slots=True)
class Write:
    end: End
    data: bytes
    attempt: bool = False  # the first line of an attempt: it goes out only while its client is there
    by: int = 0  # and not later than this; 0: whenever


@dataclass(frozen=True, slots=True)
class Drain:
    """Read to the other side's end and drop what comes: `Over` follows.

    For an end that was closed from here.
    """

    end: End


@dataclass(frozen=True, slots=True)
class Finish:
    """End the sending; the other side is read until it ends too."""

    end: End


@dataclass(frozen=True, slots=True)
class Cut:
    """End both directions now; `broken` as a reset."""

    end: End
    broken: bool = False


@dataclass(frozen=True, slots=True)
class Quit:
    """The process is about to end and closes all sockets: what lies unread on them is taken, behind all that
    was written. Over unread bytes a close is a reset, which takes the last line with it.
    """


@dataclass(frozen=True, slots=True)
class Free:
    """Give the socket back: nothing is out on this end any more."""

    end: End


@dataclass(frozen=True, slots=True)
class Pass:
    """Pass a connection on which nothing is under way to the successor; `Passed` comes."""

    conn: object
    client: End
    host: End
    standing: object


@dataclass(frozen=True, slots=True)
class FollowList:
    pass


@dataclass(frozen=True, slots=True)
class Say:
    """A log line."""

    event: str
    pairs: dict
    level: str = "info"


@dataclass(frozen=True, slots=True)
class Stop:
    """The node is done."""
