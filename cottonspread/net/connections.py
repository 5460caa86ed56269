"""What the reducer knows of clients' connections, of their legs at hosts, and of the hosts."""

from dataclasses import dataclass, field
from operator import attrgetter

from cottonspread import interface as io
from cottonspread.interface import Ending
from cottonspread.net import events as ev
from cottonspread.net import lines
from cottonspread.net.active_set import ActiveSet
from cottonspread.net.message_delays import ConnectionSignals, MessageDelays


@dataclass(eq=False)
class Leg:
    """A connection to a host, for one call."""

    conn: "Conn"
    number: int  # index in `Conn.legs`
    host: "Host"
    deadline: int  # for the host's answer
    send_by: int = 0  # do not start to send the first line after this time; 0: while the call is open
    address: tuple = None  # that it was connected to
    end: ev.ConnectionEnd = None
    write_issued: bool = False  # the first line was passed to the workers
    written: bool = False  # the first line was written completely
    up: bool = False  # the host accepted the call (UP)
    ended: bool = False
    announced_ending: Ending = None  # from the host's last line (BYE, MOVE or BUSY)
    established_order: int = 0  # rises in the order in which legs are established
    signals: ConnectionSignals = field(default_factory=ConnectionSignals)


@dataclass(eq=False)
class Conn:
    """A client's connection and its call. The object is also the call's id for the balancer."""

    client: ev.ConnectionEnd
    accepted_at: int
    request: lines.OpenRequest = None
    type: io.TrafficType = None  # as configured when the call was opened; later reloads do not change it
    max_legs: int = 1  # likewise
    guard: int = 0  # the end of its guard time
    legs: list = field(default_factory=list)
    answered: bool = False  # it has had its final answer, or its client has left
    up: bool = False  # established: a host accepted the call
    move_reason: str = ""  # reason code if the client is to be moved; "" if not
    reason: str = ""  # reason code of its end; "" while it is open
    setup_time: int = 0
    pings: int = 0  # received before the first line
    counted: bool = False  # its answer is included in the counters
    order: int = 0  # rises in the order of arrival
    registered_at: int = 0  # when the reducer learned of it


@dataclass(eq=False)
class Host:
    """What a front end knows of a host: its address, its legs and the delay of its messages."""

    name: object
    message_delays: MessageDelays
    address: tuple = None
    legs: dict = field(default_factory=dict)  # established legs, used as an ordered set
    order: int = 0  # rises in the order in which hosts are first seen
    awaiting_echo: ActiveSet = None  # legs on which a line may be waiting for its echo

    def __post_init__(self):
        """Sets up `awaiting_echo`, which needs the object itself."""
        self.awaiting_echo = ActiveSet(
            lambda leg: leg in self.legs and leg.signals.awaiting_echo, attrgetter("established_order")
        )
