"""A small HTTP/1.1 client for one address: GET, and POST of JSON; answers bounded in size and time."""

import contextlib
import socket
import time

MAX_HEAD, MAX_BODY = 16 * 1024, 8 * 1024 * 1024


class ResponseError(ValueError):
    """What came back is no HTTP answer that can be used."""


class HttpClient:
    """Keeps its connection from one call to the next where the other side allows it."""

    def __init__(self, address, connect_timeout):
        self.address, self.connect_timeout = address, connect_timeout
        self.sock, self.buffered, self.deadline, self.aborted = None, b"", 0.0, False
        self.response_started = False  # whether anything of the answer to the call that is out has come

    def abort(self):
        """From another thread: a call that is out ends at once, and none begins."""
        self.aborted, sock = True, self.sock
        if sock is not None:
            with contextlib.suppress(OSError):  # ended already
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.sock, self.buffered = None, b""

    def get(self, path, wait):
        """The body of the answer, within `wait` seconds for all of it; OSError or
        ResponseError if there is none.
        """
        return self.request(path, wait, None)

    def post(self, path, wait, body):
        """As `get`, with JSON as bytes. It may be sent twice, so only what may come twice goes this way."""
        return self.request(path, wait, body)

    def request(self, path, wait, body):
        """What `get` and `post` have in common; `body`: None for GET."""
        reused = self.sock is not None
        self.deadline = time.monotonic() + wait
        try:
            try:
                return self.exchange(path, body)
            except (ConnectionError, ResponseError):
                # Only a reused connection may have been closed in the meantime, which tells nothing. An
                # answer that says no, or is none, would only be had again.
                if not reused or self.response_started or self.aborted:
                    raise
                self.close()
                # In what is left of the time, so that two silences take no longer than one.
                return self.exchange(path, body)
        except (OSError, ResponseError):
            self.close()
            raise

    def exchange(self, path, body):
        self.response_started = bool(self.buffered)
        if self.sock is None:
            wait = min(self.time_left(), self.connect_timeout)
            self.sock = socket.create_connection(self.address, timeout=wait)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.aborted:  # just while it was connecting
            raise ConnectionAbortedError("given up")
        host = "{}:{}".format(*self.address)
        method, size = ("GET", "") if body is None else ("POST", f"Content-Length: {len(body)}\r\n")
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n{size}\r\n"
        self.sock.settimeout(self.time_left())
        self.sock.sendall(head.encode() + (body or b""))
        status, headers = self.read_head()
        while 100 <= status < 200:
            status, headers = self.read_head()
        keep = headers.get("connection", "").lower() != "close"
        answer, keep = self.read_body(headers, keep)
        if not keep:
            self.close()
        if status != 200:
            raise ResponseError(f"status {status}")
        return answer

    def time_left(self):
        """Seconds left for the answer; TimeoutError if there are none."""
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the answer takes too long")
        return left

    def receive(self):
        self.sock.settimeout(self.time_left())
        got = self.sock.recv(65536)
        self.buffered += got
        self.response_started = self.response_started or bool(got)
        return bool(got)

    def read_line(self, limit):
        while (end := self.buffered.find(b"\n")) < 0:
            if len(self.buffered) > limit or not self.receive():
                raise ResponseError("cut off or too long in its head")
        line, self.buffered = self.buffered[:end].rstrip(b"\r"), self.buffered[end + 1 :]
        return line

    def read_head(self):
        words = self.read_line(MAX_HEAD).split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise ResponseError("no status line")
        headers, size = {}, 0
        if words[0] == b"HTTP/1.0":
            headers["connection"] = "close"
        while line := self.read_line(MAX_HEAD):
            size += len(line)
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or size > MAX_HEAD:
                raise ResponseError("headers cannot be read")
            headers[name.strip().lower()] = value.strip()
        return int(words[1]), headers

    def read_exactly(self, count):
        if count > MAX_BODY:
            raise ResponseError("body too large")
        while len(self.buffered) < count:
            if not self.receive():
                raise ResponseError("body cut off")
        taken, self.buffered = self.buffered[:count], self.buffered[count:]
        return taken

    def read_body(self, headers, keep):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.read_chunks(), keep
        if "content-length" in headers:
            if not headers["content-length"].isdigit():
                raise ResponseError("length cannot be read")
            return self.read_exactly(int(headers["content-length"])), keep
        while self.receive():  # up to the end of the connection
            if len(self.buffered) > MAX_BODY:
                raise ResponseError("body too large")
        return self.buffered, False

    def read_chunks(self):
        parts, size = [], 0
        while True:
            try:
                count = int(self.read_line(1024).split(b";")[0], 16)
            except ValueError:
                raise ResponseError("chunk size cannot be read") from None
            size += count
            if count < 0 or size > MAX_BODY:
                raise ResponseError("body too large")
            if not count:
                while self.read_line(MAX_HEAD):
                    pass
                return b"".join(parts)
            parts.append(self.read_exactly(count))
            self.read_line(1024)
