"""Tasks that crash their servers in clusters whose owners change meanwhile.

More seeds are run with the environment variable ``REDWINGPORT_SIMULATION_SEEDS``, FIRST:END.
"""

import os
import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

import pytest

from redwingport_dispatch.process import DispatchProcess
from redwingport_testbed.simulation.cluster import CRASHING, MEDIUM, TIMEOUT_S, Cluster
from redwingport_testbed.simulation.faults import FaultMix

SEEDS_VARIABLE = "REDWINGPORT_SIMULATION_SEEDS"
FIRST_SEED, END_SEED = map(int, os.environ.get(SEEDS_VARIABLE, "1:5").split(":"))
# A job whose run had ended behind a cut was given up, when its server crashed later.
FAILED_SEEDS = (124,)

# The body of the answer tells that the job has failed.
FAILED = 200


def check(cluster: Cluster) -> None:
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


class Exchange:
    """Count the messages with crashes, and what the processes have announced in them.

    Once far more were handled than announced, the others are dropped, so that the cluster goes on.
    """

    MAX_HANDLED = 20_000

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.announced = 0
        self.opened = 0
        self.handled_at: list[float] = []

    @contextmanager
    def counted(self) -> Iterator[None]:
        with ExitStack() as stack:
            for name, count in (
                ("_announce_crashes", self._count_announced),
                ("_announce_retraction", self._count_announced),
                ("_handle_link", self._count_opened),
                ("_handle_crashes", self._count_handled),
            ):
                method = getattr(DispatchProcess, name)
                stack.enter_context(mock.patch.object(DispatchProcess, name, count(method)))
            yield

    def _count_announced(self, method: Callable[..., None]) -> Callable[..., None]:
        def announce(process: DispatchProcess, items: object) -> None:
            # Crashes of one server are announced together, but may be passed on one by one.
            self.announced += len(items) if isinstance(items, list) else 1
            method(process, items)

        return announce

    def _count_opened(self, method: Callable[..., None]) -> Callable[..., None]:
        def handle(process: DispatchProcess, incarnation: str) -> None:
            self.opened += 1
            method(process, incarnation)

        return handle

    def _count_handled(self, method: Callable[..., None]) -> Callable[..., None]:
        def handle(process: DispatchProcess, sender: str, message: object) -> None:
            self.handled_at.append(self._cluster.world.now)
            if len(self.handled_at) < self.MAX_HANDLED:
                method(process, sender, message)

        return handle


def count_given_up(cluster: Cluster) -> int:
    return sum(event == "task-given-up" for _, _, event, _ in cluster.events)


# Guards against a job that crashed server after server until its deadline, and again after each
# resubmission.
@pytest.mark.parametrize("seed", range(1, 5))
def test_job_that_crashes_servers_is_answered_before_its_deadline(seed: int) -> None:
    cluster = Cluster(seed, (3, 3), servers=16, shards=2)
    with cluster.running():
        job_id = cluster.submit(CRASHING)
        cluster.world.run(6.0)
    attempts = [a for a in cluster.attempts if a.job_id == job_id]
    assert [a.status for a in attempts] == [FAILED], cluster.explain(job_id)
    assert cluster.crashes_by_task == {f"{job_id}.0.0.0": 2}
    check(cluster)


# Guards against losing the record with the owner: the next one started the task on server after
# server again.
@pytest.mark.parametrize(
    ("seed", "entries"),
    [*((seed, (3, 3)) for seed in range(1, 9)), *((seed, (4, 4, 4, 4)) for seed in (1, 2))],
)
def test_crashes_are_remembered_when_the_owner_ends_after_each(
    seed: int, entries: tuple[int, ...]
) -> None:
    # In the larger system only hubs are linked to all others.
    cluster = Cluster(seed, entries, servers=16, shards=2)
    with cluster.running():
        job_id = cluster.submit(CRASHING, shard=0)
        for _ in range(3):
            crashes = sum(cluster.crashes_by_task.values())
            for _ in range(400):
                cluster.world.run(0.01)
                if sum(cluster.crashes_by_task.values()) > crashes:
                    break
            cluster.world.run(0.25)
            for entry in cluster.owners().get(0, []):
                cluster.kill(entry, refuses=True)
                cluster.world.call_later(2.0, lambda entry=entry: cluster.start(entry))
        cluster.world.run(8.0)
    assert cluster.crashes_by_task[f"{job_id}.0.0.0"] <= 3, cluster.explain(job_id)
    assert count_given_up(cluster), cluster.explain(job_id)
    check(cluster)


# Guards against processes that exchange crashes and retractions without end: one that was frozen
# took a crash that was retracted meanwhile for a later one, and so did the others in turn.
@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("frozen_s", [0.0, 0.35])
def test_crashes_of_many_servers_are_exchanged_once(seed: int, frozen_s: float) -> None:
    cluster = Cluster(seed, (2, 2), servers=16, shards=1, timeout_s=10.0)
    exchange = Exchange(cluster)
    with exchange.counted(), cluster.running():
        cluster.load(40, 4.0, kinds=(MEDIUM,))
        cluster.world.run(1.0)
        if frozen_s:
            cluster.freeze(next(e for e in cluster.entries if not cluster.is_owner(e)), frozen_s)
        for server_id in list(cluster.server_by_id):
            cluster.crash_server(server_id, 0.05)
        cluster.world.run(6.0)
    assert exchange.announced
    others = len(cluster.entries) - 1
    # Each process sends an item to all others at most once, and all that it knows on a new link.
    most = exchange.announced * len(cluster.entries) * others + exchange.opened
    assert len(exchange.handled_at) <= most
    assert exchange.handled_at[-1] < cluster.world.now - 1.0
    check(cluster)


# Guards against harm to the other jobs while some crash their servers.
@pytest.mark.parametrize("seed", range(1, 4))
def test_other_jobs_are_done_while_some_crash_servers(seed: int) -> None:
    cluster = Cluster(seed, (3, 3), servers=32, shards=2, timeout_s=4.0)
    with cluster.running():
        cluster.load(12, 6.0, kinds=(MEDIUM,))
        cluster.load(1, 6.0, kinds=(CRASHING,))
        cluster.world.run(14.0)
    assert cluster.crashes_by_task
    assert max(cluster.crashes_by_task.values()) <= 2
    others = {a.job_id: a for a in cluster.attempts if a.kind is not CRASHING}
    unserved = [job_id for job_id, attempt in others.items() if attempt.status != 200]
    assert not unserved, cluster.explain(unserved[0])
    failed = [
        f
        for _, _, event, f in cluster.events
        if event == "job-ended" and f["outcome"] == "failed" and f["job"] in others
    ]
    assert not failed
    check(cluster)


# Guards against a task that crashes servers without limit, and against failing other jobs, while
# processes, servers and paths fail, too.
@pytest.mark.parametrize("seed", dict.fromkeys((*range(FIRST_SEED, END_SEED), *FAILED_SEEDS)))
def test_mix_of_faults_lets_no_task_crash_many_servers(seed: int) -> None:
    choices = random.Random(f"crash mix {seed}")
    shards, timeout_s = choices.choice([1, 2, 3]), choices.choice([TIMEOUT_S, 4.0])
    cluster = Cluster(seed, (3, 3, 3), 24, shards, timeout_s=timeout_s)
    with cluster.running():
        cluster.load(10, 6.0)
        cluster.load(0.7, 5.0, kinds=(CRASHING,))
        FaultMix(cluster, seed).schedule(choices.choice([1, 2, 4]), 5.0)
        cluster.world.run(16.0)
    check(cluster)
    others = {attempt.job_id for attempt in cluster.attempts if attempt.kind is not CRASHING}
    given_up = {f["job"] for _, _, event, f in cluster.events if event == "task-given-up"}
    assert not given_up & others
    for task, crashes in cluster.crashes_by_task.items():
        assert crashes <= 3, cluster.explain(task.partition(".")[0])
