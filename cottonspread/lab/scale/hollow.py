"""Hollow nodes: a simulated fleet (`lab/sim`) that meters control traffic separately from client lines.

A hollow node (the term is that of Kubernetes' kubemark) runs the node's own reducer, balancer, list client
(`net/discovery.py`) and HTTP client (`net/http.py`). Sockets, threads and clocks are simulated, so that
hundreds of nodes fit into one process. A few simulated list machines, the servers of the discovery service,
answer all nodes from one copy of the server list each; a node knows the address of one of them. Byte counts
are those of the HTTP messages, without TCP and IP headers.

Control is all work of a node that does not carry a client's line: the turns of its list client, the reducer's
steps for list updates, and its timer ticks. `HollowFleet(control=...)` adds further control clients to every
process, see `ControlClient`.
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
"""Machines that serve the list only."""


@dataclass
class Meter:
    """Work of one instance; times are nanoseconds of processor time."""

    requests: int = 0
    answers: int = 0
    failures: int = 0
    entries: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    client_ns: int = 0
    """The list client: HTTP, JSON, parsing of entries."""
    list_ns: int = 0
    """The reducer and the balancer, for list updates."""
    ticks: int = 0
    tick_ns: int = 0
    """Steps of the reducer for its timers. With connections open the timers check those too."""
    line_steps: int = 0
    line_ns: int = 0
    """Steps of the reducer for lines and closes of clients and servers."""

    def add(self, other: "Meter") -> None:
        """Adds the counts of another meter to this one."""
        for field in fields(self):
            setattr(self, field.name, getattr(self, field.name) + getattr(other, field.name))

    @property
    def list_control_ns(self) -> int:
        """Processor time of following the server list."""
        return self.client_ns + self.list_ns


@dataclass
class MachineMeter:
    """Work of one list machine."""

    connections: int = 0
    answers: int = 0
    entries: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    answer_ns: int = 0


class ControlClient(Protocol):
    """An additional control client of a hollow node, created by `factory(process)` when the process starts.

    It follows simulated time through `process.world`, must do nothing once `process.dead` is set, and records
    its work on a meter of its own or on `process.meter`.
    """

    def begin(self) -> None:
        """Starts the client."""
        ...


class MemorySocket:
    """A connection to a simulated list machine, with the socket methods that `HttpClient` uses."""

    def __init__(self, caller):
        """`caller`: the `HollowCaller` that answers."""
        self.caller, self.path, self.answer, self.reset_by_peer = caller, "", b"", False

    def settimeout(self, _):
        """Does nothing: time-outs are simulated by the caller."""
        pass

    def sendall(self, request):
        """Counts the request and remembers its path."""
        self.caller.count_request(request)
        self.path = request.split(b" ", 2)[1].decode()

    def recv(self, max_bytes):
        """Returns at most `max_bytes` of the answer."""
        if not self.answer:
            self.answer = self.caller.receive_answer(self.path)
        chunk, self.answer = self.answer[:max_bytes], self.answer[max_bytes:]
        return chunk

    def close(self):
        """Does nothing: there is no descriptor."""
        pass


class MemoryHttp(HttpClient):
    """The real HTTP client on a `MemorySocket` instead of a TCP connection."""

    def __init__(self, address, caller):
        """`address`: that of the list machine. `caller`: the `HollowCaller` that opens connections."""
        super().__init__(address, Discovery.CONNECT_TIMEOUT)
        self.caller = caller

    def exchange(self, *request):
        """Opens a connection if there is none, then sends the request."""
        if self.sock is None:
            self.sock = self.caller.open_socket()
        return super().exchange(*request)


class HollowCaller(Caller):
    """One process's requests to a list machine, made through the real HTTP client."""

    def __init__(self, agent, process):
        """Replaces the HTTP client of the process's `Discovery`."""
        super().__init__(agent, process)
        self.http, self.meter = MemoryHttp(process.parts[0].discovery, self), process.meter
        self.in_flight = False  # a request is pending whose answer can still arrive

    def send_request(self):
        """Sends the next request, or lets it fail where no connection can be opened."""
        if self.http.sock is not None and self.http.sock.reset_by_peer:  # the kernel has seen the reset
            self.http.close()
        error = self.agent.connect_error(self.process) if self.http.sock is None else None
        if error is None:
            self.in_flight = not self.agent.is_unreachable(self.process)
            super().send_request()
            return
        self.call, self.answer, self.in_flight = self.call + 1, None, False
        delay = round(Discovery.CONNECT_TIMEOUT * SECOND) if isinstance(error, TimeoutError) else ROUND_TRIP
        self.world.after(delay, self.fail, self.call, error)

    def answer_if_due(self, call=None):
        """Answers the waiting request if it can be answered, see `Caller.answer_if_due`."""
        if self.in_flight:
            super().answer_if_due(call)

    def reset(self):
        """Resets the connection: the list machine's process ended and its kernel closed it."""
        if self.http.sock is not None:
            self.http.sock.reset_by_peer = True
        if self.in_flight:
            self.world.after(ROUND_TRIP, self.fail, self.call, ConnectionResetError("list machine stopped"))

    def poll_list(self):
        """Runs one turn of the list client and meters it, without the list machine's own work."""
        self.in_flight = False
        machine_before, started_at = self.agent.meter.answer_ns, time.thread_time_ns()
        pause = super().poll_list()
        elapsed = time.thread_time_ns() - started_at
        self.meter.client_ns += elapsed - (self.agent.meter.answer_ns - machine_before)
        if pause:
            self.meter.failures += 1
        return pause

    # For `Discovery` and `MemoryHttp`

    def get(self, path, timeout):
        """Returns the body of an answer, for `Discovery`."""
        return self.http.get(path, timeout)

    def open_socket(self):
        """Returns a new connection, for `MemoryHttp`, or raises the error that the call met."""
        if self.answer is not None:
            raise self.answer
        self.agent.meter.connections += 1
        return MemorySocket(self)

    def count_request(self, request):
        """Meters a request of the list client."""
        self.meter.requests += 1
        self.meter.bytes_out += len(request)

    def receive_answer(self, path):
        """Returns the bytes of an answer; raises the error of a call that got none."""
        if self.answer is not None:
            raise self.answer
        started_at = time.thread_time_ns()
        body = self.body(path)
        answer = HTTP_RESPONSE % (len(body), body)
        self.agent.meter.answer_ns += time.thread_time_ns() - started_at
        self.agent.meter.answers += 1
        self.agent.meter.bytes_out += len(answer)
        self.meter.answers += 1
        self.meter.bytes_in += len(answer)
        return answer


class ListMachine(Agent):
    """A list machine: one copy of the server list, read by many nodes."""

    def __init__(self, fleet, number, entries, lag):
        """`entries`: the servers listed at first. `lag`: microseconds that a change takes to arrive here."""
        super().__init__(fleet, f"list{number}", entries, lag)
        self.meter, self.dropping_traffic, self.stopped, self.partitioned = (
            MachineMeter(),
            False,
            False,
            set(),
        )

    def new_caller(self, process):
        """Creates the transport of a starting process's list client."""
        return HollowCaller(self, process)

    # Faults

    def is_unreachable(self, process):
        """Whether nothing that the process sends arrives here."""
        return self.dropping_traffic or process.node.name in self.partitioned

    def connect_error(self, process):
        """The error that a new connection of the process fails with, None if it is accepted."""
        if self.is_unreachable(process):
            return TimeoutError("timed out")
        return ConnectionRefusedError("refused") if self.stopped else None

    def drop_traffic(self, span):
        """Makes the machine unreachable for `span` microseconds without closing anything.

        Pending calls time out and new connections are not answered.
        """
        self.world.add_trace_line(self.name, "vanished")
        self.dropping_traffic = True
        for caller in self.callers:
            caller.in_flight = False
        self.world.after(span, self.recover)

    def stop_process(self, span):
        """Stops the machine's process for `span` microseconds.

        Its connections are reset and new ones are refused.
        """
        self.world.add_trace_line(self.name, "ended")
        self.stopped = True
        for caller in self.callers:
            caller.reset()
        self.world.after(span, self.recover)

    def recover(self):
        """Makes the machine reachable again; connections from before are broken."""
        self.world.add_trace_line(self.name, "back")
        self.dropping_traffic = self.stopped = False
        for caller in self.callers:
            if caller.http.sock is not None:
                caller.http.sock.reset_by_peer = True

    def partition(self, names, span):
        """Drops all traffic from and to the named nodes for `span` microseconds."""
        self.world.add_trace_line(self.name, "cut off", len(names))
        self.partitioned |= names
        for caller in self.callers:
            if caller.process.node.name in names:
                caller.in_flight = False
        self.world.after(span, self.partitioned.difference_update, names)


class HollowProcess(Process):
    """A node's process whose control work is metered."""

    def __init__(self, node, values, shared=False):
        """Starts the process and its additional control clients."""
        self.meter = Meter()
        super().__init__(node, values, shared)
        self.control = [factory(self) for factory in node.fleet.control]
        for client in self.control:
            client.begin()

    def step_reducer(self, event, at):
        """Runs one step of the reducer and meters it."""
        started_at = time.thread_time_ns()
        effects = super().step_reducer(event, at)
        self.record_step(event, time.thread_time_ns() - started_at)
        if isinstance(event, ev.ListReceived):
            self.node.fleet.record_applied(self.node, event.update.version)
        return effects

    def record_step(self, event, elapsed):
        """Meters a step of the reducer that took `elapsed` nanoseconds."""
        meter = self.meter
        match event:
            case ev.ListReceived():
                meter.list_ns += elapsed
                meter.entries += len(event.update.entries)
            case ev.ListFailed():
                meter.list_ns += elapsed
            case ev.Tick():
                meter.ticks += 1
                meter.tick_ns += elapsed
            case _:
                meter.line_steps += 1
                meter.line_ns += elapsed

    def exit(self, how):
        """Ends the process; its counts are kept by the fleet."""
        self.node.fleet.ended_processes.add(self.meter)
        super().exit(how)


class HollowFleet(Fleet):
    """A fleet of hollow nodes.

    `control`: factories of additional control clients. `machines`: list machines that share the nodes.
    """

    process_type = HollowProcess
    # One watch interval: the watches then end evenly spread, as in a fleet that was rolled out node by node.
    start_window = 2 * SECOND

    def __init__(self, plan, control=(), machines=LIST_MACHINES, **options):
        """`plan`: the lab's plan; `options` as of `Fleet`."""
        self.control, self.machine_count, self.list_machines = tuple(control), machines, []
        self.ended_processes = Meter()  # work of processes that have ended
        self.applied_at = {}  # version: {node name: time at which its balancer had it}
        super().__init__(plan, **options)

    def agent_for(self, node):
        """The list machine that the node reads."""
        if not self.list_machines:
            lag = round(self.plan.experiment.listing.lag_ms * 1000)
            self.list_machines = [ListMachine(self, n, self.entries, lag) for n in range(self.machine_count)]
        return self.list_machines[node.number % self.machine_count]

    def processes(self):
        """All processes that run now."""
        return [process for node in self.nodes for process in node.processes]

    def total_work(self):
        """The work of all instances so far, including that of ended processes."""
        total = Meter()
        total.add(self.ended_processes)
        for process in self.processes():
            total.add(process.meter)
        return total

    # Changes of the list

    def change_lifecycle(self, name, lifecycle):
        """Applies one change to all list machines at once; returns the new list version."""
        for machine in self.list_machines:
            machine.apply_change(name, lifecycle, None, self.entry(self.hosts[name].machine))
        return self.track_version()

    def change_weight(self):
        """Raises the last server's weight by 0.1% on every list machine; returns the version."""
        for machine in self.list_machines:
            name, entry = next(reversed(machine.host_list.entries.items()))
            machine.host_list.change(name, "Ready", None, entry | {"weight": entry["weight"] * 1.001})
            machine.answer_waiting_calls()
        return self.track_version()

    def track_version(self):
        """Starts to record when each node applies the current version, and returns that version."""
        version = self.list_machines[0].host_list.version
        self.applied_at[version] = {}
        return version

    def record_applied(self, node, version):
        """Records that the node's balancer has the list up to this version."""
        for known, applied in self.applied_at.items():
            if known <= version:
                applied.setdefault(node.name, self.world.now)

    def nodes_with_servers(self):
        """Number of nodes that know a server that is ready."""
        return sum(process.reducer.has_hosts for process in self.processes())
