"""Stand-ins and helpers of cases 6 to 10: servers, discovery, a client, a proxy, processes.

Everything runs on loopback addresses with free ports and in one temporary folder, which is removed at the
end. Each process that a case starts is ended by its id.
"""

import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PYTHON = ".venv/bin/python"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115


class NotRunError(Exception):
    """The case could not run as intended; it says nothing about the rule."""


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder):
        """`folder`: the case's folder, where `record.txt` is written."""
        self.record_path = os.path.join(folder, "record.txt")
        with open(self.record_path, "w", encoding="utf-8"):
            pass
        self.lock, self.began = threading.Lock(), time.monotonic()
        # Short, because the path of a Unix socket is limited.
        base = tempfile.gettempdir()
        self.folder = tempfile.mkdtemp(prefix="r2-", dir=base if len(base) < 40 else "/tmp")
        self.processes = []

    def record(self, text):
        """Writes a line to the record, with the time since the start."""
        with self.lock, open(self.record_path, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def path(self, *names):
        """A path in the temporary folder."""
        return os.path.join(self.folder, *names)

    def write_json(self, name, value):
        """Writes a JSON file and returns its path."""
        with open(self.path(name), "w", encoding="utf-8") as file:
            json.dump(value, file)
        return self.path(name)

    def write_text(self, name, text):
        """Writes a text file and returns its path."""
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        return self.path(name)

    def start(self, label, arguments, environment=None, **more):
        """Starts `cottonspread` with these arguments as the deploy file does; returns the process."""
        command = f"exec {PYTHON} -m cottonspread {arguments}"
        with open(self.path(f"{label}.log"), "ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=clean_environment() | (environment or {}),
                **more,
            )
        self.processes.append(process)
        shown = " ".join(f"{k}={v}" for k, v in (environment or {}).items()).replace(self.folder, "TMP")
        self.record(f"run {label} pid {process.pid}: {shown} {command}".replace(self.folder, "TMP"))
        return process

    def finish(self, label, process, timeout):
        """Waits for a command to end; returns (exit code, output)."""
        try:
            code = process.wait(timeout)
        except subprocess.TimeoutExpired:
            raise NotRunError(f"{label} did not end within {timeout} s") from None
        output = self.log(label)
        self.record(f"{label} ended with {code}: {' | '.join(output.splitlines())}")
        return code, output

    def log(self, label):
        """What a process has written so far."""
        with open(self.path(f"{label}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, label, process, number):
        """Sends a signal to a process that this case started."""
        self.record(f"signal {signal.Signals(number).name} to {label}")
        process.send_signal(number)

    def until(self, condition, what, timeout=20.0, interval=0.05):
        """Waits for a condition and returns its value; NotRunError if it does not come true."""
        deadline = time.monotonic() + timeout
        while not (value := condition()):
            if time.monotonic() > deadline:
                raise NotRunError(f"not within {timeout} s: {what}")
            time.sleep(interval)
        return value

    def leftovers(self):
        """Pids of processes that this case started, itself or by a supervisor.

        Their command lines name its temporary folder, which no other process does.
        """
        found = []
        for pid in filter(str.isdigit, os.listdir("/proc")):
            with contextlib.suppress(OSError), open(f"/proc/{pid}/cmdline", "rb") as file:
                if os.fsencode(self.folder) + b"/" in file.read() and int(pid) != os.getpid():
                    found.append(int(pid))
        return found

    def close(self):
        """Ends all processes that this case started, and removes the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        # A supervisor may have been starting an instance when it ended: look until none is left.
        for _ in range(50):
            for pid in self.leftovers():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            time.sleep(0.05)
            if not self.leftovers():
                break
        else:
            self.record(f"still running: {self.leftovers()}")
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                lines = self.log(name.removesuffix(".log")).splitlines()
                for line in [line for line in lines if "event=closed" not in line][-30:]:
                    self.record(f"log of {name}: {line}".replace(self.folder, "TMP"))
        shutil.rmtree(self.folder, ignore_errors=True)


def clean_environment():
    """The environment without settings of a node."""
    return {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}


def run(folder, play):
    """Runs `play(case)`, which returns (rule held, text); returns the exit code."""
    case = Case(folder)
    timer = threading.Timer(LIMIT_S, lambda: os.kill(os.getpid(), signal.SIGINT))
    timer.daemon = True
    timer.start()
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        case.record(f"the case runs {'with' if TROUBLE else 'without'} the disruption")
        held, text = play(case)
        code = HELD if held else BROKEN
        case.record(f"{'HELD' if held else 'BROKEN'}: {text}")
        print(f"{'HELD' if held else 'BROKEN'}: {text}")
    except (NotRunError, OSError, KeyboardInterrupt) as error:
        case.record(f"NOT RUN: {type(error).__name__}: {error}")
        print(f"NOT RUN: {type(error).__name__}: {error}")
    except Exception:
        case.record(f"NOT RUN: {traceback.format_exc()}")
        print(f"NOT RUN: {traceback.format_exc()}")
    finally:
        timer.cancel()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        case.close()
    return code


def free_ports(count):
    """Free ports of the loopback interface."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def adjacent_ports(count):
    """The first of `count` free ports in a row."""
    for first in range(15000 + secrets.randbelow(14000), 31000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.create_server(("127.0.0.1", port)))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise NotRunError("no free ports")


def node_configuration(name, listen, discovery, **more):
    """A node's configuration, with the settings of `examples/node.json`."""
    with open(os.path.join(ROOT, "examples", "node.json"), encoding="utf-8") as file:
        values = json.load(file)
    del values["operator"]
    return values | {"name": name, "listen": listen, "discovery": discovery} | more


class Platform:
    """Sound servers that echo lines, and the discovery that lists them, in threads of this process."""

    def __init__(self, case, count=3):
        """Starts `count` servers and the discovery on free ports."""
        self.case, self.changed, self.version = case, threading.Condition(), 1
        self.servers, self.changes = [], []
        self.held = [{} for _ in range(count)]
        """For each server, its open connections by the id in their first line."""
        self.refusing = set()
        """Numbers of servers that refuse new connections."""
        for n in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            self.servers.append(
                {
                    "instanceId": f"s-{n + 1}",
                    "hostPort": f"127.0.0.1:{listener.getsockname()[1]}",
                    "zone": "here",
                    "machineType": "toy",
                    "cell": 0,
                    "lifecycle": "Ready",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
            )
            spawn(self.accept, listener, lambda sock, n=n: self.serve(sock, n))
        listener = socket.create_server(("127.0.0.1", 0))
        self.discovery = f"127.0.0.1:{listener.getsockname()[1]}"
        spawn(self.accept, listener, self.discover)

    @staticmethod
    def accept(listener, serve):
        """Serves each connection in a thread of its own."""
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(serve, sock)

    def serve(self, sock, n):
        """A server: UP for the first line, then each line is echoed; BYE ends the connection."""
        with contextlib.suppress(OSError), sock, sock.makefile("rwb") as file:
            for number, line in enumerate(file):
                if not number and n in self.refusing:
                    file.write(b"BUSY\r\n")
                    return
                if not number:
                    self.case.record(f"server s-{n + 1} runs {line.decode().strip()}")
                    self.held[n][line.split()[1].decode()] = sock
                file.write(b"UP %s\r\n" % secrets.token_hex(8).encode() if not number else line)
                file.flush()
                if number and line.strip() == b"BYE":
                    return

    def drain(self, n):
        """A server drains: it refuses new connections and keeps its own until it stops."""
        self.case.record(f"server s-{n + 1} begins to drain")
        self.refusing.add(n)

    def list_drain(self, n):
        """The list tells that a server drains."""
        with self.changed:
            self.version += 1
            self.servers[n] = self.servers[n] | {"lifecycle": "Terminating"}
            self.changes.append((self.version, self.servers[n]))
            self.changed.notify_all()
        self.case.record(f"discovery lists s-{n + 1} as Terminating")

    def stop(self, n):
        """Stops a server: its connections end."""
        self.case.record(f"server s-{n + 1} stops")
        for sock in list(self.held[n].values()):
            with contextlib.suppress(OSError):  # it has ended already
                sock.shutdown(socket.SHUT_RDWR)

    def discover(self, sock):
        """The discovery: the whole list, or a watch."""
        with contextlib.suppress(OSError), sock, sock.makefile("rwb") as file:
            while line := file.readline():
                while file.readline().strip():
                    pass
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(line.split()[1].decode()).query)
                body = json.dumps(self.answer(query)).encode()
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                file.flush()

    def answer(self, query):
        """The answer to one request."""
        with self.changed:
            if "since" not in query:
                return {"generation": self.version, "reset": True, "instances": self.servers}
            since = int(query["since"][0])
            self.changed.wait_for(lambda: self.version > since, int(query["timeout_ms"][0]) / 1000)
            latest = {s["instanceId"]: s for version, s in self.changes if version > since}
            return {"generation": self.version, "reset": False, "instances": list(latest.values())}


def spawn(target, *args):
    """Starts a daemon thread."""
    threading.Thread(target=target, args=args, daemon=True).start()


def first_answer(address, line, timeout=5.0):
    """Connects as a client, sends a first line and returns the answer; "" for none."""
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.sendall(line + b"\r\n")
            return sock.makefile("rb").readline().strip().decode()
    except OSError:
        return ""


def open_line(kind="chat", wait_ms=2000):
    """A client's first line with a new id and key."""
    return f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} c={kind},d={wait_ms}".encode()


class Client(threading.Thread):
    """A standing client: sends a line every 2 s and notes what comes back."""

    def __init__(self, case, label, address):
        """Connects, sends a first line and waits for UP."""
        super().__init__(daemon=True)
        self.case, self.label, line = case, label, open_line()
        self.id = line.split()[1].decode()
        self.sock = socket.create_connection(address, timeout=5)
        self.sock.sendall(line + b"\r\n")
        answer = self.sock.makefile("rb").readline().decode().strip()
        case.record(f"client {label} sends {line.decode()} and is answered {answer!r}")
        self.sent = self.echoed = 0
        if not answer.startswith("UP "):
            raise NotRunError("a client was not accepted")
        self.sock.settimeout(0.2)
        self.unanswered_since, self.end, self.worst, self.running = None, "", 0.0, True
        self.start()

    def run(self):
        """Sends lines and reads echoes until the connection ends or the case does."""
        data, next_line = b"", time.monotonic() + secrets.randbelow(1000) / 1000
        while self.running and not self.end:
            try:
                if time.monotonic() >= next_line:
                    next_line += 2.0
                    self.unanswered_since = self.unanswered_since or time.monotonic()
                    self.sock.sendall(b"line\r\n")
                    self.sent += 1
                received = self.sock.recv(4096)
                data = self.take_lines(data + received)
                if not received:
                    self.end = self.end or "closed without MOVE"
            except TimeoutError:
                pass
            except OSError as error:
                self.end = self.end or f"{type(error).__name__} without MOVE"
            if self.unanswered_since:
                self.worst = max(self.worst, time.monotonic() - self.unanswered_since)
        if self.end and self.running:
            self.case.record(f"client {self.label}: {self.end}; {self.echoed} of {self.sent} lines echoed")
        self.sock.close()

    def take_lines(self, data):
        """Handles the whole lines; returns the rest."""
        *lines, rest = data.split(b"\n")
        for line in lines:
            if line.strip() == b"MOVE":
                self.end = "MOVE"
            elif line.strip() == b"line":
                self.unanswered_since = None
                self.echoed += 1
        return rest


class Store:
    """Three replicas of the configuration store."""

    def __init__(self, case):
        """Starts three new replicas."""
        self.case = case
        self.names = [f"127.0.0.1:{port}" for port in free_ports(3)]
        self.all = ",".join(self.names)
        self.processes = [self.start(n, "--new") for n in range(3)]
        case.until(lambda: self.status()[0] != 3, "a majority of replicas is up")

    def start(self, n, new=""):
        """Starts replica `n`, or starts it again in its folder."""
        peers = ",".join(name for name in self.names if name != self.names[n])
        return self.case.start(
            f"replica-{n + 1}",
            f"configuration serve --listen {self.names[n]} --peers {peers}"
            f" --state {self.case.path(f'replica-{n + 1}')} {new}",
        )

    def kill(self, *numbers):
        """Kills replicas."""
        for n in numbers:
            self.case.signal(f"replica-{n + 1}", self.processes[n], signal.SIGKILL)
            self.processes[n].wait()

    def status(self):
        """(exit code, parsed output) of `configuration status --json`."""
        done = subprocess.run(
            [PYTHON, "-m", "cottonspread", "configuration", "status", "--replicas", self.all, "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            env=clean_environment(),
        )
        return done.returncode, json.loads(done.stdout) if done.stdout.startswith("{") else {}

    def publish(self, label, arguments, replicas=None):
        """Starts `configuration publish`."""
        return self.case.start(label, f"configuration publish --replicas {replicas or self.all} {arguments}")

    def follow(self, name, configuration):
        """Starts a node that follows the store; returns its process."""
        replicas = json.dumps(self.names)
        operator = self.case.write_text(
            f"{name}.toml", f'[configuration]\nreplicas = {replicas}\nstate = "state-{name}"\n'
        )
        path = self.case.write_json(f"{name}.json", configuration)
        return self.case.start(name, f"serve --operator {operator}", {"PROXY_CONFIG": path})

    def start_nodes(self, names, discovery):
        """Starts nodes that follow the store and waits until they serve; returns them."""
        ports = free_ports(len(names))
        nodes = [
            Node(self, name, node_configuration(name, f"127.0.0.1:{port}", discovery), loopback(port))
            for name, port in zip(names, ports, strict=True)
        ]
        for node in nodes:
            self.case.until(lambda node=node: first_answer(node.address, b"PING") == "PONG", "nodes serve")
        return nodes

    def publish_first(self, body, nodes):
        """Publishes the first body, to all nodes at once, and waits until it is in force."""
        first = self.publish("first", f"--without-canaries {self.case.write_json('first.json', body)}")
        if self.case.finish("first", first, 20)[0] != 0:
            raise NotRunError("the first body was not published")
        self.case.until(lambda: self.status()[1].get("in_force") == len(nodes), "version 1 is in force")


class Node:
    """A node that follows the store."""

    def __init__(self, store, name, values, address):
        """Starts it with this configuration as its own file."""
        self.case, self.name, self.values, self.address = store.case, name, values, address
        self.process = store.follow(name, values)

    def serves(self, kinds):
        """Those of the given traffic types that it serves now."""
        answers = {}
        for kind in kinds:
            line = open_line(kind)
            answers[kind] = first_answer(self.address, line)
            self.case.record(f"node {self.name} is sent {line.decode()} and answers {answers[kind]!r}")
        return [kind for kind in kinds if answers[kind].startswith("UP")]


def loopback(port):
    """An address as (host, port)."""
    return "127.0.0.1", port


class Proxy:
    """A proxy on a loopback address that passes everything on.

    `on_data(data)` is called with what a client sent, before it is passed on.
    """

    def __init__(self, target, on_data):
        """`target`: (host, port)."""
        self.target, self.on_data = target, on_data
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.name = f"127.0.0.1:{self.listener.getsockname()[1]}"
        spawn(self.accept)

    def accept(self):
        """Accepts connections."""
        while True:
            client, _ = self.listener.accept()
            spawn(self.serve, client)

    def serve(self, client):
        """Passes one connection on, in both directions."""
        with contextlib.suppress(OSError), client, socket.create_connection(self.target) as server:
            spawn(self.forward, server, client, lambda data: None)
            self.forward(client, server, self.on_data)

    @staticmethod
    def forward(source, sink, on_data):
        """Passes data on until the end."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                on_data(data)
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
