"""How clients leave a node: a drain that the operators ask for, and the end of the process.

A part of the reducer, pure as it is: times are microseconds of its clock, and what is to be done goes out
through it.
"""

from dataclasses import dataclass

from cottonspread import interface as io
from cottonspread.interface import Ending
from cottonspread.net import events as ev

SECOND = 1_000_000
# new connections go on coming for so long after SIGTERM, or after a PING that was not answered yes
COMING = SECOND // 2
# After the last deadline: for answers and moves to go out, and clients to go. The rest of the 0.7 s until the
# platform's SIGKILL is the process' own, which may wait for a core.
LAST_ANSWERS = SECOND // 10
LAST_LOOK = SECOND // 5
DRAINED = 3 * SECOND  # a drained node holds no client by then: its front gives it 4 s


@dataclass(eq=False)
class Leaving:
    """Clients are being moved off, by a drain or for the end; the last moment for an answer is `hurry_at`."""

    reason: str
    first: int
    hurry_at: int
    span: int  # in which those that stood as it began are moved, evenly
    standing: list


class Departure:
    """Whether the node takes calls still, and when those that it has come to their end."""

    def __init__(self, front):
        """`front`: the reducer."""
        self.front = front
        self.stopping = 0  # since when; 0: it does not end
        self.stop_by, self.handed, self.stopped = 0, False, False
        self.draining = 0  # since when, as the operators asked; 0: it takes calls
        self.leaving = None  # while clients are moved off

    def turns_away(self, conn):
        """The reason code, or "".

        Stopping: the client could as well have come to the successor, if there is one. Drained:
        the front sent it before it had its no.
        """
        if self.stopping and not (self.handed and conn.accepted_at <= self.stopping):
            return "stopping"
        return "draining" if self.draining and self.front.now - self.draining > COMING else ""

    def stands(self, conn):
        """A connection has come to stand: it is moved with the others where they are moved off."""
        if self.leaving:
            self.front.call_at(self.leaving.first, self.move_off, self.leaving, conn)

    def send_off(self, reason, first, last, hurry_at):
        """Drain and SIGTERM: from `first` on every client is asked to move, those that stand now evenly up to
        `last`; by `hurry_at` each call has its answer.
        """
        standing = [conn for conn in self.front.conns if conn.up and not conn.reason]
        self.leaving = leaving = Leaving(reason, first, hurry_at, max(0, last - first), standing)
        if standing:
            self.front.call_at(first, self.move_standing, leaving, 0)
        self.front.call_at(leaving.hurry_at, self.hurry, leaving)
        self.front.effects.append(
            ev.Log(reason.removeprefix("moved-"), {"standing": len(standing), "open": len(self.front.conns)})
        )

    def move_standing(self, leaving, number):
        """One of those that stood, and the time for the next: a timer for each would hold up others."""
        if self.leaving is leaving:
            self.front.move(leaving.standing[number], leaving.reason)
            number += 1
            if number < len(leaving.standing):
                when = leaving.first + leaving.span * number // len(leaving.standing)
                self.front.call_at(when, self.move_standing, leaving, number)

    def move_off(self, leaving, conn):
        """One that came to stand since."""
        if self.leaving is leaving:  # a drain that was taken back moves nobody any more
            self.front.move(conn, leaving.reason)

    def drain(self, e):
        """As the operators ask: a front that is told no to its PING sends nobody
        any more, and who stands here is moved.
        """
        if self.stopping or bool(self.draining) is e.on:
            return
        if e.on:
            self.draining = self.front.now
            last = self.front.now + DRAINED - SECOND // 2
            self.send_off("moved-draining", self.front.now + COMING, last, last + SECOND // 4)
        else:
            self.draining, self.leaving = 0, None
            self.front.effects.append(ev.Log("resumed", {"open": len(self.front.conns)}))

    def stop(self, e):
        """SIGTERM, `StopRequested`."""
        if self.stopping:
            return
        # The platform's time runs from when it asked, whatever this node was late by.
        longest = min(max(t.guard_time for t in self.front.config.types), 3 * SECOND)
        self.stopping, self.stop_by, self.handed = (
            self.front.now,
            self.front.event_time + longest + LAST_LOOK,
            e.has_successor,
        )
        # New connections go on coming here for a while: who is moved now would come back to this
        # node. And in a rolling restart the node before this one is just coming back: who was
        # moved at once found none to take it.
        last = self.front.event_time + longest
        first = max(self.front.now + COMING, self.front.now + (last - self.front.now) * 3 // 5)
        if self.draining:  # who stands here was to be moved by then: nobody is held for longer
            first = max(self.front.now, self.draining + COMING)
            last = max(first, min(last, self.draining + DRAINED - SECOND // 2))
        self.send_off("moved-stopping", first, last, last + LAST_ANSWERS)
        # In the sweep alone it would be looked at up to a quarter second late.
        self.front.call_at(self.stop_by, self.stop_when_done)
        if e.transfer_connections:  # who could not be passed on by then is moved
            self.front.transfers_enabled = True
            self.front.transfer(conn for conn in self.front.conns if conn.up and not conn.reason)

    def hurries(self):
        """Whether no further attempt is to be made."""
        return self.leaving and self.front.now >= self.leaving.hurry_at

    def hurry(self, leaving):
        """The last moment for an answer: a call whose guard time is longer would be lost with the node."""
        if self.leaving is not leaving:
            return
        for conn in list(self.front.conns):
            for leg in conn.legs if not conn.up else ():
                self.front.end_leg(leg, Ending.TIMEOUT)  # and no other leg is sent, see `send`
        for name in sorted(self.front.probing, key=str):  # calls that wait for a probe are lost as well
            self.front.queue_event(io.ProbeEnded(name, Ending.FULL))
        self.front.probing.clear()

    def stop_when_done(self):
        """Asks for the end of the process once it is time, or nobody is left."""
        if not self.stopped and (
            self.front.now >= self.stop_by or self.front.now - self.stopping > COMING and not self.front.conns
        ):
            # A node that stood still comes to all its timers at once, and to this one perhaps
            # first: nobody is cut off without MOVE.
            if self.leaving:
                self.hurry(self.leaving)
                self.front.run_balancer()  # the answers go out before the end is asked for
            for conn in list(self.front.conns):
                # its first line may come just now, and nobody would read it
                if conn.request is None and not conn.reason:
                    self.front.dismiss(conn, "stopping")
                self.front.move(conn, "moved-stopping")
            self.stopped = True
            self.front.effects += [ev.Log("stopped", {"left": len(self.front.conns)}), ev.Exit()]
