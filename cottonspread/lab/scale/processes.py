"""Real processes beside hollow ones: list stand-ins of the lab, and what a process uses of the machine."""

import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from cottonspread.lab import plan as plans
from cottonspread.lab import record
from cottonspread.lab.scale.hollow_plans import Size, experiment
from cottonspread.lab.sim.world import SECOND

ROOT = Path(__file__).resolve().parents[3]
END_WAIT = 5.0
CPU_CLOCK_OF_PROCESS = 2
"""Linux: the kind of clock that `clock_getcpuclockid` gives; its id holds the process's id."""


def processor_ns(pid: int) -> int:
    """Processor time of all threads of a process, ended ones too."""
    return time.clock_gettime_ns((~pid << 3) | CPU_CLOCK_OF_PROCESS)


def resident(pid: int) -> int:
    """Bytes of a process in memory."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def started(words: list[str], folder: Path, name: str, **options) -> subprocess.Popen:
    """`python -m cottonspread WORDS` with its standard error in the folder."""
    with open(folder / f"{name}.log", "ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "cottonspread", *words],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stderr=log,
            **options,
        )


def ended(process: subprocess.Popen) -> None:
    """Asks it to end, and kills it if it does not."""
    process.terminate()
    try:
        process.wait(END_WAIT)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def block(number: int) -> tuple[int, int]:
    """The two middle numbers of addresses that no other play on this machine uses."""
    own = os.getpid() * 8 + number
    return 64 + own % 128, own // 128 % 256


class ListStandIn:
    """One process of the lab's list (`lab list`). `changes`: seconds after the begin at which a server
    drains, each time another one."""

    def __init__(self, folder: Path, number: int, servers: int, changes: list[float] | tuple = ()):
        self.folder = folder / f"list{number}"
        self.folder.mkdir()
        faults = [
            plans.Happening(at=at, kind="drain", on=[f"h{n % servers}"]) for n, at in enumerate(changes)
        ]
        seconds = max(changes, default=1.0) + 600
        asked = experiment(Size(nodes=1, servers=servers), seconds)
        asked.faults = faults
        self.plan = plans.make(asked, plans.Variant(name="only"), 1, block(number))
        path = self.folder / "plan.json"
        path.write_bytes(msgspec.json.encode(self.plan))
        self.process = started(
            ["lab", "list", "--plan", str(path)],
            self.folder,
            "list",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        said = self.process.stdout.readline().strip()
        if said != "ready":
            ended(self.process)
            raise RuntimeError(f"a list stand-in said {said!r}")

    @property
    def address(self) -> tuple[str, int]:
        node = self.plan.nodes[0]
        return node.ip, node.list_port

    def begin(self, at: float) -> None:
        """Its time runs from then on; seconds of the monotonic clock."""
        self.process.stdin.write(f"begin {round(at * SECOND)}\n")
        self.process.stdin.flush()

    def processor_ns(self) -> int:
        return processor_ns(self.process.pid)

    def end(self) -> None:
        self.process.stdin.close()
        ended(self.process)
        self.process.stdout.close()

    def made(self) -> dict[int, int]:
        """After its end: when each version was made, microseconds of the monotonic clock."""
        lines = record.read(str(self.folder), "list")
        return {line["version"]: line["t"] for line in lines if line["k"] == "change"}
