"""Reads and validates all configuration and applies defaults; every error names its key.

`platform` reads a node's configuration from the platform (JSON and the environment), `operator` the
operator's own file (TOML).
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
