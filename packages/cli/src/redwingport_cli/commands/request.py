"""Command ``request``."""

import argparse

from redwingport_cli import arguments
from redwingport_cli.client import Request
from redwingport_cli.commands.base import CHANGE_EXIT_CODES, CommandHelp, Context
from redwingport_cli.commands.submit import send_and_show
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import read_input
from redwingport_cli.submitting import (
    ANSWER_GRACE_S,
    add_identity_options,
    add_timeout_option,
    identity_headers,
    submission_timeout_s,
    timeout_header,
)

# A service document allows an operation timeout of at most ten minutes.
MAX_REQUEST_TIMEOUT_S = 600.0


class SendRequest:
    """Send one request to an operation of a service."""

    name = "request"
    needs_entry = True
    help = CommandHelp(
        "send one request to an operation of a service",
        "Send one request and write the body of its answer to standard output unchanged. "
        "Without --id or --key, a request whose connection is lost is not resubmitted.",
        "redwingport request --service booking --operation availability --body query.json",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service, the operation, the body and its identity."""
        parser.add_argument(
            "--service", type=arguments.name, required=True, help="name of the service"
        )
        parser.add_argument(
            "--operation", type=arguments.name, required=True, help="name of the operation"
        )
        parser.add_argument(
            "--body", metavar="FILE", help="body of the request; - for standard input"
        )
        parser.add_argument(
            "--content-type",
            type=arguments.media_type,
            default="application/octet-stream",
            help="media type of the body (default: %(default)s)",
        )
        add_identity_options(parser)
        add_timeout_option(parser)

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Send the request."""
        body = read_input(options.body) if options.body is not None else b""
        path = f"/v1/services/{options.service}/operations/{options.operation}"
        timeout_s = submission_timeout_s(options, MAX_REQUEST_TIMEOUT_S)
        headers = {**identity_headers(options), **timeout_header(timeout_s)}
        headers["Content-Type"] = options.content_type
        client = context.client(timeout_s + ANSWER_GRACE_S)
        return send_and_show(client, Request("POST", path, body, headers), context.output)
