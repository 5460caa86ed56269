"""When a replica calls its peers, and how long ago it last belonged to a majority."""

from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

PEER_WATCH_TIMEOUT = 1 * SECOND
"""Timeout of a watch at a peer. It bounds the majority age reported to followers. Three replicas make six
such calls per second in total, beside 84 watches per second from 420 nodes."""
PEER_REPLY_GRACE = 1 * SECOND
"""Extra time for a reply beyond the timeout, for latency between regions."""
PEER_CALL_DELAY = 50 * MILLISECOND
"""Delay between a reply and the next call: a peer that always has news costs 20 calls/s."""
PEER_RETRY_DELAY = 250 * MILLISECOND
MAX_PEER_RETRY_DELAY = 2 * SECOND
"""After consecutive failures the delay doubles from `PEER_RETRY_DELAY` up to this, a quarter of it random."""


@dataclass(slots=True)
class Peer:
    """State of the calls to one other replica."""

    name: str
    next_call_at: int = 0
    call: int | None = None  # number of the open call; None: none is open
    failures: int = 0
    last_reply_at: int | None = None


class Peers:
    """The calls of one replica to its peers."""

    def __init__(self, names: tuple[str, ...], uniform):
        """`names`: the other replicas. `uniform()`: seeded random numbers in [0, 1)."""
        self._peers = [Peer(name) for name in names]
        self._calls: dict[int, Peer] = {}
        self._uniform, self._call = uniform, 0

    def due(self, now: int):
        """Yields the calls to make now as (call, name)."""
        for peer in self._peers:
            if peer.call is None and peer.next_call_at <= now:
                self._call += 1
                peer.call = self._call
                self._calls[self._call] = peer
                yield self._call, peer.name

    def replied(self, now: int, call: int) -> bool:
        """Records a reply; returns False if the call is not open."""
        peer = self._calls.pop(call, None)
        if peer is None:
            return False
        peer.call, peer.failures, peer.last_reply_at = None, 0, now
        peer.next_call_at = now + PEER_CALL_DELAY
        return True

    def failed(self, now: int, call: int) -> None:
        """Records a failed call."""
        peer = self._calls.pop(call, None)
        if peer is None:
            return
        peer.call = None
        pause = min(PEER_RETRY_DELAY << min(peer.failures, 16), MAX_PEER_RETRY_DELAY)
        peer.failures += 1
        peer.next_call_at = now + pause * 3 // 4 + int(pause / 4 * self._uniform())

    def majority_age(self, now: int) -> int | None:
        """Returns the time since enough peers last replied to form a majority with this replica.

        None: not yet.
        """
        needed = (len(self._peers) + 1) // 2
        if needed == 0:
            return 0
        reply_times = sorted(
            (peer.last_reply_at for peer in self._peers if peer.last_reply_at is not None), reverse=True
        )
        return now - reply_times[needed - 1] if len(reply_times) >= needed else None

    def next_call_at(self) -> int | None:
        """Returns when the next call is due; None if all calls are open."""
        return min((peer.next_call_at for peer in self._peers if peer.call is None), default=None)
