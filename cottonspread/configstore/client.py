"""The follower's I/O shell: a thread around `follower.Follower`, with calls in the threads of `callers`.

The node supplies two functions, both called in this shell's thread:

- `check(record)` validates the complete record and changes nothing; it raises config.ConfigurationError if
  the record cannot be applied.
- `apply(record, done)` applies the record and calls `done(ok, why)` once, at any time, from any thread.

The record in force is saved in one file of the state folder, for the next start.
"""

import logging
import os
import queue
import random
import threading
from collections.abc import Callable

from cottonspread.config import ConfigurationError
from cottonspread.configstore import follower as core
from cottonspread.configstore import messages as m
from cottonspread.configstore import storage
from cottonspread.configstore.callers import CallError, Callers, now

log = logging.getLogger("cottonspread.configstore")

MAX_WAIT_S = 1.0
"""Maximum seconds that the thread waits for an event."""
LOG_LEVELS = {
    core.NoticeKind.IN_FORCE: logging.INFO,
    core.NoticeKind.RECONNECTED: logging.INFO,
    core.NoticeKind.REFUSED: logging.ERROR,
    core.NoticeKind.DISTRUSTED: logging.ERROR,
    core.NoticeKind.CUT_OFF: logging.WARNING,
}


class Client:
    """Follows the configuration for one node, from `start` until `stop`."""

    def __init__(self, node: str, replicas: tuple[str, ...], folder: str, check: Callable, apply: Callable):
        """`replicas`: HOST:PORT each. Raises OSError if the folder cannot be created."""
        os.makedirs(folder, exist_ok=True)
        self.node = node
        self._path = os.path.join(folder, f"{node}.configuration.json")
        self._check, self._apply = check, apply
        self._core = core.Follower(node, replicas, random.Random(f"{node} {os.getpid()}").random)
        self._callers, self._inbox, self._stopped = Callers(), queue.SimpleQueue(), threading.Event()
        self._view = self._core.view(now())
        self._saved, self._saved_why = self._read_saved()

    def _read_saved(self) -> tuple[m.Record | None, str]:
        try:
            record = storage.read(self._path, m.Record)
            if record is not None and not record.is_valid():
                raise storage.StorageError(f"{self._path}: damaged record")
        except storage.StorageError as error:
            log.error("saved-configuration", extra={"pairs": {"why": error, "kept": "none"}})
            return None, str(error)
        return record, ""

    @property
    def saved(self) -> m.Record | None:
        """The record in force when the previous process ended, as far as the file tells."""
        return self._saved

    def view(self) -> core.View:
        """Returns the follower's status after the last event."""
        return self._view

    def start(self) -> None:
        """Starts the follower's thread."""
        threading.Thread(target=self._run, daemon=True, name="configuration").start()

    def stop(self) -> None:
        """Stops applying records and aborts open calls."""
        self._stopped.set()
        self._callers.stop()
        self._inbox.put(core.Tick())

    def report_health(self, version: int, ok: bool, why: str = "") -> None:
        """Reports whether the node is healthy with this version."""
        self._inbox.put(core.HealthReported(version, ok, why[: m.MAX_WHY_LENGTH]))

    def _run(self) -> None:
        event = core.Started(self._saved, self._saved_why)
        while not self._stopped.is_set():
            try:
                self._step(event)
            except Exception:  # unexpected: logged, and the thread goes on
                log.exception("fault", extra={"pairs": {"while": type(event).__name__}})
            event = self._next_event()

    def _next_event(self) -> core.Event:
        wait = max(0.0, min(MAX_WAIT_S, (self._core.wake_at - now()) / m.SECOND))
        try:
            return self._inbox.get(timeout=wait)
        except queue.Empty:
            return core.Tick()

    def _step(self, event: core.Event) -> None:
        events = [event]
        while events and not self._stopped.is_set():
            for effect in self._core.step(now(), events.pop(0)):
                follows = self._execute(effect)
                if follows is not None:
                    events.append(follows)
        self._view = self._core.view(now())

    def _execute(self, effect: core.Effect) -> core.Event | None:
        match effect:
            case core.SendWatch():
                self._send_watch(effect)
            case core.Check():
                return self._run_check(effect.record)
            case core.Save():
                return self._save(effect.record)
            case core.Apply():
                self._apply_record(effect.record)
            case core.Notice():
                pairs = {"what": effect.kind.value, "version": effect.version}
                pairs |= {"why": effect.why} if effect.why else {}
                log.log(LOG_LEVELS[effect.kind], "configuration", extra={"pairs": pairs})
        return None

    def _send_watch(self, effect: core.SendWatch) -> None:
        def done(outcome):
            if isinstance(outcome, CallError):
                self._inbox.put(core.WatchFailed(effect.call, str(outcome)))
            else:
                self._inbox.put(core.WatchReplied(effect.call, outcome))

        self._callers.call(effect.replica, effect.request, effect.deadline, done)

    def _run_check(self, record: m.Record) -> core.Checked:
        try:
            self._check(record)
        except ConfigurationError as error:
            return core.Checked(False, str(error)[: m.MAX_WHY_LENGTH])
        except Exception as error:  # unexpected
            log.exception("fault", extra={"pairs": {"while": "check"}})
            return core.Checked(False, f"internal error: {type(error).__name__}: {error}"[: m.MAX_WHY_LENGTH])
        return core.Checked(True)

    def _save(self, record: m.Record | None) -> core.Saved:
        try:
            if record is None:
                storage.remove(self._path)
            else:
                storage.write(self._path, record)
        except OSError as error:
            return core.Saved(False, f"not saved: {error}"[: m.MAX_WHY_LENGTH])
        return core.Saved(True)

    def _apply_record(self, record: m.Record) -> None:
        def done(ok: bool, why: str = "") -> None:
            self._inbox.put(core.Applied(ok, why[: m.MAX_WHY_LENGTH]))

        try:
            self._apply(record, done)
        except Exception as error:  # unexpected
            log.exception("fault", extra={"pairs": {"while": "apply"}})
            done(False, f"internal error: {type(error).__name__}: {error}")
