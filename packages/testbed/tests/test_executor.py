"""Guard against a stand-in executor that hides faults of the entry process.

This happens if it accepts too many connections, or if faults in its answers take no effect.
"""

import json
from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.to_thread import run_sync

from redwingport_messages.backend import HEADER_LOAD, HEADER_SUBMISSION, ExecutorLoad, parse_load
from redwingport_testbed.cluster.raw import answer_of, http_request
from redwingport_testbed.http_client import ConnectionBrokenError, HttpAnswer, HttpClient
from redwingport_testbed.standins.executor import Executor, ExecutorSettings
from redwingport_testbed.standins.server import Site, serving

pytestmark = pytest.mark.anyio
SLOTS = 2
MAX_CONNECTIONS = 4


class Caller:
    """Send requests to one executor."""

    def __init__(self, executor: Executor, port: int) -> None:
        self.executor = executor
        self.port = port
        self.url = f"http://127.0.0.1:{port}"
        self.client = HttpClient()

    async def run(self, submission: str, work_ms: float = 10.0) -> HttpAnswer:
        body = json.dumps({"work_ms": work_ms, "token": submission}).encode()
        headers = {HEADER_SUBMISSION: submission}
        return await self.client.request(
            "POST", f"{self.url}/operations/stop-check", body, headers
        )

    async def set_faults(self, **faults: bool) -> None:
        body = json.dumps(faults).encode()
        answer = await self.client.request("POST", f"{self.url}/control/faults", body)
        assert answer.status == 200


@pytest.fixture
async def caller() -> AsyncIterator[Caller]:
    executor = Executor(ExecutorSettings("e", slots=SLOTS))
    site = Site(executor.app, 0, max_connections=MAX_CONNECTIONS)
    async with serving([site]) as ports:
        caller = Caller(executor, ports[0])
        yield caller
        await caller.client.aclose()


async def test_an_answer_echoes_the_submission_and_reports_the_load(caller: Caller) -> None:
    answer = await caller.run("s1")
    assert json.loads(answer.body) == {"token": "s1", "operation": "stop-check"}
    assert answer.headers[HEADER_SUBMISSION.lower()] == "s1"
    load = parse_load(answer.headers[HEADER_LOAD.lower()])
    assert load.ok_value == ExecutorLoad(SLOTS, 0, 0, False)


async def test_requests_beyond_the_slots_run_in_the_order_of_arrival(caller: Caller) -> None:
    ended: list[str] = []

    async def run(name: str) -> None:
        await caller.run(name, work_ms=50)
        ended.append(name)

    async with anyio.create_task_group() as group:
        for name in ("a", "b", "c", "d"):
            group.start_soon(run, name)
            await anyio.sleep(0.01)
    assert ended == ["a", "b", "c", "d"]
    assert caller.executor.starts.as_json()["duplicates"] == 0


async def test_connections_beyond_the_limit_are_closed(caller: Caller) -> None:
    broken = 0

    async def run(number: int) -> None:
        nonlocal broken
        try:
            await caller.run(f"s{number}", work_ms=100)
        except ConnectionBrokenError:
            broken += 1

    async with anyio.create_task_group() as group:
        for number in range(MAX_CONNECTIONS + 3):
            group.start_soon(run, number)
    assert broken == 3


async def test_a_truncated_answer_is_not_accepted_as_complete(caller: Caller) -> None:
    await caller.set_faults(truncate=True)
    with pytest.raises(ConnectionBrokenError):
        await caller.run("s1")


# Guards against entry processes that get half an answer from a stand-in without such a fault.
async def test_an_answer_arrives_in_one_segment(caller: Caller) -> None:
    request = http_request("POST /operations/stop-check", b'{"work_ms": 1}')
    answer, segments = await run_sync(answer_of, caller.port, request)
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b'"operation":"stop-check"}')
    assert segments == 1


async def test_a_wrong_echo_names_another_submission(caller: Caller) -> None:
    await caller.set_faults(wrong_echo=True)
    assert (await caller.run("s1")).headers[HEADER_SUBMISSION.lower()] != "s1"


async def test_a_failing_executor_answers_500_at_once(caller: Caller) -> None:
    await caller.set_faults(fails_everything=True)
    with anyio.fail_after(1):
        assert (await caller.run("s1", work_ms=60_000)).status == 500
