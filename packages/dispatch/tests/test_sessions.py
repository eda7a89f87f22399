"""Renewals of a server's lease: when they extend it, and when they must not."""

import anyio
import pytest
from result import Err, Ok, Result
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.exceptions import OrderError, OrderFailure
from redwingport_dispatch.interfaces import RunListing, ServerReport, StartOrder
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.sessions import ServerSession

pytestmark = pytest.mark.anyio

LEASE_S = 1.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class ScriptedClient:
    """Answer renewals from a script, and record which of them extended the lease."""

    def __init__(self, answers: list[Result[ServerReport, OrderError]]) -> None:
        self.extended: list[bool] = []
        self.until_ms: list[int] = []
        self.started: list[StartOrder] = []
        self.waits_ms: list[int] = []
        self._answers = answers

    async def renew(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
        deadline: float,
    ) -> Result[ServerReport, OrderError]:
        if not self._answers:
            await anyio.sleep_forever()
        self.extended.append(lease_until_ms is not None)
        if lease_until_ms is not None:
            self.until_ms.append(lease_until_ms)
        self.waits_ms.append(wait_ms)
        await anyio.sleep(0)
        return self._answers.pop(0)

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        self.started.append(order)
        return Ok(1)

    async def stop(
        self, task: str, number: int, token: int, deadline: float
    ) -> Result[int, OrderError]:
        return Ok(1)

    async def aclose(self) -> None:
        pass


async def renewals(
    harness: SchedulerHarness, answers: list[Result[ServerReport, OrderError]]
) -> list[bool]:
    """Return which renewals extended the lease."""
    return (await renew_all(harness, answers)).extended


async def renew_all(
    harness: SchedulerHarness, answers: list[Result[ServerReport, OrderError]]
) -> ScriptedClient:
    """Run a session until all scripted answers are used."""
    client = ScriptedClient(answers)
    session = ServerSession(
        harness.scheduler.server_by_id["s0"],
        client,
        harness.scheduler,
        1,
        LEASE_S,
        lambda: False,
        lambda token: None,
        Metrics(),
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(session.run, task_group)
        with anyio.move_on_after(2):
            while answers:
                await anyio.sleep(0.01)
        await anyio.sleep(0.05)
        task_group.cancel_scope.cancel()
    return client


def running(task: str = "job.0.0.0") -> Result[ServerReport, OrderError]:
    return Ok(ServerReport(5000, runs=(RunListing(task, 1, 10),)))


LOST: Result[ServerReport, OrderError] = Err(
    OrderError("renew", "s0", "timed out", OrderFailure.NO_ANSWER)
)


async def test_renewal_after_unanswered_one_does_not_extend_lease() -> None:
    """Runs behind a one-way network partition must be stopped by the end of their lease."""
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=60)
    harness.accept_all()
    extended = await renewals(harness, [running(), running(), LOST, LOST, running(), running()])
    assert extended == [False, True, True, False, False, True]


async def test_renewals_of_lossy_server_wait_for_a_shorter_time() -> None:
    """Guard against late detection of ended runs.

    Servers that leave a fifth of the renewals unanswered hide ended runs until each times out.
    """
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=60)
    harness.accept_all()
    client = await renew_all(harness, [running(), running(), LOST, running(), running()])
    assert client.waits_ms == [0, 250, 250, 0, 100]


async def test_lease_is_not_extended_while_a_run_is_unclaimed() -> None:
    """The owner on the other side of a partition relies on the end of the lease it granted."""
    harness = SchedulerHarness(servers=1)
    extended = await renewals(harness, [running(), running(), running()])
    assert extended == [False, False, False]


async def test_lease_of_idle_server_is_not_extended() -> None:
    harness = SchedulerHarness(servers=1)
    extended = await renewals(harness, [Ok(ServerReport(5000)), Ok(ServerReport(5000))])
    assert extended == [False, False]


async def test_renewal_does_not_mark_run_of_previous_owner_as_lapsed() -> None:
    """Guard against giving up a run that still has a lease.

    This owner has granted no lease yet, but the previous one may have just granted one.
    """
    harness = SchedulerHarness(servers=1)
    await renewals(harness, [running()])
    run = harness.scheduler.run_by_task["job.0.0.0"]
    await renewals(harness, [running()])
    harness.scheduler.tick(anyio.current_time())
    assert harness.scheduler.run_by_task["job.0.0.0"] is run


async def test_renewal_does_not_extend_lease_beyond_its_limit() -> None:
    """Guard against a lease that outlasts the wait of the next owner."""
    harness = SchedulerHarness(servers=1)
    work = harness.submit("job", deadline_s=60)
    harness.accept_all()
    harness.lease_limit_at_by_holder[work.holder] = anyio.current_time() + 0.4
    client = await renew_all(harness, [running(), running(), running()])
    assert client.extended == [False, True, True]
    assert all(until_ms <= 5400 for until_ms in client.until_ms)
    harness.lease_limit_at_by_holder[work.holder] = anyio.current_time()
    assert await renewals(harness, [running(), running()]) == [False, False]


async def test_start_is_not_sent_when_its_holder_has_become_silent_since_its_placement() -> None:
    """Guard against orders of an owner that was paused between a decision and its sending."""
    harness = SchedulerHarness(servers=1)
    client = ScriptedClient([running()])
    session = ServerSession(
        harness.scheduler.server_by_id["s0"],
        client,
        harness.scheduler,
        1,
        LEASE_S,
        lambda: False,
        lambda token: None,
        Metrics(),
    )
    work = harness.submit("job", deadline_s=60)
    run = harness.effects.started[0]
    harness.lease_limit_at_by_holder[work.holder] = anyio.current_time() + 0.7
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(session.run, task_group)
        await anyio.sleep(0.05)
        session.start(run, work)
        await anyio.sleep(0.05)
        task_group.cancel_scope.cancel()
    assert client.started == []
    assert harness.scheduler.run_by_task.get("job.0.0.0") is None
    assert not harness.scheduler.server_by_id["s0"].suspect
