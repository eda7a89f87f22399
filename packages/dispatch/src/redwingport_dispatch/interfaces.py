"""What dispatch needs from the platform it runs on, in this project's words.

An adapter implements the protocols and builds the data classes; nothing here knows its formats.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from redwingport_dispatch.exceptions import OrderError, StoreError


@dataclass(frozen=True, slots=True)
class TaskShape:
    """Say what a task asks of a server.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: memory, in MB.
    :param gpus: accelerators.
    :param estimate_s: declared run time at a mean server, in seconds.
    :param required_label: label that the server must have; empty for any.
    :param near_rack: rack that holds the data; empty for none.
    :param max_per_server: most tasks of one step on one server; 0 for no limit.
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
    :param shape: what each task asks for.
    :param after: numbers of the steps that must be done first.
    """

    count: int
    shape: TaskShape
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Describe a job as its client sent it.

    :param spec: text that every task gets.
    :param steps: the steps, in order of their numbers.
    :param unsupported: a feature that the job asks for and that is not served; empty for none.
    """

    spec: str
    steps: tuple[StepRequest, ...]
    unsupported: str = ""


class JobState(enum.StrEnum):
    """Tell a client how its job ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    RUNNING = "running"
    QUEUED = "queued"


@dataclass(frozen=True, slots=True)
class Route:
    """Describe a queue of jobs.

    :param name: name of the queue.
    :param host: value of the ``Host`` header.
    :param path_prefix: beginning of the path; the longest that matches counts.
    :param service: service whose servers run the tasks.
    :param priority: 0 comes first.
    :param attempts: failed runs of a task after which its job has failed.
    :param stretch: times the longest chain of work that an answer may take to be in time.
    :param slack_s: time added to that, in seconds.
    :param timeout_s: longest time for an answer, in seconds; 0 for no limit.
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

    :param revision: grows with every change.
    :param routes: all queues.
    :param max_body_bytes: longest body of a request.
    :param document: the document as the platform stores it, for peers that cannot read it.
    """

    revision: int
    routes: tuple[Route, ...]
    max_body_bytes: int
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class ServerListing:
    """Describe a backend server as the platform lists it.

    :param server_id: id of the server.
    :param service: service that it runs tasks of.
    :param address: IP:PORT.
    :param domain: failure domain.
    :param cpu_millis: thousandths of a core that tasks may use.
    :param memory_mb: memory that tasks may use.
    :param gpus: accelerators.
    :param labels: kind and rack.
    :param draining: whether it leaves and takes no new work.
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
    """Describe one run that a server lists as at work.

    :param task: name of the task.
    :param number: number of the run.
    :param percent: share of its work that is done, 0 to 100.
    """

    task: str
    number: int
    percent: float


class EndKind(enum.Enum):
    """Tell how a run ended."""

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LAPSED = enum.auto()


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Describe one end that a server lists.

    :param sequence: number of the end at this server, from 1.
    :param task: name of the task.
    :param number: number of the run.
    :param kind: how it ended.
    """

    sequence: int
    task: str
    number: int
    kind: EndKind


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Hold a server's answer to a renewal.

    :param clock_ms: the server's clock.
    :param born_ms: Unix time of its start, in milliseconds; 0 when unknown.
    :param runs: what is at work there.
    :param ends: ends that were not acknowledged yet.
    """

    clock_ms: int
    born_ms: int = 0
    runs: tuple[RunListing, ...] = ()
    ends: tuple[RunEnd, ...] = ()


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask a server to start a task.

    :param task: name of the task.
    :param number: number of the run.
    :param spec: text of the job.
    :param lease_until_ms: end of the lease, on the server's clock.
    :param token: fencing token of the owner.
    """

    task: str
    number: int
    spec: str
    lease_until_ms: int
    token: int


class ServerClient(Protocol):
    """Send orders to one backend server.

    Every call bounds its own time by the deadline it is given.
    """

    async def renew(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
        deadline: float,
    ) -> Result[ServerReport, OrderError]:
        """Extend the lease of all that runs there, and list it.

        :param token: fencing token of the owner.
        :param acknowledged: number of the last end that has been taken note of.
        :param lease_until_ms: end of the lease on the server's clock; None leaves it.
        :param wait_ms: time that the server may wait for an end.
        :param deadline: monotonic time at which the call is given up.
        """
        ...

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        """Start a task.

        :returns: the server's clock in milliseconds, or why it was not started.
        """
        ...

    async def stop(
        self, task: str, number: int, token: int, deadline: float
    ) -> Result[int, OrderError]:
        """Stop a run, and keep it from starting later.

        :returns: the server's clock in milliseconds, or why it was not stopped.
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
    """Describe an entry process in the table by which they find each other.

    :param vm: VM of the process.
    :param address: IP:PORT at which it accepts peers.
    :param domain: failure domain.
    :param incarnation: random id of the process.
    :param weight: thousandths of a core that it has; 0 when its row does not say.
    """

    vm: str
    address: str
    domain: str
    incarnation: str
    weight: int = 0


@dataclass(slots=True)
class ServerTable:
    """Hold what is known of the list of servers at one revision.

    :param revision: revision of the store.
    :param by_id: servers that can be used.
    :param unreadable: ids of entries that could not be read; they name no server to use.
    """

    revision: int
    by_id: dict[str, ServerListing] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """Hold changes of the list of servers.

    :param revision: revision of the store after the changes.
    :param listings: entries that were added or changed.
    :param unreadable: ids of entries that can no longer be read.
    :param removed: ids of entries that are gone.
    """

    revision: int
    listings: tuple[ServerListing, ...] = ()
    unreadable: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class PlatformStore(Protocol):
    """Read what the platform stores, and keep this system's own rows there."""

    async def read_configuration(self) -> Result[Configuration | None, StoreError]:
        """Read the configuration in force; None when there is none yet."""
        ...

    async def await_configuration(self, wait_s: float) -> Result[Configuration | None, StoreError]:
        """Wait for a configuration newer than the last one read; None when there was none.

        :param wait_s: longest time to wait, in seconds.
        """
        ...

    def decode_configuration(self, document: bytes) -> Result[Configuration, StoreError]:
        """Read a configuration that a peer has passed on."""
        ...

    async def read_servers(self) -> Result[ServerTable, StoreError]:
        """Read the whole list of servers."""
        ...

    async def read_server_changes(self, revision: int) -> Result[ServerChanges, StoreError]:
        """Read what has changed since a revision.

        The error says whether the history is lost, so that the whole list has to be read.
        """
        ...

    async def write_vm(self, record: VmRecord) -> Result[None, StoreError]:
        """Write this process's row."""
        ...

    async def read_shard_count(self) -> Result[int, StoreError]:
        """Return the number of shards; 1 if it was never written."""
        ...

    async def write_shard_count(self, count: int) -> Result[None, StoreError]:
        """Write the number of shards."""
        ...

    async def read_vms(self) -> Result[Sequence[VmRecord], StoreError]:
        """Read the rows of all processes."""
        ...


class JobFormat(Protocol):
    """Decode what clients send, and encode what they get."""

    def decode_job(self, body: bytes) -> Result[JobRequest, str]:
        """Read the body of a submission."""
        ...

    def encode_state(self, state: JobState) -> bytes:
        """Encode the state of a job."""
        ...

    def encode_pending(self, count: int) -> bytes:
        """Encode the number of jobs of a queue of which nothing has started."""
        ...

    def deadline_s(self, headers: Sequence[tuple[bytes, bytes]]) -> float | None:
        """Return how long the client waits, in seconds; None when it does not say."""
        ...
