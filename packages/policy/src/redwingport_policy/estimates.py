"""Estimates learned from answers: run times of services, speeds and loads of servers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from redwingport_messages.backend import UsageReport
from redwingport_policy.base import Candidate

# Follows a change of the declarations within 60 tasks.
RATIO_GAIN = 0.08
# Callers may declare any time. Without this weight on "declared as measured" one declaration of
# a microsecond raises the estimates of its service so far that all later work is refused.
PRIOR_MS = 20.0
# Follows a server that becomes five times slower to 1 % within 60 tasks.
SLOWNESS_GAIN = 0.1
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 50.0
# Tasks last 0.3 s on average, so this is the time in which a load changes.
LOAD_DECAY_S = 0.3
# Long enough to cover several tasks per slot, short enough to follow a change of the load.
LOAD_MEAN_S = 2.0


@dataclass(slots=True)
class _Ratio:
    run_ms: float = 0.0
    declared_ms: float = 0.0
    weight: float = 0.0


class RunTimes:
    """Learn how far declared run times are off, per service."""

    def __init__(self) -> None:
        self._ratio_by_service: dict[str, _Ratio] = {}

    def expected_s(self, service: str, declared_ms: float) -> float:
        """Return the expected run time at the mean server, in seconds."""
        ratio = self._ratio_by_service.get(service)
        if ratio is None:
            return declared_ms / 1000.0
        factor = (ratio.run_ms + PRIOR_MS) / (ratio.declared_ms + PRIOR_MS)
        return declared_ms / 1000.0 * factor

    def mean_s(self, service: str) -> float:
        """Return the mean run time at the mean server, in seconds; 0 when unknown."""
        ratio = self._ratio_by_service.get(service)
        return ratio.run_ms / ratio.weight / 1000.0 if ratio else 0.0

    def learn(self, service: str, declared_ms: float, run_ms: float) -> None:
        """Take in one measured run.

        The ratio is one of sums, so that a short task with a wrong declaration counts little.

        :param declared_ms: declared run time, in milliseconds.
        :param run_ms: measured run time over the server's slowness, in milliseconds.
        """
        ratio = self._ratio_by_service.setdefault(service, _Ratio())
        ratio.run_ms += run_ms - RATIO_GAIN * ratio.run_ms
        ratio.declared_ms += max(declared_ms, 0.001) - RATIO_GAIN * ratio.declared_ms
        ratio.weight += 1.0 - RATIO_GAIN * ratio.weight

    def learn_usage(self, report: UsageReport) -> None:
        """Take in a usage report that came with a later answer."""
        self.learn(report.service, report.declared_ms, report.run_ms)


def learn_slowness(candidate: Candidate, expected_s: float, run_s: float) -> None:
    """Move a server's slowness towards the one just measured.

    The mean is taken of logarithms: a task that was declared ten times too short counts as much
    as one that was declared ten times too long.

    :param expected_s: expected run time at the mean server, in seconds.
    :param run_s: measured run time, in seconds.
    """
    if expected_s <= 0:
        return
    measured = min(max(run_s / expected_s, MIN_SLOWNESS), MAX_SLOWNESS)
    candidate.slowness *= (measured / candidate.slowness) ** SLOWNESS_GAIN


def normalize_slowness(candidates: Iterable[Candidate]) -> None:
    """Scale the slowness of all servers so that the mean slot has speed 1.

    Run times are learned relative to slowness and slowness relative to run times, so without
    this their common scale keeps whatever value the first answers gave it.
    """
    servers = list(candidates)
    slots = sum(server.slots for server in servers)
    if not slots:
        return
    speed = sum(server.slots / server.slowness for server in servers) / slots
    for server in servers:
        server.slowness *= speed


def observe_load(candidate: Candidate, other_active: float, now: float) -> None:
    """Take in load facts of a server.

    :param other_active: tasks that other processes have there.
    :param now: monotonic time at which the facts arrived, in seconds.
    """
    age_s = now - candidate.load_at
    gain = 1.0 - math.exp(-age_s / LOAD_MEAN_S)
    candidate.mean_other_active += gain * (other_active - candidate.mean_other_active)
    candidate.reported_other_active = candidate.other_active = other_active
    candidate.load_at = now


def decay_load(candidate: Candidate, now: float) -> None:
    """Move the estimate of others' tasks from the last load facts towards their mean.

    Tasks of other processes end, but others of theirs take their slots. An estimate that fades
    to zero makes every full server look free again, and its starts are declined.

    :param now: monotonic time, in seconds.
    """
    weight = math.exp(-(now - candidate.load_at) / LOAD_DECAY_S)
    difference = candidate.reported_other_active - candidate.mean_other_active
    candidate.other_active = candidate.mean_other_active + weight * difference
