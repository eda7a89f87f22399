"""Types shared by the parts of the policy."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

# Age of load facts at which a server that seems full is tried again, by response weight 0 and 1.
MAX_RETRY_AGE_S = 4.0
MIN_RETRY_AGE_S = 0.25
# Slots that have to look free beyond the one needed, by response weight 0 and 1. Processes that
# see the same free slot at the same time all try it, and all but one are declined.
MAX_SPARE_SLOTS = 8.0
MIN_SPARE_SLOTS = 1.0
# The same on a server that prefers this process: the others leave its last slots alone.
PREFERRED_SPARE_SLOTS = 2.0
# Lateness of the work at which every slot that may be free is tried, by response weight 0 and 1.
LONGEST_LATENESS_LIMIT_S = 2.5
SHORTEST_LATENESS_LIMIT_S = 0.02


@dataclass(slots=True)
class Candidate:
    """Hold what one process knows about one backend server.

    :param server_id: name of the VM.
    :param domain: its failure domain.
    :param local: whether that is the failure domain of this process.
    :param slots: tasks the server runs at once.
    :param own_active: tasks that this process has there.
    :param other_active: estimate of the tasks that other processes have there.
    :param reported_other_active: the same as of the last load facts.
    :param mean_other_active: its mean over the last seconds.
    :param held_slots: idle slots leased to this process (workers only).
    :param slowness: run time here over run time at the mean server, learned.
    :param load_at: monotonic time of the last load facts.
    :param started_at_by_task: monotonic start time of each task of this process.
    :param preferred: whether this process is the one that uses the server's last free slots.
    :param leaving: whether the server takes no new work.
    :param ejected_until: monotonic time until which it gets no work.
    """

    server_id: str
    domain: str
    local: bool
    slots: int
    rack: str = ""
    cpus: float = 0.0
    memory_mb: float = 0.0
    own_active: int = 0
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
        """Return the estimate of free slots; negative when requests queue there."""
        return self.slots - self.own_active - self.other_active


@dataclass(frozen=True, slots=True)
class Work:
    """Describe what has to be placed.

    :param run_s: expected run time at the mean server, in seconds.
    :param queued: tasks that wait in this process, this one included.
    :param now: monotonic time, in seconds.
    :param may_queue: whether the server may hold the work beyond its slots.
    :param response_weight: 1 favours response time, 0 favours few messages.
    :param late_s: time since the work had to start to be in time, in seconds.
    :param mean_run_s: mean run time of such work at the mean server, in seconds; 0 for unknown.
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
        """Return 1 for work that is in time, and less down to 0 the later it is."""
        weight = self.response_weight
        lateness_limit_s = (
            LONGEST_LATENESS_LIMIT_S * (1 - weight) + SHORTEST_LATENESS_LIMIT_S * weight
        )
        return min(1.0, max(0.0, 1.0 - self.late_s / lateness_limit_s))


def has_room(candidate: Candidate, work: Work) -> bool:
    """Tell whether a server is believed to start the work at once.

    A server that seemed full long ago is tried again with one task, since nothing else brings
    news of a server on which this process runs nothing.
    """
    if candidate.held_slots > 0:
        return True
    if candidate.free_slots >= 1 + _spare_slots(candidate, work):
        return True
    span_s = MAX_RETRY_AGE_S - MIN_RETRY_AGE_S
    retry_age_s = MAX_RETRY_AGE_S - span_s * work.response_weight
    retry_age_s = max(MIN_RETRY_AGE_S, retry_age_s * work.threshold_factor)
    return candidate.own_active == 0 and work.now - candidate.load_at > retry_age_s


def _spare_slots(candidate: Candidate, work: Work) -> float:
    if work.may_queue:
        # A server that holds work beyond its slots declines nothing.
        return 0.0
    if candidate.preferred:
        return PREFERRED_SPARE_SLOTS * work.threshold_factor
    spread = MAX_SPARE_SLOTS - MIN_SPARE_SLOTS
    return (MAX_SPARE_SLOTS - spread * work.response_weight) * work.threshold_factor


class ServerChooser(Protocol):
    """Choose a backend server for one piece of work.

    :param name: name of the variant.
    :param weighs_domains: whether it chooses between local and remote servers itself; otherwise
        it gets remote ones only when no local one has room.
    """

    name: str
    weighs_domains: bool

    def choose(self, candidates: Sequence[Candidate], work: Work) -> Candidate | None:
        """Choose one of the candidates.

        :param candidates: servers that may take new work; never empty.
        :param work: what has to be placed.
        :returns: the server, or None to keep the work in the queue.
        """
        ...
