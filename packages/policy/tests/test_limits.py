"""Tests of retry budget, connection shares, subsets, estimates and admission."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingport_messages.backend import UsageReport
from redwingport_messages.documents import JobSpec
from redwingport_messages.outcomes import Outcome
from redwingport_messages.submissions import JobBody, TaskBody
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_policy.admission import check_fits, check_queue
from redwingport_policy.base import MAX_RETRY_AGE_S, Candidate, Work, has_room
from redwingport_policy.connection_share import connection_share
from redwingport_policy.estimates import MAX_SLOWNESS, RunTimes, learn_slowness
from redwingport_policy.retry_budget import BURST_RETRIES, RetryBudget
from redwingport_policy.subset import rendezvous_subset

WEIGHT = st.one_of(st.integers(1, 16).map(float), st.floats(0.01, 1_000.0))


@given(st.integers(0, 100), st.integers(0, 2_000), st.integers(1, 3))
def test_retries_are_bounded_in_a_total_outage(percent: int, attempts: int, tries: int) -> None:
    """Guard against retry amplification when every attempt fails."""
    budget, retries = RetryBudget(percent), 0
    for _ in range(attempts):
        budget.count_first_attempt()
        retries += sum(budget.take() for _ in range(tries))
    allowed = attempts * percent // 100 + (BURST_RETRIES if percent else 0)
    assert retries <= allowed
    if percent and tries == 3:
        assert retries >= allowed - 3


def test_retry_budget_allows_exactly_its_percentage() -> None:
    """Guard against float sums that never reach one retry and against unlimited accumulation."""
    budget = RetryBudget(10)
    assert [budget.take() for _ in range(4)] == [True, True, True, False]
    for _ in range(10):
        budget.count_first_attempt()
    assert [budget.take() for _ in range(2)] == [True, False]
    for _ in range(10_000):
        budget.count_first_attempt()
    assert sum(budget.take() for _ in range(100)) == 10


@given(st.lists(WEIGHT, min_size=1, max_size=12), st.floats(0.01, 1.0), st.integers(0, 100))
def test_connection_shares_stay_within_the_limit(
    weights: list[float], part_of_mean: float, spare: int
) -> None:
    """Guard against refused connections, even before a joining process is discovered."""

    def share(index: int, known: list[float]) -> int:
        return connection_share(limit, known[index], known[:index] + known[index + 1 :])

    limit = len(weights) + 1 + spare
    joining = part_of_mean * sum(weights) / len(weights)
    shares = [share(index, weights) for index in range(len(weights))]
    shares.append(share(len(weights), [*weights, joining]))
    assert min(shares) >= 1
    assert sum(shares) <= limit


def test_connection_shares_follow_the_weights() -> None:
    """Guard against meeting the limit by leaving connections unused."""
    assert connection_share(60, 1.0, [1.0] * 5) == 60 // 7
    assert connection_share(60, 4.0, [2.0, 2.0]) == 22
    assert connection_share(60, 1.0, [1.0] * 200) == 1
    # Nine small processes and the joining one get one connection each; the large
    # one gets the rest.
    assert connection_share(30, 1.0, [1.0] * 8 + [1_000.0]) == 1
    assert connection_share(30, 1_000.0, [1.0] * 9) == 19


@given(st.sets(st.integers(0, 200), min_size=1), st.integers(1, 64), st.data())
def test_removing_a_name_changes_at_most_one_choice(
    numbers: set[int], size: int, data: st.DataObject
) -> None:
    """Guard against new connections to many VMs whenever a single one is removed."""
    names = [f"worker-{number}" for number in sorted(numbers)]
    chosen = rendezvous_subset("entry-1", names, size)
    assert len(chosen) == min(size, len(names)) == len(set(chosen))
    assert rendezvous_subset("entry-1", names[::-1], size) == chosen
    removed = data.draw(st.sampled_from(names))
    rest = rendezvous_subset("entry-1", [name for name in names if name != removed], size)
    assert set(chosen) - set(rest) <= {removed}
    assert [name for name in rest if name in chosen] == [n for n in chosen if n != removed]


def test_subsets_of_different_processes_spread_over_the_names() -> None:
    """Guard against all processes choosing the same servers."""
    names = [f"worker-{number}" for number in range(200)]
    subsets = [rendezvous_subset(f"entry-{index}", names, 64) for index in range(9)]
    assert len(set().union(*subsets)) > 150


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_run_times_declared_wrong_by_a_factor_of_ten_are_learned(factor: float) -> None:
    """Guard against expected waits computed from wrongly declared run times."""
    run_times, rng = RunTimes(), random.Random(7)
    assert run_times.expected_s("print", 200.0) == pytest.approx(0.2)
    for _ in range(60):
        declared_ms = rng.uniform(50.0, 500.0)
        run_times.learn("print", declared_ms, declared_ms * factor * rng.uniform(0.7, 1.3))
    assert run_times.expected_s("print", 200.0) == pytest.approx(0.2 * factor, rel=0.2)
    assert run_times.expected_s("scan", 200.0) == pytest.approx(0.2), (
        "an estimate leaked to another service"
    )
    for _ in range(60):
        run_times.learn_usage(UsageReport(service="print", declared_ms=200.0, run_ms=200.0))
    assert run_times.expected_s("print", 200.0) == pytest.approx(0.2, rel=0.2)


@pytest.mark.parametrize("before", [0, 60])
def test_one_absurdly_short_declared_run_time_has_little_weight(before: int) -> None:
    """Guard against one declared run time that causes all work of its service to be rejected."""
    run_times = RunTimes()
    for _ in range(before):
        run_times.learn("print", 200.0, 200.0)
    run_times.learn("print", 0.001, 200.0)
    assert run_times.expected_s("print", 200.0) <= (0.4 if before else 20.0)
    for _ in range(60):
        run_times.learn("print", 200.0, 200.0)
    assert run_times.expected_s("print", 200.0) == pytest.approx(0.2, rel=0.2)


@given(st.lists(st.floats(0.0, 1e6), max_size=60), st.floats(0.0, 10.0))
def test_learned_slowness_stays_within_its_bounds(runs_s: list[float], expected_s: float) -> None:
    """Guard against outliers that move the slowness so far that a slowdown is not learned."""
    candidate = Candidate("worker-1", "farm-office", True, 16)
    for run_s in runs_s:
        learn_slowness(candidate, expected_s, run_s)
        assert 0.0 < candidate.slowness <= MAX_SLOWNESS
    for _ in range(100):
        learn_slowness(candidate, 0.2, 1.0)
    assert candidate.slowness == pytest.approx(5.0, rel=0.1)


@pytest.mark.parametrize(
    ("confirmed", "age_s", "expected"),
    [(15, MAX_RETRY_AGE_S + 0.1, True), (15, 0.1, False), (14, MAX_RETRY_AGE_S + 0.1, False)],
)
def test_last_slot_is_tried_again_while_long_tasks_run(
    confirmed: int, age_s: float, expected: bool
) -> None:
    """Guard against a slot that stays idle as no task ends to correct the estimated load."""
    candidate = Candidate("worker-1", "farm-office", True, 16, own_active=15, confirmed=confirmed)
    candidate.other_active = candidate.mean_other_active = 0.002
    assert has_room(candidate, Work(8.0, 45, age_s, may_queue=False)) is expected


def make_worker(cpus: float, memory_mb: float) -> VmInfo:
    return VmInfo(
        vm="worker-1",
        kind=VmKind.WORKER,
        domain="creamery",
        host="127.0.0.1",
        port=1,
        cpus=cpus,
        memory_mb=memory_mb,
    )


@given(
    st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), min_size=1, max_size=6),
    st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=4),
)
def test_job_is_rejected_if_a_task_fits_no_worker(
    tasks: list[tuple[int, int]], sizes: list[tuple[int, int]]
) -> None:
    """Guard against queueing jobs that can never run and against rejecting jobs that can."""
    job = JobBody(tasks=[TaskBody(cpus=cpus, memory_mb=memory) for cpus, memory in tasks])
    workers = (make_worker(cpus, memory) for cpus, memory in sizes)
    problem = check_fits(job, JobSpec(max_tasks=5), workers)
    fits = all(any(c <= wc and m <= wm for wc, wm in sizes) for c, m in tasks)
    if len(tasks) <= 5 and (fits or not sizes):
        assert problem is None
    else:
        assert problem is not None
        assert (problem.status, problem.outcome) == (422, Outcome.NOT_RUN)
        assert not problem.retryable


@pytest.mark.parametrize(
    ("queued", "wait_s", "remaining_s", "code"),
    [
        (10, 1.0, 1.5, None),
        (11, 0.0, 9.0, "queue-full"),
        (1, 1.1, 1.5, "too-late"),
        (1, 0.0, 0.4, "too-late"),
    ],
)
def test_work_is_rejected_by_queue_length_and_by_deadline(
    queued: int, wait_s: float, remaining_s: float, code: str | None
) -> None:
    """Guard against queueing work that cannot finish before its deadline."""
    problem = check_queue(queued, 10, wait_s, 0.5, remaining_s)
    assert (problem.code if problem else None) == code
    if problem is not None:
        assert (problem.status, problem.outcome) == (429, Outcome.NOT_RUN)
        assert problem.retryable and problem.retry_after_s >= 1.0
