"""Tests marked `alone` run while no other test of the same run does: they judge times, or fill the cores.

With pytest-xdist each test holds a lock on this file, the marked ones for themselves and all others together.
The marked ones stand last and go to one worker, so they wait for nobody but the tests that are under way.
"""

import fcntl

import pytest


def pytest_configure(config):
    config.addinivalue_line("markers", "alone: runs while no other test of the run does")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items):
    for item in items:
        if item.get_closest_marker("alone"):
            item.add_marker(pytest.mark.xdist_group("alone"))
    items.sort(key=lambda item: item.get_closest_marker("alone") is not None)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    if not hasattr(item.config, "workerinput"):  # one process: one test at a time
        return (yield)
    with open(__file__, "rb") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX if item.get_closest_marker("alone") else fcntl.LOCK_SH)
        return (yield)
