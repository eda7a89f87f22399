"""Record of the tasks under which servers have crashed."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from redwingport_dispatch.scheduling.work import job_id_of

# Clients submit a job again for some seconds after an error or a refusal.
RECORD_TTL_S = 60.0
# Maximum number of tasks with a record, and of retractions; the oldest are dropped.
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
    :param stamp: orders the crash among retractions and other reports of the same crash; set once
        by the process that observed it, 0 in reports of processes that set none.
    """

    task_name: str
    lifetime: Lifetime
    alone: bool
    expires_at: float
    stamp: int = 0

    def covers(self, other: "Crash") -> bool:
        """Return whether another report of the same crash adds nothing to this one."""
        return self.stamp >= other.stamp and self.alone >= other.alone


@dataclass(frozen=True, slots=True)
class Retraction:
    """Represent the end of the evidence from earlier crashes.

    :param subject: a lifetime that has survived, or the name of a task of which a run has ended
        normally.
    :param expires_at: monotonic time at which the retraction is forgotten, in seconds.
    :param stamp: crashes with this stamp or a lower one no longer count; set once by the process
        that retracted them. 0 in reports of processes that set none: they end the evidence from
        crashes without a stamp only.
    """

    subject: Lifetime | str
    expires_at: float
    stamp: int = 0


@dataclass(slots=True)
class _JobRecord:
    """Hold the crashes under the tasks of one job.

    :param by_task: reports of crashes by name of the task and lifetime, none of which covers
        another.
    :param cleared: whether a run of one of these tasks has ended normally since.
    """

    by_task: dict[str, dict[Lifetime, list[Crash]]] = field(default_factory=dict)
    cleared: bool = False


class CrashLog:
    """Record which servers have crashed under which tasks.

    The log belongs to the process and outlives its owners. Processes exchange their crashes, as
    the owner may change with each crash. A crash is identified by task and lifetime of the server,
    so that one that several processes report counts once.

    Retractions outlive what they remove, as a process without a link may still hold it.

    Crashes and retractions are ordered by their stamps only. Logs that have received the same ones
    are equal, whatever the order, and nothing is new to a log twice. Expiry times can't order
    them, as they are sent as remaining times and move later by the time in transit.

    :param clock_ms: returns the Unix time, in milliseconds. If it steps back, stamps still exceed
        those of known items that they have to supersede.
    :param on_crashes: called with crashes that this process has observed.
    :param on_retracted: called with a retraction of crashes by this process.
    """

    def __init__(
        self,
        on_crashes: Callable[[Sequence[Crash]], None] | None = None,
        on_retracted: Callable[[Retraction], None] | None = None,
        clock_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.revision = 0
        self._clock_ms = clock_ms
        self._on_crashes = on_crashes
        self._on_retracted = on_retracted
        self._record_by_job: dict[str, _JobRecord] = {}
        self._task_count = 0
        self._retraction_by_subject: dict[Lifetime | str, Retraction] = {}
        self._dropped_crash: Crash | None = None
        self._dropped_retraction: Retraction | None = None

    def observe(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Stamp and record crashes that an owner of this process has observed.

        :param crashes: the crashes; their stamps are ignored.
        :returns: those that were not known.
        """
        new = self.merge(
            replace(crash, stamp=self._stamp_of(crash))
            for crash in crashes
            if not any(known.alone >= crash.alone for known in self._reports_of(crash))
        )
        if new and self._on_crashes is not None:
            self._on_crashes(new)
        return new

    def _stamp_of(self, crash: Crash) -> int:
        """Return a stamp that exceeds those of known retractions and reports of a crash."""
        known = [retraction.stamp for retraction in self._retractions_of(crash)]
        known.extend(report.stamp for report in self._reports_of(crash))
        if self._dropped_crash is not None:
            known.append(self._dropped_crash.stamp)
        return max(1, self._clock_ms(), *(stamp + 1 for stamp in known))

    def merge(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Record crashes; return those that were not known.

        A crash that is known expires at the earlier of the two times.
        """
        new = []
        for crash in crashes:
            if self._is_retracted(crash) or self._is_dropped(crash):
                continue
            record = self._record_by_job.setdefault(job_id_of(crash.task_name), _JobRecord())
            if crash.task_name not in record.by_task:
                self._task_count += 1
            by_lifetime = record.by_task.setdefault(crash.task_name, {})
            reports = by_lifetime.get(crash.lifetime, [])
            if any(known.covers(crash) for known in reports):
                by_lifetime[crash.lifetime] = [_expiring_with(crash, known) for known in reports]
            else:
                kept = [known for known in reports if not crash.covers(known)]
                by_lifetime[crash.lifetime] = [*kept, crash]
                new.append(crash)
        if self._task_count > MAX_TASKS:
            self._drop_oldest()
            new = [crash for crash in new if not self._is_dropped(crash)]
        self.revision += bool(new)
        return new

    def _drop_oldest(self) -> None:
        """Drop crashes so that no more than the maximum number of tasks has a record.

        The choice does not depend on the order of arrival, and a dropped crash is not taken again:
        otherwise full logs would exchange crashes that each has dropped, without end.
        """
        for crash in sorted(self.all_crashes(), key=_age_of_crash):
            job_id, task_name = job_id_of(crash.task_name), crash.task_name
            record = self._record_by_job[job_id]
            by_lifetime = record.by_task[task_name]
            kept = [report for report in by_lifetime[crash.lifetime] if report != crash]
            _replace(by_lifetime, crash.lifetime, kept)
            self._dropped_crash = crash
            if not by_lifetime:
                self._remove(job_id, record, task_name)
                if self._task_count <= MAX_TASKS:
                    break

    def _is_dropped(self, crash: Crash) -> bool:
        dropped = self._dropped_crash
        return dropped is not None and _age_of_crash(crash) <= _age_of_crash(dropped)

    def retract(self, retraction: Retraction) -> bool:
        """Remove crashes, and ignore them if they are reported again.

        A retraction that is known expires at the earlier of the two times.

        :returns: whether the retraction was not known.
        """
        subject = retraction.subject
        known = self._retraction_by_subject.get(subject)
        if known is not None and retraction.stamp <= known.stamp:
            if retraction.stamp == known.stamp and retraction.expires_at < known.expires_at:
                self._retraction_by_subject[subject] = retraction
            return False
        dropped = self._dropped_retraction
        if dropped is not None and _age_of_retraction(retraction) <= _age_of_retraction(dropped):
            return False
        self._retraction_by_subject[subject] = retraction
        self._remove_retracted(retraction)
        if len(self._retraction_by_subject) > MAX_TASKS:
            oldest = min(self._retraction_by_subject.values(), key=_age_of_retraction)
            del self._retraction_by_subject[oldest.subject]
            self._dropped_retraction = oldest
        return True

    def note_survived(self, lifetime: Lifetime, now: float) -> None:
        """Remove the crashes of a lifetime that answers an owner of this process."""
        crashes = [crash for crash in self.all_crashes() if crash.lifetime == lifetime]
        self._retract_known(lifetime, crashes, now)

    def clear(self, task_name: str, now: float) -> None:
        """Remove the crashes under a task of which a run has ended normally."""
        record = self._record_by_job.get(job_id_of(task_name))
        by_lifetime = record.by_task.get(task_name, {}) if record is not None else {}
        crashes = [crash for reports in by_lifetime.values() for crash in reports]
        self._retract_known(task_name, crashes, now)

    def _retract_known(
        self, subject: Lifetime | str, crashes: Sequence[Crash], now: float
    ) -> None:
        if not crashes:
            return
        # Those that a peer has reported seem later than they are, by the time in transit.
        latest = max(crash.expires_at for crash in crashes)
        known = [crash.stamp for crash in crashes]
        if self._dropped_retraction is not None:
            known.append(self._dropped_retraction.stamp)
        stamp = max(self._clock_ms(), *(stamp + 1 for stamp in known))
        retraction = Retraction(subject, max(latest, now + RECORD_TTL_S), stamp)
        self.retract(retraction)
        if self._on_retracted is not None:
            self._on_retracted(retraction)

    def _reports_of(self, crash: Crash) -> Sequence[Crash]:
        """Return the known reports of the same crash."""
        record = self._record_by_job.get(job_id_of(crash.task_name))
        by_lifetime = record.by_task.get(crash.task_name) if record is not None else None
        return by_lifetime.get(crash.lifetime, ()) if by_lifetime else ()

    def _retractions_of(self, crash: Crash) -> list[Retraction]:
        subjects: tuple[Lifetime | str, ...] = (crash.lifetime, crash.task_name)
        found = [self._retraction_by_subject.get(subject) for subject in subjects]
        return [retraction for retraction in found if retraction is not None]

    def _is_retracted(self, crash: Crash) -> bool:
        return any(crash.stamp <= r.stamp for r in self._retractions_of(crash))

    def _remove_retracted(self, retraction: Retraction) -> None:
        subject = retraction.subject
        for job_id, record in list(self._record_by_job.items()):
            for task_name, by_lifetime in list(record.by_task.items()):
                for lifetime, reports in list(by_lifetime.items()):
                    if subject in (lifetime, task_name):
                        kept = [crash for crash in reports if crash.stamp > retraction.stamp]
                        _replace(by_lifetime, lifetime, kept)
                if not by_lifetime:
                    record.cleared = record.cleared or subject == task_name
                    self._remove(job_id, record, task_name)

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
        """Return the crashes under a task, one of each lifetime."""
        record = self._record_by_job.get(job_id_of(task_name))
        by_lifetime = record.by_task.get(task_name) if record is not None else None
        if not by_lifetime:
            return ()
        return tuple(max(reports, key=lambda r: r.alone) for reports in by_lifetime.values())

    def is_guilty(self, task_name: str) -> bool:
        """Return whether a task has crashed servers by all evidence, and must not start again."""
        crashes = self.crashes_under(task_name)
        was_alone = any(crash.alone for crash in crashes)
        limit = CRASHES_WITH_ISOLATION if was_alone else CRASHES_WITHOUT_ISOLATION
        return len(crashes) >= limit

    def all_crashes(self) -> list[Crash]:
        """Return all reports of crashes."""
        return [
            crash
            for record in self._record_by_job.values()
            for by_lifetime in record.by_task.values()
            for reports in by_lifetime.values()
            for crash in reports
        ]

    def all_retractions(self) -> list[Retraction]:
        """Return all retractions."""
        return list(self._retraction_by_subject.values())

    def prune(self, now: float) -> None:
        """Remove expired crashes and retractions."""
        if self._dropped_crash is not None and now >= self._dropped_crash.expires_at:
            self._dropped_crash = None
        if self._dropped_retraction is not None and now >= self._dropped_retraction.expires_at:
            self._dropped_retraction = None
        for retraction in self.all_retractions():
            if now >= retraction.expires_at:
                del self._retraction_by_subject[retraction.subject]
        for job_id, record in list(self._record_by_job.items()):
            for task_name, by_lifetime in list(record.by_task.items()):
                for lifetime, reports in list(by_lifetime.items()):
                    kept = [crash for crash in reports if now < crash.expires_at]
                    _replace(by_lifetime, lifetime, kept)
                if not by_lifetime:
                    self._remove(job_id, record, task_name)


def _age_of_crash(crash: Crash) -> tuple[int, str, str, int, bool]:
    """Return a sort key: crashes with lower keys are dropped first."""
    lifetime = crash.lifetime
    return crash.stamp, crash.task_name, lifetime.server_id, lifetime.born_ms, crash.alone


def _age_of_retraction(retraction: Retraction) -> tuple[int, str, int]:
    """Return a sort key: retractions with lower keys are dropped first."""
    subject = retraction.subject
    if isinstance(subject, Lifetime):
        return retraction.stamp, subject.server_id, subject.born_ms
    return retraction.stamp, subject, -1


def _expiring_with(crash: Crash, known: Crash) -> Crash:
    """Return a known report that expires no later than an equal one."""
    if known.stamp != crash.stamp or known.alone != crash.alone:
        return known
    return replace(known, expires_at=min(known.expires_at, crash.expires_at))


def _replace(
    by_lifetime: dict[Lifetime, list[Crash]], lifetime: Lifetime, kept: list[Crash]
) -> None:
    """Keep some reports of the crash of a lifetime."""
    if kept:
        by_lifetime[lifetime] = kept
    else:
        del by_lifetime[lifetime]
