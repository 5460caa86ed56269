"""What nodes said of themselves to one replica, with bounds in number and age."""

from collections import OrderedDict

from cottonspread.configstore.messages import NODES_AT_MOST, SECOND, NodeReport, ReceivedReport

KEPT = 600 * SECOND
"""A node not heard for so long is dropped. A restart takes well under a minute, a region that is cut off some
minutes: who lags is named over both."""


class Reports:
    """The newest report of each node, the one heard longest ago first."""

    def __init__(self):
        self.dropped = 0
        """Reports that were not kept since `NODES_AT_MOST` other nodes were."""
        self._heard: OrderedDict[str, tuple[int, NodeReport]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._heard)

    def hear(self, now: int, report: NodeReport) -> None:
        """A node's report."""
        self._forget(now)
        if report.node not in self._heard and len(self._heard) >= NODES_AT_MOST:
            self.dropped += 1
            return
        self._heard[report.node] = now, report
        self._heard.move_to_end(report.node)

    def _forget(self, now: int) -> None:
        while self._heard:
            node, (heard, _) = next(iter(self._heard.items()))
            if now - heard <= KEPT:
                return
            del self._heard[node]

    def told(self, now: int, nodes: list[str], watching: set[str]) -> list[ReceivedReport]:
        """Reports of these nodes, or of all where none is named."""
        self._forget(now)
        named = nodes or list(self._heard)
        return [
            ReceivedReport(
                report=self._heard[node][1],
                age_us=now - self._heard[node][0],
                watching=node in watching,
            )
            for node in named
            if node in self._heard
        ]
