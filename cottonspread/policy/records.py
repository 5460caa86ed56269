"""Session affinity: a key goes back to the server that took it before."""

from cottonspread.state import SECOND
from cottonspread.structures import AgedMap


class Records(AgedMap):
    """Bounded memory of the server chosen for each key, dropped when idle since its connection ended."""

    IDLE = 600 * SECOND  # the design page's start; its floor is several minutes
    MOST = 50_000  # bounds memory to a few MiB

    def find(self, key, now):
        """The key's server, or None."""
        self.trim(now - self.IDLE, self.MOST)
        return self.get(key)

    def put(self, key, host, now):
        """From now on the key belongs to `host`; a call without a key leaves no record."""
        if key is not None:
            super().put(key, host, now)
