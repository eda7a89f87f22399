"""Uniform random load balancing."""

import random
from collections.abc import Sequence

from redwingport_policy.base import Candidate, Work


class RandomChooser:
    """Choose each server with equal probability.

    :param rng: random number generator.
    """

    name = "random"
    weighs_domains = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        return self._rng.choice(candidates)
