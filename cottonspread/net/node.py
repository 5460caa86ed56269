"""A node: the reducer, the workers, discovery and the listening socket put together. It can be embedded."""

import contextlib
import fcntl
import logging
import os
import queue
import resource
import socket
import sys
import threading
import time
from collections import Counter
from dataclasses import replace

from cottonspread.front.lateness import AdmissionLimiter
from cottonspread.interface import ListUpdateKind
from cottonspread.net import admin, discovery, lines, passing, workers
from cottonspread.net import events as ev
from cottonspread.net.admission import Admission
from cottonspread.net.closing import Closer
from cottonspread.net.pool import BufferPool
from cottonspread.net.reducer import PENDING_CLIENTS_DIVISOR, Reducer

log = logging.getLogger("cottonspread.node")

QUEUE = 4096  # events; workers wait when it is full
BACKLOG = 1024
LAST_ACCEPTS = 0.2  # seconds at the end in which the accepting thread turns away whoever is left
# How a call ends that was lost or turned away: what an upgrade may not bring more of (docs/on-call.md)
BADLY = {
    "fault",
    "overdue",
    "released",
    "rejected",
    "no-room",
    "no-room-at-all",
    "node-late",
    "held-by-lost",
    "stuck",
    "unknown",
}
NO_CALL = {"ping", "no-first-line", "not-ready"}
SPARE_ENDS = 32  # descriptors for the listener, discovery, logs, and to turn clients away with
BASE_MB, END_KB = 24, 32  # memory of a node without connections, and of one end


class Clock:
    """Unix time in microseconds that never goes back."""

    def __init__(self):
        self.offset = time.time() - time.monotonic()

    def now(self):
        return int((time.monotonic() + self.offset) * 1_000_000)


def most_ends(resource_limits, operator=None):
    """How many connections, clients' and hosts', fit into descriptors and memory."""
    spare = SPARE_ENDS + (admin.RESERVED_DESCRIPTORS if operator else 0)
    return max(
        2, min(resource_limits.sockets - spare, (resource_limits.memory_mb - BASE_MB) * 1024 // END_KB)
    )


def door_target(begin):
    """How long first lines may lie here: see `AdmissionLimiter`."""
    return min(t.setup_target for t in begin.types) // 4


def may_watch(begin, listed, follows):
    """Whether a known list is watched at once: a process that `follows`
    another waits for a list told to itself.
    """
    return begin.server_list.polled and not follows and bool(listed.entries)


def changeable(begin, was):
    """Settings that a node which runs takes over: what cannot change then stays as it was, in all parts."""
    return replace(
        begin,
        server_list=replace(begin.server_list, polled=was.server_list.polled),
        dynamic_weights=was.dynamic_weights,
    )


def grow_table(sockets):
    """The kernel's table of descriptors at its full size before there are threads: each time that it grows
    later, whoever opens the next one, the reducer among them, waits 10 to 25 ms for every core to pass by.
    """
    with contextlib.suppress(OSError):  # no descriptor 0, or fewer than that: it grows as it must
        os.close(
            fcntl.fcntl(0, fcntl.F_DUPFD, min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - 1)
        )


class Node:
    """`start` returns once the node listens; `stop` asks it to end its work; `join` waits until it has."""

    def __init__(
        self, endpoints, resource_limits, names, host_protocol, begin, known, keep=None, ended=lambda: None
    ):
        """`keep(version, instances, whole)`, if given, is told each list as JSON, in the discovery's thread;
        `ended()` is called once, when all is done.
        """
        self.endpoints, self.resource_limits, self.clock = endpoints, resource_limits, Clock()
        self.events, self.done = queue.Queue(QUEUE), threading.Event()
        self.most = self.all = most_ends(resource_limits, endpoints.operator)
        self.workers = workers.Workers(
            BufferPool(), self.post, self.clock.now, lambda: (self.done.set(), ended())
        )
        self.lock, self.door = threading.Lock(), AdmissionLimiter(door_target(begin))
        version, listed, addresses, unread = discovery.read_list(known, names, ListUpdateKind.SAVED)
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            begin.server_list.polled,
            keep,
            may_watch(begin, listed, keep is not None),
        )
        self.reducer = Reducer(self.clock.now(), begin, names, host_protocol, self.most)
        self.discovery.start_with(
            listed, addresses, unread, trusted=begin.server_list.polled or keep is not None
        )
        self.listener, self.shared, self.steps, self.ended = None, False, 0, Counter()
        self.closer = Closer(self.max_closing)
        self.admission, self.finished = None, False
        self.admin, self.urgent = None, queue.SimpleQueue()  # `urgent`: events that no full queue may hold up
        self.giver = None  # passes standing connections on

    def max_closing(self):
        """How many that were turned away may be read to their end at a time."""
        waiting = len(self.admission.pending) if self.admission else 0
        return max(SPARE_ENDS // 4, self.most - len(self.workers.live) - waiting)

    def post(self, event):
        self.events.put((self.clock.now(), event))

    def start(self, listener=None):
        """`listener`: a socket that another process keeps too and that listens already;
        nothing is taken from it before `take`.
        """
        self.shared = listener is not None
        self.listener = listener or socket.create_server(self.endpoints.listen, backlog=BACKLOG)
        self.admin = admin.Admin(self.endpoints.operator, self.called) if self.endpoints.operator else None
        # What came before it was accepted is stamped too: a client's time runs from when its line was here.
        self.listener.setsockopt(socket.SOL_SOCKET, lines.SO_TIMESTAMPNS, 1)
        grow_table(self.resource_limits.sockets)
        # Before there are threads: said after, the list's first word could stand in the log before it.
        log.info(
            "listening",
            extra={
                "pairs": {"address": "{}:{}".format(*self.listener.getsockname()[:2]), "most_ends": self.most}
            },
        )
        self.workers.start()
        workers.start_thread(self.closer.run)
        if self.admin:
            workers.start_thread(self.admin.run, stack=workers.WIDE)
        for target in (self.loop, self.discovery.run):
            workers.start_thread(target, stack=workers.WIDE)
        if not self.shared:
            self.take()

    def serves(self):
        """Whether connections are taken from the listener, and there is a server to send them to."""
        return self.reducer.has_hosts and not self.reducer.stopping and self.admission is not None

    def called(self, word):
        """The answer to an operator's call; in the thread of their address, which may wait for nothing."""
        if word == "health":
            return b"200 yes\n" if self.serves() else b"400 no\n"
        if word == "counters":
            return (
                b"200 the figures\n%sEOF\n"
                % self.reducer.counters.text(len(self.reducer.calls_by_id)).encode()
            )
        if word not in ("quiesce", "resume"):
            return b"400 known calls: health, counters, quiesce, resume\n"
        if self.reducer.stopping:
            return b"400 stopping\n"
        self.hasten(ev.DrainRequested(word == "quiesce"))
        return b"200 draining\n" if word == "quiesce" else b"200 serving\n"

    def hasten(self, event):
        """For the reducer before all that waits in its queue, and without waiting for room there."""
        self.urgent.put((self.clock.now(), event))
        with contextlib.suppress(queue.Full):  # it is awake
            self.events.put_nowait((self.clock.now(), ev.Tick()))  # wakes it

    def follow(self, address, anew=False):
        """Another discovery from now on, or the whole list of this one anew;
        the list, calls and connections stay.
        """
        if anew or address != self.endpoints.discovery:
            self.endpoints = replace(self.endpoints, discovery=address)
            self.discovery.change_address(address)

    def take(self):
        """Take connections from the listener from now on."""
        self.admission = Admission(self.listener, self.shared, self.clock.now, self)
        self.admission.start()

    def inherit(self, handed):
        """Before `take`: what the process before this one hands over."""
        self.limit(handed.room)
        self.post(ev.StateInherited(handed))

    def limit(self, most):
        """While two processes share the limits of one; None: alone again."""
        self.most = self.reducer.max_sockets = min(most or self.all, self.all)

    def hand_over(self, wait=0.5):
        """What a successor is to know, or None if the reducer is too late to tell."""
        given = queue.SimpleQueue()
        self.hasten(ev.HandOverRequested(given.put))
        try:
            handed = given.get(timeout=wait)
        except queue.Empty:
            return None
        self.most = self.reducer.max_sockets
        return handed

    def retune(self, endpoints, resource_limits, names, host_protocol, begin):
        """Another configuration from now on: list, calls and connections stay."""
        begin = changeable(begin, self.reducer.config)
        renamed = (names.zones, names.kinds) != (self.discovery.names.zones, self.discovery.names.kinds)
        self.discovery.names = names
        self.hasten(ev.SettingsReloaded(begin, names, host_protocol))
        with self.lock:
            self.door.target = door_target(begin)
        self.follow(endpoints.discovery, renamed)

    def adopt(self, standing, client, host):
        """A standing connection of the process before this one, with its two sockets. Whether it is taken."""
        ends = ev.ConnectionEnd(True), ev.ConnectionEnd(False)
        for end, sock in zip(ends, (client, host), strict=True):
            if not self.workers.begin(end, sock):
                for left in (client, host):
                    left.close()
                return False
        given = queue.SimpleQueue()
        self.post(ev.TransferOffered(*ends, standing, given.put))
        taken = given.get()  # however late: the reducer alone knows whether it has it
        if taken:  # its room comes with it
            self.limit(self.most + 2)
        return taken

    def leave(self, handed, heir=None):
        """Take no more, and stop.

        What is in the queue of the listener is another's: a successor's (`handed`), or the supervisor's.
        `heir`: a connection to a successor that takes standing ones too.
        """
        if self.admission:
            self.admission.stop_accepting()
        if heir:
            self.giver = passing.Giver(heir, self.post)
            workers.start_thread(self.giver.run, stack=workers.WIDE)
        self.post(ev.StopRequested(handed, heir is not None))

    def ping(self, wait=1.0):
        """Whether a PING is answered: by the reducer and the workers as a client's
        is, on a pair of sockets of its own.
        """
        ours, theirs = socket.socketpair()
        with ours:
            ours.settimeout(wait)
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, workers.RCVTIMEO)
            end = ev.ConnectionEnd(True)
            if not self.workers.begin(end, theirs):
                theirs.close()
                return False
            self.post(ev.ClientAccepted(end))
            try:
                ours.sendall(lines.PING + b"\r\n")
                return ours.recv(16) == lines.PONG
            except OSError:
                return False

    def status(self):
        """What is told of a node that runs: whole numbers, and `listed`,
        whether it knows a server that is ready.
        """
        reducer, ended = self.reducer, dict(self.ended)
        return {
            "steps": self.steps,
            "listed": reducer.has_hosts,
            "list": self.discovery.version,
            "connections": len(reducer.conns),
            "calls": len(reducer.calls_by_id),
            "ended": sum(n for reason, n in ended.items() if reason not in NO_CALL),
            "bad": sum(n for reason, n in ended.items() if reason in BADLY),
        }

    def stop(self):
        """Before all that waits: the platform's time runs from here, whatever lies in the queue."""
        self.hasten(ev.StopRequested())

    def join(self, wait=None):
        return self.done.wait(wait)

    def loop(self):
        """The one thread that runs the reducer."""
        while not self.finished:
            left = (self.reducer.due() - self.clock.now()) / 1e6
            try:
                at, event = self.urgent.get_nowait()
            except queue.Empty:
                at, event = self.next(left)
            now = self.clock.now()
            at = getattr(event, "at", 0) or at or now
            if isinstance(event, ev.LinesRead) and event.end.is_client and event.end.conn.request is None:
                with self.lock:
                    self.door.record_wait(now, now - at)
            for effect in self.step(event, at):
                self.carry_out(effect)

    def next(self, left):
        """What comes next from the queue within so many seconds."""
        try:
            return self.events.get(timeout=left) if left > 0 else self.events.get_nowait()
        except queue.Empty:
            return 0, ev.Tick()

    def step(self, event, at=0):
        """One step of the reducer.

        Our own fault stands in the log with its trace, and costs one connection.
        """
        self.steps += 1
        try:
            return self.reducer.step(self.clock.now(), event, at)
        except Exception:
            log.exception("fault", extra={"pairs": {"while": type(event).__name__}})
        return self.reducer.after_fault(event)

    def carry_out(self, effect):
        if isinstance(effect, ev.Log):
            if effect.event == "closed":
                self.ended[effect.pairs["reason"]] += 1
            log.log(logging.getLevelName(effect.level.upper()), effect.event, extra={"pairs": effect.pairs})
        elif isinstance(effect, ev.FollowList):
            self.discovery.enabled.set()
        elif isinstance(effect, ev.Transfer):
            self.giver.orders.put(effect)
        elif isinstance(effect, ev.Exit):
            self.finish()
        else:
            self.workers.carry_out(effect)

    def finish(self):
        self.finished = True
        self.discovery.stop()
        if self.admin:
            self.admin.stop()
        if self.admission:
            self.admission.end()  # who accepts may wait for room in the reducer's queue
            until = time.monotonic() + LAST_ACCEPTS
            while not self.admission.ended.wait(LAST_ACCEPTS / 20) and time.monotonic() < until:
                self.refuse_unknown()
        self.refuse_unknown()
        self.hold_up_nobody()
        self.workers.carry_out(ev.DiscardUnread())
        self.closer.stop()
        self.workers.writes.put(None)  # the last answers go out before the process may end

    def hold_up_nobody(self):
        """After the last step nothing is taken from the queue: the writer waited for room there for ever."""
        with self.events.mutex:
            self.events.maxsize = sys.maxsize
            self.events.not_full.notify_all()

    def refuse_unknown(self):
        """After the last step: who was accepted and is not known to the reducer."""
        while True:
            try:
                event = self.events.get_nowait()[1]
            except queue.Empty:
                break
            if isinstance(event, ev.ClientAccepted) and event.end.worker is not None:
                self.workers.carry_out(ev.Write(event.end, lines.busy_line(self.reducer.retry_after())))
                self.workers.carry_out(ev.ShutdownWrite(event.end))

    # What `admission.Admission` asks of its gate

    def max_pending(self):
        """How many clients may wait for their first line now: no more than a part, and none where calls need
        the descriptors."""
        return min(self.most // PENDING_CLIENTS_DIVISOR, self.most + SPARE_ENDS // 4 - len(self.workers.live))

    def stopping(self):
        """Whether the node was asked to end."""
        return bool(self.reducer.stopping)

    def admit(self, client, first):
        """A client has said its first line."""
        if not self.may_admit(first):
            self.refuse(client.sock, "node-late")
            return
        end = ev.ConnectionEnd(True)
        # What has come and is not yet in the reducer's count: hundreds at once would pass the limit.
        room = len(self.workers.live) < self.most + SPARE_ENDS // 4
        if not room or not self.workers.begin(end, client.sock):
            self.refuse(client.sock, "no-room-at-all", 0)
            return
        self.post(ev.ClientAccepted(end, client.accepted_at))

    def may_admit(self, first):
        """Whether there is time for it. The door is for calls: a front that asks whether the node serves is
        told so however late the node is."""
        if first.startswith(lines.PING):
            return True
        with self.lock:
            admitted = self.door.admits(self.clock.now())
        return admitted and not self.events.full()  # whoever accepts waits for nobody

    def refuse(self, sock, reason, retry_after=None):
        """No room or no time for its call. Of its first line only the type is read, for the figures.
        `retry_after`: microseconds; None: as the settings say."""
        after = self.reducer.retry_after() if retry_after is None else retry_after
        try:
            sock.send(lines.busy_line(after), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        with contextlib.suppress(OSError):  # it has not come yet
            self.reducer.counters.count_refused_on_accept(
                lines.traffic_type_name(sock.recv(4096, socket.MSG_DONTWAIT))
            )
        self.closer.add(sock)
        self.ended[reason] += 1
        log.info("closed", extra={"pairs": {"reason": reason}})
