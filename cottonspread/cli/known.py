"""Which list a process begins with."""
import logging

from cottonspread.net import discovery

log = logging.getLogger("cottonspread.cli")


def known_list(saved, parts):
    """The newer of the list that was saved and the one in the configuration, as JSON."""
    known = parts[-1]
    try:
        version = discovery.read_list(saved, parts[2])[0] if saved else -1
    except discovery.BadList as fault:
        log.warning("saved-list", extra={"pairs": {"why": fault, "kept": "none"}})
        return known
    return saved if version >= discovery.read_list(known, parts[2])[0] else known
