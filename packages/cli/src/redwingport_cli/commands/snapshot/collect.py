"""Collecting all service documents and comparing two collections."""

from dataclasses import dataclass
from typing import Any

from redwingport_cli.client import EntryClient
from redwingport_cli.commands.base import RefusedQueryError, query
from redwingport_cli.commands.services.documents import read_document
from redwingport_cli.exceptions import AnswerError, InvalidFileError
from redwingport_cli.files import read_json_object

NOT_FOUND = 404
_ABSENT = object()


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one difference between a snapshot and what is in force.

    :param service: name of the service.
    :param kind: ``added``, ``removed`` or ``changed``.
    :param saved_revision: revision in the snapshot, 0 for none.
    :param revision: revision in force, 0 for none.
    :param fields: saved and present value by field; a missing value is absent.
    """

    service: str
    kind: str
    saved_revision: int
    revision: int
    fields: dict[str, dict[str, Any]]


def collect_services(client: EntryClient) -> dict[str, dict[str, Any]]:
    """Read all service documents.

    :returns: ``{"revision": N, "document": {...}}`` by service name.
    :raises RefusedQueryError: if an answer is not a success.
    """
    reply = query(client, "/v1/services")
    stored_by_name: dict[str, dict[str, Any]] = {}
    for row in reply.json_list("services"):
        name = row.get("name") if isinstance(row, dict) else None
        if not isinstance(name, str):
            raise AnswerError("list services", reply.peer, "an item has no name")
        try:
            revision, document = read_document(client, name)
        except RefusedQueryError as error:
            # The service was deleted after the list was read.
            if error.reply.status == NOT_FOUND:
                continue
            raise
        stored_by_name[name] = {"revision": revision, "document": document}
    return stored_by_name


def read_snapshot(path: str) -> dict[str, dict[str, Any]]:
    """Read a snapshot file.

    :returns: ``{"revision": N, "document": {...}}`` by service name.
    :raises InvalidFileError: if the file is no snapshot.
    """
    services = read_json_object(path).get("services")
    if not isinstance(services, dict):
        raise InvalidFileError("read snapshot", path, "has no object 'services'")
    errors = tuple(
        f"services.{name}: expected a revision and a document"
        for name, stored in services.items()
        if not _is_stored(stored)
    )
    if errors:
        raise InvalidFileError("read snapshot", path, "is no snapshot", errors)
    return services


def compare(
    saved_by_name: dict[str, dict[str, Any]], present_by_name: dict[str, dict[str, Any]]
) -> list[Change]:
    """List the differences between a snapshot and what is in force, by service name."""
    changes = []
    for name in sorted(saved_by_name.keys() | present_by_name.keys()):
        saved, present = saved_by_name.get(name), present_by_name.get(name)
        if saved != present:
            changes.append(_change(name, saved, present))
    return changes


def _change(name: str, saved: dict[str, Any] | None, present: dict[str, Any] | None) -> Change:
    if saved is None or present is None:
        kind = "added" if saved is None else "removed"
        fields = {}
    else:
        kind = "changed"
        fields = _field_changes("", saved["document"], present["document"])
    saved_revision = saved["revision"] if saved else 0
    return Change(name, kind, saved_revision, present["revision"] if present else 0, fields)


def _field_changes(field: str, saved: Any, present: Any) -> dict[str, dict[str, Any]]:
    if isinstance(saved, dict) and isinstance(present, dict):
        changes: dict[str, dict[str, Any]] = {}
        for key in sorted(saved.keys() | present.keys()):
            inner = f"{field}.{key}" if field else key
            values = saved.get(key, _ABSENT), present.get(key, _ABSENT)
            changes.update(_field_changes(inner, *values))
        return changes
    if saved == present and type(saved) is type(present):
        return {}
    sides = {"saved": saved, "present": present}
    return {field: {side: value for side, value in sides.items() if value is not _ABSENT}}


def _is_stored(stored: Any) -> bool:
    return (
        isinstance(stored, dict)
        and isinstance(stored.get("revision"), int)
        and isinstance(stored.get("document"), dict)
    )
