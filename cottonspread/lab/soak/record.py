"""What one play has seen, for the audit. Times: seconds of the wall clock, of arrivals the kernel's."""

from dataclasses import dataclass, field


@dataclass
class Call:
    """A client's connection and what became of it."""

    id: str
    kind: str
    wait: float  # seconds that the client waits for its answer
    sent_at: float = 0.0  # when the last byte of its line was written; 0: never
    answers: list = field(default_factory=list)  # first words of lines before the connection was up, in order
    answered_at: float = 0.0
    up: bool = False
    moved: bool = False  # heard MOVE
    ended: str = ""  # "end" or "reset" by the node; "" while it stands
    ended_at: float = 0.0
    host_ended: bool = False  # its host ended it, or was in a trouble that cuts connections
    echoes: list = field(default_factory=list)  # (line sent at, echo back at; 0: never)


@dataclass(frozen=True)
class Attempt:
    """A first line that a host read."""

    call: str
    host: str
    at: float
    may_have_run: bool


@dataclass(frozen=True)
class ListUpdate:
    """The node was told that a host drains or is gone, or that it is up."""

    host: str
    up: bool
    at: float


@dataclass
class Record:
    """One play."""

    seed: int
    faults: list
    calls: list = field(default_factory=list)
    attempts: list = field(default_factory=list)
    list_updates: list = field(default_factory=list)
    pings: list = field(default_factory=list)  # (asked at, answered at or 0, first word)
    ready_s: float = 0.0
    term_at: float = 0.0
    ended_s: float = 0.0  # after SIGTERM; 0: it was killed
    exit_code: int = None
    open_at_exit: list = field(default_factory=list)  # calls that stood as the process was killed or ended
    memory_mb: float = 0.0
    descriptors: int = 0
    log: str = ""
    late_s: float = 0.0  # the most that the generator was late itself
    load: float = 0.0  # load average at the end
