"""What an owner remembers of works and runs that are over, for messages that come late."""

from dataclasses import dataclass

from redwingport_dispatch.interfaces import RunEnd
from redwingport_dispatch.scheduling.work import Work, WorkKey

# Works that have ended are remembered for a holder that asks again after a broken link.
ENDED_WORK_TTL_S = 3.0
# Ends that no work has claimed yet, kept for holders that move to this owner.
UNCLAIMED_END_TTL_S = 2.0
# A client sends a job again 1.3 s after its connection broke, for 1.5 s in all; a job of which
# something has started is not refused then, by whichever process it comes.
STARTED_JOB_TTL_S = 5.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold what a holder was told; it must stay true.

    :param reason: why the work was refused.
    :param retry_after_s: time after which there should be room, in seconds.
    :param expires_at: monotonic time from which the work cannot be handed over again.
    """

    reason: str
    retry_after_s: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class _EndedWork:
    work: Work
    expires_at: float


@dataclass(frozen=True, slots=True)
class _UnclaimedEnd:
    end: RunEnd
    expires_at: float


class History:
    """Remember ended and refused works, started jobs and ends of unknown runs for some seconds."""

    def __init__(self) -> None:
        self._ended_by_key: dict[WorkKey, _EndedWork] = {}
        self._refusal_by_key: dict[WorkKey, Refusal] = {}
        self._unclaimed_by_task: dict[str, _UnclaimedEnd] = {}
        self._started_until_by_job: dict[str, float] = {}

    def note_ended(self, work: Work, now: float) -> None:
        """Remember a work whose tasks are done."""
        self._ended_by_key[work.key] = _EndedWork(work, now + ENDED_WORK_TTL_S)

    def find_ended(self, key: WorkKey) -> Work | None:
        """Return a work whose tasks are done."""
        ended = self._ended_by_key.get(key)
        return ended.work if ended is not None else None

    def note_refused(self, work: Work, reason: str, retry_after_s: int) -> None:
        """Remember a refusal until the work cannot be handed over again."""
        expires_at = work.deadline_at + ENDED_WORK_TTL_S
        self._refusal_by_key[work.key] = Refusal(reason, retry_after_s, expires_at)

    def find_refusal(self, key: WorkKey) -> Refusal | None:
        """Return what the holder of a work was told, if it was refused."""
        return self._refusal_by_key.get(key)

    def note_started(self, job_id: str, now: float) -> None:
        """Remember that something of a job has started."""
        self._started_until_by_job[job_id] = now + STARTED_JOB_TTL_S

    def has_started(self, job_id: str) -> bool:
        """Tell whether something of a job has started lately."""
        return job_id in self._started_until_by_job

    def note_unclaimed_end(self, end: RunEnd, now: float) -> None:
        """Remember the end of a run that belongs to no work known here."""
        self._unclaimed_by_task[end.task] = _UnclaimedEnd(end, now + UNCLAIMED_END_TTL_S)

    def claim_end(self, task_name: str) -> RunEnd | None:
        """Return the end of a run of a task that has come before its work, and forget it."""
        unclaimed = self._unclaimed_by_task.pop(task_name, None)
        return unclaimed.end if unclaimed is not None else None

    def prune(self, now: float) -> None:
        """Forget what is no longer asked for."""
        self._ended_by_key = {
            key: ended for key, ended in self._ended_by_key.items() if now < ended.expires_at
        }
        self._refusal_by_key = {
            key: refusal
            for key, refusal in self._refusal_by_key.items()
            if now < refusal.expires_at
        }
        self._unclaimed_by_task = {
            task: unclaimed
            for task, unclaimed in self._unclaimed_by_task.items()
            if now < unclaimed.expires_at
        }
        self._started_until_by_job = {
            job_id: until for job_id, until in self._started_until_by_job.items() if now < until
        }
