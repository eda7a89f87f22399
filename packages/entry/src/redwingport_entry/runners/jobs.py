"""Runner of jobs: admission, placement, and a complete answer or none."""

import anyio
from result import Err

from redwingport_entry.gateways.job import Job
from redwingport_entry.gateways.workers import WorkerPool
from redwingport_messages.documents import JobSpec, ServiceDocument
from redwingport_messages.outcomes import Answer, answer_of_problem, failed, not_run
from redwingport_messages.submissions import JobBody, Submission, parse_job
from redwingport_messages.vms import VmKind
from redwingport_policy.admission import check_fits, check_queue
from redwingport_state.submissions import Record, cancelled_before_start


class JobRunner:
    """Run the jobs of all services on the workers.

    :param workers: the worker pool.
    """

    def __init__(self, workers: WorkerPool) -> None:
        self.job_by_submission: dict[str, Job] = {}
        self._workers = workers

    async def run(
        self, record: Record, submission: Submission, document: ServiceDocument
    ) -> Answer:
        """Run a job until it ends.

        :param record: the record of the submission.
        :param submission: the job as received.
        :param document: the service document in force.
        :returns: the complete answer, or the problem that prevented it.
        """
        if document.jobs is None:
            detail = f"The service {document.name} takes no jobs."
            return answer_of_problem(not_run(422, "no-jobs", detail, step="admission"))
        parsed = parse_job(submission.body)
        if isinstance(parsed, Err):
            problem = not_run(
                400, "invalid-body", "The job is not valid.", errors=parsed.err_value, step="parse"
            )
            return answer_of_problem(problem)
        body = parsed.ok_value
        deadline = self._deadline(submission, document.jobs, body)
        refused = self._admission_refusal(body, document, deadline)
        if refused is not None:
            return refused
        job = Job(
            str(record.submission_id),
            document,
            body.tasks,
            deadline,
            document.jobs.max_answer_bytes,
        )
        return await self._run_to_end(record, job)

    def _deadline(self, submission: Submission, limits: JobSpec, body: JobBody) -> float:
        now = self._workers.clock()
        timeout_ms = min(body.timeout_ms or limits.timeout_ms, limits.timeout_ms)
        return min(submission.deadline, now + timeout_ms / 1000.0)

    def _admission_refusal(
        self, body: JobBody, document: ServiceDocument, deadline: float
    ) -> Answer | None:
        assert document.jobs is not None
        workers = self._workers
        problem = check_fits(body, document.jobs, workers.membership.of_kind(VmKind.WORKER))
        if problem is None:
            run_times = [
                workers.run_times.expected_s(document.name, task.expected_ms)
                for task in body.tasks
            ]
            problem = check_queue(
                workers.queue.length + len(body.tasks),
                min(document.queue_limit, workers.settings.limits.queue_limit),
                workers.expected_wait_s(sum(run_times)),
                max(run_times),
                deadline - workers.clock(),
            )
        return None if problem is None else answer_of_problem(problem)

    async def _run_to_end(self, record: Record, job: Job) -> Answer:
        self.job_by_submission[job.submission] = job
        self._workers.add(job)
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._end_when_cancelled, record, job)
                with anyio.move_on_at(job.deadline):
                    await job.ended.wait()
                task_group.cancel_scope.cancel()
            if not job.is_ended:
                self._end_at_deadline(job)
            return job.answer()
        finally:
            del self.job_by_submission[job.submission]
            if job.problem is not None:
                self._workers.drop(job)

    async def _end_when_cancelled(self, record: Record, job: Job) -> None:
        await record.cancelled.wait()
        if job.sent:
            job.end(failed("cancelled", "Cancelled after tasks were started.", step="cancel"))
        else:
            job.end(cancelled_before_start())

    def _end_at_deadline(self, job: Job) -> None:
        if job.sent:
            detail = f"{len(job.results)} of {len(job.tasks)} tasks ended before the deadline."
            job.end(failed("deadline-passed", detail, step="run tasks"))
            return
        detail = "The deadline passed before any task was started."
        job.end(not_run(503, "no-worker-free", detail, step="queue", retryable=True))
