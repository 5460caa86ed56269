"""The hosts and the list of a play, with their troubles."""

import json
import selectors
import socket
import time
from urllib.parse import parse_qs, urlsplit

from cottonspread.lab.soak.loop import Line
from cottonspread.lab.soak.record import Attempt, Told

SLOW = 0.4  # seconds that a slow host takes for an answer
LATE = 0.8  # seconds that a late list takes
SILENCE_COUNTS = 6.0  # seconds after which a change counts as told, whether or not it arrived


class Host:
    """One host. `fault`: the kind that it is in, or ""."""

    def __init__(self, loop, record, number):
        self.loop, self.record, self.name, self.fault = loop, record, f"h{number}", ""
        self.ready, self.lines, self.calls = True, {}, {}  # connection: its call's id; call id: the `Call`
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        self.open()

    def open(self):
        """Connections are taken."""
        self.listener.setblocking(False)
        self.loop.watch(self.listener, selectors.EVENT_READ, self.accept)

    def accept(self):
        """One has come."""
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        line = Line(
            self.loop, sock, lambda said, at: self.heard(line, said, at), lambda how, at: self.gone(line)
        )
        self.lines[line] = None

    def gone(self, line):
        """The node has ended it."""
        self.lines.pop(line, None)

    def heard(self, line, said, at):
        """A line of the node: the first one is an attempt, the others are echoed."""
        if self.lines.get(line) is not None:
            if self.fault != "hang":
                line.say(said)
            return
        call = said.split()[1].decode()
        self.lines[line] = call
        self.record.attempts.append(Attempt(call, self.name, at, self.fault != "turn-away"))
        if self.fault == "reset":
            self.drop(line, reset=True)
        elif self.fault == "turn-away":
            line.say(b"BUSY")
            self.drop(line)
        elif self.fault != "hang":
            wait = SLOW if self.fault == "slow" else 0.0
            self.loop.at(time.time() + wait, line.say, b"UP r" + call.encode())

    def drop(self, line, reset=False):
        """Ends one from here."""
        self.lines.pop(line, None)
        line.close(reset)

    def begin(self, fault):
        """The fault is on. Those that cut connections cut all that stand."""
        self.fault = fault
        if fault == "refuse":
            self.loop.forget(self.listener)
        if fault in ("refuse", "reset"):
            for line in list(self.lines):
                self.drop(line, reset=True)

    def end(self):
        """It is over."""
        if self.fault == "refuse":
            self.listener = socket.create_server(self.address, backlog=1024)
            self.open()
        self.fault = ""


class Listing:
    """The list, on as many addresses as asked for. `fault`: as drawn, or ""."""

    def __init__(self, loop, record, hosts, addresses):
        self.loop, self.record, self.hosts, self.fault = loop, record, hosts, ""
        self.version, self.watches = 1, []  # (line, version that it has, its time is over at)
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(addresses)]
        for one in self.listeners:
            one.setblocking(False)
            loop.watch(one, selectors.EVENT_READ, lambda one=one: self.accept(one))

    def accept(self, listener):
        """A node has connected."""
        line = Line(
            self.loop, listener.accept()[0], lambda said, at: self.heard(line, said), lambda how, at: None
        )

    def heard(self, line, said):
        """The head of a call, line by line: its first line is all that counts."""
        if not said.startswith(b"GET "):
            return
        asked = parse_qs(urlsplit(said.split()[1].decode()).query)
        since = int(asked.get("since", ["-1"])[0])
        until = time.time() + int(asked.get("timeout_ms", ["0"])[0]) / 1000
        if self.fault == "list-reset":
            line.close(reset=True)
        elif self.fault == "list-silent":
            return
        elif self.fault == "list-late":
            self.loop.at(time.time() + LATE, self.serve, line, since, until)
        else:
            self.serve(line, since, until)

    def serve(self, line, since, until):
        """Answers now, or once there is news."""
        if since != self.version or time.time() >= until:
            self.answer(line)
        else:
            self.watches.append((line, until))
            self.loop.at(until, self.time_out, line)

    def time_out(self, line):
        """A watch whose time is over is answered with what there is."""
        if any(one is line for one, _ in self.watches):
            self.watches = [(one, until) for one, until in self.watches if one is not line]
            self.answer(line)

    def answer(self, line):
        """The whole list; what it says counts as told now."""
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
        if line.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body) + 2, body)):
            for host in self.hosts:
                self.tell(host, time.time())

    def tell(self, host, at):
        """The node has been told of the host, unless it was before."""
        before = [told for told in self.record.told if told.host == host.name]
        if not before or before[-1].up != host.ready:
            self.record.told.append(Told(host.name, host.ready, at))

    def change(self, host, ready):
        """A host begins to drain, or is back."""
        host.ready = ready
        self.version += 1
        version = self.version
        self.loop.at(time.time() + SILENCE_COUNTS, self.counts, host, ready, version)
        if not self.fault:
            watches, self.watches = self.watches, []
            for line, _ in watches:
                self.answer(line)

    def counts(self, host, ready, version):
        """It counts as told by now."""
        if host.ready is ready:
            self.tell(host, time.time())
