"""Parsers, configuration, and a whole node on loopback with the example's servers and discovery."""

import importlib.util
import io as stdio
import json
import logging
import os
import queue
import signal
import socket
import struct
import threading
from dataclasses import replace
from pathlib import Path

import pytest

from cottonspread import cli, config
from cottonspread import interface as io
from cottonspread.lists import saved
from cottonspread.net import discovery, lines, logfmt, workers
from cottonspread.net import events as ev
from cottonspread.net.http import HttpClient, ResponseError
from cottonspread.net.message_delays import ConnectionSignals, MessageDelays
from cottonspread.net.node import Node, grow_descriptor_table
from cottonspread.net.pool import BUFFER_SIZE, BufferPool
from cottonspread.net.workers import LARGE_STACK_SIZE, Workers, start_thread

EXAMPLES = Path(__file__).parent.parent / "examples"
NODE = (EXAMPLES / "node.json").read_text()
WAIT = 10
MEAN_LOAD = 40_000  # the mean of the reported loads


def pair():
    return socket.socketpair()


# Lines


def test_lines_come_whole_and_idle_connections_hold_no_buffer():
    ours, theirs = pair()
    pool = BufferPool()
    reader = lines.LineReader(ours, pool, 1)
    theirs.sendall(b"one\r\ntwo\r\nthr")
    assert reader.read_lines() == b"one\r\ntwo\r\n" and reader.filled == 3
    theirs.sendall(b"ee\r\n")
    assert (
        reader.read_lines() == b"three\r\n"
        and reader.buffer is None
        and pool.allocated == 1 == len(pool.free)
    )
    theirs.close()
    assert reader.read_lines() == b""


@pytest.mark.parametrize("sent, reason", [(b"x" * BUFFER_SIZE, "long-line"), (b"half", "half-line")])
def test_a_line_too_long_or_cut_off_is_told_by_its_reason(sent, reason):
    ours, theirs = pair()
    theirs.sendall(sent)
    theirs.shutdown(socket.SHUT_WR)
    with pytest.raises(lines.LineError, match=reason):
        lines.LineReader(ours, BufferPool(), 1).read_lines()


def test_the_longest_line_passes():
    ours, theirs = pair()
    theirs.sendall(b"x" * (BUFFER_SIZE - 2) + b"\r\n")
    assert len(lines.LineReader(ours, BufferPool(), 1).read_lines()) == BUFFER_SIZE


def test_the_first_line_goes_on_unchanged_but_for_d():
    line = b"OPEN 9b1f 7f3a c=chat,d=2000,id=7,g=5c\r\n"
    assert lines.open_for_host(line, 301_900) == line.replace(b"d=2000", b"d=301")


def test_the_table_of_descriptors_has_its_size_before_there_are_threads():
    """When the table grew later, the thread that opened the next descriptor, the reducer's too, waited 10 to
    25 ms.
    """
    grow_descriptor_table(3000)
    size = next(
        line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith("FDSize")
    )
    assert int(size.split()[1]) >= 3000


# MessageDelays


def test_delay_reports_are_distinguished_from_load_reports():
    """Delay reports of a congested host were read as loads: its connections then counted as almost idle, and
    the congestion went unnoticed.
    """
    delays, signals = MessageDelays(slow_threshold=17_000), ConnectionSignals()
    results = []
    for at, value in (
        (0, 41_000),
        (731, 18.5),
        (1_731, 294.8),
        (2_300, 402_491),
        (2_732, 349.7),
        (3_732, 9.9),
        (4_732, 11_000),
        (9_731, 20.1),
    ):
        delay = delays.classify(at * 1000, signals, value, 0, MEAN_LOAD)
        results.append(delay)
        if delay is None:
            signals.load = value
    assert results == [None, 18_500, 294_800, None, 349_700, 9_900, 0, 20_100]


def test_a_delay_of_many_seconds_is_accepted_only_with_a_matching_silence():
    """A load report that arrives at the host's reporting second would otherwise be taken for a hang."""
    delays, signals = MessageDelays(slow_threshold=17_000), ConnectionSignals(load=40_000)
    assert delays.classify(5_000_000, signals, 14_236.5, 0, MEAN_LOAD) is None
    assert delays.confirmed_hang(5_050_000, 0) is None
    assert delays.confirmed_hang(5_400_000, 60_000) is None
    assert delays.confirmed_hang(5_800_000, 500_000) == (15_036_500, signals, 40_000)
    assert delays.classify(6_000_000, signals, 14_986.5, 500_000, MEAN_LOAD) == 14_986_500


def test_a_load_reported_during_a_silence_stays_a_load():
    """A load of 250,419 was read as a delay of 250 s, and its connection lost its load."""
    delays = MessageDelays(slow_threshold=17_000)
    assert delays.classify(5_000_000, ConnectionSignals(load=200_000), 250_419, 0, MEAN_LOAD) is None
    assert delays.confirmed_hang(5_500_000, 500_000) is None


def test_a_delay_that_grows_with_time_is_a_hang():
    """The host's lines are two seconds apart, so a silence may be noticed late."""
    delays, signals, other = (
        MessageDelays(slow_threshold=17_000),
        ConnectionSignals(load=40_000),
        ConnectionSignals(load=8_000),
    )
    assert delays.classify(5_000_000, signals, 13_986.5, 0, MEAN_LOAD) is None
    assert delays.classify(5_400_000, other, 9_000, 0, MEAN_LOAD) is None
    assert delays.classify(6_000_500, signals, 14_900.2, 0, MEAN_LOAD) is None
    assert delays.classify(6_001_000, signals, 14_986.5, 0, MEAN_LOAD) == 14_986_500


def test_a_light_load_is_not_congestion():
    """A connection whose load fell to 380 us per second was taken for a host whose messages take 380 ms, and
    all its connections were moved.
    """
    delays, signals = MessageDelays(slow_threshold=17_000), ConnectionSignals(load=2_212)
    assert delays.classify(5_000_000, signals, 379.956, 0, MEAN_LOAD) == 0
    assert delays.resolved_loads(5_900_000) == [] and delays.resolved_loads(6_200_000) == [(signals, 379.956)]
    assert delays.classify(8_000_000, signals, 379.956, 0, MEAN_LOAD) == 0
    assert delays.classify(9_001_000, signals, 441.2, 0, MEAN_LOAD) == 441_200


def test_a_new_host_may_report_a_long_delay_at_once():
    """Delays of 1.4 to 3 s reported by a slow host were read as loads, and it kept getting calls."""
    delays, signals = MessageDelays(slow_threshold=17_000, connected_since=2_200_000), ConnectionSignals()
    assert delays.classify(2_200_000, signals, 297_243, 0, MEAN_LOAD) is None
    signals.load = 297_243
    assert delays.classify(2_380_000, signals, 1354.567, 0, MEAN_LOAD) == 1_354_567
    assert delays.classify(3_381_000, signals, 1820.216, 0, MEAN_LOAD) == 1_820_216


def test_the_first_report_on_a_connection_may_be_a_delay():
    """A connection reports load only when it is used; read as a load, a congested host's delay was lost."""
    delays, fresh = MessageDelays(slow_threshold=17_000), ConnectionSignals()
    # 0: unusually small for a load, so it is not taken for one yet
    assert delays.classify(7_380_000, fresh, 2784.4, 0, MEAN_LOAD) == 0
    assert delays.classify(8_380_500, fresh, 2114.3, 0, MEAN_LOAD) == 2_114_300 and not delays.misread_loads
    assert delays.classify(8_400_000, ConnectionSignals(), 52_000, 0, MEAN_LOAD) is None


def test_three_reports_at_the_same_second_are_recognised_as_delays_and_the_load_is_corrected():
    delays, light = MessageDelays(slow_threshold=17_000), ConnectionSignals(load=700)
    for at, value, delay in (
        (1_000, 2245.1, None),
        (1_400, 820, None),
        (2_001, 2463.7, None),
        (3_001, 2725.4, 2_725_400),
    ):
        assert delays.classify(at * 1000, light, value, 0, MEAN_LOAD) == delay
        light.load = value
    assert delays.misread_loads == [(light, 820), (light, 700)]
    # the reporting second is known now: from here on one report suffices
    assert delays.classify(4_001_000, light, 9.5, 0, MEAN_LOAD) == 9_500 and not delays.reported_delay
    assert delays.classify(9_002_000, light, 310, 0, MEAN_LOAD) == 310_000


# Probes


@pytest.mark.parametrize(
    "line, expected",
    [
        (b"PONG x0:0.41,x1:0.02\r\n", (io.Ending.OK, {"x0": 0.41, "x1": 0.02})),
        (b"PONG\r\n", (io.Ending.OK, {})),
        (b"PONG x0:nan,x1:much,:1\r\n", (io.Ending.OK, {"": 1.0})),
        (b"ERR\r\n", (io.Ending.ERROR, {})),
        (b"NO\r\n", (io.Ending.FULL, {})),
        (b"", (io.Ending.FULL, {})),
    ],
)
def test_a_load_report_is_read_and_invalid_numbers_are_skipped(line, expected):
    assert lines.parse_probe_answer(line) == expected


def probe(address, wait=WAIT):
    events = queue.Queue()
    Workers(BufferPool(), events.put, lambda: 0).execute(ev.Probe("s-1", address, round(wait * 1_000_000)))
    return events.get(timeout=WAIT)


def test_a_probe_is_answered_whatever_the_host_does():
    """Calls wait for probes: one that never ended would hold them until their guard time."""
    answers = Answers(b"PONG x0:0.5\r\n", b"ERR\r\n", b"", b"x" * 5000)
    assert [(e.ending, e.report) for e in (probe(answers.address) for _ in range(4))] == [
        (io.Ending.OK, {"x0": 0.5}),
        (io.Ending.ERROR, {}),
        (io.Ending.CONNECT_FAILED, {}),
        (io.Ending.FULL, {}),
    ]
    silent = socket.create_server(("127.0.0.1", 0))
    assert probe(silent.getsockname(), 0.05).ending is io.Ending.TIMEOUT
    silent.close()
    assert probe(Answers().closed()).ending is io.Ending.CONNECT_FAILED


def test_a_list_with_live_weights_is_not_saved_at_each_change(tmp_path):
    """Otherwise there is a write and an fsync each second, and a successor starts with weights under load in
    place of the servers' sizes.
    """
    instance = {"instanceId": "s-1", "lifecycle": "Ready", "weight": 3.0}
    for dynamic, weight in ((True, 3.0), (False, 0.2)):
        path = tmp_path / f"{dynamic}.json"
        saved_list = saved.SavedList(str(path), dynamic)
        saved_list.update(1, [instance], True)
        saved_list.update(2, [instance | {"weight": 0.2}], False)
        assert saved.read(str(path))["instances"][0]["weight"] == weight
        saved_list.update(3, [instance | {"weight": 0.2, "lifecycle": "Terminating"}], False)
        assert saved.read(str(path))["instances"][0]["lifecycle"] == "Terminating"


# HTTP and discovery


class Answers:
    """A listening socket that sends the next of `answers` on each connection."""

    def __init__(self, *answers):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self.run, args=(answers,), daemon=True).start()

    def closed(self):
        self.listener.close()
        return self.address

    def run(self, answers):
        for answer in answers:
            sock, _ = self.listener.accept()
            with sock:
                sock.recv(4096)
                sock.sendall(answer)


def ok(body, extra=b""):
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (extra, len(body), body)


def test_responses_are_read_in_each_transfer_encoding():
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    to_the_end = b"HTTP/1.0 200 OK\r\n\r\nabcde"
    for answer in (chunked, to_the_end, ok(b"abcde"), b"HTTP/1.1 100 Continue\r\n\r\n" + ok(b"abcde")):
        assert HttpClient(Answers(answer).address, 1).get("/", WAIT) == b"abcde"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"garbage\r\n\r\n",
        ok(b"abc")[:-1],
        b"HTTP/1.1 500 No\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_a_malformed_response_is_an_error(answer):
    with pytest.raises((ResponseError, OSError)):
        HttpClient(Answers(answer).address, 1).get("/", WAIT)


def test_a_request_that_hangs_times_out():
    listener = socket.create_server(("127.0.0.1", 0))
    with pytest.raises(TimeoutError):
        HttpClient(listener.getsockname(), 1).get("/", 0.05)


def listing(version, reset=True, state="Ready"):
    return ok(
        json.dumps(
            {
                "generation": version,
                "reset": reset,
                "instances": [
                    {
                        "instanceId": "s-1",
                        "hostPort": "10.1.0.18:8080",
                        "zone": "here",
                        "machineType": "m9",
                        "lifecycle": state,
                        "startedAtMs": 7,
                    }
                ],
            }
        ).encode(),
        b"Connection: close\r\n",
    )


def instance(name, **other):
    return {
        "instanceId": name,
        "hostPort": "10.1.0.18:8080",
        "zone": "here",
        "machineType": "m9",
        "lifecycle": "Ready",
        "startedAtMs": 7,
    } | other


@pytest.mark.parametrize(
    "bad",
    (
        {"weight": "heavy"},
        {"weight": float("nan")},
        {"weight": -1},
        {"hostPort": "10.1.0.18"},
        {"hostPort": None},
        {"hostPort": "a:99999"},
        {"lifecycle": "Sleepy"},
        {"cell": "x"},
        {"startedAtMs": []},
        {"zone": ["a"]},
    ),
)
def test_an_invalid_entry_does_not_affect_other_entries(bad):
    """One invalid entry among sixty made the node reject the whole list, and every later one."""
    names = config.Names({}, {}, {})

    def read(*instances, previous=None):
        version, update, addresses, invalid = discovery.read_list(
            {"generation": 3, "reset": True, "instances": list(instances)}, names, previous=previous or {}
        )
        return {entry.host: entry for entry in update.entries}, addresses, invalid

    first, addresses, invalid = read(instance("a"), instance("b", weight=2))
    assert not invalid and first["b"].weight == 2
    before = {name: (entry, addresses[name]) for name, entry in first.items()}
    now, addresses, invalid = read(
        instance("a", startedAtMs=9), instance("b", **bad), instance("c", **bad), previous=before
    )
    # an invalid entry of an unknown server is left out
    assert now["a"].started == 9000 and now["b"] == first["b"] and "c" not in now
    assert invalid.keys() == {"b", "c"} and addresses.keys() == {"a", "b"}
    if "lifecycle" not in bad:  # draining or gone is applied all the same
        for lifecycle, state in (("Terminating", io.HostState.DRAINING), ("Gone", io.HostState.GONE)):
            now, addresses, invalid = read(
                instance("a"), instance("b", **bad | {"lifecycle": lifecycle}), previous=before
            )
            assert now["b"].state is state and ("b" in addresses) is (state is io.HostState.DRAINING)


def test_of_two_entries_with_one_id_the_later_wins_and_an_empty_list_is_valid():
    names = config.Names({}, {}, {})
    body = {
        "generation": 3,
        "reset": True,
        "instances": [instance("a"), instance("a", lifecycle="Terminating"), instance("b"), 7, {"weight": 1}],
    }
    version, update, addresses, invalid = discovery.read_list(body, names)
    assert [(e.host, e.state) for e in update.entries] == [
        ("a", io.HostState.DRAINING),
        ("b", io.HostState.UP),
    ]
    assert invalid.keys() == {"a again", "None"} and addresses["a"] == addresses["b"] == ("10.1.0.18", 8080)
    long = "b" * 100  # reported in full, so that the entry can be left out of the saved list
    assert discovery.read_list(body | {"instances": [instance(long, weight="x")]}, names)[3].keys() == {long}
    assert discovery.read_list(body | {"instances": []}, names)[1:] == (
        io.ListUpdate(io.ListUpdateKind.FULL, 3, ()),
        {},
        {},
    )
    for broken in ({"instances": None}, {"generation": "x"}, {"reset": None} | {"generation": []}):
        with pytest.raises(discovery.ListError):
            discovery.read_list(body | broken, names)


def test_the_last_valid_list_is_kept_after_garbage_and_older_versions(monkeypatch):
    names, lists, failed = config.Names({}, {}, {}), queue.Queue(), []
    answers = Answers(
        listing(41),
        listing(43, False, "Terminating"),
        ok(b"[" * 100_000, b"Connection: close\r\n"),
        listing(43, False, "Gone"),
        listing(42),
        listing(42, False),
        listing(44),
        listing(45, False, "Gone").replace(b"hostPort", b"hostPart"),
    )
    watcher = discovery.Discovery(
        answers.address,
        names,
        lambda e: lists.put(e) if isinstance(e, ev.ListReceived) else failed.append(e),
        0,
    )
    monkeypatch.setattr(discovery.time, "sleep", lambda _: None)
    watcher.enabled.set()
    start_thread(watcher.run, stack=LARGE_STACK_SIZE)  # with less, deeply nested JSON crashed the process
    received = [lists.get(timeout=WAIT) for _ in range(4)]
    watcher.stop()
    assert [e.update.version for e in received] == [41, 43, 44, 45] and len(failed) == 4
    assert received[0].update.entries[0] == io.Entry("s-1", "here", -1, 1.0, None, 7000) and received[
        0
    ].addresses == {"s-1": ("10.1.0.18", 8080)}
    assert received[1].update.entries[0].state is io.HostState.DRAINING
    assert received[3].update.entries[0].state is io.HostState.GONE and not received[3].addresses


@pytest.mark.parametrize("known, first", ((True, "/api/targets?since=41&"), (False, "/api/targets")))
def test_a_known_list_is_watched_from_its_version_on_without_a_full_request(known, first, monkeypatch):
    """One request instead of two: when a whole fleet restarted, neither was answered."""
    lists, paths = queue.Queue(), []
    answers = Answers(listing(42, not known))
    watcher = discovery.Discovery(
        answers.address,
        config.Names({}, {}, {}),
        lists.put,
        41,
        polled=True,
        watch_initial=known,
    )
    get = watcher.http.get
    monkeypatch.setattr(watcher.http, "get", lambda path, timeout: paths.append(path) or get(path, timeout))
    watcher.poll()
    assert lists.get(timeout=WAIT).update.kind is (
        io.ListUpdateKind.CHANGES if known else io.ListUpdateKind.FULL
    )
    assert len(paths) == 1 and paths[0].startswith(first) and (known or paths[0] == first)


def test_a_new_address_is_accepted_at_once_whatever_its_version(monkeypatch):
    """A lower version was fetched three times before it was accepted, and each fetch counted as a failure."""
    lists, failed = queue.Queue(), []
    first = Answers(listing(41))  # then a watch that is never answered
    second = Answers(listing(7), listing(8, False, "Terminating"))
    watcher = discovery.Discovery(
        first.address,
        config.Names({}, {}, {}),
        lambda e: lists.put(e) if isinstance(e, ev.ListReceived) else failed.append(e),
        0,
    )
    watcher.enabled.set()
    start_thread(watcher.run, stack=LARGE_STACK_SIZE)
    assert lists.get(timeout=WAIT).update.version == 41
    watcher.change_address(second.address)
    assert [lists.get(timeout=WAIT).update.version for _ in range(2)] == [7, 8] and not failed
    watcher.stop()


# Configuration and command line

WITH_TYPE = {"TrafficTypes": [{"SetupTarget": 1, "GuardTime": 9}]}


@pytest.mark.parametrize(
    "settings, probed, dynamic",
    [
        ({}, False, False),  # old settings, without these keys
        (
            {"Limits": {"Probes": True}, "LoadReport": {"How": "none", "Names": []}, "Weights": "nominal"},
            False,
            False,
        ),
        (
            {
                "Limits": {"Probes": True},
                "LoadReport": {"How": "probe", "Names": ["x0", "x1"]},
                "Weights": "live",
            },
            True,
            True,
        ),
        (
            {"Limits": {"Probes": True}, "LoadReport": {"How": "probe", "Names": ["outstanding"]}},
            False,
            False,
        ),
        ({"LoadReport": {"How": "probe", "Names": ["x0"]}, "Weights": "rough"}, False, False),
    ],
)
def test_a_node_probes_and_takes_weights_for_loads_only_where_its_settings_say_so(settings, probed, dynamic):
    node_config = config.read_begin(WITH_TYPE | settings, 1)
    assert (node_config.probes_report_load, node_config.dynamic_weights) == (probed, dynamic)


@pytest.mark.parametrize("number, zone", ((0, "a"), (1, "b"), (2, None)))
def test_the_nodes_own_zone_has_the_name_that_the_list_uses(number, zone):
    settings = json.dumps(json.loads(NODE) | {"settings": WITH_TYPE | {"Zones": ["a", "b"], "Zone": number}})
    assert config.read_node(settings, {})[4].zone == zone


def test_the_availability_goal_reaches_the_balancer_and_unknown_goal_keys_are_skipped():
    assert config.read_begin(WITH_TYPE, 1).availability == io.AvailabilityGoal(0, 3)
    node_config = config.read_begin(WITH_TYPE | {"Goal": {"NinesPart": 0.2, "NinesFull": 2, "Odd": "x"}}, 1)
    assert node_config.availability == io.AvailabilityGoal(0.2, 2)


def test_check_prints_how_weights_and_loads_are_used(tmp_path, capsys):
    file = tmp_path / "node.json"
    for settings, expected in (
        ({}, "are fixed sizes, host load not requested"),
        (
            {"Weights": "live", "Limits": {"Probes": True}, "LoadReport": {"How": "probe", "Names": ["x0"]}},
            "change with load, host load requested by probes",
        ),
    ):
        file.write_text(json.dumps(json.loads(NODE) | {"settings": WITH_TYPE | settings}))
        assert cli.main(["check", "--config", str(file)]) == 0
        assert expected in capsys.readouterr().out


@pytest.mark.parametrize(
    "change, key",
    [
        ({"listen": "here"}, "listen"),
        ({"operator": "here"}, "operator"),
        ({"operator": 8081}, "operator"),
        ({"name": None}, "name"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"settings": {}}, "settings.TrafficTypes"),
        ({"settings": {"TrafficTypes": [{"SetupTarget": 1}]}}, "settings.TrafficTypes[0].GuardTime"),
        (
            {"settings": {"TrafficTypes": [{"SetupTarget": -1, "GuardTime": 9}]}},
            "settings.TrafficTypes[0].SetupTarget",
        ),
        (
            {"settings": {"TrafficTypes": [{"SetupTarget": 1, "GuardTime": 9, "Effect": "odd"}]}},
            "settings.TrafficTypes[0].Effect",
        ),
        ({"settings": WITH_TYPE | {"LoadReport": {"How": "often"}}}, "settings.LoadReport.How"),
        (
            {"settings": WITH_TYPE | {"LoadReport": {"How": "probe", "Names": "x0"}}},
            "settings.LoadReport.Names",
        ),
        ({"settings": WITH_TYPE | {"Weights": "heavy"}}, "settings.Weights"),
        ({"settings": WITH_TYPE | {"Goal": {"NinesPart": -1}}}, "settings.Goal.NinesPart"),
        ({"settings": WITH_TYPE | {"Goal": {"NinesFull": 0}}}, "settings.Goal.NinesFull"),
        ({"settings": WITH_TYPE | {"Goal": {"NinesFull": "many"}}}, "settings.Goal.NinesFull"),
        ({"settings": WITH_TYPE | {"Goal": 3}}, "settings.Goal"),
        ({"settings": WITH_TYPE | {"Limits": {"Probes": "some"}}}, "settings.Limits.Probes"),
        ({"known": {"instances": []}}, "known"),
    ],
)
def test_invalid_configuration_stops_the_start_and_names_its_key(change, key, tmp_path, capsys, monkeypatch):
    for variable in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY"):
        monkeypatch.delenv(variable, raising=False)
    file = tmp_path / "node.json"
    file.write_text(json.dumps(json.loads(NODE) | change))
    assert cli.main(["check", "--config", str(file)]) == 2
    output = capsys.readouterr().err
    assert output.startswith(f"cottonspread: {key}: ") and output.count("\n") == 1


def test_a_missing_file_and_an_address_in_use_are_reported_in_one_line(tmp_path, capsys):
    assert cli.main(["serve", "--config", str(tmp_path / "none.json")]) == 2
    occupied = socket.create_server(("127.0.0.1", 0))
    file = tmp_path / "node.json"
    for key, other in (("listen", "operator"), ("operator", "listen")):
        file.write_text(
            json.dumps(
                json.loads(NODE) | {key: f"127.0.0.1:{occupied.getsockname()[1]}", other: "127.0.0.1:0"}
            )
        )
        assert cli.main(["serve", "--config", str(file)]) == 1
        output = capsys.readouterr().err.splitlines()[-1]
        assert "in use" in output and f"cottonspread: {key}: " in output


def test_log_lines_are_pairs():
    record = logging.LogRecord("cottonspread.x", logging.INFO, "", 0, "closed", (), None)
    record.pairs = {"reason": "completed", "why": 'a "b" c', "s": 1.5}
    assert (
        logfmt.KeyValueFormatter("n1")
        .format(record)
        .endswith('level=info node=n1 event=closed reason=completed why="a \\"b\\" c" s=1.500')
    )


# A whole node


class Client:
    def __init__(self, address, first):
        self.sock = socket.create_connection(address, timeout=WAIT)
        self.file = self.sock.makefile("rb")
        self.send_line(first)

    def send_line(self, line):
        self.sock.sendall(line + b"\r\n")

    def read_line(self):
        return self.file.readline().rstrip()


@pytest.fixture
def toy():
    spec = importlib.util.spec_from_file_location("toy", EXAMPLES / "toy.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def discovery_of(servers):
    """Starts the toy servers' discovery and returns its address."""
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=servers.accept, args=(listener, servers.discover), daemon=True).start()
    return listener.getsockname()


def test_the_examples_discovery_survives_a_killed_node(toy):
    """Its thread ended with an uncaught exception whenever a node was killed during a watch."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        node = socket.create_connection(listener.getsockname())
        theirs = listener.accept()[0]
    node.sendall(b"GET /list HTTP/1.1\r\n\r\n" * 2)
    node.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    node.close()  # a reset, as the kernel sends for a process that is killed with unread input
    toy.Toy(1).discover(theirs)


@pytest.fixture
def service(monkeypatch, toy):
    """A running node with the example's toy servers and discovery."""
    servers = toy.Toy(2)
    endpoints, resource_limits, names, host_protocol, node_config, known = config.read_node(NODE, {})
    endpoints = config.Endpoints("n1", ("127.0.0.1", 0), discovery_of(servers))
    node = Node(endpoints, resource_limits, names, host_protocol, node_config, known)
    listed = threading.Event()
    list_received = node.reducer.list_received

    def signal_list(event):
        list_received(event)
        if event.update.entries:
            listed.set()

    monkeypatch.setitem(node.reducer.handlers, ev.ListReceived, signal_list)
    node.start()
    assert listed.wait(WAIT)
    yield node, node.listener.getsockname()
    node.stop()
    assert node.join(WAIT)


def test_a_node_serves_moves_and_stops(service):
    node, address = service
    ping = Client(address, b"PING")
    assert ping.read_line() == b"PONG"
    client = Client(address, b"OPEN 01 02 c=chat,d=2000,g=0a")
    assert client.read_line().startswith(b"UP ")
    for line in (b"M 1 ab", b"x" * 4000):
        client.send_line(line)
        assert client.read_line() == line
    bad = Client(address, b"HELLO")
    assert bad.read_line() == b"ERR" and bad.read_line() == b""
    ended = Client(address, b"OPEN 03 04 c=chat,d=2000,g=0b")
    assert ended.read_line().startswith(b"UP ")
    ended.send_line(b"BYE")
    assert ended.read_line() == b"BYE" and ended.read_line() == b""
    node.stop()
    late = Client(address, b"OPEN 05 06 c=chat,d=2000,g=0c")
    assert late.read_line().startswith(b"BUSY") and late.read_line() == b""
    assert client.read_line() == b"MOVE" and client.read_line() == b""
    assert node.join(WAIT)


@pytest.mark.parametrize("waiting", [0, 4])
def test_no_thread_blocks_on_the_event_queue_of_a_node_that_has_ended(monkeypatch, waiting):
    """The writer thread blocked on the full queue after the last answers to over two thousand clients, and
    the process never ended.
    """
    monkeypatch.setattr("cottonspread.net.node.EVENT_QUEUE_SIZE", 4)
    endpoints, *rest = config.read_node(NODE, {})
    node = Node(replace(endpoints, operator=None), *rest)
    node.shared = True
    for _ in range(waiting):
        node.post(ev.Tick())
    posters = [threading.Thread(target=node.post, args=(ev.Tick(),), daemon=True) for _ in range(20)]
    for thread in posters[:10]:
        thread.start()
    node.close_all()
    for thread in posters[10:]:
        thread.start()
    for thread in posters:
        thread.join(WAIT)
    assert not any(thread.is_alive() for thread in posters)


def test_a_bug_in_the_policy_is_logged_with_its_traceback_and_fails_one_connection(service, monkeypatch):
    node, address = service
    output = stdio.StringIO()
    handler = logging.StreamHandler(output)
    handler.setFormatter(logfmt.KeyValueFormatter("n1"))
    logging.getLogger("cottonspread").addHandler(handler)
    client = Client(address, b"OPEN 01 02 c=chat,d=2000,g=0a")
    assert client.read_line().startswith(b"UP ")

    def broken(now, event):
        raise RuntimeError("decisions broken")

    with monkeypatch.context() as patch:
        patch.setattr(node.reducer.balancer, "handle", broken)
        failed = Client(address, b"OPEN 03 04 c=chat,d=2000,g=0b")
        assert failed.read_line() == b"ERR"
    client.send_line(b"still here")
    assert client.read_line() == b"still here"
    logging.getLogger("cottonspread").removeHandler(handler)
    assert "event=fault" in output.getvalue() and "decisions broken" in output.getvalue()


def test_listening_is_logged_before_any_thread_can_log(monkeypatch):
    """The first list was sometimes logged before `listening`, and a script that waited for the two lines in
    order waited for ever.
    """
    order, logger = [], logging.getLogger("cottonspread.node")
    monkeypatch.setattr(workers, "start_thread", lambda target, *args, **more: order.append("a thread"))
    monkeypatch.setattr(logger, "info", lambda event, **more: order.append(event))
    endpoints, *rest = config.read_node(NODE, {})
    node = Node(replace(endpoints, listen=("127.0.0.1", 0), operator=None), *rest)
    node.start()
    node.listener.close()
    assert order[0] == "listening" and set(order[1:]) == {"a thread"}


def test_sighup_follows_the_new_discovery_and_a_faulty_file_changes_nothing(toy, tmp_path, monkeypatch):
    """SIGHUP killed the process; and a watch at the old address delayed the new one for seconds."""
    first, second, log_lines, results, skipped = toy.Toy(1), toy.Toy(2), queue.Queue(), [], []

    class LogQueue(logging.Handler):
        def emit(self, record):
            log_lines.put((record.getMessage(), getattr(record, "pairs", {})))

    def wait_for(event, **pairs):
        """The first matching line not returned before: lines of different threads come in any order."""
        while True:
            for line in skipped:
                if line[0] == event and pairs.items() <= line[1].items():
                    skipped.remove(line)
                    return line[1]
            skipped.append(log_lines.get(timeout=WAIT))

    def send_signals():
        try:
            address = wait_for("listening")["address"].split(":")
            wait_for("list", news="full")
            client = Client((address[0], int(address[1])), b"OPEN 01 02 c=chat,d=2000,g=0a")
            results.append(client.read_line()[:3])
            for text in ("{", json.dumps(values | {"discovery": "{}:{}".format(*discovery_of(second))})):
                file.write_text(text)
                os.kill(os.getpid(), signal.SIGHUP)
                results.append(sorted(wait_for("reload")))
            results.append(wait_for("list", news="full")["entries"])
            client.send_line(b"still here")
            results.append(client.read_line())
        finally:
            os.kill(os.getpid(), signal.SIGTERM)

    values = json.loads(NODE) | {
        "listen": "127.0.0.1:0",
        "operator": "127.0.0.1:0",
        "discovery": "{}:{}".format(*discovery_of(first)),
    }
    file = tmp_path / "node.json"
    file.write_text(json.dumps(values))
    monkeypatch.setattr(logfmt, "configure", lambda node: lambda: None)
    logger, handler = logging.getLogger("cottonspread"), LogQueue()
    monkeypatch.setattr(logger, "handlers", [handler])
    monkeypatch.setattr(logger, "level", logging.INFO)
    logger.manager._clear_cache()
    old_handlers = {
        number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    }
    try:
        threading.Thread(target=send_signals, daemon=True).start()
        assert cli.main(["serve", "--config", str(file)]) == 0
    finally:
        for number, old_handler in old_handlers.items():
            signal.signal(number, old_handler)
    assert results == [b"UP ", ["kept", "why"], ["discovery", "types"], 2, b"still here"]


def test_the_last_answers_are_sent_before_the_node_is_done():
    node = Node(*config.read_node(NODE, {}))
    ours, theirs = socket.socketpair()
    end = ev.ConnectionEnd(True)
    node.listener = socket.create_server(("127.0.0.1", 0))
    node.workers.start_worker(end, theirs)
    node.execute(ev.Write(end, b"BUSY\r\n"))
    node.execute(ev.Exit())
    assert not node.join(0), "the process might end here, with the answer not yet written"
    node.workers.run_writer()
    assert node.join(0) and ours.recv(100) == b"BUSY\r\n"
