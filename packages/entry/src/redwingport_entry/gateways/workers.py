"""Placement of the tasks of jobs on workers under leases."""

import json
import logging
from collections import defaultdict

import anyio
import httpcore
from result import Err

from redwingport_entry.exceptions import EntryError
from redwingport_entry.gateways.connections import (
    Connection,
    NotWrittenError,
    read_body,
    send_request,
)
from redwingport_entry.gateways.job import Job, QueuedTask
from redwingport_entry.gateways.lines import read_lines
from redwingport_entry.gateways.pool import ServerPool, decisions, logger
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
from redwingport_policy.base import Work
from redwingport_policy.estimates import RunTimes, learn_slowness
from redwingport_policy.fair_queue import FairQueue

MAX_BATCH = 32
TICK_S = 0.05
START_WINDOW_S = 5.0
READ_GRACE_S = 2.0
STOP_TIMEOUT_S = 2.0
MAX_STOP_ANSWER_BYTES = 64 * 1024
LOST_WORKER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    EntryError,
    TimeoutError,
)
_JSON_HEADERS = [(b"content-type", b"application/json")]


class WorkerPool(ServerPool):
    """Queue tasks, choose workers, start tasks and collect their results."""

    incarnation: str = ""

    def prepare(self, incarnation: str) -> None:
        """Set the holder of leases and make the queue.

        :param incarnation: incarnation of this process.
        """
        self.incarnation = incarnation
        self.run_times = RunTimes()
        self.queue: FairQueue[QueuedTask] = FairQueue(dict(self.settings.quotas))
        self.queued_by_job: dict[str, dict[int, QueuedTask]] = defaultdict(dict)

    def expected_wait_s(self, run_s: float) -> float:
        """Estimate how long a new piece of work waits.

        :param run_s: run time of the work, all tasks together, in seconds.
        :returns: seconds until the queue and this work have been started.
        """
        speed = self.own_speed()
        return (self.queue.run_s + run_s) / speed if speed else 0.0

    def add(self, job: Job) -> None:
        """Queue all tasks of a job and start what can be started now."""
        run_times = [
            self.run_times.expected_s(job.document.name, body.expected_ms) for body in job.tasks
        ]
        job.ideal_end_at = self.clock() + max(run_times)
        for number, run_s in enumerate(run_times):
            self._push(QueuedTask(job, number, run_s))
        self.dispatch()

    def drop(self, job: Job) -> None:
        """Remove the waiting tasks of an ended job and stop the running ones."""
        for task in self.queued_by_job.pop(job.submission, {}).values():
            self.queue.remove(task.ticket, task)
        tasks_by_server: dict[str, list[int]] = defaultdict(list)
        for number, vm in job.server_by_task.items():
            tasks_by_server[vm].append(number)
        for vm, numbers in tasks_by_server.items():
            server = self.server_by_id.get(vm)
            if server is not None:
                self._stop(server, job.submission, numbers)
        self.dispatch()

    async def run(self) -> None:
        """Dispatch on a timer: load facts fade and deadlines pass without an event."""
        while True:
            await anyio.sleep(TICK_S)
            self.normalize()
            if self.queue.length:
                self.dispatch()
            self.metrics.queued.labels("worker").set(self.queue.length)

    def dispatch(self) -> None:
        """Start waiting tasks on free workers, in the order of the queue."""
        if not self.queue.length:
            return
        now = self.clock()
        batches: dict[tuple[str, str], list[QueuedTask]] = defaultdict(list)
        servers = self.usable(now)
        while (head := self.queue.peek()) is not None:
            _, task = head
            if task.job.deadline <= now:
                self._take(task)
                continue
            server = self._choose(servers, task, now)
            if server is None:
                break
            self._take(task)
            self._reserve(server, task, now)
            if not self.may_use(server, now):
                # A server on trial gets one task.
                servers.remove(server)
            batches[task.job.submission, server.info.vm].append(task)
        for (_, vm), tasks in batches.items():
            for first in range(0, len(tasks), MAX_BATCH):
                self._submit(self.server_by_id[vm], tasks[first : first + MAX_BATCH])

    def _choose(self, servers: list[Server], task: QueuedTask, now: float) -> Server | None:
        body = task.body
        views = [
            s.view
            for s in servers
            if s.view.own_active < s.view.slots
            and (not s.info.cpus or s.info.cpus >= body.cpus)
            and (not s.info.memory_mb or s.info.memory_mb >= body.memory_mb)
        ]
        weight = task.job.document.response_weight
        late_s = now - task.deadline
        mean_run_s = self.run_times.mean_s(task.job.document.name)
        work = Work(task.run_s, self.queue.length, now, False, weight, late_s, mean_run_s)
        return self.choose(views, work)

    def _push(self, task: QueuedTask) -> None:
        task.ticket = self.queue.push(task)
        self.queued_by_job[task.job.submission][task.number] = task

    def _take(self, task: QueuedTask) -> None:
        self.queue.take(task)
        waiting = self.queued_by_job[task.job.submission]
        del waiting[task.number]
        if not waiting:
            del self.queued_by_job[task.job.submission]

    def _reserve(self, server: Server, task: QueuedTask, now: float) -> None:
        view = server.view
        view.own_active += 1
        view.held_slots = max(0, view.held_slots - 1)
        view.start_by_task[task.job.submission, task.number] = now

    def _release(self, server: Server, task: QueuedTask) -> None:
        view = server.view
        if view.start_by_task.pop((task.job.submission, task.number), None) is not None:
            view.own_active -= 1

    def _submit(self, server: Server, tasks: list[QueuedTask]) -> None:
        job = tasks[0].job
        log_event(
            decisions,
            logging.INFO,
            "place",
            submission=job.submission,
            service=job.document.name,
            server=server.info.vm,
            tasks=",".join(str(task.number) for task in tasks),
            reason=self.chooser.name,
            candidates=len(self.server_by_id),
            queued=self.queue.length,
        )

        async def exchange(connection: Connection) -> bool:
            return await self._start(connection, server, job, tasks)

        server.connections.submit(exchange)

    async def _start(
        self,
        connection: Connection,
        server: Server,
        job: Job,
        tasks: list[QueuedTask],
    ) -> bool:
        """Send one start request and follow its tasks to their end.

        :returns: whether the connection may be used again.
        """
        pending = {task.number: task for task in tasks}
        if job.is_ended or self.clock() >= job.deadline:
            # The runner ends the job. Tasks queued again would be placed again at once, in a
            # loop that never lets the runner's timer fire.
            self._release_all(server, tasks)
            return True
        if server.view.leaving:
            self._requeue(server, tasks)
            return True
        job.sent.update(pending)
        try:
            remaining_s = max(job.deadline - self.clock(), 0.0) + READ_GRACE_S
            with anyio.fail_after(remaining_s):
                return await self._exchange(connection, server, job, pending)
        except NotWrittenError as error:
            self.count_unreachable(server)
            job.sent.difference_update(pending)
            self._log_retry(server, job, "not-written", str(error))
            self._requeue(server, list(pending.values()))
        except Exception as error:
            self._fail_lost(server, job, pending, error)
            if not isinstance(error, LOST_WORKER_ERRORS):
                raise
        return False

    async def _exchange(
        self,
        connection: Connection,
        server: Server,
        job: Job,
        pending: dict[int, QueuedTask],
    ) -> bool:
        sent_at = self.clock()
        request = self._request(server, job, list(pending.values()), sent_at)
        self.metrics.messages.labels("start").inc()
        response = await send_request(
            connection,
            "POST",
            server.url("/v1/starts"),
            _JSON_HEADERS,
            request.encode(),
        )
        try:
            if response.status != 200:
                raise EntryError("start tasks", server.info.vm, f"status {response.status}")
            first = True
            async for line in read_lines(response, job.max_answer_bytes + 65536):
                self.metrics.messages.labels("start-answer").inc()
                if first:
                    self._take_start_answer(server, job, pending, line, sent_at)
                    first = False
                else:
                    self._take_task_end(server, job, pending, line)
            if pending:
                raise EntryError("read task ends", server.info.vm, "answer is not whole")
        finally:
            await response.aclose()
        return True

    def _request(
        self, server: Server, job: Job, tasks: list[QueuedTask], now: float
    ) -> StartRequest:
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
            for task in tasks
        )
        return StartRequest(
            submission=job.submission,
            service=job.document.name,
            holder=self.incarnation,
            lease=server.lease if server.lease_deadline > now else "",
            hold_ms=hold_ms(job.document.response_weight),
            start_before=start_before,
            tasks=starts,
        )

    def _take_start_answer(
        self,
        server: Server,
        job: Job,
        pending: dict[int, QueuedTask],
        line: bytes,
        sent_at: float,
    ) -> None:
        parsed = parse_line(StartAnswer, line)
        if isinstance(parsed, Err):
            raise EntryError("read start answer", server.info.vm, parsed.err_value)
        answer = parsed.ok_value
        if answer.submission != job.submission:
            raise EntryError("read start answer", server.info.vm, "names another submission")
        if sorted((*answer.started, *answer.declined)) != sorted(pending):
            raise EntryError("read start answer", server.info.vm, "does not name every task")
        now = self.clock()
        server.lease = answer.lease
        # Counted from the sending of the request, so that the holder's view ends first.
        server.lease_deadline = sent_at + answer.lease_ms / 1000.0
        server.clock_offset = answer.clock - now
        server.confirmed += len(answer.started)
        self.metrics.starts.labels("worker").inc(len(answer.started))
        declined = [pending.pop(number) for number in answer.declined]
        for number in answer.started:
            job.server_by_task[number] = server.info.vm
        job.sent.difference_update(answer.declined)
        for task in declined:
            self._release(server, task)
        server.apply_worker_load(answer.load, now, hold_ms(job.document.response_weight) / 1000)
        self.note_leaving(server)
        if declined:
            self.metrics.declined.inc(len(declined))
            self._log_retry(server, job, "declined", answer.reason)
            self._requeue(server, declined)
        if job.is_ended and answer.started:
            self._stop(server, job.submission, list(answer.started))

    def _take_task_end(
        self, server: Server, job: Job, pending: dict[int, QueuedTask], line: bytes
    ) -> None:
        parsed = parse_line(TaskEnd, line)
        if isinstance(parsed, Err):
            raise EntryError("read task end", server.info.vm, parsed.err_value)
        end = parsed.ok_value
        task = pending.get(end.task)
        if end.submission != job.submission or task is None or end.attempt != task.attempt:
            raise EntryError("read task end", server.info.vm, "names another task")
        del pending[end.task]
        self._release(server, task)
        server.confirmed -= 1
        job.server_by_task.pop(end.task, None)
        hold_s = hold_ms(job.document.response_weight) / 1000
        server.apply_worker_load(end.load, self.clock(), hold_s)
        self.note_leaving(server)
        self._learn(server, task, end)
        self._apply_end(server, job, end, len(line))
        self.dispatch()

    def _learn(self, server: Server, task: QueuedTask, end: TaskEnd) -> None:
        if end.status is TaskStatus.DONE:
            learn_slowness(server.view, task.run_s, end.run_ms / 1000.0)
            self.run_times.learn(
                task.job.document.name,
                task.body.expected_ms,
                end.run_ms / server.view.slowness,
            )
        if end.status is not TaskStatus.STOPPED:
            self.count_end(server, end.status is TaskStatus.DONE)

    def _apply_end(self, server: Server, job: Job, end: TaskEnd, size: int) -> None:
        if job.is_ended:
            return
        if end.status is not TaskStatus.DONE:
            detail = f"Task {end.task} ended as {end.status}."
            job.end(failed("task-failed", detail, step="run task", peer=server.info.vm))
        elif not job.add_result(end.task, end.result, size):
            detail = f"The results exceed {job.max_answer_bytes} bytes."
            job.end(failed("answer-too-large", detail, step="collect results"))

    def _release_all(self, server: Server, tasks: list[QueuedTask]) -> None:
        for task in tasks:
            self._release(server, task)

    def _requeue(self, server: Server, tasks: list[QueuedTask]) -> None:
        for task in tasks:
            self._release(server, task)
            if not task.job.is_ended:
                task.attempt += 1
                self._push(task)
        self.dispatch()

    def _fail_lost(
        self, server: Server, job: Job, pending: dict[int, QueuedTask], error: Exception
    ) -> None:
        """End a job whose tasks may have started on a worker that no longer answers."""
        for task in pending.values():
            self._release(server, task)
            if job.server_by_task.pop(task.number, None) is not None:
                server.confirmed -= 1
        self.count_end(server, False)
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
        self.dispatch()

    def _log_retry(self, server: Server, job: Job, cause: str, reason: str) -> None:
        self.metrics.retries.labels(cause).inc()
        log_event(
            decisions,
            logging.INFO,
            "place-again",
            submission=job.submission,
            server=server.info.vm,
            cause=cause,
            reason=reason,
        )

    def _stop(self, server: Server, submission: str, numbers: list[int]) -> None:
        content = json.dumps({"submission": submission, "tasks": numbers}).encode()

        async def exchange(connection: Connection) -> bool:
            self.metrics.messages.labels("stop").inc()
            try:
                with anyio.fail_after(STOP_TIMEOUT_S):
                    url = server.url("/v1/stops")
                    response = await send_request(connection, "POST", url, _JSON_HEADERS, content)
                    await read_body(response, MAX_STOP_ANSWER_BYTES)
                    await response.aclose()
            except (NotWrittenError, *LOST_WORKER_ERRORS):
                return False
            return True

        server.connections.submit(exchange)


def hold_ms(response_weight: float) -> int:
    """Return how long an idle slot stays leased, in milliseconds.

    A long hold saves declined starts; a short one lets other processes use the slot sooner.
    """
    return int(200 - 180 * response_weight)
