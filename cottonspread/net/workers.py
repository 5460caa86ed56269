"""The threads that carry out the reducer's effects on sockets.

They decide nothing and keep no state but sockets.

Each end of a connection has one thread, which connects, reads and at last gives the socket back;
one thread writes for all, and hands a write that would block to a thread of its own. Orders to one
end are at most three at a time, so the queues of orders are bounded by the number of ends; the
queue of events is bounded by itself.
"""

import errno
import logging
import queue
import select
import socket
import struct
import threading
import time

from cottonspread.interface import Ending
from cottonspread.net import events as ev
from cottonspread.net import lines

log = logging.getLogger("cottonspread.workers")

STACK_SIZE = 128 * 1024  # of each end's thread
# of the few others: JSON nested a thousand deep needs over 128 KiB, or the node dies
LARGE_STACK_SIZE = 1024 * 1024
PARTIAL_LINE_TIMEOUT = 5  # seconds; a read that waits looks as often whether half a line is too old
RCVTIMEO = struct.pack("ll", PARTIAL_LINE_TIMEOUT, 0)
# bytes and seconds: what a closed connection's reader takes in one go
DISCARD_BURST, DISCARD_PAUSE = 64 * 1024, 0.05
# bytes in all, and then milliseconds until the reducer's cut
MAX_DISCARDED, CUT_TIMEOUT_MS = 1024 * 1024, 2000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def prepare(sock):
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, RCVTIMEO)
    sock.setsockopt(socket.SOL_SOCKET, lines.SO_TIMESTAMPNS, 1)


def peer_closed(sock):
    """Whether the other side has ended its sending or broken, whatever still lies here unread.

    Asked of the kernel, without waiting.
    """
    look = select.poll()
    look.register(sock, select.POLLIN | select.POLLRDHUP)
    ready = dict(look.poll(0)).get(sock.fileno(), 0)
    if ready & (select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL):
        return True
    try:
        return bool(ready & select.POLLIN) and not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:  # its reader was first
        return False


def start_thread(target, *args, stack=STACK_SIZE):
    """Raises RuntimeError if there is none to be had."""
    threading.stack_size(stack)
    threading.Thread(target=target, args=args, name=target.__qualname__, daemon=True).start()


class Worker:
    """One end's thread."""

    def __init__(self, end, sock, pool, post, live, clock):
        self.end, self.sock, self.pool, self.post, self.live, self.clock = end, sock, pool, post, live, clock
        self.orders, self.gatherer = queue.SimpleQueue(), None
        end.worker = self

    def run(self):
        while True:
            order = self.orders.get()
            if isinstance(order, ev.Free):
                self.release()
                return
            try:
                result = (
                    self.read()
                    if isinstance(order, ev.Read)
                    else self.discard_input()
                    if isinstance(order, ev.Drain)
                    else self.connect(order)
                )
            except Exception:  # our own fault: in plain sight, and the connection ends
                log.exception("fault", extra={"pairs": {"while": type(order).__name__}})
                result = (
                    ev.Connected(self.end, False)
                    if isinstance(order, ev.Connect)
                    else ev.Over(self.end, "fault")
                )
            if result is not None:
                self.post(result)

    def connect(self, order):
        sock = self.sock
        try:
            sock.settimeout(max(0.001, order.wait / 1e6))
            sock.connect(order.address)
            prepare(sock)
            return ev.Connected(self.end, True)
        except OSError as fault:
            return ev.Connected(self.end, False, errno.errorcode.get(fault.errno, type(fault).__name__))

    def read(self):
        if self.gatherer is None:
            self.gatherer = lines.Gatherer(self.sock, self.pool, PARTIAL_LINE_TIMEOUT)
        try:
            data = self.gatherer.lines()
            return (
                ev.Got(self.end, data, self.gatherer.filled > 0, self.clock() - self.gatherer.age)
                if data
                else (ev.Over(self.end, "end"))
            )
        except lines.SocketReleasedError:
            return None
        except lines.LineError as fault:
            return ev.Over(self.end, str(fault))
        except OSError:
            return ev.Over(self.end, "reset")

    def discard_input(self):
        """To the other side's end, at a bounded pace: who sends on at full speed keeps no reader busy.

        Bytes left unread would make the close a reset, which takes the last line with it; who sends more
        than MAX_DISCARDED is no client that hears it, and to such a one the reset tells that nobody
        listens. The reducer cuts it off in the end.
        """
        if self.gatherer is not None:
            self.gatherer.drop()
        try:
            at_once, rest = 0, MAX_DISCARDED
            while rest > 0 and (got := self.discard_some()):
                at_once, rest = at_once + got, rest - got
                if at_once >= DISCARD_BURST:
                    at_once = 0
                    time.sleep(DISCARD_PAUSE)
            if rest <= 0:
                look = select.poll()  # until it is cut off from here, or breaks
                look.register(self.sock, select.POLLRDHUP)
                look.poll(CUT_TIMEOUT_MS)
        except OSError:
            pass
        return ev.Over(self.end, "end")

    def discard_unread(self):
        """From another thread, as the process ends: what lies here unread is dropped."""
        try:
            while self.sock.recv(8192, socket.MSG_DONTWAIT):
                pass
        except OSError:  # all is read, or it has ended
            pass

    def discard_some(self):
        """Some bytes, dropped; 0 at the end of the connection."""
        while True:
            try:
                return len(self.sock.recv(8192))
            except BlockingIOError:  # the socket's own time-out has passed
                pass

    def release(self):
        if self.gatherer is not None:
            self.gatherer.drop()
        if self.sock is not None:
            self.sock.close()
        self.end.worker = None
        self.live.discard(self)


class Workers:
    def __init__(self, pool, post, clock, on_all_written=lambda: None):
        """`on_all_written` is called once, when all has been handed to the kernel after the order None."""
        self.pool, self.post, self.clock, self.on_all_written = pool, post, clock, on_all_written
        self.write_queue = queue.SimpleQueue()
        self.live = set()  # who holds a socket, with what the reducer has not yet heard of

    def start(self):
        start_thread(self.run_writer, stack=LARGE_STACK_SIZE)

    def start_worker(self, end, sock):
        """A thread for this end; False if there is none to be had."""
        worker = Worker(end, sock, self.pool, self.post, self.live, self.clock)
        self.live.add(worker)
        try:
            start_thread(worker.run)
        except RuntimeError:
            self.live.discard(worker)
            end.worker = None
            return False
        return True

    def probe(self, order):
        """One probe, in a thread of its own: a host that says nothing holds up nobody.

        Our own want of a descriptor is no word on the host.
        """
        began, data = time.monotonic(), b""
        try:
            with socket.create_connection(order.address, timeout=order.wait / 1e6) as sock:
                sock.sendall(lines.STATS)
                while not data.endswith(b"\n") and len(data) < lines.LONGEST_REPORT:
                    sock.settimeout(max(0.001, order.wait / 1e6 - (time.monotonic() - began)))
                    got = sock.recv(lines.LONGEST_REPORT)
                    if not got:
                        raise ConnectionResetError
                    data += got
            ending, report = lines.read_report(data)
        except TimeoutError:
            ending, report = Ending.TIMEOUT, {}
        except OSError as fault:
            ours = fault.errno in (
                errno.EMFILE,
                errno.ENFILE,
                errno.ENOBUFS,
                errno.ENOMEM,
                errno.EADDRNOTAVAIL,
            )
            ending, report = Ending.FULL if ours else Ending.CONNECT_FAILED, {}
        self.post(ev.Asked(order.host, ending, report, round((time.monotonic() - began) * 1e6)))

    def execute(self, effect):
        if isinstance(effect, ev.Ask):
            try:
                start_thread(self.probe, effect)
            except RuntimeError:  # no thread is to be had; as below, by way of the writer
                self.write_queue.put(ev.Asked(effect.host, Ending.FULL, {}))
            return
        if isinstance(effect, ev.Connect):
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as fault:
                # By way of the writer: the reducer's own thread may not wait for room in its queue.
                self.write_queue.put(
                    ev.Connected(effect.end, False, errno.errorcode.get(fault.errno, "socket"))
                )
                return
            if not self.start_worker(effect.end, sock):
                sock.close()
                self.write_queue.put(ev.Connected(effect.end, False, "no-thread"))
                return
            effect.end.worker.orders.put(effect)
        elif isinstance(effect, (ev.Read, ev.Drain)):
            if effect.end.worker is not None:
                effect.end.worker.orders.put(effect)
        else:
            self.write_queue.put(effect)

    def run_writer(self):
        while True:
            effect = self.write_queue.get()
            if effect is None:  # the node is done
                self.on_all_written()
                return
            if isinstance(effect, (ev.Connected, ev.Asked)):
                self.post(effect)
                continue
            if isinstance(effect, ev.Quit):
                for worker in list(self.live):
                    worker.discard_unread()
                continue
            worker = effect.end.worker
            if worker is None:  # freed already
                continue
            try:
                self.execute_write(worker, effect)
            except (OSError, RuntimeError):  # the other side was first, or no thread is to be had
                if isinstance(effect, ev.Write):
                    self.post(ev.Written(effect.end, False))

    def execute_write(self, worker, effect):
        """One order that belongs to an end: what is to be sent, or how its sending ends."""
        if isinstance(effect, ev.Write):
            why = self.reason_not_to_start(effect) if effect.attempt else ""
            if why:
                self.post(ev.Written(effect.end, False, why=why))
            else:
                self.write(worker.sock, effect)
        elif isinstance(effect, ev.Free):  # behind the others: no order may meet a number used again
            if worker.gatherer is not None and worker.gatherer.gone:
                worker.sock.close()  # its thread looks up only when something comes to the new owner
            worker.orders.put(effect)
        elif isinstance(effect, ev.Finish):
            worker.sock.shutdown(socket.SHUT_WR)
        elif effect.broken:
            worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            worker.sock.shutdown(socket.SHUT_RD)  # wakes its reader; the reset goes out at the close
        else:
            worker.sock.shutdown(socket.SHUT_RDWR)

    def reason_not_to_start(self, effect):
        """What the reducer could not know yet when it ordered an attempt's first line: its
        client has left, which lies in the queue behind much else on a busy node, or its time has
        passed meanwhile. The reason, or "".
        """
        client = effect.end.conn.client.worker
        try:
            if client is None or peer_closed(client.sock):
                return "client-gone"
        except OSError:  # given back just now
            return "client-gone"
        return "too-late" if effect.by and self.clock() >= effect.by else ""

    def write(self, sock, effect):
        try:
            sent = sock.send(effect.data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        if sent == len(effect.data):
            self.post(ev.Written(effect.end, True, self.clock()))
        else:  # no slow peer holds up the others
            start_thread(self.write_blocking, sock, effect, sent)

    def write_blocking(self, sock, effect, sent):
        try:
            sock.sendall(memoryview(effect.data)[sent:])
            ok = True
        except OSError:
            ok = False
        self.post(ev.Written(effect.end, ok, self.clock()))
