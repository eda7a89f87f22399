"""Command ``submit``."""

import argparse

from redwingport_cli import arguments
from redwingport_cli.client import EntryClient, Request
from redwingport_cli.commands.base import (
    CHANGE_EXIT_CODES,
    CommandHelp,
    Context,
    report_reply,
)
from redwingport_cli.exceptions import ConnectionLostError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import read_input
from redwingport_cli.problems import problem_of_error, report
from redwingport_cli.rendering import OutputFormat, print_notice
from redwingport_cli.submitting import (
    ANSWER_GRACE_S,
    add_identity_options,
    add_timeout_option,
    identity_headers,
    issued_id,
    send_submission,
    show_answer,
    submission_timeout_s,
    timeout_header,
)
from redwingport_messages.backend import HEADER_SUBMISSION

# A service document allows a job timeout of at most one hour.
MAX_JOB_TIMEOUT_S = 3_600.0


class Submit:
    """Submit a job and print its answer."""

    name = "submit"
    needs_entry = True
    help = CommandHelp(
        "submit a job and wait for its answer",
        "Submit a job and print its complete answer. Without --id or --key, the command first "
        "obtains a submission id and prints it on standard error, so that the same submission "
        "can be resubmitted with --id. If the connection is lost while waiting, the job is "
        "resubmitted with the same id or key to the next --entry; no task starts twice.",
        "redwingport submit --service print --file job.json\n"
        "redwingport submit --service print --file job.json --key invoice-2291",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service, the job and its id or key."""
        parser.add_argument(
            "--service", type=arguments.name, required=True, help="name of the service"
        )
        parser.add_argument(
            "--file", required=True, metavar="JOB.json", help="the job; - for standard input"
        )
        add_identity_options(parser)
        add_timeout_option(parser)

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Submit the job."""
        body = read_input(options.file)
        timeout_s = submission_timeout_s(options, MAX_JOB_TIMEOUT_S)
        client = context.client(timeout_s + ANSWER_GRACE_S)
        headers = identity_headers(options)
        if not headers:
            reply = client.send(Request("POST", "/v1/submissions?count=1", mutates=False))
            if not reply.succeeded:
                return report_reply(reply, context.output)
            headers = {HEADER_SUBMISSION: issued_id(reply)}
        if HEADER_SUBMISSION in headers:
            print_notice(f"submission {headers[HEADER_SUBMISSION]}")
        path = f"/v1/services/{options.service}/jobs"
        headers.update(timeout_header(timeout_s))
        headers["Content-Type"] = "application/json"
        return send_and_show(client, Request("POST", path, body, headers), context.output)


def send_and_show(client: EntryClient, request: Request, output: OutputFormat) -> ExitCode:
    """Send a submission and print its answer, or a problem if the connection was lost."""
    try:
        reply, sent_before = send_submission(client, request)
    except ConnectionLostError as error:
        report(problem_of_error(error, request.headers.get(HEADER_SUBMISSION, "")), output)
        return error.exit_code
    return show_answer(reply, output, sent_before)
