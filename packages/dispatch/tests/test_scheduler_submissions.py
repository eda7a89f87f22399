"""Work items that are submitted again, and submissions that share the id of a job."""

from typing import Any

import pytest
from scheduling_fakes import HOLDER, SERVICE, SchedulerHarness

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerReport,
    TaskShape,
)
from redwingport_dispatch.scheduling.admission import ID_IN_USE
from redwingport_dispatch.scheduling.history import CANCELLED_RUNS_TTL_S
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.work import Task, Work


# Guards against a job that is given up at the deadline of a client that has left, while another
# one with a later deadline waits for it.
def test_resubmitted_work_item_is_kept_until_its_later_deadline() -> None:
    harness = SchedulerHarness(servers=0)
    harness.add_server("s0", acquired=False)
    work = harness.submit("job", resumed=True, deadline_s=5)
    harness.submit("job", resumed=True, deadline_s=15, work_id=work.work_id)
    harness.advance(10)
    assert harness.effects.abandoned == []
    harness.advance(10)
    assert harness.effects.abandoned == ["job"]


# Guards against a job that is displaced by another one with the same id, of another queue or with
# another content.
def test_other_job_with_the_id_of_an_open_one_is_refused() -> None:
    harness = SchedulerHarness()
    harness.submit("job", identity="first", holder="one")
    harness.submit("job", identity="second", holder="two")
    assert [(job, reason) for job, reason, _ in harness.effects.refused] == [("job", ID_IN_USE)]
    assert harness.effects.abandoned == []
    harness.accept_all()
    [run] = harness.effects.started
    harness.end(run)
    assert harness.effects.done == [("job", 0)]
    harness.submit("job", identity="second", holder="two")
    assert len(harness.effects.started) == 2


# Guards against a refusal of the job that runs: after a change of owner, the other one arrives
# here first.
def test_job_that_an_earlier_owner_may_have_started_is_kept() -> None:
    harness = SchedulerHarness(servers=1, settled_s=1.0)
    harness.submit("job", identity="second", holder="two")
    harness.submit("job", identity="first", holder="one", resumed=True, placed={0: "s0"})
    assert len(harness.effects.refused) == 1
    [work] = harness.scheduler.work_by_key.values()
    assert work.identity == "first"


# Guards against a refusal, which promises that the job has not run, of one that has.
def test_job_that_has_started_is_not_refused_for_its_id() -> None:
    harness = SchedulerHarness()
    work = harness.submit("job", identity="first", holder="one")
    harness.accept_all()
    harness.scheduler.cancel(work.key, harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", identity="second", holder="two")
    harness.submit("job", identity="first", holder="three")
    assert harness.effects.refused == []
    assert harness.effects.abandoned == ["job"]
    [work] = harness.scheduler.work_by_key.values()
    assert work.identity == "second"


# Guards against a job that is passed on to another shard, where it runs a second time, because
# another one with its id was refused here.
def test_job_is_not_passed_on_after_another_one_with_its_id() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("other")
    harness.submit("job", identity="first", holder="one", more_offers=True)
    harness.submit("job", identity="second", holder="two", more_offers=True)
    assert len(harness.effects.refused) == 1
    harness.submit("job", identity="first", holder="three", more_offers=True)
    assert len(harness.effects.refused) == 1


# Guards against a job that takes the place of another one of its holder, whose cancellation was
# lost, before the runs of that one have ended.
def test_job_waits_for_the_runs_of_an_earlier_one_of_its_holder() -> None:
    harness = SchedulerHarness()
    harness.submit("job", identity="first")
    harness.accept_all()
    harness.submit("job", identity="second")
    [run] = harness.effects.started
    assert harness.effects.stopped == [run]
    harness.end(run, EndKind.STOPPED)
    assert [run.identity for run in harness.effects.started] == ["first", "second"]


def drop_and_end(harness: SchedulerHarness, identity: str) -> None:
    """Run a job whose client leaves just before its task is done."""
    work = harness.submit("job", identity=identity, holder="one")
    harness.accept_all()
    harness.scheduler.cancel(work.key, harness.now)
    harness.end(harness.effects.started[-1])


# Guards against a job that is shown as complete by the late end of another one with its id.
def test_job_is_not_completed_by_the_end_of_another_one_with_its_id() -> None:
    harness = SchedulerHarness()
    drop_and_end(harness, "first")
    harness.submit("job", identity="second", holder="two")
    assert harness.effects.done == []
    assert [run.number for run in harness.effects.started] == [1, 2]
    harness.accept_all()
    harness.end(harness.effects.started[1])
    assert harness.effects.done == [("job", 0)]


# Guards against tasks that run again although the client has only sent the same job again.
def test_job_that_is_sent_again_is_completed_by_the_end_of_its_first_run() -> None:
    harness = SchedulerHarness()
    drop_and_end(harness, "first")
    harness.submit("job", identity="first", holder="two")
    assert harness.effects.done == [("job", 0)]


# Guards against a job that is shown as complete by the end of a run which the holder was not told
# of: it may have been ordered for another job with the same id.
@pytest.mark.parametrize(("server", "number"), [("s1", 1), ("s0", 2)])
@pytest.mark.parametrize("early", [False, True])
def test_resumed_task_is_not_completed_by_an_unknown_run(
    server: str, number: int, early: bool
) -> None:
    harness = SchedulerHarness(servers=2)
    for server_id in ("s0", "s1"):
        harness.scheduler.server_by_id[server_id].acquired = False
    end = RunEnd(1, "job.0.0.0", number, EndKind.DONE)
    if early:
        harness.report(server, [end])
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.8, deadline_s=9)
    if not early:
        harness.report(server, [end])
    assert harness.effects.done == []
    assert not harness.effects.started
    harness.report("s0")
    harness.report("s1")
    [run] = harness.effects.started
    assert run.number > number


# Guards against a job that is shown as complete by the run of another one with its id.
def test_resumed_task_does_not_adopt_an_unknown_run() -> None:
    harness = SchedulerHarness(servers=2)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s1", report, harness.now, [], harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.8, deadline_s=9)
    assert "run-adopted" not in harness.effects.events
    harness.advance(0.3)
    [run] = harness.effects.stopped
    assert not harness.effects.started
    harness.end(run)
    assert harness.effects.done == []
    assert [run.number for run in harness.effects.started] == [2]


# Guards against a second run of a task whose end was reported before the holder was told of it.
def test_end_of_a_run_that_the_holder_names_later_completes_its_task() -> None:
    harness = SchedulerHarness(servers=1)
    harness.scheduler.server_by_id["s0"].acquired = False
    work = harness.submit("job", resumed=True, deadline_s=9)
    harness.report("s0", [RunEnd(1, "job.0.0.0", 1, EndKind.DONE)])
    assert harness.effects.done == []
    harness.submit("job", resumed=True, placed={0: "s0"}, work_id=work.work_id)
    assert harness.effects.done == [("job", 0)]
    assert not harness.scheduler.work_by_key
    harness.advance(2)
    assert not harness.effects.started


# Guards against a second run of a task whose run was presumed over and has completed it.
def test_late_end_of_a_run_that_was_presumed_over_completes_its_task() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("job", deadline_s=9)
    harness.accept_all()
    [run] = harness.effects.started
    harness.scheduler.handle_unreachable("s0", OrderFailure.NO_ANSWER, harness.now)
    harness.advance(2)
    assert "run-presumed-over" in harness.effects.events
    assert len(harness.effects.started) == 1
    harness.report("s0", [RunEnd(1, run.task_name, run.number, EndKind.DONE)])
    assert harness.effects.done == [("job", 0)]
    assert len(harness.effects.started) == 1


# Guards against a second run of a job that another shard runs: the mark that it was passed on was
# lost when a second request of its id, which was passed on as well, had ended.
def test_job_is_passed_on_until_all_of_its_requests_that_were_have_ended() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("other", estimate_s=2, deadline_s=9, target_s=9)
    first = harness.submit("job", target_s=0.5, more_offers=True)
    second = harness.submit("job", holder="two", more_offers=True)
    assert len(harness.effects.refused) == 2
    harness.scheduler.cancel(second.key, harness.now, may_be_running=False)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    third = harness.submit("job", holder="three", more_offers=True)
    assert len(harness.effects.refused) == 3
    harness.scheduler.cancel(first.key, harness.now, may_be_running=False)
    harness.scheduler.cancel(third.key, harness.now, may_be_running=False)
    harness.submit("job", holder="four", more_offers=True)
    assert len(harness.effects.started) == 2


# Guards against a second run of a task that another owner has started, while this one still knows
# an earlier run of it, whose end it was not told.
@pytest.mark.parametrize("early", [False, True])
def test_resumed_task_adopts_the_run_that_followed_one_known_here(early: bool) -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    dropped = harness.submit("job", holder="one")
    harness.accept_all()
    [stale] = harness.effects.started
    harness.scheduler.cancel(dropped.key, harness.now)
    other = {"s0": "s1", "s1": "s0"}[stale.server_id]
    harness.scheduler.server_by_id[other].acquired = False
    runs = (RunListing("job.0.0.0", 2, 10),)
    report = ServerReport(harness.clock_ms, runs=runs)

    def submit() -> None:
        work = Work(
            holder="two",
            work_id=100,
            job_id="job",
            step=0,
            service=SERVICE,
            spec="",
            shape=TaskShape(7000, 64, 0, 0.2),
            priority=0,
            attempts=3,
            received_at=harness.now,
            target_at=harness.now + 5,
            deadline_at=harness.now + 9,
            identity="identity",
            task_by_index={0: Task(0, 3, last_run=(other, 2))},
        )
        harness.scheduler.submit(work, {0: other}, True, harness.now, 0.8)

    if early:
        harness.scheduler.handle_report(other, report, harness.now, [], harness.now)
    submit()
    harness.end(stale, EndKind.STOPPED)
    if not early:
        harness.scheduler.handle_report(other, report, harness.now, [], harness.now)
    harness.advance(0.05)
    assert harness.effects.started == [stale]
    assert harness.effects.events.count("run-adopted") == 1


# Guards against a task that runs twice: its job was given up while a server of an earlier owner
# had not listed its runs yet, and was then submitted again, or another one with its id.
@pytest.mark.parametrize("identity", ["identity", "other"])
def test_task_waits_for_the_runs_of_a_job_with_its_id_that_was_given_up(identity: str) -> None:
    harness = SchedulerHarness(servers=1)
    harness.add_server("s1", acquired=False)
    harness.submit("job", resumed=True, placed={0: "s1"}, deadline_s=0.3, target_s=0.3)
    harness.advance(0.31)
    assert harness.effects.abandoned == ["job"]
    harness.submit("job", holder="second", identity=identity, deadline_s=5, target_s=5)
    harness.advance(0.1)
    assert harness.effects.started == []
    harness.report("s1")
    harness.advance(0.01)
    assert [run.task_name for run in harness.effects.started] == ["job.0.0.0"]


# Guards against a task that runs twice: a job with its id comes from an earlier owner and is
# refused, and its runs are still on a server of that owner.
def test_queued_task_waits_for_the_runs_of_a_refused_job_with_its_id() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("first", estimate_s=0.4)
    harness.accept_all()
    kept = harness.submit("job", tasks=2, identity="other", deadline_s=5, target_s=5)
    kept.ever_started = True
    harness.add_server("s1", acquired=False)
    harness.submit("job", holder="second", resumed=True, placed={0: "s1"})
    assert [job for job, _, _ in harness.effects.refused] == ["job"]
    harness.end(harness.effects.started[0])
    harness.advance(0.1)
    assert [run.task_name for run in harness.effects.started] == ["first.0.0.0"]
    harness.report("s1")
    harness.advance(0.01)
    assert len(harness.effects.started) == 3


# Guards against work items that go on although their holder has ended them, which it has said over
# a link that was reset.
def test_work_items_that_their_holder_does_not_list_are_cancelled() -> None:
    harness = SchedulerHarness()
    ended = harness.submit("ended")
    kept = harness.submit("kept")
    other = harness.submit("other", holder="other")
    harness.accept_all()
    assert harness.scheduler.cancel_others(HOLDER, {kept.key}, harness.now) == 1
    assert set(harness.scheduler.work_by_key) == {kept.key, other.key}
    assert [run.task_name for run in harness.effects.stopped] == [ended.task_name(0)]
    assert harness.scheduler.cancel_others(HOLDER, {kept.key}, harness.now) == 0


# Guards against a job that is passed on for good, as the message about its end was lost.
def test_job_whose_holder_does_not_list_it_is_passed_on_for_a_limited_time() -> None:
    harness = SchedulerHarness(servers=0)
    work = harness.submit("job", more_offers=True, deadline_s=60, target_s=50)
    harness.add_server("s0")
    harness.scheduler.cancel_others(HOLDER, {work.key}, harness.now)
    harness.advance(CANCELLED_RUNS_TTL_S)
    harness.submit("job", holder="second", more_offers=True)
    assert not harness.effects.started
    harness.scheduler.cancel_others(HOLDER, set(), harness.now)
    harness.scheduler.cancel_others("second", set(), harness.now)
    harness.advance(CANCELLED_RUNS_TTL_S)
    harness.submit("job", holder="third", more_offers=True)
    assert len(harness.effects.started) == 1


# Guards against further runs of a task that has used up its attempts, as the message about it was
# lost with the link.
def test_failed_work_item_is_reported_again_when_it_is_resubmitted() -> None:
    harness = SchedulerHarness(servers=1)
    work = harness.submit("job", attempts=1)
    harness.accept_all()
    harness.end(harness.effects.started[0], EndKind.FAILED)
    assert harness.effects.failed == [("job", 0)]
    harness.submit("job", attempts=1, work_id=work.work_id, resumed=True, placed={0: "s0"})
    harness.advance(2.0)
    assert harness.effects.failed == [("job", 0)] * 2
    assert len(harness.effects.started) == 1


# Guards against a request that takes its job back from a later one by which it was displaced, as
# the message about it was lost with the link.
def test_abandoned_work_item_is_abandoned_again_when_it_is_resubmitted() -> None:
    harness = SchedulerHarness(servers=1)
    first = harness.submit("job", holder="one", deadline_s=9)
    harness.accept_all()
    second = harness.submit("job", holder="two", deadline_s=9)
    assert harness.effects.abandoned == ["job"]
    harness.submit(
        "job", holder="one", work_id=first.work_id, deadline_s=9, resumed=True, placed={0: "s0"}
    )
    assert harness.effects.abandoned == ["job"] * 2
    assert list(harness.scheduler.work_by_key) == [second.key]


# Guards against a second run of a job whose first holder is out of reach, and may have it run by
# another owner until its deadline.
def test_job_of_a_holder_out_of_reach_waits_until_its_runs_are_over() -> None:
    harness = SchedulerHarness()
    harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.scheduler.drop_holder("one", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", holder="two", deadline_s=10.0)
    harness.advance(3.9)
    assert len(harness.effects.started) == 1
    harness.advance(0.3)
    assert len(harness.effects.started) == 2


# Guards against clients that wait for the deadline of a job whose holder is known to have ended.
def test_job_of_a_holder_that_has_ended_is_started_at_once() -> None:
    harness = SchedulerHarness()
    harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.scheduler.drop_holder("one", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", holder="two", deadline_s=10.0)
    harness.advance(0.1)
    assert len(harness.effects.started) == 1
    harness.scheduler.drop_holder("one", harness.now, has_ended=True)
    harness.advance(0.1)
    assert len(harness.effects.started) == 2


# Guards against the same wait when the holder is heard again and has ended the job.
def test_job_that_a_holder_has_ended_out_of_reach_is_started_at_once() -> None:
    harness = SchedulerHarness()
    harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.scheduler.drop_holder("one", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", holder="two", deadline_s=10.0)
    harness.scheduler.cancel_others("one", set(), harness.now)
    harness.advance(0.1)
    assert len(harness.effects.started) == 2


# Guards against a holder that has to wait for itself after a silence.
def test_holder_that_is_heard_again_goes_on_with_its_job() -> None:
    harness = SchedulerHarness()
    work = harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.scheduler.drop_holder("one", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", holder="one", deadline_s=3.0, work_id=work.work_id)
    harness.advance(0.1)
    assert len(harness.effects.started) == 2


# Guards against a refusal, which promises that the job has not run, of one that may run elsewhere.
def test_job_of_a_holder_out_of_reach_is_not_refused() -> None:
    harness = SchedulerHarness()
    harness.submit("job", holder="one", deadline_s=3.0)
    harness.scheduler.drop_holder("one", harness.now)
    harness.submit("job", holder="two", deadline_s=1.0)
    harness.advance(1.0)
    assert harness.effects.refused == []
    assert harness.effects.abandoned == ["job"]


# Guards against a second run of a job that an owner beyond a cut still runs for its first holder:
# here, no more is known of it than a run that neither this owner nor the holder has ordered.
@pytest.mark.parametrize("has_ended", [True, False])
@pytest.mark.parametrize("reaches_majority", [True, False])
def test_job_that_may_run_beyond_a_cut_is_started_by_the_majority_only(
    has_ended: bool, reaches_majority: bool
) -> None:
    harness = SchedulerHarness(servers=1)
    harness.reaches_majority = reaches_majority
    ends = (RunEnd(1, "job.0.0.0", 1, EndKind.DONE),)
    runs = (RunListing("job.0.0.0", 1, 10),)
    report = (
        ServerReport(harness.clock_ms, ends=ends)
        if has_ended
        else ServerReport(harness.clock_ms, runs=runs)
    )
    harness.scheduler.handle_report("s0", report, harness.now, list(report.ends), harness.now)
    harness.submit("job", deadline_s=5.0)
    harness.advance(0.3)
    if not has_ended:
        harness.report("s0", [RunEnd(1, "job.0.0.0", 1, EndKind.STOPPED)])
    harness.advance(0.3)
    assert [run.number for run in harness.effects.started] == ([2] if reaches_majority else [])
    assert harness.effects.abandoned == ([] if reaches_majority else ["job"])
    assert harness.effects.refused == []


# Guards against a refusal, and an offer to another shard, of a job of which an earlier owner may
# have started tasks, because it was submitted again.
@pytest.mark.parametrize("settled_s", [0.0, 1.0])
def test_job_sent_again_after_a_change_of_owner_is_not_refused(settled_s: float) -> None:
    harness = SchedulerHarness(servers=0, settled_s=settled_s)
    harness.submit("job", holder="one", resumed=True, placed={0: "s0"}, deadline_s=9)
    second = harness.submit("job", holder="two", more_offers=True, deadline_s=9)
    harness.advance(2.0)
    assert harness.effects.abandoned == ["job"]
    assert harness.effects.refused == []
    assert list(harness.scheduler.work_by_key) == [second.key]


# Guards against a second run of a job whose first holder is heard again and has not ended it:
# until the holder submits it here, another owner may go on with it.
def test_job_that_a_holder_heard_again_still_has_is_not_started() -> None:
    harness = SchedulerHarness()
    first = harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.scheduler.drop_holder("one", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("job", holder="two", deadline_s=10.0)
    harness.scheduler.cancel_others("one", {first.key}, harness.now)
    harness.advance(0.1)
    assert len(harness.effects.started) == 1


# Guards against a second run of a task that an earlier owner has started at the next lifetime of a
# server: what that server listed before contact was lost is no evidence.
def test_resumed_task_waits_for_a_server_that_is_out_of_reach_since_its_report() -> None:
    harness = SchedulerHarness()
    harness.scheduler.handle_unreachable("s1", OrderFailure.NO_ANSWER, harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.3, deadline_s=10.0)
    harness.advance(0.1)
    assert harness.effects.started == []
    harness.report("s1")
    assert len(harness.effects.started) == 1


# Guards against the same when an answer that names no runs has ended the suspicion.
def test_resumed_task_waits_for_the_list_of_a_server_that_answers_again() -> None:
    harness = SchedulerHarness()
    harness.submit("other", deadline_s=10.0)
    run = harness.effects.started[0]
    harness.scheduler.handle_unreachable(run.server_id, OrderFailure.NO_ANSWER, harness.now)
    harness.scheduler.handle_started(run, harness.clock_ms, harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.3, deadline_s=10.0)
    harness.advance(0.1)
    assert harness.effects.started == [run]
    harness.report(run.server_id)
    assert len(harness.effects.started) == 2


class CountedServers(dict[str, ServerState]):
    """Count the servers that were looked at in passes over all of them."""

    looked_at = 0

    def values(self) -> Any:  # type: ignore[override]
        for server in super().values():
            self.looked_at += 1
            yield server


# Guards against a new owner that looks at all servers for each waiting task, at each report, while
# one server does not answer.
def test_report_looks_at_the_servers_once_for_all_waiting_tasks() -> None:
    counts = []
    for jobs in (1, 50):
        harness = SchedulerHarness(servers=10)
        harness.add_server("silent", acquired=False)
        for number in range(jobs):
            harness.submit(f"job{number}", resumed=True, unheard_s=0.5, deadline_s=9)
        servers = CountedServers(harness.scheduler.server_by_id)
        harness.scheduler.server_by_id = servers
        harness.report("s0")
        assert harness.effects.started == []
        counts.append(servers.looked_at)
    assert counts[0] == counts[1]


# Guards against a job that waits until its deadline although its first holder is heard again, is
# told once more that it was displaced, and has ended it.
def test_job_is_started_when_its_displaced_holder_has_ended_it_after_a_silence() -> None:
    harness = SchedulerHarness()
    first = harness.submit("job", holder="one", deadline_s=9)
    harness.accept_all()
    harness.submit("job", holder="two", deadline_s=20, target_s=18)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.scheduler.drop_holder("one", harness.now)
    harness.advance(0.5)
    harness.scheduler.cancel_others("one", {first.key}, harness.now)
    harness.submit("job", holder="one", work_id=first.work_id, deadline_s=9, resumed=True)
    assert harness.effects.abandoned == ["job"] * 2
    harness.scheduler.cancel(first.key, harness.now)
    harness.advance(CANCELLED_RUNS_TTL_S + 0.1)
    assert len(harness.effects.started) == 2


# Guards against a task that runs twice when its earlier owner has raised its token against this
# one: the server that has accepted the last known run listed its runs before that.
def test_resumed_task_waits_for_a_list_of_the_server_of_its_last_run() -> None:
    harness = SchedulerHarness()
    harness.advance(0.3)
    harness.submit("job", resumed=True, placed={0: "s0"}, deadline_s=10.0)
    harness.advance(0.3)
    assert harness.effects.started == []
    harness.report("s0")
    assert len(harness.effects.started) == 1
