"""Command ``services edit-field``."""

import argparse
import json
from typing import Any

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.commands.services.documents import (
    DOCUMENT_EXIT_CODES,
    add_revision,
    add_service,
    document_body,
    if_revision,
    put_document,
    read_document,
    show_change,
)
from redwingport_cli.exceptions import UsageError
from redwingport_cli.exit_codes import ExitCode


class EditField:
    """Change one field of a service document."""

    name = "edit-field"
    needs_entry = True
    help = CommandHelp(
        "change one field of a service document",
        "Read the document of a service, set or remove one field and store it. The change is "
        "refused if the document was changed in the meantime. VALUE is parsed as JSON; text that "
        "is not valid JSON is taken as a string.",
        "redwingport services edit-field print response_weight 0.8\n"
        "redwingport services edit-field print operations.render.idempotent true\n"
        "redwingport services edit-field print operations.render --remove",
        DOCUMENT_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service, the field and its value."""
        add_service(parser)
        parser.add_argument(
            "field", metavar="FIELD", help="path of the field; its members are separated by dots"
        )
        parser.add_argument("value", metavar="VALUE", nargs="?", help="the new value")
        parser.add_argument("--remove", action="store_true", help="remove the field")
        add_revision(parser, required=False, note=" (default: the revision just read)")

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Change the field."""
        if options.remove != (options.value is None):
            raise UsageError("read options", "", "give either VALUE or --remove")
        client = context.client()
        revision, document = read_document(client, options.service)
        if options.remove:
            remove_field(document, options.field)
        else:
            set_field(document, options.field, json_or_text(options.value))
        condition = if_revision(options.revision or revision)
        reply = put_document(client, options.service, document_body(document), condition)
        return show_change(reply, options.service, context.output)


def json_or_text(text: str) -> Any:
    """Parse a value as JSON, or keep it as a string if it is not valid JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def set_field(document: dict[str, Any], field: str, value: Any) -> None:
    """Set a field in place and create parent objects that are missing or null.

    :param field: path of the field; its members are separated by dots.
    :raises UsageError: if a parent of the field is not an object.
    """
    *parents, last = _split_path(field)
    parent = document
    for member in parents:
        if parent.get(member) is None:
            parent[member] = {}
        parent = _require_object(parent[member], field, member)
    parent[last] = value


def remove_field(document: dict[str, Any], field: str) -> None:
    """Remove a field in place.

    :param field: path of the field; its members are separated by dots.
    :raises UsageError: if there is no such field.
    """
    *parents, last = _split_path(field)
    parent = document
    for member in parents:
        parent = _require_object(parent.get(member), field, member)
    if last not in parent:
        raise UsageError("edit field", field, "the document has no such field")
    del parent[last]


def _split_path(field: str) -> list[str]:
    members = field.split(".")
    if not all(members):
        raise UsageError("edit field", field, "expected members, separated by dots")
    return members


def _require_object(value: Any, field: str, member: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise UsageError("edit field", field, f"{member!r} is not an object in the document")
    return value
