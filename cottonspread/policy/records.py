"""Session affinity: a key returns to the server that accepted it before."""

from cottonspread.state import SECOND
from cottonspread.structures import LruMap


class Records(LruMap):
    """The server chosen for each key; bounded, and dropped some time after the key's connection ended."""

    IDLE_TIMEOUT = 600 * SECOND
    MAX_IDLE_KEYS = 50_000  # keys without a connection

    def __init__(self, max_idle_keys=0):
        """`max_idle_keys`: a lower limit than `MAX_IDLE_KEYS`, for a process with little memory; 0: none."""
        super().__init__()
        self.max_idle_keys = max_idle_keys or self.MAX_IDLE_KEYS

    def find(self, key, now, open_calls):
        """The key's server, or None; `open_calls`: open calls, each of which may have a key of its own."""
        self.trim(now - self.IDLE_TIMEOUT, min(self.max_idle_keys, self.MAX_IDLE_KEYS) + open_calls)
        return self.get(key)
