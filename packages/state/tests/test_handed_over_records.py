"""Tests of handed-over records: mixed-up, changed or unbounded answers."""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from redwingport_messages.ids import IdIssuer
from redwingport_messages.outcomes import Answer, Outcome
from redwingport_state.handover import HandedOverRecords

LIFETIME_S = 10.0
MAX_BYTES = 100
ISSUER = IdIssuer("bkk-a", "entry-1")
IDS = [ISSUER.issue() for _ in range(6)]


@dataclass
class Expected:
    fingerprint: str
    answer: Answer
    forget_at: float


class HandedOverRecordsMachine(RuleBasedStateMachine):
    """Compare the records with a model that keeps them in order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.records = HandedOverRecords(LIFETIME_S, MAX_BYTES, lambda: self.now)
        self.expected: dict[str, Expected] = {}

    @rule(
        index=st.integers(0, 5),
        content=st.sampled_from(["print", "other", ""]),
        size=st.sampled_from([0, 30, 60, MAX_BYTES, MAX_BYTES + 1]),
    )
    def take(self, index: int, content: str, size: int) -> None:
        name = str(IDS[index])
        answer = Answer(Outcome.COMPLETE, 200, "text/plain", b"x" * size)
        self.records.add(name, content, answer)
        if name in self.expected or size > MAX_BYTES:
            return
        self.expected[name] = Expected(content, answer, self.now + LIFETIME_S)
        while self.stored_bytes() > MAX_BYTES:
            self.expected.pop(next(iter(self.expected)))

    def stored_bytes(self) -> int:
        return sum(len(e.answer.body) for e in self.expected.values())

    @rule(seconds=st.sampled_from([0.0, 1.0, LIFETIME_S]))
    def expire(self, seconds: float) -> None:
        self.now += seconds
        self.records.expire()
        self.expected = {k: e for k, e in self.expected.items() if e.forget_at > self.now}

    @invariant()
    def answers_go_only_to_the_same_content(self) -> None:
        assert list(self.records.record_by_id) == list(self.expected)
        for submission_id in IDS:
            expected = self.expected.get(str(submission_id))
            found = self.records.find(submission_id, "print")
            if expected is None:
                assert found == Ok(None)
            elif expected.fingerprint == "other":
                assert isinstance(found, Err)
                assert found.err_value.outcome is Outcome.OUTCOME_UNKNOWN
            else:
                # The record of an id that was cancelled before use has no fingerprint.
                assert found == Ok(expected.answer)
            assert self.records.find(submission_id, "") == Ok(expected and expected.answer)


TestHandedOverRecords = HandedOverRecordsMachine.TestCase
