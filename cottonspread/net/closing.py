"""Lingering close for clients that were refused on accept: one thread closes all their sockets.

Closing a socket with unread input sends a reset, and the client may then lose the last line sent to it. A
client's first line may arrive just after it was refused. So input is read and discarded until the client
closes, for a limited time, before the socket is closed.
"""

import contextlib
import queue
import select
import socket
import time
from collections import OrderedDict

TIMEOUT = 1.0  # seconds that a client gets to close its side
CHECK_INTERVAL = 0.05  # seconds between two checks of the open sockets
MIN_QUEUE_LIMIT = 8  # sockets that may always be queued, whatever the limit
MAX_DISCARD_PER_CHECK = 64 * 1024  # bytes per socket, so that a flooding client does not delay the others


class Closer:
    """Discards the input of sockets until the other side has closed, then closes them."""

    def __init__(self, limit):
        """`limit()`: how many sockets may be open here now; beyond it the oldest is closed at once."""
        # `open_sockets` maps each socket to its deadline, oldest first
        self.limit, self.incoming, self.open_sockets = limit, queue.SimpleQueue(), OrderedDict()
        self.next_check = 0.0

    def add(self, sock):
        """Takes ownership of a socket whose last line has been sent. Called from any thread.

        When the queue is full, its oldest socket is closed at once.
        """
        if self.incoming.qsize() >= max(MIN_QUEUE_LIMIT, self.limit()):
            with contextlib.suppress(queue.Empty):
                oldest = self.incoming.get_nowait()
                if oldest is None:  # `stop` was called: later sockets are closed at once
                    self.incoming.put(None)
                    oldest = sock
                self.close_socket(oldest)
                if oldest is sock:
                    return
        self.incoming.put(sock)

    def stop(self):
        """Ends the thread and closes all open sockets."""
        self.incoming.put(None)

    def run(self):
        """The thread, until `stop`."""
        while self.step():
            pass

    def step(self):
        """Takes one socket from the queue or waits for the next check. Returns False after `stop`."""
        with contextlib.suppress(queue.Empty):
            sock = self.incoming.get(timeout=CHECK_INTERVAL) if self.open_sockets else self.incoming.get()
            if sock is None:
                for open_socket in list(self.open_sockets):
                    self.close(open_socket)
                return False
            sock.setblocking(False)
            self.open_sockets[sock] = time.monotonic() + TIMEOUT
        if self.incoming.empty() or time.monotonic() >= self.next_check:
            self.check()
        while len(self.open_sockets) > max(1, self.limit()):
            self.close(next(iter(self.open_sockets)))
        return True

    def check(self):
        """Closes sockets whose other side has closed or whose deadline has passed."""
        self.next_check = time.monotonic() + CHECK_INTERVAL
        poll, by_fd = select.poll(), {}
        for sock in self.open_sockets:
            by_fd[sock.fileno()] = sock
            poll.register(sock, select.POLLIN)
        for fd, _ in poll.poll(0):
            if self.discard_input(by_fd[fd]):
                self.close(by_fd[fd])
        now = time.monotonic()
        while self.open_sockets and next(iter(self.open_sockets.values())) <= now:
            self.close(next(iter(self.open_sockets)))

    @staticmethod
    def discard_input(sock):
        """Discards a limited amount of input; returns whether the other side has closed or reset."""
        discarded = 0
        try:
            while discarded < MAX_DISCARD_PER_CHECK:
                received = len(sock.recv(8192, socket.MSG_DONTWAIT))
                if not received:
                    return True
                discarded += received
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False

    def close(self, sock):
        """Closes an open socket."""
        del self.open_sockets[sock]
        self.close_socket(sock)

    def close_socket(self, sock):
        """Closes a socket after discarding the input that has already arrived."""
        self.discard_input(sock)
        sock.close()
