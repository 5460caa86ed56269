"""A replica: what it accepts, when it acknowledges, and when it replies to which client."""

import msgspec
import pytest
from drivers import ALL, CANARY, EVERYWHERE, WITHDRAWN, ReplicaDriver, record

from cottonspread.configstore import messages as m
from cottonspread.configstore import peers, reports
from cottonspread.configstore import replica as rep

EMPTY_POSITION = m.EMPTY_POSITION


def accept(base, new):
    return m.Accept(base=base, record=new)


def committed(*records):
    """Returns a replica with these records committed one after the other."""
    driver = ReplicaDriver()
    for one in records:
        assert driver.reply(m.Commit(record=one)).committed
    return driver


# What is accepted


def test_a_proposal_is_accepted_on_its_base_and_again():
    driver, one = ReplicaDriver(), record(1, 1)
    for _ in range(2):
        reply = driver.reply(accept(EMPTY_POSITION, one))
        assert reply.accepted and reply.position == one.position
    assert driver.disk.accepted == one and driver.disk.committed is None


def test_a_second_proposal_on_the_same_base_is_refused():
    driver, one = ReplicaDriver(), record(1, 1)
    driver.reply(accept(EMPTY_POSITION, one))
    for other in (record(1, 1, body="other"), record(2, 2), record(2, 1, WITHDRAWN)):
        reply = driver.reply(accept(EMPTY_POSITION, other))
        assert not reply.accepted and reply.position == one.position
    assert driver.disk.accepted == one


def test_an_uncommitted_leftover_is_superseded_by_a_higher_version():
    driver, left = ReplicaDriver(), record(1, 1, CANARY)
    driver.reply(accept(EMPTY_POSITION, left))
    assert driver.reply(accept(left.position, record(2, 2))).accepted
    assert driver.disk.accepted.version == 2


@pytest.mark.parametrize(
    "new",
    [
        record(5, 6),
        record(4, 6),
        record(6, 4),
        record(6, 5, CANARY),
        record(6, 5, WITHDRAWN, body="other"),
    ],
    ids=["same generation", "lower generation", "lower version", "lower stage", "other digest"],
)
def test_what_does_not_follow_is_refused(new):
    driver, held = ReplicaDriver(), record(5, 5, EVERYWHERE)
    driver.reply(accept(EMPTY_POSITION, held))
    assert not driver.reply(accept(held.position, new)).accepted
    assert driver.disk.accepted == held


def damaged(**fields):
    return msgspec.structs.replace(record(3, 3), **fields)


@pytest.mark.parametrize(
    "new", [damaged(body="flipped"), damaged(version=4), damaged(generation=9), damaged(canary_below=1)]
)
def test_a_damaged_record_is_neither_accepted_nor_committed(new):
    driver = ReplicaDriver()
    assert not driver.reply(accept(EMPTY_POSITION, new)).accepted
    assert not driver.reply(m.Commit(record=new)).committed
    assert driver.disk == m.ReplicaState()


def test_committed_versions_only_grow():
    driver = committed(record(3, 2), record(5, 3))
    assert driver.reply(
        m.Commit(record=record(4, 2, WITHDRAWN))
    ).committed  # a newer record is committed already
    assert driver.disk.committed.generation == 5
    for wrong in (record(6, 2), record(5, 4), record(6, 3, body="other"), record(6, 3, CANARY)):
        assert not driver.reply(m.Commit(record=wrong)).committed
    assert driver.disk.committed == record(5, 3)


def test_a_commit_replaces_a_proposal_that_lost_and_keeps_a_later_one():
    driver, lost, won = ReplicaDriver(), record(1, 1, body="lost"), record(1, 1, body="won")
    driver.reply(accept(EMPTY_POSITION, lost))
    driver.reply(m.Commit(record=won))
    assert driver.disk.accepted == won
    second, later = record(2, 2), record(3, 3)
    driver.reply(accept(won.position, second))
    driver.reply(accept(second.position, later))
    driver.reply(m.Commit(record=second))
    assert driver.disk.accepted == later and driver.disk.committed == second


# Durable before it is acknowledged


@pytest.mark.parametrize("message", [accept(EMPTY_POSITION, record(1, 1)), m.Commit(record=record(1, 1))])
def test_nothing_is_acknowledged_or_served_before_it_is_stored(message):
    driver = ReplicaDriver()
    driver.store_waits = True
    watch = driver.watch()
    request = driver.ask(message)
    assert request not in driver.replies and watch not in driver.replies
    assert driver.core.state == m.ReplicaState()
    assert driver.state().accepted == EMPTY_POSITION and driver.state().committed is None
    driver.finish_store()
    assert request in driver.replies


def test_writes_are_stored_one_at_a_time_in_their_order():
    driver, one, other = ReplicaDriver(), record(1, 1), record(2, 2)
    driver.store_waits = True
    requests = [driver.ask(accept(EMPTY_POSITION, one)), driver.ask(accept(one.position, other))]
    assert len(driver.stores) == 1
    driver.finish_store()
    assert requests[0] in driver.replies and len(driver.stores) == 1
    driver.finish_store()
    assert all(driver.replies[request].accepted for request in requests)


def test_a_failed_store_is_refused_and_changes_nothing():
    driver = ReplicaDriver()
    driver.store_fails = True
    reply = driver.reply(accept(EMPTY_POSITION, record(1, 1)))
    assert not reply.accepted and "disk full" in reply.why
    assert not driver.reply(m.Commit(record=record(1, 1))).committed
    assert driver.core.state == m.ReplicaState()
    driver.store_fails = False
    assert driver.reply(accept(EMPTY_POSITION, record(1, 1, body="other"))).accepted


def test_waiting_writes_are_bounded():
    driver = ReplicaDriver()
    driver.store_waits = True
    requests = [driver.ask(accept(EMPTY_POSITION, record(1, 1))) for _ in range(rep.MAX_QUEUED_WRITES + 5)]
    assert len(driver.rejected) == 4
    driver.finish_store()
    assert set(driver.replies) | set(driver.rejected) == set(requests)


@pytest.mark.parametrize("acknowledged", [False, True])
def test_what_was_stored_is_known_after_a_restart(acknowledged):
    driver, one = ReplicaDriver(), record(1, 1)
    driver.store_waits = not acknowledged
    driver.ask(accept(EMPTY_POSITION, one))
    driver.restart()
    driver.store_waits = False
    reply = driver.reply(accept(EMPTY_POSITION, record(1, 1, body="other")))
    assert reply.accepted != acknowledged
    driver.restart()
    driver.reply(m.Commit(record=driver.disk.accepted))
    driver.restart()
    assert driver.replies == {} and driver.watch() in driver.replies


# Watches


def test_a_watch_with_older_news_is_answered_at_once():
    driver = committed(record(3, 3))
    answer = driver.replies[driver.watch(since=2)]
    assert answer.generation == 3 and answer.reset and answer.record == record(3, 3)


def test_a_watch_is_answered_at_the_change():
    driver = committed(record(3, 3))
    watch = driver.watch(since=3)
    assert watch not in driver.replies
    driver.reply(accept(record(3, 3).position, record(4, 4)))
    assert watch not in driver.replies
    driver.reply(m.Commit(record=record(4, 4)))
    assert driver.replies[watch].record == record(4, 4)
    assert driver.core.watches == 0


def test_a_watch_is_answered_at_its_timeout_without_news():
    driver = committed(record(3, 3))
    watch = driver.watch(since=3, timeout_ms=10_000)
    driver.pass_time(10 * m.SECOND - 1)
    assert watch not in driver.replies
    driver.pass_time(1)
    answer = driver.replies[watch]
    assert answer.record is None and not answer.reset and answer.generation == 3
    assert driver.core.watches == 0


def test_a_follower_that_is_ahead_waits():
    driver = committed(record(3, 3))
    watch = driver.watch(since=7, timeout_ms=500)
    assert watch not in driver.replies
    driver.pass_time(m.SECOND)
    assert driver.replies[watch].record is None


def test_only_canaries_receive_a_canary_version():
    one, new = record(1, 1), record(2, 2, CANARY, below=2**31)
    driver = committed(one)
    watches = {f"n{number}": driver.watch(f"n{number}", since=1) for number in range(40)}
    driver.reply(m.Commit(record=new))
    served = {node for node, watch in watches.items() if watch in driver.replies}
    assert served == {node for node in watches if m.canary_hash(node, 2) < 2**31} and 5 < len(served) < 35
    other = next(node for node in watches if node not in served)
    assert driver.replies[driver.watch(other, since=0)].record == one


def test_a_withdrawn_version_is_sent_to_no_node():
    driver = committed(record(1, 1), record(2, 2, CANARY))
    watch = driver.watch("n1", since=2)
    driver.reply(m.Commit(record=record(3, 2, WITHDRAWN)))
    assert watch not in driver.replies
    assert driver.replies[driver.watch("n1", since=0)].record == record(1, 1)


def test_watches_are_bounded_and_end_with_their_connection(monkeypatch):
    monkeypatch.setattr(rep, "MAX_WATCHES", 3)
    driver = ReplicaDriver()
    numbers = [driver.watch(f"n{number}") for number in range(4)]
    assert list(driver.rejected) == numbers[3:]
    driver.step(rep.RequestAbandoned(numbers[0]))
    assert driver.watch("n9") not in driver.rejected
    driver.reply(m.Commit(record=record(1, 1)))
    assert numbers[0] not in driver.replies and numbers[1] in driver.replies


def test_the_heap_of_waits_does_not_grow_with_waits_that_ended():
    driver = ReplicaDriver()
    driver.watch("stays", timeout_ms=5_000)  # has the earliest deadline, and so keeps the others in the heap
    for _ in range(5_000):
        driver.step(rep.RequestAbandoned(driver.watch()))
    assert len(driver.core._watches._heap) <= 200


# Reports


def test_reports_are_the_newest_of_each_node_with_their_age():
    driver = ReplicaDriver()
    driver.watch("n1", in_force=3)
    driver.now += 2 * m.SECOND
    driver.watch("n2", in_force=4, refused=5, why="bad port")
    by_node = {received.report.node: received for received in driver.state(reports=True).reports}
    assert by_node["n1"].age_us == 2 * m.SECOND and by_node["n1"].watching
    assert by_node["n2"].report.refused == 5 and by_node["n2"].report.why == "bad port"
    driver.watch("n1", in_force=5)
    named = driver.state(reports=True, nodes=["n1", "nobody"]).reports
    assert [(received.report.in_force, received.age_us) for received in named] == [(5, 0)]
    assert driver.state().reports == []


def test_a_node_not_heard_for_long_is_dropped():
    driver = ReplicaDriver()
    driver.watch("old", timeout_ms=1)
    driver.pass_time(reports.REPORT_RETENTION)
    driver.watch("new")
    assert len(driver.core.reports) == 2
    driver.now += 1
    assert [received.report.node for received in driver.state(reports=True).reports] == ["new"]


def test_reports_are_bounded_in_number():
    driver = ReplicaDriver()
    for number in range(m.MAX_NODES + 10):
        driver.watch(f"n{number}", timeout_ms=0)
    driver.watch("n1", timeout_ms=0, in_force=9)
    state = driver.state(reports=True)
    assert len(state.reports) == m.MAX_NODES and state.reports_dropped == 10
    assert state.reports[-1].report.in_force == 9
    assert len(m.encode(state)) < m.MAX_MESSAGE_BYTES


# The other replicas


def peer_reply(**fields):
    return m.StateReply(replica="r2", accepted=EMPTY_POSITION, **fields)


def test_the_others_are_watched_and_what_they_committed_is_taken():
    driver = committed(record(1, 1))
    assert {call.peer for call in driver.peer_calls} == {"r2", "r3"}
    watch = driver.watch(since=1)
    good, new = record(4, 3), record(5, 4, CANARY, below=0)
    driver.step(rep.PeerReplied(1, peer_reply(committed=new, committed_generation=5, good=good)))
    assert driver.disk.committed == new and driver.disk.good == good and driver.disk.accepted == new
    assert driver.replies[watch].record == good


def test_a_good_version_that_was_missed_is_caught_up_beside_a_committed_canary():
    driver = committed(record(1, 1), record(5, 4, CANARY, below=0))
    driver.step(rep.PeerReplied(1, peer_reply(committed_generation=5, good=record(4, 3))))
    assert driver.disk.good == record(4, 3) and driver.disk.committed.generation == 5
    driver.pass_time(m.SECOND)
    assert driver.peer_calls[-1].message.since == 5 and driver.peer_calls[-1].message.good_since == 4


def test_records_of_another_replica_are_checked():
    driver = committed(record(3, 3))
    for wrong in (damaged(generation=9, body="x"), record(4, 2), record(3, 3, body="other")):
        driver.step(rep.PeerReplied(driver.peer_calls[-1].call, peer_reply(committed=wrong)))
        driver.pass_time(m.SECOND)
    driver.step(rep.PeerReplied(driver.peer_calls[-1].call, peer_reply(good=damaged(body="x"))))
    assert driver.disk.committed == record(3, 3) and driver.disk.good == record(3, 3)


def test_a_replica_that_waits_for_news_is_answered_at_the_commit():
    driver = committed(record(1, 1))
    request = driver.ask(m.ReadState(since=1, good_since=1, timeout_ms=1_000))
    driver.reply(m.Commit(record=record(2, 2, CANARY)))
    reply = driver.replies[request]
    assert reply.committed == record(2, 2, CANARY) and reply.good is None
    request = driver.ask(m.ReadState(since=2, good_since=1, timeout_ms=1_000))
    driver.pass_time(m.SECOND)
    assert driver.replies[request].committed is None


def test_each_reply_has_the_age_of_the_majority():
    driver = committed(record(1, 1))
    assert driver.replies[driver.watch()].majority_age_us is None
    driver.step(rep.PeerReplied(2, peer_reply()))
    driver.now += 3 * m.SECOND
    assert driver.replies[driver.watch()].majority_age_us == 3 * m.SECOND
    driver.step(rep.PeerFailed(1, "refused"))
    assert driver.replies[driver.watch()].majority_age_us == 3 * m.SECOND


def test_failing_peers_are_called_with_bounded_exponential_backoff():
    driver = ReplicaDriver()
    for _ in range(12):
        for call in driver.peer_calls[-2:]:
            driver.step(rep.PeerFailed(call.call, "refused"))
        asked = len(driver.peer_calls)
        driver.pass_time(peers.MAX_PEER_RETRY_DELAY)
        assert len(driver.peer_calls) == asked + 2
    driver.step(rep.PeerFailed(driver.peer_calls[-1].call, "refused"))
    assert (
        peers.MAX_PEER_RETRY_DELAY * 3 // 4 <= driver.core.wake_at - driver.now <= peers.MAX_PEER_RETRY_DELAY
    )


def test_a_peer_that_always_has_news_is_not_asked_without_pause():
    driver = ReplicaDriver()
    for _ in range(40):
        driver.step(rep.PeerReplied(driver.peer_calls[-1].call, peer_reply(committed=damaged(body="x"))))
        driver.pass_time(10 * m.MILLISECOND)
    assert len(driver.peer_calls) <= 2 + 40 * 10 * m.MILLISECOND // peers.PEER_CALL_DELAY + 1


def test_canary_threshold_covers_all():
    assert record(1, 1, CANARY, below=ALL).applies_to("n1") and not record(1, 1, WITHDRAWN).applies_to("n1")
