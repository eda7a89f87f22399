"""Kinds of jobs, and the jobs that arrive in a simulation."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from redwingport_dispatch.interfaces import JobRequest, Route, StepRequest, TaskShape

SERVICE = "desk"
DEADLINE_S = 1.55
STRETCH = 1.6
SLACK_S = 0.06
ATTEMPTS = 3
# Standard deviations of the logarithms of widths and run times over the jobs of a kind, of run
# times within a job, and of processor demands.
WIDTH_SPREAD = 0.4
WORK_SPREAD = 0.4
TASK_SPREAD = 0.15
CPU_SPREAD = 0.2
MAX_MULTIPLE = 4.0
MEAN_CORES = 8.0
MAX_CORES = 12.0
# Declared run times are off by up to this factor either way.
DECLARED_ERROR = 1.4
TASK_MEMORY_MB = 64


@dataclass(frozen=True, slots=True)
class JobKind:
    """Describe one kind of jobs.

    :param name: name of its queue.
    :param rate: jobs a second at load 1 on a deployment of :data:`REFERENCE_SERVERS`.
    :param tasks: mean number of tasks.
    :param work_s: mean run time of a task on a server of speed 1, in seconds.
    :param priority: priority of its queue.
    """

    name: str
    rate: float
    tasks: int
    work_s: float
    priority: int

    def route(self) -> Route:
        """Return the queue of the kind."""
        return Route(
            name=self.name,
            host="host",
            path_prefix=f"/{self.name}",
            service=SERVICE,
            priority=self.priority,
            attempts=ATTEMPTS,
            stretch=STRETCH,
            slack_s=SLACK_S,
            timeout_s=0.0,
        )


REFERENCE_SERVERS = 176
KINDS = (
    JobKind("check", 103.0, 8, 0.06, 0),
    JobKind("build", 18.8, 4, 0.9, 2),
    JobKind("note", 300.0, 2, 0.2, 1),
)


@dataclass(frozen=True, slots=True)
class Burst:
    """Describe a period in which more jobs of one kind arrive.

    :param kind: name of the kind.
    :param start_s: start, in seconds from the start of the simulation.
    :param end_s: end, likewise.
    :param factor: factor on the rate of the kind.
    """

    kind: str
    start_s: float
    end_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class JobPlan:
    """Describe one job of a simulation.

    :param job_id: id of the job.
    :param kind: its kind.
    :param at: time of arrival, in seconds from the start of the simulation.
    :param works_s: run time of each task on a server of speed 1, in seconds.
    :param declared_s: declared run time of its tasks, in seconds.
    :param cpu_millis: processor demand of each task, in thousandths of a core.
    """

    job_id: str
    kind: JobKind
    at: float
    works_s: tuple[float, ...]
    declared_s: float
    cpu_millis: int

    @property
    def size(self) -> float:
        """Return the work of the job, in core-seconds."""
        return sum(self.works_s) * self.cpu_millis / 1000

    def request(self) -> JobRequest:
        """Return the job as a client submits it."""
        shape = TaskShape(self.cpu_millis, TASK_MEMORY_MB, 0, self.declared_s)
        return JobRequest("", (StepRequest(len(self.works_s), shape),))


def draw_bursts(seconds: float, seed: int) -> list[Burst]:
    """Draw bursts of 4 s with pauses of 2 s, of each kind in turn."""
    rng = random.Random(f"bursts/{seed}")
    bursts: list[Burst] = []
    start = 3.0
    while start < seconds:
        kind = KINDS[len(bursts) % len(KINDS)]
        bursts.append(Burst(kind.name, start, start + 4.0, rng.uniform(1.3, 1.9)))
        start += 6.0
    return bursts


def draw_jobs(
    load: float, servers: int, seconds: float, bursts: Sequence[Burst], seed: int
) -> list[JobPlan]:
    """Draw the jobs of a simulation in order of arrival; equal arguments give equal jobs.

    :param load: factor on the rates of all kinds.
    :param servers: number of servers; the rates are scaled by it.
    :param seconds: length of the simulation, in seconds.
    """
    plans: list[JobPlan] = []
    for kind in KINDS:
        rng = random.Random(f"jobs/{kind.name}/{seed}")
        rate = kind.rate * load * servers / REFERENCE_SERVERS
        own = [burst for burst in bursts if burst.kind == kind.name]
        peak = max((burst.factor for burst in own), default=1.0)
        at = rng.expovariate(rate * peak)
        while at < seconds:
            plan = _draw_job(kind, at, rng)
            factor = next((b.factor for b in own if b.start_s <= at < b.end_s), 1.0)
            if rng.random() * peak < factor:
                plans.append(plan)
            at += rng.expovariate(rate * peak)
    return sorted(plans, key=lambda plan: plan.at)


def _draw_job(kind: JobKind, at: float, rng: random.Random) -> JobPlan:
    width = min(
        max(1, round(kind.tasks * _multiple(WIDTH_SPREAD, rng))), int(MAX_MULTIPLE * kind.tasks)
    )
    work_s = kind.work_s * min(_multiple(WORK_SPREAD, rng), MAX_MULTIPLE)
    return JobPlan(
        job_id=f"{rng.getrandbits(64):016x}",
        kind=kind,
        at=at,
        works_s=tuple(work_s * _multiple(TASK_SPREAD, rng) for _ in range(width)),
        declared_s=work_s * math.pow(DECLARED_ERROR, rng.uniform(-1, 1)),
        cpu_millis=round(1000 * min(MEAN_CORES * _multiple(CPU_SPREAD, rng), MAX_CORES)),
    )


def _multiple(spread: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution with mean 1."""
    return math.exp(rng.gauss(-spread * spread / 2, spread))
