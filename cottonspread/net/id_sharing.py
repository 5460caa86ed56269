"""Shares the ids of calls with the process that this one replaces, or that replaces it.

Connects the file of ids (`shared_ids`) with the node: `complete` adds to the reducer's events, in its thread,
what the reducer cannot find out without I/O. Without another process nothing is read or written.
"""

import contextlib
import logging
import threading
from dataclasses import replace

from cottonspread.net import events as ev
from cottonspread.net import lines
from cottonspread.net.shared_ids import SUCCESSOR, SharedIds

log = logging.getLogger("cottonspread.node")

FILE_SIZE_DIVISOR = 64  # the file is at most 1 / this of the limit on memory, as which it counts
JOIN_TIMEOUT = 0.5  # seconds


class IdSharing:
    """One node's side; `shared`: the `SharedIds` while another process of the node may take calls."""

    def __init__(self, max_ended_ids, memory_mb, post_urgent):
        """`max_ended_ids`: how many ids of ended calls this process remembers.

        `post_urgent(event)` passes an event to the reducer.
        """
        self.shared = self.ending = None  # `ending`: the file whose sharing is to end
        self.limits = 2 * max_ended_ids, memory_mb * 1024 * 1024 // FILE_SIZE_DIVISOR
        self.post_urgent = post_urgent

    def create(self, path):
        """Shares ids with the predecessor from now on. Called before connections are accepted."""
        try:
            self.shared = SharedIds.create(path, *self.limits)
        except OSError as error:
            log.warning("ids-not-shared", extra={"pairs": {"file": path, "why": error}})

    def join(self, path):
        """Shares ids with the successor, which has made the file, from now on.

        Returns once the file has those that are taken already, after `JOIN_TIMEOUT` at the latest.
        """
        joined = threading.Event()

        def join_with(ids):  # in the reducer's thread: no call begins meanwhile
            try:
                self.open(path, ids)
            except OSError as error:  # an earlier version makes no file
                log.warning("ids-not-shared", extra={"pairs": {"file": path, "why": error}})
            joined.set()

        self.post_urgent(ev.IdsRequested(join_with))
        joined.wait(JOIN_TIMEOUT)

    def open(self, path, ids):
        """Opens the successor's file and adds the ids. Raises OSError."""
        if self.shared is not None:
            if self.shared.is_file(path):
                return
            ids = (*ids, *self.shared.all())
            self.close()
        shared = SharedIds.join(path, *self.limits)
        try:
            shared.add(ids)
        except OSError:
            shared.close()
            raise
        self.shared = shared

    def close(self):
        """Closes the file."""
        shared, self.shared = self.shared, None
        shared.close()

    def check(self, predecessor_may_join):
        """Ends the sharing once the other process has ended. Called now and then, from any thread."""
        shared = self.shared
        if shared is None or shared.role == SUCCESSOR and predecessor_may_join:
            return
        with contextlib.suppress(OSError):  # closed just now
            if shared.peer_has_ended():
                self.end(shared)

    def end(self, shared):
        """Ends the sharing of this file in the reducer's thread, unless another one is joined by then."""
        self.ending = shared
        self.post_urgent(ev.IdsLearned(()))  # `complete` adds the ids

    def complete(self, event):
        """The event with what the reducer has to know of shared ids."""
        if self.shared is None:
            return event
        if isinstance(event, ev.IdsLearned):
            return self.learn() if self.ending is self.shared else event
        if isinstance(event, ev.LinesRead) and event.end.is_client and event.end.conn.request is None:
            id = lines.call_id(event.data)
            return replace(event, id_taken=id is not None and not self.claim(id))
        return event

    def claim(self, id):
        """Claims an id among the processes of this node; returns whether it is new."""
        try:
            return self.shared.claim(id)
        except OSError as error:  # calls go on without
            log.warning("ids-not-shared", extra={"pairs": {"why": error}})
            self.end(self.shared)
            return True

    def learn(self):
        """Ends the sharing; returns the event with the ids that either process has taken."""
        with contextlib.suppress(OSError):
            self.shared.read()
        event = ev.IdsLearned(tuple(self.shared.all()))
        self.close()
        return event
