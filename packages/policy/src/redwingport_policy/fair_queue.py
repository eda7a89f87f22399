"""Fair queueing among teams, with earliest deadline first within a team."""

import heapq
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class QueueItem(Protocol):
    """Interface of a queued item."""

    @property
    def team(self) -> str:
        """Return the team that is charged for the item."""
        ...

    @property
    def deadline(self) -> float:
        """Return the monotonic time, in seconds, after which the item is no longer useful."""
        ...

    @property
    def run_s(self) -> float:
        """Return the expected run time, in seconds."""
        ...


T = TypeVar("T", bound=QueueItem)


# Run times are summed as integer nanoseconds: a float sum accumulates rounding errors, so that an
# empty queue could report a wait.
NS_PER_S = 1_000_000_000
# Minimum charge for an item; without it, a team with run time estimates of zero would permanently
# take precedence.
MIN_CHARGE_S = 0.001
# Number of heap entries below which removed items are not worth a rebuild.
MIN_REBUILD_LENGTH = 16


@dataclass(slots=True)
class _TeamQueue(Generic[T]):
    order: int
    share: float
    virtual_time: float = 0.0
    in_heap: bool = False
    # (item, expected run time in nanoseconds)
    waiting_by_ticket: dict[int, tuple[T, int]] = field(default_factory=dict)
    # (deadline, ticket); tickets of removed items stay until they reach the top or the heap is
    # rebuilt.
    heap: list[tuple[float, int]] = field(default_factory=list)

    def first(self) -> tuple[int, T]:
        """Return the ticket and item with the earliest deadline; the queue must not be empty."""
        while (waiting := self.waiting_by_ticket.get(self.heap[0][1])) is None:
            heapq.heappop(self.heap)
        return self.heap[0][1], waiting[0]

    def ticket_of(self, item: T) -> int:
        """Return the ticket of an item.

        :raises LookupError: if the item is not queued.
        """
        # The item returned by peek() is still first unless items have been added since.
        first = self.waiting_by_ticket.get(self.heap[0][1]) if self.heap else None
        if first is not None and first[0] is item:
            return self.heap[0][1]
        for ticket, (waiting, _) in self.waiting_by_ticket.items():
            if waiting is item:
                return ticket
        raise LookupError("item is not in the queue")

    def rebuild(self) -> None:
        """Remove the tickets of items that are no longer queued from the heap."""
        self.heap = [pair for pair in self.heap if pair[1] in self.waiting_by_ticket]
        heapq.heapify(self.heap)


class FairQueue(Generic[T]):
    """Serve teams in proportion to their shares; other teams use the share of an idle one.

    Implements start-time fair queueing (Goyal et al., 1996): taking an item advances the virtual
    time of its team by the run time divided by the share, and the team with the smallest virtual
    time is served first. Teams with queued items are kept in a heap, so that the cost of an
    operation is logarithmic in their number.

    :param share_by_team: shares of teams; the default share is 1.
    :ivar length: number of queued items.
    """

    def __init__(self, share_by_team: dict[str, float]) -> None:
        self._share_by_team = share_by_team
        self._queue_by_team: dict[str, _TeamQueue[T]] = {}
        # (virtual time, insertion order, queue). The key of a team may be outdated and then is too
        # low, as virtual times only grow; peek() corrects it.
        self._heap: list[tuple[float, int, _TeamQueue[T]]] = []
        self._virtual_now = 0.0
        self._sequence = 0
        self._run_ns = 0
        self.length = 0

    @property
    def run_s(self) -> float:
        """Return the total expected run time of the queued items, in seconds."""
        return self._run_ns / NS_PER_S

    def push(self, item: T) -> int:
        """Add an item.

        :param item: the item; its deadline and run time are read by this call only.
        :returns: a ticket for :meth:`remove`.
        """
        queue = self._queue_of(item.team)
        if not queue.waiting_by_ticket:
            # An idle team accumulates no credit.
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
        """Remove an item; a no-op if it has been taken or removed before.

        :param ticket: ticket returned by :meth:`push`.
        :param item: the item.
        """
        queue = self._queue_by_team.get(item.team)
        if queue is not None:
            self._pop(queue, ticket)

    def peek(self) -> tuple[int, T] | None:
        """Return the ticket and item to be served next, or None if the queue is empty."""
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
        """Remove the item returned by :meth:`peek` and charge its team.

        :raises LookupError: if the item is not queued.
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
