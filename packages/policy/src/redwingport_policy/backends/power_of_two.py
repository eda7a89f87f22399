"""Power-of-two-choices load balancing (Mitzenmacher, 2001)."""

import random
from collections.abc import Sequence

from redwingport_policy.base import Candidate, Work


class PowerOfTwoChooser:
    """Sample two servers and choose the one with fewer in-flight requests of this process.

    :param rng: random number generator.
    """

    name = "power-of-two"
    weighs_domains = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return first if first.own_active <= second.own_active else second
