"""docs/CAPACITY.md matches its rows and results; a difference on either side fails the check."""

import importlib.util
import json
import re
import shutil
from pathlib import Path

import pytest

from cottonspread.lab.scale import capacity, tables

ROOT = Path(__file__).resolve().parents[2]
ASPECTS = {"state", "messages", "processor time", "memory", "descriptors", "bytes a second"}
ROLES = {
    "client",
    "front",
    "node",
    "server",
    "list and configuration machine",
    "agent",
    "supervisor",
    "staff's tools",
}


def load_command():
    spec = importlib.util.spec_from_file_location("page", ROOT / "benchmarks" / "scale" / "page.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


page = load_command()


@pytest.fixture
def copy_options(tmp_path):
    """Copies page, rows and results; returns the command's options for the copy."""
    shutil.copy(ROOT / "docs" / "CAPACITY.md", tmp_path / "page.md")
    shutil.copy(ROOT / "benchmarks" / "scale" / "rows.toml", tmp_path / "rows.toml")
    shutil.copytree(ROOT / "benchmarks" / "scale" / "results", tmp_path / "results")
    names = {"--page": "page.md", "--rows": "rows.toml", "--results": "results"}
    return [word for flag, name in names.items() for word in (flag, str(tmp_path / name))]


def number_spans(text):
    """(start, end) of each number in the cells of the page's tables."""
    for table in tables.TABLE_PATTERN.finditer(text):
        for cell in re.finditer(r"\| (\d[\d,.]*)(?= )", table["text"]):
            yield table.start("text") + cell.start(1), table.start("text") + cell.end(1)


def test_the_page_matches_its_rows_and_results(capsys):
    assert page.main(["--check"]) == 0, capsys.readouterr().err


def test_an_unchanged_copy_passes_the_check(copy_options):
    assert page.main(["--check", *copy_options]) == 0


def test_a_changed_number_in_the_page_fails_the_check(copy_options, tmp_path, capsys):
    text = (tmp_path / "page.md").read_text()
    places = list(number_spans(text))
    assert len(places) > 30
    for start, end in places[:: max(1, len(places) // 12)]:
        changed = text[:start] + text[start:end].replace(text[start], str((int(text[start]) + 1) % 10), 1)
        (tmp_path / "page.md").write_text(changed + text[end:])
        assert page.main(["--check", *copy_options]) == 1
        assert (tmp_path / "page.md").read_text() == changed + text[end:], "the check wrote to the page"
    assert page.main(copy_options) == 0
    assert (tmp_path / "page.md").read_text() == text


def test_a_number_in_the_prose_fails_the_check(copy_options, tmp_path, capsys):
    (tmp_path / "page.md").write_text((tmp_path / "page.md").read_text() + "\nIt takes 12.75 ms.\n")
    assert page.main(["--check", *copy_options]) == 1
    assert "12.75" in capsys.readouterr().err


def test_a_changed_value_in_any_result_fails_the_check(copy_options, tmp_path):
    files = sorted((tmp_path / "results").glob("*.json"))
    assert files
    for file in files:
        text = file.read_text()
        fields = json.loads(text)
        if "measures" in fields:
            fields["measures"][-1]["points"][-1][1] += 0.001
        else:
            fields["rows"][-1]["notes"] += "."
        file.write_text(json.dumps(fields))
        assert page.main(["--check", *copy_options]) == 1, file.name
        file.write_text(text)
    assert page.main(["--check", *copy_options]) == 0


def test_a_missing_and_an_additional_result_fail_the_check(copy_options, tmp_path, capsys):
    file = sorted((tmp_path / "results").glob("*.json"))[0]
    aside = tmp_path / "aside"
    file.rename(aside)
    assert page.main(["--check", *copy_options]) == 1
    aside.rename(file)
    fields = json.loads(file.read_text()) | {"name": "further"}
    (tmp_path / "results" / "further.json").write_text(json.dumps(fields))
    assert page.main(["--check", *copy_options]) == 1


def test_a_missing_result_that_a_row_names_leaves_the_page_unchanged(copy_options, tmp_path, capsys):
    """Generating the page must not hide that a result is missing."""
    definitions = capacity.read_definitions(tmp_path / "rows.toml")
    named = {cost.result for row in definitions.row if not row.not_run for cost in row.costs}
    assert named
    (tmp_path / "results" / f"{min(named)}.json").unlink()
    before = (tmp_path / "page.md").read_text()
    assert page.main(copy_options) == 1
    assert f"{min(named)}.json: no such result" in capsys.readouterr().err
    assert (tmp_path / "page.md").read_text() == before


def test_every_role_has_a_row_for_each_of_its_costs():
    rows = capacity.read_definitions(ROOT / "benchmarks" / "scale" / "rows.toml").row
    assert {row.role for row in rows} == ROLES
    for role in ROLES:
        assert {row.aspect for row in rows if row.role == role} >= ASPECTS, role


def test_a_row_that_was_not_run_gives_its_reason_and_no_value():
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    for row in capacity.read_definitions(ROOT / "benchmarks" / "scale" / "rows.toml").row:
        if row.not_run:
            assert f"| {row.what} |" in text and f"| {row.not_run} |" in text
        else:
            assert row.formula, row.what
