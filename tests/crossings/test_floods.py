"""Descriptors and bad input: idle clients fill them, clients send much and go, and
every parser meets bytes of any kind.
"""

import contextlib
import json
import socket
import threading

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from standins import SETTINGS, WAIT, Agent, client, listed, opening, running, serve, until

from cottonspread import cli, config
from cottonspread.net import discovery, lines
from cottonspread.net import events as ev
from cottonspread.net.http import HttpClient, ResponseError
from cottonspread.net.pool import BufferPool


def call(address, word):
    with socket.create_connection(address, timeout=1) as sock:  # as long as an operator waits
        sock.sendall(word + b"\n")
        return sock.makefile("rb").read()


@pytest.mark.parametrize("known", (False, True))
def test_idle_clients_that_fill_the_descriptors_keep_nobody_out(hosts, known):
    """While discovery is down, also before the first list: list, hosts and operators are reached,
    and clients served, once it is back.
    """
    agent, back = Agent().list(*hosts), threading.Event()

    def down(one):
        assert back.wait(WAIT)
        one.reset()

    for _ in range(2):
        agent.scripted.put(down)
    more = {"known": [hosts[0].entry | {"lifecycle": "Ready"}]} if known else {}
    with running(agent, sockets=96, operator="127.0.0.1:0", **more) as node:
        operators = node.admin.listener.getsockname()
        idle = [client(node) for _ in range(300)]
        assert call(operators, b"counters").startswith(b"200 ")
        assert len(node.workers.live) <= node.most + 32
        back.set()
        listed(node, 1)
        for n in range(5):
            assert call(operators, b"health") == b"200 yes\n"
            # some of the crowd stand in the queue before it, and it comes again as clients do
            for _ in range(100):
                one = client(node, opening(n))
                until(
                    lambda: (
                        any(h.waits() for h in hosts)
                        or node.ended["no-room-at-all"]
                        or node.ended["rejected"]
                    ),
                    "not dealt with",
                )
                if any(h.waits() for h in hosts):
                    break
                node.ended.clear()
                one.close()
            peer = next(h for h in hosts if h.waits()).take()
            assert peer.hear().startswith(b"OPEN ")
            peer.say(b"UP r")
            assert one.hear() == b"UP r"
            one.close()
            assert peer.rest() == b""
        for one in idle:
            one.close()
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")


def test_a_crowd_that_says_nothing_takes_no_step_of_the_reducer(hosts, agent):
    """Two hundred connect and say nothing or half a line: no thread and no event each, for whoever has a
    whole line would wait behind them.
    """
    with running(agent, sockets=96) as node:
        listed(node)
        crowd = [client(node) for _ in range(200)]
        for one in crowd[::2]:
            one.sock.sendall(b"OPEN half-")
        usual = client(node, opening(1))
        peer = serve(hosts)
        peer.say(b"UP r")
        assert usual.hear() == b"UP r"
        came = [event for event in node.seen.told if isinstance(event, ev.ClientAccepted)]
        assert len(came) == 1
        assert client(node, b"PING").hear() == b"PONG"
        for one in crowd:
            one.close()
        peer.close()


def test_clients_that_send_much_and_go_leave_nothing_behind(hosts, agent):
    with running(agent) as node:
        listed(node)
        for n in range(60):
            one = client(node)
            with contextlib.suppress(OSError):
                one.sock.sendall(
                    [
                        b"x" * 20_000,
                        b"OPEN\r\n" * 3000,
                        opening(n) + b"\r\n" + b"M 1 ab\r\n" * 2000,
                        b"PING\r\n" * 500,
                    ][n % 4]
                )
            one.close("reset" if n % 3 else "close")
        until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is kept")
        assert not any(h.waits() and h.take().rest() for h in hosts)
        one = client(node, b"PING")
        assert one.hear() == b"PONG"


@pytest.mark.parametrize("size", (1, 2, 3))
def test_a_first_line_in_pieces_is_a_first_line(hosts, agent, size):
    with running(agent) as node:
        listed(node)
        one, line = client(node), opening(1) + b"\r\n"
        for at in range(0, len(line), size):
            one.sock.sendall(line[at : at + size])
        until(lambda: any(h.waits() for h in hosts), "nobody came")
        peer = next(h for h in hosts if h.waits()).take()
        assert peer.hear().startswith(b"OPEN 00000001 ")
        for at in range(0, 6, size):
            peer.sock.sendall(b"UP r\r\n"[at : at + size])
        assert one.hear() == b"UP r"
        peer.close()


LINE = opening(1) + b"\r\n"
NAMES = config.Names({"plain": 0}, {"here": 0}, {}, {})


@profile(max_examples=300, deadline=None)
@given(
    st.binary(max_size=80)
    | st.tuples(st.integers(0, len(LINE)), st.binary(max_size=5)).map(
        lambda t: LINE[: t[0]] + t[1] + LINE[t[0] :]
    )
)
def test_any_first_line_is_read_or_turned_down(line):
    try:
        read = lines.parse_open(line.split(b"\n")[0] + b"\n", NAMES.types, {}, True, 10_000_000)
        assert 0 <= read.timeout <= 10_000_000 and read.type == 0 and not set(read.id) & set(" \r\n\0")
    except lines.LineError as fault:
        assert str(fault)


@profile(max_examples=300, deadline=None)
@given(st.binary(max_size=60), st.binary(max_size=10))
def test_any_answer_of_a_host_is_up_or_some_ending(line, rest):
    ending = lines.parse_answer(line, rest)
    assert ending is None or isinstance(ending, type(lines.ENDINGS[b"BYE"]))
    assert lines.parse_load(line) is None or lines.parse_load(line) >= 0
    lines.parse_probe_answer(line)


@profile(max_examples=100, deadline=None)
@given(st.lists(st.integers(1, 30), max_size=12), st.binary(max_size=60))
def test_lines_are_gathered_alike_however_they_are_cut(cuts, tail):
    data = b"OPEN a b c=d,d=1\r\nM 1 \x00\xff\r\n" + tail.replace(b"\n", b"") + b"\r\n"
    ours, theirs = socket.socketpair()
    with ours, theirs:
        gatherer, got, at = lines.LineReader(ours, BufferPool(), 1), b"", 0
        for cut in cuts + [len(data)]:
            theirs.sendall(data[at : at + cut])
            at = min(len(data), at + cut)
            while data.rfind(b"\n", 0, at) + 1 > len(got):
                got += gatherer.read_lines()
        assert got == data and gatherer.buffer is None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "generation",
                    "reset",
                    "instances",
                    "instanceId",
                    "hostPort",
                    "zone",
                    "lifecycle",
                    "weight",
                    "startedAtMs",
                    "cell",
                ]
            ),
            inner,
            max_size=8,
        )
    ),
    max_leaves=12,
)


@profile(max_examples=300, deadline=None)
@given(JSON, JSON)
def test_any_json_is_a_list_or_turned_down(said, instance):
    for one in (
        said,
        {
            "generation": 1,
            "reset": True,
            "instances": [
                instance,
                {"instanceId": "a", "lifecycle": "Ready", "hostPort": "b:1"}
                | (instance if isinstance(instance, dict) else {}),
            ],
        },
    ):
        try:
            version, listed_now, addresses, unread = discovery.read_list(one, NAMES)
            assert isinstance(version, int) and len(unread) + len(listed_now.entries) >= 0
            assert all(entry.host in addresses for entry in listed_now.entries if entry.state.value != "gone")
        except discovery.ListError:
            pass


@profile(max_examples=60, deadline=None)
@given(st.binary(max_size=200) | st.binary(max_size=60).map(lambda rest: b"HTTP/1.1 200 OK\r\n" + rest))
def test_any_answer_of_discovery_is_a_body_or_a_failure(answer):
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        with sock:
            sock.recv(4096)
            sock.sendall(answer)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(1)

    thread = threading.Thread(target=serve)
    thread.start()
    http = HttpClient(listener.getsockname(), 1)
    with contextlib.suppress(ResponseError, OSError):
        assert isinstance(http.get("/", 1), bytes)
    http.close()
    thread.join(WAIT)
    listener.close()


def test_a_bad_answer_that_was_read_to_its_last_byte_is_no_closed_connection():
    """What came was read up, so nothing lay there: the call went again, and said that nobody listens."""
    ours, theirs = socket.socketpair()
    theirs.sendall(b"HTTP/1.1 200 OK\r\nno colon\r\n")
    http = HttpClient(("127.0.0.1", 1), 1)
    http.sock = ours
    with pytest.raises(ResponseError):
        http.get("/", WAIT)
    theirs.close()


def test_a_head_that_never_ends_is_given_up_by_its_size():
    ours, theirs = socket.socketpair()
    http = HttpClient(("127.0.0.1", 1), 1)
    http.sock = ours

    def drip():
        try:
            theirs.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                theirs.sendall(b"x" * 4000 + b": y\r\n")
        except OSError:
            pass

    thread = threading.Thread(target=drip, daemon=True)
    thread.start()
    with pytest.raises(ResponseError):
        http.get("/", WAIT)
    http.close()
    theirs.close()
    thread.join(WAIT)


@pytest.mark.parametrize("line", [b"\x00" * 100, b"\xff" * 300, b"health\x00", b"health health", b"x" * 5000])
def test_operators_calls_of_any_kind_are_answered(agent, line):
    with running(agent, operator="127.0.0.1:0") as node:
        listed(node)
        address = node.admin.listener.getsockname()
        assert call(address, line).startswith(b"400 ")
        assert call(address, b"health") == b"200 yes\n"


@pytest.mark.parametrize(
    "change",
    [
        {"TrafficTypes": {}},
        {"TrafficTypes": [1]},
        {"TrafficTypes": "plain"},
        {"Limits": 3},
        {"Limits": {"MostLegs": 0}},
        {"Rules": []},
        {"Zones": "here"},
        {"MembershipMode": "gossip"},
        {"TrafficTypes": [SETTINGS["TrafficTypes"][0] | {"GuardTime": 0}]},
        {"TrafficTypes": [SETTINGS["TrafficTypes"][0] | {"KeyTtl": "long"}]},
        {"TrafficTypes": SETTINGS["TrafficTypes"] * 2},
        {"Balancers": 0},
        {"Step": -1},
    ],
)
def test_settings_that_make_no_sense_stop_the_start_and_change_nothing_at_sighup(
    agent, tmp_path, capsys, change
):
    file = tmp_path / "node.json"
    whole = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*agent.address),
        "settings": SETTINGS | change,
    }
    file.write_text(json.dumps(whole))
    assert cli.main(["check", "--config", str(file)]) == 2
    said = capsys.readouterr().err
    assert said.startswith("cottonspread: settings.") and said.count("\n") == 1
    with running(agent) as node:
        listed(node)
        begin, told_before = node.reducer.config, len(node.seen.told)
        active = type(
            "Force",
            (),
            {
                "values": json.loads(json.dumps(whole)),
                "read": lambda self: (whole, cli.node.read_text(json.dumps(whole))),
            },
        )()
        cli.node.reload(node, active)
        node.seen.wait(ev.ReloadRejected)
        assert node.reducer.config is begin and len(node.seen.told) > told_before


def test_names_may_hold_what_a_name_may_hold(hosts):
    """Another customer's: types, zones and tenants with dots, slashes, colons, plus
    signs, percent signs, and numbers alone.
    """
    agent = Agent().list(*hosts)
    names = ["7", "a.b/c:d", "x%20y", "gr\u00fc\u00df", "=", "c"]
    types = [SETTINGS["TrafficTypes"][0] | {"Name": name} for name in names]
    tenants = [{"Name": name, "Share": 0.1} for name in ("0", "t=1", "a b")]
    with running(
        agent, settings=SETTINGS | {"TrafficTypes": types, "Zones": ["here", "z 1", "1"], "Orgs": tenants}
    ) as node:
        listed(node)
        for n, name in enumerate(["7", "a.b/c:d", "x%20y", "c"]):
            one = client(node, opening(n, name, t="0"))
            until(lambda: any(h.waits() for h in hosts), f"{name} was not sent on")
            peer = next(h for h in hosts if h.waits()).take()
            assert f"c={name}," in peer.hear().decode()
            peer.say(b"UP r")
            assert one.hear() == b"UP r"
            one.close()
            assert peer.rest() == b""
