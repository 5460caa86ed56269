"""Real processes to compare hollow nodes with: list stubs of the lab, nodes, and the resources they use."""

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
TERMINATE_TIMEOUT = 5.0
CPU_CLOCK_OF_PROCESS = 2
"""Linux: the clock type that `clock_getcpuclockid` puts into a clock id, beside the process id."""


def processor_ns(pid: int) -> int:
    """Processor time of a process: all its threads, ended ones included."""
    return time.clock_gettime_ns((~pid << 3) | CPU_CLOCK_OF_PROCESS)


def resident(pid: int) -> int:
    """Resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def start_cottonspread(command: list[str], folder: Path, name: str, **options) -> subprocess.Popen:
    """Starts `python -m cottonspread COMMAND`; its standard error goes to a log in the folder."""
    with open(folder / f"{name}.log", "ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "cottonspread", *command],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stderr=log,
            **options,
        )


def terminate(process: subprocess.Popen) -> None:
    """Sends SIGTERM, then SIGKILL if the process does not end in time."""
    process.terminate()
    try:
        process.wait(TERMINATE_TIMEOUT)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def address_block(number: int) -> tuple[int, int]:
    """The two middle numbers of addresses that no other run on this machine uses."""
    own = os.getpid() * 8 + number
    return 64 + own % 128, own // 128 % 256


class LabProcess:
    """A process of the lab that executes a part of a plan: `hosts`, `list` or `load`."""

    def __init__(self, kind: str, folder: Path, plan: plans.Plan, number: int = 0):
        """Starts the process and waits until it reports that it is ready."""
        folder.mkdir(exist_ok=True)
        path = folder / "plan.json"
        path.write_bytes(msgspec.json.encode(plan))
        command = ["lab", kind, "--plan", str(path), "--number", str(number)]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
        self.process = start_cottonspread(command, folder, f"{kind}-{number}", **pipes)
        reply = self.process.stdout.readline().strip()
        if reply != "ready":
            self.end()
            raise RuntimeError(f"lab {kind} did not start: expected 'ready', got {reply!r}")

    def begin(self, at: float) -> None:
        """Starts the plan's clock at `at`, seconds of the monotonic clock."""
        self.process.stdin.write(f"begin {round(at * SECOND)}\n")
        self.process.stdin.flush()

    def processor_ns(self) -> int:
        """Processor time that the process has used."""
        return processor_ns(self.process.pid)

    def end(self) -> None:
        """Ends the process."""
        self.process.stdin.close()
        terminate(self.process)
        self.process.stdout.close()


class ListStub(LabProcess):
    """A process that serves the lab's server list.

    `changes`: seconds after the begin at which a server drains, each time another one.
    """

    def __init__(self, folder: Path, number: int, servers: int, changes: list[float] | tuple = ()):
        """Starts list number `number` with `servers` entries."""
        self.folder = folder / f"list{number}"
        seconds = max(changes, default=1.0) + 600
        planned = experiment(Size(nodes=1, servers=servers), seconds)
        planned.faults = [
            plans.Fault(at=at, kind="drain", on=[f"h{n % servers}"]) for n, at in enumerate(changes)
        ]
        self.plan = plans.make(planned, plans.Variant(name="only"), 1, address_block(number))
        super().__init__("list", self.folder, self.plan)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        node = self.plan.nodes[0]
        return node.ip, node.list_port

    def version_times(self) -> dict[int, int]:
        """When each version was made, in microseconds of the monotonic clock; known after the end."""
        lines = record.read(str(self.folder), "list")
        return {line["version"]: line["t"] for line in lines if line["k"] == "change"}


class RealNode:
    """`cottonspread serve` with the configuration of a plan's first node, reading the list at `discovery`."""

    def __init__(self, folder: Path, plan: plans.Plan, discovery: tuple[str, int]):
        """Starts the node; its configuration and log go to the folder."""
        values = node_config.build(plan, 0) | {"discovery": f"{discovery[0]}:{discovery[1]}"}
        path = folder / "node.json"
        path.write_bytes(msgspec.json.encode(values))
        self.process = start_cottonspread(
            ["serve", "--config", str(path)], folder, "node", stdin=subprocess.DEVNULL
        )

    def processor_ns(self) -> int:
        """Processor time that the process has used."""
        return processor_ns(self.process.pid)

    def resident(self) -> int:
        """Resident memory of the process in bytes."""
        return resident(self.process.pid)

    def end(self) -> None:
        """Ends the process."""
        terminate(self.process)


class Relay:
    """A TCP relay between a node and its list that counts the bytes of each direction."""

    def __init__(self, target: tuple[str, int]):
        """Listens on a free port and relays to `target`."""
        self.target, self.bytes_out, self.bytes_in = target, 0, 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                node, _ = self.listener.accept()
            except OSError:
                return
            upstream = socket.create_connection(self.target)
            threading.Thread(target=self.forward, args=(node, upstream, "bytes_out"), daemon=True).start()
            threading.Thread(target=self.forward, args=(upstream, node, "bytes_in"), daemon=True).start()

    def forward(self, source, sink, count: str) -> None:
        """Copies from `source` to `sink` until either closes; adds the bytes to the attribute `count`."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                setattr(self, count, getattr(self, count) + len(data))
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        """Closes the listener."""
        self.listener.close()
