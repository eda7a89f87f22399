"""Choose the server with the least expected completion time."""

import random
from collections.abc import Iterable, Sequence

from redwingport_policy.base import Candidate, Work, has_room

# Round-trip time between failure domains.
REMOTE_PENALTY_S = 0.003
# A task in another failure domain is lost when that domain is cut off, so a remote server has to
# be faster by this factor to be worth the risk.
REMOTE_FACTOR = 1.2
# A server counts as faster only below this fraction of the other's slowness: learned speeds of
# equal servers differ by less than a tenth.
FASTER_RATIO = 0.9
# Run times are estimates, so work that has time left is placed as if it took a quarter longer.
RUN_TIME_MARGIN = 1.25


class CompletionTimeChooser:
    """Choose by learned speed and free slots; queue work when no slot is free.

    Work with time left goes to the slowest server that still meets its target, which keeps the
    fast servers available for urgent work. Work that would be late on every free server stays in
    the queue if a faster slot of this process is expected to become free soon enough.

    :param rng: random number generator for breaking ties.
    """

    name = "completion-time"
    weighs_domains = True

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        free = [candidate for candidate in candidates if has_room(candidate, work)]
        if not free:
            return None
        in_time = [c for c in free if self._is_in_time(c, work)]
        if in_time:
            local = [c for c in in_time if c.local]
            return max(local or in_time, key=lambda c: self._slowness_score_s(c, work))
        best = min(free, key=lambda c: self._cost_s(c, work))
        return None if self._should_wait(best, candidates, work) else best

    def _is_in_time(self, candidate: Candidate, work: Work) -> bool:
        margin_s = work.run_s * (candidate.slowness * RUN_TIME_MARGIN - 1.0)
        return margin_s <= -work.late_s

    def _should_wait(self, best: Candidate, candidates: Iterable[Candidate], work: Work) -> bool:
        """Return whether work should wait for a faster slot instead of starting on ``best``."""
        if work.may_queue or work.mean_run_s <= 0:
            return False
        faster = [c for c in candidates if c.slowness < best.slowness * FASTER_RATIO]
        active = sum(c.own_active for c in faster)
        if not active:
            return False
        speed = sum(c.own_active / c.slowness for c in faster)
        gained_s = work.run_s * (best.slowness - active / speed)
        # The wait for the whole queue is counted: the work itself may wait for a part of it only,
        # but it delays the work behind it.
        return work.queued * work.mean_run_s / speed < gained_s

    def _cost_s(self, candidate: Candidate, work: Work) -> float:
        cost_s = work.run_s * candidate.slowness + self._decline_cost_s(candidate, work)
        return cost_s if candidate.local else cost_s * REMOTE_FACTOR + REMOTE_PENALTY_S

    def _slowness_score_s(self, candidate: Candidate, work: Work) -> float:
        return work.run_s * candidate.slowness - self._decline_cost_s(candidate, work)

    def _decline_cost_s(self, candidate: Candidate, work: Work) -> float:
        """Return the expected cost of a declined start, in seconds.

        Among servers of equal speed, the one with the larger share of free slots is less likely
        to decline.
        """
        busy = 1.0 - candidate.free_slots / max(candidate.slots, 1)
        jitter = self._rng.random() * 0.02
        return work.run_s * candidate.slowness * (0.05 * busy + jitter)
