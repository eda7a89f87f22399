"""P1, P4: guard against a platform outage that stops submissions which do not need it."""

import re
from collections import Counter, defaultdict
from pathlib import Path

import anyio
import pytest

from redwingport_testbed.cluster.harness import Cluster, make_fleet, running_cluster
from redwingport_testbed.entry_client import Call

pytestmark = pytest.mark.anyio
OUTAGE_S = 20.0
PAUSE_S = 0.1
KEY_TIMEOUT_MS = 1_500
PACKAGES = Path(__file__).parents[4] / "packages"
PRODUCT = ("messages", "state", "policy", "entry")
WALL_CLOCK = re.compile(r"\btime\.time\(|\bdatetime\.(now|utcnow)\(|\bdate\.today\(")


async def test_a_platform_outage_of_20_s_stops_only_new_keys(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        known = {n: cluster.job(50.0, 80.0) for n in range(6)}
        for number, call in known.items():
            assert (await cluster.submit(number, call, key=f"known-{number}")).name == "complete"
        platform = cluster.stand_ins.platform
        platform.faults = platform.faults.model_copy(update={"outage": True})
        names: dict[str, Counter[str]] = defaultdict(Counter)
        ends_at = anyio.current_time() + OUTAGE_S
        async with anyio.create_task_group() as group:
            for number, call in known.items():
                group.start_soon(_load, cluster, number, ends_at, names)
                group.start_soon(_resubmit, cluster, number, call, ends_at, names)
        platform.faults = platform.faults.model_copy(update={"outage": False})
        print({kind: dict(counter) for kind, counter in names.items()})
        for kind in ("issued id", "no id", "request", "known key"):
            assert set(names[kind]) == {"complete"}, kind
        # Whether a new key was used before is unknown, so "not run" must not be reported.
        assert set(names["new key"]) == {"outcome-unknown"}
        after = await cluster.submit(0, cluster.job(50.0), key="after")
        assert after.name == "complete"
        cluster.check_guarantee("P1", "platform down for 20 s under load")


async def _load(
    cluster: Cluster, number: int, ends_at: float, names: dict[str, Counter[str]]
) -> None:
    count = 0
    while anyio.current_time() < ends_at:
        count += 1
        job = cluster.job(50.0, 100.0)
        issued = await cluster.submit(number, job, await cluster.issue(number))
        names["issued id"][issued.name] += 1
        names["no id"][(await cluster.submit(number, cluster.job(60.0))).name] += 1
        names["request"][(await cluster.submit(number, cluster.request(50.0))).name] += 1
        if count % 10 == 0:
            key = f"new-{number}-{count}"
            reply = await cluster.submit(number, job, key=key, timeout_ms=KEY_TIMEOUT_MS)
            names["new key"][reply.name] += 1
        await anyio.sleep(PAUSE_S)


async def _resubmit(
    cluster: Cluster, number: int, call: Call, ends_at: float, names: dict[str, Counter[str]]
) -> None:
    while anyio.current_time() < ends_at:
        reply = await cluster.submit(number, call, key=f"known-{number}")
        names["known key"][reply.name] += 1
        await anyio.sleep(1)


def test_no_decision_reads_the_wall_clock() -> None:
    """Guards against a deadline that moves with a step of the wall clock."""
    sources = [path for name in PRODUCT for path in (PACKAGES / name / "src").rglob("*.py")]
    assert len(sources) > 40
    found = [path.name for path in sources if WALL_CLOCK.search(path.read_text(encoding="utf-8"))]
    assert found == []
