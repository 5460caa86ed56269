"""The operators' address: one line to a connection, one answer, in a thread of its
own that never waits for the reducer.

It never waits for a caller either: all are read and written as they are ready. A caller that says
nothing has a time limit, and the one that has said nothing for longest makes room for a new one, so that
callers who never finish keep nobody out.
"""

import contextlib
import logging
import selectors
import socket
import time

log = logging.getLogger("cottonspread.admin")

MAX_CALLERS = 12  # callers at a time; with the listener and the selector they are descriptors set aside
RESERVED_DESCRIPTORS = MAX_CALLERS + 3
LINE_TIMEOUT = 2.0  # seconds for a whole line, and as long again to take the answer
MAX_LINE = 256  # bytes of a call
BACKLOG = 64


class Caller:
    def __init__(self, sock):
        self.sock, self.received, self.answer, self.deadline = (
            sock,
            b"",
            None,
            time.monotonic() + LINE_TIMEOUT,
        )


class Admin:
    def __init__(self, address, answer):
        """`answer(word)`: what is said to a call, as bytes; it may wait for nothing.

        OSError if the address is not to be had.
        """
        try:
            self.listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as fault:
            fault.filename = "operator: {}:{}".format(*address)  # which of the node's two addresses it is
            raise
        self.listener.setblocking(False)
        self.answer_to, self.callers, self.stopped = answer, {}, False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)

    def run(self):
        while not self.stopped:
            now = time.monotonic()
            deadline = min((c.deadline for c in self.callers.values()), default=now + 60)
            for key, _ in self.selector.select(max(0.0, deadline - now)):
                try:
                    self.accept() if key.fileobj is self.listener else self.serve(self.callers[key.fileobj])
                except KeyError:  # made room for another in this round
                    pass
                except OSError as fault:
                    if key.fileobj is not self.listener:
                        self.close(key.fileobj)
                    elif not self.stopped:
                        log.warning("accept", extra={"pairs": {"why": fault}})
                        time.sleep(0.01)
            now = time.monotonic()
            for caller in [c for c in self.callers.values() if c.deadline <= now]:
                self.evict(caller)
        for sock in list(self.callers):
            self.close(sock)
        self.selector.close()
        self.listener.close()

    def stop(self):
        """From another thread."""
        self.stopped = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes `run`

    def accept(self):
        sock, _ = self.listener.accept()
        sock.setblocking(False)
        if len(self.callers) >= MAX_CALLERS:
            self.evict(next(iter(self.callers.values())))
        self.callers[sock] = Caller(sock)
        self.selector.register(sock, selectors.EVENT_READ)
        self.serve(self.callers[sock])  # its line mostly came with it

    def serve(self, caller):
        if caller.answer:
            self.write(caller)
            return
        try:
            data = caller.sock.recv(4096)
        except BlockingIOError:
            return
        if caller.answer is not None:  # all is said: what still comes is read, or the end would be a reset
            if not data:
                self.close(caller.sock)
            return
        caller.received += data
        line, ended, rest = caller.received.partition(b"\n")
        if not ended and data and len(caller.received) <= MAX_LINE:
            return
        if not caller.received:
            self.close(caller.sock)
        elif not ended or rest or len(line) > MAX_LINE:
            self.reply(caller, b"400 one whole line to a connection, of %d bytes at most\n" % MAX_LINE)
        else:
            try:
                answer = self.answer_to(line.strip().decode("ascii", "replace"))
            except Exception:  # our own fault: in plain sight, and the others are answered
                log.exception("fault", extra={"pairs": {"while": "operators' call"}})
                answer = b"400 fault, see the log\n"
            self.reply(caller, answer)

    def reply(self, caller, answer):
        caller.answer, caller.deadline = answer, time.monotonic() + LINE_TIMEOUT
        self.write(caller)

    def write(self, caller):
        with contextlib.suppress(BlockingIOError):
            caller.answer = caller.answer[caller.sock.send(caller.answer) :]
        if caller.answer:
            self.selector.modify(caller.sock, selectors.EVENT_WRITE)
        else:
            self.selector.modify(caller.sock, selectors.EVENT_READ)
            caller.sock.shutdown(socket.SHUT_WR)

    def evict(self, caller):
        """Its time is up, or its place is wanted."""
        try:
            if caller.answer is None:
                caller.sock.send(b"400 no whole line came\n")
        except OSError:
            pass
        self.close(caller.sock)

    def close(self, sock):
        if self.callers.pop(sock, None):
            self.selector.unregister(sock)
            sock.close()
