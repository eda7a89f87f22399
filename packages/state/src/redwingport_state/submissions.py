"""Table of the submissions owned by one incarnation.

Only the incarnation named in a submission id may start its tasks. The table decides whether a
submission is started, attached to a running one, answered from the store or rejected.
"""

from collections import deque
from dataclasses import dataclass, field
from functools import cache

import anyio
from result import Err, Ok, Result

from redwingport_messages.ids import IdIssuer, SubmissionId
from redwingport_messages.outcomes import (
    Answer,
    Outcome,
    Problem,
    answer_of_problem,
    not_run,
    outcome_unknown,
)
from redwingport_state.clock import Clock, monotonic

MARK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class TableSettings:
    """Limits of the submission table.

    :param id_lifetime_s: time for which an issued id can be started or answered, in seconds.
    :param answer_bytes: maximum total size of stored answers, in bytes.
    """

    id_lifetime_s: float = 600.0
    answer_bytes: int = 16 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """State of one submission.

    :param submission_id: id of the submission.
    :param fingerprint: digest of service, operation and body; empty if cancelled before use.
    :param forget_at: monotonic time after which an ended record may be deleted, in seconds.
    :param answer: the answer; None while the submission runs.
    :param done: set when the submission has ended.
    :param cancelled: set when the caller has cancelled the submission.
    """

    submission_id: SubmissionId
    fingerprint: str
    forget_at: float
    answer: Answer | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    cancelled: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class Started:
    """Result of :meth:`SubmissionTable.begin`: the caller has to run the submission.

    :param record: the new record, to be passed to :meth:`SubmissionTable.finish`.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Attached:
    """Result of :meth:`SubmissionTable.begin`: the submission is already running.

    :param record: the record to wait for.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Answered:
    """Result of :meth:`SubmissionTable.begin`: the submission has ended.

    :param answer: the stored answer.
    """

    answer: Answer


BeginResult = Started | Attached | Answered


class SubmissionTable:
    """Track the submissions of one incarnation, so that none runs twice.

    Memory is bounded by the submissions that run or have ended in about the last
    ``id_lifetime_s`` seconds, since ids up to the low-water mark can no longer be started.

    :param issuer: issuer of the ids of this incarnation.
    :param settings: limits of the table.
    :param clock: monotonic clock.
    :ivar low_water: ids with counters up to this one have expired.
    :ivar stored_bytes: total size of the stored answers, in bytes.
    """

    def __init__(
        self, issuer: IdIssuer, settings: TableSettings, clock: Clock = monotonic
    ) -> None:
        self.issuer = issuer
        self.settings = settings
        self.low_water = 0
        self.record_by_counter: dict[int, Record] = {}
        self._clock = clock
        # (monotonic time, highest counter issued until then)
        self._marks: deque[tuple[float, int]] = deque()
        # Both queues are in the order in which the submissions ended. The answers of records in
        # _ended but not in _stored have been dropped.
        self._ended: deque[Record] = deque()
        self._stored: deque[Record] = deque()
        self.stored_bytes = 0
        self._set_event = anyio.Event()
        self._set_event.set()
        self._unset_event = anyio.Event()

    def issue(self) -> SubmissionId:
        """Issue a new submission id."""
        return self.issuer.issue()

    def begin(self, submission_id: SubmissionId, fingerprint: str) -> Result[BeginResult, Problem]:
        """Start a submission, attach to it or return its stored answer.

        :param submission_id: id received with the submission.
        :param fingerprint: digest of the submission.
        :returns: what the caller has to do, or the reason for the rejection: the id was never
            issued, has expired or was used with different content.
        """
        if not self.issuer.issued(submission_id):
            return Err(not_run(404, "unknown-id", "This id was never issued.", step="begin"))
        record = self.record_by_counter.get(submission_id.counter)
        if record is not None:
            return self._resume(record, fingerprint)
        if self._is_expired(submission_id):
            return Err(expired_id())
        return Ok(Started(self._add(submission_id, fingerprint)))

    def begin_single_use(self, fingerprint: str) -> Record:
        """Start a submission that cannot be resubmitted, under a new id.

        The record is deleted as soon as the submission has ended, so that requests without an id
        or key do not occupy memory for ``id_lifetime_s`` seconds.

        :param fingerprint: digest of the submission.
        """
        return self._add(self.issuer.issue(single_use=True), fingerprint)

    def find(self, submission_id: SubmissionId) -> Result[Record | None, Problem]:
        """Look up a submission.

        :returns: the record, None if the id is unused, or the reason for the rejection.
        """
        if not self.issuer.issued(submission_id):
            return Err(not_run(404, "unknown-id", "This id was never issued.", step="find"))
        record = self.record_by_counter.get(submission_id.counter)
        if record is None and self._is_expired(submission_id):
            return Err(expired_id())
        return Ok(record)

    def is_unused(self, submission_id: SubmissionId) -> bool:
        """Return whether an id has been issued and can still be started."""
        return (
            self.issuer.issued(submission_id)
            and not self._is_expired(submission_id)
            and submission_id.counter not in self.record_by_counter
        )

    def finish(self, record: Record, answer: Answer) -> None:
        """Store the answer to a submission and wake the waiting callers.

        The id of a submission that did not run is released, so that a resubmission can start.
        Only the first call for a record has an effect: another one could release an id with
        which a resubmission has been started in the meantime.

        :param record: record returned by :meth:`begin` or :meth:`begin_single_use`.
        :param answer: the answer.
        """
        if record.answer is not None:
            return
        record.answer = answer
        record.done.set()
        # Nothing waits for an ended record, so that it can share its events with other records;
        # separate events use more memory than a short answer.
        cancelled = record.cancelled.is_set()
        record.done = self._set_event
        record.cancelled = self._set_event if cancelled else self._unset_event
        single_use = self.issuer.is_single_use(record.submission_id)
        if single_use or (answer.outcome is Outcome.NOT_RUN and not cancelled):
            self.record_by_counter.pop(record.submission_id.counter, None)
            return
        record.forget_at = self._clock() + self.settings.id_lifetime_s
        self._ended.append(record)
        self._stored.append(record)
        self.stored_bytes += len(answer.body)
        self._drop_oldest_answers()

    def cancel(self, submission_id: SubmissionId) -> Result[Record, Problem]:
        """Mark a submission as cancelled; an unused id can then no longer be started.

        :returns: the record, which may still be running, or the reason for the rejection.
        """
        found = self.find(submission_id)
        if isinstance(found, Err):
            return found
        record = found.ok_value
        if record is None:
            record = self._add(submission_id, "")
            record.cancelled.set()
            self.finish(record, answer_of_problem(cancelled_before_start()))
        elif record.answer is None:
            record.cancelled.set()
        return Ok(record)

    def expire(self) -> None:
        """Advance the low-water mark and delete expired records; call about once a second."""
        now = self._clock()
        if not self._marks or now - self._marks[-1][0] >= MARK_INTERVAL_S:
            self._marks.append((now, self.issuer.counter))
        while self._marks and self._marks[0][0] <= now - self.settings.id_lifetime_s:
            self.low_water = self._marks.popleft()[1]
        while self._ended and self._is_forgettable(self._ended[0], now):
            record = self._ended.popleft()
            del self.record_by_counter[record.submission_id.counter]
            if self._stored and self._stored[0] is record:
                self._forget_oldest_answer()

    def running(self) -> list[Record]:
        """Return the records of submissions that have not ended."""
        return [r for r in self.record_by_counter.values() if not r.done.is_set()]

    def ended(self) -> list[Record]:
        """Return the records of submissions that have ended."""
        return [r for r in self.record_by_counter.values() if r.done.is_set()]

    def _resume(self, record: Record, fingerprint: str) -> Result[BeginResult, Problem]:
        if not record.fingerprint and record.answer is not None:
            # The id was cancelled before use: no content has been received and none will run.
            return Ok(Answered(record.answer))
        if record.fingerprint != fingerprint:
            return Err(reused_id())
        if record.answer is not None:
            return Ok(Answered(record.answer))
        return Ok(Attached(record))

    def _add(self, submission_id: SubmissionId, fingerprint: str) -> Record:
        record = Record(submission_id, fingerprint, self._clock() + self.settings.id_lifetime_s)
        self.record_by_counter[submission_id.counter] = record
        return record

    def _is_expired(self, submission_id: SubmissionId) -> bool:
        """Return whether an id without a record can no longer be started."""
        return submission_id.counter <= self.low_water or self.issuer.is_single_use(submission_id)

    def _is_forgettable(self, record: Record, now: float) -> bool:
        return record.forget_at <= now and record.submission_id.counter <= self.low_water

    def _drop_oldest_answers(self) -> None:
        # The newest answer is kept regardless of its size: callers may be waiting for it.
        while self.stored_bytes > self.settings.answer_bytes and len(self._stored) > 1:
            record = self._forget_oldest_answer()
            if record.answer is not None:
                record.answer = _dropped(record.answer.outcome)

    def _forget_oldest_answer(self) -> Record:
        record = self._stored.popleft()
        if record.answer is not None:
            self.stored_bytes -= len(record.answer.body)
        return record


@cache
def _dropped(outcome: Outcome) -> Answer:
    # Shared by all records, since a copy for each could use more memory than the dropped answer.
    return answer_of_problem(dropped_answer(outcome))


def expired_id() -> Problem:
    """Return the problem for an id whose record has expired."""
    return outcome_unknown(
        "id-expired", "This id has expired; its record has been deleted.", status=409, step="begin"
    )


def reused_id() -> Problem:
    """Return the problem for an id that was used with different content before."""
    return outcome_unknown(
        "id-reused", "This id was used with different content before.", status=409, step="begin"
    )


def dropped_answer(outcome: Outcome) -> Problem:
    """Return the problem for an answer that was evicted to limit memory."""
    return outcome_unknown(
        "answer-dropped",
        f"The submission ended ({outcome}); its answer is no longer stored.",
        status=409,
        step="begin",
    )


def cancelled_before_start() -> Problem:
    """Return the problem for a submission that was cancelled before any task started."""
    return not_run(409, "cancelled", "Cancelled before any task started.", step="cancel")
