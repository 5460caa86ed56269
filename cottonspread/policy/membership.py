"""Membership: which servers there are, as the list tells."""

from cottonspread.interface import ListUpdateKind
from cottonspread.state import SECOND
from cottonspread.structures import NominalSizes, ServerTable


class Membership(ServerTable):
    """The servers that the list names, what they can do, and the asking where the list must be asked."""

    MAX_POLL_GAP = 9 * SECOND // 2  # from a call that fails to the next: after 6 s a change counts as told

    def __init__(self, rng, settings, dynamic_weights):
        super().__init__()
        self.rng, self.settings, self.failures = rng, settings, 0
        self.sizes = NominalSizes(dynamic_weights)

    def apply_update(self, listed):
        """Takes in a word from the list; returns (servers now unfit for records, servers started anew,
        whether more is new than weights that move)."""
        lost, started, known, new = [], [], len(self.hosts), listed.kind is not ListUpdateKind.CHANGES
        for host, entry in self.merge(listed):
            new = self.sizes.update(entry, host.entry) or new or not entry.equals_except_weight(host.entry)
            if entry.started > host.entry.started:
                started.append(host)
            host.entry = entry
            if not host.up:
                lost.append(host)
        new = new or len(self.hosts) > known
        for host in self.hosts.values() if new else ():
            host.size = self.sizes.size_of(host.entry)
        return lost, started, new

    def poll_delay(self, took):
        """Microseconds until the list is asked again, after a call that failed and took so long. Spread over
        the time in which each node is to ask once, as far as a change that the list has by now allows, then
        late in it: an overbooked list answers nobody in time while nodes ask again at once."""
        self.failures += 1
        most = max(SECOND, min(self.settings.poll_interval, self.MAX_POLL_GAP - took))
        least = max(0, most * 3 // 4 - took) if self.failures > 1 else 0
        return least + self.rng.below(most - least)
