"""Catalogue of log events: their writers, meanings and fields.

``python -m redwingport_dispatch.events PAGE`` writes the catalogue into a page, between two
marks; ``--check`` only reports whether the page is current.
"""

import argparse
import enum
import sys
from dataclasses import dataclass
from pathlib import Path

BEGIN = "<!-- events: written by python -m redwingport_dispatch.events -->"
END = "<!-- end of events -->"


class Writer(enum.StrEnum):
    """Component of a process that writes an event."""

    PROCESS = "process"
    HOLDER = "holder"
    OWNER = "owner"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Describe one event.

    :param name: name of the event.
    :param writer: component that writes the event.
    :param meaning: what the event reports.
    :param fields: fields of the line besides time, level and event.
    """

    name: str
    writer: Writer
    meaning: str
    fields: tuple[str, ...] = ()


_P, _H, _O = Writer.PROCESS, Writer.HOLDER, Writer.OWNER
# Identify the owner; part of each decision of an owner.
OWNER_FIELDS = ("term", "shard")
# Present if the task had an earlier run or its work item was handed over: whether it was handed
# over, and the evidence that the earlier run is over.
EARLIER_RUN_FIELDS = ("resumed", "after")
# Present if the job was refused by a shard or handed over to another owner. `done` lists, for each
# completed task, its step and index, run number, server and the age of the report in seconds.
EARLIER_OFFER_FIELDS = ("refused_by", "handovers", "done")
# Present if there were several requests with the id of the job: their number, and how many of them
# waited for its end.
REQUEST_FIELDS = ("requests", "waiters")
# Progress of a run that is stopped to be started elsewhere.
PROGRESS_FIELDS = (
    "task",
    "run",
    "server",
    "percent",
    "without_progress_s",
    "remaining_s",
    "expected_s",
)
# Inputs of the decision to refuse a work item; which of them are present depends on the reason.
REFUSAL_FIELDS = (
    "expected_wait_s",
    "expected_run_s",
    "limit_s",
    "usable_servers",
    "yielded_servers",
    "cpu_millis",
)

EVENTS = (
    LogEvent("started", _P, "the process has started", ("vm", "domain", "incarnation")),
    LogEvent("signal", _P, "the process received a signal", ("number",)),
    LogEvent("reloaded", _P, "the settings were reloaded", ("needs_restart",)),
    LogEvent(
        "reload-failed",
        _P,
        "the reloaded settings are invalid; the previous ones remain in effect",
        ("errors",),
    ),
    LogEvent("drain-started", _P, "graceful shutdown has started", ("open_jobs",)),
    LogEvent(
        "drain-ended",
        _P,
        "graceful shutdown has ended; the fields count what is left",
        ("open_jobs", "owned_shards"),
    ),
    LogEvent("stopped", _P, "the process exits"),
    LogEvent(
        "job-ended",
        _H,
        "a job has ended, or its last client has disconnected",
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
            "tasks",
            "declared_s",
            "offers",
            *EARLIER_OFFER_FIELDS,
            *REQUEST_FIELDS,
        ),
    ),
    LogEvent(
        "answer-cut",
        _P,
        "the connection of a client ended before the answer was passed to the operating system; "
        "`partial` tells whether a part of it was",
        ("method", "path", "partial", "reason"),
    ),
    LogEvent(
        "request-failed",
        _P,
        "a request was answered 504 because of an unexpected error",
        ("method", "path", "traceback"),
    ),
    LogEvent(
        "request-joined",
        _H,
        "a request waits for an open job of the same id; `waiters` counts all that wait",
        ("job", "queue", "waiters"),
    ),
    LogEvent(
        "request-left",
        _H,
        "a client has disconnected, or its deadline has passed, while others wait for its job",
        ("job", "queue", "reason", "waiters"),
    ),
    LogEvent(
        "works-handed-over",
        _H,
        "the open work items of an owner were submitted to the next owner of the shard",
        ("shard", "owner", "term", "was", "works", "unheard_s"),
    ),
    LogEvent(
        "works-moved",
        _H,
        "open work items were assigned to the shards of a new layout; `moved` counts those whose "
        "shard has changed",
        ("count", "was", "works", "moved"),
    ),
    LogEvent("job-rejected", _H, "a job is invalid or not supported", ("job", "queue", "reason")),
    LogEvent(
        "task-placed",
        _O,
        "the start of a task was ordered",
        (
            "job",
            "task",
            "run",
            "server",
            "waited_s",
            "expected_s",
            "in_time",
            "queued",
            "holder",
            "born_ms",
            *EARLIER_RUN_FIELDS,
            *OWNER_FIELDS,
        ),
    ),
    LogEvent(
        "start-failed",
        _O,
        "a server rejected a start order, or did not answer",
        ("job", "task", "run", "server", "failure", "reason"),
    ),
    LogEvent(
        "run-ended",
        _O,
        "a run ended without completing its task, or its task had an earlier run, was handed over "
        "or belongs to no work item",
        ("task", "run", "server", "how", "born_ms", *OWNER_FIELDS),
    ),
    LogEvent(
        "run-presumed-over",
        _O,
        "a run is taken for over without a report of its end; `accepted` tells whether its server "
        "is known to have accepted it, the other fields name the lifetime of the server for which "
        "it was ordered, that has listed it last, that was known when a stop was confirmed, and "
        "that is known now",
        (
            "task",
            "run",
            "server",
            "after",
            "accepted",
            "ordered_born_ms",
            "listed_born_ms",
            "stopped_born_ms",
            "born_ms",
            *OWNER_FIELDS,
        ),
    ),
    LogEvent(
        "run-stalled",
        _O,
        "a run is stopped because it makes no progress",
        (*PROGRESS_FIELDS, *OWNER_FIELDS),
    ),
    LogEvent(
        "run-too-slow",
        _O,
        "a slow run is stopped because its task would end sooner on another server",
        (*PROGRESS_FIELDS, *OWNER_FIELDS),
    ),
    LogEvent(
        "run-vanished",
        _O,
        "a server no longer lists a run",
        ("task", "run", "server", "born_ms", *OWNER_FIELDS),
    ),
    LogEvent(
        "run-adopted",
        _O,
        "a run started by a previous owner is continued",
        ("job", "task", "run", "server", "holder", *OWNER_FIELDS),
    ),
    LogEvent(
        "orphan-stopped",
        _O,
        "a run that no holder claims is stopped",
        ("task", "run", "server", "born_ms", *OWNER_FIELDS),
    ),
    LogEvent(
        "work-refused",
        _O,
        "a work item was refused before any of its tasks started",
        (
            "job",
            "holder",
            "tasks",
            "reason",
            "retry_after_s",
            "queued",
            "waited_s",
            "left_s",
            *REFUSAL_FIELDS,
            *OWNER_FIELDS,
        ),
    ),
    LogEvent(
        "work-runs-elsewhere",
        _O,
        "a new work item is abandoned, as an earlier submission of its job may be served beyond a "
        "cut; this owner reaches no majority of the processes",
        ("job", "holder", *OWNER_FIELDS),
    ),
    LogEvent(
        "work-abandoned",
        _O,
        "a work item that has started can no longer finish in time",
        ("job", "open_tasks", "left_s", "queued", *OWNER_FIELDS),
    ),
    LogEvent(
        "work-displaced",
        _O,
        "a work item is cancelled because its job was submitted again",
        ("job", "holder", *OWNER_FIELDS),
    ),
    LogEvent(
        "work-released",
        _O,
        "a work item is given up because its holder has submitted it to another owner",
        ("job", *OWNER_FIELDS),
    ),
    LogEvent(
        "work-not-owned",
        _O,
        "a process received a work item of a shard that it does not own",
        ("sender", "work"),
    ),
    LogEvent(
        "works-not-held",
        _O,
        "work items were stopped on a new link of their holder, which had ended them: the message "
        "about it was lost with an earlier link",
        ("holder", "works", *OWNER_FIELDS),
    ),
    LogEvent(
        "holder-dropped",
        _O,
        "the work items of a process that is unreachable or has ended are stopped; `unheard_s` is "
        "the time since its last heartbeat, `has_ended` whether it is known to have ended",
        ("holder", "works", "unheard_s", "has_ended", *OWNER_FIELDS),
    ),
    LogEvent(
        "news-not-sent",
        _O,
        "a notification to a holder was dropped: no link is open, or its queue is full",
        ("holder",),
    ),
    LogEvent(
        "server-added", _O, "a server was added", ("server", "domain", "kind", *OWNER_FIELDS)
    ),
    LogEvent(
        "server-state",
        _O,
        "a server has started or stopped draining",
        ("server", "draining", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-unlisted",
        _O,
        "the store no longer lists a server",
        ("server", "answers", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-dropped",
        _O,
        "a server that left the list has no runs any more, and is no longer used",
        ("server", "reason", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-moved",
        _O,
        "a server has another address, at which it is called from now on",
        ("server", "address", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-lost",
        _O,
        "a lease renewal failed: the server did not answer, or rejected it",
        ("server", "step", "reason"),
    ),
    LogEvent(
        "server-crashed",
        _O,
        "a server has restarted, was removed while it did not answer, or its machine refuses "
        "connections; `tasks` lists the tasks that were there, `crashes` the number of servers "
        "that have crashed under each, and `alone` tells whether there was only one",
        ("server", "born_ms", "evidence", "tasks", "crashes", "alone", *OWNER_FIELDS),
    ),
    LogEvent(
        "task-given-up",
        _O,
        "a job fails because one of its tasks has crashed the listed servers; `alone` tells for "
        "each whether nothing else ran there",
        ("job", "task", "servers", "alone", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-regained",
        _O,
        "a server answers for the first time, or again after it did not answer or was fenced",
        ("server", "runs", "token"),
    ),
    LogEvent(
        "server-answered",
        _O,
        "a server answers an order after an unanswered one",
        ("server", *OWNER_FIELDS),
    ),
    LogEvent(
        "server-restarted", _O, "a server has restarted", ("server", "born_ms", "was_born_ms")
    ),
    LogEvent(
        "server-fenced",
        _O,
        "a server obeys another owner with a higher token",
        ("server", "token", "contests"),
    ),
    LogEvent(
        "server-ejected",
        _O,
        "a server is excluded because runs fail there",
        ("server", "for_s", *OWNER_FIELDS),
    ),
    LogEvent(
        "owner-changed",
        _P,
        "the owner of a shard has changed",
        ("shard", "owner", "term", "was", "live_peers", "is_self"),
    ),
    LogEvent(
        "owner-challenged",
        _O,
        "a server obeys another owner, so placement is paused for three heartbeats",
        ("server", *OWNER_FIELDS),
    ),
    LogEvent(
        "starts-withheld",
        _O,
        "a holder has not confirmed a recent heartbeat of this owner, so that its tasks wait",
        ("holder", *OWNER_FIELDS),
    ),
    LogEvent(
        "starts-resumed",
        _O,
        "a holder has confirmed a recent heartbeat again",
        ("holder", *OWNER_FIELDS),
    ),
    LogEvent("owner-failed", _P, "an owner ended with an error", ("term", "error")),
    LogEvent("shards-raised", _P, "the number of shards was raised", ("count", "was")),
    LogEvent(
        "shards-resized",
        _P,
        "jobs are shared out among the same shards by their present sizes",
        ("revision",),
    ),
    LogEvent("peer-link-opened", _P, "an outgoing link to a process was opened", ("peer",)),
    LogEvent(
        "peer-link-lost",
        _P,
        "the outgoing link to a process broke; `unsent` messages were not written, and some that "
        "were may not have arrived",
        ("peer", "reason", "unsent"),
    ),
    LogEvent("peer-link-ended", _P, "the incoming link from a process broke", ("peer", "reason")),
    LogEvent("peer-lost", _P, "a process has become unreachable", ("peer",)),
    LogEvent(
        "process-paused",
        _P,
        "this process did not run for a while; peers get time to be heard",
        ("for_s",),
    ),
    LogEvent(
        "peer-queue-full",
        _P,
        "the queue to a process is full; the link is closed and opened again",
        ("peer",),
    ),
    LogEvent("message-dropped", _P, "a message to a process could not be encoded", ("reason",)),
    LogEvent("message-unexpected", _P, "a process received an unexpected message", ("kind",)),
    LogEvent("store-lost", _P, "the store returns no usable answer", ("use", "reason")),
    LogEvent("store-regained", _P, "the store answers again", ("use", "after_s")),
    LogEvent(
        "configuration-in-force",
        _P,
        "a newer configuration was applied",
        ("revision", "was", "routes", "source"),
    ),
    LogEvent(
        "configuration-unreadable", _P, "a configuration cannot be read", ("source", "reason")
    ),
    LogEvent("row-skipped", _P, "a row of the store cannot be read", ("table", "key", "reason")),
    LogEvent("log-lines-suppressed", _P, "lines were dropped to limit the log volume", ("count",)),
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
    """Write the table into a page, or check that the page is current."""
    parser = argparse.ArgumentParser(description="Write the table of log events into a page.")
    parser.add_argument("page", type=Path, help="Markdown page with the two marks")
    parser.add_argument("--check", action="store_true", help="only check that the page is current")
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
