"""A publisher: one run of the operator's command, which takes one change through its stages.

Contract with the I/O shell:

- `step(now, event)` returns the effects of one event, to be executed in order. The first event is `Started`;
  the run ends with `Done`, after which further events have no effect.
- Each `Call` is followed by exactly one `Replied` or `CallFailed`, no later than `deadline`.
- The publisher stores nothing on its own disk: if it dies, the stage stays as it is, and another publisher
  with `Resume` or `Withdraw` reads all it needs from the replicas.
- `Tick` is passed in at `wake_at` or soon after.
"""

from dataclasses import dataclass
from enum import StrEnum

from cottonspread.configstore import messages as m
from cottonspread.configstore.calls import CALL_TIMEOUT, Calls
from cottonspread.configstore.canaries import Canaries, Verdict
from cottonspread.configstore.majority import MajorityState, canaries_of, canary_threshold, summarize_replies

PHASE_TIMEOUT = 5 * m.SECOND
"""A run ends with NO_QUORUM if a step gets no replies from a majority for this long; the time suffices for
five calls to a replica."""
POLL_INTERVAL = 100 * m.MILLISECOND
"""Between two reads of the canaries' reports, and between two attempts of a refused commit."""
MAX_ROUNDS = 8
"""Proposals of one run that may lose against another publisher's before the run gives up."""
CONFLICT_BACKOFF = 200 * m.MILLISECOND
"""Upper bound of a random delay that doubles with each lost round, so that one of two publishers succeeds."""
NEVER = 2**62
"""The `wake_at` when no `Tick` is needed."""


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish this body as a new version."""

    body: str
    without_canaries: bool = False
    """To all nodes at once."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue with the version that a dead publisher left at its stage."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw the version at stage CANARY and publish the previous body as a new version."""


Command = Publish | Resume | Withdraw


@dataclass(frozen=True, slots=True)
class Started:
    """The run starts."""


@dataclass(frozen=True, slots=True)
class Replied:
    """A replica's reply."""

    call: int
    reply: m.AcceptReply | m.CommitReply | m.StateReply


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a replica failed, or its reply was invalid."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Started | Replied | CallFailed | Tick


@dataclass(frozen=True, slots=True)
class Call:
    """Call a replica."""

    call: int
    replica: str
    message: m.Accept | m.Commit | m.ReadState
    deadline: int


class Step(StrEnum):
    """The current step of a run."""

    READING = "reading"
    PROPOSING = "proposing"
    COMMITTING = "committing"
    CANARIES = "canaries"


@dataclass(frozen=True, slots=True)
class Progress:
    """A progress line for operators."""

    step: Step
    version: int
    stage: m.Stage | None
    text: str


class Outcome(StrEnum):
    """How a run ended."""

    IN_FORCE = "in-force"
    """Committed at stage EVERYWHERE by a majority."""
    WITHDRAWN = "withdrawn"
    """Canaries refused it or stayed silent; the previous body is committed EVERYWHERE as a new version."""
    SUPERSEDED = "superseded"
    """Another publisher's change came first."""
    NO_QUORUM = "no-quorum"
    """No majority of replicas replied in time; an unfinished change can be resumed or superseded."""
    NO_CANARIES = "no-canaries"
    """No node has reported recently, so there are no canaries; nothing was changed."""
    UNDER_WAY = "under-way"
    """Another version is at stage CANARY: wait for its publisher, or resume or withdraw it. Nothing was
    changed."""
    NOTHING = "nothing"
    """Nothing to resume or withdraw."""


@dataclass(frozen=True, slots=True)
class Done:
    """The run has ended."""

    outcome: Outcome
    version: int
    why: str = ""


Effect = Call | Progress | Done


@dataclass(frozen=True, slots=True)
class _NewVersion:
    """The goal of a round: a body under a version number not used before."""

    body: str
    stage: m.Stage


@dataclass(frozen=True, slots=True)
class _ChangeStage:
    """The goal of a round: the committed version at another stage."""

    record: m.Record
    stage: m.Stage


class Publisher:
    """One run of a publisher.

    `wake_at`: when the next `Tick` is due. A round is: read a majority's states, propose, commit.
    """

    def __init__(self, replicas: tuple[str, ...], command: Command, uniform):
        """`uniform()`: seeded random numbers in [0, 1)."""
        self.wake_at = 0
        self._replicas, self._command, self._uniform = replicas, command, uniform
        self._majority = len(replicas) // 2 + 1
        self._calls = Calls(uniform)
        self._step: Step | None = None
        self._deadline, self._rounds = 0, 0
        self._states: dict[str, m.StateReply] = {}
        self._goal: _NewVersion | _ChangeStage | None = None
        self._base_generation = 0  # committed when this run began, or by this run
        self._record: m.Record | None = None  # proposed or committed by this run
        self._good: m.Record | None = None
        self._acknowledged: set[str] = set()
        self._refused: set[str] = set()
        self._canaries: Canaries | None = None
        self._withdraw_reason: str | None = None
        self._done = False
        self._effects: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """Returns the effects of an event."""
        self._effects = []
        if self._done:
            return self._effects
        match event:
            case Started():
                self._begin_reading(now, now)
            case Replied():
                self._replied(now, event)
            case CallFailed():
                self._calls.failed(now, event.call)
        self._check_deadline(now)
        self._make_calls(now)
        self._schedule_wake()
        return self._effects

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
                self._states[replica] = reply
                if len(self._states) >= self._majority:
                    self._decide(now, summarize_replies(list(self._states.values())))
            case Step.PROPOSING:
                self._late_state_read(now, replica, reply)
            case Step.CANARIES:
                self._canaries_read(now, replica, reply)

    def _check_deadline(self, now: int) -> None:
        if self._done:
            return
        if self._step == Step.CANARIES:
            self._judge_canaries(now)
        elif now >= self._deadline:
            self._finish(Outcome.NO_QUORUM, f"no majority of replicas answered while {self._step}")

    def _make_calls(self, now: int) -> None:
        for call, replica, message in self._calls.due(now):
            self._effects.append(Call(call, replica, message, now + CALL_TIMEOUT))

    def _schedule_wake(self) -> None:
        if self._done:
            self.wake_at = NEVER
            return
        other = self._canaries.next_change_at() if self._step == Step.CANARIES else self._deadline
        calls = self._calls.next_call_at()
        self.wake_at = other if calls is None else min(calls, other)

    def _enter_step(self, now: int, step: Step, text: str) -> None:
        self._step, self._deadline = step, now + PHASE_TIMEOUT
        version = self._record.version if self._record else 0
        stage = self._record.stage if self._record else None
        self._effects.append(Progress(step, version, stage, text))

    def _finish(self, outcome: Outcome, why: str = "", version: int | None = None) -> None:
        if self._withdraw_reason is not None and outcome != Outcome.WITHDRAWN:
            why = f"{why} (during the rollback: {self._withdraw_reason})"
        if version is None:
            version = self._record.version if self._record else 0
        self._calls.clear()
        self._done = True
        self._effects.append(Done(outcome, version, why))

    # Reading

    def _begin_reading(self, now: int, next_call_at: int) -> None:
        self._enter_step(now, Step.READING, "the replicas' states")
        self._states = {}
        self._calls.clear()
        for replica in self._replicas:
            self._calls.schedule(replica, m.ReadState(reports=True), next_call_at)

    def _decide(self, now: int, majority_state: MajorityState) -> None:
        if self._goal is None:
            self._base_generation = majority_state.committed_generation
            self._good = majority_state.good
            self._start_command(now, majority_state)
        else:
            self._check_goal(now, majority_state)
        if not self._done and self._step == Step.READING:
            bases = {replica: reply.accepted for replica, reply in self._states.items()}
            self._propose(now, majority_state.highest, majority_state.nodes, bases)

    def _start_command(self, now: int, majority_state: MajorityState) -> None:
        match self._command:
            case Publish():
                self._start_publish(majority_state)
            case Resume():
                self._start_resume(now, majority_state)
            case Withdraw():
                self._start_withdraw(majority_state)

    def _start_publish(self, majority_state: MajorityState) -> None:
        committed = majority_state.committed
        if _is_at_canaries(majority_state):
            self._finish(
                Outcome.UNDER_WAY, f"version {committed.version} is at stage canary", committed.version
            )
        elif self._command.without_canaries:
            self._goal = _NewVersion(self._command.body, m.Stage.EVERYWHERE)
        elif not majority_state.nodes:
            self._finish(Outcome.NO_CANARIES, "no node has reported recently")
        else:
            self._goal = _NewVersion(self._command.body, m.Stage.CANARY)

    def _start_resume(self, now: int, majority_state: MajorityState) -> None:
        committed, highest = majority_state.committed, majority_state.highest
        if committed is None or committed.stage == m.Stage.EVERYWHERE or highest.version > committed.version:
            self._finish(Outcome.NOTHING, "no committed version is waiting for its next stage")
        elif committed.stage == m.Stage.WITHDRAWN:
            self._resume_rollback(committed)
        elif highest.generation > committed.generation:
            # Another publisher's proposal may already be accepted by a majority, so it is continued.
            self._goal = _ChangeStage(committed, highest.stage)
        else:
            self._record = committed
            self._begin_canaries(now, canaries_of(majority_state.nodes, committed))

    def _resume_rollback(self, committed: m.Record) -> None:
        self._record, self._withdraw_reason = committed, "withdrawn earlier"
        if self._good is None or self._good.version >= committed.version:
            self._finish(Outcome.NOTHING, "no version before the withdrawn one is known")
        else:
            self._goal = _NewVersion(self._good.body, m.Stage.EVERYWHERE)

    def _start_withdraw(self, majority_state: MajorityState) -> None:
        committed = majority_state.committed
        if not _is_at_canaries(majority_state):
            self._finish(Outcome.NOTHING, "no version is at stage canary")
            return
        self._withdraw_reason = "withdrawn by command"
        self._goal = _ChangeStage(committed, m.Stage.WITHDRAWN)

    def _check_goal(self, now: int, majority_state: MajorityState) -> None:
        """After a lost round: checks whether the goal is still valid."""
        match self._goal:
            case _NewVersion():
                if majority_state.committed_generation > self._base_generation:
                    self._superseded(majority_state)
            case _ChangeStage(record=record):
                committed = majority_state.committed
                if majority_state.highest.version > record.version:
                    self._superseded(majority_state)
                elif committed is not None and _is_at(committed, record.version, self._goal.stage):
                    self._record = committed  # by another publisher
                    self._committed(now)
                elif (
                    majority_state.highest.generation > record.generation
                    and majority_state.highest.stage == m.Stage.WITHDRAWN
                ):
                    self._withdraw_reason = self._withdraw_reason or "withdrawn by another publisher"
                    self._goal = _ChangeStage(record, m.Stage.WITHDRAWN)

    def _superseded(self, majority_state: MajorityState) -> None:
        version = max(
            majority_state.highest.version,
            majority_state.committed.version if majority_state.committed else 0,
        )
        self._finish(Outcome.SUPERSEDED, f"version {version} came first")

    # Proposing

    def _propose(self, now: int, highest: m.Position, nodes: tuple[str, ...], bases) -> None:
        self._record = self._make_record(highest, nodes)
        self._acknowledged, self._refused = set(), set()
        if self._step != Step.READING:
            self._calls.clear()
        self._enter_step(now, Step.PROPOSING, f"generation {self._record.generation}")
        for replica, base in bases.items():
            self._calls.schedule(replica, m.Accept(base=base, record=self._record), now)

    def _make_record(self, highest: m.Position, nodes: tuple[str, ...]) -> m.Record:
        generation = highest.generation + 1
        match self._goal:
            case _NewVersion(body=body, stage=stage):
                version = highest.version + 1
                below = canary_threshold(nodes, version) if stage == m.Stage.CANARY else 0
                return m.make_record(generation, version, stage, below, body)
            case _ChangeStage(record=record, stage=stage):
                return m.make_record(generation, record.version, stage, record.canary_below, record.body)

    def _late_state_read(self, now: int, replica: str, reply: m.StateReply) -> None:
        """Proposes to a replica whose state came late, if the proposal is newer than that state."""
        if self._comes_after(reply.accepted):
            self._calls.schedule(replica, m.Accept(base=reply.accepted, record=self._record), now)
        else:
            self._accept_failed(now, replica)

    def _comes_after(self, known: m.Position) -> bool:
        record = self._record
        if known.generation >= record.generation:
            return False
        if isinstance(self._goal, _NewVersion):
            return known.version < record.version
        return (known.version, known.stage) <= (record.version, record.stage)

    def _accept_replied(self, now: int, replica: str, reply: m.AcceptReply) -> None:
        if not reply.accepted:
            self._accept_failed(now, replica)
            return
        self._acknowledged.add(replica)
        if len(self._acknowledged) >= self._majority:
            self._begin_committing(now)

    def _accept_failed(self, now: int, replica: str) -> None:
        self._refused.add(replica)
        if len(self._replicas) - len(self._refused) >= self._majority:
            return
        self._rounds += 1
        if self._rounds >= MAX_ROUNDS:
            self._finish(Outcome.SUPERSEDED, "other publishers came first each time")
            return
        pause = int((CONFLICT_BACKOFF << self._rounds) * self._uniform())
        self._begin_reading(now, now + pause)
        self._deadline += pause

    # Committing

    def _begin_committing(self, now: int) -> None:
        self._acknowledged = set()
        self._enter_step(now, Step.COMMITTING, "accepted by a majority")
        for replica in self._replicas:
            self._calls.schedule(replica, m.Commit(record=self._record), now)

    def _commit_replied(self, now: int, replica: str, reply: m.CommitReply) -> None:
        if not reply.committed:
            self._calls.schedule(replica, m.Commit(record=self._record), now + POLL_INTERVAL)
            return
        self._acknowledged.add(replica)
        if len(self._acknowledged) >= self._majority:
            self._committed(now)

    def _committed(self, now: int) -> None:
        record = self._record
        self._base_generation = record.generation
        match record.stage:
            case m.Stage.CANARY:
                self._begin_canaries(now, ())
            case m.Stage.EVERYWHERE if self._withdraw_reason is not None:
                self._finish(Outcome.WITHDRAWN, self._withdraw_reason)
            case m.Stage.EVERYWHERE:
                self._finish(Outcome.IN_FORCE)
            case m.Stage.WITHDRAWN:
                self._roll_back(now)

    def _roll_back(self, now: int) -> None:
        good = self._good
        self._withdraw_reason = self._withdraw_reason or "withdrawn"
        if good is None or good.version >= self._record.version:
            self._finish(Outcome.WITHDRAWN, f"{self._withdraw_reason}; no version before it is known")
            return
        self._goal = _NewVersion(good.body, m.Stage.EVERYWHERE)
        self._propose_next(now)

    def _propose_next(self, now: int) -> None:
        """Proposes on top of this run's committed record without reading; fails if it is not the highest."""
        position = self._record.position
        self._propose(now, position, (), dict.fromkeys(self._replicas, position))

    # Canaries

    def _begin_canaries(self, now: int, names: tuple[str, ...]) -> None:
        reads = list(self._states.values())
        names = names or canaries_of(summarize_replies(reads).nodes, self._record)
        self._canaries = Canaries(now, self._record.version, names)
        self._enter_step(now, Step.CANARIES, f"{len(names)} nodes")
        for replica in self._replicas:
            self._poll(replica, now)

    def _poll(self, replica: str, next_call_at: int) -> None:
        generation = self._record.generation
        message = m.ReadState(
            since=generation, good_since=generation, reports=True, nodes=list(self._canaries.names)
        )
        self._calls.schedule(replica, message, next_call_at)

    def _canaries_read(self, now: int, replica: str, reply: m.StateReply) -> None:
        if reply.committed_generation > self._record.generation:
            self._finish(Outcome.SUPERSEDED, f"generation {reply.committed_generation} came first")
            return
        self._canaries.add_reports(now, reply.reports)
        self._poll(replica, now + POLL_INTERVAL)

    def _judge_canaries(self, now: int) -> None:
        match self._canaries.verdict(now):
            case Verdict.GOOD:
                self._goal = _ChangeStage(self._record, m.Stage.EVERYWHERE)
            case Verdict.BAD:
                self._withdraw_reason = self._canaries.why
                self._goal = _ChangeStage(self._record, m.Stage.WITHDRAWN)
            case Verdict.WAIT:
                return
        self._propose_next(now)


def _is_at_canaries(majority_state: MajorityState) -> bool:
    """Whether a committed version is at stage CANARY and no later version was proposed."""
    committed = majority_state.committed
    return (
        committed is not None
        and committed.stage == m.Stage.CANARY
        and majority_state.highest.version == committed.version
    )


def _is_at(record: m.Record, version: int, stage: m.Stage) -> bool:
    return record.version == version and record.stage == stage
