"""Test the order in which queued tasks are started."""

from redwingport_entry.gateways.job import Job, QueuedTask
from redwingport_messages.documents import JobSpec, ServiceDocument
from redwingport_messages.submissions import TaskBody
from redwingport_policy.fair_queue import FairQueue

DOCUMENT = ServiceDocument(name="route-build", team="dairy", jobs=JobSpec())


def queued(arrived_at: float, *run_times: float, timeout_s: float = 60) -> list[QueuedTask]:
    job = Job(
        f"job-{arrived_at}",
        DOCUMENT,
        [TaskBody(expected_ms=run_s * 1000) for run_s in run_times],
        arrived_at + timeout_s,
        1024,
        arrived_at + max(run_times),
    )
    return [QueuedTask(job, number, run_s) for number, run_s in enumerate(run_times)]


def start_order(tasks: list[QueuedTask]) -> list[float]:
    queue: FairQueue[QueuedTask] = FairQueue({})
    for task in tasks:
        queue.push(task)
    taken = []
    while (head := queue.peek()) is not None:
        queue.take(head[1])
        taken.append(head[1].run_s)
    return taken


def test_longest_task_of_a_job_starts_first() -> None:
    # Guards against late jobs: a long task that starts last delays the whole job.
    assert start_order(queued(0.0, 0.1, 2.0, 0.5)) == [2.0, 0.5, 0.1]


def test_short_job_does_not_wait_for_tasks_with_slack() -> None:
    # The short tasks of the older job may start up to 1.9 s later without delaying it.
    assert start_order(queued(0.0, 0.1, 2.0) + queued(0.5, 0.2)) == [2.0, 0.2, 0.1]


def test_waiting_tasks_are_overtaken_only_until_their_job_is_late() -> None:
    # Guards against starvation: ordered by run time alone, long jobs would wait permanently under
    # a stream of short ones.
    assert start_order(queued(0.0, 1.0) + queued(1.5, 0.3)) == [1.0, 0.3]
    assert start_order(queued(0.0, 0.1, 2.0)[:1] + queued(2.5, 0.2)) == [0.1, 0.2]
