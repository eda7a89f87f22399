"""P6: guard against a leaving notice that reaches only the peers linked to its first receiver."""

import json
from pathlib import Path

import pytest

from redwingport_testbed.cluster.harness import Cluster, eventually, make_fleet, running_cluster

pytestmark = pytest.mark.anyio
NOTICE_S = 5.0
ONE_LINK = {"peers": {"links_per_domain": "1"}}


async def _knows_leaving(cluster: Cluster, number: int) -> bool:
    answer = await cluster.operator(number, "GET", "/v1/servers")
    rows = json.loads(answer.body)["servers"]
    return any(row["leaving"] for row in rows if row["server"] == "worker-01")


async def test_a_leaving_notice_reaches_peers_without_a_direct_link(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(entries=12), tmp_path, ONE_LINK) as cluster:
        await cluster.network.cut_platform(vm.vm for vm in cluster.vms)
        worker = cluster.stand_ins.workers[0]
        worker.faults = worker.faults.model_copy(update={"leaving": True})

        async def seen() -> bool:
            await cluster.submit(0, cluster.job(*[30.0] * 96))
            return await _knows_leaving(cluster, 0)

        await eventually(seen, "the flag at one process")
        for number in range(1, 12):
            await eventually(
                lambda number=number: _knows_leaving(cluster, number),
                f"notice at {number}",
                NOTICE_S,
            )
        cluster.check_guarantee("P6", "flag on an answer, peers without a direct link")
