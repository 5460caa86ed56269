"""An event loop for one thread's sockets and timers, on epoll with waits in microseconds.

Python's epoll waits whole milliseconds, which alone would exceed the limit on the generator's lateness, so
the loop waits by a `select` on the epoll descriptor. Timers that are due run before the next socket event:
intended times have priority.
"""

import gc
import heapq
import os
import select
import socket
import sys

from cottonspread.lab.wire import now

IN, OUT, GONE = select.EPOLLIN, select.EPOLLOUT, select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 32  # socket events taken from the kernel at a time


class Loop:
    """The event loop. Times are microseconds of the monotonic clock."""

    def __init__(self):
        """Create it before the thread's sockets: `select` takes only descriptors under 1024."""
        self.poll = select.epoll()
        if self.poll.fileno() >= 1024:
            raise RuntimeError("create the loop before its sockets: select takes only descriptors under 1024")
        self.handlers, self.timers, self.sequence, self.stopped = {}, [], 0, False
        self.spin = 0  # busy-waits for this many microseconds before a timer, as a sleep ends 0.1 ms late

    def at(self, when, callback, *args):
        """Calls `callback(*args)` at the time `when`."""
        self.sequence += 1
        heapq.heappush(self.timers, (when, self.sequence, callback, args))

    def watch(self, sock, callback, mask=IN):
        """Calls `callback(mask)` whenever the socket (or descriptor) has an event of the mask."""
        fd = sock if isinstance(sock, int) else sock.fileno()
        self.handlers[fd] = callback
        self.poll.register(fd, mask)

    def set_mask(self, sock, mask):
        """Changes the events that a watched socket waits for."""
        self.poll.modify(sock.fileno(), mask)

    def unwatch(self, sock):
        """Stops watching a socket or descriptor."""
        fd = sock if isinstance(sock, int) else sock.fileno()
        if self.handlers.pop(fd, None) is not None:
            self.poll.unregister(fd)

    def stop(self):
        """Makes `run` return."""
        self.stopped = True

    def run_due_timers(self):
        """Calls the callbacks of all timers that are due."""
        timers = self.timers
        while timers and timers[0][0] <= now() and not self.stopped:
            _, _, callback, args = heapq.heappop(timers)
            callback(*args)

    def run(self):
        """Runs timers and socket callbacks until `stop`."""
        own = [self.poll.fileno()]
        while not self.stopped:
            self.run_due_timers()
            wait = (self.timers[0][0] - now()) / 1e6 if self.timers else 1.0
            if wait > self.spin / 1e6:
                select.select(own, [], [], min(wait - self.spin / 1e6, 1.0))
            for fd, mask in self.poll.poll(0, MAX_EVENTS):
                callback = self.handlers.get(fd)
                if callback is not None:
                    callback(mask)
                if self.timers and self.timers[0][0] <= now():
                    self.run_due_timers()

    def read_parent_commands(self, on_command):
        """Calls `on_command(words)` for each line on standard input.

        The end of standard input stops the loop, so that the process does not outlive its parent.
        """
        rest = [b""]
        os.set_blocking(0, False)

        def read(_):
            try:
                data = os.read(0, 65536)
            except BlockingIOError:
                return
            if not data:
                self.unwatch(0)
                self.stop()
                return
            *lines, rest[0] = (rest[0] + data).split(b"\n")
            for line in lines:
                on_command(line.decode().split())

        self.watch(0, read)


def listener(address, backlog, owner):
    """Returns a non-blocking listening socket; OSError names the owner of the address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError("{}: {}:{}: {}".format(owner, *address, error.strerror)) from None
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def send_to_parent(line):
    """Writes a line to standard output, which the parent process reads."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def disable_gc():
    """Disables the cyclic garbage collector: a full collection pauses the process for milliseconds.

    The lab's objects are freed by their reference counts.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
