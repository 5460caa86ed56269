"""Session affinity: a key goes back to the server that took it before."""

from cottonspread.state import SECOND
from cottonspread.structures import LruMap


class Records(LruMap):
    """Bounded memory of the server chosen for each key, dropped when idle since its connection ended."""

    IDLE = 600 * SECOND
    MOST = 50_000  # of keys without a connection, so bounds memory to a few MiB

    def find(self, key, now, held):
        """The key's server, or None. `held`: connections held, each of which may have a key of its own."""
        self.trim(now - self.IDLE, self.MOST + held)
        return self.get(key)
