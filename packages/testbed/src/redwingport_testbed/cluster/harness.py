"""Run entry processes against stand-ins, inject faults and check the stand-ins' counts."""

import configparser
import json
import os
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import anyio

from redwingport_messages.backend import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_SUBMISSION,
    HEADER_TIMEOUT_MS,
)
from redwingport_messages.vms import VmInfo
from redwingport_testbed.cluster.ledger import VIOLATIONS, ledger
from redwingport_testbed.cluster.network import Network
from redwingport_testbed.entry_client import (
    JSON_HEADERS,
    NO_ANSWER,
    WRONG_ANSWER,
    Call,
    EntryClient,
    Outcome,
    judge,
    make_job,
    make_request,
)
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import ConnectionBrokenError, HttpAnswer, HttpClient
from redwingport_testbed.processes import Processes, running_processes, wait_until_ready
from redwingport_testbed.standins.fleet import (
    DEPLOYMENT_BY_NAME,
    HOST,
    Fleet,
    StandIns,
    free_base_port,
    serve_stand_ins,
)

# Names the mechanism that redwingport_testbed.cluster.without disables in the entry processes.
WITHOUT_VARIABLE = "REDWINGPORT_WITHOUT"
POLL_S = 0.05
WAIT_S = 30.0
MAX_TEST_S = 100.0
DEFAULT_SETTINGS_CHANGES = {
    "platform": {"list_poll_s": "0.5"},
    "limits": {"drain_timeout_s": "20"},
}

VmEdit = Callable[[VmInfo], VmInfo | None]
SettingsChanges = Mapping[str, Mapping[str, str]]


@dataclass(frozen=True, slots=True)
class Reply:
    """Store the answer to one submission.

    :param outcome: the reported outcome.
    :param submission_id: the submission id; empty if none was given or returned.
    :param retryable: whether the reported problem allows the submission to be sent again.
    """

    outcome: Outcome
    submission_id: str
    retryable: bool = False

    @property
    def name(self) -> str:
        """Return the name of the outcome."""
        return self.outcome.name


def make_fleet(entries: int = 6, servers: int = 6, deployment: str = "sala") -> Fleet:
    """Lay out a small deployment on free ports, with servers in all failure domains."""
    layout = DEPLOYMENT_BY_NAME[deployment]
    return Fleet(layout, free_base_port(), entries, workers=servers, executors=servers)


@dataclass(slots=True)
class Cluster:
    """Control a running cluster and count its answers and starts.

    :param fleet: the deployment.
    :param stand_ins: platform, workers and executors, which run in this process.
    :param network: relays on the links between the processes, which tests can cut.
    :param processes: the entry processes.
    :param directory: directory of settings and logs.
    """

    fleet: Fleet
    stand_ins: StandIns
    network: Network
    processes: Processes
    directory: Path
    client: HttpClient = field(default_factory=HttpClient)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    counts: Counter[str] = field(default_factory=Counter)
    _idempotent_ids: set[str] = field(default_factory=set)
    _not_run_ids: set[str] = field(default_factory=set)

    @property
    def vms(self) -> tuple[VmInfo, ...]:
        """Return the entry VMs."""
        return self.fleet.entry_vms()

    @property
    def job_service(self) -> str:
        """Return the name of the service that runs jobs."""
        return self.fleet.deployment.job_service

    def url(self, number: int, path: str = "") -> str:
        """Return the URL of a path at an entry VM; VMs are numbered from 0."""
        vm = self.vms[number]
        return f"http://{vm.host}:{vm.port}{path}"

    def job(self, *works_ms: float) -> Call:
        """Make a job with one task per given amount of work, in milliseconds at speed 1."""
        return make_job(self.job_service, works_ms, self.rng)

    def request(self, work_ms: float, idempotent: bool = False) -> Call:
        """Make a request to the idempotent or to the non-idempotent operation."""
        deployment = self.fleet.deployment
        operation = deployment.operations[0 if idempotent else 1]
        return make_request(deployment.request_service, operation, work_ms, self.rng)

    async def issue(self, number: int) -> str:
        """Request a submission id from an entry VM."""
        return await EntryClient(self.client, self.url(number)).issue_id()

    async def submit(
        self,
        number: int,
        call: Call,
        submission_id: str = "",
        key: str = "",
        timeout_ms: int = 20_000,
    ) -> Reply:
        """Send a submission once, check its answer and count the violations in it."""
        headers = JSON_HEADERS | {HEADER_TIMEOUT_MS: str(timeout_ms)}
        if submission_id:
            headers |= {HEADER_SUBMISSION: submission_id}
        if key:
            headers |= {HEADER_IDEMPOTENCY_KEY: key}
        if call.operation == self.fleet.deployment.operations[0]:
            self._idempotent_ids.add(submission_id)
        try:
            url = self.url(number, call.path)
            answer = await self.client.request("POST", url, call.body, headers)
        except ConnectionBrokenError:
            return Reply(Outcome(NO_ANSWER, 0, "", b""), submission_id)
        return self._record_answer(call, answer)

    async def submit_all(self, *submissions: Awaitable[Reply]) -> list[Reply]:
        """Wait for several concurrent submissions."""
        return await gather(*submissions)

    def starts_of(self, submission_id: str) -> int:
        """Return the number of task starts that the stand-ins counted for a submission."""
        return sum(n for (name, _), n in self.starts().items() if name == submission_id)

    def starts(self) -> Counter[tuple[str, int]]:
        """Return the number of starts of every task, summed over all servers."""
        total: Counter[tuple[str, int]] = Counter()
        counts = [worker.starts for worker in self.stand_ins.workers]
        counts += [executor.starts for executor in self.stand_ins.executors]
        for count in counts:
            total.update(count.count_by_task)
        return total

    def violations(self) -> dict[str, int]:
        """Return the counts of duplicate starts, partial answers and false "not run" reports."""
        starts = self.starts()
        self.counts["starts"] = starts.total()
        self.counts["duplicates"] = sum(
            count - 1 for (name, _), count in starts.items() if name not in self._idempotent_ids
        )
        late = sum(1 for name in self._not_run_ids if self.starts_of(name))
        return {name: self.counts[name] for name in VIOLATIONS} | {
            "false_not_run": self.counts["false_not_run"] + late
        }

    def check_guarantee(self, guarantee: str, *faults: str) -> None:
        """Add the counts to the ledger and assert that no violation was found.

        :raises AssertionError: when a guarantee was violated.
        """
        found = self.violations()
        self.counts["false_not_run"] = found["false_not_run"]
        ledger.add(guarantee, faults, self.counts)
        assert not any(found.values()), f"{guarantee}: {found}"

    def _record_answer(self, call: Call, answer: HttpAnswer) -> Reply:
        outcome = judge(call, answer)
        submission_id = answer.headers.get(HEADER_SUBMISSION.lower(), "")
        if call.operation == self.fleet.deployment.operations[0]:
            self._idempotent_ids.add(submission_id)
        self.counts["answers"] += 1
        self.counts["partial"] += outcome.name == WRONG_ANSWER
        self._not_run_ids.discard(submission_id)
        if outcome.name == "not-run" and submission_id:
            # A start after this answer is a violation too, unless the id is submitted again.
            self.counts["false_not_run"] += bool(self.starts_of(submission_id))
            self._not_run_ids.add(submission_id)
        members = json.loads(outcome.body) if outcome.status not in (0, 200) else {}
        return Reply(outcome, submission_id, members.get("retryable") is True)

    async def operator(
        self, number: int, method: str, path: str, body: Any = None, **headers: str
    ) -> HttpAnswer:
        """Send a request with the operator's token."""
        content = b"" if body is None else json.dumps(body).encode()
        all_headers = {"authorization": f"Bearer {self.fleet.token}", **JSON_HEADERS}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.request(method, self.url(number, path), content, all_headers)

    async def start(self, *numbers: int, ready: bool = True) -> None:
        """Start entry processes and wait until they are ready."""
        mechanism = os.environ.get(WITHOUT_VARIABLE, "")
        command = ["redwingport-entry"]
        if mechanism:
            command = ["python", "-m", "redwingport_testbed.cluster.without", mechanism]
        for number in numbers:
            name = self.vms[number].vm
            path = self.directory / f"{name}.ini"
            await self.processes.start(name, [*command, "--settings", str(path)])
        for number in numbers if ready else ():
            name = self.vms[number].vm
            await wait_until_ready(self.processes, name, self.url(number), self.client)

    def signal(self, number: int, kind: signal.Signals) -> None:
        """Send a signal to an entry process."""
        self.processes.signal(self.vms[number].vm, kind)

    async def kill(self, number: int) -> None:
        """Kill an entry process and wait until it has exited."""
        self.signal(number, signal.SIGKILL)
        await self.processes.wait(self.vms[number].vm)

    async def stop(self, number: int) -> int | None:
        """Shut down an entry process gracefully and return its exit code."""
        self.signal(number, signal.SIGTERM)
        return await self.processes.wait(self.vms[number].vm)

    def log(self, number: int) -> str:
        """Return the log file and the standard error of an entry process."""
        name = self.vms[number].vm
        texts = [self.directory / f"{name}.log", self.directory / f"{name}.stderr"]
        return "".join(path.read_text(errors="replace") for path in texts if path.exists())

    async def wait_until_linked(self) -> None:
        """Wait until every entry process is linked to all peers of its failure domain."""
        for number, vm in enumerate(self.vms):
            own = {other.vm for other in self.vms if other.domain == vm.domain}

            async def complete(number: int = number, own: set[str] = own) -> bool:
                answer = await self.operator(number, "GET", "/v1/entries")
                rows = json.loads(answer.body)["entries"]
                return own <= {row["vm"] for row in rows if row["linked"]}

            await eventually(complete, f"{vm.vm} is linked")

    async def create_services(self) -> None:
        """Create the service documents and wait until they are in force everywhere."""
        jobs, requests = self.fleet.service_documents()
        idempotent = self.fleet.deployment.operations[0]
        requests["operations"][idempotent]["idempotent"] = True
        for document in (jobs, requests):
            await EntryClient(self.client, self.url(0)).create_service(document, self.fleet.token)
            for number in range(len(self.vms)):
                await self.wait_until_in_force(number, document["name"], 1)

    async def wait_until_in_force(self, number: int, service: str, revision: int) -> None:
        """Wait until an entry process applies this revision or a later one."""

        async def reached() -> bool:
            return await self.revision(number, service) >= revision

        await eventually(reached, f"{service} {revision} at {self.vms[number].vm}")

    async def revision(self, number: int, service: str) -> int:
        """Return the revision of a service that an entry process applies, 0 for none."""
        answer = await self.operator(number, "GET", f"/v1/services/{service}")
        return int(json.loads(answer.body)["revision"]) if answer.status == 200 else 0


async def gather(*calls: Awaitable[Any]) -> list[Any]:
    """Run awaitables concurrently and return their results in order."""
    result_by_number: dict[int, Any] = {}

    async def run(number: int, call: Awaitable[Any]) -> None:
        result_by_number[number] = await call

    async with anyio.create_task_group() as group:
        for number, call in enumerate(calls):
            group.start_soon(run, number, call)
    return [result_by_number[number] for number in range(len(calls))]


async def eventually(
    condition: Callable[[], Awaitable[bool]], description: str, timeout_s: float = WAIT_S
) -> float:
    """Wait until a condition holds.

    :returns: the time until the condition held, in seconds.
    :raises TestbedError: if it does not hold within the given time.
    """
    began_at = monotonic()
    while monotonic() - began_at < timeout_s:
        if await condition():
            return monotonic() - began_at
        await anyio.sleep(POLL_S)
    raise TestbedError("wait", f"not within {timeout_s} s: {description}")


async def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float = WAIT_S
) -> float:
    """Wait until a synchronous condition holds; see :func:`eventually`."""

    async def holds() -> bool:
        return bool(condition())

    return await eventually(holds, description, timeout_s)


@asynccontextmanager
async def running_cluster(
    fleet: Fleet,
    directory: Path,
    changes: SettingsChanges | None = None,
    edit: VmEdit | None = None,
    started: Sequence[int] | None = None,
) -> AsyncIterator[Cluster]:
    """Run a cluster with its services for the duration of the context.

    :param fleet: the deployment.
    :param directory: directory for settings and logs.
    :param changes: settings to override, by section and key.
    :param edit: changes a VM of the initial list, or drops it by returning None.
    :param started: numbers of the entry VMs to start; all by default.
    """
    numbers = range(fleet.entries) if started is None else started
    failure: Exception | None = None
    async with (
        serve_stand_ins(fleet) as stand_ins,
        running_processes(directory) as processes,
    ):
        if edit is not None:
            edited = [edit(vm) for vm in fleet.vm_list().vms]
            stand_ins.platform.lists.replace(tuple(vm for vm in edited if vm is not None))
        network = Network()
        async with network.serving(fleet.entry_vms(), stand_ins.platform):
            _write_settings(fleet, network, directory, changes or {})
            cluster = Cluster(fleet, stand_ins, network, processes, directory)
            await cluster.start(*numbers)
            if started is None:
                await cluster.wait_until_linked()
                await cluster.create_services()
            try:
                with anyio.fail_after(MAX_TEST_S):
                    yield cluster
            except Exception as error:
                # Raised again outside the task groups, each of which would wrap it in a group.
                failure = _innermost(error)
            finally:
                with anyio.CancelScope(shield=True):
                    await cluster.client.aclose()
                    await processes.kill_all()
    if failure is not None:
        raise failure


def _innermost(error: Exception) -> Exception:
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def _write_settings(
    fleet: Fleet, network: Network, directory: Path, changes: SettingsChanges
) -> None:
    names = DEFAULT_SETTINGS_CHANGES.keys() | changes.keys()
    merged = {
        name: {**DEFAULT_SETTINGS_CHANGES.get(name, {}), **changes.get(name, {})} for name in names
    }
    paths = fleet.write_settings(directory, merged)
    for vm, path in zip(fleet.entry_vms(), paths, strict=True):
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(path)
        port = network.relay_to_platform_by_vm[vm.vm].port
        parser["platform"]["url"] = f"http://{HOST}:{port}"
        ports = network.peer_ports(vm.domain)
        if "seeds" not in changes.get("peers", {}):
            seeds = [f"{HOST}:{port}" for name, port in ports.items() if name != vm.vm]
            parser["peers"]["seeds"] = ",".join(seeds)
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
