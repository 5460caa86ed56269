"""The configuration store at fleet size, in simulated time: fault scenarios, cost sweeps, results as JSON.

    python -m cottonspread.lab.scale.configuration [--small] [--seed N] [--out DIR] [--only NAME ...]

`--small` ends in seconds. Everything but the processor times and memory of `config-replica` and
`config-body` is counted in simulated time and is the same for the same seed on every machine.
"""

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

from cottonspread.configstore import follower as fo
from cottonspread.configstore import messages as m
from cottonspread.configstore import replica as rp
from cottonspread.lab.scale import results
from cottonspread.lab.scale.configuration_network import FleetParameters, to_response
from cottonspread.lab.scale.configuration_scenarios import (
    SCENARIOS,
    RandomPublisherScenario,
    RandomScenario,
    ScenarioRun,
    measure_idle,
    replica_with_watches,
)
from cottonspread.lab.sim.world import SECOND

COMMAND = "python -m cottonspread.lab.scale.configuration"
SMALL = FleetParameters(nodes=24, body_bytes=512)
IDLE_SIZES = 52, 105, 210, 420
REPLICA_SIZES = 105, 210, 420, 840, 1_680
BODY_SIZES = 1_024, 4_096, 16_384, 65_536
RANDOM_SEEDS, RANDOM_SEEDS_SMALL = 400, 10
CPU_TIME_REPEATS = 5
"""Measurements of each processor time; the smallest is reported."""


def run_scenarios(parameters: FleetParameters, seed: int, small: bool, names) -> list[results.FaultRow]:
    """Runs the scenarios, or those in `names`; prints each row as its scenario ends."""
    rows = []
    for scenario in SCENARIOS:
        if names and scenario.__name__ not in names:
            continue
        row = scenario(ScenarioRun(f"{seed}:{scenario.__name__}", parameters, small))
        rows.append(row)
        _print_row(row)
    return rows


def run_random_scenarios(event: str, scenario_class, first: int, count: int) -> results.FaultRow:
    """Runs `scenario_class` with `count` consecutive seeds from `first` on; returns one row for all."""
    scenarios = [scenario_class(seed) for seed in range(first, first + count)]
    failed = [str(first + number) for number, scenario in enumerate(scenarios) if scenario.run()]
    convergence_times = [scenario.convergence_s for scenario in scenarios]
    row = results.FaultRow(
        event=event,
        figures={
            "plays": count,
            "plays_broken": len(failed),
            "events": sum(scenario.fleet.world.events for scenario in scenarios),
            "checks": sum(scenario.fleet.invariants.checks for scenario in scenarios),
        },
        seconds_until_whole=None if None in convergence_times else round(max(convergence_times), 3),
        rules_broken=sum(len(scenario.fleet.invariants.violations) for scenario in scenarios),
        notes=f"seeds {first} to {first + count - 1}"
        + (f"; broken: {' '.join(failed[:10])}" if failed else ""),
    )
    _print_row(row)
    return row


def _print_row(row: results.FaultRow) -> None:
    verdict = f"{row.rules_broken} violations" if row.rules_broken else "holds"
    convergence_s = "-" if row.seconds_until_whole is None else f"{row.seconds_until_whole:.2f} s"
    figures = ", ".join(f"{name} {value:g}" for name, value in row.figures.items())
    print(f"{verdict:14} converged {convergence_s:8} {row.event}: {figures}", flush=True)
    if row.rules_broken:
        print(f"               {row.notes}", flush=True)


def idle_sweep(seed: int, sizes) -> results.Sweep:
    """Bytes and messages of an idle fleet by number of nodes."""
    traffic = {nodes: measure_idle(nodes, seed) for nodes in sizes}
    measures = [
        _measure(
            f"{name}_s", "B/s" if "bytes" in name else "messages/s", {n: traffic[n][name] for n in sizes}
        )
        for name in traffic[sizes[0]]
    ]
    return _sweep(
        "config-idle",
        "Watches of an idle fleet: mean of a node and the busiest of three replicas, both directions.",
        measures,
        "nodes",
        FleetParameters().fixed() | {"seed": seed, "watch_s": 10},
        sizes,
    )


def _measure(name, unit, values: dict[int, float], plays=1) -> results.Measure:
    points = [results.Point(size, value) for size, value in sorted(values.items())]
    return results.Measure(name=name, unit=unit, control=True, plays=plays, points=points)


def _sweep(name, what, measures, variable, fixed, sizes) -> results.Sweep:
    return results.Sweep(
        name=name,
        what=what,
        command=COMMAND,
        kind="hollow",
        alone=False,
        variable=variable,
        variable_unit=variable,
        fixed={key: value for key, value in fixed.items() if key != variable},
        measures=measures,
    )


def replica_sweep(sizes) -> results.Sweep:
    """Memory of a replica, and its processor time for a change and a watch, by number of nodes."""
    memory = {nodes: _memory_of_replica(nodes) for nodes in sizes}
    change = {nodes: _min_of_repeats(_change_at_replica, nodes) * 1000 for nodes in sizes}
    watch = {nodes: _min_of_repeats(_watches_at_replica, nodes) * 1e6 / (2 * nodes) for nodes in sizes}
    measures = [
        _measure("state_kb", "KB", memory),
        _measure("change_cpu_ms", "ms", change, CPU_TIME_REPEATS),
        _measure("watch_cpu_us", "us", watch, CPU_TIME_REPEATS),
    ]
    what = (
        "One replica with two watches of every node: memory, processor time of one change told to all, of one"
    )
    return _sweep(
        "config-replica", f"{what} watch that ends.", measures, "nodes", {"body_bytes": 4096}, sizes
    )


def _memory_of_replica(nodes: int) -> float:
    tracemalloc.start()
    replica = replica_with_watches(nodes)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    assert replica.watches == 2 * nodes
    return round(memory_kb, 1)


def _min_of_repeats(measure, size) -> float:
    return min(measure(size) for _ in range(CPU_TIME_REPEATS))


def _record(generation: int, body_bytes: int) -> m.Record:
    return m.make_record(generation, generation, m.Stage.EVERYWHERE, 0, "x" * body_bytes)


def _change_at_replica(nodes: int) -> float:
    """Processor seconds from the durable commit until all replies are encoded."""
    replica = replica_with_watches(nodes)
    effects = replica.step(0, rp.RequestReceived(10**6, m.Commit(record=_record(2, 4_096))))
    token = next(effect.token for effect in effects if isinstance(effect, rp.Store))
    began = time.process_time()
    responses = [
        to_response(e.message) for e in replica.step(1, rp.Stored(token, True)) if isinstance(e, rp.Reply)
    ]
    elapsed_s = time.process_time() - began
    assert len(responses) == 2 * nodes + 1
    return elapsed_s


def _watches_at_replica(nodes: int) -> float:
    """Processor seconds until all watches have ended without a change and been sent again."""
    replica, number = replica_with_watches(nodes), 10**6
    began = time.process_time()
    for effect in replica.step(11 * SECOND, rp.Tick()):
        if isinstance(effect, rp.Reply):
            to_response(effect.message)
            number += 1
            query = f"since=1&timeout_ms=10000&node=z1-node-{number % nodes:03}&in_force=1"
            replica.step(11 * SECOND, rp.RequestReceived(number, m.from_query(query)))
    return time.process_time() - began


def body_sweep(sizes) -> results.Sweep:
    """What a change costs a node by size of its body, without the node's own check."""
    cost = {size: _min_of_repeats(_change_at_node, size) * 1e6 for size in sizes}
    response_bytes = {size: float(len(to_response(_answer(size)))) for size in sizes}
    measures = [
        _measure("node_change_cpu_us", "us", cost, CPU_TIME_REPEATS),
        _measure("answer_bytes", "B", response_bytes),
    ]
    what = "One change at one node: its answer read, checked for damage, carried through save and apply."
    return _sweep("config-body", what, measures, "body_bytes", {"nodes": 1}, sizes)


def _answer(size: int) -> m.WatchReply:
    return m.WatchReply(generation=1, reset=True, record=_record(1, size), majority_age_us=0, replica="r1")


def _change_at_node(size: int) -> float:
    data = m.encode(_answer(size))
    follower = fo.Follower("n1", ("r1", "r2", "r3"), lambda: 0.5)
    follower.step(0, fo.Started(None))
    began = time.process_time()
    follower.step(1, fo.WatchReplied(1, m.decode(data, m.WatchReply)))
    for event in (fo.Checked(True), fo.Saved(True), fo.Applied(True)):
        follower.step(2, event)
    elapsed_s = time.process_time() - began
    assert follower.view(2).version == 1
    return elapsed_s


def main(arguments=None) -> int:
    """Runs the command; exit code 0 if no invariant was violated, else 1."""
    parser = argparse.ArgumentParser(prog=COMMAND, description=__doc__.splitlines()[0])
    parser.add_argument("--small", action="store_true", help="24 nodes, few seeds; takes seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=results.FOLDER, help="folder of the results")
    parser.add_argument("--only", nargs="*", default=[], metavar="NAME", help="scenarios or sweeps")
    args = parser.parse_args(arguments)
    parameters = SMALL if args.small else FleetParameters()
    commit = results.current_commit()  # before the run, which may outlast commits to the checkout
    new_results, random_rows, rows = [], [], run_scenarios(parameters, args.seed, args.small, args.only)
    if _is_selected(args, "random"):
        random_rows = _random_rows(args.seed, RANDOM_SEEDS_SMALL if args.small else RANDOM_SEEDS)
        new_results.append(_fault_run("config-random", RandomScenario.parameters, args.seed, random_rows))
    if rows:
        new_results.append(_fault_run("config-faults", parameters, args.seed, rows))
    if _is_selected(args, "idle"):
        new_results.append(idle_sweep(args.seed, (6, 12, 18, 24) if args.small else IDLE_SIZES))
    if _is_selected(args, "replica"):
        new_results.append(replica_sweep((6, 12, 18, 24) if args.small else REPLICA_SIZES))
    if _is_selected(args, "body"):
        new_results.append(body_sweep(BODY_SIZES))
    for result in new_results:
        result.commit = commit
        print(results.write(result, args.out))
    return 1 if any(row.rules_broken for row in rows + random_rows) else 0


def _is_selected(args, name: str) -> bool:
    return not args.only or name in args.only


def _random_rows(first: int, count: int) -> list[results.FaultRow]:
    return [
        run_random_scenarios("drawn faults, 8 nodes", RandomScenario, first, count),
        run_random_scenarios(
            "drawn publishers before replicas that restart, 3 nodes", RandomPublisherScenario, first, count
        ),
    ]


def _fault_run(name: str, parameters: FleetParameters, seed: int, rows) -> results.FaultRun:
    return results.FaultRun(
        name=name,
        what="Changes of configuration through three replicas to all nodes under faults, in simulated time.",
        command=COMMAND,
        kind="hollow",
        alone=False,
        nodes=parameters.nodes,
        seed=seed,
        rows=rows,
    )


if __name__ == "__main__":
    sys.exit(main())
