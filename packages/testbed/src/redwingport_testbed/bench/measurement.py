"""Run one scenario with real processes and collect its raw results."""

import json
import shutil
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import anyio

from redwingport_testbed.bench.arrivals import Arrival
from redwingport_testbed.bench.counters import (
    processor_s,
    read_metrics,
    read_server_counts,
    read_start_counts,
)
from redwingport_testbed.bench.faults import end_fault, fault_start_s, start_fault
from redwingport_testbed.bench.generator import Record, read_records
from redwingport_testbed.bench.scenario import (
    Scenario,
    service_documents,
    settings_changes,
)
from redwingport_testbed.entry_client import EntryClient
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.processes import (
    POLL_S,
    Processes,
    running_processes,
    start_entries,
    start_stand_ins,
    wait_until_ready,
)
from redwingport_testbed.standins.fleet import Fleet

GENERATORS = 2
# The generators need this time to read the arrivals and encode the request bodies.
START_DELAY_S = 2.5
IN_FORCE_TIMEOUT_S = 11.0
MAX_RUN_S = 120.0


@dataclass(frozen=True, slots=True)
class Measurement:
    """Store the raw results of a run.

    :param records: one record per arrival that was sent.
    :param messages: increase of the entry processes' counters during the run.
    :param servers: increase of the backend servers' counts during the run.
    :param started: number of starts by submission ID and task number.
    :param processor_s_by_process: CPU time during the run by process name, in seconds.
    :param elapsed_s: time from the start to the last answer, in seconds.
    """

    records: list[Record]
    messages: Counter[str]
    servers: Counter[str]
    started: Counter[tuple[str, int]]
    processor_s_by_process: dict[str, float]
    elapsed_s: float


async def measure(
    scenario: Scenario, fleet: Fleet, arrivals: list[Arrival], directory: Path
) -> Measurement:
    """Run a scenario and return its raw results.

    :param scenario: scenario to measure.
    :param fleet: deployment with its ports on this machine.
    :param arrivals: arrivals of the run.
    :param directory: directory for settings, logs and records.
    :raises TestbedError: if a process does not start or the run does not finish in time.
    """
    with anyio.move_on_after(MAX_RUN_S):
        async with running_processes(directory) as processes:
            return await _ScenarioRun(scenario, fleet, processes, directory).run(arrivals)
    raise TestbedError("run scenario", f"not finished after {MAX_RUN_S:.0f} s")


class _ScenarioRun:
    def __init__(
        self, scenario: Scenario, fleet: Fleet, processes: Processes, directory: Path
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._processes = processes
        self._directory = directory
        self._client = HttpClient()
        self._urls = [f"http://{vm.host}:{vm.port}" for vm in fleet.entry_vms()]
        self._vms = fleet.worker_vms() + fleet.executor_vms()

    async def run(self, arrivals: list[Arrival]) -> Measurement:
        await self._start()
        await self._create_services()
        messages = await read_metrics(self._client, self._urls)
        servers = await read_server_counts(self._client, self._vms)
        processor = self._processor_s()
        outputs, elapsed_s = await self._generate(arrivals)
        # The servers may have closed the connections that were idle during the run.
        await self._client.aclose()
        used = {
            name: round(seconds - processor.get(name, 0.0), 3)
            for name, seconds in self._processor_s().items()
        }
        await end_fault(self._scenario, self._fleet, self._client, self._processes)
        after = await read_metrics(self._client, self._urls)
        after_servers = await read_server_counts(self._client, self._vms)
        started = await read_start_counts(self._client, self._vms)
        await self._client.aclose()
        records = read_records(outputs)
        return Measurement(
            records, after - messages, after_servers - servers, started, used, elapsed_s
        )

    async def _start(self) -> None:
        changes = settings_changes(self._scenario)
        settings = self._fleet.write_settings(self._directory, changes)
        await start_stand_ins(self._processes, self._fleet)
        await start_entries(self._processes, self._fleet, settings)
        for vm, url in zip(self._fleet.entry_vms(), self._urls, strict=True):
            await wait_until_ready(self._processes, vm.vm, url, self._client)

    async def _create_services(self) -> None:
        documents = service_documents(self._fleet.deployment)
        entries = [EntryClient(self._client, url) for url in self._urls]
        for document in documents:
            await entries[0].create_service(document, self._fleet.token)
        with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
            for entry in entries:
                for document in documents:
                    while not await entry.knows_service(document["name"], self._fleet.token):
                        await anyio.sleep(POLL_S)
            return
        raise TestbedError(
            "create services", f"not in force on all entry processes after {IN_FORCE_TIMEOUT_S} s"
        )

    async def _generate(self, arrivals: list[Arrival]) -> tuple[list[Path], float]:
        path = self._directory / "arrivals.json"
        path.write_text(json.dumps([a.as_json() for a in arrivals]), encoding="utf-8")
        start_at = monotonic() + START_DELAY_S
        outputs = [self._directory / f"records-{number}.json" for number in range(GENERATORS)]
        async with anyio.create_task_group() as group:
            group.start_soon(self._start_fault, start_at)
            for number, output in enumerate(outputs):
                await self._start_generator(number, path, start_at, output)
            for number in range(GENERATORS):
                name = f"generator-{number}"
                code = await self._processes.process_by_name[name].wait()
                if code != 0:
                    reason = f"exit code {code}: {self._processes.errors_of(name)}"
                    raise TestbedError(f"run {name}", reason)
        return outputs, monotonic() - start_at

    async def _start_generator(
        self, number: int, arrivals: Path, start_at: float, output: Path
    ) -> None:
        urls = [option for url in self._urls for option in ("--target", url)]
        command = [
            *("redwingport-testbed", "bench", "generate"),
            *("--arrivals", str(arrivals), "--output", str(output)),
            *("--number", str(number), "--count", str(GENERATORS)),
            *("--start-at", repr(start_at), *urls),
        ]
        await self._processes.start(f"generator-{number}", command)

    async def _start_fault(self, start_at: float) -> None:
        await anyio.sleep(max(0.0, start_at + fault_start_s(self._scenario) - monotonic()))
        await start_fault(self._scenario, self._fleet, self._client, self._processes)

    def _processor_s(self) -> dict[str, float]:
        return {
            name: processor_s(process.pid)
            for name, process in self._processes.process_by_name.items()
        }


def copy_logs(directory: Path, target: Path) -> None:
    """Copy the logs and standard error output of a run's processes for later analysis."""
    target.mkdir(parents=True, exist_ok=True)
    for path in [*directory.glob("*.log"), *directory.glob("*.stderr")]:
        shutil.copy(path, target)
