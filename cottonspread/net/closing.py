"""Sockets that were turned away at the door, on their way to a clean close: one thread for all of them.

A close over bytes that nobody read is a reset, and a reset takes the last line with it. A client's
first line may come just after it was turned away, so each is read to its end, for a moment at most,
before its descriptor is given back.
"""

import queue
import select
import time
from collections import OrderedDict

WAIT = 1.0  # seconds that the other side gets to end
LOOK = 0.05  # seconds between two looks into the queue while there is anything to read
ONCE = 64 * 1024  # bytes taken from one socket at a look: who sends at full speed keeps nobody waiting


class Closer:
    def __init__(self, most):
        """`most()`: how many may wait here now; beyond it the one that has waited longest
        is closed at once.
        """
        self.most, self.coming, self.held = most, queue.SimpleQueue(), OrderedDict()  # socket: until when

    def take(self, sock):
        """From any thread: its last line is out, and it is this one's now."""
        self.coming.put(sock)

    def stop(self):
        self.coming.put(None)

    def run(self):
        while self.turn():
            pass

    def turn(self):
        """One look. False once it was told to stop; then nothing is left."""
        try:
            sock = self.coming.get(timeout=LOOK) if self.held else self.coming.get()
            if sock is None:
                for one in list(self.held):
                    self.close(one)
                return False
            sock.setblocking(False)
            self.held[sock] = time.monotonic() + WAIT
        except queue.Empty:
            pass
        self.look()
        while len(self.held) > max(1, self.most()):
            self.close(next(iter(self.held)))
        return True

    def look(self):
        poll, by_number = select.poll(), {}
        for sock in self.held:
            by_number[sock.fileno()] = sock
            poll.register(sock, select.POLLIN)
        for number, _ in poll.poll(0):
            if self.ended(by_number[number]):
                self.close(by_number[number])
        now = time.monotonic()
        while self.held and next(iter(self.held.values())) <= now:
            self.close(next(iter(self.held)))

    @staticmethod
    def ended(sock):
        taken = 0
        try:
            while taken < ONCE:
                got = len(sock.recv(8192))
                if not got:
                    return True
                taken += got
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False

    def close(self, sock):
        del self.held[sock]
        self.ended(sock)  # what came at the last moment
        sock.close()
