"""Command ``cancel``."""

import argparse

from redwingport_cli import arguments
from redwingport_cli.client import Reply, Request
from redwingport_cli.commands.base import (
    CHANGE_EXIT_CODES,
    CommandHelp,
    Context,
    report_reply,
)
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.problems import (
    exit_code_of_submission,
    problem_code,
    problem_of_reply,
)
from redwingport_cli.rendering import OutputFormat, print_json, printable
from redwingport_messages.outcomes import Outcome

CANCELLED = "cancelled"


class Cancel:
    """Cancel a submission."""

    name = "cancel"
    needs_entry = True
    help = CommandHelp(
        "cancel a submission",
        "Cancel a submission: queued tasks are dropped and running ones are stopped. The "
        "command ends with 0 when the submission has ended and no task of it will run any more, "
        "and prints its outcome, which is 'complete' if it had completed before.",
        "redwingport cancel bkk-a.entry-1.0123456789abcdef.17.89abcdef01234567",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the submission id."""
        parser.add_argument(
            "id", metavar="ID", type=arguments.submission_id, help="id of the submission"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Cancel the submission."""
        reply = context.client().send(Request("DELETE", f"/v1/submissions/{options.id}"))
        if not _has_ended(reply):
            return report_reply(reply, context.output, exit_code_of_submission(reply))
        code = problem_code(problem_of_reply(reply)) if not reply.succeeded else ""
        if context.output is OutputFormat.JSON:
            print_json({"submission": options.id, "outcome": reply.outcome, "code": code})
        else:
            print(f"{options.id}: {reply.outcome}" + (f" ({printable(code)})" if code else ""))
        return ExitCode.DONE


def _has_ended(reply: Reply) -> bool:
    """Tell whether the submission has ended, as opposed to a refused cancellation."""
    if not reply.submission:
        return False
    if reply.outcome is Outcome.NOT_RUN:
        return problem_code(problem_of_reply(reply)) == CANCELLED
    return reply.outcome in (Outcome.COMPLETE, Outcome.FAILED)
