"""Stubs for the race condition tests: discovery, hosts and clients on loopback. They wait for signals from
the test, never for a fixed time.
"""

import itertools
import json
import queue
import select
import socket
import struct
import threading
from contextlib import contextmanager

from cottonspread import config
from cottonspread.net import events as ev
from cottonspread.net import workers
from cottonspread.net.node import Node

WAIT = 10  # seconds after which a test has failed
RESET = struct.pack("ii", 1, 0)


class ListServer:
    """A discovery server.

    A request is answered by the next of `scripted` (functions of a `Request`), else by `default_script` if it
    is set, else from the list.
    """

    def __init__(self, *names, version=1):
        self.changed, self.version, self.entries, self.changes = threading.Condition(), version, {}, []
        self.scripted, self.requests, self.default_script = queue.SimpleQueue(), queue.SimpleQueue(), None
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def add(self, *hosts, lifecycle="Ready"):
        for host in hosts:
            self.entries[host.name] = host.entry | {"lifecycle": lifecycle}
        return self

    def change(self, host, lifecycle):
        with self.changed:
            self.version += 1
            self.entries[host.name] = host.entry | {"lifecycle": lifecycle}
            self.changes.append((self.version, host.name))
            self.changed.notify_all()

    def full_list(self):
        return {
            "generation": self.version,
            "reset": True,
            "instances": [e for e in self.entries.values() if e["lifecycle"] != "Gone"],
        }

    def answer(self, path):
        with self.changed:
            if "since=" not in path:
                return self.full_list()
            since = int(path.split("since=")[1].split("&")[0])
            self.changed.wait_for(lambda: self.version != since, int(path.split("timeout_ms=")[1]) / 1000)
            if since > self.version:
                return self.full_list()
            names = {name for version, name in self.changes if version > since}
            return {
                "generation": self.version,
                "reset": False,
                "instances": [self.entries[name] for name in names],
            }

    def serve(self, sock):
        try:
            with sock, sock.makefile("rb") as file:
                while line := file.readline():
                    while file.readline().strip():
                        pass
                    request = Request(sock, file, line.split()[1].decode())
                    self.requests.put(request)
                    try:
                        script = self.scripted.get_nowait()
                    except queue.Empty:
                        script = self.default_script or (
                            lambda request: request.send(ok(self.answer(request.path)))
                        )
                    script(request)
        except (OSError, ValueError):  # the node closed the connection
            pass


def ok(value, extra=b""):
    body = json.dumps(value).encode()
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (extra, len(body), body)


class Request:
    def __init__(self, sock, file, path):
        self.sock, self.file, self.path = sock, file, path

    def send(self, data):
        self.sock.sendall(data)

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.file.close()  # the file would keep the socket open
        self.sock.close()

    def hold(self):
        """Never answers; returns when the node has closed the connection."""
        while self.sock.recv(4096):
            pass


class Host:
    """A server. Connections wait in the listener's queue until the test accepts them with `accept`."""

    def __init__(self, name):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.settimeout(WAIT)
        self.name, self.entry = (
            name,
            {
                "instanceId": name,
                "hostPort": "{}:{}".format(*self.listener.getsockname()),
                "zone": "here",
                "machineType": "toy",
                "cell": 0,
                "weight": 1.0,
                "startedAtMs": 0,
            },
        )

    def accept(self):
        sock, _ = self.listener.accept()
        return Peer(sock)

    def has_connection(self):
        """Whether a connection is waiting to be accepted."""
        return bool(select.select([self.listener], [], [], 0)[0])

    def close(self):
        self.listener.close()


class Peer:
    """The test's side of a connection."""

    def __init__(self, sock):
        sock.settimeout(WAIT)
        self.sock, self.file = sock, sock.makefile("rb")

    def send_lines(self, *lines):
        self.sock.sendall(b"".join(line + b"\r\n" for line in lines))

    def read_line(self):
        """The next line; b"" at the end of the connection."""
        return self.file.readline().rstrip(b"\r\n")

    def read_all(self):
        """Everything received until the end of the connection."""
        return self.file.read()

    def end(self):
        """Shuts down the sending side."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self, how="close"):
        if how == "half":
            self.end()
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.file.close()
        self.sock.close()

    def broken(self):
        """Whether a reset was received. On loopback it has arrived when the send that caused it returns."""
        poller = select.poll()
        poller.register(self.sock, 0)
        return any(ready & select.POLLERR for _, ready in poller.poll(0))


class Gate:
    """Blocks threads until the test sets `open`. `reached` is set once a thread waits."""

    def __init__(self):
        self.reached, self.open = threading.Event(), threading.Event()

    def wait(self):
        self.reached.set()
        assert self.open.wait(WAIT)


def delay_connects(monkeypatch, selects=lambda nth: True):
    """Delays the results of the connection attempts to hosts for which `selects(nth)` is true until the
    returned gate opens.
    """
    gate, connect, attempts = Gate(), workers.Worker.connect, itertools.count(1)

    def delayed_connect(worker, effect):
        result = connect(worker, effect)
        if selects(next(attempts)):
            gate.wait()
        return result

    monkeypatch.setattr(workers.Worker, "connect", delayed_connect)
    return gate


def wait_for_list(node, version=None):
    node.seen.wait(ev.ListReceived, lambda e: e.update.entries and version in (None, e.update.version))


def client(node, *lines):
    peer = Peer(socket.create_connection(node.listener.getsockname(), timeout=WAIT))
    if lines:
        peer.send_lines(*lines)
    return peer


def open_line(n, kind="plain", wait=2000, **more):
    return b"OPEN %08x k%d c=%s,d=%d" % (n, n, kind.encode(), wait) + b"".join(
        b",%s=%s" % (k.encode(), str(v).encode()) for k, v in more.items()
    )


TYPES = [
    {
        "Name": name,
        "Effect": effect,
        "KeyScope": "all",
        "KeyTtl": 400,
        "SetupTarget": 1500,
        "GuardTime": 2000,
        "Revenue": 1,
    }
    for name, effect in (("plain", "safe"), ("once", "unsafe"), ("marked", "keyed"))
]


SETTINGS = {
    "TrafficTypes": TYPES,
    "Zones": ["here"],
    "Kinds": ["toy"],
    "Limits": {"MostLegs": 3, "ConnectTimeout": 1000},
    "Rules": {"DrainGrace": 500},
}


def settings(list_server, known=(), sockets=512, **more):
    return json.dumps(
        {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*list_server.address),
            "seed": "7",
            "limits": {"memory_mb": 192, "sockets": sockets},
            "known": {"generation": 0, "reset": True, "instances": list(known)},
            "settings": SETTINGS,
        }
        | more
    )


class EventRecorder:
    """Records the events that a node's reducer has handled, so that a test can wait for one."""

    def __init__(self, node):
        self.events, self.new = [], threading.Condition()
        step = node.step

        def recorded_step(event, at=0):
            effects = step(event, at)
            with self.new:
                self.events.append(event)
                self.new.notify_all()
            return effects

        node.step = recorded_step

    def wait(self, kind, matches=lambda event: True):
        with self.new:
            assert self.new.wait_for(
                lambda: any(isinstance(e, kind) and matches(e) for e in self.events), WAIT
            ), f"no {kind.__name__}"


@contextmanager
def running(list_server, before=lambda node: None, **more):
    """A running node, stopped at the end. It may not know a list yet: see `wait_for_list`."""
    node = Node(*config.read_node(settings(list_server, **more), {}))
    node.seen = EventRecorder(node)
    before(node)
    node.start()
    try:
        yield node
    finally:
        node.stop()
        assert node.join(WAIT)


def wait_until(condition, message):
    """Polls until the condition is true, for what no event reports."""
    gate = threading.Event()
    for _ in range(WAIT * 200):
        if condition():
            return
        gate.wait(0.005)
    raise AssertionError(message)


def serve(hosts):
    """Accepts the next attempt at any of the hosts and reads its first line."""
    wait_until(lambda: any(h.has_connection() for h in hosts), "no connection")
    peer = next(h for h in hosts if h.has_connection()).accept()
    peer.line = peer.read_line()
    return peer


def establish(node, hosts):
    """Opens a connection: (the client's side, the host's side)."""
    conn = client(node, open_line(1))
    peer = serve(hosts)
    peer.send_lines(b"UP r")
    assert conn.read_line() == b"UP r"
    return conn, peer
