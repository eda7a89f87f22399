"""Jobs in the holder, the process to which their clients are connected."""

from collections.abc import Callable

import anyio
import pytest

from redwingport_dispatch.holder import (
    Holder,
    Job,
    JobEnd,
    Outcome,
    OwnerMessage,
    response_target_s,
)
from redwingport_dispatch.interfaces import JobRequest, Route, StepRequest, TaskShape
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.scheduling.admission import TOO_LATE
from redwingport_messages.dispatch import (
    CancelWork,
    SubmitWork,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)

pytestmark = pytest.mark.anyio

ROUTE = Route("queue", "host", "/", "desk", 0, 3, 1.6, 0.06, 0.0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Links:
    """Record messages to owners; simulate a broken link."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, OwnerMessage]] = []
        self.up = True

    def send(self, owner: str, message: OwnerMessage) -> bool:
        if self.up:
            self.sent.append((owner, message))
        return self.up

    def submissions(self) -> list[SubmitWork]:
        return [message for _, message in self.sent if isinstance(message, SubmitWork)]


def make_job(tasks: int = 2, steps: int = 1, timeout_s: float = 0.3) -> Job:
    shape = TaskShape(1000, 64, 0, 0.1)
    request = JobRequest(
        "", tuple(StepRequest(tasks, shape, (n - 1,) if n else ()) for n in range(steps))
    )
    now = anyio.current_time()
    return Job("0" * 16, ROUTE, request, now, now + 0.2, now + timeout_s)


async def run_job(job: Job, script: Callable[[Holder, Links], None], owner: str = "o") -> JobEnd:
    links = Links()
    holder = Holder("me", links.send, lambda peer: 0.0, lambda count: [1] * count, Metrics())
    holder.set_owners([ShardOwner(owner, 1)])
    ends: list[JobEnd] = []

    async def run() -> None:
        ends.append(await holder.run(job))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(run)
        await anyio.sleep(0.01)
        script(holder, links)
    return ends[0]


async def test_job_is_complete_when_all_tasks_are_done() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s"), (1, 1, "done", 1, "s")]))

    assert (await run_job(make_job(), script)).outcome is Outcome.COMPLETE


async def test_step_is_submitted_when_previous_step_is_done() -> None:
    def script(holder: Holder, links: Links) -> None:
        assert [message.step for message in links.submissions()] == [0]
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s")]))
        assert [message.step for message in links.submissions()] == [0, 1]
        holder.handle_notification("o", TaskNews([(2, 0, "done", 1, "s")]))

    assert (await run_job(make_job(tasks=1, steps=2), script)).outcome is Outcome.COMPLETE


async def test_new_owner_receives_placed_and_open_tasks() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification(
            "o", TaskNews([(1, 0, "done", 1, "s"), (1, 1, "placed", 4, "t")])
        )
        holder.set_owners([ShardOwner("p", 2)])
        message = links.submissions()[-1]
        assert message.resumed
        assert message.tasks == [(1, 5, "t")]
        holder.handle_notification("p", TaskNews([(1, 1, "done", 5, "t")]))

    assert (await run_job(make_job(), script)).outcome is Outcome.COMPLETE


async def test_refusal_by_previous_owner_is_ignored() -> None:
    """The new owner may have started tasks in the meantime."""

    def script(holder: Holder, links: Links) -> None:
        holder.set_owners([ShardOwner("p", 2)])
        holder.handle_notification("o", WorkRefused(1, 1, "too late", 1))
        holder.set_owners([ShardOwner("o", 3)])
        holder.handle_notification("o", WorkRefused(1, 1, "too late", 1))

    assert (await run_job(make_job(), script)).outcome is Outcome.UNKNOWN


async def test_refusal_by_owner_ends_job() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", WorkRefused(1, 1, "too late", 7))

    end = await run_job(make_job(), script)
    assert (end.outcome, end.retry_after_s) == (Outcome.REFUSED, 7)


async def test_abandoned_job_is_answered_immediately() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", WorkAbandoned(1, 1))

    job = make_job(timeout_s=30)
    started_at = anyio.current_time()
    assert (await run_job(job, script)).outcome is Outcome.UNKNOWN
    assert anyio.current_time() - started_at < 10


async def test_job_that_reached_no_owner_is_refused() -> None:
    def script(holder: Holder, links: Links) -> None:
        assert links.sent == []

    assert (await run_job(make_job(), script, owner="")).outcome is Outcome.REFUSED


async def test_job_that_an_owner_may_have_started_is_not_refused_at_its_deadline() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.set_owners([ShardOwner("", 0)])

    assert (await run_job(make_job(), script)).outcome is Outcome.UNKNOWN


async def test_open_work_items_of_failed_job_are_cancelled() -> None:
    seen: list[OwnerMessage] = []

    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "failed", 3, "s")]))
        seen.extend(message for _, message in links.sent)

    assert (await run_job(make_job(), script)).outcome is Outcome.FAILED
    assert seen[-1] == CancelWork(1)


async def test_response_target_is_stretched_critical_path_plus_slack() -> None:
    request = make_job(steps=2).request
    assert response_target_s(ROUTE, request) == pytest.approx(1.6 * 0.2 + 0.06)


async def test_work_item_goes_to_next_shard_when_one_has_no_suitable_server() -> None:
    """Only servers of one shard may have the label, or the service may have few servers."""

    def script(holder: Holder, links: Links) -> None:
        holder.set_owners([ShardOwner("p", 2), ShardOwner("q", 3)])
        first = links.sent[-1]
        others = {"p": ("q", 3), "q": ("p", 2)}
        other, term = others[first[0]]
        own_term = {"p": 2, "q": 3}[first[0]]
        assert isinstance(first[1], SubmitWork)
        holder.handle_notification(first[0], WorkRefused(1, own_term, "fits on no server", 10))
        second = links.sent[-1]
        assert second[0] == other
        assert isinstance(second[1], SubmitWork)
        assert second[1].shard == 1 - first[1].shard
        assert not second[1].resumed
        assert not second[1].refused_for_load
        holder.handle_notification(other, WorkRefused(1, term, "fits on no server", 10))

    end = await run_job(make_job(), script, owner="")
    assert (end.outcome, end.reason) == (Outcome.REFUSED, "fits on no server")


async def test_work_item_refused_for_load_is_offered_to_one_more_shard() -> None:
    """A burst may overload one of three shards while the servers of another are idle."""
    offers: list[tuple[str, int]] = []

    def script(holder: Holder, links: Links) -> None:
        shard_owners = [ShardOwner("p", 2), ShardOwner("q", 3), ShardOwner("r", 4)]
        holder.set_owners(shard_owners)
        for _ in range(2):
            owner, message = links.sent[-1]
            assert isinstance(message, SubmitWork)
            assert not message.resumed
            assert message.refused_for_load == bool(offers)
            assert owner == shard_owners[message.shard].owner
            offers.append((owner, message.shard))
            holder.handle_notification(
                owner, WorkRefused(1, shard_owners[message.shard].term, TOO_LATE, 3)
            )

    end = await run_job(make_job(), script, owner="")
    assert (end.outcome, end.reason, end.retry_after_s) == (Outcome.REFUSED, TOO_LATE, 3)
    assert len(set(offers)) == 2


async def test_resubmitted_work_item_is_offered_to_same_shards_in_same_order() -> None:
    """A shard that started tasks of the first attempt does not refuse the second."""

    async def find_offers() -> list[int]:
        shards: list[int] = []

        def script(holder: Holder, links: Links) -> None:
            holder.set_owners(
                [ShardOwner(owner, number) for number, owner in enumerate("pqrs", 1)]
            )
            for _ in range(2):
                owner, message = links.sent[-1]
                assert isinstance(message, SubmitWork)
                shards.append(message.shard)
                holder.handle_notification(owner, WorkRefused(1, message.shard + 1, TOO_LATE, 1))

        await run_job(make_job(), script, owner="")
        return shards

    assert await find_offers() == await find_offers()
