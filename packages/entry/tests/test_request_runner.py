"""Guard against requests that are refused long after the executors were slow."""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest
from result import Ok, Result

from redwingport_entry.gateways.executors import Attempt, ExecutorPool, Waiter
from redwingport_entry.metrics import Metrics
from redwingport_entry.runners.requests import RequestRunner
from redwingport_messages.documents import OperationSpec, ServiceDocument
from redwingport_messages.outcomes import Answer, Outcome
from redwingport_messages.submissions import Submission
from redwingport_policy.estimates import RunTimes
from redwingport_state.submissions import Record

OPERATION = "stop-check"
TIMEOUT_S = 5.0
DOCUMENT = ServiceDocument(
    name="route-desk",
    team="dairy",
    operations={OPERATION: OperationSpec(timeout_ms=int(TIMEOUT_S * 1000), expected_ms=100)},
)


class FakePool:
    """Answer every request after a given time on a simulated clock.

    :ivar run_s: run time of the requests, in seconds.
    :ivar may_end: set while requests may end.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.run_s = 0.1
        self.may_end = anyio.Event()
        self.may_end.set()
        self.run_times = RunTimes()
        self.metrics = Metrics()
        self.chooser = SimpleNamespace(name="fake")
        self.queue = SimpleNamespace(length=0)
        self.settings = SimpleNamespace(limits=SimpleNamespace(queue_limit=100))
        self.server_by_id = {"executor-1": None}

    def clock(self) -> float:
        return self.now

    def expected_wait_s(self, run_s: float) -> float:
        return 0.0

    async def acquire(self, waiter: Waiter) -> Result[Any, str]:
        return Ok(SimpleNamespace(info=SimpleNamespace(vm="executor-1")))

    async def exchange(self, server: Any, attempt: Attempt) -> Answer:
        await self.may_end.wait()
        self.run_times.learn(attempt.submission.operation, 1.0, self.run_s * 1000.0)
        return Answer(Outcome.COMPLETE, 200, "", b"{}")


async def _outcome(runner: RequestRunner, pool: FakePool, timeout_s: float = TIMEOUT_S) -> Outcome:
    record = cast(
        Record, SimpleNamespace(submission_id="s", cancelled=SimpleNamespace(is_set=lambda: False))
    )
    submission = Submission("route-desk", OPERATION, b"{}", "", pool.now + timeout_s)
    return (await runner.run(record, submission, DOCUMENT)).outcome


@pytest.mark.anyio
async def test_requests_are_admitted_again_after_a_spell_of_slow_executors() -> None:
    """Guard against a process that refuses every request, so that it never learns better."""
    pool = FakePool()
    runner = RequestRunner(cast(ExecutorPool, pool))
    pool.run_s = 0.9 * TIMEOUT_S
    for _ in range(60):
        await _outcome(runner, pool)
    pool.run_s = 0.1
    outcomes = [await _outcome(runner, pool) for _ in range(60)]
    assert outcomes == [Outcome.COMPLETE] * 60


@pytest.mark.anyio
async def test_only_one_request_at_a_time_tests_an_estimate_that_refuses_all() -> None:
    pool = FakePool()
    runner = RequestRunner(cast(ExecutorPool, pool))
    pool.run_times.learn(OPERATION, 1.0, 900.0 * TIMEOUT_S)
    assert await _outcome(runner, pool, timeout_s=0.15) is Outcome.NOT_RUN
    pool.may_end = anyio.Event()
    first: list[Outcome] = []

    async def run_first() -> None:
        first.append(await _outcome(runner, pool))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(run_first)
        await anyio.wait_all_tasks_blocked()
        assert await _outcome(runner, pool) is Outcome.NOT_RUN
        pool.may_end.set()
    assert first == [Outcome.COMPLETE]
