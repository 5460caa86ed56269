"""Measures how long operators' calls take while a node is loaded and other callers never finish.

    python benchmarks/operating/calls.py [SECONDS] > benchmarks/operating/results/calls.json

One node runs on one core. On the others run the example's servers, clients that connect and disconnect as
fast as they can, and eight callers that occupy an operators' connection without completing a line. A call is
timed from before it connects until the last byte of its answer. The counters fetched at the end are reported
beside what the clients saw.
"""

import importlib.util
import json
import os
import secrets
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
CLIENTS, SILENT_CALLERS = 24, 8


def free_address():
    """An address on loopback with a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


def call(address, word):
    """Makes one operators' call; returns the seconds that it took and its answer."""
    started_at = time.perf_counter()
    with socket.create_connection(address, timeout=10) as sock:
        sock.sendall(word + b"\n")
        with sock.makefile("rb") as file:
            answer = file.read()
    return time.perf_counter() - started_at, answer


def main(seconds):
    """Runs the example's servers and a node; returns the figures."""
    spec = importlib.util.spec_from_file_location("toy", ROOT / "examples" / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    toy, discovery = module.Toy(3), socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=toy.accept, args=(discovery, toy.discover), daemon=True).start()
    listen, operator = free_address(), free_address()
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.json"
        file.write_text(
            json.dumps(
                json.loads((ROOT / "examples" / "node.json").read_text())
                | {
                    "discovery": "{}:{}".format(*discovery.getsockname()),
                    "listen": "{}:{}".format(*listen),
                    "operator": "{}:{}".format(*operator),
                }
            )
        )
        node = subprocess.Popen(
            [sys.executable, "-m", "cottonspread", "serve", "--config", str(file)],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(node.pid, {0})
        os.sched_setaffinity(0, set(range(1, os.cpu_count())))
        try:
            return measure(seconds, listen, operator)
        finally:
            node.terminate()
            node.wait()


def wait_until_healthy(operator):
    while True:
        try:
            if call(operator, b"health")[1].startswith(b"200"):
                return
        except OSError:
            time.sleep(0.02)


def measure(seconds, listen, operator):
    """Loads the node for `seconds` and times operators' calls meanwhile; returns the figures."""
    wait_until_healthy(operator)
    seen, lock, end = {"UP": 0, "BUSY": 0, "other": 0}, threading.Lock(), time.monotonic() + seconds

    def connect_repeatedly():
        while time.monotonic() < end:
            with socket.create_connection(listen, timeout=10) as sock, sock.makefile("rb") as file:
                sock.sendall(b"OPEN %s %s c=chat,d=2000,g=0a\r\n" % ((secrets.token_hex(8).encode(),) * 2))
                word = (file.readline().split() or [b""])[0].decode()
                with lock:
                    seen[word if word in seen else "other"] += 1

    def hold_connection():
        while time.monotonic() < end:
            with socket.create_connection(operator, timeout=10) as sock:
                sock.sendall(b"coun")  # an incomplete line; then waits until the node closes
                sock.recv(100)

    threads = [
        threading.Thread(target=run)
        for run in [connect_repeatedly] * CLIENTS + [hold_connection] * SILENT_CALLERS
    ]
    for thread in threads:
        thread.start()
    durations, wrong_answers = [], 0
    while time.monotonic() < end:
        for word in (b"health", b"counters"):
            elapsed, answer = call(operator, word)
            durations.append(elapsed * 1000)
            wrong_answers += not answer.startswith(b"200")
        time.sleep(0.02)
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    figures = dict(
        line.split(" ")
        for line in call(operator, b"counters")[1].decode().splitlines()
        if line.startswith("app_")
    )
    durations.sort()
    return {
        "seconds": seconds,
        "clients": CLIENTS,
        "silent_callers": SILENT_CALLERS,
        "calls": len(durations),
        "wrong": wrong_answers,
        "ms": {
            "p50": round(durations[len(durations) // 2], 2),
            "p99": round(durations[len(durations) * 99 // 100], 2),
            "most": round(durations[-1], 2),
        },
        "seen_by_clients": seen,
        "figures": figures,
    }


if __name__ == "__main__":
    print(json.dumps(main(float(sys.argv[1]) if len(sys.argv) > 1 else 15.0), indent=1))
