"""A test marked `alone` has the run for itself, and the others run beside each other."""

import shutil
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).parent
TESTS = """
import fcntl
import pytest
import alone

def may(how):
    with open(alone.__file__, "rb") as lock:
        try:
            fcntl.flock(lock, how | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

@pytest.mark.alone
def test_alone():
    assert not may(fcntl.LOCK_SH), "another test could run beside this one"

@pytest.mark.parametrize("n", range(6))
def test_other(n):
    assert may(fcntl.LOCK_SH), "it keeps the others waiting"
    assert not may(fcntl.LOCK_EX), "one that is to be alone could run beside this one"
"""


def run(folder, *words):
    for name in ("known_red.py", "alone.py", "conftest.py"):
        shutil.copy(HERE / name, folder)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_one.py").write_text(TESTS)
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--strict-markers", *words]
    return subprocess.run(words, cwd=folder, capture_output=True, text=True)


def test_one_that_is_to_be_alone_is(tmp_path):
    done = run(tmp_path, "-n", "2", "--dist", "loadgroup")
    assert done.returncode == 0 and "7 passed" in done.stdout, done.stdout


def test_those_that_are_to_be_alone_are_handed_out_last(tmp_path):
    tests = [line for line in run(tmp_path, "--collect-only").stdout.splitlines() if "::" in line]
    assert len(tests) == 7 and tests[-1] == "test_one.py::test_alone"
