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
from cottonspread.net.node import SPARE_DESCRIPTORS, admission_target, reloadable, socket_limit, watch_at_once
from cottonspread.net.pool import BUFFER_SIZE
from cottonspread.net.reducer import Reducer
from cottonspread.net.workers import PARTIAL_LINE_TIMEOUT

STEP = 30  # microseconds that a step of the reducer takes, and half of that by chance
HOP = 60  # at most, from one thread to another
ANSWER_WAIT = 1.0  # seconds that a successor waits for what is handed over
STOPPED, KILLED = "stopped", "killed"


class NodeError(AssertionError):
    """The node's own code has raised."""


class Worker:
    """In the place of one end's thread and of the writer: one socket,
    lines gathered as `lines.LineReader` does.
    """

    def __init__(self, process, end, side=None):
        self.process, self.end, self.side, self.number = process, end, side, process.next_number()
        self.reading, self.cut, self.broken, self.draining = False, False, False, False
        self.decided = side is not None  # whether it came up is known
        self.gone = self.borrowed = False  # its socket is another process's; or is that one's still
        self.buffer, self.since, self.rest = bytearray(), 0, b""  # `rest` of a write that waits for room
        end.worker = self
        if side is not None:
            side.owner = self

    # Reading

    def read(self):
        self.reading = True
        self.look()

    def drain(self):
        """What comes is dropped, up to the other side's end."""
        self.draining = True
        self.read()

    def on_readable(self, side):
        self.process.world.after(self.process.random.randbelow(HOP), self.look)

    def look(self):
        """What a read that waits gives now, if anything."""
        side, process = self.side, self.process
        if not self.reading or self.gone or process.dead or process.world.now < process.frozen:
            return
        while self.draining and side.received:
            side.recv()
        if not self.draining and self.gather():
            return
        if side.was_reset:
            self.over("reset")
        elif side.eof or self.cut:
            self.over("half-line" if self.buffer and not self.draining else "end")
        elif self.buffer and not self.draining:
            process.world.at(self.since + PARTIAL_LINE_TIMEOUT * SECOND, self.too_old, self.since)

    def gather(self):
        """Takes what is there; whether the reducer was told of a whole line, or of one too long."""
        side, process = self.side, self.process
        while took := side.recv(BUFFER_SIZE - len(self.buffer)) if side.received else b"":
            if not self.buffer:
                self.since = process.world.now
            self.buffer += took
            end = self.buffer.rfind(b"\n") + 1
            if end:
                whole = bytes(self.buffer[:end])
                del self.buffer[:end]
                self.since = process.world.now
                self.say(ev.LinesRead(self.end, whole, bool(self.buffer), process.clock(side.received_at)))
                return True
            if len(self.buffer) == BUFFER_SIZE:
                self.over("long-line")
                return True
        return False

    def too_old(self, since):
        if self.reading and self.buffer and self.since == since and not self.process.dead and not self.gone:
            self.over("half-line")

    def over(self, how):
        self.say(ev.ReadEnded(self.end, how))

    def say(self, event):
        self.reading = False
        self.process.post(event)

    # Writing: carried out in the order in which the reducer gave it

    def write(self, data):
        world, process = self.process.world, self.process
        late = process.late_writes and process.random.random() < process.late_writes[0]
        if late:  # the kernel takes half of it now, and the rest in its own time
            self.send(data[: len(data) // 2])
            self.rest = data[len(data) // 2 :]
            world.after(process.random.randbelow(process.late_writes[1]), self.on_writable, self.side)
            return
        self.rest = data
        self.on_writable(self.side)

    def send(self, data):
        try:
            self.side.send(data)
            return True
        except BrokenPipeError:
            return False

    def on_writable(self, side):
        """What is left of a write, as far as the other side lets it go."""
        if not self.rest or self.process.dead or self.gone:
            return
        data, self.rest = self.rest, b""
        room = side.send_room()
        ok = self.send(data[:room])
        if ok and room < len(data):
            self.rest, side.write_blocked = data[room:], True
            return
        self.process.post(ev.WriteDone(self.end, ok, self.process.clock() if ok else 0))

    def finish(self):
        self.side.shutdown_write()

    def cut_off(self, broken):
        self.cut, self.broken = True, self.broken or broken
        if self.side is None:  # it was coming up: that ends
            self.connected(None, "ENOTCONN")
            return
        if not broken:
            self.side.shutdown_write()
        if self.rest:  # the send that waits comes back with an error
            self.rest = b""
            self.process.post(ev.WriteDone(self.end, False))
        self.look()

    def free(self):
        self.process.live.pop(self, None)
        if self.side is not None and not self.gone and not self.borrowed:
            if self.broken:
                self.side.reset()
            else:
                self.side.close()

    # On its way to a successor

    def idle(self):
        return self.reading and not self.buffer and not self.rest and not self.cut

    def connected(self, side, why):
        if self.process.dead or self.decided:
            if side is not None:
                side.reset()
            return
        self.decided = True
        if side is not None:
            self.side, side.owner = side, self
        self.process.post(ev.ConnectDone(self.end, side is not None, why))


class Probe:
    """One call of a host for its load, on a connection of its own."""

    def __init__(self, process, order):
        self.process, self.order, self.began, self.done, self.data, self.side = (
            process,
            order,
            process.world.now,
            False,
            b"",
            None,
        )
        process.probes[self] = None
        process.world.after(order.timeout, self.end, Ending.TIMEOUT)
        process.world.network.connect(
            self, process.node.endpoint, process.endpoint_of(order.address), order.timeout, self.up
        )

    def up(self, side, why):
        self.side = side
        if side is None:
            self.end(Ending.TIMEOUT if why == "TimeoutError" else Ending.CONNECT_FAILED)
        elif self.done or self.process.dead:
            side.reset()
        else:
            side.send(lines.STATS)

    def on_readable(self, side):
        if side.received:
            self.data += side.recv()
        if self.data.endswith(b"\n"):
            ending, report = lines.parse_probe_answer(self.data)
            self.end(ending, report)
        elif side.eof or side.was_reset:
            self.end(Ending.CONNECT_FAILED)

    def on_writable(self, side):
        pass

    def end(self, ending, report=None):
        if self.done or self.process.dead:
            return
        self.done = True
        self.process.probes.pop(self, None)
        if self.side is not None:
            self.side.close()
        self.process.post(
            ev.ProbeDone(self.order.host, ending, report or {}, self.process.world.now - self.began)
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
        endpoints, resource_limits, names, host_protocol, begin, known = self.parts
        self.most = self.all = socket_limit(resource_limits, endpoints.operator)
        self.queue, self.urgent, self.awake, self.wake_at = deque(), deque(), False, 1 << 62
        self.free_at, self.writer_at, self.frozen, self.late_writes = world.now, world.now, 0, None
        self.dead, self.numbers, self.steps, self.ended, self.began, self.finished = (
            "",
            0,
            0,
            Counter(),
            world.now,
            False,
        )
        self.live, self.probes, self.most_queue = {}, {}, 0
        self.contract, self.addresses, self.heir, self.takes = (
            Contract(),
            node.fleet.addresses,
            None,
            not shared,
        )
        version, listed, addresses, unread = discovery.read_list(known, names, ListUpdateKind.SAVED)
        self.door = AdmissionLimiter(admission_target(begin))
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            begin.server_list.polled,
            node.save_list,
            watch_at_once(begin, listed, shared),
        )
        self.reducer = Reducer(self.clock(), begin, names, host_protocol, self.most, *node.fleet.policy)
        self.caller = node.agent.attach(self)
        self.discovery.start_with(
            listed, addresses, unread, trusted=begin.server_list.polled or node.save_list is not None
        )
        self.wake()

    def next_number(self):
        self.numbers += 1
        return self.numbers

    def clock(self, at=None):
        """This machine's, in microseconds of Unix time."""
        at = self.world.now if at is None else at
        return EPOCH + self.skew + at + at * self.drift // 1_000_000

    def true(self, clock):
        """When its clock will show that."""
        since = clock - EPOCH - self.skew
        return since - since * self.drift // 1_000_000

    def endpoint_of(self, address):
        return self.addresses.get(address) or NOWHERE

    # Events

    def post(self, event):
        if self.dead:
            return
        self.contract.told(event)
        self.node.fleet.invariants.on_worker_event(self, event)
        self.queue.append((self.clock(), event))
        self.most_queue = max(self.most_queue, len(self.queue))
        self.turn()

    def hasten(self, event):
        if not self.dead:
            self.urgent.append((self.clock(), event))
            self.turn()

    def turn(self):
        """The reducer's thread gets to its queue."""
        if not self.awake:
            self.awake = True
            self.world.at(max(self.world.now + self.random.randbelow(HOP), self.free_at), self.run)

    def wake(self):
        """For its timers."""
        due = max(self.world.now, self.true(self.reducer.due()) + 1)
        if due < self.wake_at:
            self.wake_at = due
            self.world.at(due, self.woken, due)

    def woken(self, due):
        if due == self.wake_at:
            self.wake_at = 1 << 62
            if not self.dead and not self.awake:
                self.awake = True
                self.run()

    def run(self):
        if self.dead or self.finished:
            return
        if self.world.now < self.frozen:
            self.world.at(self.frozen, self.run)
            return
        self.awake = False
        queue = self.urgent or self.queue
        at, event = queue.popleft() if queue else (0, ev.Tick())
        now = self.clock()
        at = getattr(event, "at", 0) or at or now
        if isinstance(event, ev.LinesRead) and event.end.is_client and event.end.conn.request is None:
            self.door.record_wait(now, now - at)
        self.step(event, at)
        self.free_at = self.world.now + STEP + self.random.randbelow(STEP // 2)
        if self.queue or self.urgent:
            self.turn()
        self.wake()

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
            self.contract.ordered(effect)
            self.carry_out(effect)
        fleet.after_step(self, event, effects)

    def step_reducer(self, event, at):
        """The reducer's step alone."""
        return self.reducer.step(self.clock(), event, at)

    @staticmethod
    def label(one):
        end = getattr(one, "end", None)
        if end is None:
            return getattr(one, "event", None) or type(one).__name__
        return type(one).__name__ + str(end.worker.number if end.worker is not None else 0)

    # Effects

    def carry_out(self, effect):
        world = self.world
        match effect:
            case ev.Read(end=end):
                world.after(self.random.randbelow(HOP), self.run_if_alive, end.worker.read)
            case ev.DiscardInput(end=end):
                world.after(self.random.randbelow(HOP), self.run_if_alive, end.worker.drain)
            case ev.Connect():
                worker = Worker(self, effect.end)
                self.live[worker] = None
                world.after(self.random.randbelow(HOP), self.run_if_alive, self.connect, worker, effect)
            case ev.Probe():
                world.after(self.random.randbelow(HOP), self.run_if_alive, Probe, self, effect)
            case ev.FollowList():
                self.caller.follow_list()
            case ev.Transfer():
                world.after(self.random.randbelow(HOP), self.run_if_alive, self.give, effect)
            case ev.Exit():  # the last answers go out before the process may end
                self.finished = True
                self.writer_at = max(self.writer_at, world.now) + HOP
                world.at(self.writer_at, self.run_if_alive, self.exit, STOPPED)
            case ev.Log():
                self.said(effect)
            case _:
                self.writer_at = max(self.writer_at, world.now) + self.random.randbelow(HOP // 2)
                world.at(self.writer_at, self.run_if_alive, self.write_out, effect)

    def run_if_alive(self, what, *args):
        """Nothing is done by a process that is dead, and what a stopped one was
        about to do is done once it goes on.
        """
        if self.dead:
            return
        if self.world.now < self.frozen:
            self.world.at(self.frozen, self.run_if_alive, what, *args)
        else:
            what(*args)

    def connect(self, worker, effect):
        self.world.network.connect(
            worker, self.node.endpoint, self.endpoint_of(effect.address), effect.timeout, worker.connected
        )

    def write_out(self, effect):
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
                worker.finish()
            case ev.Shutdown(end=end, reset=broken):
                invariants.on_node_close(self, end, "cut")
                worker.cut_off(broken)
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

    def said(self, effect):
        if effect.event == "closed":
            self.ended[effect.pairs["reason"]] += 1
        self.node.fleet.on_log_line(self, effect)

    # The door

    def came(self, side):
        """A connection that the machine has taken; the process gets to it in its own time."""
        self.world.after(self.random.randbelow(HOP), self.run_if_alive, self.accepted, side)

    def accepted(self, side):
        if not self.door.admits(self.clock()):
            self.turn_away(side, "node-late", self.reducer.retry_after())
        elif len(self.live) >= self.most + SPARE_DESCRIPTORS // 2:
            self.turn_away(side, "no-room-at-all", 0)
        else:
            end = ev.ConnectionEnd(True)
            worker = Worker(self, end, side)
            self.live[worker] = None
            self.node.fleet.invariants.on_accepted(self, side)
            self.post(ev.ClientAccepted(end))

    def turn_away(self, side, reason, retry_after):
        line = lines.busy_line(retry_after)
        with contextlib.suppress(BrokenPipeError):
            side.send(line)
        self.node.fleet.invariants.on_rejected(self, side, line)
        self.reducer.counters.count_refused_on_accept(lines.traffic_type_name(side.recv()))
        side.close()
        self.ended[reason] += 1

    # Signals and operators

    def stop(self):
        """SIGTERM. Where the platform holds the listener nothing more is taken from
        it; else what comes is still answered.
        """
        self.takes = not self.shares_listener
        self.node.update_listener()
        heir = self.heir if self.heir is not None and not self.heir.dead else None
        self.post(ev.StopRequested(self.shares_listener, heir is not None))

    def kill(self):
        """All its connections break, and new ones are refused."""
        self.exit(KILLED)

    def exit(self, how):
        self.dead = how
        for worker in list(self.live):
            if worker.side is not None and not worker.gone:
                if how == KILLED:
                    worker.side.reset()
                else:
                    worker.side.close()
        self.live.clear()
        for probe in self.probes:
            if probe.side is not None:
                probe.side.close()
        self.node.on_process_exit(self)

    def drain(self, on):
        """As operators call."""
        self.hasten(ev.DrainRequested(on))

    def freeze(self, span):
        """SIGSTOP, or a machine that gives it no core."""
        self.frozen = max(self.frozen, self.world.now + span)
        for worker in list(self.live):
            self.world.at(self.frozen, worker.look)

    def retune(self, values):
        """SIGHUP with this file. What cannot change while it runs stays, as in `Node.reload`."""
        try:
            parts = config.read_node(json.dumps(values), {})
            config.check_no_key_missing(self.values, values)
        except config.ConfigurationError:
            self.hasten(ev.ReloadRejected())
            return
        self.values, self.discovery.names = values, parts[2]
        begin = reloadable(parts[4], self.reducer.config)
        self.hasten(ev.SettingsReloaded(begin, parts[2], parts[3]))
        self.door.target = admission_target(begin)

    # Replacement

    def take_from(self, old):
        """What the process before it hands over, through the text that goes over the disk; then it takes
        connections. It waits no longer than a successor does.
        """
        mark = f"{self.node.name} {self.node.start_count}"

        def given(handed):
            text = handover.pack(handed, mark)
            old.most, old.heir = old.reducer.max_sockets, self
            self.world.after(
                self.random.randbelow(20_000), self.run_if_alive, take, handover.unpack(text, mark)
            )

        def take(handed):
            if self.takes:  # it is too late for it
                return
            if handed:
                self.limit(handed.room)
                self.post(ev.StateInherited(handed))
            self.takes = True
            self.node.update_listener()

        old.hasten(ev.HandOverRequested(given))
        self.world.after(round(ANSWER_WAIT * SECOND), self.run_if_alive, take, None)

    def limit(self, most):
        """While two processes share the limits of one; None: alone again."""
        self.most = self.reducer.max_sockets = min(most or self.all, self.all)

    def give(self, order):
        """One standing connection to the heir, if its readers are idle; the heir answers."""
        workers, heir = (order.client.worker, order.host.worker), self.heir
        if heir is None or heir.dead or not all(worker.idle() for worker in workers):
            self.post(ev.TransferDone(order.conn, False, heir is not None and not heir.dead))
            return
        for worker in workers:
            worker.gone = True
        standing = handover.unpack_connection(handover.pack_connection(order.connection))
        ends, new = (ev.ConnectionEnd(True), ev.ConnectionEnd(False)), []
        for end, worker in zip(ends, workers, strict=True):
            new.append(Worker(heir, end, worker.side))
            new[-1].borrowed = True  # the old process has it too until it is told
            heir.live[new[-1]] = None
        heir.post(
            ev.TransferOffered(
                *ends,
                standing,
                lambda taken: heir.world.after(
                    heir.random.randbelow(HOP), self.given, order, taken, new, heir
                ),
            )
        )

    def given(self, order, taken, new, heir):
        workers = order.client.worker, order.host.worker
        for worker, other in zip(workers, new, strict=True):
            other.borrowed = False
            if not taken:
                worker.gone, worker.side.owner, other.gone = False, worker, True
            elif other.end.freed:
                other.side.close()
        if taken:
            heir.limit(heir.most + 2)
            self.node.fleet.invariants.on_connection_passed(self, order, new)
        self.post(ev.TransferDone(order.conn, taken))
        if not taken and not self.dead:
            for worker in workers:
                worker.look()


NOWHERE = Endpoint("nowhere")
NOWHERE.on_connect = Endpoint.SILENT
