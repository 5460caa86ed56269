"""A process is replaced when the list tells of a drain: that server's clients are still to be moved."""

import os
import signal
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(FOLDER, "..", "stand2")]

import common  # noqa: E402

SERVERS, CLIENTS = 6, 36
NOTICE_S, DRAIN_S = 1.5, 5.5
"""From the begin of the drain to the list's word (about), and to the server's stop."""
START_S = 0.6
"""About what a process needs until its yes: the new one is started this long before the list's word."""
LATEST_NOTICE_S = 4.0
"""The page allows 4.8 s; the node needs a second from then on."""


def operators_answer(port, line):
    """Asks the operators' address of a process."""
    try:
        with socket.create_connection(common.loopback(port), timeout=1) as sock:
            sock.sendall(line + b"\n")
            return sock.makefile("rb").readline().strip()
    except OSError:
        return b""


class Processes:
    """The processes of one node, whose listening socket the platform holds."""

    def __init__(self, case, platform):
        """Opens the socket and writes the configuration."""
        self.case, self.listener = case, socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        os.mkdir(case.path("shared"))
        values = common.node_configuration("n1", "{}:{}".format(*self.address), platform.discovery)
        self.path = case.write_json("node.json", values)

    def start(self, label):
        """Starts a process and waits for its yes."""
        port = common.free_ports(1)[0]
        environment = {
            "PROXY_CONFIG": self.path,
            "PROXY_INHERITED_FD": str(self.listener.fileno()),
            "PROXY_OPERATOR": f"127.0.0.1:{port}",
            "TMPDIR": self.case.path("shared"),
        }
        process = self.case.start(label, "serve", environment, pass_fds=[self.listener.fileno()])
        self.case.until(
            lambda: operators_answer(port, b"health") == b"200 yes", f"{label} says yes", interval=0.02
        )
        self.case.record(f"{label} says yes to health")
        return process


def play(case):
    """Returns (whether the rule held, text)."""
    platform = common.Platform(case, SERVERS)
    processes = Processes(case, platform)
    old = processes.start("old")
    clients = []
    for number in range(CLIENTS):
        clients.append(common.Client(case, str(number), processes.address))
        time.sleep(0.05)
    standing = [client for client in clients if client.id in platform.held[0]]
    if len(standing) < 3 or any(client.end for client in clients):
        raise common.NotRunError("too few clients stand at server s-1, or one has left already")
    platform.drain(0)
    began = time.monotonic()
    time.sleep(NOTICE_S - START_S)
    if common.TROUBLE:
        processes.start("new")
    else:
        time.sleep(START_S)
    if time.monotonic() - began > LATEST_NOTICE_S:
        raise common.NotRunError("the new process was ready too late")
    platform.list_drain(0)
    if common.TROUBLE:
        time.sleep(0.1)
        case.signal("old", old, signal.SIGTERM)
        case.record(f"old ended with {old.wait(10)}")
    time.sleep(max(0.0, began + DRAIN_S - time.monotonic()))
    platform.stop(0)
    time.sleep(1.5)
    faults = {client.label: client.end or "not ended" for client in standing if client.end != "MOVE"}
    for client in clients:
        client.running = False
    if faults:
        return False, f"{len(faults)} of {len(standing)} clients were cut off by the server's stop: {faults}"
    return True, f"all {len(standing)} clients of the draining server were asked to move"


if __name__ == "__main__":
    sys.exit(common.run(FOLDER, play))
