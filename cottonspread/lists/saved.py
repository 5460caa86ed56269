"""The last list that a node was told, in a file: what its successor begins
with, draining servers marked as such.
"""

import contextlib
import json
import logging
import os

log = logging.getLogger("cottonspread.lists")


def write_atomically(path, text, durable=False):
    """The file is the old one or the new one, never half of it.

    `durable`: after a power cut it is the new one, too. Raises OSError; nothing is left behind then.
    """
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
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
    """What was renamed and removed in the folder is so after a power cut. Raises OSError."""
    opened = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(opened)
    finally:
        os.close(opened)


class SavedList:
    """Keeps what discovery tells, as its JSON. A disk that takes nothing
    costs a log line, and the node goes on.
    """

    def __init__(self, path, dynamic_weights=False):
        """`dynamic_weights`: news of weights alone is not written."""
        self.path, self.entries, self.failing, self.dynamic_weights = path, {}, False, dynamic_weights

    def update(self, version, instances, full):
        """An answer of discovery, as its JSON; `full`: it is the whole list, and no change."""
        # Weights that move came each second, and each word was a write and an fsync. What was saved first,
        # which is nearer to the sizes, stays.
        if (
            self.dynamic_weights
            and not full
            and all(
                one | {"weight": 0} == self.entries.get(str(one["instanceId"]), {}) | {"weight": 0}
                for one in instances
            )
        ):
            return
        if full:
            self.entries = {}
        for one in instances:
            self.entries[str(one["instanceId"])] = one
            if one["lifecycle"] == "Gone":
                del self.entries[str(one["instanceId"])]
        try:
            write_atomically(
                self.path,
                json.dumps({"generation": version, "reset": True, "instances": list(self.entries.values())}),
            )
            self.failing = False
        except OSError as fault:
            if not self.failing:  # once, not at each list
                log.error("list-not-saved", extra={"pairs": {"file": self.path, "why": fault}})
            self.failing = True


def read(path):
    """The saved list as JSON, or None: none there, or not readable, which is no reason not to start."""
    try:
        with open(path, encoding="utf-8") as file:
            said = json.load(file)
        return said if isinstance(said, dict) and isinstance(said.get("instances"), list) else None
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as fault:
        log.warning("saved-list", extra={"pairs": {"file": path, "why": fault, "kept": "none"}})
        return None
