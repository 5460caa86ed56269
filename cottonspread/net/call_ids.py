"""The ids of calls: each connection of a client must have a new one. Does no I/O.

Hosts answer ERR to an id that is already open, at this node or another. They run a call again whose id has
ended.
"""

MAX_ENDED_IDS = 10_000  # a client that comes again with an old id does so within seconds


class CallIds:
    """Which ids are taken: those of open calls, and of those that ended lately."""

    def __init__(self, max_ended=0):
        """`max_ended`: a lower limit than `MAX_ENDED_IDS`, for a process with little memory; 0: none."""
        self.open, self.ended = {}, {}  # open: connection by id; ended: an ordered set, the oldest first
        self.max_ended = min(max_ended or MAX_ENDED_IDS, MAX_ENDED_IDS)

    def is_taken(self, id):
        """Whether a call has this id, or had it lately."""
        return id in self.open or id in self.ended

    def begin(self, id, conn):
        """Records an open call."""
        self.ended.pop(id, None)
        self.open[id] = conn

    def end(self, id, conn):
        """Records the end of a call, once."""
        if self.open.get(id) is conn:
            del self.open[id]
            self.remember([id])

    def remember(self, ids):
        """Records ids that were taken, here or by another process of the node, as ended."""
        for id in ids:
            if id not in self.open:
                self.ended[id] = None
        while len(self.ended) > self.max_ended:
            del self.ended[next(iter(self.ended))]

    def all(self):
        """All ids that are taken, the open ones last."""
        return (*self.ended, *self.open)
