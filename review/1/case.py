"""Case 1: a keyed request whose first host has left the list is repeated outside that host's cell."""

import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

HOSTS, CELLS = 13, 2  # as at trentside-farms: 12 to 13 servers, cells of 6 to 10
HUNG = 2  # of 13 (there: up to 16% take calls in and answer none for 6.3 to 24 s)
CALLS_PER_S, HANG_AT, END_AT = 30, 3.0, 11.0  # seconds
LIST_AFTER = (2.3, 2.5)  # seconds from the hang to the list without one host more (there: 1.3 to 4.5 s late)
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


def play(record, folder, trouble):
    """Plays the run; returns the hosts, or None if the node did not get ready."""
    cells = [standins.Cell(n) for n in range(CELLS)]
    hosts = [standins.Host(f"s-{n}", cells[n % CELLS], record) for n in range(HOSTS)]
    discovery = standins.Discovery([host.entry() for host in hosts], record)
    node = standins.Node(
        folder, record, discovery.address, standins.settings(TrafficTypes=[KEYED]), known=None
    )
    try:
        if not node.until_ready():
            return None
        hung = [host for host in hosts if host.cell.number == 1][:HUNG]
        changes = [(HANG_AT, None)] + [
            (HANG_AT + after, host) for after, host in zip(LIST_AFTER, hung, strict=True)
        ]
        began, clients, left = time.monotonic(), [], list(hosts)
        while time.monotonic() - began < END_AT:
            while trouble and changes and time.monotonic() - began >= changes[0][0]:
                host = changes.pop(0)[1]
                if host is None:
                    for one in hung:
                        one.hangs = True
                        record.note(one.name, "hangs from now on: takes requests and answers nothing")
                else:
                    left.remove(host)
                    discovery.set_list([one.entry() for one in left], f"the whole list, without {host.name}")
            clients.append(standins.Client(node.address, record, "field-save", 4800, 1.5))
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
    standins.end_on_sigterm()
    record = standins.Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            hosts = play(record, folder, os.environ.get("TROUBLE", "1") != "0")
            if hosts is None:
                record.note("test", "the node did not get ready")
                return 2
            calls, wrong = broken(hosts, record)
            return 2 if not calls else standins.BROKEN if wrong else 0
        finally:
            record.write(Path(__file__).resolve().parent / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
