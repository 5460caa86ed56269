"""Whether a play kept the node's promises. Shares no code with the node."""

import re
from collections import defaultdict

TOLERANCE = 0.05  # seconds: what a node may be late by
DRAIN_GRACE = 0.5  # as the play's settings say
KILL_AFTER = 0.7  # seconds after the longest deadline, counted from SIGTERM
MAX_ECHO_DELAY = 1.0  # seconds for which an echo may be held back
READY_TIMEOUT = 10.0
MAX_TIMER_DELAY = 0.25  # seconds that the generator may be late itself
UNSAFE_TYPE = "once"  # the class that must not run twice


def invalid_reason(record):
    """Why the run proves nothing; "" if it counts."""
    return f"generator {record.late_s:.2f} s late" if record.late_s > MAX_TIMER_DELAY else ""


def violations(record, longest_wait, limits):
    """Every promise that was broken, a line each. `longest_wait`: seconds; `limits`: (MB, descriptors)."""
    checks = (check_answers, check_late_attempts, check_repeats, check_drains, check_pings, check_echo_delays)
    found = [line for check in checks for line in check(record)]
    return found + check_shutdown(record, longest_wait) + check_resources(record, limits)


def check_answers(record):
    """One final answer to each call, before its deadline."""
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
    """Nothing is sent for a call after its final answer, or its deadline."""
    calls = {call.id: call for call in record.calls}
    for attempt in record.attempts:
        call = calls.get(attempt.call)
        if call is None:
            yield f"attempt for nobody: {attempt.call}"
            continue
        last = call.sent_at + call.wait
        if call.answers:
            last = min(last, call.answered_at)
        if call.sent_at and attempt.at > last + TOLERANCE:
            yield f"late attempt: {attempt.call} at {attempt.host}, {attempt.at - call.sent_at:.2f} s"


def check_repeats(record):
    """A call that must not run twice goes out again only when no earlier attempt can have run."""
    kinds = {call.id: call.kind for call in record.calls}
    attempts = defaultdict(list)
    for attempt in record.attempts:
        if kinds.get(attempt.call) == UNSAFE_TYPE:
            attempts[attempt.call].append(attempt)
    for call, several in attempts.items():
        if any(one.may_have_run for one in several[:-1]):
            yield f"sent again: {call} at {[one.host for one in several]}"


def check_drains(record):
    """Nothing new to a host later than the grace after the node was told that it drains."""
    updates = defaultdict(list)
    for update in record.list_updates:
        updates[update.host].append(update)
    for attempt in record.attempts:
        before = [update for update in updates[attempt.host] if update.at <= attempt.at]
        if before and not before[-1].up and attempt.at - before[-1].at > DRAIN_GRACE + TOLERANCE:
            yield f"sent to a draining host: {attempt.call} at {attempt.host}"


def check_pings(record):
    """A node that serves says so to its front, within a second."""
    for sent, answered, word in record.pings:
        stops = record.term_at and sent >= record.term_at - 1
        if not stops and (word != "PONG" or answered - sent > 1):
            yield f"PING answered {word or 'nothing'} after {answered - sent if answered else -1:.2f} s"


def check_echo_delays(record):
    """No echo is held back while a connection stands and its host answers."""
    for call in record.calls:
        for sent, back in call.echoes:
            if back and back - sent > MAX_ECHO_DELAY and not call.host_ended:
                yield f"echo held: {call.id} {back - sent:.2f} s"


def check_shutdown(record, longest_wait):
    """The process ends by itself, with 0, before the earliest kill; no client is held or cut without MOVE."""
    found, last = [], longest_wait + KILL_AFTER
    if not record.ended_s or record.ended_s > last:
        found.append(f"killed: still there {last:.1f} s after SIGTERM")
    elif record.exit_code != 0:
        found.append(f"exit code {record.exit_code}")
    found += [f"held at the end: {call}" for call in record.open_at_exit]
    for call in record.calls:
        if call.up and call.ended and not (call.moved or call.host_ended) and call.ended_at >= record.term_at:
            found.append(f"cut without MOVE: {call.id}")
    return found


def check_resources(record, limits):
    """Ready in time, inside its limits, and no traceback in the log."""
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
