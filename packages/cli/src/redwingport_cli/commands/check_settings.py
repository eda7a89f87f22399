"""Command ``check-settings``."""

import argparse

from result import Err

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.exceptions import InvalidFileError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import OutputFormat, print_json
from redwingport_entry.settings import load_settings


class CheckSettings:
    """Check a settings file and report all its errors at once."""

    name = "check-settings"
    needs_entry = False
    help = CommandHelp(
        "check a settings file of an entry process",
        "Check a settings file in the same way as the entry process at its start, and print "
        "every error with its section and key. Nothing is sent anywhere.",
        "redwingport check-settings /etc/redwingport/entry.ini",
        (ExitCode.DONE, ExitCode.USAGE, ExitCode.INVALID),
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", metavar="FILE", help="INI file to check")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Check the file."""
        settings = load_settings(options.file)
        if isinstance(settings, Err):
            errors = settings.err_value
            count = "1 error" if len(errors) == 1 else f"{len(errors)} errors"
            raise InvalidFileError("check settings", options.file, count, errors)
        if context.output is OutputFormat.JSON:
            print_json({"file": options.file, "valid": True})
        else:
            print(f"{options.file}: valid")
        return ExitCode.DONE
