"""`instance`: one node of a fleet as a process of its own.

Started by the supervisor alone, which tells it on standard input, one JSON line, what it
is; it answers on its control socket.

It prepares itself (threads, a list, a PING answered) before it takes any connection. When no supervisor has
been connected for `orphan_s`, it stops itself: nothing serves unseen for ever.
"""

import json
import logging
import os
import selectors
import signal
import socket
import sys
import threading
import time

from cottonspread import __version__, config
from cottonspread.cli.initial_list import InitialList
from cottonspread.fleet import control
from cottonspread.net import events as ev
from cottonspread.net import logfmt
from cottonspread.net.node import Node

log = logging.getLogger("cottonspread.instance")

BEAT = 0.5  # seconds between two signs of life
LOOK = 0.05  # while it prepares itself


class Instance:
    def __init__(self, told):
        self.told, self.name, self.generation = told, told["name"], told["generation"]
        self.start, self.live = json.loads(told["start"]), told["live"]
        self.state, self.node, self.lines, self.refused = "starting", None, [], None
        own = self.start["instance"]
        self.orphan = own["orphan_s"]
        self.lock = control.Lock(os.path.join(told["folder"], f"{self.name}.lock"))
        self.alone_since, self.beat_at, self.take_by = time.monotonic(), 0.0, 0.0
        path = os.path.join(told["folder"], f"{self.name}.list.json")
        parts = self.read(json.loads(self.live))
        self.initial_list = InitialList(parts, path if own["save_list"] else None, own["list_wait_s"])
        self.node = Node(*parts, keep=self.initial_list.on_list)

    def read(self, live):
        """The parts of the node's configuration."""
        own = {key: value for key, value in live.items() if key != "level"}
        return list(config.read_node(json.dumps(self.start["config"] | own), {}))

    def run(self):
        self.selector = selectors.DefaultSelector()
        self.control = control.listen(self.told["socket"])
        self.control.setblocking(False)
        self.selector.register(self.control, selectors.EVENT_READ, None)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        asked = threading.Event()
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda n, _: asked.set() if n == signal.SIGTERM else None)
        self.node.start(socket.socket(fileno=self.told["listener"]))
        self.turn("waiting")
        try:
            while not self.node.join(0):
                for key, _ in self.selector.select(
                    LOOK if self.state in ("waiting", "prepared", "leaving") else BEAT / 2
                ):
                    self.welcome() if key.data is None else self.hear(key.data)
                if asked.is_set() and self.state != "leaving":
                    self.leave(False)
                self.look()
        finally:
            control.unlink(self.told["socket"])
        return 0

    def look(self):
        now = time.monotonic()
        if self.state == "waiting" and self.initial_list.ready(self.node):
            self.turn("prepared")
        if self.take_by:
            self.try_take(now)
        if self.lines:
            self.alone_since = now
        elif now - self.alone_since > self.orphan and self.state != "leaving":
            log.error("orphaned", extra={"pairs": {"s": self.orphan}})
            self.leave(False)
        if now - self.beat_at >= BEAT:
            self.tell()

    def turn(self, state):
        self.state = state
        log.info("state", extra={"pairs": {"state": state}})
        self.tell()

    def tell(self):
        self.beat_at = time.monotonic()
        status = {
            "state": self.state,
            "live": control.digest(self.live),
            "refused": self.refused,
            "pid": os.getpid(),
            "version": __version__,
            **self.node.status(),
        }
        for line in list(self.lines):
            if not line.send({"status": status}):
                self.drop(line)

    def welcome(self):
        line = control.JsonConnection(self.control.accept()[0])
        self.selector.register(line.sock, selectors.EVENT_READ, line)
        self.lines.append(line)
        line.send(
            {
                "hello": self.name,
                "generation": self.generation,
                "pid": os.getpid(),
                "start": self.told.get("spec", self.told["start"]),
                "live": self.live,
            }
        )
        self.tell()

    def drop(self, line):
        if line in self.lines:
            self.lines.remove(line)
            self.selector.unregister(line.sock)
            line.sock.close()

    def hear(self, line):
        if line not in self.lines:
            return
        said, stands = line.receive()
        for one in said:
            do = one.get("do")
            if do == "take" and self.state == "prepared":
                self.take_by = time.monotonic() + 10
                self.try_take(time.monotonic())
            elif do == "leave" and self.state != "leaving":
                self.leave(one["handed"])
            elif do == "apply":
                self.apply(one["live"])
            elif do == "socket":
                line.sock.setblocking(True)
                socket.send_fds(line.sock, [b"."], [self.node.listener.fileno()])
                line.sock.setblocking(False)
        if not stands:
            self.drop(line)

    def try_take(self, now):
        """The name is held by one process at a time, whatever supervisors think: the
        kernel keeps the lock.
        """
        if self.lock.acquire():
            self.take_by = 0.0
            self.node.take()
            self.turn("serving")
        elif now > self.take_by:
            log.error("held", extra={"pairs": {"by": self.lock.holder_pid()}})
            os._exit(1)

    def leave(self, handed):
        self.take_by = 0.0
        self.node.leave(handed)
        self.lock.release()
        self.turn("leaving")

    def apply(self, live):
        """Takes over another live part, all of it in one event of the reducer, or none of it."""
        said = json.loads(live)
        try:
            parts = self.read(said)
        except config.ConfigurationError as fault:
            self.refused = {"live": control.digest(live), "why": str(fault)}
            self.node.hasten(ev.NotRetuned())
            log.error("reload", extra={"pairs": {"why": fault, "kept": "the old configuration"}})
            self.tell()
            return
        logging.getLogger("cottonspread").setLevel(said["level"].upper())
        self.node.retune(*parts[:-1])
        self.live, self.refused = live, None
        told = {key: said[key] for key in ("discovery", "level")}
        log.info("reload", extra={"pairs": told | {"live": control.digest(live)}})
        self.tell()


def instance(given):
    told = json.loads(sys.stdin.readline())
    start = json.loads(told["start"])
    write_out = logfmt.start(
        told["name"],
        json.loads(told["live"])["level"].upper(),
        start["format"],
        generation=told["generation"],
    )
    try:
        return Instance(told).run()
    except (config.ConfigurationError, OSError) as fault:
        log.error("not-started", extra={"pairs": {"why": fault}})
        return 2
    finally:
        write_out()


def add(commands):
    command = commands.add_parser("instance")  # not for hands
    command.add_argument("--socket", required=True, help="its control socket; also what it is known by")
    command.set_defaults(run=instance)
