"""Estimates learned from answers: run times of services, speeds and loads of servers."""

import math

from redwingport_messages.backend import UsageReport
from redwingport_policy.base import Candidate

RATIO_GAIN = 0.1
# Callers may declare any time. Without the limits one declaration of a microsecond raises the
# estimates of its service so far that all later work is refused as too late.
MAX_FIRST_RATIO = 100.0
MAX_RATIO_STEP = 10.0
SLOWNESS_GAIN = 0.15
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 50.0
# Tasks last 0.3 s on average, so this is the time in which a load changes.
LOAD_FADE_S = 0.3
# Long enough to cover several tasks per slot, short enough to follow a change of the load.
LOAD_MEAN_S = 2.0


class RunTimes:
    """Learn how far declared run times are off, per service."""

    def __init__(self) -> None:
        self._ratio_by_service: dict[str, float] = {}

    def expected_s(self, service: str, declared_ms: float) -> float:
        """Return the expected run time at the mean server, in seconds."""
        return declared_ms / 1000.0 * self._ratio_by_service.get(service, 1.0)

    def learn(self, service: str, declared_ms: float, run_ms: float) -> None:
        """Take in one measured run.

        :param declared_ms: declared run time, in milliseconds.
        :param run_ms: measured run time over the server's slowness, in milliseconds.
        """
        ratio = run_ms / max(declared_ms, 0.001)
        old = self._ratio_by_service.get(service)
        if old is None:
            new = min(ratio, MAX_FIRST_RATIO)
        else:
            new = old + RATIO_GAIN * (min(ratio, MAX_RATIO_STEP * old) - old)
        self._ratio_by_service[service] = max(new, 0.001)

    def learn_usage(self, report: UsageReport) -> None:
        """Take in a usage report that came with a later answer."""
        self.learn(report.service, report.declared_ms, report.run_ms)


def learn_slowness(candidate: Candidate, expected_s: float, run_s: float) -> None:
    """Move a server's slowness towards the one just measured.

    :param expected_s: expected run time at the mean server, in seconds.
    :param run_s: measured run time, in seconds.
    """
    if expected_s <= 0:
        return
    measured = min(max(run_s / expected_s, MIN_SLOWNESS), MAX_SLOWNESS)
    candidate.slowness += SLOWNESS_GAIN * (measured - candidate.slowness)


def observe_load(candidate: Candidate, other_active: float, now: float) -> None:
    """Take in load facts of a server.

    :param other_active: tasks that other processes have there.
    :param now: monotonic time at which the facts arrived, in seconds.
    """
    age_s = now - candidate.load_at
    gain = 1.0 - math.exp(-age_s / LOAD_MEAN_S)
    candidate.mean_other += gain * (other_active - candidate.mean_other)
    candidate.reported_other = candidate.other_active = other_active
    candidate.load_at = now


def fade_load(candidate: Candidate, now: float) -> None:
    """Move the estimate of others' tasks from the last load facts towards their mean.

    Tasks of other processes end, but others of theirs take their slots. An estimate that fades
    to zero makes every full server look free again, and its starts are declined.

    :param now: monotonic time, in seconds.
    """
    weight = math.exp(-(now - candidate.load_at) / LOAD_FADE_S)
    difference = candidate.reported_other - candidate.mean_other
    candidate.other_active = candidate.mean_other + weight * difference
