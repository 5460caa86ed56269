"""Moves clients off draining servers, which cut off whoever is still there when they stop."""

from heapq import heappop, heappush
from itertools import count

from cottonspread import interface as io
from cottonspread.state import SECOND, Drain


class DrainMoves:
    """When the next client of a draining server is asked to move.

    This follows from the server's state at each step, not from a list of clients made when the drain was
    told: clients are also added later, handed over by the previous process or accepted just then.
    """

    FIRST_MOVE_AFTER = SECOND // 2  # by then a server that moves its clients itself has begun to do so
    LATER_MOVE_AFTER = SECOND // 4  # for clients added later: in a hand-over, several are within this time
    MOVES_TAKE = SECOND // 2  # from the first move on, evenly spread over all clients of the server

    def __init__(self, node):
        """`node`: the node's `Balancer`."""
        self.node, self.numbers = node, count()
        self.due = []  # heap of (time, number, server, drain); each entry has a timer

    def begin(self, host):
        """Handles a server that drains, by the list; it may have been told before."""
        host.drain = host.drain or Drain(self.node.now)
        self.schedule(host)

    def schedule(self, host):
        """Sets the timer of the next move off the server, if one of its clients is still to be asked."""
        drain, now = host.drain, self.node.now
        if drain is None or drain.timer_set or not host.staying or not self.may_move(drain):
            return
        if drain.move_by:
            after = max(0, drain.move_by - now) // (len(host.staying) + 1)
        else:
            after = max(drain.since + self.FIRST_MOVE_AFTER - now, self.LATER_MOVE_AFTER)
        drain.timer_set = True
        heappush(self.due, (now + after, next(self.numbers), host, drain))
        self.node.pending.append(io.Timer(after, "off"))

    def move_next(self):
        """Handles a timer: asks the client that has been connected to its server the longest."""
        if not self.due:
            return
        _, _, host, drain = heappop(self.due)
        drain.timer_set = False
        if host.drain is not drain:  # the drain was taken back
            return
        if host.staying and self.may_move(drain):
            if not drain.move_by:
                drain.move_by = self.node.now + self.MOVES_TAKE
                self.node.pending.append(
                    io.Log(f"{host.name}: draining: moving {len(host.staying)} connections")
                )
            self.node.move(next(iter(host.staying)))
        self.schedule(host)
        if not drain.timer_set:  # nobody is left to be asked
            drain.move_by = 0

    def leg_cancelled(self, leg):
        """Handles a connection that its server may have cancelled, to move the client itself.

        It did not if the client gave up, or if this node asked the client to move.
        """
        drain = leg.host.drain
        if drain is None or drain.moves_own_clients or leg.call.ended or leg.move_requested:
            return
        drain.moves_own_clients = True
        self.node.pending.append(io.Log(f"{leg.host.name}: draining: moves its clients itself"))

    def may_move(self, drain):
        """Whether clients are to be asked: unless the server does so itself, or moves cost too much."""
        return not drain.moves_own_clients and self.node.may_request_moves()
