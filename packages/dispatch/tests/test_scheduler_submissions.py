"""Work items that are submitted again, and submissions that share the id of a job."""

from scheduling_fakes import SchedulerHarness


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
