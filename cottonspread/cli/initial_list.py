"""The list that a process begins with, and keeps for the next one."""

import logging
import time

from cottonspread.lists import saved
from cottonspread.net import discovery

log = logging.getLogger("cottonspread.cli")


def newer_list(saved, parts):
    """The newer of the list that was saved and the one in the configuration, as JSON."""
    known = parts[-1]
    try:
        version = discovery.read_list(saved, parts[2])[0] if saved else -1
    except discovery.ListError as fault:
        log.warning("saved-list", extra={"pairs": {"why": fault, "kept": "none"}})
        return known
    return saved if version >= discovery.read_list(known, parts[2])[0] else known


class InitialList:
    """Puts the newest list in the place of `parts[-1]`; `path` is None where none is saved.

    `timeout`: seconds for one told by discovery, before the known one is trusted.
    """

    def __init__(self, parts, path, timeout):
        self.saved = saved.SavedList(path, parts[4].dynamic_weights) if path else None
        self.timeout, self.received, self.started_at = timeout, False, time.monotonic()
        if path:
            parts[-1] = newer_list(saved.read(path), parts)

    def on_list(self, *told):
        """As `Node` calls it."""
        if self.saved:
            self.saved.update(*told)
        self.received = True

    def ready(self, node):
        """Whether a node that takes no connections yet could serve."""
        return (
            node.reducer.listed
            and (self.received or time.monotonic() - self.started_at >= self.timeout)
            and node.ping()
        )
