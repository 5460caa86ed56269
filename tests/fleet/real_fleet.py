"""A complete fleet on loopback, with toy servers, for the tests of this folder."""

import importlib.util
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from cottonspread.fleet import control

ROOT = Path(__file__).parent.parent.parent
WAIT = 30


def toy(count=2):
    spec = importlib.util.spec_from_file_location("toy", ROOT / "examples" / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    discovery, listener = module.Toy(count), socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=discovery.accept, args=(listener, discovery.discover), daemon=True).start()
    return discovery, "{}:{}".format(*listener.getsockname())


def free_ports(count):
    """Returns the first of `count` consecutive free ports; each xdist worker has its own range."""
    lowest = 16000 + 2000 * (int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % 8)
    for first in range(lowest + os.getpid() % 1000, lowest + 2000 - count, count):
        socks = []
        try:
            for n in range(count):
                socks.append(socket.create_server(("127.0.0.1", first + n)))
            return first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


class Fleet:
    def __init__(self, instances=2, **keys):
        self.folder = Path(
            tempfile.mkdtemp(prefix="fl-", dir="/tmp")
        )  # short, because the path of a Unix socket is limited
        self.toy, self.discovery = toy()
        self.port, self.processes = free_ports(instances + 1), []
        self.keys = {
            "name": "f",
            "config": "node.json",
            "instances": instances,
            "listen": f"127.0.0.1:{self.port}",
            "state": "s",
            "stuck_s": 2.0,
            "backoff_s": 0.1,
            "backoff_most_s": 0.4,
            "restarts": 3,
            "watch_s": 0.0,
            **keys,
        }
        self.node = json.loads((ROOT / "examples" / "node.json").read_text()) | {"discovery": self.discovery}
        self.write()

    def write(self, more="[instance]\norphan_s = 20.0\n", **keys):
        self.keys |= keys
        (self.folder / "node.json").write_text(json.dumps(self.node))
        (self.folder / "o.toml").write_text(
            more + "[fleet]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in self.keys.items())
        )

    def command_line(self, *args):
        return [
            sys.executable,
            "-m",
            "cottonspread",
            "fleet",
            *args,
            "--operator",
            str(self.folder / "o.toml"),
        ]

    def run(self, **more):
        with open(self.folder / "run.log", "ab") as log:
            self.processes.append(
                subprocess.Popen(self.command_line("run"), cwd=ROOT, stdout=log, stderr=log, **more)
            )
        return self.processes[-1]

    def command(self, *args):
        done = subprocess.run(
            self.command_line(*args), cwd=ROOT, capture_output=True, text=True, timeout=WAIT * 2
        )
        assert "Traceback" not in done.stderr, done.stderr
        return done

    def status(self):
        """Returns the supervisor's status; {} while none answers."""
        try:
            with control.connect(str(self.folder / "s" / "fleet.sock")) as sock:
                sock.sendall(b'{"do": "status"}\n')
                return json.loads(sock.makefile().readline())["status"]
        except (OSError, ValueError):
            return {}

    def rows(self):
        return {row["instance"]: row for row in self.status().get("instances", ())}

    def until(self, condition, what):
        deadline = time.monotonic() + WAIT
        while not condition():
            assert time.monotonic() < deadline, (
                what,
                self.status(),
                (self.folder / "run.log").read_text()[-3000:],
            )
            time.sleep(0.02)

    def wait_ready(self):
        self.until(
            lambda: (
                self.status().get("ready")
                and not self.status()["rollout"]
                and not any(r["leaving"] for r in self.status()["instances"])
            ),
            "ready",
        )
        return {name: row["pid"] for name, row in self.rows().items()}

    def first_answer(self, n, line):
        """Returns the answer to a client's first line."""
        with socket.create_connection(("127.0.0.1", self.port + n), timeout=10) as sock:
            sock.sendall(line + b"\r\n")
            return sock.makefile("rb").readline().strip()

    def log(self):
        return (self.folder / "run.log").read_text()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                process.wait(WAIT)
        shutil.rmtree(self.folder)
