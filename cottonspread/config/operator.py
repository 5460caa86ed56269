"""The operator's file: one TOML file with a section for each subsystem. Types and ranges are msgspec's.

`read(path)` gives the sections, or raises `OperatorFileError` with every fault that the file has. A key tells
in its metadata what a reload does with it: "live" (taken over at once), "restart" (each instance is replaced
by a successor, one after the other), or "new" (only a new supervisor takes it: a reload that changes it is
turned down). Imported only where a file is named, so a node without one needs no msgspec.
"""

import difflib
import tomllib
import typing
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cottonspread.config.platform import ConfigurationError

MAX_INSTANCES = 4096  # instances of a machine; a figure far over it is a slip, and is told


def offset_address(host, steps):
    """An IPv4 address some steps on, without those that end in 0 or 255; ValueError if it ends before."""
    a, b, c, d = map(int, host.split("."))
    number = ((a * 256 + b) * 256 + c) * 254 + d - 1 + steps
    if not 1 <= d <= 254 or number >= 224 * 256 * 256 * 254:
        raise ValueError(f"{steps} on from {host} there is no address of a machine")
    front, d = divmod(number, 254)
    return f"{front >> 16}.{front >> 8 & 255}.{front & 255}.{d + 1}"


def key(kind, what, **bounds):
    """What a key means, what a reload does with it (`kind`), and the bounds of its value."""
    return Meta(description=what, extra={"reload": kind}, **bounds)


class Log(msgspec.Struct, frozen=True):
    """The section [log]: how the log is written."""

    format: Annotated[Literal["pairs", "json"], key("restart", "key=value pairs or JSON lines")] = "pairs"
    level: Annotated[
        Literal["debug", "info", "warning", "error"], key("live", "the least level that is written")
    ] = "info"


class Instance(msgspec.Struct, frozen=True):
    """The section [instance]: what each instance of a fleet does by itself."""

    list_wait_s: Annotated[
        float, key("restart", "how long a new instance waits for a list told by discovery", ge=0, le=60)
    ] = 2.0
    save_list: Annotated[bool, key("restart", "the last list is kept in the state folder")] = True
    orphan_s: Annotated[
        float, key("restart", "after so long without a supervisor an instance stops itself", ge=1, le=3600)
    ] = 60.0


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The section [fleet]: which instances there are, and how the supervisor changes them."""

    name: Annotated[
        str,
        key("new", "instances are called NAME-0, NAME-1, ...", pattern="^[A-Za-z0-9][A-Za-z0-9_-]{0,40}$"),
    ]
    config: Annotated[
        str, key("restart", "the platform's JSON file, the template of all instances", min_length=1)
    ]
    instances: Annotated[int, key("live", "how many", ge=1, le=MAX_INSTANCES)]
    listen: Annotated[
        str,
        key(
            "restart",
            "HOST:PORT of instance 0; a free port for each cannot be asked for",
            pattern=r"^\d+\.\d+\.\d+\.\d+:[1-9]\d{0,4}$",
        ),
    ]
    port_step: Annotated[
        int, key("restart", "added to the port from one instance to the next", ge=0, le=1000)
    ] = 1
    host_step: Annotated[
        int,
        key(
            "restart",
            "added to the last number of the address, 1 to 254 and on in the number before",
            ge=0,
            le=MAX_INSTANCES,
        ),
    ] = 0
    discovery_step: Annotated[
        int, key("restart", "added to the port of discovery from one instance to the next", ge=0, le=1000)
    ] = 0
    first: Annotated[
        int,
        key(
            "restart", "settings.Me of instance 0, where other machines have nodes of the same balancer", ge=0
        ),
    ] = 0
    nodes: Annotated[
        int, key("restart", "settings.Balancers, all machines together; 0: as many as instances", ge=0)
    ] = 0
    state: Annotated[str, key("new", "the folder for state, sockets and locks", min_length=1)] = "state"
    logs: Annotated[
        str, key("new", "the folder for the instances' logs; empty: log/ in the state folder")
    ] = ""
    at_once: Annotated[
        int, key("live", "how many instances a rollout changes at the same time", ge=1, le=MAX_INSTANCES)
    ] = 1
    start_at_once: Annotated[int, key("live", "how many start at the same time", ge=1, le=MAX_INSTANCES)] = 8
    stop_at_once: Annotated[int, key("live", "how many stop at the same time; 0: all", ge=0)] = 0
    start_s: Annotated[
        float, key("live", "an instance that is not ready after so long has not started", ge=0.1, le=600)
    ] = 10.0
    stop_s: Annotated[
        float, key("live", "an instance that has not stopped after so long is ended", ge=0.1, le=600)
    ] = 8.0
    stuck_s: Annotated[
        float, key("live", "an instance whose reducer makes no step for so long is replaced", ge=0.5, le=600)
    ] = 3.0
    backoff_s: Annotated[
        float, key("live", "the wait before the second restart in a row; it doubles", ge=0.01, le=60)
    ] = 0.5
    backoff_most_s: Annotated[float, key("live", "the longest such wait", ge=0.01, le=3600)] = 15.0
    restarts: Annotated[
        int, key("live", "restarts in the window below before an instance is given up", ge=1, le=1000)
    ] = 6
    restarts_in_s: Annotated[float, key("live", "that window", ge=1, le=86400)] = 120.0
    watch_s: Annotated[
        float, key("live", "how long a changed instance is watched before the next is changed", ge=0, le=3600)
    ] = 5.0
    live_watch_s: Annotated[
        float,
        key(
            "live",
            "the same for a change that running instances take over, at most watch_s: "
            "first at_once of them, then all the others together",
            ge=0,
            le=3600,
        ),
    ] = 1.0
    worse_by: Annotated[
        float,
        key("live", "a rollout goes back when the share of calls that end badly rises by more", ge=0, le=1),
    ] = 0.05
    worse_of: Annotated[int, key("live", "ended calls before that share is judged", ge=1)] = 20


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform's JSON comes from, besides the file: see docs/guide/configuration.md."""

    replicas: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]+:[1-9]\d{0,4}$")], ...],
        key("new", "HOST:PORT of each replica of the configuration store", min_length=1, max_length=7),
    ]
    state: Annotated[
        str, key("new", "the folder that keeps what is in force for the next start", min_length=1)
    ] = "configuration"
    node: Annotated[
        str,
        key(
            "new",
            "what this machine is called in the store, once in all; empty: the node's or the fleet's name",
            pattern="^[A-Za-z0-9._:-]{0,128}$",
        ),
    ] = ""
    own: Annotated[
        tuple[str, ...],
        key("new", "keys of the platform's JSON that stay as this machine's own file has them"),
    ] = ("name", "listen", "operator", "seed", "limits", "known", "settings.Me", "settings.Zone")


SECTIONS = {"log": Log, "instance": Instance, "fleet": Fleet, "configuration": Configuration}
OPTIONAL = {"fleet", "configuration"}  # None where the file has no such section


class OperatorFileError(ConfigurationError):
    """Every fault of a file, a line each: FILE: KEY: what was expected."""

    def __init__(self, faults):
        """`faults`: a line each."""
        super().__init__("\n".join(faults))
        self.faults = faults


def suggestion(word, among):
    """The end of a fault about an unknown word: the nearest known one, or all of them."""
    found = difflib.get_close_matches(word, among, 1, 0.5)
    return f"; the nearest known one is {found[0]}" if found else f"; known are {', '.join(sorted(among))}"


def fields(kind):
    """(name, field, its Meta) of each key of a section."""
    hints = typing.get_type_hints(kind, include_extras=True)
    return [
        (f.name, f, next(m for m in hints[f.name].__metadata__ if m.extra))
        for f in msgspec.structs.fields(kind)
    ]


def read_section(name, kind, values, faults):
    """The section, or None if it has faults, which are added to `faults` as (key, what)."""
    if not isinstance(values, dict):
        faults.append((name, "expected a section, [" + name + "]"))
        return None
    known, taken, before = {f.name: f for f in msgspec.structs.fields(kind)}, {}, len(faults)
    hints = typing.get_type_hints(kind, include_extras=True)
    for word in values.keys() - known.keys():
        faults.append((f"{name}.{word}", "unknown key" + suggestion(word, known)))
    for word, field in known.items():
        if word not in values:
            if field.required:
                faults.append((f"{name}.{word}", "missing"))
            continue
        try:
            taken[word] = msgspec.convert(values[word], hints[word])
        except msgspec.ValidationError as fault:
            faults.append((f"{name}.{word}", f"{values[word]!r}: {fault}"))
    return kind(**taken) if len(faults) == before else None


def read_text(text, path="operator"):
    """(Log, Instance, Fleet or None, Configuration or None, what was set) from the text of a file."""
    try:
        whole = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as fault:
        raise OperatorFileError([f"{path}: no TOML: {fault}"]) from fault
    faults = [
        (word, "unknown section" + suggestion(word, SECTIONS)) for word in whole.keys() - SECTIONS.keys()
    ]
    parts = [
        read_section(name, kind, whole.get(name, {}), faults)
        if name in whole or name not in OPTIONAL
        else None
        for name, kind in SECTIONS.items()
    ]
    fleet = parts[2]
    if fleet:
        faults += [(f"fleet.{k}", what) for k, what in check_related_keys(fleet)]
    if faults:
        raise OperatorFileError([f"{path}: {k}: {what}" for k, what in sorted(faults)])
    return *parts, whole


def check_related_keys(fleet):
    """Faults of keys that do not go together."""
    host, _, port = fleet.listen.rpartition(":")
    port = int(port)
    last = fleet.instances - 1
    if port + fleet.port_step * last > 65535:
        yield (
            "port_step",
            f"instance {last} would listen on port {port + fleet.port_step * last}; the last is 65535",
        )
    if fleet.host_step:
        try:
            offset_address(host, fleet.host_step * last)
        except ValueError as fault:
            yield "host_step", str(fault)
    if last and not fleet.port_step and not fleet.host_step:
        yield "port_step", "with host_step 0 too, all instances would listen on one address"
    if fleet.nodes and fleet.first + fleet.instances > fleet.nodes:
        yield "nodes", f"expected at least first + instances, {fleet.first + fleet.instances}, or 0"
    if fleet.backoff_most_s < fleet.backoff_s:
        yield "backoff_most_s", f"expected at least backoff_s, {fleet.backoff_s}"


def read(path):
    """As `read_text`, from a file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise OperatorFileError([f"{path}: {fault}"]) from fault
    return read_text(text, path)


def read_fleet(path):
    """As `read`, of a file that must have the section [fleet]: (Log, Instance, Fleet, Configuration or None)
    of one reading.
    """
    log, instance, fleet, configuration, _ = read(path)
    if fleet is None:
        raise OperatorFileError([f"{path}: fleet: missing: this command needs the section [fleet]"])
    return log, instance, fleet, configuration


def effective_values(parts, whole, path):
    """(key, value, where it is from, what a reload does) for every key of every section that is there."""
    for (name, kind), section in zip(SECTIONS.items(), parts, strict=True):
        for word, _, meta in fields(kind) if section else ():
            yield (
                f"{name}.{word}",
                getattr(section, word),
                path if word in whole.get(name, {}) else "default",
                meta.extra["reload"],
            )
