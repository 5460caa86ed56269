"""A publisher's calls: one at a time to each replica, retried after a failure."""

from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

CALL_TIMEOUT = 1 * SECOND
"""A call between regions takes 80 ms and a write to disk some ten more; after a second the replica is
considered dead or silent."""
RETRY_DELAY = 100 * MILLISECOND
MAX_RETRY_DELAY = 1 * SECOND
"""After consecutive failures the delay doubles from `RETRY_DELAY` up to this, half of it random."""


@dataclass(slots=True)
class PlannedCall:
    """The next call to one replica."""

    message: object
    next_call_at: int
    call: int | None = None  # number of the open call; None: not made yet
    failures: int = 0


class Calls:
    """The next call to each replica."""

    def __init__(self, uniform):
        """`uniform()`: seeded random numbers in [0, 1)."""
        self._planned: dict[str, PlannedCall] = {}
        self._uniform, self._call = uniform, 0

    def schedule(self, replica: str, message, next_call_at: int) -> None:
        """Replaces the replica's next call; a late reply to the previous one is ignored."""
        self._planned[replica] = PlannedCall(message, next_call_at)

    def clear(self) -> None:
        """Drops all planned calls."""
        self._planned = {}

    def due(self, now: int):
        """Yields the calls to make now as (call, replica, message)."""
        for replica, planned in self._planned.items():
            if planned.call is None and planned.next_call_at <= now:
                self._call += 1
                planned.call = self._call
                yield self._call, replica, planned.message

    def replied(self, call: int) -> str | None:
        """Returns the replica that replied and drops its planned call; None for a late reply."""
        replica = self._find(call)
        if replica is not None:
            del self._planned[replica]
        return replica

    def failed(self, now: int, call: int) -> None:
        """Schedules a retry of a failed call."""
        replica = self._find(call)
        if replica is None:
            return
        planned = self._planned[replica]
        pause = min(RETRY_DELAY << min(planned.failures, 16), MAX_RETRY_DELAY)
        planned.call, planned.failures = None, planned.failures + 1
        planned.next_call_at = now + pause // 2 + int(pause / 2 * self._uniform())

    def _find(self, call: int) -> str | None:
        for replica, planned in self._planned.items():
            if planned.call == call:
                return replica
        return None

    def next_call_at(self) -> int | None:
        """Returns when the next call is due; None if all wait for replies."""
        return min(
            (planned.next_call_at for planned in self._planned.values() if planned.call is None), default=None
        )
