"""The lab's parts that need no sockets: parsers, model, list, schedules, traces, limits, audit."""

import itertools

import numpy as np
import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from cottonspread.lab import limits, listing, model, plan, trace, wire

SECOND = 1_000_000
TYPES = {"farm-view": 10_000.0}


# Lines


@given(st.lists(st.integers(0, 40), max_size=8))
def test_any_split_of_the_bytes_gives_the_same_lines(cuts):
    data = b"OPEN a b c=x,d=5\r\n\nPING\r\nlast"
    whole, parts = wire.LineSplitter(), wire.LineSplitter()
    expected, got, cuts = whole.feed(data), [], sorted({min(c, len(data)) for c in cuts} | {0, len(data)})
    for start, end in itertools.pairwise(cuts):
        got += parts.feed(data[start:end])
    assert (
        got == expected == [b"OPEN a b c=x,d=5", b"", b"PING"]
        and parts.partial_line == whole.partial_line == b"last"
    )


def test_a_line_over_the_limit_is_rejected_and_the_longest_is_accepted():
    assert wire.LineSplitter().feed(b"x" * 4094 + b"\r\n") == [b"x" * 4094]
    with pytest.raises(ValueError, match="4,096"):
        wire.LineSplitter().feed(b"x" * 4097)


@pytest.mark.parametrize(
    "line, why",
    [
        (b"OPEN a b", "four words"),
        (b"PUT a b c=x,d=1", "four words"),
        (b"OPEN a b c=x", "missing"),
        (b"OPEN a b c=x,d=1,d=2", "twice"),
        (b"OPEN a b c=x,d", "not a name"),
        (b"OPEN a b c=x,d=z", "invalid"),
    ],
)
def test_parsing_an_invalid_first_line_names_the_error(line, why):
    with pytest.raises(ValueError, match=why):
        wire.parse_open(line)


def test_a_first_line_is_parsed_as_it_was_formatted():
    first = wire.parse_open(wire.format_open("id1", "k", "farm-view", 2000, "g", again=True).rstrip())
    assert first == wire.OpenRequest("id1", "k", "farm-view", 2000, "g", True, "")
    assert [wire.parse_answer(x) for x in (b"UP 7", b"BUSY", b"BUSY 250", b"BUSY x", b"UP")] == [
        ("UP", "7"),
        ("BUSY", 0),
        ("BUSY", 250),
        ("other", "BUSY x"),
        ("other", "UP"),
    ]


# Model


class ModelDriver:
    """A host model whose effects are executed in the order of their times."""

    def __init__(self, started=0, **traits):
        self.host = model.Host(
            model.Traits(**{"load_sigma": 0, "message_us": 0, "setup_us": 1000} | traits),
            TYPES,
            np.random.default_rng(1),
            now=SECOND,
            started=started,
        )
        self.now, self.sent, self.due = SECOND, [], []

    def apply(self, effects):
        for e in effects:
            if isinstance(e, model.HostEvent) and e.kind == "turn":
                self.due.append((e.value, "finish_setup", e.conn))
            elif isinstance(e, model.HostEvent) and e.kind == "change":
                self.due.append((e.value, "change_load", e.conn))
            elif isinstance(e, (model.SendLine, model.Close)):
                self.sent.append((e.at, e.conn, e.line if isinstance(e, model.SendLine) else e.how))
            else:
                self.sent.append((self.now, None, e.state if isinstance(e, model.AddressChange) else e.kind))

    def until(self, at):
        while self.due and min(self.due)[0] <= at:
            timer = min(self.due)
            self.due.remove(timer)
            self.now = timer[0]
            self.apply(getattr(self.host, timer[1])(timer[0], timer[2]))
        self.now = at
        return self

    def open(self, conn, group="", wait=4800):
        self.apply(
            self.host.on_first_line(
                self.now, conn, wire.OpenRequest(conn, "k" + conn, "farm-view", wait, group, False, "")
            )
        )
        return self

    def events_of(self, conn):
        return [
            what.split(b" ")[0] if isinstance(what, bytes) else what for _, c, what in self.sent if c == conn
        ]


def test_an_idle_host_accepts_a_call_at_once_and_reports_its_load():
    driver = ModelDriver().open("a").until(SECOND + 10_000)
    assert driver.events_of("a") == [b"UP", b"LOAD"] and driver.host.load == 10_000
    assert next(at for at, c, _ in driver.sent if c == "a") < SECOND + 2000


def test_work_beyond_the_capacity_queues_and_delays_lines():
    driver = ModelDriver(cores=0.02, group_us=0, setup_us=0, change_s=1e6)  # 20,000 us a second
    for n in range(4):  # load of 40,000 us a second
        driver.open(f"c{n}")
    driver.until(2 * SECOND)
    driver.apply(driver.host.on_line(3 * SECOND, "c0", b"e1"))
    at = [at for at, c, what in driver.sent if what == b"e1"][0]
    # 2 s with an excess of 20,000 us a second leave a backlog that takes 2 s at 20,000 us a second
    assert at - 3 * SECOND == pytest.approx(2 * SECOND, rel=0.01)


def test_a_group_costs_a_host_once_for_any_number_of_connections():
    driver = ModelDriver()
    for n in range(3):
        driver.open(f"c{n}", group="g")
    driver.until(2 * SECOND)
    assert driver.host.demand() * SECOND == pytest.approx(3 * 10_000 + driver.host.traits.group_us)
    for n in range(3):
        driver.apply(driver.host.on_end(2 * SECOND, f"c{n}"))
    assert driver.host.demand() == 0 and not driver.host.groups


def test_after_a_hang_waiting_set_ups_are_done_in_order():
    driver = ModelDriver()
    driver.apply(driver.host.start_fault(SECOND, "hang", 3 * SECOND))
    driver.open("a").until(2 * SECOND).open("b").until(5 * SECOND)
    ups = [(at, c) for at, c, what in driver.sent if isinstance(what, bytes) and what.startswith(b"UP")]
    assert [c for _, c in ups] == ["a", "b"] and all(4 * SECOND <= at < 4.1 * SECOND for at, _ in ups)


def test_a_set_up_that_would_be_too_late_is_rejected_and_never_runs():
    driver = ModelDriver(cores=0.001, message_us=300).open("a").open("b", wait=50).until(9 * SECOND)
    assert driver.events_of("b") == [b"BUSY", "end"] and driver.events_of("a")[0] == b"UP"
    assert [at for at, c, _ in driver.sent if c == "b"][0] == SECOND + 50_000


def test_an_overloaded_cold_host_fails_for_good_and_one_with_little_load_warms_up():
    driver = ModelDriver(
        started=SECOND, cores=0.1, cold_share=0.2, warm_s=10, tip_multiple=2, tip_s=1, setup_us=20_000
    )
    for n in range(4):
        driver.open(f"c{n}")
    assert "tipped" in driver.events_of(None) and driver.host.state == "tipped"
    driver.apply(driver.host.end_fault(5 * SECOND, "cold"))
    assert driver.host.state == "tipped" and driver.open("x").events_of("x") == ["reset"]
    careful = ModelDriver(
        started=SECOND, cores=0.1, cold_share=0.2, warm_s=10, tip_multiple=2, tip_s=1, setup_us=10_000
    )
    for n in range(8):
        careful.until((n + 2) * SECOND).open(f"c{n}")
    assert careful.host.state == "up" and careful.host.capacity_share() == pytest.approx(0.2 + 0.8 * 0.8)


@pytest.mark.parametrize("how, last", [("paced", 2), ("at-once", 0), ("none", None)])
def test_a_drain_moves_clients_off_in_three_ways(how, last):
    driver = ModelDriver(drain=how, drain_s=3)
    for n in range(3):
        driver.open(f"c{n}")
    driver.until(2 * SECOND)
    driver.apply(driver.host.start_fault(2 * SECOND, "drain", 5 * SECOND))
    moves = sorted(at - 2 * SECOND for at, _, what in driver.sent if what == b"MOVE")
    assert moves[-1] == pytest.approx(last * SECOND, abs=SECOND // 10) if moves else last is None
    assert len(moves) == (0 if how == "none" else 3)
    assert driver.until(3 * SECOND).open("late").events_of("late") == [b"BUSY", "end"]
    driver.apply(driver.host.end_fault(7 * SECOND, "drain"))
    assert driver.host.state == "down" and not driver.host.conns


@pytest.mark.parametrize("how, lines", [("paced", [b"UP", b"MOVE", "end"]), ("none", [b"UP", b"LOAD"])])
def test_a_call_in_set_up_as_its_host_begins_to_drain_is_treated_like_the_others(how, lines):
    """Guards against a model that hides a node's fault: it moved this client though it moves nobody."""
    driver = ModelDriver(drain=how, drain_s=3, setup_us=100_000).open("a")
    driver.apply(driver.host.start_fault(SECOND + 1000, "drain", 5 * SECOND))
    assert driver.until(2 * SECOND).events_of("a") == lines


def test_a_half_dead_host_reads_everything_and_answers_nothing():
    driver = ModelDriver().open("a").until(2 * SECOND)
    before = len(driver.sent)
    driver.apply(driver.host.start_fault(2 * SECOND, "half-dead", SECOND))
    driver.apply(driver.host.on_line(2 * SECOND, "a", b"e1"))
    driver.open("b").until(3 * SECOND)
    assert [what for _, c, what in driver.sent[before:]] == ["swallowed"]


# List


def test_the_list_sends_a_watcher_only_what_changed_after_its_version():
    host_list = listing.HostList([{"instanceId": "h0", "lifecycle": "Ready", "startedAtMs": 0}])
    assert host_list.changes_since(1) is None
    host_list.change("h0", "Terminating")
    host_list.change("h0", "Gone")
    assert host_list.changes_since(1)["instances"] == [
        {"instanceId": "h0", "lifecycle": "Gone", "startedAtMs": 0}
    ]
    assert host_list.full_list() == {"generation": 3, "reset": True, "instances": []}
    host_list.restart()
    assert host_list.version == 1 and host_list.changes_since(3) is None


# Plans, schedules, traces


def experiment(**more):
    load = {
        "shapes": [
            {"kind": "poisson", "rate": 50},
            {"kind": "burst", "start": 2, "seconds": 1, "count": 40},
            {"kind": "ramp", "rate": 0, "rate_to": 40},
            {"kind": "day", "rate": 5, "rate_to": 30},
        ],
        "types": [{"name": "farm-view"}, {"name": "field-save", "share": 3}],
    }
    import msgspec

    return plan.check(msgspec.convert({"name": "x", "seconds": 10, "load": load, **more}, plan.Experiment))


def test_the_same_seed_gives_the_same_schedule_byte_for_byte_and_another_does_not():
    one, same, other = (
        plan.schedule(plan.make(experiment(), plan.Variant(name="v"), seed, (70, 1))) for seed in (4, 4, 5)
    )
    assert one.digest() == same.digest() != other.digest()
    assert (np.diff(one.at) >= 0).all() and 600 < len(one.at) < 1100
    assert 0.7 < (one.kind == 1).mean() < 0.8


def test_each_shape_has_its_distribution_of_arrivals():
    rng = np.random.default_rng(3)
    ramp = plan.arrivals(plan.Shape(kind="ramp", rate=0, rate_to=1000), 10, rng)
    assert (ramp > 5).mean() == pytest.approx(0.75, abs=0.03) and len(ramp) == pytest.approx(5000, rel=0.1)
    day = plan.arrivals(plan.Shape(kind="day", rate=0, rate_to=1000), 10, rng)
    assert ((day > 2.5) & (day < 7.5)).mean() == pytest.approx(0.82, abs=0.03)
    steady = plan.arrivals(plan.Shape(kind="constant", rate=100, start=3), 5, rng)
    assert len(steady) == 200 and np.allclose(np.diff(steady), 0.01) and steady[0] == 3.005


@pytest.mark.parametrize(
    "change, key",
    [
        ({"seconds": 0}, "seconds"),
        ({"faults": [{"at": 1, "kind": "melt"}]}, r"faults\[0\].kind"),
        ({"faults": [{"at": 1, "kind": "hang", "seconds": 1}]}, r"faults\[0\]"),
        ({"faults": [{"at": 1, "kind": "hang", "seconds": 1, "on": ["h9"]}]}, "h9"),
        ({"nodes": {"count": 0}}, "nodes.count"),
        ({"load": {"types": [{"name": "a"}], "shapes": [{"kind": "poisson"}]}}, r"load.shapes\[0\].rate"),
        ({"load": {"types": [], "shapes": []}}, "load.types"),
        ({"hosts": {"traits": {"drain": "no"}}}, "hosts.traits.drain"),
    ],
)
def test_an_invalid_experiment_names_the_key(change, key):
    with pytest.raises(plan.PlanError, match=key):
        experiment(**change)


def test_an_unknown_key_of_a_file_is_named(tmp_path):
    file = tmp_path / "x.toml"
    file.write_text('name = "x"\nseconds = 1\nloda = 1\n')
    with pytest.raises(plan.PlanError, match="loda"):
        plan.read(file)


def test_a_trace_is_read_as_written_and_replayed_at_its_times(tmp_path):
    file = str(tmp_path / "t.zst")
    entries = [
        trace.Entry(at_us=n * 1000, type="farm-view", life_us=5 * n, group=f"g{n % 3}") for n in range(500)
    ]
    trace.write(file, reversed(entries))
    assert trace.read(file) == entries
    x = experiment(
        load={"types": [{"name": "farm-view"}], "shapes": [{"kind": "trace", "file": file, "start": 1}]}
    )
    schedule = plan.schedule(plan.make(x, plan.Variant(name="v"), 1, (70, 1)))
    assert (
        schedule.at.tolist() == [SECOND + n * 1000 for n in range(500)]
        and len(set(schedule.group.tolist())) == 3
    )


@pytest.mark.parametrize(
    "bad", [b'{"at_us": 1, "type": "x"}', b'{"at_us": -1, "type": "x", "life_us": 1}', b"no", b""]
)
def test_an_invalid_line_of_a_trace_is_named_by_its_number(tmp_path, bad):
    file = tmp_path / "t.zst"
    good = b'{"at_us": 1, "type": "x", "life_us": 1}\n'
    file.write_bytes(zstandard.ZstdCompressor().compress(good * 7 + bad + b"\n" + good))
    with pytest.raises(trace.TraceError, match="line 8"):
        trace.read(str(file))
    file.write_bytes(zstandard.ZstdCompressor().compress(good * 9999)[:-20])
    with pytest.raises(trace.TraceError):
        trace.read(str(file))


# Limits


def test_an_exceeded_limit_is_reported_with_the_available_amount_and_a_remedy():
    x = experiment(
        load={"types": [{"name": "a", "life_s": 1000}], "shapes": [{"kind": "constant", "rate": 500}]}
    )
    run_plan = plan.make(x, plan.Variant(name="v"), 1, (70, 1))
    schedule = plan.schedule(run_plan)
    assert limits.max_established(schedule) == pytest.approx(5000, rel=0.02)
    limits.check(run_plan, schedule, hard=10_000, local_ports=28_000, cores=64)
    with pytest.raises(
        limits.LimitExceededError, match=r"descriptors: .* load processes.*is 1024: raise load.processes to"
    ):
        limits.check(run_plan, schedule, hard=1024, local_ports=28_000, cores=64)
    with pytest.raises(
        limits.LimitExceededError, match="local ports: 5000 .* gives 500 .* raise load.sources to"
    ):
        limits.check(run_plan, schedule, hard=10_000, local_ports=500, cores=64)
    assert "share 1 cores" in limits.check(run_plan, schedule, hard=10_000, local_ports=28_000, cores=1)[0]


# Audit


def audit(call, legs=(), nodes=(), list_updates=()):
    """Audits one call, sent at 1 s with a guard time of 2 s by one node to hosts h0 and h1."""
    from cottonspread.lab import audit as audits

    x = experiment(load={"types": [{"name": "farm-view"}], "shapes": [{"kind": "constant", "rate": 1}]})
    base = {
        "k": "call",
        "id": "c",
        "type": "farm-view",
        "node": "n0",
        "d": 2000,
        "sent": SECOND,
        "answers": [],
        "end": 3_060_000,
        "how": "gave-up",
        "again": False,
        "retry": False,
        "unanswered": 0,
    }
    records = {
        "load": [base | call],
        "hosts": [{"id": "c"} | leg for leg in legs],
        "list": list_updates,
        "nodes": [{"node": "n0"} | n for n in nodes],
    }
    result = audits.Audit(
        plan.make(x, plan.Variant(name="v"), 1, (70, 1)), 0, lambda kind: records[kind]
    ).run()
    return {o["what"] for o in result["offences"]}, result["excused"]


LEG = {"k": "leg", "t": 1_001_000, "host": "h0", "cold": 1.0}
UP = [
    {"k": "ran", "t": 1_002_000, "host": "h0", "v": 5},
    {"k": "up", "t": 1_002_000, "host": "h0", "receipt": "9"},
]
ANSWERED = {"answers": [[1_003_000, "UP", "9"]], "how": "end"}


@pytest.mark.parametrize(
    "call, legs, nodes, offences, excused",
    [
        ({}, [], [], {"no answer before the guard time"}, 0),
        ({}, [], [{"k": "killed", "t": 2_000_000}], set(), 1),
        ({}, [], [{"k": "freeze", "t": 900_000}, {"k": "thaw", "t": 2_990_000}], set(), 1),
        (
            {},
            [],
            [{"k": "freeze", "t": 900_000}, {"k": "thaw", "t": 2_500_000}],
            {"no answer before the guard time"},
            0,
        ),
        ({"how": "end", "end": 1_100_000}, [], [], {"ended without an answer"}, 0),
        ({"answers": [[3_055_000, "BUSY", 0]]}, [], [], {"answered after the guard time"}, 0),
        ({"answers": [[3_045_000, "BUSY", 0]]}, [], [], set(), 0),
        (
            ANSWERED,
            [LEG, *UP, {"k": "end", "t": 1_900_000, "host": "h0", "how": "end"}],
            [],
            {"a host's end passed on late"},
            0,
        ),
        (
            ANSWERED | {"end": 1_950_000},
            [LEG, *UP, {"k": "end", "t": 1_900_000, "host": "h0", "how": "end"}],
            [],
            set(),
            0,
        ),
        (ANSWERED | {"how": "left", "unanswered": 7_060_000}, [LEG, *UP], [], {"silent for over 7 s"}, 0),
        (
            ANSWERED | {"how": "left"},
            [LEG, *UP, LEG | {"t": 1_300_000, "host": "h1"}],
            [],
            {"a leg after the final answer", "two legs at once"},
            0,
        ),
    ],
)
def test_what_the_audit_reports_as_a_violation_and_what_it_excuses(call, legs, nodes, offences, excused):
    assert audit(call, legs, nodes) == (offences, excused)


@pytest.mark.parametrize("updated_at, late", [(440_000, True), (460_000, False)])
def test_the_grace_time_counts_from_the_list_update_to_that_node(updated_at, late):
    list_updates = [
        {"k": "told", "t": 100_000, "node": "n0", "whole": True, "hosts": [["h0", "Ready", 0]]},
        {"k": "told", "t": updated_at, "node": "n0", "whole": False, "hosts": [["h0", "Terminating", 0]]},
        {"k": "told", "t": 1_200_000, "node": "n0", "whole": False, "hosts": []},
        {"k": "told", "t": 200_000, "node": "n1", "whole": False, "hosts": [["h0", "Terminating", 0]]},
    ]
    found, _ = audit(ANSWERED | {"how": "left"}, [LEG, *UP], list_updates=list_updates)
    assert found == ({"a leg to a server that drains or is gone"} if late else set())
