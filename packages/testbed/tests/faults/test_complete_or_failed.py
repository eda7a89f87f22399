"""P2: guard against partial answers, and against tasks that outlive their failed job.

Workers end or hang at every stage of an answer, jobs can never run, and callers cancel.
"""

import json
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from redwingport_testbed.cluster.harness import (
    Cluster,
    gather,
    make_fleet,
    running_cluster,
    wait_until,
)
from redwingport_testbed.cluster.raw import (
    RawRequest,
    RawServer,
    http_answer,
    keep_servers,
    worker_answer,
    worker_lines,
)
from redwingport_testbed.entry_client import make_job

pytestmark = pytest.mark.anyio
STAGES = (
    "before the first line",
    "after the first line",
    "in the middle of the results",
    "inside a line",
)


def _until_stage(request: RawRequest, stage: str) -> bytes:
    """Return the part of its answer that a worker has sent when it ends or hangs."""
    whole = worker_answer(worker_lines(request))
    lines = whole.partition(b"\r\n\r\n")[2].splitlines(keepends=True)
    if stage == STAGES[0]:
        return b""
    kept = {STAGES[1]: lines[:1], STAGES[2]: lines[:-1], STAGES[3]: [lines[0], lines[1][:9]]}
    return whole[: whole.index(b"\r\n\r\n") + 4 + len(b"".join(kept[stage]))]


async def test_a_worker_that_dies_or_hangs_at_any_stage_fails_the_job(tmp_path: Path) -> None:
    stage, hangs = "", False
    stops: list[str] = []
    answer: Callable[[RawRequest], Awaitable[bytes | None]]

    async def answer(request: RawRequest) -> bytes | None:
        if request.path == "/v1/stops":
            stops.append(request.submission)
            return http_answer(b"{}")
        if not stage:
            return worker_answer(worker_lines(request))
        part = _until_stage(request, stage)
        if hangs:
            # The declared content length covers the whole answer, but the rest is never sent.
            return part or await anyio.sleep_forever()
        return part.replace(b"\r\n", b"\r\nconnection: close\r\n", 1) or None

    server = RawServer(answer)
    async with server.serving():
        edit = keep_servers(worker_01=server.port, executor_01=0)
        async with running_cluster(make_fleet(1, 3), tmp_path, edit=edit) as cluster:
            for stage in STAGES:
                for hangs in (False, True):
                    timeout_ms = 700 if hangs else 20_000
                    reply = await cluster.submit(
                        0, cluster.job(*[50.0] * 6), timeout_ms=timeout_ms
                    )
                    assert reply.name == "failed", (stage, hangs, reply)
                    if hangs and stage in STAGES[1:]:
                        name = reply.submission_id
                        await wait_until(lambda name=name: name in stops, f"stop after {stage}")
            stage = ""
            assert (await cluster.submit(0, cluster.job(*[50.0] * 6))).name == "complete"
            cluster.check_guarantee("P2", *(f"worker killed or hung {name}" for name in STAGES))


def _running(cluster: Cluster) -> int:
    return sum(len(worker.run_by_task) for worker in cluster.stand_ins.workers)


async def _queued(cluster: Cluster) -> float:
    answer = await cluster.operator(0, "GET", "/metrics")
    lines = answer.body.decode().splitlines()
    values = [line.split()[-1] for line in lines if 'queued_tasks{kind="worker"' in line]
    return sum(map(float, values)) if values else -1.0


async def test_a_worker_that_fails_everything_causes_no_partial_answers(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(1, 6), tmp_path) as cluster:
        bad = cluster.stand_ins.workers[0]
        bad.faults = bad.faults.model_copy(update={"fails_everything": True})
        replies = await gather(*(cluster.submit(0, cluster.job(*[100.0] * 4)) for _ in range(30)))
        names = {reply.name for reply in replies}
        assert "failed" in names and names <= {"complete", "failed"}
        later = [await cluster.submit(0, cluster.job(*[100.0] * 4)) for _ in range(5)]
        assert [reply.name for reply in later].count("complete") >= 4
        await wait_until(lambda: not _running(cluster), "stop of the tasks of failed jobs", 10)
        cluster.check_guarantee("P2", "worker fails everything")


async def test_a_job_that_can_never_run_or_answer_is_refused_or_failed(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(1, 3), tmp_path) as cluster:
        rng = random.Random(1)
        job = json.loads(make_job(cluster.job_service, [50.0] * 2, rng).body)
        for change in ({"cpus": 17}, {"memory_mb": 1e8}, None):
            tasks = [job["tasks"][0], {**job["tasks"][1], **(change or {})}]
            content = {"tasks": tasks if change else tasks * 76}
            call = cluster.job(50.0)
            body = json.dumps(content).encode()
            answer = await cluster.client.request(
                "POST", cluster.url(0, call.path), body, {"content-type": "application/json"}
            )
            assert answer.status == 422 and json.loads(answer.body)["outcome"] == "not-run"
        assert not cluster.starts()
        document = cluster.fleet.service_documents()[0]
        document["jobs"]["max_answer_bytes"] = 20_000
        path = f"/v1/services/{cluster.job_service}"
        assert (await cluster.operator(0, "PUT", path, document, if_match="1")).status == 200
        job["tasks"] = [{**task, "payload": {**task["payload"]}} for task in job["tasks"] * 3]
        job["tasks"][2]["payload"]["result_bytes"] = 30_000
        job["tasks"][0]["payload"]["work_ms"] = 20_000
        answer = await cluster.client.request(
            "POST", cluster.url(0, path + "/jobs"), json.dumps(job).encode()
        )
        problem = json.loads(answer.body)
        assert (problem["outcome"], problem["type"][-16:]) == ("failed", "answer-too-large")
        await wait_until(lambda: not _running(cluster), "stop of the long task", 10)
        cluster.check_guarantee("P2", "job too large ever to run", "result over the size limit")


async def test_cancellations_in_mid_job_stop_tasks_and_free_the_queue(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(1, 1), tmp_path) as cluster:
        ids = [await cluster.issue(0) for _ in range(12)]
        calls = [cluster.job(*[8_000.0] * 5) for _ in ids]

        async def cancel() -> None:
            await wait_until(lambda: _running(cluster) == 16, "a running task in every slot")
            urls = [cluster.url(0, f"/v1/submissions/{name}") for name in ids]
            answers = await gather(*(cluster.client.request("DELETE", url) for url in urls))
            outcomes = {json.loads(answer.body)["outcome"] for answer in answers}
            assert outcomes == {"failed", "not-run"}

        submits = (
            cluster.submit(0, call, name, timeout_ms=60_000)
            for call, name in zip(calls, ids, strict=True)
        )
        *replies, _ = await gather(*submits, cancel())
        assert {reply.name for reply in replies} == {"failed", "not-run"}
        await wait_until(lambda: not _running(cluster), "stop of the running tasks", 10)
        assert (await cluster.submit(0, cluster.job(*[50.0] * 16))).name == "complete"
        assert await _queued(cluster) == 0
        assert not any(cluster.starts_of(r.submission_id) for r in replies if r.name == "not-run")
        cluster.check_guarantee("P2", "concurrent cancellations of running jobs")
