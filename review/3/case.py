"""A server drains, and one of its clients leaves: the others must be told to move before the server stops."""

import os
import secrets
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as s

# Limits of palermo-catania: one of 6 servers at a time (size 0.089 to 0.19), drain time 2.5 to 5.8 s, the
# list 0.51 to 4.8 s late, 2 to 6% of the clients leave early (one of 36).
SERVERS, CLIENTS = 6, 36
MIN_ON_IT = 3  # clients on the server that drains
LIST_LATE = 1.5  # seconds after which the list tells that a server drains
DRAIN_TIME = 5.5  # seconds from the beginning of the drain to the server's stop
LEAVES_AFTER = 0.2  # seconds after the list has told of the drain


class Server:
    """A server that, once it drains, refuses new connections and keeps those that it has until it stops."""

    def __init__(self, record, number):
        """Starts it on a free loopback port."""
        self.record, self.name, self.draining = record, f"s-{number}", False
        self.listener, self.standing = socket.create_server(("127.0.0.1", 0), backlog=64), {}
        self.entry = s.list_entry(self.name, self.listener)
        s.serve_each(self.listener, self.serve)

    def serve(self, sock):
        """Serves one connection."""
        with sock.makefile("rwb") as file:
            words = file.readline().split()
            if len(words) != 4 or words[0] != b"OPEN":
                file.write(b"SYNTAX\r\n")
                return
            if self.draining:
                file.write(b"BUSY\r\n")
                return
            call = words[1].decode()
            self.standing[call] = sock
            self.record.write("run", host=self.name, id=call)
            file.write(b"UP %s\r\n" % secrets.token_hex(8).encode())
            file.flush()
            try:
                for line in file:
                    file.write(line)
                    file.flush()
            finally:
                self.standing.pop(call, None)

    def stop(self):
        """Stops: what is left on it is cut off."""
        self.record.write("stops", host=self.name, standing=len(self.standing))
        self.listener.close()
        for sock in list(self.standing.values()):
            sock.shutdown(socket.SHUT_RDWR)


def start_clients(record, port, server):
    """Starts all clients; returns those that stand on the server."""
    clients = [s.StandingClient(record, port, "chat") for _ in range(CLIENTS)]
    for client in clients:
        if not client.up.wait(5):
            raise s.NotRunError("a client is not up")
    time.sleep(1)
    on_it = [client for client in clients if client.id in server.standing]
    if len(on_it) < MIN_ON_IT:
        raise s.NotRunError("too few clients stand on the server that drains")
    return on_it


def play(record, processes, folder):
    """Plays the case; returns what broke the rule."""
    servers = [Server(record, number) for number in range(SERVERS)]
    discovery = s.Discovery([server.entry for server in servers])
    port = s.free_ports(1)[0]
    settings = s.SETTINGS | {"Costs": {"Moves": 0.02}}
    path = s.node_file(folder, "n1", f"127.0.0.1:{port}", discovery.address, settings)
    processes.start_deployed("n1", {"PROXY_CONFIG": path})
    s.wait_until("the node serves", lambda: s.ping(("127.0.0.1", port)))
    draining = servers[0]
    on_it = start_clients(record, port, draining)

    began = time.monotonic()
    draining.draining = True
    record.write("drains", host=draining.name, clients=len(on_it))
    time.sleep(LIST_LATE)
    discovery.change(draining.name, "Terminating")
    record.write("told", host=draining.name)
    time.sleep(LEAVES_AFTER)
    if s.TROUBLE:
        on_it.pop().leave()
    time.sleep(began + DRAIN_TIME - time.monotonic())
    draining.stop()
    time.sleep(2)
    cut = [client for client in on_it if client.ended != "MOVE"]
    record.write("summary", others=len(on_it), cut=len(cut))
    return [f"{client.id} on {draining.name}: {client.ended or 'still open'}" for client in cut]


s.run_case(__file__, play)
