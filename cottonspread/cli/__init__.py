"""The command line: a file for each group of sub-commands, each imported only when it is asked for."""

import argparse
import sys

from cottonspread import config
from cottonspread.cli import configuration, fleet, lab, node


def main(arguments=None):
    parser = argparse.ArgumentParser(
        prog="cottonspread", description="A balancer for long-lived connections."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for group in (node, fleet, configuration, lab):
        group.add(commands)
    given = parser.parse_args(arguments)
    try:
        return given.run(given)
    except config.ConfigurationError as fault:
        for line in str(fault).split("\n"):
            print(f"cottonspread: {line}", file=sys.stderr)
        return 2
