"""The supervisor's decisions: (state, time, event) to effects. No socket, process, file or clock of its own.

Of each name at most one process takes connections, the holder. A successor is started beside it, prepares
itself (it knows a list, its PING is answered) without taking any, and takes over only once the holder has
said that it left, or is gone; what comes in between waits in the listening socket, which the supervisor
keeps. So a change needs no moment without a holder that is ready, and a successor that never gets ready costs
nothing: the old one was not touched.

Every event leads to `consider`, which looks at what is and what is wanted and takes the next step: a lost or
doubled event does no harm. Times are whole microseconds of a clock that never jumps (monotonic).
"""

from collections import deque
from dataclasses import dataclass, field, replace

SECOND = 1_000_000
# for "I have left": it takes connections until then, so only one that is stuck is ended
LEAVE_WAIT = 5 * SECOND
LATE = SECOND  # the supervisor itself stood still for so long: nobody is blamed for silence in it

# What a process says of itself; waiting: for a list with a server on it
STARTING, WAITING, PREPARED, SERVING, LEAVING = "starting", "waiting", "prepared", "serving", "leaving"
# What the table shows of a name besides
DRAINED, BACKOFF, GIVEN_UP, STOPPED = "drained", "back-off", "given-up", "stopped"


# Effects


@dataclass(frozen=True)
class Start:
    name: str
    generation: int
    spec: object


@dataclass(frozen=True)
class Take:
    """Take connections from now on."""

    name: str
    generation: int


@dataclass(frozen=True)
class Leave:
    """Take no more; then stop: open calls answered, standing ones moved.

    `handed`: a successor takes the new ones, else the door.
    """

    name: str
    generation: int
    handed: bool


@dataclass(frozen=True)
class Kill:
    name: str
    generation: int


@dataclass(frozen=True)
class Apply:
    """Take over the live part."""

    name: str
    generation: int
    spec: object


@dataclass(frozen=True)
class Door:
    """Whether the supervisor itself answers BUSY at this address, for there
    is no holder and none is about to be.
    """

    name: str
    open: bool


@dataclass(frozen=True)
class Forget:
    """The name is no more: its socket is closed."""

    name: str


@dataclass(frozen=True)
class Say:
    event: str
    pairs: dict
    level: str = "info"


@dataclass(frozen=True)
class Outcome:
    """A rollout has ended, or never begun."""

    ok: bool
    why: str
    target: object  # the plan that was asked for
    plan: object  # what is in force now


@dataclass(frozen=True)
class Over:
    """All have stopped."""


@dataclass(eq=False)
class Process:
    name: str
    generation: int
    spec: object
    began: int
    allowed_from: int = 0  # its time to get ready runs from here
    state: str = STARTING
    since: int = 0
    told_take: int = 0
    told_leave: int = 0
    killed: int = 0
    steps: int = -1
    stepped: int = 0  # when the steps were last seen to grow
    seen: dict = field(default_factory=dict)  # the last status, as told
    at_ready: tuple = ()  # (ended, badly) when it began to be watched
    failed: str = ""
    applied: object = None  # the spec whose live part was last asked for
    applied_at: int = 0  # when that was
    takes_live: bool = True  # False: it did not take a live part over; a successor has to


@dataclass(eq=False)
class Slot:
    """A name."""

    name: str
    spec: object
    holder: Process = None
    next: Process = None
    leaving: list = field(default_factory=list)
    drained: bool = False
    gone: bool = False  # not in the plan any more
    anew: bool = False  # a restart was asked for
    fails: deque = field(default_factory=deque)  # when, in the window
    in_row: int = 0
    not_before: int = 0
    given_up: bool = False
    restarts: int = 0
    away_since: int = 0  # when its holder ended unasked
    why: str = ""  # the last end that was not asked for
    door: bool = False

    def processes(self):
        return [p for p in (self.holder, self.next) if p] + self.leaving

    def afresh(self):
        """What it failed at before does not count any more."""
        self.given_up, self.in_row, self.not_before = False, 0, 0

    def serving(self):
        return self.holder is not None and self.holder.state == SERVING and not self.holder.told_leave


@dataclass(eq=False)
class Rollout:
    plan: object
    before: object  # the plan to go back to
    why: str  # "reload", "upgrade", "restart NAME"
    todo: deque
    doing: dict = field(default_factory=dict)  # slot: when its change was ready; 0: it is not yet
    live: set = field(default_factory=set)  # slots whose running process takes the change over
    proved: bool = False  # one of those has been watched to its end
    back: str = ""  # going back, and why
    usual: float = 0.0  # the share of calls that ended badly before it


class Core:
    def __init__(self, now, plan):
        self.now, self.plan, self.out = now, plan, []
        self.slots = {name: Slot(name, spec) for name, spec in plan.specs.items()}
        self.generation, self.rollout, self.pending, self.stopping, self.hurried, self.over = (
            0,
            None,
            None,
            False,
            False,
            False,
        )

    # What is told

    def step(self, now, what, *args):
        """`what` is the name of one of the methods below; the effects, in their order."""
        gap, self.now = now - self.now, max(now, self.now)
        if gap > LATE:  # we stood still ourselves: whatever was said lies unread
            for p in self.processes():
                p.stepped, p.allowed_from = p.stepped + gap, max(p.began, p.allowed_from) + gap
                p.told_leave += gap if p.told_leave else 0
                p.applied_at += gap
        getattr(self, what)(*args)
        self.consider_all()
        out, self.out = self.out, []
        return out

    def processes(self):
        return [p for slot in self.slots.values() for p in slot.processes()]

    def find(self, name, generation):
        slot = self.slots.get(name)
        return slot, next((p for p in slot.processes() if p.generation == generation), None) if slot else None

    def tick(self):
        pass

    def adopted(self, name, generation, spec, status):
        """A process that an earlier supervisor began, found before anything is started.

        No step: first all of them, then `settle`.
        """
        self.generation = max(self.generation, generation)
        slot = self.slots.get(name)
        p = Process(
            name,
            generation,
            spec,
            self.now,
            state=status["state"],
            since=self.now,
            stepped=self.now,
            seen=status,
        )
        if slot is None:  # not in the plan any more
            slot = self.slots[name] = Slot(name, spec, gone=True)
        if p.state == SERVING and slot.holder is None:
            slot.holder = p
            self.say("adopted", p)
        elif p.state == LEAVING:
            slot.leaving.append(p)
            p.told_leave = self.now
        else:  # half prepared, or a second one: not worth finding out
            slot.leaving.append(p)
            self.kill(p, "adopted half-way")

    def settle(self):
        """All are adopted.

        What differs from the plan is changed as by a reload, and goes back if that fails.
        """
        holders = {s.name: s.holder.spec for s in self.slots.values() if s.holder}
        before = replace(self.plan, specs={n: holders.get(n, s) for n, s in self.plan.specs.items()})
        if before.specs != self.plan.specs:
            plan, self.plan = self.plan, before
            for slot in self.slots.values():
                slot.spec = before.specs.get(slot.name, slot.spec)
            self.begin(plan, "adopted")

    def told(self, name, generation, status):
        """A process tells of itself: {"state", "steps", "ended", "bad", ...}."""
        slot, p = self.find(name, generation)
        if p is None:
            return
        if status["steps"] != p.steps:
            p.steps, p.stepped = status["steps"], self.now
        p.seen = status
        if status.get("live") == p.spec.live:  # its whole text: a program that takes over less than ours
            p.takes_live = False
        refused = status.get("refused")
        if refused and p.applied and refused["live"] == p.applied.live_digest:
            self.not_applied(slot, p, f"refused: {refused['why']}")
        if status["state"] != p.state:
            p.state, p.since = status["state"], self.now
            if p.state == SERVING and p is slot.next:
                slot.holder, slot.next = p, None
                self.say("ready", p, ms=(self.now - p.began) // 1000)
                if slot.away_since:
                    self.say("returned", p, ms=(self.now - slot.away_since) // 1000)
                    slot.away_since = 0
                p.at_ready = status.get("ended", 0), status.get("bad", 0)
            elif p.state == LEAVING and p is slot.holder:
                slot.leaving.append(p)
                slot.holder = None
                p.told_leave = p.told_leave or self.now

    def exited(self, name, generation, how):
        """A process is gone. `how` says by what: "exit 0", "signal 9"."""
        slot, p = self.find(name, generation)
        if p is None:
            return
        if p in slot.leaving:
            slot.leaving.remove(p)
            self.say("left", p, how=how)
            return
        slot.holder, slot.next = (None if x is p else x for x in (slot.holder, slot.next))
        if p.told_leave and not p.failed:  # it said "leave" and was gone before it could say so
            self.say("left", p, how=how)
            return
        self.failed(slot, p, p.failed or how)

    def not_started(self, name, generation, why):
        """There is no process at all."""
        self.exited(name, generation, f"not started: {why}")

    def replan(self, plan, why="reload"):
        """A new plan, whole and checked. One at a time: the newest of those that come meanwhile is next."""
        if self.stopping:
            return
        if self.rollout:
            self.drop_pending("a later one came")
            self.pending = plan, why
            self.out.append(Say("pending", {"why": why, "behind": self.rollout.why}))
            return
        self.begin(plan, why)

    def stop(self):
        """Once: all stop in the node's own way. Twice: at once."""
        self.hurried, self.stopping = self.stopping, True
        self.drop_pending("stopped")
        if self.rollout:
            self.end_rollout(False, "stopped")
        if self.hurried:
            for p in self.processes():
                self.kill(p, "hurried")

    def drop_pending(self, why):
        if self.pending:
            self.out.append(Outcome(False, why, self.pending[0], self.plan))
            self.pending = None

    def drain(self, name):
        self.slots[name].drained = True

    def restart(self, name):
        """Back from a drain or after being given up, else a successor."""
        slot = self.slots[name]
        slot.anew = slot.holder is not None and not slot.drained
        slot.drained = False
        slot.afresh()
        slot.fails.clear()

    # Rollouts

    def begin(self, plan, why):
        before, self.plan = self.plan, plan
        self.rollout = Rollout(
            plan, before, why, deque(), usual=self.badly([s.holder for s in self.slots.values() if s.holder])
        )
        self.target(plan)

    def target(self, plan):
        """Every name that is to be different goes on the list; new ones start, old ones
        stop, outside of it.
        """
        todo = self.rollout.todo
        todo.clear()
        for name, spec in plan.specs.items():
            slot, back = self.slots.get(name), False
            if slot is None:
                slot, back = Slot(name, spec), True
                self.slots[name] = slot
            elif slot.gone:
                # on its way out: from now on it is not, or it would be gone before its turn comes
                slot.gone, back = False, True
            if slot in self.rollout.doing:
                slot.spec = spec
            elif slot.holder is None and (back or slot.spec != spec):
                self.change(slot, spec)
            elif slot.spec != spec:
                todo.append(slot)
        for name, slot in self.slots.items():
            if name not in plan.specs:
                slot.gone = True

    def change(self, slot, spec):
        slot.spec = spec
        slot.afresh()
        self.rollout.doing[slot] = 0
        if self.can_apply(slot, spec):
            self.rollout.live.add(slot)
        else:
            self.rollout.live.discard(slot)

    @staticmethod
    def can_apply(slot, spec):
        """Whether the process that holds the name takes this spec over as it runs."""
        p = slot.holder
        return slot.serving() and p.takes_live and p.spec.start == spec.start and not slot.anew

    def not_applied(self, slot, p, why):
        """A live part was not taken over. On the way back, or outside of a rollout, a successor takes it."""
        p.applied, r = None, self.rollout
        self.say("not-applied", p, why=why, level="error")
        if r and not r.back and slot in r.doing:
            self.go_back(f"{slot.name}: {why}")
        else:
            p.takes_live = False

    def go_back(self, why):
        r = self.rollout
        r.back, self.plan = why, r.before
        self.out.append(Say("going-back", {"from": r.why, "why": why}, "error"))
        for slot in r.doing:
            if slot.next:
                self.kill(slot.next, "going back")
        # Those that were under way are turned round at once.
        r.doing = {slot: 0 for slot in r.doing if slot.name in r.before.specs}
        r.live.clear()
        self.target(r.before)

    def end_rollout(self, ok, why):
        r, self.rollout = self.rollout, None
        self.out += [
            Say("rollout", {"of": r.why, "ok": ok, "why": why or "done"}, "info" if ok else "error"),
            Outcome(ok, why, r.plan, self.plan),
        ]
        if self.pending:
            plan, why = self.pending
            self.pending = None
            self.begin(plan, why)

    def roll(self):
        """The next steps of a rollout: at most `at_once` under way, and
        none while as many others are not there.
        """
        r = self.rollout
        for slot, ready in list(r.doing.items()):
            if slot.gone or slot.drained:
                del r.doing[slot]
            elif self.changed(slot):
                p = slot.holder
                if not ready:
                    r.doing[slot] = self.now
                    p.at_ready = p.at_ready or (p.seen.get("ended", 0), p.seen.get("bad", 0))
                worse = "" if r.back else self.worse(p)
                if worse:
                    self.go_back(f"{slot.name}: {worse}")
                    return
                if self.now - (ready or self.now) >= self.watch(slot) and not slot.leaving:
                    del r.doing[slot]
                    r.proved = r.proved or slot in r.live
        # Those given up come back by nobody's waiting; to wait for them would
        # stop the very reload that mends them.
        away = [
            s
            for s in self.slots.values()
            if not (s.serving() or s.drained or s.gone or s.given_up or s in r.doing)
        ]
        while r.todo and self.may_change(r.todo[0], len(away)):
            slot = r.todo.popleft()
            self.change(slot, self.plan.specs[slot.name])
        if not r.todo and not r.doing:
            self.end_rollout(not r.back, r.back)

    def may_change(self, slot, away):
        """Whether the next one's turn has come.

        A successor costs its name a moment, and at most `at_once` have that. What running processes take
        over costs none: once it has been watched on the first of them, all the others follow together, and
        on the way back at once.
        """
        r = self.rollout
        follows = r.proved or r.back
        if follows and self.can_apply(slot, self.plan.specs[slot.name]):
            return True
        counted = sum(1 for other in r.doing if not (follows and other in r.live))
        return counted + away < max(self.plan.fleet.at_once, 1)

    def watch(self, slot):
        """How long a changed instance is watched, in microseconds."""
        fleet, r = self.plan.fleet, self.rollout
        if r.back:
            return 0
        return (min(fleet.watch_s, fleet.live_watch_s) if slot in r.live else fleet.watch_s) * SECOND

    def changed(self, slot):
        p = slot.holder
        return (
            slot.serving()
            and p.spec.start == slot.spec.start
            and (p.spec.live == slot.spec.live or p.seen.get("live") == slot.spec.live_digest)
        )

    def worse(self, p):
        """Whether calls end badly more often than in those not yet changed."""
        fleet = self.plan.fleet
        ended, bad = (
            p.seen.get(k, 0) - was for k, was in zip(("ended", "bad"), p.at_ready or (0, 0), strict=True)
        )
        if ended < fleet.worse_of:
            return ""
        # Those not yet changed meet the same trouble now; of the last ones there are none left,
        # so what was usual before counts too.
        was = max(
            self.rollout.usual,
            self.badly(
                [s.holder for s in self.slots.values() if s.holder and s.holder.spec.start != p.spec.start]
            ),
        )
        share = bad / ended
        return (
            f"{bad} of {ended} calls ended badly, before {was:.3f} of them"
            if share > was + fleet.worse_by
            else ""
        )

    @staticmethod
    def badly(processes):
        """The share of their calls that ended badly."""
        ended, bad = (sum(p.seen.get(k, 0) for p in processes) for k in ("ended", "bad"))
        return bad / ended if ended else 0.0

    # What is and what is wanted

    def consider_all(self):
        if self.rollout:
            self.roll()
        for slot in list(self.slots.values()):
            self.consider(slot)
        if self.stopping and not self.processes() and not self.over:
            self.over = True
            self.out.append(Over())

    def consider(self, slot):
        fleet = self.plan.fleet
        for p in slot.processes():
            self.look_at(slot, p, fleet)
        if slot.gone or slot.drained or self.stopping:
            self.wind_down(slot, fleet)
        else:
            self.keep_up(slot)
        # The supervisor answers where nobody does and nobody is about to.
        door = (
            not slot.holder
            and not (slot.next and slot.next.told_take)
            and (
                self.stopping
                or slot.drained
                or slot.given_up
                or slot.gone
                or slot.next is None
                and slot.not_before > self.now
                or slot.next is not None
                and slot.next.state == WAITING
            )
        )
        if slot.name in self.slots:
            self.set_door(slot, door)

    def set_door(self, slot, open):
        if open != slot.door:
            slot.door = open
            self.out.append(Door(slot.name, open))

    def look_at(self, slot, p, fleet):
        """Whether it is in time with what it is to do."""
        if p.killed:
            return
        if p in slot.leaving:
            if self.now - p.told_leave > fleet.stop_s * SECOND:
                self.kill(p, "did not stop")
        elif p.told_leave:
            if self.now - p.told_leave > LEAVE_WAIT:
                self.kill(p, "did not leave")
        elif p is slot.next:
            # Without a list nobody can begin, and to start it anew brings none; in a
            # rollout the holder goes on meanwhile.
            if (
                p.state == WAITING
                and slot.holder is None
                and self.rollout is None
                and self.now - p.stepped <= fleet.stuck_s * SECOND
            ):
                p.allowed_from = self.now
            if self.now - max(p.began, p.allowed_from) > fleet.start_s * SECOND:
                self.kill(p, f"not ready after {fleet.start_s:g} s")
        else:
            self.look_at_holder(slot, p, fleet)

    def look_at_holder(self, slot, p, fleet):
        """Whether it makes steps, and takes over in time what it was asked to."""
        if self.now - p.stepped > fleet.stuck_s * SECOND:
            self.kill(p, f"stuck: no step for {fleet.stuck_s:g} s")
        elif p.applied and self.now - p.applied_at > fleet.start_s * SECOND:
            self.not_applied(slot, p, f"not taken over after {fleet.start_s:g} s")

    def keep_up(self, slot):
        old, new, spec = slot.holder, slot.next, slot.spec
        if new is not None and not new.killed:
            self.bring_in(slot)
            return
        if new is not None or old is not None and old.killed and not old.told_leave:
            return  # one goes, then the next comes
        if old is None or not old.told_leave and not self.fits(old, slot):
            if self.now >= slot.not_before and not slot.given_up:
                self.start(slot)
        elif (
            old.applied != spec
            and not old.told_leave
            and (old.spec.live != spec.live or old.takes_live and self.strays(old))
        ):
            old.applied, old.applied_at = spec, self.now
            self.out.append(Apply(slot.name, old.generation, spec))
        if (
            old is not None
            and old.applied is not None
            and old.seen.get("live") == old.applied.live_digest
            and old.spec.start == old.applied.start
        ):
            old.spec, old.applied = old.applied, None

    def bring_in(self, slot):
        """A successor that is prepared takes over once the holder has left, and one of another plan goes."""
        old, new = slot.holder, slot.next
        if new.spec != slot.spec:
            self.kill(new, "another plan")
        elif new.state == PREPARED and not new.told_take:
            if old is not None and not old.told_leave:
                old.told_leave = self.now
                self.out.append(Leave(slot.name, old.generation, True))
            elif old is None:
                new.told_take = self.now
                self.set_door(slot, False)  # before the other takes
                self.out.append(Take(slot.name, new.generation))

    @staticmethod
    def strays(p):
        """Whether it runs under something else than is known of it: an order given up was obeyed late."""
        return p.applied is None and p.seen.get("live", p.spec.live_digest) != p.spec.live_digest

    @staticmethod
    def fits(p, slot):
        """Whether this process can become what its slot is to be."""
        spec = slot.spec
        return not slot.anew and p.spec.start == spec.start and (p.takes_live or p.spec.live == spec.live)

    def start(self, slot):
        # Forty interpreters that start at once are none of them ready in time.
        if (
            sum(s.next is not None and s.next.state == STARTING for s in self.slots.values())
            >= self.plan.fleet.start_at_once
        ):
            return
        slot.anew = False
        self.generation += 1
        slot.next = Process(slot.name, self.generation, slot.spec, self.now, since=self.now, stepped=self.now)
        slot.restarts += bool(slot.away_since)
        self.out.append(Start(slot.name, self.generation, slot.spec))

    def wind_down(self, slot, fleet):
        if slot.next is not None and not slot.next.killed:
            self.kill(slot.next, "not wanted any more")
        old = slot.holder
        busy = sum(1 for s in self.slots.values() if s.leaving or s.holder and s.holder.told_leave)
        if (
            old is not None
            and not old.told_leave
            and not old.killed
            and (
                slot.drained
                or busy < ((fleet.stop_at_once or len(self.slots)) if self.stopping else fleet.at_once)
            )
        ):
            old.told_leave = self.now
            self.out.append(Leave(slot.name, old.generation, False))
        if slot.gone and not slot.processes():
            del self.slots[slot.name]
            self.out.append(Forget(slot.name))

    def kill(self, p, why):
        if not p.killed:
            p.killed, p.failed = self.now, why
            self.say("kill", p, why=why, level="warning")
            self.out.append(Kill(p.name, p.generation))

    def failed(self, slot, p, how):
        """One has ended that was not to end: again, but ever later, and not for ever."""
        if (
            self.stopping
            or slot.gone
            or slot.drained
            or how in ("another plan", "going back", "not wanted any more")
        ):
            return
        fleet, r = self.plan.fleet, self.rollout
        slot.why, slot.away_since = how, slot.away_since or (self.now if slot.holder is None else 0)
        self.say("ended", p, how=how, level="error")
        if r and not r.back and slot in r.doing and p.spec.start == slot.spec.start:
            self.go_back(f"{slot.name}: {how}")
            return
        slot.fails.append(self.now)
        while slot.fails and self.now - slot.fails[0] > fleet.restarts_in_s * SECOND:
            slot.fails.popleft()
        if p.state == SERVING and self.now - p.since > fleet.restarts_in_s * SECOND:
            slot.in_row = 0
        if len(slot.fails) > fleet.restarts:
            slot.given_up = True
            self.out.append(
                Say("given-up", {"instance": slot.name, "restarts": len(slot.fails) - 1, "why": how}, "error")
            )
            # going back already, or it was the old one: the rollout does not wait for it
            if r and slot in r.doing:
                del r.doing[slot]
            return
        # The first comes at once: most ends are single ones.
        wait = fleet.backoff_s * 2 ** min(slot.in_row - 1, 20) if slot.in_row else 0
        slot.in_row += 1
        slot.not_before = self.now + round(min(wait, fleet.backoff_most_s) * SECOND)

    def say(self, event, p, level="info", **pairs):
        self.out.append(Say(event, {"instance": p.name, "generation": p.generation, **pairs}, level))

    # What is shown

    def state_of(self, slot):
        p = slot.holder or slot.next
        if p:
            return p.state if not p.told_leave else LEAVING
        if slot.leaving:
            return LEAVING
        return (
            DRAINED
            if slot.drained
            else STOPPED
            if self.stopping or slot.gone
            else GIVEN_UP
            if slot.given_up
            else BACKOFF
        )

    def ready(self):
        return all(s.serving() for s in self.slots.values() if not s.drained and not s.gone)

    def table(self):
        """Each name with what it waits for; for our own eyes."""
        r = self.rollout
        return [
            (
                s.name,
                self.state_of(s),
                s.spec.start,
                [(p.generation, p.state, p.spec.start, p.told_leave, p.killed) for p in s.processes()],
                "gone" * s.gone,
                "doing" * bool(r and s in r.doing),
                "todo" * bool(r and s in r.todo),
            )
            for s in self.slots.values()
        ]
