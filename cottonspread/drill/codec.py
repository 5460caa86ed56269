"""Converts between the simulator's text lines and the types of `cottonspread.interface`.

Makes no decisions: those are the policy's.
"""

import base64

from cottonspread import config
from cottonspread import interface as i
from cottonspread.config import ms_to_us
from cottonspread.front.reports import parse_load_report, probe_ended

ENDINGS = {
    0: i.Ending.OK,
    5: i.Ending.ERROR,
    11: i.Ending.FULL,
    110: i.Ending.TIMEOUT,
    111: i.Ending.CONNECT_FAILED,
    104: i.Ending.RESET,
    125: i.Ending.CANCELLED,
    114: i.Ending.NOT_SENT,
}
STATES = {"up": i.HostState.UP, "draining": i.HostState.DRAINING, "removed": i.HostState.GONE}
NEWS = {
    "update": i.ListUpdateKind.CHANGES,
    "replace": i.ListUpdateKind.FULL,
    "restored": i.ListUpdateKind.SAVED,
    "unavailable": i.ListUpdateKind.FAILED,
}
TEXT_FIELDS = {"begin": "Config"}
LOAD_CHANGED, MESSAGES_SLOW = 1, 2
RETURNED, HINTED = 16, 1


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


def read_entry(f):
    """Reads one server of a list."""
    get = f.get
    return i.Entry(
        f["Host"],
        int(get("Site", 0)),
        int(get("Shape", 0)),
        float(get("Heft", 1)),
        int(get("UnitGroup", 0)),
        ms_to_us(f["CameUp"]) if "CameUp" in f else 0,
        STATES[get("Availability", "up")],
    )


def read_call(f):
    """Reads a call."""
    options = int(f.get("Options", 0))
    return i.CallArrived(
        int(f["Call"]),
        int(f["Service"]),
        ms_to_us(f.get("ExpiresIn", 0)),
        f.get("PathKey"),
        f.get("TeamId"),
        int(f.get("Team", 0)),
        float(f.get("Effort", 0)) if options & HINTED else 0.0,
        bool(options & RETURNED),
        f.get("Host"),
    )


def read_status_note(f):
    """Reads a status report of a call; None for an unknown kind."""
    kind, call = int(f["Sort"]), int(f["Call"])
    if kind == LOAD_CHANGED:
        return i.LoadReported(call, float(f["X"]))
    if kind == MESSAGES_SLOW:
        return i.DelayReported(call, ms_to_us(f["X"]))
    return None


def decode_data(text):
    """Decodes the data of a message between nodes."""
    return b"" if text == "-" else base64.b64decode(text, validate=True)


READERS = {
    "work_item": read_call,
    "inherited": read_call,
    "accepted": lambda f: i.LegAccepted(
        int(f["Call"]), int(f.get("Trial", 0)), ms_to_us(f.get("WaitTime", 0))
    ),
    "done": lambda f: i.LegEnded(
        int(f["Call"]),
        int(f.get("Trial", 0)),
        ENDINGS[int(f["Disposition"])],
        f.get("Terminal", "0") == "1",
        ms_to_us(f.get("WaitTime", 0)),
    ),
    "expired": lambda f: i.CallExpired(int(f["Call"])),
    "status_note": read_status_note,
    "fired": lambda f: i.TimerFired(f["Cookie"]),
    "pong": lambda f: probe_ended(
        f["Host"],
        ENDINGS[int(f["Disposition"])],
        ms_to_us(f.get("WaitTime", 0)),
        parse_load_report(f.get("Feedback")),
    ),
    "peer": lambda f: i.PeerMessageReceived(int(f["Neighbour"]), decode_data(f["Bytes"])),
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
        return i.ListUpdate(
            NEWS[fields["Scope"]], int(fields.get("Index", 0)), tuple(read_entry(f) for f in lines)
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
    i.Send: lambda a: f"route\tCall={a.call}\tUntil={ms_text(a.deadline)}\tHost={a.host}",
    i.Reject: reject_line,
    i.Release: lambda a: f"end_failed\tCall={a.call}",
    i.Cancel: lambda a: f"undo_send\tCall={a.call}\tTrial={a.leg}",
    i.Move: lambda a: f"move\tCall={a.call}",
    i.Timer: lambda a: f"set_timer\tFromNow={ms_text(a.after)}\tCookie={a.token}",
    i.Probe: lambda a: f"sample\tHost={a.host}",
    i.Subscribe: lambda a: "listen\tWant=1",
    i.SendToPeer: peer_message_line,
    i.Log: lambda a: "note_down\tMessage=" + " ".join(a.text.split()),
}


def write(action):
    """The line of an action."""
    line = LINES.get(type(action))
    if line is None:
        raise TypeError(f"no line for {action!r}")
    return line(action)
