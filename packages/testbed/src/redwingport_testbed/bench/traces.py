"""Record and replay traces: arrivals with the outcomes that every policy must produce."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from redwingport_testbed.bench.arrivals import (
    Arrival,
    TaskPlan,
    arrival_from_json,
    draw_arrivals,
)
from redwingport_testbed.bench.runs import create_fleet, run_arrivals
from redwingport_testbed.bench.scenario import Kind, Scenario, deployment_of, scenario_from_json
from redwingport_testbed.entry_client import COMPLETE
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.standins.fleet import Fleet

TRACE_LOAD = 0.5
TRACE_SECONDS = 3.0
TRACE_SLACK_S = 5.0
# Longer tasks would extend a replay beyond 15 s.
MAX_TASK_WORK_MS = 1_500.0
# The target is 0.05 wasted messages per task at 80 % load. About 0.04 of these are heartbeats and
# polls, whose rate does not depend on the load. At 50 % load, in a run that lasts twice as long as
# its arrivals, there are 3.2 times as many of them per task.
MAX_WASTED_PER_TASK = 0.2
MAX_DECLINED_SHARE = 0.1
IMPOSSIBLE_CPUS = 64.0
ERROR_CASE_INTERVAL = 20
TOO_MANY_TASKS = 151


def record_trace(path: Path, deployment: str, seed: int) -> None:
    """Generate a trace and write it with its expected outcomes.

    The outcomes are derived from the submissions, without a run: a job with too many tasks or
    with a task that fits on no worker is refused, a job with a failing task fails, and every other
    submission completes.

    :param path: file to write.
    :param deployment: name of the deployment.
    :param seed: seed of the arrivals.
    """
    scenario = Scenario(
        deployment=deployment,
        kind=Kind.JOBS,
        load=TRACE_LOAD,
        warm_up_s=0.0,
        measure_s=TRACE_SECONDS,
        slack_s=TRACE_SLACK_S,
        seed=seed,
    )
    fleet = Fleet(deployment_of(scenario), 0)
    arrivals = draw_arrivals(scenario, fleet)
    requests = draw_arrivals(replace(scenario, kind=Kind.REQUESTS), fleet)
    changed = [_with_error_case(number, arrival) for number, arrival in enumerate(arrivals)]
    merged = [_limit_work(arrival) for arrival in (*changed, *requests)]
    merged.sort(key=lambda arrival: arrival.at)
    trace = {
        "scenario": scenario.as_json(),
        "bounds": {
            "wasted_per_task": MAX_WASTED_PER_TASK,
            "declined_share": MAX_DECLINED_SHARE,
        },
        "arrivals": [arrival.as_json() for arrival in merged],
        "outcomes": [expected_outcome(arrival) for arrival in merged],
    }
    path.write_text(json.dumps(trace, separators=(",", ":")) + "\n", encoding="utf-8")


def expected_outcome(arrival: Arrival) -> str:
    """Return the expected outcome of a submission, followed by its problem if it has one."""
    if len(arrival.tasks) >= TOO_MANY_TASKS:
        return "not-run too-many-tasks"
    if any(task.cpus >= IMPOSSIBLE_CPUS for task in arrival.tasks):
        return "not-run never-fits"
    if any(task.fail for task in arrival.tasks):
        return "failed task-failed"
    return COMPLETE


def _limit_work(arrival: Arrival) -> Arrival:
    tasks = tuple(
        replace(
            task,
            work_ms=min(task.work_ms, MAX_TASK_WORK_MS),
            declared_ms=min(task.declared_ms, MAX_TASK_WORK_MS),
        )
        for task in arrival.tasks
    )
    return replace(arrival, tasks=tasks)


def _with_error_case(number: int, arrival: Arrival) -> Arrival:
    """Change every twentieth job so that it is refused or fails.

    The cases alternate: a task that fits on no worker, a failing task, too many tasks.
    """
    if number % ERROR_CASE_INTERVAL:
        return arrival
    first, *others = arrival.tasks
    which = number // ERROR_CASE_INTERVAL % 3
    if which == 0:
        return replace(arrival, tasks=(replace(first, cpus=IMPOSSIBLE_CPUS), *others))
    if which == 1:
        return replace(arrival, tasks=(replace(first, fail=True), *others))
    return replace(arrival, tasks=(TaskPlan(50.0, 50.0),) * TOO_MANY_TASKS)


def replay_trace(path: Path, chooser: str) -> list[str]:
    """Replay a trace and compare the results with its outcomes and bounds.

    Send lag of the generator does not change the outcomes, so it does not invalidate a replay.

    :param path: trace file.
    :param chooser: value of ``[policy] chooser``.
    :returns: one message per violated expectation; empty if all are met.
    :raises TestbedError: if the file is not a valid trace or the run does not finish in time.
    """
    try:
        trace: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
        scenario = replace(scenario_from_json(trace["scenario"]), chooser=chooser)
        arrivals = [arrival_from_json(item) for item in trace["arrivals"]]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise TestbedError(f"read {path}", str(error)) from error
    fleet = create_fleet(scenario)
    members, report = run_arrivals(scenario, fleet, arrivals)
    outcome_by_number = {
        record.number: f"{record.outcome} {record.problem}".strip() for record in report.records
    }
    failures = [
        f"submission {number}: {outcome_by_number.get(number, 'not sent')}, expected {expected}"
        for number, expected in enumerate(trace["outcomes"])
        if outcome_by_number.get(number) != expected
    ]
    return failures + _violated_bounds(members, trace["bounds"])


def _violated_bounds(members: dict[str, Any], bounds: dict[str, float]) -> list[str]:
    messages = members["messages"]
    declined = messages["declined_tasks"] / max(messages["tasks"], 1)
    failures = []
    if messages["wasted_per_task"] > bounds["wasted_per_task"]:
        failures.append(f"too many wasted messages: {messages['wasted_per_task']} per task")
    if declined > bounds["declined_share"]:
        failures.append(f"too many declined tasks: {declined:.3f} per started task")
    if members["untruthful_refusals"]:
        failures.append(f"{members['untruthful_refusals']} refused submissions had started tasks")
    if members["started_twice"]:
        failures.append(f"{members['started_twice']} tasks were started more than once")
    return failures
