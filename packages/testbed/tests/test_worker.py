"""Guard against a stand-in worker that hides faults of the entry process.

This happens if it miscounts slots or starts, or does not enforce leases.
"""

import json
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from redwingport_messages.backend import StartRequest, TaskStart
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.standins.server import Site, serving
from redwingport_testbed.standins.worker import Worker, WorkerSettings

pytestmark = pytest.mark.anyio
SLOTS = 2
LEASE_MS = 300.0


class Caller:
    """Send requests to one worker."""

    def __init__(self, worker: Worker, port: int) -> None:
        self.worker = worker
        self.port = port
        self.client = HttpClient()

    async def post(self, path: str, body: bytes) -> bytes:
        url = f"http://127.0.0.1:{self.port}{path}"
        return (await self.client.request("POST", url, body)).body

    async def start(self, tasks: int, **members: Any) -> list[dict[str, Any]]:
        return [
            json.loads(line)
            for line in (await self.post("/v1/starts", start_body(tasks, **members))).splitlines()
        ]


def start_body(
    tasks: int,
    submission: str = "s",
    holder: str = "h",
    lease: str = "",
    hold_ms: int = 0,
    start_before: float = 0.0,
    work_ms: float = 20.0,
    **payload: Any,
) -> bytes:
    work = {"work_ms": work_ms, **payload}
    starts = tuple(TaskStart(n, 0, work, work_ms, 1.0, 64.0) for n in range(tasks))
    return StartRequest(
        submission, "route-build", holder, lease, hold_ms, start_before, starts
    ).encode()


@pytest.fixture
async def caller() -> AsyncIterator[Caller]:
    worker = Worker(WorkerSettings("w", slots=SLOTS, lease_ms=LEASE_MS))
    async with serving([Site(worker.app, 0)]) as ports:
        caller = Caller(worker, ports[0])
        yield caller
        await caller.client.aclose()


async def test_tasks_beyond_the_slots_are_declined_and_never_run(caller: Caller) -> None:
    answer, *ends = await caller.start(SLOTS + 1, token="t")
    assert (answer["started"], answer["declined"]) == ([0, 1], [2])
    assert answer["reason"] == "no-slot"
    assert [(end["status"], end["result"]["token"]) for end in ends] == [("done", "t")] * SLOTS
    assert caller.worker.starts.starts() == [("s", 0), ("s", 1)]


async def test_a_held_slot_is_unavailable_to_other_holders_until_the_hold_ends(
    caller: Caller,
) -> None:
    _, *ends = await caller.start(SLOTS, hold_ms=100)
    assert ends[-1]["load"] == {"slots": SLOTS, "free": 0, "held": SLOTS, "leaving": False}
    other = await caller.start(1, submission="o", holder="other")
    assert other[0]["declined"] == [0]
    assert (await caller.start(1, submission="s2", hold_ms=100))[0]["started"] == [0]
    await anyio.sleep(0.15)
    assert (await caller.start(1, submission="o", holder="other"))[0]["started"] == [0]


async def test_a_lapsed_lease_is_the_reason_only_when_no_slot_is_free(caller: Caller) -> None:
    lease = (await caller.start(1, hold_ms=10_000))[0]["lease"]
    await anyio.sleep(LEASE_MS / 1_000)
    answer = (await caller.start(1, submission="s2", lease=lease))[0]
    assert answer["started"] == [0]
    assert answer["lease"] not in ("", lease)
    async with anyio.create_task_group() as group:
        group.start_soon(lambda: caller.start(SLOTS, submission="o", holder="o", work_ms=500))
        await anyio.sleep(LEASE_MS / 1_000 + 0.05)
        answer = (await caller.start(1, submission="s3", lease=lease))[0]
        assert (answer["reason"], answer["lease"]) == ("lease-lapsed", "")


async def test_a_start_after_its_latest_time_is_declined(caller: Caller) -> None:
    clock = (await caller.start(1))[0]["clock"]
    late = await caller.start(1, submission="late", start_before=clock)
    assert (late[0]["reason"], late[0]["declined"]) == ("late", [0])
    assert (await caller.start(1, start_before=clock + 60))[0]["started"] == [0]


async def test_tasks_continue_after_the_connection_is_lost(caller: Caller) -> None:
    body = start_body(1, work_ms=100)
    stream = await anyio.connect_tcp("127.0.0.1", caller.port)
    head = f"POST /v1/starts HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
    await stream.send(head.encode() + body)
    await stream.receive()
    await anyio.aclose_forcefully(stream)
    await anyio.sleep(0.2)
    assert caller.worker.counts["done"] == 1


async def test_a_second_start_of_the_same_task_is_counted(caller: Caller) -> None:
    await caller.start(1)
    await caller.start(1)
    assert caller.worker.starts.as_json() == {"starts": 2, "distinct": 1, "duplicates": 1}


async def test_a_stopped_task_ends_before_its_time(caller: Caller) -> None:
    async with anyio.create_task_group() as group:
        ends: list[dict[str, Any]] = []

        async def start() -> None:
            ends.extend(await caller.start(1, work_ms=60_000))

        group.start_soon(start)
        await anyio.sleep(0.05)
        await caller.post("/v1/stops", b'{"submission":"s","tasks":[0]}')
    assert ends[1]["status"] == "stopped"


async def test_a_hanging_worker_handles_a_start_after_the_hang(caller: Caller) -> None:
    await caller.post("/control/faults", b'{"hang":true}')
    with anyio.move_on_after(0.1) as scope:
        await caller.start(1)
    assert scope.cancelled_caught
    assert not caller.worker.starts.starts()
    await caller.post("/control/faults", b'{"hang":false}')
    await anyio.sleep(0.05)
    assert caller.worker.starts.starts() == [("s", 0)]
