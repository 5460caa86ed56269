"""One thread's sockets and timers, on epoll with waits in microseconds.

Python's epoll waits whole milliseconds, which alone would break the limit on lateness, so the wait
is a `select` on the epoll descriptor. Between any two socket events the timers that are due come
first: intended times go before all.
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
    def __init__(self):
        self.poll = select.epoll()
        if self.poll.fileno() >= 1024:
            raise RuntimeError("a loop is made before its sockets: select takes descriptors under 1024 only")
        self.handlers, self.timers, self.sequence, self.stopped = {}, [], 0, False
        self.spin = 0  # microseconds before a timer that are spent awake; a sleep ends 0.1 ms late

    def at(self, when, callback, *args):
        self.sequence += 1
        heapq.heappush(self.timers, (when, self.sequence, callback, args))

    def watch(self, sock, callback, mask=IN):
        """`callback(mask)` is called when the socket has something for it."""
        fd = sock if isinstance(sock, int) else sock.fileno()
        self.handlers[fd] = callback
        self.poll.register(fd, mask)

    def set_mask(self, sock, mask):
        self.poll.modify(sock.fileno(), mask)

    def unwatch(self, sock):
        fd = sock if isinstance(sock, int) else sock.fileno()
        if self.handlers.pop(fd, None) is not None:
            self.poll.unregister(fd)

    def stop(self):
        self.stopped = True

    def run_due_timers(self):
        timers = self.timers
        while timers and timers[0][0] <= now() and not self.stopped:
            _, _, callback, args = heapq.heappop(timers)
            callback(*args)

    def run(self):
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
        """Orders come as lines on standard input; `on_command(words)` for each.

        Its end ends this process: nothing outlives whoever started it.
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
    """A listening socket that does not block; OSError names whose address it was."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as fault:
        sock.close()
        raise OSError("{}: {}:{}: {}".format(owner, *address, fault.strerror)) from None
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def send_to_parent(line):
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def disable_gc():
    """A full collection pauses for milliseconds; the lab's objects are freed by their counts."""
    gc.collect()
    gc.freeze()
    gc.disable()
