"""Whether a work can still be served, from what waits before it."""

import math
from collections.abc import Sequence
from functools import cached_property
from statistics import fmean

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.placement import conservative_slowness
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.work import Work

# Shortest and longest time, in seconds, that a client is told to stay away. The longest covers a
# failover of the owner and the return of servers after a crash.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 10
# Reasons of refusals. Each concerns the servers of one shard only.
TOO_LATE = "too late"
FITS_ON_NO_SERVER = "fits on no server"
NO_SERVER = "no server"
# An answer is late up to three times its target, and worth nothing after that (the users' rules).
USEFUL_TARGET_FACTOR = 3.0


class CapacityForecast:
    """Hold what the servers of one service can do from now on.

    Computed once for all works that are looked at in a pass, and only as far as it is asked for:
    while servers are free, no work has to wait for the end of a run.

    :param servers: servers that can be used now; at least one.
    :param speeds: what was learned of them.
    :param now: monotonic time, in seconds.
    """

    def __init__(self, servers: Sequence[ServerState], speeds: Speeds, now: float) -> None:
        self._slowness = [conservative_slowness(server, speeds) for server in servers]
        self._servers = servers
        self._now = now

    @property
    def min_slowness(self) -> float:
        """Return the slowness of the fastest server."""
        return min(self._slowness)

    @cached_property
    def _remaining_s(self) -> list[float]:
        """Return the times that runs are expected to take yet, in seconds, shortest first."""
        return sorted(
            run.remaining_s(self._now)
            for server in self._servers
            for run in server.run_by_task.values()
        )

    @property
    def server_count(self) -> int:
        """Return the number of servers."""
        return len(self._servers)

    def can_run(self, shape: TaskShape) -> bool:
        """Tell whether a task fits on one of the servers when that is empty."""
        return any(server.could_run(shape) for server in self._servers)

    def wait_s(self, tasks: int, shape: TaskShape, estimate_s: float) -> float:
        """Return the time until a number of tasks have all found a place, in seconds.

        :param tasks: the tasks, with those that go before them.
        :param shape: what each asks for.
        :param estimate_s: mean declared run time of those that go before, in seconds.
        """
        missing = tasks - self._free_slots(shape)
        if missing <= 0:
            return 0.0
        run_s = estimate_s * fmean(self._slowness)
        if not self._remaining_s:
            return missing * run_s
        rounds, place = divmod(missing - 1, len(self._remaining_s))
        return self._remaining_s[place] + rounds * run_s

    def _free_slots(self, shape: TaskShape) -> int:
        cpu_millis = max(shape.cpu_millis, 1)
        return sum(max(0, server.free_cpu_millis) // cpu_millis for server in self._servers)


def latest_useful_end(work: Work) -> float:
    """Return the monotonic time after which a work that waits is given up.

    Works that came later may have gone before it, so it gets more time than on arrival. Answers
    that are later still delay all that wait behind it and help its client little.
    """
    target_s = work.target_at - work.received_at
    return min(work.deadline_at, work.received_at + USEFUL_TARGET_FACTOR * target_s)


def latest_end_on_arrival(work: Work, others_wait: bool) -> float:
    """Return the monotonic time after which a work that has to wait is refused on arrival.

    A late answer helps its client more than none, but while others wait it makes them late too.
    A work that is late already, as there was no owner for a while, takes only what room is left by
    those that can be in time.

    :param others_wait: whether other works wait for servers.
    """
    if others_wait and not work.late:
        return work.target_at
    return latest_useful_end(work)


def retry_after_s(wait_s: float) -> int:
    """Return the time after which what waits now has found a place, in whole seconds."""
    return min(max(math.ceil(wait_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
