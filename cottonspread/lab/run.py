"""One run: starts hosts, list, nodes and clients as processes, injects nodes' faults and takes samples.

Whatever ends a run (its time, Ctrl-C, a process that dies), the records so far are kept and valid, and no
process is left: the lab's own processes exit when their standard input is closed, and the kernel kills the
nodes when their parent exits.
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
READY_TIMEOUT, STOP_TIMEOUT = 30, 8


class StartError(RuntimeError):
    """The run could not start; the message names the reason."""


class LabRun:
    """One run of an experiment. Its timer callbacks run between samples, in the runner's own thread."""

    def __init__(self, experiment, variant, seed, folder, on_sample=None):
        """`on_sample(run, line)` is called with each line of the timeline."""
        self.plan = plans.make(experiment, variant, seed)
        self.folder, self.on_sample, self.interrupted_by, self.reasons = (
            os.path.abspath(folder),
            on_sample,
            "",
            [],
        )
        self.children, self.nodes, self.timeline, self.timers, self.sequence = [], [], [], [], 0
        self.start, self.record, self.warnings, self.steal_seconds, self.fleet = 0, None, [], 0.0, None

    def node_cores(self, number):
        """Returns the CPU set that a node is pinned to, or None; nodes share the upper half of the cores."""
        cores = sorted(os.sched_getaffinity(0))
        if not self.plan.experiment.nodes.pin or len(cores) < 2:
            return None
        node_core_count = max(1, min(len(self.plan.nodes), len(cores) // 2))
        return {cores[len(cores) - 1 - number % node_core_count]}

    def child_cores(self, kind, number):
        """Returns the CPU set of one of the lab's processes, or None.

        A load process that busy-waits has a core of its own if there are enough; the others share the rest.
        """
        cores = set(os.sched_getaffinity(0))
        for n in range(len(self.plan.nodes)):
            cores -= self.node_cores(n) or set()
        load, cores = self.plan.experiment.load, sorted(cores)
        if not load.spins or len(cores) <= load.processes:
            return set(cores) or None
        return {cores[number]} if kind == "load" else set(cores[load.processes :])

    def record_event(self, kind, node, **more):
        """Writes an event of a node to the record."""
        self.record.put({"k": kind, "t": now(), "node": node.node.name, **more})
        self.record.flush()

    def run(self):
        """Runs the experiment until its end, an interruption or an error."""
        os.makedirs(self.folder, exist_ok=True)
        schedule = plans.schedule(self.plan)
        self.warnings = limits.check(self.plan, schedule)
        self.plan.unix_offset = (time.time_ns() - time.monotonic_ns()) // 1000
        path = os.path.join(self.folder, "plan.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(self.plan))
        self.record = Record(os.path.join(self.folder, "nodes-0.jsonl"))
        previous_handlers = (
            signal.signal(signal.SIGINT, self.on_signal),
            signal.signal(signal.SIGTERM, self.on_signal),
        )
        try:
            self.start_all(path)
            self.supervise()
            self.stop_all()
        finally:
            self.clean_up()
            self.record.close()
            signal.signal(signal.SIGINT, previous_handlers[0])
            signal.signal(signal.SIGTERM, previous_handlers[1])

    def on_signal(self, number, _):
        """Interrupts the run."""
        self.interrupted_by = self.interrupted_by or signal.Signals(number).name

    def start_all(self, path):
        """Starts all processes, and then the run's time. `path`: the plan's file."""
        until = time.monotonic() + READY_TIMEOUT
        self.start_children(path, until)
        self.start_nodes(until + READY_TIMEOUT)
        self.start = now() + 300_000
        with open(os.path.join(self.folder, "start.json"), "w", encoding="utf-8") as file:
            json.dump({"start": self.start}, file)  # the records' times are on the machine's monotonic clock
        for child in self.children:
            child.send(f"begin {self.start}")

    def start_children(self, path, until):
        """Starts the processes of hosts, list and load and waits until each has reported ready."""
        experiment = self.plan.experiment
        self.children = [
            Child(f"{kind} {n}", [kind, "--plan", path, "--number", str(n)], self.child_cores(kind, n))
            for kind, count in (
                ("hosts", experiment.hosts.processes),
                ("list", 1),
                ("load", experiment.load.processes),
            )
            for n in range(count)
        ]
        self.selector = selectors.DefaultSelector()
        for child in self.children:
            self.selector.register(child.process.stdout, selectors.EVENT_READ, child)
        while not all(c.ready for c in self.children) and not self.interrupted_by:
            self.read_children(0.2)
            for child in self.children:
                if child.error:
                    raise StartError(f"{child.name}: {child.error}")
                if child.ended and not child.ready:
                    raise StartError(f"{child.name}: ended before it was ready")
            if time.monotonic() > until:
                raise StartError(
                    "not ready after 30 s: " + ", ".join(c.name for c in self.children if not c.ready)
                )

    def start_nodes(self, until):
        """Starts the nodes and waits until each has answered a PING."""
        if self.plan.experiment.nodes.fleet:
            self.fleet = fleet.FleetProcess(self)
            self.nodes = [fleet.FleetNode(self, n) for n in range(len(self.plan.nodes))]
        else:
            self.nodes = [NodeProcess(self, n) for n in range(len(self.plan.nodes))]
        for node in self.nodes:
            node.start()
        while not all(node.up for node in self.nodes) and not self.interrupted_by:
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
            self.read_children(0.02)
        for node in self.nodes:
            node.sample()

    def read_children(self, wait):
        """Reads what the child processes report, for `wait` seconds at most."""
        for key, _ in self.selector.select(wait):
            if not key.data.read():
                self.selector.unregister(key.fileobj)
                key.data.ended = True

    def supervise(self):
        """Runs timers, takes a sample every second and watches the processes until the run's end."""
        experiment = self.plan.experiment
        end_time = self.start + round((experiment.seconds + experiment.settle_s) * SECOND)
        steal_before = psutil.cpu_times().steal
        self.schedule_faults()
        sampled = self.start
        with open(os.path.join(self.folder, "live.jsonl"), "w", encoding="utf-8") as live:
            while now() < end_time and not self.interrupted_by:
                while self.timers and self.timers[0][0] <= now():
                    _, _, callback, args = heapq.heappop(self.timers)
                    callback(*args)
                wait = min([end_time, sampled + SECOND] + [timer[0] for timer in self.timers[:1]]) - now()
                self.read_children(max(0.0, min(wait / 1e6, 0.2)))
                if now() >= sampled + SECOND:
                    sampled += SECOND
                    self.take_sample(live, sampled)
                for child in self.children:
                    if child.ended and not self.interrupted_by:
                        self.interrupted_by = f"{child.name} died"
                for node in self.nodes:
                    if node.should_run and node.process.poll() is not None:
                        node.should_run = node.up = False
                        self.record_event("died", node, code=node.process.returncode)
                        self.reasons.append(f"{node.node.name} died with {node.process.returncode}")
                        self.notify_load("down", node)
        self.steal_seconds = psutil.cpu_times().steal - steal_before

    def take_sample(self, live, at):
        """Writes one line of the timeline: counts of the load, connections by host, usage by node."""
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
            "nodes": {n.node.name: n.sample() for n in self.nodes if n.should_run},
        }
        self.timeline.append(line)
        live.write(json.dumps(line) + "\n")
        live.flush()
        if self.on_sample:
            self.on_sample(self, line)

    # Nodes' faults

    def schedule_faults(self):
        """Schedules the faults of nodes and of the fleet."""
        for fault in self.plan.faults:
            if fault.kind in FLEET_FAULTS:
                self.at(self.start + round(fault.at * SECOND), self.fleet.inject_fault, fault)
            if fault.kind in NODE_FAULTS:
                for name in fault.on:
                    node = next(p for p in self.nodes if p.node.name == name)
                    self.at(self.start + round(fault.at * SECOND), self.inject_fault, node, fault)

    def at(self, when, callback, *args):
        """Calls `callback(*args)` at a time of the monotonic clock, in microseconds."""
        self.sequence += 1
        heapq.heappush(self.timers, (when, self.sequence, callback, args))

    def inject_fault(self, node, fault):
        """Injects a fault into a node."""
        span = round(fault.seconds * SECOND)
        if fault.kind == "freeze":
            self.record_event("freeze", node)
            node.signal(signal.SIGSTOP)
            self.at(now() + span, self.thaw, node)
            return
        if fault.kind == "reload":
            self.record_event("reload", node)
            node.signal(signal.SIGHUP)
            return
        if fault.kind == "retune":
            self.record_event("retune", node)
            node.reload_settings()
            return
        if fault.kind == "quiesce":
            self.quiesce(node, span)
            return
        if fault.kind == "replace":
            self.record_event("replacing", node)
            node.old_process = node.process
            node.start()
            self.at(now() + 20_000, self.replace, node, 0)
            return
        if self.fleet:  # the supervisor restarts the instance; connections wait meanwhile
            self.fleet.inject_node_fault(node, fault)
            return
        node.should_run = node.up = False
        self.record_event("stopping" if fault.kind == "stop" else "killed", node)
        node.signal(signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL)
        notice = (
            300_000 if fault.kind == "stop" else round(self.plan.experiment.nodes.front_notice_s * SECOND)
        )
        self.at(now() + notice, self.notify_load, "down", node)
        if span:
            self.at(now() + span, self.restart, node)

    def quiesce(self, node, span):
        """Makes a node drain by an operator's call, for `span` microseconds."""
        self.record_event("quiesce", node, ok=node.admin_call("quiesce"))
        node.up = False
        # The emulated front polls a node's health ten times a second and acts 0.2 s after the first failure.
        self.at(now() + 300_000, self.notify_load, "down", node)
        self.at(now() + span, self.resume, node)

    def resume(self, node):
        """Ends a quiesce."""
        self.record_event("resume", node, ok=node.admin_call("resume"))
        self.at(now() + 50_000, self.add_when_up, node, 0)

    def replace(self, node, tries):
        """Sends SIGTERM to the old process once the new one reports that it is healthy."""
        if node.is_healthy():
            node.old_process.send_signal(signal.SIGTERM)
            self.at(now() + 50_000, self.wait_until_replaced, node)
        elif tries < 300:
            self.at(now() + 20_000, self.replace, node, tries + 1)

    def wait_until_replaced(self, node):
        """Records the exit of the replaced process."""
        if node.old_process.poll() is None:
            self.at(now() + 50_000, self.wait_until_replaced, node)
        else:
            self.record_event("replaced", node, code=node.old_process.returncode)

    def thaw(self, node):
        """Ends a freeze."""
        node.signal(signal.SIGCONT)
        self.record_event("thaw", node)

    def restart(self, node):
        """Starts a stopped or killed node again once its process has exited."""
        if node.process.poll() is None:
            self.at(now() + 50_000, self.restart, node)
            return
        self.record_event("stopped", node, code=node.process.returncode)
        node.cpu = 0.0
        node.start()
        node.should_run = True
        self.at(now() + 50_000, self.add_when_up, node, 0)

    def add_when_up(self, node, tries):
        """Sends clients to a node again once it has answered a PING."""
        if node.answers_ping():
            node.up = True
            self.record_event("up", node)
            self.notify_load("up", node)
        elif node.should_run and tries < 600:
            self.at(now() + 50_000, self.add_when_up, node, tries + 1)

    def notify_load(self, word, node):
        """Tells the load processes that a node is "up" or "down"; a node that is up again stays in use."""
        for child in self.children:
            if child.name.startswith("load") and not (word == "down" and node.up):
                child.send(f"{word} {node.number}")

    # The end

    def stop_all(self):
        """Stops load, nodes, and then hosts and list."""
        load = [c for c in self.children if c.name.startswith("load")]
        self.wait_for(load, "end")
        for node in self.nodes:
            if node.process.poll() is None:
                node.sample()
                node.should_run = False
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGTERM)
        until = time.monotonic() + STOP_TIMEOUT
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
                self.reasons.append(f"{node.node.name} did not stop in {STOP_TIMEOUT} s")
        self.wait_for([c for c in self.children if c not in load], "end")

    def wait_for(self, children, word):
        """Sends a command to child processes and waits until they have exited, for ten seconds at most."""
        for child in children:
            child.send(word)
        until = time.monotonic() + 10
        while not all(c.ended for c in children) and time.monotonic() < until:
            self.read_children(0.1)

    def clean_up(self):
        """Kills the processes that this run has started and that are left, by its own process objects."""
        if self.fleet:
            self.fleet.clean_up()
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
