"""State of one backend server as its owner knows it."""

from dataclasses import dataclass, field
from statistics import median

from redwingport_dispatch.interfaces import ServerListing, TaskShape
from redwingport_dispatch.scheduling.work import Run, RunState
from redwingport_policy.base import Candidate

# Runs observed for less time than this say too little about the speed of their server.
MIN_SPEED_SAMPLE_S = 0.1
# Time for which an observed slowness stays valid after the last run on the server. Slowdowns of
# servers last some seconds, and while nothing runs there, their end cannot be observed.
OBSERVED_SLOWNESS_TTL_S = 2.0

# Shape of a run that belongs to no known work item.
UNKNOWN_SHAPE = TaskShape(0)


@dataclass(slots=True, eq=False)
class ServerState:
    """Hold the state of one backend server and account for its resources.

    :param listing: the server as the platform lists it.
    :param candidate: the server as the ejection policy sees it.
    :param run_by_task: runs on the server, by task name, including those that may not be there.
    :param acquired: whether the server has accepted this owner's fencing token and reported its
        runs; False again once another owner or another incarnation of the server is found there.
    :param yielded: whether the server was left to another process that owns it.
    :param suspect: whether the last start order was not sent or not answered, or the last lease
        renewal failed.
    :param full: whether the server has rejected a task since its last report, for lack of
        capacity or as unhealthy.
    :param gone_at: monotonic time from which a server that the platform no longer lists counts as
        gone, in seconds; it gets no new task before that either. 0 while the platform lists it.
    :param lease_ends_at: monotonic time by which every lease granted to the server has certainly
        ended, in seconds.
    :param born_ms: Unix time of the start of the lifetime that was last in contact, in
        milliseconds; 0 when unknown.
    :param runs_listed: whether it has listed its runs since this owner took over and since contact
        was lost.
    :param listed_at: monotonic time at which its last list of runs was asked for, in seconds.
    :param token: highest fencing token that this owner has raised for the server; 0 if it uses its
        term.
    :param lost_run_by_task: runs that were on the server when contact was lost, by task name,
        including those presumed over since; empty while it answers.
    :param crashed_tasks: tasks under which a crash of the current lifetime is recorded.
    :param refused_since: monotonic time since which the machine refuses connections, in seconds;
        0 when it does not.
    :param exclusive_run: run beside which nothing else is placed; None if there is none.
    :param is_reserved: whether it gets no task until one can run there alone.
    :param observed_slowness: measured over declared run time of the current runs; 0 when
        unknown.
    :param observed_until: monotonic time until which `observed_slowness` is valid without a newer
        observation, in seconds.
    """

    listing: ServerListing
    candidate: Candidate
    run_by_task: dict[str, Run] = field(default_factory=dict)
    acquired: bool = False
    yielded: bool = False
    suspect: bool = False
    full: bool = False
    gone_at: float = 0.0
    lease_ends_at: float = 0.0
    born_ms: int = 0
    runs_listed: bool = False
    listed_at: float = 0.0
    token: int = 0
    lost_run_by_task: dict[str, Run] = field(default_factory=dict)
    crashed_tasks: set[str] = field(default_factory=set)
    refused_since: float = 0.0
    exclusive_run: Run | None = None
    is_reserved: bool = False
    observed_slowness: float = 0.0
    observed_until: float = 0.0
    _unknown_shapes: int = 0
    _used_cpu_millis: int = 0
    _used_memory_mb: int = 0
    _used_gpus: int = 0

    @property
    def kind(self) -> str:
        """Return the kind of the server, its first label."""
        return self.listing.labels[0] if self.listing.labels else ""

    @property
    def is_closed(self) -> bool:
        """Return whether it gets no task.

        It is closed after a rejection, for a task that runs alone, and while the resources that
        one of its runs uses are unknown.
        """
        return (
            self.full
            or self.is_reserved
            or self.exclusive_run is not None
            or self._unknown_shapes > 0
        )

    @property
    def free_cpu_millis(self) -> int:
        """Return the processor capacity that tasks may take, in thousandths of a core.

        It is 0 while the server is closed, and negative if it has shrunk below what runs there.
        """
        if self.is_closed:
            return 0
        return self.listing.cpu_millis - self._used_cpu_millis

    def has_room(self, shape: TaskShape) -> bool:
        """Return whether a task fits beside the current runs."""
        listing = self.listing
        return (
            not self.is_closed
            and shape.cpu_millis + self._used_cpu_millis <= listing.cpu_millis
            and shape.memory_mb + self._used_memory_mb <= listing.memory_mb
            and shape.gpus + self._used_gpus <= listing.gpus
        )

    def has_room_after(self, run: Run, shape: TaskShape) -> bool:
        """Return whether a task will fit once the given run has ended."""
        listing, ended = self.listing, run.shape
        used_cpu_millis = self._used_cpu_millis - ended.cpu_millis
        used_memory_mb = self._used_memory_mb - ended.memory_mb
        used_gpus = self._used_gpus - ended.gpus
        return (
            shape.cpu_millis + used_cpu_millis <= listing.cpu_millis
            and shape.memory_mb + used_memory_mb <= listing.memory_mb
            and shape.gpus + used_gpus <= listing.gpus
        )

    def note_contact_lost(self) -> None:
        """Give the server no task until it answers, and keep what runs there."""
        self.suspect = True
        self.runs_listed = False
        self.lost_run_by_task.update(self.run_by_task)

    def note_contact(self, born_ms: int) -> None:
        """Make the server usable again.

        :param born_ms: Unix time of the start of the lifetime that answers, in milliseconds; 0
            when unknown.
        """
        self.suspect = False
        self.born_ms = born_ms or self.born_ms
        self.lost_run_by_task.clear()
        self.crashed_tasks.clear()
        self.refused_since = 0.0

    def has_unclaimed_runs(self) -> bool:
        """Return whether the server has runs that no process has claimed yet.

        Such a server must get no lease, because a lease extends all runs on it. The owner on the
        other side of a network partition relies on the end of the lease that it granted, and
        starts the tasks again after that.
        """
        for run in self.run_by_task.values():  # noqa: SIM110 -- called per server and order
            if run.orphan_until:
                return True
        return False

    def is_gone(self, now: float) -> bool:
        """Return whether the entry of the server has been missing for too long to come back."""
        return bool(self.gone_at) and now >= self.gone_at

    def is_removable(self, now: float) -> bool:
        """Return whether the server is no longer listed and has certainly no runs.

        Runs on a server that answers may go on until they end, and those on one that does not
        until their lease ends.
        """
        if not self.gone_at or self.run_by_task:
            return False
        return self.is_gone(now) or (self.suspect and now >= self.lease_ends_at)

    def may_become_usable(self) -> bool:
        """Return whether a server that is unusable now may be usable within one lease."""
        is_temporary = not self.acquired or self.suspect or self.has_unclaimed_runs()
        return is_temporary and not self.yielded

    def add_run(self, run: Run) -> None:
        """Add a run and the resources that it uses."""
        self.run_by_task[run.task_name] = run
        self.candidate.own_active += 1
        self._add_usage(run.shape, 1)

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its resources, if it is present."""
        if self.run_by_task.get(run.task_name) is run:
            del self.run_by_task[run.task_name]
            if self.exclusive_run is run:
                self.exclusive_run = None
            self.candidate.own_active -= 1
            self._add_usage(run.shape, -1)

    def set_run_shape(self, run: Run, shape: TaskShape) -> None:
        """Set the resources that a run uses, once its work item is known."""
        self._add_usage(run.shape, -1)
        run.shape = shape
        self._add_usage(shape, 1)

    def _add_usage(self, shape: TaskShape, sign: int) -> None:
        if shape is UNKNOWN_SHAPE:
            self._unknown_shapes += sign
        self._used_cpu_millis += sign * shape.cpu_millis
        self._used_memory_mb += sign * shape.memory_mb
        self._used_gpus += sign * shape.gpus

    def could_run(self, shape: TaskShape) -> bool:
        """Return whether a task fits on the empty server and satisfies its label constraint."""
        listing = self.listing
        return (
            shape.cpu_millis <= listing.cpu_millis
            and shape.memory_mb <= listing.memory_mb
            and shape.gpus <= listing.gpus
            and (not shape.required_label or shape.required_label in listing.labels)
        )

    def observe_progress(self, now: float) -> None:
        """Update the observed slowness from the reported progress of the current runs."""
        ratios = []
        for run in self.run_by_task.values():
            estimate_s = run.shape.estimate_s
            measurable = run.state is RunState.RUNNING and estimate_s > 0
            # A run without any progress may be stalled, which says nothing about speed.
            if (
                measurable
                and run.progress.has_progressed
                and run.progress.observed_s >= MIN_SPEED_SAMPLE_S
            ):
                ratios.append(run.progress.min_total_s / estimate_s)
        if ratios:
            self.observed_slowness = median(ratios)
            self.observed_until = now + OBSERVED_SLOWNESS_TTL_S
        elif now >= self.observed_until:
            self.observed_slowness = 0.0
