"""Reloads and process takeover: incomplete configuration files, handover files, connections in transfer.

Whole processes are in `test_replacement.py`.
"""

import copy
import json
import os
import socket
import threading
from pathlib import Path

import pytest
from test_net import NODE, WAIT

from cottonspread import config
from cottonspread.cli import main
from cottonspread.cli.node import ActiveConfiguration, reload
from cottonspread.cli.takeover import Takeover, inherited_listener, short_socket_path
from cottonspread.fleet import control
from cottonspread.front import handover
from cottonspread.net import connection_transfer, lines
from cottonspread.net import events as ev
from cottonspread.net.pool import BufferPool

CONFIG = json.loads(NODE)
CONFIG["settings"]["TrafficTypes"].append(
    {
        "Name": "more",
        "Effect": "keyed",
        "KeyScope": "all",
        "KeyTtl": 5000,
        "SetupTarget": 300,
        "GuardTime": 2000,
        "Revenue": 1,
    }
)


# A new file is applied as a whole or not at all


def keys(values, path=()):
    """The path of every key of a JSON value."""
    for key in values if isinstance(values, dict) else range(len(values)):
        if isinstance(values, dict):
            yield (*path, key)
        if isinstance(values[key], (dict, list)):
            yield from keys(values[key], (*path, key))


def without(path):
    values = copy.deepcopy(CONFIG)
    parent = values
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return values


KEYED_KEYS = ("KeyScope", "KeyTtl")  # only one of the two types has these


class NodeStub:
    """Stands in for a node and records the calls."""

    def __init__(self):
        self.events, self.reloads = [], []

    def post_urgent(self, event):
        self.events.append(event)

    def reload(self, *parts):
        self.reloads.append(parts)


@pytest.mark.parametrize(
    "path", [p for p in keys(CONFIG) if p[-1] not in KEYED_KEYS], ids=lambda p: ".".join(map(str, p))
)
def test_a_file_with_a_missing_key_changes_nothing(path, tmp_path, monkeypatch, caplog):
    """A default in place of a missing key would apply half a change, and the environment in place of a
    missing address an old one.
    """
    monkeypatch.setenv("PROXY_DISCOVERY", "127.0.0.1:1")
    file, node = tmp_path / "node.json", NodeStub()
    file.write_text(json.dumps(CONFIG))
    active = ActiveConfiguration(str(file))
    before = active.values, active.parts
    file.write_text(json.dumps(without(path)))
    reload(node, active)
    assert [type(e) for e in node.events] == [ev.ReloadRejected] and not node.reloads
    assert (active.values, active.parts) == before


def changed(change):
    values = copy.deepcopy(CONFIG)
    change(values)
    return json.dumps(values)


@pytest.mark.parametrize(
    "text, key",
    [
        ("", "configuration"),
        (NODE[: len(NODE) // 2], "configuration"),
        ("[]", "configuration"),
        ("null", "configuration"),
        (
            changed(lambda v: v["settings"]["TrafficTypes"][1].update(GuardTime=0)),
            "settings.TrafficTypes[1].GuardTime",
        ),
        (
            changed(lambda v: v["settings"]["TrafficTypes"][1].update(GuardTime=-5)),
            "settings.TrafficTypes[1].GuardTime",
        ),
        (
            changed(lambda v: v["settings"]["TrafficTypes"][1].update(GuardTime="x")),
            "settings.TrafficTypes[1].GuardTime",
        ),
        (changed(lambda v: v["settings"]["Limits"].update(MostLegs=0)), "settings.Limits.MostLegs"),
        (changed(lambda v: v["settings"]["Limits"].update(MostLegs=-1)), "settings.Limits.MostLegs"),
        (changed(lambda v: v["settings"]["TrafficTypes"][1].update(Name="chat")), "settings.TrafficTypes"),
        (changed(lambda v: v["settings"].update(TrafficTypes=[])), "settings.TrafficTypes"),
        (changed(lambda v: v["settings"].update(Rules=[])), "settings.Rules"),
        (changed(lambda v: v["settings"].update(Zones={})), "settings.Zones"),
        (changed(lambda v: v.update(discovery="there")), "discovery"),
    ],
)
def test_an_invalid_file_changes_nothing_and_the_log_names_its_key(text, key, tmp_path, caplog):
    file, node = tmp_path / "node.json", NodeStub()
    file.write_text(json.dumps(CONFIG))
    active = ActiveConfiguration(str(file))
    before = active.values, active.parts
    file.write_text(text)
    with caplog.at_level("INFO", "cottonspread"):
        reload(node, active)
    assert [type(e) for e in node.events] == [ev.ReloadRejected] and not node.reloads
    assert (active.values, active.parts) == before
    assert [str(r.pairs["why"]).partition(": ")[0] for r in caplog.records if r.getMessage() == "reload"] == [
        key
    ]


def test_keys_that_only_keyed_types_need_are_required_only_of_them():
    more = CONFIG["settings"]["TrafficTypes"][1]
    config.check_no_key_missing(
        [more], [more, {key: more[key] for key in more if key not in KEYED_KEYS} | {"Effect": "safe"}]
    )
    for key in KEYED_KEYS:
        with pytest.raises(config.ConfigurationError, match=rf"\[0\]\.{key}"):
            config.check_no_key_missing(
                [CONFIG["settings"]["TrafficTypes"][0], more], [{k: v for k, v in more.items() if k != key}]
            )


def test_types_may_be_added_dropped_and_changed_and_fixed_settings_are_logged(tmp_path, caplog):
    file, node = tmp_path / "node.json", NodeStub()
    file.write_text(json.dumps(CONFIG))
    active = ActiveConfiguration(str(file))
    for change, names in (
        (
            lambda v: v["settings"]["TrafficTypes"].append(
                {"Name": "third", "Effect": "unsafe", "SetupTarget": 1, "GuardTime": 9, "Revenue": 2}
            ),
            ["chat", "more", "third"],
        ),
        (lambda v: v["settings"]["TrafficTypes"].pop(0), ["more"]),
        (lambda v: (v.update(listen="127.0.0.1:1"), v["limits"].update(sockets=500)), ["chat", "more"]),
    ):
        caplog.clear()
        file.write_text(changed(change))
        with caplog.at_level("INFO", "cottonspread"):
            reload(node, active)
        assert [t.name for t in node.reloads[-1][4].types] == names and not node.events
    assert caplog.records[-1].pairs["at_next_start"] == "listen,limits"


# Handover

STATE = handover.HandoverState(7, True, ("a", "b"), (("k", "s-1"),), (("s-1", 5, 2),))


def test_a_handover_file_is_read_as_written_and_only_by_the_requester():
    text = handover.pack(STATE, "me")
    assert handover.unpack(text, "me") == STATE and handover.unpack(text, "other") is None


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "null",
        "[]",
        handover.pack(STATE, "me")[:-9],
        handover.pack(STATE, "me").replace('"version": 1', '"version": 2'),
        handover.pack(STATE, "me").replace('"ids"', '"odd"'),
        handover.pack(STATE, "me").replace('["k", "s-1"]', '["k"]'),
        handover.pack(STATE, "me").replace('["s-1", 5, 2]', '["s-1", "x", 2]'),
        "[" * 100_000,
    ],
)
def test_a_process_starts_without_an_invalid_handover_file(text, tmp_path, caplog):
    parts = list(config.read_node(NODE, {}))
    takeover = Takeover(parts, str(tmp_path))
    takeover.token = "me"
    Path(takeover.reply_path).write_text(text)
    try:
        handover.unpack(text, "me")
        raise AssertionError("it was read")
    except (ValueError, RecursionError):
        pass
    with caplog.at_level("INFO", "cottonspread"):
        assert takeover.read_reply() is None and takeover.read_reply() is None
    assert len(caplog.records) == 1


@pytest.mark.parametrize("text", ["", "{", "[1]", '{"generation": 1, "instances": [{}]}'])
def test_a_process_starts_without_an_invalid_saved_list(text, tmp_path):
    parts = list(config.read_node(NODE, {}))
    Path(tmp_path / "cottonspread-n1.list").write_text(text)
    Takeover(parts, str(tmp_path))
    assert parts[-1] == config.read_node(NODE, {})[-1]


def test_an_inherited_descriptor_that_is_not_a_listening_socket_stops_the_start(
    monkeypatch, capsys, tmp_path
):
    file = tmp_path / "node.json"
    file.write_text(NODE)
    connected, other = socket.socketpair()
    plain = os.open(file, os.O_RDONLY)
    unbound = socket.socket()
    for value in (str(connected.fileno()), str(plain), str(unbound.fileno()), "9999", "seven", "-1"):
        monkeypatch.setenv("PROXY_INHERITED_FD", value)
        assert main(["serve", "--config", str(file)]) == 2
        output = capsys.readouterr().err
        assert output.startswith("cottonspread: PROXY_INHERITED_FD: ") and output.count("\n") == 1
    assert inherited_listener({}) is None
    os.close(plain)


@pytest.mark.parametrize("folder", ["short", "a" * 90])
def test_a_socket_is_reachable_in_a_folder_with_a_long_name(folder, tmp_path):
    (tmp_path / folder).mkdir()
    socket_path = str(tmp_path / folder / "cottonspread-n1.heir")
    with short_socket_path(socket_path) as path:
        listener = control.listen(path)
    with short_socket_path(socket_path) as path:
        control.connect(path).close()
    listener.accept()[0].close()
    listener.close()


# Connections in transfer


def test_an_idle_reader_releases_its_socket_and_leaves_later_input_to_the_next(socket_and_reader):
    """Two processes reading one socket would split its lines."""
    (ours, reader), done = socket_and_reader, threading.Event()
    thread = threading.Thread(
        target=lambda: (pytest.raises(lines.SocketReleasedError, reader.read_lines), done.set()),
        daemon=True,
    )
    thread.start()
    while not reader.idle:
        pass
    assert lines.try_release([reader]) and not done.is_set()
    ours.sendall(b"for the next\r\n")
    assert done.wait(WAIT) and reader.sock.recv(100) == b"for the next\r\n"
    assert reader.reclaim()  # its thread has stopped reading and must be started again
    ours.sendall(b"here again\r\n")
    assert reader.read_lines() == b"here again\r\n"


def test_a_reader_in_the_middle_of_a_line_does_not_release_its_socket(socket_and_reader):
    ours, reader = socket_and_reader
    assert not lines.try_release([reader])  # no thread is reading it
    other = lines.LineReader(reader.sock, BufferPool(), 1)
    other.idle = True
    assert not lines.try_release([other, reader]) and not other.released


def test_a_reader_reclaimed_before_any_input_goes_on_reading(socket_and_reader):
    (ours, reader), received = socket_and_reader, []
    thread = threading.Thread(target=lambda: received.append(reader.read_lines()), daemon=True)
    thread.start()
    while not reader.idle:
        pass
    assert lines.try_release([reader]) and not reader.reclaim()
    ours.sendall(b"as ever\r\n")
    thread.join(WAIT)
    assert received == [b"as ever\r\n"]


@pytest.fixture
def socket_and_reader():
    ours, theirs = socket.socketpair()
    yield ours, lines.LineReader(theirs, BufferPool(), 1)
    ours.close()
    theirs.close()


CONNECTION = handover.OpenConnection("id1", "chat", "s-1", 5, 6, "k", None, 0, 7.5, (1, 2))


def test_an_established_connection_is_read_as_written():
    assert handover.unpack_connection(handover.pack_connection(CONNECTION)) == CONNECTION


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"{\n",
        b"[]\n",
        handover.pack_connection(CONNECTION)[:-9],
        handover.pack_connection(CONNECTION).replace(b'"version": 1', b'"version": 2'),
        handover.pack_connection(CONNECTION).replace(b'"type"', b'"odd"'),
        handover.pack_connection(CONNECTION).replace(b'"began": 5', b'"began": null'),
    ],
)
def test_an_invalid_transfer_message_leaves_the_connection_with_the_sender(line):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    sent, other = socket.socketpair()
    receiver = threading.Thread(
        target=connection_transfer.receive_connections, args=(theirs, lambda *_: True), daemon=True
    )
    receiver.start()
    socket.send_fds(ours, [line], [sent.fileno()])
    ours.shutdown(socket.SHUT_WR) if not line.endswith(b"\n") else None
    assert ours.recv(1) == connection_transfer.DECLINED
    other.sendall(b"still ours")
    assert sent.recv(100) == b"still ours"
    ours.close()
    receiver.join(WAIT)
