"""Learned slowness of servers, by kind and by server."""

import math
from dataclasses import dataclass

# Weight of one run in a server's own mean, which follows a change within about ten runs.
SERVER_GAIN = 0.15
# Weight of one run in the mean of a kind, which has many servers; early runs count more.
KIND_GAIN = 0.02
# Number of its own runs after which a server's mean counts as much as that of its kind.
KIND_WEIGHT_RUNS = 4.0
# Slowness ratios are clamped to this factor either way, so that a run with a badly wrong estimate
# has a limited effect.
MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class _Mean:
    mean_log: float = 0.0
    runs: int = 0

    def add(self, log: float, gain: float) -> None:
        self.runs += 1
        self.mean_log += max(gain, 1 / self.runs) * (log - self.mean_log)


class Speeds:
    """Learn the slowness of servers: the ratio of measured to declared run times.

    Logarithms are averaged, so that a run declared twice too long counts as much as one declared
    twice too short.
    """

    def __init__(self) -> None:
        self._mean_by_kind: dict[str, _Mean] = {}
        self._mean_by_server: dict[str, _Mean] = {}
        self._slowness_by_server: dict[str, float] = {}

    def learn(self, server_id: str, kind: str, estimate_s: float, run_s: float) -> None:
        """Update the means from one completed run.

        :param server_id: id of the server.
        :param kind: kind of the server.
        :param estimate_s: declared run time, in seconds.
        :param run_s: measured run time, in seconds.
        """
        if estimate_s <= 0 or run_s <= 0:
            return
        ratio = min(max(run_s / estimate_s, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        log = math.log(ratio)
        self._mean_by_kind.setdefault(kind, _Mean()).add(log, KIND_GAIN)
        self._mean_by_server.setdefault(server_id, _Mean()).add(log, SERVER_GAIN)
        self._slowness_by_server.pop(server_id, None)

    def slowness(self, server_id: str, kind: str) -> float:
        """Return measured over declared run time on a server; 1 when nothing is known.

        Runs on other servers of the kind since the last :meth:`refresh` may not be included.
        """
        slowness = self._slowness_by_server.get(server_id)
        if slowness is None:
            slowness = self._slowness_by_server[server_id] = self._estimate(server_id, kind)
        return slowness

    def refresh(self) -> None:
        """Discard cached values, so that the means of the kinds take effect."""
        self._slowness_by_server.clear()

    def _estimate(self, server_id: str, kind: str) -> float:
        of_kind = self._mean_by_kind.get(kind, _Mean())
        own = self._mean_by_server.get(server_id)
        if own is None:
            return math.exp(of_kind.mean_log)
        log = own.runs * own.mean_log + KIND_WEIGHT_RUNS * of_kind.mean_log
        return math.exp(log / (own.runs + KIND_WEIGHT_RUNS))

    def forget(self, server_id: str) -> None:
        """Discard what was learned of a removed server."""
        self._mean_by_server.pop(server_id, None)
        self._slowness_by_server.pop(server_id, None)
