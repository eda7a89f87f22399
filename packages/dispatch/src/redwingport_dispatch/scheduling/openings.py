"""Slots that runs will free soon, for tasks that would end sooner by waiting for one."""

from collections.abc import Callable
from functools import cached_property

from redwingport_dispatch.scheduling.server_finder import UsableServers
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.work import Run, Work

# Time from the end of a run to the start of the next one in its slot: the end has to be reported
# and the start order sent.
TURNAROUND_S = 0.01
# A task waits for a slot only if it would end there within this share of its run time on the
# server that has capacity now. The margin allows for the end times of runs being estimates.
MAX_DURATION_SHARE = 0.8
# Maximum number of tasks that may wait in one pass, per usable server. More waiting tasks mean a
# burst: all servers are needed then, and evaluating every queued task would use up the owner's
# processor time.
MAX_WAITING_PER_SERVER = 0.5


class UpcomingSlots:
    """Hold the slots that runs are expected to free, for one pass over the queue.

    Each waiting task reserves one slot, so that a long queue does not wait for the same few, and
    the number of waiting tasks is limited.

    :param usable: the usable servers.
    :param now: monotonic time, in seconds.
    """

    def __init__(self, usable: UsableServers, now: float) -> None:
        self._usable = usable
        self._now = now
        self._waiting = 0

    def reserve_better(
        self,
        work: Work,
        expected_s: float,
        run_s_at: Callable[[ServerState, float], float],
    ) -> bool:
        """Reserve the earliest slot in which a task ends well before it would elsewhere.

        :param work: the work item of the task.
        :param expected_s: expected run time on the best server with capacity now, in seconds.
        :param run_s_at: returns the expected run time on a server of a given slowness, in
            seconds.
        :returns: whether a slot was reserved, so that the task should wait.
        """
        slowness_by_server = self._usable.slowness_by_server
        if self._waiting >= int(MAX_WAITING_PER_SERVER * len(slowness_by_server)):
            return False
        limit_s = MAX_DURATION_SHARE * expected_s - TURNAROUND_S
        slots = self._slots
        for position, (free_s, server, run) in enumerate(slots):
            if free_s >= limit_s:
                break
            end_s = free_s + run_s_at(server, slowness_by_server[server])
            if end_s < limit_s and _fits_after(server, run, work):
                del slots[position]
                self._waiting += 1
                return True
        return False

    @cached_property
    def _slots(self) -> list[tuple[float, ServerState, Run]]:
        """Return the slots, earliest first.

        :returns: for each slot, the time until it is free in seconds, its server, and the run
            that occupies it.
        """
        slots = [
            (run.remaining_s(self._now), server, run)
            for server in self._usable.slowness_by_server
            for run in server.run_by_task.values()
        ]
        slots.sort(key=lambda slot: slot[0])
        return slots


def _fits_after(server: ServerState, run: Run, work: Work) -> bool:
    """Return whether a task of a work item will fit on a server once a run has ended."""
    return (
        server.listing.service == work.service
        and server.could_run(work.shape)
        and server.has_room_after(run, work.shape)
    )
