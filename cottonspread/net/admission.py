"""Clients on their way from the listener's queue to the reducer: whoever has said a whole first line is let
in, whoever has not waits outside.

One thread accepts and looks what has come. It waits for no client and for no room. A client that says
nothing, or half a line, costs a descriptor and a place in `PendingClients`, neither a thread nor a step of
the reducer: so no crowd of them keeps a client with a whole line in the listener's queue past its deadline. What
comes is only peeked at, and whoever reads the connection later finds all of it.
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
from cottonspread.net.departure import COMING
from cottonspread.net.reducer import FIRST_WAIT

log = logging.getLogger("cottonspread.node")

CHECK_INTERVAL = 0.1  # seconds between two looks whether somebody has waited too long
ACCEPT_BATCH = 64  # then those that wait are looked at again
DESCRIPTOR_RETRY_DELAY = 0.05  # seconds until some are given back


@dataclass(eq=False)
class PendingClient:
    """A client that has not said a whole line."""

    sock: socket.socket
    accepted_at: int  # when it was accepted, in microseconds of the node's clock


class PendingClients:
    """Clients without a whole first line, the one that has waited longest first. It touches no socket."""

    def __init__(self):
        self.clients = OrderedDict()  # by descriptor

    def __len__(self):
        return len(self.clients)

    def add(self, number, client):
        """A client has come; `number`: its descriptor."""
        self.clients[number] = client

    def remove(self, number):
        """Takes out the client with that descriptor; None if there is none."""
        return self.clients.pop(number, None)

    def remove_oldest(self):
        """Takes out the one that has waited longest."""
        return self.clients.popitem(last=False)[1]

    def remove_overdue(self, now, timeout):
        """Takes out, one by one, those that have waited longer than `timeout` microseconds."""
        while self.clients and now - next(iter(self.clients.values())).accepted_at > timeout:
            yield self.remove_oldest()

    def remove_excess(self, limit):
        """Takes out, one by one, those that have waited longest until `limit` are left."""
        while len(self.clients) > max(0, limit):
            yield self.remove_oldest()


class AdmissionHandler(Protocol):
    """What the node decides about clients. Called by the accepting thread, which must not wait."""

    def max_pending(self):
        """How many clients may wait now."""

    def stopping(self):
        """Whether the node was asked to end."""

    def admit(self, client, first):
        """The client has said `first`, a whole line or what can be none; its socket is the node's now."""

    def refuse(self, sock, reason, retry_after=None):
        """The socket is answered BUSY and given back; `reason`: the code in the log."""


def is_complete(data):
    """Whether these first bytes are a whole line, or too many for one."""
    return b"\n" in data or len(data) >= pool.BUFFER_SIZE


class Admission:
    """The accepting thread of one listener. `stop_accepting` and `end` may be called from any thread."""

    READY = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET

    def __init__(self, listener, shared, clock, handler):
        """`shared`: others take from the listener too, so that what is in its queue at the end is theirs."""
        self.listener, self.shared, self.clock, self.handler = listener, shared, clock, handler
        self.pending = PendingClients()
        self.poll = select.epoll()
        self.wake, self.woken = socket.socketpair()
        self.stop_requested = self.end_requested = False
        self.accepting_stopped, self.ended = (
            threading.Event(),
            threading.Event(),
        )  # as asked by the two calls below

    def start(self):
        """From now on connections are accepted."""
        # Another process may take the connection that this one was woken for.
        self.listener.setblocking(False)
        workers.start_thread(self.run, stack=workers.WIDE)

    def stop_accepting(self):
        """Returns once nothing more is taken from the listener; who waits already may still speak."""
        self.stop_requested = True
        self.wake_up()
        self.accepting_stopped.wait()

    def end(self):
        """Everybody who is here is turned away, and then `ended` is set."""
        self.end_requested = True
        self.wake_up()

    def wake_up(self):
        """Wakes the thread."""
        with contextlib.suppress(OSError):  # it has ended
            self.wake.send(b"x", socket.MSG_DONTWAIT)

    def run(self):
        """The thread, until `end`."""
        self.poll.register(self.listener, select.EPOLLIN)
        self.poll.register(self.woken, select.EPOLLIN)
        try:
            while not self.end_requested:
                self.poll_once()
        finally:
            self.close()

    def poll_once(self):
        """One look at all that is ready."""
        accepts = False
        for number, ready in self.poll.poll(CHECK_INTERVAL):
            if number == self.woken.fileno():
                self.woken.recv(64)
            elif number == self.listener.fileno():
                accepts = True
            else:
                self.on_readable(number, ready)
        if self.stop_requested and not self.accepting_stopped.is_set():
            self.poll.unregister(self.listener)
            self.accepting_stopped.set()
        elif accepts and not self.stop_requested:
            self.accept()
        self.refuse_overdue()

    def accept(self):
        """Those in the listener's queue, some at a time."""
        try:
            for _ in range(ACCEPT_BATCH):
                self.on_accepted(self.listener.accept()[0])
        except BlockingIOError:  # nobody is left there
            pass
        except OSError as fault:
            log.warning("accept", extra={"pairs": {"why": errno.errorcode.get(fault.errno, str(fault))}})
            time.sleep(DESCRIPTOR_RETRY_DELAY)

    def on_accepted(self, sock):
        """A client has come; often its line is there already."""
        try:
            workers.prepare(sock)
        except OSError:  # gone already
            sock.close()
            return
        client = PendingClient(sock, self.clock())
        if not self.handle_first_line(client, 0):
            self.pending.add(sock.fileno(), client)
            self.poll.register(sock, self.READY)
            for one in self.pending.remove_excess(self.handler.max_pending()):
                self.refuse(one, "no-first-line")

    def on_readable(self, number, ready):
        """Something has come from a client that waits."""
        client = self.pending.clients.get(number)
        if client is not None and self.handle_first_line(client, ready):
            self.pending.remove(number)

    def handle_first_line(self, client, ready):
        """Whether the client has said a whole line, or will say none, and so is the node's from now on."""
        try:
            first = client.sock.recv(pool.BUFFER_SIZE, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:  # broken: whoever reads there next hears of it
            first = b""
        if first and not is_complete(first) and not ready & (select.EPOLLRDHUP | select.EPOLLHUP):
            return False
        if ready:
            self.poll.unregister(client.sock)
        self.handler.admit(client, first)
        return True

    def refuse_overdue(self):
        """Those that have waited too long."""
        timeout = COMING if self.handler.stopping() else FIRST_WAIT
        for client in self.pending.remove_overdue(self.clock(), timeout):
            self.refuse(client, "no-first-line")

    def refuse(self, client, reason):
        """A client that waited."""
        self.poll.unregister(client.sock)
        self.handler.refuse(client.sock, reason)

    def close(self):
        """Those in the listener's queue too: closed over them it would reset connections on which a whole
        first line may lie."""
        for client in self.pending.remove_excess(0):
            self.refuse(client, "stopping")
        if not self.shared and not self.accepting_stopped.is_set():
            with contextlib.suppress(OSError):  # nobody is left
                while True:
                    self.handler.refuse(self.listener.accept()[0], "stopping")
        self.accepting_stopped.set()
        self.poll.close()
        self.woken.close()
        self.wake.close()
        if not self.shared:
            self.listener.close()
        self.ended.set()
