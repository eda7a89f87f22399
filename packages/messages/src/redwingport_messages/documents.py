"""Service documents: the configuration of a service, maintained by its team."""

import json
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from result import Err, Ok, Result

from redwingport_messages.ids import NAME_PATTERN

Name = Annotated[str, StringConstraints(pattern=rf"^{NAME_PATTERN}$")]
MAX_DOCUMENT_BYTES = 64 * 1024
# An answer has to fit into one frame between entry processes (16 MiB).
MAX_ANSWER_BYTES = 12 * 1024 * 1024


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class OperationSpec(_StrictModel):
    """Settings of one request operation.

    :param idempotent: whether a request that may have run can be retried.
    :param timeout_ms: total time limit of a request, in milliseconds.
    :param expected_ms: run time assumed until one of this operation has been measured, in
        milliseconds.
    """

    idempotent: bool = False
    timeout_ms: int = Field(default=5_000, ge=1, le=600_000)
    expected_ms: int = Field(default=100, ge=1, le=600_000)


class JobSpec(_StrictModel):
    """Limits of the jobs of a service.

    :param max_tasks: maximum number of tasks in one job.
    :param timeout_ms: total time limit of a job, in milliseconds.
    :param max_answer_bytes: maximum total size of the results in one answer, in bytes.
    """

    max_tasks: int = Field(default=150, ge=1, le=1_000)
    timeout_ms: int = Field(default=60_000, ge=1, le=3_600_000)
    max_answer_bytes: int = Field(default=8 * 1024 * 1024, ge=1, le=MAX_ANSWER_BYTES)


class RetrySpec(_StrictModel):
    """Retry limits of idempotent requests.

    :param budget_percent: number of retries allowed per hundred first attempts.
    :param max_attempts: maximum number of attempts of one request, including the first.
    """

    budget_percent: int = Field(default=10, ge=0, le=100)
    max_attempts: int = Field(default=3, ge=1, le=10)


class ServiceDocument(_StrictModel):
    """Configuration of one service, maintained by its team.

    :param name: name of the service.
    :param team: the owning team.
    :param response_weight: 1 to minimize response time, 0 to minimize messages.
    :param operations: request operations by name.
    :param jobs: limits of jobs; absent if the service accepts no jobs.
    :param retry: retry limits.
    :param queue_limit: maximum number of tasks waiting in one entry process.
    :param deleted: whether the service has been deleted by this revision.
    """

    name: Name
    team: Name
    response_weight: float = Field(default=0.5, ge=0.0, le=1.0)
    operations: dict[Name, OperationSpec] = Field(default_factory=dict)
    jobs: JobSpec | None = None
    retry: RetrySpec = RetrySpec()
    queue_limit: int = Field(default=10_000, ge=1, le=1_000_000)
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A service document with its revision.

    :param revision: revision in the platform's table, from 1.
    :param document: the validated document.
    """

    revision: int
    document: ServiceDocument

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return self.document.name


def parse_document(text: bytes | str) -> Result[ServiceDocument, tuple[str, ...]]:
    """Parse and validate a service document.

    :param text: JSON text of at most :data:`MAX_DOCUMENT_BYTES` bytes.
    :returns: the document, or the location and reason of every error.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return Err((f"document: longer than {MAX_DOCUMENT_BYTES} bytes",))
    try:
        return Ok(ServiceDocument.model_validate_json(text))
    except ValidationError as error:
        return Err(describe_errors(error))


def describe_errors(error: ValidationError) -> tuple[str, ...]:
    """Return the location and reason of every validation error.

    :param error: errors reported by a model; the values that failed are left out.
    :returns: one text for each error, for example ``tasks.0.cpus: Input should be ...``.
    """
    return tuple(
        f"{'.'.join(str(part) for part in item['loc']) or 'document'}: {item['msg']}"
        for item in error.errors(include_input=False, include_url=False)
    )


def document_text(document: ServiceDocument) -> str:
    """Serialize a document as JSON with sorted keys."""
    return json.dumps(document.model_dump(mode="json"), sort_keys=True)
