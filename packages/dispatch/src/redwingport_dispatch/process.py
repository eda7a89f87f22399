"""A dispatch process: its components, and how they react to changes of owners and the store."""

import logging
import math
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from prometheus_client import make_asgi_app

from redwingport_dispatch.clock import boot_time, current_time
from redwingport_dispatch.front import JobApi, ReadinessCheck
from redwingport_dispatch.holder import NO_OWNER, Holder, OwnerMessage
from redwingport_dispatch.interfaces import (
    Configuration,
    JobFormat,
    PlatformStore,
    ServerClientFactory,
    ServerListing,
    ShardLayout,
    VmRecord,
)
from redwingport_dispatch.loopback import Loopback
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.owner import Notification, Owner
from redwingport_dispatch.ownership.election import Election, ShardOwner
from redwingport_dispatch.ownership.leases import GRANT_PERIOD_S, max_local_duration_s
from redwingport_dispatch.ownership.shards import UNKNOWN_LAYOUT, shard_of
from redwingport_dispatch.peers import Mesh
from redwingport_dispatch.routes import RouteTable
from redwingport_dispatch.scheduling.crashes import Crash, CrashLog, Lifetime, Retraction
from redwingport_dispatch.scheduling.scheduler import ORPHAN_GRACE_S
from redwingport_dispatch.settings import Settings
from redwingport_dispatch.watchers import (
    ConfigurationWatcher,
    LayoutWatcher,
    ServerWatcher,
    VmDirectory,
)
from redwingport_entry.http_server import HttpServer, Listener, build_server
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.supervisor import Supervisor
from redwingport_messages.dispatch import (
    CancelWork,
    ClearedEntry,
    ConfigurationAnswer,
    ConfigurationQuery,
    CrashEntry,
    LayoutAnswer,
    LayoutQuery,
    OpenWorks,
    Presence,
    PresenceUnchanged,
    ReleaseWork,
    ServerCrashes,
    SubmitWork,
    SurvivorEntry,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)
from redwingport_messages.frames import Frame

# Interval of the election while a shard has no owner.
ELECTION_INTERVAL_S = 0.1
# While all shards have owners, the election runs when the next liveness timeout of a peer expires,
# within these limits.
MIN_ELECTION_WAIT_S = 0.02
MAX_ELECTION_WAIT_S = 0.5
# Interval at which a process that is not paused notes the time, and the shortest interval that
# counts as a pause.
PAUSE_CHECK_INTERVAL_S = 0.1
MIN_PAUSE_S = 0.3
# Minimum duration of a drain: the platform checks readiness once a second and removes a process
# from rotation after two failed checks.
MIN_DRAIN_S = 2.3
# Time reserved before SIGKILL for closing connections.
CLOSE_TIMEOUT_S = 0.8
DRAIN_CHECK_INTERVAL_S = 0.02
# A process that reaches no other one for this long connects to all listed processes, as the hubs
# may have ended.
ISOLATION_TIMEOUT_S = 1.5
# Time in which holders learn of a new owner and submit their work items to it.
TAKEOVER_SETTLING_S = 0.1
# Time in which the shards of a new layout get their owners.
LAYOUT_SETTLING_S = 2.0
# Shard whose owner replaces the layout of the shards.
FIRST_SHARD = 0
# Servers that are missing from a list are considered removed only if the list was read at most
# this long ago.
FRESH_LIST_MAX_AGE_S = 1.0

logger = logging.getLogger(ROOT)


class Platform(Protocol):
    """Components that a platform adapter provides."""

    @property
    def store(self) -> PlatformStore:
        """Return the platform's store."""
        ...

    @property
    def server_clients(self) -> ServerClientFactory:
        """Return the factory of clients of backend servers."""
        ...

    @property
    def formats(self) -> JobFormat:
        """Return the format of client requests and responses."""
        ...


OpenPlatform = Callable[[TaskGroup, Settings], Platform]


class DispatchProcess:
    """Create the components of one process and connect them.

    :param settings: settings of the process.
    :param task_group: task group that runs all components.
    :param open_platform: builds the platform adapter.
    """

    def __init__(
        self, settings: Settings, task_group: TaskGroup, open_platform: OpenPlatform
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.draining = False
        self.routes = RouteTable(())
        self.incarnation = secrets.token_hex(8)
        self._supervisor = Supervisor(task_group, "process")
        self._platform = open_platform(task_group, settings)
        weight = round(settings.process.cores * settings.process.core_share * 1000)
        tag = int(self.incarnation, 16)
        self._election = Election(self.incarnation, weight, tag, current_time())
        self._weight = weight
        self._shard_owners: Sequence[ShardOwner] = ()
        self._shard_layout = UNKNOWN_LAYOUT
        self._layout_changed_at = -math.inf
        self._reachable_peers: set[str] = set()
        self._isolated_since = current_time()
        self._timeout_changed = anyio.Event()
        self._awake_at = current_time()
        self._owner_by_shard: dict[int, Owner] = {}
        self._crash_log = CrashLog(self._announce_crashes, self._announce_retraction, _unix_ms)
        self._drain_started = anyio.Event()
        self._loopback = Loopback[Frame](
            lambda message: self._handle_message(self.incarnation, message)
        )
        self.holder = Holder(
            self.incarnation,
            self._send_to_owner,
            lambda peer: self._election.unheard_s(peer, current_time()),
            self.metrics,
        )
        self._mesh = Mesh(
            settings.listen.peers,
            self._election.heartbeat_s,
            self._describe,
            self._summarize,
            _next_sequence,
            self._election.last_sequence,
            lambda peer: self._election.is_reachable(peer, current_time()),
            self._handle_message,
            self._renew_presence,
            self._handle_link,
            self._shorten_peer_timeout,
        )
        store = self._platform.store
        self._configuration = ConfigurationWatcher(store, self._apply_configuration, self.metrics)
        self._servers = ServerWatcher(
            store, self._apply_servers, lambda: bool(self._owner_by_shard), self.metrics
        )
        self._layout_watcher = LayoutWatcher(
            store,
            lambda: self._servers.listing_by_id,
            lambda: self._shard_layout,
            lambda: FIRST_SHARD in self._owner_by_shard,
            lambda: self._election.candidate_weights(current_time()),
            tag,
            self._apply_layout,
            self.metrics,
        )
        record = VmRecord(
            settings.process.vm,
            settings.listen.peers,
            settings.process.domain,
            self.incarnation,
            weight,
        )
        self._directory = VmDirectory(store, record, self._mesh.add_address, self.metrics)

    # State for the HTTP interface

    @property
    def configuration(self) -> Configuration | None:
        """Return the current configuration."""
        return self._configuration.current

    def is_ready(self) -> bool:
        """Tell whether the process can serve new clients."""
        return (
            not self.draining
            and self._configuration.current is not None
            and bool(self._shard_owners)
            and all(shard_owner.owner for shard_owner in self._shard_owners)
            and (not self._owner_by_shard or self._are_servers_ready())
        )

    def _are_servers_ready(self) -> bool:
        """Tell whether an owned server is acquired, or the list was read and has none."""
        servers = [
            server
            for owner in self._owner_by_shard.values()
            for server in owner.scheduler.server_by_id.values()
        ]
        if not servers:
            return self._servers.read_at > 0
        return any(server.acquired for server in servers)

    # Lifecycle

    async def run(self) -> None:
        """Serve until the drain is complete."""
        front = JobApi(self, self.holder, self._platform.formats)
        servers = [
            self._build_server(front, self.settings.listen.front),
            self._build_server(ReadinessCheck(self), self.settings.listen.ready),
            self._build_server(make_asgi_app(self.metrics.registry), self.settings.listen.metrics),
        ]
        for name, server in zip(("front", "ready", "metrics"), servers, strict=True):
            self._supervisor.start(name, server.serve)
        self._supervisor.start("loopback", self._loopback.run)
        self._supervisor.start("peers", self._mesh.run)
        self._supervisor.start("configuration", self._configuration.run)
        self._supervisor.start("servers", self._servers.run)
        self._supervisor.start("shards", self._layout_watcher.run)
        self._supervisor.start("vms", self._directory.run)
        self._supervisor.start("pauses", self._watch_pauses)
        self._supervisor.start("election", self._watch_election)
        self._supervisor.start("holder", self.holder.watch)
        await self._drain_started.wait()
        await self._drain()
        front.refuse_jobs()
        for server in servers:
            server.should_exit = True
        await self._wait_for_connections(servers, CLOSE_TIMEOUT_S / 2)
        if front.abandon_jobs():
            await self._wait_for_connections(servers, CLOSE_TIMEOUT_S / 4)

    async def _wait_for_connections(self, servers: Sequence[HttpServer], timeout_s: float) -> None:
        """Wait until all connections of clients are closed, or until a timeout."""
        with anyio.move_on_after(timeout_s):
            while any(server.started and server.server_state.connections for server in servers):
                await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    def start_drain(self) -> None:
        """Start a graceful shutdown: take no new clients, and hand the shards over."""
        if self.draining:
            return
        self.draining = True
        self._election.draining = True
        log_event(logger, logging.INFO, "drain-started", open_jobs=len(self.holder.job_by_id))
        self._mesh.announce()
        self._drain_started.set()

    async def _drain(self) -> None:
        started_at = current_time()
        ends_at = started_at + self.settings.bounds.grace_s - CLOSE_TIMEOUT_S
        while current_time() < ends_at:
            idle = not self.holder.job_by_id and not self._owner_by_shard
            alone = not self.holder.job_by_id and not self._reachable_peers
            if current_time() - started_at >= MIN_DRAIN_S and (idle or alone):
                break
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        log_event(
            logger,
            logging.INFO,
            "drain-ended",
            open_jobs=len(self.holder.job_by_id),
            owned_shards=len(self._owner_by_shard),
        )

    def _build_server(self, application: object, address: str) -> HttpServer:
        host, _, port = address.rpartition(":")
        return build_server(
            application,  # type: ignore[arg-type]
            Listener(host, int(port), CLOSE_TIMEOUT_S),
        )

    # Ownership

    async def _watch_election(self) -> None:
        while True:
            self._update_owners()
            now = current_time()
            self._election.prune(now)
            timeout_at = self._election.next_timeout_at(now)
            owned = bool(self._shard_owners) and all(
                shard_owner.owner for shard_owner in self._shard_owners
            )
            max_wait_s = MAX_ELECTION_WAIT_S if owned else ELECTION_INTERVAL_S
            self._timeout_changed = anyio.Event()
            with anyio.move_on_after(min(max(timeout_at - now, MIN_ELECTION_WAIT_S), max_wait_s)):
                await self._timeout_changed.wait()

    def _shorten_peer_timeout(self, incarnation: str) -> None:
        self._election.shorten_timeout(incarnation, current_time())
        # The timeout now expires before the next scheduled run of the election.
        self._timeout_changed.set()

    def _apply_layout(self, layout: ShardLayout) -> None:
        """Apply a newer layout; owners release their shards if the number of shards changes."""
        was = self._shard_layout
        if layout.revision <= was.revision:
            return
        self._shard_layout = layout
        count = layout.shard_count
        if count != was.shard_count:
            if was.shard_count:
                self._layout_changed_at = current_time()
            log_event(logger, logging.INFO, "shards-raised", count=count, was=was.shard_count)
            self._election.set_shard_count(count)
            for owner in self._owner_by_shard.values():
                owner.stop()
            self._owner_by_shard.clear()
            self._shard_owners = ()
        else:
            log_event(logger, logging.INFO, "shards-resized", revision=layout.revision)
            self.holder.set_owners(self._shard_owners, layout)
        self._mesh.announce()
        self._update_owners()

    async def _watch_pauses(self) -> None:
        while True:
            self._note_awake()
            await anyio.sleep(PAUSE_CHECK_INTERVAL_S)

    def _note_awake(self) -> None:
        """Let peers be heard before they are judged, if this process was paused until now."""
        now = current_time()
        paused_at, self._awake_at = self._awake_at, now
        if now - paused_at >= MIN_PAUSE_S:
            log_event(logger, logging.WARNING, "process-paused", for_s=round(now - paused_at, 3))
            self._election.extend_timeouts(paused_at, now)

    def _update_owners(self) -> None:
        """Determine the owners of the shards, and apply changes."""
        self._note_awake()
        now = current_time()
        self._crash_log.prune(now)
        reachable = {peer.incarnation for peer in self._election.reachable_peers(now)}
        lost = self._reachable_peers - reachable
        self._reachable_peers = reachable
        for incarnation in sorted(lost):
            log_event(logger, logging.WARNING, "peer-lost", peer=incarnation)
            self._mesh.drop_incoming(incarnation)
            self._drop_holder(incarnation, self._election.unheard_s(incarnation, now))
        others = self._directory.others
        if others is not None and self._directory.is_restart:
            self._election.end_startup_grace(others, self._mesh.refusing_addresses(), now)
        if reachable:
            self._isolated_since = now
        elif others is not None and now - self._isolated_since > ISOLATION_TIMEOUT_S:
            for record in others:
                self._mesh.add_address(record.address)
        shard_owners = self._election.decide(now, _unix_ms())
        if shard_owners == self._shard_owners:
            return
        before = self._shard_owners or [NO_OWNER] * len(shard_owners)
        self._shard_owners = shard_owners
        for shard, (was, shard_owner) in enumerate(zip(before, shard_owners, strict=True)):
            if was != shard_owner:
                self._change_owner(shard, was, shard_owner)
        self.holder.set_owners(shard_owners, self._shard_layout)

    def _drop_holder(self, incarnation: str, unheard_s: float, has_ended: bool = False) -> None:
        for owner in self._owner_by_shard.values():
            owner.drop_holder(incarnation, unheard_s, has_ended)

    def _change_owner(self, shard: int, was: ShardOwner, shard_owner: ShardOwner) -> None:
        log_event(
            logger,
            logging.INFO,
            "owner-changed",
            shard=shard,
            owner=shard_owner.owner,
            term=shard_owner.term,
            was=was.owner,
            live_peers=len(self._reachable_peers),
            is_self=shard_owner.owner == self.incarnation,
        )
        self.metrics.owner_changes.inc()
        former = self._owner_by_shard.pop(shard, None)
        if former is not None:
            former.stop()
        if shard_owner.owner == self.incarnation:
            self._start_owner(shard, shard_owner.term)

    def _start_owner(self, shard: int, term: int) -> None:
        listing_by_id = self._listing_of_shard(shard, self._servers.listing_by_id)
        owner = Owner(
            shard,
            self.settings,
            self._platform.server_clients,
            listing_by_id,
            self._listing_of_shard(shard, self._servers.recently_removed()),
            term,
            self._settled_at(),
            lambda: self._election.reaches_majority(current_time()),
            self._election.note_token,
            self._send_notification,
            self._loopback.deliver,
            self.metrics,
            self._crash_log,
            self._lease_limit_at,
        )
        self._owner_by_shard[shard] = owner
        for record in self._directory.others or ():
            # Processes that are not hubs have no links to each other, but need one to each owner.
            self._mesh.add_address(record.address)
        self._supervisor.start(f"owner-{term}", lambda: self._run_owner(shard, owner))
        self._mesh.announce()

    def _lease_limit_at(self, holder: str) -> float:
        """Return the time beyond which no lease for the tasks of a holder may extend.

        It counts from the sending of the last heartbeat that the holder has confirmed. The next
        owner counts from the time at which the holder received its last heartbeat of this one,
        which is later, whatever was delayed or paused meanwhile.

        :returns: monotonic time in seconds; infinite for this process, which knows when it is no
            longer the owner.
        """
        if holder == self.incarnation:
            return math.inf
        confirmed_s = boot_time() - self._election.heard_sequence(holder) / 1000
        return current_time() - confirmed_s + GRANT_PERIOD_S + self.settings.bounds.lease_s

    def _settled_at(self) -> float:
        """Return the time by which the work items of earlier owners reach one elected now."""
        now = current_time()
        if now - self._layout_changed_at > LAYOUT_SETTLING_S:
            return now + TAKEOVER_SETTLING_S
        # The servers of an earlier owner may belong to several shards now, so that runs which no
        # holder names are stopped by other owners, after they had time to be claimed there.
        stop_s = max_local_duration_s(self.settings.bounds.stop_s)
        return now + TAKEOVER_SETTLING_S + ORPHAN_GRACE_S + stop_s

    def _listing_of_shard(
        self, shard: int, listing_by_id: Mapping[str, ServerListing]
    ) -> dict[str, ServerListing]:
        return {
            server_id: listing
            for server_id, listing in listing_by_id.items()
            if shard_of(server_id, self._election.shard_count) == shard
        }

    async def _run_owner(self, shard: int, owner: Owner) -> None:
        """Run an owner; a failed owner is not restarted, as its state may be inconsistent."""
        try:
            await owner.run(self._listing_of_shard(shard, self._servers.listing_by_id))
        except Exception as error:
            log_event(
                logger,
                logging.ERROR,
                "owner-failed",
                term=owner.term,
                error=f"{type(error).__name__}: {error}",
            )
            logger.debug("owner-failed", exc_info=True)
            if self._owner_by_shard.get(shard) is owner:
                self._election.owned_term_by_shard.pop(shard, None)
                self._update_owners()

    # Messages

    def _summarize(self, peer: str) -> object:
        """Return the fields of the presence message for a peer that change with time."""
        election = self._election
        return (
            election.highest_term,
            self._shard_layout.revision,
            sorted(election.owned_term_by_shard.items()),
            election.heartbeat_s(peer),
            self.draining,
            election.receives_heartbeats_from(peer, current_time()),
            self._configuration.revision,
        )

    def _describe(self, peer: str) -> Presence:
        return Presence(
            incarnation=self.incarnation,
            sequence=_next_sequence(),
            heard_sequence=self._election.last_sequence(peer),
            vm=self.settings.process.vm,
            domain=self.settings.process.domain,
            address=self.settings.listen.peers,
            weight=self._weight,
            term=self._election.highest_term,
            shards=self._shard_layout.shard_count,
            layout_revision=self._shard_layout.revision,
            owned_terms=sorted(self._election.owned_term_by_shard.items()),
            heartbeat_ms=round(self._election.heartbeat_s(peer) * 1000),
            draining=self.draining,
            hears_you=self._election.receives_heartbeats_from(peer, current_time()),
            configuration_revision=self._configuration.revision,
        )

    def _handle_message(self, sender: str, message: Frame) -> None:
        if isinstance(message, Presence):
            self._handle_presence(message)
        elif isinstance(message, SubmitWork | CancelWork | ReleaseWork | OpenWorks):
            self._handle_work(sender, message)
        elif isinstance(message, TaskNews | WorkRefused | WorkAbandoned):
            self.holder.handle_notification(sender, message)
        elif isinstance(message, LayoutQuery):
            layout = self._shard_layout
            if layout.revision > message.revision:
                self._mesh.send(sender, LayoutAnswer(layout.revision, list(layout.sizes)))
        elif isinstance(message, LayoutAnswer):
            self._apply_layout(ShardLayout(message.revision, tuple(message.sizes)))
        elif isinstance(message, ConfigurationQuery):
            current = self._configuration.current
            if current is not None and current.revision > message.revision:
                self._mesh.send(sender, ConfigurationAnswer(current.revision, current.document))
        elif isinstance(message, ConfigurationAnswer):
            self._configuration.offer_document(message.document, sender)
        elif isinstance(message, ServerCrashes):
            self._handle_crashes(sender, message)
        else:
            log_event(logger, logging.WARNING, "message-unexpected", kind=type(message).__name__)

    def _handle_presence(self, presence: Presence) -> None:
        self._remove_predecessor(presence)
        revision = self._shard_layout.revision
        earlier = self._election.peer_by_incarnation.get(presence.incarnation)
        changed = self._election.observe(presence, current_time())
        if presence.layout_revision > revision:
            self._mesh.send(presence.incarnation, LayoutQuery(revision))
        elif (
            presence.layout_revision == revision
            and earlier is not None
            and earlier.presence.layout_revision != revision
        ):
            # Until now, the peer ignored work items that were submitted by this layout.
            self.holder.resubmit(presence.incarnation)
        if presence.configuration_revision > self._configuration.revision:
            query = ConfigurationQuery(self._configuration.revision)
            self._mesh.send(presence.incarnation, query)
        if changed:
            # Do not wait for the next heartbeat to tell the peer that its heartbeats arrive, or
            # which shards this process owns.
            self._mesh.send(presence.incarnation, self._describe(presence.incarnation))
            self._update_owners()

    def _renew_presence(self, presence: Presence, heartbeat: PresenceUnchanged) -> bool:
        """Handle a heartbeat that repeats a presence message; return whether that was enough."""
        # What the message announced may have been requested in vain.
        is_ahead = (
            presence.layout_revision > self._shard_layout.revision
            or presence.configuration_revision > self._configuration.revision
        )
        return not is_ahead and self._election.renew(presence, heartbeat, current_time())

    def _remove_predecessor(self, presence: Presence) -> None:
        """Remove an earlier process at the same address: it has ended, and so have its clients."""
        for incarnation, view in list(self._election.peer_by_incarnation.items()):
            same_address = view.presence.address == presence.address
            if same_address and incarnation != presence.incarnation:
                unheard_s = self._election.unheard_s(incarnation, current_time())
                self._election.remove_peer(incarnation)
                self._reachable_peers.discard(incarnation)
                self._drop_holder(incarnation, unheard_s, has_ended=True)

    def _handle_work(self, sender: str, message: OwnerMessage) -> None:
        if isinstance(message, CancelWork):
            for owner in self._owner_by_shard.values():
                owner.cancel(sender, message)
            return
        if isinstance(message, OpenWorks):
            for owner in self._owner_by_shard.values():
                owner.cancel_others(sender, message)
            return
        if isinstance(message, ReleaseWork):
            for owner in self._owner_by_shard.values():
                if owner.term == message.term:
                    owner.release(sender, message)
            return
        responsible = self._owner_by_shard.get(message.shard)
        if responsible is None or message.layout_revision != self._shard_layout.revision:
            # The sender submits its work items to the next owner as soon as it knows that owner,
            # and again when it and this process use the same layout.
            log_event(logger, logging.INFO, "work-not-owned", sender=sender, work=message.work_id)
        else:
            responsible.submit(sender, message)

    def _send_to_owner(self, owner: str, message: OwnerMessage) -> bool:
        if owner != self.incarnation:
            return self._mesh.send(owner, message)
        self._loopback.send(message)
        return not isinstance(message, SubmitWork) or message.shard in self._owner_by_shard

    def _send_notification(self, holder: str, message: Notification) -> None:
        if holder == self.incarnation:
            self._loopback.send(message)
        elif not self._mesh.send(holder, message):
            # The holder resubmits its work items when a link is open.
            log_event(logger, logging.WARNING, "news-not-sent", holder=holder)

    def _handle_link(self, incarnation: str) -> None:
        """Repeat what the peer may have missed, as a broken link may have lost messages."""
        self.holder.resubmit(incarnation)
        crashes, retractions = self._crash_log.all_crashes(), self._crash_log.all_retractions()
        if crashes or retractions:
            self._mesh.send(incarnation, _encode_crashes(crashes, retractions))

    # Crashes of servers

    def _announce_crashes(self, crashes: Sequence[Crash]) -> None:
        self.metrics.crashed_runs.inc(len(crashes))
        self._send_to_peers(_encode_crashes(crashes, []))

    def _announce_retraction(self, retraction: Retraction) -> None:
        self._send_to_peers(_encode_crashes([], [retraction]))

    def _handle_crashes(self, sender: str, message: ServerCrashes) -> None:
        """Record the crashes that a peer reports, and pass on those that are new here.

        Processes that are not hubs have no links to each other.
        """
        now = current_time()
        retractions = [
            *(
                Retraction(Lifetime(e.server_id, e.born_ms), now + e.left_ms / 1000, e.stamp)
                for e in message.survivors
            ),
            *(Retraction(e.task, now + e.left_ms / 1000, e.stamp) for e in message.cleared),
        ]
        # First, so that crashes which they end are not passed on.
        new_retractions = [r for r in retractions if self._crash_log.retract(r)]
        new = self._crash_log.merge(
            Crash(
                e.task, Lifetime(e.server_id, e.born_ms), e.alone, now + e.left_ms / 1000, e.stamp
            )
            for e in message.crashes
        )
        if new or new_retractions:
            self._send_to_peers(_encode_crashes(new, new_retractions), except_for=sender)

    def _send_to_peers(self, message: Frame, except_for: str = "") -> None:
        for incarnation in sorted(self._reachable_peers - {except_for}):
            self._mesh.send(incarnation, message)

    # The store

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.routes = RouteTable(configuration.routes)

    def _apply_servers(self, listing_by_id: Mapping[str, ServerListing]) -> None:
        fresh = current_time() - self._servers.read_at < FRESH_LIST_MAX_AGE_S
        for shard, owner in self._owner_by_shard.items():
            owner.update_servers(self._listing_of_shard(shard, listing_by_id), fresh)


def _next_sequence() -> int:
    """Return the sequence number of a heartbeat that is sent now."""
    return int(boot_time() * 1000)


def _unix_ms() -> int:
    """Return the Unix time, in milliseconds."""
    return time.time_ns() // 1_000_000


def _encode_crashes(crashes: Sequence[Crash], retractions: Sequence[Retraction]) -> ServerCrashes:
    now = current_time()

    def left_ms(expires_at: float) -> int:
        return max(0, round((expires_at - now) * 1000))

    return ServerCrashes(
        [
            CrashEntry(
                crash.task_name,
                crash.lifetime.server_id,
                crash.lifetime.born_ms,
                crash.alone,
                left_ms(crash.expires_at),
                crash.stamp,
            )
            for crash in crashes
        ],
        [
            SurvivorEntry(r.subject.server_id, r.subject.born_ms, left_ms(r.expires_at), r.stamp)
            for r in retractions
            if isinstance(r.subject, Lifetime)
        ],
        [
            ClearedEntry(r.subject, left_ms(r.expires_at), r.stamp)
            for r in retractions
            if not isinstance(r.subject, Lifetime)
        ],
    )
