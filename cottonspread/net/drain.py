"""Moves clients off a node: when operators drain it, and when the process stops.

A part of the reducer and without side effects like it: times are microseconds of the reducer's clock, and
effects are added to the reducer's.
"""

from dataclasses import dataclass

from cottonspread import interface as io
from cottonspread.interface import Ending
from cottonspread.net import events as ev

SECOND = 1_000_000
# new connections keep arriving for this long after SIGTERM, or after the first negative answer to a PING
LATE_ARRIVAL_TIME = SECOND // 2
# After the last deadline: time to send answers and moves, then time for clients to disconnect. What is left
# of the 0.7 s until the platform's SIGKILL is for the process itself, which may have to wait for a core.
FINAL_ANSWER_TIME = SECOND // 10
EXIT_MARGIN = SECOND // 5
DRAIN_TIME = 3 * SECOND  # a drained node has no client left by then; the load balancer in front allows 4 s


@dataclass(eq=False)
class MovePhase:
    """A period in which clients are moved off, for a drain or a stop; calls are answered by `answer_by`."""

    reason: str
    start_at: int
    answer_by: int
    duration: int  # in which the connections established at its start are moved, evenly spread
    established: list


class DrainController:
    """Decides whether the node still takes calls, and when its connections are moved or ended."""

    def __init__(self, reducer):
        """`reducer`: the reducer that this is a part of."""
        self.reducer = reducer
        self.stopping = 0  # since when; 0: not stopping
        self.stop_by, self.has_successor, self.stopped = 0, False, False
        self.draining = 0  # since when the operators have drained it; 0: not drained
        self.move_phase = None  # while clients are moved off

    def refusal_reason(self, conn):
        """Why a call on this connection is refused, as a reason code, or "".

        When stopping with a successor, connections accepted before the stop are still served; later ones can
        go to the successor. When drained, calls are accepted for a while, because the load balancer in front
        sent them before it got the negative answer to its PING.
        """
        if self.stopping and not (self.has_successor and conn.accepted_at <= self.stopping):
            return "stopping"
        return "draining" if self.draining and self.reducer.now - self.draining > LATE_ARRIVAL_TIME else ""

    def on_established(self, conn):
        """A connection has been established: in a move phase it is moved as well."""
        if self.move_phase:
            self.reducer.call_at(self.move_phase.start_at, self.move_late, self.move_phase, conn)

    def begin_moving(self, reason, first, last, answer_by):
        """Starts a move phase, for a drain or SIGTERM.

        From `first` on every client is asked to move; the connections established now are spread evenly up to
        `last`. By `answer_by` each call has its answer.
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
        """Moves one connection and sets the timer for the next: a timer for each would delay other timers."""
        if self.move_phase is phase:
            self.reducer.move(phase.established[number], phase.reason)
            number += 1
            if number < len(phase.established):
                when = phase.start_at + phase.duration * number // len(phase.established)
                self.reducer.call_at(when, self.move_next, phase, number)

    def move_late(self, phase, conn):
        """Moves a connection established after the start of the phase."""
        if self.move_phase is phase:  # not after a drain that was resumed
            self.reducer.move(conn, phase.reason)

    def drain(self, e):
        """Drains or resumes the node, as operators ask.

        A drained node answers PING negatively, so that the load balancer in front sends no more clients, and
        moves its established connections.
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
        """SIGTERM: handles `StopRequested`."""
        if self.stopping:
            return
        # The platform's time limit starts when it asked, however late this node handles it.
        max_guard = min(max(t.guard_time for t in self.reducer.config.types), 3 * SECOND)
        self.stopping, self.stop_by, self.has_successor = (
            self.reducer.now,
            self.reducer.event_time + max_guard + EXIT_MARGIN,
            e.has_successor,
        )
        # New connections keep arriving here for a while: a client moved now might come back to this node. And
        # in a rolling restart the previous node is only just starting again: clients moved at once found no
        # node to take them.
        last = self.reducer.event_time + max_guard
        first = max(
            self.reducer.now + LATE_ARRIVAL_TIME, self.reducer.now + (last - self.reducer.now) * 3 // 5
        )
        if self.draining:  # clients already have a time to be moved by: keep to it
            first = max(self.reducer.now, self.draining + LATE_ARRIVAL_TIME)
            last = max(first, min(last, self.draining + DRAIN_TIME - SECOND // 2))
        self.begin_moving("moved-stopping", first, last, last + FINAL_ANSWER_TIME)
        # The periodic sweep alone would notice it up to a quarter of a second late.
        self.reducer.call_at(self.stop_by, self.stop_when_done)
        if e.transfer_connections:  # connections not transferred by then are moved
            self.reducer.transfers.begin()

    def answers_due(self):
        """Whether it is too late for further legs."""
        return self.move_phase and self.reducer.now >= self.move_phase.answer_by

    def end_setups(self, phase):
        """Ends all calls in setup. A call whose guard time is longer would be lost with the node."""
        if self.move_phase is not phase:
            return
        for conn in list(self.reducer.conns):
            for leg in conn.legs if not conn.up else ():
                self.reducer.end_leg(leg, Ending.TIMEOUT)  # and no other leg is sent, see `send`
        for name in sorted(self.reducer.probing, key=str):  # calls that wait for a probe are lost as well
            self.reducer.queue_event(io.ProbeEnded(name, Ending.FULL))
        self.reducer.probing.clear()

    def stop_when_done(self):
        """Ends the process once the time is up or no client is left."""
        if not self.stopped and (
            self.reducer.now >= self.stop_by
            or self.reducer.now - self.stopping > LATE_ARRIVAL_TIME
            and not self.reducer.conns
        ):
            # After a stall all timers are due at once, and this one may come first: no client may be closed
            # without MOVE.
            if self.move_phase:
                self.end_setups(self.move_phase)
                self.reducer.run_balancer()  # the answers are sent before the exit
            for conn in list(self.reducer.conns):
                # its first line may arrive just now, and would not be read
                if conn.request is None and not conn.reason:
                    self.reducer.dismiss(conn, "stopping")
                self.reducer.move(conn, "moved-stopping")
            self.stopped = True
            self.reducer.effects += [ev.Log("stopped", {"left": len(self.reducer.conns)}), ev.Exit()]
