"""A process is replaced while the server list tells of a drain."""

import re
import signal

from test_net import WAIT, toy  # noqa: F401 (fixture)
from test_succession import open_connections, platform, servers  # noqa: F401 (fixtures)


def test_clients_of_a_server_that_drains_during_a_replacement_are_moved(platform, servers):  # noqa: F811
    """Guards against moves that are lost with the process that planned them when the drain was listed."""
    start, address = platform
    first = start().ready()
    clients = open_connections(address, 6)
    second = start().ready()
    servers.change(0, "Terminating")
    assert all(node.wait_for_log("news=changes version=2") for node in (first, second))
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait(WAIT) == 0
    log = first.log_text()
    ended = re.findall(r"event=closed .*call=a(\d) .*host=(toy-\d)", log)
    assert len(ended) == 6 and {host for _, host in ended} == {"toy-1", "toy-2"}
    assert "reason=handed-over" in log
    for number, host in ended:
        client = clients[int(number)]
        if host == "toy-1":
            assert client.read_line() == b"MOVE" and client.read_line() == b""
        else:
            client.send_line(b"still here")
            assert client.read_line() == b"still here"
