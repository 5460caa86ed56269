"""Stand-ins for the cases: servers, their discovery and clients, as threads of the case's own process.

They follow the operators' protocol page: a server answers a first line with UP and echoes the lines after it,
discovery is HTTP/1.1 with a full list and watches, a client sends one OPEN line and waits for the answer.
`Record` writes what was sent, answered and run.
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


class Hosts:
    """Servers that answer at once. `entries`: theirs in the list."""

    def __init__(self, record, count):
        """Starts them on free loopback ports."""
        self.record, self.entries = record, []
        for number in range(count):
            listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            name = f"s-{number}"
            self.entries.append(list_entry(name, listener))
            serve_each(listener, lambda sock, name=name: self.serve(sock, name))

    def serve(self, sock, name):
        """Serves one connection."""
        with sock.makefile("rwb") as file:
            first = file.readline()
            words = first.split()
            if len(words) != 4 or words[0] != b"OPEN":
                file.write(b"SYNTAX\r\n")
                return
            self.record.write("run", host=name, id=words[1].decode())
            file.write(b"UP %s\r\n" % secrets.token_hex(8).encode())
            file.flush()
            for line in file:
                file.write(line)
                file.flush()
                if line.strip() == b"BYE":
                    return


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


class Client:
    """One client with one connection. `outcome`: "" while open, else how its first line ended."""

    def __init__(self, record, address, traffic_type="chat", wait_ms=2000):
        """`address`: (host, port) of a node."""
        self.record, self.address, self.type, self.wait_ms = record, address, traffic_type, wait_ms
        self.id, self.outcome, self.sent_at, self.answered_after = secrets.token_hex(8), "", 0.0, None

    def play(self, grace=0.55):
        """Connects, sends OPEN, waits for the answer, has one line echoed and ends with BYE.

        `grace`: seconds after the client's time in which an answer still counts as one.
        """
        try:
            sock = socket.create_connection(self.address, timeout=2.0)
        except OSError as error:
            self.end("not-connected", why=type(error).__name__)
            return
        with sock, contextlib.suppress(OSError):
            self.talk(sock, grace)

    def talk(self, sock, grace):
        """The conversation on a connection that the node's machine has accepted."""
        line = f"OPEN {self.id} {secrets.token_hex(8)} c={self.type},d={self.wait_ms}\r\n"
        try:
            sock.sendall(line.encode())
        except OSError:
            self.end("not-sent")
            return
        self.sent_at = self.record.now()
        self.record.write("sent", id=self.id, to="{}:{}".format(*self.address))
        data = b""
        try:
            while not data.endswith(b"\n"):
                left = self.sent_at + self.wait_ms / 1000 + grace - self.record.now()
                sock.settimeout(max(0.001, left))
                if not (more := sock.recv(4096)):
                    break
                data += more
        except TimeoutError:
            self.end("lost", why="no-answer-in-time")
            return
        except OSError as error:
            self.end("lost", why=type(error).__name__)
            return
        if not data.endswith(b"\n"):
            self.end("lost", why="closed-without-answer")
            return
        self.end(data.split()[0].decode("ascii", "replace"))
        if data.startswith(b"UP "):
            sock.settimeout(3.0)
            sock.sendall(b"hello\r\nBYE\r\n")
            while sock.recv(4096):
                pass

    def end(self, outcome, **pairs):
        """Records how the first line ended."""
        self.outcome = outcome
        self.answered_after = self.record.now() - self.sent_at if self.sent_at else None
        after = "-" if self.answered_after is None else f"{self.answered_after:.3f}"
        to = "{}:{}".format(*self.address)
        self.record.write("answered", id=self.id, to=to, outcome=outcome, after=after, **pairs)


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
        self.others = set()  # pids of processes that those have started, in sessions of their own

    def start(self, name, *arguments, environment=None):
        """Starts `python -m cottonspread ARGUMENTS`."""
        self.record.write("start", process=name)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            child = subprocess.Popen(
                [PYTHON, "-m", "cottonspread", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": self.folder, **(environment or {})},
            )
        self.children.append((name, child))
        return child

    def start_deployed(self, name, environment, listener=None):
        """Starts a node with the deploy file's `run`; `listener`: inherited as descriptor 7."""
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
                close_fds=False,  # the other descriptors are not inheritable
                preexec_fn=None if listener is None else lambda: os.dup2(listener.fileno(), 7),
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
        for pid in self.others:
            self.end_other(pid)

    def end_other(self, pid):
        """Ends an instance of this case's fleet that is still there, by its pid and its folder."""
        with contextlib.suppress(OSError):
            with open(f"/proc/{pid}/cmdline", "rb") as file:
                is_ours = os.fsencode(self.folder) in file.read()
            if is_ours:
                os.kill(pid, signal.SIGKILL)


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
