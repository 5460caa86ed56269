"""The ids of calls that two processes of one node have taken while one replaces the other.

Both accept connections for a while, and a client may come to either. So each process appends the id of every
call to a file, and then reads what is there: the process whose record of an id is the first has the call. The
kernel puts the records of both into one order, and neither ever waits for the other, which may hang or be
stopped.

The successor makes the file before it asks the predecessor for its state. Each holds a lock on a byte of the
file, which the kernel releases when the process ends, however it ended.
"""

import contextlib
import fcntl
import os
import struct
from collections import OrderedDict

# struct flock of <fcntl.h> on 64-bit Linux: type, whence, start, length, pid. Used for locks of open file
# descriptions: others end when the process closes another descriptor of the file.
FLOCK = struct.Struct("@hhqqi4x")
SUCCESSOR, PREDECESSOR = 0, 1  # the byte that each locks
READ_SIZE = 1024 * 1024
RECORD_SIZE = 96  # bytes of the longest record
ADDED_DIVISOR = 2  # ids taken before fill at most 1 / this of the file, so that there is room for new ones


class SharedIdsError(OSError):
    """The file cannot be shared any more."""


class SharedIds:
    """One process's side of the file."""

    def __init__(self, fd, path, role, max_ids, max_size):
        """`role`: the byte that this process locks; `max_ids`: how many ids are kept in memory.

        `max_size`: bytes of the file; ids are not shared beyond it.
        """
        self.fd, self.path, self.role, self.max_ids, self.max_size = fd, path, role, max_ids, max_size
        self.claims, self.position, self.partial_line = 0, 0, b""
        self.first = OrderedDict()  # by id: the mark of the first record
        if not self.lock(role):
            raise SharedIdsError("another process has this role")

    @classmethod
    def create(cls, path, max_ids, max_size):
        """Makes the file, as the successor; one that an earlier process left is replaced. Raises OSError."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        fd = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        return cls.with_descriptor(fd, path, SUCCESSOR, max_ids, max_size)

    @classmethod
    def join(cls, path, max_ids, max_size):
        """Opens the successor's file, as the predecessor. Raises OSError."""
        fd = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        shared = cls.with_descriptor(fd, path, PREDECESSOR, max_ids, max_size)
        if shared.peer_has_ended():
            shared.close()
            raise SharedIdsError("its successor has ended")
        return shared

    @classmethod
    def with_descriptor(cls, fd, *arguments):
        """As the constructor; closes the descriptor if that fails."""
        try:
            return cls(fd, *arguments)
        except OSError:
            os.close(fd)
            raise

    def lock(self, byte):
        """Locks a byte of the file until the process ends; returns whether no other process holds it."""
        try:
            fcntl.fcntl(self.fd, fcntl.F_OFD_SETLK, FLOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, byte, 1, 0))
            return True
        except BlockingIOError:
            return False

    def peer_has_ended(self):
        """Whether the other process does not hold its lock: it has ended, or has not joined yet."""
        byte = PREDECESSOR if self.role == SUCCESSOR else SUCCESSOR
        request = FLOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, byte, 1, 0)
        return FLOCK.unpack(fcntl.fcntl(self.fd, fcntl.F_OFD_GETLK, request))[0] == fcntl.F_UNLCK

    def claim(self, id):
        """Claims an id; returns False if it is taken, here or by the other process.

        Raises OSError if the file cannot be written or has grown too long.
        """
        mark = self.append([id])
        self.read()
        return self.first.get(id.encode(), mark) == mark

    def add(self, ids):
        """Adds ids that this process has taken already, the last ones if there are many. Raises OSError."""
        self.append(ids[-(self.max_size // ADDED_DIVISOR // RECORD_SIZE) :])
        self.read()

    def append(self, ids):
        """Appends a record for each id with one mark, in one write; returns the mark."""
        self.claims += 1
        mark = b"%d.%d" % (self.role, self.claims)
        # Begins with the end of a line: a record that another process wrote in part, because the file system
        # is full, must not spoil this one.
        data = b"\n" + b"".join(b"%s %s\n" % (id.encode(), mark) for id in ids)
        if self.position + len(data) > self.max_size or os.write(self.fd, data) != len(data):
            raise SharedIdsError("the file cannot grow any more")
        return mark

    def read(self):
        """Reads all records that have been appended since the last time."""
        while data := os.pread(self.fd, READ_SIZE, self.position):
            self.position += len(data)
            *records, self.partial_line = (self.partial_line + data).split(b"\n")
            for record in records:
                self.add_record(record)

    def add_record(self, record):
        """Adds one record, unless an earlier one has the same id."""
        id, _, mark = record.partition(b" ")
        if not mark or id in self.first:
            return
        self.first[id] = mark
        if len(self.first) > self.max_ids:
            self.first.popitem(last=False)

    def all(self):
        """Returns all ids that either process has taken, as far as they are kept."""
        return [id.decode() for id in self.first]

    def is_file(self, path):
        """Whether this is the file with that path now."""
        try:
            return os.path.samestat(os.stat(path), os.fstat(self.fd))
        except FileNotFoundError:
            return False

    def close(self):
        """Closes the file, which releases the lock; the successor removes it."""
        if self.role == SUCCESSOR and self.is_file(self.path):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
        os.close(self.fd)
