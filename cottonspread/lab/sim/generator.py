"""Random scenarios from a seed: a small fleet, its traffic, and bursts of faults that overlap on purpose."""

from cottonspread.lab import plan as plans
from cottonspread.lab.sim.invariants import CALM_PERIOD
from cottonspread.lab.sim.scenario import Scenario
from cottonspread.lab.sim.world import SECOND, RandomStream

SETTLING_SECONDS = CALM_PERIOD // SECOND + 10  # seconds after the last fault, so that progress can be checked
EFFECTS = ("repeatable", "referenced", "once-only")
SCOPES = ("all", "zone", "cell")
# How often each kind is drawn, relative to the others
FAULT_WEIGHTS = {
    "hang": 4,
    "slow": 3,
    "jam": 2,
    "reset": 3,
    "refuse": 2,
    "vanish": 3,
    "half-dead": 2,
    "cold": 4,
    "drain": 4,
    "join": 1,
    "list-cut": 2,
    "list-garbage": 1,
    "list-restart": 1,
    "list-late": 2,
    "contradict": 2,
    "freeze": 3,
    "stop": 3,
    "kill": 3,
    "reload": 1,
    "retune": 2,
    "quiesce": 2,
    "replace": 4,
    "late-writes": 2,
    "partition": 3,
    "slow-way": 1,
    "stall": 3,
    "snap": 3,
    "dead": 2,
    "zone-lost": 1,
    "store-slow": 2,
    "reconnect": 2,
    "slow-readers": 2,
    "crowding": 1,
    "bad": 3,
}
WEIGHTED_FAULT_KINDS = [kind for kind, weight in FAULT_WEIGHTS.items() for _ in range(weight)]


def draw_fault(random, at, fleet, kind=None):
    """Returns a random fault of this kind, or of any kind if None, at second `at`."""
    hosts = [f"h{n}" for n in range(fleet["hosts.count"])]
    nodes = [f"n{n}" for n in range(fleet["nodes.count"])]
    zones = [f"z{n}" for n in range(fleet["hosts.zones"])]
    kind = kind or random.choice(WEIGHTED_FAULT_KINDS)
    seconds, factor, targets = random.randint(2, 80) / 10, 3.0, []
    if kind in plans.HOST_FAULTS:
        targets = random.sample(hosts, random.choice((0.1, 0.2, 0.4, 0.6)))
        factor = random.choice((2.0, 4.0, 10.0))
        seconds = 0.0 if kind == "reset" else min(seconds, 4.0) if kind == "jam" else seconds
        if kind == "join":
            targets, seconds = targets[:1], 0.0
            at = max(0.1, at)
    elif kind in plans.NODE_FAULTS or kind in ("late-writes", "crowding"):
        targets = random.sample(nodes, random.choice((0.1, 0.3, 0.6)))
        seconds, factor = node_fault_parameters(random, kind, seconds, factor)
    elif kind in plans.LIST_FAULTS or kind in ("list-late", "contradict"):
        targets = random.sample(nodes, random.choice((0.3, 1.0)))
        factor = random.choice((1.0, 3.0, 8.0))
    elif kind == "zone-lost":
        targets = [random.choice(zones)]
    elif kind in ("partition", "slow-way", "stall", "snap", "dead"):
        targets = random.sample(hosts + nodes + zones, random.choice((0.1, 0.3)))
        factor = random.choice((1.0, 3.0, 10.0))
    elif kind in ("store-slow", "reconnect", "slow-readers", "bad"):
        factor = random.choice((1.0, 3.0, 8.0))
    return plans.Fault(at=at, kind=kind, seconds=seconds, on=targets, factor=factor)


def node_fault_parameters(random, kind, seconds, factor):
    """Returns the duration (seconds) and factor of a node's fault."""
    if kind == "freeze":
        return random.choice((0.05, 0.3, 1.0, 3.0, 6.0)), factor
    if kind in ("reload", "retune", "replace"):
        return 0.0, random.choice((0.0, 3.0))
    if kind == "quiesce":
        return max(seconds, 0.5), factor
    return seconds, factor


def last_fault_end(faults):
    """Returns the second at which the last fault ends."""
    return max([fault.at + fault.seconds for fault in faults] or [0.0])


def with_fitted_length(scenario):
    """Returns the scenario with a length that covers its faults and the time to recover from them."""
    return Scenario(
        {**scenario.fleet, "seconds": round(last_fault_end(scenario.faults) + SETTLING_SECONDS, 1)},
        scenario.types,
        scenario.loads,
        scenario.faults,
        scenario.only,
        scenario.expected,
        scenario.remarks,
    )


def sustainable_rate(fleet, types, rate):
    """Returns `rate`, limited to what the fleet can serve.

    The limit is a third of the hosts' capacity without faults, and of the nodes' descriptors, so that there
    is no reason to reject a client unless a fault is active.
    """
    life = sum(kind["life_s"] for kind in types) / len(types)
    work = sum(kind["life_s"] * kind["load_us"] for kind in types) / len(types) / 1e6 + 0.0024
    sockets = (fleet["nodes.sockets"] - 48) * fleet["nodes.count"] / 2
    return round(min(rate, fleet["hosts.count"] * 2.0 / 3 / work, sockets / 3 / life), 2)


def generate(seed):
    """Returns the scenario of a seed."""
    random = RandomStream("trial", seed)
    zones = random.randint(1, 3)
    fleet = {
        "seed": seed,
        "nodes.count": random.randint(1, 4),
        "hosts.count": random.randint(2, 7),
        "hosts.zones": zones,
        "hosts.speed_sigma": random.choice((0.0, 0.2)),
        "hosts.reports": random.choice((True, False, False)),
        "hosts.traits.tells_load": random.choice((True, True, False)),
        "hosts.traits.drain": random.choice(("paced", "at-once", "none")),
        "hosts.traits.cancels": random.choice((True, False)),
        "hosts.traits.warm_s": random.choice((4, 15)),
        "nodes.sockets": random.choice((128, 256, 1024)),
        "nodes.grace_ms": random.choice((200, 500)),
        "list.lag_ms": random.choice((20, 300, 1500)),
        "list.silent_s": random.choice((2, 6)),
        "ways.cross_us": random.choice((500, 5000)),
        "ways.jitter_us": random.choice((0, 300, 2000)),
        "ways.skew_us": random.choice((0, 5000)),
        "ways.drift_ppm": random.choice((0, 100)),
        "load.groups": random.choice((3, 20, 200)),
        "load.retries": random.randint(2, 4),
        "load.line_s": random.choice((0.5, 2, 2)),
        "settle_s": 1,
    }
    if fleet["hosts.reports"]:
        fleet["nodes.settings.Limits.Probes"] = True
    types = []
    for n in range(random.randint(1, 3)):
        effect = random.choice(EFFECTS)
        types.append(
            {
                "name": f"t{n}",
                "effect": effect,
                "scope": random.choice(SCOPES),
                "remembered_ms": random.choice((1000, 5000)),
                "target_ms": random.choice((100, 500)),
                "guard_ms": random.choice((400, 1500, 4800)),
                "revenue": random.choice((1, 5)),
                "life_s": random.choice((2, 8, 20)),
                "load_us": random.choice((2000, 10000)),
                "message_ms": random.choice((50, 100)),
            }
        )
    loads = [{"kind": "poisson", "rate": sustainable_rate(fleet, types, random.choice((2, 4, 8)))}]
    faults = []
    for _ in range(random.randint(1, 3)):
        start = random.randint(5, 140) / 10
        if random.randbelow(3) == 0:
            loads.append(
                {
                    "kind": "burst",
                    "start": start,
                    "seconds": random.choice((0.05, 1)),
                    "count": random.choice((20, 60)),
                }
            )
        for _ in range(random.randint(1, 4)):
            faults.append(
                draw_fault(
                    random, round(start + random.choice((0, 0, 1)) * random.randint(0, 2000) / 1000, 3), fleet
                )
            )
    return with_fitted_length(Scenario(fleet, types, loads, sorted(faults, key=lambda fault: fault.at)))
