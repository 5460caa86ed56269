"""A small HTTP/1.1 client for one address: GET, and POST of JSON; answers bounded in size and time."""

import contextlib
import socket
import time

MOST_HEAD, MOST_BODY = 16 * 1024, 8 * 1024 * 1024


class ResponseError(ValueError):
    """What came back is no HTTP answer that can be used."""


class Http:
    """Keeps its connection from one call to the next where the other side allows it."""

    def __init__(self, address, connect_wait):
        self.address, self.connect_wait = address, connect_wait
        self.sock, self.rest, self.until, self.given_up = None, b"", 0.0, False
        self.heard = False  # whether anything of the answer to the call that is out has come

    def give_up(self):
        """From another thread: a call that is out ends at once, and none begins."""
        self.given_up, sock = True, self.sock
        if sock is not None:
            with contextlib.suppress(OSError):  # ended already
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.sock, self.rest = None, b""

    def get(self, path, wait):
        """The body of the answer, within `wait` seconds for all of it; OSError or
        ResponseError if there is none.
        """
        return self.ask(path, wait, None)

    def post(self, path, wait, body):
        """As `get`, with JSON as bytes. It may be sent twice, so only what may come twice goes this way."""
        return self.ask(path, wait, body)

    def ask(self, path, wait, body):
        """What `get` and `post` have in common; `body`: None for GET."""
        kept = self.sock is not None
        self.until = time.monotonic() + wait
        try:
            try:
                return self.call(path, body)
            except (ConnectionError, ResponseError):
                # Only a kept connection may have been closed in the meantime, which tells nothing. An answer
                # that says no, or is none, would only be had again.
                if not kept or self.heard or self.given_up:
                    raise
                self.close()
                # In what is left of the time, so that two silences take no longer than one.
                return self.call(path, body)
        except (OSError, ResponseError):
            self.close()
            raise

    def call(self, path, body):
        self.heard = bool(self.rest)
        if self.sock is None:
            wait = min(self.left(), self.connect_wait)
            self.sock = socket.create_connection(self.address, timeout=wait)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.given_up:  # just while it was connecting
            raise ConnectionAbortedError("given up")
        host = "{}:{}".format(*self.address)
        method, size = ("GET", "") if body is None else ("POST", f"Content-Length: {len(body)}\r\n")
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n{size}\r\n"
        self.sock.settimeout(self.left())
        self.sock.sendall(head.encode() + (body or b""))
        status, headers = self.head()
        while 100 <= status < 200:
            status, headers = self.head()
        keep = headers.get("connection", "").lower() != "close"
        answer, keep = self.body(headers, keep)
        if not keep:
            self.close()
        if status != 200:
            raise ResponseError(f"status {status}")
        return answer

    def left(self):
        """Seconds left for the answer; TimeoutError if there are none."""
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError("the answer takes too long")
        return left

    def more(self):
        self.sock.settimeout(self.left())
        got = self.sock.recv(65536)
        self.rest += got
        self.heard = self.heard or bool(got)
        return bool(got)

    def line(self, most):
        while (end := self.rest.find(b"\n")) < 0:
            if len(self.rest) > most or not self.more():
                raise ResponseError("cut off or too long in its head")
        line, self.rest = self.rest[:end].rstrip(b"\r"), self.rest[end + 1 :]
        return line

    def head(self):
        words = self.line(MOST_HEAD).split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise ResponseError("no status line")
        headers, size = {}, 0
        if words[0] == b"HTTP/1.0":
            headers["connection"] = "close"
        while line := self.line(MOST_HEAD):
            size += len(line)
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or size > MOST_HEAD:
                raise ResponseError("headers cannot be read")
            headers[name.strip().lower()] = value.strip()
        return int(words[1]), headers

    def exactly(self, count):
        if count > MOST_BODY:
            raise ResponseError("body too large")
        while len(self.rest) < count:
            if not self.more():
                raise ResponseError("body cut off")
        taken, self.rest = self.rest[:count], self.rest[count:]
        return taken

    def body(self, headers, keep):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.chunks(), keep
        if "content-length" in headers:
            if not headers["content-length"].isdigit():
                raise ResponseError("length cannot be read")
            return self.exactly(int(headers["content-length"])), keep
        while self.more():  # up to the end of the connection
            if len(self.rest) > MOST_BODY:
                raise ResponseError("body too large")
        return self.rest, False

    def chunks(self):
        parts, size = [], 0
        while True:
            try:
                count = int(self.line(1024).split(b";")[0], 16)
            except ValueError:
                raise ResponseError("chunk size cannot be read") from None
            size += count
            if count < 0 or size > MOST_BODY:
                raise ResponseError("body too large")
            if not count:
                while self.line(MOST_HEAD):
                    pass
                return b"".join(parts)
            parts.append(self.exactly(count))
            self.line(1024)
