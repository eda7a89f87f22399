"""P6: guard against new tasks on a leaving server, and against interrupted running tasks.

The entry processes learn that a server leaves from a lagging VM list, from a flag on an answer or
from their peers.
"""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from redwingport_messages.vms import VmInfo
from redwingport_testbed.cluster.harness import (
    Cluster,
    eventually,
    gather,
    make_fleet,
    running_cluster,
)

pytestmark = pytest.mark.anyio
# The list lags by 5 s and is polled twice a second; the rest is slack for a loaded machine.
NOTICE_S = 10.0
LIST_LAG_S = 5.0
# Heartbeats and notices reach the other processes within 1 to 2 s.
PEER_NOTICE_S = 6.0


class _Load:
    """Send jobs and requests to every entry process and record the outcomes."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.names: list[str] = []
        self.stopped = False

    async def run(self, number: int) -> None:
        while not self.stopped:
            calls = (self.cluster.job(*[60.0] * 6), self.cluster.request(60.0))
            replies = await gather(*(self.cluster.submit(number, call) for call in calls))
            self.names += [reply.name for reply in replies]


@asynccontextmanager
async def _under_load(cluster: Cluster) -> AsyncIterator[_Load]:
    load = _Load(cluster)
    async with anyio.create_task_group() as group:
        for number in range(len(cluster.vms)):
            group.start_soon(load.run, number)
        yield load
        load.stopped = True


async def _knows_leaving(cluster: Cluster, number: int, *vms: str) -> bool:
    answer = await cluster.operator(number, "GET", "/v1/servers")
    rows = json.loads(answer.body)["servers"]
    return set(vms) <= {row["server"] for row in rows if row["leaving"]}


async def _wait_until_all_know(cluster: Cluster, timeout_s: float, *vms: str) -> None:
    for number in range(len(cluster.vms)):
        await eventually(
            lambda n=number: _knows_leaving(cluster, n, *vms), f"{number} knows", timeout_s
        )


async def _assert_no_new_starts(cluster: Cluster, worker: int, executor: int) -> None:
    """Assert that two servers receive no start while the others receive more than 50."""
    watched = (cluster.stand_ins.workers[worker], cluster.stand_ins.executors[executor])
    # In-flight starts may still arrive after the last process has learned of the leaving.
    await anyio.sleep(0.5)
    before = [server.starts.count_by_task.total() for server in watched]
    all_before = cluster.starts().total()
    await anyio.sleep(2)
    assert [server.starts.count_by_task.total() for server in watched] == before
    assert cluster.starts().total() > all_before + 50


async def test_a_leaving_server_of_a_lagging_list_gets_nothing_new(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(2, 6), tmp_path) as cluster:
        platform = cluster.stand_ins.platform
        platform.faults = platform.faults.model_copy(update={"list_lag_s": LIST_LAG_S})
        long = [cluster.job(*[3_000.0] * 40), cluster.request(3_000.0)]

        async with _under_load(cluster) as load, anyio.create_task_group() as group:
            await anyio.sleep(0.5)

            async def run_long(number: int) -> None:
                load.names.append((await cluster.submit(number, long[number])).name)

            for number in range(2):
                group.start_soon(run_long, number)
            await anyio.sleep(0.5)
            leaving = ("worker-01", "executor-01")
            platform.lists.replace(
                tuple(_mark_leaving(vm, leaving) for vm in platform.lists.newest.vms)
            )
            await _wait_until_all_know(cluster, NOTICE_S, *leaving)
            await _assert_no_new_starts(cluster, 0, 0)
        assert set(load.names) == {"complete"}, "a running task was interrupted"
        cluster.check_guarantee("P6", "VM list lags by 5 s")


def _mark_leaving(vm: VmInfo, leaving: tuple[str, ...]) -> VmInfo:
    return vm.model_copy(update={"leaving": True}) if vm.vm in leaving else vm


async def test_a_leaving_flag_on_answers_reaches_the_others(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(6, 6), tmp_path) as cluster:
        # The platform is unreachable, so that the flag on an answer is the only source.
        await cluster.network.cut_platform(vm.vm for vm in cluster.vms)
        for server in (cluster.stand_ins.workers[0], cluster.stand_ins.executors[0]):
            server.faults = server.faults.model_copy(update={"leaving": True})

        async def seen() -> bool:
            calls = (cluster.job(*[30.0] * 96), *[cluster.request(30.0) for _ in range(20)])
            replies = await gather(*(cluster.submit(0, call) for call in calls))
            assert {reply.name for reply in replies} == {"complete"}
            return await _knows_leaving(cluster, 0, "worker-01", "executor-01")

        await eventually(seen, "one process sees the flags")
        for number in range(1, 6):
            # Executors are listed once a process has routed a request of their service.
            assert (await cluster.submit(number, cluster.request(30.0))).name == "complete"
        await _wait_until_all_know(cluster, PEER_NOTICE_S, "worker-01", "executor-01")
        async with _under_load(cluster) as load:
            await _assert_no_new_starts(cluster, 0, 0)
        assert set(load.names) == {"complete"}
        cluster.check_guarantee("P6", "flag on an answer to one process", "platform cut off")


async def test_a_domain_cut_from_the_platform_learns_of_leaving_servers_from_peers(
    tmp_path: Path,
) -> None:
    async with running_cluster(make_fleet(6, 6), tmp_path) as cluster:
        domain = cluster.vms[0].domain
        await cluster.network.cut_platform(vm.vm for vm in cluster.vms if vm.domain == domain)
        platform = cluster.stand_ins.platform
        leaving = ("worker-01", "executor-01")
        async with _under_load(cluster) as load:
            await anyio.sleep(0.5)
            platform.lists.replace(
                tuple(_mark_leaving(vm, leaving) for vm in platform.lists.newest.vms)
            )
            await _wait_until_all_know(cluster, NOTICE_S, *leaving)
            await _assert_no_new_starts(cluster, 0, 0)
        assert set(load.names) == {"complete"}
        cluster.check_guarantee("P6", "failure domain cut from the platform")
