"""Plays seeds of the soak one after the other and writes what the audit says of each, failures too.

    python benchmarks/soak/run.py 1 50 --busy 6 --out benchmarks/soak/results/busy.json
    python benchmarks/soak/run.py 17 17 --without crowd

`--busy`: so many processes that spin beside it. `--without`: kinds of trouble left out, the rest as drawn.
"""

import argparse
import json
import multiprocessing
import subprocess
import sys
from pathlib import Path

from cottonspread.lab.soak import audit, plan, runner


def spin():
    """A busy process."""
    while True:
        pass


def play_seed(seed, without, checkout):
    """The verdict on one seed."""
    record = runner.SoakRun(plan.generate(seed, without), checkout).run()
    found = audit.findings(record, runner.LONGEST_WAIT, runner.LIMITS)
    return {
        "seed": seed,
        "void": audit.void(record),
        "broken": found[:20],
        "broken_count": len(found),
        "calls": len(record.calls),
        "attempts": len(record.attempts),
        "troubles": [one["what"] for one in record.faults],
        "ready_s": round(record.ready_s, 2),
        "ended_s": round(record.ended_s, 3),
        "memory_mb": round(record.memory_mb, 1),
        "descriptors": record.descriptors,
        "late_s": round(record.late_s, 3),
        "load": round(record.load, 1),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--without", action="append", default=[])
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--checkout", type=Path, default=runner.ROOT)
    parser.add_argument("--out", type=Path)
    given = parser.parse_args()
    busy = [multiprocessing.Process(target=spin, daemon=True) for _ in range(given.busy)]
    for one in busy:
        one.start()
    plays = []
    for seed in range(given.first, given.last + 1):
        plays.append(play_seed(seed, given.without, given.checkout))
        print(json.dumps(plays[-1]), flush=True)
    commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=given.checkout, capture_output=True, text=True
    ).stdout.strip()
    counts = {
        "plays": len(plays),
        "void": sum(bool(one["void"]) for one in plays),
        "failed": sum(not one["void"] and bool(one["broken"]) for one in plays),
    }
    command = " ".join(["python benchmarks/soak/run.py", *sys.argv[1:]])
    told = {"commit": commit, "command": command, "busy": given.busy, **counts, "of_each": plays}
    if given.out:
        given.out.write_text(json.dumps(told, indent=1) + "\n")
    print(json.dumps(counts))


if __name__ == "__main__":
    main()
