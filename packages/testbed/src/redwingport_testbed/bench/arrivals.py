"""Generate the arrivals of a run from a seed, or read them from a trace."""

import json
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from redwingport_testbed.bench.scenario import (
    TEAMS,
    TIME_SCALE,
    Kind,
    Scenario,
    capacity,
    deployment_of,
    job_service,
    team_name,
)
from redwingport_testbed.entry_client import Call
from redwingport_testbed.standins.fleet import Fleet

SHORT_WORK_S = (0.05, 1.0)
LONG_WORK_S = (2.0, 5.0)
# About one task in seventy ("a few") takes several seconds.
LONG_TASK_SHARE = 0.015
MAX_TASKS = 150
CHECK_WORK_S = (0.05, 0.3)
ORDER_WORK_S = (0.2, 1.0)
CHECK_SHARE = 0.6
DEADLINE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """Describe one task.

    :param work_ms: run time on a server of speed 1, in milliseconds.
    :param declared_ms: run time that the caller declares, in milliseconds.
    :param cpus: number of processors that the caller declares.
    :param fail: whether the task fails.
    """

    work_ms: float
    declared_ms: float
    cpus: float = 1.0
    fail: bool = False

    def as_json(self) -> Any:
        """Return the fields as a list, or only ``work_ms`` if the others have default values."""
        if self == TaskPlan(self.work_ms, self.work_ms):
            return self.work_ms
        return [self.work_ms, self.declared_ms, self.cpus, self.fail]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one submission.

    :param at: scheduled send time, in seconds from the start of the run.
    :param target: zero-based index of the entry process.
    :param service: name of the service.
    :param operation: operation of a request; empty for a job.
    :param team: team that the submission is accounted to.
    :param tasks: the tasks; exactly one for a request.
    :param timeout_ms: timeout of the submission, in milliseconds.
    """

    at: float
    target: int
    service: str
    operation: str
    team: str
    tasks: tuple[TaskPlan, ...]
    timeout_ms: int

    @property
    def work_s(self) -> float:
        """Return the total work of all tasks at speed 1, in seconds."""
        return sum(task.work_ms for task in self.tasks) / 1000.0

    @property
    def longest_s(self) -> float:
        """Return the work of the longest task at speed 1, in seconds."""
        return max(task.work_ms for task in self.tasks) / 1000.0

    def call(self, number: int) -> Call:
        """Build the submission, with task tokens derived from its number."""
        tokens = tuple(f"{number}-{index}" for index in range(len(self.tasks)))
        payloads = [
            {"work_ms": task.work_ms, "token": token, "fail": task.fail}
            for task, token in zip(self.tasks, tokens, strict=True)
        ]
        body: Any = payloads[0]
        if not self.operation:
            body = {
                "tasks": [
                    {"payload": payload, "expected_ms": task.declared_ms, "cpus": task.cpus}
                    for task, payload in zip(self.tasks, payloads, strict=True)
                ]
            }
        content = json.dumps(body).encode()
        return Call(self.service, self.operation, tokens, content, self.longest_s * 1000)

    def as_json(self) -> list[Any]:
        """Return the fields as a list, which keeps trace files small."""
        tasks = [task.as_json() for task in self.tasks]
        return [
            self.at,
            self.target,
            self.service,
            self.operation,
            self.team,
            self.timeout_ms,
            tasks,
        ]


def arrival_from_json(members: Sequence[Any]) -> Arrival:
    """Build an arrival from the output of :meth:`Arrival.as_json`."""
    at, target, service, operation, team, timeout_ms, tasks = members
    plans = tuple(
        TaskPlan(*task) if isinstance(task, list) else TaskPlan(task, task) for task in tasks
    )
    return Arrival(at, target, service, operation, team, plans, timeout_ms)


def draw_arrivals(scenario: Scenario, fleet: Fleet) -> list[Arrival]:
    """Draw the submissions of a run, sorted by send time; equal scenarios give equal results.

    The result does not depend on the chooser. Submissions are drawn until their total work
    reaches the load times the capacity, at uniformly distributed times. This is a Poisson process
    conditioned on its total work, so that even a short run offers the stated load.
    """
    rng = random.Random(f"arrivals/{scenario.seed}")
    limit = capacity(scenario, fleet)
    periods = [(0.0, scenario.seconds, scenario.load)]
    if scenario.burst:
        start = scenario.warm_up_s + 1.0
        end = start + scenario.burst_s
        periods.append((start, end, scenario.burst - scenario.load))
    weights = [vm.weight for vm in fleet.entry_vms()]
    arrivals: list[Arrival] = []
    for start, end, load in periods:
        drawn: list[Arrival] = []
        work_s = load * limit * (end - start)
        while work_s > 0:
            target = rng.choices(range(len(weights)), weights)[0]
            arrival = _draw(scenario, target, rng.uniform(start, end), rng)
            work_s -= arrival.work_s
            drawn.append(arrival)
        arrivals += drawn
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw(scenario: Scenario, target: int, at: float, rng: random.Random) -> Arrival:
    deployment = deployment_of(scenario)
    if scenario.kind is Kind.JOBS:
        number = rng.randrange(TEAMS)
        service, team, operation = (
            job_service(deployment, number),
            team_name(deployment, number),
            "",
        )
        count = min(MAX_TASKS, int(math.exp(rng.uniform(0, math.log(MAX_TASKS + 1)))))
        work_amounts_s = [_task_work_s(rng) for _ in range(count)]
    else:
        service, team = deployment.request_service, deployment.team
        check = rng.random() < CHECK_SHARE
        operation = deployment.operations[0 if check else 1]
        work_amounts_s = [_request_work_s(check, rng)]
    tasks = tuple(_task(work_s, scenario.declared_error, rng) for work_s in work_amounts_s)
    timeout_ms = int(
        (scenario.slack_s + DEADLINE_FACTOR * max(work_amounts_s)) * TIME_SCALE * 1000
    )
    at = round(at * TIME_SCALE, 5)
    return Arrival(at, target, service, operation, team, tasks, timeout_ms)


def _log_uniform(bounds: tuple[float, float], rng: random.Random) -> float:
    low, high = bounds
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _task_work_s(rng: random.Random) -> float:
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(*LONG_WORK_S)
    return _log_uniform(SHORT_WORK_S, rng)


def _request_work_s(check: bool, rng: random.Random) -> float:
    if check:
        return _log_uniform(CHECK_WORK_S, rng)
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(*LONG_WORK_S)
    return _log_uniform(ORDER_WORK_S, rng)


def _task(work_s: float, declared_error: float, rng: random.Random) -> TaskPlan:
    work_ms = round(work_s * TIME_SCALE * 1000, 1)
    exponent = rng.uniform(-1, 1)
    return TaskPlan(work_ms, round(work_ms * declared_error**exponent, 2))
