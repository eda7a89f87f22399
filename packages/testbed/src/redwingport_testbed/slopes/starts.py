"""Measure the CPU time of an entry process per task start by tasks per job."""

import random
import tempfile
from pathlib import Path

import anyio

from redwingport_testbed.entry_client import COMPLETE, EntryClient, make_job
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.processes import (
    running_processes,
    start_entries,
    start_stand_ins,
    wait_until_ready,
)
from redwingport_testbed.slopes.metrics import read_metrics
from redwingport_testbed.slopes.series import Series
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet, free_base_port

WORK_MS = 20.0
SEED = 5
WARM_UP_TASKS = 600


async def start_series(quick: bool) -> list[tuple[Series, float]]:
    """Measure the CPU time per job by number of tasks in the job.

    The slope is the cost of each additional task, the intercept the fixed cost of a job.

    :param quick: measure few tasks, to test the tool.
    :returns: pairs of a series and its planned number of tasks per job.
    """
    tasks = 400 if quick else 4000
    fleet = Fleet(DEPLOYMENT_BY_NAME["dairy"], free_base_port(), entries=1)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        settings = fleet.write_settings(directory)
        async with running_processes(directory) as processes:
            await start_stand_ins(processes, fleet)
            await start_entries(processes, fleet, settings)
            client = HttpClient()
            vm = fleet.entry_vms()[0]
            url = f"http://{vm.host}:{vm.port}"
            await wait_until_ready(processes, vm.vm, url, client)
            entry = EntryClient(client, url)
            document = {"name": "route-build", "team": "dairy", "jobs": {}}
            await entry.create_service(document, fleet.token)
            await _run_jobs(entry, 10, WARM_UP_TASKS)
            points = []
            for size in (1, 5, 20, 50, 100, 150):
                points.append((size, await _cpu_per_job_ms(client, url, size, tasks)))
            await client.aclose()
    series = Series("processor time per job, ms", "tasks per job", tuple(points))
    return [(series, 150)]


async def _cpu_per_job_ms(client: HttpClient, url: str, size: int, tasks: int) -> float:
    entry = EntryClient(client, url)
    before = (await read_metrics(client, url)).cpu_s
    jobs = await _run_jobs(entry, size, tasks)
    after = (await read_metrics(client, url)).cpu_s
    return (after - before) * 1000 / jobs


async def _run_jobs(entry: EntryClient, size: int, tasks: int) -> int:
    """Run jobs that keep about half of the slots busy, and return their number."""
    jobs = max(1, tasks // size)
    rng = random.Random(SEED)
    slots = anyio.CapacityLimiter(max(1, 190 // size))

    async def run() -> None:
        async with slots:
            outcome = await entry.submit(make_job("route-build", [WORK_MS] * size, rng))
        if outcome.name != COMPLETE:
            raise TestbedError("run job", f"{outcome.name} {outcome.problem}")

    async with anyio.create_task_group() as task_group:
        for _ in range(jobs):
            task_group.start_soon(run)
    return jobs
