"""The line protocol as clients and hosts see it.

The lab has parsers of its own, so that a bug in the node's parser does not go unnoticed. Every line ends with
LF or CRLF and holds at most 4,096 bytes. Times in the lab are whole microseconds of one monotonic clock,
unless a name says otherwise.
"""

import time
from dataclasses import dataclass

MAX_LINE = 4096


def now():
    """Returns the microseconds of CLOCK_MONOTONIC, which all processes of a machine share."""
    return time.monotonic_ns() // 1000


class LineSplitter:
    """Splits received bytes into lines, wherever the bytes are split into reads."""

    __slots__ = ("partial_line",)

    def __init__(self):
        """Starts with an empty buffer."""
        self.partial_line = b""

    def feed(self, data):
        """Returns the lines that `data` completes, without their line ends.

        ValueError if one is longer than the protocol allows.
        """
        *whole, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) > MAX_LINE or any(len(line) > MAX_LINE for line in whole):
            raise ValueError("line longer than 4,096 bytes")
        return [line[:-1] if line.endswith(b"\r") else line for line in whole]


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A connection's first line, as a host parses it."""

    id: str
    key: str
    type: str
    wait_ms: int
    group: str
    again: bool
    held_by: str


def parse_open(line):
    """Parses `OPEN ID KEY c=..,d=..`; ValueError names what is wrong."""
    words = line.split(b" ")
    if len(words) != 4 or words[0] != b"OPEN":
        raise ValueError("not an OPEN line of four words")
    pairs = {}
    for part in words[3].split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or name in pairs:
            raise ValueError(f"{part!r} is not a name=value pair, or its name appears twice")
        pairs[name] = value.decode("ascii")
    if b"c" not in pairs or b"d" not in pairs and b"at" not in pairs:
        raise ValueError("pair c or d is missing")
    return OpenRequest(
        words[1].decode("ascii"),
        words[2].decode("ascii"),
        pairs[b"c"],
        int(pairs.get(b"d", "0")),
        pairs.get(b"g", ""),
        pairs.get(b"again") == "1",
        pairs.get(b"at", ""),
    )


def format_open(call_id, key, traffic_type, wait_ms, group="", again=False, retry=False):
    """Returns a client's first line."""
    more = (f",g={group}" if group else "") + (",again=1" if again else "") + (",r=1" if retry else "")
    return f"OPEN {call_id} {key} c={traffic_type},d={wait_ms}{more}\r\n".encode()


def parse_answer(line):
    """Parses the answer to a first line: ("UP", receipt), ("BUSY", ms or 0) or ("other", text)."""
    word, _, rest = line.partition(b" ")
    if word == b"UP" and rest:
        return "UP", rest.decode("ascii", "replace")
    if word == b"BUSY" and (not rest or rest.isdigit()):
        return "BUSY", int(rest or 0)
    return "other", line.decode("ascii", "replace")
