"""A follower: watches two replicas on behalf of a node and applies the configuration they serve.

Contract with the I/O shell:

- `step(now, event)` returns the effects of one event, to be executed in order. One thread calls it. The first
  event is `Started`, with the saved record, or None and the reason why there is none.
- Each `SendWatch` is followed by exactly one `WatchReplied` or `WatchFailed`, no later than `deadline`; the
  calls of one follower go to different replicas, on connections that may be kept open.
- A record goes through `Check` (validate, change nothing) -> `Checked`; `Save` (complete file, fsync, rename)
  -> `Saved`; `Apply` (bring into force) -> `Applied`. One record at a time; each step starts only after the
  previous one succeeded. A record is saved before it is applied, so that after a crash the version in force
  is never older than before the crash.
- Each step is followed by exactly one event, no later than `STEP_TIMEOUT` after its effect: the shell reports
  a hanging step with ok=False and discards its later result.
- A failed step is reported with ok=False and a `why`: the old record stays in force, the new one is reported
  as refused and tried again after `RECHECK_DELAY` at the earliest, or when a newer record arrives. A failed
  `Apply` is followed by a `Save` of the old record.
- `Notice` is a log line and has no other effect.
- `HealthReported` may be passed in at any time by the node's own health check of the version in force.
- `Tick` is passed in at `wake_at` or soon after.
"""

from dataclasses import dataclass
from enum import StrEnum

from cottonspread.configstore import messages as m
from cottonspread.configstore.watches import REPLY_GRACE, Watches

CUT_OFF_AFTER = 20 * m.SECOND
"""A node without contact to any replica that belongs to a majority for this long reports that it is cut off.
It covers a watch of 10 s, its grace, the delay after a failure and the majority age that a replica may
report, without a false alarm."""
RECHECK_DELAY = 60 * m.SECOND
"""A refused record is requested again after this time; each check costs a node some milliseconds."""
MAX_HOLD = 1 * m.SECOND
"""A node sends its next watch once the received record is in force or refused, so that the watch reports the
result; no later than this, because a check or a disk may hang."""
STEP_TIMEOUT = 5 * m.SECOND
"""The shell reports a check, save or apply that takes longer as failed: half of what a publisher waits for
its canaries, so that a hanging step is reported as refused before the publisher stops waiting."""
NEVER = 2**62
"""The `wake_at` when no `Tick` is needed."""


@dataclass(frozen=True, slots=True)
class Started:
    """The process starts; `saved` is the record that was in force, None: none, or unreadable (`why`)."""

    saved: m.Record | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class WatchReplied:
    """A replica replied to a watch."""

    call: int
    reply: m.WatchReply


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """A watch got no reply or an invalid one."""

    call: int
    why: str


@dataclass(frozen=True, slots=True)
class Checked:
    """Result of `Check`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Saved:
    """Result of `Save`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of `Apply`."""

    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class HealthReported:
    """The node's health check of the version in force passed or failed."""

    version: int
    ok: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Started | WatchReplied | WatchFailed | Checked | Saved | Applied | HealthReported | Tick


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send a watch to a replica."""

    call: int
    replica: str
    request: m.WatchRequest
    deadline: int


@dataclass(frozen=True, slots=True)
class Check:
    """Validate this record without changing anything."""

    record: m.Record


@dataclass(frozen=True, slots=True)
class Save:
    """Save this record for the next start. None: nothing is in force, remove the file."""

    record: m.Record | None


@dataclass(frozen=True, slots=True)
class Apply:
    """Bring this record into force."""

    record: m.Record


class NoticeKind(StrEnum):
    """What a `Notice` is about."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    DISTRUSTED = "distrusted"
    CUT_OFF = "cut-off"
    RECONNECTED = "back"


@dataclass(frozen=True, slots=True)
class Notice:
    """Write a log line."""

    kind: NoticeKind
    version: int
    why: str = ""


Effect = SendWatch | Check | Save | Apply | Notice


@dataclass(frozen=True, slots=True)
class View:
    """The follower's status, for the node's metrics and status output."""

    version: int
    generation: int
    digest: str
    refused: int
    why: str
    cut_off: bool
    contact_age_us: int | None
    """Time since the last contact with a replica that belongs to a majority; None: never."""


class _Phase(StrEnum):
    """Progress of the record being processed."""

    CHECKING = "checking"
    SAVING = "saving"
    APPLYING = "applying"
    RESTORING = "restoring"  # it could not be applied; the old record is being saved again


class Follower:
    """The follower of one node.

    `wake_at`: when the next `Tick` is due.
    """

    def __init__(self, node: str, replicas: tuple[str, ...], uniform):
        """`uniform()`: seeded random numbers in [0, 1)."""
        self.node, self.wake_at = node, 0
        self._watches = Watches(node, replicas, uniform)
        self._in_force: m.Record | None = None
        self._min_version = 0  # no version below this was ever in force here
        self._seen_generation = 0  # of the newest record that was processed
        self._refused: m.Record | None = None
        self._refused_why, self._failing, self._failing_why = "", 0, ""
        self._recheck_at: int | None = None
        self._current: m.Record | None = None
        self._phase: _Phase | None = None
        self._current_is_saved = False  # the current record was read from the file at the start
        self._queued: m.Record | None = None  # the newest record received meanwhile
        self._last_contact: int | None = None
        self._started, self._was_cut_off, self._hold_until = 0, False, 0
        self._effects: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """Returns the effects of an event."""
        self._effects = []
        match event:
            case Started():
                self._start(now, event)
            case WatchReplied():
                self._watch_replied(now, event)
            case WatchFailed():
                self._watches.failed(now, event.call)
            case Checked() | Saved() | Applied():
                self._advance(now, event)
            case HealthReported():
                self._health_reported(event)
        self._recheck(now)
        self._notice_cut_off(now)
        self._send_watches(now)
        self._schedule_wake(now)
        return self._effects

    def view(self, now: int) -> View:
        """Returns the follower's status."""
        record = self._in_force
        return View(
            version=record.version if record else 0,
            generation=record.generation if record else 0,
            digest=record.digest if record else "",
            refused=self._refused.version if self._refused else 0,
            why=self._refused_why or self._failing_why,
            cut_off=self.is_cut_off(now),
            contact_age_us=None if self._last_contact is None else now - self._last_contact,
        )

    def is_cut_off(self, now: int) -> bool:
        """Whether there was no contact to a replica with a majority for `CUT_OFF_AFTER`."""
        return now - (self._started if self._last_contact is None else self._last_contact) > CUT_OFF_AFTER

    # Start

    def _start(self, now: int, event: Started) -> None:
        self._started = now
        if event.saved is None:
            return
        if not event.saved.is_valid():
            self._effects.append(
                Notice(NoticeKind.DISTRUSTED, event.saved.version, "saved record is damaged")
            )
            return
        self._min_version, self._seen_generation = event.saved.version, event.saved.generation
        self._current_is_saved = True
        self._start_check(event.saved)

    # Replies

    def _watch_replied(self, now: int, event: WatchReplied) -> None:
        reason = self._why_distrusted(event.reply, self._watches.since_of(event.call))
        if reason:
            if self._watches.failed(now, event.call):
                record = event.reply.record
                self._effects.append(Notice(NoticeKind.DISTRUSTED, record.version if record else 0, reason))
            return
        if not self._watches.replied(now, event.call):
            return
        self._record_contact(now, event.reply.majority_age_us)
        if event.reply.record is not None:
            self._hold_until = now + MAX_HOLD
            self._consider(event.reply.record)

    def _record_contact(self, now: int, age: int | None) -> None:
        if age is not None and (self._last_contact is None or now - age > self._last_contact):
            self._last_contact = now - age

    def _why_distrusted(self, reply: m.WatchReply, since: int) -> str:
        """Returns why the reply cannot be trusted, or an empty string."""
        record = reply.record
        if record is None:
            return ""
        if not record.is_valid():
            return "damaged record"
        if record.generation <= since:
            return "older than requested"
        if not record.applies_to(self.node):
            return f"not for this node at stage {record.stage.name}"
        for known in (self._in_force, self._current, self._queued, self._refused):
            if known is not None and known.version == record.version and known.digest != record.digest:
                return "same version, different digest"
        return ""

    def _consider(self, record: m.Record) -> None:
        if record.generation <= self._seen_generation or record.version < self._min_version:
            return
        self._seen_generation = record.generation
        if self._current is not None:
            self._queued = record
        else:
            self._start_or_update(record)

    def _start_or_update(self, record: m.Record) -> None:
        if self._in_force is not None and record.version == self._in_force.version:
            self._in_force = record  # the same version at another stage
        else:
            self._start_check(record)

    # One record at a time: check, save, apply

    def _start_check(self, record: m.Record) -> None:
        self._current, self._phase = record, _Phase.CHECKING
        self._effects.append(Check(record))

    def _advance(self, now: int, event: Checked | Saved | Applied) -> None:
        match (self._phase, event):
            case (_Phase.CHECKING, Checked(ok=True)) if self._current_is_saved:
                self._apply()
            case (_Phase.CHECKING, Checked(ok=True)):
                self._phase = _Phase.SAVING
                self._effects.append(Save(self._current))
            case (_Phase.SAVING, Saved(ok=True)):
                self._apply()
            case (_Phase.APPLYING, Applied(ok=True)):
                self._put_in_force()
            case (_Phase.APPLYING, Applied(ok=False, why=why)) if not self._current_is_saved:
                self._refuse(now, why)
                self._phase = _Phase.RESTORING
                self._effects.append(Save(self._in_force))
            case (_Phase.CHECKING, Checked(why=why)) | (_Phase.SAVING, Saved(why=why)):
                self._refuse(now, why)
                self._finish_current()
            case (_Phase.APPLYING, Applied(why=why)):
                self._refuse(now, why)
                self._finish_current()
            case (_Phase.RESTORING, Saved()):
                self._finish_current()

    def _apply(self) -> None:
        self._phase = _Phase.APPLYING
        self._effects.append(Apply(self._current))

    def _put_in_force(self) -> None:
        record = self._current
        self._in_force, self._min_version = record, record.version
        self._seen_generation = max(self._seen_generation, record.generation)
        self._refused, self._refused_why, self._recheck_at = None, "", None
        self._failing, self._failing_why = 0, ""
        self._effects.append(Notice(NoticeKind.IN_FORCE, record.version))
        self._watches.report_soon()
        self._finish_current()

    def _refuse(self, now: int, why: str) -> None:
        self._refused, self._refused_why = self._current, (why or "no reason given")[: m.MAX_WHY_LENGTH]
        self._recheck_at = now + RECHECK_DELAY
        self._effects.append(Notice(NoticeKind.REFUSED, self._refused.version, self._refused_why))
        self._watches.report_soon()

    def _finish_current(self) -> None:
        self._current, self._phase, self._current_is_saved = None, None, False
        if self._queued is not None:
            record, self._queued = self._queued, None
            self._start_or_update(record)

    def _recheck(self, now: int) -> None:
        """Requests records newer than the version in force again some time after a refusal.

        The cause of the refusal may have passed, such as a full disk.
        """
        if self._recheck_at is None or self._recheck_at > now or self._current is not None:
            return
        self._recheck_at = None
        self._seen_generation = self._in_force.generation if self._in_force else 0

    def _health_reported(self, event: HealthReported) -> None:
        if self._in_force is None or event.version != self._in_force.version:
            return
        failing = 0 if event.ok else event.version
        if failing != self._failing:
            self._failing, self._failing_why = failing, event.why[: m.MAX_WHY_LENGTH]
            self._watches.report_soon()

    # Watches

    def _send_watches(self, now: int) -> None:
        if self._is_holding(now):
            return
        for call, replica, timeout in self._watches.due(now, self._seen_generation):
            request = m.WatchRequest(
                since=self._seen_generation,
                timeout_ms=timeout // m.MILLISECOND,
                report=self._report(now),
            )
            self._effects.append(SendWatch(call, replica, request, now + timeout + REPLY_GRACE))

    def _is_holding(self, now: int) -> bool:
        """Whether the next watch is delayed so that it can report the result of the current record."""
        return self._current is not None and now < self._hold_until

    def _report(self, now: int) -> m.NodeReport:
        return m.NodeReport(
            node=self.node,
            in_force=self._in_force.version if self._in_force else 0,
            refused=self._refused.version if self._refused else 0,
            failing=self._failing,
            why=self._refused_why or self._failing_why,
            cut_off=self.is_cut_off(now),
        )

    def _notice_cut_off(self, now: int) -> None:
        cut_off = self.is_cut_off(now)
        if cut_off != self._was_cut_off:
            self._was_cut_off = cut_off
            version = self._in_force.version if self._in_force else 0
            self._effects.append(Notice(NoticeKind.CUT_OFF if cut_off else NoticeKind.RECONNECTED, version))

    def _schedule_wake(self, now: int) -> None:
        contact = self._started if self._last_contact is None else self._last_contact
        times = [self._hold_until if self._is_holding(now) else self._watches.next_call_at()]
        if not self._was_cut_off:
            times.append(contact + CUT_OFF_AFTER + 1)
        if self._recheck_at is not None and self._current is None:
            times.append(self._recheck_at)
        self.wake_at = min((time for time in times if time is not None), default=NEVER)
