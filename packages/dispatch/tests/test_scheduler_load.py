"""Who waits, who is refused and where work goes; each test names the load that it answers."""

import pytest
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.interfaces import EndKind, RunListing, ServerReport
from redwingport_dispatch.scheduling.work import Run


def test_burst_of_long_jobs_does_not_hold_up_short_ones() -> None:
    """A burst of route builds with stop checks among them."""
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    for number in range(5):
        cell.submit(f"long{number}", estimate_s=0.9, deadline_s=10)
    cell.submit("short", estimate_s=0.06, deadline_s=10)
    cell.accept_all()
    cell.end(cell.effects.started[0])
    assert cell.effects.started[1].task_name == "short.0.0.0"


def test_long_stream_of_short_jobs_does_not_starve_a_long_one() -> None:
    """Short jobs for many seconds, beside one that is fifteen times as long."""
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    cell.submit("running", estimate_s=0.06, deadline_s=60)
    cell.submit("long", estimate_s=0.9, deadline_s=60, target_s=20)
    for number in range(100):
        cell.submit(f"short{number}", estimate_s=0.06, deadline_s=60)
        cell.accept_all()
        cell.now += 0.06
        cell.end(cell.effects.started[-1])
    assert "long.0.0.0" in {run.task_name for run in cell.effects.started}


def test_wide_job_that_has_begun_goes_before_new_ones() -> None:
    """More jobs than room, each of several tasks: half-done jobs are worth nothing."""
    cell = SchedulerHarness(servers=1, cpu_millis=14000)
    cell.submit("wide", tasks=4, estimate_s=0.2, deadline_s=10)
    cell.submit("other", tasks=2, estimate_s=0.1, deadline_s=10)
    cell.accept_all()
    cell.end(cell.effects.started[0])
    cell.end(cell.effects.started[1])
    assert [run.task_name[:4] for run in cell.effects.started] == ["wide"] * 4


def test_work_with_time_leaves_the_fast_servers_to_work_without() -> None:
    """Servers of two kinds, one of them twice as slow."""
    cell = SchedulerHarness(servers=0)
    cell.add_server("fast", kind="a")
    cell.add_server("slow", kind="b")
    for _ in range(20):
        cell.scheduler.speeds.learn("fast", "a", 0.2, 0.14)
        cell.scheduler.speeds.learn("slow", "b", 0.2, 0.34)
    cell.submit("patient", target_s=1.0)
    cell.submit("urgent", target_s=0.25)
    assert [run.server_id for run in cell.effects.started] == ["slow", "fast"]


def two_kinds(fast: int, slow: int) -> SchedulerHarness:
    """Return servers of two kinds whose speeds are known: 0.7 and 1.7 times the declared time."""
    cell = SchedulerHarness(servers=0)
    for number in range(fast):
        cell.add_server(f"fast{number}", kind="a")
    for number in range(slow):
        cell.add_server(f"slow{number}", kind="b")
    for _ in range(20):
        cell.scheduler.speeds.learn("fast0", "a", 0.2, 0.14)
        cell.scheduler.speeds.learn("slow0", "b", 0.2, 0.34)
    cell.scheduler.speeds.refresh()
    return cell


def test_wide_long_job_waits_for_fast_servers_that_short_tasks_are_about_to_leave() -> None:
    """A truck load plan comes while stop checks fill the fast servers for some milliseconds."""
    cell = two_kinds(fast=4, slow=4)
    cell.submit("short", tasks=8, estimate_s=0.06, target_s=0.16)
    assert {run.server_id[:4] for run in cell.effects.started} == {"fast"}
    cell.submit("plan", tasks=4, estimate_s=0.9, target_s=1.5, deadline_s=10)
    assert len(cell.effects.started) == 8, "on a slow server it would take 1.5 s"
    cell.accept_all()
    cell.now += 0.04
    for run in list(cell.effects.started):
        cell.end(run)
    placed = [run.server_id[:4] for run in cell.effects.started[8:]]
    assert placed == ["fast"] * 4


def test_burst_fills_the_slow_servers_when_the_fast_ones_stay_taken() -> None:
    """More short jobs at once than the fast servers can end before the slow ones would."""
    cell = two_kinds(fast=1, slow=1)
    for number in range(8):
        cell.submit(f"job{number}", estimate_s=0.2, target_s=0.38, deadline_s=10)
    assert {run.server_id for run in cell.effects.started} == {"fast0", "slow0"}


def test_job_does_not_wait_for_a_fast_server_that_is_taken_for_long() -> None:
    """Long runs on the fast server, and a short job that is late on the slow one."""
    cell = two_kinds(fast=1, slow=1)
    cell.submit("long", tasks=2, estimate_s=0.9, target_s=1.2, deadline_s=10)
    assert [run.server_id for run in cell.effects.started] == ["fast0"] * 2
    cell.submit("short", estimate_s=0.2, target_s=0.3, deadline_s=10)
    assert cell.effects.started[-1].server_id == "slow0"


def test_job_that_cannot_be_done_in_time_is_refused_when_it_comes() -> None:
    """A burst beyond capacity: the last comers learn at once that there is no room."""
    cell = SchedulerHarness(servers=1, cpu_millis=14000)
    for number in range(30):
        cell.submit(f"job{number}", tasks=2, estimate_s=0.5, deadline_s=1.5)
    refused = {job_id for job_id, _, _ in cell.effects.refused}
    assert "job29" in refused
    assert all(retry_after_s >= 1 for _, _, retry_after_s in cell.effects.refused)
    assert {"job0", "job1"} & refused == set()


def test_nothing_that_has_started_is_refused() -> None:
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    cell.submit("job", tasks=2, estimate_s=0.5, target_s=1.1, deadline_s=1.1)
    cell.advance(0.8)
    assert cell.effects.refused == []
    assert cell.effects.abandoned == ["job"], "its second task comes too late"


def test_job_sent_again_after_something_of_it_started_is_not_refused() -> None:
    """Its first holder has died; the answer "not run" would be false."""
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    cell.submit("job", holder="dead", estimate_s=0.5)
    cell.accept_all()
    cell.scheduler.drop_holder("dead", cell.now)
    cell.end(cell.effects.started[0], EndKind.STOPPED)
    cell.submit("blocker", estimate_s=5, deadline_s=10)
    cell.now += 1.3
    cell.submit("job", holder="other", estimate_s=0.5, deadline_s=0.2)
    cell.advance(0.1)
    assert cell.effects.refused == []


def test_server_that_fails_different_jobs_gets_no_more_for_a_while() -> None:
    """Servers that fail all that they start, a share of all servers."""
    cell = SchedulerHarness(servers=0)
    cell.add_server("bad", cpu_millis=7000)
    cell.add_server("good", cpu_millis=700000)
    failures = 0
    for number in range(12):
        cell.submit(f"job{number}")
        cell.accept_all()
        for run in list(cell.scheduler.run_by_task.values()):
            bad = run.server_id == "bad"
            failures += bad
            cell.end(run, EndKind.FAILED if bad else EndKind.DONE)
            cell.accept_all()
    assert 3 <= failures <= 4


def test_run_that_stands_still_is_stopped_and_run_elsewhere() -> None:
    """Tasks on some servers stand still while the servers answer well."""
    cell = SchedulerHarness(servers=1)
    cell.submit("job", deadline_s=10)
    cell.accept_all()
    first = cell.effects.started[0]
    cell.now += 0.25
    cell.report("s0", percent=0)
    assert cell.effects.stopped == [first]
    cell.end(first, EndKind.STOPPED)
    assert len(cell.effects.started) == 2


def test_runs_of_an_owner_that_was_frozen_are_not_taken_to_stand_still() -> None:
    """The answer was given before the owner fell asleep, and is read after it woke."""
    cell = SchedulerHarness(servers=1)
    cell.submit("job", deadline_s=10)
    cell.accept_all()
    report = ServerReport(cell.clock_ms + 10, runs=(RunListing("job.0.0.0", 1, 0),))
    cell.now += 2
    cell.scheduler.handle_report("s0", report, cell.now - 2, [], cell.now)
    assert cell.effects.stopped == []


def test_run_on_a_server_that_has_turned_slow_is_moved_to_a_fast_one() -> None:
    """A sixth of the servers turns seven times as slow while tasks are at work there."""
    cell = SchedulerHarness(servers=2)
    cell.submit("job", estimate_s=0.6, target_s=1.2)
    cell.accept_all()
    first = cell.effects.started[0]
    cell.now += 0.25
    cell.report(first.server_id, percent=5)
    assert cell.effects.stopped == [first]
    cell.end(first, EndKind.STOPPED)
    assert cell.effects.started[1].server_id != first.server_id


def test_run_that_is_slow_is_left_when_no_other_server_would_end_it_sooner() -> None:
    cell = SchedulerHarness(servers=1)
    cell.submit("job", estimate_s=0.6, target_s=1.2)
    cell.accept_all()
    cell.now += 0.25
    cell.report("s0", percent=5)
    assert cell.effects.stopped == []


def test_run_that_was_declared_too_short_is_left_where_it_is() -> None:
    """Declared run times are off by a factor of 1.5."""
    cell = SchedulerHarness(servers=2)
    cell.submit("job", estimate_s=0.6, target_s=0.7)
    cell.accept_all()
    cell.now += 0.25
    cell.report(cell.effects.started[0].server_id, percent=27)
    assert cell.effects.stopped == []


def test_server_that_was_slow_a_moment_ago_gets_work_that_has_time_only() -> None:
    cell = SchedulerHarness(servers=2)
    cell.submit("job", estimate_s=0.6, target_s=1.2)
    cell.accept_all()
    slow = cell.effects.started[0]
    cell.now += 0.25
    cell.report(slow.server_id, percent=5)
    cell.end(slow, EndKind.STOPPED)
    cell.end(cell.effects.started[1])
    cell.now += 0.5
    cell.report(slow.server_id)
    cell.submit("urgent", estimate_s=0.2, target_s=0.5)
    assert cell.effects.started[2].server_id != slow.server_id


def test_run_that_was_declared_too_short_does_not_make_its_server_look_slow() -> None:
    """A quiet day: a wide job finds a run on each server that takes twice as long as declared."""
    cell = SchedulerHarness(servers=3)
    for number in range(3):
        cell.submit(f"other{number}", estimate_s=0.2, deadline_s=3, target_s=3)
    cell.accept_all()
    assert len({run.server_id for run in cell.effects.started}) == 2
    cell.now += 0.3
    for run in cell.effects.started:
        cell.report(run.server_id, percent=75)
    cell.submit("wide", tasks=3, estimate_s=0.5, target_s=1.0)
    expected = [run.expected_s for run in cell.effects.started[3:]]
    assert expected == [pytest.approx(0.5)] * 3


def test_server_that_is_slow_at_present_is_seen_by_the_progress_of_its_runs() -> None:
    """A share of the servers works several times as slow for some seconds."""
    cell = SchedulerHarness(servers=2)
    cell.submit("probe", estimate_s=0.2, deadline_s=10)
    cell.accept_all()
    slow = cell.effects.started[0].server_id
    cell.now += 0.4
    cell.report(slow, percent=20)
    cell.submit("urgent", estimate_s=0.2, target_s=0.5)
    assert cell.effects.started[1].server_id != slow


def test_what_piled_up_without_an_owner_is_served_in_the_room_that_new_jobs_leave() -> None:
    """All processes were gone for 0.6 s; then all that waited comes at once, late already."""
    cell = SchedulerHarness(servers=4, cpu_millis=14000)
    for number in range(12):
        cell.submit(f"late{number}", estimate_s=0.2, target_s=0.5, waited_s=0.6)
    for number in range(4):
        cell.submit(f"new{number}", estimate_s=0.2, target_s=0.5)
    ends: list[tuple[float, Run]] = []
    done_at_by_job: dict[str, float] = {}
    started_at = cell.now
    for _ in range(150):
        for run in cell.effects.started:
            if not run.accepted_at:
                cell.scheduler.handle_started(run, cell.clock_ms, cell.now)
                ends.append((cell.now + 0.2, run))
        for end_at, run in [item for item in ends if item[0] <= cell.now]:
            ends.remove((end_at, run))
            done_at_by_job[run.task_name.partition(".")[0]] = cell.now - started_at
            cell.end(run)
        cell.advance(0.01)
    assert all(done_at_by_job[f"new{number}"] <= 0.5 for number in range(4))
    assert cell.effects.refused == []
    assert len(done_at_by_job) == 16


def test_job_that_fits_on_no_server_is_refused() -> None:
    cell = SchedulerHarness(servers=2)
    cell.submit("huge", cpu_millis=99000)
    assert cell.effects.refused[0][:2] == ("huge", "fits on no server")


def test_job_waits_while_the_servers_are_only_being_claimed() -> None:
    """The first moments of a new owner."""
    cell = SchedulerHarness(servers=1)
    cell.scheduler.server_by_id["s0"].listed = False
    cell.submit("job")
    assert cell.effects.refused == []
    cell.report("s0")
    assert len(cell.effects.started) == 1


def test_burst_beyond_capacity_leaves_the_accepted_jobs_in_time() -> None:
    """Twice the capacity for two seconds: those that are taken in are not all late."""
    cell = SchedulerHarness(servers=4, cpu_millis=14000)
    finished_in_time = finished_late = 0
    ends: list[tuple[float, object]] = []
    arrived_at: dict[str, float] = {}
    for step in range(400):
        job_id = f"job{step}"
        if step < 200 and step % 25 < 20:
            arrived_at[job_id] = cell.now
            cell.submit(job_id, estimate_s=0.2, target_s=0.38, deadline_s=1.5)
        for run in cell.effects.started:
            if not run.accepted_at:
                cell.scheduler.handle_started(run, cell.clock_ms, cell.now)
                ends.append((cell.now + 0.2, run))
        for end_at, run in [item for item in ends if item[0] <= cell.now]:
            ends.remove((end_at, run))
            before = cell.now - arrived_at[run.work.job_id]  # type: ignore[attr-defined]
            finished_in_time += before <= 0.38
            finished_late += before > 0.38
            cell.end(run)  # type: ignore[arg-type]
        cell.advance(0.01)
    capacity = 8 / 0.2 * 2
    assert finished_in_time >= 0.8 * capacity
    assert finished_late <= 0.1 * capacity


def test_task_that_would_miss_its_deadline_on_a_free_server_waits_for_a_faster_one() -> None:
    """Long tasks while only the slow kind of server is free."""
    cell = SchedulerHarness(servers=0)
    cell.add_server("fast", cpu_millis=7000, kind="a")
    cell.add_server("slow", cpu_millis=70000, kind="b")
    for _ in range(20):
        cell.scheduler.speeds.learn("fast", "a", 0.2, 0.14)
        cell.scheduler.speeds.learn("slow", "b", 0.2, 0.48)
    cell.submit("short", estimate_s=0.1, target_s=0.1)
    cell.submit("long", estimate_s=0.7, target_s=1.5, deadline_s=1.5)
    assert [run.server_id for run in cell.effects.started] == ["fast"]
    cell.accept_all()
    cell.now += 0.07
    cell.end(cell.effects.started[0])
    assert [run.server_id for run in cell.effects.started] == ["fast", "fast"]


def test_work_that_was_refused_is_not_started_when_it_is_handed_over_again() -> None:
    """Links come back after all processes lost power; holders hand their works over once more."""
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    cell.submit("blocker", estimate_s=2, deadline_s=10, target_s=10)
    work = cell.submit("job", estimate_s=0.5, deadline_s=1.0, target_s=1.0)
    assert [job_id for job_id, _, _ in cell.effects.refused] == ["job"]
    cell.accept_all()
    cell.end(cell.effects.started[0])
    cell.scheduler.submit(work, {}, True, cell.now)
    cell.advance(0.5)
    assert [run.task_name for run in cell.effects.started] == ["blocker.0.0.0"]
    assert [job_id for job_id, _, _ in cell.effects.refused] == ["job", "job"]


def test_server_that_answers_the_stop_of_a_lost_start_gets_work_at_once() -> None:
    """Workers leave a share of the orders unanswered and carry them out late."""
    cell = SchedulerHarness(servers=1)
    cell.submit("lost")
    cell.lose_start(cell.effects.started[0])
    cell.submit("next")
    assert len(cell.effects.started) == 1, "it may not answer anything any more"
    cell.scheduler.handle_stopped(cell.effects.started[0], cell.now)
    assert [run.task_name[:5] for run in cell.effects.started] == ["lost.", "next."]
    assert "server-answered" in cell.effects.events


def test_wide_job_that_would_be_a_little_late_is_served_while_nobody_else_waits() -> None:
    """A calm day: a stop check of many tasks comes while some servers are taken."""
    cell = SchedulerHarness(servers=2)
    cell.submit("running", tasks=3, estimate_s=0.2, target_s=0.4)
    cell.submit("wide", tasks=4, estimate_s=0.06, target_s=0.16)
    assert cell.effects.refused == []
    cell.submit("another", tasks=4, estimate_s=0.06, target_s=0.16)
    assert [job_id for job_id, _, _ in cell.effects.refused] == ["another"], "both would be late"
