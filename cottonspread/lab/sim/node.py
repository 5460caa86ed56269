"""A simulated node: a process around the real reducer, with simulated workers, listener and list requests.

The node's own code takes all decisions: the reducer, the balancer, the admission limiter, the parsers of
configurations, lists and reports, and the handover. Clocks, thread scheduling, sockets and the end of
processes are simulated.
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
from cottonspread.net.node import SPARE_DESCRIPTORS, admission_target, reloadable, socket_limit, watch_at_once
from cottonspread.net.pool import BUFFER_SIZE
from cottonspread.net.reducer import Reducer
from cottonspread.net.workers import PARTIAL_LINE_TIMEOUT

STEP_TIME = 30  # microseconds that a step of the reducer takes, plus up to half of that at random
MAX_THREAD_DELAY = 60  # microseconds until another thread reacts, drawn at random
HANDOVER_TIMEOUT = 1.0  # seconds that a successor waits for the state that it takes over
STOPPED, KILLED = "stopped", "killed"


class NodeError(AssertionError):
    """The node's own code raised an exception."""


class Worker:
    """Simulates a socket's reader thread and its part of the writer.

    It reads lines as `lines.LineReader` does.
    """

    def __init__(self, process, end, side=None):
        """`side`: an open connection; without it the worker waits for one to come up."""
        self.process, self.end, self.side, self.number = process, end, side, process.next_number()
        self.reading, self.is_shut_down, self.reset_when_freed, self.discarding = False, False, False, False
        self.connect_done = side is not None  # the connect has succeeded or failed
        # `transferred`: another process has taken the socket over; `shares_side`: another one still holds it
        self.transferred = self.shares_side = False
        # `unsent`: the rest of a write that waits for the peer to read
        self.buffer, self.line_started_at, self.unsent = bytearray(), 0, b""
        end.worker = self
        if side is not None:
            side.owner = self

    # Reading

    def read(self):
        """Starts a read."""
        self.reading = True
        self.poll()

    def discard_input(self):
        """Starts to discard what arrives, until the peer's end."""
        self.discarding = True
        self.read()

    def on_readable(self, side):
        """Wakes the reader thread, after a thread's random delay."""
        self.process.world.after(self.process.random.randbelow(MAX_THREAD_DELAY), self.poll)

    def poll(self):
        """Completes a pending read if there is something to report."""
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
                self.line_started_at + PARTIAL_LINE_TIMEOUT * SECOND,
                self.on_half_line_timeout,
                self.line_started_at,
            )

    def read_lines(self):
        """Reads what has arrived; returns whether whole lines, or a line too long, were reported."""
        side, process = self.side, self.process
        while data := side.recv(BUFFER_SIZE - len(self.buffer)) if side.received else b"":
            if not self.buffer:
                self.line_started_at = process.world.now
            self.buffer += data
            end = self.buffer.rfind(b"\n") + 1
            if end:
                complete = bytes(self.buffer[:end])
                del self.buffer[:end]
                self.line_started_at = process.world.now
                self.report(
                    ev.LinesRead(self.end, complete, bool(self.buffer), process.clock(side.received_at))
                )
                return True
            if len(self.buffer) == BUFFER_SIZE:
                self.report_end("long-line")
                return True
        return False

    def on_half_line_timeout(self, since):
        """Ends the connection if the rest of a line that began at `since` has not arrived in time."""
        if (
            self.reading
            and self.buffer
            and self.line_started_at == since
            and not self.process.dead
            and not self.transferred
        ):
            self.report_end("half-line")

    def report_end(self, how):
        """Reports the end of the incoming data to the reducer."""
        self.report(ev.ReadEnded(self.end, how))

    def report(self, event):
        """Completes the pending read with an event."""
        self.reading = False
        self.process.post(event)

    # Writing, in the order of the reducer's effects

    def write(self, data):
        """Writes data; with late writes, half of it at once and the rest later."""
        world, process = self.process.world, self.process
        late = process.late_writes and process.random.random() < process.late_writes[0]
        if late:  # the kernel takes half of the data now and the rest later
            self.send(data[: len(data) // 2])
            self.unsent = data[len(data) // 2 :]
            world.after(process.random.randbelow(process.late_writes[1]), self.on_writable, self.side)
            return
        self.unsent = data
        self.on_writable(self.side)

    def send(self, data):
        """Sends data and returns whether the connection was intact."""
        try:
            self.side.send(data)
            return True
        except BrokenPipeError:
            return False

    def on_writable(self, side):
        """Continues a write as far as the peer's window allows, and reports it when it is done."""
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
        """Closes the sending direction."""
        self.side.shutdown_write()

    def shut_down(self, reset):
        """Closes both directions; pending reads, writes and connects end."""
        self.is_shut_down, self.reset_when_freed = True, self.reset_when_freed or reset
        if self.side is None:  # the pending connect fails
            self.on_connected(None, "ENOTCONN")
            return
        if not reset:
            self.side.shutdown_write()
        if self.unsent:  # the blocked send returns an error
            self.unsent = b""
            self.process.post(ev.WriteDone(self.end, False))
        self.poll()

    def free(self):
        """Closes the socket, unless it belongs to another process."""
        self.process.workers.pop(self, None)
        if self.side is not None and not self.transferred and not self.shares_side:
            if self.reset_when_freed:
                self.side.reset()
            else:
                self.side.close()

    # Transfer to a successor

    def is_idle(self):
        """Returns whether the connection can be transferred: it waits for data and has nothing buffered."""
        return self.reading and not self.buffer and not self.unsent and not self.is_shut_down

    def on_connected(self, side, why):
        """Reports that the connection came up, or why not."""
        if self.process.dead or self.connect_done:
            if side is not None:
                side.reset()
            return
        self.connect_done = True
        if side is not None:
            self.side, side.owner = side, self
        self.process.post(ev.ConnectDone(self.end, side is not None, why))


class Probe:
    """A request to a host for its load, on a connection of its own."""

    def __init__(self, process, request):
        """Starts to connect; `request`: the reducer's effect."""
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
        """Sends the request."""
        self.side = side
        if side is None:
            self.finish(Ending.TIMEOUT if why == "TimeoutError" else Ending.CONNECT_FAILED)
        elif self.done or self.process.dead:
            side.reset()
        else:
            side.send(lines.STATS)

    def on_readable(self, side):
        """Reads the answer."""
        if side.received:
            self.data += side.recv()
        if self.data.endswith(b"\n"):
            ending, report = lines.parse_probe_answer(self.data)
            self.finish(ending, report)
        elif side.eof or side.was_reset:
            self.finish(Ending.CONNECT_FAILED)

    def on_writable(self, side):
        """Does nothing: the request always fits."""
        pass

    def finish(self, ending, report=None):
        """Reports the result to the reducer, once."""
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
    """A node's process, in place of `net.node.Node`."""

    def __init__(self, node, values, shared=False):
        """`values`: the configuration. `shared`: an earlier process uses the same listener.

        With a shared listener it accepts connections only once it has taken over.
        """
        world = node.fleet.world
        self.world, self.node, self.values, self.shares_listener = world, node, values, shared
        self.random = world.random_stream(node.name, "process", node.start_count)
        self.skew, self.drift = node.skew, node.drift
        self.parts = config.read_node(json.dumps(values), {})
        endpoints, resource_limits, names, host_protocol, node_config, initial_list = self.parts
        self.max_sockets = self.own_max_sockets = socket_limit(resource_limits, endpoints.operator)
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
        self.admission_limiter = AdmissionLimiter(admission_target(node_config))
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            node_config.server_list.polled,
            node.save_list,
            watch_at_once(node_config, list_update, shared),
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
        """Returns a new worker's number."""
        self.worker_count += 1
        return self.worker_count

    def clock(self, at=None):
        """Returns this machine's clock at simulated time `at`, or now, as Unix time in microseconds."""
        at = self.world.now if at is None else at
        return EPOCH + self.skew + at + at * self.drift // 1_000_000

    def simulated_time(self, clock):
        """Returns the simulated time at which this machine's clock shows `clock`."""
        since = clock - EPOCH - self.skew
        return since - since * self.drift // 1_000_000

    def endpoint_of(self, address):
        """Returns the endpoint of an (IP, port) address; an unknown one does not reply."""
        return self.addresses.get(address) or UNREACHABLE

    # Events

    def post(self, event):
        """Queues an event of the workers for the reducer."""
        if self.dead:
            return
        self.contract.on_event(event)
        self.node.fleet.invariants.on_worker_event(self, event)
        self.queue.append((self.clock(), event))
        self.max_queue = max(self.max_queue, len(self.queue))
        self.schedule_run()

    def post_urgent(self, event):
        """Queues an event that goes before all others."""
        if not self.dead:
            self.urgent.append((self.clock(), event))
            self.schedule_run()

    def schedule_run(self):
        """Schedules the reducer thread's next step."""
        if not self.run_scheduled:
            self.run_scheduled = True
            self.world.at(
                max(self.world.now + self.random.randbelow(MAX_THREAD_DELAY), self.next_step_at), self.run
            )

    def schedule_timer(self):
        """Schedules a step for the reducer's next timer."""
        due = max(self.world.now, self.simulated_time(self.reducer.due()) + 1)
        if due < self.timer_at:
            self.timer_at = due
            self.world.at(due, self.on_timer, due)

    def on_timer(self, due):
        """Runs the reducer for its timers, if this is still the next one."""
        if due == self.timer_at:
            self.timer_at = 1 << 62  # none scheduled
            if not self.dead and not self.run_scheduled:
                self.run_scheduled = True
                self.run()

    def run(self):
        """Takes one event from the queues, or a tick, and runs a step of the reducer."""
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
        """Runs a step of the reducer, checks it against the contract, and executes its effects."""
        fleet = self.node.fleet
        self.steps += 1
        try:
            effects = self.step_reducer(event, at)
        except Exception as error:
            raise NodeError(
                f"{self.node.name}: {type(event).__name__}: {error!r}\n{traceback.format_exc(limit=-6)}"
            ) from error
        self.world.add_trace_line(self.node.name, self.label(event), *map(self.label, effects))
        for effect in effects:
            self.contract.on_effect(effect)
            self.execute(effect)
        fleet.after_step(self, event, effects)

    def step_reducer(self, event, at):
        """Runs the reducer's step alone."""
        return self.reducer.step(self.clock(), event, at)

    @staticmethod
    def label(item):
        """Returns the name of an event or effect in the trace."""
        end = getattr(item, "end", None)
        if end is None:
            return getattr(item, "event", None) or type(item).__name__
        return type(item).__name__ + str(end.worker.number if end.worker is not None else 0)

    # Effects

    def execute(self, effect):
        """Executes an effect as the node's threads would."""
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
            case ev.Exit():  # not before the last answers have been written
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
        """Calls `callback(*args)`, once the process is no longer frozen; does nothing if it is dead."""
        if self.dead:
            return
        if self.world.now < self.frozen_until:
            self.world.at(self.frozen_until, self.run_if_alive, callback, *args)
        else:
            callback(*args)

    def connect(self, worker, effect):
        """Connects a worker to a host."""
        self.world.network.connect(
            worker, self.node.endpoint, self.endpoint_of(effect.address), effect.timeout, worker.on_connected
        )

    def execute_write(self, effect):
        """Executes an effect of the writer thread."""
        worker = effect.end.worker
        invariants = self.node.fleet.invariants
        match effect:
            case ev.Write(end=end, data=data):
                if effect.first_line and (why := self.reason_not_to_start(effect)):
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

    def reason_not_to_start(self, effect):
        """Returns why a first line must not be sent any more; see `Workers.reason_not_to_start`."""
        client = effect.end.conn.client.worker
        if client is None or client.side.eof or client.side.was_reset:
            return "client-gone"
        return "too-late" if effect.send_by and self.clock() >= effect.send_by else ""

    def on_log(self, effect):
        """Handles a log line of the reducer."""
        if effect.event == "closed":
            self.end_reasons[effect.pairs["reason"]] += 1
        self.node.fleet.on_log_line(self, effect)

    # Accepting connections

    def on_connect(self, side):
        """Makes the process accept a connection, after a thread's random delay."""
        self.world.after(self.random.randbelow(MAX_THREAD_DELAY), self.run_if_alive, self.accept, side)

    def accept(self, side):
        """Accepts a connection, or refuses it if the node is late or has no descriptors left."""
        if not self.admission_limiter.admits(self.clock()):
            self.refuse(side, "node-late", self.reducer.retry_after())
        elif len(self.workers) >= self.max_sockets + SPARE_DESCRIPTORS // 2:
            self.refuse(side, "no-room-at-all", 0)
        else:
            end = ev.ConnectionEnd(True)
            worker = Worker(self, end, side)
            self.workers[worker] = None
            self.node.fleet.invariants.on_accepted(self, side)
            self.post(ev.ClientAccepted(end))

    def refuse(self, side, reason, retry_after):
        """Answers BUSY and closes the connection."""
        line = lines.busy_line(retry_after)
        with contextlib.suppress(BrokenPipeError):
            side.send(line)
        self.node.fleet.invariants.on_rejected(self, side, line)
        self.reducer.counters.count_refused_on_accept(lines.traffic_type_name(side.recv()))
        side.close()
        self.end_reasons[reason] += 1

    # Signals and operators

    def stop(self):
        """Handles SIGTERM.

        With a shared listener nothing more is accepted from it; otherwise connections are still answered.
        """
        self.accepting = not self.shares_listener
        self.node.update_listener()
        successor = self.successor if self.successor is not None and not self.successor.dead else None
        self.post(ev.StopRequested(self.shares_listener, successor is not None))

    def kill(self):
        """Kills the process: its connections break, and new ones are refused."""
        self.exit(KILLED)

    def exit(self, how):
        """Ends the process; `how`: STOPPED or KILLED."""
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
        """Handles an operator's command to drain (`on`) or to resume."""
        self.post_urgent(ev.DrainRequested(on))

    def freeze(self, span):
        """Stops the process for `span`, as by SIGSTOP or on a machine without a free core."""
        self.frozen_until = max(self.frozen_until, self.world.now + span)
        for worker in list(self.workers):
            self.world.at(self.frozen_until, worker.poll)

    def reload(self, values):
        """Handles SIGHUP with these values; what cannot change at run time stays, as in `Node.reload`."""
        try:
            parts = config.read_node(json.dumps(values), {})
            config.check_no_key_missing(self.values, values)
        except config.ConfigurationError:
            self.post_urgent(ev.ReloadRejected())
            return
        self.values, self.discovery.names = values, parts[2]
        node_config = reloadable(parts[4], self.reducer.config)
        self.post_urgent(ev.SettingsReloaded(node_config, parts[2], parts[3]))
        self.admission_limiter.target = admission_target(node_config)

    # Replacement

    def take_over(self, old):
        """Takes over the state of the previous process, as JSON as on disk, and then accepts connections.

        It waits for the state no longer than HANDOVER_TIMEOUT.
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
            if self.accepting:  # the state has come too late, or the wait is over
                return
            if state:
                self.limit_sockets(state.room)
                self.post(ev.StateInherited(state))
            self.accepting = True
            self.node.update_listener()

        old.post_urgent(ev.HandOverRequested(on_snapshot))
        self.world.after(round(HANDOVER_TIMEOUT * SECOND), self.run_if_alive, start_accepting, None)

    def limit_sockets(self, max_sockets):
        """Limits the sockets while two processes share the limits of one; None removes that limit."""
        self.max_sockets = self.reducer.max_sockets = min(
            max_sockets or self.own_max_sockets, self.own_max_sockets
        )

    def transfer(self, effect):
        """Transfers an established connection to the successor if both readers are idle.

        The successor replies through `on_transferred`.
        """
        workers, successor = (effect.client.worker, effect.host.worker), self.successor
        if successor is None or successor.dead or not all(worker.is_idle() for worker in workers):
            self.post(ev.TransferDone(effect.conn, False, successor is not None and not successor.dead))
            return
        for worker in workers:
            worker.transferred = True
        connection = handover.unpack_connection(handover.pack_connection(effect.connection))
        ends, new = (ev.ConnectionEnd(True), ev.ConnectionEnd(False)), []
        for end, worker in zip(ends, workers, strict=True):
            new.append(Worker(successor, end, worker.side))
            new[-1].shares_side = True  # until the old process has the successor's reply
            successor.workers[new[-1]] = None
        successor.post(
            ev.TransferOffered(
                *ends,
                connection,
                lambda accepted: successor.world.after(
                    successor.random.randbelow(MAX_THREAD_DELAY),
                    self.on_transferred,
                    effect,
                    accepted,
                    new,
                    successor,
                ),
            )
        )

    def on_transferred(self, effect, accepted, new, successor):
        """Handles the successor's reply to a transfer."""
        workers = effect.client.worker, effect.host.worker
        for worker, new_worker in zip(workers, new, strict=True):
            new_worker.shares_side = False
            if not accepted:
                worker.transferred, worker.side.owner, new_worker.transferred = False, worker, True
            elif new_worker.end.freed:
                new_worker.side.close()
        if accepted:
            successor.limit_sockets(successor.max_sockets + 2)
            self.node.fleet.invariants.on_connection_transferred(self, effect, new)
        self.post(ev.TransferDone(effect.conn, accepted))
        if not accepted and not self.dead:
            for worker in workers:
                worker.poll()


UNREACHABLE = Endpoint("nowhere")
UNREACHABLE.on_connect = Endpoint.SILENT
