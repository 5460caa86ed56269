"""Stand-ins for cases 2 and 3: discovery and clients, as threads of the case's own process.

They follow the operators' protocol page: discovery is HTTP/1.1 with a full list and watches, a client opens
one connection, keeps it and sends a line now and then. `Record` writes what was sent, answered and run.
Servers stand in the cases.
"""

import contextlib
import json
import os
import resource
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PYTHON = os.path.join(ROOT, ".venv", "bin", "python")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh turns 10 into 1: Python itself exits with 1 after an exception


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: a time in seconds since the start, what, and its pairs."""

    def __init__(self, folder):
        """`folder`: of the case."""
        self.started_at, self.lock = time.monotonic(), threading.Lock()
        self.path = os.path.join(folder, "record.txt")
        with open(self.path, "w", encoding="utf-8"):
            pass

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, event, **pairs):
        """Adds a line."""
        text = " ".join(f"{key}={value}" for key, value in pairs.items())
        with self.lock, open(self.path, "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {event} {text}\n")


def free_ports(count, adjoining=False):
    """Returns `count` loopback ports that are free now, below those that the system gives out itself."""
    for _ in range(500):
        first = 20000 + secrets.randbelow(11000)
        ports = [first + n for n in range(count)] if adjoining else None
        ports = ports or sorted({20000 + secrets.randbelow(12000) for _ in range(count)})
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                stack.enter_context(socket.create_server(("127.0.0.1", port)))
            if len(ports) == count:
                return ports
    raise NotRunError("no free ports")


def allow_descriptors(count):
    """Raises this process's soft limit on descriptors as far as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = count if hard == resource.RLIM_INFINITY else min(count, hard)
    if wanted < count:
        raise NotRunError(f"{count} descriptors are needed; the limit is {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))


def serve_each(listener, handle):
    """Accepts connections and calls `handle(sock)` for each in a thread of its own."""

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=guarded, args=(sock,), daemon=True).start()

    def guarded(sock):
        with contextlib.suppress(OSError, ValueError), sock:
            handle(sock)

    threading.Thread(target=accept, daemon=True).start()


def list_entry(name, listener):
    """A server's entry in the list."""
    return {
        "instanceId": name,
        "hostPort": "{}:{}".format(*listener.getsockname()),
        "zone": "here",
        "machineType": "m",
        "cell": 0,
        "lifecycle": "Ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Discovery:
    """The list of servers over HTTP: full lists and watches."""

    def __init__(self, entries):
        """Starts on a free loopback port; `address`: HOST:PORT."""
        self.changed, self.version, self.changes = threading.Condition(), 1, []
        self.entries = {entry["instanceId"]: entry for entry in entries}
        listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*listener.getsockname())
        serve_each(listener, self.serve)

    def serve(self, sock):
        """Serves one connection."""
        with sock.makefile("rwb") as file:
            while line := file.readline():
                while file.readline().strip():
                    pass
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(line.split()[1].decode()).query)
                body = json.dumps(self.answer(query)).encode()
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                file.flush()

    def answer(self, query):
        """The answer to a request."""
        with self.changed:
            if "since" not in query:
                return {
                    "generation": self.version,
                    "reset": True,
                    "instances": list(self.entries.values()),
                }
            since = int(query["since"][0])
            self.changed.wait_for(lambda: self.version > since, int(query["timeout_ms"][0]) / 1000)
            latest = {entry["instanceId"]: entry for version, entry in self.changes if version > since}
            return {"generation": self.version, "reset": False, "instances": list(latest.values())}

    def change(self, name, lifecycle):
        """Changes a server's state and tells it."""
        with self.changed:
            self.version += 1
            self.entries[name] = self.entries[name] | {"lifecycle": lifecycle}
            self.changes.append((self.version, self.entries[name]))
            self.changed.notify_all()


class StandingClient:
    """A client with one connection that it keeps. `ended`: how it ended; "" while it stands."""

    LINE_EVERY = 2.0  # seconds, as the protocol page says

    def __init__(self, record, port, traffic_type):
        """`port`: of a node on 127.0.0.1."""
        self.record, self.type, self.id = record, traffic_type, secrets.token_hex(8)
        self.ended, self.up, self.closed = "", threading.Event(), False
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.sock.settimeout(None)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        """Opens the connection and reads until its end."""
        self.record.write("sent", id=self.id, line="OPEN")
        try:
            self.sock.sendall(f"OPEN {self.id} {secrets.token_hex(8)} c={self.type},d=2000\r\n".encode())
            with self.sock.makefile("rb") as file:
                answer = file.readline().split(b" ")[0].strip().decode("ascii", "replace")
                self.record.write("answered", id=self.id, line=answer)
                if answer != "UP":
                    self.end("not-up")
                    return
                self.up.set()
                threading.Thread(target=self.talk, daemon=True).start()
                for line in file:
                    if line == b"MOVE\r\n":
                        self.end("MOVE")
                        return
                self.end("ended-without-MOVE")
        except OSError as error:
            self.end(f"{type(error).__name__}-without-MOVE")

    def talk(self):
        """Sends a line now and then, which the server echoes."""
        while not self.ended:
            time.sleep(self.LINE_EVERY)
            try:
                self.sock.sendall(b"hello\r\n")
            except OSError:
                return

    def leave(self):
        """Ends the connection, as a client does that needs it no more."""
        self.end("left")
        self.sock.shutdown(socket.SHUT_RDWR)

    def end(self, how):
        """Records how the connection ended, once and not after `closed` is set."""
        if not self.ended and not self.closed:
            self.ended = how
            self.record.write("ended", id=self.id, how=how)
            if how == "MOVE":
                self.sock.shutdown(socket.SHUT_RDWR)


def ping(address, timeout=0.5):
    """Whether a node answers PING with PONG."""
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.sendall(b"PING\r\n")
            return sock.recv(16) == b"PONG\r\n"
    except OSError:
        return False


def wait_until(what, condition, seconds=20.0, every=0.1):
    """Waits for a condition; raises NotRunError if it does not come."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise NotRunError(f"{what}: not within {seconds:g} s")
        time.sleep(every)


class Processes:
    """The project's own programs, started from the repository's root. All of them are ended by `end_all`."""

    def __init__(self, record, folder):
        """`folder`: for their logs and files."""
        self.record, self.folder, self.children = record, folder, []

    def start(self, name, *arguments):
        """Starts `python -m cottonspread ARGUMENTS`."""
        self.record.write("start", process=name)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            child = subprocess.Popen(
                [PYTHON, "-m", "cottonspread", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": self.folder},
            )
        self.children.append((name, child))
        return child

    def start_deployed(self, name, environment):
        """Starts a node with the deploy file's `run`."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        self.record.write("start", process=name)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            child = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": self.folder, **environment},
            )
        self.children.append((name, child))
        return child

    def run(self, name, *arguments, timeout=40.0):
        """Runs a command to its end; returns (exit code, output)."""
        try:
            done = subprocess.run(
                [PYTHON, "-m", "cottonspread", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=timeout,
                check=False,
            )
        except subprocess.TimeoutExpired:
            raise NotRunError(f"{name}: no end within {timeout:g} s") from None
        output = (done.stdout + done.stderr).strip()
        self.record.write(
            "command", name=name, exit=done.returncode, output=output.replace("\n", " | ")[:400]
        )
        return done.returncode, output

    def signal(self, name, child, number):
        """Sends a signal to a process that this case started."""
        self.record.write("signal", process=name, signal=signal.Signals(number).name)
        child.send_signal(number)

    def end_all(self):
        """Ends all processes: SIGTERM, then SIGKILL."""
        for _, child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.send_signal(signal.SIGTERM)
        end = time.monotonic() + 15  # a fleet answers its calls and moves its clients first
        for _, child in self.children:
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.wait(max(0.05, end - time.monotonic()))
            if child.poll() is None:
                child.kill()
                child.wait()
        for pid in self.instances():
            with contextlib.suppress(OSError):
                os.kill(pid, signal.SIGKILL)

    def instances(self):
        """The pids of what is left of this case's fleet: processes whose command names the case's folder."""
        pids = []
        for entry in filter(str.isdigit, os.listdir("/proc")):
            with contextlib.suppress(OSError), open(f"/proc/{entry}/cmdline", "rb") as file:
                if os.fsencode(self.folder) + b"/" in file.read():
                    pids.append(int(entry))
        return pids


def run_case(case_file, play):
    """Runs `play(record, processes, folder)`, which returns a list of what broke the rule, and exits."""
    case_folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="review-")
    processes = Processes(record, folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        broken = play(record, processes, folder)
        code = BROKEN if broken else HELD
        for text in broken:
            record.write("broken", what=text)
        print("\n".join(broken[:10]) or "the rule held")
    except NotRunError as error:
        record.write("not-run", why=error)
        print(f"could not run: {error}")
    finally:
        processes.end_all()
        shutil.rmtree(folder, ignore_errors=True)
        record.write("exit", code=code)
    sys.exit(code)


SETTINGS = {
    "Balancers": 1,
    "Me": 0,
    "Zone": 0,
    "Zones": ["here"],
    "Kinds": ["m"],
    "MembershipMode": "push",
    "TrafficTypes": [
        {"Name": "chat", "Effect": "safe", "SetupTarget": 500, "GuardTime": 2000, "Revenue": 1},
    ],
    "FamilyInfo": {"Groups": False, "MessageAim": [100], "TellsDelay": False, "TellsLoad": False},
    "Limits": {
        "MostLegs": 5,
        "Cancel": True,
        "RetryAfter": True,
        "MaxRetryAfter": 2000,
        "ConnectTimeout": 250,
    },
    "Rules": {
        "ColdFrom": 0.2,
        "RampTime": 10000,
        "TipMultiple": 3,
        "OverloadFor": 2000,
        "DrainGrace": 500,
    },
}


def node_file(folder, name, listen, discovery, settings=None, **more):
    """Writes a node's configuration as the platform gives it; returns its path."""
    path = os.path.join(folder, f"{name}.json")
    values = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": secrets.token_hex(8),
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": settings or SETTINGS,
        **more,
    }
    with open(path, "w", encoding="utf-8") as file:
        json.dump(values, file, indent=1)
    return path
