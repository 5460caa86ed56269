import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from standins import Agent, Host  # noqa: E402


@pytest.fixture
def hosts():
    made = [Host("s-1"), Host("s-2")]
    yield made
    for host in made:
        host.close()


@pytest.fixture
def agent(hosts):
    return Agent().list(*hosts)
