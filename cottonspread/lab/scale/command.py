"""`cottonspread lab scale`: plays scale runs by name, shows points as they come, and writes results."""

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

MOST_GIB = 12
"""Memory that the largest process of a run may take."""


class ScaleError(ValueError):
    """The command cannot be carried out as asked."""


@dataclass(frozen=True)
class Asked:
    """What the command line asks for."""

    small: bool = False
    nodes: int | None = None
    servers: int | None = None
    seed: int = 1
    only: tuple[str, ...] = ()
    out: Path = FOLDER
    alone: bool = False

    def command(self, name: str) -> str:
        """The command line that plays this run alone."""
        words = ["cottonspread lab scale"]
        words += ["--small"] if self.small else []
        words += [f"--nodes {self.nodes}"] if self.nodes else []
        words += [f"--servers {self.servers}"] if self.servers else []
        return " ".join([*words, f"--seed {self.seed}", f"--only {name}"])


Tell = Callable[[str, dict[str, Figure]], None]
"""Is given each point of a run as it comes: its size or event, and its figures."""


@dataclass(frozen=True)
class Run:
    """One run: its name and what plays it."""

    name: str
    play: Callable[[Asked, Tell], Result]
    quick: bool = True
    """False: it takes real time at any size; `--small` plays it only where it is named."""


def sweep_run(plan: SweepPlan) -> Run:
    def play(asked: Asked, tell: Tell) -> Result:
        one = scaled_down(plan) if asked.small else plan
        one = override_sizes(one, nodes=asked.nodes, servers=asked.servers)

        def show(value, figures):
            tell(f"{one.variable} {value:g}", figures)

        call = run_inline if asked.small else run_in_subprocess
        return run_sweep(one, asked.command(plan.name), asked.seed, asked.alone, show, call)

    return Run(plan.name, play, quick=plan.kind == "hollow")


def fault_run(event: hollow_faults.Event) -> Run:
    name = f"fault-{event.name}"

    def play(asked: Asked, tell: Tell) -> Result:
        size = hollow_faults.event_size(event, asked.small, asked.nodes, asked.servers, asked.seed)
        call = run_inline if asked.small else run_in_subprocess
        result = hollow_faults.fault_run(event, size, asked.command(name), asked.alone, call)
        tell(f"{size.nodes} nodes", hollow_faults.as_figures(result.rows[0]))
        return result

    return Run(name, play)


def runs() -> list[Run]:
    """All runs, in the order in which they are played."""
    sweeps = (
        *hollow_sweeps.SWEEPS,
        *hollow_propagation.SWEEPS,
        *hollow_sockets.SWEEPS,
        *hollow_calibration.SWEEPS,
        *hollow_faults.SWEEPS,
    )
    return [sweep_run(plan) for plan in sweeps] + [fault_run(event) for event in hollow_faults.EVENTS]


def chosen(asked: Asked) -> list[Run]:
    known = {run.name: run for run in runs()}
    unknown = [name for name in asked.only if name not in known]
    if unknown:
        raise ScaleError(f"--only {unknown[0]}: one of {', '.join(known)} expected")
    if asked.only:
        return [known[name] for name in asked.only]
    return [run for run in known.values() if run.quick or not asked.small]


def shown(console: Console, name: str, where: str, figures: dict[str, Figure], seconds: float) -> None:
    table = Table(title=f"{name}: {where} ({seconds:.1f} s)", title_justify="left")
    table.add_column("measure")
    table.add_column("value", justify="right")
    table.add_column("unit")
    table.add_column("of")
    for measure, figure in figures.items():
        of = "control" if figure.control else "lines"
        table.add_row(measure, f"{figure.value:,.4g}", figure.unit, of)
    console.print(table)


def largest_gib() -> float:
    """The most memory that a process of the runs has taken so far."""
    who = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    return max(resource.getrusage(one).ru_maxrss for one in who) / 2**20


def main(asked: Asked) -> int:
    """Plays the runs; 1 if one of them took more memory than is allowed."""
    console, failed = Console(file=sys.stdout), 0
    todo = chosen(asked)
    for number, run in enumerate(todo, 1):
        console.print(f"[{number} of {len(todo)}] {run.name}", markup=False)
        began = time.monotonic()

        def tell(where, figures, name=run.name, began=began):
            shown(console, name, where, figures, time.monotonic() - began)

        path = write(run.play(asked, tell), asked.out)
        gib = largest_gib()
        console.print(f"{path}: {time.monotonic() - began:.1f} s, {gib:.2f} GiB at most", markup=False)
        failed |= gib > MOST_GIB
    return int(failed)
