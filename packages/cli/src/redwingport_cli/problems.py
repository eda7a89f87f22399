"""Problems reported to the user, by the entry process or by this command."""

import sys
from typing import Any

from redwingport_cli.client import Reply, as_outcome
from redwingport_cli.exceptions import AnswerError, CliError
from redwingport_cli.exit_codes import EXIT_CODE_BY_OUTCOME, ExitCode
from redwingport_cli.rendering import OutputFormat, print_json, print_notice, printable
from redwingport_messages.outcomes import PROBLEM_CONTENT_TYPE, Outcome

TYPE_PREFIX = "urn:redwingport:problem:"
MAX_PLAIN_BODY_BYTES = 200
INVALID_DOCUMENT_STATUSES = (400, 413, 422)


def problem_of_reply(reply: Reply) -> dict[str, Any]:
    """Return the members of the problem that an answer reports.

    An answer without problem details, such as that of a load balancer, is described by its status
    and the start of its body.
    """
    members: dict[str, Any] = {}
    if reply.headers.get("content-type", "").startswith(PROBLEM_CONTENT_TYPE):
        try:
            members = reply.json_object()
        except AnswerError:
            members = {}
    if not members:
        text = reply.body[:MAX_PLAIN_BODY_BYTES].decode("utf-8", "replace")
        members = {"type": f"{TYPE_PREFIX}http-{reply.status}", "detail": text}
    members.setdefault("status", reply.status)
    members["peer"] = members.get("peer") or reply.peer
    for member, header in (
        ("submission", "redwingport-submission"),
        ("retry_after", "retry-after"),
    ):
        if header in reply.headers:
            members.setdefault(member, reply.headers[header])
    if reply.outcome is not None:
        members["outcome"] = str(reply.outcome)
    return members


def problem_of_error(error: CliError, submission: str = "") -> dict[str, Any]:
    """Return the members of the problem that an exception describes.

    :param submission: id of the submission that the problem is about; empty for none.
    """
    members: dict[str, Any] = {
        "type": TYPE_PREFIX + error.code,
        "detail": error.reason,
        "outcome": str(error.outcome),
        "step": error.step,
        "peer": error.peer,
    }
    if error.errors:
        members["errors"] = list(error.errors)
    if submission:
        members["submission"] = submission
    return members


def problem_code(members: dict[str, Any]) -> str:
    """Return the stable name of a problem."""
    return str(members.get("type", "")).removeprefix(TYPE_PREFIX) or "unknown"


def problem_lines(members: dict[str, Any]) -> list[str]:
    """Return the problem as one line of text, and one more line per error in the input."""
    facts = [f"{key} {members[key]}" for key in ("step", "peer", "submission") if members.get(key)]
    if members.get("retryable"):
        facts.append("may be sent again")
    if members.get("retry_after"):
        facts.append(f"retry after {members['retry_after']} s")
    head = ": ".join(str(part) for part in (members.get("outcome"), problem_code(members)) if part)
    line = f"{head}: {members.get('detail', '')}" + (f" ({', '.join(facts)})" if facts else "")
    errors = members.get("errors")
    items = errors if isinstance(errors, list) else []
    return [printable(line), *(f"  - {printable(str(item))}" for item in items)]


def report(members: dict[str, Any], output: OutputFormat) -> None:
    """Print a problem as text to standard error, or as JSON to standard output."""
    if output is OutputFormat.JSON:
        print_json(members)
        return
    first, *errors = problem_lines(members)
    print_notice(first)
    for line in errors:
        print(line, file=sys.stderr)


def exit_code_of_command(reply: Reply, mutates: bool) -> ExitCode:
    """Return the exit code for the answer to a command that is not a submission.

    :param reply: the answer.
    :param mutates: whether the command can change state.
    """
    if reply.succeeded:
        return ExitCode.DONE
    outcome = as_outcome(problem_of_reply(reply).get("outcome"))
    if mutates and outcome is Outcome.FAILED:
        # The entry process failed during the change, which may have taken effect.
        return ExitCode.OUTCOME_UNKNOWN
    if outcome is not None and outcome is not Outcome.COMPLETE:
        return EXIT_CODE_BY_OUTCOME[outcome]
    if 400 <= reply.status < 500:
        return ExitCode.NOT_RUN
    return ExitCode.OUTCOME_UNKNOWN if mutates else ExitCode.FAILED


def exit_code_of_document(reply: Reply) -> ExitCode:
    """Return the exit code for the answer to a change of a document."""
    if reply.status in INVALID_DOCUMENT_STATUSES and problem_of_reply(reply).get("errors"):
        return ExitCode.INVALID
    return exit_code_of_command(reply, mutates=True)


def exit_code_of_submission(reply: Reply) -> ExitCode:
    """Return the exit code for the answer to a submission.

    An answer without an outcome, in its headers or its problem details, was not sent by an entry
    process, so the outcome is unknown. A failure that names no submission is a failure of the
    entry process itself; the submission may still run.
    """
    outcome = reply.outcome
    if outcome is None and not reply.succeeded:
        outcome = as_outcome(problem_of_reply(reply).get("outcome"))
    if outcome is Outcome.FAILED and not reply.submission:
        outcome = None
    return ExitCode.OUTCOME_UNKNOWN if outcome is None else EXIT_CODE_BY_OUTCOME[outcome]
