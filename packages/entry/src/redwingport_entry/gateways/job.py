"""State of a job in progress and of its queued tasks."""

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
    :param max_answer_bytes: maximum total size of the results, in bytes.
    :param ideal_end_at: monotonic time at which it would end if no task had to wait.
    :param results: results by task number.
    :param result_bytes: total size of the results so far, in bytes.
    :param sent: numbers of the tasks whose start request may have been written.
    :param server_by_task: worker that runs each started task, by task number.
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
        """Return whether the job has ended."""
        return self.ended.is_set()

    def add_result(self, task: int, result: Any, size: int) -> bool:
        """Store the result of one task; the last one ends the job.

        :param task: number of the task.
        :param result: its result.
        :param size: size of the result as received, in bytes.
        :returns: whether the results are still within the size limit.
        """
        self.results[task] = result
        self.result_bytes += size
        if self.result_bytes > self.max_answer_bytes:
            return False
        if len(self.results) == len(self.tasks):
            self.ended.set()
        return True

    def end(self, problem: Problem) -> None:
        """End the job without a complete answer; only the first call takes effect.

        :param problem: why the job ended.
        """
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
            # Escaping all non-ASCII characters could triple the size beyond the limit of a frame.
            text = json.dumps(body, allow_nan=False, ensure_ascii=False)
        except ValueError:
            detail = "A result has a number that is not finite."
            return answer_of_problem(failed("invalid-result", detail, step="collect results"))
        # A lone surrogate is written as the escape sequence that it was received as.
        return Answer(Outcome.COMPLETE, 200, JSON, text.encode(errors="backslashreplace"))


@dataclass(slots=True)
class QueuedTask:
    """Hold one task that waits for a worker.

    :param job: its job.
    :param number: number of the task in the job.
    :param run_s: expected run time on a worker of average speed, in seconds.
    :param attempt: number of earlier start attempts.
    :param ticket: position in the queue.
    """

    job: Job
    number: int
    run_s: float
    attempt: int = 0
    ticket: int = -1

    @property
    def team(self) -> str:
        """Return the team whose quota the task is charged to."""
        return self.job.document.team

    @property
    def deadline(self) -> float:
        """Return the latest monotonic start time that does not delay the job.

        The queue serves the earliest first: the longest tasks of a job before its shorter ones,
        which can wait, and a short job before a long one of the same age.
        """
        return min(self.job.ideal_end_at, self.job.deadline) - self.run_s

    @property
    def body(self) -> TaskBody:
        """Return the task as the caller sent it."""
        return self.job.tasks[self.number]
