"""Command ``services list``."""

import argparse

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context, query
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import print_list

COLUMNS = ("name", "revision", "team")


class ListServices:
    """List the services."""

    name = "list"
    needs_entry = True
    help = CommandHelp(
        "list the services",
        "List the services with the revision of their documents and the owning teams.",
        "redwingport services list",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments of its own."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """List the services."""
        rows = query(context.client(), "/v1/services").json_list("services")
        print_list(rows, context.output, COLUMNS)
        return ExitCode.DONE
