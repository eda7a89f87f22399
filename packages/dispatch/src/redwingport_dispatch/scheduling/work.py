"""Works, their tasks and the runs of these."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.progress import Progress

WorkKey = tuple[str, int]


def job_id_of(task_name: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_name.partition(".")[0]


class TaskState(enum.Enum):
    """Tell where a task stands at the owner."""

    BLOCKED = enum.auto()
    """An earlier run of the task may still be at work somewhere."""
    QUEUED = enum.auto()
    """It waits for a server."""
    ACTIVE = enum.auto()
    """A run of it was ordered."""
    DONE = enum.auto()
    """A run of it has ended as done."""


class RunState(enum.Enum):
    """Tell what is known of a run."""

    STARTING = enum.auto()
    """The order was sent; no answer came yet."""
    RUNNING = enum.auto()
    """The server has accepted or listed it."""
    LOST = enum.auto()
    """The order was not answered: it may run, or start later."""
    STOPPING = enum.auto()
    """It is to be stopped and its end was not listed yet."""


@dataclass(slots=True)
class Task:
    """Hold one task of a work.

    :param index: number of the task in its step.
    :param next_run: number that its next run gets.
    :param state: where it stands.
    :param failures: runs that ended as failed.
    :param blocked_on: server whose list decides whether an earlier run is at work; empty when
        every server's list does.
    """

    index: int
    next_run: int = 1
    state: TaskState = TaskState.QUEUED
    failures: int = 0
    blocked_on: str = ""


@dataclass(slots=True, eq=False)
class Work:
    """Hold the open tasks of one step of a job.

    :param holder: incarnation of the process that holds the job.
    :param work_id: number of the work at its holder.
    :param job_id: id that the client chose.
    :param step: number of the step in its job.
    :param service: service whose servers run the tasks.
    :param spec: text that every task gets.
    :param shape: what each task asks for.
    :param priority: 0 comes first.
    :param attempts: failed runs of a task after which its job has failed.
    :param received_at: monotonic time at which its holder received the job, in seconds.
    :param target_at: monotonic time until which the answer is in time.
    :param deadline_at: monotonic time until which somebody waits for the answer.
    :param safe_at: monotonic time at which no run of an earlier owner can be left.
    :param handover_until: monotonic time until which the last owner's reports may arrive.
    :param late: whether it came to this owner too late to be in time even without waiting.
    :param ever_started: whether this owner has ordered a run, or an earlier one may have.
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
    safe_at: float = 0.0
    handover_until: float = 0.0
    late: bool = False
    ever_started: bool = False
    task_by_index: dict[int, Task] = field(default_factory=dict)

    @property
    def key(self) -> WorkKey:
        """Return the holder and its number for the work."""
        return (self.holder, self.work_id)

    def task_name(self, index: int) -> str:
        """Return the name of a task at the servers; occurrence 0, as jobs run once."""
        return f"{self.job_id}.0.{self.step}.{index}"

    def queued_tasks(self) -> list[Task]:
        """Return the tasks that wait for a server."""
        return [task for task in self.task_by_index.values() if task.state is TaskState.QUEUED]

    def tasks(self) -> Iterable[Task]:
        """Return all its tasks."""
        return self.task_by_index.values()

    def is_done(self) -> bool:
        """Tell whether all its tasks are done."""
        return all(task.state is TaskState.DONE for task in self.task_by_index.values())


@dataclass(slots=True, eq=False)
class Run:
    """Hold one run of a task.

    :param task_name: name of the task at the servers.
    :param number: number of the run.
    :param server_id: the server.
    :param shape: what it takes up there.
    :param work: the work it belongs to; None for a run that no process claims.
    :param index: number of the task in its work.
    :param state: what is known of it.
    :param ordered_at: monotonic time of the order, in seconds.
    :param accepted_at: monotonic time at which the server had accepted it; 0 before.
    :param expected_s: expected run time there, in seconds.
    :param progress: how far it has come.
    :param stop_due_at: monotonic time of the next stop order; 0 when none is due.
    :param gone_at: monotonic time at which an accepted stop has surely taken effect; 0 for none.
    :param orphan_until: monotonic time until which a process may claim it; 0 when one has.
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
    stopped_by_at: float = 0.0
    orphan_until: float = 0.0

    def remaining_s(self, now: float) -> float:
        """Return the time that the run is expected to take yet, in seconds; 0 when overdue."""
        return max(0.0, self.ordered_at + self.expected_s - now)
