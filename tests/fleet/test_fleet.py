"""Complete fleets on loopback: killed, frozen, crashed, reloaded with bad files, on full disks.

Every wait is for the expected condition, with a timeout.
"""

import importlib.util
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import pytest

from cottonspread.fleet import control

ROOT = Path(__file__).parent.parent.parent
WAIT = 30


def toy(count=2):
    spec = importlib.util.spec_from_file_location("toy", ROOT / "examples" / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    one, listener = module.Toy(count), socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=one.accept, args=(listener, one.discover), daemon=True).start()
    return one, "{}:{}".format(*listener.getsockname())


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

    def until(self, true, what):
        until = time.monotonic() + WAIT
        while not true():
            assert time.monotonic() < until, (
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


@pytest.fixture
def fleet():
    made = []

    def make(*args, **keys):
        made.append(Fleet(*args, **keys))
        return made[-1]

    yield make
    for one in made:
        one.end()


def notices(one):
    """Returns a list of the notifications sent to the fleet's `notify` socket.

    A thread reads them all the time, because the sender drops what is not read.
    """
    manager, notifications = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM), []
    manager.bind(str(one.folder / "notify"))

    def listen():
        while True:
            notifications.append(manager.recv(4096).decode())

    threading.Thread(target=listen, daemon=True).start()
    return notifications


def have_ended(pids):
    return all(
        not os.path.exists(f"/proc/{pid}") or open(f"/proc/{pid}/stat").read().split(") ")[1][0] == "Z"
        for pid in pids
    )


def test_commands_and_notices_to_the_service_manager(fleet, tmp_path):
    one = fleet(2)
    notifications = notices(one)

    def received(word):
        one.until(lambda: any(word in line for line in notifications), word)
        return True

    process = one.run(
        env={**os.environ, "NOTIFY_SOCKET": str(one.folder / "notify"), "WATCHDOG_USEC": "200000"}
    )
    assert received("READY=1") and received("WATCHDOG=1") and one.status()["ready"], (
        "READY was sent too early"
    )
    before = one.wait_ready()
    assert one.first_answer(0, b"PING") == one.first_answer(1, b"PING") == b"PONG"
    table = one.command("status")
    assert table.returncode == 0 and "f-0  " in table.stdout and "serving" in table.stdout
    notifications.clear()
    process.send_signal(signal.SIGHUP)
    assert received("RELOADING=1") and received("READY=1") and one.wait_ready() == before, (
        "nothing has changed, so no process is restarted"
    )
    assert one.command("drain", "f-1").returncode == 0
    one.until(lambda: one.rows()["f-1"]["state"] == "drained", "drained")
    assert (
        one.first_answer(1, b"OPEN x k c=chat,d=2000") == b"BUSY" and one.first_answer(1, b"PING") == b"ERR"
    ), "the supervisor answers for the drained instance"
    crowd = [socket.create_connection(("127.0.0.1", one.port + 1), timeout=10) for _ in range(200)]
    for sock in crowd:
        sock.sendall(b"OPEN x k c=chat,d=2000\r\n")
    assert [sock.recv(100) for sock in crowd] == [b"BUSY\r\n"] * 200 and "fault" not in one.log()
    for sock in crowd:
        sock.close()
    assert one.first_answer(0, b"PING") == b"PONG" and one.command("status").returncode == 0
    assert one.command("restart", "f-1").returncode == one.command("restart", "f-0").returncode == 0
    one.until(
        lambda: all(r["state"] == "serving" and r["pid"] not in before.values() for r in one.rows().values()),
        "both restarted",
    )
    unknown = one.command("drain", "f-9")
    assert unknown.returncode == 1 and "f-9: no such instance" in unknown.stderr
    assert "instance=" in one.log() and "generation=" in one.command("logs", "f-0").stdout
    notifications.clear()
    assert one.command("stop").returncode == 0 and process.wait(WAIT) == 0 and received("STOPPING=1")
    assert one.command("status").returncode == 2


def test_a_single_node_notifies_the_service_manager_too(fleet):
    one = fleet(1)
    notifications = notices(one)
    answer, speaks = one.toy.answer, threading.Event()
    one.toy.answer = lambda query: speaks.wait(WAIT) and answer(query)
    one.node["listen"] = f"127.0.0.1:{one.port}"
    one.write()
    process = subprocess.Popen(
        [sys.executable, "-m", "cottonspread", "serve", "--config", str(one.folder / "node.json")],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "NOTIFY_SOCKET": str(one.folder / "notify"), "WATCHDOG_USEC": "100000"},
    )
    one.processes.append(process)
    one.until(lambda: notifications.count("WATCHDOG=1") >= 3, "alive")
    assert not any("READY" in line for line in notifications), "ready without a list"
    speaks.set()
    one.until(lambda: any("READY=1" in line for line in notifications), "ready")
    process.send_signal(signal.SIGTERM)
    one.until(lambda: "STOPPING=1" in notifications, "stopping")
    assert process.wait(WAIT) == 0


def test_kill_of_an_instance_of_the_supervisor_and_of_both(fleet):
    one = fleet(2)
    first = one.run()
    before = one.wait_ready()
    os.kill(before["f-0"], signal.SIGKILL)
    one.until(lambda: one.rows()["f-0"]["pid"] not in (None, before["f-0"]) and one.status()["ready"], "back")
    assert one.rows()["f-0"]["why"] == "signal 9" and one.rows()["f-0"]["restarts"] == 1
    before = one.wait_ready()
    first.kill()
    first.wait()
    assert one.first_answer(0, b"PING") == one.first_answer(1, b"PING") == b"PONG", (
        "without a supervisor they serve on"
    )
    second = one.run()
    assert one.wait_ready() == before, "adopted, not restarted"
    assert one.log().count("event=adopted") == 2
    one.node["limits"]["sockets"] = 1000  # which no running instance takes over
    one.write()
    second.kill()
    os.kill(before["f-0"], signal.SIGKILL)
    second.wait()
    one.until(lambda: have_ended([before["f-0"]]), "killed")
    one.run()
    after = one.wait_ready()
    assert not set(after.values()) & set(before.values()), (
        "the plan has changed, so the remaining process is replaced"
    )
    assert one.first_answer(0, b"PING") == one.first_answer(1, b"PING") == b"PONG"


def test_instances_without_a_supervisor_stop_themselves(fleet):
    one = fleet(2)
    one.write('[instance]\norphan_s = 1.0\n[log]\nformat = "json"\n')
    process = one.run()
    pids = one.wait_ready()
    lines = [json.loads(line) for line in (one.folder / "s" / "log" / "f-1.log").read_text().splitlines()]
    assert lines and all((line["node"], line["generation"]) == ("f-1", 2) for line in lines)
    process.kill()
    process.wait()
    one.until(lambda: have_ended(pids.values()), "orphans have stopped")
    one.run()
    one.wait_ready()


def test_a_frozen_instance_is_replaced_and_a_frozen_orphan_is_ended_at_the_next_start(fleet):
    one = fleet(2)
    process = one.run()
    pids = one.wait_ready()
    os.kill(pids["f-1"], signal.SIGSTOP)
    one.until(
        lambda: one.rows()["f-1"]["pid"] not in (None, pids["f-1"]) and one.status()["ready"], "replaced"
    )
    assert one.rows()["f-1"]["why"] == "stuck: no step for 2 s" and one.rows()["f-0"]["pid"] == pids["f-0"]
    pids = one.wait_ready()
    process.kill()
    process.wait()
    os.kill(pids["f-0"], signal.SIGSTOP)
    one.run()
    after = one.wait_ready()
    assert after["f-1"] == pids["f-1"] and after["f-0"] != pids["f-0"] and have_ended([pids["f-0"]])


def broken_checkout(folder):
    package = folder / "broken" / "cottonspread"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("raise SystemExit('broken on purpose')\n")
    return package.parent


def test_an_upgrade_that_does_not_start_is_rolled_back_and_a_good_one_is_kept(fleet):
    one = fleet(2)
    process = one.run()
    before = one.wait_ready()
    done = one.command("upgrade", "--checkout", str(broken_checkout(one.folder)))
    assert done.returncode == 1 and "f-0: exit 1" in done.stderr
    assert one.wait_ready() == before, "the old processes were touched"
    (one.folder / "new").symlink_to(ROOT)
    assert one.command("upgrade", "--checkout", str(one.folder / "new")).returncode == 0
    after = one.wait_ready()
    assert not set(after.values()) & set(before.values())
    environment = Path(f"/proc/{after['f-0']}/environ").read_text()
    assert environment.split("PYTHONPATH=")[1].split("\0")[0] == str(one.folder / "new")
    process.kill()
    process.wait()
    one.run()
    assert one.wait_ready() == after, "the next supervisor knows of the upgrade"
    assert one.command("upgrade", "--checkout", str(one.folder)).returncode == 2


def test_an_instance_that_crashes_at_each_start_is_given_up_and_answered_busy(fleet):
    one = fleet(2)
    (one.folder / "s").mkdir()
    (one.folder / "s" / "fleet.json").write_text(
        json.dumps({"program": [sys.executable, str(broken_checkout(one.folder))]})
    )
    one.run()
    one.until(lambda: {r["state"] for r in one.rows().values()} == {"given-up"}, "given up")
    assert one.log().count("event=ended") == 8, "each started once and restarted three times"
    assert one.first_answer(0, b"OPEN x k c=chat,d=2000") == b"BUSY"
    assert one.command("upgrade").returncode == 0, "onto the supervisor's own program"
    one.wait_ready()
    assert one.first_answer(0, b"PING") == b"PONG"


def test_two_on_one_folder_and_addresses_that_are_taken(fleet):
    one = fleet(2)
    first = one.run()
    one.wait_ready()
    second = one.command("run")
    assert second.returncode == 2 and f"another supervisor is running there, pid {first.pid}" in second.stderr
    other = fleet(2, listen=f"127.0.0.1:{one.port}")
    third = other.command("run")
    assert (
        third.returncode == 2
        and f"127.0.0.1:{one.port} for f-0: address in use" in third.stderr
        and "for f-1" in third.stderr
    )
    assert one.wait_ready()
    first.kill()
    first.wait()
    (one.folder / "s" / "fleet.pid").write_text("1\n")  # a stale pid that belongs to another process
    one.run()
    one.wait_ready()


def test_a_file_that_is_faulty_half_written_unreadable_or_gone_changes_nothing(fleet):
    one = fleet(2)
    process = one.run()
    before = one.wait_ready()
    good = (one.folder / "node.json").read_text(), (one.folder / "o.toml").read_text()

    def write_files(template, operators):
        for name, text in (("node.json", template), ("o.toml", operators)):
            (one.folder / name).unlink(missing_ok=True)
            if text is not None:
                (one.folder / name).write_bytes(text.encode() if isinstance(text, str) else text)

    kept = shutil.copy(one.folder / "o.toml", one.folder / "kept.toml")
    for template, operators, expected in (
        (good[0][:200], good[1], "invalid JSON"),
        (None, good[1], "No such file"),
        (b"\xff\xfe", good[1], "decode"),
        (good[0].replace("chat", ""), good[1], "Name: '' is not a non-empty string"),
        (good[0], good[1] + "at_onec = 3\n", "did you mean at_once?"),
        (
            good[0],
            good[1].replace('"s"', '"t"'),
            "fleet.state: a change of this key needs a restart of the supervisor",
        ),
        (good[0], None, "No such file"),
    ):
        write_files(template, operators)
        count = one.log().count('kept="the old configuration"')
        process.send_signal(signal.SIGHUP)
        one.until(lambda before=count: one.log().count('kept="the old configuration"') > before, "told")
        assert expected in one.log().splitlines()[-1] or expected in one.log(), expected
    write_files(*good)
    assert one.wait_ready() == before and kept
    assert one.command("reload").returncode == 0
    one.node["limits"]["sockets"] = 1000  # which no running instance takes over
    one.write()
    assert one.command("reload").returncode == 0
    assert not set(one.wait_ready().values()) & set(before.values())


def test_a_live_change_reaches_running_instances(fleet):
    one = fleet(2)
    one.run()
    before = one.wait_ready()
    _, one.node["discovery"] = toy(1)
    one.write()
    assert one.command("reload").returncode == 0
    assert one.wait_ready() == before, "nobody was restarted"
    one.until(lambda: one.command("logs", "f-1").stdout.count("entries=1") == 1, "the new discovery's list")
    one.write(instances=3)  # this changes Balancers too: two instances apply it, and one is new
    assert one.command("reload").returncode == 0
    after = one.wait_ready()
    assert set(after) == {"f-0", "f-1", "f-2"} and after | before == after, "nobody was restarted"
    assert all(one.command("logs", name).stdout.count("event=reload") == 2 for name in before)
    one.node["limits"]["sockets"] = 1000
    one.write()
    assert one.command("reload").returncode == 0
    assert not set(one.wait_ready().values()) & set(after.values()), "limits take a new process"
    one.write(instances=1)
    assert one.command("reload").returncode == 0
    one.until(lambda: set(one.rows()) == {"f-0"}, "the others are gone")
    with pytest.raises(ConnectionRefusedError):
        one.first_answer(2, b"PING")


def test_settings_reach_running_instances_and_connections_stay(fleet):
    one = fleet(2)
    process = one.run()
    before = one.wait_ready()
    assert one.first_answer(1, b"OPEN x k c=other,d=20").startswith(b"ERR")
    established = socket.create_connection(("127.0.0.1", one.port + 1), timeout=10)
    established.sendall(b"OPEN y k c=chat,d=20000\r\n")
    answer = established.makefile("rb").readline()
    one.node["settings"]["TrafficTypes"].append({**one.node["settings"]["TrafficTypes"][0], "Name": "other"})
    one.write()
    done = one.command("reload")
    assert done.returncode == 0, done.stderr
    assert one.first_answer(1, b"OPEN z k c=other,d=20").startswith(b"UP") and answer.startswith(b"UP")
    established.setblocking(False)
    with pytest.raises(BlockingIOError):  # neither closed nor sent anything
        established.recv(1, socket.MSG_PEEK)
    established.close()
    assert one.wait_ready() == before, "nobody was restarted"
    process.kill()
    process.wait()
    one.run()
    assert (
        one.wait_ready() == before and one.log().count("event=adopted") == 2 and "going-back" not in one.log()
    )
    assert "of=adopted" not in one.log(), "the next supervisor knows that the settings are in force there"


def test_a_full_disk_loses_log_lines_but_no_service(fleet):
    one = fleet(2)
    process = one.run(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0)))
    before = one.wait_ready()
    assert one.first_answer(0, b"PING") == one.first_answer(1, b"PING") == b"PONG"
    os.kill(before["f-0"], signal.SIGKILL)
    one.until(lambda: one.rows()["f-0"]["pid"] not in (None, before["f-0"]) and one.status()["ready"], "back")
    one.node["limits"]["sockets"] = 1000
    one.write()
    assert one.command("reload").returncode == 0
    assert one.wait_ready()["f-1"] != before["f-1"], "successors are started on a full disk too"
    assert not (one.folder / "s" / "f-0.list.json").exists() and one.log() == ""
    assert one.command("stop").returncode == 0 and process.wait(WAIT) == 0


def test_a_low_descriptor_limit_is_reported_at_the_start_and_running_out_ends_nothing(fleet):
    one = fleet(2)
    done = subprocess.run(
        one.command_line("run"),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
    )
    assert done.returncode == 2 and "descriptors" in done.stderr
    process = one.run()
    before = one.wait_ready()
    full = resource.prlimit(
        process.pid, resource.RLIMIT_NOFILE, (8, resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1])
    )
    os.kill(before["f-0"], signal.SIGKILL)
    one.until(lambda: "not started" in one.log(), "no descriptor for a new process")
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, full)
    one.until(
        lambda: one.status().get("ready") or one.rows().get("f-0", {}).get("state") == "given-up", "goes on"
    )
    assert one.command("restart", "f-0").returncode == 0
    after = one.wait_ready()
    assert after["f-1"] == before["f-1"]


@pytest.mark.parametrize("saved", [True, False])
def test_a_successor_started_from_an_old_list_sends_nothing_to_a_server_that_drains(fleet, saved):
    """The instance's configuration lists the server as ready.

    The successor learns of the drain from the list that its predecessor saved; without a saved list it
    accepts no connections before discovery has answered.
    """
    one = fleet(1)
    hangs, answer = threading.Event(), one.toy.answer

    def answered(query):
        while hangs.is_set():
            time.sleep(0.02)
        return answer(query)

    one.toy.answer = answered
    one.node["known"] = {"generation": 0, "reset": True, "instances": [dict(s) for s in one.toy.servers]}
    more = f"[instance]\nlist_wait_s = {0.2 if saved else 20.0}\nsave_list = {str(saved).lower()}\n"
    one.write(more, start_s=25.0)
    one.run()
    pid = one.wait_ready()["f-0"]
    one.toy.change(0, "Terminating")
    kept = one.folder / "s" / "f-0.list.json"
    if saved:
        one.until(lambda: "Terminating" in kept.read_text(), "the drain is known")
    else:
        one.until(lambda: one.rows()["f-0"]["list"] == one.toy.version, "the drain is known")
    hangs.set()
    os.kill(pid, signal.SIGKILL)
    one.until(lambda: one.rows()["f-0"]["generation"] == 2, "the successor is there")
    if not saved:
        one.until(lambda: one.rows()["f-0"]["state"] == "waiting", "it waits for discovery")
        hangs.clear()
    one.until(lambda: one.rows()["f-0"]["state"] == "serving", "serving")
    for n in range(20):
        assert one.first_answer(0, b"OPEN i%d k%d c=chat,d=2000,g=%x" % (n, n, n)).startswith(b"UP")
    hangs.clear()
    log = one.folder / "s" / "log" / "f-0.log"
    one.until(lambda: log.read_text().count("legs=") == 20, "all calls have ended")
    assert log.read_text().count("legs=1 host=toy-2") == 20, "toy-1, number 0, drains"


def test_an_upgrade_that_ends_more_calls_badly_is_rolled_back(fleet):
    one = fleet(2, watch_s=60.0, worse_of=10)
    one.run()
    before = one.wait_ready()
    assert all(
        one.first_answer(n % 2, b"OPEN i%d k%d c=chat,d=2000" % (n, n)).startswith(b"UP") for n in range(20)
    )
    worse = one.folder / "worse"
    shutil.copytree(
        ROOT / "cottonspread", worse / "cottonspread", ignore=shutil.ignore_patterns("__pycache__")
    )
    node = worse / "cottonspread" / "net" / "node.py"
    node.write_text(
        node.read_text().replace(
            "            admitted = self.admission_limiter.admits(self.clock.now())",
            "            admitted = False",
        )
    )
    upgrade = subprocess.Popen(
        one.command_line("upgrade", "--checkout", str(worse)),
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    one.until(
        lambda: one.rows()["f-0"]["state"] == "serving" and one.rows()["f-0"]["pid"] != before["f-0"],
        "the first is changed",
    )
    for n in range(12):
        assert one.first_answer(0, b"OPEN j%d k%d c=chat,d=2000" % (n, n)).startswith(b"BUSY")
    _, stderr = upgrade.communicate(timeout=WAIT)
    assert (
        upgrade.returncode == 1 and "f-0: " in stderr and "calls ended badly, before 0.000 of them" in stderr
    ), stderr
    after = one.wait_ready()
    assert after["f-1"] == before["f-1"] and one.first_answer(0, b"OPEN x k c=chat,d=2000").startswith(b"UP")
