"""Command ``jobs list``."""

import argparse

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context, query
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import print_list

COLUMNS = ("submission", "service", "state", "tasks", "done")


class ListJobs:
    """List the jobs of one entry process."""

    name = "list"
    needs_entry = True
    help = CommandHelp(
        "list the jobs of one entry process",
        "List the jobs that the entry process holds, with the number of their tasks and of the "
        "tasks that have ended.",
        "redwingport jobs list",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments of its own."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """List the jobs."""
        rows = query(context.client(), "/v1/jobs").json_list("jobs")
        print_list(rows, context.output, COLUMNS)
        return ExitCode.DONE
