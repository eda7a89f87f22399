"""Sending submissions, with resubmission where it cannot start anything twice."""

import argparse

from redwingport_cli import arguments
from redwingport_cli.client import EntryClient, Reply, Request
from redwingport_cli.exceptions import AnswerError, ConnectionLostError, UnreachableError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.problems import exit_code_of_submission, problem_of_reply, report
from redwingport_cli.rendering import OutputFormat, print_notice, write_body
from redwingport_messages.backend import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_SUBMISSION,
    HEADER_TIMEOUT_MS,
)

# The entry process ends a submission within a second of its time; the rest is for the network.
ANSWER_GRACE_S = 30.0


def add_identity_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that make a submission safe to send again."""
    group = parser.add_mutually_exclusive_group()
    group.add_argument(
        "--id", type=arguments.submission_id, help="submit, or submit again, with this id"
    )
    group.add_argument(
        "--key",
        type=arguments.idempotency_key,
        help="submit, or submit again, with a key of your own",
    )


def identity_headers(options: argparse.Namespace) -> dict[str, str]:
    """Return the headers that name the submission; none without ``--id`` and ``--key``."""
    if options.id is not None:
        return {HEADER_SUBMISSION: options.id}
    return {HEADER_IDEMPOTENCY_KEY: options.key} if options.key is not None else {}


def add_timeout_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the time that a submission may take."""
    parser.add_argument(
        "--timeout",
        type=arguments.seconds,
        metavar="SECONDS",
        default=argparse.SUPPRESS,
        help="longest time the submission may take (default: what the service allows)",
    )


def submission_seconds(options: argparse.Namespace, longest_s: float) -> float:
    """Return the time that a submission may take, in seconds.

    :param longest_s: the time when ``--timeout`` is not given, in seconds.
    """
    given: float = getattr(options, "timeout", longest_s)
    return min(given, longest_s)


def timeout_header(seconds: float) -> dict[str, str]:
    """Return the header that tells the entry process how long the caller waits."""
    return {HEADER_TIMEOUT_MS: str(max(1, round(seconds * 1000)))}


def issued_id(reply: Reply) -> str:
    """Return the id from the answer to ``POST /v1/submissions``.

    :raises AnswerError: if the answer holds no submission id.
    """
    try:
        (text,) = reply.json_list("submissions")
        return arguments.submission_id(text if isinstance(text, str) else "")
    except (ValueError, argparse.ArgumentTypeError):
        raise AnswerError("issue submission id", reply.peer, "the answer holds no id") from None


def send_submission(client: EntryClient, request: Request) -> tuple[Reply, bool]:
    """Send a submission; after a lost connection, send it again at the next entry process.

    Only a submission with an id or a key is sent again, because without one the second request
    would be another submission.

    :returns: the answer, and whether the submission had been sent before without an answer.
    :raises UnreachableError: if nothing was sent.
    :raises ConnectionLostError: if it was sent and no entry process answered.
    """
    try:
        return client.send(request), False
    except ConnectionLostError as error:
        lost = error
    named = HEADER_SUBMISSION in request.headers or HEADER_IDEMPOTENCY_KEY in request.headers
    while named and client.skip_entry():
        print_notice(f"{lost}; sending the same submission to the next entry process")
        try:
            return client.send(request), True
        except ConnectionLostError as error:
            lost = error
        except UnreachableError:
            # The submission was sent before, so this is not a submission that never ran.
            break
    raise lost


def show_answer(reply: Reply, output: OutputFormat, sent_before: bool = False) -> ExitCode:
    """Print the answer to a submission and return its exit code.

    :param sent_before: whether the submission had been sent before without an answer.
    """
    code = exit_code_of_submission(reply)
    if sent_before and code is ExitCode.NOT_RUN and not reply.submission:
        # The second request was refused before its submission was looked up, so this says
        # nothing about the first one.
        code = ExitCode.OUTCOME_UNKNOWN
    if code is ExitCode.DONE:
        write_body(reply.body)
        return code
    members = problem_of_reply(reply)
    if code is ExitCode.OUTCOME_UNKNOWN:
        members["outcome"] = "outcome-unknown"
    report(members, output)
    return code
