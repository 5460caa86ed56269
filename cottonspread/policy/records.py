"""Session affinity: a key goes back to the server that took it before."""

from cottonspread.state import SECOND
from cottonspread.structures import LruMap


class Records(LruMap):
    """Bounded memory of the server chosen for each key, dropped when idle since its connection ended."""

    IDLE_TIMEOUT = 600 * SECOND
    MAX_IDLE_KEYS = 50_000  # of keys without a connection, so bounds memory to a few MiB

    def find(self, key, now, open_calls):
        """The key's server, or None. `open_calls`: calls held, each of which may have a key of its own."""
        self.trim(now - self.IDLE_TIMEOUT, self.MAX_IDLE_KEYS + open_calls)
        return self.get(key)
