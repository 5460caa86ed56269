"""Hosts of the configuration store in simulated time: the real cores, with disks, checks and a network.

Each host is a thin shell, as the real ones are: effects are carried out in their order, what is on its way
when a process ends is lost, and only its disk is left.
"""

import msgspec

from cottonspread.configstore import follower as fo
from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.configstore import replica as re
from cottonspread.lab.scale.configuration_network import (
    Call,
    Host,
    Network,
    Place,
    Shape,
    from_request,
    from_response,
    places,
    to_request,
    to_response,
)
from cottonspread.lab.scale.configuration_promises import Promises
from cottonspread.lab.sim.world import SECOND, World

FAR = 2**61
TICKS_AT_ONE_TIME = 1_000


class CoreHost(Host):
    """A host with a core that wants `Tick` at its `wake_at`."""

    tick = None

    def __init__(self, fleet: "Fleet", name: str, place: Place):
        super().__init__(name, place)
        self.fleet, self.world = fleet, fleet.world
        self.chance = self.world.random_stream(name).random
        self.core, self._wakes_at, self._ticks_at = None, FAR, (0, 0)

    def tell(self, event) -> None:
        """An event, and what follows."""
        for effect in self.core.step(self.world.now, event):
            self.carry_out(effect)
        self._plan_wake()

    def carry_out(self, effect) -> None:
        """One effect."""
        raise NotImplementedError

    def _plan_wake(self):
        at = self.core.wake_at
        if at < self._wakes_at and at < FAR:
            self._wakes_at = at
            self.world.at(at, self._wake, self.epoch, at)

    def _wake(self, epoch, at):
        if epoch != self.epoch or not self.is_running or at != self._wakes_at:
            return
        self._wakes_at = FAR
        if self.core.wake_at <= self.world.now:
            self.tell(self.tick)
            self._check_pace(at)
        else:
            self._plan_wake()

    def _check_pace(self, at):
        """A core that wants `Tick` at once again, time after time, would take its whole processor."""
        self._ticks_at = (at, self._ticks_at[1] + 1) if self._ticks_at[0] == at else (at, 1)
        if self._ticks_at[1] > TICKS_AT_ONE_TIME:
            raise RuntimeError(f"{self.name} wants ticks without pause")

    def later(self, least: int, event) -> None:
        """An event of this process after `least`, or up to twice that."""
        self.world.after(least + int(least * self.chance()), self._told, self.epoch, event)

    def _told(self, epoch, event):
        if epoch == self.epoch and self.is_running:
            self.tell(event)

    def new_process(self) -> None:
        """All that the process before had on its way is void."""
        self.epoch += 1
        self.is_running, self.is_silent, self._wakes_at = True, False, FAR

    def end_process(self, silently=False) -> None:
        """The process ends; `silently`: with its machine, so that nobody is told."""
        self.is_running = False
        self.is_silent = silently
        self.epoch += 1

    def call(self, to: Host, message, deadline: int, kind, then) -> None:
        """Asks; `then(reply, why)`, where None is no usable reply."""

        def end(response, why):
            try:
                reply = from_response(response, kind) if response is not None else None
            except m.MessageError as fault:
                reply, why = None, str(fault)
            then(reply, why)

        self.fleet.network.call(self, to, to_request(to.name, message), deadline, end)


class ReplicaHost(CoreHost):
    """A control machine."""

    tick = re.Tick()

    def __init__(self, fleet, name, place):
        super().__init__(fleet, name, place)
        self.disk = m.encode(m.ReplicaState())
        self.calls: dict[int, Call] = {}
        self._number, self._busy_until = 0, 0
        self.lies = None
        """Changes an answer on its way out (a broken replica), or None."""

    def start(self) -> None:
        """A process, from what the disk has."""
        self.new_process()
        peers = tuple(name for name in self.fleet.replica_names if name != self.name)
        self.core = re.Replica(self.name, peers, m.decode(self.disk, m.ReplicaState), self.chance)
        self.calls, self._busy_until = {}, self.world.now
        self.world.add_trace_line("start", self.name)
        self.tell(re.Tick())

    def stop(self, silently=False) -> None:
        """Its process ends, or its machine."""
        self.world.add_trace_line("stop", self.name, silently)
        calls, self.calls = self.calls, {}
        self.end_process(silently)
        if not silently:
            for call in calls.values():
                call.close("closed")

    def asked(self, call):
        """A request; it waits for the processor."""
        self._work(self._ask, call)

    def _work(self, what, *args):
        self._busy_until = max(self._busy_until, self.world.now) + self.fleet.shape.replica_message
        self.world.at(self._busy_until, self._do, self.epoch, what, args)

    def _do(self, epoch, what, args):
        if epoch == self.epoch and self.is_running:
            what(*args)

    def _ask(self, call):
        try:
            message = from_request(call.request)
        except m.MessageError:
            call.reply(to_response(None))
            return
        self._number += 1
        self.calls[self._number] = call
        self.tell(re.RequestReceived(self._number, message))

    def gone(self, call):
        """A caller has left."""
        for number, one in list(self.calls.items()):
            if one is call:
                del self.calls[number]
                self.tell(re.RequestAbandoned(number))

    def carry_out(self, effect):
        """One effect of the core."""
        match effect:
            case re.Store(token=token, state=state):
                self.world.after(self._store_span(), self._stored, self.epoch, token, m.encode(state))
            case re.Reply(request=number, message=message):
                self._work(self._reply, self.calls.pop(number, None), message)
            case re.Reject(request=number):
                self._work(self._reply, self.calls.pop(number, None), None)
            case re.CallPeer():
                self._ask_peer(effect)

    def _store_span(self):
        store = self.fleet.shape.store
        return store + int(store * self.chance())

    def _stored(self, epoch, token, data):
        if epoch != self.epoch or not self.is_running:
            return
        self.disk = data
        state = m.decode(data, m.ReplicaState)
        self.world.add_trace_line("stored", self.name, state.accepted and state.accepted.checksum)
        self.fleet.promises.stored(self.name, state)
        self.tell(re.Stored(token, True))

    def _reply(self, call, message):
        if call is None:
            return
        if self.lies is not None and isinstance(message, m.WatchReply):
            call.reply(self.lies(message))
        else:
            call.reply(to_response(message))

    def _ask_peer(self, effect):
        def then(reply, why):
            if reply is None:
                self.tell(re.PeerFailed(effect.call, why))
            else:
                self.tell(re.PeerReplied(effect.call, reply))

        peer = self.fleet.replicas[effect.peer]
        self.call(peer, effect.message, effect.deadline, m.StateReply, then)


class NodeHost(CoreHost):
    """A node with its follower."""

    tick = fo.Tick()

    def __init__(self, fleet, name, place):
        super().__init__(fleet, name, place)
        self.disk: bytes | None = None
        self.refuses_all = False
        """The node's own fault: it refuses every record."""

    def start(self) -> None:
        """A process, from the saved record."""
        self.new_process()
        self.core = fo.Follower(self.name, self.fleet.replica_names, self.chance)
        saved, why = None, ""
        if self.disk is not None:
            try:
                saved = m.decode(self.disk, m.Record)
            except m.MessageError as fault:
                why = str(fault)
        if saved is None or not saved.is_valid():
            self.fleet.promises.node_begins(self.name)
        self.tell(fo.Started(saved, why))

    def stop(self, silently=False) -> None:
        """Its process ends, or its machine."""
        self.end_process(silently)
        self.fleet.promises.forget(self.name)

    def carry_out(self, effect):
        """One effect of the core."""
        shape = self.fleet.shape
        match effect:
            case fo.SendWatch():
                self._ask(effect)
            case fo.Check(record=record):
                self._check(record)
            case fo.Save(record=record):
                span = shape.save + int(shape.save * self.chance())
                self.world.after(span, self._saved, self.epoch, record)
            case fo.Apply(record=record):
                span = shape.apply + int(shape.apply * self.chance())
                self.world.after(span, self._applied, self.epoch, record)
            case fo.Notice(kind=what, version=version):
                self.world.add_trace_line("notice", self.name, what, version)

    def _ask(self, effect):
        def then(answer, why):
            if answer is None:
                self.tell(fo.WatchFailed(effect.call, why))
            else:
                self.tell(fo.WatchReplied(effect.call, answer))

        replica = self.fleet.replicas[effect.replica]
        self.call(replica, effect.request, effect.deadline, m.WatchReply, then)

    def _check(self, record):
        self.fleet.promises.checked(self.name, record)
        if record.body.startswith("hangs"):
            self.world.after(fo.STEP_TIMEOUT, self._told, self.epoch, fo.Checked(False, "check hangs"))
            return
        ok = not record.body.startswith("refused") and not self.refuses_all
        self.later(self.fleet.shape.check, fo.Checked(ok, "" if ok else "refused by its check"))

    def _saved(self, epoch, record):
        if epoch == self.epoch and self.is_running:
            self.disk = m.encode(record) if record is not None else None
            self.tell(fo.Saved(True))

    def _applied(self, epoch, record):
        if epoch != self.epoch or not self.is_running:
            return
        ok = not record.body.startswith("unfit")
        if ok:
            self.world.add_trace_line("in force", self.name, record.version)
            self.fleet.promises.applied(self.name, record)
        self.tell(fo.Applied(ok, "" if ok else "does not start"))
        if record.body.startswith("ill"):
            self.later(200_000, fo.HealthReported(record.version, False, "many errors"))


class PublisherHost(CoreHost):
    """One run of the staff's command."""

    tick = pu.Tick()

    def __init__(self, fleet, name, place, order):
        super().__init__(fleet, name, place)
        self.began, self.done, self.ended = self.world.now, None, None
        self.then = None
        """Called with this host at the end."""
        self.dies_at = None
        """A step at whose beginning the process ends."""
        self.core = pu.Publisher(fleet.replica_names, order, self.chance)

    def carry_out(self, effect):
        """One effect of the core."""
        if not self.is_running:
            return
        match effect:
            case pu.Call():
                self._call(effect)
            case pu.Progress(step=step, version=version, stage=stage):
                self.world.add_trace_line("publisher", self.name, step, version, stage)
                if step == pu.Step.COMMITTING and stage != m.Stage.WITHDRAWN:
                    self.fleet.promises.change_begins(version, self.began, list(self.fleet.nodes))
                if step == self.dies_at:
                    self.end_process()
            case pu.Done():
                self.done, self.ended = effect, self.world.now
                self.world.add_trace_line("done", self.name, effect.outcome, effect.version)
                if self.then is not None:
                    self.then(self)

    def _call(self, effect):
        kinds = {m.ReadState: m.StateReply, m.Accept: m.AcceptReply, m.Commit: m.CommitReply}

        def then(reply, why):
            if reply is None:
                self.tell(pu.CallFailed(effect.call, why))
            else:
                self.tell(pu.Replied(effect.call, reply))

        kind = kinds[type(effect.message)]
        self.call(self.fleet.replicas[effect.replica], effect.message, effect.deadline, kind, then)


class Fleet:
    """Replicas, nodes and publishers in one world."""

    def __init__(self, seed, shape: Shape | None = None, traced=False):
        self.shape, self.world = shape or Shape(), World(seed, traced)
        self.network = Network(self.world, self.shape)
        zones = places(self.shape)
        self.replica_names = tuple(f"r{region + 1}" for region in range(len(self.shape.zones)))
        self.promises = Promises(self.world, len(self.replica_names))
        self.replicas, self.nodes, self.publishers = {}, {}, []
        for region, name in enumerate(self.replica_names):
            place = next(place for place in zones if place.region == region)
            self.replicas[name] = ReplicaHost(self, name, place)
        for number in range(self.shape.nodes):
            place = zones[number % len(zones)]
            name = f"z{place.zone + 1}-node-{number:03}"
            self.nodes[name] = NodeHost(self, name, place)
        for host in [*self.replicas.values(), *self.nodes.values()]:
            host.start()
        self._had_quorum = dict.fromkeys(self.replica_names, 0)
        self.world.after(SECOND, self._look)

    # Truth

    def has_quorum(self, replica) -> bool:
        """It reaches a majority, itself counted."""
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

    def _look(self):
        """Once a second: who can reach whom, and what the nodes say."""
        now, can = self.world.now, set(self.reachable())
        for replica in self.replicas.values():
            if self.has_quorum(replica):
                self._had_quorum[replica.name] = now
        for name, node in self.nodes.items():
            if node.is_running:
                told_of = [
                    self._had_quorum[replica.name]
                    for replica in self.replicas.values()
                    if replica.is_running and self.network.reaches(node, replica)
                ]
                self.promises.reach(name, name in can, max(told_of, default=0), not self.network.loss)
                self.promises.said(name, node.core.is_cut_off(self.world.now))
        self.world.after(SECOND, self._look)

    # What happens

    def publish(self, order, region=0, then=None, dies_at=None) -> PublisherHost:
        """A publisher starts now."""
        place = next(place for place in places(self.shape) if place.region == region)
        host = PublisherHost(self, f"p{len(self.publishers) + 1}", place, order)
        host.then, host.dies_at = then, dies_at
        self.publishers.append(host)
        host.tell(pu.Started())
        return host

    def run_for(self, seconds: float) -> None:
        """On."""
        self.world.run(self.world.now + int(seconds * SECOND))

    def run_until_done(self, host: PublisherHost, most_seconds: float = 60) -> pu.Done | None:
        """On until that publisher has ended, or so long."""
        until = self.world.now + int(most_seconds * SECOND)
        while host.done is None and self.world.now < until and host.is_running:
            self.run_for(0.05)
        return host.done

    def lagging(self) -> list[str]:
        """Reachable nodes without the newest version that is EVERYWHERE."""
        return self.promises.whole(self.reachable())

    def run_until_whole(self, most_seconds: float = 120) -> float | None:
        """On until no reachable node lags; seconds that took, None: longer."""
        began = self.world.now
        while self.world.now < began + int(most_seconds * SECOND):
            if not self.lagging():
                return (self.world.now - began) / SECOND
            self.run_for(0.05)
        return None


def corrupt(fleet: Fleet, name: str):
    """A replica that now and then tells damaged, older or other answers; for `ReplicaHost.lies`."""
    draws, told = fleet.world.random_stream("lies", name), []

    def change(answer: m.WatchReply) -> bytes:
        if answer.record is not None:
            told.append(answer)
        way = draws.randbelow(5)
        if way == 0 and told:
            return to_response(draws.choice(told))
        if way == 1:
            return _flip(to_response(answer), draws)
        if way == 2 and answer.record is not None:
            return to_response(_renumbered(answer, draws))
        if way == 3 and answer.record is None and told:
            return to_response(_other_digest(told[-1]))
        return to_response(answer)

    return change


def _flip(data: bytes, draws) -> bytes:
    changed = bytearray(data)
    start = changed.index(b"\r\n\r\n") + 4
    at = start + draws.randbelow(len(changed) - start)
    changed[at] ^= 1 << draws.randbelow(7)
    return bytes(changed)


def _renumbered(answer: m.WatchReply, draws) -> m.WatchReply:
    record = msgspec.structs.replace(answer.record, version=answer.record.version + 1 + draws.randbelow(3))
    return msgspec.structs.replace(answer, record=record)


def _other_digest(answer: m.WatchReply) -> m.WatchReply:
    """What the node has in force already, under a later generation, with another body."""
    old = answer.record
    other = m.make_record(old.generation + 1, old.version, old.stage, old.canary_below, "another body")
    return msgspec.structs.replace(answer, generation=other.generation, record=other)
