"""Several requests with one job id: which answer each of them gets."""

import functools
import logging
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import pytest
from result import Ok, Result

from redwingport_dispatch.front import JobApi
from redwingport_dispatch.holder import Holder, Job, JobEnd, Outcome, OwnerMessage
from redwingport_dispatch.interfaces import (
    Configuration,
    JobRequest,
    JobState,
    Route,
    StepRequest,
    TaskShape,
)
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import even_layout
from redwingport_dispatch.routes import RouteTable
from redwingport_messages.dispatch import CancelWork, SubmitWork, TaskNews, WorkRefused
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = tuple(
    Route(name, f"{name}.example", "/q/", "desk", 0, 3, 1.6, 0.06, 0.0) for name in ("a", "b")
)
JOB_ID = "5c0e7a21d94b36f8"
TIMEOUT_HEADER = b"timeout"
MAX_WAIT_S = 30


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


class TextFormat:
    """Jobs of one task whose body is their text."""

    def decode_job(self, body: bytes) -> Result[JobRequest, str]:
        return Ok(JobRequest(body.decode(), (StepRequest(1, TaskShape(1000, 64, 0, 0.1)),)))

    def encode_state(self, state: JobState) -> bytes:
        return state.encode()

    def encode_pending(self, count: int) -> bytes:
        return b"%d" % count

    def client_timeout_s(self, headers: Sequence[tuple[bytes, bytes]]) -> float | None:
        return next((float(value) for name, value in headers if name == TIMEOUT_HEADER), None)


class State:
    """State of a process that serves two queues."""

    draining = False
    configuration = Configuration(1, ROUTES, 1 << 20)
    routes = RouteTable(ROUTES)

    def is_ready(self) -> bool:
        return True


@dataclass(eq=False)
class Client:
    """One request; its answer, and the event that disconnects it."""

    left: anyio.Event
    status: int = 0
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    is_over: bool = False

    @property
    def answer(self) -> tuple[int, bytes]:
        return (self.status, self.body)


class Api:
    """HTTP interface of a process whose only shard has a scripted owner."""

    def __init__(self) -> None:
        self.sent: list[OwnerMessage] = []
        self.holder = Holder("me", self._send, lambda owner: 0.0, Metrics())
        self.holder.set_owners([ShardOwner("o", 1)], even_layout(1))
        self._application = JobApi(State(), self.holder, TextFormat())

    def _send(self, owner: str, message: OwnerMessage) -> bool:
        self.sent.append(message)
        return True

    def submissions(self) -> list[SubmitWork]:
        return [message for message in self.sent if isinstance(message, SubmitWork)]

    def complete(self, work_id: int = 1) -> None:
        self.holder.handle_notification("o", TaskNews([(work_id, 0, "done", 1, "s")]))

    async def call(
        self,
        client: Client,
        method: str = "POST",
        queue: str = "a",
        body: bytes = b"spec",
        timeout_s: float = MAX_WAIT_S,
    ) -> None:
        messages: list[MutableMapping[str, Any]] = [{"type": "http.request", "body": body}]

        async def receive() -> MutableMapping[str, Any]:
            if messages:
                return messages.pop()
            await client.left.wait()
            return {"type": "http.disconnect"}

        async def send(message: MutableMapping[str, Any]) -> None:
            client.status = message.get("status", client.status)
            client.headers = message.get("headers", client.headers)
            client.body += message.get("body", b"")

        headers = [
            (b"host", f"{queue}.example".encode()),
            (TIMEOUT_HEADER, str(timeout_s).encode()),
        ]
        scope = {"type": "http", "method": method, "path": f"/q/{JOB_ID}", "headers": headers}
        await self._application(scope, receive, send)
        client.is_over = True


class Requests:
    """Send requests in the background, each until it waits or is answered."""

    def __init__(self, api: Api, task_group: anyio.abc.TaskGroup) -> None:
        self._api = api
        self._task_group = task_group

    async def send(self, **call: Any) -> Client:
        [client] = await self.send_all(call)
        return client

    async def send_all(self, *calls: dict[str, Any]) -> list[Client]:
        """Send requests in one iteration of the event loop."""
        clients = [Client(anyio.Event()) for _ in calls]
        for client, call in zip(clients, calls, strict=True):
            self._task_group.start_soon(functools.partial(self._api.call, client, **call))
        await anyio.wait_all_tasks_blocked()
        return clients


def logged(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, object]]:
    """Return the fields of the lines of an event."""
    return [vars(record)["fields"] for record in caplog.records if record.getMessage() == event]


# Guards against a client that is told `canceled` because another client of its job disconnected.
@pytest.mark.parametrize("leaver", [0, 1])
async def test_job_goes_on_for_the_other_client_when_one_disconnects(
    leaver: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = [await requests.send(), await requests.send()]
        clients[leaver].left.set()
        await anyio.wait_all_tasks_blocked()
        assert clients[leaver].is_over
        assert not any(isinstance(message, CancelWork) for message in api.sent)
        api.complete()
    assert clients[1 - leaver].answer == (200, b"complete")
    assert clients[leaver].answer == (0, b"")
    [joined] = logged(caplog, "request-joined")
    [left] = logged(caplog, "request-left")
    [ended] = logged(caplog, "job-ended")
    assert (joined["job"], joined["waiters"]) == (JOB_ID, 2)
    assert (left["reason"], left["waiters"]) == ("client left", 1)
    assert (ended["requests"], ended["waiters"]) == (2, 1)


# Guards against tasks that run on for nobody.
async def test_job_is_stopped_when_its_last_client_disconnects() -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = [await requests.send(), await requests.send()]
        for client in clients:
            client.left.set()
        await anyio.wait_all_tasks_blocked()
        assert api.sent[-1] == CancelWork(1)
        assert not api.holder.job_by_id


# Guards against `canceled` as the answer to a POST, and against an answer on which the client
# would submit the job again.
async def test_every_client_of_a_deleted_job_is_told_that_it_failed() -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = [await requests.send(), await requests.send()]
        deletion = await requests.send(method="DELETE")
        assert deletion.answer == (200, b"cancelled")
    assert [client.answer for client in clients] == [(200, b"failed")] * 2
    assert CancelWork(1) in api.sent


# Guards against an end at the deadline of another client's request.
@pytest.mark.parametrize("timeouts_s", [(0.05, MAX_WAIT_S), (MAX_WAIT_S, 0.05)])
async def test_each_client_waits_until_its_own_deadline(timeouts_s: tuple[float, float]) -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = await requests.send_all(*({"timeout_s": s} for s in timeouts_s))
        shorter = timeouts_s.index(min(timeouts_s))
        while not clients[shorter].is_over:
            await anyio.sleep(0.01)
        assert clients[shorter].answer == (504, b"{}")
        assert not clients[1 - shorter].is_over
        api.complete()
    assert clients[1 - shorter].answer == (200, b"complete")


# Guards against a job that its owner abandons at the deadline of a client that has left.
async def test_owner_is_told_of_the_later_deadline_of_a_second_request() -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        await requests.send(timeout_s=MAX_WAIT_S)
        await requests.send(timeout_s=MAX_WAIT_S / 2)
        assert len(api.submissions()) == 1
        await requests.send(timeout_s=2 * MAX_WAIT_S)
        first, second = api.submissions()
        assert first.work_id == second.work_id
        assert first.deadline_ms <= 1000 * MAX_WAIT_S < second.deadline_ms
        api.complete()


# Guards against a refusal, which promises that the job never runs, of a job that goes on.
async def test_client_whose_deadline_passes_is_not_refused_while_another_waits() -> None:
    api = Api()
    api.holder.set_owners([ShardOwner("", 0)], even_layout(1))
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = await requests.send_all({"timeout_s": 0.05}, {"timeout_s": 0.3})
    assert [client.status for client in clients] == [504, 503]


async def test_every_client_of_a_refused_job_is_refused() -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        clients = [await requests.send(), await requests.send()]
        api.holder.handle_notification("o", WorkRefused(1, 1, "no server", 2))
    assert [client.status for client in clients] == [503, 503]


# Guards against an answer of another job: callers choose the ids, and two jobs may have the same.
@pytest.mark.parametrize("other", [{"queue": "b"}, {"body": b"other"}])
async def test_other_job_with_the_id_of_an_open_one_is_refused(other: dict[str, Any]) -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        first = await requests.send()
        second = await requests.send(**other)
        assert (second.status, second.body) == (503, b"{}")
        assert b"retry-after" in dict(second.headers)
        assert len(api.submissions()) == 1
        api.complete()
    assert first.answer == (200, b"complete")


# Guards against a refusal that lasts: the id is free as soon as the first job has ended.
async def test_other_job_with_the_id_of_an_ended_one_is_run() -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        await requests.send()
        api.complete()
        await anyio.wait_all_tasks_blocked()
        second = await requests.send(queue="b")
        assert not second.is_over
        api.complete(work_id=2)
    assert second.answer == (200, b"complete")


# Guards against a job that is shown to, or cancelled by, the callers of another queue.
@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_job_is_not_known_to_another_queue(method: str) -> None:
    api = Api()
    async with anyio.create_task_group() as task_group:
        requests = Requests(api, task_group)
        await requests.send()
        assert (await requests.send(method=method, queue="b")).answer == (410, b"{}")
        assert (await requests.send(method="GET")).answer == (200, b"queued")
        api.complete()


# Guards against a request that is answered with 500: an owner in this process reports the end of
# the first step while the steps of its job are submitted again for a later deadline.
async def test_request_joins_a_job_whose_step_ends_within_the_resubmission() -> None:
    ends: list[JobEnd] = []

    def send(owner: str, message: OwnerMessage) -> bool:
        if isinstance(message, SubmitWork) and len(sent) == 1:
            sent.append(message)
            holder.handle_notification(owner, TaskNews([(message.work_id, 0, "done", 1, "s")]))
        else:
            sent.append(message)
        return True

    def job(timeout_s: float) -> Job:
        shape = TaskShape(1000, 64, 0, 0.1)
        request = JobRequest("", (StepRequest(1, shape), StepRequest(1, shape, (0,))))
        now = anyio.current_time()
        return Job(JOB_ID, ROUTES[0], request, now, now + 1, now + timeout_s, "identity")

    async def run(timeout_s: float) -> None:
        ends.append(await holder.run(job(timeout_s)))

    sent: list[OwnerMessage] = []
    holder = Holder("me", send, lambda owner: 0.0, Metrics())
    holder.set_owners([ShardOwner("me", 1)], even_layout(1))
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(run, 5.0)
        await anyio.wait_all_tasks_blocked()
        task_group.start_soon(run, 10.0)
        await anyio.wait_all_tasks_blocked()
        holder.handle_notification("me", TaskNews([(2, 0, "done", 1, "s")]))
    assert [end.outcome for end in ends] == [Outcome.COMPLETE, Outcome.COMPLETE]
