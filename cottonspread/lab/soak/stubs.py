"""Stub hosts and a stub host list for a soak run, with their faults."""

import json
import selectors
import socket
import time
from urllib.parse import parse_qs, urlsplit

from cottonspread.lab.soak.loop import LineConnection
from cottonspread.lab.soak.record import Attempt, ListUpdate

SLOW_DELAY = 0.4  # seconds until a slow host answers
LATE_DELAY = 0.8  # seconds until a late list answers
ASSUMED_KNOWN_AFTER = 6.0  # seconds after which the node must know of a change, received or not


class Host:
    """A host. `fault`: the kind of the current fault, or ""."""

    def __init__(self, loop, record, number):
        """Creates host number `number`, which accepts connections."""
        self.loop, self.record, self.name, self.fault = loop, record, f"h{number}", ""
        # `connections` maps a connection to its call's ID, `calls` a call's ID to the `Call`
        self.ready, self.connections, self.calls = True, {}, {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        self.open()

    def open(self):
        """Starts accepting connections."""
        self.listener.setblocking(False)
        self.loop.watch(self.listener, selectors.EVENT_READ, self.accept)

    def accept(self):
        """Accepts a connection."""
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        connection = LineConnection(
            self.loop,
            sock,
            lambda line, at: self.on_line(connection, line, at),
            lambda how, at: self.on_end(connection),
        )
        self.connections[connection] = None

    def on_end(self, connection):
        """Drops a connection that the node has closed."""
        self.connections.pop(connection, None)

    def on_line(self, connection, line, at):
        """Handles a line from the node: the first one is an attempt, the others are echoed."""
        if self.connections.get(connection) is not None:
            if self.fault != "hang":
                connection.send_line(line)
            return
        call = line.split()[1].decode()
        self.connections[connection] = call
        self.record.attempts.append(Attempt(call, self.name, at, self.fault != "turn-away"))
        if self.fault == "reset":
            self.close_connection(connection, reset=True)
        elif self.fault == "turn-away":
            connection.send_line(b"BUSY")
            self.close_connection(connection)
        elif self.fault != "hang":
            wait = SLOW_DELAY if self.fault == "slow" else 0.0
            self.loop.at(time.time() + wait, connection.send_line, b"UP r" + call.encode())

    def close_connection(self, connection, reset=False):
        """Closes a connection from the host's side."""
        self.connections.pop(connection, None)
        connection.close(reset)

    def begin_fault(self, fault):
        """Starts a fault; "refuse" and "reset" also reset all established connections."""
        self.fault = fault
        if fault == "refuse":
            self.loop.close_socket(self.listener)
        if fault in ("refuse", "reset"):
            for connection in list(self.connections):
                self.close_connection(connection, reset=True)

    def end_fault(self):
        """Ends the current fault."""
        if self.fault == "refuse":
            self.listener = socket.create_server(self.address, backlog=1024)
            self.open()
        self.fault = ""


class HostList:
    """The host list, served on several addresses. `fault`: the kind of the current fault, or ""."""

    def __init__(self, loop, record, hosts, addresses):
        """Creates a list of `hosts` on so many `addresses`."""
        self.loop, self.record, self.hosts, self.fault = loop, record, hosts, ""
        self.version, self.long_polls = 1, []  # (connection, Unix time at which it times out)
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(addresses)]
        for listener in self.listeners:
            listener.setblocking(False)
            loop.watch(listener, selectors.EVENT_READ, lambda listener=listener: self.accept(listener))

    def accept(self, listener):
        """Accepts a connection from the node."""
        connection = LineConnection(
            self.loop,
            listener.accept()[0],
            lambda line, at: self.on_line(connection, line),
            lambda how, at: None,
        )

    def on_line(self, connection, line):
        """Handles a line of a request's head; only the request line matters."""
        if not line.startswith(b"GET "):
            return
        query = parse_qs(urlsplit(line.split()[1].decode()).query)
        since = int(query.get("since", ["-1"])[0])
        until = time.time() + int(query.get("timeout_ms", ["0"])[0]) / 1000
        if self.fault == "list-reset":
            connection.close(reset=True)
        elif self.fault == "list-silent":
            return
        elif self.fault == "list-late":
            self.loop.at(time.time() + LATE_DELAY, self.serve, connection, since, until)
        else:
            self.serve(connection, since, until)

    def serve(self, connection, since, until):
        """Answers now if the list has changed since version `since`, else once it changes or at `until`."""
        if since != self.version or time.time() >= until:
            self.answer(connection)
        else:
            self.long_polls.append((connection, until))
            self.loop.at(until, self.time_out, connection)

    def time_out(self, connection):
        """Answers a long poll whose time is over with the current list."""
        if any(one is connection for one, _ in self.long_polls):
            self.long_polls = [(one, until) for one, until in self.long_polls if one is not connection]
            self.answer(connection)

    def answer(self, connection):
        """Sends the full list and records that the node knows its content from now on."""
        instances = [
            {
                "instanceId": host.name,
                "hostPort": "{}:{}".format(*host.address),
                "zone": "here",
                "machineType": "toy",
                "cell": 0,
                "lifecycle": "Ready" if host.ready else "Terminating",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for host in self.hosts
        ]
        body = json.dumps({"generation": self.version, "reset": True, "instances": instances}).encode()
        if connection.send_line(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body) + 2, body)):
            for host in self.hosts:
                self.record_update(host, time.time())

    def record_update(self, host, at):
        """Records that the node knows the host's state, unless it knew that state before."""
        before = [update for update in self.record.list_updates if update.host == host.name]
        if not before or before[-1].up != host.ready:
            self.record.list_updates.append(ListUpdate(host.name, host.ready, at))

    def change(self, host, ready):
        """Puts a host into draining, or back into service."""
        host.ready = ready
        self.version += 1
        version = self.version
        self.loop.at(time.time() + ASSUMED_KNOWN_AFTER, self.assume_known, host, ready, version)
        if not self.fault:
            long_polls, self.long_polls = self.long_polls, []
            for connection, _ in long_polls:
                self.answer(connection)

    def assume_known(self, host, ready, version):
        """Records the change as known to the node, whether or not the list could send it."""
        if host.ready is ready:
            self.record_update(host, time.time())
