"""The configuration that the platform gives to a node: reads and validates it and applies defaults.

`read_begin` reads the settings of a node, both in the simulator's adapter (drill/) and in a real node.
`read_node` reads the whole configuration of a real node: a JSON file, in which `name`, `listen` and
`discovery` may be left to the environment (PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY). Times are milliseconds
in the file and integer microseconds here.
"""

import json
from dataclasses import dataclass, replace

from cottonspread import interface as io

EFFECTS = {"safe": io.Effect.REPEATABLE, "keyed": io.Effect.REFERENCED, "unsafe": io.Effect.ONCE_ONLY}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
POLLED = {"push": False, "ask": True}
LOAD_REPORTING = {how: how for how in ("none", "probe", "answers")}  # `LoadReport.How`
DYNAMIC_WEIGHTS = {"none": False, "nominal": False, "rough": False, "live": True}
MISSING = object()


class ConfigurationError(ValueError):
    """An invalid configuration; the message begins with the key."""


def ms_to_us(value):
    """Converts milliseconds, as the platform gives times, to integer microseconds."""
    value = float(value)
    if not abs(value) < 1e15:
        raise ValueError(f"time out of range: {value}")
    return round(value * 1000)


class ObjectReader:
    """Reads values from one JSON object. A null value counts as absent."""

    def __init__(self, values, path):
        """`path`: the keys that lead to this object, joined by dots; "" for the root."""
        if not isinstance(values, dict):
            raise ConfigurationError(f"{path or 'configuration'}: not an object")
        self.values, self.path = {k: v for k, v in values.items() if v is not None}, path

    def path_of(self, key):
        """The full path of a key, for messages."""
        return f"{self.path}.{key}" if self.path else key

    def convert(self, key, default, expected, read):
        """The value converted by `read`; raises ConfigurationError, which names what was `expected`."""
        value = self.values.get(key, default)
        if value is MISSING:
            raise ConfigurationError(f"{self.path_of(key)}: missing")
        try:
            return read(value)
        except (TypeError, ValueError, OverflowError, KeyError, AttributeError) as error:
            raise ConfigurationError(f"{self.path_of(key)}: {value!r} is not {expected}") from error

    def integer(self, key, default=MISSING, minimum=0):
        """An integer of at least `minimum`."""

        def read(value):
            if isinstance(value, str) or int(value) < minimum:
                raise ValueError
            return int(value)

        return self.convert(key, default, f"a whole number of at least {minimum}", read)

    def number(self, key, default=MISSING):
        """A number of at least 0."""

        def read(value):
            if not 0 <= float(value) < 1e15:
                raise ValueError
            return float(value)

        return self.convert(key, default, "a number of at least 0", read)

    def duration_us(self, key, default=MISSING):
        """A duration, given in milliseconds, as integer microseconds."""
        return round(self.number(key, default) * 1000)

    def positive_number(self, key, default=MISSING):
        """A number greater than 0."""

        def read(value):
            if not 0 < float(value) < 1e15:
                raise ValueError
            return float(value)

        return self.convert(key, default, "a number greater than 0", read)

    def flag(self, key, default=False):
        """True or false."""
        return self.convert(key, default, "true or false", lambda v: {True: True, False: False}[v])

    def text(self, key, default=MISSING):
        """A non-empty string."""

        def read(value):
            if not isinstance(value, str) or not value:
                raise ValueError
            return value

        return self.convert(key, default, "a non-empty string", read)

    def choice(self, key, default, choices):
        """One of the keys of `choices`; returns the value that it maps to."""
        return self.convert(key, default, "one of " + ", ".join(choices), choices.__getitem__)

    def address(self, key, default=MISSING):
        """HOST:PORT, as (host, port)."""

        def read(value):
            host, _, port = value.rpartition(":")
            if not host or not 0 <= int(port) <= 65535:
                raise ValueError
            return host, int(port)

        return self.convert(key, default, "an address as HOST:PORT", read)

    def optional_address(self, key, default):
        """An address as (host, port), or the default if there is none."""
        return default if self.values.get(key, default) is None else self.address(key, default)

    def object(self, key, default=MISSING):
        """A nested object; without the key an empty one, or `default`."""
        return ObjectReader(self.values.get(key, {} if default is MISSING else default), self.path_of(key))

    def objects(self, key):
        """A list of nested objects; empty without the key."""
        items = self.convert(key, [], "a list", self.as_list)
        return [ObjectReader(v, f"{self.path_of(key)}[{n}]") for n, v in enumerate(items)]

    def values_of(self, key, read):
        """A list of plain values, each converted by `read`; empty without the key."""
        return self.convert(
            key, [], "a list of " + read.__name__, lambda v: [read(x or 0) for x in self.as_list(v)]
        )

    @staticmethod
    def as_list(value):
        """The value; raises TypeError unless it is a list."""
        if not isinstance(value, list):
            raise TypeError
        return value


def parse(text, source):
    """Parses JSON; the message of the ConfigurationError for invalid JSON begins with `source`."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{source}: invalid JSON: {error}") from error


def read_type(t, message_target):
    """Reads one traffic type; `message_target`: the target time for a message, in microseconds."""
    return io.TrafficType(
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
    """Reads the settings of a node from parsed JSON; raises ConfigurationError for invalid ones."""
    root = ObjectReader(settings, path)
    limits, rules, costs, family, goal = (
        root.object(k) for k in ("Limits", "Rules", "Costs", "FamilyInfo", "Goal")
    )
    targets = family.values_of("MessageAim", float)
    quotas = family.values_of("TenantQuotaConnections", float)
    types = tuple(
        read_type(t, ms_to_us(targets[n]) if n < len(targets) else 0)
        for n, t in enumerate(root.objects("TrafficTypes"))
    )
    report = root.object("LoadReport")
    probes, load_reporting, reported_names = (
        limits.flag("Probes"),
        report.choice("How", "none", LOAD_REPORTING),
        report.values_of("Names", str),
    )
    if not types:
        raise ConfigurationError(f"{root.path_of('TrafficTypes')}: lists no traffic type")
    if len({t.name for t in types}) < len(types):
        raise ConfigurationError(f"{root.path_of('TrafficTypes')}: two traffic types have the same name")
    tenants = tuple(
        io.Tenant(
            t.text("Name", str(n)),
            t.number("Share", 0),
            t.number("AllowancePerS", 0),
            quotas[n] if n < len(quotas) else 0.0,
        )
        for n, t in enumerate(root.objects("Orgs"))
    )
    return io.NodeConfig(
        seed,
        root.integer("Me", 0),
        root.integer("Balancers", minimum=1) if "Balancers" in root.values else 0,
        root.integer("Zone", 0),
        root.duration_us("Step", 1),
        types,
        tenants,
        io.LegLimits(
            limits.integer("MostLegs", 1, minimum=1),
            limits.flag("MayDuplicate"),
            limits.flag("Cancel"),
            limits.flag("RetryAfter"),
            limits.duration_us("MaxRetryAfter", 0),
        ),
        io.ColdStart(
            rules.number("ColdFrom", 1),
            rules.duration_us("RampTime", 0),
            rules.number("TipMultiple", 1),
            rules.duration_us("OverloadFor", 0),
        ),
        io.ServerListRules(
            root.choice("MembershipMode", "push", POLLED),
            rules.duration_us("AskEvery", 0),
            rules.duration_us("DrainGrace", 0),
        ),
        io.Prices(*(costs.number(k, 0) for k in ("CrossZone", "Moves", "Probe", "Peer"))),
        probes,
        limits.flag("PeerMessages"),
        family.flag("Groups"),
        probes and load_reporting == "probe" and "x0" in reported_names,
        root.choice("Weights", "nominal", DYNAMIC_WEIGHTS),
        io.AvailabilityGoal(goal.number("NinesPart", 0), goal.positive_number("NinesFull", 3)),
    )


# A real node


@dataclass(frozen=True)
class Endpoints:
    """The node's name and addresses, each as (host, port)."""

    name: str
    listen: tuple
    discovery: tuple
    operator: tuple = None  # the operators' address; None: there is none


@dataclass(frozen=True)
class ResourceLimits:
    """The resources that the node may use."""

    memory_mb: int
    sockets: int  # file descriptors


@dataclass(frozen=True)
class Names:
    """Maps from the names used in the protocol to the numbers used by the policy."""

    types: dict
    kinds: dict
    tenants: dict


@dataclass(frozen=True)
class HostProtocol:
    """What hosts report on their connections, and how long connecting to one may take."""

    connect_timeout: int  # microseconds
    sends_load: bool
    sends_delay: bool
    load_may_be_delay: bool = True  # a LOAD line may report message delay; False: it always reports load


def numbered(names):
    """{name: its index}, in the order given."""
    return {name: n for n, name in enumerate(names)}


def with_zone_name(node_config, zones):
    """The configuration with the name of the node's zone, which the list has too, in place of its number."""
    number = node_config.zone
    return replace(node_config, zone=zones[number] if 0 <= number < len(zones) else None)


def read_node(text, environment):
    """Reads a node's configuration.

    Returns (Endpoints, ResourceLimits, Names, HostProtocol, NodeConfig, initial list of servers as parsed
    JSON).
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
        limits.integer("memory_mb", 192, minimum=32), limits.integer("sockets", 1024, minimum=64)
    )
    seed = root.convert("seed", "0", "a number in hexadecimal", lambda v: int(v, 16))
    settings = root.object("settings")
    node_config = with_zone_name(read_begin(settings.values, seed), settings.values_of("Zones", str))
    names = Names(
        numbered(t.name for t in node_config.types),
        numbered(settings.values_of("Kinds", str)),
        numbered(t.name for t in node_config.tenants),
    )
    family = settings.object("FamilyInfo")
    host_protocol = HostProtocol(
        settings.object("Limits").duration_us("ConnectTimeout", 250),
        family.flag("TellsLoad"),
        family.flag("TellsDelay"),
        root.choice("load_lines", "both", {"both": True, "loads": False}),
    )
    initial_list = root.object("known", {"generation": 0, "reset": True, "instances": []}).values
    return endpoints, resource_limits, names, host_protocol, node_config, initial_list


# A configuration published to all nodes


def with_local_keys(published, local, keys):
    """Merges a configuration published to all nodes with a node's own file, both as parsed JSON.

    `keys` ("name", "settings.Me") are taken from the node's own file, and left out if it does not have them.
    """
    if not isinstance(published, dict):
        raise ConfigurationError("configuration: not an object")
    root = dict(published)
    for key in keys:
        section, _, name = key.rpartition(".")
        if section:
            part, source = root.get(section), local.get(section)
            if not isinstance(part, dict):
                raise ConfigurationError(f"{section}: not an object")
            part = dict(part)
            root[section] = part
        else:
            part, source = root, local
        if isinstance(source, dict) and name in source:
            part[name] = source[name]
        else:
            part.pop(name, None)
    return root


# A reload

KEYED_ONLY = ["KeyScope", "KeyTtl"]  # keys that only traffic types with the effect "keyed" need


def check_no_key_missing(old, new, path=""):
    """Raises ConfigurationError if the new configuration lacks a key of the one in force.

    Such a file is truncated or half written, and a default in place of the key would apply half a change. In
    a list of objects, only the keys that all of them have are required.
    """
    if isinstance(old, dict):
        if not isinstance(new, dict):
            raise ConfigurationError(f"{path or 'configuration'}: not an object")
        check_object(old, new, path)
    elif isinstance(old, list):
        if not isinstance(new, list):
            raise ConfigurationError(f"{path or 'configuration'}: not a list")
        if old and all(isinstance(entry, dict) for entry in old):
            check_list(old, new, path)


def check_object(old, new, path):
    """`check_no_key_missing` for two objects."""
    for key, value in old.items():
        key_path = f"{path}.{key}" if path else key
        if value is not None and new.get(key) is None:
            raise ConfigurationError(f"{key_path}: missing, but present in the configuration in force")
        if value is not None and key_path != "known":
            check_no_key_missing(value, new[key], key_path)


def check_list(old, new, path):
    """`check_no_key_missing` for two lists of objects."""

    def in_all(key, objects):
        return objects and all(entry.get(key) is not None for entry in objects)

    common = [key for key in old[0] if key not in KEYED_ONLY and in_all(key, old)]
    keyed = [
        key for key in KEYED_ONLY if in_all(key, [entry for entry in old if entry.get("Effect") == "keyed"])
    ]
    for n, entry in enumerate(new):
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{path}[{n}]: not an object")
        for key in common + keyed * (entry.get("Effect") == "keyed"):
            if entry.get(key) is None:
                raise ConfigurationError(f"{path}[{n}].{key}: missing")
