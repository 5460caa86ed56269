"""Checks the latencies that the load generator reports against those that a server of known delay measures.

The server records when a call's first line arrived, waits the known delay, answers, and records when it did.
The latency that the generator reports (from the intended time to UP) and the one that the server measured
(from the intended time to its answer) must agree: both read the same monotonic clock, but share no code.
"""

import os
import select
import socket
import sys
import tempfile
import threading
import time

import msgspec
import numpy as np

from cottonspread.lab import plan as plans
from cottonspread.lab import record
from cottonspread.lab.children import Child
from cottonspread.lab.results import decode_histogram
from cottonspread.lab.wire import now

MAX_ERROR = 1000  # microseconds; also the limit on the generator's lateness at p99.9


class DelayedServer(threading.Thread):
    """Answers each first line after `delay` microseconds; `seen` holds (id, received, answered)."""

    def __init__(self, address, delay):
        """Listens on the address."""
        super().__init__(daemon=True)
        self.listener = socket.create_server(address, backlog=4096)
        self.delay, self.seen, self.stopped = delay, [], False

    def run(self):
        """Serves until `stopped` is set."""
        poll, conns, waiting = select.epoll(), {}, []
        self.listener.setblocking(False)
        poll.register(self.listener, select.EPOLLIN)
        while not self.stopped:
            wait = min(0.05, max(0.0, (waiting[0][0] - now()) / 1e6)) if waiting else 0.05
            if wait > 0.0004:
                select.select([poll.fileno()], [], [], wait - 0.0003)
            for fd, _ in poll.poll(0):
                if fd == self.listener.fileno():
                    self.accept(poll, conns)
                else:
                    self.read(poll, conns, fd, waiting)
            while waiting and waiting[0][0] <= now():
                _, fd, name, received = waiting.pop(0)
                if fd in conns:
                    self.answer(conns[fd], name, received)

    def accept(self, poll, conns):
        """Accepts a connection."""
        try:
            sock = self.listener.accept()[0]
        except BlockingIOError:
            return
        sock.setblocking(False)
        conns[sock.fileno()] = sock
        poll.register(sock, select.EPOLLIN)

    def read(self, poll, conns, fd, waiting):
        """Reads a first line and schedules its answer."""
        received = now()
        try:
            data = conns[fd].recv(4096)
        except OSError:
            data = b""
        if not data:
            poll.unregister(fd)
            conns.pop(fd).close()
        elif data.startswith(b"OPEN "):
            waiting.append((received + self.delay, fd, data.split(b" ")[1].decode(), received))

    def answer(self, sock, name, received):
        """Answers a call and records the times."""
        answered = now()
        try:
            sock.send(b"UP 1\r\n")
        except OSError:
            return
        self.seen.append((name, received, answered))


def measure(rate, seconds, delay_ms):
    """Measures the latencies of a load, in microseconds from each call's intended time to its answer.

    Returns (as the generator measured them, as the server did, the generator's lateness at p99.9).
    """
    load = plans.Load(
        shapes=[plans.Shape(kind="poisson", rate=rate)],
        processes=1,
        line_s=0,
        sources=2,
        retries=0,
        spins=True,
        types=[plans.TrafficType(name="check", life_s=0.2, guard_ms=4000)],
    )
    experiment = plans.Experiment(name="selfcheck", seconds=seconds, load=load, hosts=plans.Hosts(count=1))
    plan = plans.make(experiment, plans.Variant(name="only"), int(time.time()))
    node = plan.nodes[0]
    server = DelayedServer((node.ip, node.port), round(delay_ms * 1000))
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "plan.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(plan))
        cores = sorted(os.sched_getaffinity(0))
        child = Child(
            "load 0", ["load", "--plan", path, "--number", "0"], {cores[-1]} if len(cores) > 1 else None
        )
        try:
            if len(cores) > 1:
                os.sched_setaffinity(0, set(cores[:-1]))
            server.start()
            until = time.monotonic() + 20
            while not child.ready and time.monotonic() < until:
                child.read()
                time.sleep(0.01)
            start = now() + 200_000
            child.send(f"begin {start}")
            end_time = start + round((seconds + delay_ms / 1000 + 1) * 1e6)
            while now() < end_time:
                child.read()
                time.sleep(0.05)
            child.send("end")
            child.process.wait(10)
        finally:
            server.stopped = True
            if child.process.poll() is None:
                child.process.kill()
                child.process.wait()
            os.sched_setaffinity(0, set(cores))
        server.join()
        server.listener.close()
        lines = list(record.read(folder, "load"))
    calls = {c["id"]: c for c in lines if c["k"] == "call" and c["answers"]}
    total = next(line for line in lines if line["k"] == "sum")
    lateness = decode_histogram(total["lateness"]).get_value_at_percentile(99.9)
    timed = [(calls[n], answered) for n, _, answered in server.seen if n in calls]
    by_generator = np.array([call["answers"][0][0] - call["intended"] for call, _ in timed])
    by_server = np.array([answered - start - call["intended"] for call, answered in timed])
    if len(by_generator) < total["planned"]:
        raise plans.PlanError(
            f"selfcheck: {total['planned']} calls planned, {len(by_generator)} timed on both sides"
        )
    return by_generator, by_server, int(lateness)


def main(rate, seconds, delay_ms):
    """Prints the comparison; exit code 1 if the two differ by more than 1 ms for any call."""
    by_generator, by_server, lateness = measure(rate, seconds, delay_ms)
    print(f"{len(by_generator)} calls at {rate:g} a second, answered after {delay_ms:g} ms")
    difference = np.abs(by_generator - by_server)  # call by call, so that errors cannot cancel out
    for name, p in (("p50", 50), ("p99", 99), ("max", 100)):
        a, b, c = (float(np.percentile(x, p)) for x in (by_generator, by_server, difference))
        print(
            f"{name}: generator {a / 1000:.3f} ms, server {b / 1000:.3f} ms; "
            f"difference for the same call {c:.0f} us at {name}"
        )
    over = difference.max() > MAX_ERROR
    print(
        "differs by more than 1 ms: not reliable" if over else "agrees within 1 ms for every call",
        file=sys.stderr if over else sys.stdout,
    )
    print(
        f"generator late, p99.9: {lateness} us"
        + (
            f", over {MAX_ERROR}: the results of a run like this would be invalid"
            if lateness > MAX_ERROR
            else ""
        )
    )
    return 1 if over else 0
