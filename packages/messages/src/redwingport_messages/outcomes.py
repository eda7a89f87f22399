"""Outcomes of submissions and problem details (RFC 9457)."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

PROBLEM_CONTENT_TYPE = "application/problem+json"


class Outcome(StrEnum):
    """What is known about the execution of a submission."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome-unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """Reason why a submission or command has not been completed.

    :param outcome: what is known about the execution.
    :param status: HTTP status code.
    :param code: stable identifier of the problem, in kebab case.
    :param detail: explanation for humans, in one sentence.
    :param step: operation in which the problem occurred.
    :param peer: remote process or server involved, if any.
    :param retryable: whether resubmitting the same submission may succeed.
    :param retry_after_s: time to wait before a resubmission, in seconds; 0 if unspecified.
    :param errors: locations and reasons of the errors in a rejected document or body.
    """

    outcome: Outcome
    status: int
    code: str
    detail: str
    step: str = ""
    peer: str = ""
    retryable: bool = False
    retry_after_s: float = 0.0
    errors: tuple[str, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the members of the problem details JSON object."""
        members: dict[str, Any] = {
            "type": f"urn:redwingport:problem:{self.code}",
            "title": self.code.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "outcome": str(self.outcome),
            "retryable": self.retryable,
            "step": self.step,
            "peer": self.peer,
        }
        if self.errors:
            members["errors"] = list(self.errors)
        return members


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to one submission.

    :param outcome: what is known about the execution.
    :param status: HTTP status code.
    :param content_type: media type of the body.
    :param body: response body for the caller.
    :param retry_after_s: value of ``Retry-After``, in seconds; 0 for none.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes
    retry_after_s: float = field(default=0.0)


def answer_of_problem(problem: Problem) -> Answer:
    """Convert a problem to the answer that reports it."""
    return Answer(
        problem.outcome,
        problem.status,
        PROBLEM_CONTENT_TYPE,
        json.dumps(problem.as_json()).encode(),
        problem.retry_after_s,
    )


def not_run(status: int, code: str, detail: str, **members: Any) -> Problem:
    """Return the problem for a rejection: no task has started and none will."""
    return Problem(Outcome.NOT_RUN, status, code, detail, **members)


def failed(code: str, detail: str, **members: Any) -> Problem:
    """Return the problem for a submission that failed permanently without a complete answer."""
    return Problem(Outcome.FAILED, 502, code, detail, **members)


def outcome_unknown(code: str, detail: str, status: int = 504, **members: Any) -> Problem:
    """Return the problem for a submission of which it is unknown whether it has run."""
    return Problem(Outcome.OUTCOME_UNKNOWN, status, code, detail, **members)
