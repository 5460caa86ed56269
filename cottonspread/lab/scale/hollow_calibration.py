"""Calibration: one real node process compared with hollow ones, with the same list and the same changes.

The real node is `cottonspread serve` on loopback. Its processor time is the kernel's count for the process.
"""

import tempfile
import time
from dataclasses import replace
from pathlib import Path

from cottonspread.lab.scale.hollow_plans import Size
from cottonspread.lab.scale.hollow_sweeps import MIB, NS_PER_MS, Figure, SweepPlan, measure_control
from cottonspread.lab.scale.processes import ListStub, RealNode, Relay

IDLE_START_S = 3.0
"""The node has its list by then and is idle for `size.seconds`; as many seconds with changes follow."""


def sleep_until(moment: float) -> None:
    """Sleeps until this moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def compare_with_hollow(size: Size) -> dict[str, Figure]:
    """Control work of a real and of hollow nodes, idle and with `size.changes_a_minute`, at the same size."""
    real = measure_real_node(size)
    hollow_idle = measure_control(replace(size, changes_a_minute=0))
    hollow_changing = measure_control(size)
    per_second = size.changes_a_minute / 60
    idle = hollow_idle["list_processor"].value + hollow_idle["tick_processor"].value
    change = (hollow_changing["list_processor"].value - hollow_idle["list_processor"].value) / per_second
    return real | {
        "hollow_idle_processor": Figure(idle, "ms/s an instance"),
        "hollow_change_processor": Figure(change, "ms a change"),
        "hollow_idle_bytes_in": hollow_idle["control_bytes_in"],
        "hollow_idle_bytes_out": hollow_idle["control_bytes_out"],
        "hollow_changes_bytes_in": hollow_changing["control_bytes_in"],
        "hollow_changes_bytes_out": hollow_changing["control_bytes_out"],
        "hollow_memory": hollow_idle["memory"],
    }


def measure_real_node(size: Size) -> dict[str, Figure]:
    """Control traffic, processor time and memory of a real node process."""
    count = round(size.seconds * size.changes_a_minute / 60)
    changes_start = IDLE_START_S + size.seconds
    changes = [changes_start + size.seconds * (n + 0.5) / count for n in range(count)]
    with tempfile.TemporaryDirectory(prefix="cottonspread-scale-") as name:
        folder, resources = Path(name), []
        try:
            listing = ListStub(folder, 0, size.servers, changes)
            resources.append(listing)
            relay = Relay(listing.address)
            resources.append(relay)
            node = RealNode(folder, listing.plan, relay.address)
            resources.append(node)
            start = time.monotonic()
            listing.begin(start)
            samples = []
            for at in (IDLE_START_S, changes_start, changes_start + size.seconds):
                sleep_until(start + at)
                samples.append((node.processor_ns(), relay.bytes_in, relay.bytes_out))
            memory = node.resident()
        finally:
            for one in reversed(resources):
                one.end()
    idle, loaded = (
        [b - a for a, b in zip(*pair, strict=True)] for pair in zip(samples, samples[1:], strict=False)
    )
    change_ns = (loaded[0] - idle[0]) / count
    return {
        "real_idle_processor": Figure(idle[0] / NS_PER_MS / size.seconds, "ms/s an instance"),
        "real_change_processor": Figure(change_ns / NS_PER_MS, "ms a change"),
        "real_idle_bytes_in": Figure(idle[1] / size.seconds, "B/s an instance"),
        "real_idle_bytes_out": Figure(idle[2] / size.seconds, "B/s an instance"),
        "real_changes_bytes_in": Figure(loaded[1] / size.seconds, "B/s an instance"),
        "real_changes_bytes_out": Figure(loaded[2] / size.seconds, "B/s an instance"),
        "real_memory": Figure(memory / MIB, "MiB an instance"),
    }


SWEEPS = (
    SweepPlan(
        "real-beside-hollow",
        "One real node process beside hollow ones: idle control, a change, bytes and memory, by servers.",
        "servers",
        "servers",
        (50, 300, 1000, 3000),
        Size(nodes=6, changes_a_minute=60, seconds=10.0),
        compare_with_hollow,
        "real",
    ),
)
