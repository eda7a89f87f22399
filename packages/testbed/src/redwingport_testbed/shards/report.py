"""Shares and worth of the jobs of a simulation, by kind and size."""

import enum
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean, median

from redwingport_dispatch.holder import Outcome
from redwingport_testbed.shards.servers import FAST_SPEED, SLOW_SPEED, SimulatedRun
from redwingport_testbed.shards.simulation import JobRecord
from redwingport_testbed.shards.workload import DEADLINE_S, KINDS

# A late answer is worth this much up to so many times the target, by the users' rules.
LATE_WORTH = 0.2
LATE_TARGET_FACTOR = 3.0
# Worth of a job by its size against the mean of its kind.
BASE_WORTH = 0.3
SIZE_WORTH = 0.7
MAX_WORTH = 4.0
# Bounds of the size classes, as shares of the jobs of a kind, from the largest.
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3
# Orders and notifications of a job that starts at once.
OVERHEAD_S = 0.01


class SizeClass(enum.StrEnum):
    """Class of a job by its size among the jobs of its kind."""

    LARGEST = "largest tenth"
    LARGE = "fifth below"
    OTHER = "rest"
    ALL = "all"


class Result(enum.StrEnum):
    """What a client got."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    ABANDONED = "abandoned"
    TIMED_OUT = "timed out"
    FAILED = "failed"


class Obstacle(enum.StrEnum):
    """Why an accepted job could not be served."""

    IMPOSSIBLE = "too long for a fast server"
    NO_SERVER = "a task was not started"
    LATE_START = "a task started too late for any server"
    SLOW_SERVER = "a task ran on a slow server"
    OTHER = "other"


def result_of(record: JobRecord) -> Result:
    """Return what the client of a job got."""
    outcome = record.end.outcome
    if outcome is Outcome.COMPLETE:
        return Result.IN_TIME if record.took_s <= record.target_s else Result.LATE
    if outcome is Outcome.REFUSED:
        return Result.REFUSED
    if outcome is Outcome.FAILED:
        return Result.FAILED
    return Result.TIMED_OUT if record.end.reason == "deadline" else Result.ABANDONED


def obstacle_of(record: JobRecord) -> Obstacle:
    """Return why an accepted job was not served."""
    plan = record.plan
    ends_by = plan.at + DEADLINE_S
    if OVERHEAD_S + max(plan.works_s) / FAST_SPEED > DEADLINE_S:
        return Obstacle.IMPOSSIBLE
    first_runs: list[tuple[float, SimulatedRun]] = []
    for work_s, runs in zip(plan.works_s, record.runs_by_task.values(), strict=True):
        if not runs:
            return Obstacle.NO_SERVER
        first_runs.append((work_s, runs[0]))
    if any(run.started_at + work_s / FAST_SPEED > ends_by for work_s, run in first_runs):
        return Obstacle.LATE_START
    if any(
        not run.fast and run.started_at + work_s / SLOW_SPEED > ends_by
        for work_s, run in first_runs
    ):
        return Obstacle.SLOW_SERVER
    return Obstacle.OTHER


@dataclass(slots=True)
class ClassSummary:
    """Sum up the jobs of one kind and size class.

    :param jobs: number of jobs.
    :param by_result: their number by result.
    :param accepted_by_offer: jobs that were not refused, by number of refusals before.
    :param by_reason: refused jobs by reason.
    :param refused_after_s: time until the refusal of each refused job, in seconds.
    :param by_obstacle: jobs that were accepted and not served, by obstacle.
    :param earned: worth earned.
    :param owed: worth if all were in time.
    """

    jobs: int = 0
    by_result: Counter[Result] = field(default_factory=Counter)
    accepted_by_offer: Counter[int] = field(default_factory=Counter)
    by_reason: Counter[str] = field(default_factory=Counter)
    refused_after_s: list[float] = field(default_factory=list)
    by_obstacle: Counter[Obstacle] = field(default_factory=Counter)
    earned: float = 0.0
    owed: float = 0.0

    @property
    def served_share(self) -> float:
        """Return the share of the jobs that were served, in time or late."""
        served = self.by_result[Result.IN_TIME] + self.by_result[Result.LATE]
        return served / self.jobs if self.jobs else 1.0

    @property
    def worth(self) -> float:
        """Return the worth earned, as a share of the worth owed."""
        return self.earned / self.owed if self.owed else 1.0

    def add(self, record: JobRecord, mean_size: float) -> None:
        """Count a job.

        :param mean_size: mean size of the jobs of its kind.
        """
        result = result_of(record)
        self.jobs += 1
        self.by_result[result] += 1
        if result is Result.REFUSED:
            self.by_reason[record.end.reason] += 1
            self.refused_after_s.append(record.took_s)
        else:
            self.accepted_by_offer[record.refusals] += 1
        if result in (Result.ABANDONED, Result.TIMED_OUT, Result.FAILED):
            self.by_obstacle[obstacle_of(record)] += 1
        full = min(MAX_WORTH, BASE_WORTH + SIZE_WORTH * record.plan.size / mean_size)
        self.owed += full
        if result is Result.IN_TIME:
            self.earned += full
        elif result is Result.LATE and record.took_s <= LATE_TARGET_FACTOR * record.target_s:
            self.earned += LATE_WORTH * full


Summaries = dict[tuple[str, SizeClass], ClassSummary]


def summarize(records: Iterable[JobRecord], from_s: float = 0.0) -> Summaries:
    """Sum up the jobs by kind and size class.

    :param records: records of all jobs.
    :param from_s: time from which arrivals count, in seconds.
    """
    counted = [record for record in records if record.plan.at >= from_s]
    summaries: Summaries = {}
    for kind in KINDS:
        own = [record for record in counted if record.plan.kind is kind]
        own.sort(key=lambda record: record.plan.size, reverse=True)
        mean_size = fmean(record.plan.size for record in own) if own else 1.0
        for size_class in SizeClass:
            summaries[kind.name, size_class] = ClassSummary()
        for position, record in enumerate(own):
            size_class = _size_class(position, len(own))
            summaries[kind.name, size_class].add(record, mean_size)
            summaries[kind.name, SizeClass.ALL].add(record, mean_size)
    return summaries


def _size_class(position: int, jobs: int) -> SizeClass:
    if position < LARGEST_SHARE * jobs:
        return SizeClass.LARGEST
    return SizeClass.LARGE if position < LARGE_SHARE * jobs else SizeClass.OTHER


TABLE_HEAD = (
    "| kind | size | jobs | 1st | 2nd | later | refused | abandoned | timed out | failed | late "
    "| in time | served | worth | refused after | obstacles |",
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
)


def table_rows(summaries: Summaries) -> Sequence[str]:
    """Return a Markdown table of shares, without its head."""
    rows: list[str] = []
    for (kind, size_class), summary in summaries.items():
        jobs = max(summary.jobs, 1)
        by_offer = summary.accepted_by_offer
        later = sum(number for refusals, number in by_offer.items() if refusals > 1)
        numbers = [
            by_offer[0],
            by_offer[1],
            later,
            summary.by_result[Result.REFUSED],
            summary.by_result[Result.ABANDONED],
            summary.by_result[Result.TIMED_OUT],
            summary.by_result[Result.FAILED],
            summary.by_result[Result.LATE],
            summary.by_result[Result.IN_TIME],
        ]
        cells = [kind, size_class.value, str(summary.jobs)]
        cells += [f"{number / jobs:.3f}" for number in numbers]
        cells += [f"{summary.served_share:.3f}", f"{summary.worth:.3f}"]
        after_s = summary.refused_after_s
        cells.append(f"{median(after_s):.3f}" if after_s else "")
        causes: list[tuple[str, int]] = [*summary.by_obstacle.items(), *summary.by_reason.items()]
        cells.append(", ".join(f"{cause}: {number}" for cause, number in causes))
        rows.append(f"| {' | '.join(cells)} |")
    return rows


def mean_worth(summaries: Summaries) -> float:
    """Return the mean over the kinds of the share of the worth that was earned."""
    return fmean(summaries[kind.name, SizeClass.ALL].worth for kind in KINDS)
