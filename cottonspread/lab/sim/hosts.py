"""Simulated hosts: the lab's model and its side of the protocol, on simulated ways."""

from cottonspread.lab import wire
from cottonspread.lab.serving import Serving, modelled
from cottonspread.lab.sim.network import Endpoint

MAX_UNREAD = 64 * 1024  # bytes that a connection's reader may leave untaken


class Conn:
    __slots__ = ("side", "lines", "call", "over", "server")

    def __init__(self, side, server):
        self.side, self.lines, self.call, self.over, self.server = side, wire.Lines(), None, False, server

    def on_readable(self, side):
        if self.over or self.server.gone:  # a machine that vanished takes nothing
            return
        if side.received:
            data = side.recv()
            self.server.fleet.invariants.host_has(self, data)
            self.server.came(self, data)
        if not self.over and (side.eof or side.was_reset):
            self.server.end(self, "theirs")

    def on_writable(self, side):
        pass


class Host(Serving):
    def __init__(self, fleet, machine):
        super().__init__(machine.name, modelled(fleet.plan, machine, 0), fleet.plan.experiment.hosts.reports)
        self.fleet, self.machine, self.endpoint, self.gone = (
            fleet,
            machine,
            Endpoint(machine.name, machine.zone),
            False,
        )
        self.at = fleet.world.at
        if machine.started:
            self.model.state = "down"
        else:
            self.open()

    def now(self):
        return self.fleet.world.now

    def put(self, line):
        self.fleet.add_record("hosts", line)
        self.fleet.invariants.host_said(line)

    def open(self):
        self.endpoint.on_connect, self.gone = self.accept, False

    def shut(self):
        self.endpoint.on_connect, self.gone = None, False

    def vanish(self):
        self.endpoint.on_connect, self.gone = Endpoint.SILENT, True

    def accept(self, side):
        conn = side.owner = Conn(side, self)
        self.conns[conn] = None

    def write(self, conn, line):
        self.fleet.invariants.host_writes(conn, line)
        try:
            conn.side.send(line + b"\r\n")
        except BrokenPipeError:
            self.end(conn, "theirs")
            return
        if conn.side.in_flight > MAX_UNREAD:
            self.end(conn, "reset")

    def drop(self, conn, how):
        if how == "reset":
            conn.side.reset()
        else:
            conn.side.close()

    def mend(self, fault):
        if fault.kind == "vanish":
            self.gone = False
        super().mend(fault)
