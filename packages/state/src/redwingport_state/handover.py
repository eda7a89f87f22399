"""Submission records handed over by incarnations that have shut down."""

from collections import OrderedDict
from dataclasses import dataclass

from result import Err, Ok, Result

from redwingport_messages.ids import SubmissionId
from redwingport_messages.outcomes import Answer, Problem
from redwingport_state.clock import Clock, monotonic
from redwingport_state.submissions import reused_id


@dataclass(frozen=True, slots=True)
class HandedOverRecord:
    """A submission record of an incarnation that has shut down.

    :param fingerprint: digest of the submission; empty if it was cancelled before use.
    :param answer: answer to the submission.
    :param forget_at: monotonic time after which the record may be deleted, in seconds.
    """

    fingerprint: str
    answer: Answer
    forget_at: float


class HandedOverRecords:
    """Keep the finished records of incarnations that have shut down; a record never changes.

    :ivar record_by_id: records by submission id, oldest first.
    :param lifetime_s: retention time of a record, in seconds.
    :param max_bytes: maximum total size of answers, in bytes; the oldest are evicted first.
    :param clock: monotonic clock.
    """

    def __init__(self, lifetime_s: float, max_bytes: int, clock: Clock = monotonic) -> None:
        self.record_by_id: OrderedDict[str, HandedOverRecord] = OrderedDict()
        self._lifetime_s = lifetime_s
        self._max_bytes = max_bytes
        self._bytes = 0
        self._clock = clock

    def add(self, submission_id: str, fingerprint: str, answer: Answer) -> None:
        """Store a record.

        Storing is idempotent. The oldest records are evicted if the size limit is exceeded. An
        answer larger than that limit is not stored, since it would evict all other records and
        then itself.

        :param submission_id: text of the submission id.
        :param fingerprint: digest of the submission; empty if it was cancelled before use.
        :param answer: answer to the submission.
        """
        if submission_id in self.record_by_id or len(answer.body) > self._max_bytes:
            return
        forget_at = self._clock() + self._lifetime_s
        self.record_by_id[submission_id] = HandedOverRecord(fingerprint, answer, forget_at)
        self._bytes += len(answer.body)
        while self._bytes > self._max_bytes:
            self._drop_oldest()

    def find(
        self, submission_id: SubmissionId, fingerprint: str
    ) -> Result[Answer | None, Problem]:
        """Look up the answer to a submission.

        :param submission_id: id of the submission.
        :param fingerprint: digest of the resubmission; empty to skip the check.
        :returns: the answer, None if there is no record, or an error if the content differs.
        """
        record = self.record_by_id.get(str(submission_id))
        if record is None:
            return Ok(None)
        # The record of an id that was cancelled before use has no fingerprint.
        if fingerprint and record.fingerprint not in ("", fingerprint):
            return Err(reused_id())
        return Ok(record.answer)

    def expire(self) -> None:
        """Delete expired records."""
        now = self._clock()
        while self.record_by_id and next(iter(self.record_by_id.values())).forget_at <= now:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, record = self.record_by_id.popitem(last=False)
        self._bytes -= len(record.answer.body)
