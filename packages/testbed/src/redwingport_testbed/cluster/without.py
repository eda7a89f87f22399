"""Run the entry process without one mechanism, to show that a test notices its absence."""

import sys
from collections.abc import Callable
from typing import Any

import anyio
from result import Ok

from redwingport_entry import main as entry_main
from redwingport_entry.keys import KeyRecords
from redwingport_entry.submissions import Submissions
from redwingport_messages.ids import SubmissionId
from redwingport_messages.submissions import Submission
from redwingport_state.submissions import Record, Started, SubmissionTable


def _owner_rule() -> None:
    """Let every process start every id."""

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

    _set(Submissions, "submit", submit)


def _records() -> None:
    """Forget the record of every submission as soon as it was made."""

    def begin(self: SubmissionTable, submission_id: SubmissionId, fingerprint: str) -> Any:
        return Ok(Started(Record(submission_id, fingerprint, self._clock() + 600)))

    _set(SubmissionTable, "begin", begin)
    _set(SubmissionTable, "finish", _finish_unrecorded)


def _finish_unrecorded(self: SubmissionTable, record: Record, answer: Any) -> None:
    record.answer = answer
    record.done.set()


def _key_insert() -> None:
    """Use the own id for every key, without asking the platform."""

    async def resolve(
        self: KeyRecords, key: str, own_id: SubmissionId, fingerprint: str, deadline: float
    ) -> Any:
        return Ok(own_id)

    _set(KeyRecords, "resolve", resolve)


def _key_repeat() -> None:
    """Give up on an insert whose answer was lost."""
    original = KeyRecords._send

    async def send(self: KeyRecords, group: list[Any]) -> None:
        await original(self, group)
        for insert in [insert for insert in self._waiting if insert in group]:
            self._waiting.remove(insert)
            insert.done.set()

    _set(KeyRecords, "_send", send)


def _set(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


SWITCH_BY_MECHANISM: dict[str, Callable[[], None]] = {
    "owner-rule": _owner_rule,
    "records": _records,
    "key-insert": _key_insert,
    "key-repeat": _key_repeat,
}


def main() -> None:
    """Switch a mechanism off and run the entry process: ``MECHANISM --settings FILE``."""
    SWITCH_BY_MECHANISM[sys.argv.pop(1)]()
    entry_main.main()


if __name__ == "__main__":
    main()
