"""Scenarios of the configuration store at the size of a fleet: the faults, the changes, and what is measured.

Each scenario begins with a fleet that has applied one version and ends with a row of results. The invariants
are checked at every step; at the end no node that can reach a majority lags.
"""

import math
from dataclasses import dataclass, field

from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.configstore import replica as rp
from cottonspread.lab.scale import results
from cottonspread.lab.scale.configuration_fleet import Fleet, reply_corrupter
from cottonspread.lab.scale.configuration_network import FleetParameters
from cottonspread.lab.sim.world import SECOND

MAX_WAIT_S = 60
"""The longest that a scenario waits for a condition."""
TARGET_S = 3.0
"""Seconds from the start of its publish within which `TARGET_SHARE` of the nodes must apply a change."""
TARGET_SHARE = 0.99
"""Smallest share of the nodes that can reach a majority for which a change counts as applied in time."""


@dataclass
class PropagationTimes:
    """When nodes applied changes, in seconds after the publish started."""

    seconds: list[float] = field(default_factory=list)
    cases: int = 0
    """Sum over the changes of the nodes that were reachable before and after each."""
    in_time: int = 0

    def percentile(self, share: float) -> float:
        """The time until this share of the recorded times had passed; 0 without times."""
        ranked = sorted(self.seconds)
        return ranked[max(0, math.ceil(len(ranked) * share) - 1)] if ranked else 0.0

    def figures(self) -> dict[str, float]:
        """The figures for a row of results."""
        return {
            "in_force_50_s": round(self.percentile(0.5), 3),
            "in_force_99_s": round(self.percentile(0.99), 3),
            "in_force_last_s": round(self.percentile(1.0), 3),
            "share_within_3_s": round(self.in_time / self.cases, 5) if self.cases else 0.0,
            "cases": self.cases,
        }


class ScenarioRun:
    """A fleet that has applied version 1, and the changes that a scenario makes to it."""

    def __init__(self, seed, parameters: FleetParameters, small: bool):
        """Runs the fleet until version 1 is in force. `small`: scenarios make fewer changes."""
        self.fleet, self.small, self.times = Fleet(seed, parameters), small, PropagationTimes()
        self.rng = self.fleet.world.random_stream("play")
        self._body_count = 0
        self.fleet.run_for(12)
        self.publish(self.body(), timed=False)
        self.fleet.run_until_converged()

    def body(self, kind="fine") -> str:
        """A new body of the size in the parameters; its first word decides how nodes' steps end."""
        self._body_count += 1
        return f"{kind} {self._body_count}\n".ljust(self.fleet.parameters.body_bytes, "x")

    def publish(self, body, timed=True, region=0, **options) -> pu.Done | None:
        """Publishes a change and advances until the publisher ends; if timed, at least 3 s from its start."""
        fleet = self.fleet
        before = set(fleet.reachable())
        host = fleet.publish(pu.Publish(body), region, **options)
        fleet.run_until_done(host)
        if timed:
            fleet.world.run(max(fleet.world.now, host.began + int(TARGET_S * SECOND)))
        if timed and host.done is not None and host.done.outcome == pu.Outcome.IN_FORCE:
            self._record_times(host, before & set(fleet.reachable()))
        return host.done

    def _record_times(self, host, nodes) -> None:
        change = self.fleet.invariants.changes[host.done.version]
        for node in nodes:
            elapsed = change.times.get(node)
            self.times.cases += 1
            self.times.in_time += elapsed is not None and elapsed <= TARGET_S * SECOND
            if elapsed is not None:
                self.times.seconds.append(elapsed / SECOND)

    def expect(self, condition, *words) -> None:
        """Records a violation unless the condition, one of this scenario's own, holds."""
        self.fleet.invariants.check(condition, *words)

    def row(
        self, event: str, notes: str = "", convergence_s: float | None = None, **figures
    ) -> results.FaultRow:
        """Ends the scenario: checks that all reachable nodes converge and that changes came in time."""
        elapsed_s = self.fleet.run_until_converged()
        convergence_s = convergence_s if convergence_s is not None else elapsed_s
        self.expect(elapsed_s is not None, "reachable nodes lag:", *self.fleet.lagging()[:3])
        if self.times.cases:
            share = self.times.in_time / self.times.cases
            self.expect(share >= TARGET_SHARE, "in force within 3 s at", share)
            figures = self.times.figures() | figures
        violations = self.fleet.invariants.violations
        return results.FaultRow(
            event=event,
            figures={name: float(value) for name, value in figures.items()},
            seconds_until_whole=convergence_s,
            rules_broken=len(violations),
            notes="; ".join(filter(None, [notes, *violations[:3], f"sum {self.fleet.world.trace_digest()}"])),
        )


def calm(run: ScenarioRun):
    """Idle for two minutes, then one change."""
    fleet = run.fleet
    duration = 120
    before = _traffic(fleet)
    fleet.run_for(duration)
    idle = {name: value / duration for name, value in _traffic_difference(before, _traffic(fleet)).items()}
    before = _traffic(fleet)
    run.publish(run.body())
    fleet.run_until_converged()
    change = _traffic_difference(before, _traffic(fleet))
    return run.row(
        "calm: one change",
        idle_node_bytes_s=round(idle["node_bytes"], 1),
        idle_node_messages_s=round(idle["node_messages"], 3),
        idle_replica_bytes_s=round(idle["replica_bytes"], 1),
        idle_replica_messages_s=round(idle["replica_messages"], 1),
        change_node_bytes=round(change["node_bytes"], 1),
        change_node_messages=round(change["node_messages"], 2),
        change_replica_bytes=round(change["replica_bytes"], 1),
    )


def _traffic(fleet: Fleet) -> dict[str, float]:
    """Bytes and messages in both directions: the mean of a node, and those of the busiest replica."""
    nodes, replicas = fleet.nodes.values(), fleet.replicas.values()
    return {
        "node_bytes": sum(node.bytes_in + node.bytes_out for node in nodes) / len(nodes),
        "node_messages": sum(node.messages for node in nodes) / len(nodes),
        "replica_bytes": max(one.bytes_in + one.bytes_out for one in replicas),
        "replica_messages": max(one.messages for one in replicas),
    }


def _traffic_difference(before, now):
    return {name: now[name] - before[name] for name in now}


def _faulty(kind: str, what: str):
    def faulty(run: ScenarioRun):
        fleet = run.fleet
        began, versions_before = fleet.world.now, dict(fleet.invariants.in_force)
        done = run.publish(run.body(kind), timed=False)
        ended = (fleet.world.now - began) / SECOND
        convergence_s = fleet.run_until_converged()
        reached = fleet.invariants.nodes_given_faulty
        run.expect(done is not None and done.outcome == pu.Outcome.WITHDRAWN, "not withdrawn", done)
        canaries = max(2, math.ceil(len(fleet.nodes) * 0.02))
        run.expect(len(reached) <= canaries, "reached", len(reached), "nodes")
        run.expect(set(versions_before) == set(fleet.nodes), "a node had nothing in force")
        return run.row(
            f"a faulty change: {what}",
            convergence_s=round((ended + convergence_s), 3) if convergence_s is not None else None,
            reached_nodes=len(reached),
            canaries=canaries,
            seconds_until_withdrawn=round(ended, 3),
        )

    faulty.__doc__ = f"A change that canaries find faulty: {what}."
    return faulty


def day_in_a_row(run: ScenarioRun):
    """380 changes, each begun when the one before is committed everywhere."""
    fleet, changes = run.fleet, 12 if run.small else 380
    began, remaining = fleet.world.now, [changes]

    def on_done(host):
        run.expect(host.done.outcome == pu.Outcome.IN_FORCE, "ended", host.done)
        remaining[0] -= 1
        if remaining[0]:
            fleet.publish(pu.Publish(run.body()), on_done=on_done)

    nodes = set(fleet.reachable())
    fleet.publish(pu.Publish(run.body()), on_done=on_done)
    while remaining[0] and fleet.world.now < began + changes * 10 * SECOND:
        fleet.run_for(1)
    fleet.run_for(TARGET_S)
    run.expect(remaining[0] == 0, remaining[0], "changes not made")
    for host in fleet.publishers[1:]:
        run._record_times(host, nodes)
    return run.row(
        f"{changes} changes in a row",
        changes=changes,
        span_s=round((fleet.world.now - began) / SECOND - TARGET_S, 1),
    )


def one_replica_lost(run: ScenarioRun):
    """Each replica in turn: its machine goes silent, changes are published, it returns."""
    fleet, seconds = run.fleet, []
    for name in fleet.replica_names:
        fleet.replicas[name].stop(silently=True)
        fleet.run_for(1)
        _publish_and_check(run)
        fleet.run_for(30)
        _publish_and_check(run)
        fleet.replicas[name].start()
        elapsed_s = _wait_until(fleet, lambda: _replicas_agree(fleet))
        run.expect(elapsed_s is not None, name, "does not catch up")
        seconds.append(elapsed_s if elapsed_s is not None else MAX_WAIT_S)
        fleet.run_for(5)
    return run.row("one of three replicas lost, each in turn", replica_caught_up_s=round(max(seconds), 2))


def _replicas_agree(fleet: Fleet) -> bool:
    """Whether all replicas have committed the same generation."""
    return len({one.core.state.committed.generation for one in fleet.replicas.values()}) == 1


def _publish_and_check(run: ScenarioRun, **options):
    done = run.publish(run.body(), **options)
    run.expect(done is not None and done.outcome == pu.Outcome.IN_FORCE, "ended", done)


def one_replica_lost_in_the_midst(run: ScenarioRun):
    """A replica's machine goes silent at various moments of a publish."""
    fleet = run.fleet
    for number in range(4 if run.small else 10):
        name = run.rng.choice(fleet.replica_names)
        fleet.world.after(number * 160_000, fleet.replicas[name].stop, True)
        _publish_and_check(run)
        fleet.run_for(10)
        fleet.replicas[name].start()
        fleet.run_for(10)
    return run.row("one of three replicas lost in the midst of a publish")


def two_replicas_lost(run: ScenarioRun):
    """Two replicas' machines go silent in the middle of a publish; later they return."""
    fleet = run.fleet
    host = fleet.publish(pu.Publish(run.body()))
    fleet.run_for(0.25)
    for name in fleet.replica_names[1:]:
        fleet.replicas[name].stop(silently=True)
    fleet.run_until_done(host)
    run.expect(host.done.outcome == pu.Outcome.NO_QUORUM, "ended", host.done)
    no_quorum_s = (host.ended - host.began) / SECOND
    fleet.run_for(40)
    reported = sum(node.core.is_cut_off(fleet.world.now) for node in fleet.nodes.values())
    kept = sum(fleet.invariants.in_force.get(name, 0) > 0 for name in fleet.nodes)
    for name in fleet.replica_names[1:]:
        fleet.replicas[name].start()
    began = fleet.world.now
    reconnect_s = _wait_until(
        fleet, lambda: not any(n.core.is_cut_off(fleet.world.now) for n in fleet.nodes.values())
    )
    fleet.run_until_done(fleet.publish(pu.Resume()))
    _publish_and_check(run)
    return run.row(
        "two of three replicas lost in the midst of a publish",
        convergence_s=round(reconnect_s, 2) if reconnect_s is not None else None,
        seconds_until_no_quorum=round(no_quorum_s, 2),
        nodes_that_said_cut_off=reported,
        nodes_that_kept_a_version=kept,
        seconds_of_loss=round((began - host.began) / SECOND),
    )


def _wait_until(fleet: Fleet, condition, max_seconds=MAX_WAIT_S) -> float | None:
    began = fleet.world.now
    while fleet.world.now < began + max_seconds * SECOND:
        if condition():
            return (fleet.world.now - began) / SECOND
        fleet.run_for(0.05)
    return None


def region_cut_off(run: ScenarioRun):
    """A region is cut off for three minutes while changes are published, and returns."""
    fleet, region = run.fleet, 2
    inside = [node for node in fleet.nodes.values() if node.location.region == region]
    fleet.network.isolate_region(region)
    for _ in range(2 if run.small else 5):
        fleet.run_for(30)
        _publish_and_check(run)
    fleet.run_for(30)
    behind = sum(fleet.invariants.in_force.get(node.name, 0) < fleet.invariants.everywhere for node in inside)
    reported = sum(node.core.is_cut_off(fleet.world.now) for node in inside)
    wrongly_reported = sum(node.core.is_cut_off(fleet.world.now) for node in fleet.nodes.values()) - reported
    before = sum(node.bytes_in + node.bytes_out for node in inside)
    fleet.network.heal()
    convergence_s = fleet.run_until_converged()
    after = sum(node.bytes_in + node.bytes_out for node in inside)
    reconnect_s = _wait_until(fleet, lambda: not any(n.core.is_cut_off(fleet.world.now) for n in inside))
    return run.row(
        "a region cut off, changes meanwhile, its return",
        convergence_s=convergence_s,
        nodes_cut_off=len(inside),
        nodes_that_said_so=reported,
        others_that_said_so=wrongly_reported,
        nodes_behind=behind,
        bytes_a_node_to_catch_up=round((after - before) / len(inside)),
        seconds_until_all_said_back=round(convergence_s + reconnect_s, 2)
        if None not in (convergence_s, reconnect_s)
        else -1,
    )


def publisher_in_the_cut_off_region(run: ScenarioRun):
    """A publish from inside a region that is cut off finds no quorum; one from outside succeeds."""
    fleet = run.fleet
    fleet.network.isolate_region(2)
    fleet.run_for(20)
    done = run.publish(run.body(), region=2)
    run.expect(done is not None and done.outcome == pu.Outcome.NO_QUORUM, "ended", done)
    _publish_and_check(run)
    fleet.network.heal()
    convergence_s = fleet.run_until_converged()
    return run.row("a publish from inside a region that is cut off", convergence_s=convergence_s)


def region_cut_off_just_before(run: ScenarioRun):
    """A change 2 s after a region was cut off: withdrawn if over a third of the canaries are there."""
    fleet, outcomes = run.fleet, []
    for _ in range(4 if run.small else 20):
        fleet.network.isolate_region(run.rng.choice([1, 2]))
        fleet.run_for(2)
        done = run.publish(run.body())
        outcomes.append(done.outcome if done else None)
        fleet.network.heal()
        fleet.run_for(30)
    in_force = outcomes.count(pu.Outcome.IN_FORCE)
    withdrawn = outcomes.count(pu.Outcome.WITHDRAWN)
    run.expect(in_force + withdrawn == len(outcomes), "ended", outcomes)
    return run.row(
        "a change 2 s after a region was cut off",
        "withdrawn where over a third of the canaries stood in the region",
        changes=len(outcomes),
        changes_withdrawn=withdrawn,
    )


def zone_lost(run: ScenarioRun):
    """All machines of a zone with a replica go silent in the middle of a change, and return."""
    fleet, zone = run.fleet, 0
    hosts = [h for h in [*fleet.replicas.values(), *fleet.nodes.values()] if h.location.zone == zone]
    for host in hosts:
        fleet.world.after(300_000, host.stop, True)
    _publish_and_check(run, region=1)
    fleet.run_for(60)
    _publish_and_check(run, region=1)
    for host in hosts:
        host.start()
    convergence_s = fleet.run_until_converged()
    return run.row(
        "a zone with a replica lost in the midst of a change, its return", convergence_s=convergence_s
    )


def release(run: ScenarioRun):
    """Every node is restarted, 3.5 per second, while changes are published."""
    fleet = run.fleet
    rate, downtime = 3.5, 4 * SECOND
    for number, node in enumerate(fleet.nodes.values()):
        at = int(number / rate * SECOND)
        fleet.world.after(at, node.stop)
        fleet.world.after(at + downtime, node.start)
    until = fleet.world.now + int(len(fleet.nodes) / rate * SECOND) + downtime
    changes = 0
    while fleet.world.now < until:
        _publish_and_check(run)
        changes += 1
        fleet.run_for(3)
    fleet.run_for(5)
    return run.row("a release that restarts every node, changes meanwhile", changes=changes)


def replica_restarts(run: ScenarioRun):
    """A replica's process restarts at a random moment of each change."""
    fleet = run.fleet
    for _ in range(4 if run.small else 12):
        name = run.rng.choice(fleet.replica_names)
        at = run.rng.randbelow(1_600_000)
        fleet.world.after(at, fleet.replicas[name].stop)
        fleet.world.after(at + 300_000, fleet.replicas[name].start)
        _publish_and_check(run)
        fleet.run_for(3)
    return run.row("a replica that restarts in the midst of a change")


def wrong_answers(run: ScenarioRun):
    """One replica damages, replaces or alters up to three of five replies to watches, during changes."""
    fleet = run.fleet
    faulty_replica = fleet.replicas["r1"]
    faulty_replica.corrupt_reply = reply_corrupter(fleet, "r1")
    for _ in range(4 if run.small else 10):
        _publish_and_check(run)
        fleet.run_for(10)
    faulty_replica.corrupt_reply = None
    fleet.run_for(10)
    return run.row("one replica tells damaged, older and other answers")


def two_publishers(run: ScenarioRun):
    """Two publishers at the same time, from two regions, up to 300 ms apart."""
    fleet, outcomes = run.fleet, []
    for _ in range(4 if run.small else 12):
        one = fleet.publish(pu.Publish(run.body()), 0)
        fleet.world.run(fleet.world.now + run.rng.randbelow(300_000))
        other = fleet.publish(pu.Publish(run.body()), 1)
        for host in (one, other):
            fleet.run_until_done(host)
            outcomes.append(host.done.outcome if host.done else None)
        fleet.run_until_converged()
    succeeded = outcomes.count(pu.Outcome.IN_FORCE)
    run.expect(None not in outcomes, "a publisher without an end")
    return run.row("two publishers at a time", runs=len(outcomes), in_force=succeeded)


def publisher_dies(run: ScenarioRun):
    """A publisher dies at each step; another resumes its change, and a further change is published."""
    fleet, outcomes = run.fleet, []
    for step in pu.Step:
        host = fleet.publish(pu.Publish(run.body()), crash_at=step)
        fleet.run_for(3)
        run.expect(not host.is_running, "did not die at", step)
        resumed = fleet.publish(pu.Resume())
        fleet.run_until_done(resumed)
        outcomes.append(resumed.done.outcome)
        _publish_and_check(run)
    run.expect(outcomes[-1] == pu.Outcome.IN_FORCE, "canaries not resumed", outcomes)
    return run.row("a publisher that dies at each step, another resumes", deaths=len(outcomes))


def lossy(run: ScenarioRun):
    """One message in a hundred is lost and not sent again, while changes are published."""
    fleet, changes, outcomes = run.fleet, 5 if run.small else 20, []
    fleet.network.loss = 0.01
    for _ in range(changes):
        outcomes.append(run.publish(run.body()))
        fleet.run_for(10)
    fleet.network.loss = 0
    fleet.run_for(20)
    good = sum(done is not None and done.outcome == pu.Outcome.IN_FORCE for done in outcomes)
    # Without cases `row` does not require the target share, which the losses may prevent.
    share, run.times.cases = run.times.figures()["share_within_3_s"], 0
    return run.row(
        "one message in a hundred lost for good",
        "late ones are counted, not held against it",
        changes=changes,
        changes_in_force=good,
        share_within_3_s=share,
    )


SCENARIOS = (
    calm,
    _faulty("refused", "refused by the check"),
    _faulty("unfit", "does not start"),
    _faulty("ill", "ill once in force"),
    _faulty("hangs", "its check hangs"),
    day_in_a_row,
    one_replica_lost,
    one_replica_lost_in_the_midst,
    two_replicas_lost,
    region_cut_off,
    publisher_in_the_cut_off_region,
    region_cut_off_just_before,
    zone_lost,
    release,
    replica_restarts,
    wrong_answers,
    two_publishers,
    publisher_dies,
    lossy,
)


class RandomScenario:
    """Random faults and changes from a seed, in a small fleet, which has to converge after all faults end."""

    parameters = FleetParameters(nodes=8, body_bytes=64)

    def __init__(self, seed):
        """Builds the fleet; `seed` determines every fault and change."""
        self.fleet = Fleet(f"random:{seed}", self.parameters)
        self.rng = self.fleet.world.random_stream("faults")
        self._body_count = 0
        self.convergence_s: float | None = None
        """Seconds from the end of the last change until no node lagged; None: not within 20 s."""

    def run(self, actions=25) -> list[str]:
        """Runs the scenario; returns the violations."""
        fleet = self.fleet
        fleet.run_for(2)
        for _ in range(actions):
            self._random_action()
            fleet.run_for(self.rng.randbelow(3_000) / 1000)
        self._heal()
        fleet.run_for(25)
        done = fleet.run_until_done(fleet.publish(pu.Resume()))
        fleet.invariants.check(done is not None, "a resume without an end")
        last = fleet.publish(pu.Publish("fine at last", without_canaries=True))
        done = fleet.run_until_done(last)
        fleet.invariants.check(
            done is not None and done.outcome == pu.Outcome.IN_FORCE, "the last change ended", done
        )
        self.convergence_s = convergence_s = fleet.run_until_converged(20)
        fleet.invariants.check(convergence_s is not None, "nodes lag:", *fleet.lagging())
        return fleet.invariants.violations

    def _random_action(self) -> None:
        rng = self.rng
        match rng.randbelow(11):
            case 0 | 1 | 2:
                self._publish()
            case 3:
                self._publish(pu.Resume() if rng.randbelow(2) else pu.Withdraw())
            case 4 | 5:
                self._stop_or_start(rng.choice(list(self.fleet.replicas.values())))
            case 6 | 7:
                self._stop_or_start(rng.choice(list(self.fleet.nodes.values())))
            case 8:
                self.fleet.network.isolate_region(rng.randbelow(3))
            case 9:
                self.fleet.network.heal()
            case 10:
                self.fleet.network.loss = 0.0 if self.fleet.network.loss else 0.1

    def _publish(self, order=None) -> None:
        kinds = "fine", "fine", "refused", "unfit", "hangs"  # no "ill": with losses its report may be late
        self._body_count += 1
        body = f"{self.rng.choice(kinds)} {self._body_count}"
        crash_steps = [None, None, None, *pu.Step]
        self.fleet.publish(
            order or pu.Publish(body), region=self.rng.randbelow(3), crash_at=self.rng.choice(crash_steps)
        )

    def _stop_or_start(self, host) -> None:
        if host.is_running:
            host.stop(silently=bool(self.rng.randbelow(2)))
        else:
            host.start()

    def _heal(self) -> None:
        fleet = self.fleet
        fleet.network.loss = 0.0
        fleet.network.heal()
        for host in [*fleet.replicas.values(), *fleet.nodes.values()]:
            if not host.is_running:
                host.start()


class RandomPublisherScenario(RandomScenario):
    """Publishers at the same time, with replicas that write slowly and restart often."""

    parameters = FleetParameters(nodes=3, body_bytes=64, store=150_000)

    def _random_action(self) -> None:
        rng = self.rng
        match rng.randbelow(8):
            case 0 | 1 | 2 | 3:
                for _ in range(rng.randint(1, 3)):
                    body = f"fine {rng.next_uint32()}"
                    order = pu.Publish(body, without_canaries=bool(rng.randbelow(4)))
                    self.fleet.world.after(rng.randbelow(300_000), self._start_publisher, order)
            case 4:
                self._publish(pu.Resume() if rng.randbelow(2) else pu.Withdraw())
            case _:
                replica = rng.choice(list(self.fleet.replicas.values()))
                if replica.is_running:
                    replica.stop()
                    self.fleet.world.after(rng.randbelow(300_000), replica.start)

    def _start_publisher(self, order) -> None:
        self.fleet.publish(order, region=self.rng.randbelow(3))


def measure_idle(nodes: int, seed=1, duration=60) -> dict[str, float]:
    """Bytes and messages per second of an idle fleet's mean node and of its busiest replica."""
    fleet = Fleet(seed, FleetParameters(nodes=nodes))
    fleet.run_for(12)
    fleet.run_until_done(fleet.publish(pu.Publish("fine".ljust(fleet.parameters.body_bytes, "x"))))
    fleet.run_for(20)
    before = _traffic(fleet)
    fleet.run_for(duration)
    return {name: value / duration for name, value in _traffic_difference(before, _traffic(fleet)).items()}


def replica_with_watches(nodes: int) -> rp.Replica:
    """A replica core with the reports and both watches of `nodes` nodes."""
    core = rp.Replica("r1", ("r2", "r3"), m.ReplicaState(), lambda: 0.5)
    number = 0
    for name in (f"z1-node-{one:03}" for one in range(nodes)):
        for _ in range(2):
            number += 1
            report = m.NodeReport(node=name, in_force=1)
            core.step(
                0, rp.RequestReceived(number, m.WatchRequest(since=1, timeout_ms=10_000, report=report))
            )
    return core
