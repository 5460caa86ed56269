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


def test_one_that_is_to_be_alone_is_and_comes_last(tmp_path):
    for name in ("known_red.py", "alone.py", "conftest.py"):
        shutil.copy(HERE / name, tmp_path)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_one.py").write_text(TESTS)
    words = ["-p", "no:cacheprovider", "-n", "2", "--dist", "loadgroup", "--strict-markers"]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-v", *words], cwd=tmp_path, capture_output=True, text=True
    )
    assert done.returncode == 0 and "7 passed" in done.stdout, done.stdout
    ended = [line for line in done.stdout.splitlines() if "PASSED" in line]
    assert "test_alone" in ended[-1], done.stdout
