"""Control over real sockets: many real list clients read three list stubs on loopback.

The clients are `net/discovery.py` with `net/http.py`, each in a thread as in a node, some hundred in a
process. A node's own processing of the list is not included. Bytes are counted at the sockets, segments by
the kernel.
"""

import multiprocessing
import socket
import struct
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace

from cottonspread.lab.scale.hollow import LIST_MACHINES
from cottonspread.lab.scale.hollow_plans import ZONES, Size
from cottonspread.lab.scale.hollow_propagation import DelayStats
from cottonspread.lab.scale.hollow_sweeps import Figure, SweepPlan, measure_control
from cottonspread.lab.scale.processes import ListStub
from cottonspread.lab.sim.world import SECOND
from cottonspread.net import events as ev
from cottonspread.net.discovery import Discovery
from cottonspread.net.http import HttpClient

START_WINDOW_S = 2.0
"""The clients start evenly over one watch interval."""

WARMUP_S = 3.0
CLIENT_PROCESSES = 3
THREAD_STACK_BYTES = 256 * 1024
HEADER_BYTES = 20 + 32
"""Bytes of the IP and TCP headers of a segment, with the timestamps option as Linux sends it."""

TCP_INFO_SEGMENTS = 136
"""Offset in Linux' `struct tcp_info` of the segments sent; those received follow."""


def segments(sock: socket.socket) -> tuple[int, int]:
    """Segments that the kernel has sent and received on a connection, pure ACKs included."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
    return struct.unpack_from("II", info, TCP_INFO_SEGMENTS)


@dataclass
class TrafficCounts:
    """Traffic of one or more clients."""

    requests: int = 0
    answers: int = 0
    entries: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def combined(self, other: "TrafficCounts", sign: int) -> "TrafficCounts":
        """The sum of both counts, or their difference with `sign` -1."""
        return TrafficCounts(
            *(a + sign * b for a, b in zip(vars(self).values(), vars(other).values(), strict=True))
        )


class CountedSocket:
    """A connection whose bytes are counted."""

    def __init__(self, sock, counts):
        """`counts`: the `TrafficCounts` to add to."""
        self.sock, self.counts = sock, counts

    def sendall(self, data):
        """Sends a request and counts it."""
        self.counts.requests += 1
        self.counts.bytes_out += len(data)
        self.sock.sendall(data)

    def recv(self, max_bytes):
        """Receives at most `max_bytes` and counts them."""
        data = self.sock.recv(max_bytes)
        self.counts.bytes_in += len(data)
        return data

    def __getattr__(self, name):
        """Everything else is the socket's own."""
        return getattr(self.sock, name)


class CountedHttp(HttpClient):
    """The real HTTP client on a counted connection."""

    def __init__(self, address, counts):
        """`counts`: the `TrafficCounts` to add to."""
        super().__init__(address, Discovery.CONNECT_TIMEOUT)
        self.counts = counts

    def exchange(self, *request):
        """Opens a counted connection if there is none, then sends the request."""
        if self.sock is None:
            sock = socket.create_connection(self.address, timeout=min(self.time_left(), self.connect_timeout))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock = CountedSocket(sock, self.counts)
        return super().exchange(*request)


@dataclass
class ListClient:
    """One real list client, and what it received: (version, microseconds of the monotonic clock)."""

    address: tuple[str, int]
    counts: TrafficCounts = field(default_factory=TrafficCounts)
    versions_received: list[tuple[int, int]] = field(default_factory=list)

    def __post_init__(self):
        """Creates the `Discovery`, on a counted connection."""
        names = SimpleNamespace(zones={f"z{n}": n for n in range(ZONES)}, kinds={"lab": 0})
        self.discovery = Discovery(self.address, names, self.post, 0)
        self.discovery.http = self.discovery.target = CountedHttp(self.address, self.counts)
        self.discovery.enabled.set()

    def post(self, event):
        """Takes an event of `Discovery`: records the version, or fails the run if the list did not answer."""
        if isinstance(event, ev.ListReceived):
            self.versions_received.append((event.update.version, time.monotonic_ns() // 1000))
            self.counts.entries += len(event.update.entries)
        else:
            raise AssertionError("a list stub did not answer")

    def current_counts(self) -> TrafficCounts:
        """Its counts so far, with the kernel's segments."""
        sock = self.discovery.http.sock
        out, received = segments(sock) if sock is not None else (0, 0)
        counted = self.counts
        return TrafficCounts(
            counted.requests,
            counted.requests,
            counted.entries,
            counted.bytes_out,
            counted.bytes_in,
            out,
            received,
        )


@dataclass
class ProcessResult:
    """What the clients of one process counted within the window, their processor time, and the versions."""

    counts: TrafficCounts
    processor_ns: int
    versions_received: list[list[tuple[int, int]]]


def run_clients_here(
    addresses: list[tuple[str, int]], start: float, window_start: float, end: float
) -> ProcessResult:
    """Runs a client for each address from `start` on, and counts from `window_start` to `end`.

    Times are seconds of the monotonic clock.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    clients = [ListClient(address) for address in addresses]
    for number, client in enumerate(clients):
        time.sleep(max(0.0, start + START_WINDOW_S * number / len(clients) - time.monotonic()))
        threading.Thread(target=client.discovery.run, daemon=True).start()
    time.sleep(max(0.0, window_start - time.monotonic()))
    before, processor = sum_counts(clients), time.process_time_ns()
    time.sleep(max(0.0, end - time.monotonic()))
    counts = sum_counts(clients).combined(before, -1)
    processor = time.process_time_ns() - processor
    for client in clients:
        client.discovery.stop()
    return ProcessResult(counts, processor, [client.versions_received for client in clients])


def sum_counts(clients: list[ListClient]) -> TrafficCounts:
    """The counts of all clients together."""
    summed = TrafficCounts()
    for client in clients:
        summed = summed.combined(client.current_counts(), 1)
    return summed


def measure_over_sockets(size: Size) -> dict[str, Figure]:
    """`size.nodes` clients with `size.changes_a_minute`, and a hollow fleet of this size to compare."""
    count = round(size.seconds * size.changes_a_minute / 60)
    changes = [WARMUP_S + size.seconds * (n + 0.5) / count for n in range(count)]
    with tempfile.TemporaryDirectory(prefix="cottonspread-scale-") as folder:
        lists = []
        try:
            for number in range(LIST_MACHINES):
                lists.append(ListStub(Path(folder), number, size.servers, changes))
            results, list_ns = run_clients(size, lists)
        finally:
            for one in lists:
                one.end()
        delays = DelayStats.of(propagation_delays(results, lists)).figures() if count else {}
    return figures(size, results, list_ns) | delays | hollow_counts(size)


def run_clients(size: Size, lists: list[ListStub]) -> tuple[list[ProcessResult], int]:
    """Runs all clients in a few processes.

    Returns their results and the list stubs' processor time, both within the window.
    """
    addresses = [lists[n % len(lists)].address for n in range(size.nodes)]
    parts = [addresses[n::CLIENT_PROCESSES] for n in range(CLIENT_PROCESSES)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(CLIENT_PROCESSES, mp_context=context) as pool:
        list(pool.map(time.sleep, [0.5] * CLIENT_PROCESSES))  # all processes are up afterwards
        start = time.monotonic() + 0.5
        window_start, end = start + WARMUP_S, start + WARMUP_S + size.seconds
        for one in lists:
            one.begin(start)
        futures = [pool.submit(run_clients_here, part, start, window_start, end) for part in parts if part]
        time.sleep(max(0.0, window_start - time.monotonic()))
        before = sum(one.processor_ns() for one in lists)
        time.sleep(max(0.0, end - time.monotonic()))
        list_ns = sum(one.processor_ns() for one in lists) - before
        return [one.result() for one in futures], list_ns


def propagation_delays(results: list[ProcessResult], lists: list[ListStub]) -> list[float]:
    """Seconds from each change to each client, which must receive every version.

    The same plan made the changes of all list machines, and each recorded its own times; the earliest counts.
    """
    version_times = [one.version_times() for one in lists]
    at = {version: min(times[version] for times in version_times) for version in version_times[0]}
    delays = []
    for part in results:
        for received in part.versions_received:
            changes = [(version, when) for version, when in received if version in at]
            assert [version for version, _ in changes] == sorted(at), "a client did not receive every version"
            delays += [(when - at[version]) / SECOND for version, when in changes]
    return delays


def figures(size: Size, results: list[ProcessResult], list_ns: int) -> dict[str, Figure]:
    """The measures of a run, per instance and second."""
    summed, processor = TrafficCounts(), sum(part.processor_ns for part in results)
    for part in results:
        summed = summed.combined(part.counts, 1)
    span = size.nodes * size.seconds
    messages = summed.requests + summed.answers
    wire = summed.bytes_in + summed.bytes_out + HEADER_BYTES * (summed.segments_in + summed.segments_out)
    return {
        "control_bytes_in": Figure(summed.bytes_in / span, "B/s an instance"),
        "control_bytes_out": Figure(summed.bytes_out / span, "B/s an instance"),
        "control_bytes_on_the_wire": Figure(wire / span, "B/s an instance"),
        "control_messages": Figure(messages / span, "messages/s an instance"),
        "segments": Figure((summed.segments_in + summed.segments_out) / span, "segments/s an instance"),
        "entries_read": Figure(summed.entries / span, "entries/s an instance"),
        "client_processor": Figure(processor / 1e6 / span, "ms/s an instance"),
        "list_machine_processor": Figure(list_ns / 1e6 / size.seconds / LIST_MACHINES, "ms/s a list machine"),
    }


def hollow_counts(size: Size) -> dict[str, Figure]:
    """The hollow fleet's counts at the same size, for comparison."""
    hollow = measure_control(size)
    names = ("control_bytes_in", "control_bytes_out", "control_messages", "entries_read")
    return {f"hollow_{name}": hollow[name] for name in names}


SWEEPS = (
    SweepPlan(
        "sockets-changes",
        "Real list clients against three list stand-ins on loopback, 60 changes a minute, by clients; the "
        "hollow fleet's counts beside.",
        "nodes",
        "clients",
        (10, 50, 150, 420),
        Size(servers=50, changes_a_minute=60, seconds=12.0),
        measure_over_sockets,
        "sockets",
    ),
    SweepPlan(
        "sockets-idle",
        "Real list clients against three list stand-ins on loopback, no change, by clients; the hollow "
        "fleet's counts beside.",
        "nodes",
        "clients",
        (10, 50, 150, 420),
        Size(servers=50, seconds=12.0),
        measure_over_sockets,
        "sockets",
    ),
)
