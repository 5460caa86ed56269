"""A small HTTP/1.1 client for one address: GET, and POST of JSON, with limits on response size and time."""

import contextlib
import socket
import time

MAX_HEAD, MAX_BODY = 16 * 1024, 8 * 1024 * 1024


class ResponseError(ValueError):
    """The response is malformed, too large, cut off or has a status other than 200."""


class HttpClient:
    """Keeps its connection alive between requests where the server allows it."""

    def __init__(self, address, connect_timeout):
        """`address`: (host, port); `connect_timeout`: seconds."""
        self.address, self.connect_timeout = address, connect_timeout
        self.sock, self.buffered, self.deadline, self.aborted = None, b"", 0.0, False
        self.response_started = False  # whether any byte of the current response has been received

    def abort(self):
        """Ends the current request at once and refuses further ones. Called from another thread."""
        self.aborted, sock = True, self.sock
        if sock is not None:
            with contextlib.suppress(OSError):  # already closed
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Closes the connection; the next request opens a new one."""
        if self.sock is not None:
            self.sock.close()
        self.sock, self.buffered = None, b""

    def get(self, path, timeout):
        """Returns the response body. `timeout`: seconds for the whole request.

        Raises OSError or ResponseError.
        """
        return self.request(path, timeout, None)

    def post(self, path, timeout, body):
        """As `get`, with JSON as bytes. May send the request twice, so it must be idempotent."""
        return self.request(path, timeout, body)

    def request(self, path, timeout, body):
        """Common part of `get` and `post`; `body`: None for GET."""
        reused = self.sock is not None
        self.deadline = time.monotonic() + timeout
        try:
            try:
                return self.exchange(path, body)
            except (ConnectionError, ResponseError):
                # Retry only if a reused connection failed before any response byte: the server may have
                # closed it while it was idle. An error response would only be repeated.
                if not reused or self.response_started or self.aborted:
                    raise
                self.close()
                # The retry gets only the time left, so that two timeouts in a row take no longer than one.
                return self.exchange(path, body)
        except (OSError, ResponseError):
            self.close()
            raise

    def exchange(self, path, body):
        """Sends one request and returns the response body, connecting first if there is no connection."""
        self.response_started = bool(self.buffered)
        if self.sock is None:
            connect_timeout = min(self.time_left(), self.connect_timeout)
            self.sock = socket.create_connection(self.address, timeout=connect_timeout)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.aborted:  # `abort` was called while connecting
            raise ConnectionAbortedError("request aborted")
        host = "{}:{}".format(*self.address)
        method, length_header = ("GET", "") if body is None else ("POST", f"Content-Length: {len(body)}\r\n")
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n{length_header}\r\n"
        self.sock.settimeout(self.time_left())
        self.sock.sendall(head.encode() + (body or b""))
        status, headers = self.read_head()
        while 100 <= status < 200:
            status, headers = self.read_head()
        keep_alive = headers.get("connection", "").lower() != "close"
        response_body, keep_alive = self.read_body(headers, keep_alive)
        if not keep_alive:
            self.close()
        if status != 200:
            raise ResponseError(f"status {status}")
        return response_body

    def time_left(self):
        """Seconds left until the deadline; raises TimeoutError if it has passed."""
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("response timed out")
        return left

    def receive(self):
        """Reads once from the socket into the buffer; returns False at the end of the stream."""
        self.sock.settimeout(self.time_left())
        data = self.sock.recv(65536)
        self.buffered += data
        self.response_started = self.response_started or bool(data)
        return bool(data)

    def read_line(self, limit):
        """Reads one line, without its line end; ResponseError if it is longer than about `limit` bytes."""
        while (end := self.buffered.find(b"\n")) < 0:
            if len(self.buffered) > limit or not self.receive():
                raise ResponseError("response head cut off or too long")
        line, self.buffered = self.buffered[:end].rstrip(b"\r"), self.buffered[end + 1 :]
        return line

    def read_head(self):
        """Reads the status line and the headers: (status, headers by lower-case name)."""
        words = self.read_line(MAX_HEAD).split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise ResponseError("no HTTP status line")
        headers, size = {}, 0
        if words[0] == b"HTTP/1.0":
            headers["connection"] = "close"
        while line := self.read_line(MAX_HEAD):
            size += len(line)
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or size > MAX_HEAD:
                raise ResponseError("malformed or too large headers")
            headers[name.strip().lower()] = value.strip()
        return int(words[1]), headers

    def read_exactly(self, count):
        """Reads `count` bytes of the body."""
        if count > MAX_BODY:
            raise ResponseError("body too large")
        while len(self.buffered) < count:
            if not self.receive():
                raise ResponseError("body cut off")
        data, self.buffered = self.buffered[:count], self.buffered[count:]
        return data

    def read_body(self, headers, keep_alive):
        """Reads the body: (body, whether the connection can be reused)."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.read_chunks(), keep_alive
        if "content-length" in headers:
            if not headers["content-length"].isdigit():
                raise ResponseError("invalid Content-Length")
            return self.read_exactly(int(headers["content-length"])), keep_alive
        while self.receive():  # no length given: the body ends with the connection
            if len(self.buffered) > MAX_BODY:
                raise ResponseError("body too large")
        return self.buffered, False

    def read_chunks(self):
        """Reads a body in chunked transfer encoding."""
        parts, size = [], 0
        while True:
            try:
                count = int(self.read_line(1024).split(b";")[0], 16)
            except ValueError:
                raise ResponseError("invalid chunk size") from None
            size += count
            if count < 0 or size > MAX_BODY:
                raise ResponseError("body too large")
            if not count:
                while self.read_line(MAX_HEAD):
                    pass
                return b"".join(parts)
            parts.append(self.read_exactly(count))
            self.read_line(1024)
