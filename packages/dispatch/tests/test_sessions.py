"""Renewals of a server's lease: when they extend it, and when they must not."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest
from result import Err, Ok, Result
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.exceptions import OrderError, OrderFailure
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerReport,
    StartOrder,
)
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.leases import CLOCK_RATE_ERROR
from redwingport_dispatch.ownership.terms import TAG_BITS, new_term
from redwingport_dispatch.sessions import ServerSession
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio

LEASE_S = 1.0


def build_loop() -> VirtualTimeLoop:
    """Return a loop whose clock is ahead of that of a new :class:`SchedulerHarness`."""
    loop = VirtualTimeLoop()
    loop.advance(1000.0)
    return loop


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": build_loop}


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


class FakeServer:
    """Carry out orders as a backend server does, and start again on request.

    Calls wait at the gate of their kind, if there is one, before they are carried out.
    """

    def __init__(self) -> None:
        self.born_ms = 0
        self.accepts: list[StartOrder] = []
        self.tokens: list[int] = []
        self.loses_starts = False
        self.loses_renewals = False
        self.lost: list[StartOrder] = []
        self.renewal_gate: anyio.Event | None = None
        self.start_gate: anyio.Event | None = None
        self.stop_answer_gate: anyio.Event | None = None
        self.reports_before_gate = False
        self.restart()

    def restart(self) -> None:
        """Start again under the same id: nothing of the former lifetime is known."""
        self.born_ms += 1
        self._started_at = anyio.current_time()
        self._token = 0
        self._run_by_task: dict[str, int] = {}
        self._rejected_by_task: dict[str, int] = {}
        self._ends: list[RunEnd] = []
        self._end_count = 0

    def end(self, task: str) -> None:
        """End a run normally."""
        self._end_count += 1
        number = self._run_by_task.pop(task)
        self._ends.append(RunEnd(self._end_count, task, number, EndKind.DONE))

    def carry_out(self, order: StartOrder) -> Result[int, OrderError]:
        """Carry out a start order, however late."""
        if order.token < self._token:
            return self._fail(OrderFailure.FENCED)
        self._token = order.token
        if order.lease_until_ms <= self._clock_ms:
            return self._fail(OrderFailure.LATE)
        if order.number <= self._rejected_by_task.get(order.task, 0):
            return self._fail(OrderFailure.OLD_RUN)
        self._run_by_task[order.task] = order.number
        self.accepts.append(order)
        return Ok(self._clock_ms)

    @property
    def _clock_ms(self) -> int:
        return 1 + round((anyio.current_time() - self._started_at) * 1000)

    @staticmethod
    def _fail(failure: OrderFailure) -> Err[OrderError]:
        return Err(OrderError("order", "s0", failure.name, failure))

    def _report(self) -> ServerReport:
        runs = tuple(RunListing(task, number, 10) for task, number in self._run_by_task.items())
        return ServerReport(self._clock_ms, self.born_ms, runs, tuple(self._ends))

    async def renew(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
        deadline: float,
    ) -> Result[ServerReport, OrderError]:
        await anyio.sleep(0.01)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        report = self._report()
        if self.renewal_gate is not None:
            await self.renewal_gate.wait()
        if self.loses_renewals:
            return self._fail(OrderFailure.NO_ANSWER)
        if not self.reports_before_gate:
            report = self._report()
        if token < self._token:
            return self._fail(OrderFailure.FENCED)
        self._token = token
        self.tokens.append(token)
        return Ok(report)

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        if self.loses_starts:
            self.lost.append(order)
            return self._fail(OrderFailure.NO_ANSWER)
        if self.start_gate is not None:
            await self.start_gate.wait()
        return self.carry_out(order)

    async def stop(
        self, task: str, number: int, token: int, deadline: float
    ) -> Result[int, OrderError]:
        if token < self._token:
            return self._fail(OrderFailure.FENCED)
        self._token = token
        self._rejected_by_task[task] = max(self._rejected_by_task.get(task, 0), number)
        if self._run_by_task.get(task, 0) <= number:
            self._run_by_task.pop(task, None)
        clock_ms = self._clock_ms
        if self.stop_answer_gate is not None:
            await self.stop_answer_gate.wait()
        return Ok(clock_ms)

    async def aclose(self) -> None:
        pass


@asynccontextmanager
async def open_session(
    harness: SchedulerHarness, server: FakeServer, notes: list[int] | None = None
) -> AsyncIterator[ServerSession]:
    """Run a session with a server that has just been acquired."""
    noted = notes if notes is not None else []
    session = ServerSession(
        harness.scheduler.server_by_id["s0"],
        server,
        harness.scheduler,
        new_term(1_700_000_000_000, 5, 0),
        LEASE_S,
        lambda: False,
        noted.append,
        Metrics(),
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(session.run, task_group)
        await anyio.sleep(0.05)
        harness.now = anyio.current_time()
        yield session
        task_group.cancel_scope.cancel()


# Guards against a task that runs twice: the next lifetime of its server has accepted its run
# before a report shows the restart, and the run was taken for one that the restart has ended.
@pytest.mark.parametrize("is_listed", [True, False])
async def test_run_accepted_by_the_next_lifetime_goes_on(is_listed: bool) -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    async with open_session(harness, server) as session:
        gate = server.renewal_gate = anyio.Event()
        server.reports_before_gate = not is_listed
        server.restart()
        await anyio.sleep(0.03)
        work = harness.submit("job", deadline_s=60)
        [run] = harness.effects.started
        session.start(run, work)
        await anyio.sleep(0.01)
        assert run.accepted_at
        gate.set()
        await anyio.sleep(0.05)
        harness.now = anyio.current_time()
        harness.advance(0)
        assert harness.effects.started == [run]
        assert harness.scheduler.run_by_task[run.task_name] is run
        assert "server-crashed" not in harness.effects.events


# Guards against a task that runs twice: its start was not answered, a lifetime of the server has
# confirmed the stop, and the next lifetime, which knows nothing of that, carries out the start.
async def test_stop_confirmed_by_the_former_lifetime_is_sent_to_the_next_one() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    server.loses_starts = True
    async with open_session(harness, server) as session:
        work = harness.submit("job", deadline_s=60)
        [run] = harness.effects.started
        session.start(run, work)
        await anyio.sleep(0.01)
        session.stop(run)
        await anyio.sleep(0.01)
        assert run.stop_effective_at
        harness.effects.stopped.clear()
        server.restart()
        await anyio.sleep(0.04)
        assert harness.effects.stopped == [run]
        harness.now = anyio.current_time()
        harness.advance(0.2)
        assert harness.effects.started == [run]
        session.stop(run)
        await anyio.sleep(0.02)
        assert isinstance(server.carry_out(server.lost[0]), Err)
        harness.now = anyio.current_time()
        harness.advance(0.2)
        assert [again.number for again in harness.effects.started] == [1, 2]


# Guards against a task that runs twice: the former lifetime's confirmation of a stop arrives after
# the report of the next lifetime, which may still carry out the start.
async def test_confirmed_stop_of_the_former_lifetime_that_arrives_late_does_not_count() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    server.loses_starts = True
    async with open_session(harness, server) as session:
        work = harness.submit("job", deadline_s=60)
        [run] = harness.effects.started
        session.start(run, work)
        await anyio.sleep(0.01)
        gate = server.stop_answer_gate = anyio.Event()
        session.stop(run)
        await anyio.sleep(0.01)
        server.restart()
        await anyio.sleep(0.05)
        gate.set()
        await anyio.sleep(0.01)
        assert not run.stop_effective_at
        assert run.stop_due_at


# Guards against a task that runs twice: a start that was presumed over reaches the next lifetime
# of its server, whose clock takes it for one in time.
async def test_late_start_for_the_former_lifetime_is_fenced_by_the_next_one() -> None:
    harness, server, notes = SchedulerHarness(servers=1), FakeServer(), list[int]()
    server.loses_starts = True
    async with open_session(harness, server, notes) as session:
        work = harness.submit("job", deadline_s=60)
        session.start(harness.effects.started[0], work)
        await anyio.sleep(0.01)
        server.restart()
        await anyio.sleep(0.05)
        assert isinstance(server.carry_out(server.lost[0]), Err)
    first, raised = server.tokens[0], server.tokens[-1]
    assert notes == [raised]
    assert raised > first
    assert raised % (1 << TAG_BITS) == first % (1 << TAG_BITS)


# Guards against a server that is left unused: it has refused an order that was sent with the lower
# token from before its restart, which was taken for the word of another owner.
async def test_order_with_the_token_of_the_former_lifetime_is_sent_again() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    async with open_session(harness, server) as session:
        work = harness.submit("job", deadline_s=60)
        gate = server.start_gate = anyio.Event()
        session.start(harness.effects.started[0], work)
        await anyio.sleep(0.01)
        server.restart()
        await anyio.sleep(0.05)
        gate.set()
        await anyio.sleep(0.01)
        assert server.accepts == []
        assert harness.scheduler.server_by_id["s0"].acquired
        assert "owner-challenged" not in harness.effects.events
        assert [run.number for run in harness.effects.started] == [1, 2]


# Guards against orders that a server refuses, or that are mixed up with those for its former
# lifetime, after it was found at another address.
async def test_reopened_session_goes_on_with_the_raised_token() -> None:
    harness, server, notes = SchedulerHarness(servers=1), FakeServer(), list[int]()
    async with open_session(harness, server, notes):
        server.restart()
        await anyio.sleep(0.05)
    server.tokens.clear()
    async with open_session(harness, server):
        pass
    assert set(server.tokens) == set(notes)


# Guards against a run that outlives its lease: no call with the raised token was answered before
# the server was found at another address, so orders with the former one may have arrived there.
async def test_lease_of_a_restarted_server_counts_from_its_answer_at_another_address() -> None:
    harness, server, notes = SchedulerHarness(servers=1), FakeServer(), list[int]()
    async with open_session(harness, server, notes):
        server.restart()
        while not notes:
            await anyio.sleep(0.001)
        server.loses_renewals = True
        await anyio.sleep(0.5)
    assert notes[0] not in server.tokens
    server.loses_renewals = False
    reopened_at = anyio.current_time()
    async with open_session(harness, server):
        lease_ends_at = harness.scheduler.server_by_id["s0"].lease_ends_at
    assert lease_ends_at >= reopened_at + LEASE_S / (1 - CLOCK_RATE_ERROR)


# Guards against a run that outlives its lease: the next lifetime of its server has accepted it,
# and reckons the lease from the arrival of the order.
async def test_lease_of_a_run_accepted_by_the_next_lifetime_counts_from_its_answer() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    async with open_session(harness, server) as session:
        await anyio.sleep(0.3)
        harness.now = anyio.current_time()
        server.renewal_gate = anyio.Event()
        await anyio.sleep(0.02)
        work = harness.submit("job", deadline_s=60)
        [run] = harness.effects.started
        gate = server.start_gate = anyio.Event()
        session.start(run, work)
        await anyio.sleep(0.12)
        server.restart()
        accepted_at = anyio.current_time()
        gate.set()
        await anyio.sleep(0.01)
        assert run.accepted_at
        lease_ends_at = harness.scheduler.server_by_id["s0"].lease_ends_at
        assert lease_ends_at >= accepted_at + LEASE_S / (1 - CLOCK_RATE_ERROR)


# Guards against a run that outlives its lease: the next lifetime of its server has carried out the
# unanswered start before its first report, and is cut off after that.
async def test_lease_of_a_late_run_counts_from_the_report_of_the_next_lifetime() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    server.loses_starts = True
    async with open_session(harness, server) as session:
        work = harness.submit("job", deadline_s=60)
        session.start(harness.effects.started[0], work)
        await anyio.sleep(0.05)
        gate = server.renewal_gate = anyio.Event()
        await anyio.sleep(0.13)
        server.restart()
        server.carry_out(server.lost[0])
        accepted_at = anyio.current_time()
        server.renewal_gate = anyio.Event()
        gate.set()
        await anyio.sleep(0.02)
        assert harness.effects.started[0].accepted_at
        lease_ends_at = harness.scheduler.server_by_id["s0"].lease_ends_at
        assert lease_ends_at >= accepted_at + LEASE_S / (1 - CLOCK_RATE_ERROR)


# Guards against a task that runs twice: its server was dropped and is listed again with its next
# lifetime, which carries out a start that was presumed over.
async def test_late_start_is_fenced_by_a_server_that_was_dropped_and_is_listed_again() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    server.loses_starts = True
    async with open_session(harness, server) as session:
        work = harness.submit("job", deadline_s=60)
        [run] = harness.effects.started
        session.start(run, work)
        await anyio.sleep(0.01)
        harness.scheduler.handle_stopped(run, harness.now)
        harness.advance(0.2)
    harness.scheduler.cancel(work.key, harness.now)
    for again in harness.effects.started[1:]:
        harness.scheduler.handle_not_started(again, OrderFailure.NO_LEASE, harness.now)
    listing = harness.scheduler.server_by_id["s0"].listing
    harness.scheduler.remove_server("s0", harness.now)
    server.restart()
    harness.scheduler.set_server(replace(listing, born_ms=server.born_ms))
    async with open_session(harness, server):
        assert isinstance(server.carry_out(server.lost[0]), Err)


# Guards against a restart that is missed as the list of servers has named the new lifetime first.
async def test_restart_is_noticed_when_the_list_names_the_new_lifetime_first() -> None:
    harness, server, notes = SchedulerHarness(servers=1), FakeServer(), list[int]()
    async with open_session(harness, server, notes):
        listing = harness.scheduler.server_by_id["s0"].listing
        harness.scheduler.set_server(replace(listing, born_ms=server.born_ms + 1))
        server.restart()
        await anyio.sleep(0.05)
    assert set(server.tokens) == {server.tokens[0], *notes}
    assert len(notes) == 1


# Guards against an owner that fails with an OverflowError: a server that has just started reports
# zero as the time of its clock.
async def test_task_is_started_on_a_server_whose_clock_reads_zero() -> None:
    harness = SchedulerHarness(servers=1)
    client = ScriptedClient([Ok(ServerReport(0, born_ms=1))])
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
        await anyio.sleep(0.05)
        work = harness.submit("job", deadline_s=60)
        session.start(harness.effects.started[0], work)
        await anyio.sleep(0.05)
        task_group.cancel_scope.cancel()
    [order] = client.started
    assert LEASE_S * 1000 <= order.lease_until_ms <= LEASE_S * 1000 + 500


# Guards against a task that is started again after its end: the acknowledgement of ends of the
# former lifetime let the next one, which counts its ends anew, forget that end.
async def test_end_at_the_next_lifetime_is_not_acknowledged_with_those_of_the_former() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    async with open_session(harness, server) as session:
        for job in ("one", "two"):
            work = harness.submit(job, deadline_s=60)
            session.start(harness.effects.started[-1], work)
            await anyio.sleep(0.01)
            server.end(f"{job}.0.0.0")
            await anyio.sleep(0.05)
        assert harness.effects.done == [("one", 0), ("two", 0)]
        gate = server.renewal_gate = anyio.Event()
        await anyio.sleep(0.03)
        server.restart()
        work = harness.submit("three", deadline_s=60)
        session.start(harness.effects.started[-1], work)
        await anyio.sleep(0.01)
        server.end("three.0.0.0")
        server.loses_renewals = True
        gate.set()
        await anyio.sleep(0.005)
        server.loses_renewals = False
        await anyio.sleep(0.3)
    assert harness.effects.done[2:] == [("three", 0)]
    assert len(harness.effects.started) == 3


# Guards against a flood of orders: the last answer of a server was read so late that the server
# rejects each start as late, and each rejection was followed by the next start at once.
async def test_start_rejected_as_late_is_not_followed_by_a_flood_of_starts() -> None:
    harness, server = SchedulerHarness(servers=1), FakeServer()
    async with open_session(harness, server) as session:
        server.reports_before_gate = True
        gate = server.renewal_gate = anyio.Event()
        await anyio.sleep(1.3)
        server.renewal_gate = anyio.Event()
        gate.set()
        await anyio.sleep(0.005)
        harness.now = anyio.current_time()
        work = harness.submit("job", deadline_s=60)
        sent = 0
        for _ in range(50):
            for run in harness.effects.started[sent:]:
                session.start(run, work)
                sent += 1
            await anyio.sleep(0.001)
        server.renewal_gate.set()
    assert sent <= 2
