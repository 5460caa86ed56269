"""Checks before a run whether it fits the machine's limits: descriptors, local ports, cores."""

import fcntl
import os
import resource

import numpy as np

PORT_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"
TIME_WAIT = 60  # seconds that the kernel keeps a closed connection's port
RESERVED_DESCRIPTORS = 64
MAX_PREGROWN = 65_536


class LimitExceededError(ValueError):
    """The run would not fit; the message names the limit, what is needed and what is available."""


def local_port_count():
    """Returns the number of ephemeral ports."""
    try:
        with open(PORT_RANGE_FILE) as file:
            low, high = map(int, file.read().split())
        return high - low + 1
    except OSError:
        return 28232


def raise_descriptor_limit():
    """Raises the limit of open descriptors to the hard limit and returns it.

    The kernel's descriptor table is grown here in advance: each time that it grows in a process with threads,
    the thread that opens the next descriptor waits for every core (10 to 25 ms, seen as late calls).
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    os.close(fcntl.fcntl(0, fcntl.F_DUPFD, min(hard, MAX_PREGROWN) - 1))
    return hard


def max_established(schedule, settle_us=2_000_000):
    """Returns how many first calls are open at a time at most, each until the end of its life."""
    starts, ends = schedule.at, np.sort(schedule.at + schedule.life + settle_us)
    return int((np.arange(1, len(starts) + 1) - np.searchsorted(ends, starts)).max()) if len(starts) else 0


def check(plan, schedule, hard=None, local_ports=None, cores=None):
    """Returns warnings about cores; LimitExceededError if there are too few descriptors or local ports."""
    experiment = plan.experiment
    hard, local_ports = hard or raise_descriptor_limit(), local_ports or local_port_count()
    established = max_established(schedule)
    reconnects = sum(established * s.share for s in experiment.load.shapes if s.kind == "reconnect")
    need = established // experiment.load.processes + RESERVED_DESCRIPTORS
    if need > hard:
        raise LimitExceededError(
            f"descriptors: {need} simultaneous connections "
            f"in each of {experiment.load.processes} load processes, "
            f"and the limit of open files (ulimit -Hn) is {hard}: "
            f"raise load.processes to {established // (hard - RESERVED_DESCRIPTORS) + 1}"
        )
    need = established // experiment.hosts.processes + RESERVED_DESCRIPTORS
    if need > hard and experiment.audited:
        raise LimitExceededError(
            f"descriptors: {need} simultaneous connections "
            f"in each of {experiment.hosts.processes} host processes, "
            f"and the limit of open files (ulimit -Hn) is {hard}: "
            f"raise hosts.processes to {established // (hard - RESERVED_DESCRIPTORS) + 1}"
        )
    # A port is in use from the start of its connection until a minute after its end, separately for each pair
    # of local address and node.
    ends = schedule.at + TIME_WAIT * 1_000_000
    ports_used = (
        int((np.arange(1, len(ends) + 1) - np.searchsorted(ends, schedule.at)).max()) if len(ends) else 0
    )
    ports_used += round(reconnects)
    pairs = len(plan.sources) * len(plan.nodes)
    if ports_used / pairs > local_ports * 0.9:
        raise LimitExceededError(
            f"local ports: {ports_used} are in use within a minute from {len(plan.sources)} addresses "
            f"to {len(plan.nodes)} nodes, and ip_local_port_range gives {local_ports} for each pair: "
            "raise load.sources to "
            f"{int(ports_used / (local_ports * 0.9) / len(plan.nodes) / experiment.load.processes) + 1}"
        )
    cores = cores or os.cpu_count()
    process_count = experiment.load.processes + experiment.hosts.processes + experiment.nodes.count
    return (
        [f"{process_count} processes share {cores} cores, which may distort the measurements of the nodes"]
        if process_count > cores
        else []
    )
