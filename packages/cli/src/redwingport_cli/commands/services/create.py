"""Command ``services create``."""

import argparse

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.commands.services.documents import (
    DOCUMENT_EXIT_CODES,
    add_service,
    document_body,
    if_absent,
    put_document,
    show_change,
)
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import read_json_object


class CreateService:
    """Create a service document."""

    name = "create"
    needs_entry = True
    help = CommandHelp(
        "create a service",
        "Store the first document of a service. The command is refused if the service exists.",
        "redwingport services create print --file print.json",
        DOCUMENT_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service and the document."""
        add_service(parser)
        parser.add_argument(
            "--file", required=True, help="the document as JSON; - for standard input"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Create the document."""
        body = document_body(read_json_object(options.file))
        reply = put_document(context.client(), options.service, body, if_absent())
        return show_change(reply, options.service, context.output)
