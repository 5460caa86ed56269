"""A follower: which records it applies and saves, which replica it calls when, and what it reports."""

import random

import msgspec
import pytest
from drivers import ALL, CANARY, REPLICAS, WITHDRAWN, FollowerDriver, record

from cottonspread.configstore import follower as fo
from cottonspread.configstore import messages as m
from cottonspread.configstore import watches

STEPS = [fo.Check, fo.Save, fo.Apply]


def follower_with(*records):
    """Returns a follower that has applied these records one after the other."""
    driver = FollowerDriver()
    for one in records:
        driver.answer(one)
        driver.finish_steps()
    return driver


def pass_call_interval(driver):
    """Lets the minimum interval between calls pass."""
    driver.pass_time(watches.MIN_CALL_INTERVAL)


# Records that it applies


def test_a_record_is_checked_then_saved_then_applied():
    driver = FollowerDriver()
    driver.answer(record(1, 1))
    assert driver.finish_steps() == STEPS
    assert driver.in_force == driver.file == record(1, 1)
    assert driver.view().version == 1 and driver.view().generation == 1
    assert [(one.kind, one.version) for one in driver.notices] == [(fo.NoticeKind.IN_FORCE, 1)]


def test_a_newer_record_replaces_it_and_the_same_one_does_no_work():
    driver = follower_with(record(1, 1))
    driver.answer(record(1, 1))  # on the second watch, whose `since` was 0 too
    assert driver.steps == []
    pass_call_interval(driver)
    driver.answer(record(2, 2))
    assert driver.finish_steps() == STEPS and driver.view().version == 2


def test_the_same_version_at_its_next_stage_does_no_work():
    driver = follower_with(record(1, 1, CANARY))
    driver.answer(record(2, 1))
    assert driver.steps == [] and driver.view().generation == 2
    pass_call_interval(driver)
    assert {sent.request.since for sent in driver.open_calls.values()} == {2}


@pytest.mark.parametrize(
    "wrong",
    [
        msgspec.structs.replace(record(6, 6), body="flipped"),
        msgspec.structs.replace(record(6, 6), version=7),
        msgspec.structs.replace(record(6, 6), generation=7),
        record(4, 4),
        record(5, 5),
        record(6, 5, body="other"),
        record(6, 6, CANARY, below=0),
        record(6, 6, WITHDRAWN),
    ],
    ids=["body", "version", "generation", "older", "same", "other digest", "not a canary", "withdrawn"],
)
def test_an_untrustworthy_answer_is_ignored_and_moves_the_watch_to_another_replica(wrong):
    driver = follower_with(record(5, 5))
    driver.fail()  # the watch whose `since` was 0
    pass_call_interval(driver)
    driver.pass_time(m.SECOND)
    call, distrusted = next(
        (call, sent) for call, sent in driver.open_calls.items() if sent.request.since == 5
    )
    driver.answer(wrong, call)
    assert driver.steps == [] and driver.in_force == record(5, 5) and driver.view().version == 5
    assert driver.notices[-1].kind == fo.NoticeKind.DISTRUSTED
    driver.pass_time(m.SECOND)
    assert distrusted.replica not in [sent.replica for sent in driver.open_calls.values() if sent.call > call]


def test_one_record_at_a_time_and_the_newest_that_came_meanwhile_next():
    driver = FollowerDriver()
    driver.answer(record(1, 1))
    driver.answer(record(2, 2))
    assert [type(work) for work in driver.steps] == [fo.Check]
    driver.pass_time(2 * m.SECOND)
    driver.answer(record(3, 3))
    assert driver.finish_steps() == STEPS * 2
    assert driver.view().version == 3 and driver.in_force.version == 3


def test_the_version_under_way_at_its_next_stage_is_not_begun_again():
    driver = FollowerDriver()
    driver.answer(record(1, 1, CANARY))
    driver.answer(record(2, 1))
    assert driver.finish_steps() == STEPS
    assert driver.view().generation == 2


# Records that it refuses


@pytest.mark.parametrize("failing", [0, 1, 2], ids=["check", "save", "apply"])
def test_a_step_that_fails_keeps_the_old_record_and_is_reported(failing):
    driver = follower_with(record(1, 1))
    pass_call_interval(driver)
    driver.answer(record(2, 2))
    for _ in range(failing):
        driver.finish_step()
    driver.finish_step(ok=False, why="bad port")
    assert driver.view().version == 1 and driver.in_force.version == 1
    rest = driver.finish_steps()
    assert rest == ([fo.Save] if failing == 2 else [])
    assert driver.file == record(1, 1)
    pass_call_interval(driver)
    report = list(driver.open_calls.values())[-1].request.report
    assert (report.in_force, report.refused, report.why) == (1, 2, "bad port")
    assert (driver.notices[-1].kind, driver.notices[-1].why) == (fo.NoticeKind.REFUSED, "bad port")


def test_a_first_record_that_cannot_be_applied_leaves_no_file():
    driver = FollowerDriver()
    driver.answer(record(1, 1))
    driver.finish_step(), driver.finish_step(), driver.finish_step(ok=False)
    driver.finish_steps()
    assert driver.file is None and driver.view().version == 0


def test_a_refused_record_is_asked_for_again_after_a_while_and_forgotten_with_the_next_in_force():
    driver = follower_with(record(1, 1))
    pass_call_interval(driver)
    driver.answer(record(2, 2))
    driver.finish_step(ok=False)
    pass_call_interval(driver)
    assert list(driver.open_calls.values())[-1].request.since == 2
    for _ in range(12):
        driver.pass_time(fo.RECHECK_DELAY // 10)
        for call in list(driver.open_calls):
            driver.answer(call=call)
    pass_call_interval(driver)
    sent = list(driver.open_calls.values())[-1]
    assert sent.request.since == 1 and sent.request.report.refused == 2
    driver.answer(record(2, 2), sent.call)
    assert driver.finish_steps() == STEPS
    pass_call_interval(driver)
    assert list(driver.open_calls.values())[-1].request.report == m.NodeReport(node="n1", in_force=2)


def test_an_unhealthy_node_reports_it_at_once():
    driver = follower_with(record(1, 1))
    driver.answer(call=next(iter(driver.open_calls)))
    pass_call_interval(driver)
    pass_call_interval(driver)
    calls = set(driver.open_calls)
    driver.step(fo.HealthReported(1, False, "many errors"))
    (new,) = set(driver.open_calls) - calls
    report = driver.open_calls[new].request.report
    assert (report.failing, report.why) == (1, "many errors") and driver.open_calls[
        new
    ].request.timeout_ms == 0
    driver.step(fo.HealthReported(7, False))
    assert set(driver.open_calls) == calls | {new}
    driver.answer(call=new)
    driver.step(fo.HealthReported(1, True))
    assert list(driver.open_calls.values())[-1].request.report.failing == 0


def test_the_next_watch_waits_for_the_end_of_the_record_but_not_for_ever():
    driver = follower_with(record(1, 1))
    pass_call_interval(driver)
    before = set(driver.open_calls)
    driver.answer(record(2, 2), max(before))
    driver.pass_time(fo.MAX_HOLD - 1)
    assert set(driver.open_calls) == before - {max(before)}
    driver.pass_time(2)
    (new,) = set(driver.open_calls) - before
    assert driver.open_calls[new].request.report.in_force == 1
    driver.finish_steps()
    (report,) = set(driver.open_calls) - before - {new}
    assert driver.open_calls[report].request.report.in_force == 2


# Start


def test_it_starts_from_the_saved_record_without_saving_it_and_asks_from_there():
    driver = FollowerDriver(saved=record(5, 5, CANARY, below=0))
    assert {sent.request.since for sent in driver.open_calls.values()} == {5}
    assert driver.finish_steps() == [fo.Check, fo.Apply] and driver.view().version == 5


def test_a_newer_record_that_comes_while_it_starts_is_next():
    driver = FollowerDriver(saved=record(5, 5))
    driver.answer(record(6, 6))
    assert driver.finish_steps() == [fo.Check, fo.Apply, *STEPS] and driver.view().version == 6


def test_a_damaged_saved_record_is_reported_and_not_used():
    driver = FollowerDriver(saved=msgspec.structs.replace(record(5, 5), body="half"))
    assert driver.steps == [] and driver.notices[0].kind == fo.NoticeKind.DISTRUSTED
    assert {sent.request.since for sent in driver.open_calls.values()} == {0}
    driver.answer(record(5, 5))
    assert driver.finish_steps() == STEPS


def test_after_a_restart_no_version_below_the_saved_one_is_taken_though_that_is_refused():
    driver = FollowerDriver(saved=record(5, 5))
    driver.finish_step(ok=False, why="unknown key")
    assert driver.view().version == 0 and driver.view().refused == 5
    for _ in range(12):
        driver.pass_time(fo.RECHECK_DELAY // 10)
        for call in list(driver.open_calls):
            driver.answer(call=call)
    pass_call_interval(driver)
    sent = list(driver.open_calls.values())[-1]
    assert sent.request.since == 0
    driver.answer(record(4, 4), sent.call)
    assert driver.steps == []
    driver.pass_time(m.SECOND)
    driver.answer(record(6, 6), max(driver.open_calls))
    assert driver.finish_steps() == STEPS and driver.view().version == 6


# Watches


def test_two_watches_are_open_at_two_replicas_and_the_third_is_the_spare():
    driver = FollowerDriver()
    first, second = (sent.replica for sent in driver.open_calls.values())
    (spare,) = set(REPLICAS) - {first, second}
    driver.fail()
    driver.pass_time(watches.RETRY_DELAY)
    assert {sent.replica for sent in driver.open_calls.values()} == {second, spare}


def test_the_orders_of_many_nodes_spread_over_the_replicas():
    firsts = [watches.replica_order(f"n{number}", REPLICAS)[0] for number in range(300)]
    assert all(80 <= firsts.count(name) <= 120 for name in REPLICAS)


def test_a_watch_returns_to_its_preferred_replica():
    driver = FollowerDriver()
    preferred = driver.open_calls[1].replica
    driver.fail(1)
    for _ in range(watches.MAX_SPARE_REPLIES):
        driver.pass_time(watches.RETRY_DELAY)
        assert driver.open_calls[max(driver.open_calls)].replica != preferred
        driver.answer(call=max(driver.open_calls))
    driver.pass_time(watches.RETRY_DELAY)
    assert driver.open_calls[max(driver.open_calls)].replica == preferred


@pytest.mark.parametrize("seed", range(5))
def test_failed_watches_are_retried_with_bounded_exponential_backoff(seed):
    driver = FollowerDriver(uniform=random.Random(seed).random)
    for failures in range(30):
        driver.fail(max(driver.open_calls))
        most = min(watches.RETRY_DELAY << failures, watches.MAX_RETRY_DELAY)
        free = [watch for watch in driver.core._watches._watches if watch.call is None]
        assert len(free) == 1 and most // 2 <= free[0].next_call_at - driver.now <= most
        driver.pass_time(most)
    driver.answer(call=max(driver.open_calls))
    driver.pass_time(watches.MIN_CALL_INTERVAL)
    driver.fail(max(driver.open_calls))
    driver.pass_time(watches.RETRY_DELAY)
    assert len(driver.open_calls) == 2


def test_a_replica_that_answers_at_once_each_time_is_asked_at_a_bounded_rate():
    driver = FollowerDriver()
    for _ in range(100):
        for call in list(driver.open_calls):
            driver.answer(call=call)
        driver.pass_time(10 * m.MILLISECOND)
    assert max(driver.open_calls) <= 2 * (1 + 100 * 10 * m.MILLISECOND // watches.MIN_CALL_INTERVAL)


def test_timeouts_are_drawn_within_bounds_and_each_call_has_its_deadline():
    drawn = set()
    for seed in range(50):
        driver = FollowerDriver(uniform=random.Random(seed).random)
        driver.answer(), driver.answer()
        pass_call_interval(driver)
        assert len(driver.open_calls) == 2
        for sent in driver.open_calls.values():
            timeout = sent.request.timeout_ms * m.MILLISECOND
            assert watches.WATCH_TIMEOUT * (1 - watches.WATCH_JITTER) <= timeout <= watches.WATCH_TIMEOUT
            assert sent.deadline == watches.MIN_CALL_INTERVAL + timeout + watches.REPLY_GRACE
            drawn.add(timeout)
    assert len(drawn) > 50


def test_a_watch_at_another_replica_than_before_is_short():
    driver = FollowerDriver()
    assert {sent.request.timeout_ms * m.MILLISECOND for sent in driver.open_calls.values()} == {
        watches.PROBE_TIMEOUT
    }
    preferred = driver.open_calls[1].replica
    driver.fail(1)
    driver.pass_time(watches.RETRY_DELAY)
    for _ in range(watches.MAX_SPARE_REPLIES):
        driver.answer(call=max(driver.open_calls))
        driver.pass_time(watches.MIN_CALL_INTERVAL)
    sent = driver.open_calls[max(driver.open_calls)]
    assert sent.replica == preferred and sent.request.timeout_ms * m.MILLISECOND == watches.PROBE_TIMEOUT
    driver.answer(call=max(driver.open_calls))
    driver.pass_time(watches.MIN_CALL_INTERVAL)
    sent = driver.open_calls[max(driver.open_calls)]
    assert sent.replica == preferred and sent.request.timeout_ms * m.MILLISECOND > 5 * watches.PROBE_TIMEOUT


def test_a_watch_after_a_failure_is_short_until_one_is_answered():
    driver = FollowerDriver()
    for _ in range(3):
        driver.fail(max(driver.open_calls))
        driver.pass_time(watches.MAX_RETRY_DELAY)
        sent = driver.open_calls[max(driver.open_calls)]
        assert sent.request.timeout_ms * m.MILLISECOND == watches.PROBE_TIMEOUT
        assert sent.deadline <= driver.now + watches.PROBE_TIMEOUT + watches.REPLY_GRACE
    driver.answer(call=max(driver.open_calls))
    driver.pass_time(watches.MIN_CALL_INTERVAL)
    assert (
        driver.open_calls[max(driver.open_calls)].request.timeout_ms * m.MILLISECOND
        > 5 * watches.PROBE_TIMEOUT
    )


def test_late_and_duplicate_answers_are_ignored():
    driver = FollowerDriver()
    answer = m.WatchReply(generation=1, reset=True, record=record(1, 1), replica="r1")
    driver.fail(1)
    driver.step(fo.WatchReplied(1, answer))
    driver.step(fo.WatchFailed(1, "again"))
    assert driver.steps == [] and driver.view().contact_age_us is None


# Cut off


def test_it_reports_when_it_is_cut_off_and_when_it_is_reconnected():
    driver = follower_with(record(1, 1))
    for _ in range(2):
        driver.pass_time(fo.CUT_OFF_AFTER)
        assert not driver.view().cut_off
        driver.pass_time(1)
        assert driver.view().cut_off and driver.notices[-1].kind == fo.NoticeKind.CUT_OFF
        driver.fail(min(driver.open_calls))
        driver.pass_time(watches.RETRY_DELAY)
        assert driver.open_calls[max(driver.open_calls)].request.report.cut_off
        driver.answer(call=max(driver.open_calls))
        assert not driver.view().cut_off and driver.notices[-1].kind == fo.NoticeKind.RECONNECTED
    assert driver.view().version == 1


@pytest.mark.parametrize("age", [None, fo.CUT_OFF_AFTER + 1])
def test_a_replica_without_a_majority_does_not_count_as_contact(age):
    driver = FollowerDriver()
    driver.pass_time(fo.CUT_OFF_AFTER)
    driver.answer(age=age)
    driver.pass_time(1)
    assert driver.view().cut_off
    driver.pass_time(m.SECOND)
    driver.answer(age=m.SECOND, call=max(driver.open_calls))
    assert not driver.view().cut_off and driver.view().contact_age_us == m.SECOND


def test_a_cut_off_node_still_applies_records():
    driver = FollowerDriver()
    driver.pass_time(fo.CUT_OFF_AFTER + 1)
    driver.answer(record(1, 1, below=ALL), age=None)
    assert driver.finish_steps() == STEPS and driver.view().cut_off
