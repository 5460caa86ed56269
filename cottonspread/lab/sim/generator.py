"""Plays drawn from a seed: a small fleet, its traffic, and faults in bursts that overlap on purpose."""

from cottonspread.lab import plan as plans
from cottonspread.lab.sim.invariants import CALM
from cottonspread.lab.sim.scenario import Scenario
from cottonspread.lab.sim.world import SECOND, RandomStream

TAIL = CALM // SECOND + 10  # seconds after the last trouble, so that progress can be judged
EFFECTS = ("repeatable", "referenced", "once-only")
SCOPES = ("all", "zone", "cell")
# How often each kind is drawn
KINDS = {
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
BAG = [kind for kind, weight in KINDS.items() for _ in range(weight)]


def trouble(draws, at, fleet, kind=None):
    """One of the kind, or of any."""
    hosts = [f"h{n}" for n in range(fleet["hosts.count"])]
    nodes = [f"n{n}" for n in range(fleet["nodes.count"])]
    zones = [f"z{n}" for n in range(fleet["hosts.zones"])]
    kind = kind or draws.choice(BAG)
    seconds, factor, on = draws.randint(2, 80) / 10, 3.0, []
    if kind in plans.HOST_FAULTS:
        on = draws.sample(hosts, draws.choice((0.1, 0.2, 0.4, 0.6)))
        factor = draws.choice((2.0, 4.0, 10.0))
        seconds = 0.0 if kind == "reset" else min(seconds, 4.0) if kind == "jam" else seconds
        if kind == "join":
            on, seconds = on[:1], 0.0
            at = max(0.1, at)
    elif kind in plans.NODE_FAULTS or kind in ("late-writes", "crowding"):
        on = draws.sample(nodes, draws.choice((0.1, 0.3, 0.6)))
        seconds, factor = of_a_node(draws, kind, seconds, factor)
    elif kind in plans.LIST_FAULTS or kind in ("list-late", "contradict"):
        on = draws.sample(nodes, draws.choice((0.3, 1.0)))
        factor = draws.choice((1.0, 3.0, 8.0))
    elif kind == "zone-lost":
        on = [draws.choice(zones)]
    elif kind in ("partition", "slow-way", "stall", "snap", "dead"):
        on = draws.sample(hosts + nodes + zones, draws.choice((0.1, 0.3)))
        factor = draws.choice((1.0, 3.0, 10.0))
    elif kind in ("store-slow", "reconnect", "slow-readers", "bad"):
        factor = draws.choice((1.0, 3.0, 8.0))
    return plans.Happening(at=at, kind=kind, seconds=seconds, on=on, factor=factor)


def of_a_node(draws, kind, seconds, factor):
    """How long a node's own trouble lasts, and its factor."""
    if kind == "freeze":
        return draws.choice((0.05, 0.3, 1.0, 3.0, 6.0)), factor
    if kind in ("reload", "retune", "replace"):
        return 0.0, draws.choice((0.0, 3.0))
    if kind == "quiesce":
        return max(seconds, 0.5), factor
    return seconds, factor


def last(faults):
    return max([one.at + one.seconds for one in faults] or [0.0])


def fitted(scenario):
    """As long as its faults ask for."""
    return Scenario(
        {**scenario.fleet, "seconds": round(last(scenario.faults) + TAIL, 1)},
        scenario.types,
        scenario.loads,
        scenario.faults,
        scenario.only,
        scenario.expected,
        scenario.remarks,
    )


def bearable(fleet, types, rate):
    """At most this rate: in calm a third of what the hosts can do, and of the descriptors, so that whoever is
    not served then was turned away for no good reason.
    """
    life = sum(one["life_s"] for one in types) / len(types)
    work = sum(one["life_s"] * one["load_us"] for one in types) / len(types) / 1e6 + 0.0024
    ends = (fleet["nodes.sockets"] - 48) * fleet["nodes.count"] / 2
    return round(min(rate, fleet["hosts.count"] * 2.0 / 3 / work, ends / 3 / life), 2)


def generate(seed):
    """One seed, one play."""
    d = RandomStream("trial", seed)
    zones = d.randint(1, 3)
    fleet = {
        "seed": seed,
        "nodes.count": d.randint(1, 4),
        "hosts.count": d.randint(2, 7),
        "hosts.zones": zones,
        "hosts.speed_sigma": d.choice((0.0, 0.2)),
        "hosts.reports": d.choice((True, False, False)),
        "hosts.traits.tells_load": d.choice((True, True, False)),
        "hosts.traits.drain": d.choice(("paced", "at-once", "none")),
        "hosts.traits.cancels": d.choice((True, False)),
        "hosts.traits.warm_s": d.choice((4, 15)),
        "nodes.sockets": d.choice((128, 256, 1024)),
        "nodes.grace_ms": d.choice((200, 500)),
        "list.lag_ms": d.choice((20, 300, 1500)),
        "list.silent_s": d.choice((2, 6)),
        "ways.cross_us": d.choice((500, 5000)),
        "ways.jitter_us": d.choice((0, 300, 2000)),
        "ways.skew_us": d.choice((0, 5000)),
        "ways.drift_ppm": d.choice((0, 100)),
        "load.groups": d.choice((3, 20, 200)),
        "load.retries": d.randint(2, 4),
        "load.line_s": d.choice((0.5, 2, 2)),
        "settle_s": 1,
    }
    if fleet["hosts.reports"]:
        fleet["nodes.settings.Limits.Probes"] = True
    types = []
    for n in range(d.randint(1, 3)):
        effect = d.choice(EFFECTS)
        types.append(
            {
                "name": f"t{n}",
                "effect": effect,
                "scope": d.choice(SCOPES),
                "remembered_ms": d.choice((1000, 5000)),
                "target_ms": d.choice((100, 500)),
                "guard_ms": d.choice((400, 1500, 4800)),
                "revenue": d.choice((1, 5)),
                "life_s": d.choice((2, 8, 20)),
                "load_us": d.choice((2000, 10000)),
                "message_ms": d.choice((50, 100)),
            }
        )
    loads = [{"kind": "poisson", "rate": bearable(fleet, types, d.choice((2, 4, 8)))}]
    faults = []
    for _ in range(d.randint(1, 3)):
        moment = d.randint(5, 140) / 10
        if d.randbelow(3) == 0:
            loads.append(
                {
                    "kind": "burst",
                    "start": moment,
                    "seconds": d.choice((0.05, 1)),
                    "count": d.choice((20, 60)),
                }
            )
        for _ in range(d.randint(1, 4)):
            faults.append(
                trouble(d, round(moment + d.choice((0, 0, 1)) * d.randint(0, 2000) / 1000, 3), fleet)
            )
    return fitted(Scenario(fleet, types, loads, sorted(faults, key=lambda one: one.at)))
