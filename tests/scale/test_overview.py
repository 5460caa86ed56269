"""The overview's incremental state matches a full scan of all servers, after random events of many seeds."""

from random import Random

import pytest
from notation import node_config, traffic_type

from cottonspread import interface as io
from cottonspread.interface import Ending, HostState
from cottonspread.policy import Balancer
from cottonspread.policy.ceilings import Ceilings
from cottonspread.state import SECOND

SERVERS, STEPS = 12, 700
ENDINGS = (
    Ending.OK,
    Ending.OK,
    Ending.RESET,
    Ending.TIMEOUT,
    Ending.ERROR,
    Ending.CANCELLED,
    Ending.CONNECT_FAILED,
)
DELAYS = (1000, 15_000, 30_000, 60_000, 200_000, 2 * SECOND)


def full_scan(node):
    """Exceptional servers, share of slow servers and weight errors of legs, by a scan of all servers."""
    now, health, order = node.now, node.health, node.rotation.order
    cold = {h for h in node.overview.exceptional if h.up and node.slow_start.capacity_share(h, now) < 1}
    near = [h for h in order if health.is_slow(h, now, health.NEAR_SLOW_SHARE)]
    full = [h for h in order if node.readings.is_full(h, now)]
    probed = node.settings.probes_report_load
    exceptional = {h for h in order if h in cold or h.recovery_limit or probed and (h in full or h in near)}
    active = [h for h in order if h.legs or now - h.cut_at < Ceilings.COOLDOWN]
    slow = [h for h in active if health.is_slow(h, now) and not h.hung or now - h.cut_at < Ceilings.COOLDOWN]
    weights = [leg.load - node.loads.weight_of(leg) for h in order for leg in h.legs]
    return exceptional, len(slow) / (len(active) + 2), weights


def legs_and_load(hosts):
    """The number of legs and the sum of loads of the servers."""
    return sum(len(h.legs) for h in hosts), sum(h.load for h in hosts)


class RandomNode:
    """A balancer that receives random events."""

    def __init__(self, seed):
        self.rng, self.now, self.calls, self.open = Random(seed), SECOND, 0, {}
        site = {"nodes": self.rng.choice((1, 40)), "moving": 0.03} | ({"probe": 1} if seed % 2 else {})
        self.types = (traffic_type("t", {}),)
        self.site = site
        self.node = Balancer(self.now, node_config(site, self.types))
        self.entries = {n: io.Entry(f"s{n}", n % 3) for n in range(SERVERS)}
        self.send(io.ListUpdate(io.ListUpdateKind.FULL, 1, tuple(self.entries.values())))

    def send(self, event):
        """Passes an event to the balancer, and answers its probes."""
        for action in self.node.handle(self.now, event):
            if isinstance(action, io.Send):
                self.open.setdefault(action.call, []).append(action.host)
            elif isinstance(action, io.Probe):
                load = self.rng.choice((0.2, 0.5, 0.9, 1.5))
                self.send(io.ProbeEnded(action.host, Ending.OK, 0, load))

    def change(self):
        """A list update changes one random server."""
        number = self.rng.randrange(SERVERS)
        change = self.rng.choice(
            (
                {"state": HostState.DRAINING},
                {"state": HostState.GONE},
                {"state": HostState.UP},
                {"started": self.now},
            )
        )
        self.entries[number] = self.entries[number]._replace(**change)
        self.send(io.ListUpdate(io.ListUpdateKind.CHANGES, 1, (self.entries[number],)))

    def end(self, call, leg):
        """Ends a leg. After an error the call may continue, and its next leg may be accepted much later."""
        continues = self.rng.random() < 0.4
        ending = Ending.ERROR if continues else self.rng.choice(ENDINGS)
        self.send(io.LegEnded(call, leg, ending, not continues))
        if len(self.open[call]) == leg + 1:
            del self.open[call]

    def step(self):
        """Sends one random event."""
        rng, kind = self.rng, self.rng.random()
        self.now += rng.choice((0, 5000, 20_000, 100_000))
        if kind < 0.4 or not self.open:
            self.calls += 1
            holder = f"s{rng.randrange(SERVERS)}" if rng.random() < 0.2 else None
            if holder:
                self.open[self.calls] = [holder]
            self.send(io.CallArrived(self.calls, 0, SECOND, None, f"g{self.calls % 7}", held_by=holder))
            return
        call = rng.choice(list(self.open))
        leg = len(self.open[call]) - 1
        if kind < 0.55:
            self.send(io.LegAccepted(call, leg, 0))
        elif kind < 0.7:
            self.end(call, leg)
        elif kind < 0.8:
            self.send(io.LoadReported(call, rng.choice((0.0, 5000.0, rng.random() * 20_000))))
        elif kind < 0.93:
            self.send(io.DelayReported(call, rng.choice(DELAYS)))
        elif kind < 0.98:
            self.change()
        else:
            faster = (traffic_type("t", {"message": rng.choice((20, 50, 400))}),)
            self.send(io.Reconfigured(node_config(self.site, faster)))


@pytest.mark.parametrize("seed", range(24))
def test_a_refresh_matches_a_full_scan(seed):
    random_node = RandomNode(seed)
    node, overview, refreshes = random_node.node, random_node.node.overview, 0
    original_refresh = overview.refresh

    def checked_refresh(now):
        nonlocal refreshes
        due = now - overview.refreshed_at >= overview.REFRESH_INTERVAL
        original_refresh(now)
        if due:
            refreshes += 1
            exceptional, slow_share, wrong_weights = full_scan(node)
            assert node.sums.excluded == exceptional
            assert overview.slow_share == slow_share
            assert not any(wrong_weights)

    overview.refresh = checked_refresh
    for _ in range(STEPS):
        random_node.step()
        up = [h for h in node.membership.hosts.values() if h.up]
        assert (node.sums.legs, node.sums.load) == legs_and_load(up)
        assert node.sums.servers_with_legs == sum(bool(h.legs) for h in up)
        assert (node.sums.excluded_legs, node.sums.excluded_load) == legs_and_load(node.sums.excluded)
    assert refreshes > STEPS / 20


def test_a_server_whose_ceiling_was_just_cut_counts_as_slow():
    """A cut counts for `Ceilings.COOLDOWN`, even if nothing else shows a slow server.

    The server was found to be distant after the cut, which removed its ceiling, and has answered since.
    """
    random_node = RandomNode(0)
    node = random_node.node
    host = node.rotation.order[0]
    node.overview.mark_exceptional(host)
    host.cut_at = node.now
    for _ in range(3):
        node.now += SECOND
        node.overview.refresh(node.now)
        assert node.overview.slow_share == 1 / (1 + 2)
    node.now += Ceilings.COOLDOWN
    node.overview.refresh(node.now)
    assert node.overview.slow_share == 0
