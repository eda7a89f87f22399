"""Servers that start again under their ids without notice: no task has two runs at the same time.

More seeds are run with the environment variable ``REDWINGPORT_SIMULATION_SEEDS``, FIRST:END.
"""

import os
import random
from dataclasses import replace

import pytest

from redwingport_testbed.simulation.cluster import (
    LASTING,
    LONG,
    MEDIUM,
    SHORT,
    TIMEOUT_S,
    Cluster,
)
from redwingport_testbed.simulation.faults import FAULTS_OF_RESTARTED_SERVERS, FaultMix

FIRST_SEED, END_SEED = map(int, os.environ.get("REDWINGPORT_SIMULATION_SEEDS", "1:3").split(":"))
SYSTEMS = (
    # Entry processes by domain, servers and shards.
    ((3, 3, 3), 16, 2),
    ((2, 2), 8, 1),
)
TINY = (2, 2)
FAULTY_S = 3.0
MAX_FAULT_S = 3.0


def check(cluster: Cluster) -> None:
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


def times_of(cluster: Cluster, name: str, key: str, value: str) -> list[float]:
    return [at for at, _, event, f in cluster.events if event == name and f.get(key) == value]


def delay(cluster: Cluster, steps: set[str], late_s: float) -> None:
    """Let all calls of some kinds be executed late from now on."""
    for server in cluster.server_by_id.values():
        server.late_share, server.late_steps, server.late_s = 1.0, steps, (late_s, late_s)


def submit_late(cluster: Cluster, late_s: float) -> tuple[str, str]:
    """Submit a job whose start is executed late; return its task and the server."""
    delay(cluster, {"start"}, late_s)
    task = f"{cluster.submit(LASTING)}.0.0.0"
    while not times_of(cluster, "task-placed", "task", task):
        cluster.world.run(0.0005)
    cluster.world.run(0.005)
    delay(cluster, set(), 0.0)
    placed = next(f for _, _, name, f in cluster.events if name == "task-placed")
    return task, str(placed["server"])


@pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
@pytest.mark.parametrize("timeout_s", [TIMEOUT_S, 10.0])
def test_mix_of_faults_with_silent_restarts_has_no_second_runs(
    seed: int, timeout_s: float
) -> None:
    choices = random.Random(f"restarts {seed} {timeout_s}")
    entries, servers, shards = choices.choice(SYSTEMS)
    cluster = Cluster(seed, entries, servers, shards, timeout_s=timeout_s)
    kinds = (SHORT, MEDIUM, LONG) if timeout_s == TIMEOUT_S else (SHORT, MEDIUM, LASTING)
    with cluster.running():
        cluster.load(choices.choice([0.3, 0.6, 1.0]) * servers, FAULTY_S, kinds=kinds)
        mix = FaultMix(cluster, seed, FAULTS_OF_RESTARTED_SERVERS)
        mix.schedule(choices.choice([2, 4, 8]), FAULTY_S)
        cluster.world.run(FAULTY_S + MAX_FAULT_S + min(timeout_s, 4.0))
    check(cluster)


# Guards against a start that the former lifetime has confirmed to have stopped, and that the next
# lifetime carries out while the task runs elsewhere.
@pytest.mark.parametrize("seed", [1, 2])
def test_start_whose_stop_was_confirmed_is_not_carried_out_by_the_next_lifetime(
    seed: int,
) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        task, server_id = submit_late(cluster, late_s=2.0)
        arrives_at = cluster.world.now + 2.0
        listing = cluster.store.listing_by_id[server_id]
        cluster.store.put(replace(listing, draining=True))
        cluster.world.run(0.6)
        again_at = times_of(cluster, "task-placed", "task", task)[1]
        assert not cluster.server_by_id[server_id].run_by_task
        cluster.restart_in_silence(server_id, 0.3)
        cluster.world.run(8.0)
    assert times_of(cluster, "run-presumed-over", "task", task)[0] <= again_at
    assert times_of(cluster, "server-restarted", "server", server_id)[0] < arrives_at - 0.1
    check(cluster)
    assert cluster.statuses() == {200: 1}


# Guards against a start whose lease has ended by the former lifetime's clock, and that the next
# lifetime, whose clock starts anew, carries out while the task runs elsewhere.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("down_s", [0.3, 1.0])
def test_start_whose_lease_has_ended_is_not_carried_out_by_the_next_lifetime(
    seed: int, down_s: float
) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        task, server_id = submit_late(cluster, late_s=2.4)
        arrives_at = cluster.world.now + 2.4
        cluster.restart_in_silence(server_id, down_s)
        cluster.cut_server(server_id, 1.4)
        cluster.world.run(8.0)
    over = [f for _, _, event, f in cluster.events if event == "run-presumed-over"]
    assert over[0]["task"] == task
    assert over[0]["after"] == "lease-ended"
    assert times_of(cluster, "server-restarted", "server", server_id)[0] < arrives_at - 0.1
    check(cluster)
    assert cluster.statuses() == {200: 1}


# Guards against a task that is started elsewhere because the report that shows a restart ends all
# accepted runs, although the next lifetime has accepted it.
@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("down_s", [0.05, 0.2, 0.4, 0.6, 1.0])
def test_task_accepted_before_the_restart_is_known_is_not_started_elsewhere(
    down_s: float, is_busy: bool
) -> None:
    cluster = Cluster(1, (1,), servers=16, shards=1, timeout_s=10.0)
    with cluster.running():
        if is_busy:
            for _ in range(16):
                cluster.submit(LASTING)
            cluster.world.run(0.7)
        for server_id in cluster.server_by_id:
            cluster.restart_in_silence(server_id, down_s)
        # The starts arrive before, at and after the return.
        cluster.world.run(max(0.0, down_s - 0.1))
        for _ in range(20):
            cluster.submit(LONG)
            cluster.world.run(0.03)
        cluster.world.run(2.0)
    assert times_of(cluster, "server-restarted", "server", "s0")
    check(cluster)


# Guards against a renewal that was meant for the former lifetime and prolongs the leases of the
# next one beyond the time at which its owner takes their runs for ended.
@pytest.mark.parametrize("seed", range(1, 4))
def test_late_renewal_of_the_former_lifetime_does_not_prolong_leases(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=16, shards=1, servers_per_shard=16, timeout_s=20.0)
    with cluster.running():
        for _ in range(8):
            cluster.submit(LASTING)
        cluster.world.run(0.7)
        delay(cluster, {"renew"}, late_s=2.3)
        cluster.world.run(0.3)
        delay(cluster, set(), 0.0)
        server_ids = [name for name, s in cluster.server_by_id.items() if s.run_by_task][:2]
        for server_id in server_ids:
            cluster.restart_in_silence(server_id, 0.05)
        cluster.world.run(0.9)
        assert times_of(cluster, "server-restarted", "server", server_ids[0])
        for _ in range(4):
            cluster.submit(LASTING)
        cluster.world.run(0.4)
        assert all(cluster.server_by_id[name].run_by_task for name in server_ids)
        for server_id in server_ids:
            cluster.cut_server(server_id, 4.0)
        cluster.world.run(4.0)
    over = [f for _, _, event, f in cluster.events if event == "run-presumed-over"]
    assert {fields["server"] for fields in over} == set(server_ids)
    check(cluster)
