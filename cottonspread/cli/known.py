"""The list that a process begins with, and keeps for the next one."""

import logging
import time

from cottonspread.lists import saved
from cottonspread.net import discovery

log = logging.getLogger("cottonspread.cli")


def known_list(saved, parts):
    """The newer of the list that was saved and the one in the configuration, as JSON."""
    known = parts[-1]
    try:
        version = discovery.read_list(saved, parts[2])[0] if saved else -1
    except discovery.ListError as fault:
        log.warning("saved-list", extra={"pairs": {"why": fault, "kept": "none"}})
        return known
    return saved if version >= discovery.read_list(known, parts[2])[0] else known


class Known:
    """Puts the newest list in the place of `parts[-1]`; `path` is None where none is saved.

    `wait`: seconds for one told by discovery, before the known one is trusted.
    """

    def __init__(self, parts, path, wait):
        self.saved = saved.Saved(path, parts[4].dynamic_weights) if path else None
        self.wait, self.told, self.began = wait, False, time.monotonic()
        if path:
            parts[-1] = known_list(saved.read(path), parts)

    def keep(self, *told):
        """As `Node` calls it."""
        if self.saved:
            self.saved.told(*told)
        self.told = True

    def ready(self, node):
        """Whether a node that takes no connections yet could serve."""
        return (
            node.reducer.listed and (self.told or time.monotonic() - self.began >= self.wait) and node.ping()
        )
