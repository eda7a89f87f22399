"""Choose the server with the least expected completion time."""

import random
from collections.abc import Sequence

from redwingport_policy.base import Candidate, Work, has_room

REMOTE_PENALTY_S = 0.003


class CompletionTimeChooser:
    """Choose by learned speed and free slots; let work wait when every slot is taken.

    :param rng: source of randomness, to break ties.
    """

    name = "completion-time"

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        best: Candidate | None = None
        best_cost = float("inf")
        for candidate in candidates:
            if not has_room(candidate, work):
                continue
            cost = self._cost(candidate, work)
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _cost(self, candidate: Candidate, work: Work) -> float:
        penalty = 0.0 if candidate.local else REMOTE_PENALTY_S
        # Among equals the server with the larger share of free slots is the safer guess.
        busy = 1.0 - candidate.free_slots / max(candidate.slots, 1)
        jitter = self._rng.random() * 0.02
        return work.run_s * candidate.slowness * (1.0 + 0.05 * busy + jitter) + penalty
