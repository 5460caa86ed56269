"""What a node costs by the length of its list.

    python benchmarks/sizes/lists.py [SERVERS ...] > benchmarks/sizes/results/lists.json

One node on one core for each length, with a list of its own: all servers named there are one stand-in that
answers UP. Timed from outside: the start to the first PONG, a change of one server to the word in the log,
calls one after the other (each of another group, so that its order of servers is made), the end on SIGTERM;
the memory is what the kernel says at most. `compact`, `indented` and `pieces` (the body in parts of 1,400
bytes) are forms in which the whole list comes.
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


def serve(listener, one):
    def accept():
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=one, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def host(sock):
    with sock, sock.makefile("rb") as file:
        if file.readline():
            sock.sendall(b"UP r1\r\n")
            while file.readline():
                sock.sendall(b"echo\r\n")


class Listing:
    """The list: whole at first, then one change at a time, when `change` is called."""

    def __init__(self, servers, address, form):
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
        self.form, self.version, self.news = form, 1, threading.Condition()

    def change(self):
        with self.news:
            self.version += 1
            self.servers[0]["startedAtMs"] = self.version
            self.news.notify_all()

    def one(self, sock):
        with contextlib.suppress(ConnectionError), sock, sock.makefile("rb") as file:  # the node has ended
            while line := file.readline():
                while file.readline().strip():
                    pass
                since = re.search(rb"since=(\d+)", line)
                with self.news:
                    if since:
                        self.news.wait_for(lambda since=int(since[1]): self.version > since, 4)
                        said = {"generation": self.version, "reset": False, "instances": self.servers[:1]}
                    else:
                        said = {"generation": self.version, "reset": True, "instances": self.servers}
                body = json.dumps(said, indent=2 if self.form == "indented" else None).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                step = 1400 if self.form == "pieces" else len(body)
                for at in range(0, len(body), step):
                    sock.sendall(body[at : at + step])


def ask(address, line, wait=5):
    with socket.create_connection(address, timeout=wait) as sock:
        sock.sendall(line + b"\r\n")
        return sock.recv(100)


def first_pong(address, began, wait=30):
    while time.perf_counter() - began < wait:
        try:
            if ask(address, b"PING") == b"PONG\r\n":
                return time.perf_counter() - began
        except OSError:
            pass
        time.sleep(0.005)
    raise TimeoutError("no PONG")


def processor(pid):
    """Seconds that the process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid):
    """MB at most, as the kernel says."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


def measure(servers, form):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = taken.getsockname()
    hosts, discovery = (
        socket.create_server(("127.0.0.1", 0), backlog=512),
        socket.create_server(("127.0.0.1", 0)),
    )
    listing = Listing(servers, "{}:{}".format(*hosts.getsockname()), form)
    serve(hosts, host)
    serve(discovery, listing.one)
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
        began = time.perf_counter()
        with log.open("wb") as out:
            node = subprocess.Popen(
                [sys.executable, "-m", "cottonspread", "serve", "--config", str(file)], cwd=ROOT, stderr=out
            )
        os.sched_setaffinity(node.pid, {0})
        try:
            started = first_pong(listen, began)
            words, before = [], processor(node.pid)
            for _ in range(10):
                heard, at = log.read_text().count("event=list"), time.perf_counter()
                listing.change()
                while log.read_text().count("event=list") == heard:
                    time.sleep(0.001)
                words.append(time.perf_counter() - at)
            lists = (processor(node.pid) - before) / len(words)
            calls, before = [], processor(node.pid)
            for n in range(CALLS):
                at = time.perf_counter()
                answer = ask(
                    listen, b"OPEN %s k%d c=chat,d=2000,g=g%d" % (secrets.token_hex(8).encode(), n, n)
                )
                calls.append(time.perf_counter() - at)
                if not answer.startswith(b"UP "):
                    raise RuntimeError(f"{servers} {form}: call {n} was answered {answer!r}")
            cpu = (processor(node.pid) - before) / CALLS
            most = memory(node.pid)
            at = time.perf_counter()
            node.send_signal(signal.SIGTERM)
            code = node.wait(20)
            if code:
                raise RuntimeError(f"{servers} {form}: exited with {code}")
            ended = time.perf_counter() - at
        finally:
            if node.poll() is None:
                node.kill()
            node.wait()
    calls.sort()
    words.sort()
    return {
        "servers": servers,
        "form": form,
        "first_pong_ms": round(started * 1000),
        "change_ms": round(words[len(words) // 2] * 1000, 1),
        "change_cpu_ms": round(lists * 1000, 1),
        "call_p50_ms": round(calls[CALLS // 2] * 1000, 2),
        "call_p99_ms": round(calls[CALLS * 99 // 100] * 1000, 2),
        "call_cpu_ms": round(cpu * 1000, 2),
        "memory_mb": round(most, 1),
        "end_ms": round(ended * 1000),
    }


if __name__ == "__main__":
    os.sched_setaffinity(0, set(range(1, os.cpu_count())))
    lengths = [int(word) for word in sys.argv[1:]] or [60, 1024, 2000]
    found = [measure(lengths[0], "compact")] + [
        measure(n, form) for n in lengths[1:] for form in ("compact", "indented", "pieces")
    ]
    print(json.dumps({"command": " ".join(["python", *sys.argv]), "plays": found}, indent=1))
