"""What a node costs by the length of its list.

    python benchmarks/sizes/lists.py [SERVERS ...] > benchmarks/sizes/results/lists.json

One node on one core for each length, with its own list; all servers in the list are one stub that answers UP.
Measured from outside: the start until the first PONG, a change of one server until the node logs the update,
calls one after the other (each of another group, so that the group's server order is computed), the end on
SIGTERM. Memory is the kernel's peak value. The full list is sent in one of three forms: `compact`,
`indented`, or `pieces` (the body in parts of 1,400 bytes).
"""

import contextlib
import json
import os
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
CALLS = 300


def accept_in_threads(listener, handle_connection):
    """Accepts connections for ever, each handled in a thread of its own."""

    def accept():
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=handle_connection, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def serve_host(sock):
    """Answers a first line with UP and each further line with an echo."""
    with sock, sock.makefile("rb") as file:
        if file.readline():
            sock.sendall(b"UP r1\r\n")
            while file.readline():
                sock.sendall(b"echo\r\n")


class Listing:
    """The list: in full at first, then one change for each call of `change`."""

    def __init__(self, servers, address, form):
        """`address`: that of every server. `form`: `compact`, `indented` or `pieces`."""
        self.servers = [
            {
                "instanceId": f"s-{n:08x}",
                "hostPort": address,
                "zone": "here",
                "machineType": "toy",
                "cell": n // 8,
                "lifecycle": "Ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for n in range(servers)
        ]
        self.form, self.version, self.changed = form, 1, threading.Condition()

    def change(self):
        """Changes the first server and answers the waiting requests."""
        with self.changed:
            self.version += 1
            self.servers[0]["startedAtMs"] = self.version
            self.changed.notify_all()

    def handle_connection(self, sock):
        """Answers a node's requests; a request with `since` waits for a change."""
        with contextlib.suppress(ConnectionError), sock, sock.makefile("rb") as file:  # the node has closed
            while line := file.readline():
                while file.readline().strip():
                    pass
                since = re.search(rb"since=(\d+)", line)
                with self.changed:
                    if since:
                        self.changed.wait_for(lambda since=int(since[1]): self.version > since, 4)
                        reply = {"generation": self.version, "reset": False, "instances": self.servers[:1]}
                    else:
                        reply = {"generation": self.version, "reset": True, "instances": self.servers}
                body = json.dumps(reply, indent=2 if self.form == "indented" else None).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                step = 1400 if self.form == "pieces" else len(body)
                for at in range(0, len(body), step):
                    sock.sendall(body[at : at + step])


def exchange(address, line, timeout=5):
    """Sends a line on a new connection; returns the answer."""
    with socket.create_connection(address, timeout=timeout) as sock:
        sock.sendall(line + b"\r\n")
        return sock.recv(100)


def first_pong(address, started_at, timeout=30):
    """Seconds from `started_at` until the node answers PONG."""
    while time.perf_counter() - started_at < timeout:
        try:
            if exchange(address, b"PING") == b"PONG\r\n":
                return time.perf_counter() - started_at
        except OSError:
            pass
        time.sleep(0.005)
    raise TimeoutError(f"no PONG within {timeout} s")


def processor_seconds(pid):
    """Processor time that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid):
    """Peak resident memory in MB."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


def measure(servers, form):
    """Runs a node with a list of `servers` servers; returns the figures."""
    with socket.create_server(("127.0.0.1", 0)) as placeholder:
        listen = placeholder.getsockname()
    hosts, discovery = (
        socket.create_server(("127.0.0.1", 0), backlog=512),
        socket.create_server(("127.0.0.1", 0)),
    )
    listing = Listing(servers, "{}:{}".format(*hosts.getsockname()), form)
    accept_in_threads(hosts, serve_host)
    accept_in_threads(discovery, listing.handle_connection)
    with tempfile.TemporaryDirectory() as folder:
        file, log = Path(folder) / "node.json", Path(folder) / "log"
        file.write_text(
            json.dumps(
                json.loads((ROOT / "examples" / "node.json").read_text())
                | {
                    "discovery": "{}:{}".format(*discovery.getsockname()),
                    "listen": "{}:{}".format(*listen),
                    "operator": None,
                }
            )
        )
        started_at = time.perf_counter()
        with log.open("wb") as out:
            node = subprocess.Popen(
                [sys.executable, "-m", "cottonspread", "serve", "--config", str(file)], cwd=ROOT, stderr=out
            )
        os.sched_setaffinity(node.pid, {0})
        try:
            first_pong_s = first_pong(listen, started_at)
            update_times, before = [], processor_seconds(node.pid)
            for _ in range(10):
                updates_before, began_at = log.read_text().count("event=list"), time.perf_counter()
                listing.change()
                while log.read_text().count("event=list") == updates_before:
                    time.sleep(0.001)
                update_times.append(time.perf_counter() - began_at)
            update_cpu_s = (processor_seconds(node.pid) - before) / len(update_times)
            calls, before = [], processor_seconds(node.pid)
            for n in range(CALLS):
                began_at = time.perf_counter()
                answer = exchange(
                    listen, b"OPEN %s k%d c=chat,d=2000,g=g%d" % (secrets.token_hex(8).encode(), n, n)
                )
                calls.append(time.perf_counter() - began_at)
                if not answer.startswith(b"UP "):
                    raise RuntimeError(f"{servers} {form}: call {n}: expected UP, got {answer!r}")
            call_cpu_s = (processor_seconds(node.pid) - before) / CALLS
            peak_mb = peak_memory_mb(node.pid)
            began_at = time.perf_counter()
            node.send_signal(signal.SIGTERM)
            code = node.wait(20)
            if code:
                raise RuntimeError(f"{servers} {form}: exited with {code}")
            stop_s = time.perf_counter() - began_at
        finally:
            if node.poll() is None:
                node.kill()
            node.wait()
    calls.sort()
    update_times.sort()
    return {
        "servers": servers,
        "form": form,
        "first_pong_ms": round(first_pong_s * 1000),
        "change_ms": round(update_times[len(update_times) // 2] * 1000, 1),
        "change_cpu_ms": round(update_cpu_s * 1000, 1),
        "call_p50_ms": round(calls[CALLS // 2] * 1000, 2),
        "call_p99_ms": round(calls[CALLS * 99 // 100] * 1000, 2),
        "call_cpu_ms": round(call_cpu_s * 1000, 2),
        "memory_mb": round(peak_mb, 1),
        "end_ms": round(stop_s * 1000),
    }


if __name__ == "__main__":
    os.sched_setaffinity(0, set(range(1, os.cpu_count())))
    lengths = [int(word) for word in sys.argv[1:]] or [60, 1024, 2000]
    runs = [measure(lengths[0], "compact")] + [
        measure(n, form) for n in lengths[1:] for form in ("compact", "indented", "pieces")
    ]
    print(json.dumps({"command": " ".join(["python", *sys.argv]), "plays": runs}, indent=1))
