"""The protocol's lines: gathered from a socket, parsed, written. Its own words stay in this file."""

import contextlib
import re
import socket
import struct
import threading
import time
from dataclasses import dataclass

from cottonspread.front.reports import parse_load_report
from cottonspread.interface import Ending

PING, PONG, ERR, MOVE, BYE = b"PING", b"PONG\r\n", b"ERR\r\n", b"MOVE\r\n", b"BYE"
STATS, LONGEST_REPORT = b"STATS\r\n", 4096
ENDINGS = {b"BYE": Ending.OK, b"MOVE": Ending.CANCELLED, b"BUSY": Ending.FULL}
WORD, NUMBER = re.compile(r"[!-~]{1,64}"), re.compile(r"[0-9]+")


SO_TIMESTAMPNS, STAMP, STAMP_ROOM = 35, struct.Struct("qq"), 64
OLDEST = 20_000_000  # microseconds; what seems to have lain longer was stamped before the clock was set


class LineError(ValueError):
    """What came is no line of the protocol; its text is the reason code."""


def age(stamps):
    """How many microseconds ago the kernel got what was just read; 0 where it
    does not tell or the wall clock was set.
    """
    for level, kind, value in stamps:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, rest = STAMP.unpack(value)
            passed = (time.time_ns() - seconds * 1_000_000_000 - rest) // 1000
            return passed if 0 <= passed < OLDEST else 0
    return 0


class SocketReleasedError(Exception):
    """The socket is another process's now."""


class Gatherer:
    """Whole lines from a socket.

    Holds a buffer only while there is something in it. While it holds none it only peeks, and then its socket
    can be let go: nothing that came is lost to whoever reads there next.
    """

    def __init__(self, sock, pool, half_line_wait):
        self.sock, self.pool, self.wait = sock, pool, half_line_wait
        self.buffer, self.filled, self.since, self.age = None, 0, 0.0, 0
        self.lock, self.idle, self.gone = threading.Lock(), False, False

    def lines(self):
        """All whole lines that are there, at least one, as they came; b"" at the end of the connection.

        SocketReleasedError: see `let_go`.
        """
        while True:
            try:
                if self.buffer is None:
                    if not self.peek():
                        return b""
                    self.buffer, self.since = self.pool.acquire(), time.monotonic()
                got, stamps, _, _ = self.sock.recvmsg_into(
                    [memoryview(self.buffer)[self.filled :]], STAMP_ROOM
                )
                self.age = age(stamps)
            except BlockingIOError:  # the socket's own time-out has passed
                if self.buffer is None or time.monotonic() - self.since < self.wait:
                    continue
                raise LineError("half-line") from None
            if not got:
                raise LineError("half-line")
            self.filled += got
            end = self.buffer.rfind(b"\n", 0, self.filled) + 1
            if end:
                whole = bytes(memoryview(self.buffer)[:end])
                self.filled -= end
                if self.filled:
                    self.buffer[: self.filled] = self.buffer[end : end + self.filled]
                    self.since = time.monotonic()
                else:
                    self.drop()
                return whole
            if self.filled == len(self.buffer):
                raise LineError("long-line")

    def peek(self):
        """Wait until there is something. b"": the end."""
        with self.lock:
            self.idle = True
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        finally:
            with self.lock:
                self.idle = False
                if self.gone:
                    raise SocketReleasedError

    def take_back(self):
        """After `let_go`. True if whoever waited here has left meanwhile."""
        with self.lock:
            self.gone = False
            return not self.idle

    def drop(self):
        if self.buffer is not None:
            self.pool.release(self.buffer)
            self.buffer, self.filled = None, 0


def let_go(gatherers):
    """Whether all of them are idle, and from now on leave their sockets alone. For one thread at a time."""
    with contextlib.ExitStack() as locks:
        for one in gatherers:
            locks.enter_context(one.lock)
        if not all(one.idle for one in gatherers):
            return False
        for one in gatherers:
            one.gone = True
        return True


@dataclass(frozen=True)
class Opening:
    """A client's first line."""

    line: bytes  # as it came
    id: str
    type: int
    wait: int  # how long the client waits for an answer; 0: not told
    key: str = None
    group: str = None
    tenant: int = 0
    load: float = 0.0
    returned: bool = False
    held_by: str = None


def read_opening(line, types, tenants, grouped, longest_wait):
    """`OPEN ID KEY NAME=VALUE,..` with the numbers that the module gives names; LineError with its reason."""
    try:
        words = line.rstrip(b"\r\n").decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise LineError("garbled") from None
    if len(words) != 4 or words[0] != "OPEN" or not all(WORD.fullmatch(w) for w in words[1:3]):
        raise LineError("garbled")
    pairs = dict(part.partition("=")[::2] for part in words[3].split(","))
    if "c" not in pairs or not ("d" in pairs or "at" in pairs):
        raise LineError("lacks-field")
    if pairs["c"] not in types:
        raise LineError("unknown-type")
    try:
        wait = NUMBER.fullmatch(pairs.get("d", "0"))[0]
        load = float(pairs.get("h", 0))
    except (TypeError, ValueError):
        raise LineError("garbled") from None
    # A host answers a wait of years with ERR, and each host asked looked broken for it.
    if not 0 <= load < 1e15 or len(wait) > 15 or "at" not in pairs and int(wait) * 1000 > longest_wait:
        raise LineError("garbled")
    wait = int(wait) * 1000
    who = pairs.get("g")
    return Opening(
        line,
        words[1],
        types[pairs["c"]],
        wait,
        words[2],
        who if grouped else None,
        tenants.get(pairs.get("t"), 0),
        load,
        pairs.get("again") == "1",
        pairs.get("at"),
    )


def type_named(line):
    """The traffic type that a first line names, whatever else stands in it; "" if none."""
    named = re.match(rb"OPEN [^ ]+ [^ ]+ (?:[^ ]*,)?c=([^ ,\r\n]*)", line)
    return named[1].decode("ascii", "replace") if named else ""


def onward(line, wait):
    """The first line as a host gets it: `d` tells how long this node will wait."""
    return re.sub(rb"(?<=[ ,])d=\d+", b"d=%d" % max(1, wait // 1000), line, count=1)


def busy(retry_after):
    return b"BUSY %d\r\n" % (retry_after // 1000) if retry_after else b"BUSY\r\n"


def read_answer(line, rest=b""):
    """A host's first line: None if the connection is up, else how the attempt ended.

    `rest`: what came with it. A host that says it turned the call away, or ended it, and goes on speaking
    has said nothing that can be relied on.
    """
    words = line.split()
    if not words or words[0] == b"UP":
        return None if len(words) > 1 else Ending.ERROR  # a receipt belongs to it
    return Ending.ERROR if rest else ENDINGS.get(words[0], Ending.ERROR)


def read_report(line):
    """A host's answer to STATS, as (how the probe ended, the values of its load report by name).

    A host that answers neither `PONG` nor `ERR` (too many probes, or none allowed) tells nothing: FULL.
    Values that are no number are left out.
    """
    word, _, rest = line.strip().partition(b" ")
    return {b"PONG": Ending.OK, b"ERR": Ending.ERROR}.get(word, Ending.FULL), (
        parse_load_report(rest.decode("latin-1")) if word == b"PONG" else {}
    )


def read_load(line):
    """The load that a host's line tells; None for any other line."""
    if not line.startswith(b"LOAD "):
        return None
    try:
        load = float(line[5:])
    except ValueError:
        return None
    return load if 0 <= load < 1e15 else None
