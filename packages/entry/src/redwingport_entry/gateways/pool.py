"""The backend servers of one kind that a process uses."""

import logging
import random
from collections.abc import Callable, Iterable

from anyio.abc import TaskGroup

from redwingport_entry.gateways.connections import ServerConnections
from redwingport_entry.gateways.servers import Server
from redwingport_entry.logs import DECISIONS, ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_entry.settings import Settings
from redwingport_messages.vms import VmInfo
from redwingport_policy.backends import CHOOSER_BY_NAME
from redwingport_policy.base import Candidate, Work, has_room
from redwingport_policy.ejection import Ejector
from redwingport_policy.estimates import decay_load, normalize_slowness
from redwingport_policy.subset import rendezvous_subset
from redwingport_state.clock import Clock, monotonic
from redwingport_state.membership import MembershipView

UNREACHABLE_BACKOFF_S = 1.0
ASSUMED_LOAD_SHARE = 0.5
# A choice costs about 2 microseconds per candidate; 32 servers have enough slots for the largest
# jobs.
MAX_CANDIDATES = 32

decision_logger = logging.getLogger(DECISIONS)
logger = logging.getLogger(ROOT)


class ServerPool:
    """Base of the pools of workers and executors: known servers, their state and the choice.

    :param task_group: task group that runs the connections.
    :param settings: settings of the process.
    :param membership: the view of all VMs.
    :param metrics: metrics of the process.
    :param on_leaving: called with the name of a server that reports that it is leaving.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        task_group: TaskGroup,
        settings: Settings,
        membership: MembershipView,
        metrics: Metrics,
        on_leaving: Callable[[str], None],
        clock: Clock = monotonic,
    ) -> None:
        self.server_by_id: dict[str, Server] = {}
        self.settings = settings
        self.membership = membership
        self.metrics = metrics
        self.clock = clock
        self.ejector = Ejector()
        self._task_group = task_group
        self._on_leaving = on_leaving
        self.rng = random.Random(settings.policy.seed or None)
        self.chooser = CHOOSER_BY_NAME[settings.policy.chooser](self.rng)

    def sync(self, infos: Iterable[VmInfo], connection_limit: Callable[[VmInfo], int]) -> None:
        """Update the pool to the VM list: add, remove and update servers.

        :param infos: servers as listed.
        :param connection_limit: returns how many connections this process may open to a server.
        """
        listed = {info.vm: info for info in self._subset(list(infos))}
        for vm in self.server_by_id.keys() - listed.keys():
            self.server_by_id.pop(vm).connections.close_idle()
        for vm, info in listed.items():
            server = self.server_by_id.get(vm)
            if server is not None and (server.info.host, server.info.port) != (
                info.host,
                info.port,
            ):
                server.connections.close_idle()
                server = None
            if server is None:
                server = self.server_by_id[vm] = self._new_server(info)
            server.info = info
            server.view.preferred = self._is_preferred(info)
            server.connections.limit = connection_limit(info)
            server.view.leaving = server.view.leaving or vm in self.membership.leaving

    def mark_leaving(self, vm: str) -> None:
        """Stop sending new work to a server; ignored if the server is unknown."""
        server = self.server_by_id.get(vm)
        if server is not None:
            server.view.leaving = True

    def report_leaving(self, server: Server) -> None:
        """Report a server that announced that it is leaving, once."""
        if server.view.leaving and self.membership.mark_leaving(server.info.vm):
            log_event(logger, logging.INFO, "server-leaving", server=server.info.vm)
            self._on_leaving(server.info.vm)

    def usable_servers(self, now: float) -> list[Server]:
        """Return the servers that may get new work, with their load decayed to now.

        At most :data:`MAX_CANDIDATES` are returned, since each decision evaluates all of them.

        :param now: monotonic time.
        """
        servers = [server for server in self.server_by_id.values() if self.may_use(server, now)]
        if len(servers) > MAX_CANDIDATES:
            servers = self._sample(servers)
        for server in servers:
            self._refresh(server, now)
        return servers

    def _sample(self, servers: list[Server]) -> list[Server]:
        local = [server for server in servers if server.view.local]
        remote = [server for server in servers if not server.view.local]
        # Remote servers get a quarter of the places, and those that local ones leave free.
        local_count = min(len(local), max(MAX_CANDIDATES * 3 // 4, MAX_CANDIDATES - len(remote)))
        remote_count = min(len(remote), MAX_CANDIDATES - local_count)
        return self.rng.sample(local, local_count) + self.rng.sample(remote, remote_count)

    def available_speed(self) -> float:
        """Return how much work the servers can do for this process.

        Slots that others use do not count: at high load the servers are shared, and a wait
        computed from all slots would be too short by a factor of the number of processes.

        :returns: seconds of work per second, in slots of average speed; at least 1 if a server is
            not leaving, otherwise 0.
        """
        views = [server.view for server in self.server_by_id.values() if not server.view.leaving]
        if not views:
            return 0.0
        own = sum(max(0.0, view.slots - view.other_active) / view.slowness for view in views)
        return max(own, 1.0)

    def normalize(self) -> None:
        """Rescale the learned slowness of all servers, so that their scale does not drift."""
        normalize_slowness(server.view for server in self.server_by_id.values())

    def choose(self, views: list[Candidate], work: Work) -> Server | None:
        """Choose a server for a task or request.

        Local servers are preferred while one has room, unless the policy weighs failure domains
        itself.

        :param views: candidates.
        :param work: the task or request to place.
        :returns: the server, or None to leave the task or request in the queue.
        """
        if not self.chooser.weighs_domains:
            local = [view for view in views if view.local]
            if any(has_room(view, work) for view in local):
                views = local
        if not views:
            return None
        chosen = self.chooser.choose(views, work)
        return None if chosen is None else self.server_by_id[chosen.server_id]

    def count_end(self, server: Server, succeeded: bool) -> None:
        """Record the end of a task or request, and eject the server if too many fail."""
        views = [other.view for other in self.server_by_id.values()]
        if self.ejector.record(server.view, succeeded, self.clock(), views):
            self.metrics.ejections.inc()
            log_event(
                logger,
                logging.WARNING,
                "server-ejected",
                server=server.info.vm,
                seconds=server.view.ejected_until - self.clock(),
            )

    def count_unreachable(self, server: Server) -> None:
        """Record that connecting failed, so that the server is not tried again at once."""
        server.unreachable_until = self.clock() + UNREACHABLE_BACKOFF_S

    def may_use(self, server: Server, now: float) -> bool:
        """Return whether a server may get new work."""
        view = server.view
        if view.leaving or server.unreachable_until > now:
            return False
        return self.ejector.admits(view, now)

    def _refresh(self, server: Server, now: float) -> None:
        view = server.view
        if server.held_deadline <= now:
            view.held_slots = 0
        decay_load(view, now)

    def _is_preferred(self, info: VmInfo) -> bool:
        """Return whether this process is preferred for the last free slots of a server.

        Every process computes the same choice among the entry VMs of the server's failure
        domain, so no message is needed. A VM of twice the weight is chosen twice as often.
        """
        entries = self.membership.entry_vms_in(info.domain)
        names = [f"{e.vm}/{n}" for e in entries for n in range(max(1, round(e.weight)))]
        chosen = rendezvous_subset(info.vm, names, 1)
        return bool(chosen) and chosen[0].partition("/")[0] == self.settings.entry.name

    def _subset(self, infos: list[VmInfo]) -> list[VmInfo]:
        size = self.settings.limits.subset_size
        own = self.settings.entry
        chosen: set[str] = set()
        for local in (True, False):
            names = [info.vm for info in infos if (info.domain == own.domain) is local]
            chosen.update(rendezvous_subset(own.name, names, size))
        return [info for info in infos if info.vm in chosen]

    def _new_server(self, info: VmInfo) -> Server:
        view = Candidate(
            server_id=info.vm,
            domain=info.domain,
            local=info.domain == self.settings.entry.domain,
            slots=info.slots,
            rack=info.rack,
            cpus=info.cpus,
            memory_mb=info.memory_mb,
            # Until the first answer, others are assumed to use half of the slots: a process that
            # assumed an unknown server to be idle sent it more than it could start.
            other_active=info.slots * ASSUMED_LOAD_SHARE,
            reported_other_active=info.slots * ASSUMED_LOAD_SHARE,
            mean_other_active=info.slots * ASSUMED_LOAD_SHARE,
        )
        connections = ServerConnections(self._task_group, info.host, info.port, 1)
        return Server(info, view, connections)
