"""Requests that wait until a time, with the earliest at hand."""

import heapq
from dataclasses import dataclass

from cottonspread.configstore import messages as m

HEAP_SLACK = 64
"""Entries of ended waits that are left in the heap before it is made anew."""


@dataclass(slots=True)
class PendingRequest:
    """One request that waits."""

    message: m.WatchRequest | m.ReadState
    deadline: int


class PendingRequests:
    """Requests by number. What an end costs does not grow with how many wait."""

    def __init__(self):
        self._requests: dict[int, PendingRequest] = {}
        self._heap: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self):
        """The requests that wait, oldest first; may be ended on the way."""
        return iter(list(self._requests.items()))

    def add(self, request: int, message, deadline: int) -> None:
        """A request waits from now on."""
        self._requests[request] = PendingRequest(message, deadline)
        heapq.heappush(self._heap, (deadline, request))
        if len(self._heap) > 2 * len(self._requests) + HEAP_SLACK:
            self._heap = [(wait.deadline, number) for number, wait in self._requests.items()]
            heapq.heapify(self._heap)

    def remove(self, request: int) -> PendingRequest | None:
        """It waits no more; None: it did not."""
        return self._requests.pop(request, None)

    def next_deadline(self) -> int | None:
        """When the first of them ends; None: none waits."""
        while self._heap:
            deadline, request = self._heap[0]
            wait = self._requests.get(request)
            if wait is not None and wait.deadline == deadline:
                return deadline
            heapq.heappop(self._heap)
        return None

    def pop_expired(self, now: int):
        """Those whose time has come, ended, each as (request, wait)."""
        while (deadline := self.next_deadline()) is not None and deadline <= now:
            _, request = heapq.heappop(self._heap)
            yield request, self._requests.pop(request)
