"""Standing connections on their way from a process to the one that replaces it: both sockets in one
message, one connection after the other, each answered. A message without an answer is the successor's all
the same, unless the way to it has broken.
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
    """The predecessor's side, in a thread of its own: a successor that hangs
    holds up one connection, and nobody else.
    """

    def __init__(self, sock, post):
        self.sock, self.post, self.orders = sock, post, queue.SimpleQueue()

    def run(self):
        while True:
            order = self.orders.get()
            self.post(ev.Passed(order.conn, *self.send(order)))

    def send(self, order):
        """Whether the successor has it, and if not, whether it was just being read."""
        workers = order.client.worker, order.host.worker
        gatherers = [worker.gatherer for worker in workers]
        if None in gatherers or not lines.let_go(gatherers):
            return False, True
        try:
            socket.send_fds(
                self.sock,
                [handover.pack_connection(order.standing)],
                [worker.sock.fileno() for worker in workers],
            )
            taken = self.sock.recv(1) == ACCEPTED
        except OSError as fault:
            log.warning("passing", extra={"pairs": {"why": fault}})
            taken = False
        for worker in workers if not taken else ():
            if worker.gatherer.take_back():
                worker.orders.put(ev.Read(worker.end))
        return taken, False


def receive_connections(sock, adopt):
    """The successor's side, until the predecessor has ended.

    `adopt(standing, client, host)`: whether it is taken, and then its own.
    """
    while True:
        data, fds, _, _ = socket.recv_fds(sock, 1 << 16, 2, socket.MSG_CMSG_CLOEXEC)
        if not data:
            return
        while not data.endswith(b"\n") and (more := sock.recv(1 << 16)):
            data += more
        sockets, taken = [socket.socket(fileno=fd) for fd in fds], False
        try:
            standing, (client, host) = handover.unpack_connection(data), sockets
            taken = adopt(standing, client, host)
        except ValueError as fault:
            log.warning("passing", extra={"pairs": {"why": fault}})
            for one in sockets:
                one.close()
        sock.sendall(ACCEPTED if taken else DECLINED)
