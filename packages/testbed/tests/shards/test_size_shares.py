"""Jobs of all sizes of a kind are served in a large deployment under load."""

from redwingport_dispatch.ownership.shards import shard_count_for
from redwingport_testbed.shards.report import SizeClass, summarize
from redwingport_testbed.shards.simulation import Deployment, simulate
from redwingport_testbed.shards.workload import KINDS, draw_bursts, draw_jobs

SERVERS = 176
SECONDS = 12.0
WARM_UP_S = 2.0
OWNER_TASK_S = 0.0027
# Large jobs have to be served at least this often, relative to all jobs of their kind, by the
# users' rules.
MIN_SHARE_RATIO = 0.5


def assert_large_jobs_are_served(load: float, seed: int) -> None:
    """Assert the users' bound on the shares of served jobs for all kinds and sizes."""
    deployment = Deployment(SERVERS, shard_count_for(SERVERS), owner_task_s=OWNER_TASK_S)
    plans = draw_jobs(load, SERVERS, SECONDS, draw_bursts(SECONDS, seed), seed)
    summaries = summarize(simulate(deployment, plans), WARM_UP_S)
    for kind in KINDS:
        min_share = MIN_SHARE_RATIO * summaries[kind.name, SizeClass.ALL].served_share
        for size_class in (SizeClass.LARGEST, SizeClass.LARGE):
            share = summaries[kind.name, size_class].served_share
            assert share >= min_share, (kind.name, size_class)


# The largest jobs waited behind late and smaller ones until it was too late for them.
def test_large_jobs_are_served_at_high_load() -> None:
    assert_large_jobs_are_served(load=1.3, seed=2)


# As above, while the owners' processors are busy without a pause.
def test_large_jobs_are_served_when_owners_are_overloaded() -> None:
    assert_large_jobs_are_served(load=1.6, seed=1)
