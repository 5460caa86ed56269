"""Answers BUSY at the addresses of a fleet where no instance accepts connections.

It runs in the supervisor's event loop: each client gets one line, after its first one has been read.
"""

import contextlib
import selectors
import socket
import time

CLIENT_TIMEOUT = 1.0  # seconds for a client to send its first line, and then to close
MAX_CLIENTS = 64
MAX_LINE = 4096  # bytes of a first line


class BusyClient:
    """A client that is answered with BUSY.

    Its first line is read, because closing a socket with unread bytes would discard the answer.
    """

    def __init__(self, sock):
        """`sock`: the accepted connection."""
        self.sock, self.data, self.answered = sock, b"", False


class BusyResponder:
    """Accepts connections of listening sockets and answers BUSY, or ERR to PING."""

    def __init__(self, selector, call_later):
        """`selector`: the event loop's, its data are callbacks; `call_later(delay, callback)`: delay in s."""
        self.selector, self.call_later = selector, call_later
        self.listeners, self.clients = set(), {}  # clients: by socket

    def start(self, listener):
        """Starts answering at a listening socket."""
        if listener not in self.listeners:
            self.listeners.add(listener)
            self.selector.register(listener, selectors.EVENT_READ, lambda: self.accept(listener))

    def stop(self, listener):
        """Stops accepting connections of a listening socket."""
        if listener in self.listeners:
            self.listeners.remove(listener)
            self.selector.unregister(listener)

    def close(self, listener):
        """Closes a listening socket. Clients in its queue are accepted and answered.

        They would get a reset otherwise.
        """
        self.stop(listener)
        while self.accept(listener):
            pass
        listener.close()

    def close_all(self, listeners, poll):
        """Answers all clients and closes the listening sockets, at the end of the process.

        `poll()` runs the event loop once.
        """
        for listener in listeners:
            self.stop(listener)
            self.accept(listener)
        deadline = time.monotonic() + CLIENT_TIMEOUT
        while self.clients and time.monotonic() < deadline:
            poll()
        for listener in listeners:
            while self.accept(listener, at_once=True):
                pass
            listener.close()

    def accept(self, listener, at_once=False):
        """Accepts a connection and answers once its first line is read; returns whether there was one.

        `at_once`: answer without waiting for the line.
        """
        try:
            sock = listener.accept()[0]
        except OSError:
            return False
        sock.setblocking(False)
        client = BusyClient(sock)
        if at_once:  # a line that has not arrived by now is too late
            with contextlib.suppress(OSError):
                client.data = sock.recv(MAX_LINE)
            self.answer(client)
            sock.close()
            return True
        self.clients[sock] = client
        self.selector.register(sock, selectors.EVENT_READ, lambda: self.read(client))
        self.call_later(CLIENT_TIMEOUT, lambda: self.timed_out(client))
        if len(self.clients) > MAX_CLIENTS:
            oldest = next(iter(self.clients.values()))
            self.read(oldest)  # its line, if it has arrived
            self.answer(oldest)
            self.close_client(oldest)
        return True

    def read(self, client):
        """Reads from a client and answers once its first line is complete."""
        try:
            data = client.sock.recv(MAX_LINE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        client.data = (client.data + data)[:MAX_LINE]
        if not data:
            self.close_client(client)
        elif b"\n" in client.data or len(client.data) == MAX_LINE:
            self.answer(client)

    def answer(self, client):
        """Answers a client, once: ERR to PING, otherwise BUSY."""
        if client.answered:
            return
        client.answered = True
        try:
            client.sock.send(b"ERR\r\n" if client.data.strip() == b"PING" else b"BUSY\r\n")
            client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close_client(client)

    def timed_out(self, client):
        """Answers a client that sent no line in time, and closes one that was answered before."""
        if client.sock not in self.clients:
            return
        was_answered = client.answered
        self.answer(client)
        if was_answered:
            self.close_client(client)
        else:
            self.call_later(CLIENT_TIMEOUT, lambda: self.close_client(client))

    def close_client(self, client):
        """Closes the connection of a client, once."""
        if self.clients.pop(client.sock, None):
            self.selector.unregister(client.sock)
            client.sock.close()
