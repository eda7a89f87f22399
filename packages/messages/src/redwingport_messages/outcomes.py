"""Outcomes of submissions and the answers that report them (RFC 9457)."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

PROBLEM_CONTENT_TYPE = "application/problem+json"


class Outcome(StrEnum):
    """Say what is known about the tasks of a submission."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome-unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe why a submission or a command was not completed.

    :param outcome: what is known about the work.
    :param status: HTTP status code.
    :param code: stable name of the problem, in kebab case.
    :param detail: one sentence for the reader.
    :param step: where the problem arose.
    :param peer: the process or server on the other side, if any.
    :param retryable: whether the same submission may be sent again with a chance of success.
    :param retry_after_s: seconds to wait before that, 0 when not stated.
    :param errors: places of the errors in a refused document or body.
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
        """Return the members of the problem details object."""
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
    """Hold the whole answer to one submission.

    :param outcome: what is known about the tasks.
    :param status: HTTP status code.
    :param content_type: media type of the body.
    :param body: the bytes for the caller.
    :param retry_after_s: value for ``Retry-After``, 0 for none.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes
    retry_after_s: float = field(default=0.0)


def answer_of_problem(problem: Problem) -> Answer:
    """Turn a problem into the answer that reports it."""
    return Answer(
        problem.outcome,
        problem.status,
        PROBLEM_CONTENT_TYPE,
        json.dumps(problem.as_json()).encode(),
        problem.retry_after_s,
    )


def not_run(status: int, code: str, detail: str, **members: Any) -> Problem:
    """Describe a refusal: no task has started and none will."""
    return Problem(Outcome.NOT_RUN, status, code, detail, **members)


def failed(code: str, detail: str, **members: Any) -> Problem:
    """Describe the final end of a submission without a complete answer."""
    return Problem(Outcome.FAILED, 502, code, detail, **members)


def outcome_unknown(code: str, detail: str, status: int = 504, **members: Any) -> Problem:
    """Describe a submission of which it cannot be known whether it ran."""
    return Problem(Outcome.OUTCOME_UNKNOWN, status, code, detail, **members)
