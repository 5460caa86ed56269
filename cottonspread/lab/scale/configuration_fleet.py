"""The configuration store's hosts in simulated time: production cores with simulated disks, checks, network.

Each host is a thin shell around its core, as in production: it executes effects in their order. When a
process ends, work in progress is lost and only the contents of the disk remain.
"""

import msgspec

from cottonspread.configstore import follower as fo
from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.configstore import replica as rp
from cottonspread.lab.scale.configuration_invariants import Invariants
from cottonspread.lab.scale.configuration_network import (
    Call,
    FleetParameters,
    Host,
    Location,
    Network,
    from_request,
    from_response,
    locations,
    to_request,
    to_response,
)
from cottonspread.lab.sim.world import SECOND, World

NEVER = 2**61
MAX_TICKS_AT_ONE_TIME = 1_000


class CoreHost(Host):
    """A host whose core needs a `Tick` at its `wake_at`."""

    tick = None

    def __init__(self, fleet: "Fleet", name: str, location: Location):
        """Creates the machine; the subclass creates its core."""
        super().__init__(name, location)
        self.fleet, self.world = fleet, fleet.world
        self.uniform = self.world.random_stream(name).random
        self.core, self._next_wake, self._ticks_at = None, NEVER, (0, 0)

    def handle(self, event) -> None:
        """Passes an event to the core and executes the effects."""
        for effect in self.core.step(self.world.now, event):
            self.execute(effect)
        self._schedule_wake()

    def execute(self, effect) -> None:
        """Executes one effect of the core."""
        raise NotImplementedError

    def _schedule_wake(self):
        at = self.core.wake_at
        if at < self._next_wake and at < NEVER:
            self._next_wake = at
            self.world.at(at, self._wake, self.epoch, at)

    def _wake(self, epoch, at):
        if epoch != self.epoch or not self.is_running or at != self._next_wake:
            return
        self._next_wake = NEVER
        if self.core.wake_at <= self.world.now:
            self.handle(self.tick)
            self._check_tick_rate(at)
        else:
            self._schedule_wake()

    def _check_tick_rate(self, at):
        """Raises if the core asks for `Tick` endlessly at one time: a busy loop in production."""
        self._ticks_at = (at, self._ticks_at[1] + 1) if self._ticks_at[0] == at else (at, 1)
        if self._ticks_at[1] > MAX_TICKS_AT_ONE_TIME:
            raise RuntimeError(f"{self.name}: over {MAX_TICKS_AT_ONE_TIME} ticks at one simulated time")

    def handle_later(self, minimum: int, event) -> None:
        """Passes an event to the core after `minimum` to twice that, if the process still runs then."""
        self.world.after(minimum + int(minimum * self.uniform()), self._handle_if_current, self.epoch, event)

    def _handle_if_current(self, epoch, event):
        if epoch == self.epoch and self.is_running:
            self.handle(event)

    def begin_process(self) -> None:
        """Begins a process; work in progress of the previous one has no effect any more."""
        self.epoch += 1
        self.is_running, self.is_silent, self._next_wake = True, False, NEVER

    def end_process(self, silently=False) -> None:
        """Ends the process; with `silently` its whole machine fails, so that no connection is closed."""
        self.is_running = False
        self.is_silent = silently
        self.epoch += 1

    def call(self, to: Host, message, deadline: int, kind, on_done) -> None:
        """Calls `on_done(reply, why)` once, with a reply of type `kind` or None for no usable reply."""

        def on_end(response, why):
            try:
                reply = from_response(response, kind) if response is not None else None
            except m.MessageError as error:
                reply, why = None, str(error)
            on_done(reply, why)

        self.fleet.network.call(self, to, to_request(to.name, message), deadline, on_end)


class ReplicaHost(CoreHost):
    """A control machine with a replica."""

    tick = rp.Tick()

    def __init__(self, fleet, name, location):
        """The disk holds the state of a replica that has accepted nothing; `start` starts the process."""
        super().__init__(fleet, name, location)
        self.disk = m.encode(m.ReplicaState())
        self.calls: dict[int, Call] = {}
        self._number, self._busy_until = 0, 0
        self.corrupt_reply = None
        """A function that returns the bytes that a faulty replica sends for a watch reply, or None."""

    def start(self) -> None:
        """Starts a process from the state on the disk."""
        self.begin_process()
        peers = tuple(name for name in self.fleet.replica_names if name != self.name)
        self.core = rp.Replica(self.name, peers, m.decode(self.disk, m.ReplicaState), self.uniform)
        self.calls, self._busy_until = {}, self.world.now
        self.world.add_trace_line("start", self.name)
        self.handle(rp.Tick())

    def stop(self, silently=False) -> None:
        """Ends the process, or with `silently` the machine."""
        self.world.add_trace_line("stop", self.name, silently)
        calls, self.calls = self.calls, {}
        self.end_process(silently)
        if not silently:
            for call in calls.values():
                call.close("closed")

    def on_request(self, call):
        """Queues the request for the processor."""
        self._enqueue_work(self._handle_request, call)

    def _enqueue_work(self, function, *args):
        self._busy_until = max(self._busy_until, self.world.now) + self.fleet.parameters.replica_message
        self.world.at(self._busy_until, self._run_work, self.epoch, function, args)

    def _run_work(self, epoch, function, args):
        if epoch == self.epoch and self.is_running:
            function(*args)

    def _handle_request(self, call):
        try:
            message = from_request(call.request)
        except m.MessageError:
            call.reply(to_response(None))
            return
        self._number += 1
        self.calls[self._number] = call
        self.handle(rp.RequestReceived(self._number, message))

    def on_caller_gone(self, call):
        """Tells the core that a caller closed its connection."""
        for number, one in list(self.calls.items()):
            if one is call:
                del self.calls[number]
                self.handle(rp.RequestAbandoned(number))

    def execute(self, effect):
        """Executes one effect of the core."""
        match effect:
            case rp.Store(token=token, state=state):
                self.world.after(self._store_delay(), self._stored, self.epoch, token, m.encode(state))
            case rp.Reply(request=number, message=message):
                self._enqueue_work(self._reply, self.calls.pop(number, None), message)
            case rp.Reject(request=number):
                self._enqueue_work(self._reply, self.calls.pop(number, None), None)
            case rp.CallPeer():
                self._call_peer(effect)

    def _store_delay(self):
        store = self.fleet.parameters.store
        return store + int(store * self.uniform())

    def _stored(self, epoch, token, data):
        if epoch != self.epoch or not self.is_running:
            return
        self.disk = data
        state = m.decode(data, m.ReplicaState)
        self.world.add_trace_line("stored", self.name, state.accepted and state.accepted.checksum)
        self.fleet.invariants.on_stored(self.name, state)
        self.handle(rp.Stored(token, True))

    def _reply(self, call, message):
        if call is None:
            return
        if self.corrupt_reply is not None and isinstance(message, m.WatchReply):
            call.reply(self.corrupt_reply(message))
        else:
            call.reply(to_response(message))

    def _call_peer(self, effect):
        def on_reply(reply, why):
            if reply is None:
                self.handle(rp.PeerFailed(effect.call, why))
            else:
                self.handle(rp.PeerReplied(effect.call, reply))

        peer = self.fleet.replicas[effect.peer]
        self.call(peer, effect.message, effect.deadline, m.StateReply, on_reply)


class NodeHost(CoreHost):
    """A node with a follower."""

    tick = fo.Tick()

    def __init__(self, fleet, name, location):
        """The disk holds no record; `start` starts the process."""
        super().__init__(fleet, name, location)
        self.disk: bytes | None = None
        self.rejects_all = False
        """Whether the node's check refuses every record, a fault of this node alone."""

    def start(self) -> None:
        """Starts a process from the saved record."""
        self.begin_process()
        self.core = fo.Follower(self.name, self.fleet.replica_names, self.uniform)
        saved, why = None, ""
        if self.disk is not None:
            try:
                saved = m.decode(self.disk, m.Record)
            except m.MessageError as error:
                why = str(error)
        if saved is None or not saved.is_valid():
            self.fleet.invariants.on_node_reset(self.name)
        self.handle(fo.Started(saved, why))

    def stop(self, silently=False) -> None:
        """Ends the process, or with `silently` the machine."""
        self.end_process(silently)
        self.fleet.invariants.on_node_stopped(self.name)

    def execute(self, effect):
        """Executes one effect of the core."""
        parameters = self.fleet.parameters
        match effect:
            case fo.SendWatch():
                self._send_watch(effect)
            case fo.Check(record=record):
                self._check(record)
            case fo.Save(record=record):
                duration = parameters.save + int(parameters.save * self.uniform())
                self.world.after(duration, self._saved, self.epoch, record)
            case fo.Apply(record=record):
                duration = parameters.apply + int(parameters.apply * self.uniform())
                self.world.after(duration, self._applied, self.epoch, record)
            case fo.Notice(kind=kind, version=version):
                self.world.add_trace_line("notice", self.name, kind, version)

    def _send_watch(self, effect):
        def on_reply(reply, why):
            if reply is None:
                self.handle(fo.WatchFailed(effect.call, why))
            else:
                self.handle(fo.WatchReplied(effect.call, reply))

        replica = self.fleet.replicas[effect.replica]
        self.call(replica, effect.request, effect.deadline, m.WatchReply, on_reply)

    def _check(self, record):
        self.fleet.invariants.on_checked(self.name, record)
        if record.body.startswith("hangs"):
            self.world.after(
                fo.STEP_TIMEOUT, self._handle_if_current, self.epoch, fo.Checked(False, "check hangs")
            )
            return
        ok = not record.body.startswith("refused") and not self.rejects_all
        self.handle_later(self.fleet.parameters.check, fo.Checked(ok, "" if ok else "refused by its check"))

    def _saved(self, epoch, record):
        if epoch == self.epoch and self.is_running:
            self.disk = m.encode(record) if record is not None else None
            self.handle(fo.Saved(True))

    def _applied(self, epoch, record):
        if epoch != self.epoch or not self.is_running:
            return
        ok = not record.body.startswith("unfit")
        if ok:
            self.world.add_trace_line("in force", self.name, record.version)
            self.fleet.invariants.on_applied(self.name, record)
        self.handle(fo.Applied(ok, "" if ok else "does not start"))
        if record.body.startswith("ill"):
            self.handle_later(200_000, fo.HealthReported(record.version, False, "many errors"))


class PublisherHost(CoreHost):
    """One run of the operators' publish command."""

    tick = pu.Tick()

    def __init__(self, fleet, name, location, order):
        """`order`: what the command was called with, `pu.Publish`, `pu.Resume` or `pu.Withdraw`."""
        super().__init__(fleet, name, location)
        self.began, self.done, self.ended = self.world.now, None, None
        self.on_done = None
        """Called with this host when the publisher ends, or None."""
        self.crash_at = None
        """The step at whose beginning the process ends, or None."""
        self.core = pu.Publisher(fleet.replica_names, order, self.uniform)

    def execute(self, effect):
        """Executes one effect of the core."""
        if not self.is_running:
            return
        match effect:
            case pu.Call():
                self._call(effect)
            case pu.Progress(step=step, version=version, stage=stage):
                self.world.add_trace_line("publisher", self.name, step, version, stage)
                if step == pu.Step.COMMITTING and stage != m.Stage.WITHDRAWN:
                    self.fleet.invariants.on_change_accepted(version, self.began, list(self.fleet.nodes))
                if step == self.crash_at:
                    self.end_process()
            case pu.Done():
                self.done, self.ended = effect, self.world.now
                self.world.add_trace_line("done", self.name, effect.outcome, effect.version)
                if self.on_done is not None:
                    self.on_done(self)

    def _call(self, effect):
        kinds = {m.ReadState: m.StateReply, m.Accept: m.AcceptReply, m.Commit: m.CommitReply}

        def on_reply(reply, why):
            if reply is None:
                self.handle(pu.CallFailed(effect.call, why))
            else:
                self.handle(pu.Replied(effect.call, reply))

        kind = kinds[type(effect.message)]
        self.call(self.fleet.replicas[effect.replica], effect.message, effect.deadline, kind, on_reply)


class Fleet:
    """Replicas, nodes and publishers in one simulated world; every replica and node runs at first."""

    def __init__(self, seed, parameters: FleetParameters | None = None, traced=False):
        """Starts all replicas and nodes. `traced`: the world keeps its trace lines, not only their digest."""
        self.parameters, self.world = parameters or FleetParameters(), World(seed, traced)
        self.network = Network(self.world, self.parameters)
        zones = locations(self.parameters)
        self.replica_names = tuple(f"r{region + 1}" for region in range(len(self.parameters.zones)))
        self.invariants = Invariants(self.world, len(self.replica_names))
        self.replicas, self.nodes, self.publishers = {}, {}, []
        for region, name in enumerate(self.replica_names):
            location = next(location for location in zones if location.region == region)
            self.replicas[name] = ReplicaHost(self, name, location)
        for number in range(self.parameters.nodes):
            location = zones[number % len(zones)]
            name = f"z{location.zone + 1}-node-{number:03}"
            self.nodes[name] = NodeHost(self, name, location)
        for host in [*self.replicas.values(), *self.nodes.values()]:
            host.start()
        self._quorum_seen_at = dict.fromkeys(self.replica_names, 0)
        self.world.after(SECOND, self._check_reachability)

    # Actual reachability

    def has_quorum(self, replica) -> bool:
        """Whether the replica runs and reaches a majority, itself included."""
        if not replica.is_running:
            return False
        others = [
            other
            for other in self.replicas.values()
            if other.is_running and self.network.reaches(replica, other)
        ]
        return len(others) > len(self.replicas) // 2

    def reachable(self) -> list[str]:
        """Nodes that run and can reach a replica with quorum."""
        serving = [replica for replica in self.replicas.values() if self.has_quorum(replica)]
        return [
            name
            for name, node in self.nodes.items()
            if node.is_running and any(self.network.reaches(node, one) for one in serving)
        ]

    def _check_reachability(self):
        """Once a second, compares which nodes are reachable with what the nodes report."""
        now, reachable = self.world.now, set(self.reachable())
        for replica in self.replicas.values():
            if self.has_quorum(replica):
                self._quorum_seen_at[replica.name] = now
        for name, node in self.nodes.items():
            if node.is_running:
                seen_at = [
                    self._quorum_seen_at[replica.name]
                    for replica in self.replicas.values()
                    if replica.is_running and self.network.reaches(node, replica)
                ]
                self.invariants.on_reachability(
                    name, name in reachable, max(seen_at, default=0), not self.network.loss
                )
                self.invariants.on_cut_off_report(name, node.core.is_cut_off(self.world.now))
        self.world.after(SECOND, self._check_reachability)

    # Actions

    def publish(self, order, region=0, on_done=None, crash_at=None) -> PublisherHost:
        """Starts a publisher in the region."""
        location = next(location for location in locations(self.parameters) if location.region == region)
        host = PublisherHost(self, f"p{len(self.publishers) + 1}", location, order)
        host.on_done, host.crash_at = on_done, crash_at
        self.publishers.append(host)
        host.handle(pu.Started())
        return host

    def run_for(self, seconds: float) -> None:
        """Advances the simulation."""
        self.world.run(self.world.now + int(seconds * SECOND))

    def run_until_done(self, host: PublisherHost, max_seconds: float = 60) -> pu.Done | None:
        """Advances until the publisher ends, `max_seconds` at most; its outcome, None if it has none."""
        until = self.world.now + int(max_seconds * SECOND)
        while host.done is None and self.world.now < until and host.is_running:
            self.run_for(0.05)
        return host.done

    def lagging(self) -> list[str]:
        """Reachable nodes without the newest version that is committed at stage EVERYWHERE."""
        return self.invariants.lagging(self.reachable())

    def run_until_converged(self, max_seconds: float = 120) -> float | None:
        """Advances until no reachable node lags; the seconds that took, None if over `max_seconds`."""
        began = self.world.now
        while self.world.now < began + int(max_seconds * SECOND):
            if not self.lagging():
                return (self.world.now - began) / SECOND
            self.run_for(0.05)
        return None


def reply_corrupter(fleet: Fleet, name: str):
    """For `ReplicaHost.corrupt_reply`: damages, replaces or alters up to three of five replies."""
    rng, sent = fleet.world.random_stream("lies", name), []

    def corrupt(reply: m.WatchReply) -> bytes:
        if reply.record is not None:
            sent.append(reply)
        choice = rng.randbelow(5)
        if choice == 0 and sent:
            return to_response(rng.choice(sent))
        if choice == 1:
            return _flip_bit(to_response(reply), rng)
        if choice == 2 and reply.record is not None:
            return to_response(_renumbered(reply, rng))
        if choice == 3 and reply.record is None and sent:
            return to_response(_with_other_digest(sent[-1]))
        return to_response(reply)

    return corrupt


def _flip_bit(data: bytes, rng) -> bytes:
    changed = bytearray(data)
    start = changed.index(b"\r\n\r\n") + 4
    at = start + rng.randbelow(len(changed) - start)
    changed[at] ^= 1 << rng.randbelow(7)
    return bytes(changed)


def _renumbered(reply: m.WatchReply, rng) -> m.WatchReply:
    record = msgspec.structs.replace(reply.record, version=reply.record.version + 1 + rng.randbelow(3))
    return msgspec.structs.replace(reply, record=record)


def _with_other_digest(reply: m.WatchReply) -> m.WatchReply:
    """A reply with a version that was sent already, under a later generation, with another body."""
    old = reply.record
    other = m.make_record(old.generation + 1, old.version, old.stage, old.canary_below, "another body")
    return msgspec.structs.replace(reply, generation=other.generation, record=other)
