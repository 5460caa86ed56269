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

from cottonspread.cli.initial_list import InitialList
from cottonspread.config import ConfigurationError
from cottonspread.fleet import control
from cottonspread.front import handover
from cottonspread.lists import saved
from cottonspread.net import passing, workers

log = logging.getLogger("cottonspread.succession")

LIST_TIMEOUT = 2.0  # see `InitialList`
ANSWER_TIMEOUT = 1.0


def inherited_listener(environment):
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
def short_socket_path(path):
    """A name for this path that fits into the address of a socket."""
    if len(os.fsencode(path)) <= control.MAX_SOCKET_PATH:
        yield path
        return
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


class Takeover:
    def __init__(self, parts, folder=None):
        folder = folder or tempfile.gettempdir()  # TMPDIR, where it is set
        base = os.path.join(folder, "cottonspread-" + quote(parts[0].name, safe=""))
        self.request_path, self.reply_path, self.token = (
            base + ".wanted",
            base + ".handed",
            f"{os.getpid()} {time.time_ns()}",
        )
        self.transfer_path, self.transfer_listener, self.successor_token = base + ".heir", None, None
        self.lock = control.Lock(base + ".lock")
        self.initial_list = InitialList(parts, base + ".list", LIST_TIMEOUT)
        self.requested_at, self.has_lock, self.state = 0.0, False, "waiting"

    def poll(self, node):
        """Some ten times a second and more often before it serves."""
        if node.reducer.stopping:
            return
        now = time.monotonic()
        if self.state == "waiting":
            if self.initial_list.ready(node):
                self.has_lock = self.lock.acquire()
                if self.has_lock:
                    self.start_serving(node, None)
                else:
                    self.state, self.requested_at = "asking", now
                    self.listen_for_connections(node)
                    self.write_file(self.request_path, self.token)
        elif self.state == "asking":
            answer, over = self.read_reply(), now - self.requested_at >= ANSWER_TIMEOUT
            if answer or over:
                if not answer:
                    log.warning("hand-over", extra={"pairs": {"why": "no answer", "kept": "none"}})
                self.start_serving(node, answer)
        else:
            if not self.has_lock and self.lock.acquire():  # the predecessor has ended
                self.has_lock = True
                node.limit(None)
                if self.transfer_listener:
                    self.transfer_listener.shutdown(socket.SHUT_RDWR)  # wakes its thread
                    self.transfer_listener = None
            self.answer_request(node)

    def start_serving(self, node, handed):
        self.state = "serving"
        if handed:
            node.inherit(handed)
        node.take()
        log.info("takes", extra={"pairs": {"handed": bool(handed), "alone": self.has_lock}})

    def listen_for_connections(self, node):
        """Standing ones of the predecessor, which comes with them when it ends.

        Without, they are moved as at any end.
        """
        try:
            with short_socket_path(self.transfer_path) as path:
                self.transfer_listener = control.listen(path)
        except OSError as fault:
            log.warning("hand-over", extra={"pairs": {"file": self.transfer_path, "why": fault}})
            return
        workers.start_thread(self.receive_connections, self.transfer_listener, node, stack=workers.WIDE)

    def receive_connections(self, listener, node):
        token = self.token.encode() + b"\n"
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # nobody comes any more
                break
            with sock:
                try:
                    sock.settimeout(ANSWER_TIMEOUT)
                    if sock.recv(len(token), socket.MSG_WAITALL) == token:
                        sock.settimeout(None)
                        passing.take_over(sock, node.adopt)
                except OSError as fault:
                    log.warning("hand-over", extra={"pairs": {"why": fault}})
        listener.close()

    def stop(self, node, force):
        """SIGTERM. What lies in the queue of the listener is the next process's,
        and so are the connections that stand.
        """
        sock = None
        if self.successor_token:
            try:
                with short_socket_path(self.transfer_path) as path:
                    sock = control.connect(path, ANSWER_TIMEOUT)
                sock.sendall(self.successor_token.encode() + b"\n")
                sock.settimeout(None)
            except OSError as fault:  # it has ended, or is of a version that takes none
                log.warning("hand-over", extra={"pairs": {"why": fault}})
                sock = None
        node.leave(True, sock)

    def read_reply(self):
        try:
            with open(self.reply_path, encoding="utf-8") as file:
                return handover.unpack(file.read(), self.token)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as fault:  # of an earlier one, perhaps: once, and on
            log.warning("hand-over", extra={"pairs": {"why": fault, "kept": "none"}})
            self.remove_file(self.reply_path)
            return None

    def answer_request(self, node):
        """Whatever stands in WANTED, the answer is for nobody but who wrote it."""
        try:
            with open(self.request_path, encoding="utf-8", errors="replace") as file:
                token = file.read(100)
        except OSError:
            return
        if token == self.token:  # its own, which nobody answered
            self.remove_file(self.request_path)
            return
        handed = node.hand_over()
        if handed:
            self.remove_file(self.request_path)
            self.successor_token = token
            self.write_file(self.reply_path, handover.pack(handed, token))
            log.info(
                "hands-over",
                extra={
                    "pairs": {"records": len(handed.records), "calls": len(handed.ids), "room": handed.room}
                },
            )

    def write_file(self, path, text):
        try:
            saved.write_atomically(path, text)
        except OSError as fault:
            log.error("hand-over", extra={"pairs": {"file": path, "why": fault}})

    @staticmethod
    def remove_file(path):
        with contextlib.suppress(OSError):
            os.unlink(path)
