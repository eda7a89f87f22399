"""Measure the policy: run scenarios, compare runs, record and replay traces."""

import argparse
import itertools
import json
from pathlib import Path
from typing import Any

from redwingport_policy.backends import CHOOSER_BY_NAME
from redwingport_testbed.bench.generator import generate
from redwingport_testbed.bench.runs import exit_on_sigterm, run_scenario, write_reports
from redwingport_testbed.bench.scenario import Fault, Kind, Scenario
from redwingport_testbed.bench.summary import format_table
from redwingport_testbed.bench.traces import record_trace, replay_trace
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME

HELP = "measure response times, wasted messages and goodput of the policy"
# Under overload, a short slack lets the queue reach its steady-state length during the warm-up.
OVERLOAD_SLACK_S = 1.0
OVERLOAD_WARM_UP_S = 8.0
BURST_SLACK_S = 12.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    actions = parser.add_subparsers(dest="action", required=True)
    _add_run(actions.add_parser("run", help="run a scenario for every combination of the options"))
    compare = actions.add_parser("compare", help="print two runs side by side")
    compare.add_argument("reports", nargs=2, type=Path, metavar="REPORT")
    record = actions.add_parser(
        "record", help="write a trace with its expected outcomes and bounds"
    )
    record.add_argument("--deployment", choices=sorted(DEPLOYMENT_BY_NAME), default="dairy")
    record.add_argument("--seed", type=int, default=1)
    record.add_argument("trace", type=Path)
    replay = actions.add_parser("replay", help="run a trace and check its outcomes and bounds")
    replay.add_argument("--chooser", choices=sorted(CHOOSER_BY_NAME), default="completion-time")
    replay.add_argument("trace", type=Path)
    _add_generate(actions.add_parser("generate", help="send one share of the arrivals (internal)"))


def _add_run(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment", nargs="+", choices=sorted(DEPLOYMENT_BY_NAME), default=["dairy"]
    )
    parser.add_argument("--kind", nargs="+", type=Kind, choices=list(Kind), default=[Kind.JOBS])
    parser.add_argument("--load", nargs="+", type=float, default=[80.0], help="percent")
    parser.add_argument(
        "--chooser", nargs="+", choices=sorted(CHOOSER_BY_NAME), default=["completion-time"]
    )
    parser.add_argument("--entries", type=int, choices=(6, 9), default=6)
    parser.add_argument("--fault", type=Fault, choices=list(Fault), default=Fault.NONE)
    parser.add_argument(
        "--burst", type=float, default=0.0, help="load during a burst of 2 s, in percent"
    )
    parser.add_argument("--declared-error", type=float, default=1.0, help="maximum factor")
    parser.add_argument("--seed", nargs="+", type=int, default=[1])
    parser.add_argument("--measure-s", type=float, default=10.0)
    parser.add_argument("--output", type=Path, required=True, help="directory for the reports")
    parser.add_argument("--logs", type=Path, help="directory for the logs of the processes")


def _add_generate(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--arrivals", type=Path, required=True)
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--number", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--start-at", type=float, required=True, help="monotonic seconds")
    parser.add_argument("--target", action="append", required=True)


def run(options: argparse.Namespace) -> int:
    """Run one action; the exit code is 1 for a void run or a failed replay."""
    exit_on_sigterm()
    if options.action == "run":
        return _run(options)
    if options.action == "compare":
        reports = [_read(path) for path in options.reports]
        print(format_table(reports, [path.stem for path in options.reports]))
        return 0
    if options.action == "record":
        record_trace(options.trace, options.deployment, options.seed)
        return 0
    if options.action == "replay":
        failures = replay_trace(options.trace, options.chooser)
        print("\n".join(failures) or "the replay met all outcomes and bounds of the trace")
        return 1 if failures else 0
    share = (options.number, options.count)
    generate(options.arrivals, share, options.start_at, options.target, options.output)
    return 0


def _run(options: argparse.Namespace) -> int:
    scenarios = [
        _scenario(options, *combination)
        for combination in itertools.product(
            options.deployment, options.kind, options.load, options.seed, options.chooser
        )
    ]
    reports: list[dict[str, Any]] = []
    for scenario in scenarios:
        logs = options.logs / scenario.name if options.logs else None
        report = run_scenario(scenario, logs)
        print(format_table([report], [scenario.name]), flush=True)
        reports.append(report)
        names = [done.name for done in scenarios[: len(reports)]]
        write_reports(reports, names, options.output)
    return 1 if any(report["void"] for report in reports) else 0


def _scenario(
    options: argparse.Namespace,
    deployment: str,
    kind: Kind,
    percent: float,
    seed: int,
    chooser: str,
) -> Scenario:
    defaults = Scenario()
    warm_up_s, slack_s = defaults.warm_up_s, defaults.slack_s
    if percent > 100:
        warm_up_s, slack_s = OVERLOAD_WARM_UP_S, OVERLOAD_SLACK_S
    if options.burst:
        slack_s = BURST_SLACK_S
    return Scenario(
        deployment=deployment,
        kind=kind,
        load=percent / 100.0,
        entries=options.entries,
        chooser=chooser,
        burst=options.burst / 100.0,
        declared_error=options.declared_error,
        fault=options.fault,
        warm_up_s=warm_up_s,
        measure_s=options.measure_s,
        slack_s=slack_s,
        seed=seed,
    )


def _read(path: Path) -> dict[str, Any]:
    try:
        report: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise TestbedError(f"read {path}", str(error)) from error
    return report
