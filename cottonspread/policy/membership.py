"""Membership: the servers of the fleet, by the server list."""

from cottonspread.interface import ListUpdateKind
from cottonspread.state import SECOND
from cottonspread.structures import NominalSizes, ServerTable


class Membership(ServerTable):
    """The listed servers with their sizes, and the times of polls where the list is polled."""

    # From the start of a failed poll to the next one: a change counts as known 6 s after it could be read.
    MAX_POLL_GAP = 9 * SECOND // 2

    def __init__(self, rng, settings, dynamic_weights):
        """`dynamic_weights`: whether listed weights vary with load, see `NominalSizes`."""
        super().__init__()
        self.rng, self.settings, self.failures = rng, settings, 0
        self.sizes = NominalSizes(dynamic_weights)

    def apply_update(self, update):
        """Applies a list update.

        Returns (servers that are not up, servers that were restarted, whether more than dynamic weights
        changed).
        """
        withdrawn, restarted, known, changed = (
            [],
            [],
            len(self.hosts),
            update.kind is not ListUpdateKind.CHANGES,
        )
        for host, entry in self.merge(update):
            changed = (
                self.sizes.update(entry, host.entry) or changed or not entry.equals_except_weight(host.entry)
            )
            if entry.started > host.entry.started:
                restarted.append(host)
            host.entry = entry
            if not host.up:
                withdrawn.append(host)
        changed = changed or len(self.hosts) > known
        for host in self.hosts.values() if changed else ():
            host.size = self.sizes.size_of(host.entry)
        return withdrawn, restarted, changed

    def poll_delay(self, took):
        """Microseconds until the next poll, after one that failed and took `took` microseconds.

        The first retry is spread over the poll interval, as far as `MAX_POLL_GAP` allows for changes that the
        list has meanwhile; later ones fall in the last quarter of that time. An overloaded list answers no
        node in time while all retry at once.
        """
        self.failures += 1
        most = max(SECOND, min(self.settings.poll_interval, self.MAX_POLL_GAP - took))
        least = max(0, most * 3 // 4 - took) if self.failures > 1 else 0
        return least + self.rng.below(most - least)
