"""Compares event loops for the load generator: the same open loop on epoll, asyncio and uvloop, against one
acceptor.

`engines.py [RATE] [SECONDS]`: each engine alone on a core, in turn, three times; prints the lateness of its
calls and the CPU time per call. Only this comparison uses uvloop: `pip install uvloop` in addition to
requirements-dev.txt, otherwise it is left out.
"""

import asyncio
import multiprocessing
import os
import resource
import socket
import sys
import time

import numpy as np

from cottonspread.lab.loop import Loop, disable_gc
from cottonspread.lab.wire import now

LINE = b"OPEN 1 k c=farm-view,d=4800,g=g1\r\n"


def run_epoll(address, at):
    loop, late, left = Loop(), [], [len(at)]
    loop.spin = 400

    def call(n):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.connect_ex(address)
        sock.send(LINE)
        late.append(now() - at[n])
        if n + 1 < len(at):
            loop.at(at[n + 1], call, n + 1)

        def read(_):
            if sock.recv(4096):
                loop.unwatch(sock)
                sock.close()
                left[0] -= 1
                if not left[0]:
                    loop.stop()

        loop.watch(sock, read)

    disable_gc()
    loop.at(at[0], call, 0)
    loop.run()
    return late


def run_asyncio(address, at, runner):
    late = []

    class Client(asyncio.Protocol):
        def __init__(self, n, done):
            self.n, self.done = n, done

        def connection_made(self, transport):
            self.transport = transport
            transport.write(LINE)
            late.append(now() - at[self.n])

        def data_received(self, data):
            self.transport.close()
            if not self.done.done():
                self.done.set_result(None)

    async def call(loop, n):
        done = loop.create_future()
        await loop.create_connection(lambda: Client(n, done), *address)
        await done

    async def main():
        loop = asyncio.get_running_loop()
        tasks = []
        for n, due in enumerate(at):
            wait = (due - now()) / 1e6
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(loop.create_task(call(loop, n)))
        await asyncio.gather(*tasks)

    disable_gc()
    runner(main())
    return late


def run_engine(name, address, rate, seconds, core, out):
    os.sched_setaffinity(0, {core})
    start = now() + 200_000
    at = (
        (start + np.sort(np.random.default_rng(4).uniform(0, seconds * 1e6, int(rate * seconds))))
        .astype(int)
        .tolist()
    )
    if name == "epoll":
        late = run_epoll(address, at)
    elif name == "asyncio":
        late = run_asyncio(address, at, asyncio.run)
    else:
        import uvloop

        late = run_asyncio(address, at, uvloop.run)
    used = resource.getrusage(resource.RUSAGE_SELF)
    out.put(
        (
            name,
            *(round(float(v)) for v in np.percentile(late, (50, 99, 99.9))),
            max(late),
            round((used.ru_utime + used.ru_stime) / len(at) * 1e6),
        )
    )


def run_acceptor(address, core):
    from cottonspread.lab import acceptor

    os.sched_setaffinity(0, {core})
    acceptor.run(address)


def main(rate=2000.0, seconds=5.0):
    address, cores = ("127.99.0.1", 9900), sorted(os.sched_getaffinity(0))
    server = multiprocessing.Process(target=run_acceptor, args=(address, cores[0]), daemon=True)
    server.start()
    time.sleep(1)
    names = ["epoll", "asyncio"]
    try:
        import uvloop  # noqa: F401

        names.append("uvloop")
    except ImportError:
        pass
    print("engine, late us p50, p99, p99.9, max, CPU us a call (start included)")
    for _ in range(3):
        for name in names:
            out = multiprocessing.Queue()
            process = multiprocessing.Process(
                target=run_engine, args=(name, address, rate, seconds, cores[-1], out)
            )
            process.start()
            print(*out.get(timeout=60), flush=True)
            process.join()
    server.terminate()


if __name__ == "__main__":
    main(*map(float, sys.argv[1:]))
