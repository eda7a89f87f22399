"""Data model of the scheduler: work items, their tasks, and the runs of tasks."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.progress import Progress

WorkKey = tuple[str, int]


def job_id_of(task_name: str) -> str:
    """Return the id of the job that a task belongs to, from the name of the task."""
    return task_name.partition(".")[0]


class TaskState(enum.Enum):
    """State of a task at the owner."""

    BLOCKED = enum.auto()
    """An earlier run of the task may still be running on some server."""
    QUEUED = enum.auto()
    """The task waits for a server."""
    ACTIVE = enum.auto()
    """A run of the task was ordered, or found on a server and adopted."""
    DONE = enum.auto()
    """A run of the task has completed successfully."""


class RunState(enum.Enum):
    """State of a run as the owner knows it."""

    STARTING = enum.auto()
    """The start order was sent and has not been answered yet."""
    RUNNING = enum.auto()
    """The server has accepted the run or reported it."""
    LOST = enum.auto()
    """The start order was not answered: the run may be running, or may start later."""
    STOPPING = enum.auto()
    """The run is being stopped and its end has not been reported yet."""


class RunOver(enum.StrEnum):
    """Evidence that an earlier run of a task is over, so that the task may start again."""

    NONE_KNOWN = "none-known"
    """No earlier run was known."""
    END_REPORTED = "end-reported"
    """Its server has reported its end."""
    STOP_CONFIRMED = "stop-confirmed"
    """Its server has accepted a stop order, which has taken effect since."""
    LEASE_ENDED = "lease-ended"
    """The last lease that this owner gave has ended."""
    EARLIER_LEASES_ENDED = "earlier-leases-ended"
    """All leases that an earlier owner may have given have ended."""
    HOLDERS_HEARD = "holders-heard"
    """Since this owner took over, the holders have had time to submit their work items to it, and
    none of these names a run of the task."""
    OTHER_HOLDER_ENDED = "other-holder-ended"
    """Another holder of the job was out of reach. It has ended or been heard again since, or all
    runs that it may have had elsewhere are over."""
    START_REJECTED = "start-rejected"
    """Its server has rejected the start order, or the order was not sent."""
    NOT_LISTED = "not-listed"
    """Its server no longer lists it."""
    SERVER_RESTARTED = "server-restarted"
    """Its server has restarted."""
    ALL_SERVERS_LISTED = "all-servers-listed"
    """All servers of the shard have listed their runs, and the task was not among them."""


@dataclass(slots=True)
class Task:
    """Represent a task of a work item.

    :param index: number of the task in its step.
    :param next_run: number of its next run; run numbers fence earlier runs at the servers.
    :param state: its state.
    :param failures: number of runs that failed.
    :param blocked_on: id of the server of the earlier run that it waits for; empty when unknown.
    :param earlier_run: run of an earlier submission, for which the task waits.
    :param last_run: server and number of its last known run; empty and 0 for none.
    :param after: evidence that its last run is over; for the log.
    """

    index: int
    next_run: int = 1
    state: TaskState = TaskState.QUEUED
    failures: int = 0
    blocked_on: str = ""
    earlier_run: "Run | None" = None
    last_run: tuple[str, int] = ("", 0)
    after: RunOver = RunOver.NONE_KNOWN


@dataclass(slots=True, eq=False)
class Work:
    """Represent a work item: the open tasks of one step of a job.

    :param holder: incarnation of the process that holds the job.
    :param work_id: number of the work item, unique at its holder.
    :param job_id: id of the job, chosen by the client.
    :param step: number of the step in its job.
    :param service: service whose servers run the tasks.
    :param spec: text that is passed to every task.
    :param shape: resources and constraints of each task.
    :param priority: priority; 0 is the highest.
    :param attempts: number of failed runs of one task after which the job fails.
    :param received_at: monotonic time at which its holder received the job, in seconds.
    :param target_at: monotonic time until which the answer is on time, in seconds.
    :param deadline_at: monotonic time until which the client waits for the answer, in seconds.
    :param more_offers: whether its holder offers it to another shard if this owner refuses it.
    :param other_servers: whether a run of an earlier owner may be on a server that does not belong
        to this shard.
    :param refused_for_load: whether another shard has refused it for its load.
    :param identity: hash that tells its job from others with the same id.
    :param safe_at: monotonic time from which no run of an earlier owner is expected, in seconds.
    :param submitted_at: monotonic time of its last submission to this owner, in seconds.
    :param handover_until: monotonic time until which reports of the previous owner may still
        arrive, in seconds.
    :param late: whether the work item arrived too late to meet its target even without queueing.
    :param ever_started: whether this owner has ordered a run of it, or an earlier owner may have.
    :param resumed: whether it was submitted to an earlier owner before; for the log.
    :param has_other_holder: whether another holder of its job was out of reach on arrival.
    """

    holder: str
    work_id: int
    job_id: str
    step: int
    service: str
    spec: str
    shape: TaskShape
    priority: int
    attempts: int
    received_at: float
    target_at: float
    deadline_at: float
    more_offers: bool = False
    other_servers: bool = False
    refused_for_load: bool = False
    identity: str = ""
    safe_at: float = 0.0
    submitted_at: float = 0.0
    handover_until: float = 0.0
    late: bool = False
    ever_started: bool = False
    resumed: bool = False
    has_other_holder: bool = False
    task_by_index: dict[int, Task] = field(default_factory=dict)

    @property
    def key(self) -> WorkKey:
        """Return the holder and the number of the work item there."""
        return (self.holder, self.work_id)

    def task_name(self, index: int) -> str:
        """Return the name of a task at the servers.

        The second part is the occurrence of the job: always 0, as each job runs once.
        """
        return f"{self.job_id}.0.{self.step}.{index}"

    def find_task(self, task_name: str) -> Task | None:
        """Return the task of that name, or None if it belongs to another work item."""
        prefix, _, index = task_name.rpartition(".")
        if prefix != f"{self.job_id}.0.{self.step}" or not index.isdecimal():
            return None
        return self.task_by_index.get(int(index))

    def owns_run(self, task: Task, server_id: str, number: int, identity: str) -> bool:
        """Return whether a run with the name of a task belongs to the same job.

        Tasks of another job with the same id have the same names. Numbers of runs rise at a
        server, so a known run there is no other one.

        :param identity: identity of the job of the run; empty when unknown.
        """
        if identity:
            return identity == self.identity
        return task.last_run == (server_id, number)

    def queued_tasks(self) -> list[Task]:
        """Return the tasks that wait for a server."""
        return [task for task in self.task_by_index.values() if task.state is TaskState.QUEUED]

    def tasks(self) -> Iterable[Task]:
        """Return all tasks."""
        return self.task_by_index.values()

    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return all(task.state is TaskState.DONE for task in self.task_by_index.values())


@dataclass(slots=True, eq=False)
class Run:
    """Represent a run of a task.

    :param task_name: name of the task at the servers.
    :param number: number of the run; a later run of the task has a higher one.
    :param server_id: id of the server.
    :param shape: resources that it uses there.
    :param work: the work item it belongs to; None for a run that no process claims.
    :param index: number of the task in its work item.
    :param state: its state as the owner knows it.
    :param ordered_at: monotonic time of the start order, in seconds; of the first report for a
        run that an earlier owner has ordered.
    :param accepted_at: monotonic time by which the server had accepted it, in seconds; 0 before.
    :param expected_s: expected run time on the server, in seconds; 0 for a run that an earlier
        owner has ordered.
    :param progress: progress that the server has reported.
    :param stop_due_at: monotonic time of the next stop order, in seconds; 0 when none is due.
    :param stop_effective_at: monotonic time by which an accepted stop has certainly taken effect,
        in seconds; 0 when no stop was accepted.
    :param orphan_until: monotonic time until which a process may claim an orphaned run, in
        seconds; 0 for a run that is not an orphan.
    :param after: evidence that the previous run of the task is over; for the log.
    :param over: evidence that this run is over; None before.
    :param logs_end: whether its end is logged although it belongs to no work item, because its
        task may be started by another owner or for another holder.
    :param released_work: work item that it belonged to until its holder submitted that to another
        owner; None if there is none.
    :param identity: identity of its job; empty for a run that no process has claimed.
    :param lease_limit_at: monotonic time beyond which its lease must not extend while it belongs
        to no work item, in seconds: another owner may have the work item by now.
    :param ordered_born_ms: start of the lifetime of the server that was known when the run was
        ordered, in Unix milliseconds; 0 when unknown, as are the two below; for the log.
    :param listed_born_ms: start of the lifetime that has listed the run last.
    :param stopped_born_ms: start of the lifetime that was known when a stop was confirmed.
    """

    task_name: str
    number: int
    server_id: str
    shape: TaskShape
    work: Work | None
    index: int
    state: RunState
    ordered_at: float
    accepted_at: float = 0.0
    expected_s: float = 0.0
    progress: Progress = field(default_factory=Progress)
    stop_due_at: float = 0.0
    stop_effective_at: float = 0.0
    orphan_until: float = 0.0
    after: RunOver = RunOver.NONE_KNOWN
    over: RunOver | None = None
    logs_end: bool = False
    released_work: Work | None = None
    identity: str = ""
    lease_limit_at: float = 0.0
    ordered_born_ms: int = 0
    listed_born_ms: int = 0
    stopped_born_ms: int = 0

    def remaining_s(self, now: float) -> float:
        """Return the expected remaining run time, in seconds; 0 when the run is overdue."""
        return max(0.0, self.ordered_at + self.expected_s - now)
