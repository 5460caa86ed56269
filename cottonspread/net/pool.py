"""Buffers of one size, used again."""

from collections import deque

BUFFER_SIZE = 4096 + 2  # the longest line with its CRLF


class BufferPool:
    """Lends buffers; keeps at most `spare` of those given back."""

    def __init__(self, spare=64):
        self.free, self.spare, self.allocated = deque(maxlen=spare), spare, 0

    def acquire(self):
        try:
            return self.free.pop()
        except IndexError:
            self.allocated += 1
            return bytearray(BUFFER_SIZE)

    def release(self, buffer):
        self.free.append(buffer)  # beyond `spare` the oldest falls out and is freed
