"""Parser of the command line."""

import argparse
import re
import textwrap
from collections.abc import Sequence
from typing import NoReturn

from redwingport_cli.commands import COMMANDS
from redwingport_cli.commands.base import Command, CommandGroup
from redwingport_cli.connection import ENTRY_VARIABLE, TOKEN_VARIABLE, add_connection_options
from redwingport_cli.exit_codes import ExitCode, describe_exit_codes
from redwingport_cli.rendering import OutputFormat, printable

HELP_COLUMNS = 79
DESCRIPTION = "Submit work to redwingport, and operate it."
EPILOG = f"""\
example:
  export {ENTRY_VARIABLE}=http://10.0.0.5:8080,http://10.0.0.6:8080
  redwingport submit --service print --file job.json

Problems go to standard error as text; with --output json, to standard output
as JSON. Operators need a token, from --token-file or ${TOKEN_VARIABLE}.

exit codes:
"""


class Parser(argparse.ArgumentParser):
    """Report usage errors without the rejected arguments.

    If the name of a token option is mistyped, the token itself becomes an unknown argument, so
    error messages never repeat unknown arguments.
    """

    def error(self, message: str) -> NoReturn:
        """Print a usage error and exit with code 2."""
        shown = re.sub(r"invalid choice: .* \(choose", "invalid choice (choose", message)
        super().error(printable(shown))


def parse_command_line(argv: Sequence[str] | None = None) -> argparse.Namespace:
    """Parse the command line; exit with code 2 if it is invalid.

    :param argv: command line arguments; by default those of this process.
    :returns: the options; ``handler`` is the command to run.
    """
    parser = build_parser()
    options, unknown = parser.parse_known_args(argv)
    if unknown:
        names = [word.split("=", 1)[0] for word in unknown if word.startswith("-")]
        parser.error("unknown arguments" + (f": {' '.join(names)}" if names else ""))
    return options


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of all commands."""
    parser = Parser(
        prog="redwingport",
        description=DESCRIPTION,
        epilog=EPILOG + describe_exit_codes(ExitCode),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    _add_common_options(parser, needs_entry=True)
    _add_commands(parser, COMMANDS)
    return parser


def _add_commands(
    parser: argparse.ArgumentParser, commands: Sequence[Command | CommandGroup]
) -> None:
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True, dest="command")
    for item in commands:
        if isinstance(item, CommandGroup):
            group = subparsers.add_parser(
                item.name, help=item.summary, description=item.summary, allow_abbrev=False
            )
            _add_commands(group, item.commands)
        else:
            _add_command(subparsers, item)


def _add_command(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]", command: Command
) -> None:
    example = command.help.example.replace("\n", "\n  ")
    codes = describe_exit_codes(command.help.exit_codes)
    parser = subparsers.add_parser(
        command.name,
        help=command.help.summary,
        description=textwrap.fill(command.help.description, HELP_COLUMNS),
        epilog=f"example:\n  {example}\n\nexit codes:\n{codes}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.set_defaults(handler=command)
    command.add_arguments(parser)
    _add_common_options(parser, command.needs_entry)


def _add_common_options(parser: argparse.ArgumentParser, needs_entry: bool) -> None:
    parser.add_argument(
        "--output",
        choices=[str(value) for value in OutputFormat],
        default=argparse.SUPPRESS,
        help="form of the output (default: text)",
    )
    if needs_entry:
        add_connection_options(parser)
