"""Command ``overlaps``."""

import argparse
import datetime
import itertools

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.exceptions import InvalidFileError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.files import STANDARD_STREAM, read_input
from redwingport_cli.log_lines import read_lines
from redwingport_cli.overlapping import (
    OverlapReport,
    RunPair,
    TaskOverlap,
    TaskRun,
    Verdict,
    find_overlaps,
)
from redwingport_cli.rendering import OutputFormat, print_json, printable


class Overlaps:
    """List the tasks whose runs may have overlapped, from logs."""

    name = "overlaps"
    needs_entry = False
    help = CommandHelp(
        "list tasks that may have had two runs at a time, from logs",
        "Read the JSON logs of all processes and list the tasks that were placed by two owners or "
        "in two shards, then the other tasks whose runs overlapped or may have overlapped, or "
        "that were started again after a run had completed them. The end of a run is the earliest "
        "time by which a line shows that it was over. Differences between the VMs' clocks are "
        "corrected where the lines show them. Nothing is sent anywhere.",
        "redwingport overlaps entry-*.log",
        (ExitCode.DONE, ExitCode.USAGE, ExitCode.INVALID),
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the logs."""
        parser.add_argument(
            "logs", metavar="LOG", nargs="*", help="log file (default: standard input)"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Print the tasks with their runs."""
        paths: list[str] = options.logs or [STANDARD_STREAM]
        lines = itertools.chain.from_iterable(
            read_lines(path, read_input(path).decode("utf-8", "replace")) for path in paths
        )
        report = find_overlaps(lines)
        if not report.placed_count:
            detail = f"no log line places a task; {report.skipped_count} lines are not log lines"
            raise InvalidFileError("overlaps", ", ".join(paths), detail)
        if context.output is OutputFormat.JSON:
            print_json(_as_json(report))
        else:
            _print_text(report)
        return ExitCode.DONE


def _as_json(report: OverlapReport) -> dict[str, object]:
    return {
        "tasks": [
            {
                "task": item.task,
                "candidate": item.is_candidate,
                "repeated": item.is_repeated,
                "verdict": item.verdict,
                "runs": [_run_as_json(run) for run in item.runs],
                "pairs": [
                    {
                        "first": pair.first,
                        "second": pair.second,
                        "gapMs": _milliseconds(pair.gap_s),
                        "verdict": pair.verdict,
                    }
                    for pair in item.pairs
                ],
            }
            for item in report.tasks
        ],
        "placedTasks": report.placed_count,
        "skippedLines": report.skipped_count,
        "uncomparedSources": list(report.uncompared_sources),
    }


def _run_as_json(run: TaskRun) -> dict[str, object]:
    return {
        "run": run.number,
        "server": run.server,
        "source": run.source,
        "owner": run.owner,
        "term": run.term,
        "shard": run.shard,
        "holder": run.holder,
        "startedAt": round(run.started_at, 3),
        "startLogged": run.start_logged,
        "resumed": run.resumed,
        "after": run.after,
        "endedAt": None if run.ended_at is None else round(run.ended_at, 3),
        "reportedAt": None if run.reported_at is None else round(run.reported_at, 3),
        "endEvidence": run.end_evidence,
    }


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)


def _print_text(report: OverlapReport) -> None:
    for item in report.tasks:
        _print_task(item)
    candidates = sum(item.is_candidate for item in report.tasks)
    counts = ", ".join(
        f"{sum(item.verdict is verdict for item in report.tasks)} {verdict}" for verdict in Verdict
    )
    repeated = sum(item.is_repeated for item in report.tasks)
    print(
        f"{report.placed_count} tasks placed; {candidates} by two owners or in two shards, "
        f"{repeated} again after their completion; listed: {counts}"
    )
    for source in report.uncompared_sources:
        print(printable(f"clock of {source}: offset not known, not corrected"))
    if report.skipped_count:
        print(f"{report.skipped_count} lines are not log lines")


def _print_task(item: TaskOverlap) -> None:
    first_at = item.runs[0].started_at
    at = datetime.datetime.fromtimestamp(first_at, datetime.UTC).isoformat("T", "milliseconds")
    mark = "  two owners or shards" if item.is_candidate else ""
    if item.is_repeated:
        mark += "  started again after its completion"
    print(printable(f"{item.task}  {item.verdict}  {at}{mark}"))
    for run in item.runs:
        print(printable(f"    {_describe_run(run, first_at)}"))
    for pair in item.pairs:
        print(printable(f"    {_describe_pair(item, pair)}"))


def _describe_run(run: TaskRun, first_at: float) -> str:
    order = "" if run.start_logged else "before "
    start = f"{order}{run.started_at - first_at:+.3f} s"
    if run.ended_at is None:
        end = "end not logged"
    else:
        limit = "" if run.is_end_reported else "at most "
        end = f"{limit}{run.ended_at - first_at:+.3f} s ({run.end_evidence})"
        if run.reported_at is not None and not run.is_end_reported:
            end += f", reported at {run.reported_at - first_at:+.3f} s"
    words = [
        f"run {run.number}  {start} to {end}",
        f"server={run.server} shard={run.shard} term={run.term} owner={run.owner}",
        f"holder={run.holder} source={run.source}",
    ]
    if run.resumed or run.after:
        words.append(f"resumed={run.resumed} after={run.after}")
    return "  ".join(words)


def _describe_pair(item: TaskOverlap, pair: RunPair) -> str:
    names = f"runs {item.runs[pair.first].number} and {item.runs[pair.second].number}"
    gap_ms = _milliseconds(pair.gap_s)
    if gap_ms is None:
        return f"{names}: {pair.verdict}, the end of the first is not logged"
    relation = f"{-gap_ms} ms overlap at most" if gap_ms < 0 else f"{gap_ms} ms apart"
    return f"{names}: {pair.verdict}, {relation}"
