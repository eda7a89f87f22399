"""Measure CPU time ratios within one run, which do not depend on the machine's speed."""

import random
import tempfile
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from redwingport_testbed.entry_client import EntryClient, make_job, make_request
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import ConnectionBrokenError, HttpClient
from redwingport_testbed.processes import (
    running_processes,
    start_entries,
    start_stand_ins,
    wait_until_ready,
)
from redwingport_testbed.slopes.metrics import read_metrics
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, HOST, Fleet, free_base_port

ROUNDS = 5
REQUESTS = 1500
JOB_TASKS = 3000
CONCURRENCY = 24
WORK_MS = 10.0
START_TIMEOUT_S = 20.0
SEED = 7


@dataclass(frozen=True, slots=True)
class Ratios:
    """Store CPU time ratios of an entry process.

    :param request_over_echo: one request relative to one request to the HTTP echo.
    :param batched_over_single: one task in a job of 150 relative to a job of one task.
    :param logged_over_silent: one request with decision log lines relative to one without.
    :param request_ms: CPU time of one request, in milliseconds; depends on the machine.
    """

    request_over_echo: float
    batched_over_single: float
    logged_over_silent: float
    request_ms: float


async def measure_ratios() -> Ratios:
    """Measure all ratios in one run.

    The variants alternate and the cheapest round of each counts, so that other load on the
    machine does not affect only one variant.
    """
    cost_by_name: dict[str, list[float]] = defaultdict(list)
    async with _entry("true") as logged, _entry("false") as silent, _echo() as echo:
        for _ in range(ROUNDS):
            cost_by_name["echo"].append(await _cost(echo, _send_requests, REQUESTS))
            cost_by_name["logged"].append(await _cost(logged, _send_requests, REQUESTS))
            cost_by_name["silent"].append(await _cost(silent, _send_requests, REQUESTS))
            cost_by_name["single"].append(await _cost(logged, _send_single_jobs, JOB_TASKS // 3))
            cost_by_name["batched"].append(await _cost(logged, _send_batched_jobs, JOB_TASKS))
    least = {name: min(costs) for name, costs in cost_by_name.items()}
    return Ratios(
        least["logged"] / least["echo"],
        least["batched"] / least["single"],
        least["logged"] / least["silent"],
        least["logged"] * 1000,
    )


@asynccontextmanager
async def _entry(decisions: str) -> AsyncIterator[EntryClient]:
    fleet = Fleet(DEPLOYMENT_BY_NAME["dairy"], free_base_port(), entries=1)
    async with _directory() as directory, running_processes(directory) as processes:
        settings = fleet.write_settings(directory, {"log": {"decisions": decisions}})
        await start_stand_ins(processes, fleet)
        await start_entries(processes, fleet, settings)
        client = HttpClient()
        vm = fleet.entry_vms()[0]
        url = f"http://{vm.host}:{vm.port}"
        await wait_until_ready(processes, vm.vm, url, client)
        entry = EntryClient(client, url)
        team = fleet.deployment.team
        job_document = {"name": "route-build", "team": team, "jobs": {}}
        await entry.create_service(job_document, fleet.token)
        desk = {"name": "route-desk", "team": team, "operations": {"stop-check": {}}}
        await entry.create_service(desk, fleet.token)
        await _send_requests(entry, REQUESTS // 5)
        await _send_batched_jobs(entry, JOB_TASKS // 2)
        yield entry
        await client.aclose()


@asynccontextmanager
async def _echo() -> AsyncIterator[EntryClient]:
    port = free_base_port()
    async with _directory() as directory, running_processes(directory) as processes:
        await processes.start("echo", ["redwingport-testbed", "echo", "--port", str(port)])
        client = HttpClient()
        url = f"http://{HOST}:{port}"
        with anyio.fail_after(START_TIMEOUT_S):
            while not await _is_serving(client, url):
                await anyio.sleep(0.05)
        entry = EntryClient(client, url)
        await _send_requests(entry, REQUESTS // 5)
        yield entry
        await client.aclose()


@asynccontextmanager
async def _directory() -> AsyncIterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


async def _is_serving(client: HttpClient, url: str) -> bool:
    try:
        return (await client.request("GET", f"{url}/metrics")).status == 200
    except ConnectionBrokenError:
        return False


async def _cost(
    entry: EntryClient, load: Callable[[EntryClient, int], Awaitable[None]], count: int
) -> float:
    """Return the CPU time per request or task, in seconds."""
    # The server may have closed idle connections of an earlier round.
    client = HttpClient()
    before = (await read_metrics(client, entry.url)).cpu_s
    await load(EntryClient(client, entry.url), count)
    after = (await read_metrics(client, entry.url)).cpu_s
    await client.aclose()
    return (after - before) / count


async def _send_requests(entry: EntryClient, count: int) -> None:
    rng = random.Random(SEED)

    async def send() -> None:
        outcome = await entry.submit(make_request("route-desk", "stop-check", WORK_MS, rng))
        _require_answer(outcome.status)

    await _repeat(send, count, CONCURRENCY)


async def _send_single_jobs(entry: EntryClient, count: int) -> None:
    await _send_jobs(entry, count, 1, CONCURRENCY)


async def _send_batched_jobs(entry: EntryClient, count: int) -> None:
    await _send_jobs(entry, count // 150, 150, 1)


async def _send_jobs(entry: EntryClient, jobs: int, size: int, concurrency: int) -> None:
    rng = random.Random(SEED)

    async def send() -> None:
        outcome = await entry.submit(make_job("route-build", [WORK_MS] * size, rng))
        _require_answer(outcome.status)

    await _repeat(send, jobs, concurrency)


async def _repeat(send: Callable[[], Awaitable[None]], count: int, concurrency: int) -> None:
    left = count

    async def run() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            await send()

    async with anyio.create_task_group() as task_group:
        for _ in range(concurrency):
            task_group.start_soon(run)


def _require_answer(status: int) -> None:
    if status != 200:
        raise TestbedError("measure ratios", f"submission was answered with status {status}")
