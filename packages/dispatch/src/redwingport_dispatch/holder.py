"""The holder's side: jobs of clients that are connected to this process."""

import enum
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from redwingport_dispatch.interfaces import JobRequest, Route
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import rank_shards
from redwingport_dispatch.scheduling.admission import FITS_ON_NO_SERVER, NO_SERVER, TOO_LATE
from redwingport_entry.logs import DECISIONS, log_event
from redwingport_messages.dispatch import (
    CancelWork,
    SubmitWork,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)

# Deadlines of jobs and works that no owner has got yet are looked at this often.
TICK_S = 0.1
# A failover of the owner takes about half a second; then there is one again.
NO_OWNER_RETRY_AFTER_S = 1
NO_OWNER = ShardOwner("", 0)
# Shards that a work is offered to before the load of their servers is a reason to refuse it. Each
# costs a message there and back, some milliseconds. Where the reason lies in the servers
# themselves (few have a label, or a service has few of them), all shards are asked.
MAX_OFFERS_UNDER_LOAD = 2

OwnerMessage = SubmitWork | CancelWork

decisions = logging.getLogger(DECISIONS)


class Outcome(enum.StrEnum):
    """Tell how a job ended for its client."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    """Nothing of it has started, and nothing will."""
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    """It may have run in part; no answer is possible in time."""


@dataclass(frozen=True, slots=True)
class JobEnd:
    """Hold the end of a job.

    :param outcome: how it ended.
    :param reason: why, where it is not complete.
    :param retry_after_s: time after which there should be room; 0 when it is not said.
    """

    outcome: Outcome
    reason: str = ""
    retry_after_s: int = 0


@dataclass(slots=True)
class _HeldTask:
    next_run: int = 1
    placed_on: str = ""
    done: bool = False


@dataclass(slots=True, eq=False)
class _HeldWork:
    work_id: int
    job: "Job"
    step: int
    task_by_index: dict[int, _HeldTask]
    submitted_to: tuple[str, int] = ("", 0)
    shards: list[int] = field(default_factory=list)
    refused_shards: int = 0

    @property
    def done(self) -> bool:
        return all(task.done for task in self.task_by_index.values())


@dataclass(slots=True, eq=False)
class Job:
    """Hold one job of a client.

    :param job_id: id that the client chose.
    :param route: its queue.
    :param request: what the client sent.
    :param received_at: monotonic time of receipt, in seconds.
    :param target_at: monotonic time until which the answer is in time.
    :param deadline_at: monotonic time until which the client waits.
    :param started: whether a task of it was ordered to start.
    """

    job_id: str
    route: Route
    request: JobRequest
    received_at: float
    target_at: float
    deadline_at: float
    started: bool = False
    end: JobEnd | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)
    work_by_step: dict[int, _HeldWork] = field(default_factory=dict)


def response_target_s(route: Route, request: JobRequest) -> float:
    """Return the time that an answer may take to be in time, in seconds.

    It is the queue's stretch of the longest chain of steps by declared run times, and its slack.
    """
    finish_s: list[float] = []
    for step in request.steps:
        before_s = max((finish_s[number] for number in step.after), default=0.0)
        finish_s.append(before_s + step.shape.estimate_s)
    return route.stretch * max(finish_s) + route.slack_s


class Holder:
    """Hold jobs, hand their steps to the owner, and follow them to their end.

    :param incarnation: random id of this process.
    :param send: passes a message to the owner; returns whether there was a way to it.
    :param unheard_s: returns the time since a process was last heard, in seconds.
    :param shard_sizes: returns the sizes of a number of shards, by their numbers.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        incarnation: str,
        send: Callable[[str, OwnerMessage], bool],
        unheard_s: Callable[[str], float],
        shard_sizes: Callable[[int], Sequence[int]],
        metrics: Metrics,
    ) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._incarnation = incarnation
        self._send = send
        self._unheard_s = unheard_s
        self._shard_sizes = shard_sizes
        self._metrics = metrics
        self._work_by_id: dict[int, _HeldWork] = {}
        self._has_works = anyio.Event()
        self._next_work_id = 1
        self._shard_owners: Sequence[ShardOwner] = ()

    def pending_count(self, route_name: str) -> int:
        """Return the number of jobs of a queue of which nothing has started."""
        jobs = self.job_by_id.values()
        return sum(job.route.name == route_name and not job.started for job in jobs)

    async def run(self, job: Job) -> JobEnd:
        """Follow a job to its end; when this is cancelled, the job is stopped.

        A second request with the id of a job that is open waits for the same end.
        """
        known = self.job_by_id.get(job.job_id)
        if known is not None:
            await known.ended.wait()
            assert known.end is not None
            return known.end
        self.job_by_id[job.job_id] = job
        try:
            self._submit_ready_steps(job)
            with anyio.move_on_after(max(0.0, job.deadline_at - anyio.current_time())):
                await job.ended.wait()
            if job.end is None:
                self._end_at_deadline(job)
        except BaseException:
            if job.end is None:
                self._end(job, JobEnd(Outcome.CANCELLED, "client left"))
            raise
        finally:
            del self.job_by_id[job.job_id]
        assert job.end is not None
        return job.end

    def cancel(self, job_id: str) -> bool:
        """Stop a job; tell whether it was known."""
        job = self.job_by_id.get(job_id)
        if job is None:
            return False
        self._end(job, JobEnd(Outcome.CANCELLED, "cancelled"))
        return True

    def set_owners(self, shard_owners: Sequence[ShardOwner]) -> None:
        """Take in which processes own the shards, and hand new ones what is open.

        :param shard_owners: by number of the shard.
        """
        before, self._shard_owners = self._shard_owners, shard_owners
        for work in list(self._work_by_id.values()):
            shard = self._shard_of(work)
            if len(before) != len(shard_owners) or before[shard] != shard_owners[shard]:
                self._submit(work)

    def submit_again(self, owner: str) -> None:
        """Hand all open works of an owner to it, also those that it may have."""
        for work in list(self._work_by_id.values()):
            if self._owner_of(work).owner == owner:
                self._submit(work)

    def _shard_of(self, work: _HeldWork) -> int:
        """Return the shard of a work: the first of its job that has not refused it."""
        count = max(len(self._shard_owners), 1)
        if len(work.shards) != count:
            work.shards = rank_shards(work.job.job_id, self._shard_sizes(count))
            work.refused_shards = 0
        return work.shards[work.refused_shards]

    def _owner_of(self, work: _HeldWork) -> ShardOwner:
        return self._shard_owners[self._shard_of(work)] if self._shard_owners else NO_OWNER

    def handle_news(self, sender: str, message: TaskNews | WorkRefused | WorkAbandoned) -> None:
        """Take in what an owner says of this process's works."""
        if isinstance(message, WorkRefused):
            self._handle_refusal(sender, message)
            return
        if isinstance(message, WorkAbandoned):
            self._handle_abandoned(sender, message)
            return
        for work_id, index, event, run_number, server_id in message.events:
            work = self._work_by_id.get(work_id)
            if work is None:
                continue
            task = work.task_by_index[index]
            if event == "placed":
                self._record_placement(work.job)
                task.next_run = max(task.next_run, run_number + 1)
                task.placed_on = server_id
                if work.submitted_to[0] not in ("", sender):
                    # The last owner's report; the present one must not start the task again.
                    self._submit(work)
            elif event == "done":
                task.done = True
                self._finish_work(work)
            else:
                reason = f"task {index} failed {work.job.route.attempts} times"
                self._end(work.job, JobEnd(Outcome.FAILED, reason))

    async def watch(self) -> None:
        """Refuse jobs that no owner can get in time."""
        while True:
            if not self._work_by_id:
                self._has_works = anyio.Event()
                await self._has_works.wait()
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            for work in list(self._work_by_id.values()):
                if not work.submitted_to[0]:
                    self._submit(work)
                estimate_s = work.job.request.steps[work.step].shape.estimate_s
                if not work.submitted_to[0] and now + estimate_s > work.job.deadline_at:
                    self._refuse(work.job, "no owner", NO_OWNER_RETRY_AFTER_S)

    def _submit_ready_steps(self, job: Job) -> None:
        for number, step in enumerate(job.request.steps):
            if number in job.work_by_step:
                continue
            earlier = [job.work_by_step.get(other) for other in step.after]
            if all(work is not None and work.done for work in earlier):
                work = _HeldWork(
                    self._next_work_id, job, number, {i: _HeldTask() for i in range(step.count)}
                )
                self._next_work_id += 1
                job.work_by_step[number] = work
                self._work_by_id[work.work_id] = work
                self._has_works.set()
                self._submit(work)

    def _submit(self, work: _HeldWork) -> None:
        job = work.job
        shard_owner = self._owner_of(work)
        if not shard_owner.owner or job.end is not None:
            return
        shape = job.request.steps[work.step].shape
        now = anyio.current_time()
        message = SubmitWork(
            work_id=work.work_id,
            job_id=job.job_id,
            shard=self._shard_of(work),
            step=work.step,
            service=job.route.service,
            spec=job.request.spec,
            cpu_millis=shape.cpu_millis,
            memory_mb=shape.memory_mb,
            gpus=shape.gpus,
            estimate_ms=round(shape.estimate_s * 1000),
            required_label=shape.required_label,
            near_rack=shape.near_rack,
            max_per_server=shape.max_per_server,
            priority=job.route.priority,
            attempts=job.route.attempts,
            waited_ms=round((now - job.received_at) * 1000),
            target_ms=round((job.target_at - now) * 1000),
            deadline_ms=round((job.deadline_at - now) * 1000),
            tasks=[
                (index, task.next_run, task.placed_on)
                for index, task in work.task_by_index.items()
                if not task.done
            ],
            resumed=bool(work.submitted_to[0]),
            unheard_ms=int(self._unheard_s(work.submitted_to[0]) * 1000),
        )
        # Noted before sending: an owner that is this process answers within the call.
        before, work.submitted_to = work.submitted_to, (shard_owner.owner, shard_owner.term)
        if not self._send(shard_owner.owner, message):
            work.submitted_to = before

    def _record_placement(self, job: Job) -> None:
        if not job.started:
            job.started = True
            self._metrics.observe_first_start(anyio.current_time() - job.received_at)

    def _finish_work(self, work: _HeldWork) -> None:
        if not work.done:
            return
        self._work_by_id.pop(work.work_id, None)
        job = work.job
        self._submit_ready_steps(job)
        steps = len(job.request.steps)
        if len(job.work_by_step) == steps and all(w.done for w in job.work_by_step.values()):
            self._end(job, JobEnd(Outcome.COMPLETE))

    def _handle_refusal(self, sender: str, message: WorkRefused) -> None:
        work = self._work_by_id.get(message.work_id)
        if work is None or work.submitted_to != (sender, message.term):
            return
        offers = len(self._shard_owners)
        if message.reason not in (FITS_ON_NO_SERVER, NO_SERVER):
            offers = min(offers, MAX_OFFERS_UNDER_LOAD)
        if work.refused_shards + 1 < offers:
            # Nothing of it was started there. A job that comes again goes the same way.
            work.refused_shards += 1
            work.submitted_to = ("", 0)
            self._submit(work)
        elif work.job.started:
            self._end(work.job, JobEnd(Outcome.UNKNOWN, message.reason))
        else:
            self._refuse(work.job, message.reason, message.retry_after_s)

    def _handle_abandoned(self, sender: str, message: WorkAbandoned) -> None:
        work = self._work_by_id.get(message.work_id)
        if work is not None and work.submitted_to == (sender, message.term):
            self._end(work.job, JobEnd(Outcome.UNKNOWN, TOO_LATE))

    def _refuse(self, job: Job, reason: str, retry_after_s: int) -> None:
        self._end(job, JobEnd(Outcome.REFUSED, reason, retry_after_s))

    def _end_at_deadline(self, job: Job) -> None:
        submitted = any(work.submitted_to[0] for work in job.work_by_step.values())
        if submitted:
            self._end(job, JobEnd(Outcome.UNKNOWN, "deadline"))
        else:
            self._refuse(job, "no owner", NO_OWNER_RETRY_AFTER_S)

    def _end(self, job: Job, end: JobEnd) -> None:
        if job.end is not None:
            return
        job.end = end
        job.ended.set()
        shard_owner = NO_OWNER
        for work in job.work_by_step.values():
            shard_owner = self._owner_of(work)
            self._work_by_id.pop(work.work_id, None)
            # Also after a refusal: the work may have been handed over again in the meantime.
            if work.submitted_to[0] and not work.done:
                self._send(shard_owner.owner, CancelWork(work.work_id))
        now = anyio.current_time()
        self._metrics.observe_job(job.route.name, end.outcome, now - job.received_at)
        log_event(
            decisions,
            logging.INFO,
            "job-ended",
            job=job.job_id,
            queue=job.route.name,
            outcome=end.outcome,
            reason=end.reason,
            started=job.started,
            took_s=round(now - job.received_at, 4),
            target_s=round(job.target_at - job.received_at, 4),
            owner=shard_owner.owner,
            term=shard_owner.term,
        )
