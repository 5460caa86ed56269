"""The operator's file: one TOML file with a section for each subsystem. msgspec checks types and ranges.

`read(path)` returns the sections, or raises `OperatorFileError` with every error in the file. The metadata of
a key tells what a reload does with it: "live" (applied at once), "restart" (the instances are replaced one
after the other), or "new" (needs a new supervisor: a reload that changes it is rejected). This module is
imported only if there is such a file, so a node without one does not need msgspec.
"""

import difflib
import tomllib
import typing
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cottonspread.config.platform import ConfigurationError

MAX_INSTANCES = 4096  # per machine; a larger number is probably a typing error and is rejected


def offset_address(host, steps):
    """The IPv4 address that many steps after `host`, skipping those that end in 0 or 255.

    Raises ValueError if there is none.
    """
    a, b, c, d = map(int, host.split("."))
    number = ((a * 256 + b) * 256 + c) * 254 + d - 1 + steps
    if not 1 <= d <= 254 or number >= 224 * 256 * 256 * 254:
        raise ValueError(f"no host address {steps} steps after {host}")
    front, d = divmod(number, 254)
    return f"{front >> 16}.{front >> 8 & 255}.{front & 255}.{d + 1}"


def key(reload, description, **bounds):
    """The metadata of a key: its meaning, what a reload does with it (`reload`), and bounds of its value."""
    return Meta(description=description, extra={"reload": reload}, **bounds)


class Log(msgspec.Struct, frozen=True):
    """The section [log]: how the log is written."""

    format: Annotated[Literal["pairs", "json"], key("restart", "key=value pairs or JSON lines")] = "pairs"
    level: Annotated[
        Literal["debug", "info", "warning", "error"], key("live", "the lowest level that is written")
    ] = "info"


class Instance(msgspec.Struct, frozen=True):
    """The section [instance]: the behaviour of each instance of a fleet."""

    list_wait_s: Annotated[
        float, key("restart", "how long a new instance waits for a list from discovery", ge=0, le=60)
    ] = 2.0
    save_list: Annotated[bool, key("restart", "the last list is saved in the state folder")] = True
    orphan_s: Annotated[
        float, key("restart", "an instance without a supervisor for this long stops itself", ge=1, le=3600)
    ] = 60.0


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The section [fleet]: the instances, and how the supervisor starts, stops and changes them."""

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
            "HOST:PORT of instance 0; port 0 (any free port) is not possible",
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
            "added to the last number of the address, which runs from 1 to 254 and carries over",
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
        float,
        key("live", "an instance that is not ready after this long has failed to start", ge=0.1, le=600),
    ] = 10.0
    stop_s: Annotated[
        float, key("live", "an instance that has not stopped after this long is killed", ge=0.1, le=600)
    ] = 8.0
    stuck_s: Annotated[
        float,
        key("live", "an instance whose reducer makes no step for this long is replaced", ge=0.5, le=600),
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
            "the same for a change that running instances apply, at most watch_s: "
            "first at_once of them, then all the others together",
            ge=0,
            le=3600,
        ),
    ] = 1.0
    worse_by: Annotated[
        float,
        key("live", "a rollout is rolled back if the share of failed calls rises by more", ge=0, le=1),
    ] = 0.05
    worse_of: Annotated[int, key("live", "ended calls before that share is judged", ge=1)] = 20


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The section [configuration]: the configuration store, which publishes the platform's JSON to all nodes.

    See docs/guide/configuration.md.
    """

    replicas: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]+:[1-9]\d{0,4}$")], ...],
        key("new", "HOST:PORT of each replica of the configuration store", min_length=1, max_length=7),
    ]
    state: Annotated[
        str, key("new", "the folder that saves the configuration in force for the next start", min_length=1)
    ] = "configuration"
    node: Annotated[
        str,
        key(
            "new",
            "the unique name of this machine in the store; empty: the node's or the fleet's name",
            pattern="^[A-Za-z0-9._:-]{0,128}$",
        ),
    ] = ""
    own: Annotated[
        tuple[str, ...],
        key("new", "keys of the platform's JSON that are taken from this machine's own file"),
    ] = ("name", "listen", "operator", "seed", "limits", "known", "settings.Me", "settings.Zone")


SECTIONS = {"log": Log, "instance": Instance, "fleet": Fleet, "configuration": Configuration}
OPTIONAL = {"fleet", "configuration"}  # None where the file has no such section


class OperatorFileError(ConfigurationError):
    """All errors of a file, one per line: FILE: KEY: what was expected."""

    def __init__(self, errors):
        """`errors`: one line each."""
        super().__init__("\n".join(errors))
        self.errors = errors


def suggestion(word, choices):
    """The end of a message about an unknown word: the most similar known one, or all of them."""
    found = difflib.get_close_matches(word, choices, 1, 0.5)
    return f"; did you mean {found[0]}?" if found else f"; expected one of {', '.join(sorted(choices))}"


def fields(section_type):
    """(name, field, Meta) of each key of a section."""
    hints = typing.get_type_hints(section_type, include_extras=True)
    return [
        (f.name, f, next(m for m in hints[f.name].__metadata__ if m.extra))
        for f in msgspec.structs.fields(section_type)
    ]


def read_section(name, section_type, values, errors):
    """Reads one section. Returns None if it has errors, which are added to `errors` as (key, message)."""
    if not isinstance(values, dict):
        errors.append((name, "expected a section, [" + name + "]"))
        return None
    known, converted, before = {f.name: f for f in msgspec.structs.fields(section_type)}, {}, len(errors)
    hints = typing.get_type_hints(section_type, include_extras=True)
    for key_name in values.keys() - known.keys():
        errors.append((f"{name}.{key_name}", "unknown key" + suggestion(key_name, known)))
    for key_name, field in known.items():
        if key_name not in values:
            if field.required:
                errors.append((f"{name}.{key_name}", "missing"))
            continue
        try:
            converted[key_name] = msgspec.convert(values[key_name], hints[key_name])
        except msgspec.ValidationError as error:
            errors.append((f"{name}.{key_name}", f"{values[key_name]!r}: {error}"))
    return section_type(**converted) if len(errors) == before else None


def read_text(text, path="operator"):
    """Parses the text of a file: (Log, Instance, Fleet or None, Configuration or None, parsed TOML)."""
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorFileError([f"{path}: invalid TOML: {error}"]) from error
    errors = [
        (word, "unknown section" + suggestion(word, SECTIONS)) for word in document.keys() - SECTIONS.keys()
    ]
    sections = [
        read_section(name, section_type, document.get(name, {}), errors)
        if name in document or name not in OPTIONAL
        else None
        for name, section_type in SECTIONS.items()
    ]
    fleet = sections[2]
    if fleet:
        errors += [(f"fleet.{k}", message) for k, message in check_related_keys(fleet)]
    if errors:
        raise OperatorFileError([f"{path}: {k}: {message}" for k, message in sorted(errors)])
    return *sections, document


def check_related_keys(fleet):
    """Yields (key, message) for keys that contradict each other."""
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
        except ValueError as error:
            yield "host_step", str(error)
    if last and not fleet.port_step and not fleet.host_step:
        yield "port_step", "with host_step 0 too, all instances would listen on one address"
    if fleet.nodes and fleet.first + fleet.instances > fleet.nodes:
        yield "nodes", f"expected at least first + instances, {fleet.first + fleet.instances}, or 0"
    if fleet.backoff_most_s < fleet.backoff_s:
        yield "backoff_most_s", f"expected at least backoff_s, {fleet.backoff_s}"


def read(path):
    """Reads a file; returns what `read_text` does."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError([f"{path}: {error}"]) from error
    return read_text(text, path)


def read_fleet(path):
    """Reads a file that must have the section [fleet]: (Log, Instance, Fleet, Configuration or None)."""
    log, instance, fleet, configuration, _ = read(path)
    if fleet is None:
        raise OperatorFileError([f"{path}: fleet: missing: this command needs the section [fleet]"])
    return log, instance, fleet, configuration


def effective_values(sections, document, path):
    """Yields (key, value, its source, what a reload does with it) for every key of every section present."""
    for (name, section_type), section in zip(SECTIONS.items(), sections, strict=True):
        for key_name, _, meta in fields(section_type) if section else ():
            yield (
                f"{name}.{key_name}",
                getattr(section, key_name),
                path if key_name in document.get(name, {}) else "default",
                meta.extra["reload"],
            )
