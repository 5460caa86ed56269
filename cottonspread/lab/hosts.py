"""Emulated hosts on sockets: the host model behind the hosts' side of the line protocol."""

import socket
import struct
from collections import deque

from cottonspread.lab import wire
from cottonspread.lab.host_server import HostServer, host_model
from cottonspread.lab.loop import IN, OUT, listener
from cottonspread.lab.plan import HOST_FAULTS, INSTANT_FAULTS
from cottonspread.lab.process import LabProcess
from cottonspread.lab.wire import now

SECOND = 1_000_000
BACKLOG = 1024
LINGER_RESET = struct.pack("ii", 1, 0)
MAX_UNSENT = 64 * 1024  # bytes that a peer may leave unread before its connection is reset


class Conn:
    """A connection at a host."""

    __slots__ = ("sock", "host", "splitter", "call", "out", "ended")

    def __init__(self, sock, host):
        """`host`: the Host that accepted the connection."""
        self.sock, self.host, self.splitter, self.call = sock, host, wire.LineSplitter(), None
        self.out, self.ended = deque(), False


class Host(HostServer):
    """One host: its address and its model."""

    def __init__(self, process, machine):
        """Creates the host of a plan's machine; one that the plan starts later is down until then."""
        experiment = process.plan.experiment
        super().__init__(machine.name, host_model(process.plan, machine, now()), experiment.hosts.reports)
        self.process, self.machine, self.listener, self.backlog_fillers = process, machine, None, []
        self.now, self.at, self.put = now, process.loop.at, process.record.put
        if machine.started:
            self.model.state = "down"
        else:
            self.open()

    def open(self):
        """Accepts connections."""
        self.refuse()
        self.listener = listener((self.machine.ip, self.machine.port), BACKLOG, f"host {self.machine.name}")
        self.process.loop.watch(self.listener, self.accept)

    def refuse(self):
        """Refuses connections."""
        if self.listener is not None:
            self.process.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        for sock in self.backlog_fillers:
            sock.close()
        self.backlog_fillers = []

    def vanish(self):
        """Leaves connection requests without any reply.

        The accept queue is filled with connections of its own, so that the kernel drops further requests.
        """
        if self.listener is None:
            return
        self.process.loop.unwatch(self.listener)
        self.listener.listen(0)
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.machine.ip, self.machine.port))
            self.backlog_fillers.append(sock)

    def accept(self, _):
        """Accepts the connections that wait, 64 at most at a time."""
        for _ in range(64):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError as error:
                self.process.record.put(
                    {"k": "fault", "t": now(), "host": self.machine.name, "why": str(error)}
                )
                return
            sock.setblocking(False)
            conn = Conn(sock, self)
            self.conns[conn] = None
            self.process.loop.watch(sock, lambda mask, conn=conn: self.on_ready(conn, mask))

    def on_ready(self, conn, mask):
        """Handles socket events of a connection."""
        if mask & OUT and conn.out:
            self.flush(conn)
        if not mask & ~OUT:
            return
        if self.backlog_fillers:  # the host has vanished and reads nothing any more
            self.process.loop.unwatch(conn.sock)
            return
        try:
            data = conn.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_data(conn, data)
        else:
            self.end(conn, "theirs")

    def write(self, conn, line):
        """Sends a line."""
        conn.out.append(line + b"\r\n")
        self.flush(conn)

    def flush(self, conn):
        """Sends what is buffered; resets a connection whose peer has left too much unread."""
        data = b"".join(conn.out)
        conn.out.clear()
        try:
            sent = conn.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.end(conn, "theirs")
            return
        if sent < len(data):
            conn.out.append(data[sent:])
            if len(data) - sent > MAX_UNSENT:
                self.end(conn, "reset")
                return
        self.process.loop.set_mask(conn.sock, IN | OUT if conn.out else IN)

    def drop(self, conn, how):
        """Closes the socket, with a reset if `how` is "reset"."""
        self.process.loop.unwatch(conn.sock)
        if how == "reset":
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        conn.sock.close()


class Hosts(LabProcess):
    """One process of emulated hosts: its share of the plan's machines."""

    kind = "hosts"

    def prepare(self):
        """Opens the hosts' addresses."""
        self.hosts = {m.name: Host(self, m) for m in self.plan.machines if m.process == self.number}

    def begin(self):
        """Schedules the faults of this process's hosts."""
        for fault in self.plan.faults:
            if fault.kind not in HOST_FAULTS:
                continue
            for name in fault.on:
                host = self.hosts.get(name)
                if host is None:
                    continue
                at = self.start + round(fault.at * SECOND)
                if fault.kind == "join":  # the host is down until then
                    self.loop.at(at, host.end_fault, fault)
                    continue
                self.loop.at(at, host.start_fault, fault)
                # a hang ends by itself
                if fault.kind not in INSTANT_FAULTS and fault.kind != "hang" and fault.seconds:
                    self.loop.at(at + round(fault.seconds * SECOND), host.end_fault, fault)

    def counts(self):
        """Returns the number of connections by host."""
        return {"standing": {name: len(host.model.conns) for name, host in self.hosts.items()}}
