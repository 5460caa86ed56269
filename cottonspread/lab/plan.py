"""Experiments (TOML files), and the plan that is derived from one for a single run.

Every error in a file names the key at fault. All randomness comes from numpy's Generator seeded with
the experiment's seed, so that the same seed always gives the same plan.
"""

import hashlib
import os

import msgspec
import numpy as np

from cottonspread.lab import trace
from cottonspread.lab.model import SECOND, Traits

HOST_FAULTS = ("hang", "slow", "jam", "reset", "refuse", "vanish", "half-dead", "cold", "drain", "join")
INSTANT_FAULTS = ("jam", "reset")  # host faults that take effect at one moment and have no end
LIST_FAULTS = ("list-cut", "list-garbage", "list-restart")
NODE_FAULTS = ("freeze", "stop", "kill", "reload", "retune", "quiesce", "replace")
# Faults of all nodes together, which run under one supervisor
FLEET_FAULTS = (
    "fleet-reload",
    "fleet-upgrade",
    "fleet-stop",
    "fleet-kill",
)
# Faults that exist only in simulated time
SIM_FAULTS = (
    "partition",
    "slow-way",
    "stall",
    "snap",
    "dead",
    "list-late",
    "contradict",
    "zone-lost",
    "store-slow",
    "reconnect",
    "slow-readers",
    "crowding",
    "late-writes",
    "bad",
)
FIRST_PORT = 9000  # below the range of ephemeral ports that the kernel assigns


class PlanError(ValueError):
    """An experiment that cannot be run; the message begins with the key at fault."""


class TrafficType(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A traffic type and the behaviour of its clients."""

    name: str
    share: float = 1.0
    effect: str = "repeatable"  # repeatable, referenced, once-only
    scope: str = "cell"  # of referenced: the set of hosts that recognise and drop a repeated call
    remembered_ms: float = 0  # of referenced: how long hosts recognise a repeat; 0: the audit checks no limit
    target_ms: float = 800
    guard_ms: float = 4800
    revenue: float = 1.0
    life_s: float = 20.0  # mean time that a client stays connected
    load_us: float = 3000.0  # mean work of a connection, in microseconds per second
    message_ms: float = 100  # target time for a message


class Shape(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The arrivals of an interval of `seconds` from `start` on.

    kind: constant, poisson, ramp (`rate` to `rate_to`), day (`rate` at the lowest point, `rate_to` at the
    peak, one cycle over the interval), burst (`count` within the interval), reconnect (`share` of the
    connections established at `start` are reset by their clients, which reconnect within the interval),
    trace (`file`).
    """

    kind: str
    start: float = 0.0
    seconds: float = 0.0  # 0: to the end of the run
    rate: float = 0.0
    rate_to: float = 0.0
    count: int = 0
    share: float = 0.0
    file: str = ""


class Load(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The clients: how many arrive when, of which traffic types, and how they behave."""

    shapes: list[Shape]
    types: list[TrafficType]
    processes: int = 2
    groups: int = 200
    zipf: float = 1.1  # exponent of the Zipf distribution of calls over groups; over 1
    tenants: int = 1
    line_s: float = 2.0  # interval between the lines that a connected client sends; 0: it sends none
    retries: int = 3
    backoff_ms: float = 200  # doubles with each retry of a call
    honour: float = 0.9  # the share of clients that heed a retry-after
    rejoin_ms: float = 200  # until a client reconnects after MOVE or a lost connection
    spins: bool = False  # busy-wait for the next arrival instead of sleeping: less late, one core per process
    sources: int = 4  # local addresses of each load process


class Hosts(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The emulated hosts."""

    count: int = 3
    zones: int = 1
    speed_sigma: float = 0.0  # standard deviation of the logarithm of the hosts' speeds
    processes: int = 1
    reports: bool = False  # STATS is answered with x0, x1 and outstanding; otherwise with NO
    traits: Traits = msgspec.field(default_factory=Traits)


class List(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The server list."""

    lag_ms: float = 300  # from a host's change until the list reports it
    silent_s: float = 6.0  # until a silent machine is listed as gone
    weights_ms: float = 0  # over 0: how often weights become size / (1 + connections per core); needs reports


class Nodes(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The nodes under test."""

    count: int = 1
    memory_mb: int = 192
    sockets: int = 1024
    pin: bool = True  # each node is pinned to a core of its own, as far as there are cores
    front_notice_s: float = 2.0  # until clients are no longer sent to a node that is gone
    grace_ms: float = 500  # how long after a drain notice a node may still send new calls to the host
    settings: dict = {}  # override those derived from hosts and load
    shapes: list[dict] = []  # further settings, assigned to the nodes in turn, for mixed configurations
    command: list[str] = []  # a program to run instead of `serve`
    checkout: str = ""  # another checkout of this repository to run the nodes from
    fleet: dict = {}  # keys of the section [fleet]: `fleet run` runs the nodes; {}: each runs by `serve`


class NetworkDelays(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The delays and clocks of simulated machines.

    One-way delays in microseconds within a zone (`same_us`) and between zones (`cross_us`), the largest
    random addition to a connection's delay, and the largest error and drift of the nodes' clocks. Runs on
    real sockets use the machine's own network and clock instead.
    """

    same_us: int = 200
    cross_us: int = 1500
    jitter_us: int = 300
    skew_us: int = 0
    drift_ppm: int = 0


class Fault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A fault to inject: `on` names hosts or nodes, or a random `share` of them is chosen."""

    at: float
    kind: str
    seconds: float = 0.0
    on: list[str] = []
    share: float = 0.0
    factor: float = 3.0  # of slow; for simulated faults, see sim/fault_injection


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One of several versions of the nodes that an experiment compares."""

    name: str
    settings: dict = {}
    checkout: str = ""
    command: list[str] = []
    memory_mb: int = 0
    sockets: int = 0


class Experiment(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, rename={"listing": "list", "network": "ways"}
):
    """An experiment as its file describes it."""

    name: str
    seconds: float
    load: Load
    seed: int = 1
    repeats: int = 1
    about: str = ""
    audited: bool = True  # false: the nodes are acceptors without servers, to test the load generator itself
    settle_s: float = 6.0  # how long a run goes on after the last arrival, so that every call ends
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    hosts: Hosts = msgspec.field(default_factory=Hosts)
    listing: List = msgspec.field(default_factory=List)
    network: NetworkDelays = msgspec.field(default_factory=NetworkDelays)
    faults: list[Fault] = []
    variants: list[Variant] = []


class Machine(msgspec.Struct, kw_only=True):
    """A host of a plan."""

    name: str
    ip: str
    port: int
    zone: str
    cell: int
    traits: Traits
    process: int
    started: int = 0  # microseconds after the run's start at which it first comes up; 0: before the start


class Node(msgspec.Struct, kw_only=True):
    """A node of a plan, with the addresses of its clients' port and of its server list."""

    name: str
    ip: str
    port: int
    list_port: int


class Plan(msgspec.Struct, kw_only=True):
    """One run, as each of its processes reads it."""

    experiment: Experiment
    variant: Variant
    seed: int
    machines: list[Machine]
    nodes: list[Node]
    faults: list[Fault]  # with `on` filled in, ordered by time
    sources: list[str]  # local addresses of the clients
    unix_offset: int = 0  # Unix time minus the monotonic clock, in microseconds


def read(path, simulated=False):
    """Reads an experiment from a TOML file; PlanError names the key at fault."""
    try:
        with open(path, "rb") as file:
            return check(
                msgspec.toml.decode(file.read(), type=Experiment),
                os.path.dirname(os.path.abspath(path)),
                simulated,
            )
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from None


def check(experiment, folder=".", simulated=False):
    """Validates an experiment and returns it, with its trace files relative to `folder` made absolute.

    `simulated`: allows more nodes and hosts, and the faults that only a simulated fleet can have.
    """

    def require(condition, key, message):
        if not condition:
            raise PlanError(f"{key}: {message}")

    require(experiment.seconds > 0, "seconds", "must be over 0")
    max_nodes = 2000 if simulated else 200
    require(1 <= experiment.nodes.count <= max_nodes, "nodes.count", f"1 to {max_nodes} expected")
    max_hosts = 3600 if simulated else 2000
    require(1 <= experiment.hosts.count <= max_hosts, "hosts.count", f"1 to {max_hosts} expected")
    require(experiment.load.types, "load.types", "at least one traffic type expected")
    require(experiment.load.zipf > 1, "load.zipf", "must be over 1")
    require(experiment.load.groups > 0, "load.groups", "at least 1 expected")
    require(1 <= experiment.load.processes <= 64, "load.processes", "1 to 64 expected")
    require(1 <= experiment.hosts.processes <= 64, "hosts.processes", "1 to 64 expected")
    require(
        not experiment.listing.weights_ms or experiment.hosts.reports,
        "list.weights_ms",
        "needs hosts.reports",
    )
    require(
        experiment.hosts.traits.drain in ("paced", "at-once", "none"),
        "hosts.traits.drain",
        "paced, at-once or none expected",
    )
    for n, kind in enumerate(experiment.load.types):
        require(
            kind.effect in ("repeatable", "referenced", "once-only"),
            f"load.types[{n}].effect",
            "repeatable, referenced or once-only expected",
        )
        require(
            kind.guard_ms > 0 and kind.share > 0 and kind.life_s > 0,
            f"load.types[{n}]",
            "guard_ms, share and life_s over 0 expected",
        )
    names = {f"h{n}" for n in range(experiment.hosts.count)}, {f"n{n}" for n in range(experiment.nodes.count)}
    for n, shape in enumerate(experiment.load.shapes):
        key = f"load.shapes[{n}]"
        require(
            shape.kind in ("constant", "poisson", "ramp", "day", "burst", "reconnect", "trace"),
            key + ".kind",
            "constant, poisson, ramp, day, burst, reconnect or trace expected",
        )
        require(shape.kind not in ("constant", "poisson") or shape.rate > 0, key + ".rate", "must be over 0")
        require(
            shape.kind not in ("ramp", "day") or shape.rate + shape.rate_to > 0,
            key + ".rate_to",
            "must be over 0",
        )
        require(shape.kind != "burst" or shape.count > 0, key + ".count", "must be over 0")
        require(shape.kind != "reconnect" or 0 < shape.share <= 1, key + ".share", "over 0 to 1 expected")
        require(0 <= shape.start < experiment.seconds, key + ".start", "must lie within the run")
        if shape.kind == "trace":
            shape.file = os.path.join(folder, shape.file)
            require(os.path.exists(shape.file), key + ".file", f"{shape.file} not found")
    for n, fault in enumerate(experiment.faults):
        key = f"faults[{n}]"
        allowed_kinds = HOST_FAULTS + LIST_FAULTS + NODE_FAULTS + (SIM_FAULTS if simulated else FLEET_FAULTS)
        require(fault.kind in allowed_kinds, key + ".kind", "one of " + ", ".join(allowed_kinds))
        if fault.kind in SIM_FAULTS:
            continue
        require(fault.kind not in FLEET_FAULTS or experiment.nodes.fleet, key + ".kind", "needs nodes.fleet")
        require(
            fault.kind not in ("retune", "quiesce", "replace") or not experiment.nodes.fleet,
            key + ".kind",
            "not allowed with nodes.fleet",
        )
        require(0 <= fault.at <= experiment.seconds, key + ".at", "must lie within the run")
        require(
            fault.kind
            in INSTANT_FAULTS
            + ("stop", "kill", "reload", "retune", "replace", "list-restart", "list-garbage", "join")
            + FLEET_FAULTS
            or fault.seconds > 0,
            key + ".seconds",
            "must be over 0",
        )
        if fault.kind not in LIST_FAULTS + FLEET_FAULTS:
            known = names[fault.kind in NODE_FAULTS]
            require(fault.on or fault.share > 0, key, "on or share expected")
            for name in fault.on:
                require(name in known, key + ".on", f"{name}: no such host or node among {len(known)}")
    seen = [v.name for v in experiment.variants]
    require(len(set(seen)) == len(seen), "variants", "distinct names expected")
    return experiment


def make(experiment, variant, seed, block=None):
    """Returns the plan of one run. `block`: the two middle numbers of its addresses in 127.0.0.0/8."""
    rng = np.random.default_rng([seed, 0])
    a, b = block or (64 + os.getpid() % 128, os.getpid() // 128 % 256)
    machines = []
    for n in range(experiment.hosts.count):
        traits = msgspec.structs.replace(
            experiment.hosts.traits,
            speed=round(
                float(experiment.hosts.traits.speed * rng.lognormal(0, experiment.hosts.speed_sigma)), 4
            ),
        )
        machines.append(
            Machine(
                name=f"h{n}",
                ip=f"127.{a}.{b}.{1 + n // 400}",
                port=FIRST_PORT + n,
                zone=f"z{n % experiment.hosts.zones}",
                cell=n // 4,
                traits=traits,
                process=n % experiment.hosts.processes,
            )
        )
    nodes = [
        Node(name=f"n{n}", ip=f"127.{a}.{b}.{10 + n // 100}", port=8000 + n, list_port=8400 + n)
        for n in range(experiment.nodes.count)
    ]
    faults = []
    for fault in sorted(experiment.faults, key=lambda f: f.at):
        names = [m.name for m in machines] if fault.kind in HOST_FAULTS else [n.name for n in nodes]
        on = fault.on
        if not on and fault.share and fault.kind not in LIST_FAULTS + FLEET_FAULTS:
            on = sorted(rng.choice(names, max(1, round(len(names) * fault.share)), replace=False).tolist())
        faults.append(msgspec.structs.replace(fault, on=on))
    for fault in faults:
        if fault.kind == "join":
            for machine in machines:
                if machine.name in fault.on:
                    machine.started = max(1, round(fault.at * SECOND))
    sources = [
        f"127.{a}.{b}.{100 + n}" for n in range(min(100, experiment.load.sources * experiment.load.processes))
    ]
    return Plan(
        experiment=experiment,
        variant=variant,
        seed=seed,
        machines=machines,
        nodes=nodes,
        faults=faults,
        sources=sources,
    )


class Schedule(msgspec.Struct, kw_only=True):
    """All first calls of a run, the earliest first, as arrays of the same length."""

    at: np.ndarray  # intended time, microseconds after the run's start
    kind: np.ndarray  # index of the traffic type
    group: np.ndarray
    tenant: np.ndarray
    life: np.ndarray  # microseconds from UP until the client leaves
    draw: np.ndarray  # uint32 random number: chooses the node, whether a retry-after is heeded and the like

    def digest(self):
        """Returns a SHA-256 over all arrays; the same seed gives the same schedule, byte for byte."""
        hasher = hashlib.sha256()
        for name in self.__struct_fields__:
            hasher.update(np.ascontiguousarray(getattr(self, name)).tobytes())
        return hasher.hexdigest()


def arrivals(shape, seconds, rng):
    """Returns the times of a shape's arrivals, in seconds after the run's start."""
    span = min(shape.seconds or seconds, seconds - shape.start)
    if shape.kind == "constant":
        times = (np.arange(int(shape.rate * span)) + 0.5) / shape.rate
    elif shape.kind == "burst":
        times = rng.uniform(0, span, shape.count)
    elif shape.kind == "poisson":
        times = rng.uniform(0, span, rng.poisson(shape.rate * span))
    elif shape.kind in ("ramp", "day"):
        peak = max(shape.rate, shape.rate_to)
        times = rng.uniform(0, span, rng.poisson(peak * span))
        progress = times / span if shape.kind == "ramp" else (1 - np.cos(2 * np.pi * times / span)) / 2
        times = times[rng.uniform(0, peak, len(times)) < shape.rate + (shape.rate_to - shape.rate) * progress]
    else:
        return np.empty(0)
    return shape.start + np.sort(times)


def schedule(plan):
    """Returns the intended arrivals, which depend on the plan's seed alone."""
    experiment, load = plan.experiment, plan.experiment.load
    rng = np.random.default_rng([plan.seed, 1])
    times = np.concatenate(
        [arrivals(shape, experiment.seconds, rng) for shape in load.shapes] or [np.empty(0)]
    )
    n = len(times)
    shares = np.array([kind.share for kind in load.types])
    kinds = rng.choice(len(load.types), n, p=shares / shares.sum()).astype(np.int16)
    lives = rng.exponential(1.0, n) * np.array([kind.life_s for kind in load.types])[kinds] * SECOND
    parts = [
        (
            np.round(times * SECOND).astype(np.int64),
            kinds,
            (rng.zipf(load.zipf, n) % load.groups).astype(np.int32),
            rng.integers(0, load.tenants, n).astype(np.int16),
            lives.astype(np.int64),
        )
    ]
    for shape in load.shapes:
        if shape.kind == "trace":
            parts.append(trace.columns(trace.read(shape.file), [k.name for k in load.types], shape.start))
    columns = [np.concatenate(column) for column in zip(*parts, strict=True)]
    order = np.argsort(columns[0], kind="stable")
    columns = [column[order] for column in columns]
    return Schedule(
        at=columns[0],
        kind=columns[1],
        group=columns[2],
        tenant=columns[3],
        life=columns[4],
        draw=rng.integers(0, 1 << 32, len(order), dtype=np.uint32),
    )
