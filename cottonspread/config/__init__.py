"""The one place where configuration is read, checked and given defaults; every fault names its key.

`platform` reads what the platform tells a node (JSON and the environment),
`operator` the operator's own file (TOML).
"""

from cottonspread.config.platform import (
    ConfigurationError,
    Hearing,
    Names,
    Place,
    Room,
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
    "ConfigurationError",
    "complete",
    "micros",
    "parse",
    "read_begin",
    "read_node",
    "with_own",
]
