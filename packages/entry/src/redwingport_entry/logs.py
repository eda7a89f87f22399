"""Structured logging: one line per event, as JSON or as key=value pairs."""

import json
import logging
import sys
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from redwingport_entry.settings import LogSettings

ROOT = "redwingport"
DECISIONS = "redwingport.decisions"
LIBRARIES = ("uvicorn", "asyncio")

# Created once, because json.dumps with these options creates an encoder for each call.
_encode = json.JSONEncoder(default=str).encode


class LineFormatter(logging.Formatter):
    """Format an event and its fields, which are passed as ``extra={"fields": {...}}``."""

    def __init__(self, as_json: bool) -> None:
        super().__init__()
        self._as_json = as_json
        self._second = 0
        self._second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record; see :class:`logging.Formatter`."""
        fields: dict[str, Any] = {
            "time": f"{self._format_second(int(record.created))}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["error"] = " | ".join(self.formatException(record.exc_info).splitlines()[-1:])
        if self._as_json:
            return _encode(fields)
        return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())

    def _format_second(self, second: int) -> str:
        """Return a second of Unix time as text, cached because many lines share it."""
        if second != self._second:
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self._second, self._second_text = second, text
        return self._second_text


def _quoted(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    # Quoting prevents a value from callers or peers from starting a new line or field.
    if not text or any(c in ' "=\\' or not c.isprintable() for c in text):
        return json.dumps(text)
    return text


def configure_logging(settings: "LogSettings") -> None:
    """Configure the loggers of the process.

    :param settings: the log settings.
    """
    handler: logging.Handler
    if settings.file:
        handler = logging.FileHandler(settings.file, encoding="utf-8")
    else:
        handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LineFormatter(settings.format == "json"))
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(settings.level.upper())
    for name in LIBRARIES:
        # Their own handlers would write multi-line tracebacks to standard error.
        library = logging.getLogger(name)
        library.handlers[:] = [handler]
        library.propagate = False
        library.setLevel(logging.WARNING)
    decisions = logging.getLogger(DECISIONS)
    decisions.setLevel(settings.level.upper() if settings.decisions else logging.ERROR)


def log_event(logger: logging.Logger, level: int, event: str, /, **fields: Any) -> None:
    """Log an event with its fields.

    :param logger: the logger.
    :param level: level of the line.
    :param event: name of the event, in kebab case.
    :param fields: further fields of the line.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})
