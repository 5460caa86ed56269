"""Resource exhaustion and bad input: idle clients use up the descriptors, clients send a lot and leave, and
every parser gets arbitrary bytes.
"""

import contextlib
import json
import socket
import threading

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from stubs import SETTINGS, WAIT, ListServer, client, open_line, running, serve, wait_for_list, wait_until

from cottonspread import cli, config
from cottonspread.net import discovery, lines
from cottonspread.net import events as ev
from cottonspread.net.http import HttpClient, ResponseError
from cottonspread.net.pool import BufferPool


def call(address, command):
    with socket.create_connection(address, timeout=1) as sock:  # operators wait that long
        sock.sendall(command + b"\n")
        return sock.makefile("rb").read()


@pytest.mark.parametrize("known", (False, True))
def test_idle_clients_that_use_up_the_descriptors_do_not_lock_others_out(hosts, known):
    """While discovery is down, also before the first list. Once it is back the node reaches discovery and
    hosts, answers operators and serves clients.
    """
    list_server, back = ListServer().add(*hosts), threading.Event()

    def down(request):
        assert back.wait(WAIT)
        request.reset()

    for _ in range(2):
        list_server.scripted.put(down)
    more = {"known": [hosts[0].entry | {"lifecycle": "Ready"}]} if known else {}
    with running(list_server, sockets=96, operator="127.0.0.1:0", **more) as node:
        operator_address = node.admin.listener.getsockname()
        idle = [client(node) for _ in range(300)]
        assert call(operator_address, b"counters").startswith(b"200 ")
        assert len(node.workers.live) <= node.max_sockets + 32
        back.set()
        wait_for_list(node, 1)
        for n in range(5):
            assert call(operator_address, b"health") == b"200 yes\n"
            # idle clients are ahead of it in the listener's queue, and like any client it tries again
            for _ in range(100):
                conn = client(node, open_line(n))
                wait_until(
                    lambda: (
                        any(h.has_connection() for h in hosts)
                        or node.end_reasons["no-room-at-all"]
                        or node.end_reasons["rejected"]
                    ),
                    "neither forwarded nor refused",
                )
                if any(h.has_connection() for h in hosts):
                    break
                node.end_reasons.clear()
                conn.close()
            peer = next(h for h in hosts if h.has_connection()).accept()
            assert peer.read_line().startswith(b"OPEN ")
            peer.send_lines(b"UP r")
            assert conn.read_line() == b"UP r"
            conn.close()
            assert peer.read_all() == b""
        for conn in idle:
            conn.close()
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")


def test_silent_clients_cost_no_step_of_the_reducer(hosts, list_server):
    """Two hundred clients connect and send nothing or half a line. They cost no thread and no event each: a
    client with a whole line would wait behind them.
    """
    with running(list_server, sockets=96) as node:
        wait_for_list(node)
        silent = [client(node) for _ in range(200)]
        for conn in silent[::2]:
            conn.sock.sendall(b"OPEN half-")
        caller = client(node, open_line(1))
        peer = serve(hosts)
        peer.send_lines(b"UP r")
        assert caller.read_line() == b"UP r"
        accepted = [event for event in node.seen.events if isinstance(event, ev.ClientAccepted)]
        assert len(accepted) == 1
        assert client(node, b"PING").read_line() == b"PONG"
        for conn in silent:
            conn.close()
        peer.close()


def test_clients_that_send_a_lot_and_leave_are_cleaned_up(hosts, list_server):
    with running(list_server) as node:
        wait_for_list(node)
        for n in range(60):
            conn = client(node)
            with contextlib.suppress(OSError):
                conn.sock.sendall(
                    [
                        b"x" * 20_000,
                        b"OPEN\r\n" * 3000,
                        open_line(n) + b"\r\n" + b"M 1 ab\r\n" * 2000,
                        b"PING\r\n" * 500,
                    ][n % 4]
                )
            conn.close("reset" if n % 3 else "close")
        wait_until(lambda: not node.reducer.conns and not node.workers.live, "a descriptor is still open")
        assert not any(h.has_connection() and h.accept().read_all() for h in hosts)
        conn = client(node, b"PING")
        assert conn.read_line() == b"PONG"


@pytest.mark.parametrize("size", (1, 2, 3))
def test_a_first_line_may_arrive_in_pieces(hosts, list_server, size):
    with running(list_server) as node:
        wait_for_list(node)
        conn, line = client(node), open_line(1) + b"\r\n"
        for at in range(0, len(line), size):
            conn.sock.sendall(line[at : at + size])
        wait_until(lambda: any(h.has_connection() for h in hosts), "no connection")
        peer = next(h for h in hosts if h.has_connection()).accept()
        assert peer.read_line().startswith(b"OPEN 00000001 ")
        for at in range(0, 6, size):
            peer.sock.sendall(b"UP r\r\n"[at : at + size])
        assert conn.read_line() == b"UP r"
        peer.close()


LINE = open_line(1) + b"\r\n"
NAMES = config.Names({"plain": 0}, {}, {})


@profile(max_examples=300, deadline=None)
@given(
    st.binary(max_size=80)
    | st.tuples(st.integers(0, len(LINE)), st.binary(max_size=5)).map(
        lambda t: LINE[: t[0]] + t[1] + LINE[t[0] :]
    )
)
def test_any_first_line_is_parsed_or_rejected(line):
    try:
        parsed = lines.parse_open(line.split(b"\n")[0] + b"\n", NAMES.types, {}, True, 10_000_000)
        assert 0 <= parsed.timeout <= 10_000_000 and parsed.type == 0 and not set(parsed.id) & set(" \r\n\0")
    except lines.LineError as error:
        assert str(error)


@profile(max_examples=300, deadline=None)
@given(st.binary(max_size=60), st.binary(max_size=10))
def test_any_answer_of_a_host_is_up_or_an_ending(line, rest):
    ending = lines.parse_answer(line, rest)
    assert ending is None or isinstance(ending, type(lines.ENDINGS[b"BYE"]))
    assert lines.parse_load(line) is None or lines.parse_load(line) >= 0
    lines.parse_probe_answer(line)


@profile(max_examples=100, deadline=None)
@given(st.lists(st.integers(1, 30), max_size=12), st.binary(max_size=60))
def test_lines_are_read_the_same_however_they_are_split(cuts, tail):
    data = b"OPEN a b c=d,d=1\r\nM 1 \x00\xff\r\n" + tail.replace(b"\n", b"") + b"\r\n"
    ours, theirs = socket.socketpair()
    with ours, theirs:
        line_reader, received, at = lines.LineReader(ours, BufferPool(), 1), b"", 0
        for cut in cuts + [len(data)]:
            theirs.sendall(data[at : at + cut])
            at = min(len(data), at + cut)
            while data.rfind(b"\n", 0, at) + 1 > len(received):
                received += line_reader.read_lines()
        assert received == data and line_reader.buffer is None


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
def test_any_json_is_a_list_or_rejected(value, instance):
    for response in (
        value,
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
            version, update, addresses, invalid = discovery.read_list(response, NAMES)
            assert isinstance(version, int) and len(invalid) + len(update.entries) >= 0
            assert all(entry.host in addresses for entry in update.entries if entry.state.value != "gone")
        except discovery.ListError:
            pass


@profile(max_examples=60, deadline=None)
@given(st.binary(max_size=200) | st.binary(max_size=60).map(lambda rest: b"HTTP/1.1 200 OK\r\n" + rest))
def test_any_response_of_discovery_is_a_body_or_an_error(answer):
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


def test_a_malformed_response_read_completely_is_not_retried():
    """The response was read completely, so the buffer was empty: the request was wrongly sent again, and the
    error said that the connection was refused.
    """
    ours, theirs = socket.socketpair()
    theirs.sendall(b"HTTP/1.1 200 OK\r\nno colon\r\n")
    http = HttpClient(("127.0.0.1", 1), 1)
    http.sock = ours
    with pytest.raises(ResponseError):
        http.get("/", WAIT)
    theirs.close()


def test_an_endless_response_head_is_rejected_by_its_size():
    ours, theirs = socket.socketpair()
    http = HttpClient(("127.0.0.1", 1), 1)
    http.sock = ours

    def send_headers():
        try:
            theirs.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                theirs.sendall(b"x" * 4000 + b": y\r\n")
        except OSError:
            pass

    thread = threading.Thread(target=send_headers, daemon=True)
    thread.start()
    with pytest.raises(ResponseError):
        http.get("/", WAIT)
    http.close()
    theirs.close()
    thread.join(WAIT)


@pytest.mark.parametrize("line", [b"\x00" * 100, b"\xff" * 300, b"health\x00", b"health health", b"x" * 5000])
def test_any_operators_command_is_answered(list_server, line):
    with running(list_server, operator="127.0.0.1:0") as node:
        wait_for_list(node)
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
def test_invalid_settings_stop_the_start_and_change_nothing_at_sighup(list_server, tmp_path, capsys, change):
    file = tmp_path / "node.json"
    values = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*list_server.address),
        "settings": SETTINGS | change,
    }
    file.write_text(json.dumps(values))
    assert cli.main(["check", "--config", str(file)]) == 2
    output = capsys.readouterr().err
    assert output.startswith("cottonspread: settings.") and output.count("\n") == 1
    with running(list_server) as node:
        wait_for_list(node)
        config_before, events_before = node.reducer.config, len(node.seen.events)
        active = type(
            "Force",
            (),
            {
                "values": json.loads(json.dumps(values)),
                "read": lambda self: (values, cli.node.read_text(json.dumps(values))),
            },
        )()
        cli.node.reload(node, active)
        node.seen.wait(ev.ReloadRejected)
        assert node.reducer.config is config_before and len(node.seen.events) > events_before


def test_names_may_contain_any_allowed_character(hosts):
    """Names of types, zones and tenants may contain dots, slashes, colons, plus signs and percent signs, or
    be plain numbers.
    """
    list_server = ListServer().add(*hosts)
    names = ["7", "a.b/c:d", "x%20y", "gr\u00fc\u00df", "=", "c"]
    types = [SETTINGS["TrafficTypes"][0] | {"Name": name} for name in names]
    tenants = [{"Name": name, "Share": 0.1} for name in ("0", "t=1", "a b")]
    with running(
        list_server,
        settings=SETTINGS | {"TrafficTypes": types, "Zones": ["here", "z 1", "1"], "Orgs": tenants},
    ) as node:
        wait_for_list(node)
        for n, name in enumerate(["7", "a.b/c:d", "x%20y", "c"]):
            conn = client(node, open_line(n, name, t="0"))
            wait_until(lambda: any(h.has_connection() for h in hosts), f"{name} was not forwarded")
            peer = next(h for h in hosts if h.has_connection()).accept()
            assert f"c={name}," in peer.read_line().decode()
            peer.send_lines(b"UP r")
            assert conn.read_line() == b"UP r"
            conn.close()
            assert peer.read_all() == b""
