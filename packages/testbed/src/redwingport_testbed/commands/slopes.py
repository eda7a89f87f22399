"""Measure how the cost of control traffic, starts and state grows, and print the results."""

import argparse
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from redwingport_testbed.slopes.control import control_series
from redwingport_testbed.slopes.decisions import decision_series
from redwingport_testbed.slopes.memory import memory_series
from redwingport_testbed.slopes.recovery import recovery_series
from redwingport_testbed.slopes.series import TABLE_HEAD, Series
from redwingport_testbed.slopes.starts import start_series

HELP = "measure how costs grow and print the table of the capacity page"

BEGIN_MARKER = "<!-- slopes: begin -->"
END_MARKER = "<!-- slopes: end -->"

Rows = list[tuple[Series, float]]


async def _memory(quick: bool) -> Rows:
    return memory_series(quick)


async def _decisions(quick: bool) -> Rows:
    return decision_series(quick)


MEASUREMENT_BY_NAME: dict[str, Callable[[bool], Awaitable[Rows]]] = {
    "memory": _memory,
    "starts": start_series,
    "decisions": _decisions,
    "control": control_series,
    "recovery": recovery_series,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument(
        "--only",
        choices=sorted(MEASUREMENT_BY_NAME),
        action="append",
        help="measurement to run (repeat for more)",
    )
    parser.add_argument(
        "--quick", action="store_true", help="measure few small points, to test the tool"
    )
    parser.add_argument(
        "--page", type=Path, help="page in which to replace the table between the slopes markers"
    )
    parser.add_argument("--output", type=Path, help="file for the points as JSON")


def run(options: argparse.Namespace) -> int:
    """Measure and print a Markdown table."""
    rows: Rows = []
    print(TABLE_HEAD, flush=True)
    for name in options.only or MEASUREMENT_BY_NAME:
        measured = anyio.run(
            MEASUREMENT_BY_NAME[name], options.quick, backend_options={"use_uvloop": True}
        )
        for series, planned in measured:
            print(series.row(planned), flush=True)
        rows += measured
    if options.page:
        _replace_table(options.page, [TABLE_HEAD, *(series.row(size) for series, size in rows)])
    if options.output:
        points = [
            {"name": series.name, "size": series.size, "points": series.points}
            for series, _ in rows
        ]
        options.output.write_text(json.dumps(points, indent=2) + "\n", encoding="utf-8")
    return 0


def _replace_table(page: Path, lines: list[str]) -> None:
    head, _, rest = page.read_text(encoding="utf-8").partition(BEGIN_MARKER)
    _, _, tail = rest.partition(END_MARKER)
    table = "\n".join(lines)
    text = f"{head}{BEGIN_MARKER}\n\n{table}\n\n{END_MARKER}{tail}"
    page.write_text(text, encoding="utf-8")
