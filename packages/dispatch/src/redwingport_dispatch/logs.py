"""Non-blocking logging to standard output with a limited volume."""

import logging
import os
import sys
import threading
import time
from collections import deque
from typing import Any

from redwingport_dispatch.settings import LogSettings
from redwingport_entry.logs import LIBRARIES, ROOT, LineFormatter

# Time for which lines are collected into one write, as each write wakes a thread.
WRITE_INTERVAL_S = 0.1
# Maximum number of queued lines while the reader of standard output is blocked.
MAX_QUEUED_LINES = 5000
# Timeout for writing the remaining lines when the process exits.
CLOSE_TIMEOUT_S = 0.5
SUPPRESSED_LINE = '{"level": "warning", "event": "log-lines-suppressed", "count": %d}'


class BoundedHandler(logging.Handler):
    """Queue lines for a writer thread; drop and count lines that exceed the limits.

    Warnings and errors are exempt from the limit of lines per second, but not from that of the
    queue.

    :param settings: log settings.
    :param descriptor: file descriptor to write to.
    """

    def __init__(self, settings: LogSettings, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._lines_per_second = settings.lines_per_second
        self._descriptor = descriptor
        self._queued_lines: deque[str] = deque()
        self._second = 0
        self._lines_in_second = 0
        self._reported_drops = 0
        self._closing = threading.Event()
        self._has_lines = threading.Event()
        self._thread = threading.Thread(target=self._write_all, name="log-writer", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line; see :class:`logging.Handler`."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        over_rate = (
            self._lines_in_second > self._lines_per_second and record.levelno < logging.WARNING
        )
        if over_rate or len(self._queued_lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queued_lines.append(self.format(record))
        if not self._has_lines.is_set():
            self._has_lines.set()

    def close(self) -> None:
        """Write the queued lines, within a timeout; see :class:`logging.Handler`."""
        self._closing.set()
        self._has_lines.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _write_all(self) -> None:
        while not self._closing.is_set():
            self._has_lines.wait()
            self._closing.wait(WRITE_INTERVAL_S)
            self._has_lines.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        lines = []
        while self._queued_lines:
            lines.append(self._queued_lines.popleft())
        dropped = self.dropped
        if dropped > self._reported_drops:
            lines.append(SUPPRESSED_LINE % (dropped - self._reported_drops))
            self._reported_drops = dropped
        data = "".join(f"{line}\n" for line in lines).encode()
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # Standard output is closed, so the error cannot be logged.
                self.dropped += len(lines)
                return


def configure_logging(settings: LogSettings) -> BoundedHandler:
    """Configure the loggers of the process.

    :param settings: log settings.
    :returns: the handler, which counts the lines that it drops.
    """
    handler = BoundedHandler(settings, sys.stdout.fileno())
    handler.setFormatter(LineFormatter(as_json=True))
    # Lines contain no source location, thread or process; determining these costs more than
    # formatting the line. The logging module documents these switches.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    names: tuple[Any, ...] = (ROOT, *LIBRARIES)
    for name in names:
        logger = logging.getLogger(name)
        logger.handlers[:] = [handler]
        logger.propagate = False
        logger.setLevel(settings.level.upper() if name == ROOT else logging.WARNING)
    return handler
