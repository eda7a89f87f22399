"""Command ``services status``."""

import argparse
from typing import Any

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context, query
from redwingport_cli.commands.services.documents import add_service, service_path
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import OutputFormat, cell, print_json


class ServiceStatus:
    """Show which revision of a service document is in force at each entry process."""

    name = "status"
    needs_entry = True
    help = CommandHelp(
        "show which revision is in force at each entry process",
        "Show the revision of a service document that each entry process has in force, and the "
        "entry processes that did not answer.",
        "redwingport services status print --output json",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service."""
        add_service(parser)

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Show the status."""
        reply = query(context.client(), f"{service_path(options.service)}/status")
        status = reply.json_object()
        if context.output is OutputFormat.JSON:
            print_json(status)
        else:
            _print_status(status)
        return ExitCode.DONE


def _print_status(status: dict[str, Any]) -> None:
    revision = status.get("revision")
    print(f"{cell(status.get('name', ''))}: revision {cell(revision)}")
    in_force = status.get("in_force")
    for entry, entry_revision in sorted(in_force.items() if isinstance(in_force, dict) else ()):
        mark = "" if entry_revision == revision else "  (another revision)"
        print(f"  {cell(entry)}: {cell(entry_revision)}{mark}")
    not_answered = status.get("not_answered")
    for entry in not_answered if isinstance(not_answered, list) else ():
        print(f"  {cell(entry)}: no answer")
