"""Command ``servers``."""

import argparse

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context, query
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import print_list


class Servers:
    """List the backend servers as one entry process sees them."""

    name = "servers"
    needs_entry = True
    help = CommandHelp(
        "list the backend servers as one entry process sees them",
        "List the workers and executors that an entry process uses, with its view of their load, "
        "speed and ejection. Each entry process has its own view.",
        "redwingport servers --output json",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments of its own."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """List the backend servers."""
        rows = query(context.client(), "/v1/servers").json_list("servers")
        print_list(rows, context.output)
        return ExitCode.DONE
