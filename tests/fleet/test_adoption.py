"""Fleets on loopback before long lists of servers: nothing that a supervisor sends or reads waits.

The servers of the lists do not exist but for two toy servers; instances do not connect to the others.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from real_fleet import WAIT

from cottonspread.fleet import control
from cottonspread.fleet.adoption import Adoption
from cottonspread.fleet.plan import InstanceSpec

SERVERS = 3200


def long_list(count):
    """The list of so many servers, of which none listens, in discovery's form."""
    return {
        "generation": 1,
        "reset": True,
        "instances": [
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
        ],
    }


def events(fleet, event):
    return fleet.log().count(f"event={event} ")


def test_a_new_supervisor_adopts_all_instances_before_thousands_of_servers(make_fleet):
    """Guards against sound instances killed because their introduction was not read to its end in time."""
    fleet = make_fleet(4)
    fleet.node["known"] = long_list(SERVERS)
    fleet.write()
    first = fleet.run()
    before = fleet.wait_ready()
    for _ in range(2):
        first.kill()
        first.wait()
        began = time.monotonic()
        first = fleet.run()
        assert fleet.wait_ready() == before, "instances were restarted"
        assert time.monotonic() - began < 5
    assert events(fleet, "adopted") == 8 and not events(fleet, "not-adopted")
    assert fleet.first_answer(3, b"PING") == b"PONG"


def test_a_frozen_instance_delays_the_adoption_of_the_others_by_its_time_alone_and_is_ended(make_fleet):
    fleet = make_fleet(3)
    first = fleet.run()
    before = fleet.wait_ready()
    first.kill()
    first.wait()
    for name in ("f-0", "f-1"):
        os.kill(before[name], signal.SIGSTOP)
    fleet.run()
    after = fleet.wait_ready()
    assert after["f-2"] == before["f-2"] and events(fleet, "not-adopted") == 2
    assert not {after["f-0"], after["f-1"]} & set(before.values())


def program_that_never_reads(folder):
    """A checkout whose program sleeps before it looks at its input."""
    package = folder / "sleeps" / "cottonspread"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("import time\ntime.sleep(600)\n")
    return package.parent


def test_an_upgrade_onto_a_program_that_does_not_read_its_input_is_rolled_back(make_fleet):
    """Guards against a supervisor that waited for good in a write to the program's input."""
    fleet = make_fleet(2, start_s=3.0)
    fleet.node["known"] = long_list(SERVERS)
    fleet.write()
    process = fleet.run()
    before = fleet.wait_ready()
    done = fleet.command("upgrade", "--checkout", str(program_that_never_reads(fleet.folder)))
    assert done.returncode == 1 and "not ready after 3 s" in done.stderr
    assert fleet.wait_ready() == before, "the old processes were touched"
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT) == 0


@pytest.mark.parametrize("servers", (0, SERVERS))
def test_a_frozen_instance_keeps_the_supervisor_from_nothing(make_fleet, servers):
    """Commands, and the other instances, go on while one instance reads nothing."""
    fleet = make_fleet(2, stuck_s=20.0)
    if servers:
        fleet.node["known"] = long_list(servers)
        fleet.write()
    fleet.run()
    before = fleet.wait_ready()
    os.kill(before["f-0"], signal.SIGSTOP)
    fleet.node["settings"]["Limits"]["MostLegs"] = 2
    fleet.write()
    fleet.processes[-1].send_signal(signal.SIGHUP)
    for _ in range(20):
        began = time.monotonic()
        assert fleet.rows()["f-1"]["pid"] == before["f-1"] and time.monotonic() - began < 1
        time.sleep(0.05)
    os.kill(before["f-0"], signal.SIGCONT)
    assert fleet.wait_ready() == before


EARLIER_INSTANCE = """
import json, os, socket, sys, time
control = socket.socket(socket.AF_UNIX)
control.bind(sys.argv[-1])
control.listen()
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
connection = control.accept()[0]
hello = {"hello": "f-0", "generation": 7, "pid": os.getpid(), "start": "s" * 600_000, "live": "l"}
data = json.dumps(hello).encode() + b"\\n"
for begin in range(0, len(data), 200_000):  # the rest of what a socket did not take left with the next status
    connection.sendall(data[begin : begin + 200_000])
    time.sleep(0.5)
connection.sendall(b'{"status": {"state": "serving", "steps": 3}}\\n')
assert json.loads(connection.recv(4096)) == {"do": "socket"}
connection.sendall(b'{"status": {"state": "serving", "steps": 4}}\\n')
socket.send_fds(connection, [b"."], [listener.fileno()])
time.sleep(60)
"""


def test_an_instance_of_an_earlier_release_is_adopted(tmp_path):
    """It tells its configuration in its introduction, and passes its socket with a byte between two lines."""
    path = str(tmp_path / "f-0.7.sock")
    process = subprocess.Popen(
        [sys.executable, "-c", EARLIER_INSTANCE, "instance", "--socket", path], stdout=subprocess.PIPE
    )
    try:
        port = int(process.stdout.readline())
        [found] = Adoption(str(tmp_path), 1.0).run()
        assert found.key == ("f-0", 7) and found.status["state"] == "serving" and found.pid == process.pid
        assert found.spec == InstanceSpec("f-0", ("127.0.0.1", port), "s" * 600_000, "l")
        assert found.listener.getsockname() == ("127.0.0.1", port)
        found.listener.close()
        found.connection.close()
        os.close(found.pidfd)
    finally:
        process.kill()
        process.wait()


def test_an_instance_introduces_itself_to_supervisors_of_earlier_releases(make_fleet):
    """Such a supervisor reads the configuration in the introduction, and one byte with a descriptor."""
    fleet = make_fleet(1)
    fleet.run()
    fleet.wait_ready()
    with control.connect(str(fleet.folder / "s" / "f-0.1.sock"), WAIT) as sock:
        lines = sock.makefile("rb")
        introduction, status = json.loads(lines.readline()), json.loads(lines.readline())
        assert json.loads(introduction["start"])["config"]["name"] == "f-0" and introduction["live"]
        assert status["status"]["state"] == "serving"
        sock.sendall(b'{"do": "socket"}\n')
        descriptors = []
        while not descriptors:
            _, descriptors, _, _ = socket.recv_fds(sock, 1, 1)
        with socket.socket(fileno=descriptors[0]) as listener:
            assert listener.getsockname() == ("127.0.0.1", fleet.port)
