"""Submissions: their owner runs or answers them, other processes forward them to it."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from redwingport_entry.keys import KeyRecords
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_entry.runners.jobs import JobRunner
from redwingport_entry.runners.requests import RequestRunner
from redwingport_messages.ids import SubmissionId, parse_submission_id
from redwingport_messages.outcomes import (
    Answer,
    Problem,
    answer_of_problem,
    failed,
    not_run,
    outcome_unknown,
)
from redwingport_messages.submissions import Submission
from redwingport_state.documents import DocumentStore
from redwingport_state.handover import HandedOverRecords
from redwingport_state.submissions import Attached, Record, Started, SubmissionTable

Forwarder = Callable[[str, SubmissionId, Submission], Awaitable[Answer]]
EXPIRE_INTERVAL_S = 1.0

logger = logging.getLogger(ROOT)


class Submissions:
    """Accept submissions from callers and peers.

    Runs belong to a task group, not to the connection of the caller, so that the answer is stored
    even when the caller has disconnected.

    :param task_group: task group of the runs.
    :param table: submissions of this incarnation.
    :param handed_over: records received from incarnations that have ended.
    :param keys: records of idempotency keys.
    :param documents: service documents in force.
    :param jobs: runner of jobs.
    :param request_runner: returns the runner for the requests of a service.
    :param metrics: metrics of the process.
    :ivar forward: sends a submission, a read or a cancellation to the owner of its id.
    :ivar closed: whether new submissions are refused, because the process shuts down.
    """

    def __init__(
        self,
        task_group: TaskGroup,
        table: SubmissionTable,
        handed_over: HandedOverRecords,
        keys: KeyRecords,
        documents: DocumentStore,
        jobs: JobRunner,
        request_runner: Callable[[str], RequestRunner],
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.handed_over = handed_over
        self._task_group = task_group
        self._keys = keys
        self._documents = documents
        self._jobs = jobs
        self._request_runner = request_runner
        self._metrics = metrics
        self.forward: Forwarder = _no_peers
        self.closed = False

    async def submit(self, submission: Submission, id_text: str, key: str) -> tuple[str, Answer]:
        """Run, attach to or forward a submission of a caller, and return its answer.

        :param submission: the job or request.
        :param id_text: submission id given by the caller, or an empty string.
        :param key: idempotency key given by the caller, or an empty string.
        :returns: the submission id, empty when there is none, and the answer.
        """
        if not id_text and not key:
            return await self._submit_once(submission)
        resolved = await self._resolve(submission, id_text, key)
        if isinstance(resolved, Err):
            return id_text, resolved.err_value
        submission_id = resolved.ok_value
        if submission_id.incarnation == self.table.issuer.incarnation:
            return str(submission_id), await self.submit_own(submission_id, submission)
        return str(submission_id), await self.forward("submit", submission_id, submission)

    async def _submit_once(self, submission: Submission) -> tuple[str, Answer]:
        """Run a submission without id or key, which the caller cannot safely retry."""
        if self.closed:
            return "", answer_of_problem(_shutting_down())
        record = self.table.begin_single_use(submission.fingerprint())
        self._task_group.start_soon(self._run, record, submission)
        return str(record.submission_id), await self._wait(record, submission.deadline)

    async def submit_own(self, submission_id: SubmissionId, submission: Submission) -> Answer:
        """Start, attach to or answer a submission whose id was issued by this incarnation."""
        if self.closed and self.table.is_unused(submission_id):
            return answer_of_problem(_shutting_down())
        begun = self.table.begin(submission_id, submission.fingerprint())
        if isinstance(begun, Err):
            return answer_of_problem(begun.err_value)
        match begun.ok_value:
            case Started(record):
                self._task_group.start_soon(self._run, record, submission)
            case Attached(record):
                log_event(logger, logging.INFO, "attach", submission=str(submission_id))
            case answered:
                return answered.answer
        return await self._wait(record, submission.deadline)

    def handed_over_answer(self, submission_id: SubmissionId, fingerprint: str) -> Answer | None:
        """Return the handed-over answer of a submission of an ended incarnation.

        :param submission_id: id of the submission.
        :param fingerprint: digest of the submission, empty for a read or a cancellation.
        :returns: the answer, or None when no record of it was handed over.
        """
        found = self.handed_over.find(submission_id, fingerprint)
        if isinstance(found, Err):
            return answer_of_problem(found.err_value)
        return found.ok_value

    async def read(self, submission_id: SubmissionId, deadline: float) -> Answer | None:
        """Return the stored answer of a submission of this incarnation, or None without one.

        :param submission_id: id of the submission.
        :param deadline: not used; the answer is never waited for.
        """
        found = self.table.find(submission_id)
        if isinstance(found, Err):
            return answer_of_problem(found.err_value)
        record = found.ok_value
        return None if record is None else record.answer

    async def cancel(self, submission_id: SubmissionId, deadline: float) -> Answer:
        """Cancel a submission of this incarnation and wait for its answer.

        :param submission_id: id of the submission.
        :param deadline: monotonic time; the wait ends a grace period later.
        """
        cancelled = self.table.cancel(submission_id)
        if isinstance(cancelled, Err):
            return answer_of_problem(cancelled.err_value)
        return await self._wait(cancelled.ok_value, deadline)

    async def expire(self) -> None:
        """Remove expired records on a timer."""
        while True:
            self.table.expire()
            self.handed_over.expire()
            await anyio.sleep(EXPIRE_INTERVAL_S)

    async def _resolve(
        self, submission: Submission, id_text: str, key: str
    ) -> Result[SubmissionId, Answer]:
        if key:
            fingerprint = submission.fingerprint()
            row = f"keys/{submission.service}/{key}"
            own_id = self.table.issue()
            resolved = await self._keys.resolve(row, own_id, fingerprint, submission.deadline)
            return resolved.map_err(answer_of_problem)
        parsed = parse_submission_id(id_text)
        if isinstance(parsed, Err):
            problem = not_run(400, "invalid-id", parsed.err_value, step="parse")
            return Err(answer_of_problem(problem))
        return Ok(parsed.ok_value)

    async def _wait(self, record: Record, deadline: float) -> Answer:
        # The run ends by its own deadline; the grace period lets its answer be stored first.
        with anyio.move_on_at(deadline + 1.0):
            await record.done.wait()
        if record.answer is not None:
            return record.answer
        problem = outcome_unknown(
            "still-running",
            "The submission is still running.",
            step="wait",
            retryable=True,
            retry_after_s=1.0,
        )
        return answer_of_problem(problem)

    async def _run(self, record: Record, submission: Submission) -> None:
        started_at = anyio.current_time()
        answer = answer_of_problem(
            failed("internal-error", "The process failed to run the submission.", step="run")
        )
        try:
            answer = await self._run_document(record, submission)
        except Exception as error:
            log_event(
                logger,
                logging.ERROR,
                "run-failed",
                submission=str(record.submission_id),
                error=f"{type(error).__name__}: {error}",
            )
        finally:
            self.table.finish(record, answer)
        service = submission.service if self._documents.get(submission.service) else "unknown"
        self._metrics.submissions.labels(service, str(answer.outcome)).inc()
        seconds = anyio.current_time() - started_at
        self._metrics.submission_seconds.labels(service).observe(seconds)

    async def _run_document(self, record: Record, submission: Submission) -> Answer:
        document = self._documents.get(submission.service)
        if document is None and not self._documents.from_platform:
            detail = "This process has no service documents yet."
            problem = not_run(503, "not-ready", detail, step="admission", retryable=True)
            return answer_of_problem(problem)
        if document is None:
            detail = f"There is no service {submission.service}."
            return answer_of_problem(not_run(404, "unknown-service", detail, step="admission"))
        if not submission.operation:
            return await self._jobs.run(record, submission, document)
        return await self._request_runner(document.name).run(record, submission, document)


def _shutting_down() -> Problem:
    """Return the problem for a submission that arrives after the last run of a shutdown."""
    detail = "The process that owns this id is shutting down; resubmit under a new id."
    return not_run(503, "shutting-down", detail, step="begin")


async def _no_peers(kind: str, submission_id: SubmissionId, submission: Submission) -> Answer:
    problem = outcome_unknown(
        "owner-unreachable", "No peer is known.", step="forward", retryable=True
    )
    return answer_of_problem(problem)
