"""A follower: a node's own view of the configuration; watches two replicas and puts what they tell into
force.

Seam for the shell:

- `step(now, event)` gives the effects of one event, to be carried out in their order. One thread calls it.
  The first event is `Started`, with the record of the saved file, or None and why there is none.
- Each `Ask` is ended by exactly one `Answered` or `Failed`, at `deadline` at the latest; calls of one
  follower are to different replicas, on connections that may be kept.
- A record goes `Check` (read whole, nothing changed) -> `Checked`; `Save` (whole file, fsync, rename) ->
  `Saved`; `Apply` (put into force) -> `Applied`. One record at a time; each step begins only after the
  step before was told as ok. Saved stands before applied, so that after a crash the version in force is
  never older than before it.
- A step that fails is told with ok=False and a `why`: the old record stays in force, the new one is
  reported as refused and tried again after `RECHECK` at the earliest or at a newer record. A failed
  `Apply` is followed by a `Save` of the old record.
- `Notice` is a line of the log and nothing else.
- `Judged` may be told at any time by the node's own health check of the version in force.
- `Tick` is told at `wake_at` or soon after.
"""

from dataclasses import dataclass
from enum import StrEnum

from cottonspread.configstore import messages as m


@dataclass(frozen=True, slots=True)
class Started:
    """The process begins; `saved` is what was in force, None: nothing, or unreadable (`why`)."""

    saved: m.Record | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Answered:
    """A watch was answered."""

    call: int
    answer: m.Answer


@dataclass(frozen=True, slots=True)
class Failed:
    """A watch was not answered, or by what cannot be read."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Checked:
    """The end of `Check`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Saved:
    """The end of `Save`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The end of `Apply`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Judged:
    """The node finds itself well, or ill, with the version in force."""

    version: int
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Started | Answered | Failed | Checked | Saved | Applied | Judged | Tick


@dataclass(frozen=True, slots=True)
class Ask:
    """Watch a replica."""

    call: int
    replica: str
    request: m.WatchRequest
    deadline: int


@dataclass(frozen=True, slots=True)
class Check:
    """Read this record whole, without changing anything."""

    record: m.Record


@dataclass(frozen=True, slots=True)
class Save:
    """Keep this record for the next start. None: nothing is in force, remove the file."""

    record: m.Record | None


@dataclass(frozen=True, slots=True)
class Apply:
    """Put this record into force."""

    record: m.Record


class Told(StrEnum):
    """What a `Notice` is about."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    DISTRUSTED = "distrusted"
    CUT_OFF = "cut-off"
    BACK = "back"


@dataclass(frozen=True, slots=True)
class Notice:
    """A line of the log."""

    what: Told
    version: int
    why: str = ""


Effect = Ask | Check | Save | Apply | Notice


@dataclass(frozen=True, slots=True)
class View:
    """What the node's own figures and status show."""

    version: int
    generation: int
    digest: str
    refused: int
    why: str
    cut_off: bool
    contact_age_us: int | None
    """Since a replica with a majority was last heard; None: never."""


class Follower:
    """One node.

    `wake_at`: when `Tick` is wanted next.
    """

    wake_at: int

    def __init__(self, node: str, replicas: tuple[str, ...], chance):
        """`chance()`: at least 0, below 1, from a seed."""

    def step(self, now: int, event: Event) -> list[Effect]:
        """What follows from an event."""
        raise NotImplementedError

    def view(self, now: int) -> View:
        """How it stands."""
        raise NotImplementedError
