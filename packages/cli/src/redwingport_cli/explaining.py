"""Timeline of one request, built from the log files of several processes.

The VMs' clocks differ. The owner of the backend servers logs with each decision how long ago the
request arrived, and the process that held the request (its holder) logs how long it took. Both
give the time of arrival, each on its own clock, so their difference is the offset between the two
clocks. Where owners log the holder of a request, the lines of all requests are compared, because a
holder that has ended did not log the end of this one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from redwingport_cli.clocks import END_EVENTS, estimate_clock_offsets
from redwingport_cli.log_lines import LogLine

# How long before the arrival of the request lines about owners and servers are still shown: a
# lost process is replaced within a second.
CONTEXT_BEFORE_S = 1.0
# How long after the end of the request such lines are still shown, since some are logged late.
CONTEXT_AFTER_S = 0.2
# Arrival times of one attempt, as computed from several decisions, differ by less than this; a
# client's next attempt comes later.
SAME_ATTEMPT_S = 0.1

OWNER_EVENTS = (
    "owner-changed",
    "owner-challenged",
    "owner-failed",
    "peer-lost",
    "drain-started",
    "holder-dropped",
    "works-handed-over",
    "works-moved",
    "shards-raised",
    "shards-resized",
)
STORE_EVENTS = ("store-lost", "store-regained", "configuration-in-force")
HIDDEN_FIELDS = ("time", "level", "event")


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """Hold one event of a timeline.

    :param after_s: time since the request first arrived, in seconds; negative for earlier context.
        If no holder logged how long the request took, it counts from the first line about it.
    :param source: source of the log line, see :class:`LogLine`.
    :param event: name of the event.
    :param fields: members of the log line except its time, level and event.
    :param concerns_request: whether the event names the request; False for context: events of
        owners, peers, the store and the servers that the request used.
    """

    after_s: float
    source: str
    event: str
    fields: Mapping[str, Any]
    concerns_request: bool


@dataclass(frozen=True, slots=True)
class Timeline:
    """Hold the events of a request, as found in the logs.

    :param lines: events in chronological order.
    :param clock_offset_s_by_source: how far the clock of each process is ahead of that of the
        first holder, in seconds; None if the logs do not show it.
    :param skipped_count: number of log lines that could not be parsed.
    """

    lines: tuple[TimelineEntry, ...]
    clock_offset_s_by_source: Mapping[str, float | None]
    skipped_count: int


def explain(request_id: str, lines: Iterable[LogLine | None]) -> Timeline:
    """Build the timeline of a request.

    :param request_id: value of ``job`` in the log lines, which is also the start of the task ids.
    :param lines: log lines of all processes, from :func:`read_lines`.
    :returns: the timeline, without entries if no line names the request.
    """
    skipped = 0
    parsed: list[LogLine] = []
    for line in lines:
        if line is None:
            skipped += 1
        else:
            parsed.append(line)
    request_lines = [line for line in parsed if _names_request(line, request_id)]
    if not request_lines:
        return Timeline((), {}, skipped)
    offset_s_by_source = _estimate_clock_offsets(request_lines, parsed)
    corrected = {
        id(line): line.at - (offset_s_by_source[line.source] or 0.0) for line in request_lines
    }
    started_at = min(
        corrected[id(line)] - float(line.fields.get("took_s", 0)) for line in request_lines
    )
    ended_at = max(corrected.values())
    entries = [
        _timeline_entry(line, corrected[id(line)] - started_at, True) for line in request_lines
    ]
    servers = {line.fields["server"] for line in request_lines if "server" in line.fields}
    for line in parsed:
        if line.source not in offset_s_by_source or _names_request(line, request_id):
            continue
        at = line.at - (offset_s_by_source[line.source] or 0.0)
        in_range = started_at - CONTEXT_BEFORE_S <= at <= ended_at + CONTEXT_AFTER_S
        if in_range and _is_context(line, servers):
            entries.append(_timeline_entry(line, at - started_at, False))
    entries.sort(key=lambda line: line.after_s)
    return Timeline(tuple(entries), offset_s_by_source, skipped)


def _names_request(line: LogLine, request_id: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == request_id or task.partition(".")[0] == request_id


def _is_context(line: LogLine, servers: set[Any]) -> bool:
    if line.event in OWNER_EVENTS or line.event in STORE_EVENTS:
        return True
    names_other_task = "job" in line.fields or "task" in line.fields
    return line.fields.get("server") in servers and not names_other_task


def _timeline_entry(line: LogLine, after_s: float, concerns_request: bool) -> TimelineEntry:
    fields = {key: value for key, value in line.fields.items() if key not in HIDDEN_FIELDS}
    return TimelineEntry(after_s, line.source, line.event, fields, concerns_request)


def _estimate_clock_offsets(
    request_lines: list[LogLine], all_lines: list[LogLine]
) -> dict[str, float | None]:
    """Return how far each clock is ahead of that of the first holder of the request, in seconds.

    The offset is None for a process that cannot be compared.
    """
    offsets = _match_attempts(request_lines)
    reference = next((source for source, ahead_s in offsets.items() if ahead_s == 0.0), None)
    ahead_s_by_source = estimate_clock_offsets(all_lines, reference or request_lines[0].source)
    if len(ahead_s_by_source) > 1:
        offsets.update(
            (source, ahead_s) for source, ahead_s in ahead_s_by_source.items() if source in offsets
        )
    return offsets


def _match_attempts(request_lines: list[LogLine]) -> dict[str, float | None]:
    """Return the offsets of the clocks as far as the lines of the request show them.

    The first holder is the one with the earliest arrival on its own clock. The earliest attempt
    that an owner logged is matched with it, the next one with the holder that comes next in the
    logs, and so on. The offset is None for a process that cannot be matched.
    """
    arrivals_by_holder: dict[str, list[float]] = {}
    arrivals_by_owner: dict[str, list[float]] = {}
    for line in request_lines:
        if line.event in END_EVENTS and "took_s" in line.fields:
            arrivals = arrivals_by_holder.setdefault(line.source, [])
            arrivals.append(line.at - float(line.fields["took_s"]))
        elif "waited_s" in line.fields:
            arrivals = arrivals_by_owner.setdefault(line.source, [])
            arrivals.append(line.at - float(line.fields["waited_s"]))
    offsets: dict[str, float | None] = {line.source: None for line in request_lines}
    if not arrivals_by_holder:
        return offsets
    first = min(arrivals_by_holder, key=lambda source: min(arrivals_by_holder[source]))
    offsets[first] = 0.0
    holder_arrivals = arrivals_by_holder.pop(first)
    for owner, arrivals in arrivals_by_owner.items():
        if offsets[owner] is None:
            offsets[owner] = min(arrivals) - min(holder_arrivals)
    owner_arrivals = [
        arrival - (offsets[owner] or 0.0)
        for owner, arrivals in arrivals_by_owner.items()
        for arrival in arrivals
    ]
    for holder, arrivals in arrivals_by_holder.items():
        unmatched = [
            at
            for at in owner_arrivals
            if all(abs(at - holder_at) > SAME_ATTEMPT_S for holder_at in holder_arrivals)
        ]
        if offsets[holder] is None and unmatched:
            ahead_s = min(arrivals) - min(unmatched)
            offsets[holder] = ahead_s
            holder_arrivals += [arrival - ahead_s for arrival in arrivals]
    return offsets
