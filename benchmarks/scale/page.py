#!/usr/bin/env python3
"""Generates the tables of docs/CAPACITY.md from rows.toml and results/*.json.

    python benchmarks/scale/page.py            # writes the page
    python benchmarks/scale/page.py --check    # exit 1 if page, rows and results differ; prints where
    python benchmarks/scale/page.py --plots DIR    # plots with targets and budgets, and scale.html

The check also fails if a result that a row names is missing, if a row is marked as not run although its
results exist, and if the prose has a number that is not the value of a variable.
"""

import argparse
import difflib
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from cottonspread.lab.scale import capacity, formula, results, tables  # noqa: E402  from this checkout


def problems_of(page: Path, rows: Path, folder: Path) -> tuple[list[str], str]:
    """The page's problems, an empty list if it is right, and the text that it should have."""
    text = page.read_text(encoding="utf-8")
    try:
        model = capacity.Capacity(capacity.read_definitions(rows), results.read_all(folder), ROOT)
        wanted = tables.Page(model, folder).generate(text)
        unverified = tables.unverified_numbers(text, model)
    except (capacity.RowError, results.ResultError, formula.FormulaError) as error:
        return [str(error)], text
    differing = difflib.unified_diff(
        text.splitlines(), wanted.splitlines(), "page", "results", n=0, lineterm=""
    )
    return [
        *differing,
        *(f"a number in the prose that is not a variable's value: {found}" for found in unverified),
    ], wanted


def write_plots(rows: Path, folder: Path, out: Path) -> Path:
    """Plots all sweeps with the rows' targets and budgets; returns the page that shows them."""
    from cottonspread.lab.scale import plots  # imports matplotlib, which only plots need

    found = results.read_all(folder)
    targets = plots.targets_of(capacity.Capacity(capacity.read_definitions(rows), found, ROOT))
    return plots.report(found.values(), out, targets)


def main(arguments: list[str] | None = None) -> int:
    """Runs the command; returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--check", action="store_true", help="write nothing; exit 1 if anything differs")
    parser.add_argument("--page", type=Path, default=ROOT / "docs" / "CAPACITY.md")
    parser.add_argument("--rows", type=Path, default=Path(__file__).with_name("rows.toml"))
    parser.add_argument("--results", type=Path, default=results.FOLDER)
    parser.add_argument("--plots", type=Path, metavar="DIR", help="write plots there, and nothing else")
    options = parser.parse_args(arguments)
    if options.plots:
        print(write_plots(options.rows, options.results, options.plots))
        return 0
    problems, wanted = problems_of(options.page, options.rows, options.results)
    if not options.check and wanted != options.page.read_text(encoding="utf-8"):
        partial = options.page.with_suffix(".md.new")
        partial.write_text(wanted, encoding="utf-8")
        os.replace(partial, options.page)
        problems, _ = problems_of(options.page, options.rows, options.results)
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
