"""Messages exchanged with workers and executors."""

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
    """Name the ways a started task ends."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Describe one task in a start request.

    :param task: number of the task in its job, from 0.
    :param attempt: number of starts sent before this one.
    :param payload: JSON value for the task.
    :param expected_ms: declared run time, in milliseconds.
    :param cpus: declared processors.
    :param memory_mb: declared memory, in megabytes.
    """

    task: int
    attempt: int
    payload: Any
    expected_ms: float
    cpus: float
    memory_mb: float

    def as_json(self) -> dict[str, Any]:
        """Return the JSON members."""
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
    """Ask a worker to start tasks of one submission.

    :param submission: the submission id.
    :param service: the service.
    :param holder: incarnation that holds or asks for the lease.
    :param lease: id of the lease held, or an empty string.
    :param hold_ms: how long a slot stays leased after its task ended, in milliseconds.
    :param start_before: latest start by the worker's clock, in seconds; 0 for no limit.
    :param tasks: the tasks.
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
    """Report the load of a worker, on every line it sends.

    :param slots: tasks it runs at once.
    :param free: slots neither running a task nor leased.
    :param held: slots leased to the holder that run no task.
    :param leaving: whether the worker is about to go.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    slots: int = Field(ge=0)
    free: int = Field(ge=0)
    held: int = Field(default=0, ge=0)
    leaving: bool = False


class StartAnswer(BaseModel):
    """Answer a start request: the first line.

    :param submission: the submission id, repeated.
    :param lease: id of the lease now held.
    :param lease_ms: how long the lease lasts from now, in milliseconds.
    :param clock: the worker's clock, in seconds.
    :param started: numbers of the tasks that were started.
    :param declined: numbers of the tasks that were not and will not be started.
    :param reason: why tasks were declined.
    :param load: load facts.
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
    """Report what an earlier task used; arrives some time after the task ended.

    :param service: the service of the task.
    :param declared_ms: declared run time, in milliseconds.
    :param run_ms: measured run time, in milliseconds.
    :param declared_memory_mb: declared memory, in megabytes.
    :param memory_mb: peak memory, in megabytes.
    :param declared_cpus: declared processors.
    :param cpus: mean processors used.
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
    """Report the end of one task: a later line.

    :param submission: the submission id, repeated.
    :param task: number of the task.
    :param attempt: attempt of the task.
    :param status: how the task ended.
    :param result: JSON value of a task that is done.
    :param run_ms: measured run time, in milliseconds.
    :param load: load facts.
    :param usage: usage of tasks that ended earlier.
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
    """Validate one line of a worker's answer."""
    try:
        return Ok(model.model_validate_json(line))
    except ValidationError as error:
        return Err("; ".join(describe_errors(error)))


@dataclass(frozen=True, slots=True)
class ExecutorLoad:
    """Report the load of an executor, in the header of every answer.

    :param slots: requests it runs at once.
    :param active: requests it is running.
    :param queued: requests it holds beyond those.
    :param leaving: whether the executor is about to go.
    """

    slots: int
    active: int
    queued: int
    leaving: bool


def parse_load(text: str) -> Result[ExecutorLoad, str]:
    """Read the value of the ``Redwingport-Load`` header.

    :param text: for example ``slots=8;active=3;queued=0;leaving=0``.
    :returns: the load, or the reason why the text is none.
    """
    values: dict[str, int] = {}
    for part in text.split(";"):
        name, _, value = part.strip().partition("=")
        if not value.isdecimal() or len(value) > 9:
            return Err(f"load member {part.strip()[:40]!r} is not NAME=NUMBER")
        values[name] = int(value)
    missing = {"slots", "active", "queued", "leaving"} - values.keys()
    if missing:
        return Err(f"load lacks {', '.join(sorted(missing))}")
    return Ok(
        ExecutorLoad(values["slots"], values["active"], values["queued"], values["leaving"] != 0)
    )


def format_load(load: ExecutorLoad) -> str:
    """Return the value of the ``Redwingport-Load`` header."""
    return (
        f"slots={load.slots};active={load.active};queued={load.queued};leaving={int(load.leaving)}"
    )
