"""One thread's sockets and timers, and how late it was itself."""

import heapq
import itertools
import selectors
import socket
import struct
import time

SO_TIMESTAMPNS, STAMP = 35, struct.Struct("qq")


class Loop:
    """Callbacks for sockets that are ready and for times that have come."""

    def __init__(self):
        self.selector, self.timers, self.numbers = selectors.DefaultSelector(), [], itertools.count()
        self.late = 0.0  # seconds, the most that a timer was late

    def at(self, when, what, *args):
        """`what(*args)` at that time."""
        heapq.heappush(self.timers, (when, next(self.numbers), what, args))

    def run(self, until):
        """Until that time."""
        while (now := time.time()) < until:
            while self.timers and self.timers[0][0] <= now:
                when, _, what, args = heapq.heappop(self.timers)
                self.late = max(self.late, now - when)
                what(*args)
                now = time.time()
            following = min(until, self.timers[0][0]) if self.timers else until
            for key, _ in self.selector.select(max(0.0, following - time.time())):
                key.data()

    def watch(self, sock, events, what):
        """`what()` whenever the socket is ready; again with other events."""
        if sock.fileno() in self.selector.get_map():
            self.selector.modify(sock, events, what)
        else:
            self.selector.register(sock, events, what)

    def forget(self, sock):
        """Closes it."""
        if sock.fileno() >= 0:
            if sock.fileno() in self.selector.get_map():
                self.selector.unregister(sock)
            sock.close()


class Line:
    """A connection that is read line by line: `heard(line, at)`, then `ended("end" or "reset", at)` once."""

    def __init__(self, loop, sock, heard, ended, stays=False):
        """`stays`: not closed from here once the other side has ended its sending."""
        self.loop, self.sock, self.heard, self.ended, self.rest = loop, sock, heard, ended, b""
        self.stays = stays
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
            self.over("reset")
            return
        at = next((STAMP.unpack(value) for _, kind, value in stamps if kind == SO_TIMESTAMPNS), None)
        at = at[0] + at[1] / 1e9 if at else time.time()
        whole, _, self.rest = (self.rest + data).rpartition(b"\n")
        for line in whole.split(b"\n") if whole else ():
            if self.sock.fileno() >= 0:
                self.heard(line.rstrip(b"\r"), at)
        if not data:
            self.over("end")

    def over(self, how):
        """Nothing more comes."""
        if self.stays and how == "end":
            self.loop.selector.unregister(self.sock)
        else:
            self.loop.forget(self.sock)
        self.ended(how, time.time())

    def say(self, line):
        """One line; whether it went out whole."""
        try:
            return self.sock.send(line + b"\r\n") == len(line) + 2
        except OSError:
            return False

    def close(self, reset=False):
        """From here."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.loop.forget(self.sock)
