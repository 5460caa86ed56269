"""Converts between the simulator's text lines and the types of `cottonspread.interface`.

Makes no decisions: those are the policy's.
"""

import base64

from cottonspread import config
from cottonspread import interface as io
from cottonspread.config import ms_to_us
from cottonspread.front.reports import parse_load_report, probe_ended

ENDINGS = {
    0: io.Ending.OK,
    5: io.Ending.ERROR,
    11: io.Ending.FULL,
    110: io.Ending.TIMEOUT,
    111: io.Ending.CONNECT_FAILED,
    104: io.Ending.RESET,
    125: io.Ending.CANCELLED,
    114: io.Ending.NOT_SENT,
}
HOST_STATES = {"up": io.HostState.UP, "draining": io.HostState.DRAINING, "removed": io.HostState.GONE}
LIST_UPDATE_KINDS = {
    "update": io.ListUpdateKind.CHANGES,
    "replace": io.ListUpdateKind.FULL,
    "restored": io.ListUpdateKind.SAVED,
    "unavailable": io.ListUpdateKind.FAILED,
}
TEXT_FIELDS = {"begin": "Config"}
LOAD_CHANGED, MESSAGES_SLOW = 1, 2
OPTION_RETURNED, OPTION_EFFORT_GIVEN = 16, 1


class DecodeError(ValueError):
    """An invalid line; the rest of its batch is processed."""


def ms_text(value):
    """Microseconds as milliseconds in text."""
    return f"{value / 1000:.3f}"


def split(line):
    """Splits a line into its message name and its fields."""
    name, _, rest = line.partition("\t")
    text, last = TEXT_FIELDS.get(name), {}
    if text:  # this field runs to the end of the line
        before, found, value = ("\t" + rest).partition(f"\t{text}=")
        rest, last = before[1:], {text: value} if found else {}
    try:
        return name, {**dict([part.split("=", 1) for part in rest.split("\t") if part]), **last}
    except ValueError:
        raise DecodeError(f"field without '=': {rest!r}") from None


def read_entry(fields):
    """Reads one server of a list."""
    get = fields.get
    return io.Entry(
        fields["Host"],
        int(get("Site", 0)),
        int(get("Shape", 0)),
        float(get("Heft", 1)),
        int(get("UnitGroup", 0)),
        ms_to_us(fields["CameUp"]) if "CameUp" in fields else 0,
        HOST_STATES[get("Availability", "up")],
    )


def read_call(fields):
    """Reads a call."""
    options = int(fields.get("Options", 0))
    return io.CallArrived(
        int(fields["Call"]),
        int(fields["Service"]),
        ms_to_us(fields.get("ExpiresIn", 0)),
        fields.get("PathKey"),
        fields.get("TeamId"),
        int(fields.get("Team", 0)),
        float(fields.get("Effort", 0)) if options & OPTION_EFFORT_GIVEN else 0.0,
        bool(options & OPTION_RETURNED),
        fields.get("Host"),
    )


def read_status_note(fields):
    """Reads a status report of a call; None for an unknown kind."""
    kind, call = int(fields["Sort"]), int(fields["Call"])
    if kind == LOAD_CHANGED:
        return io.LoadReported(call, float(fields["X"]))
    if kind == MESSAGES_SLOW:
        return io.DelayReported(call, ms_to_us(fields["X"]))
    return None


def decode_data(encoded):
    """Decodes the data of a message between nodes."""
    return b"" if encoded == "-" else base64.b64decode(encoded, validate=True)


READERS = {
    "work_item": read_call,
    "inherited": read_call,
    "accepted": lambda f: io.LegAccepted(
        int(f["Call"]), int(f.get("Trial", 0)), ms_to_us(f.get("WaitTime", 0))
    ),
    "done": lambda f: io.LegEnded(
        int(f["Call"]),
        int(f.get("Trial", 0)),
        ENDINGS[int(f["Disposition"])],
        f.get("Terminal", "0") == "1",
        ms_to_us(f.get("WaitTime", 0)),
    ),
    "expired": lambda f: io.CallExpired(int(f["Call"])),
    "status_note": read_status_note,
    "fired": lambda f: io.TimerFired(f["Cookie"]),
    "pong": lambda f: probe_ended(
        f["Host"],
        ENDINGS[int(f["Disposition"])],
        ms_to_us(f.get("WaitTime", 0)),
        parse_load_report(f.get("Feedback")),
    ),
    "peer": lambda f: io.PeerMessageReceived(int(f["Neighbour"]), decode_data(f["Bytes"])),
}


def read(name, fields):
    """The event of a line; None for an unknown message."""
    reader = READERS.get(name)
    try:
        return reader(fields) if reader else None
    except (KeyError, ValueError) as error:
        raise DecodeError(f"{name}: {error!r}") from error


def read_list(fields, lines):
    """Reads a list of servers; `lines`: the fields of its entries."""
    try:
        return io.ListUpdate(
            LIST_UPDATE_KINDS[fields["Scope"]],
            int(fields.get("Index", 0)),
            tuple(read_entry(f) for f in lines),
        )
    except (KeyError, ValueError) as error:
        raise DecodeError(f"view: {error!r}") from error


def read_begin(fields):
    """Reads a node's settings."""
    return config.read_begin(
        config.parse(fields.get("Config", ""), "settings"), int(fields.get("RngSeed", 0))
    )


def reject_line(action):
    """The line that refuses a call."""
    retry_field = f"\tComeBack={ms_text(action.retry_after)}" if action.retry_after else ""
    return f"bounce\tCall={action.call}{retry_field}"


def peer_message_line(action):
    """The line that sends a message to another node."""
    return f"publish\tDest={action.peer}\tBytes={base64.b64encode(action.data).decode() or '-'}"


LINES = {
    io.Send: lambda a: f"route\tCall={a.call}\tUntil={ms_text(a.deadline)}\tHost={a.host}",
    io.Reject: reject_line,
    io.Release: lambda a: f"end_failed\tCall={a.call}",
    io.Cancel: lambda a: f"undo_send\tCall={a.call}\tTrial={a.leg}",
    io.Move: lambda a: f"move\tCall={a.call}",
    io.Timer: lambda a: f"set_timer\tFromNow={ms_text(a.after)}\tCookie={a.token}",
    io.Probe: lambda a: f"sample\tHost={a.host}",
    io.Subscribe: lambda a: "listen\tWant=1",
    io.SendToPeer: peer_message_line,
    io.Log: lambda a: "note_down\tMessage=" + " ".join(a.text.split()),
}


def write(action):
    """The line of an action."""
    line = LINES.get(type(action))
    if line is None:
        raise TypeError(f"no line for {action!r}")
    return line(action)
