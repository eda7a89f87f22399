"""Watchers that keep local copies of data in the platform's store up to date."""

import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import anyio
from result import Err

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.interfaces import (
    Configuration,
    PlatformStore,
    ServerListing,
    ShardLayout,
    VmRecord,
)
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.hubs import find_neighbours
from redwingport_dispatch.ownership.shards import shard_count_for, shard_sizes
from redwingport_dispatch.ownership.terms import new_term
from redwingport_entry.logs import ROOT, log_event

# Time for which the store holds a watch request open. It is short enough to detect a permanently
# broken connection and to still apply a configuration within two seconds.
WATCH_TIMEOUT_S = 1.0
# Intervals at which changes to the list of servers are read by owners, and by other processes.
OWNER_POLL_INTERVAL_S = 0.4
DEFAULT_POLL_INTERVAL_S = 1.5
# Interval of full reads, which recover changes that a watch has missed.
FULL_READ_INTERVAL_S = 10.0
# Time for which an entry is kept after its removal. An earlier owner may have started tasks there
# shortly before, of which no holder was told.
REMOVED_RETENTION_S = 3.0
# Interval at which the table of processes is read again. A process that starts later connects to
# the others; the read finds processes that were missed.
VM_READ_INTERVAL_S = 10.0
# Interval at which the number of shards is compared with the number of servers. Servers that start
# together are all listed within this time.
SHARD_CHECK_INTERVAL_S = 1.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8

logger = logging.getLogger(ROOT)


class StoreHealth:
    """Log the start and end of store outages once each, and delay retries.

    :param name: kind of data that is read or written.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    async def handle_failure(self, error: Exception) -> None:
        """Record a failed call, and wait for the backoff delay."""
        now = current_time()
        if not self._lost_at:
            self._lost_at = now
            log_event(logger, logging.WARNING, "store-lost", use=self._name, reason=str(error))
        await anyio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def handle_success(self) -> None:
        """Record a successful call."""
        self._backoff_s = INITIAL_BACKOFF_S
        if self._lost_at:
            outage_s = round(current_time() - self._lost_at, 3)
            self._lost_at = 0.0
            log_event(logger, logging.INFO, "store-regained", use=self._name, after_s=outage_s)


class ConfigurationWatcher:
    """Keep the current configuration up to date; revisions never decrease.

    :param store: the platform's store.
    :param on_change: called with each newer configuration.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        store: PlatformStore,
        on_change: Callable[[Configuration], None],
        metrics: Metrics,
    ) -> None:
        self.current: Configuration | None = None
        self._store = store
        self._on_change = on_change
        self._metrics = metrics
        self._store_health = StoreHealth("configuration")

    @property
    def revision(self) -> int:
        """Return the current revision; 0 when there is none."""
        return self.current.revision if self.current is not None else 0

    def offer(self, configuration: Configuration, source: str) -> None:
        """Apply a configuration if it is newer than the current one.

        :param source: ``store``, or the incarnation of a peer.
        """
        if configuration.revision <= self.revision:
            return
        log_event(
            logger,
            logging.INFO,
            "configuration-in-force",
            revision=configuration.revision,
            was=self.revision,
            routes=len(configuration.routes),
            source=source,
        )
        self.current = configuration
        self._metrics.configuration_revision.set(configuration.revision)
        self._on_change(configuration)

    def offer_document(self, document: bytes, source: str) -> None:
        """Decode and apply a configuration document received from a peer."""
        decoded = self._store.decode_configuration(document)
        if isinstance(decoded, Err):
            log_event(
                logger,
                logging.WARNING,
                "configuration-unreadable",
                source=source,
                reason=str(decoded.err_value),
            )
        else:
            self.offer(decoded.ok_value, source)

    async def run(self) -> None:
        """Read the store until the task is cancelled."""
        read_full = True
        next_full_read_at = 0.0
        while True:
            now = current_time()
            if read_full or now >= next_full_read_at:
                kind = "read-configuration"
                result = await self._store.read_configuration()
                next_full_read_at = now + FULL_READ_INTERVAL_S
            else:
                kind = "watch-configuration"
                result = await self._store.await_configuration(WATCH_TIMEOUT_S)
            self._metrics.observe_store_call(kind, result)
            if isinstance(result, Err):
                read_full = True
                await self._store_health.handle_failure(result.err_value)
                continue
            read_full = False
            self._store_health.handle_success()
            if result.ok_value is not None:
                self.offer(result.ok_value, "store")


@dataclass(frozen=True, slots=True)
class _RemovedEntry:
    """Hold the last entry of a server that is no longer listed.

    :param listing: the server.
    :param expires_at: monotonic time until which it is kept, in seconds.
    """

    listing: ServerListing
    expires_at: float


class ServerWatcher:
    """Keep the list of servers up to date.

    :param store: the platform's store.
    :param on_change: called with the list after each read.
    :param is_owner: tells whether this process owns a shard.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        store: PlatformStore,
        on_change: Callable[[Mapping[str, ServerListing]], None],
        is_owner: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self.listing_by_id: dict[str, ServerListing] = {}
        self.read_at = 0.0
        self._store = store
        self._on_change = on_change
        self._is_owner = is_owner
        self._metrics = metrics
        self._revision: int | None = None
        self._next_full_read_at = 0.0
        self._removed_by_id: dict[str, _RemovedEntry] = {}
        self._store_health = StoreHealth("servers")

    def recently_removed(self) -> dict[str, ServerListing]:
        """Return the last entries of the servers that left the list a short time ago."""
        now = current_time()
        return {
            server_id: entry.listing
            for server_id, entry in self._removed_by_id.items()
            if now < entry.expires_at
        }

    async def run(self) -> None:
        """Read the store until the task is cancelled."""
        while True:
            now = current_time()
            if self._revision is None or now >= self._next_full_read_at:
                succeeded = await self._read_full(now)
            else:
                succeeded = await self._read_changes(self._revision)
            if succeeded:
                self.read_at = current_time()
                self._store_health.handle_success()
                self._prune_removed()
                self._on_change(self.listing_by_id)
                await anyio.sleep(
                    OWNER_POLL_INTERVAL_S if self._is_owner() else DEFAULT_POLL_INTERVAL_S
                )

    async def _read_full(self, now: float) -> bool:
        result = await self._store.read_servers()
        self._metrics.observe_store_call("read-servers", result)
        if isinstance(result, Err):
            await self._store_health.handle_failure(result.err_value)
            return False
        self._next_full_read_at = now + FULL_READ_INTERVAL_S
        table = result.ok_value
        # A server whose entry has become unreadable keeps its last readable entry.
        kept = {
            server_id: listing
            for server_id, listing in self.listing_by_id.items()
            if server_id in table.unreadable
        }
        listing_by_id = kept | table.by_id
        for server_id in self.listing_by_id.keys() - listing_by_id.keys():
            self._remove(server_id)
        self.listing_by_id = listing_by_id
        self._revision = table.revision
        return True

    async def _read_changes(self, revision: int) -> bool:
        result = await self._store.read_server_changes(revision)
        self._metrics.observe_store_call("read-server-changes", result)
        if isinstance(result, Err):
            self._revision = None
            if not result.err_value.history_lost:
                await self._store_health.handle_failure(result.err_value)
            return False
        changes = result.ok_value
        for listing in changes.listings:
            self.listing_by_id[listing.server_id] = listing
        for server_id in changes.removed:
            self._remove(server_id)
        self._revision = max(revision, changes.revision)
        return True

    def _remove(self, server_id: str) -> None:
        listing = self.listing_by_id.pop(server_id, None)
        if listing is not None:
            expires_at = current_time() + REMOVED_RETENTION_S
            self._removed_by_id[server_id] = _RemovedEntry(listing, expires_at)

    def _prune_removed(self) -> None:
        now = current_time()
        for server_id, entry in list(self._removed_by_id.items()):
            if server_id in self.listing_by_id or now >= entry.expires_at:
                del self._removed_by_id[server_id]


class LayoutWatcher:
    """Maintain the layout of the shards, which is replaced when more shards are needed.

    Sizes that have changed since are no reason to replace it: work items in progress would move to
    other owners. A shard that has become too small refuses them, so that others get them.

    :param store: the platform's store.
    :param listing_by_id: returns the list of servers.
    :param current: returns the layout in use.
    :param may_replace: tells whether this process is responsible for replacing the layout.
    :param owner_weights: returns the processor capacity of each process that may own a shard, in
        thousandths of a core.
    :param tag: number that distinguishes the revisions of this process.
    :param on_layout: called with each layout that was read or written.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        store: PlatformStore,
        listing_by_id: Callable[[], Mapping[str, ServerListing]],
        current: Callable[[], ShardLayout],
        may_replace: Callable[[], bool],
        owner_weights: Callable[[], Sequence[int]],
        tag: int,
        on_layout: Callable[[ShardLayout], None],
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._listing_by_id = listing_by_id
        self._current = current
        self._may_replace = may_replace
        self._owner_weights = owner_weights
        self._tag = tag
        self._on_layout = on_layout
        self._metrics = metrics
        self._store_health = StoreHealth("shards")

    async def run(self) -> None:
        """Read the layout, then replace it when there are too many servers for it."""
        while True:
            read = await self._store.read_shard_layout()
            self._metrics.observe_store_call("read-shard-count", read)
            if not isinstance(read, Err):
                break
            await self._store_health.handle_failure(read.err_value)
        self._store_health.handle_success()
        self._on_layout(read.ok_value)
        while True:
            await anyio.sleep(SHARD_CHECK_INTERVAL_S)
            current, listing_by_id = self._current(), self._listing_by_id()
            count = shard_count_for(len(listing_by_id), self._owner_weights())
            if not self._may_replace() or count <= current.shard_count:
                continue
            revision = new_term(time.time_ns() // 1_000_000, self._tag, current.revision)
            sizes = shard_sizes(listing_by_id.values(), count)
            layout = ShardLayout(revision, tuple(sizes))
            written = await self._store.write_shard_layout(layout)
            self._metrics.observe_store_call("write-shard-count", written)
            if isinstance(written, Err):
                await self._store_health.handle_failure(written.err_value)
            else:
                self._store_health.handle_success()
                self._on_layout(layout)


class VmDirectory:
    """Discover the other processes through their rows in the store.

    ``others`` holds their rows as last read; it is None until the row of this process is written.
    ``is_restart`` tells whether this VM already had a row before.

    :param store: the platform's store.
    :param record: row of this process.
    :param on_address: called with the address of each process to which this one keeps a link.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        store: PlatformStore,
        record: VmRecord,
        on_address: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._record = record
        self.others: Sequence[VmRecord] | None = None
        self.is_restart = False
        self._on_address = on_address
        self._metrics = metrics
        self._store_health = StoreHealth("vms")

    async def run(self) -> None:
        """Write the row of this process once, and read the rows of the others periodically."""
        records = await self._read()
        self.is_restart = any(record.vm == self._record.vm for record in records)
        await self._write()
        while True:
            records = await self._read()
            self.others = [record for record in records if record.vm != self._record.vm]
            for record in find_neighbours(self._record, self.others):
                self._on_address(record.address)
            await anyio.sleep(VM_READ_INTERVAL_S)

    async def _write(self) -> None:
        while True:
            written = await self._store.write_vm(self._record)
            self._metrics.observe_store_call("write-vm", written)
            if not isinstance(written, Err):
                return
            await self._store_health.handle_failure(written.err_value)

    async def _read(self) -> Sequence[VmRecord]:
        while True:
            read = await self._store.read_vms()
            self._metrics.observe_store_call("read-vms", read)
            if not isinstance(read, Err):
                self._store_health.handle_success()
                return read.ok_value
            await self._store_health.handle_failure(read.err_value)
