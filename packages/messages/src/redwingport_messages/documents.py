"""Service documents: what one team states about one service."""

import json
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from result import Err, Ok, Result

from redwingport_messages.ids import NAME_PATTERN

Name = Annotated[str, StringConstraints(pattern=rf"^{NAME_PATTERN}$")]
MAX_DOCUMENT_BYTES = 64 * 1024
# An answer has to fit into one frame between processes (16 MiB).
MAX_ANSWER_BYTES = 12 * 1024 * 1024


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class OperationSpec(_StrictModel):
    """State how requests of one operation are treated.

    :param idempotent: whether a request that may have run may be sent again.
    :param timeout_ms: time a request may take in all, in milliseconds.
    :param expected_ms: run time to assume before the first answer, in milliseconds.
    """

    idempotent: bool = False
    timeout_ms: int = Field(default=5_000, ge=1, le=600_000)
    expected_ms: int = Field(default=100, ge=1, le=600_000)


class JobSpec(_StrictModel):
    """State the limits of the jobs of a service.

    :param max_tasks: most tasks in one job.
    :param timeout_ms: time a job may take in all, in milliseconds.
    :param max_answer_bytes: most bytes of results in one answer.
    """

    max_tasks: int = Field(default=150, ge=1, le=1_000)
    timeout_ms: int = Field(default=60_000, ge=1, le=3_600_000)
    max_answer_bytes: int = Field(default=8 * 1024 * 1024, ge=1, le=MAX_ANSWER_BYTES)


class RetrySpec(_StrictModel):
    """State the limits of retries of idempotent requests.

    :param budget_percent: retries allowed per hundred first attempts.
    :param max_attempts: most attempts of one request, the first included.
    """

    budget_percent: int = Field(default=10, ge=0, le=100)
    max_attempts: int = Field(default=3, ge=1, le=10)


class ServiceDocument(_StrictModel):
    """Describe one service; owned and edited by its team.

    :param name: name of the service.
    :param team: the owning team.
    :param response_weight: 1 favours response time, 0 favours few messages.
    :param operations: request operations by name.
    :param jobs: limits of jobs; absent when the service takes none.
    :param retry: limits of retries.
    :param queue_limit: most tasks waiting in one entry process.
    :param deleted: marks the last revision of a deleted service.
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
    """Hold a service document with its revision.

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
    """Validate a service document.

    :param text: JSON text of at most :data:`MAX_DOCUMENT_BYTES` bytes.
    :returns: the document, or the place and reason of every error.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return Err((f"document: longer than {MAX_DOCUMENT_BYTES} bytes",))
    try:
        return Ok(ServiceDocument.model_validate_json(text))
    except ValidationError as error:
        return Err(describe_errors(error))


def describe_errors(error: ValidationError) -> tuple[str, ...]:
    """List the place and reason of every error found by a model."""
    return tuple(
        f"{'.'.join(str(part) for part in item['loc']) or 'document'}: {item['msg']}"
        for item in error.errors(include_input=False, include_url=False)
    )


def document_text(document: ServiceDocument) -> str:
    """Return the JSON text of a document, with sorted keys."""
    return json.dumps(document.model_dump(mode="json"), sort_keys=True)
