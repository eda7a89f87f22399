"""One job in progress and the tasks it waits for."""

import json
from dataclasses import dataclass, field
from typing import Any

import anyio

from redwingport_messages.documents import ServiceDocument
from redwingport_messages.outcomes import Answer, Outcome, Problem, answer_of_problem, failed
from redwingport_messages.submissions import TaskBody

JSON = "application/json"


@dataclass(slots=True)
class Job:
    """Hold the state of one job until it ends.

    :param submission: the submission id.
    :param document: the service document in force when the job arrived.
    :param tasks: the tasks.
    :param deadline: monotonic time by which the job has to end.
    :param ideal_end_at: monotonic time at which it ends when nothing has to wait.
    :param results: results by task number.
    :param sent: tasks of which a start may have been written.
    :param problem: why the job ended without a complete answer.
    :param ended: set when the job has ended.
    """

    submission: str
    document: ServiceDocument
    tasks: list[TaskBody]
    deadline: float
    max_answer_bytes: int
    ideal_end_at: float = 0.0
    results: dict[int, Any] = field(default_factory=dict)
    result_bytes: int = 0
    sent: set[int] = field(default_factory=set)
    server_by_task: dict[int, str] = field(default_factory=dict)
    problem: Problem | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def team(self) -> str:
        """Return the team that owns the service."""
        return self.document.team

    @property
    def is_ended(self) -> bool:
        """Tell whether the job has ended."""
        return self.ended.is_set()

    def add_result(self, task: int, result: Any, size: int) -> bool:
        """Store the result of one task; the job ends with the last one.

        :param size: bytes of the result as received.
        :returns: whether the results still fit the limit.
        """
        self.results[task] = result
        self.result_bytes += size
        if self.result_bytes > self.max_answer_bytes:
            return False
        if len(self.results) == len(self.tasks):
            self.ended.set()
        return True

    def end(self, problem: Problem) -> None:
        """End the job without a complete answer; the first cause counts."""
        if not self.is_ended:
            self.problem = problem
            self.ended.set()

    def answer(self) -> Answer:
        """Return the answer of an ended job."""
        if self.problem is not None:
            return answer_of_problem(self.problem)
        body = {
            "submission": self.submission,
            "outcome": str(Outcome.COMPLETE),
            "results": [self.results[number] for number in range(len(self.tasks))],
        }
        try:
            # Escapes of all non-ASCII characters could triple the size past what a frame holds.
            text = json.dumps(body, allow_nan=False, ensure_ascii=False)
        except ValueError:
            detail = "A result has a number that is not finite."
            return answer_of_problem(failed("invalid-result", detail, step="collect results"))
        # A lone surrogate is written as the escape it came as.
        return Answer(Outcome.COMPLETE, 200, JSON, text.encode(errors="backslashreplace"))


@dataclass(slots=True)
class QueuedTask:
    """Hold one task that waits for a worker.

    :param job: its job.
    :param number: number of the task in the job.
    :param run_s: expected run time at the mean worker, in seconds.
    :param attempt: starts sent before.
    :param ticket: place in the queue.
    """

    job: Job
    number: int
    run_s: float
    attempt: int = 0
    ticket: int = -1

    @property
    def team(self) -> str:
        """Return the team the task is counted for."""
        return self.job.document.team

    @property
    def deadline(self) -> float:
        """Return the monotonic time by which the task has to start to delay its job by nothing.

        The queue serves the least time first: the longest tasks of a job before the others,
        which may wait until then, and a short job before a long one of the same age.
        """
        return min(self.job.ideal_end_at, self.job.deadline) - self.run_s

    @property
    def body(self) -> TaskBody:
        """Return what the caller said of the task."""
        return self.job.tasks[self.number]
