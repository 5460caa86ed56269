"""A publisher: one run of the staff's command that drives one change through its stages.

Seam for the shell:

- `step(now, event)` gives the effects of one event, to be carried out in their order. The first event is
  `Started`; the run is over with `Done`, after which further events give nothing.
- Each `Call` is ended by exactly one `Replied` or `CallFailed`, at `deadline` at the latest.
- Nothing is kept on the publisher's own disk: a publisher that dies leaves the stage as it is, and another
  one with `Resume` or `Withdraw` reads all it needs from the replicas.
- `Tick` is told at `wake_at` or soon after.
"""

from dataclasses import dataclass
from enum import StrEnum

from cottonspread.configstore import messages as m


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish this body as a new version."""

    body: str
    without_canaries: bool = False
    """To all nodes at once."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Go on with the version that a dead publisher left at its stage."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw the version at stage CANARY and publish the body before it as a new version."""


Order = Publish | Resume | Withdraw


@dataclass(frozen=True, slots=True)
class Started:
    """The run begins."""


@dataclass(frozen=True, slots=True)
class Replied:
    """A replica's reply."""

    call: int
    reply: m.AcceptReply | m.CommitReply | m.StateReply


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A replica could not be asked, or replied what cannot be read."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Started | Replied | CallFailed | Tick


@dataclass(frozen=True, slots=True)
class Call:
    """Ask a replica."""

    call: int
    replica: str
    message: m.Accept | m.Commit | m.ReadState
    deadline: int


class Step(StrEnum):
    """How far a run is."""

    READING = "reading"
    PROPOSING = "proposing"
    COMMITTING = "committing"
    CANARIES = "canaries"


@dataclass(frozen=True, slots=True)
class Progress:
    """A line for staff."""

    step: Step
    version: int
    stage: m.Stage | None
    text: str


class Outcome(StrEnum):
    """How a run ended."""

    IN_FORCE = "in-force"
    """Committed EVERYWHERE by a majority."""
    WITHDRAWN = "withdrawn"
    """Canaries refused or stayed silent; the body before it is committed EVERYWHERE as a new version."""
    SUPERSEDED = "superseded"
    """Another publisher's change came first."""
    NO_QUORUM = "no-quorum"
    """No majority of replicas answered in time; what was begun may be left and is resumed or superseded."""
    NO_CANARIES = "no-canaries"
    """No node has reported, so none could try it; nothing was changed."""
    NOTHING = "nothing"
    """Nothing to resume or withdraw."""


@dataclass(frozen=True, slots=True)
class Done:
    """The end."""

    outcome: Outcome
    version: int
    why: str = ""


Effect = Call | Progress | Done


class Publisher:
    """One run.

    `wake_at`: when `Tick` is wanted next.
    """

    wake_at: int

    def __init__(self, replicas: tuple[str, ...], order: Order, chance):
        """`chance()`: at least 0, below 1, from a seed."""

    def step(self, now: int, event: Event) -> list[Effect]:
        """What follows from an event."""
        raise NotImplementedError
