"""Jobs in the holder, the process to which their clients are connected."""

import logging
from collections.abc import Callable, Sequence

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
from redwingport_dispatch.interfaces import JobRequest, Route, ShardLayout, StepRequest, TaskShape
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import even_layout, rank_shards
from redwingport_dispatch.scheduling.admission import ID_IN_USE, TOO_LATE
from redwingport_messages.dispatch import (
    CancelWork,
    OpenWorks,
    ReleaseWork,
    SubmitWork,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTE = Route("queue", "host", "/", "desk", 0, 3, 1.6, 0.06, 0.0)


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


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
    return Job("0" * 16, ROUTE, request, now, now + 0.2, now + timeout_s, "identity")


def set_owners(holder: Holder, shard_owners: Sequence[ShardOwner]) -> None:
    """Set the owners of shards of equal size."""
    holder.set_owners(shard_owners, even_layout(len(shard_owners)))


async def run_job(job: Job, script: Callable[[Holder, Links], None], owner: str = "o") -> JobEnd:
    links = Links()
    holder = Holder("me", links.send, lambda peer: 0.0, Metrics())
    set_owners(holder, [ShardOwner(owner, 1)])
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
        set_owners(holder, [ShardOwner("p", 2)])
        message = links.submissions()[-1]
        assert message.resumed
        assert message.tasks == [(1, 5, "t")]
        holder.handle_notification("p", TaskNews([(1, 1, "done", 5, "t")]))

    assert (await run_job(make_job(), script)).outcome is Outcome.COMPLETE


async def test_refusal_by_previous_owner_is_ignored() -> None:
    """The new owner may have started tasks in the meantime."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2)])
        holder.handle_notification("o", WorkRefused(1, 1, "too late", 1))
        set_owners(holder, [ShardOwner("o", 3)])
        holder.handle_notification("o", WorkRefused(1, 1, "too late", 1))

    assert (await run_job(make_job(), script)).outcome is Outcome.UNKNOWN


async def test_work_item_is_released_at_its_previous_owner() -> None:
    """Guard against two owners that start the tasks of one work item.

    They do not reach each other, but this holder reaches both.
    """

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2)])
        assert links.sent[-1] == ("o", ReleaseWork(1, 1))
        holder.resubmit("o")
        assert links.sent[-1] == ("o", ReleaseWork(1, 1))
        set_owners(holder, [ShardOwner("o", 1)])
        assert links.sent[-1] == ("p", ReleaseWork(1, 2))
        holder.resubmit("o")
        assert isinstance(links.sent[-1][1], SubmitWork)

    await run_job(make_job(), script)


async def test_work_item_is_kept_by_its_owner_until_the_next_one_is_reached() -> None:
    def script(holder: Holder, links: Links) -> None:
        links.up = False
        set_owners(holder, [ShardOwner("p", 2)])
        links.up = True
        holder.resubmit("o")
        assert not any(isinstance(message, ReleaseWork) for _, message in links.sent)
        holder.resubmit("p")
        assert links.sent[-1] == ("o", ReleaseWork(1, 1))

    await run_job(make_job(), script)


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
        set_owners(holder, [ShardOwner("", 0)])

    assert (await run_job(make_job(), script)).outcome is Outcome.UNKNOWN


async def test_open_work_items_of_failed_job_are_cancelled() -> None:
    seen: list[OwnerMessage] = []

    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "failed", 3, "s")]))
        seen.extend(message for _, message in links.sent)

    assert (await run_job(make_job(), script)).outcome is Outcome.FAILED
    assert seen[-1] == CancelWork(1)


# Guards against logging failed runs of a task that was given up because it crashes servers.
async def test_reason_of_a_failed_job_claims_no_number_of_failed_runs() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "failed", 2, "s")]))

    end = await run_job(make_job(), script)
    assert (end.outcome, end.reason) == (Outcome.FAILED, "task 0 failed and is not retried")


async def test_response_target_is_stretched_critical_path_plus_slack() -> None:
    request = make_job(steps=2).request
    assert response_target_s(ROUTE, request) == pytest.approx(1.6 * 0.2 + 0.06)


async def test_work_item_goes_to_next_shard_when_one_has_no_suitable_server() -> None:
    """Only servers of one shard may have the label, or the service may have few servers."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2), ShardOwner("q", 3)])
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
        set_owners(holder, shard_owners)
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


async def test_shards_that_refuse_know_of_further_offers_until_the_job_ends() -> None:
    seen: list[tuple[str, OwnerMessage]] = []

    def script(holder: Holder, links: Links) -> None:
        shard_owners = [ShardOwner("p", 2), ShardOwner("q", 3), ShardOwner("r", 4)]
        set_owners(holder, shard_owners)
        for _ in range(2):
            owner, message = links.sent[-1]
            assert isinstance(message, SubmitWork)
            term = shard_owners[message.shard].term
            holder.handle_notification(owner, WorkRefused(1, term, TOO_LATE, 3))
        seen.extend(links.sent)

    await run_job(make_job(), script, owner="")
    submissions = [item for item in seen if isinstance(item[1], SubmitWork)]
    assert [message.more_offers for _, message in submissions] == [True, False]
    cancelled = {owner for owner, message in seen if isinstance(message, CancelWork)}
    assert cancelled == {owner for owner, _ in submissions}


def refuse_last_offer(holder: Holder, links: Links, term: int) -> None:
    """Refuse the work item at the owner that it was submitted to last."""
    owner = next(to for to, message in reversed(links.sent) if isinstance(message, SubmitWork))
    holder.handle_notification(owner, WorkRefused(1, term, TOO_LATE, 1))


async def test_job_that_an_earlier_owner_may_have_started_is_not_refused() -> None:
    """Guard against a refusal, which promises that nothing has run, after a lost notification."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2)])
        set_owners(holder, [ShardOwner("o", 1)])
        refuse_last_offer(holder, links, 1)

    assert (await run_job(make_job(), script)).outcome is Outcome.UNKNOWN


async def test_job_that_an_earlier_owner_may_have_started_is_not_refused_without_owner() -> None:
    """Guard against a refusal, which promises that nothing has run, after a lost notification."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2), ShardOwner("p", 3)])
        shard = links.submissions()[-1].shard
        owners = [ShardOwner("", 0), ShardOwner("", 0)]
        owners[shard] = ShardOwner("q", 4)
        set_owners(holder, owners)
        refuse_last_offer(holder, links, 4)

    assert (await run_job(make_job(), script, owner="")).outcome is Outcome.UNKNOWN


async def test_offer_to_another_shard_after_a_change_of_owner_is_marked_as_resumed() -> None:
    """Guard against a shard that starts at once what an earlier owner of another one may run."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2), ShardOwner("p", 3)])
        first = links.submissions()[-1]
        assert not first.resumed
        set_owners(holder, [ShardOwner("q", 4), ShardOwner("q", 5)])
        refuse_last_offer(holder, links, 4 + first.shard)
        second = links.submissions()[-1]
        assert second.shard != first.shard
        assert second.resumed
        refuse_last_offer(holder, links, 4 + second.shard)

    assert (await run_job(make_job(), script, owner="")).outcome is Outcome.UNKNOWN


async def test_owner_is_told_whether_earlier_owners_had_other_servers() -> None:
    """Guard against a start judged by the lists of this shard's servers alone."""

    def script(holder: Holder, links: Links) -> None:
        assert not links.submissions()[-1].other_servers
        set_owners(holder, [ShardOwner("p", 2)])
        assert not links.submissions()[-1].other_servers
        set_owners(holder, [ShardOwner("q", 3), ShardOwner("q", 4)])
        assert links.submissions()[-1].other_servers
        set_owners(holder, [ShardOwner("r", 5), ShardOwner("r", 6)])
        message = links.submissions()[-1]
        assert message.other_servers
        assert message.resumed

    await run_job(make_job(), script)


async def test_offer_to_another_shard_tells_that_the_earlier_owner_had_other_servers() -> None:
    """Guard against a start judged by the lists of this shard's servers alone."""

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2), ShardOwner("p", 3)])
        set_owners(holder, [ShardOwner("q", 4), ShardOwner("q", 5)])
        refuse_last_offer(holder, links, 4 + links.submissions()[-1].shard)
        assert links.submissions()[-1].other_servers

    await run_job(make_job(), script, owner="")


async def test_silence_of_the_earlier_owner_heard_last_counts() -> None:
    """Guard against a wait that ends before the leases of an owner two changes ago."""
    links = Links()
    unheard_s = {"o": 0.1, "p": 0.9}
    holder = Holder("me", links.send, lambda peer: unheard_s.get(peer, 0.0), Metrics())
    set_owners(holder, [ShardOwner("o", 1)])
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(holder.run, make_job())
        await anyio.sleep(0.01)
        set_owners(holder, [ShardOwner("p", 2)])
        set_owners(holder, [ShardOwner("q", 3)])
        task_group.cancel_scope.cancel()
    assert [message.unheard_ms for message in links.submissions()] == [0, 100, 100]


async def test_resubmitted_work_item_is_offered_to_same_shards_in_same_order() -> None:
    """A shard that started tasks of the first attempt does not refuse the second."""

    async def find_offers() -> list[int]:
        shards: list[int] = []

        def script(holder: Holder, links: Links) -> None:
            set_owners(
                holder, [ShardOwner(owner, number) for number, owner in enumerate("pqrs", 1)]
            )
            for _ in range(2):
                owner, message = links.sent[-1]
                assert isinstance(message, SubmitWork)
                shards.append(message.shard)
                holder.handle_notification(owner, WorkRefused(1, message.shard + 1, TOO_LATE, 1))

        await run_job(make_job(), script, owner="")
        return shards

    assert await find_offers() == await find_offers()


# Guards against two shards that run one job: an owner ignores what was submitted by an older
# layout than its own, and two processes may learn of a layout one after the other.
async def test_work_items_are_submitted_again_by_a_new_layout_of_the_same_shards() -> None:
    owners = [ShardOwner("o", 1), ShardOwner("p", 2)]
    sizes = next(
        sizes
        for sizes in ((1, 9), (9, 1))
        if rank_shards("0" * 16, sizes) != rank_shards("0" * 16, (1, 1))
    )

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, owners)
        [first] = links.submissions()
        holder.set_owners(owners, ShardLayout(7, sizes))
        second = links.submissions()[-1]
        assert (first.layout_revision, second.layout_revision) == (2, 7)
        assert (first.shard, second.shard) == (
            rank_shards("0" * 16, (1, 1))[0],
            rank_shards("0" * 16, sizes)[0],
        )
        assert second.resumed and second.other_servers

    await run_job(make_job(), script, owner="")


def logged(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, object]]:
    """Return the fields of the lines of an event."""
    return [vars(record)["fields"] for record in caplog.records if record.getMessage() == event]


async def test_handover_of_work_items_is_logged_once_for_each_change_of_owner(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s")]))
        set_owners(holder, [ShardOwner("p", 2)])
        holder.handle_notification("p", TaskNews([(1, 1, "done", 2, "t")]))

    await run_job(make_job(), script)
    assert logged(caplog, "works-handed-over") == [
        {"shard": 0, "owner": "p", "term": 2, "was": "o", "works": 1, "unheard_s": 0.0}
    ]
    [ended] = logged(caplog, "job-ended")
    assert (ended["tasks"], ended["declared_s"], ended["offers"]) == (2, 0.2, 1)
    assert ended["handovers"] == 1
    assert isinstance(ended["done"], list)
    assert [row[:3] for row in ended["done"]] == [("0.0", 1, "s"), ("0.1", 2, "t")]


async def test_job_end_names_the_shards_that_refused_it(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("o", 1), ShardOwner("p", 2), ShardOwner("q", 3)])
        for _ in range(2):
            owner, message = next(
                (owner, message)
                for owner, message in reversed(links.sent)
                if isinstance(message, SubmitWork)
            )
            term = {"o": 1, "p": 2, "q": 3}[owner]
            holder.handle_notification(owner, WorkRefused(message.work_id, term, "too late", 1))

    assert (await run_job(make_job(), script, owner="")).outcome is Outcome.REFUSED
    [ended] = logged(caplog, "job-ended")
    assert isinstance(ended["refused_by"], list)
    assert len(set(ended["refused_by"])) == 2


async def test_raised_number_of_shards_logs_how_many_works_moved(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner(f"o{shard}", 2) for shard in range(8)])

    await run_job(make_job(), script)
    [moved] = logged(caplog, "works-moved")
    assert (moved["count"], moved["was"], moved["works"]) == (8, 1, 1)
    assert moved["moved"] in (0, 1)


async def test_job_served_by_its_first_shard_has_a_short_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against the cost of fields that say nothing about most jobs."""
    caplog.set_level(logging.INFO)

    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s"), (1, 1, "done", 1, "s")]))

    await run_job(make_job(), script)
    [ended] = logged(caplog, "job-ended")
    assert not {"refused_by", "handovers", "done"} & set(ended)


# Guards against a refusal of a job that has run: only the end of its first step was reported.
async def test_job_whose_placement_was_not_reported_is_not_refused() -> None:
    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s")]))
        holder.handle_notification("o", WorkRefused(2, 1, TOO_LATE, 1))

    job = make_job(tasks=1, steps=2)
    assert (await run_job(job, script)).outcome is Outcome.UNKNOWN


async def test_event_of_an_unknown_task_is_ignored() -> None:
    """Guard against a message of one peer that ends the links to all others."""

    def script(holder: Holder, links: Links) -> None:
        holder.handle_notification(
            "o", TaskNews([(1, 7, "placed", 1, "s"), (1, 7, "done", 1, "s")])
        )
        holder.handle_notification("o", TaskNews([(1, 0, "done", 1, "s"), (1, 1, "done", 1, "s")]))

    assert (await run_job(make_job(), script)).outcome is Outcome.COMPLETE


# Guards against a job that runs at another shard beside one with the same id.
async def test_job_whose_id_is_in_use_is_offered_to_no_other_shard() -> None:
    def script(holder: Holder, links: Links) -> None:
        owners = [ShardOwner("o", 1), ShardOwner("p", 2)]
        set_owners(holder, owners)
        [message] = links.submissions()
        assert message.identity == "identity"
        owner = owners[message.shard]
        refusal = WorkRefused(message.work_id, owner.term, ID_IN_USE, 2)
        holder.handle_notification(owner.owner, refusal)
        assert len(links.submissions()) == 1

    end = await run_job(make_job(), script, owner="")
    assert (end.outcome, end.reason, end.retry_after_s) == (Outcome.REFUSED, ID_IN_USE, 2)


# Guards against an owner that takes a run for one of this job: of a late notification, it was told
# the server, with the number of a later run.
async def test_late_placement_does_not_replace_that_of_a_later_run() -> None:
    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2)])
        holder.handle_notification("p", TaskNews([(1, 1, "placed", 2, "t")]))
        holder.handle_notification("o", TaskNews([(1, 1, "placed", 1, "s")]))
        assert links.submissions()[-1].tasks == [(0, 1, ""), (1, 3, "t")]

    await run_job(make_job(), script)


# Guards against a job that is shown as failed because of a task that is done: an earlier owner has
# reported the failure of its own runs late.
async def test_failure_of_a_task_that_is_done_is_ignored() -> None:
    def script(holder: Holder, links: Links) -> None:
        set_owners(holder, [ShardOwner("p", 2)])
        holder.handle_notification("p", TaskNews([(1, 0, "done", 4, "s")]))
        holder.handle_notification("o", TaskNews([(1, 0, "failed", 3, "s")]))
        holder.handle_notification("p", TaskNews([(1, 1, "done", 1, "s")]))

    assert (await run_job(make_job(), script)).outcome is Outcome.COMPLETE


# Guards against an owner that goes on with a job whose cancel was lost with the link.
async def test_owner_is_told_first_which_work_items_are_open_on_a_new_link() -> None:
    links = Links()
    holder = Holder("me", links.send, lambda peer: 0.0, Metrics())
    set_owners(holder, [ShardOwner("o", 1)])
    ended, kept = make_job(timeout_s=5), make_job(timeout_s=5)
    kept.job_id = "1" * 16
    async with anyio.create_task_group() as task_group:
        for job in (ended, kept):
            task_group.start_soon(holder.run, job)
            await anyio.wait_all_tasks_blocked()
        links.up = False
        assert holder.cancel(ended.job_id, ended.route.name)
        links.up = True
        links.sent.clear()
        holder.resubmit("o")
        assert links.sent[0] == ("o", OpenWorks([2]))
        assert [message.work_id for message in links.submissions()] == [2]
        task_group.cancel_scope.cancel()


# Guards against an owner that passes a job on although nothing of it runs, and against one that
# starts it while another one may still run it.
@pytest.mark.parametrize(
    ("outcome", "may_be_running"),
    [(Outcome.REFUSED, False), (Outcome.COMPLETE, False), (Outcome.CANCELLED, True)],
)
async def test_cancel_tells_whether_runs_may_go_on(outcome: Outcome, may_be_running: bool) -> None:
    links = Links()
    holder = Holder("me", links.send, lambda peer: 0.0, Metrics())
    set_owners(holder, [ShardOwner("o", 1), ShardOwner("p", 1)])
    job = make_job()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(holder.run, job)
        await anyio.wait_all_tasks_blocked()
        first, _ = links.sent[0]
        holder.handle_notification(first, WorkRefused(1, 1, TOO_LATE, 1))
        second, _ = links.sent[1]
        if outcome is Outcome.REFUSED:
            holder.handle_notification(second, WorkRefused(1, 1, TOO_LATE, 1))
        elif outcome is Outcome.COMPLETE:
            news = TaskNews([(1, index, "done", 1, "s") for index in range(2)])
            holder.handle_notification(second, news)
        else:
            assert holder.cancel(job.job_id, job.route.name)
    assert job.end is not None
    assert job.end.outcome is outcome
    cancels = [message for _, message in links.sent if isinstance(message, CancelWork)]
    assert cancels
    assert {message.may_be_running for message in cancels} == {may_be_running}


# Guards against work items that are kept for good: an owner in this process refuses the first step
# of a job while the holder submits it.
async def test_steps_of_a_job_refused_while_they_are_submitted_are_forgotten(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    def send(owner: str, message: OwnerMessage) -> bool:
        if isinstance(message, SubmitWork):
            holder.handle_notification("me", WorkRefused(message.work_id, 1, TOO_LATE, 1))
        return True

    holder = Holder("me", send, lambda peer: 0.0, Metrics())
    set_owners(holder, [ShardOwner("me", 1)])
    job = make_job()
    step = job.request.steps[0]
    job.request = JobRequest("", (step, step))
    assert (await holder.run(job)).outcome is Outcome.REFUSED
    set_owners(holder, [ShardOwner("me", 1), ShardOwner("me", 1)])
    assert logged(caplog, "works-moved") == []


# Guards against a job that is refused although an earlier owner may have started it: an owner in
# this process refuses it within the call that hands it over.
async def test_job_refused_by_the_next_owner_in_this_process_is_unknown() -> None:
    sent: list[tuple[str, OwnerMessage]] = []

    def send(owner: str, message: OwnerMessage) -> bool:
        sent.append((owner, message))
        if owner == "me" and isinstance(message, SubmitWork):
            holder.handle_notification("me", WorkRefused(message.work_id, 2, ID_IN_USE, 1))
        return True

    holder = Holder("me", send, lambda peer: 0.0, Metrics())
    set_owners(holder, [ShardOwner("o", 1)])
    ends: list[JobEnd] = []

    async def run() -> None:
        ends.append(await holder.run(make_job()))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        set_owners(holder, [ShardOwner("me", 2)])
    assert ends[0].outcome is Outcome.UNKNOWN
