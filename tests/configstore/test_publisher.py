"""A publisher with three real replica cores: quorum, canaries, two at a time, and a crash at every step."""

import random

import pytest
from drivers import CANARY, EVERYWHERE, WITHDRAWN, Cluster, PublisherDriver, record

from cottonspread.configstore import canaries as ca
from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as pu

BODY = "timeout_ms = 5\n"


def start_publishing(cluster, body=BODY, **more):
    return PublisherDriver(cluster, pu.Publish(body, **more))


def report(cluster, record, share=1.0, **fields):
    """Lets this share of the canaries report these fields for the record."""
    names = cluster.canaries(record)
    for name in names[: round(len(names) * share)]:
        cluster.reported[name] = {key: record.version for key in fields} | {
            key: value for key, value in fields.items() if key == "why"
        }
    cluster.report_nodes()


def cluster_with(*records):
    cluster = Cluster()
    cluster.seed(*records)
    return cluster


def at_canaries(cluster, body=BODY):
    driver = start_publishing(cluster, body)
    driver.until(pu.Step.CANARIES)
    driver.deliver_all()
    return driver


def check_register(cluster):
    """Checks that no generation has two committed records and no version two digests."""
    known = {}
    for replica in cluster.replicas.values():
        one = replica.disk.committed
        if one is not None:
            assert known.setdefault(("generation", one.generation), one.checksum) == one.checksum
            assert known.setdefault(("version", one.version), one.digest) == one.digest


# Without failures


def test_a_good_change_goes_to_canaries_and_then_everywhere():
    cluster = cluster_with(record(1, 1))
    driver = at_canaries(cluster)
    first = cluster.committed()
    assert (first.version, first.stage, first.body) == (2, CANARY, BODY)
    assert len(cluster.canaries(first)) == 2
    report(cluster, first, in_force=0)
    done = driver.run()
    assert (done.outcome, done.version) == (pu.Outcome.IN_FORCE, 2)
    for name in cluster.replicas:
        assert cluster.committed(name).stage == EVERYWHERE and cluster.committed(name).generation == 3
    assert ca.SETTLE_TIME <= cluster.now < ca.SETTLE_TIME + m.SECOND
    steps = [one.step.value for one in driver.progress]
    assert steps == ["reading", "proposing", "committing", "canaries", "proposing", "committing"]


def test_the_first_version_of_all():
    cluster = Cluster()
    driver = at_canaries(cluster)
    assert cluster.committed().version == 1
    report(cluster, cluster.committed(), in_force=0)
    assert driver.run().outcome == pu.Outcome.IN_FORCE


def test_without_canaries_it_goes_everywhere_at_once():
    cluster = cluster_with(record(1, 1))
    done = start_publishing(cluster, without_canaries=True).run()
    assert done.outcome == pu.Outcome.IN_FORCE and cluster.committed().stage == EVERYWHERE


def test_without_nodes_nothing_is_changed():
    cluster = Cluster(nodes=0)
    assert start_publishing(cluster).run().outcome == pu.Outcome.NO_CANARIES
    assert cluster.replicas["r1"].disk.accepted is None


def test_a_node_not_heard_lately_or_cut_off_is_no_canary():
    cluster = Cluster(nodes=2)
    cluster.reported["n1"] = {"cut_off": True}
    cluster.report_nodes()
    driver = at_canaries(cluster)
    assert driver.core._canaries.names == ("n0",)
    other = Cluster(nodes=2)
    other.set_now(60 * m.SECOND)
    assert start_publishing(other).run().outcome == pu.Outcome.NO_CANARIES


@pytest.mark.parametrize("nodes, expected", [(1, 1), (2, 2), (50, 2), (420, 9)])
def test_the_number_of_canaries(nodes, expected):
    cluster = Cluster(nodes=nodes)
    at_canaries(cluster)
    assert len(cluster.canaries(cluster.committed())) == expected


def test_other_nodes_go_first_each_time():
    chosen = set()
    for version in range(2, 12):
        cluster = cluster_with(record(version - 1, version - 1))
        at_canaries(cluster)
        chosen.add(tuple(cluster.canaries(cluster.committed())))
    assert len(chosen) > 5


# Canaries


@pytest.mark.parametrize("said", ["refused", "failing"])
def test_one_refusal_withdraws_and_the_body_before_comes_as_a_new_version(said):
    cluster = cluster_with(record(1, 1), record(2, 2))
    driver = at_canaries(cluster)
    bad = cluster.committed()
    report(cluster, bad, in_force=0)
    report(cluster, bad, share=0.5, **{said: 0, "why": "bad port"})
    done = driver.run()
    assert (done.outcome, done.version) == (pu.Outcome.WITHDRAWN, 4) and "bad port" in done.why
    last = cluster.committed()
    assert (last.version, last.stage, last.body) == (4, EVERYWHERE, "body 2")
    assert cluster.now < m.SECOND


def test_a_refusal_within_the_settle_time_still_withdraws():
    cluster = cluster_with(record(1, 1))
    driver = at_canaries(cluster)
    bad = cluster.committed()
    report(cluster, bad, in_force=0)
    driver.run(ca.SETTLE_TIME * 3 // 4)
    assert driver.done is None
    report(cluster, bad, share=0.5, failing=0)
    assert driver.run().outcome == pu.Outcome.WITHDRAWN


def test_silent_canaries_withdraw_after_a_time():
    cluster = cluster_with(record(1, 1))
    done = at_canaries(cluster).run()
    assert done.outcome == pu.Outcome.WITHDRAWN and "0 of 2 canaries" in done.why
    assert ca.CANARY_TIMEOUT <= cluster.now < ca.CANARY_TIMEOUT + m.SECOND
    assert cluster.committed().body == "body 1"


@pytest.mark.parametrize("heard, outcome", [(6, "in-force"), (5, "withdrawn")])
def test_two_thirds_of_the_canaries_are_enough(heard, outcome):
    cluster = Cluster(nodes=420)
    cluster.seed(record(1, 1))
    driver = at_canaries(cluster)
    report(cluster, cluster.committed(), share=heard / 9, in_force=0)
    assert driver.run().outcome == outcome


def test_a_first_version_that_is_refused_leaves_nothing_in_force():
    cluster = Cluster()
    driver = at_canaries(cluster)
    report(cluster, cluster.committed(), refused=0)
    done = driver.run()
    assert done.outcome == pu.Outcome.WITHDRAWN and "no version before" in done.why
    assert cluster.committed().stage == WITHDRAWN and cluster.replicas["r1"].disk.good is None


# Quorum


@pytest.mark.parametrize("dead", ["r1", "r2", "r3"])
def test_one_of_three_replicas_may_be_gone(dead):
    cluster = cluster_with(record(1, 1))
    cluster.up -= {dead}
    cluster.replicas[dead].now = 0
    driver = start_publishing(cluster)
    driver.until(pu.Step.CANARIES)
    alive = min(cluster.up)
    report(cluster, cluster.committed(alive), in_force=0)
    assert driver.run().outcome == pu.Outcome.IN_FORCE
    assert cluster.committed(dead).version == 1


@pytest.mark.parametrize("step, kind", [("proposing", m.Accept), ("committing", m.Commit)])
def test_one_reply_is_no_majority(step, kind):
    cluster = cluster_with(record(1, 1))
    driver = start_publishing(cluster, without_canaries=True)
    driver.until(step)
    driver.calls = [call for call in driver.calls if isinstance(call.message, kind)]
    driver.deliver()
    assert driver.progress[-1].step == step and driver.done is None
    driver.deliver()
    assert driver.progress[-1].step != step or driver.done.outcome == pu.Outcome.IN_FORCE


def test_with_two_of_three_gone_it_reports_no_quorum_and_commits_nothing():
    cluster = cluster_with(record(1, 1))
    cluster.up = {"r1"}
    done = start_publishing(cluster).run()
    assert done.outcome == pu.Outcome.NO_QUORUM and "reading" in done.why
    assert cluster.now <= pu.PHASE_TIMEOUT + m.SECOND
    assert cluster.committed().version == 1


@pytest.mark.parametrize("step", [pu.Step.PROPOSING, pu.Step.COMMITTING, pu.Step.CANARIES])
def test_two_of_three_replicas_lost_during_a_run(step):
    cluster = cluster_with(record(1, 1))
    driver = start_publishing(cluster)
    driver.until(step)
    cluster.up = {"r1"}
    done = driver.run()
    assert done.outcome == pu.Outcome.NO_QUORUM
    cluster.up = {"r1", "r2", "r3"}
    for command in (pu.Withdraw(), pu.Publish("later")):
        last = PublisherDriver(cluster, command)
        while last.done is None:
            if last.progress[-1].step == pu.Step.CANARIES:
                report(cluster, last.core._record, in_force=0)
            last.run(POLL_INTERVAL)
    assert last.done.outcome == pu.Outcome.IN_FORCE
    assert {cluster.committed(name).body for name in cluster.replicas} == {"later"}
    check_register(cluster)


POLL_INTERVAL = pu.POLL_INTERVAL


def test_a_lost_reply_is_asked_again_and_counts_once():
    cluster = cluster_with(record(1, 1))
    cluster.up = {"r1", "r2"}
    driver = start_publishing(cluster, without_canaries=True)
    lost = set()
    while driver.done is None:
        if driver.calls:
            kind = driver.calls[0].replica, type(driver.calls[0].message)
            driver.deliver(lose_reply=kind not in lost)
            lost.add(kind)
        else:
            cluster.set_now(max(cluster.now, driver.core.wake_at))
            driver.step(pu.Tick())
    assert driver.done.outcome == pu.Outcome.IN_FORCE and cluster.committed().generation == 2


def test_calls_that_fail_are_made_again_with_bounded_pauses():
    cluster = Cluster()
    cluster.up = set()
    driver = start_publishing(cluster)
    made = 0
    while driver.done is None:
        made += len(driver.calls)
        assert made < 1_000
        driver.deliver_all()
        assert driver.core.wake_at > cluster.now
        cluster.set_now(driver.core.wake_at)
        driver.step(pu.Tick())
    assert 15 <= made <= 45


def test_a_replica_with_a_late_state_still_counts():
    cluster = cluster_with(record(1, 1))
    driver = start_publishing(cluster, without_canaries=True)
    driver.deliver(), driver.deliver()  # states of r1 and r2
    late = driver.calls.pop(0)
    assert driver.progress[-1].step == pu.Step.PROPOSING and late.replica == "r3"
    cluster.up = {"r1", "r3"}
    driver.step(pu.Replied(late.call, cluster.replicas["r3"].reply(late.message)))
    assert driver.run().outcome == pu.Outcome.IN_FORCE
    assert cluster.committed("r3").version == 2 and cluster.committed("r2").version == 1


# Two publishers


def test_a_second_publisher_is_refused_while_a_version_is_at_its_canaries():
    cluster = cluster_with(record(1, 1))
    at_canaries(cluster)
    done = start_publishing(cluster, "other").run()
    assert (done.outcome, done.version) == (pu.Outcome.UNDER_WAY, 2)


def test_of_two_that_propose_at_once_one_wins_a_generation():
    cluster = cluster_with(record(1, 1))
    one, other = (start_publishing(cluster, body, without_canaries=True) for body in ("one", "other"))
    one.until(pu.Step.PROPOSING), other.until(pu.Step.PROPOSING)
    outcomes = [one.run().outcome, other.run().outcome]
    assert outcomes == [pu.Outcome.IN_FORCE, pu.Outcome.SUPERSEDED]
    assert cluster.committed().body == "one" and cluster.committed().version == 2


@pytest.mark.parametrize("seed", range(60))
def test_two_publishers_and_lost_messages_in_any_order(seed):
    draws = random.Random(seed)
    cluster = cluster_with(record(1, 1))
    drivers = [
        PublisherDriver(cluster, pu.Publish(f"body of {number}", draws.random() < 0.3), draws.random)
        for number in range(2)
    ]
    seen = {}
    for _ in range(3_000):
        busy = [driver for driver in drivers if driver.done is None]
        if not busy:
            break
        driver = draws.choice(busy)
        if driver.calls:
            driver.deliver(draws.randrange(len(driver.calls)), lose_reply=draws.random() < 0.2)
        else:
            cluster.set_now(cluster.now + 20 * m.MILLISECOND)
            for each in busy:
                each.step(pu.Tick())
        for name in cluster.replicas:
            one = cluster.committed(name)
            assert seen.setdefault((name, "least"), 0) <= one.generation
            seen[name, "least"] = one.generation
            assert seen.setdefault(("digest", one.version), one.digest) == one.digest
            assert seen.setdefault(("checksum", one.generation), one.checksum) == one.checksum
            if one.stage == CANARY and draws.random() < 0.3:
                report(cluster, one, in_force=0)
    assert all(driver.done for driver in drivers)


# A publisher that dies


def cluster_of_dead_publisher(calls, body=BODY, bad=False):
    """Returns a cluster whose publisher died after `calls` calls; None if it was done before."""
    cluster = cluster_with(record(1, 1))
    driver = start_publishing(cluster, body)
    for _ in range(calls):
        while not driver.calls and driver.done is None:
            cluster.set_now(max(cluster.now, driver.core.wake_at))
            driver.step(pu.Tick())
        if driver.done is not None:
            return None
        driver.deliver()
        if driver.progress[-1].step == pu.Step.CANARIES:
            report(cluster, driver.core._record, **({"refused": 0} if bad else {"in_force": 0}))
    return cluster


@pytest.mark.parametrize("bad", [False, True])
def test_a_publisher_may_die_at_every_step_and_another_resumes_or_publishes(bad):
    deaths, outcomes = 0, set()
    for calls in range(1, 200):
        cluster = cluster_of_dead_publisher(calls, bad=bad)
        if cluster is None:
            break
        deaths += 1
        resumed = PublisherDriver(cluster, pu.Resume()).run()
        outcomes.add(resumed.outcome)
        good = {"body 1"} if bad else {"body 1", BODY}
        assert {replica.disk.good.body for replica in cluster.replicas.values()} <= good
        check_register(cluster)
        last = start_publishing(cluster, "after all", without_canaries=True).run()
        assert last.outcome == pu.Outcome.IN_FORCE
        assert {cluster.committed(name).body for name in cluster.replicas} == {"after all"}
    assert deaths > 15
    expected = pu.Outcome.WITHDRAWN if bad else pu.Outcome.IN_FORCE
    assert outcomes == {expected, pu.Outcome.NOTHING}


def test_resume_goes_on_with_the_canaries():
    cluster = cluster_with(record(1, 1))
    at_canaries(cluster)
    resumed = PublisherDriver(cluster, pu.Resume())
    resumed.until(pu.Step.CANARIES)
    report(cluster, cluster.committed(), in_force=0)
    done = resumed.run()
    assert (done.outcome, done.version) == (pu.Outcome.IN_FORCE, 2)
    assert cluster.committed().body == BODY


def test_resume_with_nothing_begun_changes_nothing():
    cluster = cluster_with(record(1, 1))
    assert PublisherDriver(cluster, pu.Resume()).run().outcome == pu.Outcome.NOTHING
    assert PublisherDriver(cluster, pu.Withdraw()).run().outcome == pu.Outcome.NOTHING
    assert cluster.committed() == record(1, 1)


def test_withdraw_by_command():
    cluster = cluster_with(record(1, 1))
    at_canaries(cluster)
    done = PublisherDriver(cluster, pu.Withdraw()).run()
    assert (done.outcome, done.version) == (pu.Outcome.WITHDRAWN, 3)
    assert cluster.committed().body == "body 1"


def test_a_running_publisher_notices_a_withdrawal_by_another():
    cluster = cluster_with(record(1, 1))
    driver = at_canaries(cluster)
    PublisherDriver(cluster, pu.Withdraw()).run()
    assert driver.run().outcome == pu.Outcome.SUPERSEDED
    assert cluster.now < 2 * pu.POLL_INTERVAL  # at its next poll, not at the end of its timeout


def test_an_uncommitted_leftover_is_superseded_and_its_version_is_not_used_again():
    cluster = cluster_with(record(1, 1))
    left = record(2, 2, CANARY)
    assert cluster.replicas["r2"].reply(m.Accept(base=record(1, 1).position, record=left)).accepted
    done = start_publishing(cluster, without_canaries=True).run()
    assert (done.outcome, done.version) == (pu.Outcome.IN_FORCE, 3)


def test_a_stage_that_a_dead_publisher_proposed_is_resumed():
    for proposed, outcome in ((EVERYWHERE, pu.Outcome.IN_FORCE), (WITHDRAWN, pu.Outcome.WITHDRAWN)):
        cluster = cluster_with(record(1, 1))
        at_canaries(cluster)
        one = cluster.committed()
        left = m.make_record(one.generation + 1, 2, proposed, one.canary_below, one.body)
        for name in ("r1", "r2"):
            assert cluster.replicas[name].reply(m.Accept(base=one.position, record=left)).accepted
        assert PublisherDriver(cluster, pu.Resume()).run().outcome == outcome


def test_of_two_disputed_stages_the_withdrawal_is_taken():
    cluster = cluster_with(record(1, 1))
    at_canaries(cluster)
    one = cluster.committed()
    for name, stage in (("r1", EVERYWHERE), ("r2", WITHDRAWN)):
        left = m.make_record(one.generation + 1, 2, stage, one.canary_below, one.body)
        assert cluster.replicas[name].reply(m.Accept(base=one.position, record=left)).accepted
    assert PublisherDriver(cluster, pu.Resume()).run().outcome == pu.Outcome.WITHDRAWN


def test_a_replica_that_restarts_at_every_step_of_a_run():
    for calls in range(40):
        cluster = cluster_with(record(1, 1))
        driver = start_publishing(cluster, without_canaries=True)
        for _ in range(calls):
            if driver.calls:
                driver.deliver()
        cluster.replicas["r1"].restart()
        assert driver.run().outcome == pu.Outcome.IN_FORCE
        check_register(cluster)
