"""Client for entry processes, with checks that an answer matches its submission."""

import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from redwingport_messages.backend import HEADER_OUTCOME, HEADER_SUBMISSION
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import ConnectionBrokenError, HttpAnswer, HttpClient

JSON_HEADERS = {"content-type": "application/json"}
NO_ANSWER = "no-answer"
WRONG_ANSWER = "wrong-answer"
COMPLETE = "complete"


@dataclass(frozen=True, slots=True)
class Call:
    """Store a submission and the tokens that its complete answer has to echo.

    :param service: name of the service.
    :param operation: name of a request's operation; empty for a job.
    :param tokens: tokens of the tasks, in order; one for a request.
    :param body: body as JSON text.
    :param work_ms: work of the longest task, in milliseconds at speed 1.
    """

    service: str
    operation: str
    tokens: tuple[str, ...]
    body: bytes
    work_ms: float

    @property
    def path(self) -> str:
        """Return the URL path at an entry process."""
        if self.operation:
            return f"/v1/services/{self.service}/operations/{self.operation}"
        return f"/v1/services/{self.service}/jobs"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe the result of a submission.

    :param name: the reported outcome, ``no-answer``, or ``wrong-answer`` if an answer with status
        200 is not the complete answer to this submission.
    :param status: HTTP status code, 0 for no answer.
    :param problem: name of the reported problem; empty if none.
    :param body: body of the answer.
    """

    name: str
    status: int
    problem: str
    body: bytes


def make_job(service: str, works_ms: Sequence[float], rng: random.Random) -> Call:
    """Make a job with one task per given amount of work, in milliseconds at speed 1."""
    tokens = tuple(f"{rng.getrandbits(64):016x}" for _ in works_ms)
    tasks = [
        {"payload": {"work_ms": work_ms, "token": token}, "expected_ms": work_ms}
        for work_ms, token in zip(works_ms, tokens, strict=True)
    ]
    return Call(service, "", tokens, json.dumps({"tasks": tasks}).encode(), max(works_ms))


def make_request(service: str, operation: str, work_ms: float, rng: random.Random) -> Call:
    """Make a single request."""
    token = f"{rng.getrandbits(64):016x}"
    body = json.dumps({"work_ms": work_ms, "token": token}).encode()
    return Call(service, operation, (token,), body, work_ms)


class EntryClient:
    """Call one entry process.

    :param client: HTTP client with the connections to use.
    :param url: base URL of the process, ``http://IP:PORT``.
    """

    def __init__(self, client: HttpClient, url: str) -> None:
        self.url = url
        self._client = client

    async def submit(self, call: Call, headers: Mapping[str, str] | None = None) -> Outcome:
        """Send a submission once and check its answer."""
        try:
            answer = await self._client.request(
                "POST", self.url + call.path, call.body, {**JSON_HEADERS, **(headers or {})}
            )
        except ConnectionBrokenError:
            return Outcome(NO_ANSWER, 0, "", b"")
        return judge(call, answer)

    async def issue_id(self) -> str:
        """Request a submission id.

        :raises TestbedError: if the process issues none.
        """
        answer = await self._client.request("POST", f"{self.url}/v1/submissions?count=1")
        try:
            return str(json.loads(answer.body)["submissions"][0])
        except (ValueError, LookupError, TypeError) as error:
            reason = f"status {answer.status}: {answer.body[:200]!r}"
            raise TestbedError("issue id", reason) from error

    async def create_service(self, document: Mapping[str, Any], token: str) -> None:
        """Create a service document.

        :raises TestbedError: if the request is refused.
        """
        answer = await self._client.request(
            "PUT",
            f"{self.url}/v1/services/{document['name']}",
            json.dumps(document).encode(),
            {**JSON_HEADERS, "authorization": f"Bearer {token}", "if-none-match": "*"},
        )
        if answer.status not in (200, 201):
            reason = f"status {answer.status}: {answer.body[:300]!r}"
            raise TestbedError(f"create service {document['name']}", reason)

    async def knows_service(self, name: str, token: str) -> bool:
        """Return whether a service document is in force at this process."""
        headers = {"authorization": f"Bearer {token}"}
        answer = await self._client.request(
            "GET", f"{self.url}/v1/services/{name}", headers=headers
        )
        return answer.status == 200

    async def ready(self) -> bool:
        """Return whether the process reports to be ready."""
        try:
            answer = await self._client.request("GET", f"{self.url}/readyz")
        except ConnectionBrokenError:
            return False
        return answer.status == 200


def resubmission(submission_id: str) -> dict[str, str]:
    """Return the headers that send a submission under an issued id."""
    return {HEADER_SUBMISSION: submission_id}


def judge(call: Call, answer: HttpAnswer) -> Outcome:
    """Return the outcome that an answer reports, and check the content of a complete answer."""
    try:
        content = json.loads(answer.body)
    except ValueError:
        content = None
    members = content if isinstance(content, dict) else {}
    if answer.status == 200:
        name = COMPLETE if _is_complete(call, members) else WRONG_ANSWER
        return Outcome(name, answer.status, "", answer.body)
    name = answer.headers.get(HEADER_OUTCOME.lower()) or str(members.get("outcome", "unnamed"))
    problem = str(members.get("type", "")).rpartition(":")[2]
    return Outcome(name, answer.status, problem, answer.body)


def _is_complete(call: Call, members: dict[str, Any]) -> bool:
    if call.operation:
        return (members.get("token"), members.get("operation")) == (
            call.tokens[0],
            call.operation,
        )
    results = members.get("results")
    if not isinstance(results, list) or not all(isinstance(item, dict) for item in results):
        return False
    expected = list(enumerate(call.tokens))
    return [(item.get("task"), item.get("token")) for item in results] == expected
