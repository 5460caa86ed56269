"""A server drains, and one of its clients hangs up: the others have to be asked to move before it stops."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(FOLDER, "..", "stand2")]

import common  # noqa: E402

CLIENTS = 12
DRAIN_S = 6.0
"""From the list's word to the server's stop: the longest that the page names."""


def play(case):
    """Returns (whether the rule held, text)."""
    platform, port = common.Platform(case, 2), common.free_ports(1)[0]
    values = common.node_configuration("n1", f"127.0.0.1:{port}", platform.discovery)
    case.start("n1", "serve", {"PROXY_CONFIG": case.write_json("node.json", values)})
    address = common.loopback(port)
    case.until(lambda: common.first_answer(address, b"PING") == "PONG", "the node serves")
    clients = []
    for number in range(CLIENTS):
        clients.append(common.Client(case, str(number), address))
        time.sleep(0.2)
    standing = [client for client in clients if client.id in platform.held[0]]
    if len(standing) < 3 or any(client.end for client in clients):
        raise common.NotRunError("too few clients stand at server s-1")
    platform.drain(0)
    told = time.monotonic()
    time.sleep(0.2)
    if common.TROUBLE:
        standing.pop().hang_up()
    time.sleep(max(0.0, told + DRAIN_S - time.monotonic()))
    platform.stop(0)
    time.sleep(1.5)
    faults = {client.label: client.end or "not ended" for client in standing if client.end != "MOVE"}
    for client in clients:
        client.running = False
    if faults:
        return (
            False,
            f"{len(faults)} of {len(standing)} clients were cut off when the server stopped: {faults}",
        )
    return True, f"all {len(standing)} clients of the draining server were asked to move"


if __name__ == "__main__":
    sys.exit(common.run(FOLDER, play))
