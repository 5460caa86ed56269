"""Case 3: after two reloads in quick succession the supervisor crashes, or hangs and does not stop."""

import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

INSTANCES, FEWER = 4, 2
CLIENTS, STAY = 6, 40.0  # clients that stand at each instance, and how long (trentside-farms: 25 to 49 s)
PAUSE = 2.0  # seconds between the two reloads
# Seconds for both reloads, from the defaults start_s 10, stop_s 8 and watch_s 5: two instances are
# changed one after the other, then two more are started.
RELOADS = 2 * (10.0 + 8.0 + 5.0) + 10.0 + 5.0
STOP = 8.0 + 5.0  # seconds from SIGTERM to the end: stop_s, by which instances are killed, and some to spare
HURRY = 5.0  # seconds from the second SIGTERM to the end
CHAT = {
    "Name": "chat",
    "Effect": "safe",
    "SetupTarget": 800.0,
    "GuardTime": 4800.0,
    "Revenue": 1.0,
    "Stream": True,
}


def wait_for(condition, wait):
    """Waits until the condition is true, so many seconds at most; returns whether it is."""
    deadline = time.monotonic() + wait
    while not (value := condition()) and time.monotonic() < deadline:
        time.sleep(0.1)
    return bool(value)


def reload_twice(fleet, first, pause):
    """Fewer instances and another limit, then the number as before; returns the two commands.

    `pause`: seconds between the two; None: the second one comes when the first has ended.
    """
    fleet.template["limits"]["memory_mb"] = 256
    fleet.write(first, FEWER)
    one = fleet.command("reload")
    if pause is None:
        wait_for(lambda: one.poll() is not None, RELOADS)
    else:
        time.sleep(pause)
    fleet.write(first, INSTANCES)
    return one, fleet.command("reload")


def find_faults(fleet, ended):
    """Stops the fleet; returns what is wrong. `ended`: whether both reloads have ended."""
    if fleet.supervisor.poll() is not None:
        return [f"the supervisor has crashed, exit code {fleet.supervisor.poll()}"]
    faults = [] if ended else [f"a reload has not ended after {RELOADS:g} s"]
    if not fleet.stop(STOP):
        faults.append(f"the supervisor has not ended {STOP:g} s after SIGTERM")
        if not fleet.stop(HURRY):
            faults.append(f"nor {HURRY:g} s after a second SIGTERM")
    return faults


def play(record, fleet, front, trouble):
    """Plays the run; returns its exit code."""
    first = standins.free_ports(INSTANCES)
    fleet.write(first, INSTANCES)
    front.ports = [first + n for n in range(INSTANCES)]
    fleet.start()
    if not wait_for(lambda: len(front.said_yes) == INSTANCES, 30):
        record.note("test", "the fleet did not get ready")
        return 2
    fleet.status()
    for port in front.ports * CLIENTS:
        standins.Client(("127.0.0.1", port), record, "chat", 4800, STAY)
    time.sleep(2)

    commands = reload_twice(fleet, first, PAUSE if trouble else None)
    ended = wait_for(lambda: all(command.poll() is not None for command in commands), RELOADS)
    for name, command in zip(("first", "second"), commands, strict=True):
        record.note("staff", f"the {name} reload: exit code {command.poll()}")
        if command.poll() is None:
            command.kill()
            command.wait()
    for row in fleet.status():
        record.note("staff", f"{row['instance']} at {row['address']}: {row['state']}, pid {row['pid']}")
    record.note("front", f"{len(front.said_yes)} of {INSTANCES} addresses say yes")
    faults = find_faults(fleet, ended)
    for fault in faults:
        record.note("check", f"BROKEN: {fault}")
    record.note("check", f"{len(faults)} faults")
    return standins.BROKEN if faults else 0


def main():
    """Runs the case; returns the exit code."""
    standins.end_on_sigterm()
    record = standins.Record()
    with tempfile.TemporaryDirectory() as folder:
        cell = standins.Cell(0)
        hosts = [standins.Host(f"s-{n}", cell, record) for n in range(3)]
        discovery = standins.Discovery([host.entry() for host in hosts], record)
        fleet = standins.Fleet(folder, record, discovery.address, [CHAT])
        try:
            return play(record, fleet, standins.Front(record, 2.0), os.environ.get("TROUBLE", "1") != "0")
        finally:
            fleet.end()
            log = Path(folder) / "fleet.log"
            for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
                if "KeyError" in line or "event=pending" in line:
                    record.note("fleet.log", f"{line[:90]} ... {line[-60:]}" if len(line) > 150 else line)
            record.write(Path(__file__).resolve().parent / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
