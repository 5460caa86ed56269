"""Sockets that were turned away at the door, on their way to a clean close: one thread for all of them.

A close over bytes that nobody read is a reset, and a reset takes the last line with it. A client's
first line may come just after it was turned away, so each is read to its end, for a moment at most,
before its descriptor is given back.
"""

import contextlib
import queue
import select
import socket
import time
from collections import OrderedDict

TIMEOUT = 1.0  # seconds that the other side gets to end
CHECK_INTERVAL = 0.05  # seconds between two looks into the queue while there is anything to read
MIN_QUEUE_LIMIT = 8  # sockets that may wait to be looked at whatever else is held
MAX_DISCARD_PER_CHECK = 64 * 1024  # bytes: who sends at full speed keeps nobody waiting


class Closer:
    """Reads sockets to their end and closes them."""

    def __init__(self, limit):
        """`limit()`: how many may wait here now; beyond it the one that has waited longest
        is closed at once.
        """
        # `open_sockets`: socket: until when
        self.limit, self.incoming, self.open_sockets = limit, queue.SimpleQueue(), OrderedDict()
        self.next_check = 0.0

    def add(self, sock):
        """From any thread: its last line is out, and it is this one's now. Whoever has waited longest to be
        looked at is closed at once where as many wait as may."""
        if self.incoming.qsize() >= max(MIN_QUEUE_LIMIT, self.limit()):
            with contextlib.suppress(queue.Empty):
                oldest = self.incoming.get_nowait()
                if oldest is None:  # told to stop: whoever comes later is not looked at
                    self.incoming.put(None)
                    oldest = sock
                self.close_socket(oldest)
                if oldest is sock:
                    return
        self.incoming.put(sock)

    def stop(self):
        """No more are taken; those that are here are closed."""
        self.incoming.put(None)

    def run(self):
        """The thread, until `stop`."""
        while self.step():
            pass

    def step(self):
        """Takes in one, or waits for the next look. False once it was told to stop; then nothing is left."""
        with contextlib.suppress(queue.Empty):
            sock = self.incoming.get(timeout=CHECK_INTERVAL) if self.open_sockets else self.incoming.get()
            if sock is None:
                for one in list(self.open_sockets):
                    self.close(one)
                return False
            sock.setblocking(False)
            self.open_sockets[sock] = time.monotonic() + TIMEOUT
        if self.incoming.empty() or time.monotonic() >= self.next_check:
            self.check()
        while len(self.open_sockets) > max(1, self.limit()):
            self.close(next(iter(self.open_sockets)))
        return True

    def check(self):
        """Closes those that have ended, and those whose time is over."""
        self.next_check = time.monotonic() + CHECK_INTERVAL
        poll, by_number = select.poll(), {}
        for sock in self.open_sockets:
            by_number[sock.fileno()] = sock
            poll.register(sock, select.POLLIN)
        for number, _ in poll.poll(0):
            if self.discard_input(by_number[number]):
                self.close(by_number[number])
        now = time.monotonic()
        while self.open_sockets and next(iter(self.open_sockets.values())) <= now:
            self.close(next(iter(self.open_sockets)))

    @staticmethod
    def discard_input(sock):
        """Drops what is here, a bounded part of it; whether the other side has ended or broken."""
        discarded = 0
        try:
            while discarded < MAX_DISCARD_PER_CHECK:
                got = len(sock.recv(8192, socket.MSG_DONTWAIT))
                if not got:
                    return True
                discarded += got
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False

    def close(self, sock):
        """Its time, or its room, is over."""
        del self.open_sockets[sock]
        self.close_socket(sock)

    def close_socket(self, sock):
        """Closes over nothing that is here already."""
        self.discard_input(sock)
        sock.close()
