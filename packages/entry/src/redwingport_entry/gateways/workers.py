"""Queueing of the tasks of jobs, and their placement on workers under leases."""

import json
import logging
from collections import defaultdict

import anyio

from redwingport_entry.gateways.connections import (
    Connection,
    NotWrittenError,
    read_body,
    send_request,
)
from redwingport_entry.gateways.job import Job, QueuedTask
from redwingport_entry.gateways.pool import ServerPool, decision_logger
from redwingport_entry.gateways.servers import Server
from redwingport_entry.gateways.starts import JSON_HEADERS, LOST_WORKER_ERRORS, StartExchange
from redwingport_entry.logs import log_event
from redwingport_policy.base import Work
from redwingport_policy.estimates import RunTimes
from redwingport_policy.fair_queue import FairQueue

MAX_TASKS_PER_START = 32
DISPATCH_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 2.0
MAX_STOP_ANSWER_BYTES = 64 * 1024


class WorkerPool(ServerPool):
    """Queue tasks, choose workers, and start and stop tasks."""

    incarnation: str = ""

    def prepare(self, incarnation: str) -> None:
        """Set the holder of the leases and create the queue.

        :param incarnation: incarnation of this process, which holds the leases.
        """
        self.incarnation = incarnation
        self.run_times = RunTimes()
        self.queue: FairQueue[QueuedTask] = FairQueue(dict(self.settings.quotas))
        self.queued_by_job: dict[str, dict[int, QueuedTask]] = defaultdict(dict)

    def expected_wait_s(self, run_s: float) -> float:
        """Estimate how long a new job waits until its last task starts.

        :param run_s: expected run time of all its tasks together, in seconds.
        :returns: time until the queue and this job have been started, in seconds.
        """
        speed = self.available_speed()
        return (self.queue.run_s + run_s) / speed if speed else 0.0

    def add(self, job: Job) -> None:
        """Queue all tasks of a job and start those for which a worker is free."""
        run_times = [
            self.run_times.expected_s(job.document.name, body.expected_ms) for body in job.tasks
        ]
        job.ideal_end_at = self.clock() + max(run_times)
        for number, run_s in enumerate(run_times):
            self._push(QueuedTask(job, number, run_s))
        self.dispatch()

    def drop(self, job: Job) -> None:
        """Remove the queued tasks of an ended job and stop the running ones."""
        for task in self.queued_by_job.pop(job.submission, {}).values():
            self.queue.remove(task.ticket, task)
        tasks_by_server: dict[str, list[int]] = defaultdict(list)
        for number, vm in job.server_by_task.items():
            tasks_by_server[vm].append(number)
        for vm, numbers in tasks_by_server.items():
            server = self.server_by_id.get(vm)
            if server is not None:
                self.stop(server, job.submission, numbers)
        self.dispatch()

    async def run(self) -> None:
        """Dispatch on a timer, because load decays and deadlines pass without any event."""
        while True:
            await anyio.sleep(DISPATCH_INTERVAL_S)
            self.normalize()
            if self.queue.length:
                self.dispatch()
            self.metrics.queued.labels("worker").set(self.queue.length)

    def dispatch(self) -> None:
        """Start queued tasks on free workers, in the order of the queue."""
        if not self.queue.length:
            return
        now = self.clock()
        batches: dict[tuple[str, str], list[QueuedTask]] = defaultdict(list)
        servers = self.usable_servers(now)
        while (head := self.queue.peek()) is not None:
            _, task = head
            if task.job.deadline <= now:
                self._remove_from_queue(task)
                continue
            server = self._choose(servers, task, now)
            if server is None:
                break
            self._remove_from_queue(task)
            self._reserve(server, task, now)
            if not self.may_use(server, now):
                # A server that is readmitted after an ejection gets one task as a trial.
                servers.remove(server)
            batches[task.job.submission, server.info.vm].append(task)
        for (_, vm), tasks in batches.items():
            for first in range(0, len(tasks), MAX_TASKS_PER_START):
                self._submit(self.server_by_id[vm], tasks[first : first + MAX_TASKS_PER_START])

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

    def _remove_from_queue(self, task: QueuedTask) -> None:
        self.queue.take(task)
        waiting = self.queued_by_job[task.job.submission]
        del waiting[task.number]
        if not waiting:
            del self.queued_by_job[task.job.submission]

    def _reserve(self, server: Server, task: QueuedTask, now: float) -> None:
        view = server.view
        view.own_active += 1
        view.held_slots = max(0, view.held_slots - 1)
        view.started_at_by_task[task.job.submission, task.number] = now

    def release(self, server: Server, task: QueuedTask) -> None:
        """Release the slot that was reserved for a task; idempotent."""
        view = server.view
        if view.started_at_by_task.pop((task.job.submission, task.number), None) is not None:
            view.own_active -= 1

    def _submit(self, server: Server, tasks: list[QueuedTask]) -> None:
        job = tasks[0].job
        log_event(
            decision_logger,
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

        server.connections.submit(StartExchange(self, server, job, tasks).run)

    def release_all(self, server: Server, tasks: list[QueuedTask]) -> None:
        """Release the slots that were reserved for tasks."""
        for task in tasks:
            self.release(server, task)

    def requeue(self, server: Server, tasks: list[QueuedTask]) -> None:
        """Return tasks that did not start to the queue, unless their job has ended."""
        for task in tasks:
            self.release(server, task)
            if not task.job.is_ended:
                task.attempt += 1
                self._push(task)
        self.dispatch()

    def stop(self, server: Server, submission: str, numbers: list[int]) -> None:
        """Ask a worker, in the background, to stop tasks; a failure is ignored.

        :param server: the worker.
        :param submission: the submission id of the job.
        :param numbers: numbers of the tasks.
        """
        content = json.dumps({"submission": submission, "tasks": numbers}).encode()

        async def exchange(connection: Connection) -> bool:
            self.metrics.messages.labels("stop").inc()
            try:
                with anyio.fail_after(STOP_TIMEOUT_S):
                    url = server.url("/v1/stops")
                    response = await send_request(connection, "POST", url, JSON_HEADERS, content)
                    await read_body(response, MAX_STOP_ANSWER_BYTES)
                    await response.aclose()
            except (NotWrittenError, *LOST_WORKER_ERRORS):
                return False
            return True

        server.connections.submit(exchange)
