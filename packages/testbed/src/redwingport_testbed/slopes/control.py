"""Measure the control cost of idle entry processes by peers, workers and services."""

import json
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

import anyio

from redwingport_messages.documents import ServiceDocument, document_text
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.processes import (
    Processes,
    running_processes,
    start_entries,
    wait_until_ready,
)
from redwingport_testbed.slopes.metrics import Reading, read_metrics
from redwingport_testbed.slopes.series import Series
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, HOST, Fleet, free_base_port
from redwingport_testbed.standins.platform import Platform
from redwingport_testbed.standins.server import Site, serving

SETTLE_S = 4.0
MEASURE_S = 12.0
# No server listens for the listed workers: an idle process opens no connection to them.
UNUSED_PORT = 9


@dataclass(frozen=True, slots=True)
class SystemSize:
    """Define the system size of one measurement.

    :param entries: number of entry processes.
    :param workers: number of workers in the VM list.
    :param services: number of services.
    """

    entries: int
    workers: int
    services: int


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Store the control cost of an idle process, averaged over all processes.

    :param core_percent: CPU time, in percent of a core.
    :param memory_mb: resident memory, in megabytes.
    :param kb_per_s: traffic with peers and platform, in kilobytes per second.
    :param links: number of open peer links.
    """

    core_percent: float
    memory_mb: float
    kb_per_s: float
    links: float


async def measure_control(system_size: SystemSize) -> ControlCost:
    """Run idle entry processes with a platform and measure their control cost.

    :param system_size: numbers of entry processes, workers and services.
    """
    fleet = Fleet(DEPLOYMENT_BY_NAME["dairy"], free_base_port(), entries=system_size.entries)
    platform = Platform()
    platform.lists.replace(fleet.entry_vms() + _workers(fleet, system_size.workers))
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        settings = fleet.write_settings(directory, {"log": {"level": "warning"}})
        async with (
            serving([Site(platform.app, fleet.base_port)]),
            running_processes(directory) as processes,
        ):
            client = HttpClient()
            await _create_services(client, fleet, system_size.services)
            await start_entries(processes, fleet, settings)
            urls = [f"http://{vm.host}:{vm.port}" for vm in fleet.entry_vms()]
            await _wait_ready(processes, fleet, urls, client)
            cost = await _measure(client, urls)
            await client.aclose()
            return cost


async def control_series(quick: bool) -> list[tuple[Series, float]]:
    """Measure the control cost by number of peers, workers and services.

    :param quick: measure few small points, to test the tool.
    :returns: pairs of a series and its planned size.
    """
    entries = (2, 3, 4, 5) if quick else (8, 16, 30, 60)
    workers = (24, 48, 96, 192) if quick else (24, 240, 960, 1900)
    services = (8, 16, 32, 64) if quick else (8, 80, 160, 320)
    rows: list[tuple[Series, float]] = []
    by_entries = [(n, await measure_control(SystemSize(n, 24, 8))) for n in entries]
    by_links = [(cost.links, cost) for _, cost in by_entries]
    rows += _rows("open links", by_links, 28)
    rows += _rows(
        "workers", [(n, await measure_control(SystemSize(2, n, 8))) for n in workers], 1900
    )
    rows += _rows(
        "services", [(n, await measure_control(SystemSize(2, 24, n))) for n in services], 160
    )
    return rows


def _rows(
    size: str, costs: list[tuple[float, ControlCost]], planned: float
) -> list[tuple[Series, float]]:
    names = {
        "control, % of a core": "core_percent",
        "memory, MB": "memory_mb",
        "control, KB/s": "kb_per_s",
    }
    return [
        (
            Series(name, size, tuple((n, getattr(cost, member)) for n, cost in costs)),
            planned,
        )
        for name, member in names.items()
    ]


def _workers(fleet: Fleet, count: int) -> tuple[VmInfo, ...]:
    domains = fleet.deployment.domains
    return tuple(
        VmInfo(
            vm=f"worker-{number + 1:04}",
            kind=VmKind.WORKER,
            domain=domains[number % len(domains)],
            host=HOST,
            port=UNUSED_PORT,
            rack=f"rack-{number // 6 + 1}",
            slots=16,
            cpus=16,
            memory_mb=65536,
        )
        for number in range(count)
    )


async def _create_services(client: HttpClient, fleet: Fleet, count: int) -> None:
    ops = []
    for number in range(count):
        document = ServiceDocument(name=f"service-{number}", team=f"team-{number % 80}")
        key, value = f"services/{document.name}", document_text(document)
        ops.append({"op": "insert", "key": key, "value": value, "revision": 0})
    body = json.dumps({"ops": ops}).encode()
    await client.request("POST", f"{fleet.platform_url}/table/transaction", body)


async def _wait_ready(
    processes: Processes, fleet: Fleet, urls: list[str], client: HttpClient
) -> None:
    for vm, url in zip(fleet.entry_vms(), urls, strict=True):
        await wait_until_ready(processes, vm.vm, url, client)
    await anyio.sleep(SETTLE_S)


async def _measure(client: HttpClient, urls: list[str]) -> ControlCost:
    started_at = anyio.current_time()
    before = [await read_metrics(client, url) for url in urls]
    await anyio.sleep(MEASURE_S)
    after = [await read_metrics(client, url) for url in urls]
    seconds = anyio.current_time() - started_at
    return ControlCost(
        100 * _rate(before, after, "cpu_s", seconds),
        statistics.fmean(reading.memory_mb for reading in after),
        _rate(before, after, "control_bytes", seconds) / 1000,
        statistics.fmean(reading.value_by_name["redwingport_peer_links"] for reading in after),
    )


def _rate(before: list[Reading], after: list[Reading], member: str, seconds: float) -> float:
    pairs = zip(before, after, strict=True)
    return statistics.fmean(getattr(b, member) - getattr(a, member) for a, b in pairs) / seconds
