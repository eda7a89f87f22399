"""Read and change service documents through an entry process."""

import argparse
import json
from typing import Any

from redwingport_cli import arguments
from redwingport_cli.client import EntryClient, Reply, Request
from redwingport_cli.commands.base import CHANGE_EXIT_CODES, query, report_reply
from redwingport_cli.exceptions import AnswerError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.problems import exit_code_of_document
from redwingport_cli.rendering import OutputFormat, print_json

DOCUMENT_EXIT_CODES = (*CHANGE_EXIT_CODES, ExitCode.INVALID)


def add_service(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the name of the service."""
    parser.add_argument(
        "service", metavar="SERVICE", type=arguments.name, help="name of the service"
    )


def add_revision(parser: argparse.ArgumentParser, required: bool, note: str) -> None:
    """Add the option for the revision that the change is based on.

    :param note: text that is appended to the help of the option; empty for none.
    """
    parser.add_argument(
        "--revision",
        type=arguments.revision,
        required=required,
        help=f"revision that the change is based on; refused if another one is in force{note}",
    )


def service_path(service: str) -> str:
    """Return the path of a service document."""
    return f"/v1/services/{service}"


def read_document(client: EntryClient, service: str) -> tuple[int, dict[str, Any]]:
    """Read a service document.

    :returns: its revision and its members.
    :raises RefusedQueryError: if there is no such document.
    :raises AnswerError: if the answer does not contain a document and its revision.
    """
    return _parse_document(query(client, service_path(service)))


def put_document(
    client: EntryClient, service: str, body: bytes, condition: dict[str, str]
) -> Reply:
    """Store a service document if a condition holds.

    :param body: JSON text of the document.
    :param condition: headers from :func:`if_revision` or :func:`if_absent`.
    """
    headers = {"Content-Type": "application/json", **condition}
    return client.send(Request("PUT", service_path(service), body, headers))


def if_revision(revision: int) -> dict[str, str]:
    """Return the header for the condition that this revision is in force."""
    return {"If-Match": f'"{revision}"'}


def if_absent() -> dict[str, str]:
    """Return the header for the condition that the document does not exist."""
    return {"If-None-Match": "*"}


def document_body(document: dict[str, Any]) -> bytes:
    """Return the JSON text of a document."""
    return json.dumps(document, sort_keys=True).encode()


def show_change(reply: Reply, service: str, output: OutputFormat) -> ExitCode:
    """Print the new revision of a document, or the reason why it was not changed."""
    if not reply.succeeded:
        return report_reply(reply, output, exit_code_of_document(reply))
    if output is OutputFormat.JSON:
        print_json(reply.json_object() if reply.body else {})
    elif reply.body:
        print(f"{service}: revision {_parse_document(reply)[0]}")
    else:
        print(f"{service}: changed")
    return ExitCode.DONE


def _parse_document(reply: Reply) -> tuple[int, dict[str, Any]]:
    members = reply.json_object()
    revision, document = members.get("revision"), members.get("document")
    if not isinstance(revision, int) or not isinstance(document, dict):
        raise AnswerError("read document", reply.peer, "the answer has no revision or no document")
    return revision, document
