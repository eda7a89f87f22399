"""Submit work, and resubmit it only where this cannot start a task twice."""

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

# The entry process ends a submission within 1 s of its timeout; the rest allows for the network.
ANSWER_GRACE_S = 30.0


def add_identity_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that make a submission idempotent."""
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
    """Return the headers that identify the submission; none without ``--id`` or ``--key``."""
    if options.id is not None:
        return {HEADER_SUBMISSION: options.id}
    return {HEADER_IDEMPOTENCY_KEY: options.key} if options.key is not None else {}


def add_timeout_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the timeout of a submission."""
    parser.add_argument(
        "--timeout",
        type=arguments.seconds,
        metavar="SECONDS",
        default=argparse.SUPPRESS,
        help="longest time the submission may take (default: what the service allows)",
    )


def submission_timeout_s(options: argparse.Namespace, max_timeout_s: float) -> float:
    """Return the timeout of a submission, in seconds.

    :param max_timeout_s: upper bound, and the default without ``--timeout``, in seconds.
    """
    given: float = getattr(options, "timeout", max_timeout_s)
    return min(given, max_timeout_s)


def timeout_header(timeout_s: float) -> dict[str, str]:
    """Return the header with the timeout of a submission, in milliseconds, at least 1.

    :param timeout_s: the timeout, in seconds.
    """
    return {HEADER_TIMEOUT_MS: str(max(1, round(timeout_s * 1000)))}


def issued_id(reply: Reply) -> str:
    """Return the id from the answer to ``POST /v1/submissions``.

    :raises AnswerError: if the answer contains no submission id.
    """
    try:
        (text,) = reply.json_list("submissions")
        return arguments.submission_id(text if isinstance(text, str) else "")
    except (ValueError, argparse.ArgumentTypeError):
        raise AnswerError(
            "issue submission id", reply.peer, "the answer contains no submission id"
        ) from None


def send_submission(client: EntryClient, request: Request) -> tuple[Reply, bool]:
    """Send a submission; after a lost connection, resubmit it to the next entry process.

    Only a submission with an id or a key is resubmitted; without one, the second request would be
    another submission.

    :returns: the answer, and whether an earlier attempt was sent without getting an answer.
    :raises UnreachableError: if nothing was sent.
    :raises ConnectionLostError: if it was sent and no entry process answered.
    """
    try:
        return client.send(request), False
    except ConnectionLostError as error:
        lost = error
    resendable = HEADER_SUBMISSION in request.headers or HEADER_IDEMPOTENCY_KEY in request.headers
    while resendable and client.skip_entry():
        print_notice(f"{lost}; resubmitting to the next entry process")
        try:
            return client.send(request), True
        except ConnectionLostError as error:
            lost = error
        except UnreachableError:
            # An earlier attempt was sent, so the submission may have run.
            break
    raise lost


def show_answer(reply: Reply, output: OutputFormat, sent_before: bool = False) -> ExitCode:
    """Print the answer to a submission and return its exit code.

    :param sent_before: whether an earlier attempt was sent without getting an answer.
    """
    code = exit_code_of_submission(reply)
    if sent_before and code is ExitCode.NOT_RUN and not reply.submission:
        # This attempt was refused before its submission was looked up, so the outcome of the
        # earlier attempt remains unknown.
        code = ExitCode.OUTCOME_UNKNOWN
    if code is ExitCode.DONE:
        write_body(reply.body)
        return code
    members = problem_of_reply(reply)
    if code is ExitCode.OUTCOME_UNKNOWN:
        members["outcome"] = "outcome-unknown"
    report(members, output)
    return code
