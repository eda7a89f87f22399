"""Measure the time to propagate a change and the time to restart a process."""

import json
import signal
import tempfile
from pathlib import Path

import anyio

from redwingport_testbed.entry_client import EntryClient
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.processes import (
    Processes,
    running_processes,
    start_entries,
    wait_until_ready,
)
from redwingport_testbed.slopes.series import Series
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet, free_base_port
from redwingport_testbed.standins.platform import Platform
from redwingport_testbed.standins.server import Site, serving

SERVICE = "route-desk"
CHANGES = 5
MAX_WAIT_S = 30.0


async def recovery_series(quick: bool) -> list[tuple[Series, float]]:
    """Measure the propagation of a change and a restart by number of processes.

    :param quick: measure few small points, to test the tool.
    :returns: pairs of a series in milliseconds and its planned number of processes.
    """
    sizes = (2, 3, 4, 5) if quick else (6, 12, 24, 48)
    changes, restarts = [], []
    for size in sizes:
        change_ms, restart_ms = await _measure(size)
        changes.append((float(size), change_ms))
        restarts.append((float(size), restart_ms))
    return [
        (Series("change in force everywhere, ms", "processes", tuple(changes)), 65),
        (Series("kill to ready again, ms", "processes", tuple(restarts)), 65),
    ]


async def _measure(size: int) -> tuple[float, float]:
    fleet = Fleet(DEPLOYMENT_BY_NAME["dairy"], free_base_port(), entries=size)
    platform = Platform()
    platform.lists.replace(fleet.entry_vms())
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        settings = fleet.write_settings(directory, {"log": {"level": "warning"}})
        async with (
            serving([Site(platform.app, fleet.base_port)]),
            running_processes(directory) as processes,
        ):
            client = HttpClient()
            await start_entries(processes, fleet, settings)
            for vm in fleet.entry_vms():
                await wait_until_ready(processes, vm.vm, f"http://{vm.host}:{vm.port}", client)
            change_ms = max([await _change(client, fleet, n) for n in range(CHANGES)])
            restart_ms = await _restart(processes, client, fleet, settings[-1])
            await client.aclose()
            return change_ms, restart_ms


async def _change(client: HttpClient, fleet: Fleet, revision: int) -> float:
    """Return the time from a document change until it is in force everywhere, in milliseconds."""
    vm = fleet.entry_vms()[0]
    url = f"http://{vm.host}:{vm.port}/v1/services/{SERVICE}"
    token = {"Authorization": f"Bearer {fleet.token}"}
    condition = {"If-Match": f'"{revision}"'} if revision else {"If-None-Match": "*"}
    document = {"name": SERVICE, "team": "dairy", "queue_limit": 100 + revision}
    started_at = anyio.current_time()
    body = json.dumps(document).encode()
    answer = await client.request("PUT", url, body, {**token, **condition})
    if answer.status != 200:
        raise TestbedError("change document", f"answered with status {answer.status}")
    with anyio.fail_after(MAX_WAIT_S):
        while True:
            status = await client.request("GET", f"{url}/status", b"", token)
            in_force = json.loads(status.body)["in_force"]
            if list(in_force.values()).count(revision + 1) == fleet.entries:
                return (anyio.current_time() - started_at) * 1000
            await anyio.sleep(0.005)


async def _restart(
    processes: Processes, client: HttpClient, fleet: Fleet, settings: Path
) -> float:
    """Kill the last process and return the time to start it again, in milliseconds."""
    vm = fleet.entry_vms()[-1]
    processes.signal(vm.vm, signal.SIGKILL)
    await processes.wait(vm.vm)
    started_at = anyio.current_time()
    await processes.start(vm.vm, ["redwingport-entry", "--settings", str(settings)])
    entry = EntryClient(client, f"http://{vm.host}:{vm.port}")
    with anyio.fail_after(MAX_WAIT_S):
        while not await entry.ready():
            await anyio.sleep(0.01)
    return (anyio.current_time() - started_at) * 1000
