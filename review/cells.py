"""Stand-ins for case 1: hosts in cells, discovery and clients that follow the protocol page.

Only the standard library is used, and only loopback addresses. Every stand-in notes what it sees in a
`Record`, whose lines go to `record.txt` at the end of a run.
"""

import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BROKEN = 10  # exit code of a case whose rule was broken; `run.sh` makes 1 of it, and 2 of anything unexpected
UP_DELAY = 0.03  # seconds that a sound host takes to answer a first line


def end_on_sigterm():
    """Makes SIGTERM end the run as an exception does, so that all processes that it started are ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Record:
    """What was sent, answered and run, with the seconds since the start of the run."""

    def __init__(self):
        """Starts empty, now."""
        self.began, self.lines, self.lock = time.monotonic(), [], threading.Lock()

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.began

    def note(self, who, what):
        """Adds a line; returns its time."""
        with self.lock:
            at = self.now()
            self.lines.append(f"{at:8.3f} {who}: {what}")
            return at

    def write(self, path):
        """Writes all lines to a file."""
        with self.lock:
            Path(path).write_text("\n".join(self.lines) + "\n")


def read_lines(sock):
    """Yields whole lines from a socket until its end or its reset."""
    data = b""
    with contextlib.suppress(OSError):
        while chunk := sock.recv(4096):
            data += chunk
            *whole, data = data.split(b"\n")
            for line in whole:
                yield line.rstrip(b"\r")


def serve(listener, handle):
    """Accepts connections until the listener is closed and handles each in a thread of its own."""

    def loop():
        while True:
            try:
                sock = listener.accept()[0]
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(sock,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()


def send(sock, line):
    """Sends a line; returns whether the connection took it."""
    try:
        sock.sendall(line + b"\r\n")
        return True
    except OSError:
        return False


class Cell:
    """Hosts that share which requests they have seen: a repeat that comes to any of them is not run again."""

    def __init__(self, number):
        """`number`: as the list names it."""
        self.number, self.seen, self.lock = number, set(), threading.Lock()

    def is_new(self, call):
        """Whether no host of the cell has seen the request; it is seen from now on."""
        with self.lock:
            new = call not in self.seen
            self.seen.add(call)
            return new


class Host:
    """A host. It runs each request that its cell has not seen, answers UP and echoes the lines after that.

    While `hangs` it takes requests, runs them and answers nothing, on open connections too; what waited is
    answered when it is back.
    """

    def __init__(self, name, cell, record, zone="here"):
        """Starts to listen on a free port of the loopback interface."""
        self.name, self.cell, self.record, self.zone, self.hangs = name, cell, record, zone, False
        self.attempts, self.runs = [], []  # (time, request)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        serve(self.listener, self.handle)

    def entry(self, lifecycle="Ready"):
        """Its entry in the list of hosts."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "std",
            "cell": self.cell.number,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def handle(self, sock):
        """Serves one connection."""
        with sock:
            lines = read_lines(sock)
            first = next(lines, b"").decode("ascii", "replace").split(" ")
            if len(first) != 4 or first[0] != "OPEN":
                send(sock, b"SYNTAX")
                return
            call = first[1]
            self.attempts.append((self.record.note(self.name, f"cell {self.cell.number} got {call}"), call))
            if self.cell.is_new(call):
                self.runs.append((self.record.note(self.name, f"cell {self.cell.number} RUNS {call}"), call))
            else:
                self.record.note(self.name, f"cell {self.cell.number} knows {call} and does not run it again")
            time.sleep(UP_DELAY)
            self.wait_while_hung()
            send(sock, b"UP " + secrets.token_hex(8).encode())
            for line in lines:
                self.wait_while_hung()
                if not send(sock, line):
                    return

    def wait_while_hung(self):
        """Returns once the host answers."""
        while self.hangs:
            time.sleep(0.02)


class Discovery:
    """The agent that tells the node the list of hosts. Each change is answered with the whole list."""

    def __init__(self, entries, record, generation=41):
        """`entries`: of the first list."""
        self.entries, self.record, self.generation = entries, record, generation
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self.listener.getsockname())
        serve(self.listener, self.handle)

    def set_list(self, entries, why):
        """Takes over another list, which open watches are told at once."""
        with self.changed:
            self.entries, self.generation = entries, self.generation + 1
            self.record.note("discovery", f"generation {self.generation}: {why}")
            self.changed.notify_all()

    def handle(self, sock):
        """Serves one connection."""
        with sock:
            lines = read_lines(sock)
            for line in lines:
                for header in lines:
                    if not header:
                        break
                body = json.dumps(self.answer(line.split()[1].decode())).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                try:
                    sock.sendall(head % len(body) + body)
                except OSError:
                    return

    def answer(self, target):
        """The whole list, or after a watch without news no entries."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
        with self.changed:
            if "since" in query:
                since = int(query["since"][0])
                wait = min(int(query["timeout_ms"][0]), 60_000) / 1000
                self.changed.wait_for(lambda: self.generation > since, wait)
                if self.generation <= since:
                    return {"generation": self.generation, "reset": False, "instances": []}
            return {"generation": self.generation, "reset": True, "instances": list(self.entries)}


class Client:
    """One client's connection: it opens, sends a line every two seconds while it stands, and leaves."""

    def __init__(self, address, record, traffic_type, deadline_ms, stay, extra=""):
        """`stay`: seconds after UP until it leaves; `extra`: further fields of its first line."""
        self.address, self.record, self.type, self.deadline_ms = address, record, traffic_type, deadline_ms
        self.call, self.stay, self.extra, self.answer = secrets.token_hex(8), stay, extra, None
        self.sent_at = self.answered_at = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Plays the client."""
        try:
            with socket.create_connection(self.address, timeout=10) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                line = (
                    f"OPEN {self.call} {secrets.token_hex(8)} c={self.type},d={self.deadline_ms}{self.extra}"
                )
                at = self.record.note("client", f"sends {line}")
                if not send(sock, line.encode()):
                    return  # not taken: its last byte was not written
                self.sent_at = at
                lines = read_lines(sock)
                self.answer = next(lines, b"(end)").decode("ascii", "replace")
                self.answered_at = self.record.note("client", f"{self.call} is answered {self.answer}")
                if self.answer.startswith("UP "):
                    self.talk(sock, lines)
        except OSError as error:
            self.answer = f"({error})"
            self.record.note("client", f"{self.call}: {error}")

    def talk(self, sock, lines):
        """Sends lines until it leaves; a MOVE or the end of the connection ends it sooner."""
        until = time.monotonic() + self.stay
        while time.monotonic() < until:
            sock.settimeout(max(0.01, min(2.0, until - time.monotonic())))
            if not send(sock, b"hello"):
                return
            reply = next(lines, None)
            if reply is None or reply == b"MOVE":
                return
            time.sleep(max(0.0, min(2.0, until - time.monotonic())))


def deploy_command(key):
    """A command of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[key]


def free_port():
    """A port that nobody listens on now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def settings(**changes):
    """Settings like those of a small deployment; `changes` replace or add keys."""
    return {
        "Balancers": 1,
        "Me": 0,
        "Zone": 0,
        "Zones": ["here"],
        "Kinds": ["std"],
        "MembershipMode": "push",
        "Weights": "nominal",
        "Step": 2.0,
        "TrafficTypes": [],
        "FamilyInfo": {"Groups": False, "MessageAim": [100], "TellsDelay": False, "TellsLoad": False},
        "Limits": {
            "MostLegs": 5,
            "MayDuplicate": False,
            "Cancel": True,
            "RetryAfter": False,
            "MaxRetryAfter": 2000.0,
            "ConnectTimeout": 250.0,
        },
        "Rules": {
            "ColdFrom": 0.12,
            "RampTime": 23000.0,
            "TipMultiple": 3.0,
            "OverloadFor": 3000.0,
            "DrainGrace": 500.0,
        },
    } | changes


class Node:
    """The node, started by `run` of the deploy file from the root of the project."""

    def __init__(self, folder, record, discovery, node_settings, name="n1", known=None, more=""):
        """`folder`: for its files; `more`: further arguments of the command."""
        self.folder, self.record, self.name, self.more = Path(folder), record, name, more
        self.address = ("127.0.0.1", free_port())
        self.config = self.folder / f"{name}.json"
        self.values = {
            "name": name,
            "listen": "{}:{}".format(*self.address),
            "discovery": discovery,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"generation": 0, "reset": True, "instances": []},
            "settings": node_settings,
        }
        self.write()
        self.start()

    def write(self):
        """Writes its configuration whole."""
        fresh = self.config.with_suffix(".new")
        fresh.write_text(json.dumps(self.values))
        os.replace(fresh, self.config)

    def start(self):
        """Starts the process."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run") + self.more],
                cwd=ROOT,
                env={**os.environ, "PROXY_CONFIG": str(self.config), "TMPDIR": str(self.folder)},
                stdout=log,
                stderr=log,
            )
        self.record.note("test", f"starts {self.name}")

    def until_ready(self, wait=30):
        """Waits until it answers PING with PONG; returns whether it did."""
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline and self.process.poll() is None:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(self.address, timeout=1) as sock,
            ):
                send(sock, b"PING")
                if next(read_lines(sock), b"") == b"PONG":
                    return True
            time.sleep(0.05)
        return False

    def end(self):
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
