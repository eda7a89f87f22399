"""Servers whose entries lapse, return or change while tasks run there."""

import functools
from dataclasses import replace

import pytest

from redwingport_testbed.simulation.cluster import LASTING, Cluster, Entry

TINY = (2, 2)


def start_cluster(seed: int) -> Cluster:
    return Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)


def submit_lasting(cluster: Cluster, holder: Entry | None = None, jobs: int = 3) -> list[str]:
    """Submit jobs, and return the servers on which their tasks run."""
    domain = holder.node.domain if holder is not None else ""
    for _ in range(jobs):
        cluster.submit(LASTING, domain, holder)
    cluster.world.run(0.1)
    return [name for name, server in cluster.server_by_id.items() if server.run_by_task]


def check(cluster: Cluster) -> None:
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


def events_of(cluster: Cluster, name: str) -> list[dict[str, object]]:
    return [fields for _, _, event, fields in cluster.events if event == name]


# Guards against a second run of a task whose server answers, but is no longer listed: after a
# grace period, the owner forgot the run and started the task elsewhere.
@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("unlisted_s", [2.0, 3.1, 8.0])
def test_task_runs_on_while_the_entry_of_its_server_is_missing(
    seed: int, unlisted_s: float
) -> None:
    cluster = start_cluster(seed)
    with cluster.running():
        for server_id in submit_lasting(cluster):
            cluster.unlist_server(server_id, unlisted_s)
        cluster.world.run(10.0)
    check(cluster)
    assert cluster.monitor.starts == 3
    assert cluster.statuses() == {200: 3}


# Guards against new work for a server that is kept because of its runs only.
def test_server_without_entry_gets_no_task_and_is_dropped_after_its_last_run() -> None:
    cluster = start_cluster(1)
    with cluster.running():
        for server_id in submit_lasting(cluster):
            cluster.unlist_server(server_id, 20.0)
        unlisted = [
            name for name in cluster.server_by_id if name not in cluster.store.listing_by_id
        ]
        cluster.world.run(3.5)
        before = {name: set(cluster.server_by_id[name].run_by_task) for name in unlisted}
        submit_lasting(cluster, jobs=6)
        assert {name: set(cluster.server_by_id[name].run_by_task) for name in unlisted} == before
        assert not events_of(cluster, "server-dropped")
        cluster.world.run(8.0)
    check(cluster)
    assert {fields["server"] for fields in events_of(cluster, "server-dropped")} == set(unlisted)
    assert set(cluster.statuses()) == {200}


# Guards against a wait beyond the end of the leases for a server that has gone for good.
@pytest.mark.parametrize("seed", range(1, 5))
def test_task_is_started_again_after_the_leases_of_a_server_out_of_reach(seed: int) -> None:
    cluster = start_cluster(seed)
    with cluster.running():
        lost = submit_lasting(cluster, jobs=1)
        for server_id in lost:
            cluster.unlist_server(server_id, 20.0)
            cluster.cut_server(server_id, 20.0)
        lost_at = cluster.world.now
        cluster.world.run(10.0)
    check(cluster)
    assert cluster.monitor.starts == 2
    again_at = [at for at, _, name, _ in cluster.events if name == "task-placed"][-1]
    assert again_at - lost_at < 2.0
    assert cluster.statuses() == {200: 1}


# Guards against a second run of a task whose server has got another address: its runs were
# forgotten at once, although the same lifetime answers there.
@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("after_s", [0.0, 0.0004, 1.0])
def test_task_runs_on_when_the_address_of_its_server_changes(seed: int, after_s: float) -> None:
    cluster = start_cluster(seed)
    with cluster.running():
        used = submit_lasting(cluster)
        for _ in range(2):
            for server_id in used:
                cluster.move_server(server_id)
            cluster.world.run(0.7 + after_s)
        cluster.world.run(10.0)
    check(cluster)
    assert events_of(cluster, "server-moved")
    assert cluster.monitor.starts == 3
    assert cluster.statuses() == {200: 3}


# Guards against forgetting the runs of a server whose entry names another service for a while.
def test_task_runs_on_while_the_entry_of_its_server_names_another_service() -> None:
    cluster = start_cluster(1)
    with cluster.running():
        for server_id in submit_lasting(cluster):
            entry = cluster.store.listing_by_id[server_id]
            cluster.store.put(replace(entry, service="other"))
            cluster.world.call_later(3.0, functools.partial(cluster.store.put, entry))
        cluster.world.run(10.0)
    check(cluster)
    assert cluster.monitor.starts == 3
    assert cluster.statuses() == {200: 3}


# Guards against a start order that is forgotten because the address of its server changes before
# the answer: the task may have started.
@pytest.mark.parametrize("seed", range(1, 9))
def test_start_is_settled_when_the_address_of_its_server_changes(seed: int) -> None:
    cluster = start_cluster(seed)
    with cluster.running():
        for server in cluster.server_by_id.values():
            server.late_share = 0.6
        for number in range(8):
            cluster.submit(LASTING)
            for server_id in cluster.server_by_id:
                if number % 2:
                    cluster.move_server(server_id)
            cluster.world.run(0.15)
        for server in cluster.server_by_id.values():
            server.late_share = 0.0
        cluster.world.run(12.0)
        owners = cluster.owners()[0]
        process = owners[0].process
        assert process is not None
        assert not process._owner_by_shard[0].scheduler.run_by_task
    check(cluster)


# Guards against tasks that are blamed for the crash of a server which was only out of touch.
def test_server_that_returns_under_its_id_after_it_was_dropped_has_not_crashed() -> None:
    cluster = start_cluster(2)
    with cluster.running():
        for server_id in submit_lasting(cluster):
            cluster.unlist_server(server_id, 4.0)
            cluster.cut_server(server_id, 4.0)
        cluster.world.run(3.9)
        assert events_of(cluster, "server-dropped")
        cluster.world.run(2.0)
        process = cluster.owners()[0][0].process
        assert process is not None
        assert not process._crash_log.all_crashes()
        cluster.world.run(6.0)
    check(cluster)
    assert set(cluster.statuses()) == {200}


# Guards against a second run of a task on a server that has left the list: the holder was not told
# of the run before the owner ended, and the next owner asked the listed servers only.
@pytest.mark.parametrize("seed", range(1, 9))
def test_next_owner_asks_servers_that_have_just_left_the_list(seed: int) -> None:
    cluster = start_cluster(seed)
    with cluster.running():
        owner = cluster.owners()[0][0]
        holder = next(e for e in cluster.entries if e.node.domain != owner.node.domain)
        cluster.cut_pairs([owner.node.name], ["store"], 3.0)
        for server_id in list(cluster.server_by_id)[1:]:
            cluster.unlist_server(server_id, 20.0)
        cluster.world.run(1.7)
        for _ in range(4):
            cluster.submit(LASTING, holder.node.domain, holder)
        # The notifications are held up, and lost with the connection.
        cluster.cut_pairs([owner.node.name], [holder.node.name], 20.0, both=False)
        while cluster.monitor.starts < 4:
            cluster.world.run(0.0001)
        cluster.kill(owner, refuses=True)
        cluster.world.run(10.0)
    assert events_of(cluster, "task-placed")
    check(cluster)
