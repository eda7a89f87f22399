"""The simulation of shards keeps the rules of the servers that it models."""

from collections import defaultdict

import anyio

from redwingport_dispatch.holder import JobEnd, Outcome
from redwingport_testbed.shards.report import Result, SizeClass, result_of, summarize
from redwingport_testbed.shards.servers import list_servers
from redwingport_testbed.shards.simulation import Deployment, JobRecord, simulate
from redwingport_testbed.shards.virtual_time import run_in_virtual_time
from redwingport_testbed.shards.workload import KINDS, JobPlan, draw_bursts, draw_jobs


def simulate_load(load: float, seconds: float = 4.0, servers: int = 24) -> list[JobRecord]:
    plans = draw_jobs(load, servers, seconds, draw_bursts(seconds, seed=1), seed=1)
    return simulate(Deployment(servers, shards=1), plans)


def test_clock_jumps_to_the_next_timer() -> None:
    async def sleep_long() -> float:
        await anyio.sleep(1e6)
        return anyio.current_time()

    assert abs(run_in_virtual_time(sleep_long) - 1e6) < 1e-3


def test_servers_never_run_more_than_their_capacity_and_no_task_twice() -> None:
    records = simulate_load(1.6)
    capacity_by_server = {
        server_id: listing.cpu_millis for server_id, listing in list_servers(24).items()
    }
    changes_by_server: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for record in records:
        for runs in record.runs_by_task.values():
            for earlier, later in zip(runs, runs[1:], strict=False):
                assert earlier.ends_at <= later.started_at
            for run in runs:
                changes = changes_by_server[run.server_id]
                changes.append((run.started_at, record.plan.cpu_millis))
                changes.append((run.ends_at, -record.plan.cpu_millis))
    assert len(changes_by_server) == 24
    for server_id, changes in changes_by_server.items():
        used = 0
        for _, change in sorted(changes):
            used += change
            assert used <= capacity_by_server[server_id]


def test_nearly_all_jobs_are_served_in_time_when_there_is_little_load() -> None:
    summaries = summarize(simulate_load(0.2, seconds=10.0), from_s=2.0)
    for kind in KINDS:
        summary = summaries[kind.name, SizeClass.ALL]
        assert summary.by_result[Result.IN_TIME] >= 0.9 * summary.jobs > 0


def test_equal_seeds_give_equal_results() -> None:
    first, second = simulate_load(1.0, seconds=2.0), simulate_load(1.0, seconds=2.0)
    assert [(r.plan, r.end, r.took_s) for r in first] == [
        (r.plan, r.end, r.took_s) for r in second
    ]


def record_of(size: int, took_s: float) -> JobRecord:
    plan = JobPlan(f"job{size}", KINDS[0], 0.0, (0.06,) * size, 0.06, 8000)
    return JobRecord(plan, JobEnd(Outcome.COMPLETE), took_s, 0.156, 0, {})


def test_jobs_are_counted_by_size_class() -> None:
    records = [record_of(size, 0.1) for size in range(1, 31)]
    summaries = summarize(records)
    name = KINDS[0].name
    assert [summaries[name, size_class].jobs for size_class in SizeClass] == [3, 6, 21, 30]
    assert summaries[name, SizeClass.ALL].worth == 1.0


def test_late_job_is_worth_less() -> None:
    summary = summarize([record_of(1, 0.2)])[KINDS[0].name, SizeClass.ALL]
    assert summary.by_result[Result.LATE] == 1
    assert summary.worth == 0.2
    assert result_of(record_of(1, 0.1)) is Result.IN_TIME
