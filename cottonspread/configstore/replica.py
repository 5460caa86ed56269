"""A replica: accepts what publishers propose, keeps what is committed, answers the watches of followers.

Seam for the shell:

- `step(now, event)` gives the effects of one event, to be carried out in their order. One thread calls it.
- `Store` is durable (whole file written, fsync, rename, fsync of the folder) before `Stored(ok=True)` is
  told. At most one is on its way. What depends on it is replied only as an effect of `Stored`, so the
  shell has no order to keep besides that of the effects. While one is on its way further writes wait
  inside, at most `WRITES_WAITING`, others are turned away.
- A `Store` that fails is told as `Stored(ok=False)`: the write is refused, and the replica goes on with
  what it had. Whether the file is the old or the new one is then open, and harmless: what was not
  acknowledged may be there after a restart.
- Each `Asked` is ended by exactly one `Reply` or `TurnAway` (503 with Retry-After), unless `Gone` is told.
- Each `AskPeer` is ended by exactly one `PeerAnswered` or `PeerFailed`, at `deadline` at the latest.
- `Tick` is told at `wake_at` or soon after.
- At its start the shell gives the state that it reads from disk. A state that cannot be read is not
  replaced by an empty one: a replica that has forgotten what it accepted must not take part
  (docs/notes/configstore.md).
"""

from dataclasses import dataclass

from cottonspread.configstore import messages as m


@dataclass(frozen=True, slots=True)
class Asked:
    """A request came in whole and was decoded."""

    request: int
    message: m.WatchRequest | m.Accept | m.Commit | m.ReadState


@dataclass(frozen=True, slots=True)
class Gone:
    """Who asked has closed; no reply is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The end of the `Store` with that token."""

    token: int
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another replica's answer."""

    call: int
    reply: m.StateReply


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Another replica could not be asked, or answered what cannot be read."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Asked | Gone | Stored | PeerAnswered | PeerFailed | Tick


@dataclass(frozen=True, slots=True)
class Store:
    """Make this durable, then tell `Stored`."""

    token: int
    state: m.ReplicaState


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request."""

    request: int
    message: m.Answer | m.AcceptReply | m.CommitReply | m.StateReply


@dataclass(frozen=True, slots=True)
class TurnAway:
    """Answer a request with 503."""

    request: int
    why: str


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask another replica's state."""

    call: int
    peer: str
    message: m.ReadState
    deadline: int


Effect = Store | Reply | TurnAway | AskPeer


class Replica:
    """One of the control machines.

    `wake_at`: when `Tick` is wanted next.
    """

    wake_at: int

    def __init__(self, name: str, peers: tuple[str, ...], state: m.ReplicaState, chance):
        """`peers`: the other replicas. `chance()`: at least 0, below 1, from a seed."""

    def step(self, now: int, event: Event) -> list[Effect]:
        """What follows from an event."""
        raise NotImplementedError
