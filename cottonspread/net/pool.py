"""A pool of read buffers of one size."""

from collections import deque

BUFFER_SIZE = 4096 + 2  # the longest line of the protocol and its CRLF


class BufferPool:
    """Hands out buffers and keeps at most `spare` released ones for reuse."""

    def __init__(self, spare=64):
        """`spare`: how many free buffers are kept."""
        self.free, self.spare, self.allocated = deque(maxlen=spare), spare, 0

    def acquire(self):
        """A free buffer, or a new one."""
        try:
            return self.free.pop()
        except IndexError:
            self.allocated += 1
            return bytearray(BUFFER_SIZE)

    def release(self, buffer):
        """Returns a buffer to the pool."""
        self.free.append(buffer)  # when `spare` are free the oldest is dropped
