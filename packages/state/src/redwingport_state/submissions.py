"""The table of submissions that one incarnation owns.

Only the incarnation named in a submission id may start its tasks. The table decides whether a
submission starts, attaches to one that runs, gets a stored answer or is refused.
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
    """Set the bounds of the submission table.

    :param id_lifetime_s: how long an issued id may start or be answered, in seconds.
    :param answer_bytes: most bytes of stored answers.
    """

    id_lifetime_s: float = 600.0
    answer_bytes: int = 16 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """Hold what is known about one submission.

    :param submission_id: the id.
    :param fingerprint: digest of service, operation and body.
    :param forget_at: monotonic time after which an ended record may go.
    :param answer: the answer, once there is one.
    :param done: set when the submission has ended.
    :param cancelled: whether the caller asked to cancel it.
    """

    submission_id: SubmissionId
    fingerprint: str
    forget_at: float
    answer: Answer | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    cancelled: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class Started:
    """Say that this call starts the submission.

    :param record: the new record, which the caller has to finish.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Attached:
    """Say that the submission is running.

    :param record: the record to wait for.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Answered:
    """Say that the submission has ended.

    :param answer: the stored answer.
    """

    answer: Answer


BeginResult = Started | Attached | Answered


class SubmissionTable:
    """Own the submissions of one incarnation.

    Memory is bounded by the submissions that run or ended in the last ``id_lifetime_s`` seconds,
    as ids that fall below the low-water mark are never started.

    :param issuer: the issuer of this incarnation's ids.
    :param settings: the bounds.
    :param clock: monotonic clock.
    :ivar stored_bytes: bytes of the answers that are stored.
    """

    def __init__(
        self, issuer: IdIssuer, settings: TableSettings, clock: Clock = monotonic
    ) -> None:
        self.issuer = issuer
        self.settings = settings
        self.low_water = 0
        self.record_by_counter: dict[int, Record] = {}
        self._clock = clock
        self._marks: deque[tuple[float, int]] = deque()
        # Both in the order in which the submissions ended. The answers of the records in
        # _ended that are not in _stored were dropped.
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
        """Decide what happens to a submission that has arrived.

        :param submission_id: an id that names this incarnation.
        :param fingerprint: digest of the submission.
        :returns: start it, wait for it or give its answer; or the refusal.
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
        """Start a submission that cannot be sent again, under a new id.

        Its record goes as soon as it has ended, so that requests without an id or key do not
        fill the memory for ``id_lifetime_s`` seconds.

        :param fingerprint: digest of the submission.
        """
        return self._add(self.issuer.issue(single_use=True), fingerprint)

    def find(self, submission_id: SubmissionId) -> Result[Record | None, Problem]:
        """Look up a submission.

        :returns: the record, None for an id that is unused, or the refusal.
        """
        if not self.issuer.issued(submission_id):
            return Err(not_run(404, "unknown-id", "This id was never issued.", step="find"))
        record = self.record_by_counter.get(submission_id.counter)
        if record is None and self._is_expired(submission_id):
            return Err(expired_id())
        return Ok(record)

    def is_unused(self, submission_id: SubmissionId) -> bool:
        """Tell whether an id was issued and may still start."""
        return (
            self.issuer.issued(submission_id)
            and not self._is_expired(submission_id)
            and submission_id.counter not in self.record_by_counter
        )

    def finish(self, record: Record, answer: Answer) -> None:
        """Store the answer of a submission and wake those who wait for it.

        A submission that did not run gives its id back, so that a resubmission may start.
        Only the first call for a record counts: a second one could give back an id that
        another submission has started since.

        :param record: the record returned by :meth:`begin`.
        :param answer: the answer.
        """
        if record.answer is not None:
            return
        record.answer = answer
        record.done.set()
        # Nobody waits for an ended record, so it needs no events of its own; they took more
        # memory than a short answer.
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
        """Mark a submission as cancelled; an unused id will then never start.

        :returns: the record, which may still be running, or the refusal.
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
        """Move the low-water mark and forget ended records; to be called about once a second."""
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
            # Cancelled before it was used: no content was seen, and none will run.
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
        """Tell whether an id without a record may no longer start."""
        return submission_id.counter <= self.low_water or self.issuer.is_single_use(submission_id)

    def _is_forgettable(self, record: Record, now: float) -> bool:
        return record.forget_at <= now and record.submission_id.counter <= self.low_water

    def _drop_oldest_answers(self) -> None:
        # The newest answer stays whatever its size: callers may be waiting for it.
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
    # Shared among records: one copy for each could take more memory than the dropped answer.
    return answer_of_problem(dropped_answer(outcome))


def expired_id() -> Problem:
    """Describe an id that is too old to be known."""
    return outcome_unknown(
        "id-expired", "This id is too old; its record is gone.", status=409, step="begin"
    )


def reused_id() -> Problem:
    """Describe an id that came with other content before."""
    return outcome_unknown(
        "id-reused", "This id was used with other content before.", status=409, step="begin"
    )


def dropped_answer(outcome: Outcome) -> Problem:
    """Describe a stored answer that was dropped for lack of memory."""
    return outcome_unknown(
        "answer-dropped",
        f"The submission ended ({outcome}); its answer is no longer stored.",
        status=409,
        step="begin",
    )


def cancelled_before_start() -> Problem:
    """Describe a submission that was cancelled before any task started."""
    return not_run(409, "cancelled", "Cancelled before any task started.", step="cancel")
