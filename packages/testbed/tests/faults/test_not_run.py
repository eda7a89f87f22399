"""P4 and P5: guard against a false "not run", and against a request that runs twice.

Submissions exceed limits, and connections are cut before, during and after a request is written.
"""

import json
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import pytest

from redwingport_messages.vms import VmInfo
from redwingport_testbed.cluster.harness import (
    Cluster,
    Reply,
    gather,
    make_fleet,
    running_cluster,
    wait_until,
)
from redwingport_testbed.standins.relay import Relay, RelayMode

pytestmark = pytest.mark.anyio
FIRST_ATTEMPTS = 60


def _names(replies: list[Reply]) -> Counter[str]:
    return Counter(reply.name for reply in replies)


async def test_refusals_at_every_limit_ran_nothing(tmp_path: Path) -> None:
    changes = {"limits": {"queue_limit": "50", "max_body_bytes": "20000"}}
    async with running_cluster(make_fleet(1, 3), tmp_path, changes) as cluster:
        jobs = [cluster.job(*[300.0] * 40) for _ in range(12)]
        replies = await gather(*(cluster.submit(0, job) for job in jobs))
        assert {"complete", "not-run"} <= _names(replies).keys()
        replies = await gather(*(cluster.submit(0, job, timeout_ms=400) for job in jobs))
        assert "not-run" in _names(replies)
        requests = [cluster.request(300.0) for _ in range(200)]
        replies = await gather(*(cluster.submit(0, r, timeout_ms=500) for r in requests))
        assert "not-run" in _names(replies)
        status = [
            (await cluster.submit(0, cluster.job(*[1.0] * n))).outcome.status for n in (151, 400)
        ]
        assert status == [422, 413]
        missing = cluster.job(1.0)
        answer = await cluster.client.request(
            "POST", cluster.url(0, "/v1/services/unknown/jobs"), missing.body
        )
        assert (answer.status, json.loads(answer.body)["outcome"]) == (404, "not-run")
        await anyio.sleep(1)
        cluster.check_guarantee(
            "P4", "queue limit", "deadline in the queue", "limits of tasks and bytes"
        )


def _only_executor(port: int) -> Any:
    def edit(vm: VmInfo) -> VmInfo | None:
        if vm.service and vm.vm != "executor-01":
            return None
        return vm.model_copy(update={"port": port}) if vm.service else vm

    return edit


async def _cut_exchanges(cluster: Cluster, relay: Relay, idempotent: bool) -> list[Reply]:
    """Cut connections before, during and after the request is written."""
    replies = []
    executor = cluster.stand_ins.executors[0]

    async def cut(mode: RelayMode, started: bool) -> None:
        before = executor.starts.count_by_task.total()
        if started:
            await wait_until(lambda: executor.starts.count_by_task.total() > before, "a start", 5)
        else:
            await anyio.sleep(0.1)
        await relay.set_mode(mode)
        if mode is RelayMode.SWALLOW:
            await relay.set_mode(RelayMode.DROP)
        await anyio.sleep(0.3)
        await relay.set_mode(RelayMode.PASS)

    for _ in range(3):
        await relay.set_mode(RelayMode.DROP)
        call = cluster.request(400.0, idempotent)
        reply, _ = await gather(
            cluster.submit(0, call, timeout_ms=3_000), cut(RelayMode.PASS, started=False)
        )
        replies.append(reply)
        for mode in (RelayMode.DROP, RelayMode.SWALLOW):
            call = cluster.request(400.0, idempotent)
            reply, _ = await gather(
                cluster.submit(0, call, timeout_ms=3_000), cut(mode, started=True)
            )
            replies.append(reply)
    for fault in ("truncate", "wrong_echo"):
        executor.faults = executor.faults.model_copy(update={fault: True})
        replies.append(await cluster.submit(0, cluster.request(20.0, idempotent)))
        executor.faults = executor.faults.model_copy(update={fault: False})
    return replies


@pytest.mark.parametrize("idempotent", [False, True])
async def test_connections_cut_around_the_request(tmp_path: Path, idempotent: bool) -> None:
    fleet = make_fleet(1, 3)
    relay = Relay(fleet.executor_vms()[0].port)
    async with (
        relay.serving() as port,
        running_cluster(fleet, tmp_path, edit=_only_executor(port)) as cluster,
    ):
        replies = await _cut_exchanges(cluster, relay, idempotent)
        names = _names(replies)
        starts = cluster.stand_ins.executors[0].starts.count_by_task
        if idempotent:
            assert max(starts.values()) > 1, "no idempotent request was retried"
        else:
            assert max(starts.values()) == 1, names
            assert names["outcome-unknown"] >= 8, names
        cluster.check_guarantee(
            "P5" if idempotent else "P4",
            "connection cut before, during and after the request",
            "truncated answer",
            "wrong echo headers",
        )


async def test_total_outage_spends_no_more_than_the_retry_budget(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(1, 3), tmp_path) as cluster:
        for executor in cluster.stand_ins.executors:
            executor.faults = executor.faults.model_copy(update={"wrong_echo": True})
        calls = [cluster.request(20.0, n % 2 == 0) for n in range(FIRST_ATTEMPTS * 2)]
        replies = await gather(*(cluster.submit(0, call, timeout_ms=5_000) for call in calls))
        assert "complete" not in _names(replies)
        once = {
            r.submission_id
            for r, c in zip(replies, calls, strict=True)
            if c.operation == cluster.fleet.deployment.operations[1]
        }
        starts = cluster.starts()
        assert all(n == 1 for (name, _), n in starts.items() if name in once)
        retries = sum(n - 1 for n in starts.values())
        # The retry budget is 10 % of the first attempts plus a burst of 3.
        assert 1 <= retries <= len(calls) // 10 + 3, retries
        cluster.check_guarantee("P5", "total outage with retries on")
