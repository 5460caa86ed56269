"""Pending requests with deadlines, in a heap ordered by deadline."""

import heapq
from dataclasses import dataclass

from cottonspread.configstore import messages as m

HEAP_SLACK = 64
"""Stale entries allowed in the heap before it is rebuilt."""


@dataclass(slots=True)
class PendingRequest:
    """One pending request."""

    message: m.WatchRequest | m.ReadState
    deadline: int


class PendingRequests:
    """Pending requests by number. The cost of removing one does not depend on how many are pending."""

    def __init__(self):
        """Starts without requests."""
        self._requests: dict[int, PendingRequest] = {}
        self._heap: list[tuple[int, int]] = []

    def __len__(self) -> int:
        """Number of pending requests."""
        return len(self._requests)

    def __iter__(self):
        """Iterates over the pending requests, oldest first; they may be removed meanwhile."""
        return iter(list(self._requests.items()))

    def add(self, request: int, message, deadline: int) -> None:
        """Adds a request with its deadline."""
        self._requests[request] = PendingRequest(message, deadline)
        heapq.heappush(self._heap, (deadline, request))
        if len(self._heap) > 2 * len(self._requests) + HEAP_SLACK:
            self._heap = [(pending.deadline, number) for number, pending in self._requests.items()]
            heapq.heapify(self._heap)

    def remove(self, request: int) -> PendingRequest | None:
        """Removes a request; returns None if it was not pending."""
        return self._requests.pop(request, None)

    def next_deadline(self) -> int | None:
        """Returns the earliest deadline; None if nothing is pending."""
        while self._heap:
            deadline, request = self._heap[0]
            pending = self._requests.get(request)
            if pending is not None and pending.deadline == deadline:
                return deadline
            heapq.heappop(self._heap)
        return None

    def pop_expired(self, now: int):
        """Removes the requests whose deadline has passed and yields them as (number, request)."""
        while (deadline := self.next_deadline()) is not None and deadline <= now:
            _, request = heapq.heappop(self._heap)
            yield request, self._requests.pop(request)
