"""The plan of a fleet: the configuration of each instance, derived from two files.

The files are the operator's file and the platform's JSON. The plan is read and checked completely, and then
passed on as text, so a file that changes or vanishes between check and use has no effect. The configuration
of an instance has two parts: `start`, which needs a new process to change, and `live`, which a running one
can apply.
"""

import errno
import functools
import json
import os
import socket
from dataclasses import dataclass

import msgspec

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.fleet import control

# Keys of the platform's JSON that a running instance can apply
LIVE_KEYS = ("discovery", "settings", "load_lines")
# Settings that a running node does not change after its start
FIXED_SETTINGS = ("Me", "MembershipMode", "Weights")


@dataclass(frozen=True)
class InstanceSpec:
    """One instance: `start` and `live` are JSON with sorted keys, so equal texts have equal meaning."""

    name: str
    address: tuple
    start: str
    live: str

    @functools.cached_property
    def live_digest(self):
        """The digest by which an instance identifies its live part in its status."""
        return control.digest(self.live)


@dataclass(frozen=True)
class Plan:
    """The specs of all instances and the program that they run."""

    fleet: op.Fleet
    specs: dict  # by name, in the order of their numbers
    program: tuple  # (Python interpreter, folder put first on its path)


def canonical_json(value):
    """Returns JSON with sorted keys."""
    return json.dumps(value, sort_keys=True)


def offset_address(address, port=0, octet=0):
    """Returns HOST:PORT with the port and the host's last octet increased by the given amounts."""
    host, _, number = address.rpartition(":")
    if octet:
        host = op.offset_address(host, octet)
    return f"{host}:{int(number) + port}"


def resolve_path(path, other):
    """Returns `other` relative to the folder of the file `path`."""
    return os.path.join(os.path.dirname(os.path.abspath(path)), other)


def folders(path, fleet):
    """Returns (state folder, log folder)."""
    state = resolve_path(path, fleet.state)
    return state, resolve_path(path, fleet.logs) if fleet.logs else os.path.join(state, "log")


def read(path, program, check=lambda text: config.read_node(text, {}), published=None):
    """Reads the current plan from the files.

    Raises config.ConfigurationError, naming file and key. `check(text)` validates an instance's JSON: it
    returns the parts of config.read_node or raises config.ConfigurationError. `published`: the body from the
    configuration store; it replaces the template except for the keys that belong to this machine.
    """
    log, instance, fleet, section = op.read_fleet(path)
    template_path = resolve_path(path, fleet.config)
    try:
        with open(template_path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise op.OperatorFileError([f"{path}: fleet.config: {template_path}: {error}"]) from error
    template_config = config.parse(text, template_path)
    if published is not None and isinstance(template_config, dict):
        template_config = config.with_local_keys(
            config.parse(published, "configuration"), template_config, section.own if section else ()
        )
    if not isinstance(template_config, dict) or not isinstance(template_config.get("settings"), dict):
        raise op.OperatorFileError([f"{template_path}: settings: expected an object"])
    if not isinstance(template_config.get("discovery"), str):
        raise op.OperatorFileError([f"{template_path}: discovery: expected HOST:PORT"])
    specs = {}
    for n in range(fleet.instances):
        name = f"{fleet.name}-{n}"
        instance_config = {
            **template_config,
            "name": name,
            "listen": offset_address(fleet.listen, fleet.port_step * n, fleet.host_step * n),
            "settings": {
                **template_config["settings"],
                "Me": fleet.first + n,
                "Balancers": fleet.nodes or fleet.first + fleet.instances,
            },
        }
        # The supervisor's control socket replaces the node's operator address, which a successor, running
        # beside its predecessor, could not bind.
        instance_config.pop("operator", None)
        try:
            instance_config["discovery"] = (
                offset_address(template_config["discovery"], fleet.discovery_step * n)
                if fleet.discovery_step
                else template_config["discovery"]
            )
            if "seed" in template_config:
                instance_config["seed"] = "%x" % (int(template_config["seed"], 16) + n)
            endpoints = check(canonical_json(instance_config))[0]
        except (config.ConfigurationError, ValueError, TypeError) as error:
            raise op.OperatorFileError([f"{template_path}: {error} (instance {name})"]) from error
        live = {key: instance_config.pop(key) for key in LIVE_KEYS if key in instance_config} | {
            "level": log.level
        }
        start = {
            "config": instance_config,
            "fixed": {key: live["settings"].get(key) for key in FIXED_SETTINGS},
            "format": log.format,
            "instance": msgspec.to_builtins(instance),
            "program": list(program),
        }
        specs[name] = InstanceSpec(name, endpoints.listen, canonical_json(start), canonical_json(live))
    return Plan(fleet, specs, tuple(program))


def listen_on(address):
    """Returns a listening socket or raises OSError.

    SO_REUSEPORT is not set, so a second socket on this address fails at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(1024)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def bind_all(specs):
    """Returns listening sockets by address; the error lists every address that is in use."""
    listeners, errors = {}, []
    for spec in specs:
        try:
            listeners[spec.address] = listen_on(spec.address)
        except OSError as error:
            why = "address in use" if error.errno == errno.EADDRINUSE else error.strerror or str(error)
            errors.append(f"fleet.listen: {spec.address[0]}:{spec.address[1]} for {spec.name}: {why}")
    if errors:
        for sock in listeners.values():
            sock.close()
        raise op.OperatorFileError(errors)
    return listeners
