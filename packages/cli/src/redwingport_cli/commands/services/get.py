"""Command ``services get``."""

import argparse

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context
from redwingport_cli.commands.services.documents import add_service, read_document
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import OutputFormat, print_json, print_notice


class GetService:
    """Print a service document."""

    name = "get"
    needs_entry = True
    help = CommandHelp(
        "print a service document",
        "Print a service document to standard output, in the format that 'put' accepts, and its "
        "revision to standard error. With --output json, both are on standard output, as "
        '{"revision": N, "document": {...}}.',
        "redwingport services get print > print.json",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service."""
        add_service(parser)

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Print the document."""
        revision, document = read_document(context.client(), options.service)
        if context.output is OutputFormat.JSON:
            print_json({"revision": revision, "document": document})
        else:
            print_notice(f"{options.service}: revision {revision}")
            print_json(document)
        return ExitCode.DONE
