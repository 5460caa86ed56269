"""Fleets on loopback whose instances move to other addresses: each call that one takes is answered."""

import signal
import socket
import threading
import time

from real_fleet import WAIT, free_ports

CALL_INTERVAL = 0.02  # seconds between two calls to an address
DEADLINE = 2.0  # seconds that a client waits for its answer
OPEN_LINE = b"OPEN %s k c=chat,d=2000\r\n"


class Caller:
    """Calls the given ports again and again until the end of the `with` block.

    `outcomes`: (port, the answer; None if the connection was refused, b"" if it ended without an answer).
    """

    def __init__(self, *ports):
        self.ports, self.done, self.outcomes, self.threads = ports, threading.Event(), [], []

    def __enter__(self):
        self.threads = [threading.Thread(target=self.run, args=(port,)) for port in self.ports]
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.done.set()
        for thread in list(self.threads):
            thread.join(WAIT)

    def run(self, port):
        calls, number = [], 0
        while not self.done.wait(CALL_INTERVAL):
            number += 1
            calls.append(threading.Thread(target=self.call, args=(port, b"%x-%x" % (port, number))))
            calls[-1].start()
        for call in calls:
            call.join(WAIT)

    def call(self, port, name):
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=DEADLINE)
        except ConnectionRefusedError:
            self.outcomes.append((port, None))
            return
        try:
            with sock:
                sock.sendall(OPEN_LINE % name)
                self.outcomes.append((port, sock.makefile("rb").readline().strip()))
        except OSError as error:
            self.outcomes.append((port, b"" if isinstance(error, ConnectionResetError) else error))

    def answers(self, port):
        """The first word of each answer at the port, None for connections that were refused."""
        return [answer and answer.split()[0] for p, answer in self.outcomes if p == port]

    def assert_all_answered(self):
        """Each call was answered UP or BUSY, or its connection refused."""
        lost = [(port, answer) for port, answer in self.outcomes if answer is not None and not answer]
        assert not lost, f"{len(lost)} of {len(self.outcomes)} calls were taken and not answered: {lost[:3]}"
        words = {answer.split()[0] for _, answer in self.outcomes if answer is not None}
        assert words <= {b"UP", b"BUSY"}, words


def is_closed(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except ConnectionRefusedError:
        return True
    return False


def test_calls_to_addresses_that_a_reload_gives_up_are_answered_and_the_addresses_closed(make_fleet):
    """Guards against calls that an old address took and nobody answered, and sockets left open for good."""
    fleet = make_fleet(2)
    fleet.run()
    fleet.wait_ready()
    old = [fleet.port, fleet.port + 1]
    new = free_ports(2)
    with Caller(*old) as caller:
        fleet.write(listen=f"127.0.0.1:{new}")
        assert fleet.command("reload").returncode == 0
        time.sleep(0.2)
    fleet.wait_ready()
    fleet.port = new
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"
    for port in old:
        assert is_closed(port)
        assert caller.answers(port).count(b"UP") > 10 and caller.answers(port)[-1] is None
    caller.assert_all_answered()


def test_two_reloads_to_other_addresses_that_cross_end_at_the_second_ones(make_fleet):
    """Guards against calls unanswered, or sockets left open, at the addresses of the overtaken reload."""
    fleet = make_fleet(2)
    process = fleet.run()
    fleet.wait_ready()
    first, second = fleet.port, free_ports(4)
    third = second + 2
    ports = [port + n for port in (first, second, third) for n in range(2)]
    with Caller(*ports) as caller:
        fleet.write(listen=f"127.0.0.1:{second}")
        process.send_signal(signal.SIGHUP)
        fleet.until(lambda: fleet.status().get("rollout"), "the first reload has begun")
        fleet.write(listen=f"127.0.0.1:{third}")
        assert fleet.command("reload").returncode == 0
    fleet.wait_ready()
    fleet.port = third
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"
    assert all(is_closed(port) for port in ports[:4])
    caller.assert_all_answered()


def test_instances_take_over_each_others_addresses(make_fleet):
    """Guards against an address closed or answered BUSY for good while another instance moves to it."""
    fleet = make_fleet(3)
    fleet.run()
    fleet.wait_ready()
    first = fleet.port
    with Caller(*range(first, first + 3)) as caller:
        fleet.write(listen=f"127.0.0.1:{first + 1}")
        assert fleet.command("reload").returncode == 0
    fleet.wait_ready()
    fleet.port = first + 1
    assert [fleet.first_answer(n, b"PING") for n in range(3)] == [b"PONG"] * 3
    assert is_closed(first)
    caller.assert_all_answered()


def test_a_reload_to_other_addresses_that_fails_leaves_the_old_ones_in_use_and_no_others_open(make_fleet):
    fleet = make_fleet(2)
    fleet.run()
    before = fleet.wait_ready()
    new = free_ports(2)
    fleet.write(listen=f"127.0.0.1:{new}")
    taken = socket.create_server(("127.0.0.1", new + 1))
    with taken, Caller(fleet.port, fleet.port + 1) as caller:
        done = fleet.command("reload")
        assert done.returncode != 0 and f"127.0.0.1:{new + 1} for f-1: address in use" in done.stderr
    assert fleet.wait_ready() == before
    assert is_closed(new)
    assert {answer for port in caller.ports for answer in caller.answers(port)} == {b"UP"}
    caller.assert_all_answered()


def test_a_supervisor_killed_during_a_reload_to_other_addresses_is_followed_by_one_that_completes_it(
    make_fleet,
):
    fleet = make_fleet(2)
    process = fleet.run()
    fleet.wait_ready()
    old, new = fleet.port, free_ports(2)
    fleet.write(listen=f"127.0.0.1:{new}")
    ready = fleet.log().count("event=ready ")
    process.send_signal(signal.SIGHUP)
    fleet.until(lambda: fleet.log().count("event=ready ") > ready, "the first instance has moved")
    process.kill()
    process.wait()
    fleet.run()
    fleet.wait_ready()
    fleet.port = new
    assert fleet.first_answer(0, b"PING") == fleet.first_answer(1, b"PING") == b"PONG"
    for port in (old, old + 1):
        fleet.until(lambda port=port: is_closed(port), "the old address is closed")


def test_two_reloads_in_quick_succession_end_in_the_second_ones_state_and_the_fleet_stops(make_fleet):
    """Guards against a supervisor that crashed or hung: the second one's addresses were closed meanwhile."""
    fleet = make_fleet(4)
    process = fleet.run()
    fleet.wait_ready()
    fleet.node["limits"]["memory_mb"] = 256  # which takes new processes
    fleet.write(instances=2)
    results = []
    first = threading.Thread(target=lambda: results.append(fleet.command("reload").returncode))
    first.start()
    fleet.until(lambda: fleet.status().get("rollout"), "the first reload has begun")
    fleet.write(instances=4)
    assert fleet.command("reload").returncode == 0
    first.join(WAIT)
    assert results == [0] and process.poll() is None
    assert set(fleet.wait_ready()) == {"f-0", "f-1", "f-2", "f-3"}
    assert [fleet.first_answer(n, b"PING") for n in range(4)] == [b"PONG"] * 4
    assert "event=fault" not in fleet.log()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT) == 0
