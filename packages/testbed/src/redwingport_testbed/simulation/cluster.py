"""Simulated cluster: real processes over a simulated network, store, servers and clients."""

import asyncio
import contextlib
import functools
import logging
import random
import types
from collections.abc import Iterator, Mapping, MutableMapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

import anyio
from result import Err, Ok, Result

from redwingport_dispatch.exceptions import StoreError
from redwingport_dispatch.front import JobApi, Scope
from redwingport_dispatch.interfaces import (
    Configuration,
    JobRequest,
    JobState,
    Route,
    ServerChanges,
    ServerListing,
    ServerTable,
    ShardLayout,
    StepRequest,
    TaskShape,
    VmRecord,
)
from redwingport_dispatch.ownership.shards import (
    even_layout,
    rank_shards,
    shard_of,
    shard_sizes,
)
from redwingport_dispatch.process import DispatchProcess
from redwingport_dispatch.settings import Settings
from redwingport_entry.logs import DECISIONS, ROOT
from redwingport_testbed.simulation.world import (
    LEASE_MS,
    Listener,
    ModelServer,
    ModelServerClients,
    Monitor,
    Node,
    Stream,
    VirtualLoop,
    World,
    until_done,
)

SERVICE = "desk"
TASK_CPU_MILLIS = 8000
TIMEOUT_S = 1.55
RESUBMIT_S = 1.3
RETRY_AFTER_S = 1.0
RETRY_SHARE = 0.5
STORE_TIMEOUT_S = 1.0
ANSWER_DELAY_S = 0.0004
LONG_FACTOR = 1.6 / 0.9
ROUTE = Route("queue", "host", "/q/", SERVICE, 0, 3, 1.6, 0.06, 0.0)
OTHER_ROUTE = replace(ROUTE, name="other", host="other-host")
CONFIGURATION = Configuration(1, (ROUTE, OTHER_ROUTE), 1 << 20, b"")
RECORDED_EVENTS = 200_000


@dataclass(frozen=True)
class StepKind:
    """Describe one step of a kind of job.

    :param after: numbers of the steps that must finish first.
    :param cpu_millis: demand of each task, in thousandths of a core.
    :param max_per_server: maximum number of tasks on one server; 0 for no limit.
    """

    after: tuple[int, ...] = ()
    cpu_millis: int = TASK_CPU_MILLIS
    max_per_server: int = 0


@dataclass(frozen=True)
class JobKind:
    """Describe a kind of job.

    :param name: its name.
    :param tasks: number of tasks of each step.
    :param estimate_s: declared run time of each, in seconds.
    :param factors: bounds of the actual over the declared run time.
    :param steps: the steps, in order of their numbers.
    """

    name: str
    tasks: int
    estimate_s: float
    factors: tuple[float, float]
    steps: tuple[StepKind, ...] = (StepKind(),)


SHORT = JobKind("short", 8, 0.06, (0.7, 1.5))
LONG = JobKind("long", 4, 0.9, (0.7, LONG_FACTOR))
MEDIUM = JobKind("medium", 2, 0.2, (0.7, 1.5))
KINDS = (SHORT, LONG, MEDIUM)
# Its tasks outlast the leases and the grace period of a server that is no longer listed.
LASTING = JobKind("lasting", 1, 5.0, (0.9, 1.1))
# Its first task ends the server that starts it.
CRASHING = JobKind("crashing", 2, 0.1, (0.7, 1.5))
# Two steps that run at the same time, and two that run one after the other.
PAIR = JobKind("pair", 2, 0.2, (0.7, 1.5), (StepKind(), StepKind()))
CHAIN = JobKind("chain", 2, 0.1, (0.7, 1.5), (StepKind(), StepKind(after=(0,))))
# One of its steps fits on no server.
UNFIT = JobKind("unfit", 1, 0.2, (0.7, 1.5), (StepKind(cpu_millis=64_000), StepKind()))
# Its tasks wait for each other on servers that have room, for longer than is foreseen.
SPREAD = JobKind("spread", 20, 1.0, (0.9, 1.5), (StepKind(cpu_millis=500, max_per_server=1),))
OTHER_KINDS = (LASTING, CRASHING, PAIR, CHAIN, UNFIT, SPREAD)
CRASH_AFTER_S = 0.012
CRASH_DOWN_S = 3.3


@dataclass
class StoreState:
    """Rows of the platform's store.

    :param node: its place in the network.
    """

    node: Node
    listing_by_id: dict[str, ServerListing] = field(default_factory=dict)
    changes: list[tuple[int, str]] = field(default_factory=list)
    record_by_vm: dict[str, VmRecord] = field(default_factory=dict)
    layout: ShardLayout = field(default_factory=lambda: even_layout(1))
    revision: int = 1

    def put(self, listing: ServerListing) -> None:
        """Add a server to the list, or replace its row."""
        self.revision += 1
        self.listing_by_id[listing.server_id] = listing
        self.changes.append((self.revision, listing.server_id))

    def remove(self, server_id: str) -> None:
        """Remove a server from the list."""
        if self.listing_by_id.pop(server_id, None) is not None:
            self.revision += 1
            self.changes.append((self.revision, server_id))


class SimulatedStore:
    """Access of one process to the store; see :class:`PlatformStore`."""

    def __init__(self, world: World, node: Node, state: StoreState) -> None:
        self._world = world
        self._node = node
        self._state = state

    async def _reach(self) -> bool:
        store = self._state.node
        if self._world.is_cut(self._node, store) or self._world.is_cut(store, self._node):
            await anyio.sleep(STORE_TIMEOUT_S)
            return False
        await anyio.sleep(2 * self._world.delay_s(self._node, store))
        return True

    def _error(self) -> Err[StoreError]:
        return Err(StoreError("call", "store", "timed out"))

    async def read_configuration(self) -> Result[Configuration | None, StoreError]:
        """Return the configuration; see :class:`PlatformStore`."""
        return Ok(CONFIGURATION) if await self._reach() else self._error()

    async def await_configuration(self, wait_s: float) -> Result[Configuration | None, StoreError]:
        """Wait, as the configuration does not change; see :class:`PlatformStore`."""
        await anyio.sleep(wait_s)
        return Ok(None) if await self._reach() else self._error()

    def decode_configuration(self, document: bytes) -> Result[Configuration, StoreError]:
        """Return the only configuration; see :class:`PlatformStore`."""
        return Ok(CONFIGURATION)

    async def read_servers(self) -> Result[ServerTable, StoreError]:
        """Return the list of servers; see :class:`PlatformStore`."""
        if not await self._reach():
            return self._error()
        return Ok(ServerTable(self._state.revision, dict(self._state.listing_by_id)))

    async def read_server_changes(self, revision: int) -> Result[ServerChanges, StoreError]:
        """Return the changes since a revision; see :class:`PlatformStore`."""
        if not await self._reach():
            return self._error()
        changed = dict.fromkeys(name for at, name in self._state.changes if at > revision)
        listed = self._state.listing_by_id
        return Ok(
            ServerChanges(
                self._state.revision,
                tuple(listed[name] for name in changed if name in listed),
                removed=tuple(name for name in changed if name not in listed),
            )
        )

    async def write_vm(self, record: VmRecord) -> Result[None, StoreError]:
        """Store the row of a process; see :class:`PlatformStore`."""
        if not await self._reach():
            return self._error()
        self._state.record_by_vm[record.vm] = record
        return Ok(None)

    async def read_shard_layout(self) -> Result[ShardLayout, StoreError]:
        """Return the layout of the shards; see :class:`PlatformStore`."""
        return Ok(self._state.layout) if await self._reach() else self._error()

    async def write_shard_layout(self, layout: ShardLayout) -> Result[None, StoreError]:
        """Replace the layout of the shards; see :class:`PlatformStore`."""
        if not await self._reach():
            return self._error()
        self._state.layout = layout
        return Ok(None)

    async def read_vms(self) -> Result[Sequence[VmRecord], StoreError]:
        """Return the rows of all processes; see :class:`PlatformStore`."""
        if not await self._reach():
            return self._error()
        return Ok(list(self._state.record_by_vm.values()))


class SimulatedFormat:
    """Job format whose bodies begin with the name of a kind of job; see :class:`JobFormat`.

    :param timeout_s: time that a client waits for an answer, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def decode_job(self, body: bytes) -> Result[JobRequest, str]:
        """Return the job of the kind named in a body; see :class:`JobFormat`."""
        spec = body.decode()
        kind = _kind_of(spec)
        steps = tuple(
            StepRequest(
                kind.tasks,
                TaskShape(
                    step.cpu_millis,
                    64,
                    estimate_s=kind.estimate_s,
                    max_per_server=step.max_per_server,
                ),
                step.after,
            )
            for step in kind.steps
        )
        return Ok(JobRequest(spec, steps))

    def encode_state(self, state: JobState) -> bytes:
        """Return a state as text; see :class:`JobFormat`."""
        return state.encode()

    def encode_pending(self, count: int) -> bytes:
        """Return a count as text; see :class:`JobFormat`."""
        return b"%d" % count

    def client_timeout_s(self, headers: Sequence[tuple[bytes, bytes]]) -> float | None:
        """Return the time that clients wait, in seconds; see :class:`JobFormat`."""
        return self._timeout_s


class _NoServer:
    """Stand-in for an HTTP server."""

    started = False

    def __init__(self, application: object) -> None:
        self.application = application
        self.should_exit = False

    async def serve(self) -> None:
        await anyio.sleep_forever()


class _Process(DispatchProcess):
    """Process without HTTP listeners; clients call its application."""

    front: JobApi | None = None

    def _build_server(self, application: object, address: str) -> _NoServer:  # type: ignore[override]
        if isinstance(application, JobApi):
            self.front = application
        return _NoServer(application)


@dataclass(eq=False)
class Entry:
    """Entry process with its machine.

    :param node: its machine.
    :param weight: its processor share.
    :param process: the process; None while it does not run.
    :param wall_offset_s: error of its wall clock, in seconds.
    :param attempts: submissions that clients have sent there and that are not answered.
    :param calls: tasks that serve them.
    """

    node: Node
    weight: float
    process: _Process | None = None
    wall_offset_s: float = 0.0
    attempts: list["Attempt"] = field(default_factory=list)
    calls: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def serves(self) -> bool:
        """Return whether the process takes submissions."""
        process = self.process
        return process is not None and process.front is not None and not process.draining


@dataclass(eq=False)
class Attempt:
    """One submission of a job.

    :param job_id: id of the job.
    :param kind: kind of the job.
    :param domain: failure domain of the client.
    :param entry: the process that holds it.
    :param sent_at: virtual time at which the client sent it, in seconds.
    :param number: number of the submission, from 1.
    :param status: HTTP status of the answer; 0 without one.
    :param disconnected: set when the client closes the connection.
    :param route: queue to which it was sent.
    :param variant: distinguishes jobs of one kind and queue with the same id.
    :param is_deleted: whether the client has deleted the job, so that it does not send it again.
    """

    job_id: str
    kind: JobKind
    domain: str
    entry: Entry
    sent_at: float
    number: int
    status: int = 0
    disconnected: asyncio.Future[None] | None = None
    route: Route = ROUTE
    variant: str = ""
    is_deleted: bool = False

    def scope(self, method: str) -> Scope:
        """Return the scope of a request about the job."""
        return {
            "type": "http",
            "method": method,
            "path": f"/q/{self.job_id}",
            "headers": [(b"host", self.route.host.encode())],
        }

    @property
    def spec(self) -> str:
        """Return the body, which names the queue, too: the texts of any two jobs differ."""
        if self.route is ROUTE and not self.variant:
            return self.kind.name
        return f"{self.kind.name} {self.route.name} {self.variant}"


class Cluster:
    """Run entry processes, servers and clients in virtual time.

    :param seed: seed of all random choices.
    :param entries_per_domain: number of entry processes in each failure domain.
    :param servers: number of backend servers.
    :param shards: number of shards at the start.
    :param servers_per_shard: number of servers above which a shard is added.
    :param timeout_s: time that clients wait for an answer, in seconds.
    """

    def __init__(
        self,
        seed: int,
        entries_per_domain: Sequence[int] = (4, 4, 4, 4),
        servers: int = 24,
        shards: int = 3,
        servers_per_shard: int = 8,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.world = World(seed)
        self.random = random.Random(f"cluster {seed}")
        self.monitor = Monitor()
        self.domains = [f"d{number}" for number in range(len(entries_per_domain))]
        self.entries: list[Entry] = []
        self.server_by_id: dict[str, ModelServer] = {}
        self.attempts: list[Attempt] = []
        self.wrong_answers: list[str] = []
        self.crashes_by_task: dict[str, int] = {}
        self.events: list[tuple[float, str, str, dict[str, object]]] = []
        self._server_by_address: dict[str, ModelServer] = {}
        self._listeners: dict[str, Listener] = {}
        self._streams: list[Stream] = []
        self._loops: list[Node] = []
        self._next_job = 0
        self._servers_per_shard = servers_per_shard
        self._timeout_s = timeout_s
        self.store = StoreState(Node("store", self.domains[-1]), layout=even_layout(shards))
        for _ in range(servers):
            self.add_server()
        for number, count in enumerate(entries_per_domain):
            for position in range(count):
                node = Node(f"10.{number}.0.{position}:7000", self.domains[number], is_up=False)
                self.world.nodes.append(node)
                self.entries.append(Entry(node, 1.0 if position < count - 1 else 0.75))

    @contextlib.contextmanager
    def running(self, warm_up_s: float = 2.5) -> Iterator["Cluster"]:
        """Start all processes, and stop everything at the end."""
        recorder = _Recorder(self)
        loggers = [logging.getLogger(ROOT), logging.getLogger(DECISIONS)]
        levels = [(logger, logger.level, logger.propagate) for logger in loggers]
        with contextlib.ExitStack() as stack:
            clock = types.SimpleNamespace(time_ns=self._time_ns)
            ids = types.SimpleNamespace(token_hex=self._token_hex)
            for target, value in (
                ("redwingport_dispatch.process.time", clock),
                ("redwingport_dispatch.process.boot_time", lambda: self.world.now),
                ("redwingport_dispatch.watchers.time", clock),
                ("redwingport_dispatch.process.secrets", ids),
                (
                    "redwingport_dispatch.ownership.shards.SERVERS_PER_SHARD",
                    self._servers_per_shard,
                ),
            ):
                stack.enter_context(mock.patch(target, value))
            loggers[0].addHandler(recorder)
            loggers[0].propagate = False
            for logger in loggers:
                logger.setLevel(logging.INFO)
            try:
                for entry in self.entries:
                    delay_s = self.random.uniform(0, 0.3)
                    self.world.call_later(delay_s, functools.partial(self.start, entry))
                self.world.run(warm_up_s)
                yield self
            finally:
                self._end()
                loggers[0].removeHandler(recorder)
                for logger, level, propagate in levels:
                    logger.setLevel(level)
                    logger.propagate = propagate

    def _end(self) -> None:
        self.world.is_over = True
        self._listeners.clear()
        for node in self._loops:
            for _ in until_done(self.world, node):
                pass
            assert node.loop is not None
            node.loop.close()

    # Processes

    def start(self, entry: Entry) -> None:
        """Start the process of an entry."""
        node = entry.node
        if node.is_up:
            return
        node.is_up = True
        node.frozen = False
        node.lifetime += 1
        node.busy_until = 0.0
        loop = VirtualLoop(self.world, node)
        loop.connect, loop.listen = self._connect, self._listen
        node.loop = loop
        # Keeps the loop of an ended process until its tasks are cancelled.
        self._loops.append(Node(node.name, node.domain, loop))
        loop.create_task(self._serve(entry, node.lifetime))

    async def _serve(self, entry: Entry, lifetime: int) -> None:
        settings = Settings.model_validate(
            {
                "process": {
                    "vm": entry.node.name,
                    "domain": entry.node.domain,
                    "cores": entry.weight,
                },
                "listen": {
                    "front": entry.node.name.replace("7000", "80"),
                    "ready": entry.node.name.replace("7000", "81"),
                    "peers": entry.node.name,
                    "metrics": entry.node.name.replace("7000", "82"),
                },
                "store": {"address": "10.9.0.1:1"},
                "bounds": {"lease_ms": LEASE_MS, "stop_ms": 50, "grace_s": 6},
            }
        )
        node = entry.node
        platform = types.SimpleNamespace(
            store=SimulatedStore(self.world, node, self.store),
            server_clients=ModelServerClients(self.world, node, self._server_by_address),
            formats=SimulatedFormat(self._timeout_s),
        )
        async with anyio.create_task_group() as task_group:
            entry.process = _Process(settings, task_group, lambda group, given: platform)
            await entry.process.run()
            task_group.cancel_scope.cancel()
        if entry.node.lifetime == lifetime and not self.world.is_over:
            self.kill(entry, refuses=True)

    def kill(self, entry: Entry, refuses: bool) -> None:
        """End a process at once.

        :param refuses: whether its address refuses connections afterwards; otherwise the machine
            is silent.
        """
        node = entry.node
        if not node.is_up:
            return
        node.is_up = False
        node.refuses = refuses
        node.lifetime += 1
        node.loop = None
        entry.process = None
        self._listeners.pop(node.name, None)
        attempts, entry.attempts = entry.attempts, []
        for attempt in attempts:
            self._resubmit_later(attempt)

    def freeze(self, entry: Entry, duration_s: float) -> None:
        """Stop a process for some seconds."""
        node = entry.node
        node.frozen = True
        frozen_loop = node.loop

        def wake() -> None:
            node.frozen = False
            if node.loop is not None and node.loop is frozen_loop:
                node.loop.run_timers_first()

        self.world.call_later(duration_s, wake)

    def suspend(self, entry: Entry, duration_s: float) -> None:
        """Freeze a process for some seconds that its monotonic clock does not count."""
        loop = entry.node.loop
        if loop is not None:
            # Before the process wakes, so that no timer is due because of the suspension.
            suspended_s = loop.suspended_s + duration_s
            self.world.call_later(duration_s, lambda: setattr(loop, "suspended_s", suspended_s))
        self.freeze(entry, duration_s)

    def drain(self, entry: Entry) -> None:
        """Start the graceful shutdown of a process."""
        if entry.process is not None and entry.node.loop is not None:
            entry.node.loop.call_soon(entry.process.start_drain)

    def owners(self) -> dict[int, list[Entry]]:
        """Return the processes that consider themselves owners, by shard."""
        owners: dict[int, list[Entry]] = {}
        for entry in self.entries:
            if entry.process is not None:
                for shard in entry.process._owner_by_shard:
                    owners.setdefault(shard, []).append(entry)
        return owners

    def is_owner(self, entry: Entry) -> bool:
        """Return whether a process considers itself the owner of a shard."""
        return any(entry in entries for entries in self.owners().values())

    def raise_shards(self, entry: Entry, count: int) -> None:
        """Let a process learn of a higher number of shards, which it tells the others."""
        sizes = tuple(shard_sizes(self.store.listing_by_id.values(), count))
        self.replace_layout(entry, sizes)

    def replace_layout(self, entry: Entry, sizes: tuple[int, ...]) -> None:
        """Let a process learn of a newer layout, which it tells the others."""
        self.store.layout = ShardLayout(self.store.layout.revision + 1, sizes)
        assert entry.process is not None
        assert entry.node.loop is not None
        entry.node.loop.call_soon(entry.process._apply_layout, self.store.layout)

    # Network of the processes

    async def _connect(self, host: str, port: int) -> Stream:
        source = _running_node()
        target = next(entry.node for entry in self.entries if entry.node.name == f"{host}:{port}")
        while (
            self.world.is_over
            or self.world.is_cut(source, target)
            or self.world.is_cut(target, source)
            or not (target.is_up or target.refuses)
        ):
            # A lost request to connect is sent again after a second, beyond the caller's timeout.
            await anyio.sleep(1.0)
        await anyio.sleep(2 * self.world.delay_s(source, target))
        listener = self._listeners.get(target.name)
        if listener is None:
            raise ConnectionRefusedError
        stream = Stream(self.world, source, target)
        self._streams = [other for other in self._streams if other.is_open]
        self._streams.append(stream)
        listener.accept(stream)
        return stream

    def reset_connections(self, entry: Entry, share: float = 1.0) -> int:
        """Reset connections of a process to others, and of clients to it.

        :param share: share of the open connections.
        :returns: the number of connections that were reset.
        """
        links = [s for s in self._streams if s.is_open and entry.node in (s.source, s.target)]
        connections: list[Stream | Attempt] = [*links, *entry.attempts]
        chosen = self.random.sample(connections, round(share * len(connections)))
        for connection in chosen:
            if isinstance(connection, Stream):
                connection.reset()
            else:
                self._give_up(connection)
        return len(chosen)

    def reset_link(self, source: Entry, target: Entry) -> None:
        """Reset the connection that one process has opened to another."""
        for stream in self._streams:
            if stream.is_open and (stream.source, stream.target) == (source.node, target.node):
                stream.reset()

    def disconnect_clients(self, entry: Entry) -> None:
        """Close the connections of all clients of a process, which notices it."""
        for attempt in list(entry.attempts):
            self._give_up(attempt)

    def _listen(self, listener: Listener) -> Listener:
        self._listeners[_running_node().name] = listener
        return listener

    def _time_ns(self) -> int:
        node = self.world.current
        offset_s = next((e.wall_offset_s for e in self.entries if e.node is node), 0.0)
        return round((1_750_000_000 + self.world.now + offset_s) * 1e9)

    def _token_hex(self, count: int) -> str:
        return self.world.random.randbytes(count).hex()

    # Servers

    def servers_of(self, shard: int) -> list[ModelServer]:
        """Return the servers of a shard."""
        return [
            server
            for server_id, server in self.server_by_id.items()
            if shard_of(server_id, self.store.layout.shard_count) == shard
        ]

    def add_server(self, domain: str = "", cpu_millis: int = 16000) -> ModelServer:
        """Add a server to the network and to the list."""
        number = len(self.server_by_id)
        server_id = f"s{number}"
        node = Node(f"10.8.0.{number}:1", domain or self.domains[number % len(self.domains)])
        server = ModelServer(
            self.world,
            node,
            self.monitor,
            self._duration_of,
            lambda spec: _kind_of(spec).steps[-1].cpu_millis,
            cpu_millis,
        )
        server.node.name = server_id
        server.on_start = self._crash_if_fatal
        address = f"10.8.0.{number}:1"
        self.server_by_id[server_id] = server
        self._server_by_address[address] = server
        self.store.put(
            ServerListing(
                server_id,
                SERVICE,
                address,
                node.domain,
                server.cpu_millis,
                65536,
                0,
                ("a", "r1"),
                False,
                server.born_ms,
            )
        )
        return server

    def drain_server(self, server_id: str, duration_s: float) -> None:
        """List a server as draining; it leaves some seconds later."""
        listing = self.store.listing_by_id.get(server_id)
        if listing is None:
            return
        self.store.put(replace(listing, draining=True))

        def leave() -> None:
            self.server_by_id[server_id].crash()
            self.server_by_id[server_id].node.refuses = True
            self.store.remove(server_id)

        self.world.call_later(duration_s, leave)

    def restart_server(self, server_id: str, duration_s: float) -> None:
        """Crash a server, and start its next lifetime some seconds later."""
        listing = self.store.listing_by_id.get(server_id)
        server = self.server_by_id[server_id]
        if listing is None or not server.node.is_up:
            return
        server.crash()
        server.node.refuses = True
        self.store.remove(server_id)

        def start() -> None:
            server.node.is_up = True
            server.start_lifetime()
            self.store.put(replace(listing, born_ms=server.born_ms))

        self.world.call_later(duration_s, start)

    def _crash_if_fatal(self, server: ModelServer, task: str, spec: str) -> None:
        if _kind_of(spec) is CRASHING and task.endswith(".0"):
            lifetime = server.node.lifetime

            def crash() -> None:
                if server.node.lifetime == lifetime:
                    self.crashes_by_task[task] = self.crashes_by_task.get(task, 0) + 1
                    self.crash_server(server.node.name, CRASH_DOWN_S)

            self.world.call_later(CRASH_AFTER_S, crash)

    def crash_server(self, server_id: str, duration_s: float) -> None:
        """Let a server crash, and start its next lifetime some seconds later.

        Unlike in :meth:`restart_server`, its connections are closed and its row stays.
        """
        server = self.server_by_id[server_id]
        server.node.refuses = True
        server.crash(closes_connections=True)
        self._start_again_later(server, duration_s)

    def restart_in_silence(self, server_id: str, duration_s: float) -> None:
        """Let the machine of a server lose power for some seconds; its row stays.

        Unlike in :meth:`crash_server`, nothing is closed or refused in the meantime.
        """
        server = self.server_by_id[server_id]
        if server.node.is_up:
            server.node.refuses = False
            server.crash()
            self._start_again_later(server, duration_s)

    def _start_again_later(self, server: ModelServer, duration_s: float) -> None:
        lifetime = server.node.lifetime

        def start() -> None:
            if server.node.lifetime != lifetime:
                return
            server.node.is_up = True
            server.start_lifetime()
            listing = self.store.listing_by_id.get(server.node.name)
            if listing is not None:
                self.store.put(replace(listing, born_ms=server.born_ms))

        self.world.call_later(duration_s, start)

    def unlist_server(self, server_id: str, duration_s: float) -> None:
        """Remove the entry of a server for some seconds, while the server works on."""
        listing = self.store.listing_by_id.get(server_id)
        if listing is not None:
            self.store.remove(server_id)
            self.world.call_later(duration_s, lambda: self.store.put(listing))

    def move_server(self, server_id: str) -> None:
        """Change the address of a server, which answers there with its runs."""
        server = self.server_by_id[server_id]
        address = f"10.7.0.{len(self._server_by_address)}:1"
        self._server_by_address[address] = server
        self.store.put(replace(self.store.listing_by_id[server_id], address=address))

    def cut_server(self, server_id: str, duration_s: float) -> None:
        """Cut all paths to and from a server."""
        self.world.cut({(server_id, "*"), ("*", server_id)}, duration_s)

    def cut_pairs(
        self, names: Sequence[str], others: Sequence[str], duration_s: float, both: bool = True
    ) -> None:
        """Cut the paths from each node of one group to each of another, or both directions."""
        paths = {(name, other) for name in names for other in others}
        if both:
            paths |= {(other, name) for name, other in paths}
        self.world.cut(paths, duration_s)

    def _duration_of(self, spec: str) -> float:
        kind = _kind_of(spec)
        return kind.estimate_s * self.world.random.uniform(*kind.factors)

    # Faults of the network

    def cut_domain(self, domain: str, duration_s: float, mode: str = "both") -> None:
        """Cut a failure domain from all others.

        :param mode: ``both``, or the direction that is cut: ``out`` or ``in``.
        """
        others = [other for other in self.domains if other != domain]
        paths: set[tuple[str, str]] = set()
        if mode in ("both", "out"):
            paths |= {(domain, other) for other in others}
        if mode in ("both", "in"):
            paths |= {(other, domain) for other in others}
        self.world.cut(paths, duration_s)

    # Clients

    def submit(
        self,
        kind: JobKind,
        domain: str = "",
        entry: Entry | None = None,
        shard: int | None = None,
    ) -> str:
        """Submit a new job; return its id.

        :param shard: shard to which the job is offered first; None for any.
        """
        sizes = self.store.layout.sizes
        self._next_job += 1
        while shard not in (None, rank_shards(f"{self._next_job:016x}", sizes)[0]):
            self._next_job += 1
        job_id = f"{self._next_job:016x}"
        domain = domain or self.random.choice(self.domains)
        self._send(job_id, kind, domain, 1, entry)
        return job_id

    def load(self, jobs_per_s: float, duration_s: float, kinds: Sequence[JobKind] = KINDS) -> None:
        """Submit jobs at random times for some seconds."""
        at = 0.0
        while True:
            at += self.random.expovariate(jobs_per_s)
            if at >= duration_s:
                return
            kind = self.random.choice(kinds)
            self.world.call_later(at, functools.partial(self._submit_kind, kind))

    def _submit_kind(self, kind: JobKind) -> None:
        self.submit(kind)

    def load_contended(self, jobs_per_s: float, duration_s: float, spread: bool) -> None:
        """Submit jobs at random times for some seconds, each with other requests of its id.

        :param spread: whether the requests of one id come from different failure domains.
        """
        at = 0.0
        while True:
            at += self.random.expovariate(jobs_per_s)
            if at >= duration_s:
                return
            self.world.call_later(at, functools.partial(self._submit_contended, spread))

    def _submit_contended(self, spread: bool) -> None:
        kind = self.random.choice(KINDS)
        domain = self.random.choice(self.domains)
        job_id = self.submit(kind, domain)

        def choose_domain() -> str:
            return self.random.choice(self.domains) if spread else domain

        def send_again() -> None:
            self._send(job_id, kind, choose_domain(), 2)

        def send_to_other_queue() -> None:
            other = self.random.choice(KINDS)
            self._send(job_id, other, choose_domain(), 1, route=OTHER_ROUTE)

        def send_other_content() -> None:
            self._send(job_id, kind, choose_domain(), 1, variant="changed")

        def disconnect() -> None:
            self._disconnect_one(job_id)

        actions = [send_again, send_to_other_queue, send_other_content, disconnect]
        for action in self.random.choices(actions, k=self.random.randint(1, 4)):
            self.world.call_later(self.random.uniform(0, 2 * self._timeout_s), action)

    def delete(self, job_id: str) -> None:
        """Delete a job at the process where a client waits for it, unless it was answered."""
        for entry in self.entries:
            attempt = next((a for a in entry.attempts if a.job_id == job_id), None)
            if attempt is not None and entry.node.loop is not None:
                loop = entry.node.loop
                self.world.call_later(
                    self.world.delay_s(entry.node, entry.node),
                    functools.partial(self._arrive_delete, attempt, loop),
                )

    def delete_some(self, share: float, entries: Sequence[Entry] | None = None) -> int:
        """Delete some of the jobs for which clients wait; return their number.

        :param share: share of the jobs.
        :param entries: processes where the clients wait; None for all.
        """
        chosen_entries = self.entries if entries is None else entries
        waiting = [attempt for entry in chosen_entries for attempt in entry.attempts]
        job_ids = list(dict.fromkeys(attempt.job_id for attempt in waiting))
        chosen = self.random.sample(job_ids, round(share * len(job_ids)))
        for job_id in chosen:
            self.delete(job_id)
        return len(chosen)

    def _arrive_delete(self, attempt: Attempt, loop: VirtualLoop) -> None:
        if attempt.entry.node.loop is loop:
            task = loop.create_task(self._call_delete(attempt))
            attempt.entry.calls.add(task)
            task.add_done_callback(attempt.entry.calls.discard)

    async def _call_delete(self, attempt: Attempt) -> None:
        process = attempt.entry.process
        assert process is not None and process.front is not None

        attempt.is_deleted = True

        async def receive() -> MutableMapping[str, Any]:
            return {"type": "http.request", "body": b""}

        async def send(message: Mapping[str, object]) -> None:
            if message["type"] == "http.response.start" and message["status"] == 200:
                self.monitor.cancelled_at_by_job[attempt.job_id, attempt.spec] = self.world.now

        await process.front(attempt.scope("DELETE"), receive, send)

    def _disconnect_one(self, job_id: str) -> None:
        """Close the connection of one of the requests with an id."""
        waiting = [
            attempt
            for entry in self.entries
            for attempt in entry.attempts
            if attempt.job_id == job_id
        ]
        if waiting:
            self._give_up(self.random.choice(waiting))

    def _send(
        self,
        job_id: str,
        kind: JobKind,
        domain: str,
        number: int,
        entry: Entry | None = None,
        route: Route = ROUTE,
        variant: str = "",
    ) -> None:
        if entry is None:
            serving = [e for e in self.entries if e.node.domain == domain and e.serves]
            if not serving:
                return
            entry = self.random.choice(serving)
        attempt = Attempt(
            job_id,
            kind,
            domain,
            entry,
            self.world.now,
            number,
            route=route,
            variant=variant,
        )
        self.attempts.append(attempt)
        entry.attempts.append(attempt)
        loop = entry.node.loop
        assert loop is not None

        def arrive() -> None:
            if entry.node.loop is loop:
                task = loop.create_task(self._call(attempt))
                entry.calls.add(task)
                task.add_done_callback(entry.calls.discard)

        self.world.call_later(self.world.delay_s(entry.node, entry.node), arrive)
        self.world.call_later(self._timeout_s, lambda: self._give_up(attempt))

    def _give_up(self, attempt: Attempt) -> None:
        """Close the connection of a client that has got no answer in time."""
        if attempt not in attempt.entry.attempts:
            return
        attempt.entry.attempts.remove(attempt)
        if attempt.disconnected is not None and not attempt.disconnected.done():
            attempt.disconnected.set_result(None)
        self._resubmit_later(attempt)

    async def _call(self, attempt: Attempt) -> None:
        process = attempt.entry.process
        assert process is not None and process.front is not None
        loop = asyncio.get_running_loop()
        attempt.disconnected = loop.create_future()
        if attempt not in attempt.entry.attempts:
            # The client has given up while the process was frozen.
            attempt.disconnected.set_result(None)
        messages: list[MutableMapping[str, Any]] = [
            {"type": "http.request", "body": attempt.spec.encode()}
        ]

        async def receive() -> MutableMapping[str, Any]:
            if messages:
                return messages.pop()
            assert attempt.disconnected is not None
            await asyncio.shield(attempt.disconnected)
            return {"type": "http.disconnect"}

        status = 0

        async def send(message: Mapping[str, object]) -> None:
            nonlocal status
            if message["type"] == "http.response.start":
                assert isinstance(message["status"], int)
                status = message["status"]
            else:
                body = message["body"]
                assert isinstance(body, bytes)
                self.world.call_later(ANSWER_DELAY_S, lambda: self._answer(attempt, status, body))

        await process.front(attempt.scope("POST"), receive, send)

    def lose_clients(self, share: float = 1.0) -> int:
        """Break the connections of clients; their processes do not notice it.

        :param share: share of the open connections.
        :returns: the number of broken connections.
        """
        attempts = [attempt for entry in self.entries for attempt in entry.attempts]
        lost = self.random.sample(attempts, round(share * len(attempts)))
        for attempt in lost:
            attempt.entry.attempts.remove(attempt)
            self._resubmit_later(attempt)
        return len(lost)

    def _answer(self, attempt: Attempt, status: int, body: bytes) -> None:
        if attempt not in attempt.entry.attempts:
            return
        attempt.entry.attempts.remove(attempt)
        attempt.status = status
        if status == 200 and not self._is_true(attempt, body):
            self.wrong_answers.append(attempt.job_id)
        if status in (502, 504):
            self._resubmit_later(attempt)
        elif status in (429, 503) and self.random.random() < RETRY_SHARE:
            self._resubmit_later(attempt, RETRY_AFTER_S)

    def _is_true(self, attempt: Attempt, body: bytes) -> bool:
        """Return whether a job has ended as its client is told; no run fails by itself."""
        names = [
            f"{attempt.job_id}.0.{step}.{index}"
            for step in range(len(attempt.kind.steps))
            for index in range(attempt.kind.tasks)
        ]
        if body == JobState.FAILED.encode():
            return attempt.is_deleted or any(
                self.crashes_by_task.get(name, 0) > 1 for name in names
            )
        done = all((name, attempt.spec) in self.monitor.done_tasks for name in names)
        return body == JobState.COMPLETE.encode() and done

    def _resubmit_later(self, attempt: Attempt, after_s: float = RESUBMIT_S) -> None:
        if attempt.number < 3 and not attempt.is_deleted and not self.world.is_over:
            self.world.call_later(
                after_s,
                lambda: self._send(
                    attempt.job_id,
                    attempt.kind,
                    attempt.domain,
                    attempt.number + 1,
                    route=attempt.route,
                    variant=attempt.variant,
                ),
            )

    # Reports

    def explain(self, job_id: str) -> str:
        """Return the recorded events of a job, and those that concern owners, as text."""
        names = {
            "holder-dropped",
            "shards-raised",
            "shards-resized",
            "drain-started",
            "owner-challenged",
            "peer-link-lost",
            "works-not-held",
            "fault",
        }
        lines = [
            f"attempt {a.number} at {a.sent_at:.3f} through {a.entry.node.name}: {a.status}"
            f" ({a.spec})"
            for a in self.attempts
            if a.job_id == job_id
        ]
        first_at = min(a.sent_at for a in self.attempts if a.job_id == job_id)
        for at, node, event, fields in self.events:
            concerns = fields.get("job") == job_id or str(fields.get("task", "")).startswith(
                job_id
            )
            elected = event == "owner-changed" and fields["is_self"]
            if concerns or ((elected or event in names) and first_at - 2 < at < first_at + 6):
                text = " ".join(f"{key}={value}" for key, value in fields.items())
                lines.append(f"{at:.3f} {node} {event} {text}")
        return "\n".join(lines)

    def started_refusals(self) -> list[str]:
        """Return the jobs that have started although all their attempts were refused."""
        statuses_by_job: dict[tuple[str, str], set[int]] = {}
        for attempt in self.attempts:
            job = (attempt.job_id, attempt.spec)
            statuses_by_job.setdefault(job, set()).add(attempt.status)
        return [
            job[0]
            for job, statuses in statuses_by_job.items()
            if statuses <= {429, 503} and job in self.monitor.started_jobs
        ]

    def failure(self) -> str:
        """Return all violations as text, and the events of the first."""
        refused = self.started_refusals()
        if refused:
            return f"{len(refused)} refused jobs were started\n{self.explain(refused[0])}"
        if self.wrong_answers:
            text = self.explain(self.wrong_answers[0])
            return f"{len(self.wrong_answers)} answers are not true\n{text}"
        if self.monitor.unasked_starts:
            count = len(self.monitor.unasked_starts)
            server, run = self.monitor.unasked_starts[0]
            text = self.explain(run.task.partition(".")[0])
            return f"{count} tasks of deleted jobs were started: {run.task} on {server}\n{text}"
        if not self.monitor.double_runs:
            return ""
        first = self.monitor.double_runs[0]
        return "\n".join(
            [
                f"{len(self.monitor.double_runs)} tasks ran twice",
                *map(str, self.monitor.double_runs[:5]),
                self.explain(first.task.partition(".")[0]),
            ]
        )

    def statuses(self) -> dict[int, int]:
        """Return the number of attempts by status; 0 stands for none."""
        counts: dict[int, int] = {}
        for attempt in self.attempts:
            counts[attempt.status] = counts.get(attempt.status, 0) + 1
        return counts


class _Recorder(logging.Handler):
    """Record the log events of all processes with their virtual time."""

    def __init__(self, cluster: Cluster) -> None:
        super().__init__(logging.INFO)
        self._cluster = cluster

    def emit(self, record: logging.LogRecord) -> None:
        cluster = self._cluster
        if len(cluster.events) < RECORDED_EVENTS and cluster.world.current is not None:
            fields = getattr(record, "fields", {})
            node = cluster.world.current.name
            cluster.events.append((cluster.world.now, node, record.getMessage(), fields))


def _kind_of(spec: str) -> JobKind:
    name = spec.partition(" ")[0]
    return next(kind for kind in (*KINDS, *OTHER_KINDS) if kind.name == name)


def _running_node() -> Node:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop.node
