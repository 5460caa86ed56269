"""Whether a play kept the node's promises. Shares no code with the node."""

import re
from collections import defaultdict

SLACK = 0.05  # seconds: what a node may be late by
DRAIN_GRACE = 0.5  # as the play's settings say
KILL_AFTER = 0.7  # seconds after the longest deadline, counted from SIGTERM
HELD = 1.0  # seconds for which an echo may be held back
READY = 10.0
MOST_LATE = 0.25  # seconds that the generator may be late itself
ONCE = "once"  # the class that must not run twice


def void(record):
    """Why the run proves nothing; "" if it counts."""
    return f"generator {record.late_s:.2f} s late" if record.late_s > MOST_LATE else ""


def findings(record, longest_wait, limits):
    """Every promise that was broken, a line each. `longest_wait`: seconds; `limits`: (MB, descriptors)."""
    checks = (answers, late_attempts, repeats, after_drains, pings, held)
    found = [line for check in checks for line in check(record)]
    return found + end(record, longest_wait) + resources(record, limits)


def answers(record):
    """One final answer to each call, before its deadline."""
    for call in record.calls:
        if not call.sent_at or call.ended and call.ended_at < call.sent_at:
            continue
        deadline = call.sent_at + call.wait + SLACK
        if not call.answers:
            if not call.ended or call.ended_at > deadline:
                yield f"no answer: {call.id} {call.kind}, ended {call.ended or 'never'}"
            elif call.ended == "end":
                yield f"closed unanswered: {call.id} {call.kind}"
        elif call.answered_at > deadline:
            yield f"late answer: {call.id} {call.answers[0]} {call.answered_at - call.sent_at:.2f} s"
        if len(call.answers) > 1 and not call.up:
            yield f"two answers: {call.id} {call.answers}"


def late_attempts(record):
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
        if call.sent_at and attempt.at > last + SLACK:
            yield f"late attempt: {attempt.call} at {attempt.host}, {attempt.at - call.sent_at:.2f} s"


def repeats(record):
    """A call that must not run twice goes out again only when no earlier attempt can have run."""
    kinds = {call.id: call.kind for call in record.calls}
    attempts = defaultdict(list)
    for attempt in record.attempts:
        if kinds.get(attempt.call) == ONCE:
            attempts[attempt.call].append(attempt)
    for call, several in attempts.items():
        if any(one.may_have_run for one in several[:-1]):
            yield f"sent again: {call} at {[one.host for one in several]}"


def after_drains(record):
    """Nothing new to a host later than the grace after the node was told that it drains."""
    news = defaultdict(list)
    for told in record.told:
        news[told.host].append(told)
    for attempt in record.attempts:
        before = [told for told in news[attempt.host] if told.at <= attempt.at]
        if before and not before[-1].up and attempt.at - before[-1].at > DRAIN_GRACE + SLACK:
            yield f"sent to a draining host: {attempt.call} at {attempt.host}"


def pings(record):
    """A node that serves says so to its front, within a second."""
    for asked, answered, word in record.pings:
        stops = record.term_at and asked >= record.term_at - 1
        if not stops and (word != "PONG" or answered - asked > 1):
            yield f"PING answered {word or 'nothing'} after {answered - asked if answered else -1:.2f} s"


def held(record):
    """No echo is held back while a connection stands and its host answers."""
    for call in record.calls:
        for sent, back in call.echoes:
            if back and back - sent > HELD and not call.host_ended:
                yield f"echo held: {call.id} {back - sent:.2f} s"


def end(record, longest_wait):
    """The process ends by itself, with 0, before the earliest kill; no client is held or cut without MOVE."""
    found, last = [], longest_wait + KILL_AFTER
    if not record.ended_s or record.ended_s > last:
        found.append(f"killed: still there {last:.1f} s after SIGTERM")
    elif record.exit_code != 0:
        found.append(f"exit code {record.exit_code}")
    found += [f"held at the end: {call}" for call in record.held_at_kill]
    for call in record.calls:
        if call.up and call.ended and not (call.moved or call.host_ended) and call.ended_at >= record.term_at:
            found.append(f"cut without MOVE: {call.id}")
    return found


def resources(record, limits):
    """Ready in time, inside its limits, and no traceback in the log."""
    found = []
    if not record.ready_s or record.ready_s > READY:
        found.append(f"ready after {record.ready_s:.1f} s")
    if record.memory_mb > limits[0]:
        found.append(f"memory {record.memory_mb:.0f} MB")
    if record.descriptors > limits[1]:
        found.append(f"descriptors {record.descriptors}")
    found += [f"log: {line}" for line in re.findall(r"^Traceback.*|^.*event=fault.*", record.log, re.M)[:3]]
    found += [f"log: {line}" for line in re.findall(r"^.*event=accept .*", record.log, re.M)[:3]]
    return found
