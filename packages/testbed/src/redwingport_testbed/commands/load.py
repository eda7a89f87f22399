"""Send an open-loop load to entry processes and report response times."""

import argparse
import json
from pathlib import Path
from typing import Any

import anyio

from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.load import LoadPlan, LoadRun, Stream, WorkDistribution

HELP = "send an open-loop load to entry processes"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument(
        "--target",
        action="append",
        required=True,
        metavar="URL[,WEIGHT]",
        help="entry process, for example http://127.0.0.1:20201,2 (repeat for more)",
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--warm-up-s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--connections", type=int, default=1_000, help="maximum per target")
    parser.add_argument("--job-service", default="route-build")
    parser.add_argument("--jobs-per-s", type=float, default=0.0)
    parser.add_argument("--job-burst", type=int, default=0, help="jobs in one burst")
    parser.add_argument("--tasks", type=int, default=150, help="tasks of a job")
    parser.add_argument("--job-work-ms", type=float, default=200.0, help="mean work of a task")
    parser.add_argument("--request-service", default="route-desk")
    parser.add_argument("--operation", default="stop-check")
    parser.add_argument("--requests-per-s", type=float, default=0.0)
    parser.add_argument("--request-burst", type=int, default=0, help="requests in one burst")
    parser.add_argument("--request-work-ms", type=float, default=100.0, help="mean work")
    parser.add_argument("--burst-every-s", type=float, default=10.0)
    parser.add_argument(
        "--distribution", choices=[str(item) for item in WorkDistribution], default="uniform"
    )
    parser.add_argument("--output", type=Path, help="file for the results as JSON")


def run(options: argparse.Namespace) -> int:
    """Run the load; the exit code is 1 if a complete answer did not match its submission."""
    load_run = LoadRun(_plan(options))
    results: dict[str, Any] = anyio.run(load_run.run, backend_options={"use_uvloop": True})
    text = json.dumps(results, indent=2)
    print(text)
    if options.output:
        options.output.write_text(text + "\n", encoding="utf-8")
    wrong = sum(recorder.count_by_outcome["wrong-answer"] for recorder in load_run.recorders)
    return 1 if wrong else 0


def _plan(options: argparse.Namespace) -> LoadPlan:
    distribution = WorkDistribution(options.distribution)
    jobs = Stream(
        service=options.job_service,
        per_s=options.jobs_per_s,
        burst_size=options.job_burst,
        burst_every_s=options.burst_every_s,
        tasks=options.tasks,
        work_ms=options.job_work_ms,
        distribution=distribution,
    )
    requests = Stream(
        service=options.request_service,
        operation=options.operation,
        per_s=options.requests_per_s,
        burst_size=options.request_burst,
        burst_every_s=options.burst_every_s,
        work_ms=options.request_work_ms,
        distribution=distribution,
    )
    streams = tuple(item for item in (jobs, requests) if item.per_s > 0 or item.burst_size)
    if not streams:
        raise TestbedError("plan load", "no arrivals: set a rate or a burst size")
    return LoadPlan(
        targets=tuple(_target(text) for text in options.target),
        streams=streams,
        seconds=options.seconds,
        warm_up_s=options.warm_up_s,
        seed=options.seed,
        connections=options.connections,
    )


def _target(text: str) -> tuple[str, float]:
    url, _, weight = text.partition(",")
    try:
        return url.rstrip("/"), float(weight or 1)
    except ValueError as error:
        raise TestbedError("plan load", f"target {text!r}: the weight is not a number") from error
