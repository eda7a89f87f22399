"""The catalogue of log events matches the code."""

import ast
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

import redwingport_dispatch
import redwingport_entry
from redwingport_dispatch.events import (
    BEGIN,
    EARLIER_OFFER_FIELDS,
    EARLIER_RUN_FIELDS,
    END,
    EVENTS,
    OWNER_FIELDS,
    PROGRESS_FIELDS,
    REFUSAL_FIELDS,
    REQUEST_FIELDS,
    insert_events,
    render_events,
)

SOURCE = Path(redwingport_dispatch.__file__).parent
ADAPTER = Path(__file__).parents[3] / "platform" / "src"
HTTP_SERVER = Path(redwingport_entry.__file__).parent / "http_server.py"
WRITERS = {"log_event", "log_decision", "_log_moved", "_log_run"}
RUN_FIELDS = ("task", "run", "server", "born_ms")
# Fields that are passed as a dictionary, by the name of the variable.
FIELDS_BY_VARIABLE = {
    ("owner.py", "earlier"): EARLIER_RUN_FIELDS,
    ("holder.py", "earlier"): EARLIER_OFFER_FIELDS,
    ("holder.py", "requests"): REQUEST_FIELDS,
    ("owner.py", "inputs"): REFUSAL_FIELDS,
}
# Written by the log handler, not through a function with fields.
WRITTEN_BY_HANDLER = {"log-lines-suppressed"}


def calls() -> Iterator[tuple[str, set[str]]]:
    """Yield the event and the fields of each call that writes a log line."""
    for path in [*SOURCE.rglob("*.py"), *ADAPTER.rglob("*.py"), HTTP_SERVER]:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            texts = [
                arg.value
                for arg in node.args
                if isinstance(arg, ast.Constant) and isinstance(arg.value, str)
            ]
            if name in WRITERS and texts:
                fields = {keyword.arg for keyword in node.keywords if keyword.arg}
                if name == "_log_moved":
                    fields |= set(PROGRESS_FIELDS)
                elif name == "_log_run":
                    fields |= set(RUN_FIELDS)
                if name != "log_event":
                    fields |= set(OWNER_FIELDS)
                for keyword in node.keywords:
                    if keyword.arg is None:
                        assert isinstance(keyword.value, ast.Name)
                        fields |= set(FIELDS_BY_VARIABLE[path.name, keyword.value.id])
                yield texts[0], fields


def test_catalogue_lists_every_event_with_its_fields() -> None:
    written: dict[str, set[str]] = defaultdict(set)
    for event, fields in calls():
        written[event] |= fields
    listed = {event.name: set(event.fields) for event in EVENTS}
    assert set(written) == set(listed) - WRITTEN_BY_HANDLER
    for name, fields in written.items():
        assert fields == listed[name], name


def test_each_event_is_listed_once() -> None:
    names = [event.name for event in EVENTS]
    assert len(set(names)) == len(names)


def test_table_replaces_text_between_the_marks() -> None:
    page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
    written = insert_events(page)
    assert written == f"before\n{BEGIN}\n{render_events()}\n{END}\nafter\n"
    assert insert_events(written) == written


def test_page_without_marks_is_rejected() -> None:
    with pytest.raises(ValueError, match="lacks the marks"):
        insert_events("no marks")
