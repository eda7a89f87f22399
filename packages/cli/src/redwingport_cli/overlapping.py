"""Tasks that had, or may have had, two runs at the same time, from the logs of all processes.

A run starts with the line of its placement. Few owners log the end of a run that has completed its
task, so the end is the earliest time by which any line shows that the run was over. Times are
compared on the clock of one process, see :mod:`redwingport_cli.clocks`.
"""

import enum
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from redwingport_cli.clocks import CLOCK_ERROR_S, estimate_clock_offsets
from redwingport_cli.log_lines import LogLine

PLACED_EVENT = "task-placed"
JOB_END_EVENT = "job-ended"
# Lines that show that a server listed a run.
LISTED_EVENTS = ("run-adopted", "run-stalled", "run-too-slow", "orphan-stopped")
# Lines that report that a run is over.
END_EVENTS = ("run-ended", "run-vanished")
# A run whose lease has ended was over when its server reported it, but often long before.
LAPSED = "LAPSED"
DONE = "DONE"
PRESUMED_OVER_EVENT = "run-presumed-over"
START_FAILED_EVENT = "start-failed"
# A start that fails in this way may still have started a run.
NO_ANSWER = "NO_ANSWER"
SERVER_RESTARTED_EVENT = "server-restarted"
# Number of a run whose line does not name it.
UNKNOWN_NUMBER = 0


class Verdict(enum.StrEnum):
    """Relation of two runs of a task in time."""

    OVERLAP = "overlap"
    """No line shows the end of the first run before a report that follows the second order."""
    POSSIBLE = "possible"
    """The end of the first run is not known, only an upper limit, or within the clock error."""
    APART = "apart"
    """The first run was over before the second was ordered."""


@dataclass(slots=True)
class TaskRun:
    """Hold one run of a task.

    :param number: number of the run.
    :param server: id of the server.
    :param source: source of the first line about the run.
    :param owner: incarnation of the owner; empty if the logs do not show it.
    :param term: term of the owner; None if its line does not name it.
    :param shard: shard of the owner; None if its line does not name it.
    :param holder: incarnation of the holder; empty if the line does not name it.
    :param started_at: time of the start order in seconds, on the clock of the reference process.
    :param start_logged: whether the start order was logged; False if the run is known from a later
        line only and started before ``started_at``.
    :param resumed: whether its work item was handed over by an earlier owner.
    :param after: evidence on which the owner held earlier runs to be over; empty if not logged.
    :param ended_at: earliest time by which a line shows that the run was over, in seconds; None
        if the logs do not show it.
    :param reported_at: time at which its server reported its end, in seconds; None if the logs
        do not show it.
    :param end_evidence: event behind ``ended_at``, with its cause; empty if there is none.
    :param completed: whether the logs show that the run has completed its task.
    :param never_started: whether the server has rejected the start order.
    :param clock_known: whether the clock of the source could be compared.
    """

    number: int
    server: str
    source: str
    owner: str
    term: int | None
    shard: int | None
    holder: str
    started_at: float
    start_logged: bool
    resumed: bool
    after: str
    ended_at: float | None = None
    reported_at: float | None = None
    end_evidence: str = ""
    completed: bool = False
    never_started: bool = False
    clock_known: bool = True

    @property
    def is_end_reported(self) -> bool:
        """Return whether the earliest evidence of the end is a report of the server."""
        return self.ended_at is not None and self.ended_at == self.reported_at

    def note_end(self, at: float, evidence: str, reported: bool = False) -> None:
        """Record that the run was over by a time."""
        if reported:
            self.reported_at = at if self.reported_at is None else min(at, self.reported_at)
        if self.ended_at is None or at < self.ended_at:
            self.ended_at, self.end_evidence = at, evidence

    def has_same_owner(self, other: "TaskRun") -> bool:
        """Return whether the logs show that another run was ordered by the same owner."""
        if self.term is None or other.term is None:
            return self.term is other.term and self.source == other.source
        return (self.term, self.shard) == (other.term, other.shard)


@dataclass(frozen=True, slots=True)
class RunPair:
    """Hold the relation of two runs of a task.

    :param first: index of the run that was ordered first.
    :param second: index of the other run.
    :param gap_s: time from the end of the first run to the start of the second, in seconds;
        negative for an overlap, None if the end is not known.
    :param verdict: relation of the runs.
    """

    first: int
    second: int
    gap_s: float | None
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class TaskOverlap:
    """Hold a task with several runs.

    :param task: name of the task.
    :param is_candidate: whether it was placed by two owners or in two shards.
    :param runs: runs in the order of their starts.
    :param pairs: relations of each two runs.
    """

    task: str
    is_candidate: bool
    runs: tuple[TaskRun, ...]
    pairs: tuple[RunPair, ...]

    @property
    def verdict(self) -> Verdict:
        """Return the most severe relation."""
        return min((pair.verdict for pair in self.pairs), key=list(Verdict).index)

    @property
    def is_repeated(self) -> bool:
        """Return whether the task was started again after a run that has completed it."""
        return any(
            run.completed and not later.never_started
            for run, later in itertools.combinations(self.runs, 2)
        )

    @property
    def max_overlap_s(self) -> float:
        """Return the longest known overlap, in seconds; negative if all known runs are apart."""
        return max((-pair.gap_s for pair in self.pairs if pair.gap_s is not None), default=0.0)


@dataclass(frozen=True, slots=True)
class OverlapReport:
    """Hold the result of a search.

    :param tasks: candidates first, then the other tasks whose runs may have overlapped or that
        were started again after their completion; each part by severity.
    :param placed_count: number of tasks with a placement in the logs.
    :param skipped_count: number of log lines that could not be parsed.
    :param uncompared_sources: sources of runs whose clocks could not be compared.
    """

    tasks: tuple[TaskOverlap, ...]
    placed_count: int
    skipped_count: int
    uncompared_sources: tuple[str, ...]


@dataclass(slots=True)
class _Records:
    """Group the log lines that concern runs.

    :param lines_by_task: lines that name a task.
    :param end_lines_by_job: lines of holders about the end of a job.
    :param restart_lines_by_server: lines about restarts of a server.
    :param owner_by_term: incarnation of the owner of a term.
    :param incarnations_by_source: incarnations of the processes that wrote a log.
    """

    lines_by_task: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    end_lines_by_job: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    restart_lines_by_server: dict[str, list[LogLine]] = field(
        default_factory=lambda: defaultdict(list)
    )
    owner_by_term: dict[object, str] = field(default_factory=dict)
    incarnations_by_source: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def add(self, line: LogLine) -> None:
        """Add a line to its group."""
        fields = line.fields
        if "task" in fields:
            self.lines_by_task[str(fields["task"])].append(line)
        elif line.event == JOB_END_EVENT:
            self.end_lines_by_job[str(fields.get("job", ""))].append(line)
        elif line.event == SERVER_RESTARTED_EVENT:
            self.restart_lines_by_server[str(fields.get("server", ""))].append(line)
        elif line.event == "owner-changed" and fields.get("owner"):
            self.owner_by_term[fields.get("term")] = str(fields["owner"])
        elif line.event == "started":
            self.incarnations_by_source[line.source].add(str(fields.get("incarnation", "")))


class _Clocks:
    """Convert times to the clock of the process that has ended the most jobs."""

    def __init__(self, lines: list[LogLine]) -> None:
        ends = Counter(line.source for line in lines if line.event == JOB_END_EVENT)
        reference = ends.most_common(1)[0][0] if ends else ""
        self._ahead_s_by_source = estimate_clock_offsets(lines, reference)
        self._is_single = len({line.source for line in lines}) == 1

    def knows(self, source: str) -> bool:
        return self._is_single or source in self._ahead_s_by_source

    def time_of(self, line: LogLine) -> float:
        return line.at - self._ahead_s_by_source.get(line.source, 0.0)


def find_overlaps(lines: Iterable[LogLine | None]) -> OverlapReport:
    """Find the tasks whose runs may have overlapped.

    :param lines: log lines of all processes, from :func:`redwingport_cli.log_lines.read_lines`.
    """
    parsed: list[LogLine] = []
    skipped_count = 0
    records = _Records()
    for line in lines:
        if line is None:
            skipped_count += 1
        else:
            parsed.append(line)
            records.add(line)
    clocks = _Clocks(parsed)
    tasks: list[TaskOverlap] = []
    placed_count = 0
    uncompared: set[str] = set()
    for task, task_lines in records.lines_by_task.items():
        placed_count += any(line.event == PLACED_EVENT for line in task_lines)
        runs = _collect_runs(task_lines, records, clocks)
        if len(runs) < 2:
            continue
        for run in runs:
            _find_end(task, run, task_lines, records, clocks)
        overlap = _compare_runs(task, runs)
        is_listed = overlap.is_candidate or overlap.is_repeated
        if is_listed or overlap.verdict is not Verdict.APART:
            tasks.append(overlap)
            uncompared.update(run.source for run in runs if not run.clock_known)
    tasks.sort(
        key=lambda item: (
            not item.is_candidate,
            list(Verdict).index(item.verdict),
            not item.is_repeated,
            -item.max_overlap_s,
        )
    )
    return OverlapReport(tuple(tasks), placed_count, skipped_count, tuple(sorted(uncompared)))


def _collect_runs(task_lines: list[LogLine], records: _Records, clocks: _Clocks) -> list[TaskRun]:
    """Return the runs of a task in the order of their starts."""
    placements = [line for line in task_lines if line.event == PLACED_EVENT]
    runs = [_build_run(line, records, clocks) for line in placements]
    others = [
        line
        for line in task_lines
        if line.event in (*LISTED_EVENTS, *END_EVENTS, PRESUMED_OVER_EVENT)
    ]
    # The last lines of a process that was killed are lost, so a run may lack its placement.
    for line in sorted(others, key=clocks.time_of):
        if not any(_concerns(line, run) for run in runs):
            runs.append(_build_run(line, records, clocks))
    # Times have a resolution of a millisecond, and a run without a placement started earlier.
    return sorted(runs, key=lambda run: (run.started_at, run.start_logged, run.number))


def _build_run(line: LogLine, records: _Records, clocks: _Clocks) -> TaskRun:
    fields: Mapping[str, object] = line.fields
    term, shard, number = fields.get("term"), fields.get("shard"), fields.get("run")
    incarnations = records.incarnations_by_source.get(line.source, set())
    only = next(iter(incarnations)) if len(incarnations) == 1 else ""
    is_placement = line.event == PLACED_EVENT
    return TaskRun(
        number=number if isinstance(number, int) else UNKNOWN_NUMBER,
        server=str(fields.get("server", "")),
        source=line.source,
        owner=records.owner_by_term.get(term, only) if term is not None else only,
        term=term if isinstance(term, int) else None,
        shard=shard if isinstance(shard, int) else None,
        holder=str(fields.get("holder", "")),
        started_at=clocks.time_of(line),
        start_logged=is_placement,
        resumed=fields.get("resumed") is True,
        after=str(fields.get("after", "")) if is_placement else "",
        clock_known=clocks.knows(line.source),
    )


def _concerns(line: LogLine, run: TaskRun) -> bool:
    """Return whether a line of the task of a run concerns that run."""
    number = line.fields.get("run", UNKNOWN_NUMBER)
    same_number = UNKNOWN_NUMBER in (number, run.number) or number == run.number
    return same_number and line.fields.get("server") == run.server


def _find_end(
    task: str,
    run: TaskRun,
    task_lines: list[LogLine],
    records: _Records,
    clocks: _Clocks,
) -> None:
    """Set the end of a run to the earliest time by which a line shows that it was over."""
    earliest_at = run.started_at - CLOCK_ERROR_S
    for line in task_lines:
        at = clocks.time_of(line)
        if at < earliest_at or not _concerns(line, run):
            continue
        if line.event in END_EVENTS:
            reported = line.fields.get("how") != LAPSED
            run.note_end(at, _describe(line, "how"), reported)
            run.completed |= line.fields.get("how") == DONE
        elif line.event == PRESUMED_OVER_EVENT:
            run.note_end(at, _describe(line, "after"))
        elif line.event == START_FAILED_EVENT and line.fields.get("failure") != NO_ANSWER:
            run.never_started = True
            run.note_end(at, _describe(line, "failure"), reported=True)
    for line in records.restart_lines_by_server.get(run.server, ()):
        if clocks.time_of(line) >= earliest_at:
            run.note_end(clocks.time_of(line), line.event)
    job, _, rest = task.partition(".")
    step_and_index = rest.partition(".")[2]
    for line in records.end_lines_by_job.get(job, ()):
        at = clocks.time_of(line)
        for done in line.fields.get("done", ()):
            if tuple(done[:3]) == (step_and_index, run.number, run.server):
                run.note_end(at - float(done[3]), f"{JOB_END_EVENT} done")
                run.completed = True
        incarnations = records.incarnations_by_source.get(line.source, set())
        if at >= earliest_at and run.holder in incarnations:
            run.note_end(at, JOB_END_EVENT)


def _describe(line: LogLine, key: str) -> str:
    return f"{line.event} {line.fields.get(key, '')}".rstrip()


def _compare_runs(task: str, runs: list[TaskRun]) -> TaskOverlap:
    pairs = tuple(
        _compare(runs, first, second)
        for first, second in itertools.combinations(range(len(runs)), 2)
    )
    placers = {(run.term, run.source) if run.term is None else (run.term, "") for run in runs}
    shards = {run.shard for run in runs if run.shard is not None}
    return TaskOverlap(task, len(placers) > 1 or len(shards) > 1, tuple(runs), pairs)


def _compare(runs: list[TaskRun], first: int, second: int) -> RunPair:
    earlier, later = runs[first], runs[second]
    gap_s = None if earlier.ended_at is None else later.started_at - earlier.ended_at
    return RunPair(first, second, gap_s, _judge(earlier, later, gap_s))


def _judge(earlier: TaskRun, later: TaskRun, gap_s: float | None) -> Verdict:
    if earlier.never_started or later.never_started:
        return Verdict.APART
    same_clock = earlier.source == later.source
    same_owner = earlier.has_same_owner(later)
    # The end of a job only begins to stop its runs.
    is_end_known = gap_s is not None and earlier.end_evidence != JOB_END_EVENT
    if same_owner and later.number > earlier.number and not is_end_known:
        # An owner starts a task again only after the earlier run that it knows of.
        return Verdict.APART
    if gap_s is None or not same_clock and not (earlier.clock_known and later.clock_known):
        return Verdict.POSSIBLE
    error_s = 0.0 if same_clock else CLOCK_ERROR_S
    if gap_s < -error_s:
        certain = earlier.is_end_reported and later.start_logged
        return Verdict.OVERLAP if certain else Verdict.POSSIBLE
    is_report_later = earlier.reported_at is not None and earlier.reported_at > later.started_at
    is_apart = gap_s >= error_s and later.start_logged and not is_report_later
    return Verdict.APART if is_apart and (is_end_known or same_owner) else Verdict.POSSIBLE
