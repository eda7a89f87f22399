"""Where the tasks of a work may be started, and how long they would take there."""

from collections.abc import Iterable, Mapping

from redwingport_dispatch.scheduling.placement import expected_run_s, likely_slowness
from redwingport_dispatch.scheduling.review import MIN_RUN_TIME_SHARE
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.work import Work
from redwingport_policy.ejection import Ejector


class ServerFinder:
    """Find servers for tasks.

    :param speeds: what was learned of the servers' speeds.
    :param ejector: keeps work from servers that fail.
    :param far_factor: times as long a task takes on another rack than that of its data.
    """

    def __init__(self, speeds: Speeds, ejector: Ejector, far_factor: float) -> None:
        self._speeds = speeds
        self._ejector = ejector
        self._far_factor = far_factor

    def estimate_slowness(self, servers: Iterable[ServerState]) -> dict[ServerState, float]:
        """Return servers with what a new task will find there, worked out once for many works."""
        return {server: likely_slowness(server, self._speeds) for server in servers}

    def expected_run_s(self, server: ServerState, work: Work, slowness: float) -> float:
        """Return the expected run time of a task at a server of a given slowness, in seconds."""
        return expected_run_s(server, work.shape, slowness, self._far_factor)

    def find(
        self, work: Work, slowness_by_server: Mapping[ServerState, float], now: float
    ) -> dict[ServerState, float]:
        """Return the servers with room for a task of a work, and its run time at each.

        One that would be done only after the deadline is left out while a faster one, which has
        no room at present, can still make it.
        """
        run_s_by_server = {
            server: self.expected_run_s(server, work, slowness)
            for server, slowness in slowness_by_server.items()
            # Few servers have room while there is a queue, so that is looked at first.
            if server.has_room(work.shape)
            and _could_run(server, work)
            and self.accepts(server, work, now)
        }
        left_s = work.deadline_at - now
        if all(run_s <= left_s for run_s in run_s_by_server.values()):
            return run_s_by_server
        any_in_time = any(
            self.expected_run_s(server, work, slowness) <= left_s
            for server, slowness in slowness_by_server.items()
            if _could_run(server, work)
        )
        # Where none is expected to make it, only one that may, as declared times are off.
        share = 1.0 if any_in_time else MIN_RUN_TIME_SHARE
        return {
            server: run_s for server, run_s in run_s_by_server.items() if run_s * share <= left_s
        }

    def accepts(self, server: ServerState, work: Work, now: float) -> bool:
        """Tell whether a server may get one more task of a work."""
        if not self._ejector.admits(server.candidate, now):
            return False
        limit = work.shape.max_per_server
        if not limit:
            return True
        return sum(run.work is work for run in server.run_by_task.values()) < limit


def _could_run(server: ServerState, work: Work) -> bool:
    """Tell whether a server could run a task of a work if it were empty."""
    return server.listing.service == work.service and server.could_run(work.shape)
