"""Forty instances on one machine: runs benchmarks/fleet/forty.toml and writes results/forty.json.

PYTHONPATH=. python benchmarks/fleet/forty.py [--out FOLDER]     # four minutes; needs an idle machine
"""

import argparse
import json
import re
import statistics
import subprocess
import sys
from pathlib import Path

from cottonspread.lab import record, results

HERE = Path(__file__).parent


def p99(values):
    values = sorted(values)
    return round(values[len(values) * 99 // 100] / 1000, 1) if values else None


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", default="found/forty")
    out = parser.parse_args().out
    if (
        subprocess.run(
            [
                sys.executable,
                "-m",
                "cottonspread",
                "lab",
                "run",
                str(HERE / "forty.toml"),
                "--out",
                out,
                "--quiet",
                "--again",
                "0",
            ]
        ).returncode
        == 2
    ):
        raise SystemExit(2)
    folder = str(Path(out) / "0-only")
    result = results.read(folder)
    start = json.loads((Path(folder) / "start.json").read_text())["start"]
    notes = [n | {"t": n["t"] - start} for n in record.read(folder, "nodes")]
    calls = [c for c in record.read(folder, "load") if c["k"] == "call"]

    def window(since, until):
        selected = [c for c in calls if since <= c["intended"] < until]
        kinds = {}
        for c in selected:
            kind = c["answers"][0][1] if c["answers"] else c["how"]
            kinds[kind] = kinds.get(kind, 0) + 1
        return {
            "calls": len(selected),
            "ends": kinds,
            "set_up_p99_ms": p99(
                [
                    c["answers"][0][0] - c["intended"]
                    for c in selected
                    if c["answers"] and c["answers"][0][1] == "UP"
                ]
            ),
        }

    log = (Path(folder) / "fleet.log").read_text()
    summary = {"calm, 2 to 9 s": window(2_000_000, 9_000_000)}
    for n in notes:
        if n["k"].endswith("-done"):
            began = n["t"] - round(n["s"] * 1e6)
            summary[f"{n['k'][:-5]} at {began // 1_000_000} s"] = {
                "s": n["s"],
                "code": n["code"],
                "said": n["said"],
            } | window(began, n["t"])
    ready = [float(s) for s in re.findall(r"event=ready instances=40 s=([0-9.]+)", log)]
    kills = [n for n in notes if n["k"] == "killed"]
    ended_by_kill = re.findall(r"event=ended instance=n-(\d+) generation=\d+ how=\"signal 9\"", log)
    returned = [int(ms) for ms in re.findall(r"event=returned instance=n-\d+ generation=\d+ ms=(\d+)", log)]
    memory = [node["rss_mb"] for line in result.timeline for node in line["nodes"].values() if node["rss_mb"]]
    summary |= {
        "seconds to start forty until all are ready": ready,
        "memory of an instance, MB": {"median": statistics.median(memory), "most": max(memory)},
        "killed": len(kills),
        "ended by signal 9": len(ended_by_kill),
        "ms from kill -9 to its return": returned,
        "adopted": log.count("event=adopted"),
        "rules": {
            "offences": result.audit["offences"],
            "calls": result.audit["calls"],
            "legs": result.audit["legs"],
            "excused": result.audit["excused"],
        },
        "answers": result.answers,
        "usable": result.usable,
        "reasons": result.reasons,
    }
    (HERE / "results" / "forty.json").write_text(json.dumps(summary, indent=1) + "\n")
    print(json.dumps(summary, indent=1))


if __name__ == "__main__":
    main()
