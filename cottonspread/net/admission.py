"""Accepts clients and admits them to the reducer once they have sent a whole first line.

One thread accepts connections and polls those without a whole line. It never blocks on a client or on a full
queue. A client that sends nothing, or half a line, costs one descriptor and one entry in `PendingClients`,
but no thread and no step of the reducer. So many such clients cannot hold a client with a whole line in the
listener's queue past its deadline. Input is only peeked at; the connection's reader gets all of it later.
"""

import contextlib
import errno
import logging
import select
import socket
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from cottonspread.net import pool, workers
from cottonspread.net.drain import LATE_ARRIVAL_TIME
from cottonspread.net.reducer import FIRST_LINE_TIMEOUT

log = logging.getLogger("cottonspread.node")

CHECK_INTERVAL = 0.1  # seconds between two checks for clients past their timeout
ACCEPT_BATCH = 64  # connections accepted before pending clients are polled again
DESCRIPTOR_RETRY_DELAY = 0.05  # seconds to wait for free descriptors after a failed accept


@dataclass(eq=False)
class PendingClient:
    """A client that has not sent a whole line."""

    sock: socket.socket
    accepted_at: int  # microseconds of the node's clock


class PendingClients:
    """Clients without a whole first line, oldest first. Does not touch their sockets."""

    def __init__(self):
        """Starts empty."""
        self.clients = OrderedDict()  # by descriptor

    def __len__(self):
        """How many are pending."""
        return len(self.clients)

    def add(self, fd, client):
        """Adds a client; `fd`: its descriptor."""
        self.clients[fd] = client

    def remove(self, fd):
        """Removes and returns the client with this descriptor, or None."""
        return self.clients.pop(fd, None)

    def remove_oldest(self):
        """Removes and returns the oldest client."""
        return self.clients.popitem(last=False)[1]

    def remove_overdue(self, now, timeout):
        """Removes and yields the clients that have waited longer than `timeout` microseconds."""
        while self.clients and now - next(iter(self.clients.values())).accepted_at > timeout:
            yield self.remove_oldest()

    def remove_excess(self, limit):
        """Removes and yields the oldest clients until `limit` are left."""
        while len(self.clients) > max(0, limit):
            yield self.remove_oldest()


class AdmissionHandler(Protocol):
    """What the node decides about clients. Called by the accepting thread, so it must not block."""

    def max_pending(self):
        """How many clients may be pending now."""

    def stopping(self):
        """Whether the node was asked to stop."""

    def admit(self, client, first_input):
        """Takes over a client that has sent `first_input`: a whole line, or input that cannot become one."""

    def refuse(self, sock, reason, retry_after=None):
        """Answers BUSY and closes the socket; `reason`: the code for the log."""


def is_complete(data):
    """Whether the data contain a whole line, or are too long for one."""
    return b"\n" in data or len(data) >= pool.BUFFER_SIZE


class Admission:
    """The accepting thread of a listener. `stop_accepting` and `end` may be called from any thread."""

    READY = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET

    def __init__(self, listener, shared, clock, handler):
        """`shared`: other processes accept from the listener too and get what is left in its queue."""
        self.listener, self.shared, self.clock, self.handler = listener, shared, clock, handler
        self.pending = PendingClients()
        self.poll = select.epoll()
        self.wake_sender, self.wake_receiver = socket.socketpair()
        self.stop_requested = self.end_requested = False
        # Set once `stop_accepting` and `end` have taken effect.
        self.accepting_stopped, self.ended = threading.Event(), threading.Event()

    def start(self):
        """Starts accepting connections."""
        # Non-blocking: another process that shares the listener may accept the connection first.
        self.listener.setblocking(False)
        workers.start_thread(self.run, stack=workers.LARGE_STACK_SIZE)

    def stop_accepting(self):
        """Returns once nothing more is accepted; pending clients may still send their line."""
        self.stop_requested = True
        self.wake_up()
        self.accepting_stopped.wait()

    def end(self):
        """Makes the thread refuse all pending clients and then set `ended`."""
        self.end_requested = True
        self.wake_up()

    def wake_up(self):
        """Wakes the thread from its poll."""
        with contextlib.suppress(OSError):  # the thread has ended
            self.wake_sender.send(b"x", socket.MSG_DONTWAIT)

    def run(self):
        """The thread, until `end`."""
        self.poll.register(self.listener, select.EPOLLIN)
        self.poll.register(self.wake_receiver, select.EPOLLIN)
        try:
            while not self.end_requested:
                self.poll_once()
        finally:
            self.close()

    def poll_once(self):
        """Polls once and handles everything that is ready."""
        accept_ready = False
        for fd, ready in self.poll.poll(CHECK_INTERVAL):
            if fd == self.wake_receiver.fileno():
                self.wake_receiver.recv(64)
            elif fd == self.listener.fileno():
                accept_ready = True
            else:
                self.on_readable(fd, ready)
        if self.stop_requested and not self.accepting_stopped.is_set():
            self.poll.unregister(self.listener)
            self.accepting_stopped.set()
        elif accept_ready and not self.stop_requested:
            self.accept()
        self.refuse_overdue()

    def accept(self):
        """Accepts a batch of connections from the listener's queue."""
        try:
            for _ in range(ACCEPT_BATCH):
                self.on_accepted(self.listener.accept()[0])
        except BlockingIOError:  # the queue is empty
            pass
        except OSError as error:
            log.warning("accept", extra={"pairs": {"why": errno.errorcode.get(error.errno, str(error))}})
            time.sleep(DESCRIPTOR_RETRY_DELAY)

    def on_accepted(self, sock):
        """Handles a new connection, whose line has often arrived already."""
        try:
            workers.prepare(sock)
        except OSError:  # the client has disconnected already
            sock.close()
            return
        client = PendingClient(sock, self.clock())
        if not self.handle_first_line(client, 0):
            self.pending.add(sock.fileno(), client)
            self.poll.register(sock, self.READY)
            for oldest in self.pending.remove_excess(self.handler.max_pending()):
                self.refuse(oldest, "no-first-line")

    def on_readable(self, fd, ready):
        """Handles input from a pending client."""
        client = self.pending.clients.get(fd)
        if client is not None and self.handle_first_line(client, ready):
            self.pending.remove(fd)

    def handle_first_line(self, client, ready):
        """Admits the client if it has sent a whole line or can no longer send one; returns whether it did."""
        try:
            first_input = client.sock.recv(pool.BUFFER_SIZE, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:  # a connection error: the worker that takes over the socket gets it too
            first_input = b""
        if first_input and not is_complete(first_input) and not ready & (select.EPOLLRDHUP | select.EPOLLHUP):
            return False
        if ready:
            self.poll.unregister(client.sock)
        self.handler.admit(client, first_input)
        return True

    def refuse_overdue(self):
        """Refuses clients that have waited too long."""
        timeout = LATE_ARRIVAL_TIME if self.handler.stopping() else FIRST_LINE_TIMEOUT
        for client in self.pending.remove_overdue(self.clock(), timeout):
            self.refuse(client, "no-first-line")

    def refuse(self, client, reason):
        """Refuses a pending client."""
        self.poll.unregister(client.sock)
        self.handler.refuse(client.sock, reason)

    def close(self):
        """Refuses all clients, also those in the listener's queue: closing the listener would reset them,
        although their first line may have arrived.
        """
        for client in self.pending.remove_excess(0):
            self.refuse(client, "stopping")
        if not self.shared and not self.accepting_stopped.is_set():
            with contextlib.suppress(OSError):  # the queue is empty
                while True:
                    self.handler.refuse(self.listener.accept()[0], "stopping")
        self.accepting_stopped.set()
        self.poll.close()
        self.wake_receiver.close()
        self.wake_sender.close()
        if not self.shared:
            self.listener.close()
        self.ended.set()
