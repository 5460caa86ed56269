"""Requests to discovery that hang, are reset, cut off or refused, and SIGHUP: whatever failed, a change of
the list is known in time.

All times are a tenth of the real ones (`scaled`), so a bound of 6 s is 0.6 s here;
`benchmarks/crossings/list_clock.py` measures the real ones.
"""

import itertools
import json
import threading
import time

import pytest
from stubs import (
    SETTINGS,
    WAIT,
    Host,
    ListServer,
    client,
    delay_connects,
    ok,
    open_line,
    running,
    wait_for_list,
    wait_until,
)

from cottonspread import interface as io
from cottonspread.net import discovery, http
from cottonspread.net import events as ev
from cottonspread.net.http import HttpClient

MAX_DELAY = 6.0 / 10
MARGIN = 0.25  # seconds, for a machine that is busy with other tests; the bound itself is computed below


@pytest.fixture
def scaled(monkeypatch):
    cls = discovery.Discovery
    for name in (
        "WATCH_TIMEOUT_MS",
        "WATCH_MARGIN",
        "FULL_LIST_TIMEOUT",
        "FIRST_LIST_TIMEOUT",
        "CONNECT_TIMEOUT",
        "RETRY_DELAY",
        "MAX_RETRY_DELAY",
    ):
        monkeypatch.setattr(
            cls, name, getattr(cls, name) / 10 if name != "WATCH_TIMEOUT_MS" else cls.WATCH_TIMEOUT_MS // 10
        )


def test_the_worst_case_delay_of_a_change_is_below_6_s_with_a_margin_for_the_node():
    """A request that hung just before, the retry delay, then a slow connection and a slow response."""
    cls = discovery.Discovery
    longest_request = max(cls.WATCH_TIMEOUT_MS / 1000 + cls.WATCH_MARGIN, cls.FULL_LIST_TIMEOUT)
    watched = longest_request + cls.MAX_RETRY_DELAY + cls.CONNECT_TIMEOUT
    polled = 4.5 + cls.CONNECT_TIMEOUT  # from the start of a request that failed: Membership.MAX_POLL_GAP
    assert max(watched, polled) <= 5.0
    assert longest_request < 4.5


def next_watch(list_server):
    """The next watch request."""
    while True:
        request = list_server.requests.get(timeout=WAIT)
        if "since=" in request.path:
            return request


def silent(request):
    request.hold()


def half_head(request):
    request.send(b"HTTP/1.1 200 OK\r\nContent-Le")
    request.hold()


def half_body(request):
    request.send(
        ok({"generation": 2, "reset": False, "instances": [{"instanceId": "s-1", "hostPort": "x"}]})[:-20]
    )
    request.hold()


def reset(request):
    request.reset()


def ended(request):
    request.sock.shutdown(2)


def refused(request):
    request.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")


def garbage(request):
    request.send(ok({"generation": "x"}))


def not_http(request):
    request.send(b"\x00\xff" * 100 + b"\r\n\r\n")


def older(request):
    request.send(ok({"generation": 0, "reset": True, "instances": []}))


def since_first_list(updates):
    """The updates from the first list on that has servers.

    The node starts with an empty one if its first request takes longer than a tenth of a second, as it may
    on a busy machine; no server can be removed by then.
    """
    return list(itertools.dropwhile(lambda update: not update.entries, updates))


def removed(update):
    """The names of the two servers that the update takes away."""
    named = {entry.host for entry in update.entries}
    gone = {entry.host for entry in update.entries if entry.state is io.HostState.GONE}
    return gone if update.kind is io.ListUpdateKind.CHANGES else gone | {"s-1", "s-2"} - named


FAULTS = [silent, half_head, half_body, reset, ended, refused, garbage, not_http, older]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize("times", (1, 2))
def test_a_change_after_a_failed_request_is_known_in_time(hosts, list_server, scaled, fault, times):
    """The change is made once the fault has occurred; from then on discovery is reachable."""
    occurred = threading.Semaphore(0)

    def script(request):
        occurred.release()
        fault(request)

    with running(list_server) as node:
        wait_for_list(node)
        for _ in range(times):
            list_server.scripted.put(script)
        list_server.change(hosts[1], "Ready")  # ends the current watch: the next request meets the fault
        for _ in range(times):
            assert occurred.acquire(timeout=WAIT)
        started_at = time.monotonic()
        list_server.change(hosts[0], "Terminating")
        wait_for_list(node, list_server.version)
        assert time.monotonic() - started_at < MAX_DELAY + MARGIN
        updates = [e.update for e in node.seen.events if isinstance(e, ev.ListReceived)]
        assert all(update.entries and not removed(update) for update in since_first_list(updates)), (
            "a bad response must not remove any server"
        )
        conn = client(node, open_line(1))
        peer = hosts[1].accept()
        assert peer.read_line().startswith(b"OPEN ") and not hosts[0].has_connection()
        peer.close()
        conn.close()


@pytest.mark.parametrize("size", (1, 7))
def test_a_list_in_pieces_indented_and_over_many_packets_is_read(hosts, list_server, size):
    def slowly(request):
        body = json.dumps(list_server.full_list(), indent=4).encode().replace(b"\n", b"\r\n")
        for data in (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n%s\r\n" % (len(body), body),
            b"0\r\n\r\n",
        ):
            for at in range(0, len(data), size):
                request.send(data[at : at + size])

    list_server.scripted.put(slowly)
    with running(list_server) as node:
        wait_for_list(node)
        assert {e.host for e in node.reducer.entries.values()} == {"s-1", "s-2"}


def test_a_list_slower_than_the_timeout_is_requested_again(hosts, list_server, scaled):
    def send_slowly(request):
        for byte in ok(list_server.full_list()):
            request.send(bytes([byte]))
            time.sleep(0.01)  # slower than any request may take; no assertion depends on this time

    list_server.scripted.put(send_slowly)
    with running(list_server) as node:
        wait_for_list(node)
        assert len(node.reducer.entries) == 2


def test_a_response_cut_off_inside_an_entry_changes_nothing(hosts, list_server, scaled):
    """A response that ends inside an entry, with a matching length: no part of it is applied."""
    full_body = json.dumps(list_server.full_list()).encode()
    for cut in range(1, len(full_body), 37):
        body = full_body[:cut]
        list_server.scripted.put(
            lambda request, body=body: request.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
        )
    with running(list_server) as node:
        wait_for_list(node)
        assert len(node.reducer.entries) == 2
        received = [e for e in node.seen.events if isinstance(e, ev.ListReceived)]
        assert all(len(e.update.entries) in (0, 2) for e in received)


def test_a_new_process_asks_discovery_before_it_uses_its_initial_list(hosts, list_server):
    """Discovery's list is authoritative from the start: a call that came before its first response went to a
    draining host.
    """
    gate = threading.Event()
    list_server.add(hosts[0], lifecycle="Terminating")

    def late(request):
        assert gate.wait(WAIT)
        request.send(ok(list_server.full_list()))

    list_server.scripted.put(late)
    with running(list_server, known=[hosts[0].entry | {"lifecycle": "Ready"}]) as node:
        list_server.requests.get(timeout=WAIT)
        assert client(node, b"PING").read_line() == b"ERR"
        assert client(node, open_line(1)).read_line().startswith(b"BUSY")
        gate.set()
        wait_for_list(node)
        assert client(node, b"PING").read_line() == b"PONG"
        conn = client(node, open_line(2))
        peer = hosts[1].accept()
        assert peer.read_line().startswith(b"OPEN ") and not hosts[0].has_connection()
        peer.close()
        conn.close()


@pytest.mark.parametrize("fault", (silent, reset, refused, garbage), ids=lambda f: f.__name__)
def test_a_new_process_uses_its_initial_list_while_discovery_is_down(hosts, list_server, scaled, fault):
    list_server.default_script = fault
    with running(list_server, known=[hosts[0].entry | {"lifecycle": "Ready"}]) as node:
        wait_until(lambda: node.reducer.has_hosts, "not ready")
        assert client(node, b"PING").read_line() == b"PONG"
        conn = client(node, open_line(1))
        peer = hosts[0].accept()
        assert peer.read_line().startswith(b"OPEN ")
        peer.close()
        conn.close()


@pytest.mark.parametrize("fault", [silent, half_body, refused], ids=lambda f: f.__name__)
def test_sighup_switches_discovery_at_once_whatever_the_request_to_the_old_one_does(
    hosts, list_server, fault, monkeypatch
):
    """During a hanging request, during a retry delay (a minute here), and twice in a row."""
    monkeypatch.setattr(discovery.Discovery, "RETRY_DELAY", 60.0)
    monkeypatch.setattr(discovery.Discovery, "MAX_RETRY_DELAY", 60.0)
    extra, occurred = Host("s-3"), threading.Event()

    def script(request):
        occurred.set()
        fault(request)

    second, third = ListServer(version=40).add(hosts[0]), ListServer(version=3).add(*hosts, extra)
    with running(list_server) as node:
        wait_for_list(node)
        list_server.scripted.put(script)
        list_server.change(hosts[1], "Ready")
        assert occurred.wait(WAIT)
        if fault is refused:  # the retry delay has begun
            node.seen.wait(ev.ListFailed)
        node.change_discovery(second.address)
        node.change_discovery(third.address)
        node.seen.wait(
            ev.ListReceived, lambda e: {entry.host for entry in e.update.entries} == {"s-1", "s-2", "s-3"}
        )
        third.change(hosts[0], "Terminating")
        wait_for_list(node, 4)
    extra.close()


def test_a_503_on_a_reused_connection_is_not_retried(hosts, list_server, scaled):
    """A 503 was taken for a connection closed while idle: an overloaded discovery got each request twice."""
    paths, occurred = [], threading.Event()

    def script(request):
        paths.append(request.path)
        occurred.set()
        refused(request)

    with running(list_server) as node:
        wait_for_list(node)
        list_server.scripted.put(script)
        list_server.change(hosts[1], "Ready")
        assert occurred.wait(WAIT)
        node.seen.wait(ev.ListFailed)
        assert len(paths) == 1
        list_server.change(hosts[0], "Terminating")
        wait_for_list(node, list_server.version)


def test_a_polled_list_is_requested_in_time_and_not_more_often_than_needed(hosts, scaled):
    """After a failed request the policy sets the time of the next; after an answered watch the next one
    follows at once.
    """
    list_server = ListServer().add(*hosts)
    with running(list_server, settings=SETTINGS | {"MembershipMode": "ask", "AskEvery": 10_000}) as node:
        wait_for_list(node)
        first = list_server.requests.get(timeout=WAIT)
        watch = next_watch(list_server)
        assert "since=" not in first.path and "since=1" in watch.path
        node.seen.wait(ev.ListReceived, lambda e: e.update.entries)
        assert not any(isinstance(e, ev.ListFailed) for e in node.seen.events)


def test_a_thread_switch_during_a_reload_does_not_abort_the_new_address(hosts, list_server, monkeypatch):
    """The list's thread switches right after the first half of `change_address`: the request to the new
    address was aborted in place of the old one, and the new address was never used again.
    """
    second, switched, set_attribute = (
        ListServer(version=40).add(hosts[1]),
        threading.Event(),
        discovery.Discovery.__setattr__,
    )

    def set_and_switch(self, name, value):
        set_attribute(self, name, value)
        if name == "target" and hasattr(self, "wake") and not switched.is_set():
            switched.set()
            list_server.change(hosts[0], "Ready")
            wait_until(lambda: self.http is value, "the thread does not switch to the new address")

    with running(list_server) as node:
        wait_for_list(node)
        monkeypatch.setattr(discovery.Discovery, "__setattr__", set_and_switch)
        node.change_discovery(second.address)
        monkeypatch.undo()
        assert switched.is_set()
        wait_for_list(node, 40)
        second.change(hosts[0], "Ready")
        wait_for_list(node, 41)


def test_a_reload_requests_the_new_list_at_once_even_if_the_next_poll_is_far(hosts):
    """Where lists are polled, a failed request is followed by a delay that the policy chooses: here it never
    ends.
    """
    old, new = ListServer().add(hosts[0]), ListServer(version=40).add(*hosts)
    old.default_script = refused

    def before(node):
        node.reducer.handlers[ev.ListFailed] = lambda e: None

    with running(old, before, settings=SETTINGS | {"MembershipMode": "ask", "AskEvery": 10_000}) as node:
        node.seen.wait(ev.ListFailed)
        node.change_discovery(new.address)
        wait_for_list(node, 40)


def test_a_retry_after_a_reset_does_not_extend_the_timeout(monkeypatch):
    """A hang, a reset just before the timeout and a second hang were waited out one after the other: 6 s and
    a retry delay.
    """
    clock = Clock()
    monkeypatch.setattr(http, "time", clock)
    list_server, requests = ListServer(), []

    def first(request):
        request.send(ok({}))

    def second(request):
        requests.append(request)
        clock.now += 2.9
        request.reset()

    def third(request):
        requests.append(request)
        clock.now += 0.2
        request.hold()

    for script in (first, second, third):
        list_server.scripted.put(script)
    http_client = HttpClient(list_server.address, 0.5)
    http_client.get("/", 3.0)
    with pytest.raises(TimeoutError):
        http_client.get("/", 3.0)
    assert len(requests) <= 2 and http_client.deadline == 3.0


class Clock:
    """A clock that only the test advances."""

    now = 0.0

    def monotonic(self):
        return self.now


@pytest.mark.parametrize("answered", (1, 6))
def test_a_watch_that_hangs_after_answered_ones_times_out_and_is_repeated(
    hosts, list_server, scaled, answered
):
    """A watch hangs on an old connection, and a server starts draining: the watch is repeated on a new
    connection.
    """
    hung_requests = []

    def no_news(request):
        request.send(ok({"generation": list_server.version, "reset": False, "instances": []}))

    def hang(request):
        hung_requests.append(request)
        list_server.change(hosts[0], "Terminating")
        request.hold()

    with running(list_server) as node:
        wait_for_list(node)
        for _ in range(answered):
            list_server.scripted.put(no_news)
        list_server.scripted.put(hang)
        list_server.change(hosts[1], "Ready")
        node.seen.wait(
            ev.ListReceived, lambda e: any(entry.state is io.HostState.DRAINING for entry in e.update.entries)
        )
        assert len(hung_requests) == 1
        conn = client(node, open_line(1))
        peer = hosts[1].accept()
        assert peer.read_line().startswith(b"OPEN ") and not hosts[0].has_connection()
        peer.close()
        conn.close()


def ready(host, **changed):
    return host.entry | {"lifecycle": "Ready"} | changed


def without(host, other):
    return [ready(other)]


def drains(host, other):
    return [ready(host, lifecycle="Terminating"), ready(other)]


def moved(host, other):
    """Another server has taken over its name."""
    return [ready(host, hostPort="127.0.0.1:1"), ready(other)]


@pytest.mark.parametrize("kind", (without, drains, moved), ids=lambda kind: kind.__name__)
@pytest.mark.parametrize("reload", (False, True), ids=("watch", "reload"))
def test_a_full_list_received_during_an_attempt_is_respected(hosts, list_server, monkeypatch, kind, reload):
    """A full list arrives, as the response to a watch or after a reload, while a connection is being set up:
    nothing is sent to the old server.
    """
    gate = delay_connects(monkeypatch, lambda nth: nth == 1)
    with running(list_server) as node:
        wait_for_list(node)
        conn = client(node, open_line(1, "once"))
        assert gate.reached.wait(WAIT)
        first, other = sorted(hosts, key=lambda h: not h.has_connection())
        response = ok({"generation": 40, "reset": True, "instances": kind(first, other)})
        if reload:
            second = ListServer(version=40)
            second.scripted.put(lambda request: request.send(response))
            node.change_discovery(second.address)
        else:
            list_server.scripted.put(
                lambda request: (setattr(list_server, "version", 40), request.send(response))
            )
            list_server.change(other, "Ready")  # ends the current watch
        wait_for_list(node, 40)
        gate.open.set()
        assert first.accept().read_all() == b""
        peer = other.accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ")
        peer.send_lines(b"UP r")
        assert conn.read_line() == b"UP r"
        peer.close()
