"""The order of works that wait for servers."""

import bisect
import itertools
from collections.abc import Iterator

from redwingport_dispatch.scheduling.work import Work

# Seconds of declared run time that a second of waiting makes up for: a long task overtakes new
# short ones after a while, so that a long burst of short ones does not starve it.
AGEING_RATE = 0.25

Rank = tuple[bool, int, bool, float, int]


class WorkQueue:
    """Keep works by priority, then shortest declared task first, with ageing.

    Works that came too late to be in time go behind those of their priority that can be.

    A work of which a task has started goes before all others: its job is worth nothing until the
    last task is done, and what was started would be thrown away. A work's place does not depend
    on the time at which it is asked for: all that wait age alike.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[Rank, Work]] = []
        self._entry_by_work: dict[Work, tuple[Rank, Work]] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Work]:
        """Iterate over a copy, as placing and refusing take works out."""
        return iter([work for _, work in self._entries])

    def add(self, work: Work) -> None:
        """Queue a work, unless it is queued already."""
        if work in self._entry_by_work:
            return
        key = (
            not work.ever_started,
            work.priority,
            work.late,
            order_key(work),
            next(self._numbers),
        )
        entry = (key, work)
        bisect.insort(self._entries, entry, key=lambda item: item[0])
        self._entry_by_work[work] = entry

    def reposition(self, work: Work) -> None:
        """Give a queued work its place anew, after a task of it has started."""
        if work in self._entry_by_work:
            self.remove(work)
            self.add(work)

    def remove(self, work: Work) -> None:
        """Take a work out, if it is queued."""
        entry = self._entry_by_work.pop(work, None)
        if entry is not None:
            position = bisect.bisect_left(self._entries, entry[0], key=lambda item: item[0])
            del self._entries[position]


def order_key(work: Work) -> float:
    """Return the figure by which works of one priority are ordered, in seconds."""
    return work.shape.estimate_s + AGEING_RATE * work.received_at
