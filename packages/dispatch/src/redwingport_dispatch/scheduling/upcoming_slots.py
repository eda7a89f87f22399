"""Places that runs will free soon, for tasks that are better off waiting for one."""

from collections.abc import Callable, Mapping

from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.work import Run, Work

# Time from the end of a run to the start of the next one in its place: the end is listed, and the
# order is sent.
TURNAROUND_S = 0.01
# A task waits for a place only where it would end within this share of the time that it takes on
# the server that has room now: the ends of runs are estimates.
MAX_DURATION_SHARE = 0.8
# Tasks that may wait in one pass, for each server that can be used. Beyond that there is a burst:
# all servers are needed, and weighing each queued task would take the owner's processor time.
MAX_WAITING_PER_SERVER = 0.5


class UpcomingSlots:
    """Hold the places that runs are expected to free, for one pass of the queue.

    Each task that waits takes one, so that a long queue does not wait for the same few places,
    and only some may wait.

    :param slowness_by_server: the servers that can be used, and their likely slowness.
    :param now: monotonic time, in seconds.
    """

    def __init__(self, slowness_by_server: Mapping[ServerState, float], now: float) -> None:
        self._slowness_by_server = slowness_by_server
        self._now = now
        self._slots: list[tuple[float, ServerState, Run]] | None = None
        self._waits_left = int(MAX_WAITING_PER_SERVER * len(slowness_by_server))

    def reserve_better(
        self,
        work: Work,
        expected_s: float,
        run_s_at: Callable[[ServerState, float], float],
    ) -> bool:
        """Take the first place to be free at which a task ends well before its end elsewhere.

        :param expected_s: run time on the best server that has room now, in seconds.
        :param run_s_at: returns the run time on a server of a given slowness, in seconds.
        :returns: whether there was such a place, so that the task should wait.
        """
        if self._waits_left <= 0:
            return False
        limit_s = MAX_DURATION_SHARE * expected_s - TURNAROUND_S
        slots = self._sorted()
        for position, (free_s, server, run) in enumerate(slots):
            if free_s >= limit_s:
                break
            end_s = free_s + run_s_at(server, self._slowness_by_server[server])
            if end_s < limit_s and _fits_after(server, run, work):
                del slots[position]
                self._waits_left -= 1
                return True
        return False

    def _sorted(self) -> list[tuple[float, ServerState, Run]]:
        """Return the places, the first to be free first; built when they are first asked for."""
        if self._slots is None:
            self._slots = [
                (run.remaining_s(self._now), server, run)
                for server in self._slowness_by_server
                for run in server.run_by_task.values()
            ]
            self._slots.sort(key=lambda slot: slot[0])
        return self._slots


def _fits_after(server: ServerState, run: Run, work: Work) -> bool:
    """Tell whether a task of a work will have room on a server when a run has ended."""
    return (
        server.listing.service == work.service
        and server.could_run(work.shape)
        and server.has_room_after(run, work.shape)
    )
