"""Answers of the HTTP interface for clients."""

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest
from result import Ok

from redwingport_dispatch.front import JobApi
from redwingport_dispatch.holder import Holder, Job, JobEnd, Outcome
from redwingport_dispatch.interfaces import (
    Configuration,
    JobRequest,
    JobState,
    Route,
    StepRequest,
    TaskShape,
)
from redwingport_dispatch.routes import RouteTable

pytestmark = pytest.mark.anyio

ROUTE = Route("queue", "host", "/", "desk", 0, 3, 1.6, 0.06, 0.0)
PATH = "/0000000000000001"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Formats:
    """Accept any body as a job of one task."""

    def decode_job(self, body: bytes) -> Ok[JobRequest]:
        return Ok(JobRequest("", (StepRequest(1, TaskShape(1000, 64, 0, 0.1)),)))

    def client_timeout_s(self, headers: Sequence[tuple[bytes, bytes]]) -> float:
        return 10.0

    def encode_state(self, state: JobState) -> bytes:
        return state.encode()


class JobHolder:
    """Run each job until it is released.

    :param error: raised instead of an end.
    """

    def __init__(self, error: Exception | None = None) -> None:
        self._error = error
        self.started = anyio.Event()
        self.release = anyio.Event()
        self.was_cancelled = False

    async def run(self, job: Job) -> JobEnd:
        self.started.set()
        try:
            await self.release.wait()
        except BaseException:
            self.was_cancelled = True
            raise
        if self._error is not None:
            raise self._error
        return JobEnd(Outcome.COMPLETE, "")


class Client:
    """Send the messages of one request to the application and collect its answer."""

    def __init__(self, front: JobApi, *messages: dict[str, Any]) -> None:
        self._front = front
        self._messages = list(messages)
        self.answer: list[Any] = []

    async def submit(self, method: str = "POST") -> None:
        scope = {
            "type": "http",
            "method": method,
            "path": PATH,
            "headers": [(b"host", b"host")],
        }
        await self._front(scope, self._receive, self._send)

    async def _receive(self) -> dict[str, Any]:
        if not self._messages:
            await anyio.sleep_forever()
        return self._messages.pop(0)

    async def _send(self, message: Any) -> None:
        self.answer += [message.get("status"), message.get("body")]


REQUEST = {"type": "http.request", "body": b"{}"}
PARTIAL_REQUEST = {"type": "http.request", "body": b"{", "more_body": True}
DISCONNECT = {"type": "http.disconnect"}


def make_front(holder: JobHolder) -> JobApi:
    state = SimpleNamespace(
        draining=False, configuration=Configuration(1, (ROUTE,), 100), routes=RouteTable([ROUTE])
    )
    return JobApi(cast(Any, state), cast(Holder, holder), cast(Any, Formats()))


async def test_job_is_answered_with_its_state() -> None:
    holder = JobHolder()
    holder.release.set()
    client = Client(make_front(holder), REQUEST)
    await client.submit()
    assert client.answer == [200, None, None, b"complete"]


async def test_body_that_is_too_large_is_refused() -> None:
    client = Client(make_front(JobHolder()), {"type": "http.request", "body": b"x" * 101})
    await client.submit()
    assert client.answer == [413, None, None, b"{}"]


# Guards against an answer about the size of a body whose client has left.
async def test_client_that_leaves_before_the_end_of_its_body_is_not_answered() -> None:
    client = Client(make_front(JobHolder()), PARTIAL_REQUEST, DISCONNECT)
    await client.submit()
    assert client.answer == []


# Guards against a 500, which clients don't repeat, for a job that the end of its process cuts off.
async def test_open_job_of_a_process_that_ends_is_answered_as_unknown() -> None:
    holder = JobHolder()
    front = make_front(holder)
    client = Client(front, REQUEST)
    assert not front.abandon_jobs()
    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            group.start_soon(client.submit)
            await holder.started.wait()
            assert front.abandon_jobs()
    assert holder.was_cancelled
    assert client.answer == [504, None, None, b"{}"]


# Guards against a 500, which clients don't repeat, for a job whose outcome is unknown.
async def test_job_that_fails_unexpectedly_is_answered_as_unknown(
    caplog: pytest.LogCaptureFixture,
) -> None:
    holder = JobHolder(ValueError("no such task"))
    holder.release.set()
    client = Client(make_front(holder), REQUEST)
    await client.submit()
    assert client.answer == [504, None, None, b"{}"]
    (record,) = [record for record in caplog.records if record.getMessage() == "request-failed"]
    fields = vars(record)["fields"]
    assert (record.levelname, fields["method"], fields["path"]) == ("ERROR", "POST", PATH)
    assert "ValueError: no such task" in fields["traceback"]
    assert "in run" in fields["traceback"]


# Guards against a 500 for a request about a job whose state is unknown.
@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_request_that_fails_unexpectedly_is_answered_as_unknown(method: str) -> None:
    # The holder lacks what answers these.
    client = Client(make_front(JobHolder()), REQUEST)
    await client.submit(method)
    assert client.answer == [504, None, None, b"{}"]


# Guards against an answer of a request that is cancelled.
async def test_cancelled_request_is_not_answered() -> None:
    holder = JobHolder()
    client = Client(make_front(holder), REQUEST)
    async with anyio.create_task_group() as group:
        group.start_soon(client.submit)
        await holder.started.wait()
        group.cancel_scope.cancel()
    assert holder.was_cancelled
    assert client.answer == []


# Guards against jobs that are started and cut off shortly afterwards.
async def test_job_is_refused_after_the_drain() -> None:
    holder = JobHolder()
    front = make_front(holder)
    front.refuse_jobs()
    client = Client(front, REQUEST)
    await client.submit()
    assert client.answer == [503, None, None, b"{}"]
    assert not holder.started.is_set()
