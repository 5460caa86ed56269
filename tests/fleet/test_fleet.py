"""Complete fleets on loopback: killed, frozen, crashed, reloaded with bad files, on full disks.

Every wait is for the expected condition, with a timeout.
"""

import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from real_fleet import ROOT, WAIT, toy


def collect_notifications(fleet):
    """Returns a list of the notifications sent to the fleet's `notify` socket.

    A thread reads them all the time, because the sender drops what is not read.
    """
    manager, notifications = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM), []
    manager.bind(str(fleet.folder / "notify"))

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


def test_commands_and_notices_to_the_service_manager(make_fleet, tmp_path):
    fleet = make_fleet(2)
    notifications = collect_notifications(fleet)

    def received(word):
        fleet.until(lambda: any(word in line for line in notifications), word)
        return True

    process = fleet.run(
        env={**os.environ, "NOTIFY_SOCKET": str(fleet.folder / "notify"), "WATCHDOG_USEC": "200000"}
    )
    assert received("READY=1") and received("WATCHDOG=1") and fleet.status()["ready"], (
        "READY was sent too early"
    )
    before = fleet.wait_ready()
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"
    table = fleet.command("status")
    assert table.returncode == 0 and "f-0  " in table.stdout and "serving" in table.stdout
    notifications.clear()
    process.send_signal(signal.SIGHUP)
    assert received("RELOADING=1") and received("READY=1") and fleet.wait_ready() == before, (
        "nothing has changed, so no process is restarted"
    )
    assert fleet.command("drain", "f-1").returncode == 0
    fleet.until(lambda: fleet.rows()["f-1"]["state"] == "drained", "drained")
    assert (
        fleet.first_answer(1, b"OPEN x k c=chat,d=2000") == b"BUSY"
        and fleet.first_answer(1, b"PING") == b"ERR"
    ), "the supervisor answers for the drained instance"
    clients = [socket.create_connection(("127.0.0.1", fleet.port + 1), timeout=10) for _ in range(200)]
    for sock in clients:
        sock.sendall(b"OPEN x k c=chat,d=2000\r\n")
    assert [sock.recv(100) for sock in clients] == [b"BUSY\r\n"] * 200 and "fault" not in fleet.log()
    for sock in clients:
        sock.close()
    assert fleet.first_answer(0, b"PING") == b"PONG" and fleet.command("status").returncode == 0
    assert fleet.command("restart", "f-1").returncode == fleet.command("restart", "f-0").returncode == 0
    fleet.until(
        lambda: all(
            r["state"] == "serving" and r["pid"] not in before.values() for r in fleet.rows().values()
        ),
        "both restarted",
    )
    unknown = fleet.command("drain", "f-9")
    assert unknown.returncode == 1 and "f-9: no such instance" in unknown.stderr
    assert "instance=" in fleet.log() and "generation=" in fleet.command("logs", "f-0").stdout
    notifications.clear()
    assert fleet.command("stop").returncode == 0 and process.wait(WAIT) == 0 and received("STOPPING=1")
    assert fleet.command("status").returncode == 2


def test_a_single_node_notifies_the_service_manager_too(make_fleet):
    fleet = make_fleet(1)
    notifications = collect_notifications(fleet)
    answer, may_answer = fleet.toy.answer, threading.Event()
    fleet.toy.answer = lambda query: may_answer.wait(WAIT) and answer(query)
    fleet.node["listen"] = f"127.0.0.1:{fleet.port}"
    fleet.write()
    process = subprocess.Popen(
        [sys.executable, "-m", "cottonspread", "serve", "--config", str(fleet.folder / "node.json")],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "NOTIFY_SOCKET": str(fleet.folder / "notify"), "WATCHDOG_USEC": "100000"},
    )
    fleet.processes.append(process)
    fleet.until(lambda: notifications.count("WATCHDOG=1") >= 3, "keep-alives are sent")
    assert not any("READY" in line for line in notifications), "ready without a list"
    may_answer.set()
    fleet.until(lambda: any("READY=1" in line for line in notifications), "ready")
    process.send_signal(signal.SIGTERM)
    fleet.until(lambda: "STOPPING=1" in notifications, "stopping")
    assert process.wait(WAIT) == 0


def test_kill_of_an_instance_of_the_supervisor_and_of_both(make_fleet):
    fleet = make_fleet(2)
    first = fleet.run()
    before = fleet.wait_ready()
    os.kill(before["f-0"], signal.SIGKILL)
    fleet.until(
        lambda: fleet.rows()["f-0"]["pid"] not in (None, before["f-0"]) and fleet.status()["ready"],
        "the killed instance is back",
    )
    assert fleet.rows()["f-0"]["why"] == "signal 9" and fleet.rows()["f-0"]["restarts"] == 1
    before = fleet.wait_ready()
    first.kill()
    first.wait()
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG", (
        "without a supervisor they serve on"
    )
    second = fleet.run()
    assert fleet.wait_ready() == before, "adopted, not restarted"
    assert fleet.log().count("event=adopted") == 2
    fleet.node["limits"]["sockets"] = 1000  # which no running instance takes over
    fleet.write()
    second.kill()
    os.kill(before["f-0"], signal.SIGKILL)
    second.wait()
    fleet.until(lambda: have_ended([before["f-0"]]), "killed")
    fleet.run()
    after = fleet.wait_ready()
    assert not set(after.values()) & set(before.values()), (
        "the plan has changed, so the remaining process is replaced"
    )
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"


def test_instances_without_a_supervisor_stop_themselves(make_fleet):
    fleet = make_fleet(2)
    fleet.write('[instance]\norphan_s = 1.0\n[log]\nformat = "json"\n')
    process = fleet.run()
    pids = fleet.wait_ready()
    lines = [json.loads(line) for line in (fleet.folder / "s" / "log" / "f-1.log").read_text().splitlines()]
    assert lines and all((line["node"], line["generation"]) == ("f-1", 2) for line in lines)
    process.kill()
    process.wait()
    fleet.until(lambda: have_ended(pids.values()), "orphans have stopped")
    fleet.run()
    fleet.wait_ready()


def test_a_frozen_instance_is_replaced_and_a_frozen_orphan_is_ended_at_the_next_start(make_fleet):
    fleet = make_fleet(2)
    process = fleet.run()
    pids = fleet.wait_ready()
    os.kill(pids["f-1"], signal.SIGSTOP)
    fleet.until(
        lambda: fleet.rows()["f-1"]["pid"] not in (None, pids["f-1"]) and fleet.status()["ready"], "replaced"
    )
    assert (
        fleet.rows()["f-1"]["why"] == "stuck: no step for 2 s" and fleet.rows()["f-0"]["pid"] == pids["f-0"]
    )
    pids = fleet.wait_ready()
    process.kill()
    process.wait()
    os.kill(pids["f-0"], signal.SIGSTOP)
    fleet.run()
    after = fleet.wait_ready()
    assert after["f-1"] == pids["f-1"] and after["f-0"] != pids["f-0"] and have_ended([pids["f-0"]])


def broken_checkout(folder):
    package = folder / "broken" / "cottonspread"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("raise SystemExit('broken on purpose')\n")
    return package.parent


def test_an_upgrade_that_does_not_start_is_rolled_back_and_a_good_one_is_kept(make_fleet):
    fleet = make_fleet(2)
    process = fleet.run()
    before = fleet.wait_ready()
    done = fleet.command("upgrade", "--checkout", str(broken_checkout(fleet.folder)))
    assert done.returncode == 1 and "f-0: exit 1" in done.stderr
    assert fleet.wait_ready() == before, "the old processes were touched"
    (fleet.folder / "new").symlink_to(ROOT)
    assert fleet.command("upgrade", "--checkout", str(fleet.folder / "new")).returncode == 0
    after = fleet.wait_ready()
    assert not set(after.values()) & set(before.values())
    environment = Path(f"/proc/{after['f-0']}/environ").read_text()
    assert environment.split("PYTHONPATH=")[1].split("\0")[0] == str(fleet.folder / "new")
    process.kill()
    process.wait()
    fleet.run()
    assert fleet.wait_ready() == after, "the next supervisor knows of the upgrade"
    assert fleet.command("upgrade", "--checkout", str(fleet.folder)).returncode == 2


def test_an_instance_that_crashes_at_each_start_is_given_up_and_answered_busy(make_fleet):
    fleet = make_fleet(2)
    (fleet.folder / "s").mkdir()
    (fleet.folder / "s" / "fleet.json").write_text(
        json.dumps({"program": [sys.executable, str(broken_checkout(fleet.folder))]})
    )
    fleet.run()
    fleet.until(lambda: {r["state"] for r in fleet.rows().values()} == {"given-up"}, "given up")
    assert fleet.log().count("event=ended") == 8, "each started once and restarted three times"
    assert fleet.first_answer(0, b"OPEN x k c=chat,d=2000") == b"BUSY"
    assert fleet.command("upgrade").returncode == 0, "onto the supervisor's own program"
    fleet.wait_ready()
    assert fleet.first_answer(0, b"PING") == b"PONG"


def test_two_on_one_folder_and_addresses_that_are_taken(make_fleet):
    fleet = make_fleet(2)
    first = fleet.run()
    fleet.wait_ready()
    second = fleet.command("run")
    assert second.returncode == 2 and f"another supervisor is running there, pid {first.pid}" in second.stderr
    other = make_fleet(2, listen=f"127.0.0.1:{fleet.port}")
    third = other.command("run")
    assert (
        third.returncode == 2
        and f"127.0.0.1:{fleet.port} for f-0: address in use" in third.stderr
        and "for f-1" in third.stderr
    )
    assert fleet.wait_ready()
    first.kill()
    first.wait()
    (fleet.folder / "s" / "fleet.pid").write_text("1\n")  # a stale pid that belongs to another process
    fleet.run()
    fleet.wait_ready()


def test_a_file_that_is_faulty_half_written_unreadable_or_gone_changes_nothing(make_fleet):
    fleet = make_fleet(2)
    process = fleet.run()
    before = fleet.wait_ready()
    good = (fleet.folder / "node.json").read_text(), (fleet.folder / "o.toml").read_text()

    def write_files(template, operators):
        for name, text in (("node.json", template), ("o.toml", operators)):
            (fleet.folder / name).unlink(missing_ok=True)
            if text is not None:
                (fleet.folder / name).write_bytes(text.encode() if isinstance(text, str) else text)

    kept = shutil.copy(fleet.folder / "o.toml", fleet.folder / "kept.toml")
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
        count = fleet.log().count('kept="the old configuration"')
        process.send_signal(signal.SIGHUP)
        fleet.until(
            lambda before=count: fleet.log().count('kept="the old configuration"') > before,
            "the rejected reload is logged",
        )
        assert expected in fleet.log().splitlines()[-1] or expected in fleet.log(), expected
    write_files(*good)
    assert fleet.wait_ready() == before and kept
    assert fleet.command("reload").returncode == 0
    fleet.node["limits"]["sockets"] = 1000  # which no running instance takes over
    fleet.write()
    assert fleet.command("reload").returncode == 0
    assert not set(fleet.wait_ready().values()) & set(before.values())


def test_a_live_change_reaches_running_instances(make_fleet):
    fleet = make_fleet(2)
    fleet.run()
    before = fleet.wait_ready()
    _, fleet.node["discovery"] = toy(1)
    fleet.write()
    assert fleet.command("reload").returncode == 0
    assert fleet.wait_ready() == before, "no process was restarted"
    fleet.until(
        lambda: fleet.command("logs", "f-1").stdout.count("entries=1") == 1, "the new discovery's list"
    )
    fleet.write(instances=3)  # this changes Balancers too: two instances apply it, and one is new
    assert fleet.command("reload").returncode == 0
    after = fleet.wait_ready()
    assert set(after) == {"f-0", "f-1", "f-2"} and after | before == after, "no process was restarted"
    assert all(fleet.command("logs", name).stdout.count("event=reload") == 2 for name in before)
    fleet.node["limits"]["sockets"] = 1000
    fleet.write()
    assert fleet.command("reload").returncode == 0
    assert not set(fleet.wait_ready().values()) & set(after.values()), "limits take a new process"
    fleet.write(instances=1)
    assert fleet.command("reload").returncode == 0
    fleet.until(lambda: set(fleet.rows()) == {"f-0"}, "the others are gone")
    with pytest.raises(ConnectionRefusedError):
        fleet.first_answer(2, b"PING")


def test_settings_reach_running_instances_and_connections_stay(make_fleet):
    fleet = make_fleet(2)
    process = fleet.run()
    before = fleet.wait_ready()
    assert fleet.first_answer(1, b"OPEN x k c=other,d=20").startswith(b"ERR")
    established = socket.create_connection(("127.0.0.1", fleet.port + 1), timeout=10)
    established.sendall(b"OPEN y k c=chat,d=20000\r\n")
    answer = established.makefile("rb").readline()
    fleet.node["settings"]["TrafficTypes"].append(
        {**fleet.node["settings"]["TrafficTypes"][0], "Name": "other"}
    )
    fleet.write()
    done = fleet.command("reload")
    assert done.returncode == 0, done.stderr
    assert fleet.first_answer(1, b"OPEN z k c=other,d=20").startswith(b"UP") and answer.startswith(b"UP")
    established.setblocking(False)
    with pytest.raises(BlockingIOError):  # neither closed nor sent anything
        established.recv(1, socket.MSG_PEEK)
    established.close()
    assert fleet.wait_ready() == before, "no process was restarted"
    process.kill()
    process.wait()
    fleet.run()
    assert (
        fleet.wait_ready() == before
        and fleet.log().count("event=adopted") == 2
        and "going-back" not in fleet.log()
    )
    assert "of=adopted" not in fleet.log(), "the next supervisor knows that the settings are in force there"


def test_a_full_disk_loses_log_lines_but_no_service(make_fleet):
    fleet = make_fleet(2)
    process = fleet.run(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0)))
    before = fleet.wait_ready()
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"
    os.kill(before["f-0"], signal.SIGKILL)
    fleet.until(
        lambda: fleet.rows()["f-0"]["pid"] not in (None, before["f-0"]) and fleet.status()["ready"],
        "the killed instance is back",
    )
    fleet.node["limits"]["sockets"] = 1000
    fleet.write()
    assert fleet.command("reload").returncode == 0
    assert fleet.wait_ready()["f-1"] != before["f-1"], "successors are started on a full disk too"
    assert not (fleet.folder / "s" / "f-0.list.json").exists() and fleet.log() == ""
    assert fleet.command("stop").returncode == 0 and process.wait(WAIT) == 0


def test_a_low_descriptor_limit_is_reported_at_the_start_and_running_out_ends_nothing(make_fleet):
    fleet = make_fleet(2)
    done = subprocess.run(
        fleet.command_line("run"),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
    )
    assert done.returncode == 2 and "descriptors" in done.stderr
    process = fleet.run()
    before = fleet.wait_ready()
    full = resource.prlimit(
        process.pid, resource.RLIMIT_NOFILE, (8, resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1])
    )
    os.kill(before["f-0"], signal.SIGKILL)
    fleet.until(lambda: "not started" in fleet.log(), "no descriptor for a new process")
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, full)
    fleet.until(
        lambda: fleet.status().get("ready") or fleet.rows().get("f-0", {}).get("state") == "given-up",
        "the supervisor goes on",
    )
    assert fleet.command("restart", "f-0").returncode == 0
    after = fleet.wait_ready()
    assert after["f-1"] == before["f-1"]


@pytest.mark.parametrize("saved", [True, False])
def test_a_successor_started_from_an_old_list_sends_nothing_to_a_server_that_drains(make_fleet, saved):
    """The instance's configuration lists the server as ready.

    The successor learns of the drain from the list that its predecessor saved; without a saved list it
    accepts no connections before discovery has answered.
    """
    fleet = make_fleet(1)
    hanging, answer = threading.Event(), fleet.toy.answer

    def answer_unless_hanging(query):
        while hanging.is_set():
            time.sleep(0.02)
        return answer(query)

    fleet.toy.answer = answer_unless_hanging
    fleet.node["known"] = {"generation": 0, "reset": True, "instances": [dict(s) for s in fleet.toy.servers]}
    more = f"[instance]\nlist_wait_s = {0.2 if saved else 20.0}\nsave_list = {str(saved).lower()}\n"
    fleet.write(more, start_s=25.0)
    fleet.run()
    pid = fleet.wait_ready()["f-0"]
    fleet.toy.change(0, "Terminating")
    kept = fleet.folder / "s" / "f-0.list.json"
    if saved:
        # ready before discovery's first answer, the instance has saved no list yet
        fleet.until(lambda: kept.exists() and "Terminating" in kept.read_text(), "the drain is known")
    else:
        fleet.until(lambda: fleet.rows()["f-0"]["list"] == fleet.toy.version, "the drain is known")
    hanging.set()
    os.kill(pid, signal.SIGKILL)
    fleet.until(lambda: fleet.rows()["f-0"]["generation"] == 2, "the successor is there")
    if not saved:
        fleet.until(lambda: fleet.rows()["f-0"]["state"] == "waiting", "it waits for discovery")
        hanging.clear()
    fleet.until(lambda: fleet.rows()["f-0"]["state"] == "serving", "serving")
    for n in range(20):
        assert fleet.first_answer(0, b"OPEN i%d k%d c=chat,d=2000,g=%x" % (n, n, n)).startswith(b"UP")
    hanging.clear()
    log = fleet.folder / "s" / "log" / "f-0.log"
    fleet.until(lambda: log.read_text().count("legs=") == 20, "all calls have ended")
    assert log.read_text().count("legs=1 host=toy-2") == 20, "toy-1, number 0, drains"


def test_an_upgrade_that_ends_more_calls_badly_is_rolled_back(make_fleet):
    fleet = make_fleet(2, watch_s=60.0, worse_of=10)
    fleet.run()
    before = fleet.wait_ready()
    assert all(
        fleet.first_answer(n % 2, b"OPEN i%d k%d c=chat,d=2000" % (n, n)).startswith(b"UP") for n in range(20)
    )
    worse = fleet.folder / "worse"
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
        fleet.command_line("upgrade", "--checkout", str(worse)),
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    fleet.until(
        lambda: fleet.rows()["f-0"]["state"] == "serving" and fleet.rows()["f-0"]["pid"] != before["f-0"],
        "the first is changed",
    )
    for n in range(12):
        assert fleet.first_answer(0, b"OPEN j%d k%d c=chat,d=2000" % (n, n)).startswith(b"BUSY")
    _, stderr = upgrade.communicate(timeout=WAIT)
    assert (
        upgrade.returncode == 1
        and "f-0: " in stderr
        and "calls ended badly, compared with a share of 0.000 before" in stderr
    ), stderr
    after = fleet.wait_ready()
    assert after["f-1"] == before["f-1"] and fleet.first_answer(0, b"OPEN x k c=chat,d=2000").startswith(
        b"UP"
    )
