"""Search for the servers on which a task may start, with its expected run time on each."""

from collections.abc import Callable, Iterable
from functools import cached_property

from redwingport_dispatch.scheduling.placement import expected_run_s, likely_slowness
from redwingport_dispatch.scheduling.review import MIN_RUN_TIME_SHARE
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.work import Work
from redwingport_policy.ejection import Ejector

# Factor by which a run may exceed its expected time and still meet the deadline, for its server to
# count as certain to meet it. Declared run times are off by a factor of 1.5 in either direction.
DEADLINE_MARGIN = 1.5


class UsableServers:
    """Hold the usable servers and their likely slowness, for one pass over the queue.

    They are computed on first use: while all slots are taken, a pass needs few of them.

    :param list_usable: returns the usable servers.
    :param speeds: learned slowness of the servers.
    """

    def __init__(self, list_usable: Callable[[], Iterable[ServerState]], speeds: Speeds) -> None:
        self._list_usable = list_usable
        self._speeds = speeds

    @cached_property
    def slowness_by_server(self) -> dict[ServerState, float]:
        """Return the likely slowness of each usable server."""
        return {server: self.slowness(server) for server in self._list_usable()}

    def slowness(self, server: ServerState) -> float:
        """Return the likely slowness of one server."""
        return likely_slowness(server, self._speeds)


class ServerFinder:
    """Find servers for tasks.

    :param ejector: ejects servers that fail.
    :param far_factor: factor on the run time of a task whose data is in another rack.
    """

    def __init__(self, ejector: Ejector, far_factor: float) -> None:
        self._ejector = ejector
        self._far_factor = far_factor

    def expected_run_s(self, server: ServerState, work: Work, slowness: float) -> float:
        """Return the expected run time of a task on a server of a given slowness, in seconds."""
        return expected_run_s(server, work.shape, slowness, self._far_factor)

    def find(
        self,
        work: Work,
        open_servers: Iterable[ServerState],
        usable: UsableServers,
        now: float,
    ) -> dict[ServerState, float]:
        """Return the servers with capacity for a task, and its expected run time on each.

        A server that might miss the deadline is omitted while faster ones, which may have no
        capacity now, can still meet it with certainty and have room for all waiting tasks.

        :param work: the work item of the task.
        :param open_servers: usable servers that may have capacity.
        :param usable: all usable servers.
        :param now: monotonic time, in seconds.
        :returns: expected run times in seconds, by server.
        """
        run_s_by_server = {
            server: self.expected_run_s(server, work, usable.slowness(server))
            for server in open_servers
            if server.has_room(work.shape)
            and _could_run(server, work)
            and self.accepts(server, work, now)
        }
        if not run_s_by_server:
            return run_s_by_server
        left_s = work.deadline_at - now
        if max(run_s_by_server.values()) * DEADLINE_MARGIN <= left_s:
            return run_s_by_server
        run_s_by_fitting_server = {
            server: self.expected_run_s(server, work, slowness)
            for server, slowness in usable.slowness_by_server.items()
            if _could_run(server, work)
        }
        certain_slots = sum(
            server.listing.cpu_millis // max(work.shape.cpu_millis, 1)
            for server, run_s in run_s_by_fitting_server.items()
            if run_s * DEADLINE_MARGIN <= left_s
        )
        if certain_slots >= len(work.queued_tasks()):
            factor = DEADLINE_MARGIN
        elif min(run_s_by_fitting_server.values()) <= left_s:
            factor = 1.0
        else:
            # No server is expected to meet the deadline: keep those that may meet it, because
            # declared run times are inaccurate.
            factor = MIN_RUN_TIME_SHARE
        return {
            server: run_s for server, run_s in run_s_by_server.items() if run_s * factor <= left_s
        }

    def find_first_empty(
        self, work: Work, servers: Iterable[ServerState], now: float
    ) -> ServerState | None:
        """Return the server that can run a task and is expected to be empty first, or None."""
        return min(
            (
                server
                for server in servers
                if not server.is_closed
                and _could_run(server, work)
                and self.accepts(server, work, now)
            ),
            key=lambda server: max(
                (run.remaining_s(now) for run in server.run_by_task.values()), default=0.0
            ),
            default=None,
        )

    def accepts(self, server: ServerState, work: Work, now: float) -> bool:
        """Return whether a server may get one more task of a work item."""
        if not self._ejector.admits(server.candidate, now):
            return False
        limit = work.shape.max_per_server
        if not limit:
            return True
        return sum(run.work is work for run in server.run_by_task.values()) < limit


def _could_run(server: ServerState, work: Work) -> bool:
    """Return whether a server could run a task of a work item if it were empty."""
    return server.listing.service == work.service and server.could_run(work.shape)
