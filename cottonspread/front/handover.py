"""What a process passes to the one that replaces it, as text in a file. Pure.

To servers and clients the two are one node: keys go on to the server that has them, what went to cold
servers counts on, the id of a call that is open in one is in use for the other. Times are the clock's,
which all processes of a machine share.
"""

import json
from dataclasses import asdict, dataclass, replace

VERSION = 1
MOST_RECORDS = 5000  # the latest; each is a line of some 60 bytes that counts as memory


@dataclass(frozen=True)
class OpenConnection:
    """An open connection, passed on between two lines."""

    id: str
    type: str
    host: str
    began: int
    setup: int
    key: str = None
    group: str = None
    tenant: int = 0
    load: float = 0.0  # as last told; 0: not told
    waiting: tuple = ()  # when lines without an echo were sent


@dataclass(frozen=True)
class HandoverState:
    """What a process tells its successor, so that it does not begin from nothing."""

    room: int  # connections that the successor may hold while both are there
    draining: bool = False  # the operators had this node drained
    ids: tuple = ()  # of calls that are open
    records: tuple = ()  # (key, server), the longest idle first
    sent: tuple = ()  # (server, when, legs): what cold servers were sent, the oldest first


def snapshot(module, now, **more):
    """What the module keeps that its successor needs. It is only read."""
    records = [(key, host.name) for key, (host, _) in list(module.records.items())[-MOST_RECORDS:]]
    cold = [h for h in module.membership.hosts.values() if module.slow_start.capacity_share(h, now) < 1]
    return HandoverState(
        records=tuple(records),
        sent=tuple(
            (h.name, at, count)
            for h in cold
            for at, count in h.sent.buckets_in(now, module.settings.cold.window)
        ),
        **more,
    )


def pack(handed, mark):
    """`mark`: the word of the successor that asked."""
    return json.dumps({"version": VERSION, "mark": mark, **asdict(handed)})


def pack_connection(standing):
    """A standing connection as a line of JSON, to go with its two sockets."""
    return json.dumps({"version": VERSION, **asdict(standing)}).encode() + b"\n"


def unpack_connection(line):
    """ValueError if it cannot be read."""
    said = json.loads(line)
    if not isinstance(said, dict) or said.pop("version", None) != VERSION:
        raise ValueError("no connection of this version")
    try:
        one = OpenConnection(**said)
        return replace(
            one,
            waiting=tuple(map(int, one.waiting)),
            began=int(one.began),
            setup=int(one.setup),
            tenant=int(one.tenant),
            load=float(one.load),
        )
    except TypeError as fault:
        raise ValueError(f"{type(fault).__name__}: {fault}") from fault


def unpack(text, mark):
    """None if this is not the answer to `mark`; ValueError if it cannot be read."""
    said = json.loads(text)
    if not isinstance(said, dict) or said.get("version") != VERSION:
        raise ValueError("no hand-over of this version")
    if said.get("mark") != mark:
        return None
    try:
        return HandoverState(
            max(2, int(said["room"])),
            bool(said["draining"]),
            tuple(map(str, said["ids"])),
            tuple((str(key), str(host)) for key, host in said["records"]),
            tuple((str(host), int(at), int(count)) for host, at, count in said["sent"]),
        )
    except (KeyError, TypeError) as fault:
        raise ValueError(f"{type(fault).__name__}: {fault}") from fault
