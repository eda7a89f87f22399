"""Run scenarios sequentially and write their reports."""

import json
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from types import FrameType
from typing import Any

import anyio

from redwingport_testbed.bench.arrivals import Arrival, draw_arrivals
from redwingport_testbed.bench.measurement import copy_logs, measure
from redwingport_testbed.bench.plot import plot_runs
from redwingport_testbed.bench.report import Report
from redwingport_testbed.bench.scenario import Scenario, deployment_of
from redwingport_testbed.standins.fleet import Fleet, free_base_port


def run_arrivals(
    scenario: Scenario, fleet: Fleet, arrivals: list[Arrival], logs: Path | None = None
) -> tuple[dict[str, Any], Report]:
    """Run the given arrivals and compute the report.

    :param logs: directory that the process logs are copied to, or None.
    :returns: the report as JSON values, and the report itself.
    """
    with tempfile.TemporaryDirectory(prefix="redwingport-bench-") as temporary:
        directory = Path(temporary)
        measurement = anyio.run(
            measure, scenario, fleet, arrivals, directory, backend_options={"use_uvloop": True}
        )
        if logs is not None:
            copy_logs(directory, logs)
    report = Report(scenario, fleet, arrivals, measurement)
    return report.as_json(), report


def exit_on_sigterm() -> None:
    """Raise SystemExit on SIGTERM, so that the cleanup ends all subprocesses of a run."""

    def exit_run(number: int, frame: FrameType | None) -> None:
        sys.exit(128 + number)

    signal.signal(signal.SIGTERM, exit_run)


def create_fleet(scenario: Scenario) -> Fleet:
    """Create the fleet of a scenario's deployment on free ports."""
    return Fleet(deployment_of(scenario), free_base_port(), scenario.entries)


def run_scenario(scenario: Scenario, logs: Path | None = None) -> dict[str, Any]:
    """Draw the arrivals of a scenario, run them and return the report."""
    fleet = create_fleet(scenario)
    report, _ = run_arrivals(scenario, fleet, draw_arrivals(scenario, fleet), logs)
    return report


def write_reports(
    reports: Sequence[dict[str, Any]], names: Sequence[str], directory: Path
) -> None:
    """Write one JSON file per run and one PNG that plots all runs."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, report in zip(names, reports, strict=True):
        text = json.dumps(report, indent=1) + "\n"
        (directory / f"{name}.json").write_text(text, encoding="utf-8")
    plot_runs(reports, directory / f"{names[0] if len(names) == 1 else 'runs'}.png")
