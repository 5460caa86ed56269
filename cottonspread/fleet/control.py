"""What the processes of a fleet say to each other: JSON lines on stream sockets in the
state folder; locks and pid files there.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import resource
import socket

MAX_SOCKET_PATH = 100  # of a socket: the kernel takes 107 bytes
MOST_WAITING = 1 << 20  # bytes that a peer may leave unread


def digest(text):
    """A short name of a text: a status sent twice a second carries it instead of kilobytes of settings."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class JsonConnection:
    """One end of a connection that carries JSON lines, never waiting.

    False from `receive` and `send`: it is over.
    """

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock, self.rest, self.unsent = sock, b"", b""

    def receive(self):
        """What has come, as objects, and whether the connection still stands."""
        said, stands = [], True
        try:
            while True:
                data = self.sock.recv(65536)
                if not data:
                    stands = False
                    break
                self.rest += data
        except BlockingIOError:
            pass
        except OSError:
            stands = False
        *whole, self.rest = self.rest.split(b"\n")
        try:
            said = [one for one in map(json.loads, whole) if isinstance(one, dict)]
        except ValueError:
            stands = False
        return said, stands and len(self.rest) < MOST_WAITING

    def send(self, said):
        self.unsent += json.dumps(said, default=str).encode() + b"\n"
        return self.flush()

    def flush(self):
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return len(self.unsent) < MOST_WAITING


def connect(path, wait=1.0):
    """A blocking connection to a control socket. Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(wait)
        sock.connect(path)
    except OSError:
        sock.close()
        raise
    return sock


def unlink(path):
    """Whoever ends removes its own socket too, perhaps just now."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)


def listen(path):
    """A control socket at this path; what an earlier process left there is removed.

    Only its owner may connect.
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
    """This process's limit on descriptors goes up to `need`, if it may; the limit that it cannot pass."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, need)), hard))
    return hard


class Lock:
    """A file that one process holds at a time.

    The kernel lets go of it when the holder is gone, however it ended.
    """

    def __init__(self, path):
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def acquire(self):
        """False: another process has it."""
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        try:
            os.ftruncate(self.file, 0)
            os.pwrite(self.file, b"%d\n" % os.getpid(), 0)
        except OSError:  # a full disk: the lock holds all the same
            pass
        return True

    def holder_pid(self):
        """The pid that the last holder wrote; it says nothing unless the lock is taken."""
        return os.pread(self.file, 32, 0).decode(errors="replace").strip() or "unknown"

    def release(self):
        fcntl.flock(self.file, fcntl.LOCK_UN)
