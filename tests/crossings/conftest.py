import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from stubs import Host, ListServer  # noqa: E402


@pytest.fixture
def hosts():
    created = [Host("s-1"), Host("s-2")]
    yield created
    for host in created:
        host.close()


@pytest.fixture
def list_server(hosts):
    return ListServer().add(*hosts)
