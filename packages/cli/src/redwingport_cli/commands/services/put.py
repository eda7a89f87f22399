"""Command ``services put``."""

import argparse

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.commands.services.documents import (
    DOCUMENT_EXIT_CODES,
    add_revision,
    add_service,
    document_body,
    if_revision,
    put_document,
    show_change,
)
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import read_json_object


class PutService:
    """Replace a service document."""

    name = "put"
    needs_entry = True
    help = CommandHelp(
        "replace a service document",
        "Replace the document of a service. The change is refused if another revision than "
        "--revision is in force. If the outcome is unknown, 'redwingport services get SERVICE' "
        "shows what is in force.",
        "redwingport services put print --file print.json --revision 7",
        DOCUMENT_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service, the document and its revision."""
        add_service(parser)
        parser.add_argument(
            "--file", required=True, help="the document as JSON; - for standard input"
        )
        add_revision(parser, required=True, note="")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Replace the document."""
        body = document_body(read_json_object(options.file))
        condition = if_revision(options.revision)
        reply = put_document(context.client(), options.service, body, condition)
        return show_change(reply, options.service, context.output)
