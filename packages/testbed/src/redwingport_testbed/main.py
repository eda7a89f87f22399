"""Command line of the test bed."""

import argparse
import sys
from collections.abc import Sequence

from redwingport_testbed.commands import bench, demo, echo, load, shards, slopes, standins
from redwingport_testbed.exceptions import TestbedError

COMMAND_BY_NAME = {
    "standins": standins,
    "demo": demo,
    "load": load,
    "bench": bench,
    "echo": echo,
    "slopes": slopes,
    "shards": shards,
}


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(prog="redwingport-testbed", description=__doc__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, command in COMMAND_BY_NAME.items():
        subparser = subparsers.add_parser(name, help=command.HELP, description=command.HELP)
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand.

    :param arguments: command line without the program name; by default that of the process.
    :returns: the exit code.
    """
    options = build_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
    except TestbedError as error:
        print(f"redwingport-testbed: {error}", file=sys.stderr)
        return 1
    return code


if __name__ == "__main__":
    sys.exit(main())
