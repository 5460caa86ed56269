"""The threads that execute the reducer's effects on sockets.

They make no decisions and keep no state but sockets.

Each end of a connection has one thread, which connects, reads and finally closes the socket. One thread
writes for all ends; a write that would block is moved to a thread of its own. An end has at most three
effects queued at a time, so the effect queues are bounded by the number of ends. The event queue has
its own limit.
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

STACK_SIZE = 128 * 1024  # bytes, for the thread of each connection end
# For the few other threads: parsing JSON nested a thousand levels deep needs over 128 KiB, and a stack
# overflow would crash the process.
LARGE_STACK_SIZE = 1024 * 1024
PARTIAL_LINE_TIMEOUT = 5  # seconds; a blocking read checks at this interval whether a partial line is too old
RCVTIMEO = struct.pack("ll", PARTIAL_LINE_TIMEOUT, 0)
# After discarding DISCARD_BURST bytes from a connection that is being closed, a thread pauses for
# DISCARD_PAUSE seconds.
DISCARD_BURST, DISCARD_PAUSE = 64 * 1024, 0.05
# Bytes discarded in total; then the thread waits this many milliseconds for the reducer to shut the
# connection down.
MAX_DISCARDED, CUT_TIMEOUT_MS = 1024 * 1024, 2000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def prepare(sock):
    """Sets the options of a connected socket."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, RCVTIMEO)
    sock.setsockopt(socket.SOL_SOCKET, lines.SO_TIMESTAMPNS, 1)


def peer_closed(sock):
    """Whether the other side has closed its sending side or reset, even if input is still unread.

    Asks the kernel and does not block.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLRDHUP)
    ready = dict(poller.poll(0)).get(sock.fileno(), 0)
    if ready & (select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL):
        return True
    try:
        return bool(ready & select.POLLIN) and not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:  # its reader thread took the input
        return False


def start_thread(target, *args, stack=STACK_SIZE):
    """Starts a daemon thread; raises RuntimeError if the system has none left."""
    threading.stack_size(stack)
    threading.Thread(target=target, args=args, name=target.__qualname__, daemon=True).start()


class Worker:
    """The thread of one end of a connection."""

    def __init__(self, end, sock, pool, post, live, clock):
        """`post(event)` passes events to the reducer; `live`: the set of workers that hold a socket."""
        self.end, self.sock, self.pool, self.post, self.live, self.clock = end, sock, pool, post, live, clock
        self.effects, self.line_reader = queue.SimpleQueue(), None
        end.worker = self

    def run(self):
        """The thread: executes effects until the socket is released."""
        while True:
            effect = self.effects.get()
            if isinstance(effect, ev.Free):
                self.release()
                return
            try:
                result = (
                    self.read()
                    if isinstance(effect, ev.Read)
                    else self.discard_input()
                    if isinstance(effect, ev.DiscardInput)
                    else self.connect(effect)
                )
            except Exception:  # an internal error: log it and end the connection
                log.exception("fault", extra={"pairs": {"while": type(effect).__name__}})
                result = (
                    ev.ConnectDone(self.end, False)
                    if isinstance(effect, ev.Connect)
                    else ev.ReadEnded(self.end, "fault")
                )
            if result is not None:
                self.post(result)

    def connect(self, effect):
        """Connects to a host; returns the event for the reducer."""
        sock = self.sock
        try:
            sock.settimeout(max(0.001, effect.timeout / 1e6))
            sock.connect(effect.address)
            prepare(sock)
            return ev.ConnectDone(self.end, True)
        except OSError as error:
            return ev.ConnectDone(self.end, False, errno.errorcode.get(error.errno, type(error).__name__))

    def read(self):
        """Reads whole lines, blocking; returns the event for the reducer, None if the socket was released."""
        if self.line_reader is None:
            self.line_reader = lines.LineReader(self.sock, self.pool, PARTIAL_LINE_TIMEOUT)
        try:
            data = self.line_reader.read_lines()
            return (
                ev.LinesRead(self.end, data, self.line_reader.filled > 0, self.clock() - self.line_reader.age)
                if data
                else (ev.ReadEnded(self.end, "end"))
            )
        except lines.SocketReleasedError:
            return None
        except lines.LineError as error:
            return ev.ReadEnded(self.end, str(error))
        except OSError:
            return ev.ReadEnded(self.end, "reset")

    def discard_input(self):
        """Discards input until the other side closes, at a limited rate so that a flooding peer costs little
        time.

        Closing with unread input would send a reset, and the peer could lose the last line. A peer that sends
        more than MAX_DISCARDED does not read our lines anyway, and the reset tells it to stop. The reducer
        shuts it down in the end.
        """
        if self.line_reader is not None:
            self.line_reader.discard_buffer()
        try:
            burst, remaining = 0, MAX_DISCARDED
            while remaining > 0 and (discarded := self.discard_some()):
                burst, remaining = burst + discarded, remaining - discarded
                if burst >= DISCARD_BURST:
                    burst = 0
                    time.sleep(DISCARD_PAUSE)
            if remaining <= 0:
                poller = select.poll()  # wait until the reducer shuts it down, or it fails
                poller.register(self.sock, select.POLLRDHUP)
                poller.poll(CUT_TIMEOUT_MS)
        except OSError:
            pass
        return ev.ReadEnded(self.end, "end")

    def discard_unread(self):
        """Discards input that has already arrived. Called from another thread as the process ends."""
        try:
            while self.sock.recv(8192, socket.MSG_DONTWAIT):
                pass
        except OSError:  # nothing left, or the connection has failed
            pass

    def discard_some(self):
        """Reads and discards once; returns the number of bytes, 0 at the end of the stream."""
        while True:
            try:
                return len(self.sock.recv(8192))
            except BlockingIOError:  # the receive timeout of the socket
                pass

    def release(self):
        """Closes the socket and detaches the thread from its connection end."""
        if self.line_reader is not None:
            self.line_reader.discard_buffer()
        if self.sock is not None:
            self.sock.close()
        self.end.worker = None
        self.live.discard(self)


class Workers:
    """All worker threads of a node, and the thread that writes for them."""

    def __init__(self, pool, post, clock, on_all_written=lambda: None):
        """`on_all_written` is called once, after a None in the queue, when all data is with the kernel."""
        self.pool, self.post, self.clock, self.on_all_written = pool, post, clock, on_all_written
        self.write_queue = queue.SimpleQueue()
        self.live = set()  # workers that hold a socket, including those that the reducer does not know yet

    def start(self):
        """Starts the writer thread."""
        start_thread(self.run_writer, stack=LARGE_STACK_SIZE)

    def start_worker(self, end, sock):
        """Starts the thread of this end; returns False if the system has none left."""
        worker = Worker(end, sock, self.pool, self.post, self.live, self.clock)
        self.live.add(worker)
        try:
            start_thread(worker.run)
        except RuntimeError:
            self.live.discard(worker)
            end.worker = None
            return False
        return True

    def probe(self, effect):
        """Sends one probe to a host, in its own thread so that a silent host blocks nothing else.

        A lack of local resources, such as descriptors, is not reported as a failure of the host.
        """
        started_at, data = time.monotonic(), b""
        try:
            with socket.create_connection(effect.address, timeout=effect.timeout / 1e6) as sock:
                sock.sendall(lines.STATS)
                while not data.endswith(b"\n") and len(data) < lines.MAX_REPORT_BYTES:
                    sock.settimeout(max(0.001, effect.timeout / 1e6 - (time.monotonic() - started_at)))
                    chunk = sock.recv(lines.MAX_REPORT_BYTES)
                    if not chunk:
                        raise ConnectionResetError
                    data += chunk
            ending, report = lines.parse_probe_answer(data)
        except TimeoutError:
            ending, report = Ending.TIMEOUT, {}
        except OSError as error:
            local_failure = error.errno in (
                errno.EMFILE,
                errno.ENFILE,
                errno.ENOBUFS,
                errno.ENOMEM,
                errno.EADDRNOTAVAIL,
            )
            ending, report = Ending.FULL if local_failure else Ending.CONNECT_FAILED, {}
        self.post(ev.ProbeDone(effect.host, ending, report, round((time.monotonic() - started_at) * 1e6)))

    def execute(self, effect):
        """Passes an effect of the reducer to the thread that executes it."""
        if isinstance(effect, ev.Probe):
            try:
                start_thread(self.probe, effect)
            except RuntimeError:  # no thread available; posted by the writer thread, see below
                self.write_queue.put(ev.ProbeDone(effect.host, Ending.FULL, {}))
            return
        if isinstance(effect, ev.Connect):
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:
                # Posted by the writer thread: the reducer's thread must not block on its own event queue.
                self.write_queue.put(
                    ev.ConnectDone(effect.end, False, errno.errorcode.get(error.errno, "socket"))
                )
                return
            if not self.start_worker(effect.end, sock):
                sock.close()
                self.write_queue.put(ev.ConnectDone(effect.end, False, "no-thread"))
                return
            effect.end.worker.effects.put(effect)
        elif isinstance(effect, (ev.Read, ev.DiscardInput)):
            if effect.end.worker is not None:
                effect.end.worker.effects.put(effect)
        else:
            self.write_queue.put(effect)

    def run_writer(self):
        """The writer thread."""
        while True:
            effect = self.write_queue.get()
            if effect is None:  # the node has ended
                self.on_all_written()
                return
            if isinstance(effect, (ev.ConnectDone, ev.ProbeDone)):
                self.post(effect)
                continue
            if isinstance(effect, ev.DiscardUnread):
                for worker in list(self.live):
                    worker.discard_unread()
                continue
            worker = effect.end.worker
            if worker is None:  # already released
                continue
            try:
                self.execute_write(worker, effect)
            except (OSError, RuntimeError):  # the other side has closed, or no thread is available
                if isinstance(effect, ev.Write):
                    self.post(ev.WriteDone(effect.end, False))

    def execute_write(self, worker, effect):
        """Executes one write-side effect on an end: data to send, or how to end the connection."""
        if isinstance(effect, ev.Write):
            skip_reason = self.reason_not_to_start(effect) if effect.first_line else ""
            if skip_reason:
                self.post(ev.WriteDone(effect.end, False, skip_reason=skip_reason))
            else:
                self.write(worker.sock, effect)
        elif isinstance(effect, ev.Free):  # after all others: no effect may hit a reused descriptor
            if worker.line_reader is not None and worker.line_reader.released:
                worker.sock.close()  # its thread is blocked in a read until input for the new owner arrives
            worker.effects.put(effect)
        elif isinstance(effect, ev.ShutdownWrite):
            worker.sock.shutdown(socket.SHUT_WR)
        elif effect.reset:
            worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            worker.sock.shutdown(socket.SHUT_RD)  # wakes its reader; the reset is sent by the close
        else:
            worker.sock.shutdown(socket.SHUT_RDWR)

    def reason_not_to_start(self, effect):
        """Why the first line of an attempt must not be sent after all, or "".

        Checks what the reducer could not know when it returned the effect: that the client has left, which on
        a busy node is still queued behind many other events, or that the deadline has passed.
        """
        client = effect.end.conn.client.worker
        try:
            if client is None or peer_closed(client.sock):
                return "client-gone"
        except OSError:  # just closed
            return "client-gone"
        return "too-late" if effect.send_by and self.clock() >= effect.send_by else ""

    def write(self, sock, effect):
        """Sends data without blocking; what the socket does not accept is left to a new thread."""
        try:
            sent = sock.send(effect.data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        if sent == len(effect.data):
            self.post(ev.WriteDone(effect.end, True, self.clock()))
        else:  # a slow peer must not block the others
            start_thread(self.write_blocking, sock, effect, sent)

    def write_blocking(self, sock, effect, sent):
        """Sends the rest of the data, blocking, in a thread of its own; `sent`: bytes sent already."""
        try:
            sock.sendall(memoryview(effect.data)[sent:])
            ok = True
        except OSError:
            ok = False
        self.post(ev.WriteDone(effect.end, ok, self.clock()))
