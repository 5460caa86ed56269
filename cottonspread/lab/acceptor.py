"""Answers every first line with UP by itself: what a generator can do is measured against
something that does next to nothing.
"""

import signal

from cottonspread.lab import limits
from cottonspread.lab.loop import Loop, disable_gc, listener


def run(address):
    limits.raise_descriptor_limit()
    loop, conns = Loop(), {}
    loop.spin = 2_000_000  # always awake: a core that sleeps is a virtual machine's to be taken away
    server_socket = listener(address, 4096, "acceptor")

    def accept(_):
        for _ in range(16):
            try:
                sock = server_socket.accept()[0]
            except OSError:
                return
            sock.setblocking(False)
            conns[sock] = None
            read(sock)  # in most cases its line is here already
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
