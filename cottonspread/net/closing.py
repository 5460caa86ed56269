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

WAIT = 1.0  # seconds that the other side gets to end
LOOK = 0.05  # seconds between two looks into the queue while there is anything to read
QUEUED = 8  # sockets that may wait to be looked at whatever else is held
ONCE = 64 * 1024  # bytes taken from one socket at a look: who sends at full speed keeps nobody waiting


class Closer:
    """Reads sockets to their end and closes them."""

    def __init__(self, most):
        """`most()`: how many may wait here now; beyond it the one that has waited longest
        is closed at once.
        """
        self.most, self.coming, self.held = most, queue.SimpleQueue(), OrderedDict()  # socket: until when
        self.next_look = 0.0

    def take(self, sock):
        """From any thread: its last line is out, and it is this one's now. Whoever has waited longest to be
        looked at is closed at once where as many wait as may."""
        if self.coming.qsize() >= max(QUEUED, self.most()):
            with contextlib.suppress(queue.Empty):
                oldest = self.coming.get_nowait()
                if oldest is None:  # told to stop: whoever comes later is not looked at
                    self.coming.put(None)
                    oldest = sock
                self.shut(oldest)
                if oldest is sock:
                    return
        self.coming.put(sock)

    def stop(self):
        """No more are taken; those that are here are closed."""
        self.coming.put(None)

    def run(self):
        """The thread, until `stop`."""
        while self.turn():
            pass

    def turn(self):
        """Takes in one, or waits for the next look. False once it was told to stop; then nothing is left."""
        with contextlib.suppress(queue.Empty):
            sock = self.coming.get(timeout=LOOK) if self.held else self.coming.get()
            if sock is None:
                for one in list(self.held):
                    self.close(one)
                return False
            sock.setblocking(False)
            self.held[sock] = time.monotonic() + WAIT
        if self.coming.empty() or time.monotonic() >= self.next_look:
            self.look()
        while len(self.held) > max(1, self.most()):
            self.close(next(iter(self.held)))
        return True

    def look(self):
        """Closes those that have ended, and those whose time is over."""
        self.next_look = time.monotonic() + LOOK
        poll, by_number = select.poll(), {}
        for sock in self.held:
            by_number[sock.fileno()] = sock
            poll.register(sock, select.POLLIN)
        for number, _ in poll.poll(0):
            if self.read_away(by_number[number]):
                self.close(by_number[number])
        now = time.monotonic()
        while self.held and next(iter(self.held.values())) <= now:
            self.close(next(iter(self.held)))

    @staticmethod
    def read_away(sock):
        """Drops what is here, a bounded part of it; whether the other side has ended or broken."""
        taken = 0
        try:
            while taken < ONCE:
                got = len(sock.recv(8192, socket.MSG_DONTWAIT))
                if not got:
                    return True
                taken += got
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False

    def close(self, sock):
        """Its time, or its room, is over."""
        del self.held[sock]
        self.shut(sock)

    def shut(self, sock):
        """Closes over nothing that is here already."""
        self.read_away(sock)
        sock.close()
