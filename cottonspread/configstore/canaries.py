"""What the canaries say of a version, and what follows."""

from enum import StrEnum

from cottonspread.configstore.messages import SECOND, ReceivedReport

SETTLE_TIME = 1 * SECOND
"""Between enough canaries in force and the next stage: time for a canary to find itself ill. Of the 3 s for a
change, the rounds between regions take about 0.6 s and the last node's check and save some tens of ms."""
CANARY_TIMEOUT = 10 * SECOND
"""Without enough canaries in force by then the version is withdrawn: a check that hangs is no good one."""
REQUIRED_OF_THREE = 2
"""Two of three canaries, rounded up: on an ordinary day two machines fail, and silence of a third says
little; one refusal says much."""


class Verdict(StrEnum):
    """What the canaries tell so far."""

    WAIT = "wait"
    GOOD = "good"
    BAD = "bad"


class Canaries:
    """The canaries of one version."""

    def __init__(self, now: int, version: int, names: tuple[str, ...]):
        self.names, self.why = names, ""
        """`why`: of BAD."""
        self.in_force: set[str] = set()
        self._version, self._since, self._reached_at = version, now, None
        self._required = -(-len(names) * REQUIRED_OF_THREE // 3)

    def add_reports(self, now: int, reports: list[ReceivedReport]) -> None:
        """Reports of one replica; what a canary said once is not taken back by an older report elsewhere."""
        for heard in reports:
            report = heard.report
            if report.node not in self.names:
                continue
            if self._version in (report.refused, report.failing):
                self.why = self.why or f"{report.node}: {report.why}"
            elif report.in_force >= self._version:
                self.in_force.add(report.node)
        if self._reached_at is None and self.names and len(self.in_force) >= self._required:
            self._reached_at = now

    def verdict(self, now: int) -> Verdict:
        """What follows now."""
        if self.why:
            return Verdict.BAD
        if self._reached_at is not None and now >= self._reached_at + SETTLE_TIME:
            return Verdict.GOOD
        if self._reached_at is None and now >= self._since + CANARY_TIMEOUT:
            self.why = f"{len(self.in_force)} of {len(self.names)} canaries in force in time"
            return Verdict.BAD
        return Verdict.WAIT

    def next_change_at(self) -> int:
        """When the verdict may change without a report."""
        return self._since + CANARY_TIMEOUT if self._reached_at is None else self._reached_at + SETTLE_TIME
