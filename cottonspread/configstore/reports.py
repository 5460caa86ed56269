"""The newest report of each node at one replica, bounded in number and age."""

from collections import OrderedDict

from cottonspread.configstore.messages import MAX_NODES, SECOND, NodeReport, ReceivedReport

REPORT_RETENTION = 600 * SECOND
"""A report older than this is dropped. A restart takes well under a minute, an isolated region some minutes:
nodes that lag behind remain listed through both."""


class Reports:
    """The newest report of each node, the oldest report first."""

    def __init__(self):
        """Starts without reports."""
        self.dropped = 0
        """Reports discarded because `MAX_NODES` other nodes were already kept."""
        self._reports: OrderedDict[str, tuple[int, NodeReport]] = OrderedDict()

    def __len__(self) -> int:
        """Number of nodes with a report."""
        return len(self._reports)

    def add(self, now: int, report: NodeReport) -> None:
        """Stores a node's report."""
        self._drop_expired(now)
        if report.node not in self._reports and len(self._reports) >= MAX_NODES:
            self.dropped += 1
            return
        self._reports[report.node] = now, report
        self._reports.move_to_end(report.node)

    def _drop_expired(self, now: int) -> None:
        while self._reports:
            node, (received_at, _) = next(iter(self._reports.items()))
            if now - received_at <= REPORT_RETENTION:
                return
            del self._reports[node]

    def select(self, now: int, nodes: list[str], watching: set[str]) -> list[ReceivedReport]:
        """Returns the reports of these nodes, or of all if `nodes` is empty."""
        self._drop_expired(now)
        named = nodes or list(self._reports)
        return [
            ReceivedReport(
                report=self._reports[node][1],
                age_us=now - self._reports[node][0],
                watching=node in watching,
            )
            for node in named
            if node in self._reports
        ]
