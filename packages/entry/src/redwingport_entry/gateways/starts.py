"""Exchange of one start request, from sending it to the ends of its tasks."""

import logging
from typing import TYPE_CHECKING

import anyio
import httpcore
from result import Err

from redwingport_entry.exceptions import EntryError
from redwingport_entry.gateways.connections import Connection, NotWrittenError, send_request
from redwingport_entry.gateways.job import Job, QueuedTask
from redwingport_entry.gateways.lines import read_lines
from redwingport_entry.gateways.pool import decision_logger, logger
from redwingport_entry.gateways.servers import Server
from redwingport_entry.logs import log_event
from redwingport_messages.backend import (
    StartAnswer,
    StartRequest,
    TaskEnd,
    TaskStart,
    TaskStatus,
    parse_line,
)
from redwingport_messages.outcomes import failed
from redwingport_policy.estimates import learn_slowness

if TYPE_CHECKING:
    from redwingport_entry.gateways.workers import WorkerPool

START_WINDOW_S = 5.0
READ_GRACE_S = 2.0
LINE_OVERHEAD_BYTES = 65536
JSON_HEADERS = [(b"content-type", b"application/json")]
LOST_WORKER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    EntryError,
    TimeoutError,
)


class StartExchange:
    """Send one start request and receive the ends of its tasks.

    :param pool: pool that placed the tasks.
    :param server: the worker.
    :param job: the job.
    :param tasks: tasks of the job to start; their slots are reserved.
    """

    def __init__(
        self, pool: "WorkerPool", server: Server, job: Job, tasks: list[QueuedTask]
    ) -> None:
        self._pool = pool
        self._server = server
        self._job = job
        self._pending = {task.number: task for task in tasks}

    async def run(self, connection: Connection) -> bool:
        """Send the start request on a connection and process its answer.

        :param connection: connection to the worker.
        :returns: whether the connection may be reused.
        """
        pool, server, job = self._pool, self._server, self._job
        if job.is_ended or pool.clock() >= job.deadline:
            # The runner ends the job. Requeued tasks would be placed again at once, in a loop
            # that never lets the runner's timer fire.
            pool.release_all(server, list(self._pending.values()))
            return True
        if server.view.leaving:
            pool.requeue(server, list(self._pending.values()))
            return True
        job.sent.update(self._pending)
        try:
            remaining_s = max(job.deadline - pool.clock(), 0.0) + READ_GRACE_S
            with anyio.fail_after(remaining_s):
                return await self._exchange(connection)
        except NotWrittenError as error:
            pool.count_unreachable(server)
            job.sent.difference_update(self._pending)
            self._log_retry("not-written", str(error))
            pool.requeue(server, list(self._pending.values()))
        except Exception as error:
            self._fail_lost(error)
            if not isinstance(error, LOST_WORKER_ERRORS):
                raise
        return False

    async def _exchange(self, connection: Connection) -> bool:
        pool, server, job = self._pool, self._server, self._job
        sent_at = pool.clock()
        request = self._request(sent_at)
        pool.metrics.messages.labels("start").inc()
        response = await send_request(
            connection,
            "POST",
            server.url("/v1/starts"),
            JSON_HEADERS,
            request.encode(),
        )
        try:
            if response.status != 200:
                raise EntryError(
                    "start tasks", server.info.vm, f"the answer has status {response.status}"
                )
            first = True
            async for line in read_lines(response, job.max_answer_bytes + LINE_OVERHEAD_BYTES):
                pool.metrics.messages.labels("start-answer").inc()
                if first:
                    self._apply_start_answer(line, sent_at)
                    first = False
                else:
                    self._apply_task_end(line)
            if self._pending:
                raise EntryError("read task ends", server.info.vm, "the answer is incomplete")
        finally:
            await response.aclose()
        return True

    def _request(self, now: float) -> StartRequest:
        server, job = self._server, self._job
        start_before = 0.0
        if server.clock_offset is not None:
            start_before = min(job.deadline, now + START_WINDOW_S) + server.clock_offset
        starts = tuple(
            TaskStart(
                task.number,
                task.attempt,
                task.body.payload,
                task.body.expected_ms,
                task.body.cpus,
                task.body.memory_mb,
            )
            for task in self._pending.values()
        )
        return StartRequest(
            submission=job.submission,
            service=job.document.name,
            holder=self._pool.incarnation,
            lease=server.lease if server.lease_deadline > now else "",
            hold_ms=hold_ms(job.document.response_weight),
            start_before=start_before,
            tasks=starts,
        )

    def _apply_start_answer(self, line: bytes, sent_at: float) -> None:
        pool, server, job = self._pool, self._server, self._job
        parsed = parse_line(StartAnswer, line)
        if isinstance(parsed, Err):
            raise EntryError("read start answer", server.info.vm, parsed.err_value)
        answer = parsed.ok_value
        if answer.submission != job.submission:
            raise EntryError(
                "read start answer", server.info.vm, "the answer names another submission"
            )
        if sorted((*answer.started, *answer.declined)) != sorted(self._pending):
            raise EntryError(
                "read start answer",
                server.info.vm,
                "the answer names other tasks than the request",
            )
        now = pool.clock()
        server.lease = answer.lease
        # Counted from the time of sending, so that the lease ends for the holder first.
        server.lease_deadline = sent_at + answer.lease_ms / 1000.0
        server.clock_offset = answer.clock - now
        server.view.confirmed += len(answer.started)
        pool.metrics.starts.labels("worker").inc(len(answer.started))
        declined = [self._pending.pop(number) for number in answer.declined]
        for number in answer.started:
            job.server_by_task[number] = server.info.vm
        job.sent.difference_update(answer.declined)
        for task in declined:
            pool.release(server, task)
        server.apply_worker_load(answer.load, now, hold_ms(job.document.response_weight) / 1000)
        pool.report_leaving(server)
        if declined:
            pool.metrics.declined.inc(len(declined))
            self._log_retry("declined", answer.reason)
            pool.requeue(server, declined)
        if job.is_ended and answer.started:
            pool.stop(server, job.submission, list(answer.started))

    def _apply_task_end(self, line: bytes) -> None:
        pool, server, job = self._pool, self._server, self._job
        parsed = parse_line(TaskEnd, line)
        if isinstance(parsed, Err):
            raise EntryError("read task end", server.info.vm, parsed.err_value)
        end = parsed.ok_value
        task = self._pending.get(end.task)
        if end.submission != job.submission or task is None or end.attempt != task.attempt:
            raise EntryError(
                "read task end", server.info.vm, "the task end names a task that is not pending"
            )
        del self._pending[end.task]
        pool.release(server, task)
        server.view.confirmed -= 1
        job.server_by_task.pop(end.task, None)
        hold_s = hold_ms(job.document.response_weight) / 1000
        server.apply_worker_load(end.load, pool.clock(), hold_s)
        pool.report_leaving(server)
        self._learn(task, end)
        self._apply_end(end, len(line))
        pool.dispatch()

    def _learn(self, task: QueuedTask, end: TaskEnd) -> None:
        pool, server = self._pool, self._server
        if end.status is TaskStatus.DONE:
            learn_slowness(server.view, task.run_s, end.run_ms / 1000.0)
            pool.run_times.learn(
                task.job.document.name,
                task.body.expected_ms,
                end.run_ms / server.view.slowness,
            )
        if end.status is not TaskStatus.STOPPED:
            pool.count_end(server, end.status is TaskStatus.DONE)

    def _apply_end(self, end: TaskEnd, size: int) -> None:
        server, job = self._server, self._job
        if job.is_ended:
            return
        if end.status is not TaskStatus.DONE:
            detail = f"Task {end.task} ended as {end.status}."
            job.end(failed("task-failed", detail, step="run task", peer=server.info.vm))
        elif not job.add_result(end.task, end.result, size):
            detail = f"The results exceed {job.max_answer_bytes} bytes."
            job.end(failed("answer-too-large", detail, step="collect results"))

    def _fail_lost(self, error: Exception) -> None:
        """End the job, because tasks may have started on a worker that no longer answers."""
        pool, server, job = self._pool, self._server, self._job
        for task in self._pending.values():
            pool.release(server, task)
            if job.server_by_task.pop(task.number, None) is not None:
                server.view.confirmed -= 1
        pool.count_end(server, False)
        reason = f"{type(error).__name__}: {error}"
        log_event(
            logger,
            logging.WARNING,
            "worker-lost",
            submission=job.submission,
            server=server.info.vm,
            error=reason,
        )
        detail = "The worker stopped answering; its tasks may have run."
        job.end(failed("worker-lost", detail, step="run task", peer=server.info.vm))
        pool.dispatch()

    def _log_retry(self, cause: str, reason: str) -> None:
        self._pool.metrics.retries.labels(cause).inc()
        log_event(
            decision_logger,
            logging.INFO,
            "place-again",
            submission=self._job.submission,
            server=self._server.info.vm,
            cause=cause,
            reason=reason,
        )


def hold_ms(response_weight: float) -> int:
    """Return how long an idle slot stays leased, in milliseconds.

    A long hold avoids declined starts; a short one frees the slot for other processes sooner.

    :param response_weight: preference for response time over few messages, from 0 to 1.
    """
    return int(200 - 180 * response_weight)
