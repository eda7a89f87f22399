"""Output of results as text or JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any


class OutputFormat(StrEnum):
    """Formats of the output."""

    TEXT = "text"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_rows(rows: Sequence[Mapping[str, Any]], columns: Sequence[str] = ()) -> None:
    """Print objects as a table.

    :param rows: objects by column name.
    :param columns: columns that come first; the others follow in order of appearance.
    """
    names = list(dict.fromkeys([*columns, *(key for row in rows for key in row)]))
    if not names:
        return
    lines = [names, *([cell(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    for line in lines:
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def cell(value: Any) -> str:
    """Return a JSON value as text on one line."""
    if isinstance(value, str):
        return printable(value)
    return json.dumps(value, separators=(",", ":"))


def printable(text: str) -> str:
    """Replace control characters, which could control the user's terminal."""
    return "".join(char if char.isprintable() else "?" for char in text)


def print_notice(text: str) -> None:
    """Print a message for the user to standard error."""
    print(f"redwingport: {printable(text)}", file=sys.stderr, flush=True)


def write_body(body: bytes) -> None:
    """Write the body of an answer to standard output; on a terminal, end its last line."""
    sys.stdout.flush()
    sys.stdout.buffer.write(body)
    if sys.stdout.isatty() and not body.endswith(b"\n"):
        sys.stdout.buffer.write(b"\n")
    sys.stdout.buffer.flush()


def print_list(rows: Sequence[Any], output: OutputFormat, columns: Sequence[str] = ()) -> None:
    """Print a list of objects in the requested format.

    :param rows: objects; other values are omitted from a table.
    :param output: format of the output.
    :param columns: columns of the table that come first.
    """
    if output is OutputFormat.JSON:
        print_json(rows)
    else:
        print_rows([row for row in rows if isinstance(row, dict)], columns)
