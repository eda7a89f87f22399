"""Record of the tasks under which servers have crashed."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from redwingport_dispatch.scheduling.work import job_id_of

# Clients submit a job again for some seconds after an error or a refusal.
RECORD_TTL_S = 60.0
# Maximum number of tasks with a record; the oldest records are dropped.
MAX_TASKS = 4096
# A task that was alone on one of two crashed servers has crashed it. A task that was never alone
# needs one more, as the servers of a failure domain may crash at the same time.
CRASHES_WITH_ISOLATION = 2
CRASHES_WITHOUT_ISOLATION = 3


@dataclass(frozen=True, slots=True)
class Lifetime:
    """Identify one lifetime of a server.

    :param server_id: id of the server.
    :param born_ms: Unix time of its start, in milliseconds; 0 when unknown.
    """

    server_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class Crash:
    """Represent a crash of a server while a run of a task was there.

    :param task_name: name of the task.
    :param lifetime: the lifetime that the crash has ended.
    :param alone: whether nothing else ran on the server.
    :param expires_at: monotonic time until which the crash counts, in seconds.
    """

    task_name: str
    lifetime: Lifetime
    alone: bool
    expires_at: float


@dataclass(frozen=True, slots=True)
class Retraction:
    """Represent the end of the evidence from crashes before some time.

    :param subject: a lifetime that has survived, or the name of a task of which a run has ended
        normally.
    :param expires_at: monotonic time at which crashes of that time would expire, in seconds;
        later crashes count.
    """

    subject: Lifetime | str
    expires_at: float


@dataclass(slots=True)
class _JobRecord:
    """Hold the crashes under the tasks of one job.

    :param by_task: crashes by name of the task and lifetime.
    :param cleared: whether a run of one of these tasks has ended normally since.
    """

    by_task: dict[str, dict[Lifetime, Crash]] = field(default_factory=dict)
    cleared: bool = False


class CrashLog:
    """Record which servers have crashed under which tasks.

    The log belongs to the process and outlives its owners. Processes exchange their crashes, as
    the owner may change with each crash. A crash is identified by task and lifetime of the server,
    so that one that several processes report counts once.

    Retractions outlive what they remove, as a process without a link may still hold it.

    :param on_crashes: called with crashes that this process has observed.
    :param on_retracted: called with a retraction of crashes by this process.
    """

    def __init__(
        self,
        on_crashes: Callable[[Sequence[Crash]], None] | None = None,
        on_retracted: Callable[[Retraction], None] | None = None,
    ) -> None:
        self.revision = 0
        self._on_crashes = on_crashes
        self._on_retracted = on_retracted
        self._record_by_job: dict[str, _JobRecord] = {}
        self._task_count = 0
        self._retraction_by_subject: dict[Lifetime | str, Retraction] = {}

    def observe(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Record crashes that an owner of this process has observed; return the new ones."""
        new = self.merge(crashes)
        if new and self._on_crashes is not None:
            self._on_crashes(new)
        return new

    def merge(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Record crashes; return those that were not known."""
        new = []
        for crash in crashes:
            if self._is_retracted(crash):
                continue
            record = self._record_by_job.setdefault(job_id_of(crash.task_name), _JobRecord())
            if crash.task_name not in record.by_task:
                self._task_count += 1
            by_lifetime = record.by_task.setdefault(crash.task_name, {})
            known = by_lifetime.get(crash.lifetime)
            if known is None or (crash.alone and not known.alone):
                by_lifetime[crash.lifetime] = crash
                new.append(crash)
        while self._task_count > MAX_TASKS:
            oldest = next(iter(self._record_by_job))
            self._task_count -= len(self._record_by_job.pop(oldest).by_task)
        self.revision += bool(new)
        return new

    def retract(self, retraction: Retraction) -> bool:
        """Remove crashes, and ignore them if they are reported again.

        :returns: whether the retraction was not known or has removed a crash.
        """
        subject = retraction.subject
        known = self._retraction_by_subject.get(subject)
        if known is None or retraction.expires_at > known.expires_at:
            self._retraction_by_subject[subject] = retraction
        if len(self._retraction_by_subject) > MAX_TASKS:
            del self._retraction_by_subject[next(iter(self._retraction_by_subject))]
        return self._remove_retracted(subject) or known is None

    def note_survived(self, lifetime: Lifetime, now: float) -> None:
        """Remove the crashes of a lifetime that answers an owner of this process."""
        crashes = [crash for crash in self.all_crashes() if crash.lifetime == lifetime]
        self._retract_known(lifetime, crashes, now)

    def clear(self, task_name: str, now: float) -> None:
        """Remove the crashes under a task of which a run has ended normally."""
        self._retract_known(task_name, self.crashes_under(task_name), now)

    def _retract_known(
        self, subject: Lifetime | str, crashes: Sequence[Crash], now: float
    ) -> None:
        if not crashes:
            return
        # Those that a peer has reported seem later than they are, by the time in transit.
        latest = max(crash.expires_at for crash in crashes)
        retraction = Retraction(subject, max(latest, now + RECORD_TTL_S))
        self.retract(retraction)
        if self._on_retracted is not None:
            self._on_retracted(retraction)

    def _is_retracted(self, crash: Crash) -> bool:
        subjects: tuple[Lifetime | str, ...] = (crash.lifetime, crash.task_name)
        retractions = [self._retraction_by_subject.get(subject) for subject in subjects]
        return any(r is not None and crash.expires_at <= r.expires_at for r in retractions)

    def _remove_retracted(self, subject: Lifetime | str) -> bool:
        found = False
        for job_id, record in list(self._record_by_job.items()):
            for task_name, by_lifetime in list(record.by_task.items()):
                for lifetime, crash in list(by_lifetime.items()):
                    if subject in (lifetime, task_name) and self._is_retracted(crash):
                        del by_lifetime[lifetime]
                        found = True
                if not by_lifetime:
                    record.cleared = record.cleared or subject == task_name
                    self._remove(job_id, record, task_name)
        return found

    def _remove(self, job_id: str, record: _JobRecord, task_name: str) -> None:
        del record.by_task[task_name]
        self._task_count -= 1
        if not record.by_task:
            del self._record_by_job[job_id]

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is known."""
        return not self._record_by_job

    def has_suspects(self, job_id: str) -> bool:
        """Return whether a server has crashed under a task of a job."""
        return job_id in self._record_by_job

    def is_cleared(self, job_id: str) -> bool:
        """Return whether a suspect task of a job, but not each of them, has ended normally."""
        record = self._record_by_job.get(job_id)
        return record is not None and record.cleared

    def is_suspect(self, task_name: str) -> bool:
        """Return whether a server has crashed under a task."""
        return bool(self.crashes_under(task_name))

    def crashes_under(self, task_name: str) -> tuple[Crash, ...]:
        """Return the crashes under a task."""
        record = self._record_by_job.get(job_id_of(task_name))
        by_lifetime = record.by_task.get(task_name) if record is not None else None
        return tuple(by_lifetime.values()) if by_lifetime else ()

    def is_guilty(self, task_name: str) -> bool:
        """Return whether a task has crashed servers by all evidence, and must not start again."""
        crashes = self.crashes_under(task_name)
        was_alone = any(crash.alone for crash in crashes)
        limit = CRASHES_WITH_ISOLATION if was_alone else CRASHES_WITHOUT_ISOLATION
        return len(crashes) >= limit

    def all_crashes(self) -> list[Crash]:
        """Return all crashes."""
        return [
            crash
            for record in self._record_by_job.values()
            for by_lifetime in record.by_task.values()
            for crash in by_lifetime.values()
        ]

    def all_retractions(self) -> list[Retraction]:
        """Return all retractions."""
        return list(self._retraction_by_subject.values())

    def prune(self, now: float) -> None:
        """Remove expired crashes and retractions."""
        for retraction in self.all_retractions():
            if now >= retraction.expires_at:
                del self._retraction_by_subject[retraction.subject]
        for job_id, record in list(self._record_by_job.items()):
            for task_name, by_lifetime in list(record.by_task.items()):
                for lifetime, crash in list(by_lifetime.items()):
                    if now >= crash.expires_at:
                        del by_lifetime[lifetime]
                if not by_lifetime:
                    self._remove(job_id, record, task_name)
