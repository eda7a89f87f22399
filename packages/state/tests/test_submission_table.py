"""Tests of the submission table: duplicate starts, mixed-up answers and memory limits."""

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok

from redwingport_messages.ids import IdIssuer, SubmissionId
from redwingport_messages.outcomes import Answer, Outcome
from redwingport_state.submissions import (
    MARK_INTERVAL_S,
    Answered,
    Attached,
    Record,
    Started,
    SubmissionTable,
    TableSettings,
)

LIFETIME_S = 10.0
ANSWER_BYTES = 600
PICK = st.integers(0, 1_000)
CONTENT = st.sampled_from(["print", "other"])
SIZE = st.sampled_from([0, 1, 40, 250, 700])
SECONDS = st.sampled_from([0.0, 0.25, 1.0, LIFETIME_S / 2, LIFETIME_S, 3 * LIFETIME_S])


def make_answer(outcome: Outcome, size: int = 10) -> Answer:
    return Answer(outcome, 200, "text/plain", b"x" * size)


class SubmissionMachine(RuleBasedStateMachine):
    """Compare the table with a model of the state of each id on a simulated clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = SubmissionTable(
            IdIssuer("bkk-a", "entry-1"),
            TableSettings(LIFETIME_S, ANSWER_BYTES),
            lambda: self.now,
        )
        self.ids: list[SubmissionId] = []
        self.issued_at: dict[int, float] = {}
        self.content_by_counter: dict[int, str] = {}
        self.running: dict[int, Record] = {}
        self.cancelled: set[int] = set()
        self.ended_at: dict[int, float] = {}
        self.answer_by_counter: dict[int, Answer] = {}
        self.finished: list[Record] = []
        self.kept: list[tuple[int, int]] = []
        self.marks: list[float] = []

    def pick_id(self, pick: int) -> SubmissionId:
        return self.ids[pick % len(self.ids)]

    @rule()
    def issue(self) -> None:
        submission_id = self.table.issue()
        self.ids.append(submission_id)
        self.issued_at[submission_id.counter] = self.now

    @precondition(lambda self: self.ids)
    @rule(pick=PICK, content=CONTENT)
    def begin(self, pick: int, content: str) -> None:
        submission_id = self.pick_id(pick)
        counter = submission_id.counter
        match self.table.begin(submission_id, content):
            case Ok(Started(record)):
                assert counter not in self.running, "a running submission was started again"
                assert counter not in self.ended_at, (
                    "a submission was started again after it had ended"
                )
                assert counter > self.table.low_water, "an expired id was started"
                self.running[counter] = record
                self.content_by_counter[counter] = content
            case Ok(Attached(record)):
                assert record is self.running[counter]
                assert content == self.content_by_counter[counter]
            case Ok(Answered(answer)):
                self.check_answer(counter, content, answer)
            case Err(problem):
                self.check_refusal(counter, content, problem.code)
                assert problem.outcome is Outcome.OUTCOME_UNKNOWN

    def check_answer(self, counter: int, content: str, answer: Answer) -> None:
        assert content == self.content_by_counter.get(counter, content), (
            "returned the answer to different content"
        )
        if counter in [kept for kept, _ in self.kept]:
            assert answer == self.answer_by_counter[counter]
        else:
            assert answer.outcome is Outcome.OUTCOME_UNKNOWN
            assert b"answer-dropped" in answer.body

    def check_refusal(self, counter: int, content: str, code: str) -> None:
        if code == "id-reused":
            assert content != self.content_by_counter[counter]
            assert counter in self.running or counter in self.ended_at
        else:
            assert code == "id-expired"
            assert counter not in self.running
            assert self.issued_at[counter] <= self.now - LIFETIME_S, (
                "id expired before its lifetime"
            )

    @precondition(lambda self: self.running)
    @rule(pick=PICK, outcome=st.sampled_from(Outcome), size=SIZE)
    def finish(self, pick: int, outcome: Outcome, size: int) -> None:
        counter = sorted(self.running)[pick % len(self.running)]
        record = self.running.pop(counter)
        answer = make_answer(outcome, size)
        self.table.finish(record, answer)
        assert record.done.is_set() and record.answer == answer
        self.finished.append(record)
        if outcome is not Outcome.NOT_RUN or counter in self.cancelled:
            self.record_end(counter, answer)

    def record_end(self, counter: int, answer: Answer) -> None:
        self.ended_at[counter] = self.now
        self.answer_by_counter[counter] = answer
        self.kept.append((counter, len(answer.body)))
        while len(self.kept) > 1 and sum(size for _, size in self.kept) > ANSWER_BYTES:
            self.kept.pop(0)

    @precondition(lambda self: self.finished)
    @rule(pick=PICK, outcome=st.sampled_from(Outcome), size=SIZE)
    def repeat_finish(self, pick: int, outcome: Outcome, size: int) -> None:
        record = self.finished[pick % len(self.finished)]
        before = record.answer
        self.table.finish(record, make_answer(outcome, size))
        assert record.answer is before, "a repeated finish() changed the answer"

    @precondition(lambda self: self.ids)
    @rule(pick=PICK, content=CONTENT)
    def lose_answer_and_resubmit(self, pick: int, content: str) -> None:
        self.begin(pick, content)
        self.begin(pick, self.content_by_counter.get(self.pick_id(pick).counter, content))

    @precondition(lambda self: self.ids)
    @rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        submission_id = self.pick_id(pick)
        counter = submission_id.counter
        match self.table.cancel(submission_id):
            case Ok(record) if counter in self.running:
                assert record is self.running[counter] and record.cancelled.is_set()
                self.cancelled.add(counter)
            case Ok(record):
                assert record.answer is not None
                if counter not in self.ended_at:
                    self.content_by_counter.pop(counter, None)
                    self.cancelled.add(counter)
                    self.finished.append(record)
                    self.record_end(counter, record.answer)
                assert record.cancelled.is_set() == (counter in self.cancelled)
            case Err(problem):
                self.check_refusal(counter, "", problem.code)

    @precondition(lambda self: self.ids)
    @rule(pick=PICK)
    def submit_id_of_another_incarnation(self, pick: int) -> None:
        known = self.pick_id(pick)
        foreign_ids = [
            replace(known, incarnation="0" * 16),
            replace(known, tag="0" * 16),
            replace(known, counter=len(self.ids) + 1),
        ]
        for foreign_id in foreign_ids:
            for result in (self.table.begin(foreign_id, "print"), self.table.cancel(foreign_id)):
                assert isinstance(result, Err)
                assert result.err_value.code == "unknown-id"

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(seconds=SECONDS)
    def expire(self, seconds: float) -> None:
        self.now += seconds
        self.table.expire()
        if not self.marks or self.now - self.marks[-1] >= MARK_INTERVAL_S:
            self.marks.append(self.now)
        mark = max((m for m in self.marks if m <= self.now - LIFETIME_S), default=0.0)
        for counter in self.table.record_by_counter:
            assert counter in self.running or self.ended_at[counter] >= mark, (
                "record kept beyond its lifetime"
            )
        for counter, ended_at in self.ended_at.items():
            held = counter in self.table.record_by_counter
            assert held or ended_at <= self.now - LIFETIME_S, "record deleted before its lifetime"
        self.kept = [row for row in self.kept if row[0] in self.table.record_by_counter]

    @invariant()
    def stored_bytes_are_exact(self) -> None:
        assert self.table.stored_bytes == sum(size for _, size in self.kept)

    @invariant()
    def running_records_are_held(self) -> None:
        held = {record.submission_id.counter: record for record in self.table.running()}
        assert held == self.running


TestSubmissionTable = SubmissionMachine.TestCase


def run_steadily(answer: Answer, seconds: int, per_second: int) -> tuple[SubmissionTable, int]:
    """Run submissions at a constant rate; return the table and its largest container size."""
    now = 0.0
    settings = TableSettings(LIFETIME_S, ANSWER_BYTES)
    table = SubmissionTable(IdIssuer("bkk-a", "entry-1"), settings, lambda: now)
    largest = 0
    for second in range(seconds):
        now = float(second)
        for _ in range(per_second):
            begun = table.begin(table.issue(), "print").unwrap()
            assert isinstance(begun, Started)
            table.finish(begun.record, answer)
        table.expire()
        sizes = [len(v) for v in vars(table).values() if hasattr(v, "__len__")]
        largest = max(largest, *sizes)
    return table, largest


def test_memory_is_bounded_at_a_constant_rate() -> None:
    """Guard against per-submission data that outlives its record."""
    _, largest = run_steadily(make_answer(Outcome.COMPLETE, 0), seconds=80, per_second=5)
    assert largest <= 5 * (LIFETIME_S + 2)


@pytest.mark.parametrize("size", [1, 100, 599])
def test_answer_limit_holds_for_answers_smaller_than_a_problem(size: int) -> None:
    """Guard against replacing an evicted answer by a larger one that counts towards the limit."""
    table, _ = run_steadily(make_answer(Outcome.COMPLETE, size), seconds=8, per_second=200)
    assert ANSWER_BYTES - size < table.stored_bytes <= ANSWER_BYTES


def test_single_use_submission_leaves_no_record_and_cannot_be_restarted() -> None:
    """Guard against memory growth by requests without an id, and against running one twice."""
    table = SubmissionTable(IdIssuer("creamery", "entry-1"), TableSettings())
    record = table.begin_single_use("print")
    attached = table.begin(record.submission_id, "print")
    assert isinstance(attached, Ok) and isinstance(attached.ok_value, Attached)
    table.finish(record, Answer(Outcome.NOT_RUN, 503, "text/plain", b""))
    assert not table.record_by_counter
    again = table.begin(record.submission_id, "print")
    assert isinstance(again, Err) and again.err_value.outcome is Outcome.OUTCOME_UNKNOWN
