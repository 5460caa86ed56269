"""The threads that carry out the reducer's effects on sockets. They decide nothing and keep no state but sockets.

Each end of a connection has one thread, which connects, reads and at last gives the socket back; one thread
writes for all, and hands a write that would block to a thread of its own. Orders to one end are at most three at
a time, so the queues of orders are bounded by the number of ends; the queue of events is bounded by itself.
"""
import errno
import logging
import queue
import socket
import struct
import threading

from cottonspread.net import events as ev
from cottonspread.net import lines

log = logging.getLogger("cottonspread.workers")

STACK = 128 * 1024                 # of each thread
HALF_LINE_WAIT = 5                 # seconds; a read that waits looks as often whether half a line is too old
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def prepare(sock):
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", HALF_LINE_WAIT, 0))


class Worker:
    """One end's thread."""

    def __init__(self, end, sock, pool, post):
        self.end, self.sock, self.pool, self.post = end, sock, pool, post
        self.orders, self.gatherer = queue.SimpleQueue(), None
        end.worker = self

    def run(self):
        while True:
            order = self.orders.get()
            if isinstance(order, ev.Read):
                self.post(self.read())
            elif isinstance(order, ev.Connect):
                self.post(self.connect(order))
            else:
                self.free()
                return

    def connect(self, order):
        sock = self.sock
        try:
            sock.settimeout(max(0.001, order.wait / 1e6))
            sock.connect(order.address)
            prepare(sock)
            return ev.Connected(self.end, True)
        except OSError as fault:
            return ev.Connected(self.end, False, type(fault).__name__)

    def read(self):
        if self.gatherer is None:
            self.gatherer = lines.Gatherer(self.sock, self.pool, HALF_LINE_WAIT)
        try:
            data = self.gatherer.lines()
            return ev.Got(self.end, data) if data else ev.Over(self.end, "end")
        except lines.BadLine as fault:
            return ev.Over(self.end, str(fault))
        except OSError:
            return ev.Over(self.end, "reset")

    def free(self):
        if self.gatherer is not None:
            self.gatherer.drop()
        if self.sock is not None:
            self.sock.close()
        self.end.worker = None


class Workers:
    def __init__(self, pool, post):
        self.pool, self.post = pool, post
        self.writes = queue.SimpleQueue()
        threading.stack_size(STACK)

    def start(self):
        threading.Thread(target=self.write_all, name="writer", daemon=True).start()

    def begin(self, end, sock):
        """A thread for this end; False if there is none to be had."""
        worker = Worker(end, sock, self.pool, self.post)
        try:
            threading.Thread(target=worker.run, daemon=True).start()
        except RuntimeError:
            end.worker = None
            return False
        return True

    def carry_out(self, effect):
        if isinstance(effect, ev.Connect):
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as fault:
                # By way of the writer: the reducer's own thread may not wait for room in its queue.
                self.writes.put(ev.Connected(effect.end, False, errno.errorcode.get(fault.errno, "socket")))
                return
            if not self.begin(effect.end, sock):
                sock.close()
                self.writes.put(ev.Connected(effect.end, False, "no-thread"))
                return
            effect.end.worker.orders.put(effect)
        elif isinstance(effect, ev.Read):
            if effect.end.worker is not None:
                effect.end.worker.orders.put(effect)
        else:
            self.writes.put(effect)

    def write_all(self):
        while True:
            effect = self.writes.get()
            if effect is None:               # the node is done
                return
            if isinstance(effect, ev.Connected):
                self.post(effect)
                continue
            worker = effect.end.worker
            if worker is None:               # freed already
                continue
            try:
                if isinstance(effect, ev.Write):
                    self.write(worker.sock, effect)
                elif isinstance(effect, ev.Free):     # behind the others: no order may meet a number used again
                    worker.orders.put(effect)
                elif isinstance(effect, ev.Finish):
                    worker.sock.shutdown(socket.SHUT_WR)
                elif effect.broken:
                    worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    worker.sock.shutdown(socket.SHUT_RD)      # wakes its reader; the reset goes out at the close
                else:
                    worker.sock.shutdown(socket.SHUT_RDWR)
            except (OSError, RuntimeError):           # the other side was first, or no thread is to be had
                if isinstance(effect, ev.Write):
                    self.post(ev.Written(effect.end, False))

    def write(self, sock, effect):
        try:
            sent = sock.send(effect.data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        if sent == len(effect.data):
            self.post(ev.Written(effect.end, True))
        else:                                # no slow peer holds up the others
            threading.Thread(target=self.write_slowly, args=(sock, effect, sent), daemon=True).start()

    def write_slowly(self, sock, effect, sent):
        try:
            sock.sendall(memoryview(effect.data)[sent:])
            ok = True
        except OSError:
            ok = False
        self.post(ev.Written(effect.end, ok))
