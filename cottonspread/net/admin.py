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

MOST = 12  # callers at a time; with the listener and the selector they are descriptors set aside
SET_ASIDE = MOST + 3
LINE_WAIT = 2.0  # seconds for a whole line, and as long again to take the answer
LONGEST = 256  # bytes of a call
BACKLOG = 64


class Caller:
    def __init__(self, sock):
        self.sock, self.heard, self.answer, self.until = sock, b"", None, time.monotonic() + LINE_WAIT


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
        self.give, self.callers, self.ended = answer, {}, False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)

    def run(self):
        while not self.ended:
            now = time.monotonic()
            first = min((c.until for c in self.callers.values()), default=now + 60)
            for key, _ in self.selector.select(max(0.0, first - now)):
                try:
                    self.welcome() if key.fileobj is self.listener else self.serve(self.callers[key.fileobj])
                except KeyError:  # made room for another in this round
                    pass
                except OSError as fault:
                    if key.fileobj is not self.listener:
                        self.drop(key.fileobj)
                    elif not self.ended:
                        log.warning("accept", extra={"pairs": {"why": fault}})
                        time.sleep(0.01)
            now = time.monotonic()
            for caller in [c for c in self.callers.values() if c.until <= now]:
                self.late(caller)
        for sock in list(self.callers):
            self.drop(sock)
        self.selector.close()
        self.listener.close()

    def stop(self):
        """From another thread."""
        self.ended = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes `run`

    def welcome(self):
        sock, _ = self.listener.accept()
        sock.setblocking(False)
        if len(self.callers) >= MOST:
            self.late(next(iter(self.callers.values())))
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
                self.drop(caller.sock)
            return
        caller.heard += data
        line, ended, rest = caller.heard.partition(b"\n")
        if not ended and data and len(caller.heard) <= LONGEST:
            return
        if not caller.heard:
            self.drop(caller.sock)
        elif not ended or rest or len(line) > LONGEST:
            self.say(caller, b"400 one whole line to a connection, of %d bytes at most\n" % LONGEST)
        else:
            try:
                answer = self.give(line.strip().decode("ascii", "replace"))
            except Exception:  # our own fault: in plain sight, and the others are answered
                log.exception("fault", extra={"pairs": {"while": "operators' call"}})
                answer = b"400 fault, see the log\n"
            self.say(caller, answer)

    def say(self, caller, answer):
        caller.answer, caller.until = answer, time.monotonic() + LINE_WAIT
        self.write(caller)

    def write(self, caller):
        with contextlib.suppress(BlockingIOError):
            caller.answer = caller.answer[caller.sock.send(caller.answer) :]
        if caller.answer:
            self.selector.modify(caller.sock, selectors.EVENT_WRITE)
        else:
            self.selector.modify(caller.sock, selectors.EVENT_READ)
            caller.sock.shutdown(socket.SHUT_WR)

    def late(self, caller):
        """Its time is up, or its place is wanted."""
        try:
            if caller.answer is None:
                caller.sock.send(b"400 no whole line came\n")
        except OSError:
            pass
        self.drop(caller.sock)

    def drop(self, sock):
        if self.callers.pop(sock, None):
            self.selector.unregister(sock)
            sock.close()
