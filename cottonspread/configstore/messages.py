"""Messages between replicas, followers and publishers: frozen structs and their JSON encoding.

`decode` validates every field and bounds each size. A *generation* numbers every proposed state, that is, a
version at a stage. A *version* numbers bodies. Both only increase, and of two committed records the one with
the higher generation never has the lower version.

Endpoints (HTTP/1.1, JSON bodies):

| endpoint | client | reply |
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
"""Characters of a body: thirty times the largest operator's file seen so far."""
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Bytes of a message: enough for two JSON-escaped bodies and the reports of `MAX_NODES` nodes."""
MAX_NAME_LENGTH = 128
MAX_WHY_LENGTH = 200
MAX_NODES = 2_000
"""Nodes whose reports a replica keeps: nearly five times the fleet size it is designed for."""
MAX_NUMBER = 2**53 - 1
"""The largest integer that every JSON parser represents exactly."""
MAX_WATCH_MS = 60_000

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"\A[A-Za-z0-9._:-]+\Z")]
Why = Annotated[str, Meta(max_length=MAX_WHY_LENGTH)]
Digest = Annotated[str, Meta(pattern=r"\A[0-9a-f]{64}\Z")]
Checksum = Annotated[str, Meta(pattern=r"\A[0-9a-f]{16}\Z")]
Body = Annotated[str, Meta(max_length=MAX_BODY_LENGTH)]
Threshold = Annotated[int, Meta(ge=0, le=2**32)]


class MessageError(ValueError):
    """An invalid message; the text names the field and the reason."""


class Stage(IntEnum):
    """How far a committed version is rolled out."""

    CANARY = 1
    EVERYWHERE = 2
    WITHDRAWN = 3


class Message(msgspec.Struct, frozen=True):
    """Base class; unknown fields are ignored, so that old and new releases understand each other."""


class Position(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Identifies a replica's state without its body; the compare-and-set of `Accept` compares it."""

    generation: Number = 0
    version: Number = 0
    stage: Stage = Stage.EVERYWHERE
    checksum: Annotated[str, Meta(pattern=r"\A([0-9a-f]{16})?\Z")] = field(default="", name="seal")
    """The record's checksum; it tells two proposals of one generation apart. JSON key: seal."""


EMPTY_POSITION = Position()
"""The position of a replica without any record."""


class Record(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A version at a stage, with its body."""

    generation: Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
    version: Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
    stage: Stage
    canary_below: Threshold
    """A node is a canary if its `canary_hash` for this version is below this threshold."""
    digest: Digest
    """SHA-256 of the UTF-8 body, in hexadecimal."""
    checksum: Checksum = field(name="seal")
    """Checksum of all fields but the body, so that a corrupt number is detected like a corrupt body.

    JSON key: seal.
    """
    body: Body

    @property
    def position(self) -> Position:
        """The record's position, without the body."""
        return Position(
            generation=self.generation, version=self.version, stage=self.stage, checksum=self.checksum
        )

    def is_valid(self) -> bool:
        """Whether digest and checksum match the record's contents."""
        return self.digest == digest_of(self.body) and self.checksum == checksum_of(
            self.generation, self.version, self.stage, self.canary_below, self.digest
        )

    def applies_to(self, node: str) -> bool:
        """Whether the node may apply the record at this stage."""
        if self.stage == Stage.EVERYWHERE:
            return True
        return self.stage == Stage.CANARY and canary_hash(node, self.version) < self.canary_below


def digest_of(body: str) -> str:
    """Returns the SHA-256 of a body, in hexadecimal."""
    return hashlib.sha256(body.encode("utf-8", "surrogatepass")).hexdigest()


def checksum_of(generation: int, version: int, stage: int, canary_below: int, digest: str) -> str:
    """Returns the checksum of a record's fields other than the body."""
    head = f"{generation} {version} {int(stage)} {canary_below} {digest}"
    return hashlib.blake2b(head.encode(), digest_size=8).hexdigest()


def make_record(generation: int, version: int, stage: Stage, canary_below: int, body: str) -> Record:
    """Creates a record with its digest and checksum."""
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
    """Returns a hash below 2**32 that ranks nodes differently for each version.

    So the canaries are not the same nodes each time.
    """
    return int.from_bytes(hashlib.sha256(f"{version}:{node}".encode()).digest()[:4], "big")


class NodeReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A node's own status, sent with each watch."""

    node: Name
    in_force: Number = 0
    """Version in force (applied and running); 0: none."""
    refused: Number = 0
    """Version that the node last refused or failed to apply; 0: none since its last change."""
    failing: Number = 0
    """Version in force with which the node is unhealthy (see `follower.HealthReported`); 0: none."""
    why: Why = ""
    """Reason for `refused` or `failing`."""
    cut_off: bool = False
    """The node was cut off from the store (see `follower.CUT_OFF_AFTER`) when it sent the report."""


class WatchRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A follower's long poll: answered once a newer record exists for it, or after `timeout_ms`."""

    since: Number
    """Generation of the newest record that the follower has processed; 0: none."""
    timeout_ms: Annotated[int, Meta(ge=0, le=MAX_WATCH_MS)]
    report: NodeReport


class WatchReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Reply to a watch, with the same fields as the host list protocol."""

    generation: Number
    """Generation of the newest record for this node."""
    reset: bool = False
    """True: `record` is the complete state."""
    record: Record | None = None
    """None: nothing newer than `since`."""
    majority_age_us: Number | None = None
    """Time since the replica last knew that it belongs to a majority; None: not since its start."""
    replica: Name


class Accept(Message, frozen=True, kw_only=True, omit_defaults=True):
    """From a publisher: accept this proposed record if the highest position ever accepted is `base`."""

    base: Position
    record: Record


class AcceptReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Whether the record was accepted, and the highest position accepted now."""

    accepted: bool
    position: Position
    why: Why = ""


class Commit(Message, frozen=True, kw_only=True, omit_defaults=True):
    """From a publisher: a majority accepted this record; commit and serve it."""

    record: Record


class CommitReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Whether this record or a newer one is durably committed at the replica."""

    committed: bool
    generation: Number
    why: Why = ""


class ReadState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Request for a replica's state."""

    since: Number = 0
    """Records accepted or committed up to this generation are omitted."""
    good_since: Number = 0
    """`good` up to this generation is omitted."""
    timeout_ms: Annotated[int, Meta(ge=0, le=MAX_WATCH_MS)] = 0
    """Long poll: wait this long for a commit newer than these (used by the other replicas); 0: reply now."""
    reports: bool = False
    """Include the nodes' reports."""
    nodes: Annotated[list[Name], Meta(max_length=MAX_NODES)] = []
    """Only the reports of these nodes; empty: of all."""


class ReceivedReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A node's newest report at this replica."""

    report: NodeReport
    age_us: Number
    """Time since the report was received."""
    watching: bool
    """Whether the node has a watch open at this replica now."""


class StateReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A replica's state."""

    replica: Name
    accepted: Position
    """The highest position ever accepted."""
    accepted_record: Record | None = None
    """The accepted record with its body; None: none, or not newer than `since`."""
    committed: Record | None = None
    """None: none, or not newer than `since`."""
    committed_generation: Number = 0
    good: Record | None = None
    """The newest record committed at stage EVERYWHERE; None: none, or not newer than `good_since`."""
    majority_age_us: Number | None = None
    reports: Annotated[list[ReceivedReport], Meta(max_length=MAX_NODES)] = []
    reports_dropped: Number = 0
    """Reports discarded because `MAX_NODES` other nodes were already kept."""


class ReplicaState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a replica must have stored durably before it acknowledges a write."""

    accepted: Record | None = None
    committed: Record | None = None
    good: Record | None = None


def encode(message: Message) -> bytes:
    """Encodes a message as JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes, kind: type):
    """Decodes a message of type `kind`.

    Raises MessageError if it is too long, not JSON, or a field is out of bounds.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"{kind.__name__}: {len(data)} bytes exceed the limit")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"{kind.__name__}: {str(error)[:MAX_WHY_LENGTH]}") from None


def to_query(request: WatchRequest) -> str:
    """Returns a watch as a URL query; defaults are omitted."""
    pairs = {"since": request.since, "timeout_ms": request.timeout_ms}
    report = msgspec.to_builtins(request.report)
    pairs |= {key: int(value) if isinstance(value, bool) else value for key, value in report.items()}
    return urlencode(pairs)


MAX_QUERY_LENGTH = 4_096
QUERY_FIELDS = {"since", "timeout_ms"}


def from_query(query: str) -> WatchRequest:
    """Parses a watch from a URL query. Raises MessageError if a field is invalid."""
    if len(query) > MAX_QUERY_LENGTH:
        raise MessageError(f"query: {len(query)} characters exceed the limit")
    try:
        pairs = dict(parse_qsl(query, keep_blank_values=True, strict_parsing=True, max_num_fields=32))
        nested = {key: pairs[key] for key in QUERY_FIELDS & pairs.keys()}
        nested["report"] = {key: value for key, value in pairs.items() if key not in QUERY_FIELDS}
        return msgspec.convert(nested, WatchRequest, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise MessageError(f"query: {str(error)[:MAX_WHY_LENGTH]}") from None
