"""The supervisor's core under random sequences of events, with simulated processes, checked for invariants.

FLEET_SEQUENCES=5000 runs that many sequences.
"""

import itertools
import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cottonspread.config.operator import Fleet
from cottonspread.fleet import addresses
from cottonspread.fleet import core as c
from cottonspread.fleet.plan import InstanceSpec, Plan

SECOND = 1_000_000


def fleet(**more):
    return Fleet(
        **{
            "name": "f",
            "config": "x",
            "instances": 3,
            "listen": "127.0.0.1:9",
            "start_s": 5.0,
            "stop_s": 4.0,
            "stuck_s": 3.0,
            "backoff_s": 0.5,
            "backoff_most_s": 4.0,
            "restarts": 4,
            "restarts_in_s": 60.0,
            "watch_s": 0.0,
            **more,
        }
    )


def plan(count=3, start="a", live="x", port=9, **more):
    return Plan(
        fleet(instances=count, **more),
        {f"f-{n}": InstanceSpec(f"f-{n}", ("127.0.0.1", port + n), start, live) for n in range(count)},
        ("python", ""),
    )


def new_process(spec):
    return {
        "has_reported": False,
        "state": "starting",
        "spec": spec,
        "steps": 0,
        "killed": False,
        "ended": 0,
        "bad": 0,
        "frozen": False,
        "leave": None,
        "ignores_apply": False,
        "live": spec.live_digest,
        "refused": None,
    }


class Simulation:
    """Simulated processes that the core starts and stops, and a record of its effects.

    `open`: the addresses whose listening sockets are open; `answering_busy`: those at which the supervisor
    answers.
    """

    def __init__(self, first, first_step="tick"):
        self.now, self.plan, self.core = SECOND, first, c.Core(SECOND, first)
        self.processes, self.effects, self.outcomes, self.started, self.ended = {}, [], [], [], set()
        self.all_stopped, self.answering_busy, self.refused_live = False, set(), set()
        self.open = addresses.addresses_of(first)
        if first_step:
            self.step(first_step)

    def step(self, what, *args):
        if what == "change_plan":
            self.open |= addresses.addresses_of(args[0])
        if not self.all_stopped:
            for effect in self.core.step(self.now, what, *args):
                self.effects.append(effect)
                self.execute(effect)

    def adopt(self, name, generation, spec, state):
        """A process of an earlier supervisor is found."""
        p = self.processes[name, generation] = new_process(spec) | {
            "state": state,
            "steps": 5,
            "has_reported": True,
        }
        p["leave"] = True if state == "leaving" else None
        self.open.add(spec.address)
        self.core.adopt(name, generation, spec, {k: p[k] for k in ("state", "steps", "live")})

    def execute(self, e):
        key = (getattr(e, "name", None), getattr(e, "generation", None))
        if isinstance(e, c.Start):
            assert key not in self.processes and key not in self.ended, "a generation used twice"
            assert e.spec.address in self.open, "a start at an address that is closed"
            assert (
                sum(
                    1
                    for k in self.processes
                    if k[0] == e.name
                    and self.processes[k]["state"] in ("starting", "waiting", "prepared")
                    and not self.processes[k]["killed"]
                )
                == 0
            ), "two successors"
            assert (
                sum(p["state"] == "starting" and not p["has_reported"] for p in self.processes.values())
                < self.core.plan.fleet.start_at_once
            )
            self.processes[key] = new_process(e.spec)
            self.started.append(key)
        elif isinstance(e, c.StartAccepting):
            assert all(p["state"] != "serving" for k, p in self.processes.items() if k[0] == e.name), (
                f"two active processes of {e.name}"
            )
            assert self.processes[key]["spec"].address not in self.answering_busy, (
                "the supervisor answers BUSY beside an active process"
            )
            self.processes[key]["state"] = "serving" if not self.processes[key]["frozen"] else "prepared"
            self.processes[key]["accepting"] = True
        elif isinstance(e, c.StopAccepting):
            self.processes[key]["leave"] = e.has_successor
            successor_at_address = any(
                p["spec"].address == self.processes[key]["spec"].address and p["state"] == "prepared"
                for k, p in self.processes.items()
                if k[0] == e.name and not p["killed"]
            )
            assert e.has_successor == successor_at_address, "the queue is left to nobody, or to two"
        elif isinstance(e, c.Kill):
            self.processes[key]["killed"] = True
        elif isinstance(e, c.ApplyLive):
            self.apply(key, e.spec)
        elif isinstance(e, addresses.AnswerBusy):
            assert e.address in self.open, "BUSY at an address that is closed"
            assert e.enabled != (e.address in self.answering_busy)
            (self.answering_busy.add if e.enabled else self.answering_busy.discard)(e.address)
        elif isinstance(e, addresses.CloseListener):
            assert all(p["spec"].address != e.address for p in self.processes.values()), (
                "an address is closed while a process uses it"
            )
            self.open.remove(e.address)
            self.answering_busy.discard(e.address)
        elif isinstance(e, c.RolloutEnded):
            self.outcomes.append(e)
        elif isinstance(e, c.AllStopped):
            self.all_stopped = True

    def apply(self, key, spec):
        if spec.live in self.refused_live:
            self.processes[key]["refused"] = {"live": spec.live_digest, "why": "by the test"}
        elif not self.processes[key]["ignores_apply"]:
            self.processes[key] |= {"live": spec.live_digest, "refused": None}

    def status(self, key):
        p = self.processes[key]
        p["steps"], p["has_reported"] = p["steps"] + 1, True
        self.step(
            "status_received", *key, {k: p[k] for k in ("state", "steps", "ended", "bad", "live", "refused")}
        )

    def exit(self, key, how):
        del self.processes[key]
        self.ended.add(key)
        self.step("exited", *key, how)

    def advance(self, key, bad_specs=()):
        """A process takes its next step."""
        p = self.processes.get(key)
        if p is None or self.all_stopped:
            return
        if p["killed"]:
            self.exit(key, "signal 9")
        elif p["frozen"]:
            return
        elif p["spec"].start in bad_specs and p["state"] == "starting":
            self.exit(key, "exit 2")
        elif p["leave"] is not None and p["state"] != "leaving":
            p["state"] = "leaving"
            self.status(key)
        elif p["state"] == "leaving":
            self.exit(key, "exit 0")
        else:
            p["state"] = {"starting": "waiting", "waiting": "prepared"}.get(p["state"], p["state"])
            self.status(key)

    def run_for(self, seconds=60, bad_specs=(), step=0.25):
        for _ in range(int(seconds / step)):
            self.now += int(step * SECOND)
            for key in list(self.processes):
                self.advance(key, bad_specs)
            self.step("tick")
            if self.all_stopped:
                return

    def is_attended(self, address):
        """Whether clients who connect at an address get an answer, or wait for an instance that is down."""
        if address in self.answering_busy:
            return True
        accepting = [
            p["spec"].address
            for p in self.processes.values()
            if p["state"] == "serving" or p.get("accepting") and p["state"] != "leaving"
        ]
        up = {k[0] for k, p in self.processes.items() if p["state"] == "serving" and not p["killed"]}
        awaited = [slot.spec.address for name, slot in self.core.slots.items() if name not in up]
        return address in accepting + awaited

    def serving(self):
        return {k[0]: p for k, p in self.processes.items() if p["state"] == "serving"}


PLANS = [
    plan(),
    plan(live="y"),
    plan(start="b"),
    plan(2),
    plan(5, at_once=2, start_at_once=2),
    plan(4, start="bad"),
    plan(3, start="b", live="y", at_once=3),
    plan(3, start="c", port=10),  # each at the address that the next one had
    plan(4, start="d", port=20, at_once=2),
]


class RandomEvents(RuleBasedStateMachine):
    @initialize(
        n=st.sampled_from([0, 2, 4]),
        earlier=st.sampled_from([None, None, *(p for p in PLANS if p.specs["f-0"].start != "bad")]),
        states=st.lists(st.sampled_from(["serving", "serving", "leaving", "prepared"]), max_size=5),
    )
    def begin(self, n, earlier, states):
        self.stops, self.asked, self.served_at_change = 0, 0, {}
        if earlier is None:
            self.sim = Simulation(PLANS[n])
            return
        self.sim = Simulation(PLANS[n], first_step=None)
        for number, (state, spec) in enumerate(zip(states, earlier.specs.values(), strict=False)):
            self.sim.adopt(spec.name, 100 + number, spec, state)
        self.sim.step("finish_adoption")
        self.asked += self.sim.core.rollout is not None or len(self.sim.outcomes)

    @rule(n=st.integers(0, 30), many=st.integers(1, 6))
    def processes_advance(self, n, many):
        for _ in range(many):
            keys = sorted(self.sim.processes)
            if keys:
                self.sim.advance(keys[n % len(keys)], {"bad"})

    @rule(ms=st.sampled_from([10, 50, 300, 900, 2_500, 70_000]))
    def time_passes(self, ms):
        self.sim.now += ms * 1000
        self.sim.step("tick")

    @rule(n=st.integers(0, 30), how=st.sampled_from(["signal 9", "exit 1"]))
    def process_dies(self, n, how):
        keys = sorted(self.sim.processes)
        if keys:
            self.sim.exit(keys[n % len(keys)], how)

    @rule(n=st.integers(0, 30))
    def process_freezes(self, n):
        keys = sorted(self.sim.processes)
        if keys:
            self.sim.processes[keys[n % len(keys)]]["frozen"] = True

    @rule(n=st.integers(0, 30), bad=st.integers(0, 30))
    def calls_end(self, n, bad):
        keys = sorted(self.sim.processes)
        if keys:
            p = self.sim.processes[keys[n % len(keys)]]
            p["ended"], p["bad"] = p["ended"] + 30, p["bad"] + bad

    @rule(live=st.sampled_from(["x", "y"]), refused=st.booleans())
    def live_parts_are_refused(self, live, refused):
        (self.sim.refused_live.add if refused else self.sim.refused_live.discard)(live)

    @rule(n=st.integers(0, 30), ignores_apply=st.booleans())
    def process_ignores_apply(self, n, ignores_apply):
        keys = sorted(self.sim.processes)
        if keys:
            self.sim.processes[keys[n % len(keys)]]["ignores_apply"] = ignores_apply

    @rule(p=st.sampled_from(PLANS), why=st.sampled_from(["reload", "upgrade"]))
    def change_plan(self, p, why):
        self.asked += not self.sim.core.stopping
        self.sim.step("change_plan", p, why)

    @rule(n=st.integers(0, 4), what=st.sampled_from(["drain", "restart"]))
    def operator_command(self, n, what):
        if f"f-{n}" in self.sim.core.slots:
            self.sim.step(what, f"f-{n}")

    @rule()
    def stop(self):
        self.stops += 1
        if self.stops > 4:  # rarely, so that most sequences test other events
            self.sim.step("stop")

    @rule(n=st.integers(0, 30))
    def late_and_duplicate_events(self, n):
        if self.sim.ended:
            self.sim.step("exited", *sorted(self.sim.ended)[n % len(self.sim.ended)], "exit 0")
            self.sim.step(
                "status_received",
                *sorted(self.sim.ended)[n % len(self.sim.ended)],
                {"state": "serving", "steps": 1},
            )

    @invariant()
    def invariants(self):
        sim = getattr(self, "sim", None)
        if sim is None:
            return
        core = sim.core
        for name in core.slots:
            serving = [k for k, p in sim.processes.items() if k[0] == name and p["state"] == "serving"]
            assert len(serving) <= 1, f"two active processes of {name}"
        known = {(p.name, p.generation) for p in core.processes()}
        assert known == set(sim.processes) or sim.all_stopped, (
            "the core does not know a process, or knows one that does not exist"
        )
        assert sim.all_stopped or sim.open == core.addresses.busy.keys()
        for address in sim.open - sim.answering_busy:
            assert sim.all_stopped or sim.is_attended(address), (address, core.describe_slots())
        if core.rollout and not core.rollout.rollback_reason:
            r = core.rollout
            # Running processes that apply a live change follow all together, once the first was observed.
            alone = [s for s in r.in_progress if not (r.live_verified and s in r.live_slots)]
            for slot in r.in_progress:
                self.served_at_change.setdefault((r, slot), slot.serving())
            # The change of a name that was down takes nothing away, also while an old process of it leaves.
            assert len(alone) <= max(core.plan.fleet.at_once, 1) + sum(
                1
                for s in alone
                if s.name not in r.previous_plan.specs or not (s.serving() and self.served_at_change[r, s])
            ), "more at once than allowed"

    def teardown(self):
        """After any sequence it settles with one active process per name, and stops when told to."""
        if not hasattr(self, "sim"):
            return
        sim, core = self.sim, self.sim.core
        sim.refused_live.clear()
        sim.run_for(150, {"bad"}, step=0.5)
        if not core.stopping:
            assert core.rollout is None and core.pending is None, (
                "a rollout that does not end",
                core.describe_slots(),
            )
            for name, slot in core.slots.items():
                is_up = name in sim.serving()
                assert is_up == (not slot.drained and not slot.given_up), (name, core.state_of(slot))
                assert (slot.spec.address in sim.answering_busy) == (not is_up)
                if is_up:
                    assert (
                        sim.serving()[name]["spec"].start == slot.spec.start
                        and sim.serving()[name]["live"] == slot.spec.live_digest
                    )
            assert sim.open == addresses.addresses_of(core.plan), "an address is left open, or closed"
            done = [outcome for outcome in sim.outcomes if outcome.ok]
            assert not done or core.plan is done[-1].target, "not the plan that was last put in force"
            began = sim.now
            sim.step("stop")
            sim.run_for(60)
            assert sim.now - began <= c.LEAVE_TIMEOUT + (core.plan.fleet.stop_s + 1) * SECOND, "a late stop"
        assert sim.all_stopped and not sim.processes, "a stop that does not end"
        assert len(sim.outcomes) == self.asked, "a rollout without an outcome"


TestRandomEvents = RandomEvents.TestCase
TestRandomEvents.settings = settings(
    max_examples=int(os.environ.get("FLEET_SEQUENCES", "300")),
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


def start_all(**more):
    sim = Simulation(plan(**more))
    sim.run_for(5)
    assert len(sim.serving()) == len(sim.plan.specs)
    return sim


def test_an_instance_that_crashes_at_each_start_is_given_up_and_the_others_are_untouched():
    sim = start_all()
    sim.processes[("f-1", 2)]["state"] = "serving"
    began, held = len(sim.started), {k for k in sim.processes if k[0] != "f-1"}
    sim.exit(("f-1", 2), "exit 1")
    for _ in range(600):
        sim.now += SECOND // 10
        for key in [k for k in sim.processes if k[0] == "f-1"]:
            sim.exit(key, "exit 1")
        for key in held:
            sim.advance(key)
        sim.step("tick")
    assert len(sim.started) - began == 4, "restarts, then given up"
    assert (
        held <= set(sim.processes)
        and sim.core.state_of(sim.core.slots["f-1"]) == "given-up"
        and sim.answering_busy == {("127.0.0.1", 10)}
    )
    sim.step("restart", "f-1")
    sim.run_for(5)
    assert "f-1" in sim.serving() and not sim.answering_busy


def test_the_waits_between_restarts_double():
    sim = start_all(count=1)
    times = []
    for _ in range(1200):
        sim.now += SECOND // 20
        sim.step("tick")
        for key in list(sim.processes):
            if sim.processes[key]["state"] != "serving" or not times:
                times.append(sim.now)
                sim.exit(key, "exit 1")
    gaps = [round((b - a) / SECOND, 1) for a, b in itertools.pairwise(times)]
    assert gaps[:4] == [0.1, 0.5, 1.0, 2.0] or gaps[:4] == [0.0, 0.5, 1.0, 2.0], gaps


def test_a_frozen_process_is_killed_and_replaced_and_a_busy_one_is_not():
    sim = start_all()
    sim.processes[("f-0", 1)]["frozen"] = True
    sim.run_for(3.5)
    assert ("f-0", 1) not in sim.processes and ("f-2", 3) in sim.processes
    sim.run_for(2)
    assert sim.serving()["f-0"] and sim.core.slots["f-0"].last_failure == "stuck: no step for 3 s"


def test_a_process_that_ends_before_it_reports_leaving_has_not_failed():
    sim = start_all(count=1)
    sim.step("change_plan", plan(1, start="b"))
    sim.advance(("f-0", 2))
    sim.advance(("f-0", 2))
    assert sim.processes["f-0", 1]["leave"] is True
    sim.exit(("f-0", 1), "exit 0")
    assert not sim.core.slots["f-0"].last_failure and sim.serving()["f-0"]["spec"].start == "b"


def test_a_process_that_freezes_while_it_leaves_is_killed():
    sim = start_all()
    sim.step("drain", "f-1")
    sim.advance(("f-1", 2))
    assert sim.processes["f-1", 2]["state"] == "leaving"
    sim.processes["f-1", 2]["frozen"] = True
    sim.run_for(3.5)
    assert ("f-1", 2) in sim.processes
    sim.run_for(2)
    assert ("f-1", 2) not in sim.processes


def test_a_process_without_a_list_has_no_start_timeout_while_it_makes_progress():
    sim = Simulation(plan(count=1))
    sim.advance(("f-0", 1))
    for n in range(600):
        sim.now += SECOND // 10
        if n < 300:
            sim.status(("f-0", 1))
        sim.step("tick")
        if sim.processes.get(("f-0", 1), {}).get("killed"):
            break
    assert 300 + 79 <= n <= 300 + 90, "its 5 s begin when it last counted as alive, 3 s after its last step"


def test_a_supervisor_that_was_stopped_itself_kills_no_process():
    sim = start_all()
    before = set(sim.processes)
    sim.now += 600 * SECOND  # it was stopped, or the machine slept
    sim.step("tick")
    sim.run_for(5)
    assert set(sim.processes) == before


def test_a_rollout_whose_successor_is_never_ready_leaves_the_active_process_in_place():
    sim = start_all()
    sim.step("change_plan", plan(start="bad"))
    sim.run_for(20, {"bad"})
    assert not sim.outcomes[-1].ok and sim.outcomes[-1].why == "f-0: exit 2"
    assert set(sim.processes) == {("f-0", 1), ("f-1", 2), ("f-2", 3)}, "the old processes were touched"


def test_a_rollout_with_more_bad_ends_is_rolled_back_automatically():
    sim = start_all(watch_s=5.0)
    sim.step("change_plan", plan(start="b", watch_s=5.0), "upgrade")
    for _ in range(400):
        sim.now += SECOND // 10
        for key in list(sim.processes):
            sim.advance(key)
            if key in sim.processes:
                p = sim.processes[key]
                p["ended"], p["bad"] = p["ended"] + 2, p["bad"] + (p["spec"].start == "b")
    assert not sim.outcomes[-1].ok and "ended badly" in sim.outcomes[-1].why
    assert {p["spec"].start for p in sim.serving().values()} == {"a"} and len(sim.serving()) == 3


@pytest.mark.parametrize("count", [1, 3])
def test_a_bad_share_that_is_no_higher_than_before_does_not_roll_back(count):
    sim = start_all(count=count, watch_s=5.0)
    for n in range(600):
        sim.now += SECOND // 10
        if n == 50:
            sim.step("change_plan", plan(count, start="b", watch_s=5.0), "upgrade")
        for key in list(sim.processes):
            sim.advance(key)
            if key in sim.processes:
                p = sim.processes[key]
                p["ended"], p["bad"] = p["ended"] + 4, p["bad"] + 1
    assert sim.outcomes[-1].ok and {p["spec"].start for p in sim.serving().values()} == {"b"}


def test_a_rollout_goes_one_by_one_and_a_good_one_changes_all():
    sim = start_all(watch_s=1.0)
    sim.step("change_plan", plan(start="b", watch_s=1.0))
    most = 0
    while not sim.outcomes:
        sim.run_for(0.25)
        assert len(sim.serving()) >= 2
        most = max(most, sum(p["state"] != "serving" for p in sim.processes.values()))
    assert sim.outcomes[-1].ok and most <= 2 and {p["spec"].start for p in sim.serving().values()} == {"b"}


def test_reload_during_reload_the_newest_wins_and_stop_during_reload_stops():
    sim = start_all()
    sim.step("change_plan", plan(start="b"))
    sim.step("change_plan", plan(start="c"))
    sim.step("change_plan", plan(start="d"))
    sim.run_for(60)
    assert {p["spec"].start for p in sim.serving().values()} == {"d"}
    assert not any(e.spec.start == "c" for e in sim.effects if isinstance(e, c.Start))
    assert [(o.ok, o.target.specs["f-0"].start) for o in sim.outcomes] == [
        (False, "c"),
        (True, "b"),
        (True, "d"),
    ], "each has an outcome"
    sim.step("change_plan", plan(start="e"))
    sim.run_for(0.5)
    sim.step("stop")
    sim.run_for(10)
    assert sim.all_stopped and not sim.processes


def test_a_removed_name_that_a_rollback_restores_while_it_leaves_is_kept():
    """A plan removes two names and is rolled back while their processes leave.

    The core used to delete one of the names from its table, and the rollout never ended.
    """
    sim = start_all(count=4)
    sim.step("change_plan", plan(2, start="bad"))
    for _ in range(40):
        sim.now += SECOND // 20
        for key in list(sim.processes):
            if key not in (("f-2", 3), ("f-3", 4)) or sim.outcomes:
                sim.advance(key, {"bad"})
        sim.step("tick")
    sim.run_for(20, {"bad"})
    assert not sim.outcomes[-1].ok and set(sim.serving()) == {"f-0", "f-1", "f-2", "f-3"}


def test_a_live_change_starts_nothing():
    sim = start_all()
    sim.step("change_plan", plan(live="y"))
    sim.run_for(5)
    assert (
        len(sim.started) == 3
        and sim.outcomes[-1].ok
        and all(p["live"] == plan(live="y").specs["f-0"].live_digest for p in sim.processes.values())
    )


def test_what_an_earlier_supervisor_left_is_adopted_and_changed_as_by_a_reload():
    sim = Simulation(plan(start="b"), first_step=None)
    for n, state in enumerate(["serving", "serving", "prepared"]):
        sim.adopt(f"f-{n}", 7 + n, plan().specs[f"f-{n}"], state)
    sim.step("finish_adoption")
    assert not [e for e in sim.effects if isinstance(e, c.Start) and e.name != "f-2"][1:], "all at once"
    sim.run_for(40)
    assert len(sim.serving()) == 3 and {p["spec"].start for p in sim.serving().values()} == {"b"}
    assert all(g > 9 for _, g in sim.started)


@pytest.mark.parametrize("most", [1, 2])
def test_a_paced_stop_stops_a_limited_number_at_a_time(most):
    sim = start_all(count=3, stop_at_once=most)
    sim.step("stop")
    max_leaving = 0
    while not sim.all_stopped:
        max_leaving = max(max_leaving, sum(p["leave"] is not None for p in sim.processes.values()))
        sim.run_for(0.25)
    assert max_leaving == most


def applied(sim):
    return [e.name for e in sim.effects if isinstance(e, c.ApplyLive)]


def test_a_live_change_is_watched_on_the_first_and_then_taken_over_by_all_the_others_together():
    sim = start_all(count=8, watch_s=5.0, live_watch_s=1.0)
    began, before = sim.now, set(sim.processes)
    sim.step("change_plan", plan(8, live="y", watch_s=5.0, live_watch_s=1.0))
    assert applied(sim) == ["f-0"]
    sim.run_for(0.75)
    assert applied(sim) == ["f-0"], "the first is still being observed"
    sim.run_for(0.75)
    assert applied(sim) == [f"f-{n}" for n in range(8)] and not sim.outcomes
    while not sim.outcomes:
        sim.run_for(0.25)
    assert sim.outcomes[-1].ok and sim.now - began <= 3 * SECOND
    assert set(sim.processes) == before, "no process was restarted"
    assert {p["live"] for p in sim.processes.values()} == {plan(live="y").specs["f-0"].live_digest}


def test_a_live_change_that_the_first_refuses_reaches_no_other():
    sim = start_all(count=8)
    sim.refused_live.add("y")
    sim.step("change_plan", plan(8, live="y"))
    sim.run_for(5)
    assert not sim.outcomes[-1].ok and sim.outcomes[-1].why == "f-0: refused: by the test"
    assert applied(sim) == ["f-0"] and len(sim.started) == 8


def test_a_live_change_that_a_later_process_refuses_is_rolled_back_everywhere():
    sim = start_all(count=3)
    sim.step("change_plan", plan(live="y", watch_s=2.0))
    sim.run_for(0.5)
    sim.refused_live.add("y")
    sim.run_for(5)
    assert not sim.outcomes[-1].ok and "refused: by the test" in sim.outcomes[-1].why
    assert {p["live"] for p in sim.processes.values()} == {plan().specs["f-0"].live_digest} and len(
        sim.started
    ) == 3


def test_a_live_change_with_more_bad_ends_is_rolled_back():
    sim = start_all(count=3)
    changed = plan(live="y", watch_s=5.0, live_watch_s=5.0)
    sim.step("change_plan", changed)
    for _ in range(60):
        sim.now += SECOND // 10
        for key in list(sim.processes):
            p = sim.processes[key]
            p["ended"], p["bad"] = p["ended"] + 2, p["bad"] + (p["live"] == changed.specs["f-0"].live_digest)
            sim.status(key)
    assert not sim.outcomes[-1].ok and "ended badly" in sim.outcomes[-1].why
    assert applied(sim) == ["f-0", "f-0"], "to the first and back again"


def test_a_live_change_that_times_out_is_rolled_back_and_a_late_one_is_corrected():
    sim = start_all(count=2)
    sim.processes["f-0", 1]["ignores_apply"] = True
    sim.step("change_plan", plan(2, live="y"))
    sim.run_for(6)
    assert sim.outcomes[-1].why == "f-0: not applied after 5 s"
    sim.processes["f-0", 1] |= {"live": plan(live="y").specs["f-0"].live_digest, "ignores_apply": False}
    sim.run_for(2)
    assert sim.processes["f-0", 1]["live"] == plan().specs["f-0"].live_digest and len(sim.started) == 2


def test_a_refused_rollback_is_done_by_a_successor():
    sim = start_all(count=3)
    sim.step("change_plan", plan(3, live="y", watch_s=5.0, live_watch_s=1.0))
    sim.run_for(1.5)
    assert applied(sim) == ["f-0", "f-1", "f-2"] and not sim.outcomes
    sim.refused_live.add("x")
    sim.exit(("f-1", 2), "signal 9")  # while it is being observed
    sim.run_for(20)
    assert not sim.outcomes[-1].ok and sim.outcomes[-1].why == "f-1: signal 9"
    assert {p["live"] for p in sim.serving().values()} == {plan().specs["f-0"].live_digest}
    assert len(sim.serving()) == 3 and len(sim.started) == 6


def test_a_program_that_reports_its_whole_live_part_is_replaced_by_a_successor():
    """A program of an earlier release applies settings only at its start."""
    sim = start_all(count=2)
    for p in sim.processes.values():
        p["live"], p["ignores_apply"] = p["spec"].live, True
    sim.run_for(1)
    sim.step("change_plan", plan(2, live="y"))
    sim.run_for(10)
    assert sim.outcomes[-1].ok and len(sim.started) == 4 and not applied(sim)
