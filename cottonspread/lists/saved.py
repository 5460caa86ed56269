"""The last server list received from discovery, saved to a file: the next process starts with it.

Draining servers are saved as draining.
"""

import contextlib
import json
import logging
import os

log = logging.getLogger("cottonspread.lists")


def write_atomically(path, text, durable=False, synced=True):
    """Replaces the file atomically: a reader sees the old text or the new one, never a part.

    `durable`: the new text also survives a power failure. `synced`: after one, the file has the old text or
    the new one; False for files that matter only to processes that run, since a busy disk may take seconds.
    On OSError the temporary file is removed.
    """
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            if synced:
                file.flush()
                os.fsync(file.fileno())
        os.replace(temporary, path)
        if durable:
            sync_folder(os.path.dirname(os.path.abspath(path)))
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise


def sync_folder(folder):
    """Makes renames and removals in the folder durable. Raises OSError."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class SavedList:
    """Saves the list from discovery as JSON. A failure to write the file is logged once."""

    def __init__(self, path, dynamic_weights=False):
        """`dynamic_weights`: changes of weights alone are not saved."""
        self.path, self.entries, self.failing, self.dynamic_weights = path, {}, False, dynamic_weights
        self.text = ""

    def update(self, version, instances, full):
        """Saves a list as discovery sent it; `full`: the whole list, not changes to the last one."""
        if self.merge(version, instances, full):
            self.write()

    def merge(self, version, instances, full):
        """As `update`, without writing; returns whether there is anything to write."""
        # Live weights change every second, and each change would cost a write and an fsync. The weights
        # saved first stay: they are closer to the servers' sizes.
        if (
            self.dynamic_weights
            and not full
            and all(
                instance | {"weight": 0} == self.entries.get(str(instance["instanceId"]), {}) | {"weight": 0}
                for instance in instances
            )
        ):
            return False
        if full:
            self.entries = {}
        for instance in instances:
            self.entries[str(instance["instanceId"])] = instance
            if instance["lifecycle"] == "Gone":
                del self.entries[str(instance["instanceId"])]
        self.text = json.dumps(
            {"generation": version, "reset": True, "instances": list(self.entries.values())}
        )
        return True

    def write(self):
        """Writes the list as it is now; may wait for the disk."""
        try:
            write_atomically(self.path, self.text)
            self.failing = False
        except OSError as error:
            if not self.failing:  # logged once, not for each list
                log.error("list-not-saved", extra={"pairs": {"file": self.path, "why": error}})
            self.failing = True


def read(path):
    """The saved list as parsed JSON, or None if it is missing or unreadable: a node also starts without."""
    try:
        with open(path, encoding="utf-8") as file:
            saved = json.load(file)
        return saved if isinstance(saved, dict) and isinstance(saved.get("instances"), list) else None
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        log.warning("saved-list", extra={"pairs": {"file": path, "why": error, "kept": "none"}})
        return None
