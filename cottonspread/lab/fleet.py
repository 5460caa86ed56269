"""Nodes that a fleet supervisor runs, instead of nodes that the lab runs one by one."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import psutil

from cottonspread.lab import node_config
from cottonspread.lab.children import ROOT, NodeProcess, prepare_child
from cottonspread.lab.wire import now

SECOND = 1_000_000
STOP_TIMEOUT = 30


class FleetProcess:
    """The supervisor (`fleet run`) of this run's nodes, and the commands that it is given."""

    def __init__(self, run):
        """`run`: the LabRun."""
        self.run, self.process, self.running, self.changes, self.commands = run, None, False, 0, []
        self.path = os.path.join(run.folder, "operator.toml")
        self.template = os.path.join(run.folder, "node.json")
        self.state = os.path.join(run.folder, "s")
        self.last_status = 0.0, {}  # when the last status was read, and the status

    def write(self):
        """Writes the operator's file and the template of the nodes' configuration."""
        plan, first = self.run.plan, self.run.nodes[0]
        config = node_config.build(self.run.plan, first.number)
        # so that a reload has a change to apply
        config["settings"]["Limits"]["MaxRetryAfter"] -= self.changes % 2
        with open(self.template, "w", encoding="utf-8") as file:
            json.dump(config, file, indent=1)
        keys = {
            "name": "n",
            "config": "node.json",
            "instances": len(plan.nodes),
            "listen": config["listen"],
            "discovery_step": 1,
            "state": "s",
            **plan.experiment.nodes.fleet,
        }
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(
                "[instance]\norphan_s = 10.0\n[fleet]\n"
                + "".join(f"{k} = {json.dumps(v)}\n" for k, v in keys.items())
            )

    def command_line(self, *arguments):
        """Returns Popen's arguments for a `fleet` command."""
        checkout = self.run.plan.variant.checkout or self.run.plan.experiment.nodes.checkout or ROOT
        return {
            "args": [sys.executable, "-m", "cottonspread", "fleet", *arguments, "--operator", self.path],
            "cwd": checkout,
            "env": {**os.environ, "PYTHONPATH": checkout},
            "stdin": subprocess.DEVNULL,
        }

    def start(self):
        """Starts the supervisor if it does not run."""
        if self.running:
            return
        self.running = True
        self.write()
        with open(os.path.join(self.run.folder, "fleet.log"), "ab") as log:
            self.process = subprocess.Popen(
                **self.command_line("run"), stdout=log, stderr=log, preexec_fn=lambda: prepare_child(None)
            )

    def command(self, kind, *arguments):
        """Starts a `fleet` command; `poll_commands` records its end."""
        self.commands.append(
            (
                kind,
                time.monotonic(),
                subprocess.Popen(
                    **self.command_line(*arguments),
                    stdout=subprocess.PIPE,
                    stderr=subprocess.STDOUT,
                    text=True,
                ),
            )
        )
        self.record_event(kind)

    def record_event(self, kind, **more):
        """Writes an event of the fleet to the record."""
        self.run.record.put({"k": kind, "t": now(), "node": "", **more})
        self.run.record.flush()

    def poll_commands(self):
        """Records the commands that have ended."""
        for command in list(self.commands):
            kind, started_at, process = command
            if process.poll() is not None:
                self.commands.remove(command)
                output = process.communicate()[0].strip()
                self.record_event(
                    kind + "-done",
                    s=round(time.monotonic() - started_at, 3),
                    code=process.returncode,
                    said=output,
                )
                if process.returncode:
                    self.run.reasons.append(f"{kind}: {output}")
        self.run.at(now() + SECOND // 20, self.poll_commands)

    def status(self):
        """Returns the supervisor's status by node; {} while no supervisor answers."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(2)
                sock.connect(os.path.join(self.state, "fleet.sock"))
                sock.sendall(b'{"do": "status"}\n')
                return {
                    instance["instance"].replace("-", ""): instance
                    for instance in json.loads(sock.makefile().readline())["status"]["instances"]
                }
        except (OSError, ValueError, KeyError):
            return {}

    def inject_node_fault(self, node, fault):
        """Kills or stops one instance."""
        if fault.kind == "kill":
            self.run.record_event("killed", node)
            node.signal(signal.SIGKILL)
        else:  # a stop: by the supervisor, which restarts the instance
            self.command("restart", "restart", node.node.name.replace("n", "n-"))

    def inject_fault(self, fault):
        """Injects a fault of the whole fleet."""
        if not self.commands:
            self.run.at(now() + SECOND // 20, self.poll_commands)
        if fault.kind == "fleet-reload":
            self.changes += 1
            self.write()
            self.command(fault.kind, "reload")
        elif fault.kind == "fleet-upgrade":
            other = os.path.join(self.run.folder, f"checkout-{len(os.listdir(self.run.folder))}")
            os.symlink(ROOT, other)
            self.command(fault.kind, "upgrade", "--checkout", other)
        elif fault.kind == "fleet-kill":
            self.record_event("fleet-kill")
            self.process.kill()
            self.process.wait()
            self.running = False
            self.start()
        else:  # fleet-stop, and a start afterwards
            self.record_event("fleet-stop")
            self.process.send_signal(signal.SIGTERM)
            for node in self.run.nodes:
                node.up = node.should_run = False
                self.run.record_event("stopping", node)
            self.run.at(now() + 300_000, self.notify_down)
            self.run.at(now() + round(fault.seconds * SECOND), self.restart)

    def notify_down(self):
        """Tells the load processes that all nodes are down."""
        for node in self.run.nodes:
            self.run.notify_load("down", node)

    def restart(self):
        """Starts the supervisor again once it has exited."""
        if self.process.poll() is None:
            self.run.at(now() + 50_000, self.restart)
            return
        self.record_event("fleet-stopped", code=self.process.returncode)
        self.running = False
        self.start()
        for node in self.run.nodes:
            node.should_run = True
            self.run.at(now() + 50_000, self.run.add_when_up, node, 0)

    def clean_up(self):
        """Stops the supervisor and its instances at the run's end, and reports a failure to stop."""
        for _, _, process in self.commands:
            process.kill()
            process.communicate()
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                self.run.reasons.append(f"the fleet did not stop in {STOP_TIMEOUT} s")
                pids = [instance["pid"] for instance in self.status().values() if instance["pid"]]
                self.process.kill()
                self.process.wait()
                for pid in pids:
                    os.kill(pid, signal.SIGKILL)
        if self.process.returncode:
            self.run.reasons.append(
                f"fleet run ended with exit code {self.process.returncode}, see fleet.log"
            )


class FleetNode(NodeProcess):
    """A node that is an instance of the fleet."""

    def start(self):
        """Starts the supervisor, which starts the instance."""
        self.run.fleet.start()
        self.up, self.psutil_process = False, None

    @property
    def process(self):
        """The supervisor's process."""
        return self.run.fleet.process

    @process.setter
    def process(self, _):
        pass

    def pid(self):
        """Returns the instance's process id, or None."""
        return self.run.fleet.status().get(self.node.name, {}).get("pid")

    def signal(self, number):
        """Sends a signal to the instance; at the run's end the supervisor stops all instances."""
        pid = self.pid()
        if not self.should_run:
            if number == signal.SIGTERM and self.number == 0:  # a second SIGTERM would cut its shutdown short
                self.run.fleet.process.send_signal(signal.SIGTERM)
        elif pid:
            os.kill(pid, number)

    def sample(self):
        """Returns the instance's usage, as NodeProcess.sample does."""
        fleet = self.run.fleet
        if time.monotonic() - fleet.last_status[0] > 0.5:  # one status request serves all nodes
            fleet.last_status = time.monotonic(), fleet.status()
        pid = fleet.last_status[1].get(self.node.name, {}).get("pid")
        if pid and (self.psutil_process is None or self.psutil_process.pid != pid):
            try:
                self.psutil_process, self.cpu = psutil.Process(pid), 0.0
            except psutil.Error:
                self.psutil_process = None
        return super().sample() if self.psutil_process else {"cpu": 0, "rss_mb": 0, "threads": 0, "fds": 0}
