"""The command line: one module per group of sub-commands, which imports what it needs when it runs."""

import argparse
import sys

from cottonspread import config
from cottonspread.cli import configuration, fleet, lab, node


def main(arguments=None):
    """Runs one command and returns its exit code; `arguments`: None for those of the process."""
    parser = argparse.ArgumentParser(
        prog="cottonspread", description="A load balancer for long-lived connections."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for group in (node, fleet, configuration, lab):
        group.add(commands)
    args = parser.parse_args(arguments)
    try:
        return args.run(args)
    except config.ConfigurationError as error:
        for line in str(error).split("\n"):
            print(f"cottonspread: {line}", file=sys.stderr)
        return 2
