"""When a replica asks the others, and how long ago it last was one of a majority."""

from dataclasses import dataclass

from cottonspread.configstore.messages import MILLISECOND, SECOND

PEER_WATCH_TIMEOUT = 1 * SECOND
"""A watch of another replica. It bounds the age that followers are told. Three machines ask each other six
times a second in all, beside 84 watches a second of 420 nodes."""
PEER_REPLY_GRACE = 1 * SECOND
"""An answer may take so much longer, between regions, before the call is given up."""
PEER_CALL_DELAY = 50 * MILLISECOND
"""At least, between an answer and the next call: a peer that always has news costs 20 calls a second."""
PEER_RETRY_DELAY = 250 * MILLISECOND
MAX_PEER_RETRY_DELAY = 2 * SECOND
"""After failures in a row the pause doubles from the one to the other, a quarter of it drawn."""


@dataclass(slots=True)
class Peer:
    """One other replica."""

    name: str
    next_call_at: int = 0
    call: int | None = None
    failures: int = 0
    last_reply_at: int | None = None


class Peers:
    """The others."""

    def __init__(self, names: tuple[str, ...], uniform):
        self._peers = [Peer(name) for name in names]
        self._calls: dict[int, Peer] = {}
        self._uniform, self._call = uniform, 0

    def due(self, now: int):
        """Whom to ask now, each as (call, name)."""
        for peer in self._peers:
            if peer.call is None and peer.next_call_at <= now:
                self._call += 1
                peer.call = self._call
                self._calls[self._call] = peer
                yield self._call, peer.name

    def replied(self, now: int, call: int) -> bool:
        """False: nobody waits for that call."""
        peer = self._calls.pop(call, None)
        if peer is None:
            return False
        peer.call, peer.failures, peer.last_reply_at = None, 0, now
        peer.next_call_at = now + PEER_CALL_DELAY
        return True

    def failed(self, now: int, call: int) -> None:
        """The call has no answer."""
        peer = self._calls.pop(call, None)
        if peer is None:
            return
        peer.call = None
        pause = min(PEER_RETRY_DELAY << min(peer.failures, 16), MAX_PEER_RETRY_DELAY)
        peer.failures += 1
        peer.next_call_at = now + pause * 3 // 4 + int(pause / 4 * self._uniform())

    def majority_age(self, now: int) -> int | None:
        """Since so many others were last heard as make a majority with oneself; None: not yet."""
        needed = (len(self._peers) + 1) // 2
        if needed == 0:
            return 0
        heard = sorted(
            (peer.last_reply_at for peer in self._peers if peer.last_reply_at is not None), reverse=True
        )
        return now - heard[needed - 1] if len(heard) >= needed else None

    def next_call_at(self) -> int | None:
        """When somebody is to be asked next; None: all calls are under way."""
        return min((peer.next_call_at for peer in self._peers if peer.call is None), default=None)
