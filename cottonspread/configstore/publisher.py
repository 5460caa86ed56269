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
from cottonspread.configstore.calls import CALL_TIMEOUT, Calls
from cottonspread.configstore.canaries import Canaries, Verdict
from cottonspread.configstore.seen import Seen, canaries_of, canary_threshold, summarize_replies

PHASE_TIMEOUT = 5 * m.SECOND
"""Without a majority's replies for so long a run ends with NO_QUORUM; five calls to a replica fit into it."""
POLL = 100 * m.MILLISECOND
"""Between two looks at the canaries' reports."""
ROUNDS_AT_MOST = 8
"""Proposals of one run that lost against another publisher's before it gives up."""
CONFLICT_PAUSE = 200 * m.MILLISECOND
"""Up to so much, drawn, and doubling with each lost round, so that one of two publishers gets through."""
NEVER = 2**62
"""A `wake_at` that nobody needs to meet."""


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
    UNDER_WAY = "under-way"
    """Another version is at its canaries: wait for its publisher, or resume or withdraw it. Nothing was
    changed."""
    NOTHING = "nothing"
    """Nothing to resume or withdraw."""


@dataclass(frozen=True, slots=True)
class Done:
    """The end."""

    outcome: Outcome
    version: int
    why: str = ""


Effect = Call | Progress | Done


@dataclass(frozen=True, slots=True)
class _NewVersion:
    """The goal of a round: a body under a version that nobody has used."""

    body: str
    stage: m.Stage


@dataclass(frozen=True, slots=True)
class _ChangeStage:
    """The goal of a round: the committed version at its next stage."""

    record: m.Record
    stage: m.Stage


class Publisher:
    """One run.

    `wake_at`: when `Tick` is wanted next. A round is: read a majority's states, propose, commit.
    """

    def __init__(self, replicas: tuple[str, ...], order: Order, chance):
        """`chance()`: at least 0, below 1, from a seed."""
        self.wake_at = 0
        self._replicas, self._order, self._chance = replicas, order, chance
        self._majority = len(replicas) // 2 + 1
        self._calls = Calls(chance)
        self._step: Step | None = None
        self._deadline, self._rounds = 0, 0
        self._reads: dict[str, m.StateReply] = {}
        self._goal: _NewVersion | _ChangeStage | None = None
        self._base_generation = 0  # committed when this run began, or by this run
        self._record: m.Record | None = None  # proposed or committed by this run
        self._good: m.Record | None = None
        self._agreed: set[str] = set()
        self._refused: set[str] = set()
        self._canaries: Canaries | None = None
        self._withdrawn_why: str | None = None
        self._done = False
        self._out: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """What follows from an event."""
        self._out = []
        if self._done:
            return self._out
        match event:
            case Started():
                self._begin_reading(now, now)
            case Replied():
                self._replied(now, event)
            case CallFailed():
                self._calls.failed(now, event.call)
        self._look_at_time(now)
        self._make_calls(now)
        self._plan_wake()
        return self._out

    # Calls and time

    def _replied(self, now: int, event: Replied) -> None:
        replica = self._calls.replied(event.call)
        if replica is None:
            return
        match event.reply:
            case m.StateReply():
                self._state_read(now, replica, event.reply)
            case m.AcceptReply():
                self._accept_replied(now, replica, event.reply)
            case m.CommitReply():
                self._commit_replied(now, replica, event.reply)

    def _state_read(self, now: int, replica: str, reply: m.StateReply) -> None:
        match self._step:
            case Step.READING:
                self._reads[replica] = reply
                if len(self._reads) >= self._majority:
                    self._decide(now, summarize_replies(list(self._reads.values())))
            case Step.PROPOSING:
                self._late_read(now, replica, reply)
            case Step.CANARIES:
                self._canaries_read(now, replica, reply)

    def _look_at_time(self, now: int) -> None:
        if self._done:
            return
        if self._step == Step.CANARIES:
            self._judge_canaries(now)
        elif now >= self._deadline:
            self._end(Outcome.NO_QUORUM, f"no majority of replicas answered while {self._step}")

    def _make_calls(self, now: int) -> None:
        for call, replica, message in self._calls.due(now):
            self._out.append(Call(call, replica, message, now + CALL_TIMEOUT))

    def _plan_wake(self) -> None:
        if self._done:
            self.wake_at = NEVER
            return
        other = self._canaries.next_at() if self._step == Step.CANARIES else self._deadline
        calls = self._calls.earliest()
        self.wake_at = other if calls is None else min(calls, other)

    def _enter(self, now: int, step: Step, text: str) -> None:
        self._step, self._deadline = step, now + PHASE_TIMEOUT
        version = self._record.version if self._record else 0
        stage = self._record.stage if self._record else None
        self._out.append(Progress(step, version, stage, text))

    def _end(self, outcome: Outcome, why: str = "", version: int | None = None) -> None:
        if self._withdrawn_why is not None and outcome != Outcome.WITHDRAWN:
            why = f"{why} (on the way back: {self._withdrawn_why})"
        if version is None:
            version = self._record.version if self._record else 0
        self._calls.clear()
        self._done = True
        self._out.append(Done(outcome, version, why))

    # Reading

    def _begin_reading(self, now: int, ask_at: int) -> None:
        self._enter(now, Step.READING, "the replicas' states")
        self._reads = {}
        self._calls.clear()
        for replica in self._replicas:
            self._calls.want(replica, m.ReadState(reports=True), ask_at)

    def _decide(self, now: int, seen: Seen) -> None:
        if self._goal is None:
            self._base_generation = seen.committed_generation
            self._good = seen.good
            self._take_order(now, seen)
        else:
            self._check_goal(now, seen)
        if not self._done and self._step == Step.READING:
            bases = {replica: reply.accepted for replica, reply in self._reads.items()}
            self._propose(now, seen.highest, seen.nodes, bases)

    def _take_order(self, now: int, seen: Seen) -> None:
        match self._order:
            case Publish():
                self._take_publish(seen)
            case Resume():
                self._take_resume(now, seen)
            case Withdraw():
                self._take_withdraw(seen)

    def _take_publish(self, seen: Seen) -> None:
        committed = seen.committed
        if _is_at_canaries(seen):
            self._end(Outcome.UNDER_WAY, f"version {committed.version} is at its canaries", committed.version)
        elif self._order.without_canaries:
            self._goal = _NewVersion(self._order.body, m.Stage.EVERYWHERE)
        elif not seen.nodes:
            self._end(Outcome.NO_CANARIES, "no node has reported lately")
        else:
            self._goal = _NewVersion(self._order.body, m.Stage.CANARY)

    def _take_resume(self, now: int, seen: Seen) -> None:
        committed, highest = seen.committed, seen.highest
        if committed is None or committed.stage == m.Stage.EVERYWHERE or highest.version > committed.version:
            self._end(Outcome.NOTHING, "no committed version waits for its next stage")
        elif committed.stage == m.Stage.WITHDRAWN:
            self._resume_way_back(committed)
        elif highest.generation > committed.generation:
            # What another publisher proposed may be chosen already, and is gone on with.
            self._goal = _ChangeStage(committed, highest.stage)
        else:
            self._record = committed
            self._begin_canaries(now, canaries_of(seen.nodes, committed))

    def _resume_way_back(self, committed: m.Record) -> None:
        self._record, self._withdrawn_why = committed, "withdrawn before"
        if self._good is None or self._good.version >= committed.version:
            self._end(Outcome.NOTHING, "no version before the withdrawn one is known")
        else:
            self._goal = _NewVersion(self._good.body, m.Stage.EVERYWHERE)

    def _take_withdraw(self, seen: Seen) -> None:
        committed = seen.committed
        if not _is_at_canaries(seen):
            self._end(Outcome.NOTHING, "no version is at its canaries")
            return
        self._withdrawn_why = "withdrawn by order"
        self._goal = _ChangeStage(committed, m.Stage.WITHDRAWN)

    def _check_goal(self, now: int, seen: Seen) -> None:
        """After a lost round: whether the goal still stands."""
        match self._goal:
            case _NewVersion():
                if seen.committed_generation > self._base_generation:
                    self._superseded(seen)
            case _ChangeStage(record=record):
                committed = seen.committed
                if seen.highest.version > record.version:
                    self._superseded(seen)
                elif committed is not None and _is_at(committed, record.version, self._goal.stage):
                    self._record = committed  # by another publisher
                    self._committed(now)
                elif seen.highest.generation > record.generation and seen.highest.stage == m.Stage.WITHDRAWN:
                    self._withdrawn_why = self._withdrawn_why or "withdrawn by another publisher"
                    self._goal = _ChangeStage(record, m.Stage.WITHDRAWN)

    def _superseded(self, seen: Seen) -> None:
        version = max(seen.highest.version, seen.committed.version if seen.committed else 0)
        self._end(Outcome.SUPERSEDED, f"version {version} came first")

    # Proposing

    def _propose(self, now: int, highest: m.Position, nodes: tuple[str, ...], bases) -> None:
        self._record = self._make_record(highest, nodes)
        self._agreed, self._refused = set(), set()
        if self._step != Step.READING:
            self._calls.clear()
        self._enter(now, Step.PROPOSING, f"generation {self._record.generation}")
        for replica, base in bases.items():
            self._calls.want(replica, m.Accept(base=base, record=self._record), now)

    def _make_record(self, highest: m.Position, nodes: tuple[str, ...]) -> m.Record:
        generation = highest.generation + 1
        match self._goal:
            case _NewVersion(body=body, stage=stage):
                version = highest.version + 1
                below = canary_threshold(nodes, version) if stage == m.Stage.CANARY else 0
                return m.make_record(generation, version, stage, below, body)
            case _ChangeStage(record=record, stage=stage):
                return m.make_record(generation, record.version, stage, record.canary_below, record.body)

    def _late_read(self, now: int, replica: str, reply: m.StateReply) -> None:
        """A replica that was slow to tell its state may still accept, where the proposal comes after it."""
        if self._comes_after(reply.accepted):
            self._calls.want(replica, m.Accept(base=reply.accepted, record=self._record), now)
        else:
            self._accept_lost(now, replica)

    def _comes_after(self, known: m.Position) -> bool:
        record = self._record
        if known.generation >= record.generation:
            return False
        if isinstance(self._goal, _NewVersion):
            return known.version < record.version
        return (known.version, known.stage) <= (record.version, record.stage)

    def _accept_replied(self, now: int, replica: str, reply: m.AcceptReply) -> None:
        if not reply.accepted:
            self._accept_lost(now, replica)
            return
        self._agreed.add(replica)
        if len(self._agreed) >= self._majority:
            self._begin_committing(now)

    def _accept_lost(self, now: int, replica: str) -> None:
        self._refused.add(replica)
        if len(self._replicas) - len(self._refused) >= self._majority:
            return
        self._rounds += 1
        if self._rounds >= ROUNDS_AT_MOST:
            self._end(Outcome.SUPERSEDED, "other publishers came first each time")
            return
        pause = int((CONFLICT_PAUSE << self._rounds) * self._chance())
        self._begin_reading(now, now + pause)
        self._deadline += pause

    # Committing

    def _begin_committing(self, now: int) -> None:
        self._agreed = set()
        self._enter(now, Step.COMMITTING, "accepted by a majority")
        for replica in self._replicas:
            self._calls.want(replica, m.Commit(record=self._record), now)

    def _commit_replied(self, now: int, replica: str, reply: m.CommitReply) -> None:
        if not reply.committed:
            self._calls.want(replica, m.Commit(record=self._record), now + POLL)
            return
        self._agreed.add(replica)
        if len(self._agreed) >= self._majority:
            self._committed(now)

    def _committed(self, now: int) -> None:
        record = self._record
        self._base_generation = record.generation
        match record.stage:
            case m.Stage.CANARY:
                self._begin_canaries(now, ())
            case m.Stage.EVERYWHERE if self._withdrawn_why is not None:
                self._end(Outcome.WITHDRAWN, self._withdrawn_why)
            case m.Stage.EVERYWHERE:
                self._end(Outcome.IN_FORCE)
            case m.Stage.WITHDRAWN:
                self._go_back(now)

    def _go_back(self, now: int) -> None:
        good = self._good
        self._withdrawn_why = self._withdrawn_why or "withdrawn"
        if good is None or good.version >= self._record.version:
            self._end(Outcome.WITHDRAWN, f"{self._withdrawn_why}; no version before it is known")
            return
        self._goal = _NewVersion(good.body, m.Stage.EVERYWHERE)
        self._propose_next(now)

    def _propose_next(self, now: int) -> None:
        """Straight on from this run's committed record, without reading: where it is still the highest."""
        position = self._record.position
        self._propose(now, position, (), dict.fromkeys(self._replicas, position))

    # Canaries

    def _begin_canaries(self, now: int, names: tuple[str, ...]) -> None:
        reads = list(self._reads.values())
        names = names or canaries_of(summarize_replies(reads).nodes, self._record)
        self._canaries = Canaries(now, self._record.version, names)
        self._enter(now, Step.CANARIES, f"{len(names)} nodes")
        for replica in self._replicas:
            self._poll(replica, now)

    def _poll(self, replica: str, ask_at: int) -> None:
        generation = self._record.generation
        message = m.ReadState(
            since=generation, good_since=generation, reports=True, nodes=list(self._canaries.names)
        )
        self._calls.want(replica, message, ask_at)

    def _canaries_read(self, now: int, replica: str, reply: m.StateReply) -> None:
        if reply.committed_generation > self._record.generation:
            self._end(Outcome.SUPERSEDED, f"generation {reply.committed_generation} came first")
            return
        self._canaries.hear(now, reply.reports)
        self._poll(replica, now + POLL)

    def _judge_canaries(self, now: int) -> None:
        match self._canaries.verdict(now):
            case Verdict.GOOD:
                self._goal = _ChangeStage(self._record, m.Stage.EVERYWHERE)
            case Verdict.BAD:
                self._withdrawn_why = self._canaries.why
                self._goal = _ChangeStage(self._record, m.Stage.WITHDRAWN)
            case Verdict.WAIT:
                return
        self._propose_next(now)


def _is_at_canaries(seen: Seen) -> bool:
    """A committed version waits for the word of its canaries, and no later one was proposed."""
    committed = seen.committed
    return (
        committed is not None
        and committed.stage == m.Stage.CANARY
        and seen.highest.version == committed.version
    )


def _is_at(record: m.Record, version: int, stage: m.Stage) -> bool:
    return record.version == version and record.stage == stage
