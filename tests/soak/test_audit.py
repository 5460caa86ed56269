"""The soak's audit finds each kind of violation in the record of an otherwise correct run."""

import pytest

from cottonspread.lab.soak import audit
from cottonspread.lab.soak.record import Attempt, Call, ListUpdate, Record

TERM = 110.0


def valid_record():
    """Returns the record of a run without violations."""
    record = Record(1, [], ready_s=0.5, term_at=TERM, ended_s=2.1, exit_code=0, memory_mb=30, descriptors=90)
    for number, kind in enumerate(("chat", "once")):
        call = Call(f"c{number}", kind, 1.0, 100.0, ["UP"], 100.2, up=True, echoes=[(101.0, 101.1)])
        record.calls.append(call)
        record.attempts.append(Attempt(call.id, "h0", 100.1, True))
    record.list_updates = [ListUpdate("h0", True, 99.0)]
    record.pings = [(101.0, 101.01, "PONG")]
    return record


def violations_after(change):
    """Returns the violations in a valid record after `change` has altered it."""
    record = valid_record()
    change(record)
    return audit.violations(record, 2.0, (192, 1024))


def reject(record, at, ended="end"):
    """Lets the first call be rejected with BUSY at `at`."""
    call = record.calls[0]
    call.up, call.answers, call.answered_at, call.ended, call.ended_at = False, ["BUSY"], at, ended, at


def close_without_move(record):
    """Lets the first call's connection break after SIGTERM."""
    record.calls[0].ended, record.calls[0].ended_at = "reset", TERM + 1


def leave_unanswered(record, ended):
    """Lets the first call end without an answer."""
    call = record.calls[0]
    call.up, call.answers, call.echoes, call.ended, call.ended_at = False, [], [], ended, 100.5


DEFECTS = {
    "no answer": lambda r: leave_unanswered(r, ""),
    "closed unanswered": lambda r: leave_unanswered(r, "end"),
    "late answer": lambda r: reject(r, 101.06),
    "two answers": lambda r: (reject(r, 100.2), r.calls[0].answers.append("ERR")),
    "late attempt": lambda r: (reject(r, 100.2), r.attempts.append(Attempt("c0", "h1", 100.3, True))),
    "attempt for an unknown call": lambda r: r.attempts.append(Attempt("x", "h1", 100.3, True)),
    "sent again": lambda r: r.attempts.append(Attempt("c1", "h1", 100.15, True)),
    "sent to a draining host": lambda r: r.list_updates.append(ListUpdate("h0", False, 99.5)),
    "PING answered": lambda r: r.pings.append((102.0, 102.1, "BUSY")),
    "PING answered nothing": lambda r: r.pings.append((102.0, 0.0, "")),
    "echo delayed": lambda r: r.calls[0].echoes.append((102.0, 103.1)),
    "killed": lambda r: setattr(r, "ended_s", 0.0),
    "killed: still running": lambda r: setattr(r, "ended_s", 2.75),
    "exit code": lambda r: setattr(r, "exit_code", 1),
    "still connected at the end": lambda r: r.open_at_exit.append("c0"),
    "closed without MOVE": close_without_move,
    "ready after": lambda r: setattr(r, "ready_s", 11.0),
    "memory": lambda r: setattr(r, "memory_mb", 200),
    "descriptors": lambda r: setattr(r, "descriptors", 1025),
    "log": lambda r: setattr(r, "log", "time=1 event=fault while=Got\nTraceback (most recent call last):\n"),
}


def test_valid_record_has_no_violations():
    assert violations_after(lambda record: None) == []


@pytest.mark.parametrize("name", DEFECTS)
def test_each_defect_is_reported(name):
    found = violations_after(DEFECTS[name])
    assert any(line.startswith(name) for line in found), found


def test_allowed_behaviour_is_not_reported():
    """A call answered in time, one sent again where no earlier attempt ran, one closed by its host."""
    assert violations_after(lambda record: reject(record, 101.04)) == []
    record = valid_record()
    record.attempts[1] = Attempt("c1", "h1", 100.05, False)
    record.attempts.append(Attempt("c1", "h0", 100.1, True))
    record.calls[0].host_ended = True
    close_without_move(record)
    assert audit.violations(record, 2.0, (192, 1024)) == []


def test_a_late_generator_makes_the_run_invalid():
    record = valid_record()
    assert not audit.invalid_reason(record)
    record.late_s = 0.3
    assert audit.invalid_reason(record)
