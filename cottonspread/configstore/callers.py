"""A thread pool for HTTP calls to replicas, used by replicas, followers and publishers.

It uses `net.http`, the project's only HTTP client, which bounds sizes and times; a second client would mean
another parser to maintain. Nothing else of `net` is used.
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
"""Seconds to connect. TCP retries a lost SYN after a second; giving up then starts a new connection."""
MAX_THREADS = 16
"""A follower has up to three calls open, a publisher one per replica, a replica one per peer."""
STACK_BYTES = 256 * 1024


class CallError(Exception):
    """A call without a usable reply; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Job:
    """A call to make. `done` is called with the reply or a CallError, in the pool's thread."""

    message: m.Message
    deadline: int
    done: Callable


def now() -> int:
    """Returns microseconds of the monotonic clock; not comparable between machines."""
    return time.monotonic_ns() // 1000


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text}: expected HOST:PORT")
    return host, int(port)


class Callers:
    """A pool of threads that make calls; each keeps a connection to one replica."""

    def __init__(self):
        """Starts no thread; threads are created as calls need them."""
        self._idle: dict[str, list[Caller]] = {}
        self._lock, self._all, self._stopped = threading.Lock(), [], False

    def call(self, replica: str, message: m.Message, deadline: int, done: Callable) -> None:
        """Makes a call; `done` is called once with the reply or a CallError."""
        job = Job(message, deadline, done)
        with self._lock:
            idle = self._idle.setdefault(replica, [])
            caller = idle.pop() if idle else None
            if caller is None and not self._stopped and len(self._all) < MAX_THREADS:
                caller = Caller(replica, self._mark_idle)
                self._all.append(caller)
        if caller is None:
            done(CallError("too many concurrent calls"))
        else:
            caller.jobs.put(job)

    def _mark_idle(self, caller) -> None:
        with self._lock:
            self._idle[caller.replica].append(caller)

    def stop(self) -> None:
        """Aborts open calls; does not wait for the threads."""
        with self._lock:
            self._stopped, callers = True, list(self._all)
        for caller in callers:
            caller.http.abort()
            caller.jobs.put(None)


class Caller:
    """One thread of the pool and its connection."""

    def __init__(self, replica: str, mark_idle: Callable):
        """Starts the thread; calls `mark_idle(self)` after each call."""
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
            self._mark_idle(self)  # before done(), which may make the next call
            job.done(outcome)
        self.http.close()

    def _perform(self, job: Job):
        try:
            wait = (job.deadline - now()) / m.SECOND
            if wait <= 0:
                return CallError("deadline passed before the call was sent")
            return m.decode(self._send(job.message, wait), REPLIES[type(job.message)])
        except (OSError, ResponseError, m.MessageError) as error:
            return CallError(str(error) or type(error).__name__)

    def _send(self, message: m.Message, wait: float) -> bytes:
        if isinstance(message, m.WatchRequest):
            return self.http.get(f"{WATCH_PATH}?{m.to_query(message)}", wait)
        return self.http.post(POST_PATHS[type(message)], wait, m.encode(message))
