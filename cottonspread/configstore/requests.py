"""Reads HTTP/1.1 requests from the bytes of a connection, however they are cut. Does no I/O.

Each byte is looked at once: a client that sends a large request in small pieces must not cost the server the
whole request again with each piece.
"""

from dataclasses import dataclass

from cottonspread.configstore import messages as m

MAX_HEAD_BYTES = 8 * 1024
"""Bytes of a request's head: twice the longest query, which leaves room for the usual headers."""
MAX_LENGTH_DIGITS = 9
HEAD_END = b"\r\n\r\n"


class RequestError(ValueError):
    """A request that cannot be served; `status` is the HTTP status."""

    def __init__(self, status: int, why: str):
        """`why`: the text of the response."""
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Head:
    """What the server uses of a request's head."""

    method: str
    target: str
    body_size: int
    closes: bool
    """The client wants the connection closed after the reply."""


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    head: Head
    body: bytes


class RequestReader:
    """The received bytes of one connection that belong to no complete request yet."""

    def __init__(self):
        """Nothing has been received."""
        self.data = bytearray()
        """Without the head of the current request, once that has been read."""
        self._searched = 0
        """Bytes of `data` in which no head ends."""
        self._head: Head | None = None

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self.data += data

    def next_request(self) -> Request | None:
        """Returns the next request once it is complete. Raises RequestError."""
        if self._head is None and not self._find_head():
            return None
        head = self._head
        if len(self.data) < head.body_size:
            return None
        body = bytes(memoryview(self.data)[: head.body_size])
        del self.data[: head.body_size]
        self._head = None
        return Request(head, body)

    def _find_head(self) -> bool:
        end = self.data.find(HEAD_END, self._searched)
        if end > MAX_HEAD_BYTES or end < 0 and len(self.data) > MAX_HEAD_BYTES:
            raise RequestError(400, "the head is too long")
        if end < 0:
            self._searched = max(0, len(self.data) - len(HEAD_END) + 1)
            return False
        self._head = read_head(bytes(self.data[:end]))
        del self.data[: end + len(HEAD_END)]
        self._searched = 0
        return True


def read_head(data: bytes) -> Head:
    """Reads a head without its empty line. Raises RequestError."""
    first, *lines = data.decode("latin-1").split("\r\n")
    words = first.split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        raise RequestError(400, "invalid request line")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = headers.get("content-length", "0")
    is_number = size.isascii() and size.isdigit() and len(size) <= MAX_LENGTH_DIGITS
    if "transfer-encoding" in headers or not is_number:
        raise RequestError(400, "invalid Content-Length, or Transfer-Encoding, which is not supported")
    if int(size) > m.MAX_MESSAGE_BYTES:
        raise RequestError(400, f"the body is longer than {m.MAX_MESSAGE_BYTES} bytes")
    closes = words[2] == "HTTP/1.0" or headers.get("connection", "").lower() == "close"
    return Head(words[0], words[1], int(size), closes)
