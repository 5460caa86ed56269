"""Eight instances under load from the lab, with an audit for lost and duplicate answers.

They are reloaded while a server drains, killed, upgraded, and stopped during a burst of calls.
"""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from cottonspread.lab import record, results

ROOT = Path(__file__).parent.parent.parent
pytestmark = pytest.mark.alone  # its timetable is in seconds, and a node that is late gives up calls


def test_eight_instances_reloaded_upgraded_killed_and_stopped_lose_and_double_no_answer(tmp_path_factory):
    out = tmp_path_factory.mktemp("e")  # short: the path of a Unix socket has some hundred bytes at most
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            "cottonspread",
            "lab",
            "run",
            "tests/fleet/eight.toml",
            "--out",
            str(out / "out"),
            "--quiet",
            "--again",
            "0",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=120,
    )
    assert "Traceback" not in process.stdout, process.stdout
    folder = str(out / "out" / "0-only")
    result = results.read(folder)
    events = [n for n in record.read(folder, "nodes") if n["k"].startswith("fleet-")]
    assert [n["code"] for n in events if "code" in n] == [0, 0, 0], events  # reload, upgrade, stop
    # No answer may be lost, duplicated, sent again or sent to a draining server. Rules about milliseconds are
    # checked only where the machine is fast enough (benchmarks).
    timed = {"a leg after the final answer", "no answer before the guard time"}
    assert not [o for o in result.audit["offences"] if o["what"] not in timed], process.stdout
    calls = [c for c in record.read(folder, "load") if c["k"] == "call"]
    start = json.loads((Path(folder) / "start.json").read_text())["start"]
    first_stop = next(n["t"] - start for n in events if n["k"] == "fleet-stop")
    before = [c for c in calls if c["intended"] < first_stop - 500_000]
    kinds = {}
    for c in before:
        kind = c["answers"][0][1] if c["answers"] else c.get("how")
        kinds[kind] = kinds.get(kind, 0) + 1
    assert len(before) > 400 and not kinds.get("refused"), kinds
    stopped = [c for c in calls if first_stop <= c["intended"] < first_stop + 1_000_000]
    assert len(stopped) > 60, "calls of the burst"
    assert any(
        c["answers"] and c["answers"][0][1] == "UP" for c in calls if c["intended"] > first_stop + 5_000_000
    ), "served again after the stop"
