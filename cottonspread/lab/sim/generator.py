"""Plays drawn from a seed: a small fleet, its traffic, and troubles in bursts that overlap on purpose."""

from cottonspread.lab import plan as plans
from cottonspread.lab.sim.promises import CALM
from cottonspread.lab.sim.scenario import Trial
from cottonspread.lab.sim.world import SECOND, Draws

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
    kind = kind or draws.one_of(BAG)
    seconds, factor, on = draws.between(2, 80) / 10, 3.0, []
    if kind in plans.HOST_FAULTS:
        on = draws.some_of(hosts, draws.one_of((0.1, 0.2, 0.4, 0.6)))
        factor = draws.one_of((2.0, 4.0, 10.0))
        seconds = 0.0 if kind == "reset" else min(seconds, 4.0) if kind == "jam" else seconds
        if kind == "join":
            on, seconds = on[:1], 0.0
            at = max(0.1, at)
    elif kind in plans.NODE_FAULTS or kind in ("late-writes", "crowding"):
        on = draws.some_of(nodes, draws.one_of((0.1, 0.3, 0.6)))
        seconds, factor = of_a_node(draws, kind, seconds, factor)
    elif kind in plans.LIST_FAULTS or kind in ("list-late", "contradict"):
        on = draws.some_of(nodes, draws.one_of((0.3, 1.0)))
        factor = draws.one_of((1.0, 3.0, 8.0))
    elif kind == "zone-lost":
        on = [draws.one_of(zones)]
    elif kind in ("partition", "slow-way", "stall", "snap", "dead"):
        on = draws.some_of(hosts + nodes + zones, draws.one_of((0.1, 0.3)))
        factor = draws.one_of((1.0, 3.0, 10.0))
    elif kind in ("store-slow", "reconnect", "slow-readers", "bad"):
        factor = draws.one_of((1.0, 3.0, 8.0))
    return plans.Happening(at=at, kind=kind, seconds=seconds, on=on, factor=factor)


def of_a_node(draws, kind, seconds, factor):
    """How long a node's own trouble lasts, and its factor."""
    if kind == "freeze":
        return draws.one_of((0.05, 0.3, 1.0, 3.0, 6.0)), factor
    if kind in ("reload", "retune", "replace"):
        return 0.0, draws.one_of((0.0, 3.0))
    if kind == "quiesce":
        return max(seconds, 0.5), factor
    return seconds, factor


def last(troubles):
    return max([one.at + one.seconds for one in troubles] or [0.0])


def fitted(trial):
    """As long as its troubles ask for."""
    return Trial(
        {**trial.fleet, "seconds": round(last(trial.troubles) + TAIL, 1)},
        trial.types,
        trial.loads,
        trial.troubles,
        trial.only,
        trial.expected,
        trial.remarks,
    )


def bearable(fleet, types, rate):
    """At most this rate: in calm a third of what the hosts can do, and of the descriptors, so that whoever is
    not served then was turned away for no good reason.
    """
    life = sum(one["life_s"] for one in types) / len(types)
    work = sum(one["life_s"] * one["load_us"] for one in types) / len(types) / 1e6 + 0.0024
    ends = (fleet["nodes.sockets"] - 48) * fleet["nodes.count"] / 2
    return round(min(rate, fleet["hosts.count"] * 2.0 / 3 / work, ends / 3 / life), 2)


def draw(seed):
    """One seed, one play."""
    d = Draws("trial", seed)
    zones = d.between(1, 3)
    fleet = {
        "seed": seed,
        "nodes.count": d.between(1, 4),
        "hosts.count": d.between(2, 7),
        "hosts.zones": zones,
        "hosts.speed_sigma": d.one_of((0.0, 0.2)),
        "hosts.reports": d.one_of((True, False, False)),
        "hosts.traits.tells_load": d.one_of((True, True, False)),
        "hosts.traits.drain": d.one_of(("paced", "at-once", "none")),
        "hosts.traits.cancels": d.one_of((True, False)),
        "hosts.traits.warm_s": d.one_of((4, 15)),
        "nodes.sockets": d.one_of((128, 256, 1024)),
        "nodes.grace_ms": d.one_of((200, 500)),
        "list.lag_ms": d.one_of((20, 300, 1500)),
        "list.silent_s": d.one_of((2, 6)),
        "ways.cross_us": d.one_of((500, 5000)),
        "ways.jitter_us": d.one_of((0, 300, 2000)),
        "ways.skew_us": d.one_of((0, 5000)),
        "ways.drift_ppm": d.one_of((0, 100)),
        "load.groups": d.one_of((3, 20, 200)),
        "load.retries": d.between(2, 4),
        "load.line_s": d.one_of((0.5, 2, 2)),
        "settle_s": 1,
    }
    if fleet["hosts.reports"]:
        fleet["nodes.settings.Limits.Probes"] = True
    types = []
    for n in range(d.between(1, 3)):
        effect = d.one_of(EFFECTS)
        types.append(
            {
                "name": f"t{n}",
                "effect": effect,
                "scope": d.one_of(SCOPES),
                "remembered_ms": d.one_of((1000, 5000)),
                "target_ms": d.one_of((100, 500)),
                "guard_ms": d.one_of((400, 1500, 4800)),
                "revenue": d.one_of((1, 5)),
                "life_s": d.one_of((2, 8, 20)),
                "load_us": d.one_of((2000, 10000)),
                "message_ms": d.one_of((50, 100)),
            }
        )
    loads = [{"kind": "poisson", "rate": bearable(fleet, types, d.one_of((2, 4, 8)))}]
    troubles = []
    for _ in range(d.between(1, 3)):
        moment = d.between(5, 140) / 10
        if d.below(3) == 0:
            loads.append(
                {
                    "kind": "burst",
                    "start": moment,
                    "seconds": d.one_of((0.05, 1)),
                    "count": d.one_of((20, 60)),
                }
            )
        for _ in range(d.between(1, 4)):
            troubles.append(
                trouble(d, round(moment + d.one_of((0, 0, 1)) * d.between(0, 2000) / 1000, 3), fleet)
            )
    return fitted(Trial(fleet, types, loads, sorted(troubles, key=lambda one: one.at)))
