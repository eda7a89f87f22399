"""Interfaces between dispatch and the platform it runs on.

An adapter implements the protocols and builds the data classes. This module does not depend on
the formats of any platform.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from redwingport_dispatch.exceptions import OrderError, StoreError


@dataclass(frozen=True, slots=True)
class TaskShape:
    """Describe the resources and constraints of a task.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: memory, in MB.
    :param gpus: number of accelerators.
    :param estimate_s: declared run time on an average server, in seconds.
    :param required_label: label that the server must have; empty for any.
    :param near_rack: rack that holds the data of the task; empty for none.
    :param max_per_server: maximum number of tasks of one step on one server; 0 for no limit.
    """

    cpu_millis: int
    memory_mb: int = 0
    gpus: int = 0
    estimate_s: float = 0.0
    required_label: str = ""
    near_rack: str = ""
    max_per_server: int = 0


@dataclass(frozen=True, slots=True)
class StepRequest:
    """Describe one step of a job.

    :param count: number of tasks.
    :param shape: resources and constraints of each task.
    :param after: numbers of the steps that must finish first.
    """

    count: int
    shape: TaskShape
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Describe a job as the client submitted it.

    :param spec: text that is passed to every task.
    :param steps: the steps, in order of their numbers.
    :param unsupported: requested feature that is not supported; empty for none.
    """

    spec: str
    steps: tuple[StepRequest, ...]
    unsupported: str = ""


class JobState(enum.StrEnum):
    """State of a job as reported to its client."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    RUNNING = "running"
    QUEUED = "queued"


@dataclass(frozen=True, slots=True)
class Route:
    """Describe a job queue and the requests that it accepts.

    :param name: name of the queue.
    :param host: value of the ``Host`` header.
    :param path_prefix: prefix of the path; the longest match wins.
    :param service: service whose servers run the tasks.
    :param priority: 0 is the highest.
    :param attempts: number of failed runs of a task after which its job fails.
    :param stretch: factor between the duration of the critical path and the target response time.
    :param slack_s: time added to the target response time, in seconds.
    :param timeout_s: maximum response time, in seconds; 0 for no limit.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    slack_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold the configuration of all services.

    :param revision: revision of the document; increases with every change.
    :param routes: all queues.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param document: the document as stored by the platform, for peers that cannot read the store.
    """

    revision: int
    routes: tuple[Route, ...]
    max_body_bytes: int
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class ServerListing:
    """Describe a backend server as the platform lists it.

    :param server_id: id of the server.
    :param service: service whose tasks it runs.
    :param address: IP:PORT.
    :param domain: failure domain.
    :param cpu_millis: thousandths of a core that tasks may use.
    :param memory_mb: memory that tasks may use, in MB.
    :param gpus: number of accelerators.
    :param labels: kind and rack.
    :param draining: whether it is shutting down and accepts no new work.
    :param born_ms: Unix time of its start, in milliseconds; 0 when unknown.
    """

    server_id: str
    service: str
    address: str
    domain: str
    cpu_millis: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    draining: bool
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunListing:
    """Describe one active run as listed by a server.

    :param task: name of the task.
    :param number: number of the run.
    :param percent: progress of the run, 0 to 100.
    """

    task: str
    number: int
    percent: float


class EndKind(enum.Enum):
    """Outcome of a run; a lapsed run was ended by the server when its lease expired."""

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LAPSED = enum.auto()


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Describe one ended run as listed by a server.

    :param sequence: sequence number of this record at the server, from 1.
    :param task: name of the task.
    :param number: number of the run.
    :param kind: outcome of the run.
    """

    sequence: int
    task: str
    number: int
    kind: EndKind


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Hold a server's response to a lease renewal.

    :param clock_ms: time on the server's clock, in milliseconds.
    :param born_ms: Unix time of its start, in milliseconds; 0 when unknown.
    :param runs: active runs.
    :param ends: ended runs that are not acknowledged yet.
    """

    clock_ms: int
    born_ms: int = 0
    runs: tuple[RunListing, ...] = ()
    ends: tuple[RunEnd, ...] = ()


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order a server to start a task.

    :param task: name of the task.
    :param number: number of the run.
    :param spec: text of the job.
    :param lease_until_ms: end of the lease on the server's clock, in milliseconds.
    :param token: fencing token of the owner.
    """

    task: str
    number: int
    spec: str
    lease_until_ms: int
    token: int


class ServerClient(Protocol):
    """Send orders to one backend server.

    Every call returns by the deadline that is passed to it, a monotonic time in seconds.
    """

    async def renew(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
        deadline: float,
    ) -> Result[ServerReport, OrderError]:
        """Renew the lease of all active runs, and list the active and ended runs.

        :param token: fencing token of the owner.
        :param acknowledged: sequence number of the last ended run that was processed.
        :param lease_until_ms: end of the lease on the server's clock, in milliseconds; None
            leaves the lease unchanged.
        :param wait_ms: maximum time that the server waits for a run to end, in milliseconds.
        :param deadline: monotonic time at which the call times out, in seconds.
        :returns: the report of the server, or why the lease may not have been renewed.
        """
        ...

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        """Start a task.

        :returns: time on the server's clock in milliseconds, or why the task was not started.
        """
        ...

    async def stop(
        self, task: str, number: int, token: int, deadline: float
    ) -> Result[int, OrderError]:
        """Stop a run, and prevent it from starting later.

        :returns: time on the server's clock in milliseconds, or why the run was not stopped.
        """
        ...

    async def aclose(self) -> None:
        """Close the connections to the server."""
        ...


class ServerClientFactory(Protocol):
    """Create clients of backend servers."""

    def open(self, listing: ServerListing) -> ServerClient:
        """Return a client of one server."""
        ...


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Describe a process in the table that the processes use for discovery.

    :param vm: VM of the process.
    :param address: IP:PORT on which it accepts connections of peers.
    :param domain: failure domain.
    :param incarnation: random id of the process.
    :param weight: processor capacity in thousandths of a core; 0 when its row has none.
    """

    vm: str
    address: str
    domain: str
    incarnation: str
    weight: int = 0


@dataclass(slots=True)
class ServerTable:
    """Hold the list of servers at one revision of the store.

    :param revision: revision of the store.
    :param by_id: servers whose entries could be read.
    :param unreadable: ids of entries that could not be read, which describe no usable server.
    """

    revision: int
    by_id: dict[str, ServerListing] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """Hold changes to the list of servers.

    :param revision: revision of the store after the changes.
    :param listings: entries that were added or changed.
    :param unreadable: ids of entries that can no longer be read.
    :param removed: ids of entries that were removed.
    """

    revision: int
    listings: tuple[ServerListing, ...] = ()
    unreadable: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ShardLayout:
    """Describe how the backend servers are divided into shards.

    All processes use the layout with the highest revision that they know. The sizes are part of
    it, since the lists of servers of two processes may differ, and with them the owner that each
    would choose for the same job.

    :param revision: revision of the layout; 0 while none is known.
    :param sizes: processor capacity of each shard when the layout was made, in thousandths of a
        core, by number of the shard.
    """

    revision: int
    sizes: tuple[int, ...]

    @property
    def shard_count(self) -> int:
        """Return the number of shards."""
        return len(self.sizes)


class PlatformStore(Protocol):
    """Access the platform's store, which also holds the rows of this system."""

    async def read_configuration(self) -> Result[Configuration | None, StoreError]:
        """Read the current configuration; None when there is none yet."""
        ...

    async def await_configuration(self, wait_s: float) -> Result[Configuration | None, StoreError]:
        """Wait for a configuration newer than the last one read; None when the wait times out.

        :param wait_s: maximum time to wait, in seconds.
        """
        ...

    def decode_configuration(self, document: bytes) -> Result[Configuration, StoreError]:
        """Decode a configuration document received from a peer."""
        ...

    async def read_servers(self) -> Result[ServerTable, StoreError]:
        """Read the complete list of servers."""
        ...

    async def read_server_changes(self, revision: int) -> Result[ServerChanges, StoreError]:
        """Read the changes since a revision.

        The error tells whether the store no longer keeps the changes since that revision, so that
        the complete list has to be read.
        """
        ...

    async def write_vm(self, record: VmRecord) -> Result[None, StoreError]:
        """Write this process's row."""
        ...

    async def read_shard_layout(self) -> Result[ShardLayout, StoreError]:
        """Read the layout of the shards; a single shard if it was never written."""
        ...

    async def write_shard_layout(self, layout: ShardLayout) -> Result[None, StoreError]:
        """Write the layout of the shards."""
        ...

    async def read_vms(self) -> Result[Sequence[VmRecord], StoreError]:
        """Read the rows of all processes."""
        ...


class JobFormat(Protocol):
    """Decode requests of clients and encode responses to them."""

    def decode_job(self, body: bytes) -> Result[JobRequest, str]:
        """Decode the body of a submitted job; the error tells why it is invalid."""
        ...

    def encode_state(self, state: JobState) -> bytes:
        """Encode the state of a job."""
        ...

    def encode_pending(self, count: int) -> bytes:
        """Encode the number of jobs of a queue that have not started."""
        ...

    def client_timeout_s(self, headers: Sequence[tuple[bytes, bytes]]) -> float | None:
        """Return the client's timeout in seconds; None when the headers give none."""
        ...
