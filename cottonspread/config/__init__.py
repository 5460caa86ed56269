"""The one place where configuration is read, checked and given defaults; every fault names its key.

`platform` reads what the platform tells a node (JSON and the environment),
`operator` the operator's own file (TOML).
"""

from cottonspread.config.platform import (
    Hearing,
    Names,
    Place,
    Room,
    Senseless,
    complete,
    micros,
    parse,
    read_begin,
    read_node,
    with_own,
)

__all__ = [
    "Hearing",
    "Names",
    "Place",
    "Room",
    "Senseless",
    "complete",
    "micros",
    "parse",
    "read_begin",
    "read_node",
    "with_own",
]
