"""Which replicas a follower watches, and when it sends each watch.

Two watches are open at two different replicas, so that one dead or silent replica delays no change. Each
node orders the replicas by a hash of its own name, which spreads the load; the third replica is the spare
for both watches.
"""

import hashlib
from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

WATCH_COUNT = 2
WATCH_TIMEOUT = 10 * SECOND
"""Timeout of a watch without news. Two watches of some 500 bytes per 10 s use 100 of the 6,000 bytes per
second that a node has for all control traffic. A shorter timeout would only detect a silent replica sooner,
which delays no change."""
WATCH_JITTER = 0.2
"""Random share of the timeout; without it all nodes would call in step after a change."""
PROBE_TIMEOUT = 1 * SECOND
"""Timeout of the first watch at a replica and of each after a failure. It is short so that a reconnected
node notices early, and so that a node leaves a replica that never replies."""
REPLY_GRACE = 2 * SECOND
"""Extra time for a reply beyond the timeout, for latency between regions and a busy replica."""
MIN_CALL_INTERVAL = 50 * MILLISECOND
"""Minimum time between two calls of a watch: a replica that always replies at once costs 20 calls/s."""
RETRY_DELAY = 250 * MILLISECOND
MAX_RETRY_DELAY = 4 * SECOND
"""After consecutive failures the delay doubles from `RETRY_DELAY` up to this, half of it random: 420 nodes
reconnect to a restarted replica within 4 s, 105 per second."""
MAX_SPARE_REPLIES = 6
"""Replies from the spare after which a watch retries its preferred replica: a minute without changes."""


@dataclass(slots=True)
class Watch:
    """State of one of the two watches."""

    preferred: str
    replica: str
    next_call_at: int = 0
    called_at: int = 0
    call: int | None = None  # number of the open call; None: none is open
    since: int = 0
    failures: int = 0
    has_replied: bool = False
    """The replica replied to the previous watch."""
    spare_replies: int = 0


def replica_order(node: str, replicas: tuple[str, ...]) -> list[str]:
    """Returns the replicas in this node's order of preference."""
    return sorted(replicas, key=lambda name: hashlib.sha256(f"{node} {name}".encode()).digest())


class Watches:
    """The watch calls of one follower."""

    def __init__(self, node: str, replicas: tuple[str, ...], uniform):
        """`uniform()`: seeded random numbers in [0, 1)."""
        self._order = replica_order(node, replicas)
        self._watches = [Watch(name, name) for name in self._order[:WATCH_COUNT]]
        self._calls: dict[int, Watch] = {}
        self._uniform, self._call = uniform, 0
        self._report_due, self._report_call = False, None

    def report_soon(self) -> None:
        """Requests a report soon: with the next due watch, or with a separate call if both are open."""
        self._report_due = True

    def due(self, now: int, since: int):
        """Yields the calls to make now as (call, replica, timeout); keeps `since` for `since_of`."""
        for watch in self._watches:
            if watch.call is None and watch.next_call_at <= now:
                watch.call = self._new_call(watch)
                watch.called_at, watch.since = now, since
                self._report_due = False
                yield watch.call, watch.replica, self._timeout() if watch.has_replied else PROBE_TIMEOUT
        if self._report_due and all(watch.call is not None for watch in self._watches):
            self._report_due = False
            if self._report_call is None:
                self._call += 1
                self._report_call = self._call
                yield self._call, self._watches[0].replica, 0

    def _new_call(self, watch: Watch) -> int:
        self._call += 1
        self._calls[self._call] = watch
        return self._call

    def _timeout(self) -> int:
        drawn = int(WATCH_TIMEOUT * WATCH_JITTER * self._uniform())
        return (WATCH_TIMEOUT - drawn) // MILLISECOND * MILLISECOND

    def since_of(self, call: int) -> int:
        """Returns the call's `since`; 0 if it is not open or only carries a report."""
        watch = self._calls.get(call)
        return watch.since if watch else 0

    def replied(self, now: int, call: int) -> bool:
        """Records a reply; returns False if the call is not open."""
        if call == self._report_call:
            self._report_call = None
            return True
        watch = self._calls.pop(call, None)
        if watch is None:
            return False
        watch.call, watch.failures, watch.has_replied = None, 0, True
        watch.next_call_at = max(now, watch.called_at + MIN_CALL_INTERVAL)
        self._return_to_preferred(watch)
        return True

    def _return_to_preferred(self, watch: Watch) -> None:
        if watch.replica == watch.preferred:
            return
        watch.spare_replies += 1
        if watch.spare_replies >= MAX_SPARE_REPLIES and self._is_free(watch.preferred):
            watch.replica, watch.spare_replies, watch.has_replied = watch.preferred, 0, False

    def failed(self, now: int, call: int) -> bool:
        """Records a missing or untrustworthy reply; returns False if the call is not open."""
        if call == self._report_call:
            self._report_call = None
            return True
        watch = self._calls.pop(call, None)
        if watch is None:
            return False
        watch.call, watch.has_replied = None, False
        pause = min(RETRY_DELAY << min(watch.failures, 16), MAX_RETRY_DELAY)
        watch.failures += 1
        watch.next_call_at = now + pause // 2 + int(pause / 2 * self._uniform())
        self._fail_over(watch)
        return True

    def _fail_over(self, watch: Watch) -> None:
        """Switches to the next replica in order that the other watch does not use."""
        start = self._order.index(watch.replica) + 1
        for step in range(len(self._order)):
            name = self._order[(start + step) % len(self._order)]
            if self._is_free(name):
                watch.replica, watch.spare_replies = name, 0
                return

    def _is_free(self, name: str) -> bool:
        return all(watch.replica != name for watch in self._watches)

    def next_call_at(self) -> int | None:
        """Returns when the next watch is due; None if all wait for replies."""
        return min((watch.next_call_at for watch in self._watches if watch.call is None), default=None)
