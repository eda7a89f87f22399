"""Run the entry process with one mechanism disabled, to verify that a test detects its absence."""

import os
import sys
from collections.abc import Callable
from typing import Any

import anyio
from result import Ok

from redwingport_entry import main as entry_main
from redwingport_entry import process
from redwingport_entry.configuration import Configuration
from redwingport_entry.gateways.executors import ExecutorPool, Lost, NotSent
from redwingport_entry.keys import KeyRecords
from redwingport_entry.process import EntryProcess
from redwingport_entry.runners.requests import RequestRunner
from redwingport_entry.submissions import Submissions
from redwingport_messages.documents import StoredDocument
from redwingport_messages.ids import SubmissionId
from redwingport_messages.submissions import Submission
from redwingport_policy.retry_budget import RetryBudget
from redwingport_state.documents import DocumentStore
from redwingport_state.submissions import Record, Started, SubmissionTable


def _owner_rule() -> None:
    """Let every process start a submission, whichever process owns its id."""

    async def forward(
        self: Submissions, kind: str, submission_id: SubmissionId, submission: Submission
    ) -> Any:
        record = Record(submission_id, submission.fingerprint(), anyio.current_time() + 600)
        await self._run(record, submission)
        return record.answer

    async def submit(self: Submissions, submission: Submission, id_text: str, key: str) -> Any:
        resolved = await self._resolve(submission, id_text, key)
        submission_id = resolved.unwrap()
        if submission_id.incarnation == self.table.issuer.incarnation:
            return str(submission_id), await self.submit_own(submission_id, submission)
        return str(submission_id), await forward(self, "submit", submission_id, submission)

    _patch(Submissions, "submit", submit)


def _records() -> None:
    """Store no record of any submission."""

    def begin(self: SubmissionTable, submission_id: SubmissionId, fingerprint: str) -> Any:
        return Ok(Started(Record(submission_id, fingerprint, self._clock() + 600)))

    _patch(SubmissionTable, "begin", begin)
    _patch(SubmissionTable, "finish", _finish_unrecorded)


def _finish_unrecorded(self: SubmissionTable, record: Record, answer: Any) -> None:
    record.answer = answer
    record.done.set()


def _key_insert() -> None:
    """Use the process's own id for every key, without inserting the key at the platform."""

    async def resolve(
        self: KeyRecords, key: str, own_id: SubmissionId, fingerprint: str, deadline: float
    ) -> Any:
        return Ok(own_id)

    _patch(KeyRecords, "resolve", resolve)


def _key_repeat() -> None:
    """Do not repeat a key insert whose answer was lost."""
    original = KeyRecords._send

    async def send(self: KeyRecords, group: list[Any]) -> None:
        await original(self, group)
        for insert in [insert for insert in self._waiting if insert in group]:
            self._waiting.remove(insert)
            insert.done.set()

    _patch(KeyRecords, "_send", send)


def _revision_order() -> None:
    """Accept every offered revision, also an older one."""

    def offer(self: DocumentStore, stored: StoredDocument) -> bool:
        known = self.stored_by_name.get(stored.name) == stored
        self.stored_by_name[stored.name] = stored
        return not known

    _patch(DocumentStore, "offer", offer)


def _write_read_back() -> None:
    """Attribute a repeated write that did not apply to another writer."""
    _patch(Configuration, "_is_ours", lambda self, result, text, expected: False)


def _drain() -> None:
    """Exit immediately instead of draining."""
    _patch(EntryProcess, "start_drain", lambda self: os._exit(0))


def _drain_wait() -> None:
    """Exit without waiting for in-flight submissions."""

    async def wait_for_runs(submissions: Any, timeout_s: float) -> None:
        submissions.closed = True

    _patch(process, "wait_for_runs", wait_for_runs)


def _lost_is_unknown() -> None:
    """Treat every broken exchange with an executor as a request that was not sent."""
    original = ExecutorPool._send

    async def send(self: ExecutorPool, *arguments: Any) -> Any:
        outcome = await original(self, *arguments)
        if isinstance(outcome, Lost):
            return NotSent(outcome.server, outcome.reason)
        return outcome

    _patch(ExecutorPool, "_send", send)


def _idempotent_rule() -> None:
    """Retry lost requests whether or not their operation is idempotent."""

    def may_repeat(self: Any, operation: Any, document: Any, lost: int) -> bool:
        return lost < 3

    _patch(RequestRunner, "_may_repeat", may_repeat)


def _retry_budget() -> None:
    """Allow every retry."""
    _patch(RetryBudget, "take", lambda self: True)


def _patch(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


DISABLE_BY_MECHANISM: dict[str, Callable[[], None]] = {
    "owner-rule": _owner_rule,
    "records": _records,
    "key-insert": _key_insert,
    "key-repeat": _key_repeat,
    "revision-order": _revision_order,
    "write-read-back": _write_read_back,
    "drain": _drain,
    "drain-wait": _drain_wait,
    "lost-is-unknown": _lost_is_unknown,
    "idempotent-rule": _idempotent_rule,
    "retry-budget": _retry_budget,
}


def main() -> None:
    """Disable a mechanism and run the entry process: ``MECHANISM --settings FILE``."""
    DISABLE_BY_MECHANISM[sys.argv.pop(1)]()
    entry_main.main()


if __name__ == "__main__":
    main()
