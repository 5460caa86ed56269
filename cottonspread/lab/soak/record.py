"""What was observed in one soak run, for the audit.

Times are Unix times in seconds; times of received data are the kernel's receive timestamps.
"""

from dataclasses import dataclass, field


@dataclass
class Call:
    """A client's connection and its outcome."""

    id: str
    kind: str
    wait: float  # seconds that the client waits for its answer
    sent_at: float = 0.0  # when the last byte of its line was written; 0: never
    answers: list = field(default_factory=list)  # first words of the lines before and including UP, in order
    answered_at: float = 0.0
    up: bool = False
    moved: bool = False  # received MOVE
    ended: str = ""  # "end" or "reset" by the node; "" while it is open
    ended_at: float = 0.0
    host_ended: bool = False  # its host closed it, or had a fault that disconnects clients
    echoes: list = field(default_factory=list)  # (line sent at, echo received at; 0: never)


@dataclass(frozen=True)
class Attempt:
    """A first line that a host has read."""

    call: str
    host: str
    at: float
    may_have_run: bool


@dataclass(frozen=True)
class ListUpdate:
    """The time from which the node knows that a host is up (`up`), or that it drains or is gone."""

    host: str
    up: bool
    at: float


@dataclass
class Record:
    """The observations of one run."""

    seed: int
    faults: list
    calls: list = field(default_factory=list)
    attempts: list = field(default_factory=list)
    list_updates: list = field(default_factory=list)
    pings: list = field(default_factory=list)  # (sent at, answered at or 0, first word of the answer)
    ready_s: float = 0.0  # from the start of the process to the first PONG; 0: never ready
    term_at: float = 0.0  # when SIGTERM was sent; 0: not yet
    ended_s: float = 0.0  # seconds from SIGTERM to the end of the process; 0: it was killed
    exit_code: int = None
    open_at_exit: list = field(default_factory=list)  # IDs of calls still open when the process ended
    memory_mb: float = 0.0
    descriptors: int = 0
    log: str = ""
    late_s: float = 0.0  # the largest delay of a timer of the load generator
    late_cpu_s: float = 0.0  # processor time that the load generator used during that delay
    load: float = 0.0  # the machine's load average at the end
