"""The combined state of a majority of replicas, as a publisher sees it, and the choice of canaries."""

from dataclasses import dataclass

from cottonspread.configstore import messages as m

REPORT_MAX_AGE = 15 * m.SECOND
"""A node with an older report and no open watch is not chosen as a canary: it may have been removed."""
CANARIES_PERCENT = 2
MIN_CANARIES = 2
"""Minimum number of canaries (2 % of 420 nodes are 9). A single one could fail for an unrelated reason."""


@dataclass(frozen=True, slots=True)
class MajorityState:
    """The combined state of a majority."""

    highest: m.Position
    """The highest position that any of them accepted. Of two with the same generation and version, the one at
    the later stage: if it is undecided whether a version is released everywhere or withdrawn, withdrawing it
    is harmless."""
    committed: m.Record | None
    good: m.Record | None
    """The newest record at stage EVERYWHERE, committed or accepted: its canaries had applied it."""
    nodes: tuple[str, ...]
    """Names of nodes with a recent report, sorted."""

    @property
    def committed_generation(self) -> int:
        """Generation of the committed record; 0: none."""
        return self.committed.generation if self.committed else 0


def summarize_replies(replies: list[m.StateReply]) -> MajorityState:
    """Combines the replies of a majority."""
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
                received.report.node
                for reply in replies
                for received in reply.reports
                if (received.watching or received.age_us <= REPORT_MAX_AGE) and not received.report.cut_off
            }
        )
    )


def canary_threshold(nodes: tuple[str, ...], version: int) -> int:
    """Returns the `canary_below` that selects the configured number of these nodes; 0 without nodes."""
    count = max(MIN_CANARIES, -(-len(nodes) * CANARIES_PERCENT // 100))
    hashes = sorted(m.canary_hash(node, version) for node in nodes)[:count]
    return hashes[-1] + 1 if hashes else 0


def canaries_of(nodes: tuple[str, ...], record: m.Record) -> tuple[str, ...]:
    """Returns those of the nodes that are canaries for this record."""
    return tuple(node for node in nodes if m.canary_hash(node, record.version) < record.canary_below)
