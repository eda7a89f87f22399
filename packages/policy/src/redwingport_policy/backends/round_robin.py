"""Round-robin load balancing."""

from collections.abc import Sequence

from redwingport_policy.base import Candidate, Work


class RoundRobinChooser:
    """Choose each server in turn."""

    name = "round-robin"
    weighs_domains = False

    def __init__(self) -> None:
        self._next = 0

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose a server; see :class:`redwingport_policy.base.ServerChooser`."""
        chosen = candidates[self._next % len(candidates)]
        self._next += 1
        return chosen
