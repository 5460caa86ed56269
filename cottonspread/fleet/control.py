"""Control sockets and lock files of the processes of a fleet, in the state folder."""

import contextlib
import fcntl
import hashlib
import os
import resource
import socket

MAX_SOCKET_PATH = 100  # bytes of a socket's path: the kernel allows 107


def digest(text):
    """Returns a short hash of a text.

    A status, sent twice a second, carries it instead of kilobytes of settings.
    """
    return hashlib.sha256(text.encode()).hexdigest()[:16]


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


def connect_now(path):
    """Returns a connection to a control socket without waiting, non-blocking. Raises OSError.

    BlockingIOError: the other side has yet to accept earlier connections.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
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
