"""Drivers for the cores in tests: effects are executed when the test asks for it."""

from cottonspread.configstore import follower as fo
from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.configstore import replica as rep

REPLICAS = "r1", "r2", "r3"
EVERYWHERE, CANARY, WITHDRAWN = m.Stage.EVERYWHERE, m.Stage.CANARY, m.Stage.WITHDRAWN
ALL = 2**32
"""A canary threshold that makes every node a canary."""


MAX_TICKS = 10_000
"""Ticks in one interval of time: a core that requests more would run in a busy loop."""


def always_half():
    """A constant in place of random numbers."""
    return 0.5


def record(generation, version, stage=EVERYWHERE, body=None, below=ALL):
    """A valid record."""
    return m.make_record(generation, version, stage, below, f"body {version}" if body is None else body)


class ReplicaDriver:
    """A replica with a simulated disk.

    Stores complete at once, unless `store_waits`; they fail while `store_fails`.
    """

    def __init__(self, name="r1", state=None, now=0):
        self.name, self.now, self.number = name, now, 0
        self.disk = state or m.ReplicaState()
        self.store_waits = self.store_fails = False
        self.stores, self.replies, self.rejected, self.peer_calls = [], {}, {}, []
        self.restart()

    def restart(self):
        """Restarts the replica; only the disk's contents are kept."""
        peers = tuple(name for name in REPLICAS if name != self.name)
        self.core = rep.Replica(self.name, peers, self.disk, always_half)
        self.stores, self.replies, self.peer_calls = [], {}, []
        self.step(rep.Tick())

    def step(self, event):
        for effect in self.core.step(self.now, event):
            self.execute(effect)

    def execute(self, effect):
        match effect:
            case rep.Store():
                self.stores.append(effect)
                if not self.store_waits:
                    self.finish_store()
            case rep.Reply():
                self.replies[effect.request] = effect.message
            case rep.Reject():
                self.rejected[effect.request] = effect.why
            case rep.CallPeer():
                self.peer_calls.append(effect)

    def finish_store(self):
        store = self.stores.pop(0)
        if not self.store_fails:
            self.disk = m.decode(m.encode(store.state), m.ReplicaState)
        self.step(rep.Stored(store.token, not self.store_fails, "disk full" if self.store_fails else ""))

    def ask(self, message):
        """Sends a request and returns its number."""
        self.number += 1
        self.step(rep.RequestReceived(self.number, message))
        return self.number

    def reply(self, message):
        """Sends a request and returns the reply, or None."""
        return self.replies.get(self.ask(message))

    def watch(self, node="n1", since=0, timeout_ms=10_000, **fields):
        report = m.NodeReport(node=node, **fields)
        return self.ask(m.WatchRequest(since=since, timeout_ms=timeout_ms, report=report))

    def state(self, **fields):
        return self.reply(m.ReadState(**fields))

    def pass_time(self, span):
        until = self.now + span
        ticks = 0
        while self.core.wake_at <= until:
            ticks += 1
            assert ticks < MAX_TICKS, "the core requests ticks in a busy loop"
            self.now = max(self.now, self.core.wake_at)
            self.step(rep.Tick())
        self.now = until


class FollowerDriver:
    """A follower whose checks, saves and applies are completed by the test."""

    def __init__(self, node="n1", replicas=REPLICAS, saved=None, uniform=always_half):
        self.core, self.now = fo.Follower(node, replicas, uniform), 0
        self.open_calls, self.steps, self.notices = {}, [], []
        self.in_force, self.file = None, saved
        self.step(fo.Started(saved))

    def step(self, event):
        for effect in self.core.step(self.now, event):
            match effect:
                case fo.SendWatch():
                    self.open_calls[effect.call] = effect
                case fo.Notice():
                    self.notices.append(effect)
                case _:
                    self.steps.append(effect)

    def finish_step(self, ok=True, why=""):
        """Completes the next check, save or apply; returns its type."""
        effect = self.steps.pop(0)
        match effect:
            case fo.Check():
                self.step(fo.Checked(ok, why))
            case fo.Save():
                if ok:
                    self.file = effect.record
                self.step(fo.Saved(ok, why))
            case fo.Apply():
                if ok:
                    self.in_force = effect.record
                self.step(fo.Applied(ok, why))
        return type(effect)

    def finish_steps(self):
        done = []
        while self.steps:
            done.append(self.finish_step())
        return done

    def answer(self, new=None, call=None, age=0, generation=None):
        """Answers a call, by default the oldest."""
        call = call or next(iter(self.open_calls))
        sent = self.open_calls.pop(call)
        generation = generation if generation is not None else new.generation if new else sent.request.since
        self.step(
            fo.WatchReplied(
                call,
                m.WatchReply(
                    generation=generation,
                    reset=new is not None,
                    record=new,
                    majority_age_us=age,
                    replica=sent.replica,
                ),
            )
        )

    def fail(self, call=None):
        call = call or next(iter(self.open_calls))
        del self.open_calls[call]
        self.step(fo.WatchFailed(call, "refused"))

    def pass_time(self, span):
        until = self.now + span
        ticks = 0
        while self.core.wake_at <= until:
            ticks += 1
            assert ticks < MAX_TICKS, "the core requests ticks in a busy loop"
            self.now = max(self.now, self.core.wake_at)
            self.step(fo.Tick())
        self.now = until

    def view(self):
        return self.core.view(self.now)


class Cluster:
    """Three replicas and their nodes, for publishers whose calls are delivered one by one."""

    def __init__(self, nodes=10):
        self.now = 0
        self.replicas = {name: ReplicaDriver(name) for name in REPLICAS}
        self.up = set(REPLICAS)
        self.nodes = [f"n{number}" for number in range(nodes)]
        self.reported = {}
        self.report_nodes()

    def report_nodes(self):
        """Each node reports to the first two replicas, with its fields from `reported`."""
        for node in self.nodes:
            for name in REPLICAS[:2]:
                self.replicas[name].watch(node, since=2**40, timeout_ms=0, **self.reported.get(node, {}))

    def canaries(self, record):
        return [node for node in self.nodes if record.applies_to(node)]

    def committed(self, name="r1"):
        return self.replicas[name].disk.committed

    def seed(self, *records):
        """Lets every replica accept and commit these records."""
        for one in records:
            for replica in self.replicas.values():
                base = replica.disk.accepted.position if replica.disk.accepted else m.EMPTY_POSITION
                assert replica.reply(m.Accept(base=base, record=one)).accepted
                assert replica.reply(m.Commit(record=one)).committed

    def set_now(self, now):
        self.now = now
        for replica in self.replicas.values():
            replica.now = now


class PublisherDriver:
    """A publisher connected to a cluster."""

    def __init__(self, cluster, command, uniform=always_half):
        self.cluster, self.core = cluster, pu.Publisher(REPLICAS, command, uniform)
        self.calls, self.progress, self.done = [], [], None
        self.step(pu.Started())

    def step(self, event):
        for effect in self.core.step(self.cluster.now, event):
            match effect:
                case pu.Call():
                    self.calls.append(effect)
                case pu.Progress():
                    self.progress.append(effect)
                case pu.Done():
                    self.done = effect

    def deliver(self, index=0, lose_reply=False):
        """Delivers the call at this index to its replica, and the reply unless `lose_reply`."""
        call = self.calls.pop(index)
        replica = self.cluster.replicas[call.replica]
        if call.replica not in self.cluster.up:
            self.step(pu.CallFailed(call.call, "refused"))
            return
        reply = replica.reply(call.message)
        if lose_reply or reply is None:
            self.step(pu.CallFailed(call.call, "timed out"))
        else:
            self.step(pu.Replied(call.call, reply))

    def deliver_all(self):
        while self.calls and self.done is None:
            self.deliver()

    def until(self, step):
        """Delivers calls until this step begins."""
        while self.progress[-1].step != step:
            assert self.calls and self.done is None
            self.deliver()

    def run(self, span=60 * m.SECOND):
        """Delivers calls and advances time until the publisher is done, at most for `span`."""
        until, turns = self.cluster.now + span, 0
        while self.done is None and self.cluster.now <= until:
            turns += 1
            assert turns < MAX_TICKS, "the core requests ticks in a busy loop"
            if self.calls:
                self.deliver()
            else:
                self.cluster.set_now(max(self.cluster.now, self.core.wake_at))
                self.step(pu.Tick())
        while self.done is not None and self.calls:
            self.deliver()  # calls still open are delivered
        return self.done
