"""A publisher's calls: one at a time to each replica, asked again after a failure."""

from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

CALL_TIMEOUT = 1 * SECOND
"""A call between regions takes 80 ms and a write to disk some ten more; a second: it is dead or silent."""
RETRY_DELAY = 100 * MILLISECOND
MAX_RETRY_DELAY = 1 * SECOND
"""After failures in a row the pause doubles from the one to the other, half of it drawn."""


@dataclass(slots=True)
class PlannedCall:
    """What a replica is to be asked."""

    message: object
    next_call_at: int
    call: int | None = None
    failures: int = 0


class Calls:
    """What is wanted of each replica now."""

    def __init__(self, uniform):
        self._planned: dict[str, PlannedCall] = {}
        self._uniform, self._call = uniform, 0

    def schedule(self, replica: str, message, next_call_at: int) -> None:
        """Ask this from now on, and nothing else; a late reply to what was asked before counts no more."""
        self._planned[replica] = PlannedCall(message, next_call_at)

    def clear(self) -> None:
        """Nothing is wanted any more."""
        self._planned = {}

    def due(self, now: int):
        """What to ask now, each as (call, replica, message)."""
        for replica, planned in self._planned.items():
            if planned.call is None and planned.next_call_at <= now:
                self._call += 1
                planned.call = self._call
                yield self._call, replica, planned.message

    def replied(self, call: int) -> str | None:
        """The replica that a reply comes from, of which nothing is wanted any more; None: a late one."""
        replica = self._find(call)
        if replica is not None:
            del self._planned[replica]
        return replica

    def failed(self, now: int, call: int) -> None:
        """The call has no reply; it is made again."""
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
        """When to ask next; None: all wait for replies."""
        return min(
            (planned.next_call_at for planned in self._planned.values() if planned.call is None), default=None
        )
