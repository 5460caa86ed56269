"""The tables of the capacity page as Markdown, and their positions in the page.

A table is the text between `<!-- table NAME -->` and `<!-- end -->`, which is generated. The text outside is
prose and may contain no numbers but the variables' values: a number without its run cannot be verified.
"""

import hashlib
import math
import re
from collections.abc import Iterable
from pathlib import Path

from cottonspread.lab.scale.capacity import Capacity, EvaluatedRow, FittedCost, Line, RowError

TABLE_PATTERN = re.compile(r"<!-- table (?P<name>[a-z0-9 ,'-]+) -->\n(?P<text>.*?)<!-- end -->", re.DOTALL)
PLACEHOLDER_PATTERN = re.compile(r"\{([a-z_][a-z0-9_]*)\}")
CODE_PATTERN = re.compile(r"`[^`]*`|\]\([^)]*\)|<!--.*?-->", re.DOTALL)
NUMBER_PATTERN = re.compile(r"(?<![\w.,])\d[\d,]*(?:\.\d+)?")
ROLE_COLUMNS = ("aspect", "what", "formula", "at the target", "over the range", "budget", "verdict",
                "played", "mechanism", "run")  # fmt: skip
DIGEST_LENGTH = 12
"""Number of characters of a result file's SHA-256 that the page shows."""


def format_number(value: float) -> str:
    """The value rounded to three significant digits, four from 1,000 on."""
    if value == 0:
        return "0"
    if math.isinf(value):
        return "not within the play"
    digits = 4 if abs(value) >= 1000 else 3
    rounded = float(f"{value:.{digits}g}")
    if abs(rounded) >= 1000 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0") if abs(rounded) >= 0.001 else f"{rounded:.2g}"


def format_exponent(value: float) -> str:
    """An exponent with two decimals; one that rounds to zero has no sign, which is rounding error."""
    return f"{round(value, 2) + 0.0:.2f}"


def format_exact(value: float) -> str:
    """The value of a variable, not rounded."""
    return f"{value:,.0f}" if value == int(value) else f"{value:,}"


def table(columns: Iterable[str], lines: Iterable[Iterable[str]]) -> str:
    """A table in Markdown."""
    rows = [list(columns), *(list(line) for line in lines)]
    text = ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]
    text.insert(1, "| " + " | ".join("---" for _ in rows[0]) + " |")
    return "\n".join(text) + "\n"


class Page:
    """Generates the tables of the page by name."""

    def __init__(self, capacity: Capacity, folder: Path):
        """`folder`: the folder of the result files, whose digests the page shows."""
        self.capacity, self.folder = capacity, folder

    def generate(self, text: str) -> str:
        """The page's text with all tables generated. RowError if a table is unknown, missing or duplicate."""
        seen = [match["name"] for match in TABLE_PATTERN.finditer(text)]
        duplicates = {name for name in seen if seen.count(name) > 1}
        if duplicates:
            raise RowError(f"duplicate tables: {sorted(duplicates)}")
        missing = [name for name in self.required_tables() if name not in seen]
        if missing:
            raise RowError(f"tables missing from the page: {missing}")
        return TABLE_PATTERN.sub(
            lambda match: f"<!-- table {match['name']} -->\n{self.table(match['name'])}<!-- end -->", text
        )

    def required_tables(self) -> list[str]:
        """The names of all tables that the page must have."""
        roles = {
            f"{row.role}, {'control' if row.control else 'lines'}": None
            for row in self.capacity.definitions.row
        }
        return [
            "told",
            "assumed",
            "derived",
            "slopes",
            "older",
            "runs",
            *self.capacity.definitions.tables,
            *roles,
        ]

    def table(self, name: str) -> str:
        """A table as Markdown."""
        definitions = self.capacity.definitions
        match name:
            case "told":
                return table(
                    ("name", "value", "unit", "where from"), map(self._given_variable, definitions.told)
                )
            case "assumed":
                columns = "name", "value", "range", "unit", "why"
                return table(columns, map(self._assumed_variable, definitions.assumed))
            case "derived":
                columns = "name", "formula", "value", "unit", "why"
                return table(columns, map(self._derived_variable, definitions.derived))
            case "slopes":
                return self._slopes()
            case "older":
                return self._older_files()
            case "runs":
                return self._runs()
        if name in definitions.tables:
            lines = [self._line(line) for line in definitions.line if line.table == name]
            return table(definitions.tables[name], lines)
        role, _, kind = name.rpartition(", ")
        rows = self.capacity.rows(role, kind == "control")
        if not rows:
            raise RowError(f"no table is named {name!r}")
        return table(ROLE_COLUMNS, map(self._row, rows))

    def _given_variable(self, name: str) -> tuple[str, ...]:
        variable = self.capacity.definitions.told[name]
        return f"`{name}`", format_exact(variable.value), variable.unit, variable.why

    def _assumed_variable(self, name: str) -> tuple[str, ...]:
        variable = self.capacity.definitions.assumed[name]
        return (
            f"`{name}`",
            format_exact(variable.value),
            f"{format_exact(variable.low)} to {format_exact(variable.high)}",
            variable.unit,
            variable.why,
        )

    def _derived_variable(self, name: str) -> tuple[str, ...]:
        variable = self.capacity.definitions.derived[name]
        return (
            f"`{name}`",
            f"`{variable.formula}`",
            format_number(self.capacity.evaluator().value(name)),
            variable.unit,
            variable.why,
        )

    def _row(self, evaluated: EvaluatedRow) -> tuple[str, ...]:
        row = evaluated.row
        if evaluated.value is None:
            cells = ("not run", "", "", "not run", "no")
        else:
            budget = "" if evaluated.budget is None else f"{format_number(evaluated.budget)} {row.unit}"
            value_range = (
                ""
                if evaluated.low == evaluated.high
                else f"{format_number(evaluated.low)} to {format_number(evaluated.high)}"
            )
            cells = (
                f"{format_number(evaluated.value)} {row.unit}",
                value_range,
                budget,
                evaluated.verdict,
                _extrapolation_cell(evaluated),
            )
        runs = _sources(row.costs, row.figures) if evaluated.value is not None else row.not_run
        formula_cell = f"`{row.formula}`" if row.formula else ""
        return row.aspect, row.what, formula_cell, *cells, row.mechanism, runs

    def _line(self, line: Line) -> list[str]:
        values = self.capacity.line(line)
        if values is None:
            cells = ("not run" if PLACEHOLDER_PATTERN.search(cell) else cell for cell in line.cells[:-1])
            return [*cells, f"not run: {line.not_run}"]

        def fill(match: re.Match) -> str:
            if match[1] not in values:
                raise RowError(f"{line.table}: {line.cells[0]}: no value {match[1]!r}")
            return format_number(values[match[1]])

        return [PLACEHOLDER_PATTERN.sub(fill, cell) for cell in line.cells]

    def _slopes(self) -> str:
        columns = ("result", "measure", "sizes", "grows with", "fit", "exponent", "residual",
                   "target", "past the largest")  # fmt: skip
        return table(columns, map(_slope, self.capacity.costs()))

    def _older_files(self) -> str:
        lines = [
            (f"`{figure.file}`", f"`{figure.at}`", format_number(value))
            for figure, value in self.capacity.figures()
        ]
        return table(("file", "key", "value"), lines)

    def _runs(self) -> str:
        lines = []
        for name, result in sorted(self.capacity.results.items()):
            digest = hashlib.sha256((self.folder / f"{name}.json").read_bytes()).hexdigest()[:DIGEST_LENGTH]
            machine = f"{result.machine.cores} cores, {result.machine.python}"
            alone = "yes" if result.alone else "no"
            command = f"`{result.command}`"
            lines.append(
                (f"`{name}`", result.kind, command, result.commit, result.date, machine, alone, digest)
            )
        columns = "result", "kind", "command", "commit", "date", "machine", "alone", "SHA-256"
        return table(columns, lines)


def _extrapolation_cell(evaluated: EvaluatedRow) -> str:
    if not evaluated.fitted_costs:
        return ""
    return "yes" if evaluated.extrapolation <= 1 else f"formula, {evaluated.extrapolation:.3g} times past"


def _sources(costs: list, figures: list) -> str:
    runs = [f"`{cost.result}` {cost.measure}" for cost in costs]
    runs += [
        f"`{figure.result}` {figure.event or figure.figure}" if figure.result else f"`{figure.file}`"
        for figure in figures
    ]
    return "; ".join(dict.fromkeys(runs)) or "arithmetic"


def _slope(fitted_cost: FittedCost) -> tuple[str, ...]:
    fitted = fitted_cost.fit
    term_suffixes = {
        "constant": "",
        "linear": " n",
        "log n": " ln n",
        "n log n": " n ln n",
        "quadratic": " n²",
    }
    text = format_number(fitted.intercept)
    if fitted.term != "constant":
        text += f" + {format_number(fitted.slope)}{term_suffixes[fitted.term]}"
    ratio = fitted.extrapolation(fitted_cost.size)
    return (
        f"`{fitted_cost.cost.result}`",
        fitted_cost.cost.measure,
        f"{format_number(fitted.smallest)} to {format_number(fitted.largest)}",
        "nothing (constant)" if fitted.term == "constant" else fitted.term,
        f"{text} {fitted_cost.unit}",
        format_exponent(fitted.exponent),
        f"{fitted.residual:.0%}",
        f"{format_number(fitted_cost.size)} (`{fitted_cost.cost.size}`)",
        "played" if ratio <= 1 else f"{ratio:.3g} times",
    )


def unverified_numbers(text: str, capacity: Capacity) -> list[str]:
    """Numbers in the prose that are not a variable's value and so cannot be verified."""
    definitions = capacity.definitions
    allowed = {format_exact(variable.value) for variable in definitions.told.values()}
    allowed |= {
        format_exact(end)
        for variable in definitions.assumed.values()
        for end in (variable.value, variable.low, variable.high)
    }
    allowed |= {format_number(capacity.evaluator().value(name)) for name in definitions.derived}
    prose = CODE_PATTERN.sub("", TABLE_PATTERN.sub("", text))
    return [number for number in NUMBER_PATTERN.findall(prose) if number not in allowed]
