"""Calls to replicas in threads of their own, for replicas, followers and publishers.

`net.http` is the one HTTP client of the project, bounded in size and time; a second one here would be
another parser to keep. Nothing else of `net` is used.
"""

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cottonspread.configstore import messages as m
from cottonspread.net.http import HttpClient, ResponseError

WATCH_PATH = "/api/configuration"
POST_PATHS = {
    m.Accept: "/api/configuration/accept",
    m.Commit: "/api/configuration/commit",
    m.ReadState: "/api/configuration/state",
}
REPLIES = {
    m.WatchRequest: m.WatchReply,
    m.Accept: m.AcceptReply,
    m.Commit: m.CommitReply,
    m.ReadState: m.StateReply,
}
CONNECT_TIMEOUT_S = 1.0
"""Seconds for a connection: one that a dropped packet costs its first try (a second) is tried anew."""
MAX_THREADS = 16
"""A follower has three calls open, a publisher one for each replica, a replica one for each of the others."""
STACK_BYTES = 256 * 1024


class CallError(Exception):
    """A call that has no usable reply; it says why."""


@dataclass(frozen=True, slots=True)
class Job:
    """A call to make. `done` is told the reply or the CallError, in the caller's thread."""

    message: m.Message
    deadline: int
    done: Callable


def now() -> int:
    """Microseconds of a clock that never goes back; it means nothing to another machine."""
    return time.monotonic_ns() // 1000


def parse_address(text: str) -> tuple[str, int]:
    """HOST:PORT; ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text}: expected HOST:PORT")
    return host, int(port)


class Callers:
    """Threads that make calls, each with a connection that it keeps to one replica."""

    def __init__(self):
        self._idle: dict[str, list[Caller]] = {}
        self._lock, self._all, self._stopped = threading.Lock(), [], False

    def call(self, replica: str, message: m.Message, deadline: int, done: Callable) -> None:
        """`done` is told once: a reply, or a CallError."""
        job = Job(message, deadline, done)
        with self._lock:
            idle = self._idle.setdefault(replica, [])
            caller = idle.pop() if idle else None
            if caller is None and not self._stopped and len(self._all) < MAX_THREADS:
                caller = Caller(replica, self._mark_idle)
                self._all.append(caller)
        if caller is None:
            done(CallError("too many calls at the same time"))
        else:
            caller.jobs.put(job)

    def _mark_idle(self, caller) -> None:
        with self._lock:
            self._idle[caller.replica].append(caller)

    def stop(self) -> None:
        """Calls that are out end at once; no thread is waited for."""
        with self._lock:
            self._stopped, callers = True, list(self._all)
        for caller in callers:
            caller.http.abort()
            caller.jobs.put(None)


class Caller:
    """One thread and its connection."""

    def __init__(self, replica: str, mark_idle: Callable):
        self.replica, self._mark_idle = replica, mark_idle
        self.http, self.jobs = HttpClient(parse_address(replica), CONNECT_TIMEOUT_S), queue.SimpleQueue()
        before = threading.stack_size(STACK_BYTES)
        try:
            threading.Thread(target=self._run, daemon=True).start()
        finally:
            threading.stack_size(before)

    def _run(self) -> None:
        while (job := self.jobs.get()) is not None:
            outcome = self._perform(job)
            self._mark_idle(self)  # before it is told: what follows from it may be the next call
            job.done(outcome)
        self.http.close()

    def _perform(self, job: Job):
        try:
            wait = (job.deadline - now()) / m.SECOND
            if wait <= 0:
                return CallError("too late")
            return m.decode(self._send(job.message, wait), REPLIES[type(job.message)])
        except (OSError, ResponseError, m.MessageError) as fault:
            return CallError(str(fault) or type(fault).__name__)

    def _send(self, message: m.Message, wait: float) -> bytes:
        if isinstance(message, m.WatchRequest):
            return self.http.get(f"{WATCH_PATH}?{m.to_query(message)}", wait)
        return self.http.post(POST_PATHS[type(message)], wait, m.encode(message))
