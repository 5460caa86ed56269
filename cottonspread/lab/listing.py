"""The emulated server list, which nodes watch over HTTP by long polling.

`planned_changes` derives the list's changes from a plan's faults; `HostList` holds the list and its versions,
without any I/O; `ListServer` serves it, at an address of its own for each node.
"""

import json
import socket
import threading
import time
import urllib.parse

from cottonspread.lab.loop import listener
from cottonspread.lab.plan import LIST_FAULTS
from cottonspread.lab.process import LabProcess
from cottonspread.lab.wire import now

SECOND = 1_000_000
MAX_WATCH = 60 * SECOND
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"


def planned_changes(plan):
    """Returns the list's changes, ordered by time, with the list's lag included.

    Each is (microseconds after the run's start, host, lifecycle, start time of the host or None).
    """
    lag, silent = plan.experiment.listing.lag_ms * 1000, plan.experiment.listing.silent_s * SECOND
    out = []
    for fault in plan.faults:
        at, back = fault.at * SECOND, (fault.at + fault.seconds) * SECOND
        for name in fault.on:
            if fault.kind == "drain":
                out.append((at + lag, name, "Terminating", None))
                if fault.seconds:
                    out.append((back + lag, name, "Gone", None))
            elif fault.kind == "cold":
                if fault.seconds * SECOND > lag:
                    out.append((at + lag, name, "Gone", None))
                out.append((back + lag, name, "Ready", back))
            elif fault.kind == "vanish":
                if fault.seconds * SECOND > silent:
                    out.append((at + silent, name, "Gone", None))
                out.append((back + lag, name, "Ready", back))
            elif fault.kind == "join":
                out.append((at + lag, name, "Ready", at))
    return sorted(((round(t), name, state, start) for t, name, state, start in out), key=lambda c: c[0])


class HostList:
    """The list of hosts and its versions; entries have the names and values of the discovery protocol."""

    def __init__(self, entries, version=1):
        """`entries`: the initial list."""
        self.version, self.entries, self.history = version, {e["instanceId"]: e for e in entries}, []

    def change(self, name, lifecycle, started_ms=None, entry=None):
        """Changes a host's state in a new version; `entry` adds a host that is not listed."""
        self.version += 1
        entry = dict(entry or self.entries[name], lifecycle=lifecycle)
        if started_ms is not None:
            entry["startedAtMs"] = started_ms
        self.history.append((self.version, entry))
        if lifecycle == "Gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry

    def set_weights(self, usage):
        """Sets all weights in one new version: a host's size / (1 + its connections per core).

        `usage`: (size, connections per core) by host.
        """
        self.version += 1
        for name, (size, count) in usage.items():
            if name in self.entries:
                entry = self.entries[name] = dict(self.entries[name], weight=size / (1 + count))
                self.history.append((self.version, entry))
        self.history = self.history[-20 * len(self.entries) - 1000 :]

    def full_list(self):
        """Returns the reply with all hosts."""
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    def changes_since(self, version):
        """Returns the reply with what changed after `version`, None if nothing did."""
        if version >= self.version:
            return None
        latest = {entry["instanceId"]: entry for v, entry in self.history if v > version}
        return {"generation": self.version, "reset": False, "instances": list(latest.values())}

    def restart(self):
        """Restarts the list without its history: the same hosts, a lower version."""
        self.version, self.history = 1, []


class Watcher:
    """A node's connection to the list."""

    __slots__ = ("sock", "node", "buffer", "since", "deadline")

    def __init__(self, sock, node):
        """`node`: the plan's node whose address was connected to."""
        self.sock, self.node, self.buffer, self.since, self.deadline = sock, node, b"", None, 0


class ListServer(LabProcess):
    """The process of the server list."""

    kind = "list"

    def prepare(self):
        """Opens one address for each node."""
        self.host_list = HostList([self.entry(m) for m in self.plan.machines if not m.started])
        self.watchers, self.silent_until, self.garbage_left, self.listeners = set(), 0, 0, []
        for node in self.plan.nodes:
            sock = listener((node.ip, node.list_port), 64, "list")
            self.listeners.append(sock)
            self.loop.watch(sock, lambda _, sock=sock, node=node: self.accept(sock, node))

    def entry(self, m):
        """Returns the list's entry of a machine of the plan."""
        return {
            "instanceId": m.name,
            "hostPort": f"{m.ip}:{m.port}",
            "zone": m.zone,
            "machineType": "lab",
            "cell": m.cell,
            "lifecycle": "Ready",
            "weight": m.traits.cores * m.traits.speed,
            "startedAtMs": 0,
        }

    def begin(self):
        """Schedules the list's changes and faults."""
        if self.plan.experiment.listing.weights_ms:
            self.usage = {}
            threading.Thread(target=self.poll_hosts, daemon=True).start()
            self.update_weights()
        for after, name, lifecycle, started in planned_changes(self.plan):
            self.loop.at(self.start + after, self.change, name, lifecycle, started)
        for fault in self.plan.faults:
            if fault.kind in LIST_FAULTS:
                self.loop.at(self.start + round(fault.at * SECOND), self.inject_fault, fault)

    def poll_hosts(self):
        """Polls the connections per core of each host, in a thread of its own because a host may hang."""
        while True:
            for m in self.plan.machines:
                try:
                    with socket.create_connection((m.ip, m.port), 0.2) as sock:
                        sock.sendall(b"STATS\r\n")
                        report = dict(pair.split(b":") for pair in sock.recv(4096).split()[1].split(b","))
                    cores = m.traits.cores
                    self.usage[m.name] = cores * m.traits.speed, float(report[b"outstanding"]) / cores
                except (OSError, ValueError, IndexError, KeyError):
                    continue  # the host keeps its last weight
            time.sleep(self.plan.experiment.listing.weights_ms / 2000)

    def update_weights(self):
        """Sets new weights at regular intervals."""
        self.loop.at(now() + round(self.plan.experiment.listing.weights_ms * 1000), self.update_weights)
        if self.usage:
            self.host_list.set_weights(dict(self.usage))
            self.reply_to_watchers()

    def change(self, name, lifecycle, started):
        """Applies a planned change and tells the watchers."""
        machine = next(m for m in self.plan.machines if m.name == name)
        at = None if started is None else (self.start + round(started) + self.plan.unix_offset) // 1000
        self.host_list.change(name, lifecycle, at, self.host_list.entries.get(name) or self.entry(machine))
        self.record.put(
            {"k": "change", "t": now(), "host": name, "state": lifecycle, "version": self.host_list.version}
        )
        self.reply_to_watchers()

    def inject_fault(self, fault):
        """Injects a fault: no replies for a time, five invalid replies, or a restart."""
        self.record.put({"k": "fault", "t": now(), "kind": fault.kind})
        if fault.kind == "list-cut":
            self.silent_until = now() + round(fault.seconds * SECOND)
            self.loop.at(self.silent_until + 1, self.reply_to_watchers)
        elif fault.kind == "list-garbage":
            self.garbage_left = 5
        else:
            self.host_list.restart()
            for watcher in list(self.watchers):
                self.drop(watcher)

    def accept(self, listener, node):
        """Accepts a node's connection."""
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        watcher = Watcher(sock, node)
        self.watchers.add(watcher)
        self.loop.watch(sock, lambda _: self.read(watcher))

    def drop(self, watcher):
        """Closes a watcher's connection."""
        if watcher in self.watchers:
            self.watchers.discard(watcher)
            self.loop.unwatch(watcher.sock)
            watcher.sock.close()

    def read(self, watcher):
        """Reads requests."""
        try:
            data = watcher.sock.recv(16384)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        watcher.buffer += data
        if not data or len(watcher.buffer) > 65536:
            self.drop(watcher)
            return
        while (end := watcher.buffer.find(b"\r\n\r\n")) >= 0:
            head, watcher.buffer = watcher.buffer[:end], watcher.buffer[end + 4 :]
            self.on_request(watcher, head.split(b" ", 2)[1].decode("latin-1"))

    def on_request(self, watcher, path):
        """Answers a request now, or when the list changes or the request times out."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        watcher.since = int(query["since"][0]) if "since" in query else -1
        watcher.deadline = now() + min(MAX_WATCH, int(query.get("timeout_ms", ["0"])[0]) * 1000)
        self.loop.at(watcher.deadline, self.reply, watcher)
        self.reply(watcher)

    def reply_to_watchers(self):
        """Answers all waiting requests for which there is a reply."""
        for watcher in list(self.watchers):
            self.reply(watcher)

    def reply(self, watcher):
        """Answers a waiting request if the list has changed or the request has timed out."""
        at = now()
        if watcher.since is None or at < self.silent_until or watcher not in self.watchers:
            return
        reply = (
            self.host_list.full_list() if watcher.since < 0 else self.host_list.changes_since(watcher.since)
        )
        if reply is None:
            if watcher.since > self.host_list.version:  # the node knows a version from before a restart
                reply = self.host_list.full_list()
            elif at < watcher.deadline:
                return
            else:
                reply = {"generation": self.host_list.version, "reset": False, "instances": []}
        watcher.since = None
        body = json.dumps(reply).encode()
        if self.garbage_left:
            self.garbage_left -= 1
            body = b"[" * 200_000 if self.garbage_left % 2 else b"<html>not found</html>"
        try:
            watcher.sock.setblocking(True)
            watcher.sock.settimeout(0.2)
            watcher.sock.sendall(HTTP_RESPONSE % (len(body), body))
            watcher.sock.setblocking(False)
        except OSError:
            self.drop(watcher)
            return
        if body[:1] == b"{":
            self.record.put(
                {
                    "k": "told",
                    "t": now(),
                    "node": watcher.node.name,
                    "version": reply["generation"],
                    "whole": reply["reset"],
                    "hosts": [
                        [e["instanceId"], e["lifecycle"], e["startedAtMs"]] for e in reply["instances"]
                    ],
                }
            )
