"""Command ``show``."""

import argparse

from redwingport_cli import arguments
from redwingport_cli.client import Request
from redwingport_cli.commands.base import CHANGE_EXIT_CODES, CommandHelp, Context
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.rendering import OutputFormat, cell, print_json
from redwingport_cli.submitting import show_answer

ACCEPTED = 202


class Show:
    """Show the answer or the state of a submission."""

    name = "show"
    needs_entry = True
    help = CommandHelp(
        "show the answer or the state of a submission",
        "Print the stored answer of a submission, or its state while there is no answer. The "
        "exit code is that of the submission: 0 if its answer is complete, 4 while it is running "
        "or its id is unused. Nothing is started.",
        "redwingport show bkk-a.entry-1.0123456789abcdef.17.89abcdef01234567",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the submission id."""
        parser.add_argument(
            "id", metavar="ID", type=arguments.submission_id, help="id of the submission"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Show the submission."""
        path = f"/v1/submissions/{options.id}"
        reply = context.client().send(Request("GET", path, mutates=False))
        if reply.status != ACCEPTED:
            return show_answer(reply, context.output)
        state = reply.json_object()
        if context.output is OutputFormat.JSON:
            print_json(state)
        else:
            print(f"{options.id}: {cell(state.get('state', 'unknown'))}")
        return ExitCode.OUTCOME_UNKNOWN
