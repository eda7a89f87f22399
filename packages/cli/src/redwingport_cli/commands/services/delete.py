"""Command ``services delete``."""

import argparse

from redwingport_cli.client import Request
from redwingport_cli.commands.base import CHANGE_EXIT_CODES, CommandHelp, Context
from redwingport_cli.commands.services.documents import (
    add_revision,
    add_service,
    if_revision,
    service_path,
    show_change,
)
from redwingport_cli.exit_codes import ExitCode


class DeleteService:
    """Delete a service."""

    name = "delete"
    needs_entry = True
    help = CommandHelp(
        "delete a service",
        "Delete a service: its document is replaced by a revision that is marked as deleted. "
        "The change is refused if another revision than --revision is in force.",
        "redwingport services delete print --revision 8",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service and its revision."""
        add_service(parser)
        add_revision(parser, required=True, note="")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Delete the service."""
        headers = if_revision(options.revision)
        request = Request("DELETE", service_path(options.service), headers=headers)
        return show_change(context.client().send(request), options.service, context.output)
