"""Requests that wait until a time, with the earliest at hand."""

import heapq
from dataclasses import dataclass

from cottonspread.configstore import messages as m

SLACK = 64
"""Entries of ended waits that are left in the heap before it is made anew."""


@dataclass(slots=True)
class Wait:
    """One request that waits."""

    message: m.WatchRequest | m.ReadState
    until: int


class Waiting:
    """Requests by number. What an end costs does not grow with how many wait."""

    def __init__(self):
        self._waits: dict[int, Wait] = {}
        self._heap: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self._waits)

    def __iter__(self):
        """The requests that wait, oldest first; may be ended on the way."""
        return iter(list(self._waits.items()))

    def add(self, request: int, message, until: int) -> None:
        """A request waits from now on."""
        self._waits[request] = Wait(message, until)
        heapq.heappush(self._heap, (until, request))
        if len(self._heap) > 2 * len(self._waits) + SLACK:
            self._heap = [(wait.until, number) for number, wait in self._waits.items()]
            heapq.heapify(self._heap)

    def end(self, request: int) -> Wait | None:
        """It waits no more; None: it did not."""
        return self._waits.pop(request, None)

    def earliest(self) -> int | None:
        """When the first of them ends; None: none waits."""
        while self._heap:
            until, request = self._heap[0]
            wait = self._waits.get(request)
            if wait is not None and wait.until == until:
                return until
            heapq.heappop(self._heap)
        return None

    def end_until(self, now: int):
        """Those whose time has come, ended, each as (request, wait)."""
        while (until := self.earliest()) is not None and until <= now:
            _, request = heapq.heappop(self._heap)
            yield request, self._waits.pop(request)
