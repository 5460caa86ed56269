"""Communication between the processes of a fleet.

JSON lines on Unix stream sockets in the state folder, and lock files there.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import resource
import socket

MAX_SOCKET_PATH = 100  # bytes of a socket's path: the kernel allows 107
MAX_BUFFERED_BYTES = 1 << 20  # of an incomplete line or of unsent data, per connection


def digest(text):
    """Returns a short hash of a text.

    A status, sent twice a second, carries it instead of kilobytes of settings.
    """
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class JsonConnection:
    """One end of a non-blocking connection that carries JSON lines.

    If `receive` or `send` returns False, the connection is closed or broken.
    """

    def __init__(self, sock):
        """`sock`: a connected stream socket; it is made non-blocking."""
        sock.setblocking(False)
        self.sock, self.partial_line, self.unsent = sock, b"", b""

    def receive(self):
        """Returns the received objects and whether the connection is still open."""
        messages, is_open = [], True
        try:
            while True:
                data = self.sock.recv(65536)
                if not data:
                    is_open = False
                    break
                self.partial_line += data
        except BlockingIOError:
            pass
        except OSError:
            is_open = False
        *complete_lines, self.partial_line = self.partial_line.split(b"\n")
        try:
            messages = [one for one in map(json.loads, complete_lines) if isinstance(one, dict)]
        except ValueError:
            is_open = False
        return messages, is_open and len(self.partial_line) < MAX_BUFFERED_BYTES

    def send(self, message):
        """Sends an object; returns whether the connection is still open."""
        self.unsent += json.dumps(message, default=str).encode() + b"\n"
        return self.flush()

    def flush(self):
        """Sends buffered bytes; returns whether the connection is still open."""
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return len(self.unsent) < MAX_BUFFERED_BYTES


def connect(path, wait=1.0):
    """Returns a blocking connection to a control socket. Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(wait)
        sock.connect(path)
    except OSError:
        sock.close()
        raise
    return sock


def unlink(path):
    """Removes a socket file, which its owner may be removing at the same time."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)


def listen(path):
    """Listens on a control socket at this path; removes what an earlier process left there.

    Only the owner of the file may connect.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    unlink(path)
    mask = os.umask(0o177)
    try:
        sock.bind(path)
    finally:
        os.umask(mask)
    sock.listen(64)
    return sock


def raise_descriptor_limit(need):
    """Raises this process's soft limit on descriptors to `need` if allowed; returns the hard limit."""
    soft, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, max(soft, need)), hard_limit))
    return hard_limit


class Lock:
    """A file lock that one process holds at a time.

    The kernel releases it when the holder ends, however it ended.
    """

    def __init__(self, path):
        """Opens the lock file, creating it if necessary."""
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def acquire(self):
        """Acquires the lock without waiting; returns False if another process holds it."""
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        try:
            os.ftruncate(self.file, 0)
            os.pwrite(self.file, b"%d\n" % os.getpid(), 0)
        except OSError:  # the disk is full, but the lock is held
            pass
        return True

    def holder_pid(self):
        """Returns the pid that the last holder wrote; meaningful only while the lock is held."""
        return os.pread(self.file, 32, 0).decode(errors="replace").strip() or "unknown"

    def release(self):
        """Releases the lock."""
        fcntl.flock(self.file, fcntl.LOCK_UN)
