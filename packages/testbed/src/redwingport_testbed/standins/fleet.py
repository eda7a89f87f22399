"""Lay out the VMs of a deployment and serve its stand-ins."""

import configparser
import hashlib
import secrets
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from redwingport_messages.vms import VmInfo, VmKind, VmList
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.standins.executor import (
    MAX_CONNECTIONS,
    Executor,
    ExecutorSettings,
)
from redwingport_testbed.standins.platform import Platform
from redwingport_testbed.standins.server import Site, serving
from redwingport_testbed.standins.worker import Worker, WorkerSettings

HOST = "127.0.0.1"
SERVERS_PER_KIND = 24
WORKER_SLOTS = 16
EXECUTOR_SLOTS = 8
# Port ranges, as offsets from the base port.
WORKER_OFFSET = 1
EXECUTOR_OFFSET = 101
HTTP_OFFSET = 201
PEER_OFFSET = 301
PORT_SPAN = 401
MAX_ENTRIES = PEER_OFFSET - HTTP_OFFSET
# Tests of other packages choose their ports from 20,000 on.
BASE_PORTS = range(5_000, 15_000 - PORT_SPAN, PORT_SPAN)
ENTRY_WEIGHTS = (1.0, 2.0)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the failure domains, servers and services of a deployment.

    :param name: name of the deployment.
    :param region: the region of all its VMs.
    :param domains: its failure domains.
    :param speeds: speeds that the servers of a failure domain cycle through, with a mean of 1.
    :param memory_mb: memory of a worker, in megabytes.
    :param rack_size: number of workers per rack.
    :param job_service: name of the service that runs jobs.
    :param request_service: name of the service that the executors belong to.
    :param team: team that owns the services.
    :param operations: operations of the request service.
    :param response_weight: weight of response time in the service documents.
    """

    name: str
    region: str
    domains: tuple[str, ...]
    speeds: tuple[float, ...]
    memory_mb: float
    rack_size: int
    job_service: str
    request_service: str
    team: str
    operations: tuple[str, ...]
    response_weight: float


DEPLOYMENT_BY_NAME = {
    "dairy": Deployment(
        name="dairy",
        region="county",
        domains=("creamery", "north-depot", "south-depot", "farm-office"),
        speeds=(0.4, 0.7, 0.9, 1.1, 1.3, 1.6),
        memory_mb=64 * 1024,
        rack_size=6,
        job_service="route-build",
        request_service="route-desk",
        team="dairy",
        operations=("stop-check", "standing-order"),
        response_weight=0.2,
    ),
    "sala": Deployment(
        name="sala",
        region="central-thailand",
        domains=("bkk-a", "bkk-b", "nonthaburi-c"),
        speeds=(0.4, 0.6, 0.8, 0.9, 1.1, 1.2, 1.4, 1.6),
        memory_mb=32 * 1024,
        rack_size=8,
        job_service="rite-plan",
        request_service="rite-desk",
        team="sala",
        operations=("hold", "payment-confirmation"),
        response_weight=0.9,
    ),
}


@dataclass(frozen=True, slots=True)
class Fleet:
    """Assign the VMs of a deployment to ports of this machine.

    :param deployment: the deployment.
    :param base_port: port of the platform; the other ports are offsets from it.
    :param entries: number of entry VMs.
    :param workers: number of workers.
    :param executors: number of executors.
    :param token: bearer token of the operator.
    :param secret: secret shared by the entry processes.
    """

    deployment: Deployment
    base_port: int
    entries: int = 6
    workers: int = SERVERS_PER_KIND
    executors: int = SERVERS_PER_KIND
    token: str = field(default_factory=lambda: secrets.token_urlsafe(24), repr=False)
    secret: str = field(default_factory=lambda: secrets.token_hex(32), repr=False)

    def __post_init__(self) -> None:
        if not 1 <= self.entries <= MAX_ENTRIES:
            raise TestbedError("lay out fleet", f"entries must be 1 to {MAX_ENTRIES}")
        if max(self.workers, self.executors) > EXECUTOR_OFFSET - WORKER_OFFSET:
            raise TestbedError("lay out fleet", "more workers or executors than ports")

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform."""
        return f"http://{HOST}:{self.base_port}"

    def entry_vms(self) -> tuple[VmInfo, ...]:
        """List the entry VMs, assigned to the failure domains round-robin."""
        return tuple(
            VmInfo(
                vm=f"entry-{number + 1}",
                kind=VmKind.ENTRY,
                domain=self.deployment.domains[number % len(self.deployment.domains)],
                region=self.deployment.region,
                host=HOST,
                port=self.base_port + HTTP_OFFSET + number,
                peer_port=self.base_port + PEER_OFFSET + number,
                weight=ENTRY_WEIGHTS[number % len(ENTRY_WEIGHTS)],
            )
            for number in range(self.entries)
        )

    def worker_vms(self) -> tuple[VmInfo, ...]:
        """List the workers."""
        return tuple(
            VmInfo(
                vm=f"worker-{number + 1:02}",
                kind=VmKind.WORKER,
                domain=self._domain(number, self.workers),
                region=self.deployment.region,
                host=HOST,
                port=self.base_port + WORKER_OFFSET + number,
                rack=f"rack-{number // self.deployment.rack_size + 1}",
                slots=WORKER_SLOTS,
                cpus=WORKER_SLOTS,
                memory_mb=self.deployment.memory_mb,
            )
            for number in range(self.workers)
        )

    def executor_vms(self) -> tuple[VmInfo, ...]:
        """List the executors."""
        return tuple(
            VmInfo(
                vm=f"executor-{number + 1:02}",
                kind=VmKind.EXECUTOR,
                domain=self._domain(number, self.executors),
                region=self.deployment.region,
                host=HOST,
                port=self.base_port + EXECUTOR_OFFSET + number,
                service=self.deployment.request_service,
                slots=EXECUTOR_SLOTS,
                max_connections=MAX_CONNECTIONS,
            )
            for number in range(self.executors)
        )

    def vm_list(self) -> VmList:
        """Return the list of all VMs in the form that the platform accepts."""
        return VmList(version=0, vms=self.entry_vms() + self.worker_vms() + self.executor_vms())

    def service_documents(self) -> tuple[dict[str, Any], ...]:
        """Return the service documents: one for jobs, one for requests."""
        deployment = self.deployment
        shared = {"team": deployment.team, "response_weight": deployment.response_weight}
        jobs = {"name": deployment.job_service, "jobs": {"max_tasks": 150}}
        operations = {name: {"timeout_ms": 10_000} for name in deployment.operations}
        requests = {"name": deployment.request_service, "operations": operations}
        return (shared | jobs, shared | requests)

    def speed(self, number: int) -> float:
        """Return the speed of a worker or executor by its number, counted from 0."""
        return self.deployment.speeds[number % len(self.deployment.speeds)]

    def write_settings(
        self, directory: Path, changes: Mapping[str, Mapping[str, str]] | None = None
    ) -> tuple[Path, ...]:
        """Write the settings file of every entry process.

        :param directory: existing directory, which also receives a log file per process.
        :param changes: values to override or add, by section and key.
        :returns: the paths, in the order of :meth:`entry_vms`.
        """
        paths = []
        for vm in self.entry_vms():
            path = directory / f"{vm.vm}.ini"
            parser = configparser.ConfigParser(interpolation=None)
            parser.read_dict(self._sections(vm, directory))
            parser.read_dict(changes or {})
            # The file holds the shared secret.
            path.touch(mode=0o600)
            with path.open("w", encoding="utf-8") as file:
                parser.write(file)
            paths.append(path)
        return tuple(paths)

    def _sections(self, vm: VmInfo, directory: Path) -> dict[str, dict[str, str]]:
        seeds = [f"{peer.host}:{peer.peer_port}" for peer in self.entry_vms() if peer != vm]
        return {
            "entry": {
                "name": vm.vm,
                "domain": vm.domain,
                "region": vm.region,
                "weight": str(vm.weight),
                "http_host": vm.host,
                "http_port": str(vm.port),
                "peer_host": vm.host,
                "peer_port": str(vm.peer_port),
            },
            "platform": {"url": self.platform_url, "poll_s": "5", "list_poll_s": "4"},
            "peers": {"secret": self.secret, "seeds": ",".join(seeds)},
            "log": {
                "format": "json",
                "level": "info",
                "decisions": "true",
                "file": str(directory / f"{vm.vm}.log"),
            },
            "operator testbed": {
                "token_sha256": hashlib.sha256(self.token.encode()).hexdigest(),
                "teams": "*",
            },
            "quotas": {self.deployment.team: "1"},
        }

    def _domain(self, number: int, total: int) -> str:
        """Assign servers to failure domains in blocks of equal size."""
        domains = self.deployment.domains
        return domains[number * len(domains) // total]


@dataclass(frozen=True, slots=True)
class StandIns:
    """Give tests in the same process access to the running stand-ins of a fleet."""

    platform: Platform
    workers: tuple[Worker, ...]
    executors: tuple[Executor, ...]


@asynccontextmanager
async def serve_stand_ins(fleet: Fleet) -> AsyncIterator[StandIns]:
    """Serve the platform, all workers and all executors for the duration of the context."""
    platform = Platform()
    platform.lists.replace(fleet.vm_list().vms)
    workers = tuple(
        Worker(WorkerSettings(vm.vm, slots=vm.slots, speed=fleet.speed(number)))
        for number, vm in enumerate(fleet.worker_vms())
    )
    executors = tuple(
        Executor(ExecutorSettings(vm.vm, slots=vm.slots, speed=fleet.speed(number)))
        for number, vm in enumerate(fleet.executor_vms())
    )
    sites = [Site(platform.app, fleet.base_port)]
    sites += [
        Site(worker.app, vm.port) for worker, vm in zip(workers, fleet.worker_vms(), strict=True)
    ]
    sites += [
        Site(executor.app, vm.port, max_connections=vm.max_connections)
        for executor, vm in zip(executors, fleet.executor_vms(), strict=True)
    ]
    async with serving(sites):
        yield StandIns(platform, workers, executors)


def free_base_port() -> int:
    """Find a base port such that all ports of its span are free.

    :raises TestbedError: if no span is free.
    """
    order = list(BASE_PORTS)
    secrets.SystemRandom().shuffle(order)
    for base_port in order:
        if all(_is_free(port) for port in range(base_port, base_port + PORT_SPAN)):
            return base_port
    raise TestbedError("find ports", f"no range of {PORT_SPAN} consecutive free ports")


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
