"""`cottonspread lab scale`: performs scale runs by name, prints each point, and writes the results."""

import resource
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from rich.console import Console
from rich.table import Table

from cottonspread.lab.scale import (
    hollow_calibration,
    hollow_faults,
    hollow_propagation,
    hollow_sockets,
    hollow_sweeps,
)
from cottonspread.lab.scale.hollow_sweeps import (
    Figure,
    SweepPlan,
    override_sizes,
    run_in_subprocess,
    run_inline,
    run_sweep,
    scaled_down,
)
from cottonspread.lab.scale.results import FOLDER, Result, write

MAX_GIB = 12
"""Memory limit for the largest process of a run."""


class ScaleError(ValueError):
    """The command's arguments are not valid."""


@dataclass(frozen=True)
class Options:
    """The command line's options."""

    small: bool = False
    nodes: int | None = None
    servers: int | None = None
    seed: int = 1
    only: tuple[str, ...] = ()
    out: Path = FOLDER
    alone: bool = False

    def command(self, name: str) -> str:
        """The command line that performs only this run."""
        arguments = ["cottonspread lab scale"]
        arguments += ["--small"] if self.small else []
        arguments += [f"--nodes {self.nodes}"] if self.nodes else []
        arguments += [f"--servers {self.servers}"] if self.servers else []
        return " ".join([*arguments, f"--seed {self.seed}", f"--only {name}"])


ReportPoint = Callable[[str, dict[str, Figure]], None]
"""Called for each point of a run as it is measured, with its size or event and its figures."""


@dataclass(frozen=True)
class Run:
    """A run's name and the function that performs it."""

    name: str
    execute: Callable[[Options, ReportPoint], Result]
    quick: bool = True
    """False: it takes real time at any size; `--small` performs it only where `--only` names it."""


def sweep_run(plan: SweepPlan) -> Run:
    """A run that measures a sweep."""

    def execute(options: Options, report_point: ReportPoint) -> Result:
        sized_plan = scaled_down(plan) if options.small else plan
        sized_plan = override_sizes(sized_plan, nodes=options.nodes, servers=options.servers)

        def report_value(value, figures):
            report_point(f"{sized_plan.variable} {value:g}", figures)

        call = run_inline if options.small else run_in_subprocess
        return run_sweep(
            sized_plan, options.command(plan.name), options.seed, options.alone, report_value, call
        )

    return Run(plan.name, execute, quick=plan.kind == "hollow")


def fault_run(event: hollow_faults.Event) -> Run:
    """A run that simulates an event."""
    name = f"fault-{event.name}"

    def execute(options: Options, report_point: ReportPoint) -> Result:
        size = hollow_faults.event_size(event, options.small, options.nodes, options.servers, options.seed)
        call = run_inline if options.small else run_in_subprocess
        result = hollow_faults.fault_run(event, size, options.command(name), options.alone, call)
        report_point(f"{size.nodes} nodes", hollow_faults.as_figures(result.rows[0]))
        return result

    return Run(name, execute)


def runs() -> list[Run]:
    """All runs, in the order in which they are performed."""
    sweeps = (
        *hollow_sweeps.SWEEPS,
        *hollow_propagation.SWEEPS,
        *hollow_sockets.SWEEPS,
        *hollow_calibration.SWEEPS,
        *hollow_faults.SWEEPS,
    )
    return [sweep_run(plan) for plan in sweeps] + [fault_run(event) for event in hollow_faults.EVENTS]


def select_runs(options: Options) -> list[Run]:
    """The runs that the options ask for; ScaleError if there is no run of a name."""
    known = {run.name: run for run in runs()}
    unknown = [name for name in options.only if name not in known]
    if unknown:
        raise ScaleError(f"--only {unknown[0]}: one of {', '.join(known)} expected")
    if options.only:
        return [known[name] for name in options.only]
    return [run for run in known.values() if run.quick or not options.small]


def print_point(console: Console, name: str, where: str, figures: dict[str, Figure], seconds: float) -> None:
    """Prints one point's figures as a table."""
    table = Table(title=f"{name}: {where} ({seconds:.1f} s)", title_justify="left")
    table.add_column("measure")
    table.add_column("value", justify="right")
    table.add_column("unit")
    table.add_column("of")
    for measure, figure in figures.items():
        of = "control" if figure.control else "lines"
        table.add_row(measure, f"{figure.value:,.4g}", figure.unit, of)
    console.print(table)


def peak_memory_gib() -> float:
    """The peak memory of this process and its ended children, whichever is larger."""
    processes = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    return max(resource.getrusage(process).ru_maxrss for process in processes) / 2**20


def main(options: Options) -> int:
    """Performs the selected runs; exit code 1 if a process took more memory than `MAX_GIB`."""
    console, failed = Console(file=sys.stdout), 0
    selected = select_runs(options)
    for number, run in enumerate(selected, 1):
        console.print(f"[{number} of {len(selected)}] {run.name}", markup=False)
        began = time.monotonic()

        def report_point(where, figures, name=run.name, began=began):
            print_point(console, name, where, figures, time.monotonic() - began)

        path = write(run.execute(options, report_point), options.out)
        gib = peak_memory_gib()
        console.print(f"{path}: {time.monotonic() - began:.1f} s, {gib:.2f} GiB at most", markup=False)
        failed |= gib > MAX_GIB
    return int(failed)
