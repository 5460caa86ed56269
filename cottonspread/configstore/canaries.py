"""Evaluation of the canaries' reports on a new version."""

from enum import StrEnum

from cottonspread.configstore.messages import SECOND, ReceivedReport

SETTLE_TIME = 1 * SECOND
"""Delay between enough canaries running the version and the next stage, so that a canary can notice that it
is unhealthy. Of the 3 s allowed for a change, the round trips between regions take about 0.6 s and the last
node's check and save some tens of ms."""
CANARY_TIMEOUT = 10 * SECOND
"""Without enough canaries running it by then the version is withdrawn: a hanging check counts as failed."""
REQUIRED_OF_THREE = 2
"""Required share of the canaries: two of three, rounded up. On an ordinary day two machines fail, so silence
of a third of the canaries says little; a single refusal is significant."""


class Verdict(StrEnum):
    """Result of the canaries so far."""

    WAIT = "wait"
    GOOD = "good"
    BAD = "bad"


class Canaries:
    """The canaries of one version."""

    def __init__(self, now: int, version: int, names: tuple[str, ...]):
        """`now`: when the version was committed at stage CANARY; `names`: the canaries."""
        self.names, self.why = names, ""
        """`why`: the reason for BAD."""
        self.in_force: set[str] = set()
        self._version, self._since, self._reached_at = version, now, None
        self._required = -(-len(names) * REQUIRED_OF_THREE // 3)

    def add_reports(self, now: int, reports: list[ReceivedReport]) -> None:
        """Adds the reports of one replica; an older report elsewhere does not undo a canary's earlier one."""
        for received in reports:
            report = received.report
            if report.node not in self.names:
                continue
            if self._version in (report.refused, report.failing):
                self.why = self.why or f"{report.node}: {report.why}"
            elif report.in_force >= self._version:
                self.in_force.add(report.node)
        if self._reached_at is None and self.names and len(self.in_force) >= self._required:
            self._reached_at = now

    def verdict(self, now: int) -> Verdict:
        """Returns the verdict at this time."""
        if self.why:
            return Verdict.BAD
        if self._reached_at is not None and now >= self._reached_at + SETTLE_TIME:
            return Verdict.GOOD
        if self._reached_at is None and now >= self._since + CANARY_TIMEOUT:
            self.why = f"only {len(self.in_force)} of {len(self.names)} canaries in force in time"
            return Verdict.BAD
        return Verdict.WAIT

    def next_change_at(self) -> int:
        """Returns when the verdict may change without a further report."""
        return self._since + CANARY_TIMEOUT if self._reached_at is None else self._reached_at + SETTLE_TIME
