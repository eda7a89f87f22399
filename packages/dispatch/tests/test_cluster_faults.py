"""Random mixes of faults in clusters: no task ever has two runs at the same time.

More seeds are run with the environment variable ``REDWINGPORT_SIMULATION_SEEDS``, FIRST:END.
"""

import os
import random

import pytest

from redwingport_testbed.simulation.cluster import LASTING, MEDIUM, SHORT, TIMEOUT_S, Cluster
from redwingport_testbed.simulation.faults import FAULTS_OF_LASTING_TASKS, FaultMix

SEEDS_VARIABLE = "REDWINGPORT_SIMULATION_SEEDS"
FIRST_SEED, END_SEED = map(int, os.environ.get(SEEDS_VARIABLE, "1:5").split(":"))
SYSTEMS = (
    # Entry processes by domain, servers and shards.
    ((4, 4, 4, 4), 24, 3),
    ((5, 5, 4, 4), 32, 4),
    ((4, 4, 4, 3), 24, 3),
    ((3, 3, 3), 16, 2),
    ((2, 2), 8, 1),
)
FAULTY_S = 5.0
# The longer one lets a resumed task wait for the end of earlier leases.
TIMEOUTS_S = (TIMEOUT_S, 4.0)
LASTING_TIMEOUT_S = 10.0
MAX_FAULT_S = 3.0
RECOVERY_S = 2.0
PROBE_S = 2.0


# Seeds whose mixes made tasks run twice: jobs ranked by different lists of servers (321), a work
# item that arrived late (368), jobs that clients sent again while an owner took over (409), while
# the number of shards rose (449) and before an owner was killed (600).
FAILED_SEEDS = (321, 368, 409, 449, 600)


@pytest.mark.parametrize("seed", dict.fromkeys((*range(FIRST_SEED, END_SEED), *FAILED_SEEDS)))
def test_mix_of_faults_has_no_second_runs_and_no_started_refusals(seed: int) -> None:
    choices = random.Random(f"mix {seed}")
    entries, servers, shards = choices.choice(SYSTEMS)
    cluster = Cluster(seed, entries, servers, shards, timeout_s=choices.choice(TIMEOUTS_S))
    with cluster.running():
        cluster.load(choices.choice([0.5, 1.0, 2.0]) * servers, FAULTY_S)
        FaultMix(cluster, seed).schedule(choices.choice([1, 2, 4, 8]), FAULTY_S)
        cluster.world.run(FAULTY_S + MAX_FAULT_S)
        cluster.world.run(RECOVERY_S)
        probed_from = cluster.world.now
        cluster.load(5, PROBE_S, kinds=(SHORT, MEDIUM))
        cluster.world.run(PROBE_S + TIMEOUT_S)
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)
    probes = [a for a in cluster.attempts if a.number == 1 and a.sent_at >= probed_from]
    unserved = [attempt.job_id for attempt in probes if attempt.status != 200]
    assert probes
    assert not unserved, cluster.explain(unserved[0])


# Guards against second runs that short tasks are over too early to show: of servers that left the
# list, and of owners that went on after a pause.
@pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
def test_mix_of_faults_has_no_second_runs_of_lasting_tasks(seed: int) -> None:
    choices = random.Random(f"lasting mix {seed}")
    entries, servers, shards = choices.choice(SYSTEMS)
    cluster = Cluster(seed, entries, servers, shards, timeout_s=LASTING_TIMEOUT_S)
    with cluster.running():
        jobs_per_s = choices.choice([0.2, 0.4, 0.8]) * servers
        cluster.load(jobs_per_s, FAULTY_S, kinds=(SHORT, MEDIUM, LASTING))
        mix = FaultMix(cluster, seed, FAULTS_OF_LASTING_TASKS)
        mix.schedule(choices.choice([1, 2, 4, 8]), FAULTY_S)
        cluster.world.run(FAULTY_S + MAX_FAULT_S + LASTING_TIMEOUT_S)
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)
