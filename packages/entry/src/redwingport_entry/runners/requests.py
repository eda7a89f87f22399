"""Runner of requests: admission, routing, accurate failure outcomes and bounded retries."""

from collections import Counter

from result import Err

from redwingport_entry.gateways.executors import (
    Attempt,
    ExecutorPool,
    Lost,
    NotSent,
    Waiter,
    log_route,
)
from redwingport_messages.documents import OperationSpec, ServiceDocument
from redwingport_messages.outcomes import (
    Answer,
    Outcome,
    answer_of_problem,
    not_run,
    outcome_unknown,
)
from redwingport_messages.submissions import Submission
from redwingport_policy.admission import check_queue
from redwingport_policy.retry_budget import RetryBudget
from redwingport_state.submissions import Record, cancelled_before_start

MAX_UNSENT_ATTEMPTS = 10
# Requests declare no run time, so the estimate is doubled: a request that is sent too late ends
# as outcome-unknown.
RUN_TIME_MARGIN = 2.0


class RequestRunner:
    """Run the requests of one service on its executors.

    :param executors: the executor pool of the service.
    """

    def __init__(self, executors: ExecutorPool) -> None:
        self._executors = executors
        self._budget_percent = -1
        self._budget = RetryBudget(0)
        self._running_by_operation: Counter[str] = Counter()

    async def run(
        self, record: Record, submission: Submission, document: ServiceDocument
    ) -> Answer:
        """Run a request until it ends.

        :param record: the record of the submission.
        :param submission: the request as received.
        :param document: the service document in force.
        :returns: the executor's answer, or the problem that prevented it.
        """
        operation = document.operations.get(submission.operation)
        if operation is None:
            detail = f"The service {document.name} has no operation {submission.operation}."
            return answer_of_problem(not_run(404, "unknown-operation", detail, step="admission"))
        submission = self._limit_deadline(submission, operation)
        run_s = self._expected_run_s(submission.operation, operation)
        refused = self._admission_refusal(document, submission, operation, run_s)
        if refused is not None:
            return refused
        self._count_first_attempt(document)
        self._running_by_operation[submission.operation] += 1
        try:
            return await self._run_attempts(record, submission, document, operation, run_s)
        finally:
            self._running_by_operation[submission.operation] -= 1

    async def _run_attempts(
        self,
        record: Record,
        submission: Submission,
        document: ServiceDocument,
        operation: OperationSpec,
        run_s: float,
    ) -> Answer:
        executors = self._executors
        unsent = lost = 0
        while True:
            waiter = Waiter(document.team, submission.deadline, run_s)
            chosen = await executors.acquire(waiter)
            if isinstance(chosen, Err):
                return self._not_sent_answer(lost, chosen.err_value)
            server = chosen.ok_value
            if record.cancelled.is_set() and not lost:
                server.view.own_active -= 1
                executors.dispatch()
                return answer_of_problem(cancelled_before_start())
            attempt = Attempt(str(record.submission_id), submission, unsent + lost, run_s)
            count = len(executors.server_by_id)
            length = executors.queue.length
            log_route(document.name, attempt, server, executors.chooser.name, count, length)
            outcome = await executors.exchange(server, attempt)
            if isinstance(outcome, Answer):
                return outcome
            if isinstance(outcome, NotSent):
                unsent += 1
                executors.metrics.retries.labels("not-written").inc()
                if unsent >= MAX_UNSENT_ATTEMPTS:
                    return self._not_sent_answer(lost, outcome.reason, outcome.server)
                continue
            lost += 1
            if not self._may_repeat(operation, document, lost):
                return _answer_lost(outcome)
            executors.metrics.retries.labels("lost").inc()

    def _may_repeat(self, operation: OperationSpec, document: ServiceDocument, lost: int) -> bool:
        return operation.idempotent and lost < document.retry.max_attempts and self._budget.take()

    def _not_sent_answer(self, lost: int, reason: str, peer: str = "") -> Answer:
        if lost:
            return _answer_lost(Lost(peer, reason))
        problem = not_run(
            503,
            "no-executor-free",
            f"The request was not sent: {reason}.",
            step="route request",
            peer=peer,
            retryable=True,
            retry_after_s=1.0,
        )
        return answer_of_problem(problem)

    def _limit_deadline(self, submission: Submission, operation: OperationSpec) -> Submission:
        latest = self._executors.clock() + operation.timeout_ms / 1000.0
        return Submission(
            submission.service,
            submission.operation,
            submission.body,
            submission.content_type,
            min(submission.deadline, latest),
        )

    def _expected_run_s(self, name: str, operation: OperationSpec) -> float:
        return self._executors.run_times.mean_s(name) or operation.expected_ms / 1000.0

    def _admission_refusal(
        self,
        document: ServiceDocument,
        submission: Submission,
        operation: OperationSpec,
        run_s: float,
    ) -> Answer | None:
        executors = self._executors
        refuses_all = run_s * RUN_TIME_MARGIN > operation.timeout_ms / 1000.0
        if refuses_all and not self._running_by_operation[submission.operation]:
            # Only a request that runs can correct such an estimate.
            run_s = min(run_s, operation.expected_ms / 1000.0)
        problem = check_queue(
            executors.queue.length + 1,
            min(document.queue_limit, executors.settings.limits.queue_limit),
            executors.expected_wait_s(run_s),
            run_s * RUN_TIME_MARGIN,
            submission.deadline - executors.clock(),
        )
        return None if problem is None else answer_of_problem(problem)

    def _count_first_attempt(self, document: ServiceDocument) -> None:
        percent = document.retry.budget_percent
        if percent != self._budget_percent:
            self._budget_percent = percent
            self._budget = RetryBudget(percent)
        self._budget.count_first_attempt()


def _answer_lost(lost: Lost) -> Answer:
    problem = outcome_unknown(
        "answer-lost",
        f"The request may have run: {lost.reason}.",
        step="exchange request",
        peer=lost.server,
    )
    assert problem.outcome is Outcome.OUTCOME_UNKNOWN
    return answer_of_problem(problem)
