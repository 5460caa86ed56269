"""A node whose listening socket the platform holds: the process takes over from one that serves
already, and hands over to the next.

The files are in the folder that both share (TMPDIR). A successor that could serve writes WANTED with a mark
of its own; whoever serves answers with HANDED, which bears the mark; then the successor takes connections.
Without an answer within a second it starts from nothing: a predecessor that hangs must not keep its successor
from serving. At its end the predecessor passes on, by the socket HEIR, the connections that stand.
"""

import contextlib
import logging
import os
import socket
import tempfile
import time
from urllib.parse import quote

from cottonspread.cli.known import Known
from cottonspread.config import ConfigurationError
from cottonspread.fleet import control
from cottonspread.front import handover
from cottonspread.lists import saved
from cottonspread.net import passing, workers

log = logging.getLogger("cottonspread.succession")

LIST_WAIT = 2.0  # see `Known`
ANSWER_WAIT = 1.0


def inherited(environment):
    """The listening socket that PROXY_INHERITED_FD names, or None without it."""
    word = environment.get("PROXY_INHERITED_FD")
    if not word:
        return None
    try:
        listener = socket.socket(fileno=int(word))
        listens = listener.type == socket.SOCK_STREAM and listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        )
    except (ValueError, OSError) as fault:
        raise ConfigurationError(f"PROXY_INHERITED_FD: {word!r}: {fault}") from fault
    if not listens:
        listener.detach()  # it is not ours to close
        raise ConfigurationError(f"PROXY_INHERITED_FD: {word!r} is no listening socket")
    return listener


@contextlib.contextmanager
def reachable(path):
    """A name for this path that fits into the address of a socket."""
    if len(os.fsencode(path)) <= control.LONGEST_PATH:
        yield path
        return
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


class Succession:
    def __init__(self, parts, folder=None):
        folder = folder or tempfile.gettempdir()  # TMPDIR, where it is set
        base = os.path.join(folder, "cottonspread-" + quote(parts[0].name, safe=""))
        self.wanted, self.handed, self.mark = (
            base + ".wanted",
            base + ".handed",
            f"{os.getpid()} {time.time_ns()}",
        )
        self.heir_path, self.heir, self.heir_mark = base + ".heir", None, None
        self.lock = control.Lock(base + ".lock")
        self.known = Known(parts, base + ".list", LIST_WAIT)
        self.asked_at, self.alone, self.state = 0.0, False, "waiting"

    def look(self, node):
        """Some ten times a second and more often before it serves."""
        if node.reducer.stopping:
            return
        now = time.monotonic()
        if self.state == "waiting":
            if self.known.ready(node):
                self.alone = self.lock.take()
                if self.alone:
                    self.take(node, None)
                else:
                    self.state, self.asked_at = "asking", now
                    self.await_connections(node)
                    self.write(self.wanted, self.mark)
        elif self.state == "asking":
            answer, over = self.answer(), now - self.asked_at >= ANSWER_WAIT
            if answer or over:
                if not answer:
                    log.warning("hand-over", extra={"pairs": {"why": "no answer", "kept": "none"}})
                self.take(node, answer)
        else:
            if not self.alone and self.lock.take():  # the predecessor has ended
                self.alone = True
                node.limit(None)
                if self.heir:
                    self.heir.shutdown(socket.SHUT_RDWR)  # wakes its thread
                    self.heir = None
            self.hand_over(node)

    def take(self, node, handed):
        self.state = "serving"
        if handed:
            node.inherit(handed)
        node.take()
        log.info("takes", extra={"pairs": {"handed": bool(handed), "alone": self.alone}})

    def await_connections(self, node):
        """Standing ones of the predecessor, which comes with them when it ends.

        Without, they are moved as at any end.
        """
        try:
            with reachable(self.heir_path) as path:
                self.heir = control.listening(path)
        except OSError as fault:
            log.warning("hand-over", extra={"pairs": {"file": self.heir_path, "why": fault}})
            return
        workers.start_thread(self.take_over, self.heir, node, stack=workers.WIDE)

    def take_over(self, heir, node):
        mark = self.mark.encode() + b"\n"
        while True:
            try:
                sock, _ = heir.accept()
            except OSError:  # nobody comes any more
                break
            with sock:
                try:
                    sock.settimeout(ANSWER_WAIT)
                    if sock.recv(len(mark), socket.MSG_WAITALL) == mark:
                        sock.settimeout(None)
                        passing.take_over(sock, node.adopt)
                except OSError as fault:
                    log.warning("hand-over", extra={"pairs": {"why": fault}})
        heir.close()

    def stop(self, node, force):
        """SIGTERM. What lies in the queue of the listener is the next process's,
        and so are the connections that stand.
        """
        sock = None
        if self.heir_mark:
            try:
                with reachable(self.heir_path) as path:
                    sock = control.connect(path, ANSWER_WAIT)
                sock.sendall(self.heir_mark.encode() + b"\n")
                sock.settimeout(None)
            except OSError as fault:  # it has ended, or is of a version that takes none
                log.warning("hand-over", extra={"pairs": {"why": fault}})
                sock = None
        node.leave(True, sock)

    def answer(self):
        try:
            with open(self.handed, encoding="utf-8") as file:
                return handover.unpack(file.read(), self.mark)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as fault:  # of an earlier one, perhaps: once, and on
            log.warning("hand-over", extra={"pairs": {"why": fault, "kept": "none"}})
            self.remove(self.handed)
            return None

    def hand_over(self, node):
        """Whatever stands in WANTED, the answer is for nobody but who wrote it."""
        try:
            with open(self.wanted, encoding="utf-8", errors="replace") as file:
                mark = file.read(100)
        except OSError:
            return
        if mark == self.mark:  # its own, which nobody answered
            self.remove(self.wanted)
            return
        handed = node.hand_over()
        if handed:
            self.remove(self.wanted)
            self.heir_mark = mark
            self.write(self.handed, handover.pack(handed, mark))
            log.info(
                "hands-over",
                extra={
                    "pairs": {"records": len(handed.records), "calls": len(handed.ids), "room": handed.room}
                },
            )

    def write(self, path, text):
        try:
            saved.write_atomically(path, text)
        except OSError as fault:
            log.error("hand-over", extra={"pairs": {"file": path, "why": fault}})

    @staticmethod
    def remove(path):
        with contextlib.suppress(OSError):
            os.unlink(path)
