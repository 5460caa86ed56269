"""A play in simulated time: a plan's nodes, hosts, list and clients in one
world, with its troubles, until its end.

What clients, hosts, the list and the nodes saw is recorded as in a play on sockets, so that the same audit
and the same results are made of it.
"""

import msgspec

from cottonspread.lab import listing, tuning
from cottonspread.lab import plan as plans
from cottonspread.lab.sim import fault_injection
from cottonspread.lab.sim.agent import Agent
from cottonspread.lab.sim.clients import Clients
from cottonspread.lab.sim.hosts import Host
from cottonspread.lab.sim.invariants import Invariants
from cottonspread.lab.sim.network import Network, Place
from cottonspread.lab.sim.node import KILLED, Process
from cottonspread.lab.sim.world import EPOCH, SECOND, World

NOTICED = 300_000  # until the front deals no more to a node that says no
LIST_WAIT = 2 * SECOND  # for a list that discovery tells; then the saved one is trusted
PINGS = 100_000  # the front asks a node that is to come in


class Node:
    """A place with a process, or with two while one is replaced."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.plan = fleet, number, fleet.plan.nodes[number]
        x, draws = fleet.plan.experiment, fleet.world.random_stream("node", number)
        self.name = self.plan.name
        self.place = Place(self.name, f"z{number % x.hosts.zones}")
        self.draws, self.starts, self.retuned, self.processes, self.waiting = draws, 0, 0, [], []
        self.skew, self.drift = (
            draws.randint(-x.ways.skew_us, x.ways.skew_us),
            draws.randint(-x.ways.drift_ppm, x.ways.drift_ppm),
        )
        self.shared = any(f.kind == "replace" and self.name in f.on for f in fleet.plan.faults)
        self.wanted, self.down_at, self.saved, self.generation = True, None, {}, 0
        self.agent = fleet.agent_for(self)

    def start(self):
        """A process as `serve` makes one."""
        self.starts += 1
        values = tuning.values(self.fleet.plan, self.number, self.retuned)
        # the list that the process before it was told, from the folder that both share
        if self.shared and self.saved:
            values["known"] = {
                "generation": self.generation,
                "reset": True,
                "instances": list(self.saved.values()),
            }
        process = self.fleet.process_type(self, values, self.shared)
        self.processes.append(process)
        process.takes = not self.shared
        if self.shared:
            self.wait_until_ready(process)
        self.open_door()
        return process

    @property
    def process(self):
        """The newest that is alive."""
        return self.processes[-1] if self.processes else None

    def wait_until_ready(self, process):
        """As the succession does: it serves once it knows a list that discovery told."""
        if process.dead:
            return
        told = not process.discovery.need_full_list or self.fleet.world.now - process.began >= LIST_WAIT
        if not process.reducer.listed or not told:
            self.fleet.world.after(20_000, self.wait_until_ready, process)
        elif len(self.processes) > 1:
            process.take_from(self.processes[-2])
        else:
            process.takes = True
            self.open_door()

    def keep(self, version, instances, whole):
        """What discovery told last, as a process saves it."""
        if whole:
            self.saved = {}
        self.generation = version
        for one in instances:
            self.saved[one["instanceId"]] = one
            if one["lifecycle"] == "Gone":
                del self.saved[one["instanceId"]]

    def open_door(self):
        """Who takes connections now. The platform's listener holds them for whoever comes."""
        taking = [p for p in self.processes if p.takes]
        if not taking:
            self.place.door = self.waiting.append if self.shared else None
            return
        self.place.door = lambda side: (taking[0] if len(taking) == 1 else self.draws.choice(taking)).came(
            side
        )
        waiting, self.waiting = self.waiting, []
        for side in waiting:
            self.place.door(side)

    def ended(self, process):
        self.processes.remove(process)
        self.fleet.invariants.process_ended(process)
        self.open_door()
        if self.processes:  # alone again
            self.processes[-1].limit(None)
        elif process.dead == KILLED or not self.wanted:
            self.fleet.put_node("killed" if process.dead == KILLED else "stopped", self)


def expanded(plan):
    """A zone that is lost is each of its machines, vanished and back cold."""
    faults = []
    for one in plan.faults:
        if one.kind == "zone-lost":
            one = msgspec.structs.replace(
                one, kind="vanish", on=[m.name for m in plan.machines if m.zone in one.on]
            )
        faults.append(one)
    return msgspec.structs.replace(plan, faults=faults)


class Fleet:
    process_type = Process  # what a node starts
    clients_type = Clients
    start_window = SECOND // 10  # the nodes start within so long

    def __init__(self, plan, only=None, traced=False, policy=(), checked=True, seed=None):
        """`only`: see `Clients`.

        `policy`: a class in the place of the Balancer. `checked`: whether promises are looked at.
        """
        self.plan, x = expanded(plan), plan.experiment
        self.world = World(plan.seed if seed is None else seed, traced)
        self.world.network = Network(self.world, x.ways.same_us, x.ways.cross_us, x.ways.jitter_us)
        self.policy, self.addresses, self.reasons = policy, {}, {}
        self.entries = [self.entry(m) for m in plan.machines if not m.started]
        self.invariants = Invariants(self, checked)
        self.hosts = {m.name: Host(self, m) for m in plan.machines}
        self.addresses = {(h.machine.ip, h.machine.port): h.place for h in self.hosts.values()}
        self.nodes = [Node(self, n) for n in range(len(plan.nodes))]
        self.by_name = {node.name: node for node in self.nodes}
        self.clients = self.clients_type(self, plans.schedule(plan), only)
        self.over = False
        for node in self.nodes:
            # They start together, as a fleet's machines do: not in the same microsecond.
            self.world.at(node.draws.randbelow(self.start_window), node.start)
        for after, name, lifecycle, started in listing.changes(self.plan):
            self.schedule_change(after - round(x.listing.lag_ms * 1000), name, lifecycle, started)
        for one in self.plan.faults:
            self.world.at(round(one.at * SECOND), fault_injection.inject, self, one)
        if x.listing.weights_ms:
            self.world.after(
                round(x.listing.weights_ms * 1000), self.weigh, round(x.listing.weights_ms * 1000)
            )

    def agent_for(self, node):
        """Where the node hears the list; nodes may share one."""
        lag = round(self.plan.experiment.listing.lag_ms * 1000)
        return Agent(self, node.name, self.entries, lag)

    @property
    def agents(self):
        """Each that a node has, once, in the nodes' order."""
        return list(dict.fromkeys(node.agent for node in self.nodes))

    @staticmethod
    def entry(m):
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
        machine = self.hosts[name].machine
        at = None if started is None else (EPOCH + round(started)) // 1000
        for agent in self.agents:
            self.world.at(after, agent.schedule_change, name, lifecycle, at, self.entry(machine))

    def weigh(self, every):
        held = {
            m.name: (m.traits.cores * m.traits.speed, len(self.hosts[m.name].model.conns) / m.traits.cores)
            for m in self.plan.machines
        }
        for agent in self.agents:
            agent.weigh(held)
        self.world.after(every, self.weigh, every)

    # The record

    def put(self, kind, line):
        if self.invariants.checked:
            self.records[kind].append(line)

    @property
    def records(self):
        return self.world.records

    def put_node(self, kind, node, **more):
        self.put("nodes", {"k": kind, "t": self.world.now, "node": node.name, **more})

    def served(self, call):
        pass

    def heard(self, process, effect):
        """A log line of a node."""
        if effect.event in ("overdue", "fault"):
            self.invariants.broken(0, f"the node's log says {effect.event}", process.node.name, effect.pairs)

    def stepped(self, process, event, effects):
        self.invariants.stepped(process)

    # The play

    def run(self):
        x = self.plan.experiment
        self.world.run(round((x.seconds + x.settle_s) * SECOND))
        self.clients.finish()
        self.invariants.check_at_end()
        return self

    def stop_all(self, wait=6 * SECOND):
        """Every node gets its SIGTERM; what is left then is a leak."""
        self.over = True
        for node in self.nodes:
            node.wanted = False
            for process in node.processes:
                process.stop()
        self.world.run(self.world.now + wait)
        self.invariants.check_all_released()

    # The front

    def take_in(self, node):
        """The front deals to it once it has answered PING."""
        process = node.process
        if process is not None and not process.dead:
            Pinger(self, node)

    def front_notices(self, node, after):
        node.down_at = self.world.now
        self.world.after(after, self.front_down, node, node.down_at)

    def front_down(self, node, since):
        if node.down_at == since:
            self.clients.front(node, False)


class Pinger:
    """The front's question to a node that comes in, again and again until it says yes."""

    def __init__(self, fleet, node):
        self.fleet, self.node, self.taken = fleet, node, 0
        fleet.world.network.connect(self, fleet.clients.place, node.place, SECOND, self.connected)

    def connected(self, side, why):
        if side is None:
            self.again()
            return
        self.side = side
        try:
            side.send(b"PING\r\n")
        except BrokenPipeError:
            self.again()

    def arrived(self, side):
        said = side.take() if side.inbox else b""
        if said == b"PONG\r\n":
            side.close()
            self.node.down_at = None
            self.fleet.clients.front(self.node, True)
            self.fleet.put_node("up", self.node)
        elif said or side.ended or side.broke:
            side.close()
            self.again()

    def room(self, side):
        pass

    def again(self):
        if self.node.processes:
            self.fleet.world.after(PINGS, Pinger, self.fleet, self.node)
