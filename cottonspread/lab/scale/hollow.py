"""Hollow nodes: a simulated fleet (`lab/sim`) whose control work is counted apart from its clients' lines.

A hollow node is the node's own reducer, decision module, list client (`net/discovery.py`) and HTTP client
(`net/http.py`); sockets, threads and clocks are simulated, so that hundreds share a process. Hollow list
machines answer many nodes from one book each; a node asks one of them, as it knows one address. Bytes are
those of the HTTP messages, without TCP's and IP's headers.

Control is what a node does that is no client's line: its list client's turns, the reducer's steps for what
the list tells, and ticks of its timers. More control clients are given to every process by
`HollowFleet(control=...)`: see `ControlClient`.
"""

import time
from dataclasses import dataclass, fields
from typing import Protocol

from cottonspread.lab.listing import HTTP_RESPONSE
from cottonspread.lab.sim.agent import ROUND_TRIP, Agent, Caller
from cottonspread.lab.sim.fleet import Fleet
from cottonspread.lab.sim.node import Process
from cottonspread.lab.sim.world import SECOND
from cottonspread.net import events as ev
from cottonspread.net.discovery import Discovery
from cottonspread.net.http import HttpClient

LIST_MACHINES = 3
"""Machines that are set aside for control."""


@dataclass
class Meter:
    """What an instance has done; times in nanoseconds of processor time."""

    requests: int = 0
    answers: int = 0
    failures: int = 0
    entries: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    client_ns: int = 0
    """The list client's turns: HTTP, JSON, reading entries."""
    list_ns: int = 0
    """The reducer and the module, for what the list told."""
    ticks: int = 0
    tick_ns: int = 0
    """Steps of the reducer for its timers alone. With connections open they look after those too."""
    line_steps: int = 0
    line_ns: int = 0
    """Steps of the reducer for clients' and servers' lines and ends."""

    def add(self, other: "Meter") -> None:
        for field in fields(self):
            setattr(self, field.name, getattr(self, field.name) + getattr(other, field.name))

    @property
    def list_control_ns(self) -> int:
        return self.client_ns + self.list_ns


@dataclass
class MachineMeter:
    """What a list machine has done."""

    connections: int = 0
    answers: int = 0
    entries: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    answer_ns: int = 0


class ControlClient(Protocol):
    """A further control client of a hollow node, made by `factory(process)` as the process starts.

    It follows simulated time through `process.world`, does nothing once `process.dead` is set, and counts
    its work on a meter of its own or on `process.meter`."""

    def begin(self) -> None: ...


class MemorySocket:
    """A connection to a hollow list machine, as far as `HttpClient` uses a socket."""

    def __init__(self, caller):
        self.caller, self.path, self.answer, self.broken = caller, "", b"", False

    def settimeout(self, _):
        pass

    def sendall(self, request):
        self.caller.sent(request)
        self.path = request.split(b" ", 2)[1].decode()

    def recv(self, most):
        if not self.answer:
            self.answer = self.caller.answered(self.path)
        taken, self.answer = self.answer[:most], self.answer[most:]
        return taken

    def close(self):
        pass


class MemoryHttp(HttpClient):
    """The real HTTP client on a memory socket in the place of a TCP connection."""

    def __init__(self, address, caller):
        super().__init__(address, Discovery.CONNECT_TIMEOUT)
        self.caller = caller

    def exchange(self, *request):
        if self.sock is None:
            self.sock = self.caller.connected()
        return super().exchange(*request)


class HollowCaller(Caller):
    """One process's calls of a list machine, through the real HTTP client."""

    def __init__(self, agent, process):
        super().__init__(agent, process)
        self.http, self.meter = MemoryHttp(process.parts[0].discovery, self), process.meter
        self.out = False  # a call is out that an answer can come to

    def send_request(self):
        if self.http.sock is not None and self.http.sock.broken:  # the kernel knows that it ended
            self.http.close()
        fault = self.agent.refuses(self.process) if self.http.sock is None else None
        if fault is None:
            self.out = not self.agent.unheard(self.process)
            super().send_request()
            return
        self.call, self.answer, self.out = self.call + 1, None, False
        wait = round(Discovery.CONNECT_TIMEOUT * SECOND) if isinstance(fault, TimeoutError) else ROUND_TRIP
        self.world.after(wait, self.fail, self.call, fault)

    def answer_if_due(self, call=None):
        if self.out:
            super().answer_if_due(call)

    def reset(self):
        """The list machine's end of the connection broke, and its kernel said so."""
        if self.http.sock is not None:
            self.http.sock.broken = True
        if self.out:
            self.world.after(ROUND_TRIP, self.fail, self.call, ConnectionResetError("the list machine ended"))

    def run_turn(self):
        self.out = False
        machine, began = self.agent.meter.answer_ns, time.thread_time_ns()
        pause = super().run_turn()
        spent = time.thread_time_ns() - began
        self.meter.client_ns += spent - (self.agent.meter.answer_ns - machine)
        if pause:
            self.meter.failures += 1
        return pause

    # For `Discovery` and `MemoryHttp`

    def get(self, path, wait):
        return self.http.get(path, wait)

    def connected(self):
        if self.answer is not None:
            raise self.answer
        self.agent.meter.connections += 1
        return MemorySocket(self)

    def sent(self, request):
        self.meter.requests += 1
        self.meter.bytes_out += len(request)

    def answered(self, path):
        """The bytes of an answer. A call that got none raises what it met."""
        if self.answer is not None:
            raise self.answer
        began = time.thread_time_ns()
        body = self.body(path)
        answer = HTTP_RESPONSE % (len(body), body)
        self.agent.meter.answer_ns += time.thread_time_ns() - began
        self.agent.meter.answers += 1
        self.agent.meter.bytes_out += len(answer)
        self.meter.answers += 1
        self.meter.bytes_in += len(answer)
        return answer


class ListMachine(Agent):
    """One book, asked by many nodes."""

    def __init__(self, fleet, number, entries, lag):
        super().__init__(fleet, f"list{number}", entries, lag)
        self.meter, self.gone, self.ended, self.cut_off = MachineMeter(), False, False, set()

    def caller(self, process):
        return HollowCaller(self, process)

    # Troubles

    def unheard(self, process):
        """Whether nothing that the process sends comes here."""
        return self.gone or process.node.name in self.cut_off

    def refuses(self, process):
        """What a new connection meets, None if it is taken."""
        if self.unheard(process):
            return TimeoutError("timed out")
        return ConnectionRefusedError("refused") if self.ended else None

    def vanish(self, span):
        """The machine is lost for `span` and tells nobody: calls that are out run out, and new connections
        are not answered."""
        self.world.add_trace_line(self.name, "vanished")
        self.gone = True
        for caller in self.callers:
            caller.out = False
        self.world.after(span, self.come_back)

    def end(self, span):
        """The process ends: its connections break and new ones are refused. Back after `span`."""
        self.world.add_trace_line(self.name, "ended")
        self.ended = True
        for caller in self.callers:
            caller.reset()
        self.world.after(span, self.come_back)

    def come_back(self):
        self.world.add_trace_line(self.name, "back")
        self.gone = self.ended = False
        for caller in self.callers:
            if caller.http.sock is not None:
                caller.http.sock.broken = True

    def cut_ways(self, names, span):
        """Nothing comes from or to these nodes; what was sent meanwhile is lost."""
        self.world.add_trace_line(self.name, "cut off", len(names))
        self.cut_off |= names
        for caller in self.callers:
            if caller.process.node.name in names:
                caller.out = False
        self.world.after(span, self.cut_off.difference_update, names)


class HollowProcess(Process):
    """A node's process with its control work counted."""

    def __init__(self, node, values, shared=False):
        self.meter = Meter()
        super().__init__(node, values, shared)
        self.control = [factory(self) for factory in node.fleet.control]
        for client in self.control:
            client.begin()

    def step_reducer(self, event, at):
        began = time.thread_time_ns()
        effects = super().step_reducer(event, at)
        self.count(event, time.thread_time_ns() - began)
        if isinstance(event, ev.ListReceived):
            self.node.fleet.in_force(self.node, event.update.version)
        return effects

    def count(self, event, spent):
        meter = self.meter
        match event:
            case ev.ListReceived():
                meter.list_ns += spent
                meter.entries += len(event.update.entries)
            case ev.ListFailed():
                meter.list_ns += spent
            case ev.Tick():
                meter.ticks += 1
                meter.tick_ns += spent
            case _:
                meter.line_steps += 1
                meter.line_ns += spent

    def exit(self, how):
        self.node.fleet.ended.add(self.meter)
        super().exit(how)


class HollowFleet(Fleet):
    """`control`: factories of further control clients. `machines`: list machines that share the nodes."""

    process_type = HollowProcess
    start_window = (
        2 * SECOND
    )  # one watch: the nodes' watches end evenly, as in a fleet that was released node by node

    def __init__(self, plan, control=(), machines=LIST_MACHINES, **options):
        self.control, self.machine_count, self.list_machines = tuple(control), machines, []
        self.ended = Meter()  # of processes that are no more
        self.versions = {}  # by version: when each node had it in force
        super().__init__(plan, **options)

    def agent_for(self, node):
        if not self.list_machines:
            lag = round(self.plan.experiment.listing.lag_ms * 1000)
            self.list_machines = [ListMachine(self, n, self.entries, lag) for n in range(self.machine_count)]
        return self.list_machines[node.number % self.machine_count]

    def processes(self):
        return [process for node in self.nodes for process in node.processes]

    def metered(self):
        """The work of all instances so far, of ended ones too."""
        total = Meter()
        total.add(self.ended)
        for process in self.processes():
            total.add(process.meter)
        return total

    # The news

    def change_lists(self, name, lifecycle):
        """The same change at every list machine, now; its version."""
        for machine in self.list_machines:
            machine.apply_change(name, lifecycle, None, self.entry(self.hosts[name].machine))
        return self.made()

    def change_weight(self):
        """The last server's weight grows by a thousandth in every list machine's book; the version."""
        for machine in self.list_machines:
            name, entry = next(reversed(machine.book.entries.items()))
            machine.book.change(name, "Ready", None, entry | {"weight": entry["weight"] * 1.001})
            machine.answer_waiting_calls()
        return self.made()

    def made(self):
        """The version that the list machines have now; when a node has it is kept from here on."""
        version = self.list_machines[0].book.version
        self.versions[version] = {}
        return version

    def in_force(self, node, version):
        """A node's module has the list up to this version."""
        for told, reached in self.versions.items():
            if told <= version:
                reached.setdefault(node.name, self.world.now)

    def listed(self):
        """How many nodes know a server that is ready."""
        return sum(process.reducer.has_hosts for process in self.processes())
