"""P3: guard against a caller that receives another's answer, or a part of its own.

Answers are late, reordered, swapped, duplicated, truncated or carry wrong echo headers.
"""

import json
from pathlib import Path

import anyio
import pytest

from redwingport_testbed.cluster.harness import Reply, gather, make_fleet, running_cluster
from redwingport_testbed.cluster.raw import (
    RawRequest,
    RawServer,
    echo_headers,
    executor_answer,
    http_answer,
    keep_servers,
    worker_answer,
    worker_lines,
)

pytestmark = pytest.mark.anyio
# After the time-out of 0.6 s and the 2 s for which the entry process awaits the end of a start.
LATE_S = 3.5


class _CrossedAnswers:
    """Hold requests until all have arrived and answer them in reverse order.

    :param count: number of requests to hold.
    :param swapped: whether each request gets the complete answer to another one.
    """

    def __init__(self, count: int, swapped: bool) -> None:
        self._count = count
        self._swapped = swapped
        self._held: list[RawRequest] = []
        self._turns = [anyio.Event() for _ in range(count)]

    async def __call__(self, request: RawRequest) -> bytes:
        number = len(self._held)
        self._held.append(request)
        if len(self._held) == self._count:
            self._turns[-1].set()
        await self._turns[number].wait()
        if number:
            self._turns[number - 1].set()
        other = self._held[number - 1] if self._swapped else request
        if other.path == "/v1/starts":
            return worker_answer(worker_lines(other))
        return executor_answer(other)


async def _answer_late(request: RawRequest) -> bytes:
    await anyio.sleep(LATE_S)
    return await _answer_correctly(request)


async def _answer_correctly(request: RawRequest) -> bytes:
    if request.path == "/v1/stops":
        return http_answer(b"{}")
    if request.path == "/v1/starts":
        return worker_answer(worker_lines(request))
    return executor_answer(request)


async def _answer_twice(request: RawRequest) -> bytes:
    return (await _answer_correctly(request)) * 2


async def _answer_truncated(request: RawRequest) -> bytes:
    whole = await _answer_correctly(request)
    return whole.replace(b"\r\n", b"\r\nconnection: close\r\n", 1)[:-5]


async def test_late_reordered_duplicated_and_truncated_answers_are_not_mixed_up(
    tmp_path: Path,
) -> None:
    server = RawServer(_answer_correctly)
    async with server.serving():
        edit = keep_servers(worker_01=server.port, executor_01=server.port)
        async with running_cluster(make_fleet(1, 3), tmp_path, edit=edit) as cluster:

            async def submit(count: int, timeout_ms: int = 10_000) -> dict[str, set[str]]:
                names: dict[str, set[str]] = {}
                for kind in ("job", "request"):
                    if isinstance(server.answer, _CrossedAnswers):
                        server.answer = _CrossedAnswers(count, server.answer._swapped)
                    make = cluster.job if kind == "job" else cluster.request
                    calls = [make(50.0) for _ in range(count)]
                    replies: list[Reply] = await gather(
                        *(cluster.submit(0, call, timeout_ms=timeout_ms) for call in calls)
                    )
                    names[kind] = {reply.name for reply in replies}
                return names

            whole = {"job": {"complete"}, "request": {"complete"}}
            lost = {"job": {"failed"}, "request": {"outcome-unknown"}}
            server.answer = _CrossedAnswers(3, swapped=False)
            assert await submit(3) == whole
            server.answer = _CrossedAnswers(3, swapped=True)
            assert await submit(3) == lost
            server.answer = _answer_correctly
            assert await submit(3) == whole
            server.answer = _answer_twice
            assert await submit(2) == whole
            # The next exchange on the connection detects and drops the second answer.
            await submit(3)
            server.answer = _answer_correctly
            await submit(3)
            server.answer = _answer_late
            assert await submit(3, timeout_ms=600) == lost
            late = [request for request in server.requests if request.path != "/v1/stops"]
            abandoned = {request.connection for request in late[-6:]}
            count = len(server.requests)
            server.answer = _answer_correctly
            assert await submit(3) == whole
            # By then the late answers have arrived, if their connections are still open.
            await anyio.sleep(LATE_S)
            assert await submit(3) == whole
            reused = abandoned & {request.connection for request in server.requests[count:]}
            assert not reused, "an abandoned exchange left its connection in use"
            server.answer = _answer_truncated
            assert await submit(2) == lost
            server.answer = _answer_correctly
            assert await submit(2) == whole
            cluster.check_guarantee(
                "P3",
                *("answered in reverse order", "answers swapped", "answered twice"),
                *("answered after the time-out", "answer cut"),
            )


@pytest.mark.parametrize("header", ["submission", "task", "attempt"])
async def test_an_answer_with_wrong_echo_headers_is_dropped(tmp_path: Path, header: str) -> None:
    async def wrong(request: RawRequest) -> bytes:
        echo = echo_headers(request, **{header: "9"})
        token = json.loads(request.body)["token"]
        body = json.dumps({"token": token, "operation": request.path.rpartition("/")[2]})
        return http_answer(body.encode(), headers=echo)

    server = RawServer(wrong)
    async with server.serving():
        edit = keep_servers(worker_01=0, executor_01=server.port)
        async with running_cluster(make_fleet(1, 3), tmp_path, edit=edit) as cluster:
            reply = await cluster.submit(0, cluster.request(50.0), timeout_ms=5_000)
            assert reply.name == "outcome-unknown"
            cluster.check_guarantee("P3", f"answer echoes another {header}")
