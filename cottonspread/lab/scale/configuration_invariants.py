"""The configuration store's invariants, checked at every step by code that shares nothing with its cores.

The simulator reports what became durable at a replica, what a node began to check and applied, and which
hosts the network really connects. Digests, canaries, majorities and reachability are computed here
independently. A violation is recorded, not raised, so that a run goes on and all violations are seen.
"""

import hashlib
from dataclasses import dataclass, field

CANARY, EVERYWHERE = 1, 2
SECOND = 1_000_000
MAX_CUT_OFF_REPORT_DELAY = 24 * SECOND
"""A node that cannot reach a majority reports it within this time: 20 s in its core, plus the age of the
last majority that a replica may still have reported when it was cut off."""
MAX_CUT_OFF_CLEAR_DELAY = 16 * SECOND
"""A node that can reach a majority again reports it within this time: a watch that is never answered ends
after 12 s, and a replica itself needs up to 4 s."""


def digest(body: str) -> str:
    """The SHA-256 of a body, in hexadecimal."""
    return hashlib.sha256(body.encode()).hexdigest()


def is_canary(node: str, version: int, below: int) -> bool:
    """Whether the node is a canary for this version, among the first to get it."""
    hashed = hashlib.sha256(f"{version}:{node}".encode()).digest()
    return hashed[0] << 24 | hashed[1] << 16 | hashed[2] << 8 | hashed[3] < below


@dataclass
class Change:
    """A version that is being rolled out."""

    version: int
    began: int
    """When its publisher started, in microseconds of simulated time."""
    waiting: set
    """Nodes that have applied neither it nor a later one."""
    times: dict = field(default_factory=dict)
    """Microseconds from `began` until each node applied it."""


class Invariants:
    """Records the store's events and checks the invariants against them."""

    def __init__(self, world, replicas: int):
        """`world`: the simulation whose clock is used. `replicas`: number of replicas in the fleet."""
        self._world, self._majority = world, replicas // 2 + 1
        self.violations: list[str] = []
        self._acceptors: dict[tuple, set] = {}
        self._durable: dict[str, object] = {}
        self._by_version: dict[int, str] = {}
        self._by_generation: dict[int, tuple] = {}
        self.everywhere = 0
        """The newest version committed at stage EVERYWHERE."""
        self.in_force: dict[str, int] = {}
        self.nodes_given_faulty: set[str] = set()
        self.changes: dict[int, Change] = {}
        self._pending: dict[int, Change] = {}
        self.checks = 0
        self._cut_since: dict[str, int] = {}
        self._reached_since: dict[str, int] = {}

    def check(self, condition, *words) -> None:
        """Records a violation unless the condition holds; counts the check."""
        self.checks += 1
        if not condition:
            self.violations.append(f"{self._world.now} {' '.join(map(str, words))}")

    # Replicas

    def on_stored(self, replica: str, state) -> None:
        """A replica made this state durable."""
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
            self._check_committed(replica, committed)
        if state.good is not None and (before is None or before.good != state.good):
            self.check(state.good.stage == EVERYWHERE, replica, "good is not everywhere")
            self._check_committed(replica, state.good)

    def _key(self, record) -> tuple:
        return record.generation, record.version, int(record.stage), digest(record.body), record.canary_below

    def _check_committed(self, replica: str, record) -> None:
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
        """A node starts without a valid saved record."""
        self.in_force.pop(node, None)

    def on_checked(self, node: str, record) -> None:
        """A node received this record and begins to check it."""
        if is_faulty(record.body):
            self.nodes_given_faulty.add(node)
            self.check(
                is_canary(node, record.version, record.canary_below), node, "faulty beyond the canaries"
            )

    def on_applied(self, node: str, record) -> None:
        """A node applied this record."""
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
        """A publisher that started at `began` has this version accepted by a majority."""
        if version not in self.changes:
            waiting = {node for node in nodes if self.in_force.get(node, 0) < version}
            self.changes[version] = self._pending[version] = Change(version, began, waiting)

    # Reachability

    def on_reachability(self, node: str, is_reachable: bool, quorum_seen_at: int, is_lossless: bool) -> None:
        """Records whether the node can, from now on, reach a replica that can reach a majority.

        `quorum_seen_at`: when a replica that the node can reach last reached a majority. `is_lossless`: no
        message is lost.
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

    def on_cut_off_report(self, node: str, cut_off: bool) -> None:
        """Checks the node's own report of whether it is cut off."""
        now = self._world.now
        if node in self._cut_since and now - self._cut_since[node] > MAX_CUT_OFF_REPORT_DELAY:
            self.check(cut_off, node, "is cut off and does not say so")
        if node in self._reached_since and now - self._reached_since[node] > MAX_CUT_OFF_CLEAR_DELAY:
            self.check(not cut_off, node, "says it is cut off and is not")

    def lagging(self, nodes, refusing=()) -> list[str]:
        """Nodes without the newest version that is committed at stage EVERYWHERE."""
        return [
            node for node in nodes if self.in_force.get(node, 0) < self.everywhere and node not in refusing
        ]


# The first word of a simulated body decides how the simulated nodes' steps end. "refused": the check fails;
# "hangs": the check does not end; "unfit": the body cannot be applied; "ill": it is applied and then causes
# errors. Any other body has no fault.


def is_faulty(body: str) -> bool:
    """Whether the body has a fault of any kind."""
    return body.startswith(("refused", "unfit", "ill", "hangs"))


def cannot_be_applied(body: str) -> bool:
    """Whether no node can apply the body."""
    return body.startswith(("refused", "unfit", "hangs"))
