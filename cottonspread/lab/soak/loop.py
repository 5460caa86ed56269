"""A single-threaded event loop for sockets and timers that measures how late its timers fire."""

import contextlib
import gc
import heapq
import itertools
import selectors
import socket
import struct
import time

SO_TIMESTAMPNS, TIMESPEC = 35, struct.Struct("qq")


@contextlib.contextmanager
def garbage_collector_disabled():
    """Disables the cyclic garbage collector; a full collection of a large heap delays timers by 0.3 s."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class Loop:
    """Runs callbacks for ready sockets and for timers that are due."""

    def __init__(self):
        """Creates a loop without sockets and timers."""
        self.selector, self.timers, self.sequence = selectors.DefaultSelector(), [], itertools.count()
        self.reset_delays()

    def reset_delays(self):
        """Forgets the delays measured so far."""
        self.max_delay = 0.0  # the largest delay of a timer, in seconds
        self.max_delay_cpu = 0.0  # processor time that this thread used meanwhile, in seconds
        self.last_cpu_time = time.thread_time()

    def record_delay(self, delay):
        """Records that a timer is called `delay` seconds late."""
        cpu_time = time.thread_time()
        if delay > self.max_delay:
            self.max_delay, self.max_delay_cpu = delay, cpu_time - self.last_cpu_time
        self.last_cpu_time = cpu_time

    def at(self, when, callback, *args):
        """Schedules `callback(*args)` at Unix time `when`, in seconds."""
        heapq.heappush(self.timers, (when, next(self.sequence), callback, args))

    def run(self, until):
        """Runs the loop until Unix time `until`, in seconds."""
        while (now := time.time()) < until:
            while self.timers and self.timers[0][0] <= now:
                when, _, callback, args = heapq.heappop(self.timers)
                self.record_delay(now - when)
                callback(*args)
                now = time.time()
            following = min(until, self.timers[0][0]) if self.timers else until
            for key, _ in self.selector.select(max(0.0, following - time.time())):
                key.data()

    def watch(self, sock, events, callback):
        """Calls `callback()` whenever the socket is ready; a second call for a socket replaces the first."""
        if sock.fileno() in self.selector.get_map():
            self.selector.modify(sock, events, callback)
        else:
            self.selector.register(sock, events, callback)

    def close_socket(self, sock):
        """Unregisters and closes a socket; does nothing if it is closed already."""
        if sock.fileno() >= 0:
            if sock.fileno() in self.selector.get_map():
                self.selector.unregister(sock)
            sock.close()


class LineConnection:
    """A connection that is read line by line.

    Calls `on_line(line, at)` for each line, then `on_end("end" or "reset", at)` once.
    """

    def __init__(self, loop, sock, on_line, on_end, keep_open=False):
        """`keep_open`: leaves this side open after the peer has closed its sending side."""
        self.loop, self.sock, self.on_line, self.on_end, self.partial = loop, sock, on_line, on_end, b""
        self.keep_open = keep_open
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        loop.watch(sock, selectors.EVENT_READ, self.read)

    def read(self):
        """Reads what is available; lines get the kernel's receive time where it is known."""
        try:
            data, stamps, _, _ = self.sock.recvmsg(65536, 64)
        except BlockingIOError:
            return
        except OSError:
            self.finish("reset")
            return
        at = next((TIMESPEC.unpack(value) for _, kind, value in stamps if kind == SO_TIMESTAMPNS), None)
        at = at[0] + at[1] / 1e9 if at else time.time()
        complete, _, self.partial = (self.partial + data).rpartition(b"\n")
        for line in complete.split(b"\n") if complete else ():
            if self.sock.fileno() >= 0:
                self.on_line(line.rstrip(b"\r"), at)
        if not data:
            self.finish("end")

    def finish(self, how):
        """Handles the end of the incoming data."""
        if self.keep_open and how == "end":
            self.loop.selector.unregister(self.sock)
        else:
            self.loop.close_socket(self.sock)
        self.on_end(how, time.time())

    def send_line(self, line):
        """Sends one line and returns whether all of it was written."""
        try:
            return self.sock.send(line + b"\r\n") == len(line) + 2
        except OSError:
            return False

    def close(self, reset=False):
        """Closes the connection from this side, with a TCP reset if `reset`."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.loop.close_socket(self.sock)
