"""Real processes beside hollow ones: list stand-ins of the lab, and what a process uses of the machine."""

import contextlib
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgspec

from cottonspread.lab import node_config, record
from cottonspread.lab import plan as plans
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


class Part:
    """A process of the lab that plays a part of a plan: `hosts`, `list` or `load`."""

    def __init__(self, kind: str, folder: Path, plan: plans.Plan, number: int = 0):
        folder.mkdir(exist_ok=True)
        path = folder / "plan.json"
        path.write_bytes(msgspec.json.encode(plan))
        words = ["lab", kind, "--plan", str(path), "--number", str(number)]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
        self.process = started(words, folder, f"{kind}-{number}", **pipes)
        said = self.process.stdout.readline().strip()
        if said != "ready":
            self.end()
            raise RuntimeError(f"lab {kind} said {said!r}")

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


class ListStandIn(Part):
    """One process of the lab's list. `changes`: seconds after the begin at which a server drains, each time
    another one."""

    def __init__(self, folder: Path, number: int, servers: int, changes: list[float] | tuple = ()):
        self.folder = folder / f"list{number}"
        seconds = max(changes, default=1.0) + 600
        asked = experiment(Size(nodes=1, servers=servers), seconds)
        asked.faults = [
            plans.Fault(at=at, kind="drain", on=[f"h{n % servers}"]) for n, at in enumerate(changes)
        ]
        self.plan = plans.make(asked, plans.Variant(name="only"), 1, block(number))
        super().__init__("list", self.folder, self.plan)

    @property
    def address(self) -> tuple[str, int]:
        node = self.plan.nodes[0]
        return node.ip, node.list_port

    def made(self) -> dict[int, int]:
        """After its end: when each version was made, microseconds of the monotonic clock."""
        lines = record.read(str(self.folder), "list")
        return {line["version"]: line["t"] for line in lines if line["k"] == "change"}


class RealNode:
    """`serve` with the configuration of a plan's first node, asking the list at `discovery`."""

    def __init__(self, folder: Path, plan: plans.Plan, discovery: tuple[str, int]):
        values = node_config.build(plan, 0) | {"discovery": f"{discovery[0]}:{discovery[1]}"}
        path = folder / "node.json"
        path.write_bytes(msgspec.json.encode(values))
        self.process = started(["serve", "--config", str(path)], folder, "node", stdin=subprocess.DEVNULL)

    def processor_ns(self) -> int:
        return processor_ns(self.process.pid)

    def resident(self) -> int:
        return resident(self.process.pid)

    def end(self) -> None:
        ended(self.process)


class Relay:
    """Takes a node's connections to its list and passes them on, counting bytes each way."""

    def __init__(self, target: tuple[str, int]):
        self.target, self.bytes_out, self.bytes_in = target, 0, 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                node, _ = self.listener.accept()
            except OSError:
                return
            there = socket.create_connection(self.target)
            threading.Thread(target=self.carry, args=(node, there, "bytes_out"), daemon=True).start()
            threading.Thread(target=self.carry, args=(there, node, "bytes_in"), daemon=True).start()

    def carry(self, source, sink, count: str) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                setattr(self, count, getattr(self, count) + len(data))
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        self.listener.close()
