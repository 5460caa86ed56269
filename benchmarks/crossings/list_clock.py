"""How long a change takes to reach a node after a call of the list has gone wrong, with the real times:

    python benchmarks/crossings/list_clock.py OUT.json

The change comes, and the list can be reached, in the moment after the fault
has struck: the longest way there is.
"""

import json
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "crossings")]

from standins import SETTINGS, Agent, Host, listed, running  # noqa: E402
from test_list import FAULTS  # noqa: E402


def measured(fault, times, asked):
    hosts = [Host("s-1"), Host("s-2")]
    agent, struck = Agent().list(*hosts), threading.Semaphore(0)

    def script(call):
        struck.release()
        fault(call)

    more = {"settings": SETTINGS | {"MembershipMode": "ask", "AskEvery": 10_000}} if asked else {}
    with running(agent, **more) as node:
        listed(node)
        for _ in range(times):
            agent.scripted.put(script)
        agent.change(hosts[1], "Ready")
        for _ in range(times):
            struck.acquire()
        began = time.monotonic()
        agent.change(hosts[0], "Terminating")
        while not any(
            getattr(getattr(e, "listed", None), "version", 0) == agent.version for e in list(node.seen.told)
        ):
            time.sleep(0.001)
        return time.monotonic() - began


def main(given):
    told = [
        {
            "fault": fault.__name__,
            "times": times,
            "list": "asked" if asked else "pushed",
            "s": round(measured(fault, times, asked), 3),
        }
        for asked in (False, True)
        for fault in FAULTS
        for times in (1, 3)
    ]
    for one in told:
        print(*one.values())
    print("longest", max(one["s"] for one in told))
    if given:
        Path(given[0]).write_text(json.dumps(told, indent=1) + "\n")
    return 0 if max(one["s"] for one in told) < 6 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
