"""Open-loop load generator.

Arrival times are drawn in advance from a seed and do not depend on the answers. Response times are
measured from the scheduled send time, so a generator that falls behind increases them instead of
reducing them. Its lag is recorded separately.
"""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import merge
from time import monotonic
from typing import Any

import anyio
from hdrh.histogram import HdrHistogram

from redwingport_testbed.entry_client import (
    COMPLETE,
    Call,
    EntryClient,
    Outcome,
    make_job,
    make_request,
)
from redwingport_testbed.http_client import HttpClient

MIN_WORK_MS = 1.0
MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
RATIO_SCALE = 1_000


class WorkDistribution(StrEnum):
    """Identify the distribution of the work of tasks."""

    FIXED = "fixed"
    UNIFORM = "uniform"
    EXPONENTIAL = "exponential"


@dataclass(frozen=True, slots=True)
class Stream:
    """Describe one stream of submissions and its arrivals.

    :param service: name of the service.
    :param operation: operation of requests; empty for jobs.
    :param per_s: mean arrivals per second, as a Poisson process; 0 for none.
    :param burst_size: number of submissions that arrive at once; 0 for no bursts.
    :param burst_every_s: interval between bursts; the first burst comes after half of it.
    :param tasks: number of tasks per job.
    :param work_ms: mean work of a task, in milliseconds at speed 1.
    :param distribution: distribution of the work.
    """

    service: str
    operation: str = ""
    per_s: float = 0.0
    burst_size: int = 0
    burst_every_s: float = 10.0
    tasks: int = 1
    work_ms: float = 200.0
    distribution: WorkDistribution = WorkDistribution.UNIFORM

    def arrivals(self, seconds: float, rng: random.Random) -> Iterator[float]:
        """Yield the send times in ascending order, in seconds from the start of the run."""
        return merge(self._poisson(seconds, rng), self._bursts(seconds))

    def call(self, rng: random.Random) -> Call:
        """Build one submission."""
        work_amounts_ms = [self._draw_work_ms(rng) for _ in range(self.tasks)]
        if self.operation:
            return make_request(self.service, self.operation, work_amounts_ms[0], rng)
        return make_job(self.service, work_amounts_ms, rng)

    def _poisson(self, seconds: float, rng: random.Random) -> Iterator[float]:
        if self.per_s <= 0:
            return
        at = rng.expovariate(self.per_s)
        while at < seconds:
            yield at
            at += rng.expovariate(self.per_s)

    def _bursts(self, seconds: float) -> Iterator[float]:
        at = self.burst_every_s / 2
        while self.burst_size and at < seconds:
            for _ in range(self.burst_size):
                yield at
            at += self.burst_every_s

    def _draw_work_ms(self, rng: random.Random) -> float:
        if self.distribution is WorkDistribution.FIXED:
            work_ms = self.work_ms
        elif self.distribution is WorkDistribution.UNIFORM:
            work_ms = rng.uniform(0.5, 1.5) * self.work_ms
        else:
            work_ms = rng.expovariate(1 / self.work_ms)
        return round(max(MIN_WORK_MS, work_ms), 1)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Describe a load run.

    :param targets: addresses of entry processes and their weights.
    :param streams: streams of submissions.
    :param seconds: duration of the arrivals, in seconds.
    :param warm_up_s: submissions scheduled before this time are not recorded, in seconds.
    :param seed: seed of arrivals, work and targets.
    :param connections: maximum number of open connections per target.
    """

    targets: tuple[tuple[str, float], ...]
    streams: tuple[Stream, ...]
    seconds: float
    warm_up_s: float = 0.0
    seed: int = 1
    connections: int = 1_000


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """Store one submission of a schedule."""

    at: float
    stream: int
    target: int = field(compare=False)
    call: Call = field(compare=False)


def schedule(plan: LoadPlan) -> list[Arrival]:
    """Draw all submissions of a run, sorted by send time; equal plans give equal schedules."""
    weights = [weight for _, weight in plan.targets]
    indexes = range(len(plan.targets))
    arrivals = []
    for number, stream in enumerate(plan.streams):
        times = random.Random(f"{plan.seed}/{number}/times")
        contents = random.Random(f"{plan.seed}/{number}/contents")
        for at in stream.arrivals(plan.seconds, times):
            target = contents.choices(indexes, weights)[0]
            arrivals.append(Arrival(at, number, target, stream.call(contents)))
    return sorted(arrivals)


class Recorder:
    """Record the outcomes and response times of one stream."""

    def __init__(self) -> None:
        self.count_by_outcome: Counter[str] = Counter()
        self.response_us = _histogram()
        self.refusal_us = _histogram()
        self.ratio = _histogram()

    def record(self, call: Call, outcome: Outcome, response_s: float) -> None:
        """Record one answer; only complete answers count towards the response times."""
        problem = f" {outcome.problem}" if outcome.problem else ""
        self.count_by_outcome[f"{outcome.name}{problem}"] += 1
        if outcome.name == COMPLETE:
            self.response_us.record_value(int(response_s * 1e6))
            self.ratio.record_value(int(response_s * 1e3 / call.work_ms * RATIO_SCALE))
        elif outcome.name == "not-run":
            self.refusal_us.record_value(int(response_s * 1e6))

    def as_json(self) -> dict[str, Any]:
        """Return counts and percentiles; ``ratio`` is the response time over the longest work."""
        return {
            "outcomes": dict(sorted(self.count_by_outcome.items())),
            "response_ms": _summary(self.response_us, 1e3),
            "refusal_ms": _summary(self.refusal_us, 1e3),
            "ratio": _summary(self.ratio, RATIO_SCALE),
        }


class LoadRun:
    """Send the submissions of a plan and record the answers."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.recorders = [Recorder() for _ in plan.streams]
        self.lag_us = _histogram()
        self.sent = 0

    async def run(self) -> dict[str, Any]:
        """Send all submissions, wait for the answers and return the results."""
        arrivals = schedule(self.plan)
        client = HttpClient(self.plan.connections)
        entries = [EntryClient(client, url) for url, _ in self.plan.targets]
        start_at = monotonic()
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                wait_s = start_at + arrival.at - monotonic()
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                group.start_soon(self._send, entries[arrival.target], arrival, start_at)
        elapsed_s = monotonic() - start_at
        await client.aclose()
        return self._results(elapsed_s)

    async def _send(self, entry: EntryClient, arrival: Arrival, start_at: float) -> None:
        intended_at = start_at + arrival.at
        lag_s = monotonic() - intended_at
        outcome = await entry.submit(arrival.call)
        self.sent += 1
        if arrival.at >= self.plan.warm_up_s:
            self.lag_us.record_value(max(1, int(lag_s * 1e6)))
            response_s = monotonic() - intended_at
            self.recorders[arrival.stream].record(arrival.call, outcome, response_s)

    def _results(self, elapsed_s: float) -> dict[str, Any]:
        return {
            "seed": self.plan.seed,
            "seconds": self.plan.seconds,
            "elapsed_s": round(elapsed_s, 3),
            "sent": self.sent,
            "generator_lag_ms": _summary(self.lag_us, 1e3),
            "streams": [
                {"service": stream.service, "operation": stream.operation} | recorder.as_json()
                for stream, recorder in zip(self.plan.streams, self.recorders, strict=True)
            ],
        }


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def _summary(histogram: HdrHistogram, scale: float) -> dict[str, float]:
    """Return the count, and the percentiles and maximum divided by a scale."""
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    values = histogram.get_percentile_to_value_dict(PERCENTILES)
    summary = {f"p{percentile:g}": values[percentile] / scale for percentile in PERCENTILES}
    return {"count": count, **summary, "max": histogram.get_max_value() / scale}
