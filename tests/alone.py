"""Tests marked `alone` never run in parallel with others: they check timing, or use all cores.

With pytest-xdist each test holds a lock on this file: marked tests an exclusive one, all others a shared one.
Marked tests are sorted last and go to one worker, so they wait only for the tests that are still running.
"""

import fcntl

import pytest


def pytest_configure(config):
    config.addinivalue_line("markers", "alone: never runs in parallel with other tests")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items):
    for item in items:
        if item.get_closest_marker("alone"):
            item.add_marker(pytest.mark.xdist_group("alone"))
    items.sort(key=lambda item: item.get_closest_marker("alone") is not None)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    if not hasattr(item.config, "workerinput"):  # without workers only one test runs at a time
        return (yield)
    with open(__file__, "rb") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX if item.get_closest_marker("alone") else fcntl.LOCK_SH)
        return (yield)
