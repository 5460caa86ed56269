"""`instance`: one node of a fleet as a process of its own.

Only the supervisor starts it. It reads its configuration from standard input, as one JSON line, and talks to
the supervisor over its control socket.

It gets ready (threads started, a server list known, a PING answered) before it accepts connections. When no
supervisor has been connected for `orphan_s` it stops itself, so that no instance runs unsupervised for ever.
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
from cottonspread.fleet.connection import EARLIER_DESCRIPTOR_MARK, JsonConnection
from cottonspread.net import events as ev
from cottonspread.net import logfmt
from cottonspread.net.node import Node

log = logging.getLogger("cottonspread.instance")

STATUS_INTERVAL = 0.5  # seconds between two status messages
POLL_INTERVAL = 0.05  # seconds, while the instance starts or stops
# Bytes of the configuration that stand in the introduction itself, where supervisors of earlier releases read
# it. A longer one is passed on request: it would stand in front of the status.
MAX_INLINE_CONFIGURATION = 1 << 16


class Instance:
    """The node of this process, its state and its control socket."""

    def __init__(self, start_message):
        """`start_message`: from the supervisor, see `fleet/`."""
        self.start_message, self.name, self.generation = (
            start_message,
            start_message["name"],
            start_message["generation"],
        )
        self.start, self.live = json.loads(start_message["start"]), start_message["live"]
        self.state, self.node, self.connections, self.refused = "starting", None, [], None
        own = self.start["instance"]
        self.orphan_timeout = own["orphan_s"]
        self.lock = control.Lock(os.path.join(start_message["folder"], f"{self.name}.lock"))
        self.alone_since, self.status_sent_at, self.accept_deadline = time.monotonic(), 0.0, 0.0
        self.ids_path = os.path.join(start_message["folder"], f"{self.name}.ids")
        path = os.path.join(start_message["folder"], f"{self.name}.list.json")
        parts = self.read(json.loads(self.live))
        self.initial_list = InitialList(parts, path if own["save_list"] else None, own["list_wait_s"])
        self.node = Node(*parts, on_list=self.initial_list.on_list)

    def read(self, live):
        """Reads the node's configuration; `live`: the settings that can change while the instance runs."""
        own = {key: value for key, value in live.items() if key != "level"}
        return list(config.read_node(json.dumps(self.start["config"] | own), {}))

    def run(self):
        """Starts the node and serves the control socket until the node has ended; returns the exit code."""
        self.selector = selectors.DefaultSelector()
        self.control = control.listen(self.start_message["socket"])
        self.control.setblocking(False)
        self.selector.register(self.control, selectors.EVENT_READ, None)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        stop_requested = threading.Event()
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda n, _: stop_requested.set() if n == signal.SIGTERM else None)
        self.node.start(socket.socket(fileno=self.start_message["listener"]))
        self.set_state("waiting")
        try:
            while not self.node.join(0):
                for key, _ in self.selector.select(
                    POLL_INTERVAL if self.state in ("waiting", "prepared", "leaving") else STATUS_INTERVAL / 2
                ):
                    self.accept_connection() if key.data is None else self.handle_messages(key.data)
                if stop_requested.is_set() and self.state != "leaving":
                    self.leave(False)
                self.poll()
        finally:
            control.unlink(self.start_message["socket"])
        return 0

    def poll(self):
        """Does the periodic work: state changes, the check for a supervisor, status messages."""
        now = time.monotonic()
        if self.state == "waiting" and self.initial_list.ready(self.node):
            self.node.id_sharing.create(self.ids_path)
            self.set_state("prepared")
        self.node.id_sharing.check(predecessor_may_join=self.state != "serving")
        if self.accept_deadline:
            self.try_start_accepting(now)
        if self.connections:
            self.alone_since = now
        elif now - self.alone_since > self.orphan_timeout and self.state != "leaving":
            log.error("orphaned", extra={"pairs": {"s": self.orphan_timeout}})
            self.leave(False)
        if now - self.status_sent_at >= STATUS_INTERVAL:
            self.send_status()

    def set_state(self, state):
        """Changes the state, logs it and tells the supervisor."""
        self.state = state
        log.info("state", extra={"pairs": {"state": state}})
        self.send_status()

    def send_status(self):
        """Sends the status on all control connections."""
        self.status_sent_at = time.monotonic()
        status = {
            "state": self.state,
            "live": control.digest(self.live),
            "refused": self.refused,
            "pid": os.getpid(),
            "version": __version__,
            **self.node.status(),
        }
        for connection in list(self.connections):
            if not connection.send({"status": status}):
                self.close_connection(connection)

    def accept_connection(self):
        """Accepts a control connection and introduces the instance on it."""
        connection = JsonConnection(self.control.accept()[0])
        connection.watch(self.selector, connection)
        self.connections.append(connection)
        introduction = {
            "hello": self.name,
            "generation": self.generation,
            "pid": os.getpid(),
            "describes": True,  # it answers "describe"
        }
        configuration = self.configuration()
        if sum(map(len, configuration.values())) <= MAX_INLINE_CONFIGURATION:
            introduction |= configuration
        connection.send(introduction)
        self.send_status()

    def configuration(self):
        """The texts of the spec that this process runs."""
        return {"start": self.start_message.get("spec", self.start_message["start"]), "live": self.live}

    def describe(self, connection):
        """Passes on the configuration and the listening socket."""
        connection.send({"description": self.name, **self.configuration()}, [self.node.listener])

    def close_connection(self, connection):
        """Closes a control connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            connection.close()

    def handle_messages(self, connection):
        """Reads and executes the supervisor's commands."""
        if connection not in self.connections:
            return
        messages, is_open = connection.receive()
        for message in messages:
            do = message.get("do")
            if do == "take" and self.state == "prepared":
                self.accept_deadline = time.monotonic() + 10
                self.try_start_accepting(time.monotonic())
            elif do == "leave" and self.state != "leaving":
                self.leave(message["handed"])
            elif do == "apply":
                self.apply(message["live"])
            elif do == "describe":
                self.describe(connection)
            elif do == "socket":  # a supervisor of an earlier release
                self.send_listener(connection)
        if not is_open or not connection.flush():
            self.close_connection(connection)

    def send_listener(self, connection):
        """Passes on the listening socket, as supervisors of earlier releases read it: with one byte."""
        connection.sock.settimeout(STATUS_INTERVAL)
        try:
            socket.send_fds(connection.sock, [EARLIER_DESCRIPTOR_MARK], [self.node.listener.fileno()])
        except OSError as error:
            log.error("socket-not-passed", extra={"pairs": {"why": error}})
        finally:
            connection.sock.setblocking(False)

    def try_start_accepting(self, now):
        """Starts accepting connections once this process holds the lock on the instance's name.

        The kernel grants the lock to one process at a time, whatever supervisors assume. Without it by the
        deadline the process exits.
        """
        if self.lock.acquire():
            self.accept_deadline = 0.0
            self.node.start_accepting()
            self.set_state("serving")
        elif now > self.accept_deadline:
            log.error("held", extra={"pairs": {"by": self.lock.holder_pid()}})
            os._exit(1)

    def leave(self, has_successor):
        """Stops accepting connections and shuts down; `has_successor`: it has the listening socket."""
        self.accept_deadline = 0.0
        if has_successor:
            self.node.id_sharing.join(self.ids_path)
        self.node.shut_down(has_successor)
        self.lock.release()
        self.set_state("leaving")

    def apply(self, live):
        """Applies changed live settings: all of them in one event of the reducer, or none."""
        values = json.loads(live)
        try:
            parts = self.read(values)
        except config.ConfigurationError as error:
            self.refused = {"live": control.digest(live), "why": str(error)}
            self.node.post_urgent(ev.ReloadRejected())
            log.error("reload", extra={"pairs": {"why": error, "kept": "the old configuration"}})
            self.send_status()
            return
        logging.getLogger("cottonspread").setLevel(values["level"].upper())
        self.node.reload(*parts[:-1])
        self.live, self.refused = live, None
        changed = {key: values[key] for key in ("discovery", "level")}
        log.info("reload", extra={"pairs": changed | {"live": control.digest(live)}})
        self.send_status()


def instance(args):
    """Runs an instance; returns its exit code."""
    start_message = json.loads(sys.stdin.readline())
    start = json.loads(start_message["start"])
    flush_log = logfmt.configure(
        start_message["name"],
        json.loads(start_message["live"])["level"].upper(),
        start["format"],
        generation=start_message["generation"],
    )
    try:
        return Instance(start_message).run()
    except (config.ConfigurationError, OSError) as error:
        log.error("not-started", extra={"pairs": {"why": error}})
        return 2
    finally:
        flush_log()


def add(commands):
    """Adds the sub-command to the parser, without help: only the supervisor uses it."""
    command = commands.add_parser("instance")
    command.add_argument("--socket", required=True, help="its control socket, which also identifies it")
    command.set_defaults(run=instance)
