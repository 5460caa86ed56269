"""A simulated run: a plan's nodes, hosts, host list and clients in one world, with its faults, until its end.

What clients, hosts, list and nodes observe is recorded as in a run on sockets, so that the same audit and
the same results are made from it.
"""

import msgspec

from cottonspread.lab import listing, node_config
from cottonspread.lab import plan as plans
from cottonspread.lab.sim import fault_injection
from cottonspread.lab.sim.agent import Agent
from cottonspread.lab.sim.clients import Clients
from cottonspread.lab.sim.hosts import Host
from cottonspread.lab.sim.invariants import Invariants
from cottonspread.lab.sim.network import Endpoint, Network
from cottonspread.lab.sim.node import KILLED, Process
from cottonspread.lab.sim.world import EPOCH, SECOND, World

NOTICED = 300_000  # until the front sends no more clients to a node that fails its health check
LIST_TIMEOUT = 2 * SECOND  # wait for a list from discovery; then the saved list is used
PING_INTERVAL = 100_000  # between the front's health checks of a node that comes up


class Node:
    """A node's machine, with one process, or two while the process is replaced."""

    def __init__(self, fleet, number):
        """Creates node number `number` of the plan, without a process."""
        self.fleet, self.number, self.plan = fleet, number, fleet.plan.nodes[number]
        experiment, random = fleet.plan.experiment, fleet.world.random_stream("node", number)
        self.name = self.plan.name
        self.endpoint = Endpoint(self.name, f"z{number % experiment.hosts.zones}")
        self.random, self.start_count, self.settings_version, self.processes, self.pending_sides = (
            random,
            0,
            0,
            [],
            [],
        )
        self.skew, self.drift = (
            random.randint(-experiment.network.skew_us, experiment.network.skew_us),
            random.randint(-experiment.network.drift_ppm, experiment.network.drift_ppm),
        )
        self.shares_listener = any(f.kind == "replace" and self.name in f.on for f in fleet.plan.faults)
        self.should_run, self.down_at, self.saved_instances, self.generation = True, None, {}, 0
        self.agent = fleet.agent_for(self)

    def start(self):
        """Starts a process with the configuration that `serve` would read."""
        self.start_count += 1
        values = node_config.build(self.fleet.plan, self.number, self.settings_version)
        # the list that the previous process saved in the directory that both share
        if self.shares_listener and self.saved_instances:
            values["known"] = {
                "generation": self.generation,
                "reset": True,
                "instances": list(self.saved_instances.values()),
            }
        process = self.fleet.process_type(self, values, self.shares_listener)
        self.processes.append(process)
        process.accepting = not self.shares_listener
        if self.shares_listener:
            self.wait_until_ready(process)
        self.update_listener()
        return process

    @property
    def process(self):
        """The newest running process, or None."""
        return self.processes[-1] if self.processes else None

    def wait_until_ready(self, process):
        """Makes a starting process accept connections once it has received a list from discovery."""
        if process.dead:
            return
        list_received = (
            not process.discovery.need_full_list or self.fleet.world.now - process.started_at >= LIST_TIMEOUT
        )
        if not process.reducer.has_hosts or not list_received:
            self.fleet.world.after(20_000, self.wait_until_ready, process)
        elif len(self.processes) > 1:
            process.take_over(self.processes[-2])
        else:
            process.accepting = True
            self.update_listener()

    def save_list(self, version, instances, is_full):
        """Saves an update of the list, as a process does on disk."""
        if is_full:
            self.saved_instances = {}
        self.generation = version
        for instance in instances:
            self.saved_instances[instance["instanceId"]] = instance
            if instance["lifecycle"] == "Gone":
                del self.saved_instances[instance["instanceId"]]

    def update_listener(self):
        """Selects which processes accept connections; a shared listener queues them while there is none."""
        accepting = [p for p in self.processes if p.accepting]
        if not accepting:
            self.endpoint.on_connect = self.pending_sides.append if self.shares_listener else None
            return
        self.endpoint.on_connect = lambda side: (
            accepting[0] if len(accepting) == 1 else self.random.choice(accepting)
        ).on_connect(side)
        pending_sides, self.pending_sides = self.pending_sides, []
        for side in pending_sides:
            self.endpoint.on_connect(side)

    def on_process_exit(self, process):
        """Removes a process that has ended."""
        self.processes.remove(process)
        self.fleet.invariants.on_process_exit(process)
        self.update_listener()
        if self.processes:  # the other process has the machine's limits to itself again
            self.processes[-1].limit_sockets(None)
        elif process.dead == KILLED or not self.should_run:
            self.fleet.record_node_event("killed" if process.dead == KILLED else "stopped", self)


def expand_zone_faults(plan):
    """Replaces the loss of a zone by faults of its machines, which vanish and come back cold."""
    faults = []
    for fault in plan.faults:
        if fault.kind == "zone-lost":
            fault = msgspec.structs.replace(
                fault, kind="vanish", on=[m.name for m in plan.machines if m.zone in fault.on]
            )
        faults.append(fault)
    return msgspec.structs.replace(plan, faults=faults)


class Fleet:
    """All simulated machines of a plan, with the front and the records."""

    process_type = Process  # what a node starts
    clients_type = Clients
    start_window = SECOND // 10  # the nodes start within this time

    def __init__(self, plan, only=None, traced=False, policy=(), checked=True, seed=None):
        """`only`: see `Clients`. `policy`: a class to use in place of the Balancer.

        `checked`: whether invariants are checked and records kept.
        """
        self.plan, experiment = expand_zone_faults(plan), plan.experiment
        self.world = World(plan.seed if seed is None else seed, traced)
        self.world.network = Network(
            self.world, experiment.network.same_us, experiment.network.cross_us, experiment.network.jitter_us
        )
        self.policy, self.addresses, self.reasons = policy, {}, {}
        self.entries = [self.entry(m) for m in plan.machines if not m.started]
        self.invariants = Invariants(self, checked)
        self.hosts = {m.name: Host(self, m) for m in plan.machines}
        self.addresses = {(h.machine.ip, h.machine.port): h.endpoint for h in self.hosts.values()}
        self.nodes = [Node(self, n) for n in range(len(plan.nodes))]
        self.by_name = {node.name: node for node in self.nodes}
        self.clients = self.clients_type(self, plans.schedule(plan), only)
        self.stopping = False
        for node in self.nodes:
            # Nodes start at about the same time, as a fleet's machines do, but not in the same microsecond.
            self.world.at(node.random.randbelow(self.start_window), node.start)
        for after, name, lifecycle, started in listing.planned_changes(self.plan):
            self.schedule_change(after - round(experiment.listing.lag_ms * 1000), name, lifecycle, started)
        for fault in self.plan.faults:
            self.world.at(round(fault.at * SECOND), fault_injection.inject, self, fault)
        if experiment.listing.weights_ms:
            self.world.after(
                round(experiment.listing.weights_ms * 1000),
                self.update_weights,
                round(experiment.listing.weights_ms * 1000),
            )

    def agent_for(self, node):
        """Returns the discovery agent of a node; nodes may share one."""
        lag = round(self.plan.experiment.listing.lag_ms * 1000)
        return Agent(self, node.name, self.entries, lag)

    @property
    def agents(self):
        """The agents of all nodes, each once, in the order of the nodes."""
        return list(dict.fromkeys(node.agent for node in self.nodes))

    @staticmethod
    def entry(m):
        """Returns a machine's entry in the list."""
        return {
            "instanceId": m.name,
            "hostPort": f"{m.ip}:{m.port}",
            "zone": m.zone,
            "machineType": "lab",
            "cell": m.cell,
            "lifecycle": "Ready",
            "weight": m.traits.cores * m.traits.speed,
            "startedAtMs": 0,
        }

    def schedule_change(self, after, name, lifecycle, started):
        """Schedules a change of a host's entry at time `after` at every agent."""
        machine = self.hosts[name].machine
        at = None if started is None else (EPOCH + round(started)) // 1000
        for agent in self.agents:
            self.world.at(after, agent.schedule_change, name, lifecycle, at, self.entry(machine))

    def update_weights(self, every):
        """Updates the weights of all hosts at every agent, now and every `every` microseconds."""
        usage = {
            m.name: (m.traits.cores * m.traits.speed, len(self.hosts[m.name].model.conns) / m.traits.cores)
            for m in self.plan.machines
        }
        for agent in self.agents:
            agent.update_weights(usage)
        self.world.after(every, self.update_weights, every)

    # Records

    def add_record(self, kind, line):
        """Adds a line to one of the records, if invariants are checked."""
        if self.invariants.checked:
            self.records[kind].append(line)

    @property
    def records(self):
        """The records of this run, by kind."""
        return self.world.records

    def record_node_event(self, kind, node, **more):
        """Adds a line about a node to the nodes' record."""
        self.add_record("nodes", {"k": kind, "t": self.world.now, "node": node.name, **more})

    def on_call_up(self, call):
        """Called when a client's connection is established."""
        pass

    def on_log_line(self, process, effect):
        """Called for each log line of a node; "overdue" and "fault" are violations."""
        if effect.event in ("overdue", "fault"):
            self.invariants.fail(0, f"the node logged {effect.event}", process.node.name, effect.pairs)

    def after_step(self, process, event, effects):
        """Called after each step of a reducer."""
        self.invariants.after_step(process)

    # The run

    def run(self):
        """Runs the plan to its end and checks the invariants of the end."""
        experiment = self.plan.experiment
        self.world.run(round((experiment.seconds + experiment.settle_s) * SECOND))
        self.clients.finish()
        self.invariants.check_at_end()
        return self

    def stop_all(self, wait=6 * SECOND):
        """Sends SIGTERM to every process and checks that all have ended after `wait` microseconds."""
        self.stopping = True
        for node in self.nodes:
            node.should_run = False
            for process in node.processes:
                process.stop()
        self.world.run(self.world.now + wait)
        self.invariants.check_all_released()

    # The front

    def start_health_checks(self, node):
        """Makes the front send clients to a node again once it has answered PING."""
        process = node.process
        if process is not None and not process.dead:
            Pinger(self, node)

    def schedule_removal(self, node, after):
        """Takes a node that is down out of rotation after `after` microseconds, when the front notices."""
        node.down_at = self.world.now
        self.world.after(after, self.remove_if_down, node, node.down_at)

    def remove_if_down(self, node, since):
        """Stops sending clients to a node, unless it has come back since `since`."""
        if node.down_at == since:
            self.clients.set_in_rotation(node, False)


class Pinger:
    """The front's health check of a node that comes up, repeated until the node answers PONG."""

    def __init__(self, fleet, node):
        """Connects to the node."""
        self.fleet, self.node, self.accepted_at = fleet, node, 0
        fleet.world.network.connect(self, fleet.clients.endpoint, node.endpoint, SECOND, self.connected)

    def connected(self, side, why):
        """Sends PING, or tries again if the connection failed."""
        if side is None:
            self.retry()
            return
        self.side = side
        try:
            side.send(b"PING\r\n")
        except BrokenPipeError:
            self.retry()

    def on_readable(self, side):
        """Puts the node back into rotation on PONG, else tries again."""
        answer = side.recv() if side.received else b""
        if answer == b"PONG\r\n":
            side.close()
            self.node.down_at = None
            self.fleet.clients.set_in_rotation(self.node, True)
            self.fleet.record_node_event("up", self.node)
        elif answer or side.eof or side.was_reset:
            side.close()
            self.retry()

    def on_writable(self, side):
        """Does nothing: a PING never waits to be written."""
        pass

    def retry(self):
        """Starts another check later, if the node has a process."""
        if self.node.processes:
            self.fleet.world.after(PING_INTERVAL, Pinger, self.fleet, self.node)
