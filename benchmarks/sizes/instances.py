"""How long a supervisor's commands take with many instances.

    python benchmarks/sizes/instances.py [INSTANCES] > benchmarks/sizes/results/instances.json

Uses the example's server stubs, discovery and configuration, and one supervisor; each instance has its own
address. The fleet is ready when `fleet status` reports all instances ready.
"""

import importlib.util
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from lists import peak_memory_mb

ROOT = Path(__file__).parent.parent.parent
COTTONSPREAD = [sys.executable, "-m", "cottonspread", "fleet"]


def main(instances):
    """Runs a fleet of `instances` instances; returns the figures."""
    spec = importlib.util.spec_from_file_location("toy", ROOT / "examples" / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    toy, discovery = module.Toy(3), socket.create_server(("127.0.0.1", 0), backlog=1024)
    threading.Thread(target=toy.accept, args=(discovery, toy.discover), daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "node.json").write_text(
            json.dumps(
                json.loads((ROOT / "examples" / "node.json").read_text())
                | {"discovery": "{}:{}".format(*discovery.getsockname()), "operator": None}
            )
        )
        file = Path(folder) / "o.toml"
        text = (
            f'[fleet]\nname = "f"\nconfig = "node.json"\ninstances = {instances}\n'
            'listen = "127.20.0.1:8080"\nport_step = 0\nhost_step = 1\n'
            "at_once = 64\nstart_at_once = 16\nstart_s = 60.0\nwatch_s = 1.0\n"
        )
        file.write_text(text)

        def run(command):
            started_at = time.perf_counter()
            done = subprocess.run(
                [*COTTONSPREAD, command, "--operator", str(file)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=600,
            )
            if done.returncode:
                raise RuntimeError(
                    f"{command} exited with {done.returncode}: {done.stdout[-500:]} {done.stderr[-500:]}"
                )
            return time.perf_counter() - started_at

        started_at = time.perf_counter()
        supervisor = subprocess.Popen(
            [*COTTONSPREAD, "run", "--operator", str(file)], cwd=ROOT, stderr=subprocess.DEVNULL
        )
        try:
            while True:
                time.sleep(1)
                if supervisor.poll() is not None:
                    raise RuntimeError(f"supervisor exited with {supervisor.returncode}")
                try:
                    run("status")
                    break
                except RuntimeError:  # not listening yet, or not all ready
                    pass
            figures = {"instances": instances, "all_ready_s": round(time.perf_counter() - started_at, 1)}
            figures["status_s"] = round(run("status"), 2)
            file.write_text(text + '[log]\nlevel = "warning"\n')
            figures["reload_s"] = round(run("reload"), 1)
            figures["supervisor_mb"] = round(peak_memory_mb(supervisor.pid), 1)
            figures["stop_s"] = round(run("stop"), 1)
            figures["exit"] = supervisor.wait(60)
        finally:
            if supervisor.poll() is None:
                supervisor.terminate()
                supervisor.wait(60)
    return figures


if __name__ == "__main__":
    threading.excepthook = lambda args: None  # ignores errors of the list stub's connections as instances end
    print(
        json.dumps(
            main(int(sys.argv[1]) if len(sys.argv) > 1 else 240) | {"cores": len(os.sched_getaffinity(0))},
            indent=1,
        )
    )
