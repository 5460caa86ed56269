"""One node's balancer (the decision module) filled to a size and driven through its public interface alone.

Every event is one that the node itself sends. Whatever the balancer requests succeeds at once: probes
return a low load, sent calls are accepted. Times are microseconds of a simulated clock.
"""

from cottonspread import interface as io
from cottonspread.policy import Balancer

SECOND = 1_000_000
ZONES = 8
NODES = 420
LOAD = 10_000.0  # microseconds of work a second that each connection is reported to cause
GUARD = 3 * SECOND
REVIEW_INTERVAL = SECOND // 4  # the balancer reviews its exceptional servers at most this often


def node_config(seed=1, probed=False):
    """Settings of a node in a fleet of the target's size whose groups share work."""
    kind = io.TrafficType("listen", io.Effect.REPEATABLE, "all", 5 * SECOND, SECOND, GUARD, 1.0, 140_000)
    return io.NodeConfig(
        seed=seed,
        node_number=0,
        nodes=NODES,
        zone=0,
        tick=2000,
        types=(kind,),
        legs=io.LegLimits(3, False, True, False, 0),
        cold=io.ColdStart(0.12, 20 * SECOND, 2.5, 2 * SECOND),
        server_list=io.ServerListRules(False, 10 * SECOND, SECOND // 2),
        prices=io.Prices(0.03, 0.03),
        groups_share_work=True,
        probes_report_load=probed,
    )


def entry(number, **more):
    """The list's entry of server `number`."""
    return io.Entry(f"server-{number}", zone=number % ZONES, **more)


class BalancerNode:
    """A balancer with `servers` listed and `connections` established, spread evenly over `groups` groups."""

    def __init__(self, connections, servers, groups, seed=1, probed=False, large_group=0):
        """`probed`: hosts report their load to probes. `large_group`: connections in the group `large`."""
        self.now, self.last_call_id, self.version, self.seed = SECOND, 0, 0, seed
        self.servers, self.groups = servers, groups
        self.balancer = Balancer(self.now, node_config(seed, probed))
        self.established = {}  # call: its server's number
        self.entries = {}  # server's name: its latest entry
        self.update(io.ListUpdateKind.FULL, [entry(n) for n in range(servers)])
        for number in range(connections):
            group = "large" if number < large_group else f"group-{number % groups}"
            self.add_connection(group, number)

    def handle(self, event):
        """Passes one event to the balancer; returns the actions that it requests."""
        return self.balancer.handle(self.now, event)

    def update(self, kind, entries):
        """Sends a list update; returns the balancer's actions."""
        self.version += 1
        self.entries.update((one.host, one) for one in entries)
        return self.handle(io.ListUpdate(kind, self.version, tuple(entries)))

    def add_connection(self, group, number):
        """Adds an established connection, to the servers in turn, as the balancer would spread them."""
        server = number % self.servers
        call = self.new_call_id()
        held_by = f"server-{server}"
        self.handle(io.CallArrived(call, 0, GUARD, f"key-{call}", group, held_by=held_by))
        self.handle(io.LoadReported(call, LOAD))
        self.established[call] = server

    def new_call_id(self):
        """Returns an id that no call had before."""
        self.last_call_id += 1
        return self.last_call_id

    def arrive(self, group=None, key=None):
        """A call arrives and its probes are answered; returns (its id, whether it was sent to a host)."""
        call = self.new_call_id()
        actions = self.handle(io.CallArrived(call, 0, GUARD, key or f"key-{call}", group))
        while actions and isinstance(actions[-1], io.Probe):
            actions = self.handle(io.ProbeEnded(actions[-1].host, io.Ending.OK, load=0.2))
        return call, any(isinstance(action, io.Send) for action in actions)

    def run_call(self, group=None):
        """A call arrives, is accepted and ends."""
        call, sent = self.arrive(group)
        if sent:
            self.handle(io.LegAccepted(call, 0, 0))
            self.handle(io.LegEnded(call, 0, io.Ending.OK, True))
        self.now += 10

    def review_servers(self):
        """A call after a pause: the balancer reviews its exceptional servers. Returns as `arrive`."""
        self.now += REVIEW_INTERVAL
        return self.arrive()

    def drain(self, number):
        """The list says that server `number` drains."""
        return self.update(io.ListUpdateKind.CHANGES, [entry(number, state=io.HostState.DRAINING)])

    def restart_server(self, number):
        """The list says that server `number` has just started."""
        return self.update(io.ListUpdateKind.CHANGES, [entry(number, started=self.now)])

    def send_full_list(self):
        """The full list is read again, unchanged."""
        return self.update(
            io.ListUpdateKind.FULL,
            [one for one in self.entries.values() if one.state is not io.HostState.GONE],
        )

    def remove_servers(self, numbers):
        """These servers disappear from the list at once."""
        return self.update(io.ListUpdateKind.CHANGES, [entry(n, state=io.HostState.GONE) for n in numbers])

    def connection_losses(self, numbers):
        """The events of all connections on these servers breaking."""
        removed = set(numbers)
        calls = [call for call, server in self.established.items() if server in removed]
        return [io.LegEnded(call, 0, io.Ending.RESET, True) for call in calls]
