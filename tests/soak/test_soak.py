"""A short soak test: the audit finds no violation in a ten-second run of each seed.

Seeds 3, 8 and 10 open hundreds of idle connections that send nothing or half a line. They guard against late
answers to other clients: the accepting thread waited up to 50 ms for each idle connection while the reducer
closed idle ones, and clients that had sent a full line queued behind them in the listener's backlog. They got
BUSY up to two seconds after their deadline (`late answer: a-0009c BUSY 2.95 s` for calls that wait 1 s, by
the kernel's timestamps at the client, with the load generator 0.05 s late at most). Fixed in
`net/admission.py`; see docs/incidents/2026-12-03-silent-crowd.md.
"""

import gc
from pathlib import Path

import pytest

from cottonspread.lab.soak import audit, plan, runner


@pytest.mark.parametrize("seed", (1, 3, 5, 8, 10, 12))
def test_run_has_no_violations(seed):
    record = runner.SoakRun(plan.generate(seed)).run()
    found = audit.violations(record, runner.MAX_WAIT, runner.RESOURCE_LIMITS)
    assert not found, (found[:10], record.log[-2000:])
    assert not audit.invalid_reason(record), audit.invalid_reason(record)  # an invalid run does not pass
    assert len(record.calls) > 50


def test_no_neighbour_is_given_the_node_s_port():
    """Guards against a node that cannot listen because another test got its port meanwhile."""
    first_assigned = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    addresses = [runner.SoakRun(plan.generate(1)).address for _ in range(20)]
    assert all(port < first_assigned for _, port in addresses) and len(set(addresses)) > 10


def test_plan_depends_on_the_seed_alone_and_leaving_out_a_fault_keeps_the_rest():
    full = plan.generate(10)
    assert plan.generate(10) == full and plan.generate(11) != full
    without = plan.generate(10, ("crowd",))
    assert without.faults == tuple(one for one in full.faults if one.what != "crowd") != full.faults


def test_garbage_collector_does_not_run_during_a_run(monkeypatch):
    """Guards against runs that a full collection makes invalid.

    The runner shares its process with all that a test worker has allocated. A full collection there took
    0.2 to 0.3 s, in which the stub hosts and the clients stood still (`load generator 0.25 s late`).
    """
    monkeypatch.setattr(runner, "TRAFFIC_SECONDS", 0.5)
    collections, thresholds = [], gc.get_threshold()
    soak_run = runner.SoakRun(plan.generate(1))
    drive = soak_run.drive

    def on_collection(phase, info):
        collections.append(info)

    def observed_drive():
        gc.set_threshold(10)
        gc.callbacks.append(on_collection)
        try:
            drive()
        finally:
            gc.callbacks.remove(on_collection)
            gc.set_threshold(*thresholds)

    soak_run.drive = observed_drive
    record = soak_run.run()
    assert record.exit_code == 0 and record.calls
    assert not collections and gc.isenabled()
