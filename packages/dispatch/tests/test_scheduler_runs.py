"""At most one run of a task at a time, even if messages are lost or late."""

import pytest
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import EndKind, RunEnd, RunListing, ServerReport
from redwingport_dispatch.scheduling.admission import FITS_ON_NO_SERVER
from redwingport_dispatch.scheduling.work import RunOver, RunState


def test_run_on_long_idle_server_does_not_count_as_lapsed() -> None:
    """The bound on the leases of an idle server is in the past when a start order is sent.

    If the order did not raise the bound, the next tick would take the run for lapsed and start
    the task a second time.
    """
    harness = SchedulerHarness(servers=1)
    harness.submit("first")
    harness.accept_all()
    harness.end(harness.effects.started[0])
    harness.advance(10)
    harness.submit("second")
    harness.advance(0.001)
    assert [run.task_name for run in harness.effects.started] == ["first.0.0.0", "second.0.0.0"]


def test_unanswered_start_is_stopped_before_task_runs_elsewhere() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job")
    run = harness.effects.started[0]
    harness.lose_start(run)
    harness.advance(0.001)
    assert run in harness.effects.stopped
    assert len(harness.effects.started) == 1
    harness.scheduler.handle_stopped(run, harness.now)
    harness.advance(0.02)
    assert len(harness.effects.started) == 1, "a stop takes up to 50 ms"
    harness.advance(0.2)
    again = harness.effects.started[1]
    assert again.number > run.number


# Guards against a holder that never learns of a run because a broken link lost the notification:
# the next owner takes the task for one that was never started.
def test_placements_are_reported_again_when_a_work_item_is_submitted_again() -> None:
    harness = SchedulerHarness(servers=1)
    work = harness.submit("job", tasks=2)
    assert harness.effects.placed_again == []
    harness.submit("job", tasks=2, work_id=work.work_id)
    assert harness.effects.placed_again == [("job.0.0.0", "s0"), ("job.0.0.1", "s0")]


# Guards against a second run of a task whose server was removed while the task may run there.
def test_server_is_removed_only_after_its_runs_are_over() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", deadline_s=10)
    harness.accept_all()
    server = harness.scheduler.server_by_id[harness.effects.started[0].server_id]
    server.gone_at = harness.now + 0.2
    harness.scheduler.handle_unreachable("s0", OrderFailure.NOT_SENT, harness.now)
    harness.now += 0.5
    assert not server.is_removable(harness.now)
    with pytest.raises(ValueError, match="may still have 1 runs"):
        harness.scheduler.remove_server("s0", harness.now)
    harness.advance(0.6)
    assert server.is_removable(harness.now)
    harness.scheduler.remove_server("s0", harness.now)
    assert [run.server_id for run in harness.effects.started] == ["s0", "s1"]


def test_unanswered_start_is_retried_after_its_lease_has_ended() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", deadline_s=10)
    run = harness.effects.started[0]
    harness.lose_start(run)
    harness.advance(0.9)
    assert len(harness.effects.started) == 1
    harness.advance(0.3)
    assert len(harness.effects.started) == 2


def test_cancelled_run_occupies_capacity_until_its_end_is_reported() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    work = harness.submit("job")
    harness.accept_all()
    run = harness.effects.started[0]
    harness.scheduler.cancel(work.key, harness.now)
    assert run in harness.effects.stopped
    harness.submit("next")
    assert len(harness.effects.started) == 1
    harness.end(run, EndKind.STOPPED)
    assert len(harness.effects.started) == 2


def test_resubmitted_job_waits_for_end_of_earlier_run() -> None:
    """A client resubmits a job after a broken connection, possibly through another process."""
    harness = SchedulerHarness(servers=2)
    work = harness.submit("job", holder="one")
    harness.accept_all()
    first = harness.effects.started[0]
    harness.submit("job", holder="two")
    assert first in harness.effects.stopped
    assert len(harness.effects.started) == 1
    harness.scheduler.cancel(work.key, harness.now)
    assert len(harness.effects.started) == 1
    harness.end(first, EndKind.STOPPED)
    assert len(harness.effects.started) == 2
    assert harness.effects.started[1].number > first.number


def test_new_owner_adopts_running_tasks() -> None:
    harness = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"})
    assert not harness.effects.started
    run = harness.scheduler.run_by_task["job.0.0.0"]
    harness.end(run)
    assert harness.effects.done == [("job", 0)]


def test_new_owner_starts_task_only_after_its_server_has_reported_it_absent() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s1"}, deadline_s=10)
    harness.advance(0.3)
    assert not harness.effects.started
    harness.report("s1")
    assert len(harness.effects.started) == 1


# Guards against a second run of a task that the previous owner has started elsewhere since: only
# the server of the last run that the holder knows of was asked for it.
def test_resumed_task_waits_for_reports_of_servers_other_than_that_of_its_last_known_run() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.8, deadline_s=10)
    harness.report("s0")
    harness.advance(0.5)
    assert not harness.effects.started
    report = ServerReport(harness.clock_ms, runs=(RunListing("job.0.0.0", 2, 10),))
    harness.scheduler.handle_report("s1", report, harness.now, [], harness.now)
    harness.advance(0.1)
    assert not harness.effects.started
    harness.end(harness.scheduler.run_by_task["job.0.0.0"], EndKind.STOPPED)
    assert [run.number for run in harness.effects.started] == [3]


def test_resumed_task_starts_without_reports_when_leases_of_previous_owner_have_ended() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.8, deadline_s=10)
    harness.report("s0")
    harness.advance(0.56)
    assert not harness.effects.started
    harness.advance(0.02)
    assert [run.after for run in harness.effects.started] == [RunOver.EARLIER_LEASES_ENDED]


# Guards against a second run of a task that another owner has started: the run was found on a
# server while the task was still queued here, and the task was started all the same. Guards also
# against a task that is completed by it: it may be a run of another job with the same id.
def test_queued_task_that_another_owner_has_started_waits_for_the_end_of_that_run() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("first")
    harness.submit("job", tasks=2)
    report = ServerReport(1, runs=(RunListing("job.0.0.1", 1, 10),))
    harness.scheduler.handle_report("s1", report, harness.now, [], harness.now)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    assert [run.task_name for run in harness.effects.started] == ["first.0.0.0", "job.0.0.0"]
    harness.end(harness.scheduler.run_by_task["job.0.0.1"])
    assert harness.effects.done == [("first", 0)]
    assert [run.task_name for run in harness.effects.started[2:]] == ["job.0.0.1"]
    assert harness.effects.started[2].number == 2


# Guards against a second run of a task that another owner has started, of which the holder is told
# after it has submitted its work item here.
def test_queued_task_whose_run_the_holder_names_later_is_adopted() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("first")
    work = harness.submit("job", tasks=2, resumed=True, unheard_s=0.8)
    report = ServerReport(1, runs=(RunListing("job.0.0.1", 1, 10),))
    harness.scheduler.handle_report("s1", report, harness.now, [], harness.now)
    assert harness.effects.events.count("run-adopted") == 0
    harness.submit("job", tasks=2, resumed=True, placed={1: "s1"}, work_id=work.work_id)
    assert harness.effects.events.count("run-adopted") == 1
    harness.accept_all()
    harness.end(harness.effects.started[0])
    harness.end(harness.scheduler.run_by_task["job.0.0.1"])
    assert [run.task_name for run in harness.effects.started] == ["first.0.0.0", "job.0.0.0"]
    assert harness.effects.done == [("first", 0), ("job", 1)]


# Guards against stopping the runs of a reachable holder after a change of the owner: its work
# item had arrived before the first report of the server, and the run counted as unclaimed.
def test_run_reported_after_its_work_item_was_resubmitted_is_adopted() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s1"}, deadline_s=5)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s1", report, harness.now, [], harness.now)
    harness.advance(0.3)
    assert not harness.effects.started
    assert not harness.effects.stopped
    harness.end(harness.scheduler.run_by_task["job.0.0.0"])
    assert harness.effects.done == [("job", 0)]


# Guards against a second run of a task that is done: its end was reported after its work item had
# been handed over, and counted as the end of an unknown run.
def test_end_reported_after_the_work_item_was_resubmitted_completes_its_task() -> None:
    harness = SchedulerHarness(servers=1)
    harness.scheduler.server_by_id["s0"].acquired = False
    harness.submit("job", tasks=2, resumed=True, placed={0: "s0", 1: "s0"}, unheard_s=0.8)
    harness.report("s0", [RunEnd(1, "job.0.0.0", 1, EndKind.DONE)])
    assert harness.effects.done == [("job", 0)]
    assert [run.task_name for run in harness.effects.started] == ["job.0.0.1"]


def test_new_owner_stops_unclaimed_runs() -> None:
    """Runs of a holder that has died would keep their server from getting new tasks.

    The new owner stops them if no process claims them in time, and before the clients of that
    holder resubmit their jobs, 1.3 s after it died.
    """
    harness = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.advance(0.1)
    assert not harness.effects.stopped
    harness.advance(0.15)
    assert [run.task_name for run in harness.effects.stopped] == ["job.0.0.0"]


def test_work_items_of_an_ended_process_are_stopped() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job", tasks=4, holder="gone")
    harness.accept_all()
    running = list(harness.effects.started)
    harness.scheduler.drop_holder("gone", harness.now)
    assert harness.effects.stopped == running
    harness.advance(0.05)
    assert len(harness.effects.started) == len(running)


def test_runs_of_a_restarted_server_are_started_again() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job")
    harness.accept_all()
    harness.scheduler.handle_restart("s0", harness.now)
    harness.report("s0")
    assert [run.number for run in harness.effects.started] == [1, 2]


def test_run_missing_from_report_is_started_again() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job")
    harness.accept_all()
    harness.now += 0.1
    harness.scheduler.handle_report("s0", ServerReport(1), harness.now, [], harness.now)
    assert len(harness.effects.started) == 2


def test_report_requested_before_a_start_does_not_end_its_run() -> None:
    harness = SchedulerHarness(servers=1)
    asked_at = harness.now
    harness.now += 0.1
    harness.submit("job")
    harness.accept_all()
    harness.scheduler.handle_report("s0", ServerReport(1), asked_at, [], harness.now)
    assert len(harness.effects.started) == 1


def test_run_number_rejected_as_old_is_raised() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job")
    run = harness.effects.started[0]
    harness.scheduler.handle_not_started(run, OrderFailure.OLD_RUN, harness.now)
    assert harness.effects.started[1].number > run.number + 1


def test_task_that_has_used_up_its_attempts_fails_its_job() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", tasks=2, attempts=2)
    harness.accept_all()
    harness.end(harness.effects.started[0], EndKind.FAILED)
    harness.accept_all()
    assert not harness.effects.failed
    harness.end(harness.effects.started[2], EndKind.FAILED)
    assert harness.effects.failed == [("job", 0)]
    assert harness.effects.started[1].state is RunState.STOPPING


def test_new_owner_deducts_silence_of_previous_owner_from_its_leases() -> None:
    """A failure domain is partitioned off with the old owner and some of the servers.

    It grants leases for the holder's tasks until the grant period after the heartbeat that the
    holder heard last, and none that end later.
    """
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s1"}, unheard_s=0.95, deadline_s=3)
    harness.advance(0.42)
    assert not harness.effects.started
    harness.advance(0.01)
    assert len(harness.effects.started) == 1


def test_resumed_task_waits_for_leases_on_servers_of_other_shards() -> None:
    """Guard against a second run after the number of shards has risen.

    The servers of this shard have all reported, but the run is on a server of another one.
    """
    harness = SchedulerHarness(servers=2)
    harness.submit("job", resumed=True, deadline_s=5, other_servers=True)
    harness.advance(1.36)
    assert not harness.effects.started
    harness.advance(0.02)
    assert [run.after for run in harness.effects.started] == [RunOver.EARLIER_LEASES_ENDED]


# Guards against a second run of a job that its client has sent again to another process: the new
# owner gets that submission first, and does not know yet that the job is running.
def test_new_work_item_waits_until_holders_have_heard_of_a_new_owner() -> None:
    harness = SchedulerHarness(servers=2, settled_s=0.1)
    harness.submit("job")
    harness.advance(0.09)
    assert not harness.effects.started
    harness.advance(0.02)
    assert [run.after for run in harness.effects.started] == [RunOver.HOLDERS_HEARD]


def test_run_that_an_earlier_holder_names_is_kept_from_starting_again() -> None:
    harness = SchedulerHarness(servers=2, settled_s=0.1)
    harness.add_server("late", acquired=False)
    harness.submit("job", holder="second")
    harness.submit("job", holder="first", resumed=True, placed={0: "late"})
    harness.advance(0.2)
    assert not harness.effects.started
    listed = RunListing("job.0.0.0", 1, 50)
    report = ServerReport(harness.clock_ms, runs=(listed,))
    harness.scheduler.handle_report("late", report, harness.now, [], harness.now)
    harness.advance(0.1)
    assert not harness.effects.started
    assert harness.effects.events.count("run-adopted") == 1


# Guards against a holder whose client has sent its job again elsewhere, and which tells the next
# owner of runs that were stopped then: the task is started beside the run of the other submission.
def test_holder_is_told_that_its_job_was_submitted_again_through_another_process() -> None:
    harness = SchedulerHarness(servers=2)
    first = harness.submit("job", holder="first")
    second = harness.submit("job", holder="second")
    assert harness.effects.abandoned == ["job"]
    assert list(harness.scheduler.work_by_key) == [second.key]
    assert first.key != second.key


# Guards against a job that waits until it is too late, though no server can ever run it.
def test_new_work_item_that_fits_on_no_server_is_refused_when_its_owner_has_settled() -> None:
    harness = SchedulerHarness(servers=2, settled_s=0.1)
    harness.submit("job", cpu_millis=99000)
    harness.advance(0.15)
    assert [reason for _, reason, _ in harness.effects.refused] == [FITS_ON_NO_SERVER]


def test_new_work_item_of_a_settled_owner_starts_at_once() -> None:
    harness = SchedulerHarness(servers=2, settled_s=0.1)
    harness.advance(0.1)
    harness.submit("job")
    assert [run.after for run in harness.effects.started] == [RunOver.NONE_KNOWN]


def test_job_is_abandoned_early_when_a_task_cannot_start_safely_in_time() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s1"}, deadline_s=0.5, estimate_s=0.4)
    harness.advance(0.25)
    assert harness.effects.abandoned == ["job"]


def test_new_owner_waits_for_reports_of_previous_owner_in_flight() -> None:
    """After a partition heals, two owners meet; this one does not know the other's servers yet.

    All servers that it knows have reported that the task is absent. If it started the task at
    once, a late notification of the previous owner could tell the holder that the task was placed
    on an unknown server, and it would run twice. After that notification, the task must not start
    before the leases of the previous owner have ended.
    """
    harness = SchedulerHarness(servers=1)
    work = harness.submit("job", resumed=True, placed={}, unheard_s=0.05, deadline_s=3)
    harness.advance(0.1)
    assert not harness.effects.started
    harness.scheduler.submit(work, {0: "unknown-server"}, True, harness.now, 0.05)
    harness.advance(1.2)
    assert not harness.effects.started
    harness.advance(0.1)
    assert len(harness.effects.started) == 1


def test_fenced_owner_pauses_placement() -> None:
    """After a partition heals, two owners meet and holders have switched to the other one.

    A task that the fenced owner places on another server could run a second time at the other
    owner.
    """
    harness = SchedulerHarness(servers=2)
    harness.submit("job")
    run = harness.effects.started[0]
    harness.scheduler.handle_not_started(run, OrderFailure.FENCED, harness.now)
    harness.advance(0.2)
    assert len(harness.effects.started) == 1
    harness.advance(0.3)
    assert len(harness.effects.started) == 2


def test_job_is_refused_at_once_when_all_servers_are_yielded() -> None:
    """The owner is partitioned from its peers but not from the servers, which another one owns.

    Otherwise, a job would wait for servers that this owner may not use.
    """
    harness = SchedulerHarness(servers=2)
    for server_id in ("s0", "s1"):
        harness.scheduler.handle_fenced(server_id, harness.now)
        harness.scheduler.handle_yielded(server_id)
    harness.submit("job")
    assert harness.effects.refused[0][:2] == ("job", "no server")


def test_order_in_flight_to_a_restarting_server_keeps_its_run() -> None:
    """The restarted server keeps its id, so it executes an order sent before the restart.

    If the run were dropped with those that the restart ended, its task would run twice.
    """
    harness = SchedulerHarness(servers=2)
    harness.submit("job")
    run = harness.effects.started[0]
    harness.scheduler.handle_restart(run.server_id, harness.now)
    harness.advance(0.01)
    assert harness.effects.started == [run]


def test_server_with_unclaimed_runs_gets_no_start_that_would_extend_their_lease() -> None:
    """A failure domain is partitioned off; the owner outside relies on the end of the lease.

    It starts the tasks of the unclaimed runs again after that, so a longer lease would let them
    run twice.
    """
    harness = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("other.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("job")
    assert not harness.effects.started
    harness.advance(0.25)
    harness.end(harness.effects.stopped[0], EndKind.STOPPED)
    assert [run.task_name for run in harness.effects.started] == ["job.0.0.0"]


def test_resubmitted_job_waits_while_its_long_run_is_being_stopped() -> None:
    """The client's connection breaks after six seconds.

    The record that the job has started has expired by then, so only the run itself shows it.
    """
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    work = harness.submit("job", estimate_s=8, deadline_s=60, target_s=20, holder="first")
    harness.accept_all()
    for _ in range(60):
        harness.now += 0.1
        harness.scheduler.server_by_id["s0"].lease_ends_at = harness.now + 1.1
        harness.report("s0", percent=(harness.now - 100) * 10)
        harness.scheduler.tick(harness.now)
    harness.submit("job", estimate_s=8, deadline_s=60, target_s=20, holder="second")
    assert harness.effects.refused == []
    assert harness.effects.stopped == [harness.effects.started[0]]
    harness.scheduler.cancel(work.key, harness.now)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.advance(0.05)
    assert [run.number for run in harness.effects.started] == [1, 2]


def test_restart_names_the_evidence_that_the_earlier_run_is_over() -> None:
    """Guard against a second start in the logs without the reason why it was allowed."""
    harness = SchedulerHarness(servers=2)
    harness.submit("job", attempts=9, deadline_s=60)
    harness.accept_all()
    harness.end(harness.effects.started[-1], EndKind.FAILED)
    harness.lose_start(harness.effects.started[-1])
    harness.scheduler.handle_stopped(harness.effects.started[-1], harness.now)
    harness.advance(0.2)
    harness.lose_start(harness.effects.started[-1])
    harness.advance(1.1)
    assert [run.after for run in harness.effects.started] == [
        RunOver.NONE_KNOWN,
        RunOver.END_REPORTED,
        RunOver.STOP_CONFIRMED,
        RunOver.LEASE_ENDED,
    ]
    presumed = harness.effects.fields_by_event["run-presumed-over"]
    assert [(fields["run"], fields["after"]) for fields in presumed] == [
        (2, RunOver.STOP_CONFIRMED),
        (3, RunOver.LEASE_ENDED),
    ]


def test_start_of_a_resumed_task_names_the_evidence_against_an_earlier_run() -> None:
    harness = SchedulerHarness(servers=3, cpu_millis=7000)
    harness.submit("listed", resumed=True, placed={0: "s0"}, deadline_s=60)
    harness.advance(0.21)
    harness.submit("elsewhere", resumed=True, deadline_s=60)
    harness.advance(0.21)
    harness.accept_all()
    for run in list(harness.effects.started):
        harness.end(run)
    harness.scheduler.server_by_id["s0"].acquired = False
    harness.submit("waiting", resumed=True, deadline_s=60)
    harness.advance(1.4)
    assert [run.after for run in harness.effects.started] == [
        RunOver.ALL_SERVERS_LISTED,
        RunOver.ALL_SERVERS_LISTED,
        RunOver.EARLIER_LEASES_ENDED,
    ]


def test_end_of_a_run_is_logged_where_another_owner_may_start_its_task() -> None:
    """Guard against runs without an end in the logs after a holder was lost."""
    harness = SchedulerHarness(servers=3, cpu_millis=7000)
    cancelled = harness.submit("cancelled")
    harness.submit("lost", holder="gone")
    harness.submit("done")
    harness.accept_all()
    harness.scheduler.cancel(cancelled.key, harness.now)
    harness.scheduler.drop_holder("gone", harness.now)
    for run, kind in zip(
        list(harness.effects.started),
        (EndKind.STOPPED, EndKind.STOPPED, EndKind.DONE),
        strict=True,
    ):
        harness.end(run, kind)
    ended = harness.effects.fields_by_event["run-ended"]
    assert [(fields["task"], fields["how"]) for fields in ended] == [("lost.0.0.0", "STOPPED")]


def test_completion_of_a_resumed_task_is_logged() -> None:
    harness = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"})
    harness.end(harness.scheduler.run_by_task["job.0.0.0"])
    [ended] = harness.effects.fields_by_event["run-ended"]
    assert ended["how"] == "DONE"


def test_released_work_item_starts_nothing_and_its_unclaimed_runs_are_stopped() -> None:
    """The holder sees another owner with a higher term, which this one does not reach.

    The other owner adopts or awaits the runs, and starts the queued tasks.
    """
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    work = harness.submit("job", tasks=2)
    harness.accept_all()
    run = harness.effects.started[0]
    harness.scheduler.release(work.key, harness.now)
    assert harness.scheduler.server_by_id["s0"].has_unclaimed_runs()
    harness.advance(0.1)
    assert not harness.effects.stopped
    harness.advance(0.15)
    assert harness.effects.stopped == [run]
    harness.end(run, EndKind.STOPPED)
    harness.advance(0.05)
    assert harness.effects.started == [run]


def test_released_work_item_that_comes_back_keeps_its_runs() -> None:
    harness = SchedulerHarness()
    work = harness.submit("job")
    harness.accept_all()
    run = harness.effects.started[0]
    harness.scheduler.release(work.key, harness.now)
    harness.submit("job", resumed=True, placed={0: run.server_id})
    harness.advance(0.25)
    assert not harness.effects.stopped
    harness.end(run)
    assert harness.effects.done == [("job", 0)]


def test_end_of_released_run_is_reported_to_its_holder() -> None:
    """The end is acknowledged to the server, so the other owner may never see it."""
    harness = SchedulerHarness()
    work = harness.submit("job")
    harness.accept_all()
    harness.scheduler.release(work.key, harness.now)
    harness.end(harness.effects.started[0])
    assert harness.effects.done == [("job", 0)]


# Guards against a server that gets more than its capacity: a run that a waiting task could not
# adopt is being stopped, and still uses the resources of the task.
def test_run_that_is_not_adopted_uses_the_resources_of_its_task_until_it_has_ended() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    harness.scheduler.server_by_id["s0"].acquired = False
    harness.submit("job", deadline_s=5)
    harness.submit("other", deadline_s=5)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.advance(0.3)
    run = harness.scheduler.run_by_task["job.0.0.0"]
    assert run.state is RunState.STOPPING
    assert [run.task_name for run in harness.effects.started] == []


# Guards against a server that gets more than its capacity: another server reports a later run with
# the same task name, and the run that is still listed here is forgotten and never stopped.
def test_listed_run_is_tracked_beside_a_later_one_on_another_server() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    for server_id, number in (("s0", 1), ("s1", 2), ("s0", 1)):
        report = ServerReport(
            harness.clock_ms, runs=(RunListing("job.0.0.0", number, 10),), ends=()
        )
        harness.scheduler.handle_report(server_id, report, harness.now, [], harness.now)
    harness.submit("other", deadline_s=5)
    harness.advance(0.05)
    assert harness.effects.started == []
    harness.advance(0.3)
    assert {run.server_id for run in harness.effects.stopped} == {"s0", "s1"}


# Guards against a run that is never stopped, as a task with its name runs on another server.
def test_listed_run_beside_the_own_run_of_a_task_is_stopped() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    harness.submit("job", deadline_s=5)
    harness.accept_all()
    [run] = harness.effects.started
    other_id = "s1" if run.server_id == "s0" else "s0"
    report = ServerReport(harness.clock_ms, runs=(RunListing("job.0.0.0", 3, 10),))
    harness.scheduler.handle_report(other_id, report, harness.now, [], harness.now)
    harness.advance(0.3)
    assert [(run.server_id, run.number) for run in harness.effects.stopped] == [(other_id, 3)]
    harness.end(harness.effects.stopped[0], EndKind.STOPPED)
    assert not harness.scheduler.server_by_id[other_id].run_by_task
    harness.end(run)
    assert harness.effects.done == [("job", 0)]


# Guards against a task that runs twice: it starts again while another server still lists a run
# with its name.
def test_failed_task_waits_for_a_listed_run_on_another_server() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    harness.submit("job", deadline_s=5)
    harness.accept_all()
    [run] = harness.effects.started
    other_id = "s1" if run.server_id == "s0" else "s0"
    report = ServerReport(harness.clock_ms, runs=(RunListing("job.0.0.0", 3, 10),))
    harness.scheduler.handle_report(other_id, report, harness.now, [], harness.now)
    harness.end(run, EndKind.FAILED)
    harness.advance(0.3)
    assert harness.effects.started == [run]
    harness.end(harness.effects.stopped[0], EndKind.STOPPED)
    harness.advance(0.01)
    assert [run.number for run in harness.effects.started] == [1, 4]


# Guards against a task that is started again although its run is listed: another server has listed
# a later run with its name before.
def test_task_adopts_its_own_run_beside_a_later_one_on_another_server() -> None:
    harness = SchedulerHarness(servers=2, cpu_millis=7000)
    for server_id, number in (("s1", 2), ("s0", 1)):
        report = ServerReport(harness.clock_ms, runs=(RunListing("job.0.0.0", number, 10),))
        harness.scheduler.handle_report(server_id, report, harness.now, [], harness.now)
    harness.submit("job", resumed=True, placed={0: "s0"}, deadline_s=5)
    harness.advance(0.3)
    assert [run.server_id for run in harness.effects.stopped] == ["s1"]
    harness.end(harness.scheduler.run_by_task["job.0.0.0"])
    assert harness.effects.done == [("job", 0)]


# Guards against a server that gets more than its capacity: a run that no process has claimed is
# being stopped, and what it uses is unknown.
def test_server_gets_no_task_until_an_unclaimed_run_has_ended() -> None:
    harness = SchedulerHarness(servers=1, cpu_millis=7000)
    report = ServerReport(harness.clock_ms, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("other", deadline_s=5)
    harness.advance(0.3)
    [unclaimed] = harness.effects.stopped
    assert harness.effects.started == []
    harness.end(unclaimed, EndKind.STOPPED)
    assert [run.task_name for run in harness.effects.started] == ["other.0.0.0"]


# Guards against a start for a holder that may have turned to another owner unnoticed.
def test_task_is_not_started_until_its_holder_has_confirmed_a_heartbeat() -> None:
    harness = SchedulerHarness(servers=1)
    harness.lease_limit_at_by_holder["silent"] = harness.now + 0.7
    harness.submit("job", holder="silent")
    harness.submit("other")
    assert [run.task_name for run in harness.effects.started] == ["other.0.0.0"]
    harness.advance(0.05)
    harness.lease_limit_at_by_holder["silent"] = harness.now + 1.3
    harness.advance(0.05)
    assert [run.task_name for run in harness.effects.started] == ["other.0.0.0", "job.0.0.0"]
    held = [e for e in harness.effects.events if e.startswith("starts-")]
    assert held == ["starts-withheld", "starts-resumed"]


# Guards against extending the lease of a run by a start for another holder on its server.
def test_start_is_not_placed_beside_a_run_whose_lease_must_not_be_extended() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("first", holder="silent")
    harness.accept_all()
    harness.lease_limit_at_by_holder["silent"] = harness.now + 0.3
    harness.submit("second", cpu_millis=8000)
    harness.submit("third", cpu_millis=8000)
    assert [run.server_id for run in harness.effects.started] == ["s0", "s1", "s1"]


# Guards against extending the lease of a run that another owner has to wait for: its holder has
# released it, but the order to stop it is not answered.
def test_released_run_keeps_the_limit_of_its_lease() -> None:
    harness = SchedulerHarness(servers=1)
    work = harness.submit("job", deadline_s=10)
    harness.accept_all()
    server = harness.scheduler.server_by_id["s0"]
    limit_at = harness.lease_limit_at_by_holder[work.holder] = harness.now + 1.2
    harness.scheduler.release(work.key, harness.now)
    harness.lease_limit_at_by_holder[work.holder] = harness.now + 2.0
    harness.advance(0.3)
    assert harness.effects.stopped
    assert harness.scheduler.lease_limit_at(server) == limit_at


# Guards against extending the lease of a run of another owner after the order to stop it.
def test_run_that_no_holder_claims_gets_no_lease() -> None:
    harness = SchedulerHarness(servers=1)
    report = ServerReport(1, runs=(RunListing("job.0.0.0", 1, 10),))
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.advance(0.3)
    assert harness.effects.stopped
    assert harness.scheduler.lease_limit_at(harness.scheduler.server_by_id["s0"]) == 0.0


# Guards against logs that do not tell whether a run was ordered for, listed by and stopped at the
# same lifetime of its server.
def test_run_that_is_presumed_over_names_the_lifetimes_of_its_server() -> None:
    harness = SchedulerHarness(servers=1)
    report = ServerReport(harness.clock_ms, born_ms=1)
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.submit("job", deadline_s=10)
    harness.accept_all()
    [run] = harness.effects.started
    report = ServerReport(
        harness.clock_ms, born_ms=2, runs=(RunListing(run.task_name, run.number, 10),)
    )
    harness.scheduler.handle_report("s0", report, harness.now, [], harness.now)
    harness.scheduler.handle_stopped(run, harness.now)
    harness.advance(0.2)
    [presumed] = harness.effects.fields_by_event["run-presumed-over"]
    lifetimes = ("ordered_born_ms", "listed_born_ms", "stopped_born_ms", "born_ms")
    assert [presumed[name] for name in lifetimes] == [1, 2, 2, 2]


# Guards against a task that is blamed for a crash: its run has been accepted and has ended at the
# next lifetime of its server before the first report of that lifetime.
def test_run_that_has_ended_at_the_next_lifetime_is_not_taken_for_one_of_the_former() -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=10)
    harness.accept_all()
    [run] = harness.effects.started
    harness.now += 0.1
    end = RunEnd(1, run.task_name, run.number, EndKind.DONE)
    report = ServerReport(harness.clock_ms, born_ms=2, ends=(end,))
    harness.scheduler.handle_restart("s0", harness.now, report, harness.now)
    harness.scheduler.handle_report("s0", report, harness.now, [end], harness.now)
    harness.advance(0.05)
    assert harness.effects.done == [("job", 0)]
    assert harness.effects.started == [run]
    assert "server-crashed" not in harness.effects.events


# Guards against two runs at the same time for longer than it takes to stop one: a run that was
# presumed over, or ordered by another owner, and is found after its task was started again.
def test_reported_run_of_a_task_that_was_started_again_is_stopped_at_once() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", cpu_millis=16000, deadline_s=10)
    [first] = harness.effects.started
    other = "s1" if first.server_id == "s0" else "s0"
    harness.lose_start(first)
    harness.advance(1.2)
    assert [run.server_id for run in harness.effects.started] == [first.server_id, other]
    harness.accept_all()
    harness.effects.stopped.clear()
    runs = (RunListing("job.0.0.0", 1, 10),)
    report = ServerReport(harness.clock_ms, runs=runs)
    harness.scheduler.handle_report(first.server_id, report, harness.now, [], harness.now)
    assert [(run.server_id, run.number) for run in harness.effects.stopped] == [
        (first.server_id, 1)
    ]


# Guards against a resumed task that is started before all servers have listed their runs, because
# the list of servers arrives after it.
def test_resumed_task_that_arrives_before_the_list_of_servers_waits_for_all_of_them() -> None:
    harness = SchedulerHarness(servers=0)
    harness.submit("job", resumed=True, unheard_s=0.5, deadline_s=9)
    harness.advance(0.05)
    harness.add_server("s0", acquired=False)
    harness.add_server("s1", acquired=False)
    harness.report("s0")
    assert harness.effects.started == []
    harness.report("s1")
    assert len(harness.effects.started) == 1


# Guards against a second run of a job whose first holder is cut off, but not missed yet: it does
# not hear that its work item was displaced, and turns to another owner.
def test_resubmitted_job_waits_until_its_first_holder_has_ended_it() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", holder="one", deadline_s=3.0)
    harness.accept_all()
    harness.submit("job", holder="two", deadline_s=10.0)
    harness.end(harness.effects.started[0], EndKind.STOPPED)
    harness.advance(0.4)
    harness.scheduler.drop_holder("one", harness.now)
    harness.advance(3.4)
    assert len(harness.effects.started) == 1
    harness.advance(0.4)
    assert len(harness.effects.started) == 2


# Guards against a second run of a task that another owner has started on a server after that one
# was last in contact here.
def test_resumed_task_waits_for_a_server_that_has_stopped_answering() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.handle_unreachable("s1", OrderFailure.NO_ANSWER, harness.now)
    harness.submit("job", resumed=True, unheard_s=0.5, deadline_s=9)
    harness.advance(0.05)
    assert harness.effects.started == []
    harness.report("s1")
    assert len(harness.effects.started) == 1
