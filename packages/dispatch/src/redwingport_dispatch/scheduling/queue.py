"""Priority queue of the work items that wait for servers."""

import bisect
import itertools
from collections.abc import Iterator

from redwingport_dispatch.scheduling.work import Work

# Seconds of declared run time that one second of waiting offsets. Ageing lets a long task
# overtake newer short ones, so that short tasks that keep arriving do not starve it.
AGEING_RATE = 4.0

Rank = tuple[bool, int, bool, float, int]


class WorkQueue:
    """Order work items by priority, then nearly by arrival: shorter ones are slightly preferred.

    Work items that arrived too late to meet their target follow those of the same priority that
    can still meet it.

    Work items with a started task precede all others: a job has no value until its last task is
    done, and the tasks already run would be wasted. All waiting work items age at the same rate,
    so the order does not depend on the current time.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[Rank, Work]] = []
        self._entry_by_work: dict[Work, tuple[Rank, Work]] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Work]:
        """Iterate over a copy, because placing and refusing work items removes them."""
        return iter([work for _, work in self._entries])

    def add(self, work: Work) -> None:
        """Add a work item, unless it is queued already."""
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
        """Update the position of a queued work item after one of its tasks has started."""
        if work in self._entry_by_work:
            self.remove(work)
            self.add(work)

    def remove(self, work: Work) -> None:
        """Remove a work item, if it is queued."""
        entry = self._entry_by_work.pop(work, None)
        if entry is not None:
            position = bisect.bisect_left(self._entries, entry[0], key=lambda item: item[0])
            del self._entries[position]


def order_key(work: Work) -> float:
    """Return the sort key of work items of equal priority, in seconds; the lowest comes first."""
    return work.shape.estimate_s + AGEING_RATE * work.received_at
