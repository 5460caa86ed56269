"""Control connections of a fleet between the two ends of a socket pair with small buffers."""

import os
import selectors
import socket
import tempfile

import pytest

from cottonspread.fleet.connection import BackgroundWriter, JsonConnection

LONG = {"text": "x" * 300_000}  # more than a socket takes


@pytest.fixture
def ends():
    pair = [JsonConnection(sock) for sock in socket.socketpair()]
    for end in pair:
        end.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    yield pair
    for end in pair:
        end.close()


def pump(selector, wanted):
    """Runs the event loop until so many objects have come, none of them waited for by a further send."""
    received = []
    for _ in range(10_000):
        for key, _ in selector.select(1):
            messages, is_open = key.data.receive()
            assert is_open and key.data.flush()
            received += messages
        if len(received) >= wanted:
            return received
    raise AssertionError(f"{len(received)} of {wanted} objects have come")


def test_what_the_socket_does_not_take_is_written_as_soon_as_the_other_side_reads(ends):
    """Guards against a long message whose rest left with the next one, up to half a second later."""
    one, other = ends
    with selectors.DefaultSelector() as selector:
        one.watch(selector, one)
        assert one.send(LONG) and one.send({"word": 1})
        assert one.events() == selectors.EVENT_READ | selectors.EVENT_WRITE
        other.watch(selector, other)
        assert pump(selector, 2) == [LONG, {"word": 1}]
        assert one.events() == selectors.EVENT_READ, "it would be woken again and again"
        stop_watching(ends)


def test_descriptors_come_with_their_message_behind_others_and_between_them(ends):
    """Guards against a descriptor that was looked for in the byte of another message, and lost."""
    one, other = ends
    with selectors.DefaultSelector() as selector, tempfile.TemporaryFile() as file:
        file.write(b"kept")
        file.flush()
        one.watch(selector, one)
        other.watch(selector, other)
        one.send(LONG)
        one.send(LONG, [file, file])
        one.send({"word": 1})
        assert pump(selector, 3)[1:] == [LONG, {"word": 1}]
        assert [os.pread(kept, 10, 0) for kept in other.descriptors] == [b"kept", b"kept"]
        stop_watching(ends)


def stop_watching(ends):
    for end in ends:
        end.unwatch()


def test_a_text_is_written_to_a_pipe_as_the_other_side_reads():
    """Guards against a supervisor that waited in a write to the input of a program that does not read."""
    text = b"x" * 1_000_000
    read_end, write_end = os.pipe()
    with selectors.DefaultSelector() as selector, open(read_end, "rb") as reader:
        BackgroundWriter(selector, os.fdopen(write_end, "wb", buffering=0), text)
        received = b""
        while selector.get_map():
            for key, _ in selector.select(0):
                key.data()
            received += os.read(read_end, 1 << 16)
        assert received + reader.read() == text


def test_a_pipe_whose_other_side_has_ended_is_closed():
    read_end, write_end = os.pipe()
    pipe = os.fdopen(write_end, "wb", buffering=0)
    with selectors.DefaultSelector() as selector:
        writer = BackgroundWriter(selector, pipe, b"x" * 1_000_000)
        os.close(read_end)
        writer.write()
        assert pipe.closed and not selector.get_map()


def test_a_descriptor_of_an_earlier_release_between_two_lines_is_taken(ends):
    one, other = ends
    with tempfile.TemporaryFile() as file:
        one.send({"word": 1})
        socket.send_fds(one.sock, [b"."], [file.fileno()])
        one.send({"word": 2})
        messages = other.receive()[0] + other.receive()[0]
        assert messages == [{"word": 1}, {"word": 2}] and len(other.descriptors) == 1


def test_a_connection_whose_other_side_never_reads_is_given_up(ends):
    one, _ = ends
    sent = [one.send(LONG) for _ in range(8)]  # the first, and 1 MiB behind it
    assert sent[0] and not sent[-1]
