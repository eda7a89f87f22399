"""Queueing, refusal and placement under load; each test describes the load that it models."""

from dataclasses import replace

import pytest
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.interfaces import EndKind, RunListing, ServerReport
from redwingport_dispatch.scheduling.admission import FITS_ON_NO_SERVER
from redwingport_dispatch.scheduling.history import CANCELLED_RUNS_TTL_S
from redwingport_dispatch.scheduling.work import Run, Work


def test_burst_of_long_jobs_does_not_delay_short_ones() -> None:
    """A burst of long route builds arrives with short stop checks among them."""
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    for number in range(5):
        harness.submit(f"long{number}", estimate_s=0.9, deadline_s=10)
    harness.submit("short", estimate_s=0.06, deadline_s=10)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    assert harness.effects.started[1].task_name == "short.0.0.0"


def test_long_stream_of_short_jobs_does_not_starve_a_long_one() -> None:
    """Without ageing, a steady stream of short jobs starves one that is fifteen times as long."""
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("running", estimate_s=0.06, deadline_s=60)
    harness.submit("long", estimate_s=0.9, deadline_s=60, target_s=20)
    for number in range(100):
        harness.submit(f"short{number}", estimate_s=0.06, deadline_s=60)
        harness.accept_all()
        harness.now += 0.06
        harness.end(harness.effects.started[-1])
    assert "long.0.0.0" in {run.task_name for run in harness.effects.started}


def test_started_wide_job_precedes_new_jobs() -> None:
    """Jobs of several tasks exceed the capacity; a partly completed job has no value."""
    harness = SchedulerHarness(servers=1, cpu_millis=14000)
    harness.submit("wide", tasks=4, estimate_s=0.2, deadline_s=10)
    harness.submit("other", tasks=2, estimate_s=0.1, deadline_s=10)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    harness.end(harness.effects.started[1])
    assert [run.task_name[:4] for run in harness.effects.started] == ["wide"] * 4


def test_work_item_with_slack_leaves_fast_servers_to_urgent_ones() -> None:
    """Of two servers of different kinds, one is more than twice as slow as the other."""
    harness = SchedulerHarness(servers=0)
    harness.add_server("fast", kind="a")
    harness.add_server("slow", kind="b")
    for _ in range(20):
        harness.scheduler.speeds.learn("fast", "a", 0.2, 0.14)
        harness.scheduler.speeds.learn("slow", "b", 0.2, 0.34)
    harness.submit("patient", target_s=1.0)
    harness.submit("urgent", target_s=0.25)
    assert [run.server_id for run in harness.effects.started] == ["slow", "fast"]


def harness_with_two_kinds(fast: int, slow: int) -> SchedulerHarness:
    """Return a harness with two kinds of servers, taking 0.7 and 1.7 times the declared time."""
    harness = SchedulerHarness(servers=0)
    for number in range(fast):
        harness.add_server(f"fast{number}", kind="a")
    for number in range(slow):
        harness.add_server(f"slow{number}", kind="b")
    for _ in range(20):
        harness.scheduler.speeds.learn("fast0", "a", 0.2, 0.14)
        harness.scheduler.speeds.learn("slow0", "b", 0.2, 0.34)
    harness.scheduler.speeds.refresh()
    return harness


def test_wide_long_job_waits_for_upcoming_slots_on_fast_servers() -> None:
    """A wide long job arrives while short tasks occupy the fast servers for some milliseconds.

    If it took the free slow servers at once, it would miss its target.
    """
    harness = harness_with_two_kinds(fast=4, slow=4)
    harness.submit("short", tasks=8, estimate_s=0.06, target_s=0.16)
    assert {run.server_id[:4] for run in harness.effects.started} == {"fast"}
    harness.submit("plan", tasks=4, estimate_s=0.9, target_s=1.5, deadline_s=10)
    assert len(harness.effects.started) == 8, "on a slow server it would take 1.5 s"
    harness.accept_all()
    harness.now += 0.04
    for run in list(harness.effects.started):
        harness.end(run)
    placed = [run.server_id[:4] for run in harness.effects.started[8:]]
    assert placed == ["fast"] * 4


def test_burst_fills_slow_servers_while_fast_ones_are_busy() -> None:
    """More short jobs arrive at once than the fast servers can end before the slow ones would."""
    harness = harness_with_two_kinds(fast=1, slow=1)
    for number in range(8):
        harness.submit(f"job{number}", estimate_s=0.2, target_s=0.38, deadline_s=10)
    assert {run.server_id for run in harness.effects.started} == {"fast0", "slow0"}


def test_job_does_not_wait_for_a_fast_server_with_long_runs() -> None:
    """Long runs occupy the fast server, and a short job would be late on the slow one."""
    harness = harness_with_two_kinds(fast=1, slow=1)
    harness.submit("long", tasks=2, estimate_s=0.9, target_s=1.2, deadline_s=10)
    assert [run.server_id for run in harness.effects.started] == ["fast0"] * 2
    harness.submit("short", estimate_s=0.2, target_s=0.3, deadline_s=10)
    assert harness.effects.started[-1].server_id == "slow0"


def test_job_that_cannot_be_done_in_time_is_refused_on_arrival() -> None:
    """In a burst beyond capacity, the last jobs are refused at once instead of timing out."""
    harness = SchedulerHarness(servers=1, cpu_millis=14000)
    for number in range(30):
        harness.submit(f"job{number}", tasks=2, estimate_s=0.5, deadline_s=1.5)
    refused = {job_id for job_id, _, _ in harness.effects.refused}
    assert "job29" in refused
    assert all(retry_after_s >= 1 for _, _, retry_after_s in harness.effects.refused)
    assert {"job0", "job1"} & refused == set()


def test_started_job_is_abandoned_instead_of_refused() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("job", tasks=2, estimate_s=0.5, target_s=1.1, deadline_s=1.1)
    harness.advance(0.8)
    assert harness.effects.refused == []
    assert harness.effects.abandoned == ["job"], "its second task comes too late"


def test_resubmitted_job_with_a_started_run_is_not_refused() -> None:
    """The first holder of the job has died; answering "not run" would be false."""
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("job", holder="dead", estimate_s=0.5)
    harness.accept_all()
    harness.scheduler.drop_holder("dead", harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.submit("blocker", estimate_s=5, deadline_s=10)
    harness.now += 1.3
    harness.submit("job", holder="other", estimate_s=0.5, deadline_s=0.2)
    harness.advance(0.1)
    assert harness.effects.refused == []


def test_server_that_fails_different_jobs_is_ejected() -> None:
    """A share of the servers fails every task, which would use up the attempts of many jobs."""
    harness = SchedulerHarness(servers=0)
    harness.add_server("bad", cpu_millis=7000)
    harness.add_server("good", cpu_millis=700000)
    failures = 0
    for number in range(12):
        harness.submit(f"job{number}")
        harness.accept_all()
        for run in list(harness.scheduler.run_by_task.values()):
            bad = run.server_id == "bad"
            failures += bad
            harness.end(run, EndKind.FAILED if bad else EndKind.DONE)
            harness.accept_all()
    assert 3 <= failures <= 4


def test_stalled_run_is_stopped_and_started_again() -> None:
    """Tasks on some servers make no progress while the servers answer normally."""
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=10)
    harness.accept_all()
    first = harness.effects.started[0]
    harness.now += 0.25
    harness.report("s0", percent=0)
    assert harness.effects.stopped == [first]
    harness.end(first, EndKind.STOPPED)
    assert len(harness.effects.started) == 2


def test_runs_of_a_suspended_owner_do_not_count_as_stalled() -> None:
    """The owner process is suspended between the sending of a report and its reading.

    The time of the suspension must not count as time without progress.
    """
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=10)
    harness.accept_all()
    report = ServerReport(harness.clock_ms + 10, runs=(RunListing("job.0.0.0", 1, 0),))
    harness.now += 2
    harness.scheduler.handle_report("s0", report, harness.now - 2, [], harness.now)
    assert harness.effects.stopped == []


def test_run_on_a_server_that_became_slow_is_relocated() -> None:
    """A sixth of the servers becomes seven times as slow while tasks run there."""
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=0.6, target_s=1.2)
    harness.accept_all()
    first = harness.effects.started[0]
    harness.now += 0.25
    harness.report(first.server_id, percent=5)
    assert harness.effects.stopped == [first]
    harness.end(first, EndKind.STOPPED)
    assert harness.effects.started[1].server_id != first.server_id


def test_slow_run_is_kept_when_no_other_server_would_end_it_sooner() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job", estimate_s=0.6, target_s=1.2)
    harness.accept_all()
    harness.now += 0.25
    harness.report("s0", percent=5)
    assert harness.effects.stopped == []


def test_run_declared_too_short_is_not_relocated() -> None:
    """Declared run times are off by a factor of 1.5."""
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=0.6, target_s=0.7)
    harness.accept_all()
    harness.now += 0.25
    harness.report(harness.effects.started[0].server_id, percent=27)
    assert harness.effects.stopped == []


def test_recently_slow_server_gets_no_urgent_task() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=0.6, target_s=1.2)
    harness.accept_all()
    slow = harness.effects.started[0]
    harness.now += 0.25
    harness.report(slow.server_id, percent=5)
    harness.end(slow, EndKind.STOPPED)
    harness.end(harness.effects.started[1])
    harness.now += 0.5
    harness.report(slow.server_id)
    harness.submit("urgent", estimate_s=0.2, target_s=0.5)
    assert harness.effects.started[2].server_id != slow.server_id


def test_run_declared_too_short_does_not_mark_its_server_as_slow() -> None:
    """At low load, a wide job arrives while runs on some servers take twice the declared time.

    The run times expected for its tasks must not grow by that.
    """
    harness = SchedulerHarness(servers=3)
    for number in range(3):
        harness.submit(f"other{number}", estimate_s=0.2, deadline_s=3, target_s=3)
    harness.accept_all()
    assert len({run.server_id for run in harness.effects.started}) == 2
    harness.now += 0.3
    for run in harness.effects.started:
        harness.report(run.server_id, percent=75)
    harness.submit("wide", tasks=3, estimate_s=0.5, target_s=1.0)
    expected = [run.expected_s for run in harness.effects.started[3:]]
    assert expected == [pytest.approx(0.5)] * 3


def test_slow_server_is_detected_by_the_progress_of_its_runs() -> None:
    """A share of the servers is several times as slow for some seconds."""
    harness = SchedulerHarness(servers=2)
    harness.submit("probe", estimate_s=0.2, deadline_s=10)
    harness.accept_all()
    slow = harness.effects.started[0].server_id
    harness.now += 0.4
    harness.report(slow, percent=20)
    harness.submit("urgent", estimate_s=0.2, target_s=0.5)
    assert harness.effects.started[1].server_id != slow


def test_backlog_of_a_period_without_owner_uses_capacity_left_by_new_jobs() -> None:
    """All processes were down for 0.6 s; then all waiting jobs arrive at once, already late.

    If late jobs that have to wait were held to their target like new ones, they would be refused
    on arrival, although the new jobs leave enough capacity for them.
    """
    harness = SchedulerHarness(servers=4, cpu_millis=14000)
    for number in range(12):
        harness.submit(f"late{number}", estimate_s=0.2, target_s=0.5, waited_s=0.6)
    for number in range(4):
        harness.submit(f"new{number}", estimate_s=0.2, target_s=0.5)
    ends: list[tuple[float, Run]] = []
    done_at_by_job: dict[str, float] = {}
    started_at = harness.now
    for _ in range(150):
        for run in harness.effects.started:
            if not run.accepted_at:
                harness.scheduler.handle_started(run, harness.clock_ms, harness.now)
                ends.append((harness.now + 0.2, run))
        for end_at, run in [item for item in ends if item[0] <= harness.now]:
            ends.remove((end_at, run))
            done_at_by_job[run.task_name.partition(".")[0]] = harness.now - started_at
            harness.end(run)
        harness.advance(0.01)
    assert all(done_at_by_job[f"new{number}"] <= 0.5 for number in range(4))
    assert harness.effects.refused == []
    assert len(done_at_by_job) == 16


def test_job_that_fits_on_no_server_is_refused() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("huge", cpu_millis=99000)
    assert harness.effects.refused[0][:2] == ("huge", "fits on no server")


def test_job_waits_until_a_new_owner_has_reports_of_its_servers() -> None:
    """A new owner has no reports of its servers yet, which must not count as having no server."""
    harness = SchedulerHarness(servers=1)
    harness.scheduler.server_by_id["s0"].acquired = False
    harness.submit("job")
    assert harness.effects.refused == []
    harness.report("s0")
    assert len(harness.effects.started) == 1


def test_accepted_jobs_are_on_time_in_a_burst_beyond_capacity() -> None:
    """Twice the capacity arrives for two seconds; the accepted jobs must not all be late."""
    harness = SchedulerHarness(servers=4, cpu_millis=14000)
    finished_in_time = finished_late = 0
    ends: list[tuple[float, object]] = []
    arrived_at: dict[str, float] = {}
    for step in range(400):
        job_id = f"job{step}"
        if step < 200 and step % 25 < 20:
            arrived_at[job_id] = harness.now
            harness.submit(job_id, estimate_s=0.2, target_s=0.38, deadline_s=1.5)
        for run in harness.effects.started:
            if not run.accepted_at:
                harness.scheduler.handle_started(run, harness.clock_ms, harness.now)
                ends.append((harness.now + 0.2, run))
        for end_at, run in [item for item in ends if item[0] <= harness.now]:
            ends.remove((end_at, run))
            before = harness.now - arrived_at[run.work.job_id]  # type: ignore[attr-defined]
            finished_in_time += before <= 0.38
            finished_late += before > 0.38
            harness.end(run)  # type: ignore[arg-type]
        harness.advance(0.01)
    capacity = 8 / 0.2 * 2
    assert finished_in_time >= 0.8 * capacity
    assert finished_late <= 0.1 * capacity


def test_task_that_would_miss_its_deadline_on_a_free_server_waits_for_a_faster_one() -> None:
    """A long task arrives while only a server of the slow kind is free."""
    harness = SchedulerHarness(servers=0)
    harness.add_server("fast", cpu_millis=7000, kind="a")
    harness.add_server("slow", cpu_millis=70000, kind="b")
    for _ in range(20):
        harness.scheduler.speeds.learn("fast", "a", 0.2, 0.14)
        harness.scheduler.speeds.learn("slow", "b", 0.2, 0.48)
    harness.submit("short", estimate_s=0.1, target_s=0.1)
    harness.submit("long", estimate_s=0.7, target_s=1.5, deadline_s=1.5)
    assert [run.server_id for run in harness.effects.started] == ["fast"]
    harness.accept_all()
    harness.now += 0.07
    harness.end(harness.effects.started[0])
    assert [run.server_id for run in harness.effects.started] == ["fast", "fast"]


def test_refused_work_item_is_not_started_when_resubmitted() -> None:
    """After a power loss of all processes, links recover and holders resubmit their work items."""
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("blocker", estimate_s=2, deadline_s=10, target_s=10)
    work = harness.submit("job", estimate_s=0.5, deadline_s=1.0, target_s=1.0)
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["job"]
    harness.accept_all()
    harness.end(harness.effects.started[0])
    harness.scheduler.submit(work, {}, True, harness.now)
    harness.advance(0.5)
    assert [run.task_name for run in harness.effects.started] == ["blocker.0.0.0"]
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["job", "job"]


def test_suspect_server_that_answers_a_stop_gets_tasks_at_once() -> None:
    """Servers leave a share of the orders unanswered and execute them late."""
    harness = SchedulerHarness(servers=1)
    harness.submit("lost")
    harness.lose_start(harness.effects.started[0])
    harness.submit("next")
    assert len(harness.effects.started) == 1, "a suspect server gets no task"
    harness.scheduler.handle_stopped(harness.effects.started[0], harness.now)
    assert [run.task_name[:5] for run in harness.effects.started] == ["lost.", "next."]
    assert "server-answered" in harness.effects.events


def test_slightly_late_wide_job_is_served_while_no_other_job_waits() -> None:
    """At low load, a job of many short tasks arrives while some servers are busy."""
    harness = SchedulerHarness(servers=2)
    harness.submit("running", tasks=3, estimate_s=0.2, target_s=0.4)
    harness.submit("wide", tasks=4, estimate_s=0.06, target_s=0.16)
    assert harness.effects.refused == []
    harness.submit("another", tasks=4, estimate_s=0.06, target_s=0.16)
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["another"], (
        "both would be late"
    )


def refuse_and_recover(more_offers: bool) -> tuple[SchedulerHarness, Work]:
    """Refuse a work item for lack of a server, and add a server then."""
    harness = SchedulerHarness(servers=0)
    work = harness.submit("job", more_offers=more_offers)
    assert len(harness.effects.refused) == 1
    harness.add_server("s0")
    return harness, work


def test_job_that_was_passed_on_to_another_shard_is_passed_on_again() -> None:
    """Guard against a second run: the job is resubmitted while the other shard still runs it."""
    harness, _ = refuse_and_recover(more_offers=True)
    harness.submit("job", holder="second", more_offers=True)
    assert [refusal[:2] for refusal in harness.effects.refused] == [("job", "no server")] * 2
    assert not harness.effects.started


def test_job_that_was_passed_on_and_started_nowhere_is_judged_anew_after_its_end() -> None:
    harness, work = refuse_and_recover(more_offers=True)
    harness.scheduler.cancel(work.key, harness.now, may_be_running=False)
    harness.submit("job", holder="second", more_offers=True)
    assert len(harness.effects.started) == 1


# Guards against a second run of a cancelled job, which the other shard has not stopped yet.
@pytest.mark.parametrize(
    ("after_s", "starts"), [(0.0, 0), (CANCELLED_RUNS_TTL_S - 0.1, 0), (CANCELLED_RUNS_TTL_S, 1)]
)
def test_job_that_was_passed_on_is_passed_on_until_its_runs_have_ended(
    after_s: float, starts: int
) -> None:
    harness, work = refuse_and_recover(more_offers=True)
    harness.scheduler.cancel(work.key, harness.now)
    harness.advance(after_s)
    harness.submit("job", holder="second", more_offers=True)
    assert len(harness.effects.started) == starts


def test_job_that_was_refused_without_another_offer_is_judged_anew() -> None:
    harness, _ = refuse_and_recover(more_offers=False)
    harness.submit("job", holder="second", more_offers=True)
    assert len(harness.effects.started) == 1


def test_job_that_was_passed_on_and_started_here_since_is_not_refused() -> None:
    """A job is refused only while nothing of it has started."""
    harness, _ = refuse_and_recover(more_offers=True)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("job", holder="second", more_offers=True)
    assert len(harness.effects.refused) == 1


def test_waiting_job_that_would_be_late_is_refused_while_others_wait() -> None:
    """Late jobs of a high priority kept the servers from long ones of a low priority."""
    harness = SchedulerHarness(servers=1, cpu_millis=14000)
    harness.submit("running", tasks=2, estimate_s=0.2, deadline_s=10)
    harness.submit("note", estimate_s=0.2, target_s=0.5, priority=1)
    harness.submit("long", estimate_s=0.5, target_s=1.3, priority=2)
    harness.submit("check", tasks=2, estimate_s=0.2, target_s=0.5)
    harness.advance(0.0)
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["note"]


def test_task_that_may_miss_its_deadline_on_a_slow_server_waits_for_a_fast_one() -> None:
    """Long tasks that were declared too short ran in vain on slow servers."""
    harness = harness_with_two_kinds(fast=1, slow=1)
    harness.submit("other", tasks=2, estimate_s=0.85, target_s=1.0, deadline_s=10)
    assert {run.server_id for run in harness.effects.started} == {"fast0"}
    harness.submit("long", estimate_s=0.7, target_s=1.5, deadline_s=1.5)
    assert len(harness.effects.started) == 2, "it may take 1.8 s on the slow server"
    harness.accept_all()
    harness.now += 0.6
    harness.end(harness.effects.started[0])
    assert harness.effects.started[-1].task_name == "long.0.0.0"
    assert harness.effects.started[-1].server_id == "fast0"


def test_job_refused_by_another_shard_is_accepted_only_where_it_need_not_wait() -> None:
    """Overloaded shards passed jobs on to each other, which made them all late."""
    harness = SchedulerHarness(servers=1, cpu_millis=14000)
    harness.submit("first", estimate_s=0.2, refused_for_load=True)
    harness.submit("own", estimate_s=0.2)
    harness.submit("second", estimate_s=0.2, refused_for_load=True)
    harness.submit("waiting", estimate_s=0.2)
    assert len(harness.effects.started) == 2
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["second"]


def test_large_job_is_not_overtaken_by_smaller_ones_that_arrive_later() -> None:
    """The largest jobs of a kind waited behind the others until it was too late for them."""
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.submit("running", estimate_s=0.4)
    harness.submit("large", estimate_s=0.9, target_s=1.5, deadline_s=3)
    harness.now += 0.3
    harness.submit("small", estimate_s=0.5, target_s=1.5, deadline_s=3)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    assert harness.effects.started[1].task_name == "large.0.0.0"


# Guards against idle servers beside a job that fails: its tasks waited for the one fast server.
def test_wide_job_uses_slow_servers_when_the_fast_ones_are_too_few() -> None:
    harness = harness_with_two_kinds(fast=1, slow=4)
    harness.submit("long", tasks=7, estimate_s=0.75, target_s=1.5, deadline_s=1.5)
    assert {run.server_id for run in harness.effects.started} > {"fast0"}


def resize(harness: SchedulerHarness, server_id: str, cpu_millis: int) -> None:
    """List a server with another capacity, as it does when its room shrinks or grows."""
    listing = harness.scheduler.server_by_id[server_id].listing
    harness.scheduler.set_server(replace(listing, cpu_millis=cpu_millis))


# Guards against starts into capacity that a server no longer has, also while more runs there.
def test_server_that_has_shrunk_below_its_runs_gets_no_task_until_one_fits() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=21000)
    for number in range(3):
        harness.submit(f"job{number}", deadline_s=9, target_s=9)
    harness.accept_all()
    first = list(harness.effects.started)
    resize(harness, "s0", 10000)
    assert harness.scheduler.server_by_id["s0"].free_cpu_millis == -11000
    harness.submit("next", deadline_s=9, target_s=9)
    for run in first[:2]:
        harness.end(run)
        assert harness.effects.started == first, "7000 and 7000 do not fit into 10000"
    harness.end(first[2])
    assert [run.task_name for run in harness.effects.started[3:]] == ["next.0.0.0"]
    assert not harness.effects.refused


# Guards against leaving capacity unused that a server has got back.
def test_server_that_has_grown_gets_as_many_tasks_as_fit() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    for number in range(3):
        harness.submit(f"job{number}", deadline_s=9, target_s=9)
    assert len(harness.effects.started) == 1
    resize(harness, "s0", 21000)
    harness.advance(0.01)
    assert len(harness.effects.started) == 3


# Guards against a forecast that subtracts what is missing on one server from the free capacity of
# another.
def test_capacity_that_a_shrunk_server_lacks_is_not_missing_elsewhere() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=14000)
    for number in range(4):
        harness.submit(f"job{number}", estimate_s=1.0, deadline_s=9, target_s=9)
    harness.accept_all()
    resize(harness, "s0", 1000)
    resize(harness, "s1", 21000)
    harness.submit("fits", deadline_s=0.5, target_s=0.4)
    assert harness.effects.started[-1].task_name == "fits.0.0.0"


# Guards against accepting jobs that time out: the ends of runs on a server that has shrunk below
# what runs there were counted as slots that become free.
def test_runs_whose_end_frees_no_slot_do_not_shorten_the_forecast() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=14000)
    for number, estimate_s in enumerate((0.2, 0.2, 2.0, 2.0)):
        harness.submit(f"job{number}", estimate_s=estimate_s, deadline_s=9, target_s=9)
    harness.accept_all()
    shrunk = harness.effects.started[0].server_id
    assert harness.effects.started[1].server_id == shrunk
    resize(harness, shrunk, 10000)
    harness.submit("second", deadline_s=9, target_s=9)
    harness.submit("late", deadline_s=0.7, target_s=0.6)
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["late"]
    resize(harness, shrunk, 14000)
    harness.submit("again", deadline_s=0.7, target_s=0.6)
    assert [job_id for job_id, _, _ in harness.effects.refused] == ["late"]


def test_job_that_fits_on_no_server_any_more_is_refused() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=14000)
    for server_id in ("s0", "s1"):
        resize(harness, server_id, 5000)
    harness.submit("large")
    assert [(job_id, reason) for job_id, reason, _ in harness.effects.refused] == [
        ("large", FITS_ON_NO_SERVER)
    ]
    resize(harness, "s1", 14000)
    harness.submit("again")
    assert [run.task_name for run in harness.effects.started] == ["again.0.0.0"]
