"""A simulated node: a process round the real reducer, with stand-ins for its
workers, its door and its calls of the list.

What decides is the program's own: reducer, module, door, the reading of configurations,
lists and reports, and what a process hands over. What is simulated is what a machine does:
clocks, threads' turns, sockets, and death.
"""

import contextlib
import json
import traceback
from collections import Counter, deque

from cottonspread import config
from cottonspread.front import handover
from cottonspread.front.lateness import AdmissionLimiter
from cottonspread.interface import Ending, ListUpdateKind
from cottonspread.lab.sim.contract import Contract
from cottonspread.lab.sim.network import Endpoint
from cottonspread.lab.sim.world import EPOCH, SECOND
from cottonspread.net import discovery, lines
from cottonspread.net import events as ev
from cottonspread.net.node import SPARE_ENDS, changeable, door_target, may_watch, most_ends
from cottonspread.net.pool import BUFFER_SIZE
from cottonspread.net.reducer import Reducer
from cottonspread.net.workers import HALF_LINE_WAIT

STEP_TIME = 30  # microseconds that a step of the reducer takes, and half of that by chance
MAX_THREAD_DELAY = 60  # at most, from one thread to another
HANDOVER_TIMEOUT = 1.0  # seconds that a successor waits for what is handed over
STOPPED, KILLED = "stopped", "killed"


class NodeError(AssertionError):
    """The node's own code has raised."""


class Worker:
    """In the place of one end's thread and of the writer: one socket,
    lines gathered as `lines.LineReader` does.
    """

    def __init__(self, process, end, side=None):
        self.process, self.end, self.side, self.number = process, end, side, process.next_number()
        self.reading, self.is_shut_down, self.reset_when_freed, self.discarding = False, False, False, False
        self.connect_done = side is not None  # whether it came up is known
        self.transferred = self.shares_side = False  # its socket is another process's; or is that one's still
        self.buffer, self.line_started_at, self.unsent = (
            bytearray(),
            0,
            b"",
        )  # `rest` of a write that waits for room
        end.worker = self
        if side is not None:
            side.owner = self

    # Reading

    def read(self):
        self.reading = True
        self.poll()

    def discard_input(self):
        """What comes is dropped, up to the other side's end."""
        self.discarding = True
        self.read()

    def on_readable(self, side):
        self.process.world.after(self.process.random.randbelow(MAX_THREAD_DELAY), self.poll)

    def poll(self):
        """What a read that waits gives now, if anything."""
        side, process = self.side, self.process
        if not self.reading or self.transferred or process.dead or process.world.now < process.frozen_until:
            return
        while self.discarding and side.received:
            side.recv()
        if not self.discarding and self.read_lines():
            return
        if side.was_reset:
            self.report_end("reset")
        elif side.eof or self.is_shut_down:
            self.report_end("half-line" if self.buffer and not self.discarding else "end")
        elif self.buffer and not self.discarding:
            process.world.at(
                self.line_started_at + HALF_LINE_WAIT * SECOND,
                self.on_half_line_timeout,
                self.line_started_at,
            )

    def read_lines(self):
        """Takes what is there; whether the reducer was told of a whole line, or of one too long."""
        side, process = self.side, self.process
        while data := side.recv(BUFFER_SIZE - len(self.buffer)) if side.received else b"":
            if not self.buffer:
                self.line_started_at = process.world.now
            self.buffer += data
            end = self.buffer.rfind(b"\n") + 1
            if end:
                whole = bytes(self.buffer[:end])
                del self.buffer[:end]
                self.line_started_at = process.world.now
                self.report(ev.LinesRead(self.end, whole, bool(self.buffer), process.clock(side.received_at)))
                return True
            if len(self.buffer) == BUFFER_SIZE:
                self.report_end("long-line")
                return True
        return False

    def on_half_line_timeout(self, since):
        if (
            self.reading
            and self.buffer
            and self.line_started_at == since
            and not self.process.dead
            and not self.transferred
        ):
            self.report_end("half-line")

    def report_end(self, how):
        self.report(ev.ReadEnded(self.end, how))

    def report(self, event):
        self.reading = False
        self.process.post(event)

    # Writing: carried out in the order in which the reducer gave it

    def write(self, data):
        world, process = self.process.world, self.process
        late = process.late_writes and process.random.random() < process.late_writes[0]
        if late:  # the kernel takes half of it now, and the rest in its own time
            self.send(data[: len(data) // 2])
            self.unsent = data[len(data) // 2 :]
            world.after(process.random.randbelow(process.late_writes[1]), self.on_writable, self.side)
            return
        self.unsent = data
        self.on_writable(self.side)

    def send(self, data):
        try:
            self.side.send(data)
            return True
        except BrokenPipeError:
            return False

    def on_writable(self, side):
        """What is left of a write, as far as the other side lets it go."""
        if not self.unsent or self.process.dead or self.transferred:
            return
        data, self.unsent = self.unsent, b""
        available = side.send_room()
        ok = self.send(data[:available])
        if ok and available < len(data):
            self.unsent, side.write_blocked = data[available:], True
            return
        self.process.post(ev.WriteDone(self.end, ok, self.process.clock() if ok else 0))

    def shutdown_write(self):
        self.side.shutdown_write()

    def shut_down(self, reset):
        self.is_shut_down, self.reset_when_freed = True, self.reset_when_freed or reset
        if self.side is None:  # it was coming up: that ends
            self.on_connected(None, "ENOTCONN")
            return
        if not reset:
            self.side.shutdown_write()
        if self.unsent:  # the send that waits comes back with an error
            self.unsent = b""
            self.process.post(ev.WriteDone(self.end, False))
        self.poll()

    def free(self):
        self.process.workers.pop(self, None)
        if self.side is not None and not self.transferred and not self.shares_side:
            if self.reset_when_freed:
                self.side.reset()
            else:
                self.side.close()

    # On its way to a successor

    def is_idle(self):
        return self.reading and not self.buffer and not self.unsent and not self.is_shut_down

    def on_connected(self, side, why):
        if self.process.dead or self.connect_done:
            if side is not None:
                side.reset()
            return
        self.connect_done = True
        if side is not None:
            self.side, side.owner = side, self
        self.process.post(ev.ConnectDone(self.end, side is not None, why))


class Probe:
    """One call of a host for its load, on a connection of its own."""

    def __init__(self, process, request):
        self.process, self.request, self.started_at, self.done, self.data, self.side = (
            process,
            request,
            process.world.now,
            False,
            b"",
            None,
        )
        process.probes[self] = None
        process.world.after(request.timeout, self.finish, Ending.TIMEOUT)
        process.world.network.connect(
            self,
            process.node.endpoint,
            process.endpoint_of(request.address),
            request.timeout,
            self.on_connected,
        )

    def on_connected(self, side, why):
        self.side = side
        if side is None:
            self.finish(Ending.TIMEOUT if why == "TimeoutError" else Ending.CONNECT_FAILED)
        elif self.done or self.process.dead:
            side.reset()
        else:
            side.send(lines.STATS)

    def on_readable(self, side):
        if side.received:
            self.data += side.recv()
        if self.data.endswith(b"\n"):
            ending, report = lines.parse_probe_answer(self.data)
            self.finish(ending, report)
        elif side.eof or side.was_reset:
            self.finish(Ending.CONNECT_FAILED)

    def on_writable(self, side):
        pass

    def finish(self, ending, report=None):
        if self.done or self.process.dead:
            return
        self.done = True
        self.process.probes.pop(self, None)
        if self.side is not None:
            self.side.close()
        self.process.post(
            ev.ProbeDone(self.request.host, ending, report or {}, self.process.world.now - self.started_at)
        )


class Process:
    def __init__(self, node, values, shared=False):
        """`shared`: its listener is one that an earlier process uses too;
        nothing is taken from it before `take`.
        """
        world = node.fleet.world
        self.world, self.node, self.values, self.shares_listener = world, node, values, shared
        self.random = world.random_stream(node.name, "process", node.start_count)
        self.skew, self.drift = node.skew, node.drift
        self.parts = config.read_node(json.dumps(values), {})
        endpoints, resource_limits, names, host_protocol, node_config, initial_list = self.parts
        self.max_sockets = self.own_max_sockets = most_ends(resource_limits, endpoints.operator)
        self.queue, self.urgent, self.run_scheduled, self.timer_at = deque(), deque(), False, 1 << 62
        self.next_step_at, self.writer_free_at, self.frozen_until, self.late_writes = (
            world.now,
            world.now,
            0,
            None,
        )
        self.dead, self.worker_count, self.steps, self.end_reasons, self.started_at, self.exiting = (
            "",
            0,
            0,
            Counter(),
            world.now,
            False,
        )
        self.workers, self.probes, self.max_queue = {}, {}, 0
        self.contract, self.addresses, self.successor, self.accepting = (
            Contract(),
            node.fleet.addresses,
            None,
            not shared,
        )
        version, list_update, addresses, unread = discovery.read_list(
            initial_list, names, ListUpdateKind.SAVED
        )
        self.admission_limiter = AdmissionLimiter(door_target(node_config))
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            node_config.server_list.polled,
            node.save_list,
            may_watch(node_config, list_update, shared),
        )
        self.reducer = Reducer(
            self.clock(), node_config, names, host_protocol, self.max_sockets, *node.fleet.policy
        )
        self.caller = node.agent.attach(self)
        self.discovery.start_with(
            list_update,
            addresses,
            unread,
            trusted=node_config.server_list.polled or node.save_list is not None,
        )
        self.schedule_timer()

    def next_number(self):
        self.worker_count += 1
        return self.worker_count

    def clock(self, at=None):
        """This machine's, in microseconds of Unix time."""
        at = self.world.now if at is None else at
        return EPOCH + self.skew + at + at * self.drift // 1_000_000

    def simulated_time(self, clock):
        """When its clock will show that."""
        since = clock - EPOCH - self.skew
        return since - since * self.drift // 1_000_000

    def endpoint_of(self, address):
        return self.addresses.get(address) or UNREACHABLE

    # Events

    def post(self, event):
        if self.dead:
            return
        self.contract.on_event(event)
        self.node.fleet.invariants.on_worker_event(self, event)
        self.queue.append((self.clock(), event))
        self.max_queue = max(self.max_queue, len(self.queue))
        self.schedule_run()

    def post_urgent(self, event):
        if not self.dead:
            self.urgent.append((self.clock(), event))
            self.schedule_run()

    def schedule_run(self):
        """The reducer's thread gets to its queue."""
        if not self.run_scheduled:
            self.run_scheduled = True
            self.world.at(
                max(self.world.now + self.random.randbelow(MAX_THREAD_DELAY), self.next_step_at), self.run
            )

    def schedule_timer(self):
        """For its timers."""
        due = max(self.world.now, self.simulated_time(self.reducer.due()) + 1)
        if due < self.timer_at:
            self.timer_at = due
            self.world.at(due, self.on_timer, due)

    def on_timer(self, due):
        if due == self.timer_at:
            self.timer_at = 1 << 62
            if not self.dead and not self.run_scheduled:
                self.run_scheduled = True
                self.run()

    def run(self):
        if self.dead or self.exiting:
            return
        if self.world.now < self.frozen_until:
            self.world.at(self.frozen_until, self.run)
            return
        self.run_scheduled = False
        queue = self.urgent or self.queue
        at, event = queue.popleft() if queue else (0, ev.Tick())
        now = self.clock()
        at = getattr(event, "at", 0) or at or now
        if isinstance(event, ev.LinesRead) and event.end.is_client and event.end.conn.request is None:
            self.admission_limiter.record_wait(now, now - at)
        self.step(event, at)
        self.next_step_at = self.world.now + STEP_TIME + self.random.randbelow(STEP_TIME // 2)
        if self.queue or self.urgent:
            self.schedule_run()
        self.schedule_timer()

    def step(self, event, at=0):
        fleet = self.node.fleet
        self.steps += 1
        try:
            effects = self.step_reducer(event, at)
        except Exception as fault:
            raise NodeError(
                f"{self.node.name}: {type(event).__name__}: {fault!r}\n{traceback.format_exc(limit=-6)}"
            ) from fault
        self.world.add_trace_line(self.node.name, self.label(event), *map(self.label, effects))
        for effect in effects:
            self.contract.on_effect(effect)
            self.execute(effect)
        fleet.after_step(self, event, effects)

    def step_reducer(self, event, at):
        """The reducer's step alone."""
        return self.reducer.step(self.clock(), event, at)

    @staticmethod
    def label(item):
        end = getattr(item, "end", None)
        if end is None:
            return getattr(item, "event", None) or type(item).__name__
        return type(item).__name__ + str(end.worker.number if end.worker is not None else 0)

    # Effects

    def execute(self, effect):
        world = self.world
        match effect:
            case ev.Read(end=end):
                world.after(self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, end.worker.read)
            case ev.DiscardInput(end=end):
                world.after(
                    self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, end.worker.discard_input
                )
            case ev.Connect():
                worker = Worker(self, effect.end)
                self.workers[worker] = None
                world.after(
                    self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, self.connect, worker, effect
                )
            case ev.Probe():
                world.after(self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, Probe, self, effect)
            case ev.FollowList():
                self.caller.follow_list()
            case ev.Transfer():
                world.after(self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, self.transfer, effect)
            case ev.Exit():  # the last answers go out before the process may end
                self.exiting = True
                self.writer_free_at = max(self.writer_free_at, world.now) + MAX_THREAD_DELAY
                world.at(self.writer_free_at, self.run_if_alive, self.exit, STOPPED)
            case ev.Log():
                self.on_log(effect)
            case _:
                self.writer_free_at = max(self.writer_free_at, world.now) + self.random.randbelow(
                    MAX_THREAD_DELAY // 2
                )
                world.at(self.writer_free_at, self.run_if_alive, self.execute_write, effect)

    def run_if_alive(self, callback, *args):
        """Nothing is done by a process that is dead, and what a stopped one was
        about to do is done once it goes on.
        """
        if self.dead:
            return
        if self.world.now < self.frozen_until:
            self.world.at(self.frozen_until, self.run_if_alive, callback, *args)
        else:
            callback(*args)

    def connect(self, worker, effect):
        self.world.network.connect(
            worker, self.node.endpoint, self.endpoint_of(effect.address), effect.timeout, worker.on_connected
        )

    def execute_write(self, effect):
        worker = effect.end.worker
        invariants = self.node.fleet.invariants
        match effect:
            case ev.Write(end=end, data=data):
                if effect.first_line and (why := self.must_not_begin(effect)):
                    self.post(ev.WriteDone(end, False, skip_reason=why))
                    return
                invariants.on_node_write(self, end, data)
                worker.write(data)
            case ev.ShutdownWrite(end=end):
                invariants.on_node_close(self, end, "end")
                worker.shutdown_write()
            case ev.Shutdown(end=end, reset=reset):
                invariants.on_node_close(self, end, "cut")
                worker.shut_down(reset)
            case ev.Free(end=end):
                invariants.on_node_close(self, end, "free")
                end.worker = None
                worker.free()

    def must_not_begin(self, effect):
        """As the writer looks: see `Workers.must_not_begin`."""
        client = effect.end.conn.client.worker
        if client is None or client.side.eof or client.side.was_reset:
            return "client-gone"
        return "too-late" if effect.send_by and self.clock() >= effect.send_by else ""

    def on_log(self, effect):
        if effect.event == "closed":
            self.end_reasons[effect.pairs["reason"]] += 1
        self.node.fleet.on_log_line(self, effect)

    # The door

    def on_connect(self, side):
        """A connection that the machine has taken; the process gets to it in its own time."""
        self.world.after(self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, self.accept, side)

    def accept(self, side):
        if not self.admission_limiter.admits(self.clock()):
            self.refuse(side, "node-late", self.reducer.retry_after())
        elif len(self.workers) >= self.max_sockets + SPARE_ENDS // 2:
            self.refuse(side, "no-room-at-all", 0)
        else:
            end = ev.ConnectionEnd(True)
            worker = Worker(self, end, side)
            self.workers[worker] = None
            self.node.fleet.invariants.on_accepted(self, side)
            self.post(ev.ClientAccepted(end))

    def refuse(self, side, reason, retry_after):
        line = lines.busy_line(retry_after)
        with contextlib.suppress(BrokenPipeError):
            side.send(line)
        self.node.fleet.invariants.on_rejected(self, side, line)
        self.reducer.counters.count_refused_on_accept(lines.traffic_type_name(side.recv()))
        side.close()
        self.end_reasons[reason] += 1

    # Signals and operators

    def stop(self):
        """SIGTERM. Where the platform holds the listener nothing more is taken from
        it; else what comes is still answered.
        """
        self.accepting = not self.shares_listener
        self.node.update_listener()
        successor = self.successor if self.successor is not None and not self.successor.dead else None
        self.post(ev.StopRequested(self.shares_listener, successor is not None))

    def kill(self):
        """All its connections break, and new ones are refused."""
        self.exit(KILLED)

    def exit(self, how):
        self.dead = how
        for worker in list(self.workers):
            if worker.side is not None and not worker.transferred:
                if how == KILLED:
                    worker.side.reset()
                else:
                    worker.side.close()
        self.workers.clear()
        for probe in self.probes:
            if probe.side is not None:
                probe.side.close()
        self.node.on_process_exit(self)

    def drain(self, on):
        """As operators call."""
        self.post_urgent(ev.DrainRequested(on))

    def freeze(self, span):
        """SIGSTOP, or a machine that gives it no core."""
        self.frozen_until = max(self.frozen_until, self.world.now + span)
        for worker in list(self.workers):
            self.world.at(self.frozen_until, worker.poll)

    def reload(self, values):
        """SIGHUP with this file. What cannot change while it runs stays, as in `Node.retune`."""
        try:
            parts = config.read_node(json.dumps(values), {})
            config.check_no_key_missing(self.values, values)
        except config.ConfigurationError:
            self.post_urgent(ev.ReloadRejected())
            return
        self.values, self.discovery.names = values, parts[2]
        node_config = changeable(parts[4], self.reducer.config)
        self.post_urgent(ev.SettingsReloaded(node_config, parts[2], parts[3]))
        self.admission_limiter.target = door_target(node_config)

    # Replacement

    def take_over(self, old):
        """What the process before it hands over, through the text that goes over the disk; then it takes
        connections. It waits no longer than a successor does.
        """
        token = f"{self.node.name} {self.node.start_count}"

        def on_snapshot(state):
            text = handover.pack(state, token)
            old.max_sockets, old.successor = old.reducer.max_sockets, self
            self.world.after(
                self.random.randbelow(20_000),
                self.run_if_alive,
                start_accepting,
                handover.unpack(text, token),
            )

        def start_accepting(state):
            if self.accepting:  # it is too late for it
                return
            if state:
                self.limit_sockets(state.room)
                self.post(ev.StateInherited(state))
            self.accepting = True
            self.node.update_listener()

        old.post_urgent(ev.HandOverRequested(on_snapshot))
        self.world.after(round(HANDOVER_TIMEOUT * SECOND), self.run_if_alive, start_accepting, None)

    def limit_sockets(self, max_sockets):
        """While two processes share the limits of one; None: alone again."""
        self.max_sockets = self.reducer.max_sockets = min(
            max_sockets or self.own_max_sockets, self.own_max_sockets
        )

    def transfer(self, order):
        """One standing connection to the heir, if its readers are idle; the heir answers."""
        workers, successor = (order.client.worker, order.host.worker), self.successor
        if successor is None or successor.dead or not all(worker.is_idle() for worker in workers):
            self.post(ev.TransferDone(order.conn, False, successor is not None and not successor.dead))
            return
        for worker in workers:
            worker.transferred = True
        connection = handover.unpack_connection(handover.pack_connection(order.connection))
        ends, new = (ev.ConnectionEnd(True), ev.ConnectionEnd(False)), []
        for end, worker in zip(ends, workers, strict=True):
            new.append(Worker(successor, end, worker.side))
            new[-1].shares_side = True  # the old process has it too until it is told
            successor.workers[new[-1]] = None
        successor.post(
            ev.TransferOffered(
                *ends,
                connection,
                lambda taken: successor.world.after(
                    successor.random.randbelow(MAX_THREAD_DELAY),
                    self.on_transferred,
                    order,
                    taken,
                    new,
                    successor,
                ),
            )
        )

    def on_transferred(self, order, taken, new, successor):
        workers = order.client.worker, order.host.worker
        for worker, new_worker in zip(workers, new, strict=True):
            new_worker.shares_side = False
            if not taken:
                worker.transferred, worker.side.owner, new_worker.transferred = False, worker, True
            elif new_worker.end.freed:
                new_worker.side.close()
        if taken:
            successor.limit_sockets(successor.max_sockets + 2)
            self.node.fleet.invariants.on_connection_passed(self, order, new)
        self.post(ev.TransferDone(order.conn, taken))
        if not taken and not self.dead:
            for worker in workers:
                worker.poll()


UNREACHABLE = Endpoint("nowhere")
UNREACHABLE.on_connect = Endpoint.SILENT
