"""Admission control: reject work that cannot finish in time or fits on no worker."""

from collections.abc import Iterable

from redwingport_messages.documents import JobSpec
from redwingport_messages.outcomes import Problem, not_run
from redwingport_messages.submissions import JobBody
from redwingport_messages.vms import VmInfo

MIN_RETRY_AFTER_S = 1.0


def check_fits(job: JobBody, limits: JobSpec, workers: Iterable[VmInfo]) -> Problem | None:
    """Reject a job that can never run.

    No resource check is made while no worker is listed.

    :param job: the job.
    :param limits: job limits of the service.
    :param workers: all listed workers.
    :returns: the reason for the rejection, or None if the job is admitted.
    """
    if len(job.tasks) > limits.max_tasks:
        detail = f"{len(job.tasks)} tasks; the service allows {limits.max_tasks}."
        return not_run(422, "too-many-tasks", detail, step="admission")
    known = list(workers)
    if not known:
        return None
    cpus = max(task.cpus for task in job.tasks)
    memory_mb = max(task.memory_mb for task in job.tasks)
    if any(worker.cpus >= cpus and worker.memory_mb >= memory_mb for worker in known):
        return None
    for task in job.tasks:
        if not any(w.cpus >= task.cpus and w.memory_mb >= task.memory_mb for w in known):
            detail = f"No worker has {task.cpus:g} processors and {task.memory_mb:g} MB."
            return not_run(422, "never-fits", detail, step="admission")
    return None


def check_queue(
    queued: int, limit: int, wait_s: float, run_s: float, remaining_s: float
) -> Problem | None:
    """Reject work that would miss its deadline or exceed the queue limit.

    :param queued: number of waiting tasks, including those of this submission.
    :param limit: maximum number of waiting tasks.
    :param wait_s: expected wait, in seconds.
    :param run_s: expected run time, in seconds.
    :param remaining_s: time until the deadline, in seconds.
    :returns: the reason for the rejection, or None if the work is admitted.
    """
    if queued > limit:
        return not_run(
            429,
            "queue-full",
            f"{queued} tasks would wait; the service allows {limit}.",
            step="admission",
            retryable=True,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
    if wait_s + run_s > remaining_s:
        return not_run(
            429,
            "too-late",
            f"The expected wait is {wait_s:.3f} s, the time left {remaining_s:.3f} s.",
            step="admission",
            retryable=True,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s + run_s - remaining_s),
        )
    return None
