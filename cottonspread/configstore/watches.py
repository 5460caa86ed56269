"""Which replicas a follower watches, and when it asks.

Two watches are open at two replicas, so that one that is dead or silent delays no change. The order of the
replicas comes from the node's name, which spreads the nodes; what is third is the spare of both.
"""

import hashlib
from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

WATCH_COUNT = 2
WATCH_TIMEOUT = 10 * SECOND
"""A watch without news. Two of some 500 bytes in 10 s are 100 bytes a second of the 6,000 that a node's whole
control has; shorter ones would tell sooner only that a silent replica is silent, which delays no change."""
WATCH_JITTER = 0.2
"""So much of it is drawn, or all nodes would ask in the same moment ever after a change."""
PROBE_TIMEOUT = 1 * SECOND
"""The first watch at a replica, and each after a failure: soon answered or given up, so that a node that was
cut off knows early that it is back, and does not hold on to a replica that swallows its calls."""
REPLY_GRACE = 2 * SECOND
"""An answer may take so much longer, over regions and a busy replica, before the watch is given up."""
MIN_CALL_INTERVAL = 50 * MILLISECOND
"""Between two asks of a watch at least: a replica that always answers at once costs 20 calls a second."""
RETRY_DELAY = 250 * MILLISECOND
MAX_RETRY_DELAY = 4 * SECOND
"""After failures in a row the pause doubles from the one to the other, half of it drawn: 420 nodes come to
a replica that returns within 4 s, 105 a second."""
MAX_SPARE_REPLIES = 6
"""Answers of the spare after which a watch tries its own replica again: a minute, when nothing happens."""


@dataclass(slots=True)
class Watch:
    """One of the two."""

    preferred: str
    replica: str
    next_call_at: int = 0
    called_at: int = 0
    call: int | None = None
    since: int = 0
    failures: int = 0
    has_replied: bool = False
    """The replica answered the watch before."""
    spare_replies: int = 0


def replica_order(node: str, replicas: tuple[str, ...]) -> list[str]:
    """The replicas in the order in which this node prefers them."""
    return sorted(replicas, key=lambda name: hashlib.sha256(f"{node} {name}".encode()).digest())


class Watches:
    """The calls of one follower."""

    def __init__(self, node: str, replicas: tuple[str, ...], uniform):
        self._order = replica_order(node, replicas)
        self._watches = [Watch(name, name) for name in self._order[:WATCH_COUNT]]
        self._calls: dict[int, Watch] = {}
        self._uniform, self._call = uniform, 0
        self._report_due, self._report_call = False, None

    def report_soon(self) -> None:
        """There is something to report: with a watch that is about to ask, or else with a call of its own."""
        self._report_due = True

    def due(self, now: int, since: int):
        """Whom to ask now, each as (call, replica, timeout). `since` is remembered for `since_of`."""
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
        """What the call asked from; 0 for one that is not under way, or only reports."""
        watch = self._calls.get(call)
        return watch.since if watch else 0

    def replied(self, now: int, call: int) -> bool:
        """False: nobody waits for that call."""
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
        """The call has no answer, or one that is not to be trusted. False: nobody waits for that call."""
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
        """To the next replica in order that the other watch is not at."""
        start = self._order.index(watch.replica) + 1
        for step in range(len(self._order)):
            name = self._order[(start + step) % len(self._order)]
            if self._is_free(name):
                watch.replica, watch.spare_replies = name, 0
                return

    def _is_free(self, name: str) -> bool:
        return all(watch.replica != name for watch in self._watches)

    def next_call_at(self) -> int | None:
        """When the next of them asks; None: all wait for answers."""
        return min((watch.next_call_at for watch in self._watches if watch.call is None), default=None)
