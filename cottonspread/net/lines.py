"""The line protocol spoken with clients and hosts: reading lines from a socket, parsing and formatting them.

The protocol's keywords are defined in this file only.
"""

import contextlib
import hashlib
import re
import socket
import struct
import threading
import time
from dataclasses import dataclass

from cottonspread.front.reports import parse_load_report
from cottonspread.interface import Ending

PING, PONG, ERR, MOVE, BYE = b"PING", b"PONG\r\n", b"ERR\r\n", b"MOVE\r\n", b"BYE"
STATS, MAX_REPORT_BYTES = b"STATS\r\n", 4096
ENDINGS = {b"BYE": Ending.OK, b"MOVE": Ending.CANCELLED, b"BUSY": Ending.FULL}
WORD, NUMBER = re.compile(r"[!-~]{1,64}"), re.compile(r"[0-9]+")
MAX_GROUP_LENGTH = 64  # characters of a group's name that are kept as they are


# The socket module does not define SO_TIMESTAMPNS; 35 is its value on Linux.
SO_TIMESTAMPNS, TIMESPEC, ANCILLARY_SIZE = 35, struct.Struct("qq"), 64
MAX_AGE = 20_000_000  # microseconds; a larger age means that the wall clock was set after the kernel's stamp


class LineError(ValueError):
    """The input is not a valid line of the protocol. The exception's text is the reason code."""


def age(stamps):
    """How many microseconds ago the kernel received the data that was just read.

    `stamps`: the ancillary data of `recvmsg`. 0 if the kernel gives no time stamp or the wall clock was set.
    """
    for level, kind, value in stamps:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESPEC.unpack(value)
            age_us = (time.time_ns() - seconds * 1_000_000_000 - nanoseconds) // 1000
            return age_us if 0 <= age_us < MAX_AGE else 0
    return 0


class SocketReleasedError(Exception):
    """The socket now belongs to another process."""


class LineReader:
    """Reads complete lines from a blocking socket.

    It takes a buffer from the pool only while it holds part of a line. Without a buffer it only peeks at the
    socket, so the socket can be handed to another process then without losing input.
    """

    def __init__(self, sock, pool, partial_line_timeout):
        """`partial_line_timeout`: seconds that part of a line may wait for its end."""
        self.sock, self.pool, self.partial_line_timeout = sock, pool, partial_line_timeout
        self.buffer, self.filled, self.partial_since, self.age = None, 0, 0.0, 0
        self.lock, self.idle, self.released = threading.Lock(), False, False

    def read_lines(self):
        """Blocks until at least one complete line has arrived; returns all complete lines, unchanged.

        Returns b"" at the end of the connection. Raises SocketReleasedError after `try_release`.
        Raises LineError if a line is longer than the buffer, stays incomplete for too long or is cut off by
        the end of the connection.
        """
        while True:
            try:
                if self.buffer is None:
                    if not self.peek():
                        return b""
                    self.buffer, self.partial_since = self.pool.acquire(), time.monotonic()
                received, stamps, _, _ = self.sock.recvmsg_into(
                    [memoryview(self.buffer)[self.filled :]], ANCILLARY_SIZE
                )
                self.age = age(stamps)
            except BlockingIOError:  # SO_RCVTIMEO has expired
                if self.buffer is None or time.monotonic() - self.partial_since < self.partial_line_timeout:
                    continue
                raise LineError("half-line") from None
            if not received:
                raise LineError("half-line")
            self.filled += received
            end = self.buffer.rfind(b"\n", 0, self.filled) + 1
            if end:
                complete = bytes(memoryview(self.buffer)[:end])
                self.filled -= end
                if self.filled:
                    self.buffer[: self.filled] = self.buffer[end : end + self.filled]
                    self.partial_since = time.monotonic()
                else:
                    self.discard_buffer()
                return complete
            if self.filled == len(self.buffer):
                raise LineError("long-line")

    def peek(self):
        """Blocks until there is input; returns b"" at the end of the connection."""
        with self.lock:
            self.idle = True
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        finally:
            with self.lock:
                self.idle = False
                if self.released:
                    raise SocketReleasedError

    def reclaim(self):
        """Undoes `try_release`. True if the thread that was waiting in `peek` has returned meanwhile."""
        with self.lock:
            self.released = False
            return not self.idle

    def discard_buffer(self):
        """Discards what was read and returns the buffer to the pool."""
        if self.buffer is not None:
            self.pool.release(self.buffer)
            self.buffer, self.filled = None, 0


def try_release(readers):
    """Makes the given readers leave their sockets alone, if all of them are idle; returns whether they were.

    Must not be called from several threads at once.
    """
    with contextlib.ExitStack() as locks:
        for reader in readers:
            locks.enter_context(reader.lock)
        if not all(reader.idle for reader in readers):
            return False
        for reader in readers:
            reader.released = True
        return True


@dataclass(frozen=True)
class OpenRequest:
    """A client's first line (`OPEN`), parsed."""

    line: bytes  # unchanged, as received
    id: str
    type: int
    timeout: int  # microseconds that the client waits for an answer; 0: not given
    key: str = None
    group: str = None
    tenant: int = 0
    load: float = 0.0  # announced by the client; 0: not given
    returned: bool = False  # the client is back after a break or a move
    held_by: str = None  # the host at which the call is open already


def group_key(name):
    """The key under which a group is remembered; every node has the same one.

    A long name is replaced by its digest: a line has room for names of nearly 4 KiB, and as many groups are
    remembered as records are kept.
    """
    if len(name) <= MAX_GROUP_LENGTH:
        return name
    return hashlib.sha256(name.encode()).hexdigest()


def parse_open(line, types, tenants, use_groups, max_wait):
    """Parses `OPEN ID KEY NAME=VALUE,..`; raises LineError with the reason code.

    `types` and `tenants` map names to numbers; `max_wait` is in microseconds.
    """
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
        timeout = NUMBER.fullmatch(pairs.get("d", "0"))[0]
        load = float(pairs.get("h", 0))
    except (TypeError, ValueError):
        raise LineError("garbled") from None
    # Hosts answer an absurdly long wait with ERR, which made every host that was tried look broken.
    if not 0 <= load < 1e15 or len(timeout) > 15 or "at" not in pairs and int(timeout) * 1000 > max_wait:
        raise LineError("garbled")
    timeout = int(timeout) * 1000
    group = pairs.get("g")
    return OpenRequest(
        line,
        words[1],
        types[pairs["c"]],
        timeout,
        words[2],
        group_key(group) if use_groups and group is not None else None,
        tenants.get(pairs.get("t"), 0),
        load,
        pairs.get("again") == "1",
        pairs.get("at"),
    )


def call_id(data):
    """The id in a client's first line, which need not be valid otherwise; None if it has none."""
    words = data.partition(b"\n")[0].split(b" ")
    id = words[1].decode("ascii", "replace") if len(words) == 4 and words[0] == b"OPEN" else ""
    return id if WORD.fullmatch(id) else None


def traffic_type_name(line):
    """The name of the traffic type in a first line that need not be valid otherwise; "" if it has none."""
    match = re.match(rb"OPEN [^ ]+ [^ ]+ (?:[^ ]*,)?c=([^ ,\r\n]*)", line)
    return match[1].decode("ascii", "replace") if match else ""


def open_for_host(line, timeout):
    """The first line as it is forwarded to a host, with `d` set to the time that this node will wait.

    `timeout` is in microseconds, `d` in milliseconds.
    """
    return re.sub(rb"(?<=[ ,])d=\d+", b"d=%d" % max(1, timeout // 1000), line, count=1)


def busy_line(retry_after):
    """A `BUSY` line. `retry_after`: microseconds after which the client should come back; 0: not given."""
    return b"BUSY %d\r\n" % (retry_after // 1000) if retry_after else b"BUSY\r\n"


def parse_answer(line, rest=b""):
    """Parses a host's first line: None if it accepted the call, else how the leg ended.

    `rest`: input that came after the line. A refusal followed by more input is not trusted and counts as an
    error.
    """
    words = line.split()
    if not words or words[0] == b"UP":
        return None if len(words) > 1 else Ending.ERROR  # UP without a receipt is not valid
    return Ending.ERROR if rest else ENDINGS.get(words[0], Ending.ERROR)


def parse_probe_answer(line):
    """Parses a host's answer to STATS: (how the probe ended, the values of its load report by name).

    Any answer other than `PONG` and `ERR` (the host has too many probes, or allows none) carries no
    information and gives FULL. Values that are not numbers are left out.
    """
    word, _, rest = line.strip().partition(b" ")
    return {b"PONG": Ending.OK, b"ERR": Ending.ERROR}.get(word, Ending.FULL), (
        parse_load_report(rest.decode("latin-1")) if word == b"PONG" else {}
    )


def parse_load(line):
    """The value of a host's `LOAD X` line; None for any other line."""
    if not line.startswith(b"LOAD "):
        return None
    try:
        load = float(line[5:])
    except ValueError:
        return None
    return load if 0 <= load < 1e15 else None
