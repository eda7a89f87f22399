"""Command ``settings-reference``."""

import argparse
import sys

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.exceptions import InvalidFileError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import read_input
from redwingport_cli.settings_markdown import settings_markdown


class SettingsReference:
    """Print the reference of all settings."""

    name = "settings-reference"
    needs_entry = False
    help = CommandHelp(
        "print the reference of all settings as Markdown",
        "Print a Markdown page with every section and key of the settings file, generated from "
        "the definitions that the entry process uses.",
        "redwingport settings-reference > docs/settings.md\n"
        "redwingport settings-reference --check docs/settings.md",
        (ExitCode.DONE, ExitCode.USAGE, ExitCode.INVALID),
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file to compare with."""
        parser.add_argument(
            "--check", metavar="FILE", help="print nothing; exit with 6 if FILE is not current"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Print the page, or compare it with a file."""
        page = settings_markdown()
        if options.check is None:
            sys.stdout.write(page)
            return ExitCode.DONE
        if read_input(options.check) != page.encode():
            raise InvalidFileError(
                "check settings reference",
                options.check,
                "is not current; write it again with 'redwingport settings-reference'",
            )
        return ExitCode.DONE
