"""Stand-in nodes for the lab itself: one that relays honestly, and ones that break a rule on purpose.

They prove the ledger: an audit that has never found anything proves little. Threads and blocking sockets;
each client goes to the servers in turn. `sabotage` names what is done to every third call or so.
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
    "lost",
    "late",
    "twice",
    "invented",
    "after",
    "again",
    "rejected",
    "two",
    "drained",
    "cold",
    "cut",
)


class Standin:
    def __init__(self, config, sabotage):
        self.sabotage, self.servers, self.state, self.count, self.lock = sabotage, {}, {}, 0, threading.Lock()
        self.list, self.fresh = config["discovery"], None
        host, _, port = config["listen"].rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024)
        self.guards = {t["Name"]: t["GuardTime"] / 1000 for t in config["settings"]["TrafficTypes"]}

    def follow(self):
        version = None
        while True:
            query = "" if version is None else f"?since={version}&timeout_ms=5000"
            try:
                with urllib.request.urlopen(f"http://{self.list}/api/targets{query}", timeout=10) as answer:
                    said = json.load(answer)
            except (OSError, ValueError):
                time.sleep(0.1)
                continue
            version = said["generation"]
            for one in said["instances"]:
                if one["startedAtMs"]:
                    self.fresh = one["instanceId"]
                self.state[one["instanceId"]] = one["lifecycle"]
                host, _, port = one["hostPort"].rpartition(":")
                self.servers[one["instanceId"]] = host, int(port)

    def choose(self, number, but=()):
        fit = sorted(
            n
            for n in self.servers
            if n not in but
            and (self.state[n] == "Ready" or self.sabotage == "drained" and self.state[n] == "Terminating")
        )
        if self.sabotage == "cold" and self.fresh in fit:
            return self.fresh
        if self.sabotage == "drained":
            fit = [n for n in fit if self.state[n] == "Terminating"] or fit
        return fit[number % len(fit)] if fit else None

    def run(self):
        threading.Thread(target=self.follow, daemon=True).start()
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.client, args=(sock,), daemon=True).start()

    def client(self, sock):
        try:
            with sock:
                self.serve(sock)
        except OSError:
            pass

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        first = b""
        while not first.endswith(b"\n"):
            got = sock.recv(4096)
            if not got:
                return
            first += got
        if first.strip() == b"PING":
            sock.sendall(b"PONG\r\n" if self.servers else b"ERR\r\n")
            return
        with self.lock:
            self.count += 1
            number = self.count
        struck = number % 3 == 0
        kind = next(p[2:] for p in first.decode().split()[3].split(",") if p.startswith("c="))
        if struck and self.sabotage == "lost":
            return
        if struck and self.sabotage == "invented":
            sock.sendall(b"UP 123\r\n")
            return
        if struck and self.sabotage == "late":
            time.sleep(self.guards[kind] + 0.2)
            sock.sendall(b"BUSY\r\n")
            return
        name = self.choose(number)
        if name is None:
            sock.sendall(b"BUSY\r\n")
            return
        if struck and self.sabotage == "after":
            sock.sendall(b"BUSY\r\n")
            time.sleep(0.2)
            self.leg(name, first)[0].close()
            return
        try:
            other, file = self.leg(name, first)
        except OSError:
            sock.sendall(b"ERR\r\n")
            return
        if struck and self.sabotage == "two":
            self.leg(self.choose(number, but=(name,)), first)[1].readline()
        try:
            answer = file.readline() or b"ERR\r\n"
        except OSError:
            answer = b"ERR\r\n"
        if struck and self.sabotage in ("again", "rejected"):
            other.close()  # it has run; its answer is thrown away
            if self.sabotage == "rejected":
                sock.sendall(b"BUSY\r\n")
                return
            other, file = self.leg(self.choose(number, but=(name,)), first)
            answer = file.readline()
        with other:
            sock.sendall(
                answer
                + (b"UP 99\r\n" if struck and self.sabotage == "twice" and answer.startswith(b"UP") else b"")
            )
            if not answer.startswith(b"UP"):
                return
            if struck and self.sabotage == "cut":
                time.sleep(0.1)
                return
            threading.Thread(target=self.relay, args=(sock, other), daemon=True).start()
            try:
                while data := file.read1(65536):
                    sock.sendall(data)
            except OSError:
                pass

    def leg(self, name, first):
        sock = socket.create_connection(self.servers[name], timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        sock.sendall(first)
        return sock, sock.makefile("rb")

    @staticmethod
    def relay(source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_RDWR)


def main(sabotage):
    """Configured as a node is, by $PROXY_CONFIG."""
    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        Standin(json.load(file), sabotage).run()
