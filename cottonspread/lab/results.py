"""The results of a run, computed from its folder alone: the contents of `results.json`, and comparisons."""

import json
import os

import msgspec
from hdrh.histogram import HdrHistogram

from cottonspread.lab import audit as audits
from cottonspread.lab import plan as plans
from cottonspread.lab import record
from cottonspread.lab.load import MAX_LATENESS, histogram

SCHEMA = "cottonspread-lab-results/1"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Distribution(msgspec.Struct):
    """Count, mean, percentiles and maximum of a histogram, in microseconds."""

    count: int
    mean: float
    p50: int
    p90: int
    p99: int
    p999: int
    max: int


class Results(msgspec.Struct, kw_only=True):
    """The results of one run. Times are microseconds unless a name says otherwise."""

    schema: str
    name: str
    variant: str
    seed: int
    repeat: int
    cut: str  # "" or what interrupted the run, which is valid up to there
    usable: bool  # false: none of its measurements is valid
    reasons: list[str]  # why it is not usable, and warnings
    schedule_sha256: str
    stolen_s: float  # steal time: core seconds that the hypervisor gave to others meanwhile
    offered: int
    seconds: float
    served_share: float  # the share of first calls that came up in the end, retries included
    # of calls that came up within their setup target, over the revenue of all calls but retries
    revenue: float
    answers: dict[str, int]  # number of calls by final answer, or by how they ended without one
    latency: dict[str, Distribution]  # from the intended time to UP, by traffic type; "all"
    lateness: Distribution  # of the load generator itself
    echo: Distribution  # from a line's intended time to its echo
    audit: dict
    nodes: dict[str, dict]  # peak memory, threads and descriptors by node
    timeline: list[dict]
    faults: list[dict]


def distribution(h):
    """Summarizes a histogram."""
    if not h.get_total_count():
        return Distribution(0, 0.0, 0, 0, 0, 0, 0)
    return Distribution(
        h.get_total_count(),
        round(h.get_mean_value(), 1),
        *(int(h.get_value_at_percentile(p)) for p in PERCENTILES),
        int(h.get_max_value()),
    )


def decode_histogram(text):
    """Decodes a histogram from its text form in a record."""
    h = histogram()
    h.add(HdrHistogram.decode(text))
    return h


def audit_folder(folder):
    """Returns (plan, Audit, result of the audit, totals of the load processes) of a run's folder."""
    try:
        with open(os.path.join(folder, "plan.json"), "rb") as file:
            plan = msgspec.json.decode(file.read(), type=plans.Plan)
        with open(os.path.join(folder, "start.json"), "rb") as file:
            start = json.load(file)["start"]
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise plans.PlanError(f"{folder}: {error}") from None
    load = list(record.read(folder, "load"))
    audit = audits.Audit(plan, start, lambda kind: load if kind == "load" else record.read(folder, kind))
    audit_result = audit.run() if plan.experiment.audited else audit.result()
    return plan, audit, audit_result, [line for line in load if line["k"] == "sum"]


def histograms(totals):
    """Returns the histograms (latency by type and "all", lateness, echo), merged over all load processes."""
    latency, lateness, echo = {"all": histogram()}, histogram(), histogram()
    for process_totals in totals:
        for name, text in process_totals["latency"].items():
            h = decode_histogram(text)
            latency.setdefault(name, histogram()).add(h)
            latency["all"].add(h)
        lateness.add(decode_histogram(process_totals["lateness"]))
        echo.add(decode_histogram(process_totals["echo"]))
    return latency, lateness, echo


def tally(calls, traffic_types):
    """Returns ({answer: number of calls}, possible revenue, revenue earned, keys of calls that came up)."""
    answers, possible, earned, came_up = {}, 0.0, 0.0, set()
    for call in calls:
        traffic_type = traffic_types[call["type"]]
        up = call["answers"][0][0] if call["answers"] and call["answers"][0][1] == "UP" else None
        reason = "up" if up is not None else call["answers"][0][1].lower() if call["answers"] else call["how"]
        answers[reason] = answers.get(reason, 0) + 1
        if up is not None:
            came_up.add(call["key"])
        if not call["retry"]:
            possible += traffic_type.revenue
            if up is not None and up - call["intended"] <= traffic_type.target_ms * 1000:
                earned += traffic_type.revenue
    return answers, possible, earned, came_up


def evaluate(run, repeat=0):
    """Evaluates the records in the run's folder and writes `results.json` there atomically."""
    folder = run.folder
    plan, audit, audit_result, totals = audit_folder(folder)
    traffic_types = {t.name: t for t in plan.experiment.load.types}
    latency, lateness, echo = histograms(totals)
    first = [c for c in audit.calls.values() if not c["retry"] and not c["again"]]
    answers, possible, earned, came_up = tally(audit.calls.values(), traffic_types)
    reasons, late = list(run.reasons), distribution(lateness)
    faults = {name: n for process_totals in totals for name, n in process_totals["faults"].items()}
    if late.p999 > MAX_LATENESS:
        reasons.append(
            f"the load generator was late: {late.p999} us at p99.9, limit {MAX_LATENESS}: results invalid"
        )
    lost = {n: c for n, c in faults.items() if n != "ECONNREFUSED"}
    if lost:
        reasons.append(f"calls that the load generator failed to open: {lost}")
    if len(totals) < plan.experiment.load.processes:
        reasons.append("a load process left no totals")
    if run.interrupted_by:
        reasons.append(f"cut off by {run.interrupted_by}")
    result = Results(
        schema=SCHEMA,
        name=plan.experiment.name,
        variant=plan.variant.name,
        seed=plan.seed,
        repeat=repeat,
        cut=run.interrupted_by,
        usable=late.p999 <= MAX_LATENESS
        and not lost
        and not run.interrupted_by
        and len(totals) == plan.experiment.load.processes
        and not any(" died " in r or " ended " in r or "did not stop" in r for r in run.reasons),
        reasons=reasons + run.warnings,
        schedule_sha256=totals[0]["digest"] if totals else "",
        stolen_s=round(run.steal_seconds, 2),
        offered=len(audit.calls),
        seconds=plan.experiment.seconds,
        served_share=round(len(came_up) / len(first), 5) if first else 0.0,
        revenue=round(earned / possible, 5) if possible else 0.0,
        answers=answers,
        latency={name: distribution(h) for name, h in latency.items()},
        lateness=late,
        echo=distribution(echo),
        audit=audit_result,
        nodes={
            n.node.name: {"rss_mb": round(n.max_rss / 1e6, 1), "threads": n.max_threads, "fds": n.max_fds}
            for n in run.nodes
        },
        timeline=run.timeline,
        faults=[msgspec.to_builtins(f) for f in plan.faults],
    )
    write(os.path.join(folder, "results.json"), result)
    return result


def write(path, result):
    """Writes results to a file, atomically."""
    with open(path + ".new", "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(result), indent=1))
    os.replace(path + ".new", path)


def read(folder):
    """Reads the results of a run's folder; PlanError names the key at fault."""
    path = os.path.join(folder, "results.json")
    try:
        with open(path, "rb") as file:
            result = msgspec.json.decode(file.read(), type=Results)
    except OSError as error:
        raise plans.PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise plans.PlanError(f"{path}: {error}") from None
    if result.schema != SCHEMA:
        raise plans.PlanError(f"{path}: schema: {SCHEMA} expected")
    return result


def read_all(folder):
    """Returns the results of a run's folder, or of all runs in a folder ordered by name."""
    if os.path.exists(os.path.join(folder, "results.json")):
        return [read(folder)]
    try:
        inside = sorted(os.listdir(folder))
    except OSError as error:
        raise plans.PlanError(f"{folder}: {error.strerror}") from None
    found = [
        read(os.path.join(folder, name))
        for name in inside
        if not name.startswith("late") and os.path.exists(os.path.join(folder, name, "results.json"))
    ]
    if not found:
        raise plans.PlanError(f"{folder}: holds no results.json")
    return found


METRICS = {
    "served share": lambda r: r.served_share,
    "revenue": lambda r: r.revenue,
    "set-up p50 ms": lambda r: r.latency["all"].p50 / 1000,
    "set-up p99 ms": lambda r: r.latency["all"].p99 / 1000,
    "BUSY": lambda r: r.answers.get("busy", 0),
    "rules broken": lambda r: sum(rule["broken"] for rule in r.audit["rules"].values()),
    "node CPU s": lambda r: round(sum(n["cpu"] for s in r.timeline for n in s["nodes"].values()), 3),
    "node memory MB": lambda r: max((n["rss_mb"] for n in r.nodes.values()), default=0),
}


def compare(pairs):
    """Compares pairs of results of two variants whose runs alternated.

    Returns rows of (metric, [(a, b, b / a or None)], median ratio or None).
    """
    rows = []
    for name, of in METRICS.items():
        values = [(of(a), of(b)) for a, b in pairs]
        ratios = [round(b / a, 4) if a else None for a, b in values]
        known = sorted(r for r in ratios if r is not None)
        median = (
            known[len(known) // 2]
            if len(known) % 2
            else (round((known[len(known) // 2 - 1] + known[len(known) // 2]) / 2, 4) if known else None)
        )
        rows.append((name, [(a, b, r) for (a, b), r in zip(values, ratios, strict=True)], median))
    return rows


def summary_lines(result):
    """Returns the results as a few lines of text."""
    late, all_ = result.lateness, result.latency["all"]
    return [
        f"{result.name} {result.variant} seed {result.seed}: {'usable' if result.usable else 'NOT USABLE'}"
        + "".join(f"; {r}" for r in result.reasons),
        f"offered {result.offered}, came up {result.served_share:.2%} of first calls, "
        f"revenue {result.revenue:.3f}, answers " + json.dumps(result.answers),
        f"set-up ms p50 {all_.p50 / 1000:.2f} p99 {all_.p99 / 1000:.2f} p99.9 {all_.p999 / 1000:.2f} "
        f"max {all_.max / 1000:.2f} (generator late us p50 {late.p50} p99 {late.p99} p99.9 {late.p999} "
        f"max {late.max}; steal time {result.stolen_s} core seconds)",
        *audits.summary_lines(result.audit),
    ]
