"""The capacity model: rows read from TOML, every field checked, evaluated from results and variables.

A row has a formula over names. A name is a variable (given by the operators, assumed with a range, or
derived), the `id` of another row, or one of the row's own `costs` (a fit of a result's measure, evaluated at
a size) and `figures` (a single value from a result or from another file of the repository).
"""

import itertools
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import msgspec

from cottonspread.lab.scale import formula
from cottonspread.lab.scale.fit import Fit, fit
from cottonspread.lab.scale.results import FaultRun, Result, ResultError, Sweep

Aspect = Literal["state", "messages", "processor time", "memory", "descriptors", "bytes a second", "time"]

BUDGET_MARGIN = 2.0
"""From this ratio of budget to value on, the verdict is a plain "holds"; below it, it states the ratio."""


class RowError(ValueError):
    """A row that cannot be evaluated; the message names it."""


class GivenVariable(msgspec.Struct, forbid_unknown_fields=True):
    """A variable that the operators gave; `[told.NAME]` in TOML."""

    value: float
    unit: str
    why: str


class AssumedVariable(msgspec.Struct, forbid_unknown_fields=True):
    """A variable that nobody gave, with the range in which it may lie."""

    value: float
    low: float
    high: float
    unit: str
    why: str


class DerivedVariable(msgspec.Struct, forbid_unknown_fields=True):
    """A variable that is computed from others."""

    formula: str
    unit: str
    why: str


class Cost(msgspec.Struct, forbid_unknown_fields=True):
    """The fit of a measure at a size (a formula); with `slope` the line's slope, value per unit of size."""

    name: str
    result: str
    measure: str
    size: str
    slope: bool = False


class Figure(msgspec.Struct, forbid_unknown_fields=True):
    """A single value.

    It is `figure` of a fault run's `event`; a point of a sweep (`figure`: the measure, `size`); from a JSON
    file of the repository (`at`: keys joined by `/`); or from a page (`at`: words quoted from it, with
    `value` among them). `seconds_until_whole` is infinite where the fleet did not recover within the run.
    """

    name: str
    result: str = ""
    event: str = ""
    figure: str = ""
    size: float = 0
    file: str = ""
    at: str = ""
    value: str = ""


class Row(msgspec.Struct, forbid_unknown_fields=True):
    """One row of a role's table."""

    role: str
    control: bool
    aspect: Aspect
    what: str
    unit: str
    mechanism: str
    formula: str = ""
    budget: str = ""
    id: str = ""
    costs: list[Cost] = []
    figures: list[Figure] = []
    not_run: str = ""
    """Why there is no run yet; a row with it has no value."""


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """One line of another table; `{name}` in a cell stands for one of its values or figures."""

    table: str
    cells: list[str]
    values: dict[str, str] = {}
    """Formulas by name."""
    costs: list[Cost] = []
    figures: list[Figure] = []
    not_run: str = ""


class Definitions(msgspec.Struct, forbid_unknown_fields=True):
    """Everything that the page's tables are made from, except the results."""

    told: dict[str, GivenVariable]
    assumed: dict[str, AssumedVariable]
    derived: dict[str, DerivedVariable]
    tables: dict[str, list[str]]
    """Columns by table."""
    row: list[Row]
    line: list[Line] = []


@dataclass(frozen=True)
class FittedCost:
    """A cost of a row, with its fit and its value at its size."""

    cost: Cost
    fit: Fit
    unit: str
    size: float
    value: float


@dataclass(frozen=True)
class EvaluatedRow:
    """A row with its values, all None where it was not run."""

    row: Row
    value: float | None
    low: float | None
    high: float | None
    budget: float | None
    fitted_costs: tuple[FittedCost, ...]

    @property
    def verdict(self) -> str:
        """Whether the value is within the budget, and whether it is so over the whole assumed range."""
        if self.value is None:
            return "not run"
        if self.budget is None:
            return "no budget told"
        if self.value > self.budget:
            return f"**does not hold**: {_ratio_text(self.value, self.budget)} the budget"
        text = "holds"
        if self.value * BUDGET_MARGIN > self.budget:
            text = f"holds with a factor of {self.budget / self.value:.2g}"
        return text + "; not over the whole range" * (self.high > self.budget)

    @property
    def extrapolation(self) -> float:
        """The target over the largest measured size, for the cost where that ratio is largest."""
        return max(
            (fitted_cost.fit.extrapolation(fitted_cost.size) for fitted_cost in self.fitted_costs),
            default=0.0,
        )


def _ratio_text(value: float, budget: float) -> str:
    """How far a value exceeds its budget; a budget of 0 has no ratio."""
    return f"{value / budget:.3g} times" if budget else "with"


def read_definitions(path: Path) -> Definitions:
    """The definitions in the TOML file; RowError names what is wrong with it."""
    try:
        definitions = msgspec.toml.decode(path.read_bytes(), type=Definitions)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RowError(f"{path.name}: {error}") from None
    variables = [
        *definitions.told,
        *definitions.assumed,
        *definitions.derived,
        *(row.id for row in definitions.row if row.id),
    ]
    duplicates = {name for name in variables if variables.count(name) > 1}
    if duplicates:
        raise RowError(f"{path.name}: duplicate names: {sorted(duplicates)}")
    for name, variable in definitions.assumed.items():
        if not variable.low <= variable.value <= variable.high:
            raise RowError(f"{path.name}: assumed.{name}: value outside its range")
    for line in definitions.line:
        if len(line.cells) != len(definitions.tables.get(line.table, [])):
            raise RowError(
                f"{path.name}: table {line.table!r}: {line.cells[:1]}: cell count differs from columns"
            )
    return definitions


class Evaluator:
    """Evaluates names under given values of the assumed variables; remembers which of those were used."""

    def __init__(
        self, definitions: Definitions, results: dict[str, Result], root: Path, assumptions: dict[str, float]
    ):
        """`root`: folder that the figures' `file` is relative to. `assumptions`: see `Capacity.evaluator`."""
        self.definitions, self.results, self.root, self.assumptions = definitions, results, root, assumptions
        self.rows = {row.id: row for row in definitions.row if row.id}
        self.used_assumptions: set[str] = set()
        self.in_progress: list[str] = []

    def value(self, name: str) -> float:
        """The value of a variable or of the row with that id."""
        if name in self.in_progress:
            raise RowError(f"{name}: depends on itself")
        if name in self.definitions.told:
            return self.definitions.told[name].value
        if name in self.definitions.assumed:
            self.used_assumptions.add(name)
            return self.assumptions.get(name, self.definitions.assumed[name].value)
        if name not in self.definitions.derived and name not in self.rows:
            raise RowError(f"no variable or row is named {name!r}")
        self.in_progress.append(name)
        try:
            if name in self.definitions.derived:
                return formula.evaluate(self.definitions.derived[name].formula, self.value)
            return self.row_value(self.rows[name])
        finally:
            self.in_progress.pop()

    def row_value(self, row: Row) -> float:
        """A row's value; RowError where it was not run."""
        if row.not_run:
            raise RowError(f"{row.what}: was not run, and another row depends on it")
        return self.evaluate(row.formula, self.own_values(row.costs, row.figures))

    def budget(self, row: Row) -> float | None:
        """A row's budget; None where there is none."""
        if not row.budget:
            return None
        return self.evaluate(row.budget, self.own_values(row.costs, row.figures))

    def evaluate(self, text: str, own: dict[str, float]) -> float:
        """The value of a formula over variables and a row's own values, which take precedence."""
        return formula.evaluate(text, lambda name: own[name] if name in own else self.value(name))

    def own_values(self, costs: list[Cost], figures: list[Figure]) -> dict[str, float]:
        """The values of a row's costs and figures by name."""
        own = {cost.name: self.fitted_cost(cost).value for cost in costs}
        return own | {figure.name: self.figure(figure) for figure in figures}

    def fitted_cost(self, cost: Cost) -> FittedCost:
        """The cost's fit and its value at its size."""
        result = self.result(cost.result)
        if not isinstance(result, Sweep):
            raise RowError(f"{cost.result}: not a sweep")
        measure = result.measure(cost.measure)
        fitted = fit(measure.points)
        size = formula.evaluate(cost.size, self.value)
        if cost.slope and fitted.term not in ("linear", "constant"):
            raise RowError(
                f"{cost.result}: {cost.measure}: grows by {fitted.term}, so it has no single slope"
            )
        return FittedCost(cost, fitted, measure.unit, size, fitted.slope if cost.slope else fitted.at(size))

    def figure(self, figure: Figure) -> float:
        """A single value from a result or another file of the repository."""
        where = figure.result or figure.file
        if figure.file:
            value = self._page_value(figure) if figure.value else self._json_value(figure)
        else:
            result = self.result(figure.result)
            value = (
                _point_value(result, figure) if isinstance(result, Sweep) else _event_value(result, figure)
            )
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise RowError(f"{where}: {figure.name}: {value!r} is not a number")
        return float(value)

    def _json_value(self, figure: Figure) -> object:
        try:
            value = json.loads((self.root / figure.file).read_text())
            for key in figure.at.split("/"):
                value = value[int(key)] if isinstance(value, list) else value[key]
        except (OSError, ValueError, LookupError, TypeError) as error:
            raise RowError(f"{figure.file}: {figure.at}: {type(error).__name__}: {error}") from None
        return value

    def _page_value(self, figure: Figure) -> float:
        try:
            text = (self.root / figure.file).read_text(encoding="utf-8")
        except OSError as error:
            raise RowError(f"{figure.file}: {error.strerror}") from None
        if figure.at not in text or figure.value not in figure.at.split():
            raise RowError(f"{figure.file}: {figure.value!r} in {figure.at!r} not found")
        return float(figure.value.replace(",", ""))

    def result(self, name: str) -> Result:
        """The result of that name; RowError where its file is missing."""
        if name not in self.results:
            raise RowError(f"{name}.json: no such result")
        return self.results[name]


def _point_value(sweep: Sweep, figure: Figure) -> float:
    """The measured value at one size."""
    for point in sweep.measure(figure.figure).points:
        if point.size == figure.size:
            return point.value
    raise RowError(f"{sweep.name}: {figure.figure}: size {figure.size:g} was not measured")


def _event_value(run: FaultRun, figure: Figure) -> float:
    """One figure of an event."""
    row = run.row(figure.event)
    recovery_s = math.inf if row.seconds_until_whole is None else row.seconds_until_whole
    known = {**row.figures, "seconds_until_whole": recovery_s, "rules_broken": row.rules_broken}
    if figure.figure not in known:
        raise RowError(f"{run.name}: {figure.event}: no figure {figure.figure!r}")
    return known[figure.figure]


class Capacity:
    """The definitions evaluated over the results."""

    def __init__(self, definitions: Definitions, results: dict[str, Result], root: Path):
        """`results`: results by name. `root`: folder that the figures' `file` is relative to."""
        self.definitions, self.results, self.root = definitions, results, root

    def evaluator(self, assumptions: dict[str, float] | None = None) -> Evaluator:
        """An evaluator with values for assumed variables; those left out have their stated value."""
        return Evaluator(self.definitions, self.results, self.root, assumptions or {})

    def rows(self, role: str, control: bool) -> list[EvaluatedRow]:
        """A role's rows, evaluated."""
        return [
            self.evaluate_row(row)
            for row in self.definitions.row
            if (row.role, row.control) == (role, control)
        ]

    def evaluate_row(self, row: Row) -> EvaluatedRow:
        """Evaluates a row: value, budget, lowest and highest value over the corners of the assumed ranges."""
        if row.not_run:
            self._check_not_run(row.what, row.costs, row.figures)
            return EvaluatedRow(row, None, None, None, None, ())
        try:
            evaluator = self.evaluator()
            value = evaluator.row_value(row)
            fitted_costs = tuple(evaluator.fitted_cost(cost) for cost in row.costs)
            corners = [
                self.evaluator(assumptions).row_value(row)
                for assumptions in self.corners(evaluator.used_assumptions)
            ]
            budget = self.evaluator().budget(row)
        except (RowError, ResultError, formula.FormulaError) as error:
            raise RowError(f"{row.role}: {row.what}: {error}") from None
        return EvaluatedRow(row, value, min(corners), max(corners), budget, fitted_costs)

    def max_cost(self, row: Row, cost: Cost) -> float | None:
        """The cost at which the row reaches its budget, all else unchanged; None if there is no such cost."""
        if row.not_run or not row.budget:
            return None
        evaluator = self.evaluator()
        own = evaluator.own_values(row.costs, row.figures)

        def total(cost_value: float) -> float:
            return evaluator.evaluate(row.formula, own | {cost.name: cost_value})

        growth = total(1.0) - total(0.0)
        budget = evaluator.budget(row)
        return (budget - total(0.0)) / growth if growth > 0 and budget > total(0.0) else None

    def line(self, line: Line) -> dict[str, float] | None:
        """A line's values by name; None where it was not run."""
        if line.not_run:
            self._check_not_run(line.cells[0], line.costs, line.figures)
            return None
        evaluator = self.evaluator()
        try:
            own = evaluator.own_values(line.costs, line.figures)
            for name, text in line.values.items():
                own[name] = evaluator.evaluate(text, own)
        except (RowError, ResultError, formula.FormulaError) as error:
            raise RowError(f"{line.table}: {line.cells[0]}: {error}") from None
        return own

    def corners(self, names: set[str]) -> Iterator[dict[str, float]]:
        """Every combination of the lowest and highest values of these assumed variables."""
        ordered = sorted(names)
        ends = [(self.definitions.assumed[name].low, self.definitions.assumed[name].high) for name in ordered]
        for choice in itertools.product(*ends):
            yield dict(zip(ordered, choice, strict=True))

    def costs(self) -> list[FittedCost]:
        """Every cost that a row or line uses, once each."""
        found = {}
        for entry in [*self.definitions.row, *self.definitions.line]:
            if entry.not_run:
                continue
            for cost in entry.costs:
                key = cost.result, cost.measure, cost.size, cost.slope
                found.setdefault(key, self.evaluator().fitted_cost(cost))
        return [found[key] for key in sorted(found)]

    def figures(self) -> list[tuple[Figure, float]]:
        """Every figure from a file other than a result that a row or line uses, once each."""
        found = {}
        for entry in [*self.definitions.row, *self.definitions.line]:
            for figure in entry.figures if not entry.not_run else ():
                if figure.file:
                    found.setdefault((figure.file, figure.at), (figure, self.evaluator().figure(figure)))
        return [found[key] for key in sorted(found)]

    def _check_not_run(self, what: str, costs: list[Cost], figures: list[Figure]) -> None:
        """Raises if all results that a row names exist: such a row must not be marked as not run."""
        wanted = {cost.result for cost in costs} | {figure.result for figure in figures if figure.result}
        if wanted and wanted <= self.results.keys():
            raise RowError(f"{what}: marked as not run, but its results exist")
