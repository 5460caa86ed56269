"""Plots of small results: a file per measure, and a page that shows them all."""

import matplotlib.image
import pytest

from cottonspread.lab.scale import capacity, plots, results
from cottonspread.lab.scale.plots import Target
from cottonspread.lab.scale.results import FaultRow, FaultRun, Measure, Point, Sweep

HEADER = dict(what="x", command="cottonspread lab scale", alone=True, commit="d082d9a", date="2026-12-02")


@pytest.fixture
def sweep():
    def measure(name, cost):
        points = [Point(size, cost(size)) for size in (50, 200, 400, 800)]
        return Measure(name=name, unit="us", control=True, points=points, plays=1)

    measures = [measure("change_us", lambda n: 100 + 10 * n), measure("nothing", lambda n: 0.0)]
    fields = dict(variable="servers", variable_unit="listed", fixed={}, measures=measures)
    return Sweep(name="module-servers", kind="module", **fields, **HEADER)


@pytest.fixture
def faults():
    row = FaultRow(event="zone", figures={"lost": 1.0}, seconds_until_whole=1.0, rules_broken=0, notes="")
    return FaultRun(name="fault-zone", kind="hollow", nodes=420, seed=1, rows=[row], **HEADER)


def test_each_measure_of_each_sweep_gets_a_plot(tmp_path, sweep, faults):
    paths = plots.write([sweep, faults], tmp_path / "out")
    assert [path.name for path in paths] == ["module-servers-change-us.png", "module-servers-nothing.png"]
    for path in paths:
        image = matplotlib.image.imread(path)
        assert image.shape[0] > 300 and image.shape[1] > 500
        assert image.std() > 0.05  # not one colour


@pytest.fixture
def drawn(tmp_path, sweep, monkeypatch):
    """Plots the first measure with the given targets; returns the axis."""

    def draw(*targets):
        figures = []
        monkeypatch.setattr(plots.plt, "close", figures.append)
        plots.draw(sweep, sweep.measures[0], tmp_path / "one.png", list(targets))
        monkeypatch.undo()
        plots.plt.close(figures[0])
        return figures[0].axes[0]

    return draw


def labels(axis):
    return [text.get_text() for text in axis.get_legend().get_texts()]


def test_points_and_fit_alone_end_at_the_largest_size(drawn):
    axis = drawn()
    assert labels(axis) == ["measured", "fit"]
    assert max(axis.lines[1].get_xdata()) == pytest.approx(800)


def test_a_target_past_the_measured_sizes_is_drawn_from_the_formula(drawn):
    axis = drawn(Target("node: one change", 3000.0, None))
    assert labels(axis) == ["measured", "fit", "formula", "target, not played"]
    assert axis.lines[3].get_xdata() == [3000] and axis.lines[3].get_ydata() == pytest.approx([30_100])
    assert labels(drawn(Target("node: one change", 400.0, None))) == ["measured", "fit"]


def test_a_budget_is_a_line_or_if_far_above_only_in_the_legend(drawn):
    near = Target("node: one change", 400.0, 17_000.0)
    axis = drawn(near, near)
    assert labels(axis) == ["measured", "fit", "budget 1.7e+04: node: one change"]
    assert list(axis.lines[2].get_ydata()) == [17_000, 17_000]
    axis = drawn(Target("node: one change", 400.0, 1e9))
    assert labels(axis)[-1] == "budget 1e+09, above: node: one change"
    assert axis.get_ylim()[1] < 1e6


def test_the_report_is_one_file_with_every_plot(tmp_path, sweep, faults):
    results.write(sweep, tmp_path)
    page = plots.report([sweep, faults], tmp_path / "out")
    text = page.read_text()
    assert text.count("data:image/png;base64,") == 2
    assert "module-servers" in text and "linear" in text and "fault-zone" not in text


def test_targets_are_the_rows_sizes_and_what_their_budgets_allow(tmp_path, sweep):
    path = tmp_path / "rows.toml"
    path.write_text("""
derived = {}
line = []
tables = {}
[told.changes]
value = 4
unit = "changes/s"
why = "x"
[assumed.servers]
value = 1000
low = 50
high = 3000
unit = "servers"
why = "x"
[[row]]
role = "node"
control = true
aspect = "processor time"
what = "changes"
unit = "ms/s"
formula = "1 + changes * change_us / 1000"
budget = "17"
mechanism = "x"
costs = [{ name = "change_us", result = "module-servers", measure = "change_us", size = "servers" }]
[[row]]
role = "node"
control = true
aspect = "time"
what = "one change"
unit = "us"
formula = "change_us"
mechanism = "x"
costs = [{ name = "change_us", result = "module-servers", measure = "change_us", size = "3 * servers" }]
""")
    model = capacity.Capacity(capacity.read_definitions(path), {sweep.name: sweep}, tmp_path)
    first, second = plots.targets_of(model)["module-servers", "change_us"]
    assert first == Target("node: changes", 1000.0, pytest.approx(4000.0))
    assert second == Target("node: one change", 3000.0, None)
