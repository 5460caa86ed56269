"""Runs soak seeds one after the other and writes the audit's result of each, including failures.

    python benchmarks/soak/run.py 1 50 --busy 6 --out benchmarks/soak/results/busy.json
    python benchmarks/soak/run.py 17 17 --without crowd

`--busy`: number of CPU-bound processes to run alongside. `--without`: a kind of fault to leave out; the rest
of the plan is unchanged.
"""

import argparse
import json
import multiprocessing
import subprocess
import sys
from pathlib import Path

from cottonspread.lab.soak import audit, plan, runner


def keep_busy():
    """Uses a core until the process is killed."""
    while True:
        pass


def run_seed(seed, without, checkout):
    """Runs one seed and returns its row of the results."""
    record = runner.SoakRun(plan.generate(seed, without), checkout).run()
    violations = audit.violations(record, runner.MAX_WAIT, runner.RESOURCE_LIMITS)
    return {
        "seed": seed,
        "void": audit.invalid_reason(record),
        "broken": violations[:20],
        "broken_count": len(violations),
        "calls": len(record.calls),
        "attempts": len(record.attempts),
        "troubles": [fault["what"] for fault in record.faults],
        "ready_s": round(record.ready_s, 2),
        "ended_s": round(record.ended_s, 3),
        "memory_mb": round(record.memory_mb, 1),
        "descriptors": record.descriptors,
        "late_s": round(record.late_s, 3),
        "late_cpu_s": round(record.late_cpu_s, 3),
        "load": round(record.load, 1),
    }


def main():
    """Runs the seeds that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--without", action="append", default=[])
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--checkout", type=Path, default=runner.ROOT)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    busy = [multiprocessing.Process(target=keep_busy, daemon=True) for _ in range(args.busy)]
    for process in busy:
        process.start()
    runs = []
    for seed in range(args.first, args.last + 1):
        runs.append(run_seed(seed, args.without, args.checkout))
        print(json.dumps(runs[-1]), flush=True)
    commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=args.checkout, capture_output=True, text=True
    ).stdout.strip()
    counts = {
        "plays": len(runs),
        "void": sum(bool(run["void"]) for run in runs),
        "failed": sum(not run["void"] and bool(run["broken"]) for run in runs),
    }
    command = " ".join(["python benchmarks/soak/run.py", *sys.argv[1:]])
    report = {"commit": commit, "command": command, "busy": args.busy, **counts, "of_each": runs}
    if args.out:
        args.out.write_text(json.dumps(report, indent=1) + "\n")
    print(json.dumps(counts))


if __name__ == "__main__":
    main()
