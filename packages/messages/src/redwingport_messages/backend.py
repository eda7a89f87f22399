"""Messages exchanged with backend servers (workers and executors)."""

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from redwingport_messages.documents import describe_errors

M = TypeVar("M", bound=BaseModel)

HEADER_SUBMISSION = "Redwingport-Submission"
HEADER_TASK = "Redwingport-Task"
HEADER_ATTEMPT = "Redwingport-Attempt"
HEADER_LOAD = "Redwingport-Load"
HEADER_OUTCOME = "Redwingport-Outcome"
HEADER_TIMEOUT_MS = "Redwingport-Timeout-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"


class TaskStatus(StrEnum):
    """How a started task has ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One task of a start request.

    :param task: index of the task in its job, from 0.
    :param attempt: number of earlier start requests for this task.
    :param payload: JSON value passed to the task.
    :param expected_ms: declared run time, in milliseconds.
    :param cpus: declared number of processors.
    :param memory_mb: declared memory, in megabytes.
    """

    task: int
    attempt: int
    payload: Any
    expected_ms: float
    cpus: float
    memory_mb: float

    def as_json(self) -> dict[str, Any]:
        """Return the members of the JSON object."""
        return {
            "task": self.task,
            "attempt": self.attempt,
            "payload": self.payload,
            "expected_ms": self.expected_ms,
            "cpus": self.cpus,
            "memory_mb": self.memory_mb,
        }


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Request to a worker to start tasks of one submission.

    :param submission: id of the submission.
    :param service: name of the service.
    :param holder: incarnation that holds or requests the lease.
    :param lease: id of the current lease, or an empty string.
    :param hold_ms: time for which a slot stays leased after its task has ended, in milliseconds.
    :param start_before: latest start time on the worker's clock, in seconds; 0 for no limit.
    :param tasks: tasks to start.
    """

    submission: str
    service: str
    holder: str
    lease: str
    hold_ms: int
    start_before: float
    tasks: tuple[TaskStart, ...]

    def encode(self) -> bytes:
        """Return the JSON body of the request."""
        return json.dumps(
            {
                "submission": self.submission,
                "service": self.service,
                "holder": self.holder,
                "lease": self.lease,
                "hold_ms": self.hold_ms,
                "start_before": self.start_before,
                "tasks": [task.as_json() for task in self.tasks],
            }
        ).encode()


class WorkerLoad(BaseModel):
    """Load report of a worker, sent with every line.

    :param slots: number of tasks that the worker runs concurrently.
    :param free: number of slots that neither run a task nor are leased.
    :param held: number of idle slots leased to the holder.
    :param leaving: whether the worker is about to shut down.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    slots: int = Field(ge=0)
    free: int = Field(ge=0)
    held: int = Field(default=0, ge=0)
    leaving: bool = False


class StartAnswer(BaseModel):
    """First line of the response to a start request.

    :param submission: id of the submission, copied from the request.
    :param lease: id of the granted lease.
    :param lease_ms: remaining time of the lease, in milliseconds.
    :param clock: time on the worker's clock, in seconds.
    :param started: indexes of the started tasks.
    :param declined: indexes of the tasks that have not been and will not be started.
    :param reason: why tasks were declined.
    :param load: load report.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    submission: str
    lease: str
    lease_ms: float = Field(ge=0)
    clock: float
    started: tuple[int, ...]
    declined: tuple[int, ...] = ()
    reason: str = ""
    load: WorkerLoad


class UsageReport(BaseModel):
    """Resource usage of an earlier task; arrives some time after the task has ended.

    :param service: service of the task.
    :param declared_ms: declared run time, in milliseconds.
    :param run_ms: measured run time, in milliseconds.
    :param declared_memory_mb: declared memory, in megabytes.
    :param memory_mb: peak memory usage, in megabytes.
    :param declared_cpus: declared number of processors.
    :param cpus: mean number of processors used.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    service: str
    declared_ms: float = Field(gt=0)
    run_ms: float = Field(ge=0)
    declared_memory_mb: float = Field(default=0.0, ge=0)
    memory_mb: float = Field(default=0.0, ge=0)
    declared_cpus: float = Field(default=1.0, ge=0)
    cpus: float = Field(default=1.0, ge=0)


class TaskEnd(BaseModel):
    """Later line of the response to a start request: the end of one task.

    :param submission: id of the submission, copied from the request.
    :param task: index of the task.
    :param attempt: attempt number of the task, copied from the request.
    :param status: how the task has ended.
    :param result: JSON result of a successful task.
    :param run_ms: measured run time, in milliseconds.
    :param load: load report.
    :param usage: resource usage of earlier tasks.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    submission: str
    task: int
    attempt: int
    status: TaskStatus
    result: Any = None
    run_ms: float = Field(ge=0)
    load: WorkerLoad
    usage: tuple[UsageReport, ...] = ()


def parse_line(model: type[M], line: bytes) -> Result[M, str]:
    """Parse and validate one line of a worker's response.

    :param model: expected type of the line.
    :param line: JSON text.
    :returns: the parsed line, or a description of the validation errors.
    """
    try:
        return Ok(model.model_validate_json(line))
    except ValidationError as error:
        return Err("; ".join(describe_errors(error)))


@dataclass(frozen=True, slots=True)
class ExecutorLoad:
    """Load report of an executor, sent in a header of every response.

    :param slots: number of requests that the executor runs concurrently.
    :param active: number of running requests.
    :param queued: number of queued requests.
    :param leaving: whether the executor is about to shut down.
    """

    slots: int
    active: int
    queued: int
    leaving: bool


def parse_load(text: str) -> Result[ExecutorLoad, str]:
    """Parse the value of the ``Redwingport-Load`` header.

    :param text: for example ``slots=8;active=3;queued=0;leaving=0``.
    :returns: the load, or the reason why the text is invalid.
    """
    values: dict[str, int] = {}
    for part in text.split(";"):
        name, _, value = part.strip().partition("=")
        if not value.isdecimal() or len(value) > 9:
            return Err(f"load member {part.strip()[:40]!r} is not NAME=NUMBER")
        values[name] = int(value)
    missing = {"slots", "active", "queued", "leaving"} - values.keys()
    if missing:
        return Err(f"load report lacks {', '.join(sorted(missing))}")
    return Ok(
        ExecutorLoad(values["slots"], values["active"], values["queued"], values["leaving"] != 0)
    )


def format_load(load: ExecutorLoad) -> str:
    """Format a load report as the value of the ``Redwingport-Load`` header."""
    return (
        f"slots={load.slots};active={load.active};queued={load.queued};leaving={int(load.leaving)}"
    )
