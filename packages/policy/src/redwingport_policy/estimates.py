"""Estimates of run times per service or operation, and of each server's speed and load."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from redwingport_messages.backend import UsageReport
from redwingport_policy.base import Candidate

# Smoothing factor; the ratio follows a change in declared run times within 60 tasks.
RATIO_GAIN = 0.08
# Weight of the prior assumption that declared run times are right. Without it, a single declared
# run time of a microsecond would raise the estimates of its service so far that all later work
# is rejected.
PRIOR_MS = 20.0
# Smoothing factor; the slowness follows a fivefold slowdown to within 1 % in 60 tasks.
SLOWNESS_GAIN = 0.1
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 50.0
# Decay constant; the load changes on the scale of the mean task duration, 0.3 s.
LOAD_DECAY_S = 0.3
# Time constant of the mean load: covers several tasks per slot and still follows load changes.
LOAD_MEAN_S = 2.0


@dataclass(slots=True)
class _Ratio:
    run_ms: float = 0.0
    declared_ms: float = 0.0
    weight: float = 0.0


class RunTimes:
    """Learn the ratio of measured to declared run times per service.

    The requests of executors declare no run time: their mean run times are learned per operation,
    whose name takes the place of the service.
    """

    def __init__(self) -> None:
        self._ratio_by_service: dict[str, _Ratio] = {}

    def expected_s(self, service: str, declared_ms: float) -> float:
        """Return the expected run time on a server of mean speed, in seconds."""
        ratio = self._ratio_by_service.get(service)
        if ratio is None:
            return declared_ms / 1000.0
        factor = (ratio.run_ms + PRIOR_MS) / (ratio.declared_ms + PRIOR_MS)
        return declared_ms / 1000.0 * factor

    def mean_s(self, service: str) -> float:
        """Return the mean run time on a server of mean speed, in seconds; 0 if unknown."""
        ratio = self._ratio_by_service.get(service)
        return ratio.run_ms / ratio.weight / 1000.0 if ratio else 0.0

    def learn(self, service: str, declared_ms: float, run_ms: float) -> None:
        """Update the ratio with one measured run.

        The ratio is computed from sums, so that a short task with a wrong declared run time has
        little weight.

        :param service: name of the service, or of the operation of a request.
        :param declared_ms: declared run time, in milliseconds.
        :param run_ms: measured run time divided by the server's slowness, in milliseconds.
        """
        ratio = self._ratio_by_service.setdefault(service, _Ratio())
        ratio.run_ms += run_ms - RATIO_GAIN * ratio.run_ms
        ratio.declared_ms += max(declared_ms, 0.001) - RATIO_GAIN * ratio.declared_ms
        ratio.weight += 1.0 - RATIO_GAIN * ratio.weight

    def learn_usage(self, report: UsageReport) -> None:
        """Update the ratio with a usage report received with a later response."""
        self.learn(report.service, report.declared_ms, report.run_ms)


def learn_slowness(candidate: Candidate, expected_s: float, run_s: float) -> None:
    """Update a server's slowness with one measured run.

    The moving average is geometric, so that a run time declared ten times too short has the
    same weight as one declared ten times too long.

    :param candidate: the server.
    :param expected_s: expected run time on a server of mean speed, in seconds.
    :param run_s: measured run time, in seconds.
    """
    if expected_s <= 0:
        return
    measured = min(max(run_s / expected_s, MIN_SLOWNESS), MAX_SLOWNESS)
    candidate.slowness *= (measured / candidate.slowness) ** SLOWNESS_GAIN


def normalize_slowness(candidates: Iterable[Candidate]) -> None:
    """Scale the slowness of all servers so that the mean speed per slot is 1.

    Run times are learned relative to slowness and slowness relative to run times. Without
    normalization their common scale would be determined by the first measurements.
    """
    servers = list(candidates)
    slots = sum(server.slots for server in servers)
    if not slots:
        return
    speed = sum(server.slots / server.slowness for server in servers) / slots
    for server in servers:
        server.slowness *= speed


def observe_load(candidate: Candidate, other_active: float, now: float) -> None:
    """Update the load estimate of a server from a load report.

    :param candidate: the server.
    :param other_active: number of tasks of other processes on the server.
    :param now: monotonic time at which the report arrived, in seconds.
    """
    age_s = now - candidate.load_at
    gain = 1.0 - math.exp(-age_s / LOAD_MEAN_S)
    candidate.mean_other_active += gain * (other_active - candidate.mean_other_active)
    candidate.reported_other_active = candidate.other_active = other_active
    candidate.load_at = now


def decay_load(candidate: Candidate, now: float) -> None:
    """Decay the estimate of other processes' tasks from the last report towards their mean.

    When a task of another process ends, its slot is usually taken by another one. An estimate
    that decayed to zero would make every full server look free, and it would decline the tasks
    sent to it.

    :param candidate: the server.
    :param now: monotonic time, in seconds.
    """
    weight = math.exp(-(now - candidate.load_at) / LOAD_DECAY_S)
    difference = candidate.reported_other_active - candidate.mean_other_active
    candidate.other_active = candidate.mean_other_active + weight * difference
