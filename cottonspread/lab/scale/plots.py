"""Plots of cost by size: the measured points, their fit extrapolated to the target, and the budget's line.

paths = plots.write(results, folder)  # one PNG per measure
page = plots.report(results, folder, plots.targets_of(capacity))  # the PNGs and scale.html
"""

import base64
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

import jinja2
import matplotlib
import numpy as np

from cottonspread.lab.scale.capacity import Capacity
from cottonspread.lab.scale.fit import Fit, fit
from cottonspread.lab.scale.results import Measure, Result, Sweep

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  the backend is chosen first
from matplotlib import ticker  # noqa: E402

DPI = 110
CURVE_POINTS = 200
"""Points at which a fit's curve is drawn."""

REPORT_TEMPLATE = jinja2.Environment(autoescape=True).from_string("""<!doctype html><meta charset="utf-8">
<title>Cost against size</title><style>body{font:15px sans-serif;max-width:72em;margin:2em auto;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .7em;text-align:left}
img{max-width:32%}pre{white-space:pre-wrap;background:#f4f4f4;padding:.6em}</style>
<h1>Cost against size</h1><p>Servers and clients are simulated, on one machine.</p>
{% for sweep, rows in sweeps %}<h2>{{ sweep.name }}</h2><p>{{ sweep.what }}</p><pre>{{ sweep.command }}</pre>
<p>{{ sweep.date }}, commit {{ sweep.commit }}, {{ "alone" if sweep.alone else "beside other load" }}</p>
<table><tr><th>measure<th>unit<th>for<th>grows with<th>exponent<th>residual{% for measure, found in rows %}
<tr><td>{{ measure.name }}<td>{{ measure.unit }}<td>{{ "control" if measure.control else "clients' lines" }}
<td>{{ found.term }}<td>{{ "%.2f"|format(found.exponent) }}<td>{{ "%.0f%%"|format(100 * found.residual) }}
{% endfor %}</table>{% for measure, found in rows %}
<img alt="{{ measure.name }}" src="data:image/png;base64,{{ images[sweep.name, measure.name] }}">{% endfor %}
{% endfor %}""")


@dataclass(frozen=True)
class Target:
    """What a row of the capacity page requires of a measure: at most `max_cost` at `size`."""

    label: str
    size: float
    max_cost: float | None


Targets = Mapping[tuple[str, str], list[Target]]
"""Targets by result and measure."""


def targets_of(capacity: Capacity) -> Targets:
    """The sizes and limits that the capacity page's rows have for their costs."""
    targets = defaultdict(list)
    for row in capacity.definitions.row:
        for cost in row.costs if not row.not_run else ():
            fitted_cost = capacity.evaluator().fitted_cost(cost)
            target = Target(f"{row.role}: {row.what}", fitted_cost.size, capacity.max_cost(row, cost))
            targets[cost.result, cost.measure].append(target)
    return targets


def write(results: Iterable[Result], folder: Path, targets: Targets | None = None) -> list[Path]:
    """Writes a PNG for each measure of each sweep into the folder; returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for sweep in _sweeps(results):
        for measure in sweep.measures:
            path = folder / _file_name(sweep, measure)
            draw(sweep, measure, path, (targets or {}).get((sweep.name, measure.name), []))
            paths.append(path)
    return paths


def report(results: Iterable[Result], folder: Path, targets: Targets | None = None) -> Path:
    """Writes the plots and `scale.html`, a self-contained page that shows them all; returns its path."""
    sweeps = _sweeps(results)
    write(sweeps, folder, targets)
    images, shown = {}, []
    for sweep in sweeps:
        shown.append((sweep, [(measure, fit(measure.points)) for measure in sweep.measures]))
        for measure in sweep.measures:
            image = (folder / _file_name(sweep, measure)).read_bytes()
            images[sweep.name, measure.name] = base64.b64encode(image).decode()
    path = folder / "scale.html"
    path.write_text(REPORT_TEMPLATE.render(sweeps=shown, images=images), encoding="utf-8")
    return path


def draw(sweep: Sweep, measure: Measure, path: Path, targets: list[Target]) -> None:
    """Plots one measure, by size on a logarithmic axis."""
    fitted = fit(measure.points)
    largest_size = max([fitted.largest, *(target.size for target in targets)])
    figure, axis = plt.subplots(figsize=(7, 4.6))
    sizes = [point.size for point in measure.points]
    values = [point.value for point in measure.points]
    axis.plot(sizes, values, "o", color="#1f4e79", label="measured", zorder=3)
    _draw_fit(axis, fitted, largest_size)
    _draw_budgets(axis, targets, max([*values, fitted.at(largest_size)]))
    _scale_axes(axis, sorted({*sizes, largest_size}), all(value > 0 for value in values))
    axis.set_xlabel(f"{sweep.variable.replace('_', ' ')} ({sweep.variable_unit})")
    axis.set_ylabel(f"{measure.name} ({measure.unit})")
    axis.set_title(
        f"{sweep.name}: {measure.name}, {fitted.term}, residual {fitted.residual:.0%}", fontsize=10
    )
    axis.grid(alpha=0.3, which="both")
    axis.legend(fontsize=8, framealpha=0.8)
    figure.tight_layout()
    figure.savefig(path, dpi=DPI)
    plt.close(figure)


def _scale_axes(axis: plt.Axes, sizes: list[float], logarithmic: bool) -> None:
    """Sets the sizes as ticks; `logarithmic`: of the value axis too, which is impossible if a value is 0."""
    plain = ticker.FuncFormatter(lambda value, _: f"{value:,.4g}" if value < 1000 else f"{value:,.0f}")
    axis.set_xscale("log")
    axis.set_xticks(sizes)
    axis.xaxis.set_major_formatter(plain)
    axis.xaxis.set_minor_locator(ticker.NullLocator())
    axis.tick_params(axis="x", labelrotation=30)
    if not logarithmic:
        axis.set_ylim(bottom=0)
        return
    axis.set_yscale("log")
    axis.yaxis.set_major_locator(ticker.LogLocator(subs=(1.0, 2.0, 5.0)))
    axis.yaxis.set_major_formatter(plain)
    axis.yaxis.set_minor_formatter(ticker.NullFormatter())


def _draw_fit(axis: plt.Axes, fitted: Fit, target: float) -> None:
    """Draws the fit as a solid line over the measured sizes and dashed from there to the target."""
    measured_sizes = np.geomspace(fitted.smallest, fitted.largest, CURVE_POINTS)
    axis.plot(measured_sizes, [fitted.at(size) for size in measured_sizes], color="#1f4e79", label="fit")
    if target > fitted.largest:
        extrapolated_sizes = np.geomspace(fitted.largest, target, CURVE_POINTS)
        axis.plot(
            extrapolated_sizes,
            [fitted.at(size) for size in extrapolated_sizes],
            "--",
            color="#1f4e79",
            label="formula",
        )
        axis.plot(
            [target], [fitted.at(target)], "D", mfc="white", mec="#1f4e79", label="target, not measured"
        )


def _draw_budgets(axis: plt.Axes, targets: list[Target], largest: float) -> None:
    """Draws a line for each budget; one far above all values appears only in the legend."""
    labelled_limits = set()
    for target in targets:
        if target.max_cost is None or (target.label, target.max_cost) in labelled_limits:
            continue
        labelled_limits.add((target.label, target.max_cost))
        if target.max_cost <= 100 * largest:
            axis.axhline(
                target.max_cost,
                color="#a00",
                linewidth=1,
                label=f"budget {target.max_cost:.3g}: {target.label}",
            )
        else:
            axis.plot(
                [],
                [],
                color="#a00",
                linewidth=1,
                label=f"budget {target.max_cost:.3g}, above: {target.label}",
            )


def _sweeps(results: Iterable[Result]) -> list[Sweep]:
    return [result for result in results if isinstance(result, Sweep)]


def _file_name(sweep: Sweep, measure: Measure) -> str:
    return f"{sweep.name}-{measure.name.replace('_', '-').replace(' ', '-')}.png"
