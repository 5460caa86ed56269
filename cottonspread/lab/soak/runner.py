"""Runs a soak plan on loopback: one `serve` process, stub hosts and host list, clients, and signals."""

import contextlib
import errno
import json
import os
import resource
import secrets
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from cottonspread.lab.soak.loop import LineConnection, Loop, garbage_collector_disabled
from cottonspread.lab.soak.plan import HOSTS, TRAFFIC_SECONDS
from cottonspread.lab.soak.record import Call, Record
from cottonspread.lab.soak.stubs import Host, HostList

ROOT = Path(__file__).resolve().parents[3]
WAITS = {"chat": 2.0, "once": 1.0}  # by traffic type: seconds that a client waits for its answer
MAX_WAIT = max(WAITS.values())
KILL_AFTER = 0.7  # seconds after the longest client wait, both counted from SIGTERM
NEW_CLIENTS_AFTER_TERM = 0.4  # seconds after SIGTERM for which new clients still connect
SEND_INTERVAL = 0.5  # seconds between two lines of a connected client
LIFETIME = (0.2, 4.0)  # seconds that a client stays connected
PING_INTERVAL = 0.5
RESOURCE_LIMITS = (192, 1024)  # of the node: MB, descriptors
DRIVER_DESCRIPTORS = 4096
FIRST_PORT = 10_000  # below it are the ports of well-known services


def unassigned_address():
    """A free loopback address whose port the system assigns to nobody, (host, port).

    A port that the system assigns can be taken by another process before the node listens on it.
    """
    first_assigned = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        address = "127.0.0.1", secrets.choice(range(FIRST_PORT, max(first_assigned, FIRST_PORT + 1000)))
        with contextlib.suppress(OSError), socket.create_server(address):
            return address


class Client:
    """A client with one call, from connecting to the end of its connection. `lifetime`: seconds."""

    def __init__(self, soak_run, call, line, lifetime):
        """Starts to connect; `line`: the first line to send."""
        self.soak_run, self.call, self.line, self.lifetime = soak_run, call, line, lifetime
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self.sock.connect_ex(soak_run.address)
        if code not in (0, errno.EINPROGRESS):
            self.ended("reset", time.time())
            return
        soak_run.loop.watch(self.sock, selectors.EVENT_WRITE, self.connected)

    def connected(self):
        """Sends the first line once the connection is established; ends the call if it was refused."""
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.soak_run.loop.close_socket(self.sock)
            self.ended("reset", time.time())
            return
        self.stream = LineConnection(
            self.soak_run.loop, self.sock, self.on_line, self.ended, self.soak_run.plan.keeps_sending
        )
        if self.line and self.stream.send_line(self.line):
            self.call.sent_at = time.time()

    def on_line(self, line, at):
        """Handles a line from the node."""
        call, word = self.call, line.split()[0].decode() if line.split() else ""
        if not call.up:
            call.answers.append(word)
            call.answered_at = call.answered_at or at
            if word == "UP":
                call.up = True
                self.soak_run.established[call.id] = self
                self.soak_run.loop.at(at + self.lifetime, self.leave)
                self.send()
        elif word == "MOVE":
            call.moved = True
        elif word == "M":
            number = int(line.split()[1])
            if number >= 0:  # sent before the node's MOVE or close arrived
                call.echoes[number] = (call.echoes[number][0], at)

    def send(self):
        """Sends a line for the host and schedules the next one."""
        if self.sock.fileno() < 0:
            return
        if self.call.ended or self.call.moved:
            if not self.stream.send_line(b"M -1"):
                return
        elif self.stream.send_line(b"M %d" % len(self.call.echoes)):
            self.call.echoes.append((time.time(), 0.0))
        wait = SEND_INTERVAL if not self.soak_run.record.term_at else SEND_INTERVAL / 10
        self.soak_run.loop.at(time.time() + wait, self.send)

    def leave(self):
        """Closes the connection at the end of the lifetime, unless the node has been sent SIGTERM."""
        if self.soak_run.record.term_at:
            return
        if not self.call.ended:
            self.soak_run.established.pop(self.call.id, None)
            self.call.host_ended = True  # closed by the client itself, not by the node
        self.stream.close()

    def ended(self, how, at):
        """Records that the node ended the connection, or that it never came up."""
        self.soak_run.established.pop(self.call.id, None)
        self.call.ended, self.call.ended_at = how, at
        self.call.host_ended = self.call.host_ended or self.soak_run.disconnected_by_host(self.call)


class SoakRun:
    """One run of a plan. `checkout`: the directory whose `cottonspread` package is tested."""

    def __init__(self, plan, checkout=ROOT):
        """Creates the hosts and the host list of a plan and selects the node's address."""
        self.checkout = checkout
        self.plan, self.loop, self.rng = plan, Loop(), Random(plan.seed ^ 0x5EED)
        self.record = Record(plan.seed, [vars(fault) for fault in plan.faults])
        self.hosts = [Host(self.loop, self.record, number) for number in range(HOSTS)]
        self.host_list = HostList(self.loop, self.record, self.hosts, 2)
        self.established, self.idle_sockets, self.number = {}, [], 0
        self.directory = tempfile.TemporaryDirectory()
        self.file = Path(self.directory.name) / "node.json"
        self.address = unassigned_address()

    def disconnected_by_host(self, call):
        """Returns whether a host that got this call has a fault that disconnects clients."""
        hosts = {attempt.host for attempt in self.record.attempts if attempt.call == call.id}
        cutting = {
            f"h{fault.host}" for fault in self.plan.faults if fault.what in ("refuse", "reset", "hang")
        }
        return bool(hosts & cutting)

    def configure(self, version):
        """Writes the node's configuration file; `version` selects the list address and one setting."""
        address = self.host_list.listeners[version % 2].getsockname()
        types = [
            {"Name": name, "Effect": effect, "SetupTarget": 300, "GuardTime": wait * 1000, "Revenue": 1}
            for (name, wait), effect in zip(WAITS.items(), ("safe", "unsafe"), strict=True)
        ]
        limits = {"MostLegs": 3, "Cancel": True, "RetryAfter": True, "MaxRetryAfter": 2000 + version}
        settings = {
            "Balancers": 1,
            "Zones": ["here"],
            "Kinds": ["toy"],
            "MembershipMode": "push",
            "TrafficTypes": types,
            "FamilyInfo": {"Groups": False, "MessageAim": [100, 100], "TellsDelay": True, "TellsLoad": True},
            "Limits": limits | {"ConnectTimeout": 250},
            "Rules": {"DrainGrace": 500},
        }
        configuration = {
            "name": "soak",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*address),
            "seed": f"{self.plan.seed:016x}",
            "limits": {"memory_mb": RESOURCE_LIMITS[0], "sockets": RESOURCE_LIMITS[1]},
            "settings": settings,
        }
        self.file.write_text(json.dumps(configuration))

    def run(self):
        """Runs the plan and returns its record."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, DRIVER_DESCRIPTORS)), hard))
        self.configure(0)
        log = open(Path(self.directory.name) / "log", "w+")  # noqa: SIM115  closed at the end of the run
        command = [sys.executable, "-m", "cottonspread", "serve", "--config", str(self.file)]
        self.process = subprocess.Popen(command, cwd=self.checkout, stderr=log)
        try:
            with garbage_collector_disabled():
                self.wait_until_ready()
                if self.record.ready_s:
                    self.drive()
        finally:
            if self.process.poll() is None:
                self.process.kill()
                self.process.wait()
            log.seek(0)
            self.record.log = log.read()
            log.close()
            self.directory.cleanup()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.record.late_s, self.record.late_cpu_s = self.loop.max_delay, self.loop.max_delay_cpu
        self.record.load = os.getloadavg()[0]
        return self.record

    def wait_until_ready(self):
        """Waits until the node answers a PING with PONG, 15 s at most."""
        began = time.time()
        while not self.record.ready_s and time.time() - began < 15:
            self.ping()
            self.loop.run(time.time() + 0.1)
            if any(word == "PONG" for _, _, word in self.record.pings):
                self.record.ready_s = time.time() - began
        self.record.pings.clear()
        self.loop.reset_delays()

    def drive(self):
        """Starts calls and faults, sends SIGTERM, and waits until the earliest time of a SIGKILL."""
        self.started_at = time.time()
        for fault in self.plan.faults:
            self.loop.at(self.started_at + fault.at, self.begin_fault, fault)
        self.loop.at(self.started_at, self.start_call)
        self.loop.at(self.started_at + PING_INTERVAL, self.start_ping)
        self.loop.run(self.started_at + TRAFFIC_SECONDS)
        self.measure_process()
        self.record.term_at = time.time()
        self.process.send_signal(signal.SIGTERM)
        kill_at = self.record.term_at + MAX_WAIT + KILL_AFTER
        while time.time() < kill_at and self.process.poll() is None:
            self.loop.run(min(kill_at, time.time() + 0.01))
        if self.process.poll() is not None:
            self.record.ended_s, self.record.exit_code = (
                time.time() - self.record.term_at,
                self.process.returncode,
            )
        self.loop.run(time.time() + 0.2)  # reads what has arrived already
        self.record.open_at_exit = [id for id, client in self.established.items() if not client.call.moved]

    def start_call(self):
        """Starts a call and schedules the next one at the plan's rate."""
        now = time.time()
        if self.record.term_at and now > self.record.term_at + NEW_CLIENTS_AFTER_TERM:
            return
        self.number += 1
        kind = self.rng.choice(list(WAITS))
        call = Call(f"{self.plan.seed:x}-{self.number:05x}", kind, WAITS[kind])
        self.record.calls.append(call)
        key = f"k{self.rng.randrange(50)}"
        line = f"OPEN {call.id} {key} c={kind},d={round(WAITS[kind] * 1000)}".encode()
        Client(self, call, line, self.rng.uniform(*LIFETIME))
        self.loop.at(now + 1 / self.plan.rate, self.start_call)

    def start_ping(self):
        """Sends a health check as the front does, and schedules the next one."""
        if not self.record.term_at:
            self.ping()
            self.loop.at(time.time() + PING_INTERVAL, self.start_ping)

    def ping(self):
        """Sends a PING on a connection of its own."""
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return
        number, sent_at = len(self.record.pings), time.time()
        self.record.pings.append((sent_at, 0.0, ""))

        def on_line(line, at):
            self.record.pings[number] = (sent_at, at, line.split()[0].decode())
            stream.close()

        stream = LineConnection(self.loop, sock, on_line, lambda how, at: None)
        stream.send_line(b"PING")

    def begin_fault(self, fault):
        """Starts one of the plan's faults."""
        if fault.what == "crowd":
            for number in range(fault.size):
                self.connect_idle_client(number)
        elif fault.what == "sighup":
            self.number_of_reloads = getattr(self, "number_of_reloads", 0) + 1
            self.configure(self.number_of_reloads)
            self.signal(signal.SIGHUP)
        elif fault.what == "sigterm-again":
            self.signal(signal.SIGTERM)
        elif fault.what == "drain":
            self.host_list.change(self.hosts[fault.host], False)
            self.loop.at(time.time() + fault.lasts, self.host_list.change, self.hosts[fault.host], True)
        elif fault.host >= 0:
            self.hosts[fault.host].begin_fault(fault.what)
            self.loop.at(time.time() + fault.lasts, self.hosts[fault.host].end_fault)
        else:
            self.host_list.fault = fault.what
            self.loop.at(time.time() + fault.lasts, self.end_list_fault)

    def end_list_fault(self):
        """Lets the host list answer normally again."""
        self.host_list.fault = ""

    def signal(self, number):
        """Sends a signal to the process, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def connect_idle_client(self, number):
        """Connects a client that sends nothing, or half a line, and stays connected."""
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.connect_ex(self.address)
            if number % 3 == 0:
                sock.send(b"OPEN half-")
        self.idle_sockets.append(sock)

    def measure_process(self):
        """Records the process's peak memory and its open descriptors."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        self.record.memory_mb = int(status.split("VmHWM:")[1].split()[0]) / 1024
        self.record.descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
