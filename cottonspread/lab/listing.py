"""The list of hosts with its watch over HTTP: a pure core, and one address for each node.

`planned_changes` derives from a plan's faults what the list has to tell and when;
`HostList` answers; `ListServer` is the shell.
"""

import json
import socket
import threading
import time
import urllib.parse

from cottonspread.lab.loop import listener
from cottonspread.lab.plan import LIST_FAULTS
from cottonspread.lab.process import Part
from cottonspread.lab.wire import now

SECOND = 1_000_000
LONGEST_WATCH = 60 * SECOND
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"


def planned_changes(plan):
    """[(microseconds after the start, host, lifecycle, start of the host
    or None)], by time; the lag is in it.
    """
    lag, silent = plan.experiment.listing.lag_ms * 1000, plan.experiment.listing.silent_s * SECOND
    out = []
    for one in plan.faults:
        at, back = one.at * SECOND, (one.at + one.seconds) * SECOND
        for name in one.on:
            if one.kind == "drain":
                out.append((at + lag, name, "Terminating", None))
                if one.seconds:
                    out.append((back + lag, name, "Gone", None))
            elif one.kind == "cold":
                if one.seconds * SECOND > lag:
                    out.append((at + lag, name, "Gone", None))
                out.append((back + lag, name, "Ready", back))
            elif one.kind == "vanish":
                if one.seconds * SECOND > silent:
                    out.append((at + silent, name, "Gone", None))
                out.append((back + lag, name, "Ready", back))
            elif one.kind == "join":
                out.append((at + lag, name, "Ready", at))
    return sorted(((round(t), name, state, start) for t, name, state, start in out), key=lambda c: c[0])


class HostList:
    """The list and its versions. An entry: the protocol's own names and values."""

    def __init__(self, entries, version=1):
        self.version, self.entries, self.news = version, {e["instanceId"]: e for e in entries}, []

    def change(self, name, lifecycle, started_ms=None, entry=None):
        self.version += 1
        entry = dict(entry or self.entries[name], lifecycle=lifecycle)
        if started_ms is not None:
            entry["startedAtMs"] = started_ms
        self.news.append((self.version, entry))
        if lifecycle == "Gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry

    def set_weights(self, held):
        """Weights that move: each host's size over one and the connections that it
        holds a core, as one change of the list.
        """
        self.version += 1
        for name, (size, count) in held.items():
            if name in self.entries:
                entry = self.entries[name] = dict(self.entries[name], weight=size / (1 + count))
                self.news.append((self.version, entry))
        self.news = self.news[-20 * len(self.entries) - 1000 :]

    def full_list(self):
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    def changes_since(self, version):
        """What changed after `version`: None if nothing did."""
        if version >= self.version:
            return None
        latest = {entry["instanceId"]: entry for v, entry in self.news if v > version}
        return {"generation": self.version, "reset": False, "instances": list(latest.values())}

    def restart(self):
        """As a list that lost its memory: the same hosts, a lower version."""
        self.version, self.news = 1, []


class Asker:
    """One node's connection."""

    __slots__ = ("sock", "node", "rest", "since", "until")

    def __init__(self, sock, node):
        self.sock, self.node, self.rest, self.since, self.until = sock, node, b"", None, 0


class ListServer(Part):
    kind = "list"

    def prepare(self):
        self.book = HostList([self.entry(m) for m in self.plan.machines if not m.started])
        self.askers, self.silent, self.garbage, self.listeners = set(), 0, 0, []
        for node in self.plan.nodes:
            sock = listener((node.ip, node.list_port), 64, "list")
            self.listeners.append(sock)
            self.loop.watch(sock, lambda _, sock=sock, node=node: self.accept(sock, node))

    def entry(self, m):
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
        if self.plan.experiment.listing.weights_ms:
            self.held = {}
            threading.Thread(target=self.watch_hosts, daemon=True).start()
            self.weigh()
        for after, name, lifecycle, started in planned_changes(self.plan):
            self.loop.at(self.start + after, self.change, name, lifecycle, started)
        for one in self.plan.faults:
            if one.kind in LIST_FAULTS:
                self.loop.at(self.start + round(one.at * SECOND), self.fault, one)

    def watch_hosts(self):
        """In a thread of its own, for a host may hang: the connections held a core, by host."""
        while True:
            for m in self.plan.machines:
                try:
                    with socket.create_connection((m.ip, m.port), 0.2) as sock:
                        sock.sendall(b"STATS\r\n")
                        told = dict(pair.split(b":") for pair in sock.recv(4096).split()[1].split(b","))
                    cores = m.traits.cores
                    self.held[m.name] = cores * m.traits.speed, float(told[b"outstanding"]) / cores
                except (OSError, ValueError, IndexError, KeyError):
                    continue  # it keeps the weight that it had
            time.sleep(self.plan.experiment.listing.weights_ms / 2000)

    def weigh(self):
        self.loop.at(now() + round(self.plan.experiment.listing.weights_ms * 1000), self.weigh)
        if self.held:
            self.book.set_weights(dict(self.held))
            self.answer_watches()

    def change(self, name, lifecycle, started):
        machine = next(m for m in self.plan.machines if m.name == name)
        at = None if started is None else (self.start + round(started) + self.plan.unix_offset) // 1000
        self.book.change(name, lifecycle, at, self.book.entries.get(name) or self.entry(machine))
        self.record.put(
            {"k": "change", "t": now(), "host": name, "state": lifecycle, "version": self.book.version}
        )
        self.answer_watches()

    def fault(self, one):
        self.record.put({"k": "fault", "t": now(), "kind": one.kind})
        if one.kind == "list-cut":
            self.silent = now() + round(one.seconds * SECOND)
            self.loop.at(self.silent + 1, self.answer_watches)
        elif one.kind == "list-garbage":
            self.garbage = 5
        else:
            self.book.restart()
            for asker in list(self.askers):
                self.drop(asker)

    def accept(self, listener, node):
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        asker = Asker(sock, node)
        self.askers.add(asker)
        self.loop.watch(sock, lambda _: self.read(asker))

    def drop(self, asker):
        if asker in self.askers:
            self.askers.discard(asker)
            self.loop.drop(asker.sock)
            asker.sock.close()

    def read(self, asker):
        try:
            data = asker.sock.recv(16384)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        asker.rest += data
        if not data or len(asker.rest) > 65536:
            self.drop(asker)
            return
        while (end := asker.rest.find(b"\r\n\r\n")) >= 0:
            head, asker.rest = asker.rest[:end], asker.rest[end + 4 :]
            self.asked(asker, head.split(b" ", 2)[1].decode("latin-1"))

    def asked(self, asker, path):
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        asker.since = int(query["since"][0]) if "since" in query else -1
        asker.until = now() + min(LONGEST_WATCH, int(query.get("timeout_ms", ["0"])[0]) * 1000)
        self.loop.at(asker.until, self.answer, asker)
        self.answer(asker)

    def answer_watches(self):
        for asker in list(self.askers):
            self.answer(asker)

    def answer(self, asker):
        """If there is something to say to it, or its time is up."""
        at = now()
        if asker.since is None or at < self.silent or asker not in self.askers:
            return
        said = self.book.full_list() if asker.since < 0 else self.book.changes_since(asker.since)
        if said is None:
            if asker.since > self.book.version:  # it knows a version that this list never had
                said = self.book.full_list()
            elif at < asker.until:
                return
            else:
                said = {"generation": self.book.version, "reset": False, "instances": []}
        asker.since = None
        body = json.dumps(said).encode()
        if self.garbage:
            self.garbage -= 1
            body = b"[" * 200_000 if self.garbage % 2 else b"<html>not found</html>"
        try:
            asker.sock.setblocking(True)
            asker.sock.settimeout(0.2)
            asker.sock.sendall(HTTP_RESPONSE % (len(body), body))
            asker.sock.setblocking(False)
        except OSError:
            self.drop(asker)
            return
        if body[:1] == b"{":
            self.record.put(
                {
                    "k": "told",
                    "t": now(),
                    "node": asker.node.name,
                    "version": said["generation"],
                    "whole": said["reset"],
                    "hosts": [[e["instanceId"], e["lifecycle"], e["startedAtMs"]] for e in said["instances"]],
                }
            )
