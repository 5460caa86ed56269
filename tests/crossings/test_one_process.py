"""The platform's rule that a serving node is one process, with any number of threads, and starts no other
program.
"""

import json
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

from stubs import WAIT, Peer, open_line, serve, settings

ROOT = Path(__file__).parent.parent.parent
AUDITED_PROGRAM = """
import os, sys
REFUSED = {"subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system"}
def watch(event, args):
    if event in REFUSED:
        os.write(2, ("REFUSED %s\\n" % event).encode())
sys.addaudithook(watch)
from cottonspread import cli
sys.exit(cli.main(sys.argv[1:]))
"""


def test_the_deploy_command_runs_one_process():
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert run.split()[0] == "exec" and not set(run) & set(";&|")


def test_a_process_that_serves_reloads_and_stops_starts_no_other_process(hosts, list_server, tmp_path):
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    file = tmp_path / "node.json"
    file.write_text(json.dumps(json.loads(settings(list_server)) | {"listen": "{}:{}".format(*address)}))
    process = subprocess.Popen(
        [sys.executable, "-c", AUDITED_PROGRAM, "serve", "--config", str(file)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    log_lines = []

    def wait_for_log(text):
        for line in process.stderr:
            log_lines.append(line)
            if text in line:
                return
        raise AssertionError(f"ended without {text}: {log_lines}")

    try:
        wait_for_log("event=list news=full")
        conn = Peer(socket.create_connection(address, timeout=WAIT))
        conn.send_lines(open_line(1))
        peer = serve(hosts)
        peer.send_lines(b"UP r")
        assert conn.read_line() == b"UP r"
        process.send_signal(signal.SIGHUP)
        wait_for_log("event=reload")
        process.send_signal(signal.SIGTERM)
        log_reader = threading.Thread(target=lambda: log_lines.extend(process.stderr), daemon=True)
        log_reader.start()
        assert conn.read_line() == b"MOVE"
        assert process.wait(WAIT) == 0
        log_reader.join(WAIT)
        assert not [line for line in log_lines if line.startswith("REFUSED")]
    finally:
        process.kill()
        process.wait()
