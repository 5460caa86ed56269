"""Control connections between the processes of a fleet: JSON lines on Unix stream sockets, with descriptors.

No read and no write waits for the other side. What the socket does not take is kept, and written once it can
be: the owner's selector is told while there is any.
"""

import json
import os
import selectors
import socket
from collections import deque

MAX_LINE = 1 << 24  # bytes of a message: a configuration with its list of servers may be long
MAX_UNSENT = 1 << 20  # bytes behind the message that is being sent, to a side that does not read
MAX_DESCRIPTORS = 4  # that one message may carry
RECEIVE_SIZE = 1 << 16
# An instance of an earlier release sends its listening socket with this byte, between two lines.
EARLIER_DESCRIPTOR_MARK = b"."


class BackgroundWriter:
    """Writes a text to a pipe as the other side reads it, and closes the pipe then."""

    def __init__(self, selector, pipe, data):
        """`selector`: the event loop's, its data are callbacks; `pipe`: a file object; `data`: bytes."""
        self.selector, self.pipe, self.unsent = selector, pipe, memoryview(data)
        os.set_blocking(pipe.fileno(), False)
        selector.register(pipe, selectors.EVENT_WRITE, self.write)

    def write(self):
        """Writes what the pipe takes."""
        try:
            self.unsent = self.unsent[os.write(self.pipe.fileno(), self.unsent) :]
        except BlockingIOError:
            return
        except OSError:  # the other side has closed the pipe, or has ended, which is noticed elsewhere
            self.close()
            return
        if not self.unsent:
            self.close()

    def close(self):
        """Closes the pipe, once."""
        if not self.pipe.closed:
            self.selector.unregister(self.pipe)
            self.pipe.close()


class JsonConnection:
    """One end of a non-blocking connection that carries JSON lines.

    If `receive`, `send` or `flush` returns False, the connection is closed or broken. `descriptors`: those
    received and not yet taken by the owner.
    """

    def __init__(self, sock):
        """`sock`: a connected stream socket; it is made non-blocking."""
        sock.setblocking(False)
        self.sock, self.partial_line, self.descriptors = sock, b"", []
        self.unsent, self.unsent_bytes = deque(), 0  # (bytes, files whose descriptors go with the first one)
        self.selector = self.data = None
        self.received_bytes = 0

    # The owner's selector

    def watch(self, selector, data):
        """Registers with a selector: for reading, and for writing while anything is unsent."""
        self.selector, self.data = selector, data
        selector.register(self.sock, self.events(), data)

    def events(self):
        """Returns the events for which the owner has to call `receive` and `flush`."""
        return selectors.EVENT_READ | (selectors.EVENT_WRITE if self.unsent else 0)

    def update_events(self):
        """Tells the selector whether anything is unsent."""
        if self.selector and self.selector.get_key(self.sock).events != self.events():
            self.selector.modify(self.sock, self.events(), self.data)

    def unwatch(self):
        """Unregisters from the selector."""
        if self.selector:
            self.selector.unregister(self.sock)
            self.selector = None

    def close(self):
        """Unregisters and closes the connection, with descriptors that nobody has taken."""
        self.unwatch()
        self.sock.close()
        while self.descriptors:
            os.close(self.descriptors.pop())

    # Messages

    def receive(self):
        """Returns the received objects and whether the connection is still open."""
        messages, is_open = [], True
        try:
            while True:
                data, descriptors, _, _ = socket.recv_fds(
                    self.sock, RECEIVE_SIZE, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
                self.descriptors += descriptors
                if not data:
                    is_open = False
                    break
                self.received_bytes += len(data)
                self.partial_line += data
        except BlockingIOError:
            pass
        except OSError:
            is_open = False
        *complete_lines, self.partial_line = self.partial_line.split(b"\n")
        try:
            objects = [json.loads(line.removeprefix(EARLIER_DESCRIPTOR_MARK)) for line in complete_lines]
            messages = [one for one in objects if isinstance(one, dict)]
        except ValueError:
            is_open = False
        return messages, is_open and len(self.partial_line) < MAX_LINE

    def send(self, message, files=()):
        """Sends an object, with the descriptors of `files`; returns whether the connection is still open."""
        data = json.dumps(message, default=str).encode() + b"\n"
        self.unsent.append((data, tuple(files)))
        self.unsent_bytes += len(data)
        return self.flush()

    def flush(self):
        """Writes what the socket takes of the unsent data; returns whether the connection is still open."""
        try:
            while self.unsent:
                data, files = self.unsent[0]
                sent = self.write(data, files)
                self.unsent_bytes -= sent
                if sent == len(data):
                    self.unsent.popleft()
                else:
                    self.unsent[0] = data[sent:], ()
        except BlockingIOError:
            pass
        except OSError:
            return False
        self.update_events()
        first = len(self.unsent[0][0]) if self.unsent else 0
        return self.unsent_bytes - first < MAX_UNSENT

    def write(self, data, files):
        """Writes once; returns how many bytes the socket has taken."""
        if not files:
            return self.sock.send(data)
        return socket.send_fds(self.sock, [data], [file.fileno() for file in files])
