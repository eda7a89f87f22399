"""Detection of runs that should be stopped and restarted on another server."""

from collections.abc import Iterable

from redwingport_dispatch.scheduling.work import Run, Work

# A run without progress for this long, and for this share of its expected run time, is stalled.
# Servers report whole percent: a run ten times as slow as expected gains one percent within a
# tenth of its expected run time.
MIN_STALL_S = 0.2
STALL_SHARE = 0.15
# Minimum observation time before a run is judged by its speed.
MIN_OBSERVED_S = 0.1
# Time from the order to stop a run until its task can start elsewhere: a stop takes 0.05 s, and
# the end has to be reported.
RELOCATION_S = 0.1
# A run is relocated only if its remaining time is more than this many times that of a new run:
# declared run times are off by a factor of 1.5, and the work already done is lost.
MIN_SPEEDUP = 2.0


def is_stalled(run: Run) -> bool:
    """Return whether a run makes no progress."""
    return run.progress.stalled_s > max(MIN_STALL_S, STALL_SHARE * run.expected_s)


def is_late(run: Run, work: Work, now: float) -> bool:
    """Return whether a run will certainly miss its target at its current speed."""
    progress = run.progress
    if progress.observed_s < MIN_OBSERVED_S:
        return False
    return now + progress.min_remaining_s > work.target_at


def ends_sooner_elsewhere(
    run: Run, work: Work, expected_times_s: Iterable[float], now: float
) -> bool:
    """Return whether a new run would meet the deadline and end much sooner than the slow one.

    :param run: the slow run.
    :param work: its work item.
    :param expected_times_s: expected run times on the servers with capacity for the task, in
        seconds.
    :param now: monotonic time, in seconds.
    """
    fastest_s = min(expected_times_s, default=None)
    if fastest_s is None:
        return False
    moved_s = RELOCATION_S + fastest_s
    in_time = now + moved_s <= work.deadline_at
    return in_time and run.progress.min_remaining_s > MIN_SPEEDUP * moved_s
