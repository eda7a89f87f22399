"""Tests of the fair queue: shares of teams, order of deadlines and sums of run times."""

import weakref
from dataclasses import dataclass
from itertools import combinations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from redwingport_policy.fair_queue import FairQueue

SHARES = {"bread": 1.0, "milk": 2.0, "cheese": 4.0}
MAX_RUN_MS = 1_000
TEAM = st.sampled_from(sorted(SHARES))
RUN_MS = st.integers(1, MAX_RUN_MS)
DEADLINE = st.sampled_from([1.0, 2.0, 3.0])
PICK = st.integers(0, 1_000)


@dataclass(eq=False)
class Item:
    team: str
    deadline: float
    run_ms: int

    @property
    def run_s(self) -> float:
        return self.run_ms / 1_000


class FairQueueMachine(RuleBasedStateMachine):
    """Compare the queue with a model of queued items and of the service each team received."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[Item] = FairQueue(SHARES)
        self.waiting: dict[int, Item] = {}
        self.dequeued: list[tuple[int, Item]] = []
        self.service_by_team = dict.fromkeys(SHARES, 0.0)
        self.leads_by_pair: dict[tuple[str, str], list[float]] = {}

    @rule(team=TEAM, deadline=DEADLINE, run_ms=RUN_MS, count=st.integers(1, 8))
    def push(self, team: str, deadline: float, run_ms: int, count: int) -> None:
        for _ in range(count):
            item = Item(team, deadline, run_ms)
            self.waiting[self.queue.push(item)] = item

    @precondition(lambda self: self.waiting)
    @rule(pick=PICK)
    def remove(self, pick: int) -> None:
        ticket = sorted(self.waiting)[pick % len(self.waiting)]
        item = self.waiting.pop(ticket)
        self.queue.remove(ticket, item)
        self.dequeued.append((ticket, item))

    @precondition(lambda self: self.dequeued)
    @rule(pick=PICK)
    def remove_again(self, pick: int) -> None:
        self.queue.remove(*self.dequeued[pick % len(self.dequeued)])

    @precondition(lambda self: self.waiting)
    @rule(count=st.integers(1, 8))
    def take(self, count: int) -> None:
        for _ in range(min(count, len(self.waiting))):
            head = self.queue.peek()
            assert head is not None, "peek() returned nothing although items are queued"
            self.finish_take(*head)

    @precondition(lambda self: self.waiting)
    @rule()
    def push_between_peek_and_take(self) -> None:
        head = self.queue.peek()
        assert head is not None
        self.push(head[1].team, 0.5, 1, 1)
        self.finish_take(*head)

    def finish_take(self, ticket: int, item: Item) -> None:
        assert self.waiting[ticket] is item
        self.queue.take(item)
        del self.waiting[ticket]
        self.dequeued.append((ticket, item))
        self.service_by_team[item.team] += item.run_s / SHARES[item.team]
        self.check_shares()

    @invariant()
    def check_shares(self) -> None:
        """Check the bound of start-time fair queueing for every pair of backlogged teams."""
        backlogged = sorted({item.team for item in self.waiting.values()})
        pairs = list(combinations(backlogged, 2))
        self.leads_by_pair = {pair: self.leads_by_pair.get(pair, []) for pair in pairs}
        for (one, other), leads in self.leads_by_pair.items():
            leads.append(self.service_by_team[one] - self.service_by_team[other])
            bound = MAX_RUN_MS / 1_000 * (1 / SHARES[one] + 1 / SHARES[other])
            assert max(leads) - min(leads) <= bound + 1e-9, (
                "a team is ahead by more than the fairness bound"
            )

    @invariant()
    def sums_are_exact(self) -> None:
        assert self.queue.length == len(self.waiting)
        assert self.queue.run_s == sum(i.run_ms for i in self.waiting.values()) / 1_000

    @invariant()
    def the_earliest_deadline_of_a_team_is_next(self) -> None:
        head = self.queue.peek()
        assert (head is None) == (not self.waiting)
        if head is not None:
            rows = [(i.deadline, t) for t, i in self.waiting.items() if i.team == head[1].team]
            assert (head[1].deadline, head[0]) == min(rows)


TestFairQueue = FairQueueMachine.TestCase


def test_run_time_of_an_empty_queue_is_zero() -> None:
    """Guard against rounding errors that report a wait in an empty queue."""
    queue: FairQueue[Item] = FairQueue({})
    items = [Item("bread", 1.0, run_ms) for run_ms in (100, 200, 300, 700)]
    tickets = [queue.push(item) for item in items]
    for ticket, item in zip(tickets, items, strict=True):
        queue.remove(ticket, item)
    assert queue.run_s == 0.0


def test_items_without_run_time_do_not_starve_other_teams() -> None:
    """Guard against a team with run time estimates of zero always being served first."""
    queue: FairQueue[Item] = FairQueue({})
    for team, run_ms in (("bread", 0), ("milk", 1)):
        for _ in range(10):
            queue.push(Item(team, 1.0, run_ms))
    teams = []
    for _ in range(10):
        head = queue.peek()
        assert head is not None
        queue.take(head[1])
        teams.append(head[1].team)
    assert teams.count("milk") == 5


def test_removed_items_are_released() -> None:
    """Guard against cancelled items that stay in memory until they reach the heap's top."""
    queue: FairQueue[Item] = FairQueue({})
    queue.push(Item("bread", 1.0, 1))
    for _ in range(1_000):
        item = Item("bread", 9.0, 1)
        queue.remove(queue.push(item), item)
    reference = weakref.ref(item)
    del item
    assert reference() is None
    assert len(queue._queue_by_team["bread"].heap) < 50


def test_deadline_order_survives_a_heap_rebuild() -> None:
    """Guard against a heap that violates its invariant after a rebuild."""
    queue: FairQueue[Item] = FairQueue({})
    items = [Item("bread", float(index * 37 % 101), 1) for index in range(100)]
    tickets = [queue.push(item) for item in items]
    for ticket, item in zip(tickets[:80], items[:80], strict=True):
        queue.remove(ticket, item)
    order = []
    while (head := queue.peek()) is not None:
        queue.take(head[1])
        order.append(head[1].deadline)
    assert order == sorted(item.deadline for item in items[80:])


def test_taking_an_item_twice_is_an_error() -> None:
    """Guard against an item that is started twice."""
    queue: FairQueue[Item] = FairQueue({})
    item = Item("bread", 1.0, 1)
    queue.push(item)
    queue.take(item)
    with pytest.raises(LookupError):
        queue.take(item)
    assert queue.length == 0
