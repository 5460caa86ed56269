"""How long a fleet takes to recover, against the number of its instances and the length of the server list.

    python benchmarks/fleet/control.py RESULT.json [CHECKOUT]

For each size: seconds from the kill of the supervisor until the next one, started at once, has adopted all
instances, how many it did not adopt, and seconds from the kill of all instances until all are back. The
servers of the list do not exist; no client connects. CHECKOUT: the tree whose program is measured.
"""

import contextlib
import http.server
import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SIZES = [(n, servers) for n in (1, 4, 8, 40) for servers in (100, 1000, 3200)]
TIMEOUT = 90.0  # seconds for any state of the fleet
POLL_INTERVAL = 0.005  # seconds between two looks at the log
FIRST_PORT = 31000


def server_list(count):
    """A list of so many servers, in discovery's form."""
    instances = [
        {
            "instanceId": f"server-with-a-long-name-{n:05}",
            "hostPort": f"127.77.{n // 250}.{1 + n % 250}:8080",
            "zone": "here",
            "machineType": "toy",
            "cell": n // 4,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for n in range(count)
    ]
    return {"generation": 1, "reset": True, "instances": instances}


def serve_list(port, servers):
    """Serves the list; a watch is held for two seconds and answered without changes."""
    whole = json.dumps(server_list(servers)).encode()
    unchanged = json.dumps({"generation": 1, "reset": False, "instances": []}).encode()

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):  # noqa: N802 - the name that the standard library calls
            is_watch = "since=" in self.path
            if is_watch:
                time.sleep(2.0)
            body = unchanged if is_watch else whole
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            with contextlib.suppress(ConnectionError):  # the instance has been killed
                self.wfile.write(body)

        def log_message(self, *_):
            pass

    class Server(http.server.ThreadingHTTPServer):
        request_queue_size = 256
        daemon_threads = True

    with contextlib.suppress(KeyboardInterrupt):
        Server(("127.0.0.1", port), Handler).serve_forever()


class MeasuredFleet:
    """A fleet of a checkout, whose log tells what has happened."""

    def __init__(self, folder, checkout, instances, servers, list_port):
        self.folder, self.checkout, self.instances = Path(folder), checkout, instances
        node = json.loads((ROOT / "examples" / "node.json").read_text())
        node |= {"discovery": f"127.0.0.1:{list_port}", "known": server_list(servers)}
        (self.folder / "node.json").write_text(json.dumps(node))
        keys = {"name": "f", "config": "node.json", "instances": instances, "state": "s"}
        keys |= {"listen": f"127.0.0.1:{FIRST_PORT}", "start_s": 30.0}
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in keys.items()]
        (self.folder / "o.toml").write_text("[fleet]\n" + "".join(lines))
        self.supervisor = None

    def start(self):
        """Starts a supervisor."""
        command = [sys.executable, "-m", "cottonspread", "fleet", "run", "--operator"]
        command.append(str(self.folder / "o.toml"))
        with open(self.folder / "run.log", "ab") as log:
            self.supervisor = subprocess.Popen(command, cwd=self.checkout, stdout=log, stderr=log)

    def count(self, event):
        """How often the supervisors' log has an event."""
        return (self.folder / "run.log").read_text().count(f"event={event} ")

    def wait_for(self, event, count):
        """Waits until the log has an event so many times; returns the time."""
        deadline = time.monotonic() + TIMEOUT
        while self.count(event) < count:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self.count(event)} of {count} times {event}")
            time.sleep(POLL_INTERVAL)
        return time.monotonic()

    def pids(self):
        """The processes of the instances."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(str(self.folder / "s" / "fleet.sock"))
            sock.sendall(b'{"do": "status"}\n')
            return [row["pid"] for row in json.loads(sock.makefile().readline())["status"]["instances"]]

    def adoption(self):
        """Kills the supervisor; returns (seconds until the next one has the fleet, how many it killed)."""
        ready, not_adopted = self.count("ready"), self.count("not-adopted")
        began = time.monotonic()
        self.supervisor.kill()
        self.supervisor.wait()
        self.start()
        adopted = self.count("adopted")
        deadline = time.monotonic() + TIMEOUT
        while self.count("adopted") - adopted + self.count("not-adopted") - not_adopted < self.instances:
            if time.monotonic() > deadline:
                raise RuntimeError("not adopted in time")
            time.sleep(POLL_INTERVAL)
        seconds = time.monotonic() - began
        self.wait_for("ready", ready + 1)
        return seconds, self.count("not-adopted") - not_adopted

    def recovery(self):
        """Kills all instances; returns the seconds until all are back."""
        returned, began = self.count("returned"), time.monotonic()
        for pid in self.pids():
            os.kill(pid, signal.SIGKILL)
        return self.wait_for("returned", returned + self.instances) - began

    def stop(self):
        """Stops the fleet."""
        self.supervisor.send_signal(signal.SIGTERM)
        self.supervisor.wait(TIMEOUT)


def measure(checkout, instances, servers):
    """Returns the row of one size."""
    list_port = FIRST_PORT - 1
    agent = multiprocessing.Process(target=serve_list, args=(list_port, servers), daemon=True)
    agent.start()
    try:
        with tempfile.TemporaryDirectory(prefix="fc-", dir="/tmp") as folder:
            fleet = MeasuredFleet(folder, checkout, instances, servers, list_port)
            fleet.start()
            fleet.wait_for("ready", instances + 1)
            time.sleep(1.0)
            try:
                back = fleet.recovery()
                time.sleep(1.0)
                adopted, killed = fleet.adoption()
            finally:
                fleet.stop()
    finally:
        agent.terminate()
        agent.join()
    return {
        "instances": instances,
        "servers": servers,
        "adopted_s": round(adopted, 3),
        "not_adopted": killed,
        "back_s": round(back, 3),
    }


def main(arguments):
    """Measures all sizes, one after the other, and writes the results."""
    checkout = Path(arguments[1]).resolve() if len(arguments) > 1 else ROOT
    rows = []
    for instances, servers in SIZES:
        rows.append(measure(checkout, instances, servers))
        print(rows[-1], flush=True)
    Path(arguments[0]).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
