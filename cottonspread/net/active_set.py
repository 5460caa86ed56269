"""The connections and hosts with pending work, which are the only ones that the reducer's timers examine.

A node holds tens of thousands of connections, of which few are writing, closing or waiting for an echo at
any time. Timers that walked all of them several times a second used more CPU than a node may spend on
control. Code that starts some work adds the item here; items without pending work are removed when they are
next examined.
"""


class ActiveSet:
    """Items with pending work, listed in a fixed order."""

    def __init__(self, is_active, order):
        """`is_active(item)`: whether the item still has pending work; `order(item)`: its sort key."""
        self.is_active, self.order = is_active, order
        self.members = {}
        self.examined = 0  # how many items were examined so far, for tests

    def add(self, item):
        """Adds an item that now has pending work."""
        self.members[item] = None

    def active(self):
        """The items that still have pending work; the others are removed."""
        self.examined += len(self.members)
        self.members = {item: None for item in self.members if self.is_active(item)}
        return sorted(self.members, key=self.order)


def connection_is_active(conn):
    """Whether an endpoint is writing or closing, or the client has not sent its first line yet."""
    if conn.client.freed:
        return False
    if conn.request is None and not conn.reason:
        return True
    ends = [conn.client] + [leg.end for leg in conn.legs if leg.end is not None]
    return any((end.writing_since or end.closing_since) and not end.freed for end in ends)


def host_is_active(host):
    """Whether a line sent to the host awaits its echo, or a reported delay is still undecided."""
    return bool(host.legs) and (bool(host.awaiting_echo.members) or host.message_delays.undecided())
