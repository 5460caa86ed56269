"""The connections and hosts with pending work, which are the only ones that the reducer's timers examine.

A node holds tens of thousands of connections, of which few are writing, closing or waiting for an echo at
any time. Timers that walked all of them several times a second used more CPU than a node may spend on
control. Code that starts some work adds the item here; items without pending work are removed when they are
next examined.
"""


class Busy:
    """Items with pending work, listed in a fixed order."""

    def __init__(self, still, came):
        """`still(item)`: whether the item still has pending work; `came(item)`: its sort key."""
        self.still, self.came = still, came
        self.noted = {}
        self.looked_at = 0  # how many items were examined so far, for tests

    def note(self, one):
        """Adds an item that now has pending work."""
        self.noted[one] = None

    def all(self):
        """The items that still have pending work; the others are removed."""
        self.looked_at += len(self.noted)
        self.noted = {one: None for one in self.noted if self.still(one)}
        return sorted(self.noted, key=self.came)


def connection_is_busy(conn):
    """Whether an endpoint is writing or closing, or the client has not sent its first line yet."""
    if conn.client.freed:
        return False
    if conn.opening is None and not conn.reason:
        return True
    ends = [conn.client] + [leg.end for leg in conn.legs if leg.end is not None]
    return any((end.writing or end.closing) and not end.freed for end in ends)


def host_is_busy(host):
    """Whether a line sent to the host awaits its echo, or a reported delay is still undecided."""
    return bool(host.legs) and (bool(host.waiting.noted) or host.notes.unsettled())
