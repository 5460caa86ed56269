"""Simulated hosts: the lab's host model and protocol on the simulated network."""

from cottonspread.lab import wire
from cottonspread.lab.host_server import HostServer, host_model
from cottonspread.lab.sim.network import Endpoint

MAX_UNREAD = 64 * 1024  # bytes that a node may leave unread before its connection is reset


class Conn:
    """A connection at a host."""

    __slots__ = ("side", "splitter", "call", "ended", "host")

    def __init__(self, side, host):
        """`side`: the host's side of the connection."""
        self.side, self.splitter, self.call, self.ended, self.host = (
            side,
            wire.LineSplitter(),
            None,
            False,
            host,
        )

    def on_readable(self, side):
        """Reads what has arrived; a machine that has vanished reads nothing."""
        if self.ended or self.host.vanished:
            return
        if side.received:
            data = side.recv()
            self.host.fleet.invariants.on_host_data(self, data)
            self.host.on_data(self, data)
        if not self.ended and (side.eof or side.was_reset):
            self.host.end(self, "theirs")

    def on_writable(self, side):
        """Does nothing: a host never waits to write."""
        pass


class Host(HostServer):
    """A host of the plan."""

    def __init__(self, fleet, machine):
        """Creates the host of a plan's machine; one that the plan starts later is down until then."""
        super().__init__(
            machine.name, host_model(fleet.plan, machine, 0), fleet.plan.experiment.hosts.reports
        )
        self.fleet, self.machine, self.endpoint, self.vanished = (
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
        """Returns the simulated time, in microseconds."""
        return self.fleet.world.now

    def put(self, line):
        """Adds a line to the hosts' record and passes it to the invariants."""
        self.fleet.add_record("hosts", line)
        self.fleet.invariants.on_host_record(line)

    def open(self):
        """Accepts connections."""
        self.endpoint.on_connect, self.vanished = self.accept, False

    def refuse(self):
        """Refuses connections."""
        self.endpoint.on_connect, self.vanished = None, False

    def vanish(self):
        """Leaves connection requests and established connections without any reply."""
        self.endpoint.on_connect, self.vanished = Endpoint.SILENT, True

    def accept(self, side):
        """Accepts a connection."""
        conn = side.owner = Conn(side, self)
        self.conns[conn] = None

    def write(self, conn, line):
        """Sends a line; resets a connection whose peer has left too much unread."""
        self.fleet.invariants.on_host_write(conn, line)
        try:
            conn.side.send(line + b"\r\n")
        except BrokenPipeError:
            self.end(conn, "theirs")
            return
        if conn.side.in_flight > MAX_UNREAD:
            self.end(conn, "reset")

    def drop(self, conn, how):
        """Closes the connection, with a reset if `how` is "reset"."""
        if how == "reset":
            conn.side.reset()
        else:
            conn.side.close()

    def end_fault(self, fault):
        """Ends a fault."""
        if fault.kind == "vanish":
            self.vanished = False
        super().end_fault(fault)
