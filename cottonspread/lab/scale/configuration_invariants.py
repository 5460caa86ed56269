"""What the configuration store promises, checked at every step by code that shares none with its cores.

It is told what became durable at a replica, what a node began to check and put into force, and how the
network truly stands. It reckons digests, canaries, majorities and reach of its own. A broken promise is
noted, not raised, so that a play goes on and all of them are seen.
"""

import hashlib
from dataclasses import dataclass, field

CANARY, EVERYWHERE = 1, 2
SECOND = 1_000_000
MAX_CUT_OFF_REPORT_DELAY = 24 * SECOND
"""A node that no majority can be reached from says so by then: 20 s, as its core states, and what a replica
without a majority may still have told of an age when it was cut."""
MAX_CUT_OFF_CLEAR_DELAY = 16 * SECOND
"""A node is no longer cut off so long after it can reach a majority again: a watch into the void ends after
12 s, a replica needs up to 4 s itself."""


def digest(body: str) -> str:
    """Of a body."""
    return hashlib.sha256(body.encode()).hexdigest()


def is_canary(node: str, version: int, below: int) -> bool:
    """The node is among the first for this version."""
    random_rows = hashlib.sha256(f"{version}:{node}".encode()).digest()
    return random_rows[0] << 24 | random_rows[1] << 16 | random_rows[2] << 8 | random_rows[3] < below


@dataclass
class Change:
    """One version on its way."""

    version: int
    began: int
    """When its publisher started."""
    waiting: set
    """Nodes that do not have it, or a later one, in force."""
    times: dict = field(default_factory=dict)
    """Microseconds until in force, for each node."""


class Invariants:
    """The books."""

    def __init__(self, world, replicas: int):
        self._world, self._majority = world, replicas // 2 + 1
        self.violations: list[str] = []
        self._acceptors: dict[tuple, set] = {}
        self._durable: dict[str, object] = {}
        self._by_version: dict[int, str] = {}
        self._by_generation: dict[int, tuple] = {}
        self.everywhere = 0
        """The newest version committed EVERYWHERE."""
        self.in_force: dict[str, int] = {}
        self.reached_by_faulty: set[str] = set()
        self.changes: dict[int, Change] = {}
        self._pending: dict[int, Change] = {}
        self.steps = 0
        self._cut_since: dict[str, int] = {}
        self._reached_since: dict[str, int] = {}

    def check(self, condition, *words) -> None:
        """Notes what is broken where it is not true."""
        self.steps += 1
        if not condition:
            self.violations.append(f"{self._world.now} {' '.join(map(str, words))}")

    # Replicas

    def on_stored(self, replica: str, state) -> None:
        """This is durable at the replica now."""
        before = self._durable.get(replica)
        self._durable[replica] = state
        committed = state.committed
        is_commit = committed is not None and (
            before is None or before.committed is None or before.committed.checksum != committed.checksum
        )
        if not is_commit and state.accepted is not None:
            self._acceptors.setdefault(self._key(state.accepted), set()).add(replica)
        if is_commit:
            old = before.committed if before is not None else None
            if old is not None:
                self.check(committed.generation > old.generation, replica, "generation went back")
                self.check(committed.version >= old.version, replica, "committed version went back")
            self._committed(replica, committed)
        if state.good is not None and (before is None or before.good != state.good):
            self.check(state.good.stage == EVERYWHERE, replica, "good is not everywhere")
            self._committed(replica, state.good)

    def _key(self, record) -> tuple:
        return record.generation, record.version, int(record.stage), digest(record.body), record.canary_below

    def _committed(self, replica: str, record) -> None:
        key = self._key(record)
        accepted = self._acceptors.get(key, ())
        self.check(len(accepted) >= self._majority, replica, "committed without a majority", key)
        known = self._by_version.setdefault(record.version, key[3])
        self.check(known == key[3], "two digests for version", record.version)
        self.check(
            self._by_generation.setdefault(record.generation, key) == key,
            "two records for generation",
            record.generation,
        )
        if record.stage == EVERYWHERE:
            self.everywhere = max(self.everywhere, record.version)
            self.check(not is_faulty(record.body), "a faulty version went everywhere", record.version)

    # Nodes

    def on_node_reset(self, node: str) -> None:
        """A node that has no file."""
        self.in_force.pop(node, None)

    def on_checked(self, node: str, record) -> None:
        """A node was told this record and begins to check it."""
        if is_faulty(record.body):
            self.reached_by_faulty.add(node)
            self.check(
                is_canary(node, record.version, record.canary_below), node, "faulty beyond the canaries"
            )

    def on_applied(self, node: str, record) -> None:
        """A node put this record into force."""
        version, now = record.version, self._world.now
        self.check(version >= self.in_force.get(node, 0), node, "went back to", version)
        self.in_force[node] = version
        self.check(self._by_version.get(version) == digest(record.body), node, "another digest", version)
        self.check(len(self._acceptors.get(self._key(record), ())) >= self._majority, node, "no majority")
        self.check(not cannot_be_applied(record.body), node, "a faulty version in force", version)
        if record.stage != EVERYWHERE:
            self.check(is_canary(node, version, record.canary_below), node, "no canary of", version)
        for change in list(self._pending.values()):
            if change.version <= version and node in change.waiting:
                change.waiting.discard(node)
                change.times[node] = now - change.began
                if not change.waiting:
                    del self._pending[change.version]

    def on_change_accepted(self, version: int, began: int, nodes) -> None:
        """A publisher, started at `began`, has a majority's word for this version."""
        if version not in self.changes:
            waiting = {node for node in nodes if self.in_force.get(node, 0) < version}
            self.changes[version] = self._pending[version] = Change(version, began, waiting)

    # Reach

    def on_reachability(self, node: str, is_reachable: bool, quorum_seen_at: int, is_lossless: bool) -> None:
        """Whether the node can reach a replica that can reach a majority, from now on. `told_of`: when such a
        replica, of those that it can reach, last could. `is_sure`: no message is lost.
        """
        now = self._world.now
        if is_reachable:
            self._cut_since.pop(node, None)
        else:
            self._cut_since[node] = max(self._cut_since.get(node, now), quorum_seen_at)
        if is_reachable and is_lossless:
            self._reached_since.setdefault(node, now)
        else:
            self._reached_since.pop(node, None)

    def on_node_stopped(self, node: str) -> None:
        """The node's process ended."""
        self._cut_since.pop(node, None)
        self._reached_since.pop(node, None)

    def said(self, node: str, cut_off: bool) -> None:
        """What the node says of itself now."""
        now = self._world.now
        if node in self._cut_since and now - self._cut_since[node] > MAX_CUT_OFF_REPORT_DELAY:
            self.check(cut_off, node, "is cut off and does not say so")
        if node in self._reached_since and now - self._reached_since[node] > MAX_CUT_OFF_CLEAR_DELAY:
            self.check(not cut_off, node, "says it is cut off and is not")

    def lagging(self, nodes, refusing=()) -> list[str]:
        """Nodes that lack the newest version that is EVERYWHERE."""
        return [
            node for node in nodes if self.in_force.get(node, 0) < self.everywhere and node not in refusing
        ]


# Bodies of plays: the first word tells the nodes' stand-in check what it finds.


def is_faulty(body: str) -> bool:
    """A body with a fault of any kind."""
    return body.startswith(("refused", "unfit", "ill", "hangs"))


def cannot_be_applied(body: str) -> bool:
    """A body that no node can put into force."""
    return body.startswith(("refused", "unfit", "hangs"))
