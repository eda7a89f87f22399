"""A queue that is fair among teams and ordered by deadline within a team."""

import heapq
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class QueueItem(Protocol):
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


T = TypeVar("T", bound=QueueItem)


# Sums of floats drift when items come and go, so that an empty queue could show a wait.
NS_PER_S = 1_000_000_000
# Least charge for an item: a team whose items are estimated at zero must not go first for ever.
MIN_CHARGE_S = 0.001
# Heaps up to this size are not worth a rebuild to get rid of removed items.
MIN_REBUILD_LENGTH = 16


@dataclass(slots=True)
class _TeamQueue(Generic[T]):
    order: int
    share: float
    virtual_time: float = 0.0
    in_heap: bool = False
    # Item and expected run time in nanoseconds.
    waiting_by_ticket: dict[int, tuple[T, int]] = field(default_factory=dict)
    # Deadline and ticket; tickets that no longer wait are left in place.
    heap: list[tuple[float, int]] = field(default_factory=list)

    def first(self) -> tuple[int, T]:
        """Return the ticket and the item with the earliest deadline; one has to wait."""
        while (waiting := self.waiting_by_ticket.get(self.heap[0][1])) is None:
            heapq.heappop(self.heap)
        return self.heap[0][1], waiting[0]

    def ticket_of(self, item: T) -> int:
        """Return the ticket of an item.

        :raises LookupError: if the item does not wait.
        """
        # The item that peek() returned is the first one unless others have come since.
        first = self.waiting_by_ticket.get(self.heap[0][1]) if self.heap else None
        if first is not None and first[0] is item:
            return self.heap[0][1]
        for ticket, (waiting, _) in self.waiting_by_ticket.items():
            if waiting is item:
                return ticket
        raise LookupError("the item does not wait in the queue")

    def rebuild(self) -> None:
        """Drop the tickets that no longer wait from the heap."""
        self.heap = [pair for pair in self.heap if pair[1] in self.waiting_by_ticket]
        heapq.heapify(self.heap)


class FairQueue(Generic[T]):
    """Serve teams in proportion to their shares; idle shares are borrowed.

    Each team has a virtual time that grows by run time over share when an item is taken
    (start-time fair queueing, Goyal et al., 1996); the least virtual time goes first. Teams with
    items are in a heap, so that the cost of a step grows with the logarithm of their number.

    :param share_by_team: shares of teams; a team that is not named has share 1.
    :ivar length: items that wait.
    """

    def __init__(self, share_by_team: dict[str, float]) -> None:
        self._share_by_team = share_by_team
        self._queue_by_team: dict[str, _TeamQueue[T]] = {}
        # Virtual time, order and queue. The key of a team may be too low, as virtual times only
        # grow; it is corrected when the team comes up.
        self._heap: list[tuple[float, int, _TeamQueue[T]]] = []
        self._virtual_now = 0.0
        self._sequence = 0
        self._run_ns = 0
        self.length = 0

    @property
    def run_s(self) -> float:
        """Return the expected run time of all items that wait, in seconds."""
        return self._run_ns / NS_PER_S

    def push(self, item: T) -> int:
        """Add an item.

        :returns: a ticket for :meth:`remove`.
        """
        queue = self._queue_of(item.team)
        if not queue.waiting_by_ticket:
            # A team that was idle has no claim on the time it did not use.
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
            if not queue.in_heap:
                heapq.heappush(self._heap, (queue.virtual_time, queue.order, queue))
                queue.in_heap = True
        self._sequence += 1
        run_ns = int(item.run_s * NS_PER_S)
        queue.waiting_by_ticket[self._sequence] = item, run_ns
        heapq.heappush(queue.heap, (item.deadline, self._sequence))
        self.length += 1
        self._run_ns += run_ns
        return self._sequence

    def remove(self, ticket: int, item: T) -> None:
        """Drop an item; a no-op if it was taken or removed before.

        :param ticket: what :meth:`push` returned.
        """
        queue = self._queue_by_team.get(item.team)
        if queue is not None:
            self._pop(queue, ticket)

    def peek(self) -> tuple[int, T] | None:
        """Return the ticket and the item that is next, or None when the queue is empty."""
        while self._heap:
            key, order, queue = self._heap[0]
            if not queue.waiting_by_ticket:
                heapq.heappop(self._heap)
                queue.in_heap = False
            elif key < queue.virtual_time:
                heapq.heapreplace(self._heap, (queue.virtual_time, order, queue))
            else:
                return queue.first()
        return None

    def take(self, item: T) -> None:
        """Remove the item that :meth:`peek` returned and charge its team.

        :raises LookupError: if the item does not wait.
        """
        queue = self._queue_of(item.team)
        run_ns = self._pop(queue, queue.ticket_of(item))
        self._virtual_now = max(self._virtual_now, queue.virtual_time)
        queue.virtual_time += max(run_ns / NS_PER_S, MIN_CHARGE_S) / queue.share

    def _queue_of(self, team: str) -> _TeamQueue[T]:
        queue = self._queue_by_team.get(team)
        if queue is None:
            share = self._share_by_team.get(team, 1.0)
            queue = self._queue_by_team[team] = _TeamQueue(len(self._queue_by_team), share)
        return queue

    def _pop(self, queue: _TeamQueue[T], ticket: int) -> int:
        waiting = queue.waiting_by_ticket.pop(ticket, None)
        if waiting is None:
            return 0
        if queue.heap[0][1] == ticket:
            heapq.heappop(queue.heap)
        elif len(queue.heap) > MIN_REBUILD_LENGTH + 2 * len(queue.waiting_by_ticket):
            queue.rebuild()
        self.length -= 1
        self._run_ns -= waiting[1]
        return waiting[1]
