"""Routes of callers: submission ids, jobs, requests, answers and cancellation."""

import re
from dataclasses import replace

import anyio
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from redwingport_entry.api.responses import (
    answer_response,
    is_number,
    json_response,
    problem_response,
    read_request_body,
)
from redwingport_entry.submissions import Submissions
from redwingport_messages.backend import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_SUBMISSION,
    HEADER_TIMEOUT_MS,
)
from redwingport_messages.ids import SubmissionId, parse_submission_id
from redwingport_messages.outcomes import Outcome, Problem, not_run
from redwingport_messages.submissions import Submission

DEFAULT_TIMEOUT_MS = 60_000
MAX_TIMEOUT_MS = 3_600_000
MAX_IDS = 10_000
READ_TIMEOUT_S = 3.0
_KEY = re.compile(r"[!-~]{1,200}")


class CallerRoutes:
    """Serve the routes of callers.

    :param submissions: the submissions of this process.
    :param max_body_bytes: largest body accepted, in bytes.
    """

    def __init__(self, submissions: Submissions, max_body_bytes: int) -> None:
        self._submissions = submissions
        self._max_body_bytes = max_body_bytes

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route(
                "/v1/services/{service}/operations/{operation}",
                self.submit_request,
                methods=["POST"],
            ),
            Route("/v1/services/{service}/jobs", self.submit_job, methods=["POST"]),
            Route("/v1/submissions", self.issue, methods=["POST"]),
            Route("/v1/submissions/{id}", self.read, methods=["GET"]),
            Route("/v1/submissions/{id}", self.cancel, methods=["DELETE"]),
        ]

    async def issue(self, request: Request) -> Response:
        """Issue submission ids: ``POST /v1/submissions?count=N``."""
        text = request.query_params.get("count", "1")
        if not is_number(text, 1, MAX_IDS):
            detail = f"count must be a number from 1 to {MAX_IDS}."
            return problem_response(not_run(400, "invalid-count", detail, step="parse"))
        ids = [str(self._submissions.table.issue()) for _ in range(int(text))]
        return json_response({"submissions": ids}, 201)

    async def submit_job(self, request: Request) -> Response:
        """Run a job: ``POST /v1/services/{service}/jobs``."""
        return await self._submit(request, "")

    async def submit_request(self, request: Request) -> Response:
        """Run a request: ``POST /v1/services/{service}/operations/{operation}``."""
        return await self._submit(request, request.path_params["operation"])

    async def read(self, request: Request) -> Response:
        """Return the answer of a submission: ``GET /v1/submissions/{id}``."""
        return await self._read_or_cancel(request, "read")

    async def cancel(self, request: Request) -> Response:
        """Cancel a submission: ``DELETE /v1/submissions/{id}``."""
        return await self._read_or_cancel(request, "cancel")

    async def _submit(self, request: Request, operation: str) -> Response:
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "").strip('"')
        id_text = request.headers.get(HEADER_SUBMISSION, "")
        timeout_ms = _timeout_ms(request)
        if isinstance(timeout_ms, Err):
            return problem_response(
                _refusal_of_unread_request(timeout_ms.err_value, key or id_text)
            )
        if (key and id_text) or (key and _KEY.fullmatch(key) is None):
            detail = (
                "Idempotency-Key must be 1 to 200 visible ASCII characters and cannot be combined "
                "with a submission id."
            )
            problem = not_run(400, "invalid-key", detail, step="parse")
            return problem_response(_refusal_of_unread_request(problem, id_text))
        deadline = anyio.current_time() + timeout_ms.ok_value / 1000.0
        body = await read_request_body(request, self._max_body_bytes)
        if isinstance(body, Err):
            return problem_response(_refusal_of_unread_request(body.err_value, key or id_text))
        submission = Submission(
            request.path_params["service"],
            operation,
            body.ok_value,
            request.headers.get("content-type", "application/octet-stream"),
            deadline,
        )
        submission_id, answer = await self._submissions.submit(submission, id_text, key)
        return answer_response(answer, submission_id)

    async def _read_or_cancel(self, request: Request, kind: str) -> Response:
        parsed = parse_submission_id(request.path_params["id"])
        if isinstance(parsed, Err):
            return problem_response(not_run(400, "invalid-id", parsed.err_value, step="parse"))
        submission_id = parsed.ok_value
        deadline = anyio.current_time() + READ_TIMEOUT_S
        submissions = self._submissions
        if submission_id.incarnation != submissions.table.issuer.incarnation:
            empty = Submission("", "", b"", "", deadline)
            answer = await submissions.forward(kind, submission_id, empty)
            return answer_response(answer, str(submission_id))
        if kind == "cancel":
            answer = await submissions.cancel(submission_id, deadline)
            return answer_response(answer, str(submission_id))
        return await self._read_own(submission_id, deadline)

    async def _read_own(self, submission_id: SubmissionId, deadline: float) -> Response:
        answer = await self._submissions.read(submission_id, deadline)
        if answer is not None:
            return answer_response(answer, str(submission_id))
        found = self._submissions.table.find(submission_id)
        used = isinstance(found, Ok) and found.ok_value is not None
        state = "running" if used else "unused"
        return json_response({"submission": str(submission_id), "state": state}, 202)


def _refusal_of_unread_request(problem: Problem, id_or_key: str) -> Problem:
    """Return the problem of a request that was refused before it was read.

    An earlier request with the same id or key may have run, which only its owner knows; the
    outcome is then unknown.

    :param problem: the reason of the refusal.
    :param id_or_key: the id or key of the request, or an empty string.
    """
    if not id_or_key:
        return problem
    return replace(problem, outcome=Outcome.OUTCOME_UNKNOWN)


def _timeout_ms(request: Request) -> Result[int, Problem]:
    text = request.headers.get(HEADER_TIMEOUT_MS, str(DEFAULT_TIMEOUT_MS))
    if not is_number(text, 1, MAX_TIMEOUT_MS):
        detail = f"{HEADER_TIMEOUT_MS} must be a number from 1 to {MAX_TIMEOUT_MS}."
        return Err(not_run(400, "invalid-timeout", detail, step="parse"))
    return Ok(int(text))
