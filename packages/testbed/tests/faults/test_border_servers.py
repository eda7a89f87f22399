"""Guard against malformed answers of backend servers and the platform.

They must neither crash an entry process nor change the state of other submissions.
"""

from pathlib import Path

import pytest

from redwingport_testbed.cluster.harness import make_fleet, running_cluster
from redwingport_testbed.cluster.inspection import assert_healthy, pid_of
from redwingport_testbed.cluster.raw import (
    RawRequest,
    RawServer,
    echo_headers,
    executor_answer,
    http_answer,
    keep_servers,
    peak_memory_mb,
    worker_answer,
    worker_lines,
)
from redwingport_testbed.standins.fleet import HOST
from redwingport_testbed.standins.relay import RelayMode

pytestmark = pytest.mark.anyio


def _bad_worker_answers(request: RawRequest) -> list[bytes]:
    lines, tasks = worker_lines(request), [0]
    changed = [
        {"clock": float("nan")},
        {"lease_ms": float("inf")},
        {"started": tasks, "declined": tasks},
        {"started": tasks * 2},
        {"started": [], "declined": tasks * 2},
        {"started": [0, 7]},
        {"started": "0"},
        {"load": None},
    ]
    ends = [
        {"result": float("nan")},
        {"run_ms": float("inf")},
        {"attempt": 5},
        {"task": 7},
        {"submission": "another"},
        {"status": "perhaps"},
        {"load": {"slots": -1, "free": 0}},
    ]
    answers = [worker_answer([{**lines[0], **change}, *lines[1:]]) for change in changed]
    answers += [worker_answer([lines[0], {**lines[1], **change}]) for change in ends]
    answers += [worker_answer(lines[1:]), http_answer(b"[]\n")]
    answers += [http_answer(b"x" * 40_000_000), http_answer(b"{" * 100_000 + b"\n")]
    return answers + _bad_http()


def _bad_executor_answers(request: RawRequest) -> list[bytes]:
    echo = echo_headers(request)
    return [
        http_answer(b"{}", 999, echo),
        http_answer(b"x" * 13_000_000, 200, echo),
        http_answer(b"{}", 200),
        *_bad_http(),
    ]


def _bad_http() -> list[bytes]:
    endless = b"HTTP/1.1 200 x\r\nx: " + b"y" * 2_000_000
    return [
        b"\x00\xff\n" * 100,
        b"HTTP/1.1 200 x\r\ncontent-length: many\r\n\r\n",
        b"HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 101 x\r\n\r\n",
        http_answer(b"", 200, {"x": "\u4e2d"}),
        http_answer(b"[]", 503),
        endless,
        b"",
    ]


async def test_malformed_answers_of_backend_servers_fail_only_their_submission(
    tmp_path: Path,
) -> None:
    answered = left = 0

    async def answer(request: RawRequest) -> bytes | None:
        nonlocal answered, left
        if request.path == "/v1/stops":
            return http_answer(b"x" * 40_000_000)
        is_job = request.path == "/v1/starts"
        bad = (_bad_worker_answers if is_job else _bad_executor_answers)(request)
        answered += 1
        left = max(0, len(bad) - answered)
        if answered <= len(bad):
            return bad[answered - 1] or None
        return worker_answer(worker_lines(request)) if is_job else executor_answer(request)

    server = RawServer(answer)
    async with server.serving():
        edit = keep_servers(worker_01=server.port, executor_01=server.port)
        async with running_cluster(make_fleet(1, 3), tmp_path, edit=edit) as cluster:
            before_mb = peak_memory_mb(pid_of(cluster))
            for call in (cluster.job(50.0), cluster.request(50.0)):
                answered, outcomes = 0, []
                while not answered or left:
                    outcomes.append((await cluster.submit(0, call, timeout_ms=5_000)).name)
                assert set(outcomes) == {"outcome-unknown" if call.operation else "failed"}
                await assert_healthy(cluster, before_mb)
                good = await cluster.submit(0, call, timeout_ms=5_000)
                assert good.name == "complete"
            assert "exchange-failed" not in cluster.log(0)
            text = "\u4e2d"
            server.answer = lambda request: _answer_typed(request, text)
            answer_typed = await cluster.submit(0, cluster.request(50.0))
            assert answer_typed.outcome.status == 200


async def _answer_typed(request: RawRequest, content_type: str) -> bytes:
    return http_answer(b"{}", 200, {**echo_headers(request), "content-type": content_type})


async def test_malformed_answers_of_the_platform_change_nothing(tmp_path: Path) -> None:
    bodies = [
        b"\xff\x00",
        b"[" * 100_000,
        b'{"rows": [["services/x", 1e999]]}',
        b'{"version": 1e999, "vms": []}',
        b'{"version": 99, "vms": [{"vm": "a", "kind": "entry", "weight": NaN}]}',
        b'{"rows": [["services/rite-plan", 99]], "key": "services/other", "revision": 99, '
        b'"value": "{\\"name\\": \\"rite-plan\\", \\"team\\": \\"x\\"}"}',
        b'{"results": [{"key": "keys/rite-plan/k", "applied": true, "revision": 1, '
        b'"value": "%s"}]}' % (b"[" * 100_000),
        b'{"results": []}',
    ]
    answered = 0

    async def answer(request: RawRequest) -> bytes | None:
        nonlocal answered
        answered += 1
        bad = [http_answer(body) for body in bodies] + [
            *_bad_http(),
            http_answer(b"x" * 70_000_000),
        ]
        return bad[answered % len(bad)] or None

    quick = {"platform": {"poll_s": "0.1", "list_poll_s": "0.1"}}
    server = RawServer(answer)
    async with server.serving(), running_cluster(make_fleet(1, 3), tmp_path, quick) as cluster:
        relay = cluster.network.relay_to_platform_by_vm[cluster.vms[0].vm]
        relay._target = (HOST, server.port)
        await relay.set_mode(RelayMode.DROP)
        await relay.set_mode(RelayMode.PASS)
        names = set()
        while answered < 3 * (len(bodies) + 9):
            names.add((await cluster.submit(0, cluster.job(50.0))).name)
            keyed = await cluster.submit(0, cluster.job(50.0), key="k", timeout_ms=200)
            assert keyed.name == "outcome-unknown"
        assert names == {"complete"}
        assert await cluster.revision(0, cluster.job_service) == 1
        assert (await cluster.operator(0, "GET", "/healthz")).status == 200
        log = cluster.log(0)
        assert (
            "poll-failed" in log
            and "Traceback" not in log
            and 'failed"' not in log.replace("poll-failed", "")
        )
        assert peak_memory_mb(pid_of(cluster)) < 500
        cluster.check_guarantee("untrusted input", "answers of the platform")
