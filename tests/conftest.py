from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401
