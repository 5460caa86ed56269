"""Emulated farm servers on sockets: the pure model behind the hosts' side of the line protocol."""
import socket
import struct
import zlib
from collections import deque

import numpy as np

from cottonspread.lab import model, wire
from cottonspread.lab.loop import IN, OUT, listener
from cottonspread.lab.plan import AT_ONCE, HOST_FAULTS
from cottonspread.lab.process import Part
from cottonspread.lab.wire import now

SECOND = 1_000_000
BACKLOG = 1024
BROKEN = struct.pack("ii", 1, 0)
MOST_OUT = 64 * 1024               # bytes that a connection's reader may leave untaken


class Conn:
    __slots__ = ("sock", "host", "lines", "call", "out", "over")

    def __init__(self, sock, host):
        self.sock, self.host, self.lines, self.call = sock, host, wire.Lines(), None
        self.out, self.over = deque(), False


class Server:
    """One host's address and its model."""

    def __init__(self, part, machine):
        self.part, self.machine = part, machine
        x = part.plan.experiment
        self.model = model.Host(machine.traits, {k.name: k.load_us for k in x.load.types}, np.random.default_rng(
            [part.plan.seed, 2, zlib.crc32(machine.name.encode())]), now=now())
        self.conns, self.listener, self.fillers = set(), None, []
        if machine.started:
            self.model.state = "down"
        else:
            self.open()

    def open(self):
        self.shut()
        self.listener = listener((self.machine.ip, self.machine.port), BACKLOG, f"host {self.machine.name}")
        self.part.loop.watch(self.listener, self.accept)

    def shut(self):
        if self.listener is not None:
            self.part.loop.drop(self.listener)
            self.listener.close()
            self.listener = None
        for sock in self.fillers:
            sock.close()
        self.fillers = []

    def vanish(self):
        """New ones never come up: the queue of those not taken yet is filled, and the kernel drops the rest."""
        if self.listener is None:
            return
        self.part.loop.drop(self.listener)
        self.listener.listen(0)
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.machine.ip, self.machine.port))
            self.fillers.append(sock)

    def accept(self, _):
        for _ in range(64):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError as fault:
                self.part.record.put({"k": "fault", "t": now(), "host": self.machine.name, "why": str(fault)})
                return
            sock.setblocking(False)
            conn = Conn(sock, self)
            self.conns.add(conn)
            self.part.loop.watch(sock, lambda mask, conn=conn: self.ready(conn, mask))

    def ready(self, conn, mask):
        if mask & OUT and conn.out:
            self.write(conn)
        if not mask & ~OUT:
            return
        if self.fillers:                     # vanished
            self.part.loop.drop(conn.sock)   # nothing is read either
            return
        try:
            data = conn.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.end(conn, "theirs")
            return
        at = now()
        try:
            lines = conn.lines.take(data)
        except ValueError:
            self.end(conn, "reset")
            return
        for line in lines:
            if conn.call is None:
                self.first(conn, line, at)
            else:
                self.do(self.model.line(at, conn, line))
            if conn.over:
                return

    def first(self, conn, line, at):
        if line in (b"PING", b"STATS"):
            self.say(conn, b"PONG" if line == b"PING" else self.report(at))
            return
        try:
            opening = conn.call = wire.first_line(line)
        except (ValueError, UnicodeDecodeError) as fault:
            self.part.record.put({"k": "syntax", "t": at, "host": self.machine.name, "line": line.decode("latin-1"),
                                  "why": str(fault)})
            self.say(conn, b"SYNTAX")
            self.end(conn, "end")
            return
        self.part.record.put({"k": "leg", "t": at, "host": self.machine.name, "id": opening.id, "key": opening.key,
                              "type": opening.type, "group": opening.group, "d": opening.wait_ms,
                              "cold": round(self.model.share(), 4), "up": self.model.state})
        self.do(self.model.first(at, conn, opening))

    def report(self, at):
        if not self.part.plan.experiment.hosts.reports:
            return b"NO"
        self.part.record.put({"k": "probe", "t": at, "host": self.machine.name})
        return b"PONG " + b",".join(b"%s:%.4f" % (name, value) for name, value in self.model.report(at))

    def do(self, effects):
        for effect in effects:
            if isinstance(effect, (model.Say, model.Close)) and effect.conn.over:
                continue
            if isinstance(effect, model.Door):
                {"open": self.open, "refused": self.shut, "vanished": self.vanish}[effect.state]()
            elif isinstance(effect, model.Note):
                self.note(effect)
            elif effect.at > now():
                self.part.loop.at(effect.at, self.carry_out, effect)
            else:
                self.carry_out(effect)

    def carry_out(self, effect):
        conn = effect.conn
        if conn.over or self.model.deaf:
            return
        if isinstance(effect, model.Say):
            self.say(conn, effect.line)
        else:
            self.end(conn, effect.how)

    def note(self, effect):
        conn, at = effect.conn, now()
        if effect.kind == "turn":
            self.part.loop.at(effect.value, lambda: self.do(self.model.run(now(), conn)))
        elif effect.kind == "change":
            self.part.loop.at(effect.value, lambda: self.do(self.model.change(now(), conn)))
        else:
            line = {"k": effect.kind, "t": at, "host": self.machine.name}
            if conn is not None:
                line["id"] = conn.call.id
            if effect.value is not None:
                line["v"] = effect.value
            if effect.kind == "ran":
                line["gone"] = conn.over           # its leg was given up before: it ran for nobody
            self.part.record.put(line)

    def say(self, conn, line):
        if conn.over:
            return
        if conn.call is not None and line.startswith(b"UP "):
            self.part.record.put({"k": "up", "t": now(), "host": self.machine.name, "id": conn.call.id,
                                  "receipt": line[3:].decode()})
        conn.out.append(line + b"\r\n")
        self.write(conn)

    def write(self, conn):
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
            if len(data) - sent > MOST_OUT:
                self.end(conn, "reset")
                return
        self.part.loop.change(conn.sock, IN | OUT if conn.out else IN)

    def end(self, conn, how):
        """how: "theirs" (the other side ended it), "end" or "reset" (this one does)."""
        if conn.over:
            return
        conn.over = True
        self.part.loop.drop(conn.sock)
        if how == "reset":
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, BROKEN)
        conn.sock.close()
        self.conns.discard(conn)
        if conn.call is not None:
            self.part.record.put({"k": "end", "t": now(), "host": self.machine.name, "id": conn.call.id, "how": how})
            self.do(self.model.ended(now(), conn))

    def fault(self, one):
        self.part.record.put({"k": "fault", "t": now(), "host": self.machine.name, "kind": one.kind})
        if one.kind in ("vanish", "cold"):
            self.part.record.put({"k": "down", "t": now(), "host": self.machine.name})
        self.do(self.model.fault(now(), one.kind, round(one.seconds * SECOND), one.factor))
        if one.kind in ("cold", "reset"):
            for conn in list(self.conns):
                self.end(conn, "reset")

    def mend(self, one):
        if one.kind in ("drain", "vanish"):            # the process ends with what is left on it, or is back
            for conn in list(self.conns):
                self.end(conn, "end" if one.kind == "drain" else "reset")
        self.part.record.put({"k": "mend", "t": now(), "host": self.machine.name, "kind": one.kind})
        self.do(self.model.mend(now(), one.kind))


class Hosts(Part):
    kind = "hosts"

    def prepare(self):
        self.servers = {m.name: Server(self, m) for m in self.plan.machines if m.process == self.number}

    def begin(self):
        for one in self.plan.faults:
            if one.kind not in HOST_FAULTS:
                continue
            for name in one.on:
                server = self.servers.get(name)
                if server is None:
                    continue
                at = self.start + round(one.at * SECOND)
                if one.kind == "join":
                    self.loop.at(at, server.mend, one)
                    continue
                self.loop.at(at, server.fault, one)
                if one.kind not in AT_ONCE and one.kind != "hang" and one.seconds:
                    self.loop.at(at + round(one.seconds * SECOND), server.mend, one)

    def counts(self):
        return {"standing": {name: len(s.model.conns) for name, s in self.servers.items()}}
