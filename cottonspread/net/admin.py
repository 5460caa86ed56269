"""The operators' address: one command line per connection, one answer.

It is served in its own thread, which never waits for the reducer nor for a single caller: all sockets are
non-blocking. A caller that sends no complete line is closed after a timeout, and when the limit is reached
the oldest caller is closed in favour of a new one, so that idle callers cannot lock others out.
"""

import contextlib
import logging
import selectors
import socket
import time

log = logging.getLogger("cottonspread.admin")

MAX_CALLERS = 12  # concurrent callers; their descriptors, the listener's and the selector's are reserved
RESERVED_DESCRIPTORS = MAX_CALLERS + 3
LINE_TIMEOUT = 2.0  # seconds to send a whole line, and as many again to receive the answer
MAX_LINE = 256  # bytes of a command
BACKLOG = 64


class Caller:
    """One connection to the operators' address."""

    def __init__(self, sock):
        """`sock`: non-blocking."""
        self.sock, self.received, self.answer, self.deadline = (
            sock,
            b"",
            None,
            time.monotonic() + LINE_TIMEOUT,
        )


class Admin:
    """The server of the operators' address."""

    def __init__(self, address, answer):
        """`answer(command)` returns the answer to a command, as bytes; it must not block.

        Raises OSError if the address cannot be bound.
        """
        try:
            self.listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            # Tells which of the node's two addresses failed.
            error.filename = "operator: {}:{}".format(*address)
            raise
        self.listener.setblocking(False)
        self.answer_to, self.callers, self.stopped = answer, {}, False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)

    def run(self):
        """Serves callers until `stop`; then closes all sockets."""
        while not self.stopped:
            now = time.monotonic()
            deadline = min((c.deadline for c in self.callers.values()), default=now + 60)
            for key, _ in self.selector.select(max(0.0, deadline - now)):
                try:
                    self.accept() if key.fileobj is self.listener else self.serve(self.callers[key.fileobj])
                except KeyError:  # evicted earlier in this round, in favour of a new caller
                    pass
                except OSError as error:
                    if key.fileobj is not self.listener:
                        self.close(key.fileobj)
                    elif not self.stopped:
                        log.warning("accept", extra={"pairs": {"why": error}})
                        time.sleep(0.01)
            now = time.monotonic()
            for caller in [c for c in self.callers.values() if c.deadline <= now]:
                self.evict(caller)
        for sock in list(self.callers):
            self.close(sock)
        self.selector.close()
        self.listener.close()

    def stop(self):
        """Ends `run`. Called from another thread."""
        self.stopped = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes `run`

    def accept(self):
        """Accepts one caller; at the limit the oldest caller is closed first."""
        sock, _ = self.listener.accept()
        sock.setblocking(False)
        if len(self.callers) >= MAX_CALLERS:
            self.evict(next(iter(self.callers.values())))
        self.callers[sock] = Caller(sock)
        self.selector.register(sock, selectors.EVENT_READ)
        self.serve(self.callers[sock])  # the line has usually arrived already

    def serve(self, caller):
        """Reads from, or writes to, a caller whose socket is ready."""
        if caller.answer:
            self.write(caller)
            return
        try:
            data = caller.sock.recv(4096)
        except BlockingIOError:
            return
        if caller.answer is not None:  # discard further input: closing with unread input would send a reset
            if not data:
                self.close(caller.sock)
            return
        caller.received += data
        line, newline, rest = caller.received.partition(b"\n")
        if not newline and data and len(caller.received) <= MAX_LINE:
            return
        if not caller.received:
            self.close(caller.sock)
        elif not newline or rest or len(line) > MAX_LINE:
            self.reply(caller, b"400 one whole line to a connection, of %d bytes at most\n" % MAX_LINE)
        else:
            try:
                answer = self.answer_to(line.strip().decode("ascii", "replace"))
            except Exception:  # an internal error: log it and go on serving the other callers
                log.exception("fault", extra={"pairs": {"while": "operators' call"}})
                answer = b"400 fault, see the log\n"
            self.reply(caller, answer)

    def reply(self, caller, answer):
        """Starts sending the answer."""
        caller.answer, caller.deadline = answer, time.monotonic() + LINE_TIMEOUT
        self.write(caller)

    def write(self, caller):
        """Sends as much of the answer as the socket takes, then shuts down the sending side."""
        with contextlib.suppress(BlockingIOError):
            caller.answer = caller.answer[caller.sock.send(caller.answer) :]
        if caller.answer:
            self.selector.modify(caller.sock, selectors.EVENT_WRITE)
        else:
            self.selector.modify(caller.sock, selectors.EVENT_READ)
            caller.sock.shutdown(socket.SHUT_WR)

    def evict(self, caller):
        """Closes a caller that has timed out or has to make room for a new one."""
        try:
            if caller.answer is None:
                caller.sock.send(b"400 no whole line came\n")
        except OSError:
            pass
        self.close(caller.sock)

    def close(self, sock):
        """Forgets the caller and closes its socket."""
        if self.callers.pop(sock, None):
            self.selector.unregister(sock)
            sock.close()
