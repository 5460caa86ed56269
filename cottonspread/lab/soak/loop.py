"""One thread's sockets and timers, and how late it was itself."""

import heapq
import itertools
import selectors
import socket
import struct
import time

SO_TIMESTAMPNS, TIMESPEC = 35, struct.Struct("qq")


class Loop:
    """Callbacks for sockets that are ready and for times that have come."""

    def __init__(self):
        self.selector, self.timers, self.sequence = selectors.DefaultSelector(), [], itertools.count()
        self.max_delay = 0.0  # seconds, the most that a timer was late

    def at(self, when, callback, *args):
        """`what(*args)` at that time."""
        heapq.heappush(self.timers, (when, next(self.sequence), callback, args))

    def run(self, until):
        """Until that time."""
        while (now := time.time()) < until:
            while self.timers and self.timers[0][0] <= now:
                when, _, callback, args = heapq.heappop(self.timers)
                self.max_delay = max(self.max_delay, now - when)
                callback(*args)
                now = time.time()
            following = min(until, self.timers[0][0]) if self.timers else until
            for key, _ in self.selector.select(max(0.0, following - time.time())):
                key.data()

    def watch(self, sock, events, callback):
        """`what()` whenever the socket is ready; again with other events."""
        if sock.fileno() in self.selector.get_map():
            self.selector.modify(sock, events, callback)
        else:
            self.selector.register(sock, events, callback)

    def close_socket(self, sock):
        """Closes it."""
        if sock.fileno() >= 0:
            if sock.fileno() in self.selector.get_map():
                self.selector.unregister(sock)
            sock.close()


class LineConnection:
    """A connection that is read line by line: `heard(line, at)`, then `ended("end" or "reset", at)` once."""

    def __init__(self, loop, sock, on_line, on_end, keep_open=False):
        """`stays`: not closed from here once the other side has ended its sending."""
        self.loop, self.sock, self.on_line, self.on_end, self.partial = loop, sock, on_line, on_end, b""
        self.keep_open = keep_open
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        loop.watch(sock, selectors.EVENT_READ, self.read)

    def read(self):
        """What has come."""
        try:
            data, stamps, _, _ = self.sock.recvmsg(65536, 64)
        except BlockingIOError:
            return
        except OSError:
            self.finish("reset")
            return
        at = next((TIMESPEC.unpack(value) for _, kind, value in stamps if kind == SO_TIMESTAMPNS), None)
        at = at[0] + at[1] / 1e9 if at else time.time()
        whole, _, self.partial = (self.partial + data).rpartition(b"\n")
        for line in whole.split(b"\n") if whole else ():
            if self.sock.fileno() >= 0:
                self.on_line(line.rstrip(b"\r"), at)
        if not data:
            self.finish("end")

    def finish(self, how):
        """Nothing more comes."""
        if self.keep_open and how == "end":
            self.loop.selector.unregister(self.sock)
        else:
            self.loop.close_socket(self.sock)
        self.on_end(how, time.time())

    def send_line(self, line):
        """One line; whether it went out whole."""
        try:
            return self.sock.send(line + b"\r\n") == len(line) + 2
        except OSError:
            return False

    def close(self, reset=False):
        """From here."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.loop.close_socket(self.sock)
