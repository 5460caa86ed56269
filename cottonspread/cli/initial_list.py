"""The server list that a process starts with, and saves for the next process."""

import logging
import threading
import time

from cottonspread.lists import saved
from cottonspread.net import discovery

log = logging.getLogger("cottonspread.cli")


def newer_list(saved, parts):
    """The saved list, or the one in the configuration if its version is higher; both as parsed JSON."""
    configured = parts[-1]
    try:
        version = discovery.read_list(saved, parts[2])[0] if saved else -1
    except discovery.ListError as error:
        log.warning("saved-list", extra={"pairs": {"why": error, "kept": "none"}})
        return configured
    return saved if version >= discovery.read_list(configured, parts[2])[0] else configured


class InitialList:
    """The list that a node starts with, and the file that saves the list from discovery."""

    def __init__(self, parts, path, timeout):
        """Replaces the list in `parts[-1]` by the saved one if that is newer; `path`: None to save none.

        `timeout`: seconds to wait for a list from discovery before the node serves with the initial one.
        """
        self.saved = saved.SavedList(path, parts[4].dynamic_weights) if path else None
        self.timeout, self.received, self.started_at = timeout, False, time.monotonic()
        self.changed = threading.Event()  # there is a list to write
        if path:
            parts[-1] = newer_list(saved.read(path), parts)
            threading.Thread(target=self.write_lists, name="write-lists", daemon=True).start()

    def on_list(self, *update):
        """Takes a list from discovery, to be saved; see `Node.__init__`.

        Does not wait for the disk: discovery's thread calls this before it asks for the next list.
        """
        if self.saved and self.saved.merge(*update):
            self.changed.set()
        else:
            self.received = True

    def write_lists(self):
        """The thread that writes the latest list whenever it has changed."""
        while True:
            self.changed.wait()
            self.changed.clear()
            self.saved.write()
            self.received = True

    def ready(self, node):
        """Whether a node that does not accept connections yet is able to serve."""
        return (
            node.reducer.has_hosts
            and (self.received or time.monotonic() - self.started_at >= self.timeout)
            and node.ping()
        )
