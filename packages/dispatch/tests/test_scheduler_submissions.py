"""Work items that are submitted again, and submissions that share the id of a job."""

from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.interfaces import EndKind
from redwingport_dispatch.scheduling.admission import ID_IN_USE


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
