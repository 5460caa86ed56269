"""Transfers established connections to the process that replaces this one, over a Unix socket.

Each connection is one message with both sockets, and each message is answered before the next. A connection
whose message was sent belongs to the successor, even without an answer, unless the Unix socket has failed.
"""

import logging
import queue
import socket

from cottonspread.front import handover
from cottonspread.net import events as ev
from cottonspread.net import lines

log = logging.getLogger("cottonspread.passing")

ACCEPTED, DECLINED = b"y", b"n"


class ConnectionSender:
    """The predecessor's side, in its own thread: a hanging successor delays only one connection."""

    def __init__(self, sock, post):
        """`sock`: connected to the successor; `post(event)` passes events to the reducer."""
        self.sock, self.post, self.transfers = sock, post, queue.SimpleQueue()

    def run(self):
        """The thread: transfers the connections put into `transfers`, one at a time."""
        while True:
            transfer = self.transfers.get()
            self.post(ev.TransferDone(transfer.conn, *self.send(transfer)))

    def send(self, transfer):
        """Transfers one connection: (whether the successor has it; if not, whether it was busy reading)."""
        workers = transfer.client.worker, transfer.host.worker
        readers = [worker.line_reader for worker in workers]
        if None in readers or not lines.try_release(readers):
            return False, True
        try:
            socket.send_fds(
                self.sock,
                [handover.pack_connection(transfer.connection)],
                [worker.sock.fileno() for worker in workers],
            )
            accepted = self.sock.recv(1) == ACCEPTED
        except OSError as error:
            log.warning("passing", extra={"pairs": {"why": error}})
            accepted = False
        for worker in workers if not accepted else ():
            if worker.line_reader.reclaim():
                worker.effects.put(ev.Read(worker.end))
        return accepted, False


def receive_connections(sock, adopt):
    """The successor's side: receives connections until the predecessor has closed the Unix socket.

    `adopt(connection, client, host)` takes ownership of the two sockets and returns True, or returns False.
    """
    while True:
        data, fds, _, _ = socket.recv_fds(sock, 1 << 16, 2, socket.MSG_CMSG_CLOEXEC)
        if not data:
            return
        while not data.endswith(b"\n") and (more := sock.recv(1 << 16)):
            data += more
        sockets, accepted = [socket.socket(fileno=fd) for fd in fds], False
        try:
            connection, (client, host) = handover.unpack_connection(data), sockets
            accepted = adopt(connection, client, host)
        except ValueError as error:
            log.warning("passing", extra={"pairs": {"why": error}})
            for received in sockets:
                received.close()
        sock.sendall(ACCEPTED if accepted else DECLINED)
