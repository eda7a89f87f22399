"""Random mixes of faults while connections are reset and clients delete their jobs.

More seeds are run with the environment variable ``REDWINGPORT_SIMULATION_SEEDS``, FIRST:END.
"""

import os
import random

import pytest

from redwingport_testbed.simulation.cluster import LONG, MEDIUM, SHORT, SPREAD, Cluster
from redwingport_testbed.simulation.faults import FaultMix

SEEDS_VARIABLE = "REDWINGPORT_SIMULATION_SEEDS"
FIRST_SEED, END_SEED = map(int, os.environ.get(SEEDS_VARIABLE, "1:7").split(":"))
# Entry processes by domain, servers and shards.
SYSTEMS = (((3, 3), 8, 2), ((2, 2), 4, 1))
KINDS = (SHORT, MEDIUM, SPREAD, SPREAD)
# In which owners went on to start tasks of deleted jobs.
FAILED_SEEDS = (20, 45)
FAULTY_S = 4.0
RECOVERY_S = 8.0
TIMEOUT_S = 12.0
FAULTS = (
    FaultMix.reset_connections,
    FaultMix.reset_connections,
    FaultMix.reset_and_delete,
    FaultMix.reset_and_delete,
    FaultMix.delete_jobs,
    FaultMix.lose_clients,
    FaultMix.freeze,
    FaultMix.kill,
    FaultMix.drain,
    FaultMix.cut_owner_from_process,
    FaultMix.cut_processes,
    FaultMix.disturb_orders,
    FaultMix.burst,
)


# Guards against owners that do not hear of a cancel, and go on with the job.
@pytest.mark.parametrize("seed", dict.fromkeys((*range(FIRST_SEED, END_SEED), *FAILED_SEEDS)))
def test_deleted_jobs_stop_and_tasks_run_once_while_connections_are_reset(seed: int) -> None:
    choices = random.Random(f"cancels {seed}")
    entries, servers, shards = choices.choice(SYSTEMS)
    cluster = Cluster(seed, entries, servers, shards, timeout_s=TIMEOUT_S)
    with cluster.running():
        jobs_per_s = choices.choice([0.25, 0.5, 1.0]) * servers
        cluster.load(jobs_per_s, FAULTY_S, kinds=KINDS)
        mix = FaultMix(cluster, seed, FAULTS)
        mix.schedule(choices.choice([2, 4, 8]), FAULTY_S)
        cluster.world.run(FAULTY_S + RECOVERY_S)
    assert cluster.statuses().get(200)
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


# Guards against a job that is started by the shard which had refused it, while another shard, to
# which the cancel of its first request was lost, still runs it.
@pytest.mark.parametrize("seed", range(1, 9))
def test_job_sent_again_after_a_lost_cancel_is_run_by_the_same_shard(seed: int) -> None:
    cluster = Cluster(seed, (3, 3), servers=16, shards=2, timeout_s=6.0)
    with cluster.running():
        (first,), (second,) = cluster.owners()[0], cluster.owners()[1]
        holder = next(entry for entry in cluster.entries if entry not in (first, second))
        for server in cluster.servers_of(1):
            server.slowness = 5.0
        for _ in range(len(cluster.servers_of(0))):
            cluster.submit(LONG, holder.node.domain, holder, shard=0)
        cluster.world.run(0.1)
        cluster.reset_link(holder, second)
        cluster.disconnect_clients(holder)
        cluster.world.run(6.0)
    assert any(event == "work-refused" for _, _, event, _ in cluster.events)
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


# Guards against an owner that goes on with a deleted job: the cancel was lost on a link that was
# reset at about the same time.
@pytest.mark.parametrize("reset_before_s", [-0.002, 0.0, 0.01, 0.05, 0.1])
@pytest.mark.parametrize("seed", range(1, 4))
def test_job_stops_although_its_cancel_is_lost_with_the_link(
    seed: int, reset_before_s: float
) -> None:
    cluster = Cluster(seed, (2, 2), servers=4, shards=1, timeout_s=TIMEOUT_S)
    with cluster.running():
        owner = cluster.owners()[0][0]
        holder = next(entry for entry in cluster.entries if entry is not owner)
        job_id = cluster.submit(SPREAD, holder.node.domain, holder)
        cluster.world.run(0.5)
        cluster.world.call_later(0.2 - reset_before_s, lambda: cluster.reset_link(holder, owner))
        cluster.world.call_later(0.2, lambda: cluster.delete(job_id))
        cluster.world.run(10.0)
    assert cluster.monitor.cancelled_at_by_job
    assert cluster.monitor.starts
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)
