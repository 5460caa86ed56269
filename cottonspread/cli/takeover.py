"""Process takeover for a node whose listening socket the platform holds: a new process takes over from the
one that serves, and later hands over to the next.

The processes exchange files in a shared folder (TMPDIR). A successor that is ready to serve writes a request
file (`.wanted`) with a token of its own. The serving process writes a reply file (`.handed`) with the same
token and its state, and the successor starts accepting connections. Without a reply within a second it starts
without that state, because a hanging predecessor must not keep it from serving. When the predecessor stops,
it passes its established connections to the successor through a Unix socket (`.heir`). While both accept
connections they share the ids of calls (`.ids`, see `net.shared_ids`).
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
from cottonspread.net import connection_transfer, workers

log = logging.getLogger("cottonspread.succession")

LIST_TIMEOUT = 2.0  # seconds, see `InitialList`
ANSWER_TIMEOUT = 1.0  # seconds


def inherited_listener(environment):
    """The listening socket that PROXY_INHERITED_FD names, or None without it."""
    value = environment.get("PROXY_INHERITED_FD")
    if not value:
        return None
    try:
        listener = socket.socket(fileno=int(value))
        listens = listener.type == socket.SOCK_STREAM and listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        )
    except (ValueError, OSError) as error:
        raise ConfigurationError(f"PROXY_INHERITED_FD: {value!r}: {error}") from error
    if not listens:
        listener.detach()  # the descriptor is not this process's to close
        raise ConfigurationError(f"PROXY_INHERITED_FD: {value!r} is not a listening socket")
    return listener


@contextlib.contextmanager
def short_socket_path(path):
    """A path to the same file that is short enough for a Unix socket address."""
    if len(os.fsencode(path)) <= control.MAX_SOCKET_PATH:
        yield path
        return
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


class Takeover:
    """One process's part in takeovers: first as the successor, then as the predecessor.

    `state`: "waiting" until it is ready to serve, "asking" until the reply or its timeout, then "serving".
    """

    def __init__(self, parts, folder=None):
        """`parts`: of the node's configuration; the list of servers in them is replaced by a newer saved one.

        `folder`: the shared folder; None: TMPDIR.
        """
        folder = folder or tempfile.gettempdir()
        base = os.path.join(folder, "cottonspread-" + quote(parts[0].name, safe=""))
        self.request_path, self.reply_path, self.token = (
            base + ".wanted",
            base + ".handed",
            f"{os.getpid()} {time.time_ns()}",
        )
        self.transfer_path, self.transfer_listener, self.successor_token = base + ".heir", None, None
        self.ids_path = base + ".ids"
        self.lock = control.Lock(base + ".lock")
        self.initial_list = InitialList(parts, base + ".list", LIST_TIMEOUT)
        self.requested_at, self.has_lock, self.state = 0.0, False, "waiting"

    def poll(self, node):
        """Takes the next step, if any. Called about ten times a second, and more often before it serves."""
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
                    node.id_sharing.create(self.ids_path)
                    self.write_file(self.request_path, self.token)
        elif self.state == "asking":
            reply, timed_out = self.read_reply(), now - self.requested_at >= ANSWER_TIMEOUT
            if reply or timed_out:
                if not reply:
                    log.warning("hand-over", extra={"pairs": {"why": "no answer", "kept": "none"}})
                self.start_serving(node, reply)
        else:
            if not self.has_lock and self.lock.acquire():  # the predecessor has exited
                self.has_lock = True
                node.limit_sockets(None)
                if self.transfer_listener:
                    self.transfer_listener.shutdown(socket.SHUT_RDWR)  # wakes its thread
                    self.transfer_listener = None
            node.id_sharing.check(predecessor_may_join=not self.has_lock)
            self.answer_request(node)

    def start_serving(self, node, handover_state):
        """Starts accepting connections, with the predecessor's state if there is any."""
        self.state = "serving"
        if handover_state:
            node.inherit_state(handover_state)
        node.start_accepting()
        log.info("takes", extra={"pairs": {"handed": bool(handover_state), "alone": self.has_lock}})

    def listen_for_connections(self, node):
        """Listens for the predecessor, which passes its established connections on when it stops.

        If that fails, the predecessor asks their clients to move, as without a successor.
        """
        try:
            with short_socket_path(self.transfer_path) as path:
                self.transfer_listener = control.listen(path)
        except OSError as error:
            log.warning("hand-over", extra={"pairs": {"file": self.transfer_path, "why": error}})
            return
        workers.start_thread(
            self.receive_connections, self.transfer_listener, node, stack=workers.LARGE_STACK_SIZE
        )

    def receive_connections(self, listener, node):
        """The thread that receives established connections, until the listener is shut down."""
        token = self.token.encode() + b"\n"
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # shut down
                break
            with sock:
                try:
                    sock.settimeout(ANSWER_TIMEOUT)
                    if sock.recv(len(token), socket.MSG_WAITALL) == token:
                        sock.settimeout(None)
                        connection_transfer.receive_connections(sock, node.adopt_connection)
                except OSError as error:
                    log.warning("hand-over", extra={"pairs": {"why": error}})
        listener.close()

    def stop(self, node, active):
        """SIGTERM: stops the node. Connections not yet accepted are left to the successor, and established
        ones are passed to it.
        """
        sock = None
        if self.successor_token:
            try:
                with short_socket_path(self.transfer_path) as path:
                    sock = control.connect(path, ANSWER_TIMEOUT)
                sock.sendall(self.successor_token.encode() + b"\n")
                sock.settimeout(None)
            except OSError as error:  # it has exited, or its version does not accept them
                log.warning("hand-over", extra={"pairs": {"why": error}})
                sock = None
        node.shut_down(True, sock)

    def read_reply(self):
        """The predecessor's state, or None while there is no valid reply with this process's token."""
        try:
            with open(self.reply_path, encoding="utf-8") as file:
                return handover.unpack(file.read(), self.token)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:  # perhaps left by an earlier process
            log.warning("hand-over", extra={"pairs": {"why": error, "kept": "none"}})
            self.remove_file(self.reply_path)
            return None

    def answer_request(self, node):
        """Answers a request file, if there is one. Its token makes the reply valid only for its writer."""
        try:
            with open(self.request_path, encoding="utf-8", errors="replace") as file:
                token = file.read(100)
        except OSError:
            return
        if token == self.token:  # this process's own request, which nobody answered
            self.remove_file(self.request_path)
            return
        node.id_sharing.join(self.ids_path)
        handover_state = node.hand_over_state()
        if handover_state:
            self.remove_file(self.request_path)
            self.successor_token = token
            self.write_file(self.reply_path, handover.pack(handover_state, token))
            log.info(
                "hands-over",
                extra={
                    "pairs": {
                        "records": len(handover_state.records),
                        "calls": len(handover_state.ids),
                        "room": handover_state.room,
                    }
                },
            )

    def write_file(self, path, text):
        """Writes a file; failure is logged."""
        try:
            saved.write_atomically(path, text, synced=False)
        except OSError as error:
            log.error("hand-over", extra={"pairs": {"file": path, "why": error}})

    @staticmethod
    def remove_file(path):
        """Removes a file, if it is there."""
        with contextlib.suppress(OSError):
            os.unlink(path)
