"""Checks the record of a soak run for violations of what a node must do. Shares no code with the node."""

import re
from collections import defaultdict

TOLERANCE = 0.05  # seconds by which a node may miss a deadline
DRAIN_GRACE = 0.5  # seconds, as in the run's settings
KILL_AFTER = 0.7  # seconds after the longest client wait, both counted from SIGTERM
MAX_ECHO_DELAY = 1.0  # seconds
READY_TIMEOUT = 10.0
MAX_TIMER_DELAY = 0.25  # seconds by which a timer of the load generator may be late
UNSAFE_TYPE = "once"  # the traffic type whose calls must not run twice


def invalid_reason(record):
    """Returns why the run is not a valid test, or "" if it is."""
    if record.late_s <= MAX_TIMER_DELAY:
        return ""
    return f"load generator {record.late_s:.2f} s late, {record.late_cpu_s:.2f} s of it on the processor"


def violations(record, longest_wait, limits):
    """Returns one line for each violation. `longest_wait`: seconds; `limits`: (MB, descriptors)."""
    checks = (check_answers, check_late_attempts, check_repeats, check_drains, check_pings, check_echo_delays)
    found = [line for check in checks for line in check(record)]
    return found + check_shutdown(record, longest_wait) + check_resources(record, limits)


def check_answers(record):
    """Each call must get one final answer, before its deadline."""
    for call in record.calls:
        if not call.sent_at or call.ended and call.ended_at < call.sent_at:
            continue
        deadline = call.sent_at + call.wait + TOLERANCE
        if not call.answers:
            if not call.ended or call.ended_at > deadline:
                yield f"no answer: {call.id} {call.kind}, ended {call.ended or 'never'}"
            elif call.ended == "end":
                yield f"closed unanswered: {call.id} {call.kind}"
        elif call.answered_at > deadline:
            yield f"late answer: {call.id} {call.answers[0]} {call.answered_at - call.sent_at:.2f} s"
        if len(call.answers) > 1 and not call.up:
            yield f"two answers: {call.id} {call.answers}"


def check_late_attempts(record):
    """No attempt may be made for a call after its final answer or its deadline."""
    calls = {call.id: call for call in record.calls}
    for attempt in record.attempts:
        call = calls.get(attempt.call)
        if call is None:
            yield f"attempt for an unknown call: {attempt.call}"
            continue
        last = call.sent_at + call.wait
        if call.answers:
            last = min(last, call.answered_at)
        if call.sent_at and attempt.at > last + TOLERANCE:
            yield f"late attempt: {attempt.call} at {attempt.host}, {attempt.at - call.sent_at:.2f} s"


def check_repeats(record):
    """A call that must not run twice may be sent again only if no earlier attempt can have run."""
    kinds = {call.id: call.kind for call in record.calls}
    attempts = defaultdict(list)
    for attempt in record.attempts:
        if kinds.get(attempt.call) == UNSAFE_TYPE:
            attempts[attempt.call].append(attempt)
    for call, several in attempts.items():
        if any(one.may_have_run for one in several[:-1]):
            yield f"sent again: {call} at {[one.host for one in several]}"


def check_drains(record):
    """No attempt may go to a host once the grace time has passed since the node knew that it drains."""
    updates = defaultdict(list)
    for update in record.list_updates:
        updates[update.host].append(update)
    for attempt in record.attempts:
        before = [update for update in updates[attempt.host] if update.at <= attempt.at]
        if before and not before[-1].up and attempt.at - before[-1].at > DRAIN_GRACE + TOLERANCE:
            yield f"sent to a draining host: {attempt.call} at {attempt.host}"


def check_pings(record):
    """A serving node must answer a PING with PONG within a second."""
    for sent, answered, word in record.pings:
        stops = record.term_at and sent >= record.term_at - 1
        if not stops and (word != "PONG" or answered - sent > 1):
            yield f"PING answered {word or 'nothing'} after {answered - sent if answered else -1:.2f} s"


def check_echo_delays(record):
    """No echo may be delayed while the connection is open and its host answers."""
    for call in record.calls:
        for sent, back in call.echoes:
            if back and back - sent > MAX_ECHO_DELAY and not call.host_ended:
                yield f"echo delayed: {call.id} {back - sent:.2f} s"


def check_shutdown(record, longest_wait):
    """The process must exit by itself, with code 0, before the earliest SIGKILL.

    It must not leave a client connected, and must not close an established connection without MOVE.
    """
    found, last = [], longest_wait + KILL_AFTER
    if not record.ended_s or record.ended_s > last:
        found.append(f"killed: still running {last:.1f} s after SIGTERM")
    elif record.exit_code != 0:
        found.append(f"exit code {record.exit_code}")
    found += [f"still connected at the end: {call}" for call in record.open_at_exit]
    for call in record.calls:
        if call.up and call.ended and not (call.moved or call.host_ended) and call.ended_at >= record.term_at:
            found.append(f"closed without MOVE: {call.id}")
    return found


def check_resources(record, limits):
    """The process must be ready in time, stay within its limits and log no traceback or failed accept."""
    found = []
    if not record.ready_s or record.ready_s > READY_TIMEOUT:
        found.append(f"ready after {record.ready_s:.1f} s")
    if record.memory_mb > limits[0]:
        found.append(f"memory {record.memory_mb:.0f} MB")
    if record.descriptors > limits[1]:
        found.append(f"descriptors {record.descriptors}")
    found += [f"log: {line}" for line in re.findall(r"^Traceback.*|^.*event=fault.*", record.log, re.M)[:3]]
    found += [f"log: {line}" for line in re.findall(r"^.*event=accept .*", record.log, re.M)[:3]]
    return found
