"""Helpers of the HTTP API that build responses and read request bodies."""

import json
import math
from typing import Any

import anyio
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from redwingport_messages.backend import HEADER_OUTCOME, HEADER_SUBMISSION
from redwingport_messages.outcomes import Answer, Problem, answer_of_problem, not_run

BODY_TIMEOUT_S = 30.0


def json_response(body: Any, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return a JSON response."""
    content = json.dumps(body).encode()
    return Response(content, status, headers, media_type="application/json")


def answer_response(answer: Answer, submission_id: str = "") -> Response:
    """Return the HTTP response for an answer.

    :param answer: the answer.
    :param submission_id: the submission id, or an empty string.
    """
    headers = {HEADER_OUTCOME: str(answer.outcome)}
    if submission_id:
        headers[HEADER_SUBMISSION] = submission_id
    if answer.retry_after_s:
        headers["Retry-After"] = str(math.ceil(answer.retry_after_s))
    headers["Content-Type"] = answer.content_type
    return Response(answer.body, answer.status, headers)


def problem_response(problem: Problem) -> Response:
    """Return the HTTP response for a problem."""
    return answer_response(answer_of_problem(problem))


def is_number(text: str, minimum: int, maximum: int) -> bool:
    """Return whether a text is a decimal number in a range.

    Texts with more digits than the largest number are rejected without conversion: its time grows
    with the square of the number of digits, and Python refuses more than 4,300 of them.

    :param text: the text.
    :param minimum: smallest number allowed.
    :param maximum: largest number allowed.
    """
    return text.isdecimal() and len(text) <= len(str(maximum)) and minimum <= int(text) <= maximum


async def read_request_body(request: Request, limit: int) -> Result[bytes, Problem]:
    """Read the body of a request.

    :param request: the request.
    :param limit: maximum size of the body, in bytes.
    :returns: the body, or the refusal when it is too long, too slow or cut off.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                size += len(chunk)
                if size > limit:
                    detail = f"The body exceeds {limit} bytes."
                    return Err(not_run(413, "body-too-large", detail, step="read body"))
                chunks.append(chunk)
    except ClientDisconnect:
        return Err(
            not_run(
                400,
                "body-cut",
                "The caller closed the connection before the end of the body.",
                step="read body",
            )
        )
    except TimeoutError:
        return Err(not_run(408, "body-slow", "The body did not arrive in time.", step="read body"))
    return Ok(b"".join(chunks))
