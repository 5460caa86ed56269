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
from cottonspread.net import admin, connection_transfer, discovery, lines, workers
from cottonspread.net import events as ev
from cottonspread.net.admission import Admission
from cottonspread.net.closing import Closer
from cottonspread.net.pool import BufferPool
from cottonspread.net.reducer import WAITING_PART, Reducer

log = logging.getLogger("cottonspread.node")

EVENT_QUEUE_SIZE = 4096  # events; workers wait when it is full
BACKLOG = 1024
FINAL_ACCEPT_TIME = 0.2  # seconds at the end in which the accepting thread turns away whoever is left
# How a call ends that was lost or turned away: what an upgrade may not bring more of (docs/on-call.md)
FAILURE_REASONS = {
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
NO_CALL_REASONS = {"ping", "no-first-line", "not-ready"}
SPARE_DESCRIPTORS = 32  # descriptors for the listener, discovery, logs, and to turn clients away with
BASE_MB, CONNECTION_END_KB = 24, 32  # memory of a node without connections, and of one end


class Clock:
    """Unix time in microseconds that never goes back."""

    def __init__(self):
        self.offset = time.time() - time.monotonic()

    def now(self):
        return int((time.monotonic() + self.offset) * 1_000_000)


def socket_limit(resource_limits, operator=None):
    """How many connections, clients' and hosts', fit into descriptors and memory."""
    spare = SPARE_DESCRIPTORS + (admin.RESERVED_DESCRIPTORS if operator else 0)
    return max(
        2,
        min(
            resource_limits.sockets - spare, (resource_limits.memory_mb - BASE_MB) * 1024 // CONNECTION_END_KB
        ),
    )


def admission_target(begin):
    """How long first lines may lie here: see `AdmissionLimiter`."""
    return min(t.setup_target for t in begin.types) // 4


def watch_at_once(begin, listed, follows):
    """Whether a known list is watched at once: a process that `follows`
    another waits for a list told to itself.
    """
    return begin.server_list.polled and not follows and bool(listed.entries)


def reloadable(begin, was):
    """Settings that a node which runs takes over: what cannot change then stays as it was, in all parts."""
    return replace(
        begin,
        server_list=replace(begin.server_list, polled=was.server_list.polled),
        dynamic_weights=was.dynamic_weights,
    )


def grow_descriptor_table(sockets):
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
        self,
        endpoints,
        resource_limits,
        names,
        host_protocol,
        begin,
        initial_list,
        on_list=None,
        on_ended=lambda: None,
    ):
        """`on_list(version, instances, whole)`, if given, is told each list as JSON, in discovery's thread;
        `on_ended()` is called once, when all is done.
        """
        self.endpoints, self.resource_limits, self.clock = endpoints, resource_limits, Clock()
        self.events, self.done = queue.Queue(EVENT_QUEUE_SIZE), threading.Event()
        self.max_sockets = self.max_sockets_alone = socket_limit(resource_limits, endpoints.operator)
        self.workers = workers.Workers(
            BufferPool(), self.post, self.clock.now, lambda: (self.done.set(), on_ended())
        )
        self.limiter_lock, self.admission_limiter = (
            threading.Lock(),
            AdmissionLimiter(admission_target(begin)),
        )
        version, listed, addresses, unread = discovery.read_list(initial_list, names, ListUpdateKind.SAVED)
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            begin.server_list.polled,
            on_list,
            watch_at_once(begin, listed, on_list is not None),
        )
        self.reducer = Reducer(self.clock.now(), begin, names, host_protocol, self.max_sockets)
        self.discovery.start_with(
            listed, addresses, unread, trusted=begin.server_list.polled or on_list is not None
        )
        self.listener, self.shared, self.steps, self.end_reasons = None, False, 0, Counter()
        self.closer = Closer(self.max_closing)
        self.admission, self.finished = None, False
        # `urgent_events`: events that no full queue may hold up
        self.admin, self.urgent_events = None, queue.SimpleQueue()
        self.connection_sender = None  # passes standing connections on

    def max_closing(self):
        """How many that were turned away may be read to their end at a time."""
        waiting = len(self.admission.pending) if self.admission else 0
        return max(SPARE_DESCRIPTORS // 4, self.max_sockets - len(self.workers.live) - waiting)

    def post(self, event):
        self.events.put((self.clock.now(), event))

    def start(self, listener=None):
        """`listener`: a socket that another process keeps too and that listens already;
        nothing is taken from it before `start_accepting`.
        """
        self.shared = listener is not None
        self.listener = listener or socket.create_server(self.endpoints.listen, backlog=BACKLOG)
        self.admin = (
            admin.Admin(self.endpoints.operator, self.answer_command) if self.endpoints.operator else None
        )
        # What came before it was accepted is stamped too: a client's time runs from when its line was here.
        self.listener.setsockopt(socket.SOL_SOCKET, lines.SO_TIMESTAMPNS, 1)
        grow_descriptor_table(self.resource_limits.sockets)
        # Before there are threads: said after, the list's first word could stand in the log before it.
        log.info(
            "listening",
            extra={
                "pairs": {
                    "address": "{}:{}".format(*self.listener.getsockname()[:2]),
                    "most_ends": self.max_sockets,
                }
            },
        )
        self.workers.start()
        workers.start_thread(self.closer.run)
        if self.admin:
            workers.start_thread(self.admin.run, stack=workers.LARGE_STACK_SIZE)
        for target in (self.run_reducer, self.discovery.run):
            workers.start_thread(target, stack=workers.LARGE_STACK_SIZE)
        if not self.shared:
            self.start_accepting()

    def is_serving(self):
        """Whether connections are taken from the listener, and there is a server to send them to."""
        return self.reducer.listed and not self.reducer.stopping and self.admission is not None

    def answer_command(self, command):
        """The answer to an operator's call; in the thread of their address, which may wait for nothing."""
        if command == "health":
            return b"200 yes\n" if self.is_serving() else b"400 no\n"
        if command == "counters":
            return b"200 the figures\n%sEOF\n" % self.reducer.counters.text(len(self.reducer.by_id)).encode()
        if command not in ("quiesce", "resume"):
            return b"400 known calls: health, counters, quiesce, resume\n"
        if self.reducer.stopping:
            return b"400 stopping\n"
        self.post_urgent(ev.DrainAsked(command == "quiesce"))
        return b"200 draining\n" if command == "quiesce" else b"200 serving\n"

    def post_urgent(self, event):
        """For the reducer before all that waits in its queue, and without waiting for room there."""
        self.urgent_events.put((self.clock.now(), event))
        with contextlib.suppress(queue.Full):  # it is awake
            self.events.put_nowait((self.clock.now(), ev.Tick()))  # wakes it

    def change_discovery(self, address, refetch=False):
        """Another discovery from now on, or the whole list of this one anew;
        the list, calls and connections stay.
        """
        if refetch or address != self.endpoints.discovery:
            self.endpoints = replace(self.endpoints, discovery=address)
            self.discovery.change_address(address)

    def start_accepting(self):
        """Take connections from the listener from now on."""
        self.admission = Admission(self.listener, self.shared, self.clock.now, self)
        self.admission.start()

    def inherit_state(self, state):
        """Before `start_accepting`: what the process before this one hands over."""
        self.limit_sockets(state.room)
        self.post(ev.Inherited(state))

    def limit_sockets(self, limit):
        """While two processes share the limits of one; None: alone again."""
        self.max_sockets = self.reducer.most_ends = min(
            limit or self.max_sockets_alone, self.max_sockets_alone
        )

    def hand_over_state(self, wait=0.5):
        """What a successor is to know, or None if the reducer is too late to tell."""
        reply = queue.SimpleQueue()
        self.post_urgent(ev.HandOverAsked(reply.put))
        try:
            state = reply.get(timeout=wait)
        except queue.Empty:
            return None
        self.max_sockets = self.reducer.most_ends
        return state

    def reload(self, endpoints, resource_limits, names, host_protocol, begin):
        """Another configuration from now on: list, calls and connections stay."""
        begin = reloadable(begin, self.reducer.begin)
        renamed = (names.zones, names.kinds) != (self.discovery.names.zones, self.discovery.names.kinds)
        self.discovery.names = names
        self.post_urgent(ev.Retuned(begin, names, host_protocol))
        with self.limiter_lock:
            self.admission_limiter.target = admission_target(begin)
        self.change_discovery(endpoints.discovery, renamed)

    def adopt_connection(self, standing, client, host):
        """A standing connection of the process before this one, with its two sockets. Whether it is taken."""
        ends = ev.End(True), ev.End(False)
        for end, sock in zip(ends, (client, host), strict=True):
            if not self.workers.start_worker(end, sock):
                for left in (client, host):
                    left.close()
                return False
        reply = queue.SimpleQueue()
        self.post(ev.Adopted(*ends, standing, reply.put))
        taken = reply.get()  # however late: the reducer alone knows whether it has it
        if taken:  # its room comes with it
            self.limit_sockets(self.max_sockets + 2)
        return taken

    def shut_down(self, handed, successor=None):
        """Take no more, and stop.

        What is in the queue of the listener is another's: a successor's (`handed`), or the supervisor's.
        `successor`: a connection to a successor that takes standing ones too.
        """
        if self.admission:
            self.admission.stop_accepting()
        if successor:
            self.connection_sender = connection_transfer.ConnectionSender(successor, self.post)
            workers.start_thread(self.connection_sender.run, stack=workers.LARGE_STACK_SIZE)
        self.post(ev.StopAsked(handed, successor is not None))

    def ping(self, wait=1.0):
        """Whether a PING is answered: by the reducer and the workers as a client's
        is, on a pair of sockets of its own.
        """
        ours, theirs = socket.socketpair()
        with ours:
            ours.settimeout(wait)
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, workers.RCVTIMEO)
            end = ev.End(True)
            if not self.workers.start_worker(end, theirs):
                theirs.close()
                return False
            self.post(ev.Came(end))
            try:
                ours.sendall(lines.PING + b"\r\n")
                return ours.recv(16) == lines.PONG
            except OSError:
                return False

    def status(self):
        """What is told of a node that runs: whole numbers, and `listed`,
        whether it knows a server that is ready.
        """
        reducer, ended = self.reducer, dict(self.end_reasons)
        return {
            "steps": self.steps,
            "listed": reducer.listed,
            "list": self.discovery.version,
            "connections": len(reducer.conns),
            "calls": len(reducer.by_id),
            "ended": sum(n for reason, n in ended.items() if reason not in NO_CALL_REASONS),
            "bad": sum(n for reason, n in ended.items() if reason in FAILURE_REASONS),
        }

    def stop(self):
        """Before all that waits: the platform's time runs from here, whatever lies in the queue."""
        self.post_urgent(ev.StopAsked())

    def join(self, wait=None):
        return self.done.wait(wait)

    def run_reducer(self):
        """The one thread that runs the reducer."""
        while not self.finished:
            left = (self.reducer.due() - self.clock.now()) / 1e6
            try:
                at, event = self.urgent_events.get_nowait()
            except queue.Empty:
                at, event = self.next_event(left)
            now = self.clock.now()
            at = getattr(event, "at", 0) or at or now
            if isinstance(event, ev.Got) and event.end.client and event.end.conn.opening is None:
                with self.limiter_lock:
                    self.admission_limiter.record_wait(now, now - at)
            for effect in self.step(event, at):
                self.execute(effect)

    def next_event(self, left):
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

    def execute(self, effect):
        if isinstance(effect, ev.Say):
            if effect.event == "closed":
                self.end_reasons[effect.pairs["reason"]] += 1
            log.log(logging.getLevelName(effect.level.upper()), effect.event, extra={"pairs": effect.pairs})
        elif isinstance(effect, ev.FollowList):
            self.discovery.enabled.set()
        elif isinstance(effect, ev.Pass):
            self.connection_sender.orders.put(effect)
        elif isinstance(effect, ev.Stop):
            self.close_all()
        else:
            self.workers.execute(effect)

    def close_all(self):
        self.finished = True
        self.discovery.stop()
        if self.admin:
            self.admin.stop()
        if self.admission:
            self.admission.end()  # who accepts may wait for room in the reducer's queue
            until = time.monotonic() + FINAL_ACCEPT_TIME
            while not self.admission.ended.wait(FINAL_ACCEPT_TIME / 20) and time.monotonic() < until:
                self.refuse_unknown()
        self.refuse_unknown()
        self.unblock_posters()
        self.workers.execute(ev.Quit())
        self.closer.stop()
        self.workers.write_queue.put(None)  # the last answers go out before the process may end

    def unblock_posters(self):
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
            if isinstance(event, ev.Came) and event.end.worker is not None:
                self.workers.execute(ev.Write(event.end, lines.busy(self.reducer.retry_after())))
                self.workers.execute(ev.Finish(event.end))

    # What `admission.Admission` asks of its gate

    def max_pending(self):
        """How many clients may wait for their first line now: no more than a part, and none where calls need
        the descriptors."""
        return min(
            self.max_sockets // WAITING_PART,
            self.max_sockets + SPARE_DESCRIPTORS // 4 - len(self.workers.live),
        )

    def stopping(self):
        """Whether the node was asked to end."""
        return bool(self.reducer.stopping)

    def admit(self, client, first):
        """A client has said its first line."""
        if not self.may_admit(first):
            self.refuse(client.sock, "node-late")
            return
        end = ev.End(True)
        # What has come and is not yet in the reducer's count: hundreds at once would pass the limit.
        room = len(self.workers.live) < self.max_sockets + SPARE_DESCRIPTORS // 4
        if not room or not self.workers.start_worker(end, client.sock):
            self.refuse(client.sock, "no-room-at-all", 0)
            return
        self.post(ev.Came(end, client.accepted_at))

    def may_admit(self, first):
        """Whether there is time for it. The door is for calls: a front that asks whether the node serves is
        told so however late the node is."""
        if first.startswith(lines.PING):
            return True
        with self.limiter_lock:
            admitted = self.admission_limiter.admits(self.clock.now())
        return admitted and not self.events.full()  # whoever accepts waits for nobody

    def refuse(self, sock, reason, retry_after=None):
        """No room or no time for its call. Of its first line only the type is read, for the figures.
        `retry_after`: microseconds; None: as the settings say."""
        after = self.reducer.retry_after() if retry_after is None else retry_after
        try:
            sock.send(lines.busy(after), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        with contextlib.suppress(OSError):  # it has not come yet
            self.reducer.counters.count_refused_on_accept(
                lines.type_named(sock.recv(4096, socket.MSG_DONTWAIT))
            )
        self.closer.add(sock)
        self.end_reasons[reason] += 1
        log.info("closed", extra={"pairs": {"reason": reason}})
