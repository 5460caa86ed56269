"""The supervisor's decisions as a pure state machine: (state, time, event) to effects.

It has no socket, process, file or clock of its own. At most one process per instance name accepts
connections, the active one. A successor is started beside it and prepares itself (it has a host list, its
PING is answered) without accepting connections. It takes over only once the active process has reported that
it stopped accepting, or has ended; connections that arrive in between wait in the listening socket, which the
supervisor keeps open. So a process that is ready to serve exists throughout a change, and a successor that
never becomes ready has no effect: the old process was not touched.

Every event leads to `reconcile`, which compares the actual with the desired state and takes the next step, so
a lost or duplicate event does no harm. Times are whole microseconds of a monotonic clock.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from cottonspread.fleet.addresses import Addresses, addresses_of

SECOND = 1_000_000
# Time from StopAccepting until the process reports "leaving". Until then it runs and accepts connections as
# usual, so only a stuck process exceeds it.
LEAVE_TIMEOUT = 5 * SECOND
# If the supervisor itself was stopped for this long, the silence does not count against the processes.
STALL_THRESHOLD = SECOND

# States that a process reports; "waiting": for a host list with a server on it
STARTING, WAITING, PREPARED, SERVING, LEAVING = "starting", "waiting", "prepared", "serving", "leaving"
# Further states of an instance in the status table
DRAINED, BACKOFF, GIVEN_UP, STOPPED = "drained", "back-off", "given-up", "stopped"


# Effects


@dataclass(frozen=True)
class Start:
    """Start a process."""

    name: str
    generation: int
    spec: object


@dataclass(frozen=True)
class StartAccepting:
    """Tell the process to accept connections from now on."""

    name: str
    generation: int


@dataclass(frozen=True)
class StopAccepting:
    """Tell the process to accept no more connections, answer open calls, move its clients and stop.

    `has_successor`: a successor accepts new connections at the same address; otherwise the supervisor answers
    them with BUSY.
    """

    name: str
    generation: int
    has_successor: bool


@dataclass(frozen=True)
class Kill:
    """Kill the process."""

    name: str
    generation: int


@dataclass(frozen=True)
class ApplyLive:
    """Tell the process to apply the live part of the spec."""

    name: str
    generation: int
    spec: object


@dataclass(frozen=True)
class LogEvent:
    """Write a log line."""

    event: str
    pairs: dict
    level: str = "info"


@dataclass(frozen=True)
class RolloutEnded:
    """A rollout has ended, or was dropped before it began."""

    ok: bool
    why: str
    target: object  # the requested plan
    plan: object  # the plan in force now


@dataclass(frozen=True)
class AllStopped:
    """All processes have stopped."""


@dataclass(eq=False)
class Process:
    """A process of an instance."""

    name: str
    generation: int
    spec: object
    started_at: int
    start_timeout_from: int = 0  # its start timeout counts from here
    state: str = STARTING
    state_since: int = 0
    accept_sent_at: int = 0  # when it was told to accept connections; 0: not yet
    leave_sent_at: int = 0  # when it was told to stop accepting, or reported that it did; 0: not yet
    killed_at: int = 0
    steps: int = -1  # the step counter in its last status; -1: none received
    last_progress_at: int = 0  # when its step counter last changed
    status: dict = field(default_factory=dict)  # the last status that it reported
    baseline_counts: tuple = ()  # (ended, bad) calls when its observation began
    kill_reason: str = ""
    requested_spec: object = None  # the spec whose live part it was last told to apply
    requested_at: int = 0
    accepts_live: bool = True  # False: it did not apply a live part, so a successor is needed


@dataclass(eq=False)
class Slot:
    """The state of one instance name."""

    name: str
    spec: object
    active: Process = None
    successor: Process = None
    leaving: list = field(default_factory=list)
    drained: bool = False
    removed: bool = False  # no longer in the plan
    restart_requested: bool = False
    failure_times: deque = field(default_factory=deque)  # within the last `restarts_in_s`
    consecutive_failures: int = 0
    restart_not_before: int = 0
    given_up: bool = False
    restarts: int = 0
    down_since: int = 0  # when its active process ended unexpectedly
    last_failure: str = ""  # how a process last ended unexpectedly

    def processes(self):
        """Returns all processes of this name."""
        return [p for p in (self.active, self.successor) if p] + self.leaving

    def reset_failures(self):
        """Resets the restart backoff and the given-up state."""
        self.given_up, self.consecutive_failures, self.restart_not_before = False, 0, 0

    def serving(self):
        """Whether the active process serves and was not told to stop."""
        return self.active is not None and self.active.state == SERVING and not self.active.leave_sent_at


@dataclass(eq=False)
class Rollout:
    """A change from one plan to another."""

    plan: object
    previous_plan: object  # the plan to roll back to
    why: str  # "reload", "upgrade", "restart NAME"
    todo: deque
    in_progress: dict = field(default_factory=dict)  # slot: when its change took effect; 0: not yet
    live_slots: set = field(default_factory=set)  # slots whose running process applies the change
    live_verified: bool = False  # one of those was observed for the whole watch time
    rollback_reason: str = ""  # non-empty: the rollout is being rolled back
    baseline_bad_share: float = 0.0  # the share of calls that ended badly before the rollout


class Core:
    """The supervisor's state machine."""

    def __init__(self, now, plan):
        """`now`: microseconds; `plan`: the first plan."""
        self.now, self.plan, self.effects = now, plan, []
        self.slots = {name: Slot(name, spec) for name, spec in plan.specs.items()}
        self.addresses = Addresses(plan)
        self.generation, self.rollout, self.pending, self.stopping, self.stop_now, self.all_stopped = (
            0,
            None,
            None,
            False,
            False,
            False,
        )

    # Events

    def step(self, now, event, *args):
        """Handles an event and returns its effects in order; `event` names one of the methods below."""
        gap, self.now = now - self.now, max(now, self.now)
        if gap > STALL_THRESHOLD:  # the supervisor itself was stopped, and reports are still unread
            for p in self.processes():
                p.last_progress_at, p.start_timeout_from = (
                    p.last_progress_at + gap,
                    max(p.started_at, p.start_timeout_from) + gap,
                )
                p.leave_sent_at += gap if p.leave_sent_at else 0
                p.requested_at += gap
        getattr(self, event)(*args)
        self.reconcile_all()
        effects, self.effects = self.effects, []
        return effects

    def processes(self):
        """Returns all processes of all names."""
        return [p for slot in self.slots.values() for p in slot.processes()]

    def find(self, name, generation):
        """Returns the slot of a name and its process of that generation; None for what does not exist."""
        slot = self.slots.get(name)
        return slot, next((p for p in slot.processes() if p.generation == generation), None) if slot else None

    def tick(self):
        """Time has passed."""

    def adopt(self, name, generation, spec, status):
        """Adopts a process of an earlier supervisor, before any process is started.

        Not an event of `step`: call it for each process, then step `finish_adoption`.
        """
        self.generation = max(self.generation, generation)
        self.addresses.add([spec.address])
        slot = self.slots.get(name)
        p = Process(
            name,
            generation,
            spec,
            self.now,
            state=status["state"],
            state_since=self.now,
            last_progress_at=self.now,
            status=status,
        )
        if slot is None:  # no longer in the plan
            slot = self.slots[name] = Slot(name, spec, removed=True)
        if p.state == SERVING and slot.active is None:
            slot.active = p
            self.log_event("adopted", p)
        elif p.state == LEAVING:
            slot.leaving.append(p)
            p.leave_sent_at = self.now
        else:  # not serving yet, or a second process of the name
            slot.leaving.append(p)
            self.kill(p, "not the serving process when adopted")

    def finish_adoption(self):
        """Ends the adoption.

        Processes that differ from the plan are changed as by a reload, which rolls back if it fails.
        """
        active_specs = {s.name: s.active.spec for s in self.slots.values() if s.active}
        previous_plan = replace(
            self.plan, specs={n: active_specs.get(n, s) for n, s in self.plan.specs.items()}
        )
        if previous_plan.specs != self.plan.specs:
            plan, self.plan = self.plan, previous_plan
            for slot in self.slots.values():
                slot.spec = previous_plan.specs.get(slot.name, slot.spec)
            self.begin_rollout(plan, "adopted")

    def status_received(self, name, generation, status):
        """A process reported its status: {"state", "steps", "ended", "bad", ...}."""
        slot, p = self.find(name, generation)
        if p is None:
            return
        if status["steps"] != p.steps:
            p.steps, p.last_progress_at = status["steps"], self.now
        p.status = status
        if status.get("live") == p.spec.live:
            # A program of an earlier release reports the full text instead of its digest; it applies settings
            # only at its start.
            p.accepts_live = False
        refused = status.get("refused")
        if refused and p.requested_spec and refused["live"] == p.requested_spec.live_digest:
            self.live_not_applied(slot, p, f"refused: {refused['why']}")
        if status["state"] != p.state:
            p.state, p.state_since = status["state"], self.now
            if p.state == SERVING and p is slot.successor:
                slot.active, slot.successor = p, None
                self.log_event("ready", p, ms=(self.now - p.started_at) // 1000)
                if slot.down_since:
                    self.log_event("returned", p, ms=(self.now - slot.down_since) // 1000)
                    slot.down_since = 0
                p.baseline_counts = status.get("ended", 0), status.get("bad", 0)
            elif p.state == LEAVING and p is slot.active:
                slot.leaving.append(p)
                slot.active = None
                p.leave_sent_at = p.leave_sent_at or self.now

    def exited(self, name, generation, how):
        """A process has ended. `how`: "exit 0", "signal 9"."""
        slot, p = self.find(name, generation)
        if p is None:
            return
        if p in slot.leaving:
            slot.leaving.remove(p)
            self.log_event("left", p, how=how)
            return
        slot.active, slot.successor = (None if x is p else x for x in (slot.active, slot.successor))
        if p.leave_sent_at and not p.kill_reason:
            # It was told to leave and ended before it reported "leaving".
            self.log_event("left", p, how=how)
            return
        self.process_failed(slot, p, p.kill_reason or how)

    def not_started(self, name, generation, why):
        """A process could not be started."""
        self.exited(name, generation, f"not started: {why}")

    def change_plan(self, plan, why="reload"):
        """Starts a rollout to a new, validated plan, whose listening sockets are open.

        One rollout at a time: of the plans that arrive meanwhile only the newest is kept.
        """
        self.addresses.add(addresses_of(plan))
        if self.stopping:
            return
        if self.rollout:
            self.drop_pending("superseded by a later plan")
            self.pending = plan, why
            self.effects.append(LogEvent("pending", {"why": why, "behind": self.rollout.why}))
            return
        self.begin_rollout(plan, why)

    def stop(self):
        """First call: all processes stop gracefully. Second call: they are killed."""
        self.stop_now, self.stopping = self.stopping, True
        self.drop_pending("stopped")
        if self.rollout:
            self.end_rollout(False, "stopped")
        if self.stop_now:
            for p in self.processes():
                self.kill(p, "second stop command")

    def drop_pending(self, why):
        """Drops the pending plan, if any."""
        if self.pending:
            self.effects.append(RolloutEnded(False, why, self.pending[0], self.plan))
            self.pending = None

    def drain(self, name):
        """Stops an instance gracefully and keeps it down."""
        self.slots[name].drained = True

    def restart(self, name):
        """Restarts an instance that was drained or given up; otherwise replaces it by a successor."""
        slot = self.slots[name]
        slot.restart_requested = slot.active is not None and not slot.drained
        slot.drained = False
        slot.reset_failures()
        slot.failure_times.clear()

    # Rollouts

    def begin_rollout(self, plan, why):
        """Starts a rollout to a plan."""
        previous_plan, self.plan = self.plan, plan
        self.rollout = Rollout(
            plan,
            previous_plan,
            why,
            deque(),
            baseline_bad_share=self.bad_share([s.active for s in self.slots.values() if s.active]),
        )
        self.queue_changes(plan)

    def queue_changes(self, plan):
        """Queues every name whose spec changes; added names start and removed ones stop outside the queue."""
        todo = self.rollout.todo
        todo.clear()
        for name, spec in plan.specs.items():
            slot, is_added = self.slots.get(name), False
            if slot is None:
                slot, is_added = Slot(name, spec), True
                self.slots[name] = slot
            elif slot.removed:
                # It is being removed; without this its slot would be deleted before its change begins.
                slot.removed, is_added = False, True
            if slot in self.rollout.in_progress:
                slot.spec = spec
            elif slot.active is None and (is_added or slot.spec != spec):
                self.begin_change(slot, spec)
            elif slot.spec != spec:
                todo.append(slot)
        for name, slot in self.slots.items():
            if name not in plan.specs:
                slot.removed = True

    def begin_change(self, slot, spec):
        """Starts the change of one name to a spec."""
        slot.spec = spec
        slot.reset_failures()
        self.rollout.in_progress[slot] = 0
        if self.can_apply_live(slot, spec):
            self.rollout.live_slots.add(slot)
        else:
            self.rollout.live_slots.discard(slot)

    @staticmethod
    def can_apply_live(slot, spec):
        """Whether the active process can apply this spec without a restart."""
        p = slot.active
        return slot.serving() and p.accepts_live and p.spec.start == spec.start and not slot.restart_requested

    def live_not_applied(self, slot, p, why):
        """A process did not apply a live part.

        The rollout is rolled back. During a rollback, or without a rollout, a successor is started instead.
        """
        p.requested_spec, r = None, self.rollout
        self.log_event("not-applied", p, why=why, level="error")
        if r and not r.rollback_reason and slot in r.in_progress:
            self.roll_back(f"{slot.name}: {why}")
        else:
            p.accepts_live = False

    def roll_back(self, why):
        """Rolls the current rollout back to the previous plan."""
        r = self.rollout
        r.rollback_reason, self.plan = why, r.previous_plan
        self.effects.append(LogEvent("going-back", {"from": r.why, "why": why}, "error"))
        for slot in r.in_progress:
            if slot.successor:
                self.kill(slot.successor, "rolled back")
        # Changes in progress are reverted at once.
        r.in_progress = {slot: 0 for slot in r.in_progress if slot.name in r.previous_plan.specs}
        r.live_slots.clear()
        self.queue_changes(r.previous_plan)

    def end_rollout(self, ok, why):
        """Ends the current rollout and starts the pending one, if any."""
        r, self.rollout = self.rollout, None
        self.effects += [
            LogEvent("rollout", {"of": r.why, "ok": ok, "why": why or "done"}, "info" if ok else "error"),
            RolloutEnded(ok, why, r.plan, self.plan),
        ]
        if self.pending:
            plan, why = self.pending
            self.pending = None
            self.begin_rollout(plan, why)

    def advance_rollout(self):
        """Takes the next steps of a rollout.

        At most `at_once` names are being changed or otherwise unavailable at a time.
        """
        r = self.rollout
        for slot, ready in list(r.in_progress.items()):
            if slot.removed or slot.drained:
                del r.in_progress[slot]
            elif self.is_changed(slot):
                p = slot.active
                if not ready:
                    r.in_progress[slot] = self.now
                    p.baseline_counts = p.baseline_counts or (
                        p.status.get("ended", 0),
                        p.status.get("bad", 0),
                    )
                regression = "" if r.rollback_reason else self.regression(p)
                if regression:
                    self.roll_back(f"{slot.name}: {regression}")
                    return
                if self.now - (ready or self.now) >= self.watch_time(slot) and not slot.leaving:
                    del r.in_progress[slot]
                    r.live_verified = r.live_verified or slot in r.live_slots
        # Names that were given up do not come back by themselves; waiting for them would block the very
        # reload that repairs them.
        unavailable = [
            s
            for s in self.slots.values()
            if not (s.serving() or s.drained or s.removed or s.given_up or s in r.in_progress)
        ]
        while r.todo and self.may_change(r.todo[0], len(unavailable)):
            slot = r.todo.popleft()
            self.begin_change(slot, self.plan.specs[slot.name])
        if not r.todo and not r.in_progress:
            self.end_rollout(not r.rollback_reason, r.rollback_reason)

    def may_change(self, slot, unavailable):
        """Whether the next queued name may be changed now.

        A switch to a successor makes a name briefly unavailable, so at most `at_once` names do it at a time.
        A live change causes no unavailability: once the first process was observed with it, all others follow
        together; during a rollback they follow at once.
        """
        r = self.rollout
        follows = r.live_verified or r.rollback_reason
        if follows and self.can_apply_live(slot, self.plan.specs[slot.name]):
            return True
        counted = sum(1 for other in r.in_progress if not (follows and other in r.live_slots))
        return counted + unavailable < max(self.plan.fleet.at_once, 1)

    def watch_time(self, slot):
        """Returns how long a changed instance is observed, in microseconds."""
        fleet, r = self.plan.fleet, self.rollout
        if r.rollback_reason:
            return 0
        return (min(fleet.watch_s, fleet.live_watch_s) if slot in r.live_slots else fleet.watch_s) * SECOND

    def is_changed(self, slot):
        """Whether the active process runs the slot's spec."""
        p = slot.active
        return (
            slot.serving()
            and p.spec.start == slot.spec.start
            and (p.spec.live == slot.spec.live or p.status.get("live") == slot.spec.live_digest)
        )

    def regression(self, p):
        """Returns a text if calls end badly more often than in unchanged processes, else an empty string."""
        fleet = self.plan.fleet
        ended, bad = (
            p.status.get(k, 0) - baseline
            for k, baseline in zip(("ended", "bad"), p.baseline_counts or (0, 0), strict=True)
        )
        if ended < fleet.worse_of:
            return ""
        # Unchanged processes run under the same conditions now. Late in the rollout none are left, so the
        # share before the rollout counts too.
        baseline = max(
            self.rollout.baseline_bad_share,
            self.bad_share(
                [s.active for s in self.slots.values() if s.active and s.active.spec.start != p.spec.start]
            ),
        )
        share = bad / ended
        return (
            f"{bad} of {ended} calls ended badly, compared with a share of {baseline:.3f} before"
            if share > baseline + fleet.worse_by
            else ""
        )

    @staticmethod
    def bad_share(processes):
        """Returns the share of the processes' calls that ended badly."""
        ended, bad = (sum(p.status.get(k, 0) for p in processes) for k in ("ended", "bad"))
        return bad / ended if ended else 0.0

    # Actual and desired state

    def reconcile_all(self):
        """Advances the rollout and reconciles every name and address."""
        if self.rollout:
            self.advance_rollout()
        for slot in list(self.slots.values()):
            self.reconcile(slot)
        self.effects += self.addresses.reconcile(self)
        if self.stopping and not self.processes() and not self.all_stopped:
            self.all_stopped = True
            self.effects.append(AllStopped())

    def reconcile(self, slot):
        """Takes the next step of one name towards its desired state."""
        fleet = self.plan.fleet
        for p in slot.processes():
            self.check_timeouts(slot, p, fleet)
        if slot.removed or slot.drained or self.stopping:
            self.wind_down(slot, fleet)
        else:
            self.keep_running(slot)

    def is_awaited(self, slot):
        """Whether a name without an active process is about to have one: its clients wait for it."""
        if slot.active or self.stopping or slot.drained or slot.given_up or slot.removed:
            return False
        if slot.successor is None:
            return slot.restart_not_before <= self.now
        return slot.successor.state != WAITING

    def check_timeouts(self, slot, p, fleet):
        """Kills a process that did not start, leave or stop in time."""
        if p.killed_at:
            return
        if p in slot.leaving:
            if self.now - p.leave_sent_at > fleet.stop_s * SECOND:
                self.kill(p, "did not stop in time")
        elif p.leave_sent_at:
            if self.now - p.leave_sent_at > LEAVE_TIMEOUT:
                self.kill(p, "did not report leaving in time")
        elif p is slot.successor:
            # No process can serve without a host list, and a restart would not provide one. During a rollout
            # the active process serves on, so the timeout applies.
            if (
                p.state == WAITING
                and slot.active is None
                and self.rollout is None
                and self.now - p.last_progress_at <= fleet.stuck_s * SECOND
            ):
                p.start_timeout_from = self.now
            if self.now - max(p.started_at, p.start_timeout_from) > fleet.start_s * SECOND:
                self.kill(p, f"not ready after {fleet.start_s:g} s")
        else:
            self.check_active(slot, p, fleet)

    def check_active(self, slot, p, fleet):
        """Checks that the active process makes progress and applies a live part in time."""
        if self.now - p.last_progress_at > fleet.stuck_s * SECOND:
            self.kill(p, f"stuck: no step for {fleet.stuck_s:g} s")
        elif p.requested_spec and self.now - p.requested_at > fleet.start_s * SECOND:
            self.live_not_applied(slot, p, f"not applied after {fleet.start_s:g} s")

    def keep_running(self, slot):
        """Starts, replaces or reconfigures the process of a name as needed."""
        old, new, spec = slot.active, slot.successor, slot.spec
        if new is not None and not new.killed_at:
            self.promote_successor(slot)
            return
        if new is not None or old is not None and old.killed_at and not old.leave_sent_at:
            return  # the old process has to end before the next is started
        if old is None or not old.leave_sent_at and not self.can_reach_spec(old, slot):
            if self.now >= slot.restart_not_before and not slot.given_up:
                self.start(slot)
        elif (
            old.requested_spec != spec
            and not old.leave_sent_at
            and (old.spec.live != spec.live or old.accepts_live and self.has_drifted(old))
        ):
            old.requested_spec, old.requested_at = spec, self.now
            self.effects.append(ApplyLive(slot.name, old.generation, spec))
        if (
            old is not None
            and old.requested_spec is not None
            and old.status.get("live") == old.requested_spec.live_digest
            and old.spec.start == old.requested_spec.start
        ):
            old.spec, old.requested_spec = old.requested_spec, None

    def promote_successor(self, slot):
        """Lets a prepared successor take over once the active process has left.

        A successor of an outdated plan is killed.
        """
        old, new = slot.active, slot.successor
        if new.spec != slot.spec:
            self.kill(new, "plan changed")
        elif new.state == PREPARED and not new.accept_sent_at:
            if old is not None and not old.leave_sent_at:
                old.leave_sent_at = self.now
                same_address = old.spec.address == new.spec.address
                self.effects.append(StopAccepting(slot.name, old.generation, same_address))
            elif old is None:
                new.accept_sent_at = self.now
                # The supervisor stops answering before the successor accepts.
                self.effects += self.addresses.stop_answering(new.spec.address)
                self.effects.append(StartAccepting(slot.name, new.generation))

    @staticmethod
    def has_drifted(p):
        """Whether its live part differs from its known spec: an abandoned ApplyLive took effect late."""
        return p.requested_spec is None and p.status.get("live", p.spec.live_digest) != p.spec.live_digest

    @staticmethod
    def can_reach_spec(p, slot):
        """Whether this process can reach the slot's spec without a restart."""
        spec = slot.spec
        return (
            not slot.restart_requested
            and p.spec.start == spec.start
            and (p.accepts_live or p.spec.live == spec.live)
        )

    def start(self, slot):
        """Starts a successor, at most `start_at_once` at a time.

        With forty interpreters starting at once none is ready in time.
        """
        if (
            sum(s.successor is not None and s.successor.state == STARTING for s in self.slots.values())
            >= self.plan.fleet.start_at_once
        ):
            return
        slot.restart_requested = False
        self.generation += 1
        slot.successor = Process(
            slot.name, self.generation, slot.spec, self.now, state_since=self.now, last_progress_at=self.now
        )
        slot.restarts += bool(slot.down_since)
        self.effects.append(Start(slot.name, self.generation, slot.spec))

    def wind_down(self, slot, fleet):
        """Stops the processes of a name that is not to run."""
        if slot.successor is not None and not slot.successor.killed_at:
            self.kill(slot.successor, "no longer needed")
        old = slot.active
        leaving = sum(1 for s in self.slots.values() if s.leaving or s.active and s.active.leave_sent_at)
        if (
            old is not None
            and not old.leave_sent_at
            and not old.killed_at
            and (
                slot.drained
                or leaving < ((fleet.stop_at_once or len(self.slots)) if self.stopping else fleet.at_once)
            )
        ):
            old.leave_sent_at = self.now
            self.effects.append(StopAccepting(slot.name, old.generation, False))
        if slot.removed and not slot.processes():
            del self.slots[slot.name]

    def kill(self, p, why):
        """Kills a process, once."""
        if not p.killed_at:
            p.killed_at, p.kill_reason = self.now, why
            self.log_event("kill", p, why=why, level="warning")
            self.effects.append(Kill(p.name, p.generation))

    def process_failed(self, slot, p, how):
        """Handles an unexpected end: restarts with a growing delay, up to a limit."""
        if (
            self.stopping
            or slot.removed
            or slot.drained
            or how in ("plan changed", "rolled back", "no longer needed")
        ):
            return
        fleet, r = self.plan.fleet, self.rollout
        slot.last_failure, slot.down_since = how, slot.down_since or (self.now if slot.active is None else 0)
        self.log_event("ended", p, how=how, level="error")
        if r and not r.rollback_reason and slot in r.in_progress and p.spec.start == slot.spec.start:
            self.roll_back(f"{slot.name}: {how}")
            return
        slot.failure_times.append(self.now)
        while slot.failure_times and self.now - slot.failure_times[0] > fleet.restarts_in_s * SECOND:
            slot.failure_times.popleft()
        if p.state == SERVING and self.now - p.state_since > fleet.restarts_in_s * SECOND:
            slot.consecutive_failures = 0
        if len(slot.failure_times) > fleet.restarts:
            slot.given_up = True
            self.effects.append(
                LogEvent(
                    "given-up",
                    {"instance": slot.name, "restarts": len(slot.failure_times) - 1, "why": how},
                    "error",
                )
            )
            # It is being rolled back, or the old process failed: the rollout does not wait for it.
            if r and slot in r.in_progress:
                del r.in_progress[slot]
            return
        # The first restart is immediate: most failures are isolated.
        wait = (
            fleet.backoff_s * 2 ** min(slot.consecutive_failures - 1, 20) if slot.consecutive_failures else 0
        )
        slot.consecutive_failures += 1
        slot.restart_not_before = self.now + round(min(wait, fleet.backoff_most_s) * SECOND)

    def log_event(self, event, p, level="info", **pairs):
        """Adds a log line about a process."""
        self.effects.append(LogEvent(event, {"instance": p.name, "generation": p.generation, **pairs}, level))

    # Status

    def state_of(self, slot):
        """Returns the state of a name for the status table."""
        p = slot.active or slot.successor
        if p:
            return p.state if not p.leave_sent_at else LEAVING
        if slot.leaving:
            return LEAVING
        return (
            DRAINED
            if slot.drained
            else STOPPED
            if self.stopping or slot.removed
            else GIVEN_UP
            if slot.given_up
            else BACKOFF
        )

    def ready(self):
        """Whether all names that should serve do so."""
        return all(s.serving() for s in self.slots.values() if not s.drained and not s.removed)

    def describe_slots(self):
        """Returns the state of each name, for debugging."""
        r = self.rollout
        return [
            (
                s.name,
                self.state_of(s),
                s.spec.start,
                [(p.generation, p.state, p.spec.start, p.leave_sent_at, p.killed_at) for p in s.processes()],
                "removed" * s.removed,
                "in progress" * bool(r and s in r.in_progress),
                "queued" * bool(r and s in r.todo),
            )
            for s in self.slots.values()
        ]
