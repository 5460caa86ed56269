"""Plays of the configuration store at size: what happens to a fleet, and what is measured.

Each play begins with a fleet that has one version in force and ends with a row of results. Its promises are
checked at every step; at its end no node that can reach a majority lags.
"""

import math
from dataclasses import dataclass, field

from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu
from cottonspread.configstore import replica as re
from cottonspread.lab.scale import results
from cottonspread.lab.scale.configuration_fleet import Fleet, corrupt
from cottonspread.lab.scale.configuration_network import Shape
from cottonspread.lab.sim.world import SECOND

UNTIL_AT_MOST_S = 60
"""A play waits no longer for something to come true."""
TARGET_S = 3.0
"""A change is in force so long after its publish,"""
TARGET_SHARE = 0.99
"""at this share of the nodes that can reach a majority, at least."""


@dataclass
class Times:
    """When nodes had changes in force, in seconds after the publish."""

    seconds: list[float] = field(default_factory=list)
    cases: int = 0
    """Nodes reachable over the whole span, times changes."""
    in_time: int = 0

    def part(self, share: float) -> float:
        """The time until so large a share had it; 0 without times."""
        ranked = sorted(self.seconds)
        return ranked[max(0, math.ceil(len(ranked) * share) - 1)] if ranked else 0.0

    def figures(self) -> dict[str, float]:
        """For a row."""
        return {
            "in_force_50_s": round(self.part(0.5), 3),
            "in_force_99_s": round(self.part(0.99), 3),
            "in_force_last_s": round(self.part(1.0), 3),
            "share_within_3_s": round(self.in_time / self.cases, 5) if self.cases else 0.0,
            "cases": self.cases,
        }


class Play:
    """A fleet with version 1 in force, and the changes that are made to it."""

    def __init__(self, seed, shape: Shape, small: bool):
        self.fleet, self.small, self.times = Fleet(seed, shape), small, Times()
        self.draws = self.fleet.world.random_stream("play")
        self._number = 0
        self.fleet.run_for(12)
        self.publish(self.body(), timed=False)
        self.fleet.run_until_whole()

    def body(self, kind="fine") -> str:
        """Another body of the shape's size; its first word is what nodes find of it."""
        self._number += 1
        return f"{kind} {self._number}\n".ljust(self.fleet.shape.body_bytes, "x")

    def publish(self, body, timed=True, region=0, **more) -> pu.Done | None:
        """A change from its publish to 3 s later, and no earlier than its publisher's end."""
        fleet = self.fleet
        before = set(fleet.reachable())
        host = fleet.publish(pu.Publish(body), region, **more)
        fleet.run_until_done(host)
        if timed:
            fleet.world.run(max(fleet.world.now, host.began + int(TARGET_S * SECOND)))
        if timed and host.done is not None and host.done.outcome == pu.Outcome.IN_FORCE:
            self._time(host, before & set(fleet.reachable()))
        return host.done

    def _time(self, host, nodes) -> None:
        change = self.fleet.promises.changes[host.done.version]
        for node in nodes:
            taken = change.times.get(node)
            self.times.cases += 1
            self.times.in_time += taken is not None and taken <= TARGET_S * SECOND
            if taken is not None:
                self.times.seconds.append(taken / SECOND)

    def expect(self, true, *words) -> None:
        """A promise of this play."""
        self.fleet.promises.need(true, *words)

    def row(self, event: str, notes: str = "", whole: float | None = None, **figures) -> results.FaultRow:
        """The end: whole, in time, and nothing broken."""
        taken = self.fleet.run_until_whole()
        whole = whole if whole is not None else taken
        self.expect(taken is not None, "reachable nodes lag:", *self.fleet.lagging()[:3])
        if self.times.cases:
            share = self.times.in_time / self.times.cases
            self.expect(share >= TARGET_SHARE, "in force within 3 s at", share)
            figures = self.times.figures() | figures
        broken = self.fleet.promises.broken
        return results.FaultRow(
            event=event,
            figures={name: float(value) for name, value in figures.items()},
            seconds_until_whole=whole,
            rules_broken=len(broken),
            notes="; ".join(filter(None, [notes, *broken[:3], f"sum {self.fleet.world.trace_digest()}"])),
        )


def calm(play: Play):
    """Idle for two minutes, then one change."""
    fleet = play.fleet
    span = 120
    before = _traffic(fleet)
    fleet.run_for(span)
    idle = {name: value / span for name, value in _since(before, _traffic(fleet)).items()}
    before = _traffic(fleet)
    play.publish(play.body())
    fleet.run_until_whole()
    change = _since(before, _traffic(fleet))
    return play.row(
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
    """Means: of a node both directions, of the busiest replica both directions."""
    nodes, replicas = fleet.nodes.values(), fleet.replicas.values()
    return {
        "node_bytes": sum(node.bytes_in + node.bytes_out for node in nodes) / len(nodes),
        "node_messages": sum(node.messages for node in nodes) / len(nodes),
        "replica_bytes": max(one.bytes_in + one.bytes_out for one in replicas),
        "replica_messages": max(one.messages for one in replicas),
    }


def _since(before, now):
    return {name: now[name] - before[name] for name in now}


def _faulty(kind: str, what: str):
    def faulty(play: Play):
        fleet = play.fleet
        began, held = fleet.world.now, dict(fleet.promises.in_force)
        done = play.publish(play.body(kind), timed=False)
        ended = (fleet.world.now - began) / SECOND
        whole = fleet.run_until_whole()
        reached = fleet.promises.reached_by_faulty
        play.expect(done is not None and done.outcome == pu.Outcome.WITHDRAWN, "not withdrawn", done)
        canaries = max(2, math.ceil(len(fleet.nodes) * 0.02))
        play.expect(len(reached) <= canaries, "reached", len(reached), "nodes")
        play.expect(set(held) == set(fleet.nodes), "a node had nothing in force")
        return play.row(
            f"a faulty change: {what}",
            whole=round((ended + whole), 3) if whole is not None else None,
            reached_nodes=len(reached),
            canaries=canaries,
            seconds_until_withdrawn=round(ended, 3),
        )

    faulty.__doc__ = f"A change that canaries find faulty: {what}."
    return faulty


def day_in_a_row(play: Play):
    """380 changes, each begun when the one before is committed everywhere."""
    fleet, changes = play.fleet, 12 if play.small else 380
    began, left = fleet.world.now, [changes]

    def then(host):
        play.expect(host.done.outcome == pu.Outcome.IN_FORCE, "ended", host.done)
        left[0] -= 1
        if left[0]:
            fleet.publish(pu.Publish(play.body()), then=then)

    nodes = set(fleet.reachable())
    fleet.publish(pu.Publish(play.body()), then=then)
    while left[0] and fleet.world.now < began + changes * 10 * SECOND:
        fleet.run_for(1)
    fleet.run_for(TARGET_S)
    play.expect(left[0] == 0, left[0], "changes not made")
    for host in fleet.publishers[1:]:
        play._time(host, nodes)
    return play.row(
        f"{changes} changes in a row",
        changes=changes,
        span_s=round((fleet.world.now - began) / SECOND - TARGET_S, 1),
    )


def one_replica_lost(play: Play):
    """Each replica in turn: its machine goes silent, a change, it returns."""
    fleet, seconds = play.fleet, []
    for name in fleet.replica_names:
        fleet.replicas[name].stop(silently=True)
        fleet.run_for(1)
        _must_publish(play)
        fleet.run_for(30)
        _must_publish(play)
        fleet.replicas[name].start()
        taken = _until(fleet, lambda: _is_level(fleet))
        play.expect(taken is not None, name, "does not catch up")
        seconds.append(taken if taken is not None else UNTIL_AT_MOST_S)
        fleet.run_for(5)
    return play.row("one of three replicas lost, each in turn", replica_caught_up_s=round(max(seconds), 2))


def _is_level(fleet: Fleet) -> bool:
    """All replicas have committed the same."""
    return len({one.core.state.committed.generation for one in fleet.replicas.values()}) == 1


def _must_publish(play: Play, **more):
    done = play.publish(play.body(), **more)
    play.expect(done is not None and done.outcome == pu.Outcome.IN_FORCE, "ended", done)


def one_replica_lost_in_the_midst(play: Play):
    """Its machine goes silent at each moment of a publish."""
    fleet = play.fleet
    for part in range(4 if play.small else 10):
        name = play.draws.choice(fleet.replica_names)
        fleet.world.after(part * 160_000, fleet.replicas[name].stop, True)
        _must_publish(play)
        fleet.run_for(10)
        fleet.replicas[name].start()
        fleet.run_for(10)
    return play.row("one of three replicas lost in the midst of a publish")


def two_replicas_lost(play: Play):
    """Two machines go silent in the midst of a publish; later they return."""
    fleet = play.fleet
    host = fleet.publish(pu.Publish(play.body()))
    fleet.run_for(0.25)
    for name in fleet.replica_names[1:]:
        fleet.replicas[name].stop(silently=True)
    fleet.run_until_done(host)
    play.expect(host.done.outcome == pu.Outcome.NO_QUORUM, "ended", host.done)
    refused = (host.ended - host.began) / SECOND
    fleet.run_for(40)
    said = sum(node.core.is_cut_off(fleet.world.now) for node in fleet.nodes.values())
    held = sum(fleet.promises.in_force.get(name, 0) > 0 for name in fleet.nodes)
    for name in fleet.replica_names[1:]:
        fleet.replicas[name].start()
    began = fleet.world.now
    back = _until(fleet, lambda: not any(n.core.is_cut_off(fleet.world.now) for n in fleet.nodes.values()))
    fleet.run_until_done(fleet.publish(pu.Resume()))
    _must_publish(play)
    return play.row(
        "two of three replicas lost in the midst of a publish",
        whole=round(back, 2) if back is not None else None,
        seconds_until_no_quorum=round(refused, 2),
        nodes_that_said_cut_off=said,
        nodes_that_kept_a_version=held,
        seconds_of_loss=round((began - host.began) / SECOND),
    )


def _until(fleet: Fleet, true, most=UNTIL_AT_MOST_S) -> float | None:
    began = fleet.world.now
    while fleet.world.now < began + most * SECOND:
        if true():
            return (fleet.world.now - began) / SECOND
        fleet.run_for(0.05)
    return None


def region_cut_off(play: Play):
    """A region cut off for three minutes, changes meanwhile, its return."""
    fleet, region = play.fleet, 2
    inside = [node for node in fleet.nodes.values() if node.place.region == region]
    fleet.network.cut_region(region)
    for _ in range(2 if play.small else 5):
        fleet.run_for(30)
        _must_publish(play)
    fleet.run_for(30)
    behind = sum(fleet.promises.in_force.get(node.name, 0) < fleet.promises.everywhere for node in inside)
    said = sum(node.core.is_cut_off(fleet.world.now) for node in inside)
    wrongly = sum(node.core.is_cut_off(fleet.world.now) for node in fleet.nodes.values()) - said
    before = sum(node.bytes_in + node.bytes_out for node in inside)
    fleet.network.mend()
    whole = fleet.run_until_whole()
    after = sum(node.bytes_in + node.bytes_out for node in inside)
    back = _until(fleet, lambda: not any(n.core.is_cut_off(fleet.world.now) for n in inside))
    return play.row(
        "a region cut off, changes meanwhile, its return",
        whole=whole,
        nodes_cut_off=len(inside),
        nodes_that_said_so=said,
        others_that_said_so=wrongly,
        nodes_behind=behind,
        bytes_a_node_to_catch_up=round((after - before) / len(inside)),
        seconds_until_all_said_back=round(whole + back, 2) if None not in (whole, back) else -1,
    )


def publisher_in_the_cut_off_region(play: Play):
    """Staff publish from a region that is cut off: refused, and from outside it goes on."""
    fleet = play.fleet
    fleet.network.cut_region(2)
    fleet.run_for(20)
    done = play.publish(play.body(), region=2)
    play.expect(done is not None and done.outcome == pu.Outcome.NO_QUORUM, "ended", done)
    _must_publish(play)
    fleet.network.mend()
    whole = fleet.run_until_whole()
    return play.row("a publish from inside a region that is cut off", whole=whole)


def region_cut_off_just_before(play: Play):
    """A change 2 s after a region was cut off: its canaries may be silent, and then it is withdrawn."""
    fleet, outcomes = play.fleet, []
    for _ in range(4 if play.small else 20):
        fleet.network.cut_region(play.draws.choice([1, 2]))
        fleet.run_for(2)
        done = play.publish(play.body())
        outcomes.append(done.outcome if done else None)
        fleet.network.mend()
        fleet.run_for(30)
    in_force = outcomes.count(pu.Outcome.IN_FORCE)
    withdrawn = outcomes.count(pu.Outcome.WITHDRAWN)
    play.expect(in_force + withdrawn == len(outcomes), "ended", outcomes)
    return play.row(
        "a change 2 s after a region was cut off",
        "withdrawn where over a third of the canaries stood in the region",
        changes=len(outcomes),
        changes_withdrawn=withdrawn,
    )


def zone_lost(play: Play):
    """All machines of a zone with a replica go silent in the midst of a change, and return."""
    fleet, zone = play.fleet, 0
    hosts = [h for h in [*fleet.replicas.values(), *fleet.nodes.values()] if h.place.zone == zone]
    for host in hosts:
        fleet.world.after(300_000, host.stop, True)
    _must_publish(play, region=1)
    fleet.run_for(60)
    _must_publish(play, region=1)
    for host in hosts:
        host.start()
    whole = fleet.run_until_whole()
    return play.row("a zone with a replica lost in the midst of a change, its return", whole=whole)


def release(play: Play):
    """Every node restarted, 3.5 a second, while changes go on."""
    fleet = play.fleet
    rate, away = 3.5, 4 * SECOND
    for number, node in enumerate(fleet.nodes.values()):
        at = int(number / rate * SECOND)
        fleet.world.after(at, node.stop)
        fleet.world.after(at + away, node.start)
    until = fleet.world.now + int(len(fleet.nodes) / rate * SECOND) + away
    changes = 0
    while fleet.world.now < until:
        _must_publish(play)
        changes += 1
        fleet.run_for(3)
    fleet.run_for(5)
    return play.row("a release that restarts every node, changes meanwhile", changes=changes)


def replica_restarts(play: Play):
    """A replica's process restarts at drawn moments of each of some changes."""
    fleet = play.fleet
    for _ in range(4 if play.small else 12):
        name = play.draws.choice(fleet.replica_names)
        at = play.draws.randbelow(1_600_000)
        fleet.world.after(at, fleet.replicas[name].stop)
        fleet.world.after(at + 300_000, fleet.replicas[name].start)
        _must_publish(play)
        fleet.run_for(3)
    return play.row("a replica that restarts in the midst of a change")


def wrong_answers(play: Play):
    """One replica tells damaged, older and other answers to four of five watches, while changes go on."""
    fleet = play.fleet
    liar = fleet.replicas["r1"]
    liar.lies = corrupt(fleet, "r1")
    for _ in range(4 if play.small else 10):
        _must_publish(play)
        fleet.run_for(10)
    liar.lies = None
    fleet.run_for(10)
    return play.row("one replica tells damaged, older and other answers")


def two_publishers(play: Play):
    """Two publishers at a time, from two regions, a few ms apart."""
    fleet, outcomes = play.fleet, []
    for _ in range(4 if play.small else 12):
        one = fleet.publish(pu.Publish(play.body()), 0)
        fleet.world.run(fleet.world.now + play.draws.randbelow(300_000))
        other = fleet.publish(pu.Publish(play.body()), 1)
        for host in (one, other):
            fleet.run_until_done(host)
            outcomes.append(host.done.outcome if host.done else None)
        fleet.run_until_whole()
    won = outcomes.count(pu.Outcome.IN_FORCE)
    play.expect(None not in outcomes, "a publisher without an end")
    return play.row("two publishers at a time", runs=len(outcomes), in_force=won)


def publisher_dies(play: Play):
    """A publisher dies at each step; another resumes, and a change after it."""
    fleet, outcomes = play.fleet, []
    for step in pu.Step:
        host = fleet.publish(pu.Publish(play.body()), dies_at=step)
        fleet.run_for(3)
        play.expect(not host.is_running, "did not die at", step)
        resumed = fleet.publish(pu.Resume())
        fleet.run_until_done(resumed)
        outcomes.append(resumed.done.outcome)
        _must_publish(play)
    play.expect(outcomes[-1] == pu.Outcome.IN_FORCE, "canaries not resumed", outcomes)
    return play.row("a publisher that dies at each step, another resumes", deaths=len(outcomes))


def lossy(play: Play):
    """One message in a hundred is lost, for good, while changes go on."""
    fleet, changes, ended = play.fleet, 5 if play.small else 20, []
    fleet.network.loss = 0.01
    for _ in range(changes):
        ended.append(play.publish(play.body()))
        fleet.run_for(10)
    fleet.network.loss = 0
    fleet.run_for(20)
    good = sum(done is not None and done.outcome == pu.Outcome.IN_FORCE for done in ended)
    share, play.times.cases = play.times.figures()["share_within_3_s"], 0
    return play.row(
        "one message in a hundred lost for good",
        "late ones are counted, not held against it",
        changes=changes,
        changes_in_force=good,
        share_within_3_s=share,
    )


PLAYS = (
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


class RandomPlay:
    """Faults and changes drawn from a seed, at a small size; then all is mended and must become whole."""

    shape = Shape(nodes=8, body_bytes=64)

    def __init__(self, seed):
        self.fleet = Fleet(f"random:{seed}", self.shape)
        self.draws = self.fleet.world.random_stream("faults")
        self._bodies = 0
        self.whole: float | None = None
        """Seconds from the last change's end until no node lagged."""

    def run(self, actions=25) -> list[str]:
        """Broken promises."""
        fleet = self.fleet
        fleet.run_for(2)
        for _ in range(actions):
            self._act()
            fleet.run_for(self.draws.randbelow(3_000) / 1000)
        self._mend()
        fleet.run_for(25)
        done = fleet.run_until_done(fleet.publish(pu.Resume()))
        fleet.promises.need(done is not None, "a resume without an end")
        last = fleet.publish(pu.Publish("fine at last", without_canaries=True))
        done = fleet.run_until_done(last)
        fleet.promises.need(
            done is not None and done.outcome == pu.Outcome.IN_FORCE, "the last change ended", done
        )
        self.whole = whole = fleet.run_until_whole(20)
        fleet.promises.need(whole is not None, "nodes lag:", *fleet.lagging())
        return fleet.promises.broken

    def _act(self) -> None:
        draws = self.draws
        match draws.randbelow(11):
            case 0 | 1 | 2:
                self._publish()
            case 3:
                self._publish(pu.Resume() if draws.randbelow(2) else pu.Withdraw())
            case 4 | 5:
                self._stop_or_start(draws.choice(list(self.fleet.replicas.values())))
            case 6 | 7:
                self._stop_or_start(draws.choice(list(self.fleet.nodes.values())))
            case 8:
                self.fleet.network.cut_region(draws.randbelow(3))
            case 9:
                self.fleet.network.mend()
            case 10:
                self.fleet.network.loss = 0.0 if self.fleet.network.loss else 0.1

    def _publish(self, order=None) -> None:
        kinds = "fine", "fine", "refused", "unfit", "hangs"  # an illness may be told too late with losses
        self._bodies += 1
        body = f"{self.draws.choice(kinds)} {self._bodies}"
        steps = [None, None, None, *pu.Step]
        self.fleet.publish(
            order or pu.Publish(body), region=self.draws.randbelow(3), dies_at=self.draws.choice(steps)
        )

    def _stop_or_start(self, host) -> None:
        if host.is_running:
            host.stop(silently=bool(self.draws.randbelow(2)))
        else:
            host.start()

    def _mend(self) -> None:
        fleet = self.fleet
        fleet.network.loss = 0.0
        fleet.network.mend()
        for host in [*fleet.replicas.values(), *fleet.nodes.values()]:
            if not host.is_running:
                host.start()


class RandomPublishers(RandomPlay):
    """Publishers at the same time, before replicas that write slowly and restart often."""

    shape = Shape(nodes=3, body_bytes=64, store=150_000)

    def _act(self) -> None:
        draws = self.draws
        match draws.randbelow(8):
            case 0 | 1 | 2 | 3:
                for _ in range(draws.randint(1, 3)):
                    body = f"fine {draws.next_uint32()}"
                    order = pu.Publish(body, without_canaries=bool(draws.randbelow(4)))
                    self.fleet.world.after(draws.randbelow(300_000), self._begin, order)
            case 4:
                self._publish(pu.Resume() if draws.randbelow(2) else pu.Withdraw())
            case _:
                replica = draws.choice(list(self.fleet.replicas.values()))
                if replica.is_running:
                    replica.stop()
                    self.fleet.world.after(draws.randbelow(300_000), replica.start)

    def _begin(self, order) -> None:
        self.fleet.publish(order, region=self.draws.randbelow(3))


def idle_size(nodes: int, seed=1, span=60) -> dict[str, float]:
    """Bytes and messages a second of an idle fleet of that size, and of its busiest replica."""
    fleet = Fleet(seed, Shape(nodes=nodes))
    fleet.run_for(12)
    fleet.run_until_done(fleet.publish(pu.Publish("fine".ljust(fleet.shape.body_bytes, "x"))))
    fleet.run_for(20)
    before = _traffic(fleet)
    fleet.run_for(span)
    return {name: value / span for name, value in _since(before, _traffic(fleet)).items()}


def replica_with(nodes: int) -> re.Replica:
    """A replica core with the reports and both watches of so many nodes."""
    core = re.Replica("r1", ("r2", "r3"), m.ReplicaState(), lambda: 0.5)
    number = 0
    for name in (f"z1-node-{one:03}" for one in range(nodes)):
        for _ in range(2):
            number += 1
            report = m.NodeReport(node=name, in_force=1)
            core.step(
                0, re.RequestReceived(number, m.WatchRequest(since=1, timeout_ms=10_000, report=report))
            )
    return core
