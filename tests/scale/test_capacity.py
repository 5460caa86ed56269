"""The capacity model and its page: values, ranges, budgets, verdicts, and errors that name their row."""

import json
import math

import pytest

from cottonspread.lab.scale import capacity, results, tables
from cottonspread.lab.scale.capacity import Capacity, RowError
from cottonspread.lab.scale.results import FaultRow, FaultRun, Measure, Point, Sweep

ROWS = """
[told.nodes]
value = 420
unit = "nodes"
why = "the letter"

[assumed.servers]
value = 1000
low = 400
high = 3000
unit = "servers"
why = "not told"

[derived.servers_a_node]
formula = "servers / nodes"
unit = "servers"
why = "a mean"

[tables]
events = ["event", "lost", "test"]

[[row]]
id = "list_time"
role = "node"
control = true
aspect = "processor time"
what = "one change of the list"
unit = "ms"
formula = "change_us / 1000"
budget = "17"
mechanism = "`Balancer.list_updated`"
costs = [{ name = "change_us", result = "module-servers", measure = "change_us", size = "servers" }]

[[row]]
role = "node"
control = true
aspect = "time"
what = "two changes"
unit = "ms"
formula = "2 * list_time"
mechanism = "the same"

[[row]]
role = "server"
control = false
aspect = "memory"
what = "not looked at"
unit = "MB"
mechanism = "none"
not_run = "no run of servers"

[[line]]
table = "events"
cells = ["a zone", "{lost} of {nodes_told}", "tests/x.py"]
values = { nodes_told = "nodes" }
figures = [{ name = "lost", result = "fault-zone", event = "zone", figure = "lost" }]

[[line]]
table = "events"
cells = ["a rack", "{lost}", ""]
figures = [{ name = "lost", result = "fault-rack", event = "rack", figure = "lost" }]
not_run = "no time"
"""
HEADER = dict(command="x", alone=True)
SIZES = (50, 200, 400, 800)


def sweep(cost=lambda n: 100 + 10 * n, name="module-servers"):
    points = [Point(size, cost(size)) for size in SIZES]
    measure = Measure(name="change_us", unit="us", control=True, points=points, plays=1)
    fields = dict(variable="servers", variable_unit="n", fixed={}, measures=[measure])
    return Sweep(name=name, what="x", kind="module", **fields, **HEADER)


def zone_run(**figures):
    row = FaultRow(event="zone", figures=figures, seconds_until_whole=None, rules_broken=0, notes="")
    return FaultRun(name="fault-zone", what="x", kind="hollow", nodes=420, seed=1, rows=[row], **HEADER)


@pytest.fixture
def definitions(tmp_path):
    """Reads definitions from `ROWS`, with the given replacements (old, new) in its text."""

    def make(*changes):
        text = ROWS
        for old, new in changes:
            assert old in text
            text = text.replace(old, new, 1)
        path = tmp_path / "rows.toml"
        path.write_text(text)
        return capacity.read_definitions(path)

    return make


def capacity_of(definitions, tmp_path, *runs):
    runs = runs or (sweep(), zone_run(lost=52.0))
    return Capacity(definitions, {run.name: run for run in runs}, tmp_path)


def first_row(model, control=True, role="node"):
    return model.rows(role, control)[0]


def test_a_row_has_value_range_budget_and_verdict(definitions, tmp_path):
    row = first_row(capacity_of(definitions(), tmp_path))
    assert row.value == pytest.approx(10.1)
    assert (row.low, row.high) == (pytest.approx(4.1), pytest.approx(30.1))
    assert row.budget == 17
    assert row.verdict == "holds with a factor of 1.7; not over the whole range"
    assert row.extrapolation == pytest.approx(1.25)


@pytest.mark.parametrize(
    "budget, verdict",
    [
        ("61", "holds"),
        ("20.3", "holds; not over the whole range"),
        ("30.2", "holds"),
        ("10.2", "holds with a factor of 1; not over the whole range"),
        ("9", "**does not hold**: 1.12 times the budget"),
        ("5.05", "**does not hold**: 2 times the budget"),
        ("0", "**does not hold**: with the budget"),
    ],
)
def test_the_verdict_follows_the_budget(definitions, tmp_path, budget, verdict):
    row = first_row(capacity_of(definitions(('budget = "17"', f'budget = "{budget}"')), tmp_path))
    assert row.verdict == verdict


def test_a_row_may_depend_on_another_and_have_no_budget(definitions, tmp_path):
    row = capacity_of(definitions(), tmp_path).rows("node", True)[1]
    assert row.value == pytest.approx(20.2) and row.high == pytest.approx(60.2)
    assert row.verdict == "no budget told"


def test_a_row_that_was_not_run_has_no_value(definitions, tmp_path):
    row = first_row(capacity_of(definitions(), tmp_path), False, "server")
    assert row.value is None and row.verdict == "not run"


def test_a_slope_is_the_cost_per_unit_and_an_error_if_growth_is_not_linear(definitions, tmp_path):
    change = 'size = "servers" }', 'size = "servers", slope = true }'
    row = first_row(capacity_of(definitions(change), tmp_path))
    assert row.value == pytest.approx(0.01)
    with pytest.raises(RowError, match="grows by quadratic"):
        first_row(capacity_of(definitions(change), tmp_path, sweep(lambda n: n * n)))


def test_a_cost_that_is_not_linear_is_evaluated_by_its_own_term(definitions, tmp_path):
    row = first_row(capacity_of(definitions(), tmp_path, sweep(lambda n: n * n / 100)))
    assert row.value == pytest.approx(10)
    assert row.fitted_costs[0].fit.term == "quadratic"


FAULTY_ROWS = [
    (('"change_us / 1000"', '"change_us / thousand"'), "no variable or row is named 'thousand'"),
    (('"change_us / 1000"', '"change_us / (servers - servers)"'), "division by zero"),
    (('"change_us / 1000"', '"list_time + 1"'), "depends on itself"),
    (('measure = "change_us"', 'measure = "other"'), "no measure 'other'"),
    (('result = "module-servers"', 'result = "fault-zone"'), "not a sweep"),
    (('size = "servers"', 'size = "sizes"'), "'sizes'"),
    (('formula = "servers / nodes"', 'formula = "servers_a_node"'), None),
]


@pytest.mark.parametrize("change, why", FAULTY_ROWS)
def test_a_faulty_row_is_an_error(definitions, tmp_path, change, why):
    model = capacity_of(definitions(change), tmp_path)
    with pytest.raises(RowError, match=why or "depends on itself"):
        first_row(model) if why else model.evaluator().value("servers_a_node")


def test_a_missing_result_is_an_error(definitions, tmp_path):
    with pytest.raises(RowError, match="node: one change of the list: module-servers.json: no such result"):
        first_row(capacity_of(definitions(), tmp_path, zone_run(lost=1.0)))


def test_a_row_cannot_depend_on_one_that_was_not_run(definitions, tmp_path):
    model = capacity_of(definitions(('budget = "17"', 'not_run = "later"')), tmp_path, zone_run(lost=1.0))
    with pytest.raises(RowError, match="was not run, and another row depends on it"):
        model.rows("node", True)


def test_a_row_whose_results_exist_may_not_be_marked_as_not_run(definitions, tmp_path):
    with pytest.raises(RowError, match="marked as not run, but its results exist"):
        first_row(capacity_of(definitions(('budget = "17"', 'not_run = "later"')), tmp_path))


FAULTY_DEFINITIONS = [
    (("value = 1000", "value = 9000"), "outside its range"),
    (('id = "list_time"', 'id = "servers"'), "duplicate names"),
    (('cells = ["a rack", ', "cells = ["), "cell count differs from columns"),
    (('aspect = "memory"', 'aspect = "mood"'), "aspect"),
    (('unit = "MB"\n', 'unit = "MB"\nunheard = 1\n'), "unheard"),
    (('role = "server"\n', ""), "role"),
    (("[tables]", "[tables"), "rows.toml"),
]


@pytest.mark.parametrize("change, why", FAULTY_DEFINITIONS)
def test_faulty_definitions_are_an_error(definitions, change, why):
    with pytest.raises(RowError, match=why):
        definitions(change)


def test_a_line_takes_its_figures_from_the_fault_run(definitions, tmp_path):
    model = capacity_of(definitions(), tmp_path)
    assert model.line(model.definitions.line[0]) == {"lost": 52, "nodes_told": 420}
    assert model.line(model.definitions.line[1]) is None
    with pytest.raises(RowError, match="no figure 'lost'"):
        capacity_of(definitions(), tmp_path, sweep(), zone_run(gone=1.0)).line(model.definitions.line[0])
    with pytest.raises(RowError, match="a zone: fault-zone.json: no such result"):
        capacity_of(definitions(), tmp_path, sweep()).line(model.definitions.line[0])


def test_a_line_takes_a_measured_point_of_a_sweep(definitions, tmp_path):
    old = 'result = "fault-zone", event = "zone", figure = "lost"'
    point = 'result = "module-servers", figure = "change_us", size = '
    model = capacity_of(definitions((old, point + "400")), tmp_path, sweep(lambda n: n * n))
    assert model.line(model.definitions.line[0])["lost"] == 160_000
    model = capacity_of(definitions((old, point + "401")), tmp_path)
    with pytest.raises(RowError, match="size 401 was not measured"):
        model.line(model.definitions.line[0])


def test_a_fleet_that_did_not_recover_is_over_any_budget(definitions, page, tmp_path):
    whole = 'figure = "seconds_until_whole"'
    model = capacity_of(definitions(('figure = "lost"', whole)), tmp_path)
    assert model.line(model.definitions.line[0])["lost"] == math.inf
    assert tables.format_number(math.inf) == "not within the play"
    cost = (
        'costs = [{ name = "change_us", result = "module-servers", measure = "change_us", size = "servers" }]'
    )
    figure = f'figures = [{{ name = "change_us", result = "fault-zone", event = "zone", {whole} }}]'
    row = first_row(capacity_of(definitions((cost, figure)), tmp_path))
    assert row.verdict.startswith("**does not hold**")


def test_a_figure_of_an_older_file_is_read_by_its_keys(definitions, tmp_path):
    (tmp_path / "old.json").write_text(json.dumps({"plays": [{"mb": 21.3}, {"mb": "x"}]}))
    old = 'result = "fault-zone", event = "zone", figure = "lost"'
    model = capacity_of(definitions((old, 'file = "old.json", at = "plays/0/mb"')), tmp_path)
    assert model.line(model.definitions.line[0])["lost"] == 21.3
    assert [value for _, value in model.figures()] == [21.3]
    for at in ("plays/1/mb", "plays/9/mb", "plays/0", "none"):
        model = capacity_of(definitions((old, f'file = "old.json", at = "{at}"')), tmp_path)
        with pytest.raises(RowError, match="old.json"):
            model.line(model.definitions.line[0])


def test_a_figure_of_an_older_page_is_the_quoted_one(definitions, tmp_path):
    (tmp_path / "note.md").write_text("Idle, the supervisor takes 3 % of a core, 1,200 steps.\n")
    old = 'result = "fault-zone", event = "zone", figure = "lost"'

    def value(at, quoted):
        model = capacity_of(
            definitions((old, f'file = "note.md", at = "{at}", value = "{quoted}"')), tmp_path
        )
        return model.line(model.definitions.line[0])["lost"]

    assert value("takes 3 % of a core", "3") == 3
    assert value("a core, 1,200 steps", "1,200") == 1200
    for at, quoted in (("takes 4 % of a core", "4"), ("takes 3 % of a core", "30")):
        with pytest.raises(RowError, match="not found"):
            value(at, quoted)


# The page


PROSE = """# Capacity

Of 420 nodes. `code 77`, [a link](x-12.md), servers 400 to 3,000.

"""


@pytest.fixture
def page(definitions, tmp_path):
    """Makes the page's generator from the definitions and runs, and the text that it generates."""

    def make(*runs, text=None):
        runs = runs or (sweep(), zone_run(lost=52.0))
        folder = tmp_path / "results"
        for run in runs:
            results.write(run, folder)
        generator = tables.Page(Capacity(definitions(), results.read_all(folder), tmp_path), folder)
        text = text or PROSE + "".join(
            f"<!-- table {name} -->\n<!-- end -->\n" for name in generator.required_tables()
        )
        return generator, generator.generate(text)

    return make


def test_every_table_is_generated_and_generating_again_changes_nothing(page):
    generator, text = page()
    assert text.startswith(PROSE)
    assert generator.generate(text) == text
    assert "| a zone | 52 of 420 | tests/x.py |" in text
    assert "| a rack | not run | not run: no time |" in text
    assert (
        "| processor time | one change of the list | `change_us / 1000` | 10.1 ms | 4.1 to 30.1 | 17 ms |"
        in text
    )
    assert "holds with a factor of 1.7; not over the whole range | formula, 1.25 times past |" in text
    assert "| memory | not looked at |  | not run |" in text
    assert (
        "| `module-servers` | change_us | 50 to 800 | linear | 100 + 10 n us | 0.94 | 0% "
        "| 1,000 (`servers`) | 1.25 times |" in text
    )


def test_a_changed_figure_of_a_result_changes_the_page(page):
    _, before = page()
    changed = sweep()
    changed.measures[0].points[0].value += 1e-9
    _, after = page(changed, zone_run(lost=52.0))
    assert after != before


def test_a_missing_an_unknown_and_a_duplicate_table_are_errors(page):
    generator, text = page()
    with pytest.raises(RowError, match="missing from the page: .*events"):
        generator.generate(text.replace("<!-- table events -->", ""))
    with pytest.raises(RowError, match="no table is named 'moods'"):
        generator.generate(text + "<!-- table moods -->\n<!-- end -->\n")
    with pytest.raises(RowError, match="duplicate tables.*events"):
        generator.generate(text + "<!-- table events -->\n<!-- end -->\n")


def test_a_number_in_the_prose_is_reported_unless_it_is_a_variable(page):
    generator, text = page()
    assert tables.unverified_numbers(text, generator.capacity) == []
    for addition in ("It takes 3.5 ms.", "some 12,345 of them", "(66)"):
        assert tables.unverified_numbers(text + addition, generator.capacity) != []


FORMATTED_NUMBERS = [
    (0, "0"),
    (76190.476, "76,190"),
    (32e6, "32,000,000"),
    (6666.67, "6,667"),
    (0.0123, "0.0123"),
    (1.5, "1.5"),
    (12.345, "12.3"),
    (999.9, "1,000"),
    (0.0000123, "1.2e-05"),
    (-4.26, "-4.26"),
    (100.4, "100"),
]


@pytest.mark.parametrize("value, text", FORMATTED_NUMBERS)
def test_numbers_are_rounded_for_display(value, text):
    assert tables.format_number(value) == text


@pytest.mark.parametrize("value, text", [(-1e-17, "0.00"), (-0.004, "0.00"), (-0.04, "-0.04"), (1.0, "1.00")])
def test_an_exponent_of_zero_has_no_sign(value, text):
    assert tables.format_exponent(value) == text
