"""A replica: accepts publishers' proposals, stores committed records and answers followers' watches.

Contract with the I/O shell:

- `step(now, event)` returns the effects of one event, to be executed in order. One thread calls it.
- A `Store` is durable (complete file written, fsync, rename, fsync of the folder) before the shell passes in
  `Stored(ok=True)`. At most one is in progress. Replies that depend on it are effects of `Stored`, so the
  shell needs no ordering beyond that of the effects. Meanwhile further writes are queued here, at most
  `MAX_QUEUED_WRITES`; the rest are rejected.
- A failed `Store` is reported as `Stored(ok=False)`: the write is refused, and the replica keeps its previous
  state. The file may then hold the old or the new state. That is harmless: a write that was not acknowledged
  may still be present after a restart.
- Each `RequestReceived` is followed by exactly one `Reply` or `Reject` (503 with Retry-After), unless
  `RequestAbandoned` comes first.
- Each `CallPeer` is followed by exactly one `PeerReplied` or `PeerFailed`, no later than `deadline`.
- `Tick` is passed in at `wake_at` or soon after.
- At start the shell passes the state read from disk. An unreadable state is not replaced by an empty one: a
  replica that has lost its accepted record must not take part (docs/notes/configstore.md).
"""

from collections import deque
from dataclasses import dataclass

from cottonspread.configstore import messages as m
from cottonspread.configstore import register
from cottonspread.configstore.peers import PEER_REPLY_GRACE, PEER_WATCH_TIMEOUT, Peers
from cottonspread.configstore.pending import PendingRequests
from cottonspread.configstore.reports import Reports

MAX_WATCHES = 2 * m.MAX_NODES
"""Each node normally has two watches; watches beyond this number are rejected."""
MAX_READERS = 64
"""Open state requests: from the other replicas, operators and publishers."""
MAX_QUEUED_WRITES = 64
"""Writes that wait for the one being stored: room for many publishers and both other replicas."""
NEVER = 2**62
"""The `wake_at` when no `Tick` is needed."""


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A complete request was received and decoded."""

    request: int
    message: m.WatchRequest | m.Accept | m.Commit | m.ReadState


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client closed its connection; no reply is expected."""

    request: int


@dataclass(frozen=True, slots=True)
class Stored:
    """Result of the `Store` with this token."""

    token: int
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class PeerReplied:
    """Another replica's reply."""

    call: int
    reply: m.StateReply


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """The call to another replica failed, or its reply was invalid."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = RequestReceived | RequestAbandoned | Stored | PeerReplied | PeerFailed | Tick


@dataclass(frozen=True, slots=True)
class Store:
    """Store this state durably, then pass in `Stored`."""

    token: int
    state: m.ReplicaState


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a request."""

    request: int
    message: m.WatchReply | m.AcceptReply | m.CommitReply | m.StateReply


@dataclass(frozen=True, slots=True)
class Reject:
    """Reply to a request with status 503."""

    request: int
    why: str


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Request another replica's state."""

    call: int
    peer: str
    message: m.ReadState
    deadline: int


Effect = Store | Reply | Reject | CallPeer


@dataclass(frozen=True, slots=True)
class _Write:
    """A queued change of the register. `request`: None if it comes from another replica's reply."""

    request: int | None
    message: m.Accept | m.Commit | m.StateReply


class Replica:
    """The state machine of one replica.

    `wake_at`: when the next `Tick` is due. `state`: the durable state.
    """

    def __init__(self, name: str, peers: tuple[str, ...], state: m.ReplicaState, uniform):
        """`peers`: the other replicas. `uniform()`: seeded random numbers in [0, 1)."""
        self.name, self.state, self.wake_at = name, state, 0
        self.reports = Reports()
        self._peers = Peers(peers, uniform)
        self._writes: deque[_Write] = deque()
        self._storing: tuple[_Write, m.ReplicaState] | None = None
        self._token = 0
        self._watches, self._readers = PendingRequests(), PendingRequests()
        self._effects: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """Returns the effects of an event."""
        self._effects = []
        match event:
            case RequestReceived():
                self._request_received(now, event)
            case RequestAbandoned():
                self._request_abandoned(event.request)
            case Stored():
                self._stored(now, event)
            case PeerReplied():
                self._peer_replied(now, event)
            case PeerFailed():
                self._peers.failed(now, event.call)
        self._expire_waiting(now)
        self._call_peers(now)
        self._schedule_wake()
        return self._effects

    def majority_age(self, now: int) -> int | None:
        """Returns the time since this replica last knew that it belongs to a majority.

        None: not since its start.
        """
        return self._peers.majority_age(now)

    @property
    def watches(self) -> int:
        """Number of open watches."""
        return len(self._watches)

    # Requests

    def _request_received(self, now: int, event: RequestReceived) -> None:
        match event.message:
            case m.WatchRequest():
                self._handle_watch(now, event.request, event.message)
            case m.ReadState():
                self._handle_read_state(now, event.request, event.message)
            case m.Accept() | m.Commit():
                self._queue_write(now, _Write(event.request, event.message))

    def _request_abandoned(self, request: int) -> None:
        self._watches.remove(request)
        self._readers.remove(request)

    def _handle_watch(self, now: int, request: int, message: m.WatchRequest) -> None:
        self.reports.add(now, message.report)
        if self._has_newer_record(message) or message.timeout_ms == 0:
            self._reply_to_watch(now, request, message)
        elif len(self._watches) >= MAX_WATCHES:
            self._effects.append(Reject(request, "too many watches"))
        else:
            self._watches.add(request, message, now + message.timeout_ms * m.MILLISECOND)

    def _record_for(self, node: str) -> m.Record | None:
        """Returns the newest committed record that the node may apply."""
        committed = self.state.committed
        if committed is not None and committed.applies_to(node):
            return committed
        return self.state.good

    def _has_newer_record(self, message: m.WatchRequest) -> bool:
        return register.generation_of(self._record_for(message.report.node)) > message.since

    def _reply_to_watch(self, now: int, request: int, message: m.WatchRequest) -> None:
        record = self._record_for(message.report.node)
        generation = register.generation_of(record)
        is_newer = generation > message.since
        reply = m.WatchReply(
            generation=generation,
            reset=is_newer,
            record=record if is_newer else None,
            majority_age_us=self.majority_age(now),
            replica=self.name,
        )
        self._effects.append(Reply(request, reply))

    def _handle_read_state(self, now: int, request: int, message: m.ReadState) -> None:
        if message.timeout_ms == 0 or self._has_newer_state(message):
            self._reply_with_state(now, request, message)
        elif len(self._readers) >= MAX_READERS:
            self._effects.append(Reject(request, "too many readers"))
        else:
            self._readers.add(request, message, now + message.timeout_ms * m.MILLISECOND)

    def _has_newer_state(self, message: m.ReadState) -> bool:
        return (
            register.generation_of(self.state.committed) > message.since
            or register.generation_of(self.state.good) > message.good_since
        )

    def _reply_with_state(self, now: int, request: int, message: m.ReadState) -> None:
        state = self.state
        reply = m.StateReply(
            replica=self.name,
            accepted=register.accepted_position(state),
            accepted_record=_if_newer(state.accepted, message.since),
            committed=_if_newer(state.committed, message.since),
            committed_generation=register.generation_of(state.committed),
            good=_if_newer(state.good, message.good_since),
            majority_age_us=self.majority_age(now),
            reports=self._reports_for(now, message) if message.reports else [],
            reports_dropped=self.reports.dropped,
        )
        self._effects.append(Reply(request, reply))

    def _reports_for(self, now: int, message: m.ReadState) -> list[m.ReceivedReport]:
        watching = {pending.message.report.node for _, pending in self._watches}
        return self.reports.select(now, message.nodes, watching)

    # Writes, one at a time

    def _queue_write(self, now: int, write: _Write) -> None:
        if len(self._writes) >= MAX_QUEUED_WRITES:
            if write.request is not None:
                self._effects.append(Reject(write.request, "too many writes"))
            return
        self._writes.append(write)
        self._start_writes(now)

    def _start_writes(self, now: int) -> None:
        while self._storing is None and self._writes:
            write = self._writes.popleft()
            try:
                state = _state_after(self.state, write.message)
            except register.RefusedError as error:
                self._refuse(write, str(error))
                continue
            if state is self.state:
                self._acknowledge(write)
                continue
            self._token += 1
            self._storing = write, state
            self._effects.append(Store(self._token, state))

    def _stored(self, now: int, event: Stored) -> None:
        if self._storing is None or event.token != self._token:
            return
        write, state = self._storing
        self._storing = None
        if event.ok:
            self.state = state
            self._acknowledge(write)
            self._reply_to_waiting(now)
        else:
            self._refuse(write, f"not stored: {event.why}")
        self._start_writes(now)

    def _acknowledge(self, write: _Write) -> None:
        match write.message:
            case m.Accept():
                reply = m.AcceptReply(accepted=True, position=register.accepted_position(self.state))
                self._effects.append(Reply(write.request, reply))
            case m.Commit():
                generation = register.generation_of(self.state.committed)
                self._effects.append(
                    Reply(write.request, m.CommitReply(committed=True, generation=generation))
                )

    def _refuse(self, write: _Write, why: str) -> None:
        why = why[: m.MAX_WHY_LENGTH]
        match write.message:
            case m.Accept():
                position = register.accepted_position(self.state)
                self._effects.append(
                    Reply(write.request, m.AcceptReply(accepted=False, position=position, why=why))
                )
            case m.Commit():
                generation = register.generation_of(self.state.committed)
                reply = m.CommitReply(committed=False, generation=generation, why=why)
                self._effects.append(Reply(write.request, reply))

    def _reply_to_waiting(self, now: int) -> None:
        """Replies to the waiting requests for which the state now has news."""
        for request, pending in self._watches:
            if self._has_newer_record(pending.message):
                self._watches.remove(request)
                self._reply_to_watch(now, request, pending.message)
        for request, pending in self._readers:
            if self._has_newer_state(pending.message):
                self._readers.remove(request)
                self._reply_with_state(now, request, pending.message)

    # The other replicas

    def _peer_replied(self, now: int, event: PeerReplied) -> None:
        if not self._peers.replied(now, event.call):
            return
        reply = event.reply
        committed = register.generation_of(self.state.committed)
        good = register.generation_of(self.state.good)
        if register.generation_of(reply.committed) > committed or register.generation_of(reply.good) > good:
            self._queue_write(now, _Write(None, reply))

    def _call_peers(self, now: int) -> None:
        message = m.ReadState(
            since=register.generation_of(self.state.committed),
            good_since=register.generation_of(self.state.good),
            timeout_ms=PEER_WATCH_TIMEOUT // m.MILLISECOND,
        )
        for call, peer in self._peers.due(now):
            self._effects.append(CallPeer(call, peer, message, now + PEER_WATCH_TIMEOUT + PEER_REPLY_GRACE))

    # Time

    def _expire_waiting(self, now: int) -> None:
        for request, pending in self._watches.pop_expired(now):
            self._reply_to_watch(now, request, pending.message)
        for request, pending in self._readers.pop_expired(now):
            self._reply_with_state(now, request, pending.message)

    def _schedule_wake(self) -> None:
        times = self._watches.next_deadline(), self._readers.next_deadline(), self._peers.next_call_at()
        self.wake_at = min((time for time in times if time is not None), default=NEVER)


def _if_newer(record: m.Record | None, since: int) -> m.Record | None:
    return record if register.generation_of(record) > since else None


def _state_after(state: m.ReplicaState, message) -> m.ReplicaState:
    match message:
        case m.Accept():
            return register.accept(state, message.base, message.record)
        case m.Commit():
            return register.commit(state, message.record)
        case m.StateReply():
            return register.catch_up(state, message.committed, message.good)
