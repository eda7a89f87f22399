"""Command ``snapshot save``."""

import argparse
import json

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context
from redwingport_cli.commands.snapshot.collect import collect_services
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import write_output
from redwingport_cli.rendering import print_notice


class SaveSnapshot:
    """Save all service documents in a file."""

    name = "save"
    needs_entry = True
    help = CommandHelp(
        "save all service documents",
        "Save all service documents with their revisions as JSON. The file is replaced as a "
        "whole, and only when every document was read. The documents are read one after the "
        "other, so a change made meanwhile may or may not be in the file.",
        "redwingport snapshot save monday.json",
        QUERY_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", metavar="FILE", help="file; - for standard output")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Save the documents."""
        stored_by_name = collect_services(context.client())
        text = json.dumps({"services": stored_by_name}, indent=2, sort_keys=True) + "\n"
        write_output(options.file, text)
        print_notice(f"{len(stored_by_name)} service documents saved")
        return ExitCode.DONE
