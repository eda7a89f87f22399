"""Short-term record of ended work items and runs, for messages that arrive late."""

from collections.abc import Set
from dataclasses import dataclass, replace

from redwingport_dispatch.interfaces import RunEnd
from redwingport_dispatch.scheduling.admission import ID_IN_USE
from redwingport_dispatch.scheduling.work import Run, Work, WorkKey

StepKey = tuple[str, int]
# Id and identity of a job.
JobKey = tuple[str, str]

# Ended work items are kept for a holder that resubmits them after its link was broken.
ENDED_WORK_TTL_S = 3.0
# Ends that no work item has claimed are kept for holders that are switching to this owner.
UNCLAIMED_END_TTL_S = 2.0
# A client resubmits a job 1.3 s after its connection broke, for 1.5 s in all, possibly through
# another process. A resubmitted job that has a started run must not be refused.
STARTED_JOB_TTL_S = 5.0
# Runs of a cancelled job may go on in another shard until its owner has heard of the cancel, over
# a new link if one was broken, or has lost the holder, and then until their leases end.
CANCELLED_RUNS_TTL_S = 3.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Represent a refusal sent to a holder; the work item must never start afterwards.

    :param work: the work item.
    :param reason: reason of the refusal.
    :param retry_after_s: time after which there should be capacity, in seconds.
    :param expires_at: monotonic time from which the work item can no longer be resubmitted, in
        seconds.
    """

    work: Work
    reason: str
    retry_after_s: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class _EndedWork:
    work: Work
    expires_at: float


@dataclass(frozen=True, slots=True)
class GivenUpWork:
    """Represent a work item that was abandoned, or failed after too many failed runs of a task.

    :param work: the work item.
    :param failed_run: last run of the failed task; None if the work item was abandoned.
    :param expires_at: monotonic time from which it can no longer be resubmitted, in seconds.
    """

    work: Work
    failed_run: Run | None
    expires_at: float


@dataclass(frozen=True, slots=True)
class UnclaimedEnd:
    """Represent the end of a run that belongs to no known work item.

    :param end: the end.
    :param server_id: id of the server that has reported it.
    :param identity: identity of the job of the run; empty when unknown.
    :param expires_at: monotonic time from which it can no longer be claimed, in seconds.
    """

    end: RunEnd
    server_id: str
    identity: str
    expires_at: float


class History:
    """Keep ended, given up, refused and blocked work items, started jobs and unclaimed ends."""

    def __init__(self) -> None:
        self._ended_by_key: dict[WorkKey, _EndedWork] = {}
        self._given_up_by_key: dict[WorkKey, GivenUpWork] = {}
        self._refusal_by_key: dict[WorkKey, Refusal] = {}
        self._passed_on_by_step: dict[StepKey, dict[WorkKey, Refusal]] = {}
        self._unclaimed_by_task: dict[str, UnclaimedEnd] = {}
        self._started_until_by_job: dict[JobKey, float] = {}
        self._blocked_by_job_id: dict[str, Work] = {}
        # Times until which another owner may run work items of holders that were out of reach.
        self._out_of_reach_by_job_id: dict[str, dict[WorkKey, float]] = {}
        # Those whose holders were told to end them, and have not confirmed it.
        self._displaced_keys: set[WorkKey] = set()

    def note_ended(self, work: Work, now: float) -> None:
        """Record a work item whose tasks are all done."""
        self._ended_by_key[work.key] = _EndedWork(work, now + ENDED_WORK_TTL_S)

    def find_ended(self, key: WorkKey) -> Work | None:
        """Return a recorded work item whose tasks are all done, or None."""
        ended = self._ended_by_key.get(key)
        return ended.work if ended is not None else None

    def note_given_up(self, work: Work, now: float, failed_run: Run | None = None) -> None:
        """Record a work item that was abandoned, or that failed by the last run of a task."""
        expires_at = now + ENDED_WORK_TTL_S
        self._given_up_by_key[work.key] = GivenUpWork(work, failed_run, expires_at)

    def find_given_up(self, key: WorkKey) -> GivenUpWork | None:
        """Return a recorded work item that was given up, or None."""
        return self._given_up_by_key.get(key)

    def note_refused(self, work: Work, reason: str, retry_after_s: int) -> None:
        """Record a refusal until the work item can no longer be resubmitted."""
        expires_at = work.deadline_at + ENDED_WORK_TTL_S
        refusal = Refusal(work, reason, retry_after_s, expires_at)
        self._refusal_by_key[work.key] = refusal
        if work.more_offers and reason != ID_IN_USE:
            step = (work.job_id, work.step)
            self._passed_on_by_step.setdefault(step, {})[work.key] = refusal

    def find_refusal(self, key: WorkKey) -> Refusal | None:
        """Return the refusal of a work item, or None if it was not refused."""
        return self._refusal_by_key.get(key)

    def find_passed_on(self, work: Work) -> Refusal | None:
        """Return the refusal of an earlier submission that was then offered to another shard.

        It may be running there. If its job is submitted again, through any process, it has to
        reach that shard again.

        :param work: the work item of the later submission.
        :returns: the refusal; None if there is none, or if this shard has started the job since.
        """
        if not work.more_offers or self.has_started(work.job_id, work.identity):
            return None
        refusal_by_key = self._passed_on_by_step.get((work.job_id, work.step), {})
        return next(iter(refusal_by_key.values()), None)

    def limit_passed_on(self, key: WorkKey, now: float) -> None:
        """Record that the job of a refused work item has ended, of which runs may go on.

        Until they have certainly ended, a later submission has to reach the shard to which the
        work item was offered.
        """
        refusal = self._refusal_by_key.get(key)
        if refusal is None:
            return
        refusal_by_key = self._passed_on_by_step.get((refusal.work.job_id, refusal.work.step), {})
        if key in refusal_by_key:
            expires_at = min(refusal.expires_at, now + CANCELLED_RUNS_TTL_S)
            refusal_by_key[key] = replace(refusal, expires_at=expires_at)

    def limit_passed_on_of(self, holder: str, open_keys: Set[WorkKey], now: float) -> None:
        """Record that the jobs of a holder have ended, but for those of its open work items."""
        ended = [
            key
            for refusal_by_key in self._passed_on_by_step.values()
            for key, refusal in refusal_by_key.items()
            if refusal.work.holder == holder and key not in open_keys
        ]
        for key in ended:
            self.limit_passed_on(key, now)

    def forget_passed_on(self, key: WorkKey) -> None:
        """Forget that a refused work item was offered to another shard; its job never started."""
        refusal = self._refusal_by_key.get(key)
        if refusal is not None:
            step = (refusal.work.job_id, refusal.work.step)
            refusal_by_key = self._passed_on_by_step.get(step, {})
            refusal_by_key.pop(key, None)
            if not refusal_by_key:
                self._passed_on_by_step.pop(step, None)

    def note_started(self, job_id: str, identity: str, now: float) -> None:
        """Record that a run of a job has started.

        :param identity: identity of the job; empty when unknown.
        """
        self._started_until_by_job[job_id, identity] = now + STARTED_JOB_TTL_S

    def has_started(self, job_id: str, identity: str) -> bool:
        """Return whether a run of a job has started recently, or may have."""
        started = self._started_until_by_job
        return (job_id, identity) in started or (job_id, "") in started

    def note_blocked(self, work: Work) -> None:
        """Record a work item that was given up while runs of its tasks may exist elsewhere."""
        known = self._blocked_by_job_id.get(work.job_id)
        if known is None or known.safe_at < work.safe_at:
            self._blocked_by_job_id[work.job_id] = work

    def find_blocked(self, job_id: str, now: float) -> Work | None:
        """Return a work item of that id of which runs may exist elsewhere, or None."""
        work = self._blocked_by_job_id.get(job_id)
        return work if work is not None and now < work.safe_at else None

    def note_out_of_reach(self, work: Work, until: float) -> None:
        """Record that the holder of a work item is out of reach, and may have another owner.

        :param work: the work item.
        :param until: monotonic time by which every run of that owner has ended, in seconds.
        """
        until_by_key = self._out_of_reach_by_job_id.setdefault(work.job_id, {})
        until_by_key[work.key] = max(until, until_by_key.get(work.key, 0.0))

    def note_displaced(self, work: Work, until: float) -> None:
        """Record that the holder of a work item has to end it, and may be out of reach.

        :param work: the work item.
        :param until: monotonic time by which every run of it has ended, in seconds.
        """
        self.note_out_of_reach(work, until)
        self._displaced_keys.add(work.key)

    def confirm_displaced(self, key: WorkKey) -> None:
        """Record that the holder of a displaced work item has ended it."""
        if key in self._displaced_keys:
            self.forget_out_of_reach(key)

    def keep_displaced_of(self, holder: str) -> None:
        """Record that a holder was lost before it has ended its displaced work items."""
        self._displaced_keys = {key for key in self._displaced_keys if key[0] != holder}

    def is_out_of_reach(self, work: Work, now: float) -> bool:
        """Return whether another holder may have a job of the same id run elsewhere."""
        until_by_key = self._out_of_reach_by_job_id.get(work.job_id, {})
        return any(
            now < until for (holder, _), until in until_by_key.items() if holder != work.holder
        )

    def limit_out_of_reach(self, key: WorkKey, now: float) -> None:
        """Record that the holder of a work item has ended its job, of which runs may go on."""
        for until_by_key in self._out_of_reach_by_job_id.values():
            if key in until_by_key:
                until_by_key[key] = min(until_by_key[key], now + CANCELLED_RUNS_TTL_S)

    def forget_out_of_reach(self, key: WorkKey) -> None:
        """Forget a work item that its holder has cancelled, or submitted to this owner."""
        self._displaced_keys.discard(key)
        for job_id, until_by_key in list(self._out_of_reach_by_job_id.items()):
            until_by_key.pop(key, None)
            if not until_by_key:
                del self._out_of_reach_by_job_id[job_id]

    def forget_out_of_reach_of(self, holder: str, open_keys: Set[WorkKey]) -> None:
        """Forget the work items of a holder, but for the open ones."""
        ended = [
            key
            for until_by_key in self._out_of_reach_by_job_id.values()
            for key in until_by_key
            if key[0] == holder and key not in open_keys
        ]
        for key in ended:
            self.forget_out_of_reach(key)

    def note_unclaimed_end(self, end: RunEnd, server_id: str, identity: str, now: float) -> None:
        """Record the end of a run that belongs to no known work item.

        :param identity: identity of the job of the run; empty when unknown.
        """
        expires_at = now + UNCLAIMED_END_TTL_S
        self._unclaimed_by_task[end.task] = UnclaimedEnd(end, server_id, identity, expires_at)

    def find_unclaimed_end(self, task_name: str) -> UnclaimedEnd | None:
        """Return the end of a run of a task that belonged to no known work item, or None."""
        return self._unclaimed_by_task.get(task_name)

    def forget_unclaimed_end(self, task_name: str) -> None:
        """Remove the end of a run that a work item has claimed."""
        self._unclaimed_by_task.pop(task_name, None)

    def prune(self, now: float) -> None:
        """Remove expired entries."""
        self._ended_by_key = {
            key: ended for key, ended in self._ended_by_key.items() if now < ended.expires_at
        }
        self._given_up_by_key = {
            key: given_up
            for key, given_up in self._given_up_by_key.items()
            if now < given_up.expires_at
        }
        self._refusal_by_key = {
            key: refusal
            for key, refusal in self._refusal_by_key.items()
            if now < refusal.expires_at
        }
        self._passed_on_by_step = {
            step: valid_by_key
            for step, refusal_by_key in self._passed_on_by_step.items()
            if (
                valid_by_key := {
                    key: refusal
                    for key, refusal in refusal_by_key.items()
                    if now < refusal.expires_at
                }
            )
        }
        self._unclaimed_by_task = {
            task: unclaimed
            for task, unclaimed in self._unclaimed_by_task.items()
            if now < unclaimed.expires_at
        }
        self._blocked_by_job_id = {
            job_id: work for job_id, work in self._blocked_by_job_id.items() if now < work.safe_at
        }
        self._started_until_by_job = {
            job: until for job, until in self._started_until_by_job.items() if now < until
        }
        self._out_of_reach_by_job_id = {
            job_id: until_by_key
            for job_id, until_by_key in self._out_of_reach_by_job_id.items()
            if now < max(until_by_key.values())
        }
        self._displaced_keys = {
            key
            for until_by_key in self._out_of_reach_by_job_id.values()
            for key in until_by_key
            if key in self._displaced_keys
        }
