"""What a publisher makes of the states that a majority of replicas told, and which nodes are canaries."""

from dataclasses import dataclass

from cottonspread.configstore import messages as m

REPORT_MAX_AGE = 15 * m.SECOND
"""A node whose report is older, and that has no watch open, is not chosen as a canary: it may be gone."""
CANARIES_PERCENT = 2
MIN_CANARIES = 2
"""Nodes that go first: 9 of 420. One alone could be ill for a reason of its own."""


@dataclass(frozen=True, slots=True)
class MajorityState:
    """States of a majority, summed up."""

    highest: m.Position
    """The highest that any of them accepted. Of two of one generation the later stage: where it is disputed
    whether a version goes everywhere or is withdrawn, to withdraw it is harmless."""
    committed: m.Record | None
    good: m.Record | None
    """The newest record at stage EVERYWHERE, committed or accepted: its canaries had it in force."""
    nodes: tuple[str, ...]
    """Nodes heard lately, by name."""

    @property
    def committed_generation(self) -> int:
        """0 for none."""
        return self.committed.generation if self.committed else 0


def summarize_replies(replies: list[m.StateReply]) -> MajorityState:
    """What a majority's replies say together."""
    positions = [reply.accepted for reply in replies]
    highest = max(positions, key=lambda position: (position.generation, position.version, position.stage))
    records = [reply.accepted_record for reply in replies]
    committed = _newest([reply.committed for reply in replies])
    everywhere = [one for one in records if one is not None and one.stage == m.Stage.EVERYWHERE]
    return MajorityState(
        highest=highest,
        committed=committed,
        good=_newest([reply.good for reply in replies] + everywhere),
        nodes=_recent_nodes(replies),
    )


def _newest(records) -> m.Record | None:
    known = [record for record in records if record is not None]
    return max(known, key=lambda record: record.generation, default=None)


def _recent_nodes(replies: list[m.StateReply]) -> tuple[str, ...]:
    return tuple(
        sorted(
            {
                heard.report.node
                for reply in replies
                for heard in reply.reports
                if (heard.watching or heard.age_us <= REPORT_MAX_AGE) and not heard.report.cut_off
            }
        )
    )


def canary_threshold(nodes: tuple[str, ...], version: int) -> int:
    """The `canary_below` that makes so many of these nodes canaries as the constants say; 0 without nodes."""
    count = max(MIN_CANARIES, -(-len(nodes) * CANARIES_PERCENT // 100))
    hashes = sorted(m.canary_hash(node, version) for node in nodes)[:count]
    return hashes[-1] + 1 if hashes else 0


def canaries_of(nodes: tuple[str, ...], record: m.Record) -> tuple[str, ...]:
    """Those of the nodes that are canaries for this record."""
    return tuple(node for node in nodes if m.canary_hash(node, record.version) < record.canary_below)
