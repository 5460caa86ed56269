"""Results of scale runs: written results are read back, and errors name the faulty field."""

import json

import msgspec
import pytest

from cottonspread.lab.scale import results
from cottonspread.lab.scale.results import FaultRow, FaultRun, Measure, Point, ResultError, Sweep

SIZES = (50, 400, 1000, 3000)


def sweep(**changed):
    """A valid sweep, as a run passes it to `write`."""
    measure = Measure(
        name="call_us", unit="us", control=False, plays=3, points=[Point(size, size / 10) for size in SIZES]
    )
    fields = dict(
        name="module-call-by-servers",
        what="Processor time of one call.",
        command="cottonspread lab scale module",
        kind="module",
        alone=True,
        variable="servers",
        variable_unit="servers",
        fixed={"nodes": 420, "grouped": True, "site": "trentside"},
        measures=[measure],
    )
    return Sweep(**fields | changed)


def fault_run(**changed):
    """A valid fault run, as a run passes it to `write`."""
    row = FaultRow(
        event="zone-lost", figures={"lost": 4e6}, seconds_until_whole=31.5, rules_broken=0, notes=""
    )
    fields = dict(
        name="fault-zone",
        what="A zone is lost.",
        command="cottonspread lab scale faults",
        kind="hollow",
        alone=False,
        nodes=420,
        seed=7,
        rows=[row],
    )
    return FaultRun(**fields | changed)


def write_json(folder, result):
    """Writes the result; returns its JSON as Python values, and its path."""
    path = results.write(result, folder)
    return json.loads(path.read_text()), path


@pytest.mark.parametrize("make, read", [(sweep, results.read_sweep), (fault_run, results.read_fault_run)])
def test_written_results_are_read_back(tmp_path, make, read):
    result = make()
    path = results.write(result, tmp_path)
    assert path == tmp_path / f"{result.name}.json"
    assert read(path) == result
    assert results.read_all(tmp_path) == {result.name: result}


def test_commit_date_and_machine_are_filled_in(tmp_path):
    fields, _ = write_json(tmp_path, sweep())
    assert results.COMMIT_PATTERN.fullmatch(fields["commit"])
    assert fields["machine"] == msgspec.to_builtins(results.current_machine())
    assert fields["machine"]["cores"] >= 1 and fields["machine"]["memory_gib"] > 0
    assert len(fields["date"]) == 10


def test_a_given_commit_and_date_are_kept(tmp_path):
    fields, _ = write_json(tmp_path, sweep(commit="d082d9a", date="2026-12-01"))
    assert (fields["commit"], fields["date"]) == ("d082d9a", "2026-12-01")


def test_a_point_is_written_on_one_line(tmp_path):
    fields, path = write_json(tmp_path, sweep())
    assert fields["measures"][0]["points"] == [[50, 5.0], [400, 40.0], [1000, 100.0], [3000, 300.0]]
    assert "[50, 5.0],\n" in path.read_text()


def test_an_unknown_measure_or_event_is_an_error():
    with pytest.raises(ResultError, match="module-call-by-servers: no measure 'other'"):
        sweep().measure("other")
    assert sweep().measure("call_us").unit == "us"
    with pytest.raises(ResultError, match="fault-zone: no event 'rack-lost'"):
        fault_run().row("rack-lost")
    assert fault_run().row("zone-lost").seconds_until_whole == 31.5


def test_a_missing_file_and_the_wrong_kind_are_errors(tmp_path):
    with pytest.raises(ResultError, match="none.json: No such file"):
        results.read(tmp_path / "none.json")
    with pytest.raises(ResultError, match="fault-zone.json: not a sweep"):
        results.read_sweep(results.write(fault_run(), tmp_path))
    with pytest.raises(ResultError, match="not a fault run"):
        results.read_fault_run(results.write(sweep(), tmp_path))


def test_a_file_with_another_name_is_rejected(tmp_path):
    path = results.write(sweep(), tmp_path)
    with pytest.raises(ResultError, match="other.json: name:"):
        results.read(path.rename(tmp_path / "other.json"))


HEADER_FAULTS = [
    ("name", "Not A Name", "name"),
    ("what", " ", "what"),
    ("command", "", "command"),
    ("commit", "yesterday", "commit"),
    ("date", "2026-13-01", "date"),
    ("date", "20261201", "date"),
    ("kind", "guess", "kind"),
    ("alone", "yes", "alone"),
    ("machine", None, "machine"),
    ("machine", {"cores": 0, "memory_gib": 8.0, "python": "3.11"}, "machine.cores"),
    ("machine", {"cores": 8, "memory_gib": 0.0, "python": "3.11"}, "machine.memory_gib"),
    ("machine", {"cores": 8, "memory_gib": 8.0, "python": ""}, "machine.python"),
    ("unheard-of", 1, "unheard-of"),
]
SWEEP_FAULTS = [
    ("variable", "", "variable"),
    ("variable_unit", "", "variable_unit"),
    ("fixed", {"nodes": None}, "fixed"),
    ("measures", [], "measures"),
]
MEASURE_FAULTS = [
    ("name", "", "measures"),
    ("unit", " ", "measures.call_us"),
    ("control", 1, "control"),
    ("plays", 0, "plays"),
    ("points", [[50, 1], [400, 2], [1000, 3]], "at least 4 sizes"),
    ("points", [[0, 1], [50, 1], [400, 2], [1000, 3]], "sizes over 0"),
    ("points", [[50, 1], [400, 2], [400, 3], [1000, 4]], "ascend"),
    ("points", [[400, 1], [50, 2], [1000, 3], [3000, 4]], "ascend"),
    ("points", [[50, 1], [400, -2], [1000, 3], [3000, 4]], "under 0"),
    ("points", [[50, 1], [400, None], [1000, 3], [3000, 4]], "points"),
    ("points", [[50, 1, 7], [400, 2], [1000, 3], [3000, 4]], "at most length 2"),
]
RUN_FAULTS = [("nodes", 0, "nodes"), ("rows", [], "rows"), ("seed", 0.5, "seed")]
ROW_FAULTS = [
    ("event", "", "event"),
    ("figures", {"lost": "many"}, "figures"),
    ("seconds_until_whole", -1, "seconds_until_whole"),
    ("rules_broken", -1, "rules_broken"),
]


def assert_rejected(folder, fields, path, why):
    path.write_text(json.dumps(fields))
    with pytest.raises(ResultError, match=why):
        results.read(path)


@pytest.mark.parametrize("make", [sweep, fault_run])
@pytest.mark.parametrize("field, value, why", HEADER_FAULTS)
def test_a_faulty_header_is_rejected(tmp_path, make, field, value, why):
    fields, path = write_json(tmp_path, make())
    fields[field] = value
    assert_rejected(tmp_path, fields, path, why)


@pytest.mark.parametrize("field, value, why", SWEEP_FAULTS)
def test_a_faulty_sweep_is_rejected(tmp_path, field, value, why):
    fields, path = write_json(tmp_path, sweep())
    fields[field] = value
    assert_rejected(tmp_path, fields, path, why)


@pytest.mark.parametrize("field, value, why", MEASURE_FAULTS)
def test_a_faulty_measure_is_rejected(tmp_path, field, value, why):
    fields, path = write_json(tmp_path, sweep())
    fields["measures"][0][field] = value
    assert_rejected(tmp_path, fields, path, why)


@pytest.mark.parametrize("field, value, why", RUN_FAULTS)
def test_a_faulty_fault_run_is_rejected(tmp_path, field, value, why):
    fields, path = write_json(tmp_path, fault_run())
    fields[field] = value
    assert_rejected(tmp_path, fields, path, why)


@pytest.mark.parametrize("field, value, why", ROW_FAULTS)
def test_a_faulty_fault_row_is_rejected(tmp_path, field, value, why):
    fields, path = write_json(tmp_path, fault_run())
    fields["rows"][0][field] = value
    assert_rejected(tmp_path, fields, path, why)


@pytest.mark.parametrize("make", [sweep, fault_run])
def test_no_field_may_be_missing(tmp_path, make):
    fields, path = write_json(tmp_path, make())
    for field in fields:
        missing = {key: value for key, value in fields.items() if key != field}
        assert_rejected(tmp_path, missing, path, field)


def test_duplicate_names_are_rejected(tmp_path):
    fields, path = write_json(tmp_path, sweep())
    fields["measures"] *= 2
    assert_rejected(tmp_path, fields, path, "duplicate name")
    fields, path = write_json(tmp_path, fault_run())
    fields["rows"] *= 2
    assert_rejected(tmp_path, fields, path, "duplicate event")


def test_a_faulty_result_is_not_written(tmp_path):
    faulty = sweep(measures=[])
    with pytest.raises(ResultError):
        results.write(faulty, tmp_path)
    infinite = sweep()
    infinite.measures[0].points[0].value = float("inf")
    with pytest.raises(ResultError):
        results.write(infinite, tmp_path)
    assert list(tmp_path.iterdir()) == []


def test_a_file_that_is_not_json_is_rejected(tmp_path):
    path = tmp_path / "broken.json"
    path.write_text('{"schema": "cottonspread-scale-sweep/1", ')
    with pytest.raises(ResultError, match="broken.json"):
        results.read(path)
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(ResultError, match="broken.json"):
        results.read(path)
