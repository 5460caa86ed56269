"""One play: starts hosts, list, nodes and clients as processes, carries the nodes'
faults out, and gathers what was seen.

Whatever ends a run (its time, Ctrl-C, a process that dies), what was seen so far is kept and
valid, and no process is left: the lab's own end when their standard input does, nodes when the
kernel tells that their parent is gone.
"""

import contextlib
import heapq
import json
import os
import selectors
import signal
import subprocess
import time

import msgspec
import psutil

from cottonspread.lab import fleet, limits
from cottonspread.lab import plan as plans
from cottonspread.lab.children import Child, NodeProcess
from cottonspread.lab.plan import FLEET_FAULTS, NODE_FAULTS
from cottonspread.lab.record import Record
from cottonspread.lab.wire import now

SECOND = 1_000_000
READY_WAIT, STOP_WAIT = 30, 8


class StartError(RuntimeError):
    """The run could not begin; the message names what was in the way."""


class Play:
    def __init__(self, experiment, variant, seed, folder, show=None):
        self.plan = plans.make(experiment, variant, seed)
        self.folder, self.show, self.cut, self.reasons = os.path.abspath(folder), show, "", []
        self.children, self.nodes, self.timeline, self.todo, self.stamp = [], [], [], [], 0
        self.start, self.record, self.warnings, self.stolen, self.fleet = 0, None, [], 0.0, None

    def node_cores(self, number):
        cores = sorted(os.sched_getaffinity(0))
        if not self.plan.experiment.nodes.pin or len(cores) < 2:
            return None
        most = max(1, min(len(self.plan.nodes), len(cores) // 2))
        return {cores[len(cores) - 1 - number % most]}

    def child_cores(self, kind, number):
        """A load process that spins has a core of its own where there are
        enough; the others share what is left.
        """
        cores = set(os.sched_getaffinity(0))
        for n in range(len(self.plan.nodes)):
            cores -= self.node_cores(n) or set()
        load, cores = self.plan.experiment.load, sorted(cores)
        if not load.spins or len(cores) <= load.processes:
            return set(cores) or None
        return {cores[number]} if kind == "load" else set(cores[load.processes :])

    def note(self, kind, node, **more):
        self.record.put({"k": kind, "t": now(), "node": node.node.name, **more})
        self.record.flush()

    def run(self):
        """Plays it to its end, its cut or its fault."""
        os.makedirs(self.folder, exist_ok=True)
        schedule = plans.schedule(self.plan)
        self.warnings = limits.check(self.plan, schedule)
        self.plan.unix_offset = (time.time_ns() - time.monotonic_ns()) // 1000
        path = os.path.join(self.folder, "plan.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(self.plan))
        self.record = Record(os.path.join(self.folder, "nodes-0.jsonl"))
        kept = signal.signal(signal.SIGINT, self.interrupted), signal.signal(signal.SIGTERM, self.interrupted)
        try:
            self.begin(path)
            self.play()
            self.end()
        finally:
            self.clear_away()
            self.record.close()
            signal.signal(signal.SIGINT, kept[0])
            signal.signal(signal.SIGTERM, kept[1])

    def interrupted(self, number, _):
        self.cut = self.cut or signal.Signals(number).name

    def begin(self, path):
        until = time.monotonic() + READY_WAIT
        self.start_children(path, until)
        self.start_nodes(until + READY_WAIT)
        self.start = now() + 300_000
        with open(os.path.join(self.folder, "start.json"), "w", encoding="utf-8") as file:
            json.dump({"start": self.start}, file)  # the record's times are on the machine's clock
        for child in self.children:
            child.say(f"begin {self.start}")

    def start_children(self, path, until):
        """Hosts, list and load as processes, each of which has said that it is ready."""
        x = self.plan.experiment
        self.children = [
            Child(f"{kind} {n}", [kind, "--plan", path, "--number", str(n)], self.child_cores(kind, n))
            for kind, count in (("hosts", x.hosts.processes), ("list", 1), ("load", x.load.processes))
            for n in range(count)
        ]
        self.selector = selectors.DefaultSelector()
        for child in self.children:
            self.selector.register(child.process.stdout, selectors.EVENT_READ, child)
        while not all(c.ready for c in self.children) and not self.cut:
            self.hear(0.2)
            for child in self.children:
                if child.fault:
                    raise StartError(f"{child.name}: {child.fault}")
                if child.ended and not child.ready:
                    raise StartError(f"{child.name}: ended before it was ready")
            if time.monotonic() > until:
                raise StartError(
                    "not ready after 30 s: " + ", ".join(c.name for c in self.children if not c.ready)
                )

    def start_nodes(self, until):
        """The nodes, each of which has answered a PING."""
        if self.plan.experiment.nodes.fleet:
            self.fleet = fleet.FleetProcess(self)
            self.nodes = [fleet.FleetNode(self, n) for n in range(len(self.plan.nodes))]
        else:
            self.nodes = [NodeProcess(self, n) for n in range(len(self.plan.nodes))]
        for node in self.nodes:
            node.start()
        while not all(node.up for node in self.nodes) and not self.cut:
            for node in self.nodes:
                if node.process.poll() is not None:
                    raise StartError(
                        f"{node.node.name}: ended with {node.process.returncode} at its start, "
                        f"see {node.node.name}.log"
                    )
                node.up = node.up or node.answers_ping()
            if time.monotonic() > until:
                raise StartError(
                    "no PONG after 30 s from " + ", ".join(n.node.name for n in self.nodes if not n.up)
                )
            self.hear(0.02)
        for node in self.nodes:
            node.sample()

    def hear(self, wait):
        for key, _ in self.selector.select(wait):
            if not key.data.read():
                self.selector.unregister(key.fileobj)
                key.data.ended = True

    def play(self):
        x = self.plan.experiment
        ending = self.start + round((x.seconds + x.settle_s) * SECOND)
        stolen = psutil.cpu_times().steal
        self.node_faults()
        sampled = self.start
        with open(os.path.join(self.folder, "live.jsonl"), "w", encoding="utf-8") as live:
            while now() < ending and not self.cut:
                while self.todo and self.todo[0][0] <= now():
                    _, _, what, args = heapq.heappop(self.todo)
                    what(*args)
                wait = min([ending, sampled + SECOND] + [one[0] for one in self.todo[:1]]) - now()
                self.hear(max(0.0, min(wait / 1e6, 0.2)))
                if now() >= sampled + SECOND:
                    sampled += SECOND
                    self.second(live, sampled)
                for child in self.children:
                    if child.ended and not self.cut:
                        self.cut = f"{child.name} died"
                for node in self.nodes:
                    if node.wanted and node.process.poll() is not None:
                        node.wanted = node.up = False
                        self.note("died", node, code=node.process.returncode)
                        self.reasons.append(f"{node.node.name} died with {node.process.returncode}")
                        self.front("down", node)
        self.stolen = psutil.cpu_times().steal - stolen

    def second(self, live, at):
        counts, hosts = {}, {}
        for child in self.children:
            if not child.counts.pop("new", False):
                continue
            if child.name.startswith("load"):
                for key, value in child.counts.items():
                    counts[key] = (
                        max(counts.get(key, 0), value) if key.endswith("_us") else counts.get(key, 0) + value
                    )
            elif child.name.startswith("hosts"):
                hosts |= child.counts.get("standing", {})
        line = {
            "s": round((at - self.start) / SECOND),
            **counts,
            "hosts": hosts,
            "nodes": {n.node.name: n.sample() for n in self.nodes if n.wanted},
        }
        self.timeline.append(line)
        live.write(json.dumps(line) + "\n")
        live.flush()
        if self.show:
            self.show(self, line)

    # Nodes' faults

    def node_faults(self):
        for one in self.plan.faults:
            if one.kind in FLEET_FAULTS:
                self.at(self.start + round(one.at * SECOND), self.fleet.fault, one)
            if one.kind in NODE_FAULTS:
                for name in one.on:
                    node = next(p for p in self.nodes if p.node.name == name)
                    self.at(self.start + round(one.at * SECOND), self.fault, node, one)

    def at(self, when, what, *args):
        self.stamp += 1
        heapq.heappush(self.todo, (when, self.stamp, what, args))

    def fault(self, node, one):
        span = round(one.seconds * SECOND)
        if one.kind == "freeze":
            self.note("freeze", node)
            node.signal(signal.SIGSTOP)
            self.at(now() + span, self.thaw, node)
            return
        if one.kind == "reload":
            self.note("reload", node)
            node.signal(signal.SIGHUP)
            return
        if one.kind == "retune":
            self.note("retune", node)
            node.retune()
            return
        if one.kind == "quiesce":
            self.quiesce(node, span)
            return
        if one.kind == "replace":
            self.note("replacing", node)
            node.leaving = node.process
            node.start()
            self.at(now() + 20_000, self.replace, node, 0)
            return
        if self.fleet:  # its supervisor brings it back; meanwhile connections wait
            self.fleet.node_fault(node, one)
            return
        node.wanted = node.up = False
        self.note("stopping" if one.kind == "stop" else "killed", node)
        node.signal(signal.SIGTERM if one.kind == "stop" else signal.SIGKILL)
        notice = 300_000 if one.kind == "stop" else round(self.plan.experiment.nodes.front_notice_s * SECOND)
        self.at(now() + notice, self.front, "down", node)
        if span:
            self.at(now() + span, self.start_anew, node)

    def quiesce(self, node, span):
        self.note("quiesce", node, ok=node.call("quiesce"))
        node.up = False
        # asked ten times a second, and noticed 0.2 s after the first no
        self.at(now() + 300_000, self.front, "down", node)
        self.at(now() + span, self.resume, node)

    def resume(self, node):
        self.note("resume", node, ok=node.call("resume"))
        self.at(now() + 50_000, self.take_in, node, 0)

    def replace(self, node, tries):
        """SIGTERM for the old process once the new one says yes."""
        if node.serves():
            node.leaving.send_signal(signal.SIGTERM)
            self.at(now() + 50_000, self.replaced, node)
        elif tries < 300:
            self.at(now() + 20_000, self.replace, node, tries + 1)

    def replaced(self, node):
        if node.leaving.poll() is None:
            self.at(now() + 50_000, self.replaced, node)
        else:
            self.note("replaced", node, code=node.leaving.returncode)

    def thaw(self, node):
        node.signal(signal.SIGCONT)
        self.note("thaw", node)

    def start_anew(self, node):
        if node.process.poll() is None:
            self.at(now() + 50_000, self.start_anew, node)
            return
        self.note("stopped", node, code=node.process.returncode)
        node.cpu = 0.0
        node.start()
        node.wanted = True
        self.at(now() + 50_000, self.take_in, node, 0)

    def take_in(self, node, tries):
        """The front deals to it once it has answered PING."""
        if node.answers_ping():
            node.up = True
            self.note("up", node)
            self.front("up", node)
        elif node.wanted and tries < 600:
            self.at(now() + 50_000, self.take_in, node, tries + 1)

    def front(self, word, node):
        """Tells the clients' front; one that is back meanwhile is not taken out."""
        for child in self.children:
            if child.name.startswith("load") and not (word == "down" and node.up):
                child.say(f"{word} {node.number}")

    # The end

    def end(self):
        load = [c for c in self.children if c.name.startswith("load")]
        self.wait_for(load, "end")
        for node in self.nodes:
            if node.process.poll() is None:
                node.sample()
                node.wanted = False
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGTERM)
        until = time.monotonic() + STOP_WAIT
        for node in self.nodes:
            try:
                code = node.process.wait(max(0.1, until - time.monotonic()))
                if (
                    code not in (0, -signal.SIGKILL)
                    and not self.plan.variant.command
                    and not self.plan.experiment.nodes.command
                ):
                    self.reasons.append(f"{node.node.name} ended with {code}")
            except subprocess.TimeoutExpired:
                self.reasons.append(f"{node.node.name} did not stop in {STOP_WAIT} s")
        self.wait_for([c for c in self.children if c not in load], "end")

    def wait_for(self, children, word):
        for child in children:
            child.say(word)
        until = time.monotonic() + 10
        while not all(c.ended for c in children) and time.monotonic() < until:
            self.hear(0.1)

    def clear_away(self):
        """Only what this play has started, by its own process objects."""
        if self.fleet:
            self.fleet.clear_away()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for child in self.children:
            with contextlib.suppress(OSError):
                child.process.stdin.close()
            try:
                child.process.wait(3)
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
            child.process.stdout.close()
