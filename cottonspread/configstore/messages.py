"""What replicas, followers and publishers say to each other: frozen structs with their JSON form.

Every field is checked when it is read (`decode`), with a bound on each size. A *generation* counts every
state that was ever proposed: a version at a stage. A *version* counts bodies. Both only grow, and of two
committed records the one with the higher generation never has the lower version.

Ways (HTTP/1.1, JSON bodies):

| way | asks | answers |
| --- | --- | --- |
| `GET /api/configuration?...` (`WatchRequest` as query, see `to_query`) | follower | `WatchReply` |
| `POST /api/configuration/accept` | publisher | `AcceptReply` |
| `POST /api/configuration/commit` | publisher | `CommitReply` |
| `POST /api/configuration/state` (`ReadState`) | publisher, status, other replicas | `StateReply` |
"""

import hashlib
from enum import IntEnum
from typing import Annotated
from urllib.parse import parse_qsl, urlencode

import msgspec
from msgspec import Meta, field

SECOND = 1_000_000
MILLISECOND = 1_000

MAX_BODY_LENGTH = 256 * 1024
"""Characters of a body: thirty times the largest operator's file met so far."""
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Bytes of a message: two bodies escaped as JSON, and the reports of `MAX_NODES` nodes."""
MAX_NAME_LENGTH = 128
MAX_WHY_LENGTH = 200
MAX_NODES = 2_000
"""Nodes whose reports a replica keeps: nearly five times the fleet it is made for."""
MAX_NUMBER = 2**53 - 1
"""The largest number that every JSON reader keeps exactly."""
MAX_WATCH_MS = 60_000

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"\A[A-Za-z0-9._:-]+\Z")]
Why = Annotated[str, Meta(max_length=MAX_WHY_LENGTH)]
Digest = Annotated[str, Meta(pattern=r"\A[0-9a-f]{64}\Z")]
Checksum = Annotated[str, Meta(pattern=r"\A[0-9a-f]{16}\Z")]
Body = Annotated[str, Meta(max_length=MAX_BODY_LENGTH)]
Threshold = Annotated[int, Meta(ge=0, le=2**32)]


class MessageError(ValueError):
    """A message that cannot be used; it says which field and why."""


class Stage(IntEnum):
    """How far a committed version may go."""

    CANARY = 1
    EVERYWHERE = 2
    WITHDRAWN = 3


class Message(msgspec.Struct, frozen=True):
    """Base of all; unknown fields are passed over, so that old and new releases understand each other."""


class Position(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Which state a replica holds, without its body; the compare-and-set of `Accept` compares it."""

    generation: Number = 0
    version: Number = 0
    stage: Stage = Stage.EVERYWHERE
    checksum: Annotated[str, Meta(pattern=r"\A([0-9a-f]{16})?\Z")] = field(default="", name="seal")
    """Of the record: two proposals of one generation differ in it."""


EMPTY_POSITION = Position()
"""The position of a replica that holds nothing."""


class Record(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A version at a stage, whole."""

    generation: Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
    version: Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
    stage: Stage
    canary_below: Threshold
    """A node whose `canary_hash` for this version lies below is a canary."""
    digest: Digest
    """SHA-256 of the body in UTF-8."""
    checksum: Checksum = field(name="seal")
    """Checksum of all fields but the body, so that a damaged number is noticed like a damaged body."""
    body: Body

    @property
    def position(self) -> Position:
        """The same without body."""
        return Position(
            generation=self.generation, version=self.version, stage=self.stage, checksum=self.checksum
        )

    def is_valid(self) -> bool:
        """Digest and checksum fit what the record says."""
        return self.digest == digest_of(self.body) and self.checksum == checksum_of(
            self.generation, self.version, self.stage, self.canary_below, self.digest
        )

    def applies_to(self, node: str) -> bool:
        """The node may put it into force at this stage."""
        if self.stage == Stage.EVERYWHERE:
            return True
        return self.stage == Stage.CANARY and canary_hash(node, self.version) < self.canary_below


def digest_of(body: str) -> str:
    """SHA-256 of a body, in hexadecimal."""
    return hashlib.sha256(body.encode("utf-8", "surrogatepass")).hexdigest()


def checksum_of(generation: int, version: int, stage: int, canary_below: int, digest: str) -> str:
    """Checksum of a record's head."""
    head = f"{generation} {version} {int(stage)} {canary_below} {digest}"
    return hashlib.blake2b(head.encode(), digest_size=8).hexdigest()


def make_record(generation: int, version: int, stage: Stage, canary_below: int, body: str) -> Record:
    """A record with its digest and checksum."""
    digest = digest_of(body)
    return Record(
        generation=generation,
        version=version,
        stage=stage,
        canary_below=canary_below,
        digest=digest,
        checksum=checksum_of(generation, version, stage, canary_below, digest),
        body=body,
    )


def canary_hash(node: str, version: int) -> int:
    """Below 2 to the 32; other nodes for each version, so that it is not always the same that go first."""
    return int.from_bytes(hashlib.sha256(f"{version}:{node}".encode()).digest()[:4], "big")


class NodeReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a node says of itself with each watch."""

    node: Name
    in_force: Number = 0
    """Version in force; 0: none."""
    refused: Number = 0
    """Version that the node last refused, or could not put into force; 0: none since its last change."""
    failing: Number = 0
    """Version in force with which the node finds itself ill (see `follower.HealthReported`); 0: none."""
    why: Why = ""
    """Of `refused` or `failing`."""
    cut_off: bool = False
    """The node had been cut off (see `follower.CUT_OFF_AFTER`) when it asked."""


class WatchRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A follower's watch: answered at once where there is news for it, else at news or after `timeout_ms`."""

    since: Number
    """Generation of the newest record that the follower has considered; 0: none."""
    timeout_ms: Annotated[int, Meta(ge=0, le=MAX_WATCH_MS)]
    report: NodeReport


class WatchReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a watch, in the list protocol's shape."""

    generation: Number
    """Of the record that this node would be given now."""
    reset: bool = False
    """True: `record` is the whole of it."""
    record: Record | None = None
    """None: nothing newer than `since`."""
    majority_age_us: Number | None = None
    """How long ago the replica was last known to be one of a majority; None: not since its start."""
    replica: Name


class Accept(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Publisher: take this record as proposed, if the highest position that you ever accepted is `base`."""

    base: Position
    record: Record


class AcceptReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Whether it was taken, and the highest position accepted now."""

    accepted: bool
    position: Position
    why: Why = ""


class Commit(Message, frozen=True, kw_only=True, omit_defaults=True):
    """This record was accepted by a majority: serve it."""

    record: Record


class CommitReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """True: this record or a newer one is committed here, durably."""

    committed: bool
    generation: Number
    why: Why = ""


class ReadState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Asks for a replica's state."""

    since: Number = 0
    """Records accepted or committed up to this generation are left out."""
    good_since: Number = 0
    """`good` up to this generation is left out."""
    timeout_ms: Annotated[int, Meta(ge=0, le=MAX_WATCH_MS)] = 0
    """Wait so long for something committed over these (the other replicas ask so); 0: answer now."""
    reports: bool = False
    """With the nodes' reports."""
    nodes: Annotated[list[Name], Meta(max_length=MAX_NODES)] = []
    """Reports of these alone; empty: of all."""


class ReceivedReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A node's newest report at this replica."""

    report: NodeReport
    age_us: Number
    """Since it was heard."""
    watching: bool
    """The node has a watch open at this replica now."""


class StateReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A replica's state."""

    replica: Name
    accepted: Position
    """The highest ever accepted."""
    accepted_record: Record | None = None
    """With its body; None: none, or not over `since`."""
    committed: Record | None = None
    """None: none, or not over `since`."""
    committed_generation: Number = 0
    good: Record | None = None
    """The newest committed EVERYWHERE; None: none, or not over `since`."""
    majority_age_us: Number | None = None
    reports: Annotated[list[ReceivedReport], Meta(max_length=MAX_NODES)] = []
    reports_dropped: Number = 0
    """Reports of nodes beyond `MAX_NODES` that were not kept."""


class ReplicaState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a replica must have on its disk before it acknowledges."""

    accepted: Record | None = None
    committed: Record | None = None
    good: Record | None = None


def encode(message: Message) -> bytes:
    """Its JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes, kind: type):
    """A message of that kind; MessageError where it is too long, no JSON, or a field is out of its bounds."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"{kind.__name__}: {len(data)} bytes")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise MessageError(f"{kind.__name__}: {str(fault)[:MAX_WHY_LENGTH]}") from None


def to_query(request: WatchRequest) -> str:
    """A watch as the query of its URL; defaults are left out."""
    pairs = {"since": request.since, "timeout_ms": request.timeout_ms}
    report = msgspec.to_builtins(request.report)
    pairs |= {key: int(value) if isinstance(value, bool) else value for key, value in report.items()}
    return urlencode(pairs)


MAX_QUERY_LENGTH = 4_096
QUERY_FIELDS = {"since", "timeout_ms"}


def from_query(query: str) -> WatchRequest:
    """The watch that a query asks; MessageError where a field is faulty."""
    if len(query) > MAX_QUERY_LENGTH:
        raise MessageError(f"query: {len(query)} characters")
    try:
        pairs = dict(parse_qsl(query, keep_blank_values=True, strict_parsing=True, max_num_fields=32))
        nested = {key: pairs[key] for key in QUERY_FIELDS & pairs.keys()}
        nested["report"] = {key: value for key, value in pairs.items() if key not in QUERY_FIELDS}
        return msgspec.convert(nested, WatchRequest, strict=False)
    except (msgspec.ValidationError, ValueError) as fault:
        raise MessageError(f"query: {str(fault)[:MAX_WHY_LENGTH]}") from None
