"""Buffers of one size, used again."""

from collections import deque

SIZE = 4096 + 2  # the longest line with its CRLF


class Pool:
    """Lends buffers; keeps at most `spare` of those given back."""

    def __init__(self, spare=64):
        self.free, self.spare, self.made = deque(maxlen=spare), spare, 0

    def take(self):
        try:
            return self.free.pop()
        except IndexError:
            self.made += 1
            return bytearray(SIZE)

    def give(self, buffer):
        self.free.append(buffer)  # beyond `spare` the oldest falls out and is freed
