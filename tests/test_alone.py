"""Tests marked `alone` run alone, and all others may run in parallel."""

import shutil
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).parent
TESTS = """
import fcntl
import pytest
import alone

def can_lock(how):
    with open(alone.__file__, "rb") as lock:
        try:
            fcntl.flock(lock, how | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

@pytest.mark.alone
def test_alone():
    assert not can_lock(fcntl.LOCK_SH), "another test could run in parallel with this one"

@pytest.mark.parametrize("n", range(6))
def test_other(n):
    assert can_lock(fcntl.LOCK_SH), "it blocks the other tests"
    assert not can_lock(fcntl.LOCK_EX), "a test marked alone could run in parallel with this one"
"""


def run(folder, *arguments):
    for name in ("known_red.py", "alone.py", "conftest.py"):
        shutil.copy(HERE / name, folder)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_one.py").write_text(TESTS)
    arguments = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        "--strict-markers",
        *arguments,
    ]
    return subprocess.run(arguments, cwd=folder, capture_output=True, text=True)


def test_a_marked_test_runs_alone(tmp_path):
    done = run(tmp_path, "-n", "2", "--dist", "loadgroup")
    assert done.returncode == 0 and "7 passed" in done.stdout, done.stdout


def test_marked_tests_are_scheduled_last(tmp_path):
    tests = [line for line in run(tmp_path, "--collect-only").stdout.splitlines() if "::" in line]
    assert len(tests) == 7 and tests[-1] == "test_one.py::test_alone"
