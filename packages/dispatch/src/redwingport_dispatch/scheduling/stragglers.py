"""Which runs are stopped to be started anew on another server."""

from collections.abc import Iterable

from redwingport_dispatch.scheduling.work import Run, Work

# A run without progress for this long, and for this share of its expected time, stands still.
# Servers list whole percent: a run ten times as slow as expected gains one within a tenth of it.
MIN_STALL_S = 0.2
STALL_SHARE = 0.15
# A run is judged by its speed after this time.
MIN_OBSERVED_S = 0.1
# Time from the order to stop a run until its task can start elsewhere: a stop takes 0.05 s, and
# the end has to be listed.
RELOCATION_S = 0.1
# A run is moved when it would take at least this many times as long as a new one: declared run
# times are off by a factor of 1.5, and what was done is lost.
MIN_SPEEDUP = 2.0


def is_stalled(run: Run) -> bool:
    """Tell whether a run makes no progress."""
    return run.progress.stalled_s > max(MIN_STALL_S, STALL_SHARE * run.expected_s)


def is_late(run: Run, work: Work, now: float) -> bool:
    """Tell whether a run will surely miss its work's target at its present speed."""
    progress = run.progress
    if progress.observed_s < MIN_OBSERVED_S:
        return False
    return now + progress.min_remaining_s > work.target_at


def ends_sooner_elsewhere(run: Run, work: Work, expected_s: Iterable[float], now: float) -> bool:
    """Tell whether a new run would end in time and much sooner than a slow one.

    :param expected_s: expected run times at the servers that have room for it, in seconds.
    """
    fastest_s = min(expected_s, default=None)
    if fastest_s is None:
        return False
    moved_s = RELOCATION_S + fastest_s
    in_time = now + moved_s <= work.deadline_at
    return in_time and run.progress.min_remaining_s > MIN_SPEEDUP * moved_s
