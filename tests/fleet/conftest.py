import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from real_fleet import Fleet  # noqa: E402


@pytest.fixture
def make_fleet():
    made = []

    def make(*args, **keys):
        made.append(Fleet(*args, **keys))
        return made[-1]

    yield make
    for fleet in made:
        fleet.end()
