"""Plans of hollow fleets: sizes in, a plan of the lab out."""

from dataclasses import dataclass

import msgspec

from cottonspread.lab import plan as plans

BLOCK = 64, 0
"""The two middle numbers of the plan's addresses in 127.0.0.0/8, which no simulated play binds."""

ZONES = 8
LONGEST_LIFE_S = 100_000.0
"""Clients stay until a play's end: what a trouble breaks off is seen apart from clients that leave."""


@dataclass(frozen=True)
class Size:
    """How large a hollow fleet is, and how long it is looked at."""

    nodes: int = 10
    servers: int = 50
    connections: int = 0
    """Standing at each node on the mean."""
    changes_a_minute: float = 0.0
    seconds: float = 10.0
    """Of simulated time that are measured, after all is up."""
    line_s: float = 5.0
    """Between two lines of a client."""
    groups: int = 10_000
    seed: int = 1


WARM_S = 5.0
"""Until every node knows the list, and every client has come."""

COMING_S = 2.5
"""When the first client comes: every node has started."""

SOCKETS = 4096


def experiment(size: Size, seconds: float, faults: list[plans.Fault] | tuple = ()) -> plans.Experiment:
    """An experiment in which all clients come in the first seconds and stay."""
    count = size.nodes * size.connections
    shape = {"kind": "burst", "start": COMING_S, "seconds": WARM_S - 1 - COMING_S, "count": count}
    shapes = [shape] if size.connections else []
    asked = {
        "name": "hollow",
        "seconds": seconds,
        "settle_s": 0,
        "seed": size.seed,
        "nodes": {"count": size.nodes, "sockets": SOCKETS},
        "hosts": {"count": size.servers, "zones": ZONES, "traits": {"change_s": 1000.0, "setup_us": 1200.0}},
        "list": {"lag_ms": 0},
        "load": {
            "types": [{"name": "listener", "life_s": LONGEST_LIFE_S, "load_us": 500.0}],
            "shapes": shapes,
            "groups": size.groups,
            "zipf": LARGEST_GROUP_ZIPF,
            "line_s": size.line_s,
            "retries": 20,
        },
        "faults": [msgspec.structs.asdict(fault) for fault in faults],
    }
    return plans.check(msgspec.convert(asked, plans.Experiment), simulated=True)


LARGEST_GROUP_ZIPF = 1.013
"""The first group's part of all clients is then 1.3%: 430,000 of 32 million."""


def plan(size: Size, seconds: float, faults: list[plans.Fault] | tuple = ()) -> plans.Plan:
    made = experiment(size, seconds, faults)
    return plans.make(made, plans.Variant(name="only"), size.seed, BLOCK)
