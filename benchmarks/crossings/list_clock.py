"""Measures how long a change takes to reach a node after failed requests for the list, with real time-outs:

    python benchmarks/crossings/list_clock.py OUT.json

The change happens, and the list answers again, just after the last failure: the worst case.
"""

import json
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "crossings")]

from stubs import SETTINGS, Host, ListServer, running, wait_for_list  # noqa: E402
from test_list import FAULTS  # noqa: E402


def measure(fault, failures, poll):
    """Returns the seconds from a change, after `failures` failed requests, until the node has it."""
    hosts = [Host("s-1"), Host("s-2")]
    list_server, failed = ListServer().add(*hosts), threading.Semaphore(0)

    def fail_request(call):
        failed.release()
        fault(call)

    settings = {"settings": SETTINGS | {"MembershipMode": "ask", "AskEvery": 10_000}} if poll else {}
    with running(list_server, **settings) as node:
        wait_for_list(node)
        for _ in range(failures):
            list_server.scripted.put(fail_request)
        list_server.change(hosts[1], "Ready")
        for _ in range(failures):
            failed.acquire()
        started = time.monotonic()
        list_server.change(hosts[0], "Terminating")
        while not any(
            getattr(getattr(e, "update", None), "version", 0) == list_server.version
            for e in list(node.seen.events)
        ):
            time.sleep(0.001)
        return time.monotonic() - started


def main(args):
    """Measures all cases; returns 1 if the longest takes 6 s or more."""
    results = [
        {
            "fault": fault.__name__,
            "times": failures,
            "list": "asked" if poll else "pushed",
            "s": round(measure(fault, failures, poll), 3),
        }
        for poll in (False, True)
        for fault in FAULTS
        for failures in (1, 3)
    ]
    for result in results:
        print(*result.values())
    print("longest", max(result["s"] for result in results))
    if args:
        Path(args[0]).write_text(json.dumps(results, indent=1) + "\n")
    return 0 if max(result["s"] for result in results) < 6 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
