"""Holder: tracks the jobs of the clients that are connected to this process."""

import enum
import hashlib
import logging
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.interfaces import JobRequest, Route, ShardLayout
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import UNKNOWN_LAYOUT, rank_shards
from redwingport_dispatch.scheduling.admission import (
    FITS_ON_NO_SERVER,
    ID_IN_USE,
    NO_SERVER,
    TOO_LATE,
    retry_after_s,
)
from redwingport_entry.logs import DECISIONS, log_event
from redwingport_messages.dispatch import (
    CancelWork,
    OpenWorks,
    ReleaseWork,
    SubmitWork,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)

# Interval at which work items that no owner has received are submitted again or time out.
TICK_S = 0.1
# A failover to another owner takes about half a second.
NO_OWNER_RETRY_AFTER_S = 1
NO_OWNER = ShardOwner("", 0)
# Maximum number of shards to which a work item is offered when shards refuse it because of load.
# Each offer costs a round trip of some milliseconds. A work item that is refused because no server
# of the shard is suitable (few servers have the label, or the service has few servers) is offered
# to all shards.
MAX_OFFERS_UNDER_LOAD = 2
# Number of bytes of the hash that tells apart jobs with the same id.
IDENTITY_BYTES = 8

OwnerMessage = SubmitWork | CancelWork | ReleaseWork | OpenWorks

decisions = logging.getLogger(DECISIONS)


class Outcome(enum.StrEnum):
    """Outcome of a job for its client."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    """No task has started, and none will."""
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    """Some tasks may have run; no answer is possible in time."""


@dataclass(frozen=True, slots=True)
class JobEnd:
    """Describe how a job ended.

    :param outcome: outcome of the job.
    :param reason: cause of any other outcome than complete.
    :param retry_after_s: time after which capacity should be free, in seconds; 0 when unknown.
    """

    outcome: Outcome
    reason: str = ""
    retry_after_s: int = 0


@dataclass(slots=True)
class _HeldTask:
    """Track one task of a work item.

    :param next_run: lowest number that the next run of the task may have.
    :param placed_on: id of the server of the last known run; empty for none.
    :param done: whether the task is done.
    :param done_run: number of the run that has completed it; 0 before.
    :param done_at: monotonic time at which its completion was reported, in seconds; 0 before.
    """

    next_run: int = 1
    placed_on: str = ""
    done: bool = False
    done_run: int = 0
    done_at: float = 0.0


@dataclass(slots=True, eq=False)
class _HeldWork:
    """Track one step of a job, which is submitted to an owner as a work item.

    :param submitted_to: incarnation and term of the owner to which it was sent last; empty and 0
        before the first submission and after a refusal.
    :param submitted_shard: shard to which it was sent last, and the number of shards then.
    :param earlier_owners: incarnations and terms of earlier owners, which may still have it.
    :param earlier_shards: shards of earlier owners, each with the number of shards then.
    :param layout_revision: revision of the layout by which the shards are ordered.
    :param shards: all shards in the order of the job.
    :param refused_shards: number of those shards, from the first, that have refused it.
    :param offers: number of shards to which it was offered, including repeated offers to one that
        had refused it in a previous layout of the shards.
    :param refusing_shards: shards that have refused it, in any layout.
    :param handovers: number of times that it was handed over to another owner.
    :param refused_by: incarnations of the owners that refused it and remember the refusal.
    :param refused_for_load: whether one of them has refused it for its load.
    """

    work_id: int
    job: "Job"
    step: int
    task_by_index: dict[int, _HeldTask]
    submitted_to: tuple[str, int] = ("", 0)
    submitted_shard: tuple[int, int] = (0, 0)
    earlier_owners: set[tuple[str, int]] = field(default_factory=set)
    earlier_shards: set[tuple[int, int]] = field(default_factory=set)
    layout_revision: int = 0
    shards: list[int] = field(default_factory=list)
    refused_shards: int = 0
    offers: int = 0
    refusing_shards: list[int] = field(default_factory=list)
    handovers: int = 0
    refused_by: set[str] = field(default_factory=set)
    refused_for_load: bool = False

    @property
    def done(self) -> bool:
        return all(task.done for task in self.task_by_index.values())

    def previous_owners(self) -> set[str]:
        """Return the incarnations of the owners that may have started tasks of it."""
        owners = {owner for owner, _ in self.earlier_owners}
        return owners | {self.submitted_to[0]} if self.submitted_to[0] else owners

    def previous_shards(self) -> set[tuple[int, int]]:
        """Return the shards of these owners, each with the number of shards then."""
        is_submitted = bool(self.submitted_to[0])
        return (
            self.earlier_shards | {self.submitted_shard} if is_submitted else self.earlier_shards
        )


@dataclass(slots=True, eq=False)
class Job:
    """Track one job of a client.

    :param job_id: id chosen by the client.
    :param route: queue of the job.
    :param request: the job as submitted.
    :param received_at: monotonic time of receipt, in seconds.
    :param target_at: monotonic time until which the answer is on time, in seconds.
    :param deadline_at: monotonic time until which a client waits, in seconds; the latest one if
        several requests wait for the job.
    :param identity: hash that tells it from other jobs with the same id; see
        :func:`job_identity`.
    :param started: whether the start of any task was ordered.
    :param end: how the job ended; None while it is open.
    :param ended: set when the job has ended.
    :param work_by_step: work items by number of the step.
    :param requests: number of requests that have waited for the job so far.
    :param waiters: number of requests that wait for the job now.
    """

    job_id: str
    route: Route
    request: JobRequest
    received_at: float
    target_at: float
    deadline_at: float
    identity: str
    started: bool = False
    end: JobEnd | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)
    work_by_step: dict[int, _HeldWork] = field(default_factory=dict)
    requests: int = 0
    waiters: int = 0

    def may_have_started(self) -> bool:
        """Return whether any task has started as far as this process can know.

        An earlier owner of a work item may have started tasks without this process hearing of it.
        """
        return self.started or any(work.earlier_owners for work in self.work_by_step.values())


def response_target_s(route: Route, request: JobRequest) -> float:
    """Return the target response time of a job, in seconds.

    It is the duration of the critical path by declared run times, multiplied by the stretch of
    the queue, plus the slack of the queue.
    """
    finish_s: list[float] = []
    for step in request.steps:
        before_s = max((finish_s[number] for number in step.after), default=0.0)
        finish_s.append(before_s + step.shape.estimate_s)
    return route.stretch * max(finish_s) + route.slack_s


def job_identity(queue: str, body: bytes) -> str:
    """Return a hash of the queue and the content of a job.

    Ids are chosen by clients, so two jobs may have the same one. A job that is submitted again has
    the same queue and body.

    :param queue: name of the queue.
    :param body: body of the submission.
    """
    text = queue.encode() + b"/" + body
    return hashlib.blake2b(text, digest_size=IDENTITY_BYTES).hexdigest()


class Holder:
    """Submit the steps of jobs to the owners of shards, and track the jobs until they end.

    :param incarnation: random id of this process.
    :param send: sends a message to an owner; returns whether a link to it is open.
    :param unheard_s: returns the time since the last heartbeat of a process, in seconds.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        incarnation: str,
        send: Callable[[str, OwnerMessage], bool],
        unheard_s: Callable[[str], float],
        metrics: Metrics,
    ) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._incarnation = incarnation
        self._send = send
        self._unheard_s = unheard_s
        self._metrics = metrics
        self._work_by_id: dict[int, _HeldWork] = {}
        self._has_works = anyio.Event()
        self._next_work_id = 1
        self._shard_owners: Sequence[ShardOwner] = ()
        self._layout = UNKNOWN_LAYOUT

    def pending_count(self, route_name: str) -> int:
        """Return the number of jobs of a queue that have not started."""
        jobs = self.job_by_id.values()
        return sum(job.route.name == route_name and not job.started for job in jobs)

    async def run(self, job: Job) -> JobEnd:
        """Run a job until it ends; cancelling this call stops the job.

        A second request for an open job waits for the end of that job, which goes on as long as
        any request waits. Another job with the id of an open one is refused: their tasks would
        have the same names at the servers.

        :returns: the end of the job, or an unknown one at the deadline of this request.
        """
        known = self.job_by_id.setdefault(job.job_id, job)
        if known.identity != job.identity:
            wait_s = known.target_at - current_time()
            end = JobEnd(Outcome.REFUSED, ID_IN_USE, retry_after_s(wait_s))
            self._end(job, end)
            return end
        known.requests += 1
        known.waiters += 1
        client_left = True
        try:
            if known is job:
                self._submit_ready_steps(job)
            else:
                self._join(known, job.deadline_at)
            with anyio.move_on_after(max(0.0, job.deadline_at - current_time())):
                await known.ended.wait()
            client_left = False
        finally:
            known.waiters -= 1
            self._leave(known, client_left)
        return known.end or JobEnd(Outcome.UNKNOWN, "deadline")

    def _join(self, job: Job, deadline_at: float) -> None:
        """Let a further request wait for a job, whose deadline is extended to that of the request.

        :param job: the job.
        :param deadline_at: monotonic time until which the client waits, in seconds.
        """
        log_event(
            decisions,
            logging.INFO,
            "request-joined",
            job=job.job_id,
            queue=job.route.name,
            waiters=job.waiters,
        )
        if deadline_at <= job.deadline_at:
            return
        job.deadline_at = deadline_at
        # An answer within the call may report the end of a step, which adds others.
        for work in list(job.work_by_step.values()):
            if work.work_id in self._work_by_id and work.submitted_to[0]:
                self._submit(work)

    def _leave(self, job: Job, client_left: bool) -> None:
        """Forget a job for which no request waits any more; an open one is ended before.

        :param job: the job.
        :param client_left: whether the last request was left by its client; if not, the job has
            ended or its deadline has passed.
        """
        if job.waiters:
            if job.end is None:
                log_event(
                    decisions,
                    logging.INFO,
                    "request-left",
                    job=job.job_id,
                    queue=job.route.name,
                    reason="client left" if client_left else "deadline",
                    waiters=job.waiters,
                )
            return
        if job.end is None and client_left:
            self._end(job, JobEnd(Outcome.CANCELLED, "client left"))
        elif job.end is None:
            self._end_at_deadline(job)
        del self.job_by_id[job.job_id]

    def find(self, job_id: str, queue: str) -> Job | None:
        """Return the open job of a queue with that id, or None."""
        job = self.job_by_id.get(job_id)
        return job if job is not None and job.route.name == queue else None

    def cancel(self, job_id: str, queue: str) -> bool:
        """Cancel a job of a queue; return whether it was open."""
        job = self.find(job_id, queue)
        if job is None:
            return False
        self._end(job, JobEnd(Outcome.CANCELLED, "cancelled"))
        return True

    def set_owners(self, shard_owners: Sequence[ShardOwner], layout: ShardLayout) -> None:
        """Set the owners of the shards, and submit open work items to new owners.

        :param shard_owners: owners by number of the shard.
        :param layout: layout of the shards.
        """
        before, self._shard_owners = self._shard_owners, shard_owners
        # An owner ignores work items that were submitted by an older layout than its own, so after
        # a change all of them are submitted again.
        is_new_layout = layout.revision != self._layout.revision
        self._layout = layout
        if not shard_owners:
            return
        handovers: Counter[tuple[int, str]] = Counter()
        works = list(self._work_by_id.values())
        moved = 0
        for work in works:
            former_shard = work.shards[work.refused_shards] if work.shards else None
            shard = self._shard_of(work)
            moved += former_shard != shard
            if (
                is_new_layout
                or len(before) != len(shard_owners)
                or before[shard] != shard_owners[shard]
            ):
                former, earlier_handovers = work.submitted_to[0], work.handovers
                self._submit(work)
                if work.handovers > earlier_handovers:
                    handovers[shard, former] += 1
        if before and is_new_layout and works:
            log_event(
                decisions,
                logging.INFO,
                "works-moved",
                count=len(shard_owners),
                was=len(before),
                works=len(works),
                moved=moved,
            )
        for (shard, was), count in handovers.items():
            log_event(
                decisions,
                logging.INFO,
                "works-handed-over",
                shard=shard,
                owner=shard_owners[shard].owner,
                term=shard_owners[shard].term,
                was=was,
                works=count,
                unheard_s=round(self._unheard_s(was), 3),
            )

    def resubmit(self, owner: str) -> None:
        """Repeat what an owner may have missed.

        It is told which work items are open, so that it cancels the others. All its open ones are
        submitted again, including those it may already have, and those that were submitted to
        another owner since are released again.
        """
        self._send(owner, OpenWorks(sorted(self._work_by_id)))
        for work in list(self._work_by_id.values()):
            if self._owner_of(work).owner == owner:
                self._submit(work)
            self._release(work, owner)

    def _shard_of(self, work: _HeldWork) -> int:
        """Return the first shard in the order of the job that has not refused the work item."""
        if work.layout_revision != self._layout.revision:
            work.layout_revision = self._layout.revision
            work.shards = rank_shards(work.job.job_id, self._layout.sizes)
            work.refused_shards = 0
            work.refused_for_load = False
        return work.shards[work.refused_shards]

    def _owner_of(self, work: _HeldWork) -> ShardOwner:
        return self._shard_owners[self._shard_of(work)] if self._shard_owners else NO_OWNER

    def handle_notification(
        self, sender: str, message: TaskNews | WorkRefused | WorkAbandoned
    ) -> None:
        """Handle a notification of an owner about work items of this process."""
        if isinstance(message, WorkRefused):
            self._handle_refusal(sender, message)
            return
        if isinstance(message, WorkAbandoned):
            self._handle_abandoned(sender, message)
            return
        for work_id, index, event, run_number, server_id in message.events:
            work = self._work_by_id.get(work_id)
            task = work.task_by_index.get(index) if work is not None else None
            if work is None or task is None:
                continue
            if event == "placed":
                self._record_placement(work.job)
                if run_number >= task.next_run:
                    task.next_run, task.placed_on = run_number + 1, server_id
                if work.submitted_to[0] not in ("", sender):
                    # Reported by the previous owner; the current one must not start the task
                    # again.
                    self._submit(work)
            elif event == "done":
                # The notification of its placement may have been lost.
                self._record_placement(work.job)
                if not task.done:
                    task.done, task.done_run, task.done_at = True, run_number, current_time()
                    task.placed_on = server_id or task.placed_on
                self._finish_work(work)
            elif not task.done:
                reason = f"task {index} failed and is not retried"
                self._end(work.job, JobEnd(Outcome.FAILED, reason))

    async def watch(self) -> None:
        """Submit work items that have reached no owner yet until the call is cancelled.

        Their jobs end when they can no longer be done in time by the declared run times.
        """
        while True:
            if not self._work_by_id:
                self._has_works = anyio.Event()
                await self._has_works.wait()
            await anyio.sleep(TICK_S)
            now = current_time()
            for work in list(self._work_by_id.values()):
                if not work.submitted_to[0]:
                    self._submit(work)
                estimate_s = work.job.request.steps[work.step].shape.estimate_s
                if not work.submitted_to[0] and now + estimate_s > work.job.deadline_at:
                    self._refuse(work.job, "no owner", NO_OWNER_RETRY_AFTER_S)

    def _submit_ready_steps(self, job: Job) -> None:
        for number, step in enumerate(job.request.steps):
            if job.end is not None:
                # One of the steps was refused within the call that has submitted it.
                return
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
        now = current_time()
        previous_owners = work.previous_owners()
        shard = (self._shard_of(work), len(self._shard_owners))
        message = SubmitWork(
            work_id=work.work_id,
            job_id=job.job_id,
            shard=shard[0],
            layout_revision=self._layout.revision,
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
            resumed=bool(previous_owners),
            unheard_ms=int(min(map(self._unheard_s, previous_owners), default=0.0) * 1000),
            other_servers=any(previous != shard for previous in work.previous_shards()),
            more_offers=self._has_more_offers(work, TOO_LATE),
            refused_for_load=work.refused_for_load,
            identity=job.identity,
        )
        # Set before sending, for an answer within the call.
        before, work.submitted_to = work.submitted_to, (shard_owner.owner, shard_owner.term)
        former_shard, work.submitted_shard = work.submitted_shard, shard
        counts = work.offers, work.handovers
        if not before[0]:
            work.offers += 1
        elif before != work.submitted_to:
            work.handovers += 1
        is_handover = bool(before[0]) and before != work.submitted_to
        earlier_owners, earlier_shards = set(work.earlier_owners), set(work.earlier_shards)
        if is_handover:
            work.earlier_owners.add(before)
            work.earlier_shards.add(former_shard)
            work.earlier_owners.discard(work.submitted_to)
        if not self._send(shard_owner.owner, message):
            work.submitted_to, work.submitted_shard = before, former_shard
            work.earlier_owners, work.earlier_shards = earlier_owners, earlier_shards
            work.offers, work.handovers = counts
        elif is_handover:
            self._release(work, before[0])

    def _release(self, work: _HeldWork, owner: str) -> None:
        """Tell an earlier owner of a work item, if it is one, that another owner has it now."""
        for earlier, term in sorted(work.earlier_owners):
            if earlier == owner:
                self._send(owner, ReleaseWork(work.work_id, term))

    def _record_placement(self, job: Job) -> None:
        if not job.started:
            job.started = True
            self._metrics.observe_first_start(current_time() - job.received_at)

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
        work.refusing_shards.append(self._shard_of(work))
        if message.reason not in (FITS_ON_NO_SERVER, NO_SERVER):
            work.refused_for_load = True
        if self._has_more_offers(work, message.reason):
            # This owner started no task. A resubmitted job is offered to the same shards in the
            # same order.
            work.refused_by.add(sender)
            work.refused_shards += 1
            work.submitted_to = ("", 0)
            self._submit(work)
        else:
            self._refuse(work.job, message.reason, message.retry_after_s)

    def _has_more_offers(self, work: _HeldWork, reason: str) -> bool:
        """Return whether a work item is offered to another shard if this one refuses it."""
        if reason == ID_IN_USE:
            return False
        offers = len(self._shard_owners)
        if reason not in (FITS_ON_NO_SERVER, NO_SERVER):
            offers = min(offers, MAX_OFFERS_UNDER_LOAD)
        return work.refused_shards + 1 < offers

    def _handle_abandoned(self, sender: str, message: WorkAbandoned) -> None:
        work = self._work_by_id.get(message.work_id)
        if work is not None and work.submitted_to == (sender, message.term):
            self._end(work.job, JobEnd(Outcome.UNKNOWN, TOO_LATE))

    def _refuse(self, job: Job, reason: str, retry_after_s: int) -> None:
        """End a job as refused, or as unknown if tasks of it may have started."""
        if job.may_have_started():
            self._end(job, JobEnd(Outcome.UNKNOWN, reason))
        else:
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
            receivers = work.refused_by | {owner for owner, _ in work.earlier_owners}
            # Also needed after a refusal, which the owner forgets, as the work item may have been
            # submitted again since; and for a task whose end an earlier owner has reported.
            if work.submitted_to[0] and (work.earlier_owners or not work.done):
                receivers |= {shard_owner.owner, work.submitted_to[0]}
            for receiver in sorted(receivers):
                self._send(receiver, CancelWork(work.work_id, _may_be_running(job, end)))
        now = current_time()
        steps = job.request.steps
        tasks = sum(step.count for step in steps)
        declared_s = sum(step.count * step.shape.estimate_s for step in steps)
        self._metrics.observe_job(
            job.route.name, end.outcome, now - job.received_at, tasks, declared_s
        )
        works = job.work_by_step.values()
        refused_by = [shard for work in works for shard in work.refusing_shards]
        earlier: dict[str, object] = {}
        if refused_by or any(work.handovers for work in works):
            earlier = {
                "refused_by": refused_by,
                "handovers": sum(work.handovers for work in works),
                "done": _list_completed_runs(job, now),
            }
        requests: dict[str, object] = {}
        if job.requests > 1:
            requests = {"requests": job.requests, "waiters": job.waiters}
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
            tasks=tasks,
            declared_s=round(declared_s, 3),
            offers=sum(work.offers for work in works),
            **earlier,
            **requests,
        )


def _may_be_running(job: Job, end: JobEnd) -> bool:
    """Return whether runs of an ended job may go on."""
    if end.outcome is Outcome.COMPLETE:
        # An earlier owner may have reported the end of a task that the next one has started anew.
        return any(work.earlier_owners for work in job.work_by_step.values())
    return end.outcome is not Outcome.REFUSED


def _list_completed_runs(job: Job, now: float) -> list[tuple[str, int, str, float]]:
    """Return step and index, run number, server and age of the report of each done task."""
    return [
        (f"{work.step}.{index}", task.done_run, task.placed_on, round(now - task.done_at, 3))
        for work in job.work_by_step.values()
        for index, task in work.task_by_index.items()
        if task.done
    ]
