"""The replica's I/O shell: a single-threaded event loop around `replica.Replica`.

It serves HTTP/1.1 on one TCP address, one request at a time per connection. Of a request's head it reads only
method, target, Content-Length, Transfer-Encoding and Connection; every size and time is bounded. The state is
one file (see `storage`), written before anything that depends on it is acknowledged. Calls to the other
replicas run in the threads of `callers`, which pass their results to the loop.
"""

import contextlib
import logging
import os
import queue
import random
import selectors
import socket
from collections import OrderedDict
from collections.abc import Callable

from cottonspread.configstore import messages as m
from cottonspread.configstore import replica as core
from cottonspread.configstore import storage
from cottonspread.configstore.callers import POST_PATHS, WATCH_PATH, CallError, Callers, now
from cottonspread.configstore.requests import RequestError, RequestReader

log = logging.getLogger("cottonspread.configstore")

STATE_FILE = "replica.json"
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Bytes of all partially received requests together."""
MAX_CONNECTIONS = core.MAX_WATCHES + core.MAX_READERS + core.MAX_QUEUED_WRITES
REQUEST_TIMEOUT = 5 * m.SECOND
"""For the rest of a partially received request."""
SEND_TIMEOUT = 10 * m.SECOND
"""For a client to read its reply."""
IDLE_TIMEOUT = 60 * m.SECOND
"""For the next request on an idle connection."""
SWEEP_INTERVAL = 1 * m.SECOND
"""Between two checks of these timeouts."""
MAX_WAIT_S = 0.25
"""Maximum seconds that the loop waits for events."""
BACKLOG = 1024
POST_MESSAGES = {path: kind for kind, path in POST_PATHS.items()}
REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Service Unavailable"}


class Connection:
    """A client connection: received bytes, unsent bytes and the request being served."""

    def __init__(self, sock: socket.socket, at: int):
        """`at`: the time of the connection, in microseconds."""
        self.sock, self.reader, self.unsent = sock, RequestReader(), b""
        self.request: int | None = None
        self.waiting_since = at
        """When it last began to wait for bytes or for its reply to be read."""
        self.closing = False


def read_message(method: str, target: str, body: bytes):
    """Decodes the message of a request. Raises RequestError."""
    path, _, query = target.partition("?")
    try:
        if method == "GET" and path == WATCH_PATH:
            return m.from_query(query)
        if method == "POST" and path in POST_MESSAGES:
            return m.decode(body, POST_MESSAGES[path])
    except m.MessageError as error:
        raise RequestError(400, str(error)) from error
    raise RequestError(404, f"{method} {path[:100]}: no such endpoint")


def read_state(path: str, new: bool) -> m.ReplicaState:
    """Reads the replica's saved state; for a `new` replica, creates and saves an empty one.

    A replica that has lost its file has lost its accepted record and could accept another one in its place,
    so it must not start as if it were new. Raises storage.StorageError, OSError.
    """
    state = storage.read(path, m.ReplicaState)
    if state is None and not new:
        raise storage.StorageError(f"{path}: not found; use --new only for the first start of a replica")
    if state is not None and new:
        raise storage.StorageError(f"{path}: already exists; use --new only for the first start of a replica")
    if state is None:
        state = m.ReplicaState()
        storage.write(path, state)
    return state


class Server:
    """A replica's server.

    `run` serves until `stop`, which may be called from any thread or signal handler.
    """

    def __init__(
        self,
        name: str,
        listener: socket.socket,
        peers: tuple[str, ...],
        folder: str,
        new: bool = False,
        uniform=None,
    ):
        """`name` and `peers`: HOST:PORT. `new`: the replica's first start, see `read_state`.

        Raises storage.StorageError, OSError.
        """
        self._path = os.path.join(folder, STATE_FILE)
        os.makedirs(folder, exist_ok=True)
        state = read_state(self._path, new)
        uniform = uniform or random.Random(f"{name} {os.getpid()}").random
        self.core = core.Replica(name, peers, state, uniform)
        self._listener, self._selector = listener, selectors.DefaultSelector()
        self._connections: dict[socket.socket, Connection] = {}
        self._pending: dict[int, Connection] = {}
        self._partial: OrderedDict[Connection, None] = OrderedDict()
        """Connections with part of a request, the one that has sent nothing for the longest first."""
        self._requests, self._buffered, self._last_sweep, self._stopped = 0, 0, 0, False
        self._callers, self._inbox = Callers(), queue.SimpleQueue()
        self._wake_reader, self._wake_writer = socket.socketpair()
        for sock in (self._wake_reader, self._wake_writer, listener):
            sock.setblocking(False)

    def stop(self) -> None:
        """Asks the loop to end."""
        self._stopped = True
        self._wake_loop()

    def _wake_loop(self) -> None:
        with contextlib.suppress(OSError):  # the buffer is full, so the loop will wake anyway
            self._wake_writer.send(b"x")

    def run(self) -> None:
        """Serves until `stop`."""
        self._selector.register(self._listener, selectors.EVENT_READ, self._accept)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, self._drain_wake)
        state = self.core.state
        log.info("serving", extra={"pairs": {"version": state.committed.version if state.committed else 0}})
        self._step(core.Tick())
        try:
            while not self._stopped:
                self._run_once()
        finally:
            self._close_all()

    def _run_once(self) -> None:
        wait = max(0.0, min(MAX_WAIT_S, (self.core.wake_at - now()) / m.SECOND))
        for key, mask in self._selector.select(wait):
            if self._selector.get_map().get(key.fd) is key:  # not closed by an earlier event of this round
                self._call_guarded(key.data, mask)
        while not self._inbox.empty():
            self._step(self._inbox.get())
        if now() >= self.core.wake_at:
            self._step(core.Tick())
        if now() - self._last_sweep >= SWEEP_INTERVAL:
            self._sweep()

    @staticmethod
    def _call_guarded(callback: Callable, mask: int) -> None:
        """Logs an unexpected exception and goes on serving."""
        try:
            callback(mask)
        except Exception:
            log.exception("fault", extra={"pairs": {"while": getattr(callback, "__qualname__", "event")}})

    def _drain_wake(self, mask: int) -> None:
        self._wake_reader.recv(4096)

    def _close_all(self) -> None:
        self._callers.stop()
        for connection in list(self._connections.values()):
            self._drop(connection)
        for sock in (self._listener, self._wake_reader, self._wake_writer):
            sock.close()
        self._selector.close()

    # The core

    def _step(self, event: core.Event) -> None:
        events = [event]
        while events:
            for effect in self.core.step(now(), events.pop(0)):
                follows = self._execute(effect)
                if follows is not None:
                    events.append(follows)

    def _execute(self, effect: core.Effect) -> core.Event | None:
        match effect:
            case core.Store():
                return self._store(effect)
            case core.Reply():
                self._reply(effect.request, 200, m.encode(effect.message))
            case core.Reject():
                self._reply(effect.request, 503, effect.why.encode())
            case core.CallPeer():
                self._call_peer(effect)
        return None

    def _store(self, effect: core.Store) -> core.Stored:
        try:
            storage.write(self._path, effect.state)
        except OSError as error:
            log.error("not-stored", extra={"pairs": {"why": error}})
            return core.Stored(effect.token, False, str(error)[: m.MAX_WHY_LENGTH])
        return core.Stored(effect.token, True)

    def _call_peer(self, effect: core.CallPeer) -> None:
        def done(outcome):
            if isinstance(outcome, CallError):
                self._inbox.put(core.PeerFailed(effect.call, str(outcome)))
            else:
                self._inbox.put(core.PeerReplied(effect.call, outcome))
            self._wake_loop()

        self._callers.call(effect.peer, effect.message, effect.deadline, done)

    # Connections

    def _accept(self, mask: int) -> None:
        try:
            sock = self._listener.accept()[0]
        except OSError:  # the client closed again, or no descriptor is free
            return
        if len(self._connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, now())
        self._connections[sock] = connection
        self._selector.register(sock, selectors.EVENT_READ, lambda mask: self._on_ready(connection, mask))

    def _on_ready(self, connection: Connection, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self._send(connection)
        if mask & selectors.EVENT_READ and connection.sock in self._connections:
            self._receive(connection)

    def _receive(self, connection: Connection) -> None:
        try:
            data = connection.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        # A client that sends while its request is served violates the one-request-at-a-time rule.
        if not data or connection.request is not None or connection.unsent:
            self._drop(connection)
            return
        self._add_received(connection, data)
        self._read_request(connection)

    def _add_received(self, connection: Connection, data: bytes) -> None:
        if connection not in self._partial:
            connection.waiting_since = now()
        self._partial[connection] = None
        self._partial.move_to_end(connection)
        connection.reader.feed(data)
        self._buffered += len(data)
        while self._buffered > MAX_BUFFERED_BYTES:
            self._drop(next(iter(self._partial)))

    def _read_request(self, connection: Connection) -> None:
        if connection not in self._partial:  # dropped to keep the bound
            return
        buffered = len(connection.reader.data)
        try:
            request = connection.reader.next_request()
            if request is None:
                return
            if connection.reader.data:
                raise RequestError(400, "a request before the reply to the one before it")
            message = read_message(request.head.method, request.head.target, request.body)
        except RequestError as error:
            connection.closing = True
            self._respond(connection, error.status, str(error).encode())
            return
        finally:
            self._buffered += len(connection.reader.data) - buffered
        del self._partial[connection]
        connection.closing = request.head.closes
        self._requests += 1
        connection.request = self._requests
        self._pending[self._requests] = connection
        self._step(core.RequestReceived(self._requests, message))

    def _reply(self, request: int, status: int, body: bytes) -> None:
        connection = self._pending.pop(request, None)
        if connection is not None:
            connection.request = None
            self._respond(connection, status, body)

    def _respond(self, connection: Connection, status: int, body: bytes) -> None:
        headers = "Retry-After: 1\r\n" if status == 503 else ""
        headers += "Connection: close\r\n" if connection.closing else ""
        content_type = "application/json" if status == 200 else "text/plain"
        head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: {content_type}\r\n{headers}"
        connection.unsent += f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        connection.waiting_since = now()
        self._send(connection)

    def _send(self, connection: Connection) -> None:
        try:
            while connection.unsent:
                connection.unsent = connection.unsent[connection.sock.send(connection.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self._drop(connection)
            return
        if connection.closing and not connection.unsent:
            self._drop(connection)
            return
        wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if connection.unsent else 0)
        key = self._selector.get_key(connection.sock)
        if key.events != wanted:
            self._selector.modify(connection.sock, wanted, key.data)

    def _drop(self, connection: Connection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        self._partial.pop(connection, None)
        self._buffered -= len(connection.reader.data)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        if connection.request is not None:
            del self._pending[connection.request]
            self._step(core.RequestAbandoned(connection.request))

    def _sweep(self) -> None:
        self._last_sweep = now()
        for connection in list(self._connections.values()):
            if connection.unsent:
                timeout = SEND_TIMEOUT
            elif connection.request is not None:
                continue  # the core ends it at its deadline
            else:
                timeout = REQUEST_TIMEOUT if connection in self._partial else IDLE_TIMEOUT
            if self._last_sweep - connection.waiting_since > timeout:
                self._drop(connection)
