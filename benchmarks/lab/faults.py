"""Measures the behaviour during each fault: the same experiment once for every fault, results as JSON.

`faults.py OUT [SECONDS]`. Two nodes, six hosts at a third of their capacity; the fault starts at 6 s.
"""

import json
import os
import sys

import msgspec

from cottonspread.lab import plan as plans
from cottonspread.lab import results
from cottonspread.lab.run import LabRun

FAULTS = {
    "none": [],
    "hang": [("hang", 4, 0.2)],
    "slow": [("slow", 6, 0.2)],
    "jam": [("jam", 3, 0.2)],
    "reset": [("reset", 0, 0.2)],
    "refuse": [("refuse", 4, 0.2)],
    "vanish": [("vanish", 5, 0.2)],
    "half-dead": [("half-dead", 5, 0.2)],
    "cold": [("cold", 2, 0.5)],
    "drain": [("drain", 5, 0.34)],
    "list-cut": [("list-cut", 6, 0), ("cold", 2, 0.2)],
    "list-restart": [("list-restart", 0, 0)],
    "list-garbage": [("list-garbage", 0, 0), ("drain", 5, 0.2)],
    "freeze": [("freeze", 3, 0.5)],
    "kill": [("kill", 1, 0.5)],
    "stop": [("stop", 0.1, 0.5)],
    "reload": [("reload", 0, 1.0)],
}


def experiment(name, seconds):
    faults = [{"at": 6, "kind": kind, "seconds": span, "share": share} for kind, span, share in FAULTS[name]]
    types = [
        {"name": "farm-view", "share": 0.4, "revenue": 5, "life_s": 8, "load_us": 8000},
        {
            "name": "field-save",
            "share": 0.3,
            "revenue": 2,
            "life_s": 6,
            "load_us": 4000,
            "effect": "referenced",
            "scope": "all",
            "remembered_ms": 10000,
        },
        {
            "name": "market-prices",
            "share": 0.3,
            "target_ms": 500,
            "guard_ms": 2000,
            "life_s": 3,
            "load_us": 6000,
            "effect": "once-only",
        },
    ]
    return plans.check(
        msgspec.convert(
            {
                "name": name,
                "seconds": seconds,
                "seed": 21,
                "settle_s": 6,
                "nodes": {"count": 2},
                "hosts": {"count": 6},
                "faults": faults,
                "load": {"groups": 120, "types": types, "shapes": [{"kind": "poisson", "rate": 45}]},
            },
            plans.Experiment,
        )
    )


def main(out, seconds="14"):
    table = {}
    for name in FAULTS:
        lab_run = LabRun(
            experiment(name, float(seconds)), plans.Variant(name="only"), 21, os.path.join(out, name)
        )
        lab_run.run()
        r = results.evaluate(lab_run)
        table[name] = {
            "usable": r.usable,
            "late_p999_us": r.lateness.p999,
            "stolen_s": r.stolen_s,
            "first_calls_up": r.served_share,
            "revenue": r.revenue,
            "answers": r.answers,
            "setup_p50_ms": r.latency["all"].p50 / 1000,
            "setup_p99_ms": r.latency["all"].p99 / 1000,
            "rules": {k: v["broken"] for k, v in r.audit["rules"].items()},
            "offences": [(o["rule"], o["what"], o["count"]) for o in r.audit["offences"]],
            "cold_budget": r.audit["cold_budget_used"],
        }
        print(name, json.dumps(table[name]), flush=True)
    with open(os.path.join(out, "faults.json"), "w", encoding="utf-8") as file:
        json.dump(table, file, indent=1)


if __name__ == "__main__":
    main(*sys.argv[1:])
