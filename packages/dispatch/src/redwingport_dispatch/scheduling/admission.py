"""Admission of work items, based on the capacity and the queue ahead of them."""

import math
from collections.abc import Sequence
from functools import cached_property
from statistics import fmean

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.placement import conservative_slowness
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.work import Work

# Bounds of the retry delay given to clients. The maximum covers a failover of the owner and the
# return of servers after a crash.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 10
# Reasons of refusals; each refers to the servers of one shard only.
TOO_LATE = "too late"
FITS_ON_NO_SERVER = "fits on no server"
NO_SERVER = "no server"
# Another job with the same id is open. A later submission may be accepted.
ID_IN_USE = "id in use"
# An answer is late up to this many times its target and worthless after that, by the users' rules.
USEFUL_TARGET_FACTOR = 3.0


class CapacityForecast:
    """Forecast when the servers of one service have capacity for queued tasks.

    A pass over the queue uses one forecast for all work items of the service. The remaining run
    times are computed on first use: while there are free slots, no work item has to wait for the
    end of a run.

    :param servers: usable servers; at least one.
    :param speeds: learned slowness of the servers.
    :param now: monotonic time, in seconds.
    """

    def __init__(self, servers: Sequence[ServerState], speeds: Speeds, now: float) -> None:
        self._slowness = [conservative_slowness(server, speeds) for server in servers]
        self._servers = servers
        self._now = now

    @property
    def min_slowness(self) -> float:
        """Return the conservative slowness of the fastest server."""
        return min(self._slowness)

    @cached_property
    def _remaining_s(self) -> list[float]:
        """Return the expected times until runs free slots, in seconds, shortest first."""
        return sorted(
            remaining_s for server in self._servers for remaining_s in self._free_after_s(server)
        )

    def _free_after_s(self, server: ServerState) -> list[float]:
        """Return the expected times until runs on one server free slots, in seconds.

        The first ends on a server that has shrunk below what runs there free none.
        """
        runs = server.run_by_task.values()
        excess_millis = -server.free_cpu_millis
        if excess_millis <= 0:
            return [run.remaining_s(self._now) for run in runs]
        remaining_s = []
        for run in sorted(runs, key=lambda run: run.remaining_s(self._now)):
            if excess_millis <= 0:
                remaining_s.append(run.remaining_s(self._now))
            excess_millis -= run.shape.cpu_millis
        return remaining_s

    @property
    def server_count(self) -> int:
        """Return the number of servers."""
        return len(self._servers)

    def can_run(self, shape: TaskShape) -> bool:
        """Return whether a task fits on at least one server when it is empty."""
        return any(server.could_run(shape) for server in self._servers)

    def wait_s(self, tasks: int, shape: TaskShape, estimate_s: float) -> float:
        """Return the expected time until all given tasks have a slot, in seconds.

        :param tasks: number of tasks, including those ahead in the queue.
        :param shape: resources of each task.
        :param estimate_s: mean declared run time of the tasks, in seconds.
        """
        missing = tasks - self._free_slots(shape)
        if missing <= 0:
            return 0.0
        run_s = estimate_s * fmean(self._slowness)
        if not self._remaining_s:
            return missing * run_s
        rounds, position = divmod(missing - 1, len(self._remaining_s))
        return self._remaining_s[position] + rounds * run_s

    def _free_slots(self, shape: TaskShape) -> int:
        cpu_millis = max(shape.cpu_millis, 1)
        return sum(max(0, server.free_cpu_millis) // cpu_millis for server in self._servers)


def latest_useful_end(work: Work) -> float:
    """Return the monotonic time after which the answer to a work item is of no use, in seconds."""
    target_s = work.target_at - work.received_at
    return min(work.deadline_at, work.received_at + USEFUL_TARGET_FACTOR * target_s)


def latest_end(work: Work, others_wait: bool) -> float:
    """Return the latest end, in monotonic seconds, of a work item that has to wait.

    A work item that would end later is refused, on arrival or while it waits. A late answer helps
    its client more than none, but while others wait it makes them late too, above all those of a
    lower priority whose tasks are long. A work item that was late on arrival, because there was no
    owner for a while, uses only the capacity left by those that can still meet their targets.

    :param work: the waiting work item.
    :param others_wait: whether other work items wait for servers.
    """
    if others_wait and not work.late:
        return work.target_at
    return latest_useful_end(work)


def retry_after_s(wait_s: float) -> int:
    """Return the delay after which the current queue should have slots, in whole seconds."""
    return min(max(math.ceil(wait_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
