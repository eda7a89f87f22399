"""Command ``entries``."""

import argparse

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context, query
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import print_list


class Entries:
    """List the entry processes."""

    name = "entries"
    needs_entry = True
    help = CommandHelp(
        "list the entry processes",
        "List the entry processes that one entry process knows, with their details.",
        "redwingport entries --output json",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments of its own."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """List the entry processes."""
        rows = query(context.client(), "/v1/entries").json_list("entries")
        print_list(rows, context.output)
        return ExitCode.DONE
