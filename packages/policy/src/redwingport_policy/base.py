"""Types and rules shared by the load-balancing algorithms."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

# Age of the last load report after which a server that appears full is tried again, for response
# weights 0 and 1.
MAX_RETRY_AGE_S = 4.0
MIN_RETRY_AGE_S = 0.25
# Estimated free slots required in addition to the one needed, for response weights 0 and 1.
# Processes that see the same free slot at the same time all try it, and all but one are declined.
MAX_SPARE_SLOTS = 8.0
MIN_SPARE_SLOTS = 1.0
# The same on a server that prefers this process: the others leave its last free slots to it.
PREFERRED_SPARE_SLOTS = 2.0
# Lateness at which work is sent to any slot that may be free, for response weights 0 and 1.
MAX_LATENESS_LIMIT_S = 2.5
MIN_LATENESS_LIMIT_S = 0.02


@dataclass(slots=True)
class Candidate:
    """State of a backend server as known to one process.

    :param server_id: name of the VM.
    :param domain: failure domain of the server.
    :param local: whether the server is in the failure domain of this process.
    :param slots: number of tasks that the server runs concurrently.
    :param rack: rack of the server; empty if unknown.
    :param cpus: number of processors.
    :param memory_mb: memory, in megabytes.
    :param own_active: number of tasks of this process on the server.
    :param confirmed: number of those tasks whose start the server confirmed (workers only).
    :param other_active: estimated number of tasks of other processes on the server.
    :param reported_other_active: ``other_active`` as of the last load report.
    :param mean_other_active: mean of ``other_active`` over the last seconds.
    :param held_slots: idle slots leased to this process (workers only).
    :param slowness: learned ratio of run times on this server to those on a server of mean speed.
    :param load_at: monotonic time of the last load report, in seconds.
    :param started_at_by_task: monotonic start time of each running task of this process,
        in seconds.
    :param preferred: whether the other processes leave the server's last free slots to this one.
    :param leaving: whether the server accepts no new work.
    :param ejected_until: monotonic time until which the server gets no work, in seconds.
    """

    server_id: str
    domain: str
    local: bool
    slots: int
    rack: str = ""
    cpus: float = 0.0
    memory_mb: float = 0.0
    own_active: int = 0
    confirmed: int = 0
    other_active: float = 0.0
    reported_other_active: float = 0.0
    mean_other_active: float = 0.0
    held_slots: int = 0
    slowness: float = 1.0
    load_at: float = 0.0
    started_at_by_task: dict[object, float] = field(default_factory=dict)
    preferred: bool = False
    leaving: bool = False
    ejected_until: float = 0.0

    @property
    def free_slots(self) -> float:
        """Return the estimated number of free slots; negative if requests queue at the server."""
        return self.slots - self.own_active - self.other_active


@dataclass(frozen=True, slots=True)
class Work:
    """Describe the task or request to be placed.

    :param run_s: expected run time on a server of mean speed, in seconds.
    :param queued: number of tasks waiting in this process, including this one.
    :param now: monotonic time, in seconds.
    :param may_queue: whether the server may queue the work when all its slots are busy.
    :param response_weight: 1 favours response time, 0 favours few messages.
    :param late_s: time since the latest start that meets the target, in seconds; negative before.
    :param mean_run_s: mean run time of such work on a server of mean speed, in seconds; 0 if
        unknown.
    """

    run_s: float
    queued: int
    now: float
    may_queue: bool
    response_weight: float = 0.5
    late_s: float = 0.0
    mean_run_s: float = 0.0

    @property
    def threshold_factor(self) -> float:
        """Return the factor for thresholds of :func:`has_room`: 1 if in time, 0 if very late."""
        weight = self.response_weight
        lateness_limit_s = MAX_LATENESS_LIMIT_S * (1 - weight) + MIN_LATENESS_LIMIT_S * weight
        return min(1.0, max(0.0, 1.0 - self.late_s / lateness_limit_s))


def has_room(candidate: Candidate, work: Work) -> bool:
    """Return whether a server is expected to start the work immediately.

    A server with an idle slot leased to this process always has room. A server whose last load
    report is old is tried again with one task even if it appeared full: load reports arrive only
    when tasks of this process start or end there.
    """
    if candidate.held_slots > 0:
        return True
    if candidate.free_slots >= 1 + _spare_slots(candidate, work):
        return True
    span_s = MAX_RETRY_AGE_S - MIN_RETRY_AGE_S
    retry_age_s = MAX_RETRY_AGE_S - span_s * work.response_weight
    retry_age_s = max(MIN_RETRY_AGE_S, retry_age_s * work.threshold_factor)
    is_awaiting_report = candidate.own_active > candidate.confirmed
    return not is_awaiting_report and work.now - candidate.load_at > retry_age_s


def _spare_slots(candidate: Candidate, work: Work) -> float:
    if work.may_queue:
        # A server that queues work beyond its slots does not decline it.
        return 0.0
    if candidate.preferred:
        return PREFERRED_SPARE_SLOTS * work.threshold_factor
    spread = MAX_SPARE_SLOTS - MIN_SPARE_SLOTS
    return (MAX_SPARE_SLOTS - spread * work.response_weight) * work.threshold_factor


class ServerChooser(Protocol):
    """Choose a backend server for a task or request.

    :param name: name of the algorithm in the settings.
    :param weighs_domains: whether the algorithm decides between local and remote servers;
        otherwise it gets remote candidates only if no local one has room.
    """

    name: str
    weighs_domains: bool

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose one of the candidates.

        :param candidates: servers that accept new work; never empty.
        :param work: the task or request to be placed.
        :returns: the server, or None to keep the work in the queue.
        """
        ...
