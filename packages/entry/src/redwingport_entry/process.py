"""The entry process: its components, their wiring, and its supervisor tree."""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from redwingport_entry.api.application import build_application
from redwingport_entry.api.callers import CallerRoutes
from redwingport_entry.api.operators import OperatorRoutes
from redwingport_entry.configuration import Configuration
from redwingport_entry.drain import hand_over, wait_for_runs
from redwingport_entry.gateways.executors import ExecutorPool
from redwingport_entry.gateways.workers import WorkerPool
from redwingport_entry.http_server import Listener, build_server
from redwingport_entry.keys import KeyRecords
from redwingport_entry.metrics import Metrics
from redwingport_entry.peers.exchange import PeerExchange
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.platform import PlatformClient
from redwingport_entry.runners.jobs import JobRunner
from redwingport_entry.runners.requests import RequestRunner
from redwingport_entry.settings import Settings
from redwingport_entry.submissions import Submissions
from redwingport_entry.supervisor import Supervisor
from redwingport_entry.vms import VmWatcher
from redwingport_messages.documents import StoredDocument
from redwingport_messages.ids import IdIssuer
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_policy.connection_share import connection_share
from redwingport_state.documents import DocumentStore
from redwingport_state.handover import HandedOverRecords
from redwingport_state.membership import MembershipView
from redwingport_state.submissions import SubmissionTable, TableSettings


class EntryProcess:
    """Build and run the components of one entry process.

    :param settings: checked settings.
    :param task_group: root of the task tree.
    """

    def __init__(self, settings: Settings, task_group: TaskGroup) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.draining = anyio.Event()
        self._task_group = task_group
        self._supervisor = Supervisor(task_group, "entry")
        issuer = IdIssuer(settings.entry.domain, settings.entry.name)
        limits = settings.limits
        self.membership = MembershipView()
        self.documents = DocumentStore()
        self.platform = PlatformClient(task_group, settings.platform, self.metrics)
        self.keys = KeyRecords(self.platform)
        self.configuration = Configuration(
            self.platform, self.documents, settings.platform, self.metrics, self._announce_document
        )
        self.vms = VmWatcher(self.platform, self.membership, settings.platform, self._sync_servers)
        self.workers = self._new_pool(WorkerPool)
        self.workers.prepare(issuer.incarnation)
        self.executors_by_service: dict[str, ExecutorPool] = {}
        self.runner_by_service: dict[str, RequestRunner] = {}
        self.jobs = JobRunner(self.workers)
        self.submissions = Submissions(
            task_group,
            SubmissionTable(issuer, TableSettings(limits.id_lifetime_s, limits.answer_bytes)),
            HandedOverRecords(limits.id_lifetime_s, limits.answer_bytes),
            self.keys,
            self.documents,
            self.jobs,
            self._request_runner,
            self.metrics,
        )
        self.exchange = PeerExchange(
            task_group, self.configuration, self.vms, self.submissions, self._mark_leaving
        )
        self.mesh = PeerMesh(
            task_group,
            settings,
            issuer.incarnation,
            self.membership,
            self.metrics,
            self.exchange.handle,
        )
        self.exchange.mesh = self.mesh
        self.submissions.forward = self.exchange.forward

    async def run(self) -> None:
        """Run until a drain is requested, then shut down gracefully.

        Open HTTP requests get the drain timeout to end, and then runs in progress the same time
        again. Afterwards the records are handed over.
        """
        listener = Listener(
            self.settings.entry.http_host,
            self.settings.entry.http_port,
            self.settings.limits.drain_timeout_s,
        )
        server = build_server(self._application(), listener)
        for name, child in {
            "platform-documents": self.configuration.poll,
            "platform-vms": self.vms.poll,
            "keys": self.keys.run,
            "expiry": self.submissions.expire,
            "workers": self.workers.run,
            "peer-listener": self.mesh.listen,
            "peer-dialer": self.mesh.dial,
            "peer-heartbeats": self.mesh.send_heartbeats,
            "state-report": self._report_state,
        }.items():
            self._supervisor.start(name, child)
        async with anyio.create_task_group() as servers:
            servers.start_soon(server.serve)
            await self.draining.wait()
            self.mesh.leaving = True
            await self.mesh.broadcast(self.mesh.heartbeat())
            # Gives the load balancer time to see that the process is not ready.
            await anyio.sleep(self.settings.limits.drain_notice_s)
            server.should_exit = True
        timeout_s = self.settings.limits.drain_timeout_s
        await wait_for_runs(self.submissions, self.exchange, timeout_s)
        await hand_over(self.submissions, self.mesh, self.settings.entry.domain)

    def start_drain(self) -> None:
        """Start the graceful shutdown."""
        self.draining.set()

    def not_ready_reason(self) -> str:
        """Return why the process is not ready, or an empty string."""
        if self.draining.is_set():
            return "draining"
        if not self.documents.from_platform:
            return "no service documents were received yet"
        if not self.membership.vm_list.vms:
            return "no VM list was received yet"
        return ""

    def state(self, topic: str) -> list[dict[str, Any]]:
        """Return the state of this process, as rows for operators.

        :param topic: ``jobs``, ``servers`` or ``entries``.
        """
        if topic == "jobs":
            return self._jobs_state()
        if topic == "servers":
            return self._servers_state()
        return self._entries_state()

    def _application(self) -> Any:
        callers = CallerRoutes(self.submissions, self.settings.limits.max_body_bytes)
        operators = OperatorRoutes(
            self.configuration,
            self.mesh,
            self.settings.operators,
            self.state,
            self.start_drain,
        )
        return build_application(callers, operators, self.metrics, self.not_ready_reason)

    def _new_pool(self, kind: type[Any]) -> Any:
        return kind(
            self._task_group,
            self.settings,
            self.membership,
            self.metrics,
            lambda vm: self._announce_leaving(vm),
        )

    def _announce_leaving(self, vm: str) -> None:
        self._mark_leaving(vm)
        self.exchange.announce_leaving(vm)

    def _mark_leaving(self, vm: str) -> None:
        self.workers.mark_leaving(vm)
        for pool in self.executors_by_service.values():
            pool.mark_leaving(vm)

    def _announce_document(self, stored: StoredDocument) -> None:
        self.exchange.announce_document(stored)

    def _request_runner(self, service: str) -> RequestRunner:
        runner = self.runner_by_service.get(service)
        if runner is None:
            pool = self._new_pool(ExecutorPool)
            pool.prepare(service)
            self.executors_by_service[service] = pool
            self._supervisor.start(f"executors-{service}", pool.run)
            runner = self.runner_by_service[service] = RequestRunner(pool)
            self._sync_executors(service, pool)
        return runner

    def _sync_servers(self) -> None:
        self.mesh.vms_version = self.membership.vm_list.version
        self.workers.sync(self.membership.of_kind(VmKind.WORKER), self._connection_share)
        for service, pool in self.executors_by_service.items():
            self._sync_executors(service, pool)

    def _sync_executors(self, service: str, pool: ExecutorPool) -> None:
        executors = self.membership.of_kind(VmKind.EXECUTOR)
        pool.sync([info for info in executors if info.service == service], self._connection_share)

    def _connection_share(self, info: VmInfo) -> int:
        own = self.settings.entry
        others = [
            self.membership.weight_by_vm.get(entry.vm, entry.weight)
            for entry in self.membership.of_kind(VmKind.ENTRY)
            if entry.vm != own.name
        ]
        return connection_share(info.max_connections, own.weight, others)

    async def _report_state(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self.exchange.mark_documents_complete()
            self.mesh.queued = self.workers.queue.length + sum(
                pool.queue.length for pool in self.executors_by_service.values()
            )

    def _jobs_state(self) -> list[dict[str, Any]]:
        return [
            {
                "submission": job.submission,
                "service": job.document.name,
                "state": "running" if job.sent else "queued",
                "tasks": len(job.tasks),
                "done": len(job.results),
            }
            for job in self.jobs.job_by_submission.values()
        ]

    def _servers_state(self) -> list[dict[str, Any]]:
        now = self.workers.clock()
        pools = [self.workers, *self.executors_by_service.values()]
        return [
            {
                "server": server.info.vm,
                "kind": str(server.info.kind),
                "domain": server.info.domain,
                "slots": server.view.slots,
                "own_active": server.view.own_active,
                "other_active": round(server.view.other_active, 1),
                "held_slots": server.view.held_slots,
                "slowness": round(server.view.slowness, 3),
                "connections": server.connections.open,
                "connection_limit": server.connections.limit,
                "leaving": server.view.leaving,
                "ejected": server.view.ejected_until > now,
            }
            for pool in pools
            for server in pool.server_by_id.values()
        ]

    def _entries_state(self) -> list[dict[str, Any]]:
        own = self.settings.entry.name
        rows: list[dict[str, Any]] = []
        for info in self.membership.of_kind(VmKind.ENTRY):
            link = self.mesh.link_by_vm.get(info.vm)
            rows.append(
                {
                    "vm": info.vm,
                    "domain": info.domain,
                    "incarnation": self.membership.incarnation_by_vm.get(info.vm, ""),
                    "linked": info.vm == own or (link is not None and not link.is_closed),
                    "leaving": info.leaving or (link is not None and link.leaving),
                    "queued": link.heartbeat.queued if link and link.heartbeat else 0,
                }
            )
        return rows
