"""Nodes that a fleet's supervisor runs, in the place of nodes that the lab runs one by one."""

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
STOP_WAIT = 30


class FleetProcess:
    """`fleet run` over the operator's file of this play, and the commands that are given to it."""

    def __init__(self, play):
        self.play, self.process, self.running, self.changes, self.commands = play, None, False, 0, []
        self.path = os.path.join(play.folder, "operator.toml")
        self.template = os.path.join(play.folder, "node.json")
        self.state = os.path.join(play.folder, "s")
        self.seen = 0.0, {}  # a status, and when it was told

    def write(self):
        plan, first = self.play.plan, self.play.nodes[0]
        config = node_config.build(self.play.plan, first.number)
        config["settings"]["Limits"]["MaxRetryAfter"] -= self.changes % 2  # what a reload is to find changed
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

    def words(self, *words):
        checkout = self.play.plan.variant.checkout or self.play.plan.experiment.nodes.checkout or ROOT
        return {
            "args": [sys.executable, "-m", "cottonspread", "fleet", *words, "--operator", self.path],
            "cwd": checkout,
            "env": {**os.environ, "PYTHONPATH": checkout},
            "stdin": subprocess.DEVNULL,
        }

    def start(self):
        if self.running:
            return
        self.running = True
        self.write()
        with open(os.path.join(self.play.folder, "fleet.log"), "ab") as log:
            self.process = subprocess.Popen(
                **self.words("run"), stdout=log, stderr=log, preexec_fn=lambda: prepare_child(None)
            )

    def command(self, kind, *words):
        self.commands.append(
            (
                kind,
                time.monotonic(),
                subprocess.Popen(
                    **self.words(*words), stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
                ),
            )
        )
        self.note(kind)

    def note(self, kind, **more):
        self.play.record.put({"k": kind, "t": now(), "node": "", **more})
        self.play.record.flush()

    def look(self):
        """Which commands have ended, and how."""
        for one in list(self.commands):
            kind, began, process = one
            if process.poll() is not None:
                self.commands.remove(one)
                said = process.communicate()[0].strip()
                self.note(
                    kind + "-done", s=round(time.monotonic() - began, 3), code=process.returncode, said=said
                )
                if process.returncode:
                    self.play.reasons.append(f"{kind}: {said}")
        self.play.at(now() + SECOND // 20, self.look)

    def status(self):
        """What each instance is said to do; {} while no supervisor answers."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(2)
                sock.connect(os.path.join(self.state, "fleet.sock"))
                sock.sendall(b'{"do": "status"}\n')
                return {
                    one["instance"].replace("-", ""): one
                    for one in json.loads(sock.makefile().readline())["status"]["instances"]
                }
        except (OSError, ValueError, KeyError):
            return {}

    def node_fault(self, node, one):
        if one.kind == "kill":
            self.play.note("killed", node)
            node.signal(signal.SIGKILL)
        else:  # the supervisor's way to stop one
            self.command("restart", "restart", node.node.name.replace("n", "n-"))

    def fault(self, one):
        if not self.commands:
            self.play.at(now() + SECOND // 20, self.look)
        if one.kind == "fleet-reload":
            self.changes += 1
            self.write()
            self.command(one.kind, "reload")
        elif one.kind == "fleet-upgrade":
            other = os.path.join(self.play.folder, f"checkout-{len(os.listdir(self.play.folder))}")
            os.symlink(ROOT, other)
            self.command(one.kind, "upgrade", "--checkout", other)
        elif one.kind == "fleet-kill":
            self.note("fleet-kill")
            self.process.kill()
            self.process.wait()
            self.running = False
            self.start()
        else:  # fleet-stop, and a new start
            self.note("fleet-stop")
            self.process.send_signal(signal.SIGTERM)
            for node in self.play.nodes:
                node.up = node.wanted = False
                self.play.note("stopping", node)
            self.play.at(now() + 300_000, self.down)
            self.play.at(now() + round(one.seconds * SECOND), self.start_anew)

    def down(self):
        for node in self.play.nodes:
            self.play.front("down", node)

    def start_anew(self):
        if self.process.poll() is None:
            self.play.at(now() + 50_000, self.start_anew)
            return
        self.note("fleet-stopped", code=self.process.returncode)
        self.running = False
        self.start()
        for node in self.play.nodes:
            node.wanted = True
            self.play.at(now() + 50_000, self.play.take_in, node, 0)

    def clear_away(self):
        """After the end: nobody is left, or it is said."""
        for _, _, process in self.commands:
            process.kill()
            process.communicate()
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(STOP_WAIT)
            except subprocess.TimeoutExpired:
                self.play.reasons.append(f"the fleet did not stop in {STOP_WAIT} s")
                pids = [one["pid"] for one in self.status().values() if one["pid"]]
                self.process.kill()
                self.process.wait()
                for pid in pids:
                    os.kill(pid, signal.SIGKILL)
        if self.process.returncode:
            self.play.reasons.append(f"fleet run ended with {self.process.returncode}, see fleet.log")


class FleetNode(NodeProcess):
    """One instance, looked at from outside."""

    def start(self):
        self.play.fleet.start()
        self.up, self.probe = False, None

    @property
    def process(self):
        return self.play.fleet.process

    @process.setter
    def process(self, _):
        pass

    def pid(self):
        return self.play.fleet.status().get(self.node.name, {}).get("pid")

    def signal(self, number):
        """To the instance; at the play's end the supervisor stops them all."""
        pid = self.pid()
        if not self.wanted:
            if number == signal.SIGTERM and self.number == 0:  # a second one would hurry it
                self.play.fleet.process.send_signal(signal.SIGTERM)
        elif pid:
            os.kill(pid, number)

    def sample(self):
        fleet = self.play.fleet
        if time.monotonic() - fleet.seen[0] > 0.5:  # one for all nodes
            fleet.seen = time.monotonic(), fleet.status()
        pid = fleet.seen[1].get(self.node.name, {}).get("pid")
        if pid and (self.probe is None or self.probe.pid != pid):
            try:
                self.probe, self.cpu = psutil.Process(pid), 0.0
            except psutil.Error:
                self.probe = None
        return super().sample() if self.probe else {"cpu": 0, "rss_mb": 0, "threads": 0, "fds": 0}
