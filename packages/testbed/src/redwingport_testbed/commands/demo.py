"""Run a deployment on this machine and check its main guarantees."""

import argparse
import random
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from time import monotonic

import anyio

from redwingport_testbed.entry_client import (
    COMPLETE,
    Call,
    EntryClient,
    Outcome,
    make_job,
    make_request,
    resubmission,
)
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
from redwingport_testbed.stand_in_counts import sum_counts, tasks_started_twice
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet, free_base_port

HELP = "run stand-ins and entry processes, submit work and check the answers"
TASKS_PER_JOB = 150
BURST_REQUESTS = 300
TASK_WORK_MS = (50.0, 400.0)
REQUEST_WORK_MS = (20.0, 80.0)
# Guaranteed time until a change is in force on all entry processes.
IN_FORCE_TIMEOUT_S = 11.0
MAX_RUN_S = 110.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENT_BY_NAME), default="dairy")
    parser.add_argument("--base-port", type=int, help="default: a free range")
    parser.add_argument("--entries", type=int, default=6, help="entry processes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", type=Path, help="keep settings and logs here")


def run(options: argparse.Namespace) -> int:
    """Run the demo; the exit code is 0 only if all checks pass."""
    base_port = options.base_port or free_base_port()
    fleet = Fleet(DEPLOYMENT_BY_NAME[options.deployment], base_port, options.entries)
    with tempfile.TemporaryDirectory(prefix="redwingport-demo-") as temporary:
        directory = options.directory or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        failures = anyio.run(
            _run, fleet, directory, options.seed, backend_options={"use_uvloop": True}
        )
    for failure in failures:
        print(f"FAILED: {failure}")
    print(
        "demo failed" if failures else "demo passed: all answers were complete, no task ran twice"
    )
    return 1 if failures else 0


async def _run(fleet: Fleet, directory: Path, seed: int) -> list[str]:
    with anyio.move_on_after(MAX_RUN_S):
        async with running_processes(directory) as processes:
            return await Demo(fleet, processes, random.Random(seed)).run(directory)
    return [f"not finished after {MAX_RUN_S:.0f} s"]


class Demo:
    """Run the steps of the demo and collect the failed checks.

    :param fleet: deployment to run.
    :param processes: subprocesses of the demo.
    :param rng: source of randomness for work and tokens.
    """

    def __init__(self, fleet: Fleet, processes: Processes, rng: random.Random) -> None:
        self._fleet = fleet
        self._processes = processes
        self._rng = rng
        self._client = HttpClient()
        self._entries = [
            EntryClient(self._client, f"http://{vm.host}:{vm.port}") for vm in fleet.entry_vms()
        ]
        self._failures: list[str] = []
        self._start_at = monotonic()

    async def run(self, directory: Path) -> list[str]:
        """Run all steps.

        :returns: one message per failed check.
        """
        try:
            await self._start(directory)
            await self._create_services()
            await self._run_jobs()
            await self._run_burst()
            await self._check_counts()
        except TestbedError as error:
            self._failures.append(str(error))
        await self._stop()
        return self._failures

    def _print_progress(self, text: str) -> None:
        print(f"[{monotonic() - self._start_at:6.2f} s] {text}", flush=True)

    async def _start(self, directory: Path) -> None:
        fleet = self._fleet
        await start_stand_ins(self._processes, fleet)
        self._print_progress(
            f"stand-ins are ready: platform, {fleet.workers} workers, {fleet.executors} executors"
        )
        await start_entries(self._processes, fleet, fleet.write_settings(directory))
        for vm, entry in zip(fleet.entry_vms(), self._entries, strict=True):
            await wait_until_ready(self._processes, vm.vm, entry.url, self._client)
        domains = len({vm.domain for vm in fleet.entry_vms()})
        self._print_progress(
            f"{fleet.entries} entry processes are ready in {domains} failure domains"
        )

    async def _create_services(self) -> None:
        documents = self._fleet.service_documents()
        created_at = monotonic()
        for number, document in enumerate(documents):
            entry = self._entries[number % len(self._entries)]
            await entry.create_service(document, self._fleet.token)
        with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
            for entry in self._entries:
                for document in documents:
                    while not await entry.knows_service(document["name"], self._fleet.token):
                        await anyio.sleep(POLL_S)
            names = " and ".join(document["name"] for document in documents)
            self._print_progress(
                f"{names} in force on all entries after {monotonic() - created_at:.2f} s"
            )
            return
        raise TestbedError(
            "create services", f"not in force on all entry processes after {IN_FORCE_TIMEOUT_S} s"
        )

    async def _run_jobs(self) -> None:
        calls = [self._make_job() for _ in self._entries]
        ids = [await entry.issue_id() for entry in self._entries]
        outcomes = await self._submit_all(
            [
                (entry, call, resubmission(submission_id))
                for entry, call, submission_id in zip(self._entries, calls, ids, strict=True)
            ]
        )
        self._report(f"{len(calls)} jobs of {TASKS_PER_JOB} tasks", outcomes)
        await self._resubmit(calls[0], ids[0], outcomes[0])

    async def _resubmit(self, call: Call, submission_id: str, first: Outcome) -> None:
        """Resubmit a finished job at other entry VMs, which may be in another failure domain."""
        for other in (self._entries[1], self._entries[-1]):
            again = await other.submit(call, resubmission(submission_id))
            if again.name != COMPLETE or again.body != first.body:
                self._failures.append(
                    f"resubmission of {submission_id} at {other.url}: {again.name} "
                    f"{again.problem}, {len(again.body)} bytes instead of {len(first.body)}"
                )
            else:
                self._print_progress(
                    f"resubmission at {other.url}: the same {len(again.body)} bytes"
                )

    async def _run_burst(self) -> None:
        deployment = self._fleet.deployment
        submissions: list[tuple[EntryClient, Call, dict[str, str]]] = []
        for number in range(BURST_REQUESTS):
            # One request in ten is an order; the others are checks.
            operation = deployment.operations[1 if number % 10 == 9 else 0]
            work_ms = round(self._rng.uniform(*REQUEST_WORK_MS), 1)
            call = make_request(deployment.request_service, operation, work_ms, self._rng)
            submissions.append((self._entries[number % len(self._entries)], call, {}))
        outcomes = await self._submit_all(submissions)
        self._report(
            f"burst of {BURST_REQUESTS} requests ({', '.join(deployment.operations)})", outcomes
        )

    def _make_job(self) -> Call:
        works = [round(self._rng.uniform(*TASK_WORK_MS), 1) for _ in range(TASKS_PER_JOB)]
        return make_job(self._fleet.deployment.job_service, works, self._rng)

    async def _submit_all(
        self, submissions: Sequence[tuple[EntryClient, Call, dict[str, str]]]
    ) -> list[Outcome]:
        """Submit everything concurrently and wait for all answers."""
        outcome_by_number: dict[int, Outcome] = {}

        async def submit(number: int) -> None:
            entry, call, headers = submissions[number]
            outcome_by_number[number] = await entry.submit(call, headers)

        async with anyio.create_task_group() as group:
            for number in range(len(submissions)):
                group.start_soon(submit, number)
        return [outcome_by_number[number] for number in range(len(submissions))]

    def _report(self, what: str, outcomes: Sequence[Outcome]) -> None:
        counts = Counter(f"{item.name} {item.problem}".strip() for item in outcomes)
        text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
        self._print_progress(f"{what}: {text}")
        if any(item.name != COMPLETE for item in outcomes):
            self._failures.append(f"{what}: {text}")

    async def _check_counts(self) -> None:
        fleet = self._fleet
        expected = {"worker": fleet.entries * TASKS_PER_JOB, "executor": BURST_REQUESTS}
        vms_by_kind = {"worker": fleet.worker_vms(), "executor": fleet.executor_vms()}
        for kind, vms in vms_by_kind.items():
            counts = await sum_counts(self._client, vms)
            twice = await tasks_started_twice(self._client, vms)
            self._print_progress(
                f"{kind}s: {counts['starts']} starts in {counts['messages']} messages, "
                f"{counts['declines']} declined, {len(twice)} started twice"
            )
            if counts["starts"] != expected[kind]:
                self._failures.append(
                    f"{kind}s started {counts['starts']} tasks instead of {expected[kind]}"
                )
            if twice:
                self._failures.append(f"{kind}s started twice: {', '.join(twice[:5])}")

    async def _stop(self) -> None:
        await self._client.aclose()
        names = [name for name in self._processes.process_by_name if name != "standins"]
        for group in (names, ["standins"]):
            running = [name for name in group if name in self._processes.process_by_name]
            for name in running:
                self._processes.signal(name)
            for name in running:
                code = await self._processes.wait(name)
                if code != 0:
                    errors = self._processes.errors_of(name)
                    self._failures.append(f"{name} exit code {code} after SIGTERM: {errors}")
        self._print_progress("all processes have ended")
