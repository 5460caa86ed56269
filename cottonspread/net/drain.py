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
LATE_ARRIVAL_TIME = SECOND // 2
# After the last deadline: for answers and moves to go out, and clients to go. The rest of the 0.7 s until the
# platform's SIGKILL is the process' own, which may wait for a core.
FINAL_ANSWER_TIME = SECOND // 10
EXIT_MARGIN = SECOND // 5
DRAIN_TIME = 3 * SECOND  # a drained node holds no client by then: its front gives it 4 s


@dataclass(eq=False)
class MovePhase:
    """Clients are being moved off, by a drain or for the end; the last moment to answer is `answer_by`."""

    reason: str
    start_at: int
    answer_by: int
    duration: int  # in which those that stood as it began are moved, evenly
    established: list


class DrainController:
    """Whether the node takes calls still, and when those that it has come to their end."""

    def __init__(self, reducer):
        """`reducer`: whose part this is."""
        self.reducer = reducer
        self.stopping = 0  # since when; 0: it does not end
        self.stop_by, self.has_successor, self.stopped = 0, False, False
        self.draining = 0  # since when, as the operators asked; 0: it takes calls
        self.move_phase = None  # while clients are moved off

    def refusal_reason(self, conn):
        """The reason code, or "".

        Stopping: the client could as well have come to the successor, if there is one. Drained:
        the front sent it before it had its no.
        """
        if self.stopping and not (self.has_successor and conn.accepted_at <= self.stopping):
            return "stopping"
        return "draining" if self.draining and self.reducer.now - self.draining > LATE_ARRIVAL_TIME else ""

    def on_established(self, conn):
        """A connection has come to stand: it is moved with the others where they are moved off."""
        if self.move_phase:
            self.reducer.call_at(self.move_phase.start_at, self.move_late, self.move_phase, conn)

    def begin_moving(self, reason, first, last, answer_by):
        """Drain and SIGTERM: from `first` on every client is asked to move, those that stand now evenly up to
        `last`; by `answer_by` each call has its answer.
        """
        established = [conn for conn in self.reducer.conns if conn.up and not conn.reason]
        self.move_phase = phase = MovePhase(reason, first, answer_by, max(0, last - first), established)
        if established:
            self.reducer.call_at(first, self.move_next, phase, 0)
        self.reducer.call_at(phase.answer_by, self.end_setups, phase)
        self.reducer.effects.append(
            ev.Log(
                reason.removeprefix("moved-"), {"standing": len(established), "open": len(self.reducer.conns)}
            )
        )

    def move_next(self, phase, number):
        """One of those that stood, and the time for the next: a timer for each would hold up others."""
        if self.move_phase is phase:
            self.reducer.move(phase.established[number], phase.reason)
            number += 1
            if number < len(phase.established):
                when = phase.start_at + phase.duration * number // len(phase.established)
                self.reducer.call_at(when, self.move_next, phase, number)

    def move_late(self, phase, conn):
        """One that came to stand since."""
        if self.move_phase is phase:  # a drain that was taken back moves nobody any more
            self.reducer.move(conn, phase.reason)

    def drain(self, e):
        """As the operators ask: a front that is told no to its PING sends nobody
        any more, and who stands here is moved.
        """
        if self.stopping or bool(self.draining) is e.on:
            return
        if e.on:
            self.draining = self.reducer.now
            last = self.reducer.now + DRAIN_TIME - SECOND // 2
            self.begin_moving(
                "moved-draining", self.reducer.now + LATE_ARRIVAL_TIME, last, last + SECOND // 4
            )
        else:
            self.draining, self.move_phase = 0, None
            self.reducer.effects.append(ev.Log("resumed", {"open": len(self.reducer.conns)}))

    def stop(self, e):
        """SIGTERM, `StopRequested`."""
        if self.stopping:
            return
        # The platform's time runs from when it asked, whatever this node was late by.
        max_guard = min(max(t.guard_time for t in self.reducer.config.types), 3 * SECOND)
        self.stopping, self.stop_by, self.has_successor = (
            self.reducer.now,
            self.reducer.event_time + max_guard + EXIT_MARGIN,
            e.has_successor,
        )
        # New connections go on coming here for a while: who is moved now would come back to this
        # node. And in a rolling restart the node before this one is just coming back: who was
        # moved at once found none to take it.
        last = self.reducer.event_time + max_guard
        first = max(
            self.reducer.now + LATE_ARRIVAL_TIME, self.reducer.now + (last - self.reducer.now) * 3 // 5
        )
        if self.draining:  # who stands here was to be moved by then: nobody is held for longer
            first = max(self.reducer.now, self.draining + LATE_ARRIVAL_TIME)
            last = max(first, min(last, self.draining + DRAIN_TIME - SECOND // 2))
        self.begin_moving("moved-stopping", first, last, last + FINAL_ANSWER_TIME)
        # In the sweep alone it would be looked at up to a quarter second late.
        self.reducer.call_at(self.stop_by, self.stop_when_done)
        if e.transfer_connections:  # who could not be passed on by then is moved
            self.reducer.transfers_enabled = True
            self.reducer.transfer(conn for conn in self.reducer.conns if conn.up and not conn.reason)

    def answers_due(self):
        """Whether no further attempt is to be made."""
        return self.move_phase and self.reducer.now >= self.move_phase.answer_by

    def end_setups(self, phase):
        """The last moment for an answer: a call whose guard time is longer would be lost with the node."""
        if self.move_phase is not phase:
            return
        for conn in list(self.reducer.conns):
            for leg in conn.legs if not conn.up else ():
                self.reducer.end_leg(leg, Ending.TIMEOUT)  # and no other leg is sent, see `send`
        for name in sorted(self.reducer.probing, key=str):  # calls that wait for a probe are lost as well
            self.reducer.queue_event(io.ProbeEnded(name, Ending.FULL))
        self.reducer.probing.clear()

    def stop_when_done(self):
        """Asks for the end of the process once it is time, or nobody is left."""
        if not self.stopped and (
            self.reducer.now >= self.stop_by
            or self.reducer.now - self.stopping > LATE_ARRIVAL_TIME
            and not self.reducer.conns
        ):
            # A node that stood still comes to all its timers at once, and to this one perhaps
            # first: nobody is cut off without MOVE.
            if self.move_phase:
                self.end_setups(self.move_phase)
                self.reducer.run_balancer()  # the answers go out before the end is asked for
            for conn in list(self.reducer.conns):
                # its first line may come just now, and nobody would read it
                if conn.request is None and not conn.reason:
                    self.reducer.dismiss(conn, "stopping")
                self.reducer.move(conn, "moved-stopping")
            self.stopped = True
            self.reducer.effects += [ev.Log("stopped", {"left": len(self.reducer.conns)}), ev.Exit()]
