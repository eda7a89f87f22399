"""Messages with which processes share the backend servers.

A process that owns a shard of the servers places the work items that the other processes submit
to it. Times on the wire are durations as of sending, remaining or elapsed, since the monotonic
clocks of two VMs are unrelated. The receiver converts them to times of its own clock on receipt.
"""

from typing import Annotated, Literal, NamedTuple

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass as checked_dataclass

# Maximum number of shards; a process keeps some state for each and goes over all of them.
MAX_SHARDS = 4096
# Largest term and revision: the largest integer that all JSON implementations represent exactly.
# Terms are tokens in orders to servers, and revisions are stored.
MAX_TERM = 2**53 - 1
_STRICT = ConfigDict(strict=True, allow_inf_nan=False)
Count = Annotated[int, Field(ge=0)]
# Unix milliseconds, or more where a clock has stepped back.
Stamp = Annotated[int, Field(ge=0, le=MAX_TERM)]
Term = Annotated[int, Field(ge=0, le=MAX_TERM)]
TaskEvent = Literal["placed", "done", "failed"]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Presence:
    """Heartbeat of a process, with its view of ownership and configuration.

    :param incarnation: random id of the sender's incarnation.
    :param sequence: time of sending on the sender's clock, in milliseconds; the receiver drops an
        older heartbeat that arrives late over a link that is being closed.
    :param heard_sequence: sequence number of the last heartbeat that the sender has received from
        the receiver of this message; 0 if there is none or the receiver owns no shard.
    :param vm: VM of the sender.
    :param domain: failure domain of the sender.
    :param address: IP:PORT at which the sender accepts connections from peers.
    :param weight: processor capacity of the sender, in thousandths of a core.
    :param term: highest term of an owner known to the sender.
    :param shards: number of shards into which the backend servers are divided; 0 while unknown to
        the sender.
    :param layout_revision: revision of the layout of the shards that the sender uses.
    :param owned_terms: pairs of shard number and term for each shard owned by the sender.
    :param heartbeat_ms: time until the next heartbeat, in milliseconds.
    :param draining: whether the sender is shutting down.
    :param hears_you: whether the sender receives heartbeats from the receiver of this message.
    :param configuration_revision: configuration revision in force at the sender.
    """

    incarnation: str
    sequence: Count
    heard_sequence: Count
    vm: str
    domain: str
    address: str
    weight: Count
    term: Term
    shards: Count
    layout_revision: Term
    owned_terms: list[tuple[Count, Term]]
    heartbeat_ms: Count
    draining: bool
    hears_you: bool
    configuration_revision: Term


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class PresenceUnchanged:
    """Heartbeat that repeats the last :class:`Presence` sent on the same connection.

    Most heartbeats change nothing. The short form saves most of the bytes and processor time that
    heartbeats cost in a large system.

    :param sequence: sequence number of this heartbeat; see :class:`Presence`.
    :param heard_sequence: sequence number of the last heartbeat of the receiver; see
        :class:`Presence`.
    """

    sequence: Count
    heard_sequence: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class SubmitWork:
    """Submit the open tasks of one step of a job to the owner of the servers.

    :param work_id: number of the work item, unique within the sender's incarnation.
    :param job_id: id chosen by the client.
    :param step: number of the step in its job.
    :param service: service whose servers run the tasks.
    :param spec: text passed to every task.
    :param cpu_millis: processor demand of a task, in thousandths of a core.
    :param memory_mb: memory demand of a task, in megabytes.
    :param gpus: number of accelerators required by a task.
    :param estimate_ms: declared run time of a task, in milliseconds.
    :param required_label: label that a server must have; empty for any server.
    :param near_rack: rack that stores the input data; empty for none.
    :param max_per_server: maximum number of tasks of the step on one server; 0 for no limit.
    :param priority: scheduling priority; 0 is served first.
    :param attempts: number of failed runs of a task after which its job fails.
    :param shard: shard to whose owner the message is addressed.
    :param layout_revision: revision of the layout by which the sender has chosen the shard.
    :param waited_ms: time since the sender received the job, in milliseconds.
    :param target_ms: time left until the answer is late, in milliseconds.
    :param deadline_ms: time left until the client gives up, in milliseconds.
    :param tasks: index, number of the next run and server of the last known run (or an empty
        string) of each open task.
    :param resumed: whether an earlier owner may have started tasks of this work item.
    :param unheard_ms: time since the sender last received a heartbeat from any earlier owner, in
        milliseconds; 0 if there is none. An earlier owner grants no lease for the tasks of the
        sender that a successor would not wait for.
    :param other_servers: whether an earlier owner may have started tasks on servers that do not
        belong to this shard.
    :param more_offers: whether the sender offers the work item to another shard if this one
        refuses it.
    :param refused_for_load: whether another shard has refused the work item for its load.
    :param identity: hash that tells the job from others with the same id.
    """

    work_id: Count
    job_id: str
    shard: Count
    layout_revision: Count
    step: Count
    service: str
    spec: str
    cpu_millis: Count
    memory_mb: Count
    gpus: Count
    estimate_ms: Count
    required_label: str
    near_rack: str
    max_per_server: Count
    priority: int
    attempts: Count
    waited_ms: Count
    target_ms: int
    deadline_ms: int
    tasks: list[tuple[Count, Count, str]]
    resumed: bool
    unheard_ms: Count
    other_servers: bool
    more_offers: bool
    refused_for_load: bool
    identity: str


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class CancelWork:
    """Stop the running tasks of a work item and discard the others.

    :param work_id: number of the work item at the sender.
    :param may_be_running: whether runs of its job may go on: some were started, and not all are
        known to have ended.
    """

    work_id: Count
    may_be_running: bool = True


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ReleaseWork:
    """Tell the previous owner of a work item that it was submitted to another owner.

    The previous owner starts nothing more of it, and leaves its runs to the other owner.

    :param work_id: number of the work item at the sender.
    :param term: term of the previous owner.
    """

    work_id: Count
    term: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class OpenWorks:
    """List all open work items of the sender; the receiver cancels the sender's other ones.

    A cancel can be lost with a link without an error at its sender, so the list is the first
    message about work items on each new link.

    :param work_ids: numbers of the work items at the sender, whichever owners have them.
    """

    work_ids: list[Count]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class TaskNews:
    """Report task events in the order in which they occurred.

    :param events: work id, task index, event, run number and server of each event.
    """

    events: list[tuple[Count, Count, TaskEvent, Count, str]]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class WorkRefused:
    """Reject a work item: this owner has started none of its tasks and will start none.

    :param work_id: number of the work item at the receiver.
    :param term: term of the rejecting owner.
    :param reason: reason for the rejection, in a few words.
    :param retry_after_s: time after which free slots are expected, in whole seconds.
    """

    work_id: Count
    term: Count
    reason: str
    retry_after_s: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class WorkAbandoned:
    """Report that a work item with started tasks cannot finish by its deadline.

    :param work_id: number of the work item at the receiver.
    :param term: term of the owner that abandons it.
    """

    work_id: Count
    term: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class LayoutQuery:
    """Request the layout of the shards if it is newer than a revision.

    :param revision: revision of the layout that the sender uses.
    """

    revision: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class LayoutAnswer:
    """Return the layout of the shards.

    :param revision: revision of the layout.
    :param sizes: processor capacity of each shard, in thousandths of a core.
    """

    revision: Annotated[int, Field(ge=1, le=MAX_TERM)]
    sizes: Annotated[list[Count], Field(min_length=1, max_length=MAX_SHARDS)]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ConfigurationQuery:
    """Request the configuration if it is newer than a revision.

    :param revision: configuration revision in force at the sender.
    """

    revision: Count


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ConfigurationAnswer:
    """Return the configuration in force.

    :param revision: revision of the configuration.
    :param document: configuration document as stored by the platform.
    """

    revision: Count
    document: bytes


class CrashEntry(NamedTuple):
    """Describe a crash of a server while a run of a task was there.

    :param task: name of the task.
    :param server_id: id of the server.
    :param born_ms: Unix time of the start of the server, in milliseconds.
    :param alone: whether nothing else ran on the server.
    :param left_ms: time for which the crash still counts, in milliseconds.
    :param stamp: orders the crash among retractions; set by the process that observed it and
        passed on unchanged. Processes of earlier revisions send none; it is lower than all others
        then.
    """

    task: str
    server_id: str
    born_ms: Count
    alone: bool
    left_ms: Count
    stamp: Stamp = 0


class SurvivorEntry(NamedTuple):
    """Describe a lifetime of a server that was reported as crashed by mistake.

    :param server_id: id of the server.
    :param born_ms: Unix time of the start of the server, in milliseconds.
    :param left_ms: time for which earlier crashes are to be ignored, in milliseconds.
    :param stamp: highest stamp of the crashes to be ignored, as in :class:`CrashEntry`.
    """

    server_id: str
    born_ms: Count
    left_ms: Count
    stamp: Stamp = 0


class ClearedEntry(NamedTuple):
    """Describe a task of which a run has ended normally after crashes.

    :param task: name of the task.
    :param left_ms: time for which earlier crashes are to be ignored, in milliseconds.
    :param stamp: highest stamp of the crashes to be ignored, as in :class:`CrashEntry`.
    """

    task: str
    left_ms: Count
    stamp: Stamp = 0


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ServerCrashes:
    """Report servers that have crashed while tasks ran there, and crashes that no longer count.

    :param crashes: the crashes, one entry for each task.
    :param survivors: lifetimes that have survived.
    :param cleared: tasks whose crashes no longer count.
    """

    crashes: list[CrashEntry]
    survivors: list[SurvivorEntry]
    cleared: list[ClearedEntry]
