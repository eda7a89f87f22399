"""Least-outstanding-requests load balancing."""

import random
from collections.abc import Sequence

from redwingport_policy.base import Candidate, Work


class LeastOutstandingChooser:
    """Choose the server with the fewest in-flight requests of this process.

    :param rng: random number generator for breaking ties.
    """

    name = "least-outstanding"
    weighs_domains = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        fewest = min(candidate.own_active for candidate in candidates)
        return self._rng.choice([c for c in candidates if c.own_active == fewest])
