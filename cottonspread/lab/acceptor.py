"""A node without hosts that answers every first line with UP itself.

It does as little work as possible: used to measure the capacity of the load generator itself.
"""

import signal

from cottonspread.lab import limits
from cottonspread.lab.loop import Loop, disable_gc, listener


def run(address):
    """Serves the address until SIGTERM."""
    limits.raise_descriptor_limit()
    loop, conns = Loop(), {}
    loop.spin = 2_000_000  # always busy-waiting: a hypervisor may take away a core that sleeps
    server_socket = listener(address, 4096, "acceptor")

    def accept(_):
        for _ in range(16):
            try:
                sock = server_socket.accept()[0]
            except OSError:
                return
            sock.setblocking(False)
            conns[sock] = None
            read(sock)  # in most cases its first line has arrived already
            if sock in conns:
                loop.watch(sock, lambda _, sock=sock: read(sock))

    def read(sock):
        try:
            data = sock.recv(4096)
            if data:
                sock.send(
                    b"PONG\r\n"
                    if data.startswith(b"PING")
                    else b"UP 1\r\n"
                    if data.startswith(b"OPEN")
                    else data
                )
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        loop.unwatch(sock)
        sock.close()
        conns.pop(sock, None)

    signal.signal(signal.SIGTERM, lambda *_: loop.stop())
    loop.watch(server_socket, accept)
    disable_gc()
    loop.run()
    return 0
