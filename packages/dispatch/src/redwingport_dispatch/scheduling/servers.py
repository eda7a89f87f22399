"""What the owner knows of one backend server."""

from dataclasses import dataclass, field
from statistics import median

from redwingport_dispatch.interfaces import ServerListing, TaskShape
from redwingport_dispatch.scheduling.work import Run, RunState
from redwingport_policy.base import Candidate

# A run that has just started says too little about the speed of its server.
MIN_OBSERVED_S = 0.1
# A server that was slow is taken to be slow for this long after its last run: disturbances of
# servers last some seconds, and nothing that runs there shows their end.
OBSERVED_SLOWNESS_TTL_S = 2.0


@dataclass(slots=True, eq=False)
class ServerState:
    """Hold one server.

    :param listing: the server as the platform lists it.
    :param candidate: the same for the ejection of servers that fail.
    :param run_by_task: runs there, also those that may only be there.
    :param listed: whether this owner has its list of runs, and the server its token.
    :param yielded: whether it is left to another process that owns it.
    :param suspect: whether the last order to it was not answered.
    :param full: whether it has rejected a task for want of room since its last list.
    :param gone_at: monotonic time from which the server counts as gone; 0 while it is listed.
    :param lease_ends_at: monotonic time at which every lease given there has surely ended.
    :param observed_slowness: measured over declared speed of what is at work; 0 when unknown.
    :param observed_until: monotonic time until which that counts without a newer figure.
    """

    listing: ServerListing
    candidate: Candidate
    run_by_task: dict[str, Run] = field(default_factory=dict)
    listed: bool = False
    yielded: bool = False
    suspect: bool = False
    full: bool = False
    gone_at: float = 0.0
    lease_ends_at: float = 0.0
    observed_slowness: float = 0.0
    observed_until: float = 0.0
    _used_cpu_millis: int = 0
    _used_memory_mb: int = 0
    _used_gpus: int = 0

    @property
    def kind(self) -> str:
        """Return the kind of the server, its first label."""
        return self.listing.labels[0] if self.listing.labels else ""

    @property
    def free_cpu_millis(self) -> int:
        """Return the processor share that no run takes up; 0 after a rejection."""
        return 0 if self.full else self.listing.cpu_millis - self._used_cpu_millis

    def has_room(self, shape: TaskShape) -> bool:
        """Tell whether a task fits beside what runs there."""
        listing = self.listing
        return (
            not self.full
            and shape.cpu_millis + self._used_cpu_millis <= listing.cpu_millis
            and shape.memory_mb + self._used_memory_mb <= listing.memory_mb
            and shape.gpus + self._used_gpus <= listing.gpus
        )

    def has_room_after(self, run: Run, shape: TaskShape) -> bool:
        """Tell whether a task will fit when a run here has ended."""
        listing, ended = self.listing, run.shape
        used_cpu_millis = self._used_cpu_millis - ended.cpu_millis
        used_memory_mb = self._used_memory_mb - ended.memory_mb
        used_gpus = self._used_gpus - ended.gpus
        return (
            shape.cpu_millis + used_cpu_millis <= listing.cpu_millis
            and shape.memory_mb + used_memory_mb <= listing.memory_mb
            and shape.gpus + used_gpus <= listing.gpus
        )

    def has_unclaimed_runs(self) -> bool:
        """Tell whether runs are at work here that no process has claimed yet.

        Any lease extends all that runs on a server. The owner on the other side of a cut counts on
        the end of the lease that it gave, and starts the tasks again.
        """
        for run in self.run_by_task.values():  # noqa: SIM110 -- asked for every server and order
            if run.orphan_until:
                return True
        return False

    def may_return(self) -> bool:
        """Tell whether a server that cannot be used now may be used within a lease."""
        waits = not self.listed or self.suspect or self.has_unclaimed_runs()
        return waits and not self.yielded

    def add_run(self, run: Run) -> None:
        """Count a run in."""
        self.run_by_task[run.task_name] = run
        self.candidate.own_active += 1
        self._add_usage(run.shape, 1)

    def remove_run(self, run: Run) -> None:
        """Count a run out, if it is counted in."""
        if self.run_by_task.get(run.task_name) is run:
            del self.run_by_task[run.task_name]
            self.candidate.own_active -= 1
            self._add_usage(run.shape, -1)

    def set_run_shape(self, run: Run, shape: TaskShape) -> None:
        """Take in what a run takes up, when its work becomes known."""
        self._add_usage(run.shape, -1)
        run.shape = shape
        self._add_usage(shape, 1)

    def _add_usage(self, shape: TaskShape, sign: int) -> None:
        self._used_cpu_millis += sign * shape.cpu_millis
        self._used_memory_mb += sign * shape.memory_mb
        self._used_gpus += sign * shape.gpus

    def could_run(self, shape: TaskShape) -> bool:
        """Tell whether a task fits on the server when it is empty, and may run there."""
        listing = self.listing
        return (
            shape.cpu_millis <= listing.cpu_millis
            and shape.memory_mb <= listing.memory_mb
            and shape.gpus <= listing.gpus
            and (not shape.required_label or shape.required_label in listing.labels)
        )

    def observe_progress(self, now: float) -> None:
        """Work the present speed out from the shares of the runs that are at work."""
        ratios = []
        for run in self.run_by_task.values():
            estimate_s = run.shape.estimate_s
            known = run.state is RunState.RUNNING and estimate_s > 0
            # One that has not come on at all may stand still, which says nothing about speed.
            if known and run.progress.has_progressed and run.progress.observed_s >= MIN_OBSERVED_S:
                ratios.append(run.progress.min_total_s / estimate_s)
        if ratios:
            self.observed_slowness = median(ratios)
            self.observed_until = now + OBSERVED_SLOWNESS_TTL_S
        elif now >= self.observed_until:
            self.observed_slowness = 0.0
