"""Command ``snapshot diff``."""

import argparse
from dataclasses import asdict
from typing import Any

from redwingport_cli.commands.base import QUERY_EXIT_CODES, CommandHelp, Context
from redwingport_cli.commands.snapshot.collect import (
    Change,
    collect_services,
    compare,
    read_snapshot,
)
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import OutputFormat, cell, print_json


class DiffSnapshot:
    """Compare a snapshot with what is in force."""

    name = "diff"
    needs_entry = True
    help = CommandHelp(
        "compare a snapshot with what is in force",
        "Show the services and fields that differ between a snapshot and what is in force now. "
        "The exit code is 0 whether or not something differs, unless --check is given.",
        "redwingport snapshot diff monday.json\n"
        "redwingport snapshot diff monday.json --check --output json",
        (*QUERY_EXIT_CODES, ExitCode.INVALID),
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", metavar="FILE", help="snapshot; - for standard input")
        parser.add_argument("--check", action="store_true", help="end with 6 if anything differs")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Compare the documents."""
        saved_by_name = read_snapshot(options.file)
        changes = compare(saved_by_name, collect_services(context.client()))
        if context.output is OutputFormat.JSON:
            print_json({"changes": [asdict(change) for change in changes]})
        else:
            for change in changes:
                _print_change(change)
        return ExitCode.INVALID if options.check and changes else ExitCode.DONE


def _print_change(change: Change) -> None:
    print(
        f"{cell(change.service)}: {change.kind} "
        f"(revision {change.saved_revision or 'none'} -> {change.revision or 'none'})"
    )
    for field, values in change.fields.items():
        print(f"  {cell(field)}: {_side(values, 'saved')} -> {_side(values, 'present')}")


def _side(values: dict[str, Any], side: str) -> str:
    return cell(values[side]) if side in values else "(absent)"
