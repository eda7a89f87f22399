"""Command ``explain``."""

import argparse
import itertools

from redwingport_cli.commands.base import CommandHelp, Context
from redwingport_cli.exceptions import InvalidFileError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.explaining import Timeline, explain
from redwingport_cli.files import STANDARD_STREAM, read_input
from redwingport_cli.log_lines import read_lines
from redwingport_cli.rendering import OutputFormat, print_json, printable


class Explain:
    """Show the timeline of one request from logs."""

    name = "explain"
    needs_entry = False
    help = CommandHelp(
        "show the timeline of a request from logs",
        "Read the JSON logs of processes and print every decision on a request in chronological "
        "order with its inputs, and the events of the owners, servers and links that the request "
        "depended on. Differences between the VMs' clocks are corrected where the lines show "
        "them. Nothing is sent anywhere.",
        "redwingport explain 8e401726a8379340 entry-*.log",
        (ExitCode.DONE, ExitCode.USAGE, ExitCode.INVALID),
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the request and the logs."""
        parser.add_argument("request", metavar="REQUEST_ID", help="id of the request")
        parser.add_argument(
            "logs", metavar="LOG", nargs="*", help="log file (default: standard input)"
        )

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Print the timeline."""
        paths: list[str] = options.logs or [STANDARD_STREAM]
        lines = itertools.chain.from_iterable(
            read_lines(path, read_input(path).decode("utf-8", "replace")) for path in paths
        )
        timeline = explain(options.request, lines)
        if not timeline.lines:
            detail = (
                f"no log line names the request; {timeline.skipped_count} lines are not log lines"
            )
            raise InvalidFileError("explain", options.request, detail)
        if context.output is OutputFormat.JSON:
            print_json(_as_json(timeline))
        else:
            _print_text(timeline)
        return ExitCode.DONE


def _as_json(timeline: Timeline) -> dict[str, object]:
    return {
        "lines": [
            {
                "afterS": round(line.after_s, 3),
                "source": line.source,
                "event": line.event,
                "concernsRequest": line.concerns_request,
                "fields": dict(line.fields),
            }
            for line in timeline.lines
        ],
        "clockAheadS": dict(timeline.clock_offset_s_by_source),
        "skippedLines": timeline.skipped_count,
    }


def _print_text(timeline: Timeline) -> None:
    for source, ahead_s in timeline.clock_offset_s_by_source.items():
        shown = "offset not known, not corrected" if ahead_s is None else f"{ahead_s:+.3f} s"
        print(printable(f"clock of {source}: {shown}"))
    for line in timeline.lines:
        # Lines that are only context are marked with a tilde.
        mark = " " if line.concerns_request else "~"
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
        print(printable(f"{mark}{line.after_s:+9.3f} s  {line.source}  {line.event}  {fields}"))
    if timeline.skipped_count:
        print(f"{timeline.skipped_count} lines are not log lines")
