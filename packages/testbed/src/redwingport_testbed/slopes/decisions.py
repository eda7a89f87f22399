"""Measure the CPU time of a decision by number of backend servers and of teams."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from redwingport_policy.backends import CHOOSER_BY_NAME
from redwingport_policy.base import Candidate, Work
from redwingport_policy.fair_queue import FairQueue
from redwingport_testbed.slopes.series import Series

SEED = 3
REPEATS = 5


@dataclass(frozen=True, slots=True)
class _QueueItem:
    team: str
    deadline: float
    run_s: float


def decision_series(quick: bool) -> list[tuple[Series, float]]:
    """Measure the choice of a server and the choice of the next task.

    :param quick: use fewer repetitions, to test the tool.
    :returns: pairs of a series in microseconds and its planned size.
    """
    count = 200 if quick else 5000
    servers = [(float(n), _choice_us(n, count)) for n in (16, 32, 64, 128)]
    teams = [(float(n), _queue_us(n, count)) for n in (10, 20, 40, 80)]
    return [
        (Series("choice of a server, us", "servers", tuple(servers)), 128),
        (Series("choice of a task, us", "teams", tuple(teams)), 80),
    ]


def _choice_us(servers: int, count: int) -> float:
    rng = random.Random(SEED)
    chooser = CHOOSER_BY_NAME["completion-time"](rng)
    candidates = [
        Candidate(
            server_id=f"worker-{number}",
            domain="creamery",
            local=number % 2 == 0,
            slots=16,
            own_active=rng.randrange(8),
            other_active=float(rng.randrange(10)),
            slowness=rng.choice((0.6, 0.8, 1.0, 1.5, 2.5)),
        )
        for number in range(servers)
    ]
    work = Work(run_s=0.2, queued=10, now=0.0, may_queue=False, mean_run_s=0.2)
    return _min_us(lambda: chooser.choose(candidates, work), count)


def _queue_us(teams: int, count: int) -> float:
    queue: FairQueue[_QueueItem] = FairQueue({})
    for number in range(teams * 20):
        queue.push(_QueueItem(f"team-{number % teams}", float(number), 0.2))

    def requeue_head() -> None:
        head = queue.peek()
        assert head is not None
        queue.take(head[1])
        queue.push(head[1])

    return _min_us(requeue_head, count)


def _min_us(call: Callable[[], object], count: int) -> float:
    """Return the mean CPU time per call in the fastest of several rounds, in microseconds."""
    min_s = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(count):
            call()
        min_s = min(min_s, time.process_time() - started_at)
    return min_s / count * 1e6
