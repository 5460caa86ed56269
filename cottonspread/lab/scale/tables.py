"""The tables of the capacity page as text, and their places in it.

A table stands between `<!-- table NAME -->` and `<!-- end -->`; all between is written anew. Text outside is
prose, in which no figure may stand but the variables' own: a figure without its run cannot be checked.
"""

import hashlib
import math
import re
from collections.abc import Iterable
from pathlib import Path

from cottonspread.lab.scale.capacity import Capacity, Line, RowError, Used, Worked

BEGIN = re.compile(r"<!-- table (?P<name>[a-z0-9 ,'-]+) -->\n(?P<text>.*?)<!-- end -->", re.DOTALL)
PLACE = re.compile(r"\{([a-z_][a-z0-9_]*)\}")
CODE = re.compile(r"`[^`]*`|\]\([^)]*\)|<!--.*?-->", re.DOTALL)
NUMBER = re.compile(r"(?<![\w.,])\d[\d,]*(?:\.\d+)?")
ROLE_COLUMNS = ("aspect", "what", "formula", "at the target", "over the range", "budget", "verdict",
                "played", "mechanism", "run")  # fmt: skip
DIGEST = 12
"""Characters of a result file's SHA-256 that the page shows."""


def number(value: float) -> str:
    """A figure for people: three digits that tell, four from a thousand on."""
    if value == 0:
        return "0"
    if math.isinf(value):
        return "not within the play"
    digits = 4 if abs(value) >= 1000 else 3
    rounded = float(f"{value:.{digits}g}")
    if abs(rounded) >= 1000 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0") if abs(rounded) >= 0.001 else f"{rounded:.2g}"


def exact(value: float) -> str:
    """A variable as it was told."""
    return f"{value:,.0f}" if value == int(value) else f"{value:,}"


def table(columns: Iterable[str], lines: Iterable[Iterable[str]]) -> str:
    """A table in Markdown."""
    rows = [list(columns), *(list(line) for line in lines)]
    text = ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]
    text.insert(1, "| " + " | ".join("---" for _ in rows[0]) + " |")
    return "\n".join(text) + "\n"


class Page:
    """The tables by name."""

    def __init__(self, capacity: Capacity, folder: Path):
        self.capacity, self.folder = capacity, folder

    def write(self, text: str) -> str:
        """The page with every table written anew. RowError where a table is unknown or has no place."""
        seen = [match["name"] for match in BEGIN.finditer(text)]
        doubled = {name for name in seen if seen.count(name) > 1}
        if doubled:
            raise RowError(f"tables that are there twice: {sorted(doubled)}")
        lacking = [name for name in self.wanted() if name not in seen]
        if lacking:
            raise RowError(f"tables without a place in the page: {lacking}")
        return BEGIN.sub(
            lambda match: f"<!-- table {match['name']} -->\n{self.table(match['name'])}<!-- end -->", text
        )

    def wanted(self) -> list[str]:
        """The names of all tables that the page has to have."""
        roles = {
            f"{row.role}, {'control' if row.control else 'lines'}": None for row in self.capacity.book.row
        }
        return ["told", "assumed", "derived", "slopes", "older", "runs", *self.capacity.book.tables, *roles]

    def table(self, name: str) -> str:
        """One table's text."""
        book = self.capacity.book
        match name:
            case "told":
                return table(("name", "value", "unit", "where from"), map(self._told, book.told))
            case "assumed":
                columns = "name", "value", "range", "unit", "why"
                return table(columns, map(self._assumed, book.assumed))
            case "derived":
                columns = "name", "formula", "value", "unit", "why"
                return table(columns, map(self._derived, book.derived))
            case "slopes":
                return self._slopes()
            case "older":
                return self._older()
            case "runs":
                return self._runs()
        if name in book.tables:
            lines = [self._line(line) for line in book.line if line.table == name]
            return table(book.tables[name], lines)
        role, _, kind = name.rpartition(", ")
        rows = self.capacity.rows(role, kind == "control")
        if not rows:
            raise RowError(f"no table is named {name!r}")
        return table(ROLE_COLUMNS, map(self._row, rows))

    def _told(self, name: str) -> tuple[str, ...]:
        one = self.capacity.book.told[name]
        return f"`{name}`", exact(one.value), one.unit, one.why

    def _assumed(self, name: str) -> tuple[str, ...]:
        one = self.capacity.book.assumed[name]
        return f"`{name}`", exact(one.value), f"{exact(one.low)} to {exact(one.high)}", one.unit, one.why

    def _derived(self, name: str) -> tuple[str, ...]:
        one = self.capacity.book.derived[name]
        return f"`{name}`", f"`{one.formula}`", number(self.capacity.sheet().value(name)), one.unit, one.why

    def _row(self, worked: Worked) -> tuple[str, ...]:
        row = worked.row
        if worked.value is None:
            told = ("not run", "", "", "not run", "no")
        else:
            budget = "" if worked.budget is None else f"{number(worked.budget)} {row.unit}"
            span = "" if worked.low == worked.high else f"{number(worked.low)} to {number(worked.high)}"
            told = (f"{number(worked.value)} {row.unit}", span, budget, worked.verdict, _played(worked))
        runs = _runs_of(row.costs, row.figures) if worked.value is not None else row.not_run
        work = f"`{row.formula}`" if row.formula else ""
        return row.aspect, row.what, work, *told, row.mechanism, runs

    def _line(self, line: Line) -> list[str]:
        values = self.capacity.line(line)
        if values is None:
            known = ("not run" if PLACE.search(cell) else cell for cell in line.cells[:-1])
            return [*known, f"not run: {line.not_run}"]

        def filled(match: re.Match) -> str:
            if match[1] not in values:
                raise RowError(f"{line.table}: {line.cells[0]}: no value {match[1]!r}")
            return number(values[match[1]])

        return [PLACE.sub(filled, cell) for cell in line.cells]

    def _slopes(self) -> str:
        columns = ("result", "measure", "sizes", "grows with", "fit", "exponent", "residual",
                   "target", "past the largest")  # fmt: skip
        return table(columns, map(_slope, self.capacity.costs()))

    def _older(self) -> str:
        lines = [(f"`{one.file}`", f"`{one.at}`", number(value)) for one, value in self.capacity.figures()]
        return table(("file", "key", "value"), lines)

    def _runs(self) -> str:
        lines = []
        for name, result in sorted(self.capacity.results.items()):
            digest = hashlib.sha256((self.folder / f"{name}.json").read_bytes()).hexdigest()[:DIGEST]
            machine = f"{result.machine.cores} cores, {result.machine.python}"
            alone = "yes" if result.alone else "no"
            command = f"`{result.command}`"
            lines.append(
                (f"`{name}`", result.kind, command, result.commit, result.date, machine, alone, digest)
            )
        columns = "result", "kind", "command", "commit", "date", "machine", "alone", "SHA-256"
        return table(columns, lines)


def _played(worked: Worked) -> str:
    if not worked.used:
        return ""
    return "yes" if worked.beyond <= 1 else f"formula, {worked.beyond:.3g} times past"


def _runs_of(costs: list, figures: list) -> str:
    runs = [f"`{cost.result}` {cost.measure}" for cost in costs]
    runs += [
        f"`{one.result}` {one.event or one.figure}" if one.result else f"`{one.file}`" for one in figures
    ]
    return "; ".join(dict.fromkeys(runs)) or "arithmetic"


def _slope(used: Used) -> tuple[str, ...]:
    found = used.fit
    grown = {"constant": "", "linear": " n", "log n": " ln n", "n log n": " n ln n", "quadratic": " n²"}
    text = number(found.intercept)
    if found.term != "constant":
        text += f" + {number(found.slope)}{grown[found.term]}"
    past = found.beyond(used.size)
    return (
        f"`{used.cost.result}`",
        used.cost.measure,
        f"{number(found.smallest)} to {number(found.largest)}",
        "nothing (constant)" if found.term == "constant" else found.term,
        f"{text} {used.unit}",
        f"{found.exponent:.2f}",
        f"{found.residual:.0%}",
        f"{number(used.size)} (`{used.cost.size}`)",
        "played" if past <= 1 else f"{past:.3g} times",
    )


def stray_figures(text: str, capacity: Capacity) -> list[str]:
    """Numbers in the prose that are no variable's value: they could not be checked."""
    book = capacity.book
    known = {exact(one.value) for one in book.told.values()}
    known |= {exact(end) for one in book.assumed.values() for end in (one.value, one.low, one.high)}
    known |= {number(capacity.sheet().value(name)) for name in book.derived}
    prose = CODE.sub("", BEGIN.sub("", text))
    return [found for found in NUMBER.findall(prose) if found not in known]
