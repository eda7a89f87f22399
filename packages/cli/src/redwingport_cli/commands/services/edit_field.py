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
        "refused if the document was changed in between. VALUE is read as JSON; text that is "
        "no JSON is taken as a string.",
        "redwingport services edit-field print response_weight 0.8\n"
        "redwingport services edit-field print operations.render.idempotent true\n"
        "redwingport services edit-field print operations.render --remove",
        DOCUMENT_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the service, the field and its value."""
        add_service(parser)
        parser.add_argument("field", metavar="FIELD", help="members, separated by full stops")
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
    """Read a value as JSON, or keep it as a string if it is none."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def set_field(document: dict[str, Any], field: str, value: Any) -> None:
    """Set a field in place; absent objects on the way to it are created.

    :param field: members, separated by full stops.
    :raises UsageError: if the way leads through a value that is no object.
    """
    *parents, last = _members(field)
    place = document
    for member in parents:
        if place.get(member) is None:
            place[member] = {}
        place = _object(place[member], field, member)
    place[last] = value


def remove_field(document: dict[str, Any], field: str) -> None:
    """Remove a field in place.

    :param field: members, separated by full stops.
    :raises UsageError: if there is no such field.
    """
    *parents, last = _members(field)
    place = document
    for member in parents:
        place = _object(place.get(member), field, member)
    if last not in place:
        raise UsageError("edit field", field, "the document has no such field")
    del place[last]


def _members(field: str) -> list[str]:
    members = field.split(".")
    if not all(members):
        raise UsageError("edit field", field, "expected members, separated by full stops")
    return members


def _object(value: Any, field: str, member: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise UsageError("edit field", field, f"{member!r} is not an object in the document")
    return value
