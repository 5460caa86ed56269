"""A replica's I/O shell alone: split and invalid requests, slow, silent and too many clients, and storage."""

import os
import socket
import threading

import pytest
import shells

from cottonspread.configstore import messages as m
from cottonspread.configstore import requests, server, storage
from cottonspread.configstore.callers import CallError, Callers, now

RECORD = m.make_record(1, 1, m.Stage.EVERYWHERE, 0, '{"a": "\u00e9"}')
ACCEPT = m.Accept(base=m.EMPTY_POSITION, record=RECORD)
WATCH = m.WatchRequest(since=0, timeout_ms=5_000, report=m.NodeReport(node="n1"))


class Running:
    """A replica in a thread, without its peers."""

    def __init__(self, folder):
        listener = socket.create_server(("127.0.0.1", 0))
        self.address = listener.getsockname()
        new = not (folder / server.STATE_FILE).exists()
        self.server = server.Server("r0", listener, ("127.0.0.1:1", "127.0.0.1:2"), str(folder), new)
        self.thread = threading.Thread(target=self.server.run)
        self.thread.start()

    def connect(self, data=b""):
        sock = socket.create_connection(self.address, timeout=shells.WAIT)
        sock.sendall(data)
        return sock

    def end(self):
        self.server.stop()
        self.thread.join(shells.WAIT)
        assert not self.thread.is_alive()


@pytest.fixture
def running(tmp_path):
    made = Running(tmp_path / "state")
    yield made
    made.end()


def post(path, body, more=""):
    head = f"POST /api/configuration/{path} HTTP/1.1\r\nHost: x\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def watch(request=WATCH):
    return f"GET /api/configuration?{m.to_query(request)} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def answer(sock):
    """Reads the next response as (status, body); (0, b"") at the end of the connection."""
    file = sock.makefile("rb")
    first = file.readline()
    if not first:
        return 0, b""
    size = 0
    while line := file.readline().strip():
        if line.lower().startswith(b"content-length:"):
            size = int(line.split(b":")[1])
    return int(first.split()[1]), file.read(size)


def test_a_request_means_the_same_however_it_is_cut():
    whole = post("accept", m.encode(ACCEPT))
    for cut in range(1, len(whole)):
        reader = requests.RequestReader()
        reader.feed(whole[:cut])
        assert reader.next_request() is None, cut
        reader.feed(whole[cut:] + b"next")
        request = reader.next_request()
        message = server.read_message(request.head.method, request.head.target, request.body)
        assert message == ACCEPT and reader.data == b"next"


def test_a_head_is_read_once_however_slowly_the_body_follows(monkeypatch):
    """Guards against a crowd of slow writers that keeps others from their replies: the head, of very many
    short fields, was read again with each piece of the body.
    """
    heads = []
    monkeypatch.setattr(
        requests, "read_head", lambda data, read=requests.read_head: heads.append(1) or read(data)
    )
    whole = post("accept", b"x" * 3_000, "".join(f"{n:x}:\r\n" for n in range(1_300)))
    reader = requests.RequestReader()
    for at in range(len(whole)):
        assert reader.next_request() is None
        reader.feed(whole[at : at + 1])
    assert reader.next_request().body == b"x" * 3_000 and len(heads) == 1


def test_a_request_before_the_reply_to_the_one_before_is_refused_and_neither_is_served(running):
    """Guards against a backlog of requests: one client filled the buffer that all share, and what it had
    sent was served after it had left.
    """
    with running.connect(post("accept", m.encode(ACCEPT)) + post("state", b"{}")) as sock:
        status, body = answer(sock)
        assert status == 400 and b"before the reply" in body
        assert answer(sock) == (0, b""), "closed"
    with running.connect(post("state", b"{}")) as sock:
        assert m.decode(answer(sock)[1], m.StateReply).accepted == m.EMPTY_POSITION
    assert running.server._buffered == 0


@pytest.mark.parametrize(
    "data, status, expected",
    [
        (b"nonsense\r\n\r\n", 400, b"invalid request line"),
        (b"GET " + b"x" * 10_000, 400, b"head is too long"),
        (b"GET / HTTP/1.1\r\n\r\n", 404, b"no such endpoint"),
        (b"GET /api/configuration?since=x HTTP/1.1\r\n\r\n", 400, b"query"),
        (post("accept", b"{}"), 400, b"Accept"),
        (post("accept", b"\xff\xfe"), 400, b"Accept"),
        (post("nothing", b"{}"), 404, b"no such endpoint"),
        (post("accept", b"", "Transfer-Encoding: chunked\r\n"), 400, b"Content-Length"),
        (b"POST /api/configuration/state HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, b"Content-Length"),
        (
            b"POST /api/configuration/state HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n",
            400,
            b"body is longer than 4194304 bytes",
        ),
    ],
)
def test_an_invalid_request_gets_an_error_and_the_replica_goes_on(running, data, status, expected):
    with running.connect(data) as sock:
        got, body = answer(sock)
        assert got == status and expected in body
        assert answer(sock) == (0, b""), "closed"
    with running.connect(post("state", b"{}")) as sock:
        assert answer(sock)[0] == 200


def test_a_watch_waits_for_a_commit_and_one_of_a_closed_connection_is_dropped(running):
    sockets = [running.connect(watch()) for _ in range(3)]
    shells.until(lambda: running.server.core.watches == 3, "three watches are open")
    sockets.pop().close()
    shells.until(lambda: running.server.core.watches == 2, "one watch is dropped")
    with running.connect(post("accept", m.encode(ACCEPT))) as sock:
        assert m.decode(answer(sock)[1], m.AcceptReply).accepted
        sock.sendall(post("commit", m.encode(m.Commit(record=RECORD))))
        assert m.decode(answer(sock)[1], m.CommitReply).committed, "on the same connection"
    for sock in sockets:
        assert m.decode(answer(sock)[1], m.WatchReply).record == RECORD
        sock.close()


def test_slow_silent_and_idle_clients_are_disconnected(running, monkeypatch):
    waits = {"REQUEST_TIMEOUT": b"GET /api", "IDLE_TIMEOUT": b""}
    for name, data in waits.items():
        others = waits.keys() - {name}
        with monkeypatch.context() as patch:
            patch.setattr(server, "SWEEP_INTERVAL", 10_000)
            patch.setattr(server, name, 100_000)
            for other in others:
                patch.setattr(server, other, 3600 * m.SECOND)
            with running.connect(data) as sock:
                assert answer(sock) == (0, b""), name


def test_a_client_that_does_not_read_its_reply_is_disconnected_and_a_watch_is_not(running, monkeypatch):
    monkeypatch.setattr(server, "SWEEP_INTERVAL", 10_000)
    for name in ("SEND_TIMEOUT", "REQUEST_TIMEOUT", "IDLE_TIMEOUT"):
        monkeypatch.setattr(server, name, 300_000)
    body = '"' + "x" * (m.MAX_BODY_LENGTH - 2) + '"'
    record = m.make_record(1, 1, m.Stage.EVERYWHERE, 0, body)
    running.server.core.state = m.ReplicaState(accepted=record, committed=record, good=record)
    running.server._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    later = m.WatchRequest(since=1, timeout_ms=3_000, report=m.NodeReport(node="n1"))
    with running.connect(watch(later)) as waits, socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(running.address)
        sock.sendall(post("state", b"{}"))
        connections = running.server._connections
        slow = shells.until(
            lambda: [one for one in list(connections.values()) if one.unsent], "its reply is partly sent"
        )[0]
        shells.until(lambda: slow.sock not in connections, "it is disconnected")
        assert running.server.core.watches == 1, "before the watch has ended"
        assert answer(waits)[0] == 200, "a watch may take longer than any of these"


def test_more_connections_than_there_is_room_for_are_closed(running, monkeypatch):
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 2)
    with running.connect(watch()) as one, running.connect(watch()) as other:
        shells.until(lambda: running.server.core.watches == 2, "two watches are open")
        with running.connect() as third:
            assert answer(third) == (0, b"")
        other.close()
        shells.until(lambda: running.server.core.watches == 1, "one watch is dropped")
        with running.connect(post("state", b"{}")) as third:
            assert answer(third)[0] == 200
        assert one.fileno() >= 0


def test_partially_received_bytes_are_bounded_over_all_connections(running, monkeypatch):
    monkeypatch.setattr(server, "MAX_BUFFERED_BYTES", 3_000)
    part = b"POST /api/configuration/accept HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + b"x" * 2_000
    with running.connect(part) as held:
        part_size = 2_000  # a head that has been read is not kept
        shells.until(lambda: running.server._buffered == part_size, "the partial request is buffered")
        with running.connect(part) as over:
            assert answer(held) == (0, b""), "the one that has sent nothing for longer is closed"
            shells.until(lambda: running.server._buffered == part_size, "the later one is kept")
            with running.connect(post("state", b"{}")) as whole:
                assert answer(whole)[0] == 200
            shells.until(lambda: running.server._buffered == part_size, "the whole one is not counted")
            over.close()
    shells.until(lambda: running.server._buffered == 0, "its bytes are no longer counted")


def test_what_is_acknowledged_is_on_the_disk(running, tmp_path):
    with running.connect(post("accept", m.encode(ACCEPT))) as sock:
        assert m.decode(answer(sock)[1], m.AcceptReply).accepted
        path = str(tmp_path / "state" / server.STATE_FILE)
        assert storage.read(path, m.ReplicaState) == m.ReplicaState(accepted=RECORD)


def test_what_cannot_be_stored_is_not_acknowledged(running, monkeypatch):
    def full(path, message):
        raise OSError("No space left on device")

    monkeypatch.setattr(storage, "write", full)
    with running.connect(post("accept", m.encode(ACCEPT))) as sock:
        reply = m.decode(answer(sock)[1], m.AcceptReply)
        assert not reply.accepted and "No space left" in reply.why
    monkeypatch.undo()
    with running.connect(post("accept", m.encode(ACCEPT))) as sock:
        assert m.decode(answer(sock)[1], m.AcceptReply).accepted


def test_a_file_is_whole_synced_with_its_folder_and_refused_with_any_byte_changed(tmp_path, monkeypatch):
    path, synced, fsync = str(tmp_path / "x.json"), [], os.fsync

    def watched(file):
        synced.append(os.readlink(f"/proc/self/fd/{file}"))
        fsync(file)

    monkeypatch.setattr(os, "fsync", watched)
    storage.write(path, RECORD)
    assert synced[0].startswith(path) and synced[1] == str(tmp_path) and len(synced) == 2
    assert storage.read(path, m.Record) == RECORD and os.listdir(tmp_path) == ["x.json"]
    with open(path, "rb") as file:
        good = file.read()
    for n in range(len(good) - 1):  # the last is the end of the line
        for bad in (good[:n], good[:n] + bytes([good[n] ^ 1]) + good[n + 1 :]):
            with open(path, "wb") as file:
                file.write(bad)
            with pytest.raises(storage.StorageError):
                storage.read(path, m.Record)
    storage.remove(path)
    storage.remove(path)
    assert storage.read(path, m.Record) is None


def test_calls_end_in_time_and_all_at_a_stop():
    silent = socket.create_server(("127.0.0.1", 0))
    name = f"127.0.0.1:{silent.getsockname()[1]}"
    callers, outcomes = Callers(), []
    callers.call(name, m.ReadState(), now() + 200_000, outcomes.append)
    shells.until(lambda: outcomes, "the first call has timed out")
    callers.call(name, m.ReadState(), now() + 3600 * m.SECOND, outcomes.append)
    callers.stop()
    shells.until(lambda: len(outcomes) == 2, "the second call is aborted")
    callers.call("127.0.0.1:1", m.ReadState(), now() + m.SECOND, outcomes.append)
    assert [type(one) for one in outcomes] == [CallError] * 3
    silent.close()


def test_a_replica_that_has_lost_its_file_does_not_take_part(tmp_path):
    """It used to start empty like a new one, and could accept a second body for an accepted version."""
    path = str(tmp_path / server.STATE_FILE)
    with pytest.raises(storage.StorageError, match="not found"):
        server.read_state(path, new=False)
    assert server.read_state(path, new=True) == m.ReplicaState()
    assert server.read_state(path, new=False) == m.ReplicaState()
    with pytest.raises(storage.StorageError, match="already exists"):
        server.read_state(path, new=True)
