"""The processes of a run: the lab's own (hosts, list, load) and single nodes."""

import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys

import psutil

from cottonspread.lab import node_config

PR_SET_PDEATHSIG = 1
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
libc = ctypes.CDLL(None)


class Child:
    """A process of the lab's own, as the runner sees it."""

    def __init__(self, name, arguments, cores):
        """Starts it. `arguments` of `cottonspread lab`; `cores`: the CPU set to run on, or None."""
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cottonspread", "lab", *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=0,
            preexec_fn=lambda: prepare_child(cores),
        )
        os.set_blocking(self.process.stdout.fileno(), False)
        self.partial_line, self.ready, self.error, self.counts, self.ended = b"", False, "", {}, False

    def send(self, line):
        """Sends a command."""
        with contextlib.suppress(OSError):
            self.process.stdin.write(line.encode() + b"\n")

    def read(self):
        """Reads what the process has reported; False once it has exited."""
        data = self.process.stdout.read(65536)
        if data is None:
            return True
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            word, _, rest = line.decode().partition(" ")
            if word == "ready":
                self.ready = True
            elif word == "fault":
                self.error = rest
            elif word == "counts":
                self.counts = json.loads(rest)
                self.counts["new"] = True
        return bool(data)


def prepare_child(cores):
    """Runs in a child before exec: the kernel kills it if the runner dies, and it is pinned to `cores`."""
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgrp()  # a terminal's Ctrl-C goes to the runner alone
    if cores:
        os.sched_setaffinity(0, cores)


class NodeProcess:
    """A node, which can be restarted after a stop or a kill."""

    def __init__(self, run, number):
        """`run`: the LabRun; `number`: the node's index in the plan."""
        self.run, self.number, self.node = run, number, run.plan.nodes[number]
        self.process, self.psutil_process, self.up, self.should_run, self.cpu = None, None, False, True, 0.0
        self.max_rss = self.max_threads = self.max_fds = 0
        self.starts, self.settings_version, self.old_process, self.listener = 0, 0, None, None

    @property
    def admin_address(self):
        """The operators' address; it changes with each start, as two processes of a node may overlap."""
        return self.node.ip, 20000 + 10 * self.number + self.starts % 10

    def admin_call(self, word):
        """Sends an operators' call; returns whether it succeeded."""
        with socket.create_connection(self.admin_address, timeout=1) as sock:
            sock.sendall(word.encode() + b"\n")
            return sock.recv(16).startswith(b"200")

    def is_healthy(self):
        """Returns whether the node reports that it is healthy."""
        try:
            return self.admin_call("health")
        except OSError:
            return False

    def inheritance(self):
        """Returns the environment and the descriptors that a process inherits.

        If the plan replaces the node, the lab holds its listening socket and passes it on to each process.
        """
        if not any(f.kind == "replace" and self.node.name in f.on for f in self.run.plan.faults):
            return {}, ()
        if self.listener is None:
            self.listener = socket.create_server((self.node.ip, self.node.port), backlog=1024)
        folder = os.path.join(self.run.folder, self.node.name)
        os.makedirs(folder, exist_ok=True)
        return {"TMPDIR": folder, "PROXY_INHERITED_FD": str(self.listener.fileno())}, (
            self.listener.fileno(),
        )

    def reload_settings(self):
        """Reloads the node with one more traffic type and other limits."""
        self.settings_version += 1
        self.write_config()
        self.signal(signal.SIGHUP)

    def write_config(self):
        """Writes the node's configuration and returns the file's path."""
        path = os.path.join(self.run.folder, f"{self.node.name}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(node_config.build(self.run.plan, self.number, self.settings_version), file, indent=1)
        os.replace(path + ".new", path)
        return path

    def start(self):
        """Starts the node's process."""
        plan, experiment = self.run.plan, self.run.plan.experiment
        path, (environment, inherited_fds) = self.write_config(), self.inheritance()
        self.starts += 1
        command = (
            plan.variant.command
            or experiment.nodes.command
            or [sys.executable, "-m", "cottonspread", "serve"]
        )
        checkout = plan.variant.checkout or experiment.nodes.checkout or ROOT
        with open(os.path.join(self.run.folder, f"{self.node.name}.log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable if word == "python" else word for word in command],
                cwd=checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=inherited_fds,
                env={
                    **os.environ,
                    **environment,
                    "PROXY_CONFIG": path,
                    "PYTHONPATH": checkout,
                    "PROXY_OPERATOR": "{}:{}".format(*self.admin_address),
                },
                preexec_fn=lambda: prepare_child(self.run.node_cores(self.number)),
            )
        self.psutil_process, self.up = psutil.Process(self.process.pid), False
        self.run.record_event("started", self)

    def answers_ping(self):
        """Returns whether the node answers a PING with PONG."""
        try:
            with socket.create_connection((self.node.ip, self.node.port), timeout=0.3) as sock:
                sock.sendall(b"PING\r\n")
                return sock.recv(16).startswith(b"PONG")
        except OSError:
            return False

    def signal(self, number):
        """Sends a signal to the process, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def sample(self):
        """Returns CPU seconds since the last sample, resident megabytes, threads and descriptors."""
        try:
            with self.psutil_process.oneshot():
                times, memory = self.psutil_process.cpu_times(), self.psutil_process.memory_info().rss
                threads, fds = self.psutil_process.num_threads(), self.psutil_process.num_fds()
        except (psutil.Error, OSError):
            return {"cpu": 0, "rss_mb": 0, "threads": 0, "fds": 0}
        total = times.user + times.system
        used, self.cpu = max(0.0, total - self.cpu), total
        self.max_rss, self.max_threads = max(self.max_rss, memory), max(self.max_threads, threads)
        self.max_fds = max(self.max_fds, fds)
        return {"cpu": round(used, 3), "rss_mb": round(memory / 1e6, 1), "threads": threads, "fds": fds}
