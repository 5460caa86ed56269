"""The status shown to operators: a summary of the replicas' states and of all nodes. Pure functions."""

from dataclasses import dataclass

from cottonspread.configstore import messages as m
from cottonspread.configstore.majority import REPORT_MAX_AGE

MAX_NAMES = 10
"""Nodes listed by name in each group; the rest is only counted."""


@dataclass(frozen=True)
class ReplicaStatus:
    """Status of one replica."""

    name: str
    up: bool
    why: str = ""
    generation: int = 0
    version: int = 0
    stage: str = ""
    majority_age_us: int | None = None


@dataclass(frozen=True)
class NodeStatus:
    """A node that does not run the committed version, and why."""

    name: str
    version: int
    age_us: int
    why: str = ""


@dataclass(frozen=True)
class Overview:
    """The complete status. Each known node is in exactly one of the five groups."""

    version: int
    stage: str
    quorum: bool
    replicas: list[ReplicaStatus]
    in_force: int
    waiting: list[NodeStatus]
    """Nodes to which the committed record does not apply at its current stage."""
    behind: list[NodeStatus]
    refused: list[NodeStatus]
    not_heard: list[NodeStatus]


def summarize(states: dict) -> Overview:
    """Summarizes `states`: each replica's StateReply, or the error of its call."""
    replies = [state for state in states.values() if isinstance(state, m.StateReply)]
    committed = max(
        (reply.committed for reply in replies if reply.committed is not None),
        key=lambda record: record.generation,
        default=None,
    )
    groups = {"in_force": [], "waiting": [], "behind": [], "refused": [], "not_heard": []}
    for received in newest_reports(replies):
        groups[group_of(received, committed)].append(
            NodeStatus(received.report.node, received.report.in_force, received.age_us, received.report.why)
        )
    return Overview(
        version=committed.version if committed else 0,
        stage=committed.stage.name.lower() if committed else "",
        quorum=len(replies) > len(states) // 2,
        replicas=[replica_status(name, state) for name, state in states.items()],
        in_force=len(groups.pop("in_force")),
        **groups,
    )


def newest_reports(replies: list[m.StateReply]) -> list[m.ReceivedReport]:
    """Returns each node's newest report, by name; `watching` is set if any replica has its watch open."""
    newest = {}
    for reply in replies:
        for received in reply.reports:
            known = newest.get(received.report.node)
            if known is None or received.age_us < known.age_us:
                newest[received.report.node] = received
    watched = {received.report.node for reply in replies for received in reply.reports if received.watching}
    return [
        m.ReceivedReport(report=received.report, age_us=received.age_us, watching=name in watched)
        for name, received in sorted(newest.items())
    ]


def group_of(received: m.ReceivedReport, committed: m.Record | None) -> str:
    """Returns the name of the group that a node belongs to."""
    report = received.report
    if not received.watching and received.age_us > REPORT_MAX_AGE or report.cut_off:
        return "not_heard"
    if committed is None:
        return "waiting"
    if committed.version in (report.refused, report.failing):
        return "refused"
    if committed.stage != m.Stage.WITHDRAWN and report.in_force == committed.version:
        return "in_force"
    return "behind" if committed.applies_to(report.node) else "waiting"


def replica_status(name: str, state) -> ReplicaStatus:
    """Returns the status of one replica from its reply or error."""
    if not isinstance(state, m.StateReply):
        return ReplicaStatus(name, up=False, why=str(state))
    committed = state.committed
    return ReplicaStatus(
        name,
        up=True,
        generation=state.committed_generation,
        version=committed.version if committed else 0,
        stage=committed.stage.name.lower() if committed else "",
        majority_age_us=state.majority_age_us,
    )


def format_overview(overview: Overview) -> list[str]:
    """Formats the overview as lines of text."""
    stage = f" at stage {overview.stage}" if overview.stage else ""
    out = [
        f"version {overview.version}{stage}; "
        + ("a majority of replicas is up" if overview.quorum else "no majority of replicas is up"),
        f"in force at {overview.in_force} nodes",
    ]
    for what, nodes in (
        ("waiting for the next stage", overview.waiting),
        ("behind", overview.behind),
        ("refused", overview.refused),
        ("no recent report, or cut off", overview.not_heard),
    ):
        if nodes:
            out.append(f"{what}: {len(nodes)}")
            out += [f"  {node_text(node)}" for node in nodes[:MAX_NAMES]]
            out += [f"  and {len(nodes) - MAX_NAMES} more"] if len(nodes) > MAX_NAMES else []
    return out + [replica_text(one) for one in overview.replicas]


def node_text(node: NodeStatus) -> str:
    """Formats the status of one node."""
    why = f": {node.why}" if node.why else ""
    return f"{node.name} version {node.version}, last report {node.age_us / m.SECOND:.1f} s ago{why}"


def replica_text(replica: ReplicaStatus) -> str:
    """Formats the status of one replica."""
    if not replica.up:
        return f"replica {replica.name}: does not answer: {replica.why}"
    age = "never" if replica.majority_age_us is None else f"{replica.majority_age_us / m.SECOND:.1f} s ago"
    return f"replica {replica.name}: version {replica.version} {replica.stage}, last in a majority: {age}"
