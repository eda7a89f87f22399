"""Simulation of the holders and owners of a deployment with simulated servers."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from redwingport_dispatch.holder import Holder, Job, JobEnd, OwnerMessage, response_target_s
from redwingport_dispatch.interfaces import ServerListing, ShardLayout
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.owner import Notification, Owner
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import shard_of, shard_sizes
from redwingport_dispatch.settings import (
    BoundSettings,
    ListenSettings,
    ProcessSettings,
    Settings,
    StoreSettings,
)
from redwingport_messages.dispatch import CancelWork, SubmitWork
from redwingport_testbed.shards.servers import (
    Processor,
    SimulatedRun,
    SimulatedServer,
    list_servers,
)
from redwingport_testbed.shards.virtual_time import run_in_virtual_time
from redwingport_testbed.shards.workload import DEADLINE_S, JobPlan

HOLDER = "holder"
TERM = 1
ADDRESS = "127.0.0.1:1"
SETTINGS = Settings(
    process=ProcessSettings(vm="vm", domain="d0"),
    listen=ListenSettings(front=ADDRESS, ready=ADDRESS, peers=ADDRESS, metrics=ADDRESS),
    store=StoreSettings(address=ADDRESS),
    bounds=BoundSettings(lease_ms=1000, stop_ms=50, grace_s=6, far_factor=1.5),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a simulated deployment.

    :param servers: number of servers.
    :param shards: number of shards.
    :param owner_task_s: processor time that an owner needs for a task, in seconds.
    :param exchange_s: time of an exchange with a server, in seconds.
    :param hop_s: time of a message between processes, in seconds.
    """

    servers: int
    shards: int
    owner_task_s: float = 0.0027
    exchange_s: float = 0.004
    hop_s: float = 0.002


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Record how a job went.

    :param plan: the job.
    :param end: how it ended.
    :param took_s: time until its answer, in seconds.
    :param target_s: its target response time, in seconds.
    :param refusals: number of shards that refused it.
    :param runs_by_task: its runs, by name of the task.
    """

    plan: JobPlan
    end: JobEnd
    took_s: float
    target_s: float
    refusals: int
    runs_by_task: dict[str, list[SimulatedRun]]


class _Shard:
    """Connect the owner of one shard to the holder."""

    def __init__(self, number: int, simulation: "_Simulation") -> None:
        self.name = f"owner{number}"
        self.processor = Processor()
        self.listing_by_id = {
            server_id: listing
            for server_id, listing in simulation.listing_by_id.items()
            if shard_of(server_id, simulation.deployment.shards) == number
        }
        self._simulation = simulation
        self.owner = Owner(
            shard=number,
            settings=SETTINGS,
            server_clients=self,
            listing_by_id=self.listing_by_id,
            unlisted_by_id={},
            term=TERM,
            settled_at=0.0,
            may_contest=lambda: True,
            note_token=lambda token: None,
            send_notification=self._notify,
            deliver_local=lambda: None,
            metrics=Metrics(),
        )

    def open(self, listing: ServerListing) -> SimulatedServer:
        """Return a client of one server; see :class:`ServerClientFactory`."""
        simulation = self._simulation
        return SimulatedServer(
            listing,
            simulation.work_by_task,
            simulation.runs_by_task,
            self.processor,
            simulation.deployment.owner_task_s,
            simulation.deployment.exchange_s,
            random.Random(f"failures/{listing.server_id}"),
        )

    async def deliver(self, message: OwnerMessage) -> None:
        """Pass a message of the holder to the owner."""
        await anyio.sleep(self._simulation.deployment.hop_s)
        if isinstance(message, SubmitWork):
            self.owner.submit(HOLDER, message)
        elif isinstance(message, CancelWork):
            self.owner.cancel(HOLDER, message)

    def _notify(self, holder: str, message: Notification) -> None:
        self._simulation.start_soon(self._deliver_notification, message)

    async def _deliver_notification(self, message: Notification) -> None:
        await anyio.sleep(self._simulation.deployment.hop_s)
        self._simulation.holder.handle_notification(self.name, message)


class _Simulation:
    def __init__(self, deployment: Deployment, plans: Sequence[JobPlan]) -> None:
        self.deployment = deployment
        self.listing_by_id = list_servers(deployment.servers)
        self.work_by_task: dict[str, float] = {}
        self.runs_by_task: dict[str, list[SimulatedRun]] = {}
        self.holder = Holder(
            incarnation=HOLDER,
            send=self._send,
            unheard_s=lambda owner: 0.0,
            metrics=Metrics(),
        )
        self._plans = plans
        self._records: list[JobRecord] = []

    async def run(self) -> list[JobRecord]:
        """Run all jobs, and return their records in order of their ends."""
        async with anyio.create_task_group() as self._task_group:
            shards = [_Shard(number, self) for number in range(self.deployment.shards)]
            self._shard_by_name = {shard.name: shard for shard in shards}
            for shard in shards:
                self._task_group.start_soon(shard.owner.run, shard.listing_by_id)
            sizes = shard_sizes(self.listing_by_id.values(), self.deployment.shards)
            layout = ShardLayout(1, tuple(sizes))
            self.holder.set_owners([ShardOwner(shard.name, TERM) for shard in shards], layout)
            # Owners use a server after its first report.
            await anyio.sleep(10 * self.deployment.exchange_s)
            started_at = anyio.current_time()
            async with anyio.create_task_group() as jobs:
                for plan in self._plans:
                    await anyio.sleep_until(started_at + plan.at)
                    jobs.start_soon(self._run_job, plan)
            self._task_group.cancel_scope.cancel()
        return self._records

    def start_soon(self, *call: object) -> None:
        """Start a coroutine function in the background."""
        self._task_group.start_soon(*call)  # type: ignore[arg-type]

    def _send(self, owner: str, message: OwnerMessage) -> bool:
        self.start_soon(self._shard_by_name[owner].deliver, message)
        return True

    async def _run_job(self, plan: JobPlan) -> None:
        now = anyio.current_time()
        route, request = plan.kind.route(), plan.request()
        target_s = response_target_s(route, request)
        deadline_at = now + DEADLINE_S
        job = Job(plan.job_id, route, request, now, now + target_s, deadline_at, plan.job_id)
        names = [f"{plan.job_id}.0.0.{index}" for index in range(len(plan.works_s))]
        self.work_by_task.update(zip(names, plan.works_s, strict=True))
        end = await self.holder.run(job)
        took_s = anyio.current_time() - now
        runs_by_task = {name: self.runs_by_task.get(name, []) for name in names}
        refusals = job.work_by_step[0].refused_shards
        self._records.append(JobRecord(plan, end, took_s, target_s, refusals, runs_by_task))


def simulate(deployment: Deployment, plans: Sequence[JobPlan]) -> list[JobRecord]:
    """Simulate the jobs of a deployment in virtual time.

    :param deployment: the deployment.
    :param plans: the jobs, in order of arrival.
    :returns: a record of each job.
    """
    return run_in_virtual_time(_Simulation(deployment, plans).run)
