"""Results of scale runs: one JSON file per run, every field checked on writing and on reading.

A run is a `Sweep` (values measured at several sizes of one variable) or a `FaultRun` (events simulated in a
fleet). `commit`, `date` and `machine` may be left out: `write` fills them in.

    points = [Point(50, 11.0), Point(400, 20.0), Point(1000, 40.0), Point(3000, 99.0)]
    sweep = Sweep(
        name="module-call-by-servers",
        what="Processor time of one call.",
        command="...",
        kind="module",
        alone=True,
        variable="servers",
        variable_unit="servers",
        fixed={"nodes": 420},
        measures=[Measure(name="call_us", unit="us", control=False, plays=3, points=points)],
    )
    write(sweep)
    sweep = read_sweep(FOLDER / "module-call-by-servers.json")
"""

import datetime
import math
import os
import platform
import re
import subprocess
from pathlib import Path
from typing import Literal

import msgspec

FOLDER = Path(__file__).resolve().parents[3] / "benchmarks" / "scale" / "results"
"""The folder of the results that docs/CAPACITY.md is made from."""

MIN_SIZES = 4
"""Fewer sizes do not determine a slope."""

Kind = Literal["module", "reducer", "hollow", "real", "sockets"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]*")
COMMIT_PATTERN = re.compile(r"[0-9a-f]{7,40}\+?")
"""A trailing plus means that the checkout differed from that commit."""

POINT_PATTERN = re.compile(rb"\[\s+([-+.\deE]+),\s+([-+.\deE]+)\s+\]")
"""A point in indented JSON, which `write` puts on one line."""


class ResultError(ValueError):
    """A result that cannot be used; the message begins with its file or name and names the field."""


class Machine(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The machine on which a run was made."""

    cores: int
    memory_gib: float
    python: str


class Point(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A measured value; in JSON `[size, value]`."""

    size: float
    value: float


class Measure(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What was measured at each size, sizes ascending."""

    name: str
    unit: str
    control: bool
    """True: control work (list, configuration, health, membership). False: clients' lines."""
    points: list[Point]
    plays: int
    """Number of repetitions that each point was computed from."""


class ResultHeader(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The fields that every result has."""

    name: str
    what: str
    """One sentence: what was done and counted."""
    command: str
    kind: Kind
    alone: bool
    """True: no other load was on the machine."""
    commit: str = ""
    date: str = ""
    """The day on which the run ended, `YYYY-MM-DD`."""
    machine: Machine | None = None


class Sweep(
    ResultHeader,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="schema",
    tag="cottonspread-scale-sweep/1",
):
    """Values at several sizes of one variable, all else fixed."""

    variable: str
    variable_unit: str
    fixed: dict[str, float | str | bool]
    measures: list[Measure]

    def measure(self, name: str) -> Measure:
        """The measure of that name; ResultError where there is none."""
        for measure in self.measures:
            if measure.name == name:
                return measure
        raise ResultError(f"{self.name}: no measure {name!r}")


class FaultRow(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One event simulated in a fleet."""

    event: str
    figures: dict[str, float]
    """Values by name; a name ends with its unit (`lost_connections`, `longest_silence_ms`)."""
    seconds_until_whole: float | None
    """Seconds until the fleet had recovered; None: it had not at the end of the run."""
    rules_broken: int
    notes: str


class FaultRun(
    ResultHeader,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="schema",
    tag="cottonspread-scale-faults/1",
):
    """Events simulated from a seed in a fleet of `nodes` nodes."""

    nodes: int
    seed: int
    rows: list[FaultRow]

    def row(self, event: str) -> FaultRow:
        """The row of that event; ResultError where there is none."""
        for row in self.rows:
            if row.event == event:
                return row
        raise ResultError(f"{self.name}: no event {event!r}")


Result = Sweep | FaultRun


def current_machine() -> Machine:
    """The machine that this process runs on."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    cores = len(os.sched_getaffinity(0))
    return Machine(cores=cores, memory_gib=round(memory / 2**30, 1), python=platform.python_version())


def current_commit() -> str:
    """The commit of this module's checkout, with a plus if Python files differ from it."""
    folder = Path(__file__).parent
    commit = _git(folder, "rev-parse", "--short=12", "HEAD")
    changed = _git(folder, "status", "--porcelain", "--untracked-files=no", "--", ":/*.py")
    return commit + "+" if changed else commit


def write(result: Result, folder: Path = FOLDER) -> Path:
    """Fills in commit, date and machine if empty, checks, writes `NAME.json` atomically; returns its path."""
    result.commit = result.commit or current_commit()
    result.date = result.date or datetime.date.today().isoformat()
    result.machine = result.machine or current_machine()
    text = POINT_PATTERN.sub(rb"[\1, \2]", msgspec.json.format(msgspec.json.encode(result), indent=1))
    _decode(text, result.name)
    path = Path(folder) / f"{result.name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    partial = path.with_suffix(".json.new")
    partial.write_bytes(text + b"\n")
    os.replace(partial, path)
    return path


def read(path: Path) -> Result:
    """The result in the file; ResultError if it is missing or faulty, or its name is not the file's."""
    path = Path(path)
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ResultError(f"{path.name}: {error.strerror}") from None
    result = _decode(text, path.name)
    if result.name != path.stem:
        raise ResultError(f"{path.name}: name: {result.name!r} differs from the file's")
    return result


def read_sweep(path: Path) -> Sweep:
    """Like `read`; ResultError if it is not a sweep."""
    result = read(path)
    if not isinstance(result, Sweep):
        raise ResultError(f"{Path(path).name}: not a sweep")
    return result


def read_fault_run(path: Path) -> FaultRun:
    """Like `read`; ResultError if it is not a fault run."""
    result = read(path)
    if not isinstance(result, FaultRun):
        raise ResultError(f"{Path(path).name}: not a fault run")
    return result


def read_all(folder: Path = FOLDER) -> dict[str, Result]:
    """All results of a folder by name."""
    return {path.stem: read(path) for path in sorted(Path(folder).glob("*.json"))}


def check(result: Result) -> None:
    """Checks the values of all fields, whose types msgspec checks; raises ResultError at the first fault."""
    _check_header(result)
    if isinstance(result, Sweep):
        _check_sweep(result)
    else:
        _check_fault_run(result)


def _decode(text: bytes, where: str) -> Result:
    try:
        result = msgspec.json.decode(text, type=Result)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ResultError(f"{where}: {error}") from None
    check(result)
    return result


def _check_header(result: ResultHeader) -> None:
    _require(
        result,
        "name",
        NAME_PATTERN.fullmatch(result.name) is not None,
        "only lower case letters, digits and hyphens are allowed",
    )
    _require(result, "what", result.what.strip() != "", "a sentence is required")
    _require(result, "command", result.command.strip() != "", "the command is required")
    _require(result, "commit", COMMIT_PATTERN.fullmatch(result.commit) is not None, "a commit is required")
    _require(result, "date", _is_date(result.date), "YYYY-MM-DD is required")
    machine = result.machine
    _require(result, "machine", machine is not None, "is missing")
    _require(result, "machine.cores", machine.cores >= 1, "at least one required")
    _require(
        result,
        "machine.memory_gib",
        _is_non_negative(machine.memory_gib) and machine.memory_gib > 0,
        "must be over 0",
    )
    _require(result, "machine.python", machine.python.strip() != "", "a version is required")


def _check_sweep(sweep: Sweep) -> None:
    _require(sweep, "variable", sweep.variable.strip() != "", "is empty")
    _require(sweep, "variable_unit", sweep.variable_unit.strip() != "", "is empty")
    _require(sweep, "measures", sweep.measures != [], "is empty")
    names = [measure.name for measure in sweep.measures]
    _require(sweep, "measures", len(set(names)) == len(names), "duplicate name")
    for measure in sweep.measures:
        _check_measure(sweep, measure)


def _check_measure(sweep: Sweep, measure: Measure) -> None:
    where = f"measures.{measure.name}"
    _require(
        sweep, where, measure.name.strip() != "" and measure.unit.strip() != "", "name and unit are required"
    )
    _require(sweep, where, measure.plays >= 1, "plays: at least one required")
    sizes = [point.size for point in measure.points]
    _require(sweep, where, len(sizes) >= MIN_SIZES, f"points: at least {MIN_SIZES} sizes required")
    _require(
        sweep, where, all(map(_is_non_negative, sizes)) and sizes[0] > 0, "points: sizes over 0 required"
    )
    _require(sweep, where, sizes == sorted(set(sizes)), "points: sizes must ascend")
    _require(
        sweep,
        where,
        all(_is_non_negative(point.value) for point in measure.points),
        "points: values under 0 are not allowed",
    )


def _check_fault_run(run: FaultRun) -> None:
    _require(run, "nodes", run.nodes >= 1, "at least one required")
    _require(run, "rows", run.rows != [], "is empty")
    events = [row.event for row in run.rows]
    _require(run, "rows", len(set(events)) == len(events), "duplicate event")
    for row in run.rows:
        where = f"rows.{row.event}"
        _require(run, where, row.event.strip() != "", "event is empty")
        _require(
            run,
            where,
            all(math.isfinite(value) for value in row.figures.values()),
            "figures: values must be finite",
        )
        recovery_s = row.seconds_until_whole
        _require(
            run,
            where,
            recovery_s is None or _is_non_negative(recovery_s),
            "seconds_until_whole: must not be under 0",
        )
        _require(run, where, row.rules_broken >= 0, "rules_broken: must not be under 0")


def _require(result: ResultHeader, field: str, condition: bool, why: str) -> None:
    if not condition:
        raise ResultError(f"{result.name}: {field}: {why}")


def _is_non_negative(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def _is_date(text: str) -> bool:
    try:
        return datetime.date.fromisoformat(text).isoformat() == text
    except ValueError:
        return False


def _git(folder: Path, *arguments: str) -> str:
    try:
        done = subprocess.run(["git", *arguments], cwd=folder, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise ResultError(f"commit: git {arguments[0]}: {error}") from None
    return done.stdout.strip()
