"""Transfer of an established connection between processes, where the sender dies at each step.

See also `tests/test_succession.py` and `tests/test_replacement.py`.
"""

import contextlib
import socket

import pytest
from stubs import WAIT

from cottonspread.front import handover
from cottonspread.net import connection_transfer

MESSAGE = handover.pack_connection(handover.OpenConnection("id", "plain", "s-1", 1, 2))


def receive_after_sender_died(message, fds=2):
    """What the successor does with a message whose sender has died: (the connections it accepted, the other
    sides of the two sockets).
    """
    ours, theirs = socket.socketpair()
    ends = [socket.socketpair() for _ in range(2)]
    socket.send_fds(theirs, [message], [end.fileno() for end, _ in ends][:fds])
    theirs.close()
    for end, _ in ends:
        end.close()  # the dead sender's copies
    accepted = []
    with ours, contextlib.suppress(OSError):  # nobody receives the answer
        connection_transfer.receive_connections(
            ours, lambda connection, client, host: accepted.append((connection, client, host)) or True
        )
    return accepted, [other for _, other in ends]


def test_a_connection_sent_completely_is_the_successors_even_if_the_sender_died():
    accepted, others = receive_after_sender_died(MESSAGE)
    ((connection, *sockets),) = accepted
    assert connection.id == "id"
    for sock, other in zip(sockets, others, strict=True):
        other.settimeout(WAIT)
        sock.sendall(b"M 1\r\n")
        assert other.recv(10) == b"M 1\r\n"
        sock.close()
        other.close()


@pytest.mark.parametrize("cut", (1, len(MESSAGE) // 2, len(MESSAGE) - 2))
@pytest.mark.parametrize("fds", (2, 1))
def test_a_connection_sent_partly_is_closed(cut, fds):
    """The sender died while sending: the received sockets are closed, and both sides see the end."""
    accepted, others = receive_after_sender_died(MESSAGE[:cut], fds)
    assert not accepted
    for other in others:
        other.settimeout(WAIT)
        assert other.recv(10) == b""
        other.close()


def test_a_complete_message_without_both_sockets_is_rejected():
    accepted, others = receive_after_sender_died(MESSAGE, 1)
    assert not accepted
    for other in others:
        other.settimeout(WAIT)
        assert other.recv(10) == b""
        other.close()
