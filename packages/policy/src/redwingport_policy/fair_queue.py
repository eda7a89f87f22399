"""A queue that is fair among teams and ordered by deadline within a team."""

import heapq
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class Queued(Protocol):
    """Describe what the queue needs to know of an item."""

    @property
    def team(self) -> str:
        """Return the team the item is counted for."""
        ...

    @property
    def deadline(self) -> float:
        """Return the monotonic time after which the item is of no use."""
        ...

    @property
    def run_s(self) -> float:
        """Return the expected run time, in seconds."""
        ...


T = TypeVar("T", bound=Queued)


@dataclass(slots=True)
class _TeamQueue(Generic[T]):
    share: float
    virtual_time: float = 0.0
    heap: list[tuple[float, int, T]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Serve teams in proportion to their shares; idle shares are borrowed.

    Each team has a virtual time that grows by run time over share when an item is taken
    (start-time fair queueing, Goyal et al., 1996); the least virtual time goes first.

    :param share_by_team: shares of teams; a team that is not named has share 1.
    """

    def __init__(self, share_by_team: dict[str, float]) -> None:
        self._share_by_team = share_by_team
        self._queue_by_team: dict[str, _TeamQueue[T]] = {}
        self._virtual_now = 0.0
        self._sequence = 0
        self._removed: set[int] = set()
        self.length = 0
        self.run_s = 0.0

    def push(self, item: T) -> int:
        """Add an item.

        :returns: a ticket for :meth:`remove`.
        """
        queue = self._queue_by_team.get(item.team)
        if queue is None:
            queue = _TeamQueue(self._share_by_team.get(item.team, 1.0))
            self._queue_by_team[item.team] = queue
        if not queue.heap:
            # A team that was idle has no claim on the time it did not use.
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
        self._sequence += 1
        heapq.heappush(queue.heap, (item.deadline, self._sequence, item))
        self.length += 1
        self.run_s += item.run_s
        return self._sequence

    def remove(self, ticket: int, item: T) -> None:
        """Drop an item that still waits.

        :param ticket: what :meth:`push` returned.
        """
        self._removed.add(ticket)
        self.length -= 1
        self.run_s -= item.run_s

    def peek(self) -> tuple[int, T] | None:
        """Return the ticket and the item that is next, or None when the queue is empty."""
        best: _TeamQueue[T] | None = None
        for queue in list(self._queue_by_team.values()):
            self._drop_removed(queue)
            if queue.heap and (best is None or queue.virtual_time < best.virtual_time):
                best = queue
        if best is None:
            return None
        _, ticket, item = best.heap[0]
        return ticket, item

    def take(self, item: T) -> None:
        """Remove the item that :meth:`peek` returned and charge its team."""
        queue = self._queue_by_team[item.team]
        heapq.heappop(queue.heap)
        self._virtual_now = queue.virtual_time
        queue.virtual_time += item.run_s / queue.share
        self.length -= 1
        self.run_s -= item.run_s

    def _drop_removed(self, queue: _TeamQueue[T]) -> None:
        while queue.heap and queue.heap[0][1] in self._removed:
            self._removed.discard(heapq.heappop(queue.heap)[1])
