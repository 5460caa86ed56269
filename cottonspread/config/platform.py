"""The one place where configuration is read, checked and given defaults; every fault names its key.

`read_begin` reads the settings of a node, for the drill and for the real node alike. `read_node` reads what a
real node is told: a JSON file, in which `name`, `listen` and `discovery` may be left to the environment
(PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY). Times in the files are milliseconds, here whole microseconds.
"""

import json
from dataclasses import dataclass

from cottonspread import interface as i

EFFECTS = {"safe": i.Effect.REPEATABLE, "keyed": i.Effect.REFERENCED, "unsafe": i.Effect.ONCE_ONLY}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
POLLED = {"push": False, "ask": True}
LOAD_REPORTING = {how: how for how in ("none", "probe", "answers")}  # `LoadReport.How`
WEIGHTS_MOVE = {"none": False, "nominal": False, "rough": False, "live": True}
MISSING = object()


class ConfigurationError(ValueError):
    """Configuration under which no node can run; the message begins with the key."""


def ms_to_us(value):
    """Milliseconds, as the platform tells times, in whole microseconds."""
    value = float(value)
    if not abs(value) < 1e15:
        raise ValueError(f"time out of range: {value}")
    return round(value * 1000)


class ObjectReader:
    """One JSON object with the path that leads to it. A value that is null counts as absent."""

    def __init__(self, values, path):
        """`path`: the keys that lead here, set apart by dots; "" for the whole file."""
        if not isinstance(values, dict):
            raise ConfigurationError(f"{path or 'configuration'}: not an object")
        self.values, self.path = {k: v for k, v in values.items() if v is not None}, path

    def path_of(self, key):
        """The whole path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def convert(self, key, default, what, read):
        """The value as `read` makes it; ConfigurationError with `what` was expected, if that cannot."""
        value = self.values.get(key, default)
        if value is MISSING:
            raise ConfigurationError(f"{self.path_of(key)}: missing")
        try:
            return read(value)
        except (TypeError, ValueError, OverflowError, KeyError, AttributeError) as fault:
            raise ConfigurationError(f"{self.path_of(key)}: {value!r} is not {what}") from fault

    def integer(self, key, default=MISSING, least=0):
        """A whole number."""

        def read(value):
            if isinstance(value, str) or int(value) < least:
                raise ValueError
            return int(value)

        return self.convert(key, default, f"a whole number of at least {least}", read)

    def number(self, key, default=MISSING):
        """A number of at least 0."""

        def read(value):
            if not 0 <= float(value) < 1e15:
                raise ValueError
            return float(value)

        return self.convert(key, default, "a number of at least 0", read)

    def duration_us(self, key, default=MISSING):
        """A time, given in milliseconds, in whole microseconds."""
        return round(self.number(key, default) * 1000)

    def positive_number(self, key, default=MISSING):
        """A number over 0."""

        def read(value):
            if not 0 < float(value) < 1e15:
                raise ValueError
            return float(value)

        return self.convert(key, default, "a number over 0", read)

    def flag(self, key, default=False):
        """True or false."""
        return self.convert(key, default, "true or false", lambda v: {True: True, False: False}[v])

    def text(self, key, default=MISSING):
        """A text that is not empty."""

        def read(value):
            if not isinstance(value, str) or not value:
                raise ValueError
            return value

        return self.convert(key, default, "a text", read)

    def choice(self, key, default, among):
        """One of the keys of `among`, as what stands there for it."""
        return self.convert(key, default, "one of " + ", ".join(among), among.__getitem__)

    def address(self, key, default=MISSING):
        """HOST:PORT, as (host, port)."""

        def read(value):
            host, _, port = value.rpartition(":")
            if not host or not 0 <= int(port) <= 65535:
                raise ValueError
            return host, int(port)

        return self.convert(key, default, "an address as HOST:PORT", read)

    def optional_address(self, key, default):
        """An address, or None where none is given."""
        return default if self.values.get(key, default) is None else self.address(key, default)

    def object(self, key, default=MISSING):
        """An object within this one."""
        return ObjectReader(self.values.get(key, {} if default is MISSING else default), self.path_of(key))

    def objects(self, key):
        """A list of objects; without the key an empty one."""
        items = self.convert(key, [], "a list", self.as_list)
        return [ObjectReader(v, f"{self.path_of(key)}[{n}]") for n, v in enumerate(items)]

    def values_of(self, key, read):
        """A list of bare values."""
        return self.convert(
            key, [], "a list of " + read.__name__, lambda v: [read(x or 0) for x in self.as_list(v)]
        )

    @staticmethod
    def as_list(value):
        """The value, if it is a list."""
        if not isinstance(value, list):
            raise TypeError
        return value


def parse(text, what):
    """JSON; `what` begins the message of the ConfigurationError if it is none."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise ConfigurationError(f"{what}: no JSON: {fault}") from fault


def read_type(t, message_target):
    """One traffic type; `message_target`: the time that a message may take, in microseconds."""
    return i.TrafficType(
        t.text("Name", "any"),
        t.choice("Effect", "unsafe", EFFECTS),
        t.choice("KeyScope", "cell", SCOPES),
        t.duration_us("KeyTtl", 0),
        t.duration_us("SetupTarget"),
        ms_to_us(t.positive_number("GuardTime")),
        t.number("Revenue", 1),
        message_target,
    )


def read_begin(settings, seed, path="settings"):
    """The settings of a node, as JSON already parsed; refuses those that make no sense."""
    c = ObjectReader(settings, path)
    limits, rules, costs, kind, goal = (
        c.object(k) for k in ("Limits", "Rules", "Costs", "FamilyInfo", "Goal")
    )
    targets = kind.values_of("MessageAim", float)
    quotas = kind.values_of("TenantQuotaConnections", float)
    types = tuple(
        read_type(t, ms_to_us(targets[n]) if n < len(targets) else 0)
        for n, t in enumerate(c.objects("TrafficTypes"))
    )
    report = c.object("LoadReport")
    probes, how, told = (
        limits.flag("Probes"),
        report.choice("How", "none", LOAD_REPORTING),
        report.values_of("Names", str),
    )
    if not types:
        raise ConfigurationError(f"{c.path_of('TrafficTypes')}: names no traffic type")
    if len({t.name for t in types}) < len(types):
        raise ConfigurationError(f"{c.path_of('TrafficTypes')}: names a traffic type twice")
    tenants = tuple(
        i.Tenant(
            t.text("Name", str(n)),
            t.number("Share", 0),
            t.number("AllowancePerS", 0),
            quotas[n] if n < len(quotas) else 0.0,
        )
        for n, t in enumerate(c.objects("Orgs"))
    )
    return i.NodeConfig(
        seed,
        c.integer("Me", 0),
        c.integer("Balancers", least=1) if "Balancers" in c.values else 0,
        c.integer("Zone", 0),
        c.duration_us("Step", 1),
        types,
        tenants,
        i.LegLimits(
            limits.integer("MostLegs", 1, least=1),
            limits.flag("MayDuplicate"),
            limits.flag("Cancel"),
            limits.flag("RetryAfter"),
            limits.duration_us("MaxRetryAfter", 0),
        ),
        i.ColdStart(
            rules.number("ColdFrom", 1),
            rules.duration_us("RampTime", 0),
            rules.number("TipMultiple", 1),
            rules.duration_us("OverloadFor", 0),
        ),
        i.ServerListRules(
            c.choice("MembershipMode", "push", POLLED),
            rules.duration_us("AskEvery", 0),
            rules.duration_us("DrainGrace", 0),
        ),
        i.Prices(*(costs.number(k, 0) for k in ("CrossZone", "Moves", "Probe", "Peer"))),
        probes,
        limits.flag("PeerMessages"),
        kind.flag("Groups"),
        probes and how == "probe" and "x0" in told,
        c.choice("Weights", "nominal", WEIGHTS_MOVE),
        i.AvailabilityGoal(goal.number("NinesPart", 0), goal.positive_number("NinesFull", 3)),
    )


# A real node


@dataclass(frozen=True)
class Endpoints:
    """Where the node is."""

    name: str
    listen: tuple
    discovery: tuple
    operator: tuple = None  # where the operators call; None: nowhere


@dataclass(frozen=True)
class ResourceLimits:
    """What the node may use."""

    memory_mb: int
    sockets: int


@dataclass(frozen=True)
class Names:
    """What the protocol calls by name and the module by number."""

    types: dict
    zones: dict
    kinds: dict
    tenants: dict


@dataclass(frozen=True)
class HostProtocol:
    """What hosts tell on their connections, and how long one may take to come up."""

    connect_timeout: int
    sends_load: bool
    sends_delay: bool
    load_may_be_delay: bool = (
        True  # a LOAD line may be a host's word on its messages; false: it is a load, always
    )


def numbered(names):
    """{name: its number}, in the order given."""
    return {name: n for n, name in enumerate(names)}


def read_node(text, environment):
    """What a node is told, as parts: (Endpoints, ResourceLimits, Names, HostProtocol, NodeConfig, known list
    as JSON).
    """
    root = ObjectReader(parse(text, "configuration"), "")
    endpoints = Endpoints(
        *(
            read(key, environment.get("PROXY_" + key.upper()) or default)
            for key, read, default in (
                ("name", root.text, MISSING),
                ("listen", root.address, MISSING),
                ("discovery", root.address, MISSING),
                ("operator", root.optional_address, None),
            )
        )
    )
    limits = root.object("limits")
    resource_limits = ResourceLimits(
        limits.integer("memory_mb", 192, least=32), limits.integer("sockets", 1024, least=64)
    )
    seed = root.convert("seed", "0", "a number in hexadecimal", lambda v: int(v, 16))
    settings = root.object("settings")
    begin = read_begin(settings.values, seed)
    names = Names(
        numbered(t.name for t in begin.types),
        numbered(settings.values_of("Zones", str)),
        numbered(settings.values_of("Kinds", str)),
        numbered(t.name for t in begin.tenants),
    )
    kind = settings.object("FamilyInfo")
    host_protocol = HostProtocol(
        settings.object("Limits").duration_us("ConnectTimeout", 250),
        kind.flag("TellsLoad"),
        kind.flag("TellsDelay"),
        root.choice("load_lines", "both", {"both": True, "loads": False}),
    )
    known = root.object("known", {"generation": 0, "reset": True, "instances": []}).values
    return endpoints, resource_limits, names, host_protocol, begin, known


# A configuration made for all nodes


def with_local_keys(carried, own, keys):
    """A configuration made for all nodes as one of them is to have it, both as parsed JSON.

    `keys` ("name", "settings.Me") stay as the node's own file has them, or absent where it has none.
    """
    if not isinstance(carried, dict):
        raise ConfigurationError("configuration: not an object")
    root = dict(carried)
    for key in keys:
        section, _, word = key.rpartition(".")
        if section:
            part, source = root.get(section), own.get(section)
            if not isinstance(part, dict):
                raise ConfigurationError(f"{section}: not an object")
            part = dict(part)
            root[section] = part
        else:
            part, source = root, own
        if isinstance(source, dict) and word in source:
            part[word] = source[word]
        else:
            part.pop(word, None)
    return root


# A node that runs gets another file

KEYED_ONLY = ["KeyScope", "KeyTtl"]  # of a traffic type; only one that is `keyed` needs them


def check_no_key_missing(was, now, path=""):
    """A file that lost a key is cut off or half written, and a default in its place would be half a
    change: every key that the file in force has stands in the new one too. Of a list's objects it
    is those keys that all of them have.
    """
    if isinstance(was, dict):
        if not isinstance(now, dict):
            raise ConfigurationError(f"{path or 'configuration'}: not an object")
        check_object(was, now, path)
    elif isinstance(was, list):
        if not isinstance(now, list):
            raise ConfigurationError(f"{path or 'configuration'}: not a list")
        if was and all(isinstance(one, dict) for one in was):
            check_list(was, now, path)


def check_object(was, now, path):
    """Both are objects."""
    for key, value in was.items():
        at = f"{path}.{key}" if path else key
        if value is not None and now.get(key) is None:
            raise ConfigurationError(f"{at}: missing, and the configuration in force has it")
        if value is not None and at != "known":
            check_no_key_missing(value, now[key], at)


def check_list(was, now, path):
    """Both are lists of objects."""

    def in_all(key, among):
        return among and all(one.get(key) is not None for one in among)

    common = [key for key in was[0] if key not in KEYED_ONLY and in_all(key, was)]
    keyed = [key for key in KEYED_ONLY if in_all(key, [one for one in was if one.get("Effect") == "keyed"])]
    for n, one in enumerate(now):
        if not isinstance(one, dict):
            raise ConfigurationError(f"{path}[{n}]: not an object")
        for key in common + keyed * (one.get("Effect") == "keyed"):
            if one.get(key) is None:
                raise ConfigurationError(f"{path}[{n}].{key}: missing")
