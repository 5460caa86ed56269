"""Finds the instances of an earlier supervisor and asks all of them at once who they are.

An instance counts as dead by evidence alone: its process has ended, or nothing has come from it for a given
time. One that answers slowly, or before which much is queued, is waited for.
"""

import contextlib
import logging
import os
import selectors
import signal
import socket
import time
from dataclasses import dataclass, field

from cottonspread.fleet import control
from cottonspread.fleet import plan as plans
from cottonspread.fleet.connection import JsonConnection

log = logging.getLogger("cottonspread.fleet")

RETRY_INTERVAL = 0.05  # seconds between two attempts to connect, and two looks at the time
KILL_TIMEOUT = 5.0  # seconds for killed processes to end
COMMAND_SOCKET = "fleet.sock"


@dataclass(eq=False)
class FoundInstance:
    """An instance that runs, and what it has told so far."""

    path: str  # of its control socket
    pid: int
    pidfd: int
    heard_at: float  # when anything last came from it
    connection: JsonConnection = None
    introduction: dict = None
    status: dict = None
    configuration: dict = None
    listener: socket.socket = None
    asked: bool = False  # it was asked for its listening socket and its configuration
    spec: plans.InstanceSpec = None
    failure: str = ""
    received_bytes: int = field(default=0)

    @property
    def key(self):
        """Its name and generation."""
        return self.introduction["hello"], self.introduction["generation"]

    def is_complete(self):
        """Whether it has told everything."""
        return None not in (self.introduction, self.status, self.configuration, self.listener)


class Adoption:
    """Asks the instances whose control sockets lie in a folder."""

    def __init__(self, folder, timeout):
        """`timeout`: seconds without anything from an instance after which it counts as dead."""
        self.folder, self.timeout, self.selector = folder, timeout, selectors.DefaultSelector()
        self.pending = []

    def run(self):
        """Returns the FoundInstance of each instance that has answered, by the order of their sockets.

        All others have been killed.
        """
        found = self.find()
        self.pending = list(found)
        while self.pending:
            for instance in self.pending:
                if instance.connection is None:
                    self.connect(instance)
            for key, _ in self.selector.select(RETRY_INTERVAL):
                self.handle(key.data, key.fileobj)
            for instance in self.pending:
                if not instance.failure and time.monotonic() - instance.heard_at > self.timeout:
                    self.fail(instance, f"no answer for {self.timeout:g} s")
            self.pending = [one for one in self.pending if not (one.failure or one.spec)]
        self.selector.close()
        self.end([one for one in found if one.failure])
        return [one for one in found if not one.failure]

    def find(self):
        """Returns the instances that run, also those that do not listen yet; removes others' sockets."""
        running = running_pids_by_socket(self.folder)
        for file in os.listdir(self.folder):
            path = os.path.join(self.folder, file)
            if file.endswith(".sock") and file != COMMAND_SOCKET and path not in running:
                control.unlink(path)
        found = []
        for path, pid in sorted(running.items()):
            with contextlib.suppress(ProcessLookupError):
                instance = FoundInstance(path, pid, os.pidfd_open(pid), time.monotonic())
                self.selector.register(instance.pidfd, selectors.EVENT_READ, instance)
                found.append(instance)
        return found

    def connect(self, instance):
        """Connects to an instance, if its socket takes the connection now."""
        with contextlib.suppress(OSError):  # tried again, until its process ends or nothing was heard
            instance.connection = JsonConnection(control.connect_now(instance.path))
            instance.connection.watch(self.selector, instance)

    def handle(self, instance, source):
        """Handles an event of an instance's process or connection."""
        if instance.failure or instance.spec:
            return
        if source == instance.pidfd:
            self.fail(instance, "its process has ended")
            return
        connection = instance.connection
        messages, is_open = connection.receive()
        # A long introduction of an earlier release comes in parts; later, a status is no answer.
        if connection.received_bytes > instance.received_bytes and not instance.asked:
            instance.received_bytes, instance.heard_at = connection.received_bytes, time.monotonic()
        try:
            for message in messages:
                self.take(instance, message)
            self.take_earlier_listener(instance)
            if instance.is_complete():
                self.complete(instance)
        except (OSError, ValueError, LookupError, TypeError) as error:
            self.fail(instance, f"{type(error).__name__}: {error}")
        if not (instance.failure or instance.spec or is_open and connection.flush()):
            self.fail(instance, "its connection has ended")

    def fail(self, instance, why):
        """Gives an instance up."""
        instance.failure, instance.spec = why, None
        self.forget(instance)

    def forget(self, instance):
        """Waits for nothing more from an instance."""
        self.selector.unregister(instance.pidfd)
        if instance.connection:
            instance.connection.unwatch()

    def take(self, instance, message):
        """Takes over what a message tells."""
        if "hello" in message:
            instance.introduction = message
            if not message.get("describes"):
                instance.configuration = {"start": message["start"], "live": message["live"]}
        elif "status" in message:
            instance.status = message["status"]
        elif "description" in message:
            instance.listener = socket.socket(fileno=instance.connection.descriptors.pop(0))
            instance.configuration = message
        if instance.introduction and instance.status and not instance.asked:
            instance.asked, instance.heard_at = True, time.monotonic()
            instance.connection.send(
                {"do": "describe" if instance.introduction.get("describes") else "socket"}
            )

    @staticmethod
    def take_earlier_listener(instance):
        """Takes over the listening socket that an instance of an earlier release sends without a message."""
        is_earlier = instance.introduction and not instance.introduction.get("describes")
        if is_earlier and instance.listener is None and instance.connection.descriptors:
            instance.listener = socket.socket(fileno=instance.connection.descriptors.pop(0))

    def complete(self, instance):
        """Makes the spec of an instance that has told everything."""
        address = instance.listener.getsockname()[:2]
        configuration = instance.configuration
        instance.spec = plans.InstanceSpec(
            instance.introduction["hello"], address, configuration["start"], configuration["live"]
        )
        self.forget(instance)

    @staticmethod
    def end(instances):
        """Kills instances that have not answered, all at once, and removes their sockets."""
        for one in instances:
            pairs = {"pid": one.pid, "socket": os.path.basename(one.path), "why": one.failure}
            log.error("not-adopted", extra={"pairs": pairs})
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(one.pidfd, signal.SIGKILL)
        deadline = time.monotonic() + KILL_TIMEOUT
        for one in instances:
            with selectors.DefaultSelector() as selector:
                selector.register(one.pidfd, selectors.EVENT_READ)
                selector.select(max(0.0, deadline - time.monotonic()))
            os.close(one.pidfd)
            if one.connection:
                one.connection.close()
            if one.listener:
                one.listener.close()
            control.unlink(one.path)


def running_pids_by_socket(folder):
    """Returns the pid by control socket of every instance whose socket lies in the folder.

    They are found by their command lines, because a pid in a file may belong to another process by now.
    """
    found = {}
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/cmdline", "rb") as file:
                arguments = file.read().split(b"\0")
        except OSError:
            continue
        if b"instance" in arguments and b"--socket" in arguments[:-1]:
            path = os.fsdecode(arguments[arguments.index(b"--socket") + 1])
            if os.path.dirname(path) == folder:
                found[path] = int(pid)
    return found
