"""Stub nodes that test the lab itself: one that relays correctly, and ones that break a rule on purpose.

They test that the audit finds violations, as an audit that has never found any proves little. They use
threads and blocking sockets and assign clients to the hosts in turn. `sabotage` names the rule that is
broken, in most cases for every third call.
"""

import contextlib
import json
import os
import socket
import threading
import time
import urllib.request

SABOTAGES = (
    "none",
    "lost",  # closes a connection without an answer
    "late",  # answers after the guard time
    "twice",  # answers UP twice
    "invented",  # answers UP without a host
    "after",  # opens a leg after its answer
    "again",  # sends a call again after it has run
    "rejected",  # answers BUSY to a call that has run
    "two",  # opens two legs at once
    "drained",  # sends calls to draining hosts
    "cold",  # sends all calls to a cold host
    "cut",  # closes an established connection without MOVE
)


class StubNode:
    """A node that breaks the rule named by `sabotage`."""

    def __init__(self, config, sabotage):
        """`config`: a node's configuration."""
        self.sabotage, self.host_addresses, self.lifecycles, self.count, self.lock = (
            sabotage,
            {},
            {},
            0,
            threading.Lock(),
        )
        self.discovery, self.cold_host = config["discovery"], None
        host, _, port = config["listen"].rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024)
        self.guards = {t["Name"]: t["GuardTime"] / 1000 for t in config["settings"]["TrafficTypes"]}

    def follow_list(self):
        """Watches the server list; runs in a thread of its own."""
        version = None
        while True:
            query = "" if version is None else f"?since={version}&timeout_ms=5000"
            try:
                with urllib.request.urlopen(
                    f"http://{self.discovery}/api/targets{query}", timeout=10
                ) as answer:
                    reply = json.load(answer)
            except (OSError, ValueError):
                time.sleep(0.1)
                continue
            version = reply["generation"]
            for entry in reply["instances"]:
                if entry["startedAtMs"]:
                    self.cold_host = entry["instanceId"]
                self.lifecycles[entry["instanceId"]] = entry["lifecycle"]
                host, _, port = entry["hostPort"].rpartition(":")
                self.host_addresses[entry["instanceId"]] = host, int(port)

    def choose(self, number, exclude=()):
        """Returns the name of the host for a call of this number, or None."""
        candidates = sorted(
            n
            for n in self.host_addresses
            if n not in exclude
            and (
                self.lifecycles[n] == "Ready"
                or self.sabotage == "drained"
                and self.lifecycles[n] == "Terminating"
            )
        )
        if self.sabotage == "cold" and self.cold_host in candidates:
            return self.cold_host
        if self.sabotage == "drained":
            candidates = [n for n in candidates if self.lifecycles[n] == "Terminating"] or candidates
        return candidates[number % len(candidates)] if candidates else None

    def run(self):
        """Accepts connections for ever."""
        threading.Thread(target=self.follow_list, daemon=True).start()
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve_client, args=(sock,), daemon=True).start()

    def serve_client(self, sock):
        """Serves a client; runs in a thread of its own."""
        try:
            with sock:
                self.serve(sock)
        except OSError:
            pass

    def serve(self, sock):
        """Serves a client's connection until its end."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        first = self.first_line(sock)
        if not first:
            return
        if first.strip() == b"PING":
            sock.sendall(b"PONG\r\n" if self.host_addresses else b"ERR\r\n")
            return
        with self.lock:
            self.count += 1
            number = self.count
        sabotage = self.sabotage if number % 3 == 0 else ""  # every third call
        if self.sabotaged_before_leg(sock, first, sabotage):
            return
        name = self.choose(number)
        if name is None:
            sock.sendall(b"BUSY\r\n")
        elif sabotage == "after":
            sock.sendall(b"BUSY\r\n")
            time.sleep(0.2)
            self.open_leg(name, first)[0].close()
        else:
            self.set_up(sock, first, sabotage, number, name)

    @staticmethod
    def first_line(sock):
        """Reads the first line; b"" if the client closed the connection before."""
        first = b""
        while not first.endswith(b"\n"):
            got = sock.recv(4096)
            if not got:
                return b""
            first += got
        return first

    def sabotaged_before_leg(self, sock, first, sabotage):
        """Carries out the sabotages that need no host; returns whether it was one of them."""
        if sabotage == "invented":
            sock.sendall(b"UP 123\r\n")
        elif sabotage == "late":
            kind = next(p[2:] for p in first.decode().split()[3].split(",") if p.startswith("c="))
            time.sleep(self.guards[kind] + 0.2)
            sock.sendall(b"BUSY\r\n")
        return sabotage in ("lost", "invented", "late")

    def set_up(self, sock, first, sabotage, number, name):
        """Opens a leg and passes its answer on to the client."""
        try:
            other, file = self.open_leg(name, first)
        except OSError:
            sock.sendall(b"ERR\r\n")
            return
        if sabotage == "two":
            self.open_leg(self.choose(number, exclude=(name,)), first)[1].readline()
        try:
            answer = file.readline() or b"ERR\r\n"
        except OSError:
            answer = b"ERR\r\n"
        if sabotage in ("again", "rejected"):
            other.close()  # the call has run; its answer is dropped
            if sabotage == "rejected":
                sock.sendall(b"BUSY\r\n")
                return
            other, file = self.open_leg(self.choose(number, exclude=(name,)), first)
            answer = file.readline()
        with other:
            up = answer.startswith(b"UP")
            sock.sendall(answer + (b"UP 99\r\n" if sabotage == "twice" and up else b""))
            if up:
                self.relay_both_ways(sock, other, file, sabotage)

    def relay_both_ways(self, sock, other, file, sabotage):
        """Relays lines in both directions until one side closes."""
        if sabotage == "cut":
            time.sleep(0.1)
            return
        threading.Thread(target=self.relay, args=(sock, other), daemon=True).start()
        with contextlib.suppress(OSError):
            while data := file.read1(65536):
                sock.sendall(data)

    def open_leg(self, name, first):
        """Connects to a host and sends the first line; returns the socket and a file to read from it."""
        sock = socket.create_connection(self.host_addresses[name], timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        sock.sendall(first)
        return sock, sock.makefile("rb")

    @staticmethod
    def relay(source, target):
        """Relays bytes in one direction."""
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_RDWR)


def main(sabotage):
    """Runs a stub node, configured by $PROXY_CONFIG as a node is."""
    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        StubNode(json.load(file), sabotage).run()
