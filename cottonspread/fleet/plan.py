"""What each instance of a fleet is, derived from the operator's file and the platform's
JSON. Reads two files, starts nothing.

A fleet's plan is read whole, checked whole, and then handed on as text: a file that changes or vanishes
between check and use changes nothing. What a plan says of an instance is in two parts: what needs a new
process, and what a running one takes over.
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

LIVE = (
    "discovery",
    "settings",
    "load_lines",
)  # keys of the platform's JSON that a running instance takes over
FIXED = ("Me", "MembershipMode", "Weights")  # of the settings: a running node keeps what it started with


@dataclass(frozen=True)
class Spec:
    """One instance: `start` and `live` are JSON with sorted keys, so equal texts are equal meaning."""

    name: str
    address: tuple
    start: str
    live: str

    @functools.cached_property
    def live_digest(self):
        """What an instance calls the live part in its status, in place of its whole text."""
        return control.digest(self.live)


@dataclass(frozen=True)
class Plan:
    fleet: op.Fleet
    specs: dict  # by name, in the order of their numbers
    program: tuple  # (python, folder put first on its path)


def canonical(value):
    return json.dumps(value, sort_keys=True)


def stepped(address, port=0, octet=0):
    """HOST:PORT some steps on."""
    host, _, number = address.rpartition(":")
    if octet:
        host = op.offset_address(host, octet)
    return f"{host}:{int(number) + port}"


def beside(path, other):
    return os.path.join(os.path.dirname(os.path.abspath(path)), other)


def folders(path, fleet):
    """(for state, for logs)."""
    state = beside(path, fleet.state)
    return state, beside(path, fleet.logs) if fleet.logs else os.path.join(state, "log")


def read(path, program, check=lambda text: config.read_node(text, {}), carried=None):
    """The plan that the files give now.

    Raises config.ConfigurationError, naming file and key. `check(text)` reads an instance's JSON: the parts
    of config.read_node, or config.ConfigurationError. `carried`: what the configuration store told, which
    stands for the template but for the keys that are this machine's own.
    """
    log, instance, fleet, section = op.read_fleet(path)
    template = beside(path, fleet.config)
    try:
        with open(template, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise op.OperatorFileError([f"{path}: fleet.config: {template}: {fault}"]) from fault
    whole = config.parse(text, template)
    if carried is not None and isinstance(whole, dict):
        whole = config.with_local_keys(
            config.parse(carried, "configuration"), whole, section.own if section else ()
        )
    if not isinstance(whole, dict) or not isinstance(whole.get("settings"), dict):
        raise op.OperatorFileError([f"{template}: settings: expected an object"])
    if not isinstance(whole.get("discovery"), str):
        raise op.OperatorFileError([f"{template}: discovery: expected HOST:PORT"])
    specs = {}
    for n in range(fleet.instances):
        name = f"{fleet.name}-{n}"
        own = {
            **whole,
            "name": name,
            "listen": stepped(fleet.listen, fleet.port_step * n, fleet.host_step * n),
            "settings": {
                **whole["settings"],
                "Me": fleet.first + n,
                "Balancers": fleet.nodes or fleet.first + fleet.instances,
            },
        }
        # the supervisor's socket serves instead, and a successor runs beside each instance
        own.pop("operator", None)
        try:
            own["discovery"] = (
                stepped(whole["discovery"], fleet.discovery_step * n)
                if fleet.discovery_step
                else whole["discovery"]
            )
            if "seed" in whole:
                own["seed"] = "%x" % (int(whole["seed"], 16) + n)
            place = check(canonical(own))[0]
        except (config.ConfigurationError, ValueError, TypeError) as fault:
            raise op.OperatorFileError([f"{template}: {fault} (instance {name})"]) from fault
        live = {key: own.pop(key) for key in LIVE if key in own} | {"level": log.level}
        start = {
            "config": own,
            "fixed": {key: live["settings"].get(key) for key in FIXED},
            "format": log.format,
            "instance": msgspec.to_builtins(instance),
            "program": list(program),
        }
        specs[name] = Spec(name, place.listen, canonical(start), canonical(live))
    return Plan(fleet, specs, tuple(program))


def bound(address):
    """A listening socket, or OSError. Without SO_REUSEPORT: a second one on this address is told at once."""
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
    """Listening sockets by address; every address that is taken is named at once."""
    taken, faults = {}, []
    for spec in specs:
        try:
            taken[spec.address] = bound(spec.address)
        except OSError as fault:
            why = "address in use" if fault.errno == errno.EADDRINUSE else fault.strerror or str(fault)
            faults.append(f"fleet.listen: {spec.address[0]}:{spec.address[1]} for {spec.name}: {why}")
    if faults:
        for sock in taken.values():
            sock.close()
        raise op.OperatorFileError(faults)
    return taken
