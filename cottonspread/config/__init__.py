"""The one place where configuration is read, checked and given defaults; every fault names its key.

`platform` reads what the platform tells a node (JSON and the environment),
`operator` the operator's own file (TOML).
"""

from cottonspread.config.platform import (
    ConfigurationError,
    Endpoints,
    HostProtocol,
    Names,
    ResourceLimits,
    check_no_key_missing,
    ms_to_us,
    parse,
    read_begin,
    read_node,
    with_local_keys,
)

__all__ = [
    "HostProtocol",
    "Names",
    "Endpoints",
    "ResourceLimits",
    "ConfigurationError",
    "check_no_key_missing",
    "ms_to_us",
    "parse",
    "read_begin",
    "read_node",
    "with_local_keys",
]
