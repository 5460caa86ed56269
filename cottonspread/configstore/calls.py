"""A publisher's calls: one at a time to each replica, asked again after a failure."""

from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

CALL_TIMEOUT = 1 * SECOND
"""A call between regions takes 80 ms and a write to disk some ten more; a second: it is dead or silent."""
RETRY = 100 * MILLISECOND
RETRY_AT_MOST = 1 * SECOND
"""After failures in a row the pause doubles from the one to the other, half of it drawn."""


@dataclass(slots=True)
class Wanted:
    """What a replica is to be asked."""

    message: object
    ask_at: int
    call: int | None = None
    failures: int = 0


class Calls:
    """What is wanted of each replica now."""

    def __init__(self, chance):
        self._wanted: dict[str, Wanted] = {}
        self._chance, self._call = chance, 0

    def want(self, replica: str, message, ask_at: int) -> None:
        """Ask this from now on, and nothing else; a late reply to what was asked before counts no more."""
        self._wanted[replica] = Wanted(message, ask_at)

    def clear(self) -> None:
        """Nothing is wanted any more."""
        self._wanted = {}

    def due(self, now: int):
        """What to ask now, each as (call, replica, message)."""
        for replica, wanted in self._wanted.items():
            if wanted.call is None and wanted.ask_at <= now:
                self._call += 1
                wanted.call = self._call
                yield self._call, replica, wanted.message

    def replied(self, call: int) -> str | None:
        """The replica that a reply comes from, of which nothing is wanted any more; None: a late one."""
        replica = self._find(call)
        if replica is not None:
            del self._wanted[replica]
        return replica

    def failed(self, now: int, call: int) -> None:
        """The call has no reply; it is made again."""
        replica = self._find(call)
        if replica is None:
            return
        wanted = self._wanted[replica]
        pause = min(RETRY << min(wanted.failures, 16), RETRY_AT_MOST)
        wanted.call, wanted.failures = None, wanted.failures + 1
        wanted.ask_at = now + pause // 2 + int(pause / 2 * self._chance())

    def _find(self, call: int) -> str | None:
        for replica, wanted in self._wanted.items():
            if wanted.call == call:
                return replica
        return None

    def earliest(self) -> int | None:
        """When to ask next; None: all wait for replies."""
        return min((wanted.ask_at for wanted in self._wanted.values() if wanted.call is None), default=None)
