"""What the reducer's timers have to look at: connections and hosts with something under way, and no others.

A node holds tens of thousands of connections of which few write, close or wait for an echo at a time. A timer
that walked all of them several times a second cost more than a node may spend on control. Whoever begins
something notes it here; what is over is dropped as it is next looked at.
"""


class Busy:
    """Things with something under way, given out in the order in which they came."""

    def __init__(self, still, came):
        self.still, self.came = (
            still,
            came,
        )  # whether it has something under way still; its place in the order
        self.noted = {}
        self.looked_at = 0  # how many were looked at so far

    def note(self, one):
        """Something begins at it."""
        self.noted[one] = None

    def all(self):
        """Those with something under way now."""
        self.looked_at += len(self.noted)
        self.noted = {one: None for one in self.noted if self.still(one)}
        return sorted(self.noted, key=self.came)


def connection_is_busy(conn):
    """Whether an end of it writes, or was closed and not given back; or its client has said nothing yet."""
    if conn.client.freed:
        return False
    if conn.opening is None and not conn.reason:
        return True
    ends = [conn.client] + [leg.end for leg in conn.legs if leg.end is not None]
    return any((end.writing or end.closing) and not end.freed for end in ends)


def host_is_busy(host):
    """Whether a line waits for its echo there, or what was heard of its messages is not settled."""
    return bool(host.legs) and (bool(host.waiting.noted) or host.notes.unsettled())
