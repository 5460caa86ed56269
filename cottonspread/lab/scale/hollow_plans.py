"""Experiment plans of hollow fleets, made from their sizes."""

from dataclasses import dataclass

import msgspec

from cottonspread.lab import plan as plans

ADDRESS_BLOCK = 64, 0
"""The two middle numbers of the plan's addresses in 127.0.0.0/8; simulated runs bind none of them."""

ZONES = 8
MAX_LIFE_S = 100_000.0
"""Clients stay until a run's end, so that connections lost to a fault differ from clients that leave."""


@dataclass(frozen=True)
class Size:
    """Size of a hollow fleet, and how long it is measured."""

    nodes: int = 10
    servers: int = 50
    connections: int = 0
    """Established connections of each node on average."""
    changes_a_minute: float = 0.0
    seconds: float = 10.0
    """Simulated time that is measured, after the warm-up."""
    line_s: float = 5.0
    """Interval between two lines of a client."""
    groups: int = 10_000
    seed: int = 1


WARMUP_S = 5.0
"""Warm-up: afterwards every node knows the list and every client is connected."""

FIRST_CLIENT_S = 2.5
"""Time of the first client; every node has started by then."""

SOCKETS = 4096


def experiment(size: Size, seconds: float, faults: list[plans.Fault] | tuple = ()) -> plans.Experiment:
    """An experiment in which all clients connect within the first seconds and stay."""
    count = size.nodes * size.connections
    shape = {
        "kind": "burst",
        "start": FIRST_CLIENT_S,
        "seconds": WARMUP_S - 1 - FIRST_CLIENT_S,
        "count": count,
    }
    shapes = [shape] if size.connections else []
    values = {
        "name": "hollow",
        "seconds": seconds,
        "settle_s": 0,
        "seed": size.seed,
        "nodes": {"count": size.nodes, "sockets": SOCKETS},
        "hosts": {"count": size.servers, "zones": ZONES, "traits": {"change_s": 1000.0, "setup_us": 1200.0}},
        "list": {"lag_ms": 0},
        "load": {
            "types": [{"name": "listener", "life_s": MAX_LIFE_S, "load_us": 500.0}],
            "shapes": shapes,
            "groups": size.groups,
            "zipf": LARGEST_GROUP_ZIPF,
            "line_s": size.line_s,
            "retries": 20,
        },
        "faults": [msgspec.structs.asdict(fault) for fault in faults],
    }
    return plans.check(msgspec.convert(values, plans.Experiment), simulated=True)


LARGEST_GROUP_ZIPF = 1.013
"""The first group's share of all clients is then 1.3%: 430,000 of 32 million."""


def fleet_plan(size: Size, seconds: float, faults: list[plans.Fault] | tuple = ()) -> plans.Plan:
    """The plan of a hollow fleet of this size that runs for `seconds`."""
    planned = experiment(size, seconds, faults)
    return plans.make(planned, plans.Variant(name="only"), size.seed, ADDRESS_BLOCK)
