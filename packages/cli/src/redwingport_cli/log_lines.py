"""Lines of the JSON logs of processes."""

import datetime
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log.

    :param source: log file, followed by the last word of the line's prefix if it has one; it
        stands for one process.
    :param at: Unix time on the clock of the VM that wrote the line, in seconds.
    :param fields: JSON members of the line.
    """

    source: str
    at: float
    fields: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get("event", ""))


def read_lines(name: str, text: str) -> Iterator[LogLine | None]:
    """Parse a log; yield None for each line that cannot be parsed.

    A prefix before the JSON object, as log collectors add it, tells processes apart: its last
    word becomes part of the source.
    """
    for line in text.splitlines():
        if line.strip():
            yield _read_line(name, line)


def _read_line(name: str, line: str) -> LogLine | None:
    before, brace, rest = line.partition("{")
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields["time"]).timestamp()
    except (ValueError, KeyError, TypeError):
        return None
    words = before.split()
    return LogLine(f"{name}:{words[-1]}" if words else name, at, fields)
