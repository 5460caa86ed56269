"""The state that a process passes to its successor, as text in a file. Does no I/O.

To servers and clients the two are one node: keys stay on their servers, legs sent to cold servers still
count against the budget, and the id of a call open in one process is in use in the other. Times are of the
monotonic clock, which all processes of a machine share.
"""

import json
from dataclasses import asdict, dataclass, replace

VERSION = 1
MAX_RECORDS = 5000  # the latest ones; each takes about 60 bytes of text, which count as memory


@dataclass(frozen=True)
class OpenConnection:
    """An established connection, handed over between two lines of its protocol."""

    id: str
    type: str
    host: str
    began: int
    setup: int
    key: str = None
    group: str = None
    tenant: int = 0
    load: float = 0.0  # last reported, microseconds of work a second; 0: not reported
    waiting: tuple = ()  # times at which the lines were sent that have no echo yet


@dataclass(frozen=True)
class HandoverState:
    """The state that a process hands to its successor."""

    room: int  # connections that the successor may hold while both processes run
    draining: bool = False  # whether operators drain this node
    ids: tuple = ()  # of open calls
    records: tuple = ()  # (key, server), the longest idle first
    sent: tuple = ()  # (server, time, legs) sent to cold servers, the oldest first


def snapshot(balancer, now, **fields):
    """The decision module's state that a successor needs; the module is only read.

    `fields`: the other fields of `HandoverState`.
    """
    records = [(key, host.name) for key, (host, _) in list(balancer.records.items())[-MAX_RECORDS:]]
    cold = [h for h in balancer.membership.hosts.values() if balancer.slow_start.capacity_share(h, now) < 1]
    return HandoverState(
        records=tuple(records),
        sent=tuple(
            (h.name, at, count)
            for h in cold
            for at, count in h.sent.buckets_in(now, balancer.settings.cold.window)
        ),
        **fields,
    )


def pack(state, token):
    """The state as JSON; `token`: the token of the successor that asked for it."""
    return json.dumps({"version": VERSION, "mark": token, **asdict(state)})


def pack_connection(connection):
    """A connection as a line of JSON, to be sent along with its two sockets."""
    return json.dumps({"version": VERSION, **asdict(connection)}).encode() + b"\n"


def unpack_connection(line):
    """The connection in a line of JSON; ValueError if it cannot be read."""
    parsed = json.loads(line)
    if not isinstance(parsed, dict) or parsed.pop("version", None) != VERSION:
        raise ValueError(f"not a handed-over connection of version {VERSION}")
    try:
        connection = OpenConnection(**parsed)
        return replace(
            connection,
            waiting=tuple(map(int, connection.waiting)),
            began=int(connection.began),
            setup=int(connection.setup),
            tenant=int(connection.tenant),
            load=float(connection.load),
        )
    except TypeError as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def unpack(text, token):
    """The state in a JSON text; None if it has another token, ValueError if it cannot be read."""
    parsed = json.loads(text)
    if not isinstance(parsed, dict) or parsed.get("version") != VERSION:
        raise ValueError(f"not a handover state of version {VERSION}")
    if parsed.get("mark") != token:
        return None
    try:
        return HandoverState(
            max(2, int(parsed["room"])),
            bool(parsed["draining"]),
            tuple(map(str, parsed["ids"])),
            tuple((str(key), str(host)) for key, host in parsed["records"]),
            tuple((str(host), int(at), int(count)) for host, at, count in parsed["sent"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error
