"""Random mixes of faults in a single process, whose holder and owners notify each other.

More seeds are run with the environment variable ``REDWINGPORT_SIMULATION_SEEDS``, FIRST:END.
"""

import os
import random

import pytest

from redwingport_testbed.simulation.cluster import CHAIN, PAIR, SHORT, UNFIT, Cluster
from redwingport_testbed.simulation.faults import FaultMix

SEEDS_VARIABLE = "REDWINGPORT_SIMULATION_SEEDS"
FIRST_SEED, END_SEED = map(int, os.environ.get(SEEDS_VARIABLE, "1:9").split(":"))
FAULTY_S = 4.0
RECOVERY_S = 4.0
TIMEOUT_S = 3.0
FAULTS = (
    FaultMix.kill,
    FaultMix.kill,
    FaultMix.drain,
    FaultMix.freeze,
    FaultMix.cut_servers_from_processes,
    FaultMix.cut_server,
    FaultMix.drain_servers,
    FaultMix.slow_servers,
    FaultMix.lose_clients,
    FaultMix.burst,
)


# Guards against tasks that start after the process which owns their shard has refused their job.
@pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
def test_refused_job_of_several_steps_never_starts_in_the_process_that_refused_it(
    seed: int,
) -> None:
    choices = random.Random(f"loopback {seed}")
    shards = choices.choice([1, 2, 3])
    cluster = Cluster(seed, (1,), servers=6, shards=shards, timeout_s=TIMEOUT_S)
    with cluster.running():
        cluster.load(choices.choice([10, 20, 40]), FAULTY_S, kinds=(SHORT, PAIR, CHAIN, UNFIT))
        FaultMix(cluster, seed, FAULTS).schedule(choices.choice([2, 4, 8]), FAULTY_S)
        cluster.world.run(FAULTY_S + RECOVERY_S)
    assert cluster.statuses().get(200)
    assert "owner-failed" not in {event for _, _, event, _ in cluster.events}
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)
