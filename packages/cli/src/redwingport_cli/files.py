"""Input and output files; ``-`` stands for standard input or output."""

import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

from redwingport_cli.exceptions import InvalidFileError, OutputError, UsageError

STANDARD_STREAM = "-"


def read_input(path: str) -> bytes:
    """Read a whole input file.

    :raises UsageError: if it cannot be read.
    """
    try:
        if path == STANDARD_STREAM:
            return sys.stdin.buffer.read()
        return Path(path).read_bytes()
    except OSError as error:
        raise UsageError("read file", path, error.strerror or "cannot be read") from None


def read_json_object(path: str) -> dict[str, Any]:
    """Read a file that holds one JSON object.

    :raises UsageError: if it cannot be read.
    :raises InvalidFileError: if its content is not a JSON object.
    """
    try:
        value = json.loads(read_input(path))
    except ValueError as error:
        raise InvalidFileError("read file", path, f"is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise InvalidFileError("read file", path, "is not a JSON object")
    return value


def write_output(path: str, text: str) -> None:
    """Replace a file atomically, so that no reader sees a partial file.

    Text for standard output is written directly.

    :raises OutputError: if it cannot be written.
    """
    if path == STANDARD_STREAM:
        sys.stdout.write(text)
        return
    target = Path(path)
    try:
        descriptor, temporary = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
        try:
            with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
                stream.write(text)
            os.replace(temporary, target)
        except BaseException:
            os.unlink(temporary)
            raise
    except OSError as error:
        raise OutputError("write file", path, error.strerror or "cannot be written") from None
