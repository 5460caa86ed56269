"""Case 1: a keyed request whose first host has left the list is repeated outside that host's cell."""

import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import cells as s

HOSTS, CELLS = 13, 2  # as at trentside-farms: 12 to 13 servers, cells of 6 to 10
FLAPPING = 4  # of 13 (MORE.md, `flapping`: a share of 0.2 to 0.5), all of one cell
BEGIN, LENGTH = 3.0, 28.0  # seconds (25 to 50)
TURN, DOWN = 12.0, 6.5  # seconds a turn (12 to 2), of which it hangs (a share of 0.25 to 0.55)
LIST_AFTER = 5.7  # seconds until the list follows: 4.5 (silent_notice_s 4.5 to 11) and its period and spread
OFFSET = 1.7  # seconds between two hosts: each fails at times of its own
CALLS_PER_S = 30
KEYED = {
    "Name": "field-save",
    "Effect": "keyed",
    "KeyScope": "cell",
    "KeyTtl": 5000.0,
    "SetupTarget": 800.0,
    "GuardTime": 4800.0,
    "Revenue": 2.0,
    "Stream": True,
}


def schedule(hosts):
    """What happens: (seconds, host, "hangs", "answers", "gone" or "listed"), the earliest first."""
    events = []
    for n, host in enumerate(hosts):
        at = BEGIN + n * OFFSET
        while at + TURN <= BEGIN + LENGTH:
            events += [(at, host, "hangs"), (at + LIST_AFTER, host, "gone")]
            events += [(at + DOWN, host, "answers"), (at + DOWN + 4.5, host, "listed")]
            at += TURN
    return sorted(events, key=lambda event: event[0])


def carry_out(event, host, listed, discovery, record):
    """Carries out one event of the schedule."""
    if event in ("hangs", "answers"):
        host.hangs = event == "hangs"
        record.note(host.name, f"{event} from now on")
        return
    listed[host] = event == "listed"
    entries = [one.entry() for one, is_listed in listed.items() if is_listed]
    discovery.set_list(entries, f"the whole list, {host.name} is {event}")


def play(record, folder, trouble):
    """Plays the run; returns the hosts, or None if the node did not get ready."""
    all_cells = [s.Cell(n) for n in range(CELLS)]
    hosts = [s.Host(f"s-{n}", all_cells[n % CELLS], record) for n in range(HOSTS)]
    discovery = s.Discovery([host.entry() for host in hosts], record)
    node = s.Node(folder, record, discovery.address, s.settings(TrafficTypes=[KEYED]))
    try:
        if not node.until_ready():
            return None
        events = schedule([host for host in hosts if host.cell.number == 1][:FLAPPING]) if trouble else []
        listed, began, clients = dict.fromkeys(hosts, True), time.monotonic(), []
        while time.monotonic() - began < BEGIN + LENGTH:
            while events and time.monotonic() - began >= events[0][0]:
                _, host, event = events.pop(0)
                carry_out(event, host, listed, discovery, record)
            clients.append(s.Client(node.address, record, "field-save", 4800, 1.5))
            time.sleep(1 / CALLS_PER_S)
        for client in clients:
            client.thread.join(8)
    finally:
        node.end()
    return hosts


def broken(hosts, record):
    """Notes each request that went to another cell than that of its first attempt; returns how many."""
    attempts = sorted((at, call, host) for host in hosts for at, call in host.attempts)
    runs, first, wrong = {}, {}, set()
    for host in hosts:
        for _, call in host.runs:
            runs.setdefault(call, []).append(host)
    for at, call, host in sorted(attempts, key=lambda one: one[0]):
        # No stand-in ever answers BUSY or closes early: each attempt here may have run.
        begun = first.setdefault(call, host)
        if host.cell.number != begun.cell.number:
            wrong.add(call)
            record.note(
                "check",
                f"BROKEN: {call} was sent to {begun.name} of cell {begun.cell.number} and may have run, "
                f"then at {at:.3f} to {host.name} of cell {host.cell.number}; it RAN at "
                + " and ".join(f"{one.name} (cell {one.cell.number})" for one in runs[call]),
            )
    record.note("check", f"{len(first)} requests, {len(wrong)} sent outside the cell of their first attempt")
    record.note("check", f"{sum(len(where) > 1 for where in runs.values())} requests ran twice")
    return len(first), len(wrong)


def main():
    """Runs the case; returns the exit code."""
    s.end_on_sigterm()
    record = s.Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            hosts = play(record, folder, os.environ.get("TROUBLE", "1") != "0")
            if hosts is None:
                record.note("test", "the node did not get ready")
                return 2
            calls, wrong = broken(hosts, record)
            return 2 if not calls else s.BROKEN if wrong else 0
        finally:
            record.write(Path(__file__).resolve().parent / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
