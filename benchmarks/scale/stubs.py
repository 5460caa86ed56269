"""Stubs for `processes.py`, in one process: servers that answer UP and push lines, and the server list."""

import contextlib
import json
import multiprocessing
import secrets
import selectors
import signal
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

STOP_TIMEOUT = 60.0
"""Longest wait for the stubs' process to end, in seconds."""


def address_of(sock: socket.socket) -> str:
    """The socket's address, as the configuration writes it."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


@dataclass
class Stubs:
    """Servers that answer UP and then push lines at a set rate, and the list that names them."""

    control_pipe: Connection
    listeners: dict = field(default_factory=dict)
    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    established: list = field(default_factory=list)
    watches: list = field(default_factory=list)
    push_interval: float = 0.0
    """Seconds between two lines; 0 to push none."""
    next_push: float = 0.0
    next_index: int = 0

    def run(self, servers: int) -> None:
        """Serves until the control pipe is closed."""
        hosts, listing = self.start_listener(self.accept_host), self.start_listener(self.accept_list_client)
        self.entries_json = json.dumps(entries(servers, hosts)).encode()
        self.control_pipe.send(listing)
        self.selector.register(self.control_pipe, selectors.EVENT_READ, self.read_command)
        while True:
            timeout = max(0.0, self.next_push - time.monotonic()) if self.push_interval else 0.5
            for key, _ in self.selector.select(min(timeout, 0.5)):
                key.data(key.fileobj)
            self.push()
            self.answer_expired_watches()

    def start_listener(self, accept: Callable) -> str:
        """Starts to listen on a free port; returns the address."""
        sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.selector.register(sock, selectors.EVENT_READ, accept)
        return address_of(sock)

    def read_command(self, control_pipe: Connection) -> None:
        """Sets the interval between pushed lines; ends the process when the pipe is closed."""
        try:
            self.push_interval = control_pipe.recv()
        except EOFError:
            raise SystemExit from None
        self.next_push = time.monotonic()

    def accept_host(self, listener: socket.socket) -> None:
        """Accepts a connection to a server."""
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(sock, selectors.EVENT_READ, self.answer_first_line)

    def answer_first_line(self, sock: socket.socket) -> None:
        """Answers a first line with UP."""
        data = sock.recv(4096)
        if not data:
            self.close_connection(sock)
            return
        sock.sendall(b"UP %s\r\n" % secrets.token_hex(4).encode())
        self.established.append(sock)
        self.selector.modify(sock, selectors.EVENT_READ, self.discard_input)

    def discard_input(self, sock: socket.socket) -> None:
        """Discards what arrives on a server's connection; closes it when the peer has."""
        if not sock.recv(4096):
            self.established.remove(sock)
            self.close_connection(sock)

    def close_connection(self, sock: socket.socket) -> None:
        """Closes a connection."""
        self.selector.unregister(sock)
        sock.close()

    def push(self) -> None:
        """Pushes the lines that are due; each contains the time at which it was due."""
        now = time.monotonic()
        while self.push_interval and self.established and self.next_push <= now:
            self.next_index = (self.next_index + 1) % len(self.established)
            self.established[self.next_index].send(b"%d\r\n" % round(self.next_push * 1e6))
            self.next_push += self.push_interval

    def accept_list_client(self, listener: socket.socket) -> None:
        """Accepts a connection to the list."""
        sock, _ = listener.accept()
        self.selector.register(sock, selectors.EVENT_READ, self.handle_list_request)

    def handle_list_request(self, sock: socket.socket) -> None:
        """Answers a request for the full list at once; holds a watch open for two seconds."""
        data = sock.recv(4096)
        if not data:
            self.watches = [one for one in self.watches if one[1] is not sock]
            self.close_connection(sock)
        elif b"since=" in data:
            self.watches.append((time.monotonic() + 2.0, sock))
        else:
            self.answer(sock, b'{"generation": 1, "reset": true, "instances": %s}' % self.entries_json)

    def answer_expired_watches(self) -> None:
        """Answers, with no change, the watches that have been open for two seconds."""
        now = time.monotonic()
        for _, sock in [one for one in self.watches if one[0] <= now]:
            self.answer(sock, b'{"generation": 1, "reset": false, "instances": []}')
        self.watches = [one for one in self.watches if one[0] > now]

    def answer(self, sock: socket.socket, body: bytes) -> None:
        """Sends an HTTP response."""
        with contextlib.suppress(OSError):  # the node has ended
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def entries(servers: int, address: str) -> list[dict]:
    """The list's entries: `servers` names for one address."""
    common = {"hostPort": address, "zone": "here", "machineType": "toy", "cell": 0, "lifecycle": "Ready"}
    return [{"instanceId": f"s-{n:04}", "weight": 1.0, "startedAtMs": 0, **common} for n in range(servers)]


def run_stubs(control_pipe: Connection, servers: int) -> None:
    """Runs the stubs in a process of their own."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    Stubs(control_pipe).run(servers)


@contextlib.contextmanager
def start_stubs(servers: int = 60) -> Iterator[tuple[str, Callable[[float], None]]]:
    """Starts the stubs; yields (the list's address, a function that sets the interval between lines)."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=run_stubs, args=(theirs, servers))
    process.start()
    theirs.close()
    try:
        yield ours.recv(), ours.send
    finally:
        ours.close()
        process.join(STOP_TIMEOUT)
