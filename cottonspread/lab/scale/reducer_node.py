"""One node's reducer filled to a size and driven by the events of its workers. No sockets, no threads.

Every write completes at once and every host answers. Times are microseconds of a simulated clock.
"""

from cottonspread import config
from cottonspread import interface as io
from cottonspread.front import handover
from cottonspread.lab.scale.balancer_node import GUARD, LOAD, SECOND, entry, node_config
from cottonspread.net import events as ev
from cottonspread.net.echo_monitor import ECHO_CHECK_INTERVAL
from cottonspread.net.reducer import SWEEP_INTERVAL, Reducer

MAX_SOCKETS = 1_000_000
CONNECT_TIMEOUT = SECOND // 20
TYPE = "listen"
LINE_LEAD_US = 1000  # how long before the timer a busy client sends its line


def address(number):
    """Where server `number` listens."""
    return f"10.0.{number // 250}.{number % 250}", 7000


class ReducerNode:
    """A reducer with `servers` listed and `connections` established, spread evenly over `groups` groups."""

    def __init__(self, connections, servers, groups, seed=1):
        """Lists all servers and adopts the connections."""
        self.now, self.version, self.servers, self.groups = SECOND, 0, servers, groups
        self.call_count = 0
        names = config.Names({TYPE: 0}, {}, {})
        host_protocol = config.HostProtocol(CONNECT_TIMEOUT, True, True)
        self.reducer = Reducer(self.now, node_config(seed), names, host_protocol, MAX_SOCKETS)
        self.hosts = {}  # client's connection end: host's connection end
        self.step(ev.Tick())
        self.send_full_list()
        for number in range(connections):
            self.adopt(number, f"group-{number % groups}")

    def step(self, event):
        """Passes one event to the reducer; returns the effects that it requests."""
        return self.reducer.step(self.now, event)

    def send_full_list(self):
        """The full list is read, all servers up."""
        self.version += 1
        entries = tuple(entry(n) for n in range(self.servers))
        addresses = {one.host: address(n) for n, one in enumerate(entries)}
        return self.step(
            ev.ListReceived(io.ListUpdate(io.ListUpdateKind.FULL, self.version, entries), addresses)
        )

    def adopt(self, number, group, waiting=()):
        """Adds an established connection, to the servers in turn, as the balancer would spread them.

        `waiting`: when lines without an echo were sent.
        """
        server = number % self.servers
        client, host = ev.ConnectionEnd(True), ev.ConnectionEnd(False)
        client.worker = host.worker = "a thread"
        connection = handover.OpenConnection(
            f"id-{number}", TYPE, f"server-{server}", self.now, 1000, f"key-{number}", group, 0, LOAD, waiting
        )
        accepted = []
        self.step(ev.TransferOffered(client, host, connection, accepted.append))
        assert accepted == [True]
        self.hosts[client] = host

    def advance_to_timer(self, timer, busy=()):
        """Advances to a moment when only timers of one kind ("sweep" or "listen") are due; returns that step.

        `busy`: clients that send a line just before.
        """
        while True:
            due = self.reducer.due()
            since = due - SECOND
            kinds = {"sweep": since % SWEEP_INTERVAL == 0, "listen": since % ECHO_CHECK_INTERVAL == 0}
            if kinds.pop(timer) and not any(kinds.values()):
                break
            self.now = due
            self.step(ev.Tick())
        self.now = max(self.now, due - LINE_LEAD_US)
        for client in busy:
            self.send_line(client)
        self.now = due
        return lambda: self.step(ev.Tick())

    def send_line(self, client):
        """A line of the client is passed on to its host."""
        self.step(ev.LinesRead(client, b"hello\n"))
        self.step(ev.WriteDone(self.hosts[client], True, self.now))

    def echo(self, client):
        """The host's echo is passed back to the client."""
        self.step(ev.LinesRead(self.hosts[client], b"hello\n"))
        self.step(ev.WriteDone(client, True, self.now))

    def send_load_report(self, client):
        """The host reports a load on the client's connection."""
        return self.step(ev.LinesRead(self.hosts[client], b"LOAD 12000\n"))

    def line_and_echo(self, client):
        """One line and its echo."""
        self.send_line(client)
        self.echo(client)

    def run_call(self, group):
        """A client connects, is accepted by a host, and leaves."""
        self.call_count += 1
        self.now += 10
        client = ev.ConnectionEnd(True, worker="a thread")
        self.step(ev.ClientAccepted(client))
        line = f"OPEN call-{self.call_count} key-{self.call_count} c={TYPE},g={group},d={GUARD // 1000}\n"
        out = self.step(ev.LinesRead(client, line.encode()))
        connects = [effect for effect in out if isinstance(effect, ev.Connect)]
        assert connects, out
        host = connects[0].end
        host.worker = "a thread"
        self.step(ev.ConnectDone(host, True))
        self.step(ev.WriteDone(host, True, self.now))
        self.step(ev.LinesRead(host, b"UP receipt\n"))
        self.step(ev.WriteDone(client, True, self.now))
        self.step(ev.ReadEnded(client, "end"))
        self.step(ev.ReadEnded(host, "end"))

    def drain(self):
        """The operators drain the node."""
        return self.step(ev.DrainRequested(True))

    def resume(self):
        """The operators end the drain."""
        return self.step(ev.DrainRequested(False))

    def hand_over(self):
        """A successor process asks for the node's state."""
        return self.step(ev.HandOverRequested(lambda handed: None))
