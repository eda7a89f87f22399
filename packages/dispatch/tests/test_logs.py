"""Log volume is limited, and a blocked reader does not block writers."""

import json
import logging
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager

from redwingport_dispatch.logs import MAX_QUEUED_LINES, BoundedHandler
from redwingport_dispatch.settings import LogSettings
from redwingport_entry.logs import LineFormatter, log_event

# A writer that waits for the reader blocks forever; one that does not takes microseconds, or some
# milliseconds when it is not scheduled on a processor.
BLOCKED_S = 1.0


@contextmanager
def open_logger(
    descriptor: int, lines_per_second: int
) -> Iterator[tuple[logging.Logger, BoundedHandler]]:
    handler = BoundedHandler(LogSettings(lines_per_second=lines_per_second), descriptor)
    handler.setFormatter(LineFormatter(as_json=True))
    logger = logging.Logger("bounded")
    logger.addHandler(handler)
    try:
        yield logger, handler
    finally:
        handler.close()


def read_all(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_full_pipe_without_reader_does_not_block_writers() -> None:
    """A log call that waits for the blocked reader of a 64 KB pipe would stop the process."""
    reading, writing = os.pipe()
    with open_logger(writing, lines_per_second=1_000_000) as (logger, handler):
        longest_s = 0.0
        for number in range(2 * MAX_QUEUED_LINES):
            started_at = time.perf_counter()
            log_event(logger, logging.INFO, "job-ended", job="0" * 16, number=number)
            longest_s = max(longest_s, time.perf_counter() - started_at)
        # By now the writer thread is blocked in its write call with the lines it has dequeued.
        time.sleep(0.2)
        for number in range(2 * MAX_QUEUED_LINES):
            log_event(logger, logging.INFO, "job-ended", job="0" * 16, number=number)
        assert longest_s < BLOCKED_S
        assert handler.dropped >= MAX_QUEUED_LINES
        os.close(reading)
    os.close(writing)


def test_lines_above_the_rate_are_dropped_counted_and_reported() -> None:
    reading, writing = os.pipe()
    with open_logger(writing, lines_per_second=10) as (logger, _):
        for number in range(100):
            log_event(logger, logging.INFO, "task-placed", number=number)
    os.close(writing)
    lines = read_all(reading)
    os.close(reading)
    placed = [line for line in lines if line["event"] == "task-placed"]
    suppressed = [line for line in lines if line["event"] == "log-lines-suppressed"]
    # A new second may begin while the lines are written.
    assert 10 <= len(placed) <= 20
    assert suppressed
    assert len(placed) + sum(int(str(line["count"])) for line in suppressed) == 100


def test_warnings_are_exempt_from_the_rate_limit() -> None:
    reading, writing = os.pipe()
    with open_logger(writing, lines_per_second=1) as (logger, _):
        for number in range(20):
            log_event(logger, logging.WARNING, "server-lost", number=number)
    os.close(writing)
    assert len(read_all(reading)) == 20
    os.close(reading)
