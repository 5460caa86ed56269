"""Registers the test suite's own pytest plugins."""

import alone
import known_red


def pytest_configure(config):
    for plugin in (alone, known_red):
        config.pluginmanager.register(plugin)
