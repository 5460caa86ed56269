"""A node: connects the reducer, the worker threads, discovery and the listening socket. Can be embedded."""

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
from cottonspread.net.id_sharing import IdSharing
from cottonspread.net.pool import BufferPool
from cottonspread.net.reducer import PENDING_CLIENTS_DIVISOR, Reducer

log = logging.getLogger("cottonspread.node")

EVENT_QUEUE_SIZE = 4096  # events; worker threads block while it is full
BACKLOG = 1024
FINAL_ACCEPT_TIME = 0.2  # seconds at the end in which the accepting thread refuses the remaining clients
# Reason codes of calls that were lost or refused. An upgrade must not increase their share (docs/on-call.md).
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
SPARE_DESCRIPTORS = 32  # for the listener, discovery, logs, and for refusing clients
BASE_MB, CONNECTION_END_KB = 24, 32  # memory of a node without connections, and of one connection end
RECORD_BYTES = 400  # memory of a key that is remembered
MIN_RECORDS = 2_000  # at any limit on memory: clients that come again within seconds are known


class Clock:
    """Unix time in microseconds that never goes back."""

    def __init__(self):
        """Starts at the system's current time."""
        self.offset = time.time() - time.monotonic()

    def now(self):
        """The current time."""
        return int((time.monotonic() + self.offset) * 1_000_000)


def socket_limit(resource_limits, operator=None):
    """How many sockets, to clients and to hosts, the limits on descriptors and memory allow."""
    spare = SPARE_DESCRIPTORS + (admin.RESERVED_DESCRIPTORS if operator else 0)
    return max(
        2,
        min(
            resource_limits.sockets - spare, (resource_limits.memory_mb - BASE_MB) * 1024 // CONNECTION_END_KB
        ),
    )


def record_limit(resource_limits, sockets):
    """How many keys, and ids of ended calls, the memory that connections leave allows to remember.

    `sockets`: as many connection ends as the node may have.
    """
    memory_kb = (resource_limits.memory_mb - BASE_MB) * 1024 - sockets * CONNECTION_END_KB
    return max(MIN_RECORDS, memory_kb * 1024 // RECORD_BYTES)


def admission_target(node_config):
    """The target for the time that first lines wait here, see `AdmissionLimiter`."""
    return min(t.setup_target for t in node_config.types) // 4


def watch_at_once(node_config, update, has_predecessor):
    """Whether to watch the initial list from its version on. A process that has a predecessor requests
    the full list instead.
    """
    return node_config.server_list.polled and not has_predecessor and bool(update.entries)


def reloadable(node_config, current):
    """The new settings, with the old values of those that cannot change while the node runs."""
    return replace(
        node_config,
        server_list=replace(node_config.server_list, polled=current.server_list.polled),
        dynamic_weights=current.dynamic_weights,
    )


def grow_descriptor_table(sockets):
    """Grows the kernel's descriptor table to its full size before threads are started.

    Each later growth blocks the thread that opens the next descriptor, possibly the reducer's, for 10 to 25
    ms, because the kernel synchronises with every core.
    """
    with contextlib.suppress(OSError):  # no descriptor 0, or a lower limit: it grows when needed
        os.close(
            fcntl.fcntl(0, fcntl.F_DUPFD, min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - 1)
        )


class Node:
    """`start` returns once the node listens; `stop` asks it to end; `join` waits until it has ended."""

    def __init__(
        self,
        endpoints,
        resource_limits,
        names,
        host_protocol,
        node_config,
        initial_list,
        on_list=None,
        on_ended=lambda: None,
    ):
        """`on_list(version, instances, full)`, if given, gets each list as JSON, in discovery's thread.

        `on_ended()` is called once, when the node has ended.
        """
        self.endpoints, self.resource_limits, self.clock = endpoints, resource_limits, Clock()
        self.events, self.done = queue.Queue(EVENT_QUEUE_SIZE), threading.Event()
        self.max_sockets = self.max_sockets_alone = socket_limit(resource_limits, endpoints.operator)
        self.workers = workers.Workers(
            BufferPool(), self.post, self.clock.now, lambda: (self.done.set(), on_ended())
        )
        self.limiter_lock, self.admission_limiter = (
            threading.Lock(),
            AdmissionLimiter(admission_target(node_config)),
        )
        version, update, addresses, invalid = discovery.read_list(initial_list, names, ListUpdateKind.SAVED)
        self.discovery = discovery.Discovery(
            endpoints.discovery,
            names,
            self.post,
            version,
            node_config.server_list.polled,
            on_list,
            watch_at_once(node_config, update, on_list is not None),
        )
        node_config = replace(node_config, max_remembered=record_limit(resource_limits, self.max_sockets))
        self.reducer = Reducer(self.clock.now(), node_config, names, host_protocol, self.max_sockets)
        self.discovery.start_with(
            update, addresses, invalid, trusted=node_config.server_list.polled or on_list is not None
        )
        self.listener, self.shared, self.steps, self.end_reasons = None, False, 0, Counter()
        self.closer = Closer(self.max_closing)
        self.admission, self.finished = None, False
        # `urgent_events`: events that must not be delayed by a full queue
        self.admin, self.urgent_events = None, queue.SimpleQueue()
        self.connection_sender = None  # transfers established connections to a successor
        self.id_sharing = IdSharing(
            self.reducer.call_ids.max_ended, resource_limits.memory_mb, self.post_urgent
        )

    def max_closing(self):
        """How many refused clients may be in lingering close at a time."""
        waiting = len(self.admission.pending) if self.admission else 0
        return max(SPARE_DESCRIPTORS // 4, self.max_sockets - len(self.workers.live) - waiting)

    def post(self, event):
        """Queues an event for the reducer; blocks while the queue is full."""
        self.events.put((self.clock.now(), event))

    def start(self, listener=None):
        """`listener`: a listening socket shared with another process; nothing is accepted from it before
        `start_accepting`.
        """
        self.shared = listener is not None
        self.listener = listener or socket.create_server(self.endpoints.listen, backlog=BACKLOG)
        self.admin = (
            admin.Admin(self.endpoints.operator, self.answer_command) if self.endpoints.operator else None
        )
        # Also timestamps data received before the accept: a client's time starts when its line arrived.
        self.listener.setsockopt(socket.SOL_SOCKET, lines.SO_TIMESTAMPNS, 1)
        grow_descriptor_table(self.resource_limits.sockets)
        # Before threads start: otherwise the first list could be logged before it.
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
        """Whether connections are accepted and there is a server to send them to."""
        return self.reducer.has_hosts and not self.reducer.stopping and self.admission is not None

    def answer_command(self, command):
        """Answers an operator's command. Runs in the thread of that address, so it must not block."""
        if command == "health":
            return b"200 yes\n" if self.is_serving() else b"400 no\n"
        if command == "counters":
            return (
                b"200 the figures\n%sEOF\n"
                % self.reducer.counters.text(len(self.reducer.call_ids.open)).encode()
            )
        if command not in ("quiesce", "resume"):
            return b"400 known calls: health, counters, quiesce, resume\n"
        if self.reducer.stopping:
            return b"400 stopping\n"
        self.post_urgent(ev.DrainRequested(command == "quiesce"))
        return b"200 draining\n" if command == "quiesce" else b"200 serving\n"

    def post_urgent(self, event):
        """Queues an event ahead of all others, without blocking on a full queue."""
        self.urgent_events.put((self.clock.now(), event))
        with contextlib.suppress(queue.Full):  # then the reducer is awake already
            self.events.put_nowait((self.clock.now(), ev.Tick()))  # wakes it

    def change_discovery(self, address, refetch=False):
        """Switches to another discovery address, or fetches the full list again from the current one.

        The list, calls and connections stay.
        """
        if refetch or address != self.endpoints.discovery:
            self.endpoints = replace(self.endpoints, discovery=address)
            self.discovery.change_address(address)

    def start_accepting(self):
        """Starts accepting connections from the listener."""
        self.admission = Admission(self.listener, self.shared, self.clock.now, self)
        self.admission.start()

    def inherit_state(self, state):
        """Takes over the state of the previous process. Called before `start_accepting`."""
        self.limit_sockets(state.room)
        self.post(ev.StateInherited(state))

    def limit_sockets(self, limit):
        """Limits the sockets while two processes share the limits of one; None: no other process any more."""
        self.max_sockets = self.reducer.max_sockets = min(
            limit or self.max_sockets_alone, self.max_sockets_alone
        )

    def hand_over_state(self, wait=0.5):
        """The state for a successor, or None if the reducer does not answer in time."""
        reply = queue.SimpleQueue()
        self.post_urgent(ev.HandOverRequested(reply.put))
        try:
            state = reply.get(timeout=wait)
        except queue.Empty:
            return None
        self.max_sockets = self.reducer.max_sockets
        return state

    def reload(self, endpoints, resource_limits, names, host_protocol, node_config):
        """Applies another configuration; the list, calls and connections stay."""
        node_config = reloadable(node_config, self.reducer.config)
        renamed = names.kinds != self.discovery.names.kinds
        self.discovery.names = names
        self.post_urgent(ev.SettingsReloaded(node_config, names, host_protocol))
        with self.limiter_lock:
            self.admission_limiter.target = admission_target(node_config)
        self.change_discovery(endpoints.discovery, renamed)

    def adopt_connection(self, connection, client, host):
        """Takes over an established connection of the previous process, with its two sockets.

        Returns whether it did.
        """
        ends = ev.ConnectionEnd(True), ev.ConnectionEnd(False)
        for end, sock in zip(ends, (client, host), strict=True):
            if not self.workers.start_worker(end, sock):
                for received in (client, host):
                    received.close()
                return False
        reply = queue.SimpleQueue()
        self.post(ev.TransferOffered(*ends, connection, reply.put))
        adopted = reply.get()  # without a timeout: only the reducer knows whether it took the connection
        if adopted:  # its share of the socket limit comes with it
            self.limit_sockets(self.max_sockets + 2)
        return adopted

    def shut_down(self, has_successor, successor=None):
        """Stops accepting and ends the node. The listener's queue is left to a successor (`has_successor`) or
        to the supervisor.

        `successor`: a socket connected to a successor that also takes established connections.
        """
        if self.admission:
            self.admission.stop_accepting()
        if successor:
            self.connection_sender = connection_transfer.ConnectionSender(successor, self.post)
            workers.start_thread(self.connection_sender.run, stack=workers.LARGE_STACK_SIZE)
        self.post(ev.StopRequested(has_successor, successor is not None))

    def ping(self, wait=1.0):
        """Whether the reducer and the workers answer a PING, sent like a client's over a socket pair."""
        ours, theirs = socket.socketpair()
        with ours:
            ours.settimeout(wait)
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, workers.RCVTIMEO)
            end = ev.ConnectionEnd(True)
            if not self.workers.start_worker(end, theirs):
                theirs.close()
                return False
            self.post(ev.ClientAccepted(end))
            try:
                ours.sendall(lines.PING + b"\r\n")
                return ours.recv(16) == lines.PONG
            except OSError:
                return False

    def status(self):
        """The node's state for the supervisor: counts, and `listed`, whether it knows a server that is up."""
        reducer, ended = self.reducer, dict(self.end_reasons)
        return {
            "steps": self.steps,
            "listed": reducer.has_hosts,
            "list": self.discovery.version,
            "connections": len(reducer.conns),
            "calls": len(reducer.call_ids.open),
            "ended": sum(n for reason, n in ended.items() if reason not in NO_CALL_REASONS),
            "bad": sum(n for reason, n in ended.items() if reason in FAILURE_REASONS),
        }

    def stop(self):
        """Asks the node to end, ahead of all queued events: the platform's time limit has started."""
        self.post_urgent(ev.StopRequested())

    def join(self, wait=None):
        """Waits up to `wait` seconds, or for ever, until the node has ended; returns whether it has."""
        return self.done.wait(wait)

    def run_reducer(self):
        """The thread that runs the reducer."""
        while not self.finished:
            timeout = (self.reducer.due() - self.clock.now()) / 1e6
            try:
                event_time, event = self.urgent_events.get_nowait()
            except queue.Empty:
                event_time, event = self.next_event(timeout)
            now = self.clock.now()
            event_time = getattr(event, "at", 0) or event_time or now
            if isinstance(event, ev.LinesRead) and event.end.is_client and event.end.conn.request is None:
                with self.limiter_lock:
                    self.admission_limiter.record_wait(now, now - event_time)
            for effect in self.step(self.id_sharing.complete(event), event_time):
                self.execute(effect)

    def next_event(self, timeout):
        """The next queued event with its time, or a tick after `timeout` seconds."""
        try:
            return self.events.get(timeout=timeout) if timeout > 0 else self.events.get_nowait()
        except queue.Empty:
            return 0, ev.Tick()

    def step(self, event, event_time=0):
        """Makes one step of the reducer and returns its effects.

        A bug in it is logged with its traceback and costs one connection.
        """
        self.steps += 1
        try:
            return self.reducer.step(self.clock.now(), event, event_time)
        except Exception:
            log.exception("fault", extra={"pairs": {"while": type(event).__name__}})
        return self.reducer.handle_exception(event)

    def execute(self, effect):
        """Executes one effect of the reducer."""
        if isinstance(effect, ev.Log):
            if effect.event == "closed":
                self.end_reasons[effect.pairs["reason"]] += 1
            log.log(logging.getLevelName(effect.level.upper()), effect.event, extra={"pairs": effect.pairs})
        elif isinstance(effect, ev.FollowList):
            self.discovery.enabled.set()
        elif isinstance(effect, ev.Transfer):
            self.connection_sender.transfers.put(effect)
        elif isinstance(effect, ev.Exit):
            self.close_all()
        else:
            self.workers.execute(effect)

    def close_all(self):
        """Closes everything after the reducer's last step."""
        self.finished = True
        self.discovery.stop()
        if self.admin:
            self.admin.stop()
        if self.admission:
            self.admission.end()  # its thread may be blocked on the full event queue
            deadline = time.monotonic() + FINAL_ACCEPT_TIME
            while not self.admission.ended.wait(FINAL_ACCEPT_TIME / 20) and time.monotonic() < deadline:
                self.refuse_unknown()
        self.refuse_unknown()
        self.unblock_posters()
        self.workers.execute(ev.DiscardUnread())
        self.closer.stop()
        self.workers.write_queue.put(None)  # the last answers are sent before the process may exit

    def unblock_posters(self):
        """Removes the limit of the event queue after the last step: nothing is taken from it any more, and
        the writer thread would block on it for ever.
        """
        with self.events.mutex:
            self.events.maxsize = sys.maxsize
            self.events.not_full.notify_all()

    def refuse_unknown(self):
        """After the last step, refuses clients that were accepted but are not known to the reducer."""
        while True:
            try:
                event = self.events.get_nowait()[1]
            except queue.Empty:
                break
            if isinstance(event, ev.ClientAccepted) and event.end.worker is not None:
                self.workers.execute(ev.Write(event.end, lines.busy_line(self.reducer.retry_after())))
                self.workers.execute(ev.ShutdownWrite(event.end))

    # The methods of `admission.AdmissionHandler`

    def max_pending(self):
        """How many clients may be pending now: at most a part of the limit, and none when calls need the
        descriptors.
        """
        return min(
            self.max_sockets // PENDING_CLIENTS_DIVISOR,
            self.max_sockets + SPARE_DESCRIPTORS // 4 - len(self.workers.live),
        )

    def stopping(self):
        """Whether the node was asked to stop."""
        return bool(self.reducer.stopping)

    def admit(self, client, first_input):
        """Passes a client that has sent its first line to the reducer, or refuses it."""
        if not self.may_admit(first_input):
            self.refuse(client.sock, "node-late")
            return
        end = ev.ConnectionEnd(True)
        # Counts clients that the reducer does not know yet: a burst of hundreds would exceed the limit.
        room = len(self.workers.live) < self.max_sockets + SPARE_DESCRIPTORS // 4
        if not room or not self.workers.start_worker(end, client.sock):
            self.refuse(client.sock, "no-room-at-all", 0)
            return
        self.post(ev.ClientAccepted(end, client.accepted_at))

    def may_admit(self, first_input):
        """Whether the node is fast enough for another call. A PING is always admitted: a load balancer in
        front that asks whether the node serves gets its answer however late the node is.
        """
        if first_input.startswith(lines.PING):
            return True
        with self.limiter_lock:
            admitted = self.admission_limiter.admits(self.clock.now())
        return admitted and not self.events.full()  # the accepting thread must not block

    def refuse(self, sock, reason, retry_after=None):
        """Refuses a client with BUSY. Only the type is read from its first line, for the counters.

        `retry_after`: microseconds; None: as in the settings.
        """
        after = self.reducer.retry_after() if retry_after is None else retry_after
        try:
            sock.send(lines.busy_line(after), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        with contextlib.suppress(OSError):  # the line has not arrived yet
            self.reducer.counters.count_refused_on_accept(
                lines.traffic_type_name(sock.recv(4096, socket.MSG_DONTWAIT))
            )
        self.closer.add(sock)
        self.end_reasons[reason] += 1
        log.info("closed", extra={"pairs": {"reason": reason}})
