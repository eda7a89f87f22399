"""Tasks of a large system under faults: no task ever has two runs at the same time."""

import asyncio

import pytest

from redwingport_testbed.simulation.cluster import MEDIUM, SHORT, Cluster
from redwingport_testbed.simulation.world import Node, VirtualLoop, World, until_done

# More than 13 processes, so that hubs and long heartbeat intervals are in use.
LARGE = (4, 4, 4, 4)
SMALL = (3, 3, 3, 3)


def check(cluster: Cluster) -> None:
    """Fail with all events of the first task that ran twice, if there is one."""
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


def cut_holders_from_owners(cluster: Cluster) -> None:
    """Cut a failure domain without owners, where jobs with long runs elsewhere are held."""
    owner_domains = {
        entry.node.domain for entries in cluster.owners().values() for entry in entries
    }
    domain = next(domain for domain in cluster.domains if domain not in owner_domains)
    for server in cluster.server_by_id.values():
        if server.node.domain != domain:
            # Runs that outlast the lease, on servers that the owners beyond the cut still reach.
            server.slowness = 6.0
    for entry in cluster.entries:
        if entry.node.domain == domain:
            for _ in range(3):
                cluster.submit(MEDIUM, domain, entry)
    cluster.world.run(0.1)
    cluster.cut_domain(domain, 4.0)
    cluster.world.run(5.0)


def test_cluster_without_faults_completes_all_jobs() -> None:
    cluster = Cluster(seed=1)
    with cluster.running():
        assert all(len(entries) == 1 for entries in cluster.owners().values())
        cluster.load(10, 3.0, kinds=(SHORT, MEDIUM))
        cluster.world.run(6.0)
    assert set(cluster.statuses()) == {200}
    assert cluster.monitor.starts > 100
    check(cluster)


# Guards against an owner that renews the runs of a lost holder after another has started them.
@pytest.mark.parametrize("seed", [1, 2])
def test_holder_cut_off_in_large_system_has_no_second_runs(seed: int) -> None:
    cluster = Cluster(seed, LARGE)
    with cluster.running():
        cut_holders_from_owners(cluster)
    assert cluster.monitor.starts
    check(cluster)


# Guards against an owner that renews the runs of a lost holder after another has started them.
@pytest.mark.parametrize("seed", [1, 2])
def test_holder_cut_off_in_small_system_has_no_second_runs(seed: int) -> None:
    cluster = Cluster(seed, SMALL)
    with cluster.running():
        cut_holders_from_owners(cluster)
    assert cluster.monitor.starts
    check(cluster)


# Guards against coroutines that are never awaited because their process is ended right before.
def test_tasks_created_while_a_process_ends_are_started() -> None:
    world = World(seed=1)
    node = Node("n", "d")
    node.loop = VirtualLoop(world, node)
    started: list[str] = []

    async def send_order() -> None:
        started.append("order")

    async def serve() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            orders.append(asyncio.get_running_loop().create_task(send_order()))

    orders: list[asyncio.Task[None]] = []
    server = node.loop.create_task(serve())
    world.step(node)
    for _ in until_done(world, node):
        pass
    node.loop.close()
    assert server.cancelled()
    assert started == ["order"]
