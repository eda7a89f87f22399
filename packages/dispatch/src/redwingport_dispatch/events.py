"""The catalogue of log events: who writes them, when, and with which fields.

``python -m redwingport_dispatch.events PAGE`` writes it into a page, between two marks;
``--check`` only tells whether it is there.
"""

import argparse
import enum
import sys
from dataclasses import dataclass
from pathlib import Path

BEGIN = "<!-- events: written by python -m redwingport_dispatch.events -->"
END = "<!-- end of events -->"


class Writer(enum.StrEnum):
    """Name the part of a process that writes an event."""

    PROCESS = "process"
    HOLDER = "holder"
    OWNER = "owner"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Describe one event.

    :param name: name of the event.
    :param writer: who writes it.
    :param meaning: what has happened.
    :param fields: what the line says besides time, level and event.
    """

    name: str
    writer: Writer
    meaning: str
    fields: tuple[str, ...] = ()


_P, _H, _O = Writer.PROCESS, Writer.HOLDER, Writer.OWNER
# How far a run has come, when it is moved.
PROGRESS_FIELDS = (
    "task",
    "server",
    "percent",
    "without_progress_s",
    "remaining_s",
    "expected_s",
)
# What decided a refusal; which of them are there depends on the reason.
REFUSAL_FIELDS = (
    "expected_wait_s",
    "expected_run_s",
    "limit_s",
    "usable_servers",
    "yielded_servers",
    "cpu_millis",
)

EVENTS = (
    LogEvent("started", _P, "the process runs", ("vm", "domain", "incarnation")),
    LogEvent("signal", _P, "a signal arrived", ("number",)),
    LogEvent("reloaded", _P, "the settings were read again", ("needs_restart",)),
    LogEvent("reload-failed", _P, "the settings are wrong; the old ones stay", ("errors",)),
    LogEvent("drain-started", _P, "the process shuts down gracefully", ("open_jobs",)),
    LogEvent("drain-ended", _P, "what was left at the end", ("open_jobs", "owned_shards")),
    LogEvent("stopped", _P, "the process ends"),
    LogEvent(
        "job-ended",
        _H,
        "a job was answered, or its client has left",
        (
            "job",
            "queue",
            "outcome",
            "reason",
            "started",
            "took_s",
            "target_s",
            "owner",
            "term",
        ),
    ),
    LogEvent("job-rejected", _H, "a job cannot be read or run", ("job", "queue", "reason")),
    LogEvent(
        "task-placed",
        _O,
        "a start was ordered",
        (
            "job",
            "task",
            "run",
            "server",
            "waited_s",
            "expected_s",
            "in_time",
            "queued",
        ),
    ),
    LogEvent(
        "start-failed",
        _O,
        "a server did not accept a start, or did not answer",
        ("job", "task", "run", "server", "failure", "reason"),
    ),
    LogEvent("run-ended", _O, "a run ended otherwise than done", ("task", "run", "server", "how")),
    LogEvent("run-stalled", _O, "a run makes no progress and is stopped", PROGRESS_FIELDS),
    LogEvent("run-too-slow", _O, "a run is stopped to be started elsewhere", PROGRESS_FIELDS),
    LogEvent("run-vanished", _O, "a server no longer lists a run", ("task", "server")),
    LogEvent("run-adopted", _O, "a run of an earlier owner goes on", ("job", "task", "server")),
    LogEvent("orphan-stopped", _O, "a run that no process claims is stopped", ("task", "server")),
    LogEvent(
        "work-refused",
        _O,
        "a work was refused before anything of it started",
        ("job", "reason", "retry_after_s", "queued", "waited_s", "left_s", *REFUSAL_FIELDS),
    ),
    LogEvent(
        "work-abandoned",
        _O,
        "a work that has started cannot be done in time any more",
        ("job", "open_tasks", "left_s", "queued"),
    ),
    LogEvent("work-displaced", _O, "the same job came from another process", ("job", "holder")),
    LogEvent(
        "work-not-owned",
        _O,
        "a work came to a process that does not own its shard",
        ("sender", "work"),
    ),
    LogEvent("holder-dropped", _O, "the works of a process that is gone", ("holder", "works")),
    LogEvent("news-not-sent", _O, "no link to the holder; it asks again", ("holder",)),
    LogEvent("server-added", _O, "a server is used from now on", ("server", "domain", "kind")),
    LogEvent("server-state", _O, "a server drains, or no longer does", ("server", "draining")),
    LogEvent("server-unlisted", _O, "a server's entry is gone", ("server", "answers")),
    LogEvent("server-dropped", _O, "a server is no longer used", ("server", "reason")),
    LogEvent("server-lost", _O, "a server does not answer", ("server", "step", "reason")),
    LogEvent("server-regained", _O, "a server answers (again)", ("server", "runs", "token")),
    LogEvent(
        "server-answered", _O, "a server answers an order after one that it did not", ("server",)
    ),
    LogEvent(
        "server-restarted", _O, "a server has a new lifetime", ("server", "born_ms", "was_born_ms")
    ),
    LogEvent("server-fenced", _O, "a server obeys another owner", ("server", "token", "contests")),
    LogEvent("server-ejected", _O, "a server fails what it starts", ("server", "for_s")),
    LogEvent(
        "owner-changed",
        _P,
        "another process owns a shard",
        ("shard", "owner", "term", "was", "live_peers", "is_self"),
    ),
    LogEvent("owner-challenged", _O, "nothing is placed until it is clear who owns", ("server",)),
    LogEvent("owner-failed", _P, "an owner ended by an error", ("term", "error")),
    LogEvent("shards-raised", _P, "the number of shards has grown", ("count", "was")),
    LogEvent("peer-link-opened", _P, "a link to a process is open", ("peer",)),
    LogEvent("peer-link-lost", _P, "the link to a process broke", ("peer", "reason")),
    LogEvent("peer-link-ended", _P, "the link from a process broke", ("peer", "reason")),
    LogEvent("peer-lost", _P, "a process is not heard any more", ("peer",)),
    LogEvent("peer-queue-full", _P, "a process does not read; a message was dropped", ("peer",)),
    LogEvent("message-unexpected", _P, "a message that has no meaning here", ("kind",)),
    LogEvent("store-lost", _P, "the store gives no usable answer", ("use", "reason")),
    LogEvent("store-regained", _P, "the store answers again", ("use", "after_s")),
    LogEvent(
        "configuration-in-force",
        _P,
        "a newer configuration applies",
        ("revision", "was", "routes", "source"),
    ),
    LogEvent(
        "configuration-unreadable", _P, "a configuration cannot be read", ("source", "reason")
    ),
    LogEvent("row-skipped", _P, "a row of the store cannot be read", ("table", "key", "reason")),
    LogEvent("log-lines-suppressed", _P, "lines were dropped to bound the log", ("count",)),
)


def render_events() -> str:
    """Return the table of events, in Markdown."""
    lines = ["| event | written by | when | fields |", "|---|---|---|---|"]
    for event in EVENTS:
        fields = ", ".join(f"`{name}`" for name in event.fields)
        lines.append(f"| `{event.name}` | {event.writer} | {event.meaning} | {fields} |")
    return "\n".join(lines)


def insert_events(page: str) -> str:
    """Return a page with the table between its marks.

    :raises ValueError: if the page does not have the marks.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"the page lacks the marks {BEGIN} and {END}")
    return f"{before}{BEGIN}\n{render_events()}\n{END}{after}"


def main() -> None:
    """Write the table into a page, or check that it is there."""
    parser = argparse.ArgumentParser(description="Write the table of log events into a page.")
    parser.add_argument("page", type=Path, help="Markdown page with the two marks")
    parser.add_argument("--check", action="store_true", help="only check that it is current")
    arguments = parser.parse_args()
    page: Path = arguments.page
    current = page.read_text()
    wanted = insert_events(current)
    if not arguments.check:
        page.write_text(wanted)
    elif wanted != current:
        sys.exit(f"{page}: the table of events is not current")


if __name__ == "__main__":
    main()
