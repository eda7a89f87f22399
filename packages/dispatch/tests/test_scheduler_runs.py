"""At most one run of a task at a time, whatever is lost or late."""

from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import EndKind, RunListing, ServerReport
from redwingport_dispatch.scheduling.work import RunState


def test_a_run_on_a_server_that_was_idle_for_long_is_not_taken_for_lapsed() -> None:
    """The bound on the last lease of an idle server lies in the past when a start is sent."""
    cell = SchedulerHarness(servers=1)
    cell.submit("first")
    cell.accept_all()
    cell.end(cell.effects.started[0])
    cell.advance(10)
    cell.submit("second")
    cell.advance(0.001)
    assert [run.task_name for run in cell.effects.started] == ["first.0.0.0", "second.0.0.0"]


def test_a_start_without_an_answer_is_stopped_before_the_task_runs_elsewhere() -> None:
    cell = SchedulerHarness(servers=2)
    cell.submit("job")
    run = cell.effects.started[0]
    cell.lose_start(run)
    cell.advance(0.001)
    assert run in cell.effects.stopped
    assert len(cell.effects.started) == 1
    cell.scheduler.handle_stopped(run, cell.now)
    cell.advance(0.02)
    assert len(cell.effects.started) == 1, "a stop takes up to 50 ms"
    cell.advance(0.2)
    again = cell.effects.started[1]
    assert again.number > run.number


def test_a_start_without_an_answer_is_over_when_its_lease_has_ended() -> None:
    cell = SchedulerHarness(servers=2)
    cell.submit("job", deadline_s=10)
    run = cell.effects.started[0]
    cell.lose_start(run)
    cell.advance(0.9)
    assert len(cell.effects.started) == 1
    cell.advance(0.3)
    assert len(cell.effects.started) == 2


def test_a_cancelled_run_keeps_its_room_until_its_end_is_listed() -> None:
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    work = cell.submit("job")
    cell.accept_all()
    run = cell.effects.started[0]
    cell.scheduler.cancel(work.key, cell.now)
    assert run in cell.effects.stopped
    cell.submit("next")
    assert len(cell.effects.started) == 1
    cell.end(run, EndKind.STOPPED)
    assert len(cell.effects.started) == 2


def test_a_job_sent_again_by_its_client_waits_until_the_first_try_is_over() -> None:
    """A client sends a job again after a broken connection, to any process."""
    cell = SchedulerHarness(servers=2)
    cell.submit("job", holder="one")
    cell.accept_all()
    first = cell.effects.started[0]
    cell.submit("job", holder="two")
    assert first in cell.effects.stopped
    assert len(cell.effects.started) == 1
    cell.end(first, EndKind.STOPPED)
    assert len(cell.effects.started) == 2
    assert cell.effects.started[1].number > first.number


def test_a_new_owner_keeps_what_runs() -> None:
    cell = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    cell.scheduler.handle_report("s0", report, cell.now, [], cell.now)
    cell.submit("job", resumed=True, placed={0: "s0"})
    assert not cell.effects.started
    run = cell.scheduler.run_by_task["job.0.0.0"]
    cell.end(run)
    assert cell.effects.done == [("job", 0)]


def test_a_new_owner_starts_a_task_only_when_its_server_does_not_list_it() -> None:
    cell = SchedulerHarness(servers=2)
    cell.scheduler.server_by_id["s1"].listed = False
    cell.submit("job", resumed=True, placed={0: "s1"}, deadline_s=10)
    cell.advance(0.3)
    assert not cell.effects.started
    cell.report("s1")
    assert len(cell.effects.started) == 1


def test_a_new_owner_stops_runs_that_no_process_claims() -> None:
    """Their clients send again 1.3 s after the process that held them died."""
    cell = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    cell.scheduler.handle_report("s0", report, cell.now, [], cell.now)
    cell.advance(0.1)
    assert not cell.effects.stopped
    cell.advance(0.15)
    assert [run.task_name for run in cell.effects.stopped] == ["job.0.0.0"]


def test_works_of_a_process_that_is_gone_are_stopped() -> None:
    cell = SchedulerHarness(servers=1)
    cell.submit("job", tasks=4, holder="gone")
    cell.accept_all()
    running = list(cell.effects.started)
    cell.scheduler.drop_holder("gone", cell.now)
    assert cell.effects.stopped == running
    cell.advance(0.05)
    assert len(cell.effects.started) == len(running)


def test_runs_of_a_server_that_has_started_anew_are_started_again() -> None:
    cell = SchedulerHarness(servers=1)
    cell.submit("job")
    cell.accept_all()
    cell.scheduler.handle_restart("s0", cell.now)
    cell.report("s0")
    assert [run.number for run in cell.effects.started] == [1, 2]


def test_a_run_that_a_server_no_longer_lists_is_started_again() -> None:
    cell = SchedulerHarness(servers=1)
    cell.submit("job")
    cell.accept_all()
    cell.now += 0.1
    cell.scheduler.handle_report("s0", ServerReport(1), cell.now, [], cell.now)
    assert len(cell.effects.started) == 2


def test_a_list_that_was_asked_for_before_a_start_does_not_end_its_run() -> None:
    cell = SchedulerHarness(servers=1)
    asked_at = cell.now
    cell.now += 0.1
    cell.submit("job")
    cell.accept_all()
    cell.scheduler.handle_report("s0", ServerReport(1), asked_at, [], cell.now)
    assert len(cell.effects.started) == 1


def test_a_run_number_that_is_too_low_is_raised() -> None:
    cell = SchedulerHarness(servers=1)
    cell.submit("job")
    run = cell.effects.started[0]
    cell.scheduler.handle_not_started(run, OrderFailure.OLD_RUN, cell.now)
    assert cell.effects.started[1].number > run.number + 1


def test_a_task_that_has_failed_as_often_as_it_may_fails_its_job() -> None:
    cell = SchedulerHarness(servers=2)
    cell.submit("job", tasks=2, attempts=2)
    cell.accept_all()
    cell.end(cell.effects.started[0], EndKind.FAILED)
    cell.accept_all()
    assert not cell.effects.failed
    cell.end(cell.effects.started[2], EndKind.FAILED)
    assert cell.effects.failed == [("job", 0)]
    assert cell.effects.started[1].state is RunState.STOPPING


def test_a_new_owner_counts_the_silence_of_the_last_one_towards_its_leases() -> None:
    """A failure domain is cut off, with the owner and some of the servers."""
    cell = SchedulerHarness(servers=2)
    cell.scheduler.server_by_id["s1"].listed = False
    cell.submit("job", resumed=True, placed={0: "s1"}, unheard_s=0.8)
    cell.advance(0.2)
    assert not cell.effects.started
    cell.advance(0.1)
    assert len(cell.effects.started) == 1


def test_a_task_that_cannot_be_started_safely_in_time_ends_its_job_early() -> None:
    cell = SchedulerHarness(servers=2)
    cell.scheduler.server_by_id["s1"].listed = False
    cell.submit("job", resumed=True, placed={0: "s1"}, deadline_s=0.5, estimate_s=0.4)
    cell.advance(0.25)
    assert cell.effects.abandoned == ["job"]


def test_a_new_owner_waits_for_reports_of_the_last_one_that_are_on_their_way() -> None:
    """After a cut two owners meet; servers of the other side are not listed here yet."""
    cell = SchedulerHarness(servers=1)
    work = cell.submit("job", resumed=True, placed={}, unheard_s=0.05)
    cell.advance(0.1)
    assert not cell.effects.started
    cell.scheduler.submit(work, {0: "unknown-server"}, True, cell.now, 0.05)
    cell.advance(0.5)
    assert not cell.effects.started
    cell.advance(0.6)
    assert len(cell.effects.started) == 1


def test_an_owner_that_is_fenced_places_nothing_until_it_knows_who_owns_the_servers() -> None:
    """After a cut two owners meet; holders have moved to the other one already."""
    cell = SchedulerHarness(servers=2)
    cell.submit("job")
    run = cell.effects.started[0]
    cell.scheduler.handle_not_started(run, OrderFailure.FENCED, cell.now)
    cell.advance(0.2)
    assert len(cell.effects.started) == 1
    cell.advance(0.3)
    assert len(cell.effects.started) == 2


def test_a_job_is_refused_at_once_when_all_servers_are_left_to_another_owner() -> None:
    """A process that is cut off from its peers but not from the servers."""
    cell = SchedulerHarness(servers=2)
    for server_id in ("s0", "s1"):
        cell.scheduler.handle_fenced(server_id, cell.now)
        cell.scheduler.handle_yielded(server_id)
    cell.submit("job")
    assert cell.effects.refused[0][:2] == ("job", "no server")


def test_an_order_on_its_way_to_a_server_that_starts_anew_still_counts() -> None:
    """The new lifetime has the id of the last one, so it carries the order out."""
    cell = SchedulerHarness(servers=2)
    cell.submit("job")
    run = cell.effects.started[0]
    cell.scheduler.handle_restart(run.server_id, cell.now)
    cell.advance(0.01)
    assert cell.effects.started == [run]


def test_a_server_with_unclaimed_runs_gets_no_start_that_would_extend_their_lease() -> None:
    """A failure domain is cut off; the owner outside counts on the end of the lease."""
    cell = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("other.0.0.0", 1, 10),))
    cell.scheduler.handle_report("s0", report, cell.now, [], cell.now)
    cell.submit("job")
    assert not cell.effects.started
    cell.advance(0.25)
    cell.end(cell.effects.stopped[0], EndKind.STOPPED)
    assert [run.task_name for run in cell.effects.started] == ["job.0.0.0"]


def test_a_job_that_comes_again_while_a_long_run_of_it_is_being_stopped_waits_for_that() -> None:
    """Its client's connection broke after six seconds; the run's start is forgotten by then."""
    cell = SchedulerHarness(servers=1, cpu_millis=7000)
    cell.submit("job", estimate_s=8, deadline_s=60, target_s=20, holder="first")
    cell.accept_all()
    for _ in range(60):
        cell.now += 0.1
        cell.scheduler.server_by_id["s0"].lease_ends_at = cell.now + 1.1
        cell.report("s0", percent=(cell.now - 100) * 10)
        cell.scheduler.tick(cell.now)
    cell.submit("job", estimate_s=8, deadline_s=60, target_s=20, holder="second")
    assert cell.effects.refused == []
    assert cell.effects.stopped == [cell.effects.started[0]]
    cell.end(cell.effects.started[0], EndKind.STOPPED)
    cell.advance(0.05)
    assert [run.number for run in cell.effects.started] == [1, 2]
