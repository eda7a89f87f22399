"""Submissions of callers: the body of a job, and a job or request with its deadline."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from redwingport_messages.documents import describe_errors


class TaskBody(BaseModel):
    """One task of a job.

    :param payload: JSON value passed to the worker.
    :param expected_ms: declared run time on a server of mean speed, in milliseconds.
    :param cpus: declared number of processors.
    :param memory_mb: declared memory, in megabytes.
    """

    model_config = ConfigDict(extra="forbid")

    payload: Any = None
    expected_ms: float = Field(default=200.0, gt=0, le=3_600_000, allow_inf_nan=False)
    cpus: float = Field(default=1.0, gt=0, le=100_000, allow_inf_nan=False)
    memory_mb: float = Field(default=64.0, gt=0, le=1e9, allow_inf_nan=False)


class JobBody(BaseModel):
    """A job: tasks that run in parallel and are answered together.

    :param tasks: the tasks; results are returned in this order.
    :param timeout_ms: time limit of the job, in milliseconds; defaults to that of the service.
    """

    model_config = ConfigDict(extra="forbid")

    tasks: list[TaskBody] = Field(min_length=1, max_length=10_000)
    timeout_ms: int | None = Field(default=None, ge=1, le=3_600_000)


def parse_job(body: bytes) -> Result[JobBody, tuple[str, ...]]:
    """Parse and validate the body of a job submission.

    :param body: JSON text.
    :returns: the job, or the location and reason of up to 20 errors.
    """
    try:
        job = JobBody.model_validate_json(body)
    except ValidationError as error:
        return Err(describe_errors(error)[:20])
    try:
        # The parser accepts NaN and numbers beyond the range of a float, which JSON cannot
        # represent.
        json.dumps([task.payload for task in job.tasks], allow_nan=False)
    except ValueError:
        return Err(("tasks: a payload contains a number that is not finite",))
    return Ok(job)


@dataclass(frozen=True, slots=True)
class Submission:
    """A job or request of a caller.

    :param service: name of the service.
    :param operation: name of the operation of a request; empty for a job.
    :param body: body as received.
    :param content_type: media type of the body.
    :param deadline: monotonic time at which the caller gives up, in seconds.
    """

    service: str
    operation: str
    body: bytes
    content_type: str
    deadline: float

    def fingerprint(self) -> str:
        """Return a digest of service, operation and body."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service.encode(), self.operation.encode(), self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()
