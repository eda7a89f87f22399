"""Refusal and abandonment of work items, on arrival and while they wait."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from redwingport_dispatch.scheduling import admission
from redwingport_dispatch.scheduling.admission import CapacityForecast
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.work import Work

# Minimum share of the expected run time that has to be left before the deadline for a work item to
# be kept: declared run times are off by a factor of 1.5 in either direction.
MIN_RUN_TIME_SHARE = 1 / 1.5


class ReviewedScheduler(Protocol):
    """Interface of the scheduler that a review inspects and acts on."""

    server_by_id: dict[str, ServerState]
    speeds: Speeds

    def usable_servers(self, now: float) -> list[ServerState]:
        """Return the servers that may get a task now."""
        ...

    def runs_apart(self, work: Work) -> bool:
        """Return whether a work item waits for servers of its own, and not for those in use."""
        ...

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        """Drop a work item without a started task and notify its holder.

        :param reason: reason of the refusal.
        :param retry_after_s: time after which there should be capacity, in seconds.
        :param inputs: figures behind the decision, for the log; times in seconds.
        """
        ...

    def abandon(self, work: Work, now: float) -> None:
        """Stop the runs of a work item and notify its holder that it cannot be completed."""
        ...


@dataclass(slots=True)
class _QueuedDemand:
    """Sum up the queued work items of one service, up to a position in the queue.

    :param forecast: forecast for the service; None when it has no usable server.
    :param tasks: number of queued tasks.
    :param estimate_sum_s: sum of their declared run times, in seconds.
    """

    forecast: CapacityForecast | None
    tasks: int = 0
    estimate_sum_s: float = 0.0

    def add(self, work: Work, sign: int = 1) -> None:
        count = len(work.queued_tasks())
        self.tasks += sign * count
        self.estimate_sum_s += sign * count * work.shape.estimate_s

    def wait_s(self, work: Work) -> float:
        """Return the expected time until the last added task has a slot, in seconds."""
        assert self.forecast is not None
        mean_s = self.estimate_sum_s / max(self.tasks, 1)
        return self.forecast.wait_s(self.tasks, work.shape, mean_s)


class QueueReview:
    """Refuse or abandon work items that cannot be done in time.

    :param scheduler: the scheduler whose queue is reviewed.
    """

    def __init__(self, scheduler: ReviewedScheduler) -> None:
        self._scheduler = scheduler

    def review(self, queue: Iterable[Work], now: float) -> None:
        """Review the waiting work items, in queue order."""
        demand_by_service: dict[str, _QueuedDemand] = {}
        works = list(queue)
        waiting_by_service = Counter(work.service for work in works)
        for work in works:
            demand = demand_by_service.get(work.service)
            if demand is None:
                demand = _QueuedDemand(self._forecast(work.service, now))
                demand_by_service[work.service] = demand
            runs_apart = self._scheduler.runs_apart(work)
            if not runs_apart:
                demand.add(work)
            if work.ever_started:
                self._abandon_if_too_late(work, demand.forecast, now)
            elif demand.forecast is None:
                self._refuse_without_server(work)
            else:
                others_wait = waiting_by_service[work.service] > 1
                limit_at = admission.latest_end(work, others_wait)
                if self._refuse_late(work, demand.forecast, demand.wait_s(work), limit_at, now):
                    if not runs_apart:
                        demand.add(work, -1)
                    waiting_by_service[work.service] -= 1

    def review_blocked(self, works: Sequence[Work], now: float) -> None:
        """Review the work items whose tasks wait for the end of earlier runs."""
        for work in works:
            self._abandon_if_too_late(work, self._forecast(work.service, now), now)

    def refuse_on_arrival(self, work: Work, queue: Iterable[Work], now: float) -> bool:
        """Refuse a new work item that cannot be done in time behind those ahead in the queue.

        :param work: the new work item.
        :param queue: waiting work items in order, including the new one.
        :param now: monotonic time, in seconds.
        :returns: whether it was refused.
        """
        if work.ever_started:
            return False
        forecast = self._forecast(work.service, now)
        if forecast is None:
            return self._refuse_without_server(work)
        if not forecast.can_run(work.shape):
            # A server that is unusable now may run the task later.
            others = [server for server in self._servers_of(work) if not server.is_gone(now)]
            if any(server.could_run(work.shape) for server in others):
                return False
            inputs = {"cpu_millis": work.shape.cpu_millis, "usable_servers": forecast.server_count}
            retry_after_s = admission.MAX_RETRY_AFTER_S
            self._scheduler.refuse(work, admission.FITS_ON_NO_SERVER, retry_after_s, inputs)
            return True
        waiting = [other for other in queue if other.service == work.service]
        demand = _QueuedDemand(forecast)
        for other in waiting[: waiting.index(work) + 1]:
            if other is work or not self._scheduler.runs_apart(other):
                demand.add(other)
        wait_s = demand.wait_s(work)
        if work.refused_for_load and wait_s > 0:
            self._scheduler.refuse(
                work,
                admission.TOO_LATE,
                admission.retry_after_s(wait_s),
                {"expected_wait_s": round(wait_s, 4), "usable_servers": forecast.server_count},
            )
            return True
        limit_at = admission.latest_end(work, others_wait=len(waiting) > 1)
        return self._refuse_late(work, forecast, wait_s, limit_at, now)

    def _forecast(self, service: str, now: float) -> CapacityForecast | None:
        servers = self._scheduler.usable_servers(now)
        usable = [server for server in servers if server.listing.service == service]
        return CapacityForecast(usable, self._scheduler.speeds, now) if usable else None

    def _servers_of(self, work: Work) -> list[ServerState]:
        servers = self._scheduler.server_by_id.values()
        return [server for server in servers if server.listing.service == work.service]

    def _refuse_late(
        self, work: Work, forecast: CapacityForecast, wait_s: float, limit_at: float, now: float
    ) -> bool:
        """Refuse a work item whose last task would end too late; return whether it was refused.

        :param wait_s: expected time until its last task has a slot, in seconds.
        :param limit_at: monotonic time by which a work item that has to wait must end, in
            seconds. One that is late without having to wait is served while it may still meet
            its deadline.
        """
        run_s = work.shape.estimate_s * forecast.min_slowness
        too_late = now + wait_s + run_s * MIN_RUN_TIME_SHARE > work.deadline_at
        delayed = wait_s > 0 and now + wait_s + run_s > limit_at
        if not too_late and not delayed:
            return False
        inputs = {
            "expected_wait_s": round(wait_s, 4),
            "expected_run_s": round(run_s, 4),
            "limit_s": round(limit_at - now, 4),
            "usable_servers": forecast.server_count,
        }
        self._scheduler.refuse(work, admission.TOO_LATE, admission.retry_after_s(wait_s), inputs)
        return True

    def _refuse_without_server(self, work: Work) -> bool:
        """Refuse a work item unless one of its servers may become usable soon.

        :returns: whether it was refused.
        """
        remaining = [s for s in self._servers_of(work) if not s.listing.draining]
        if any(server.may_become_usable() for server in remaining):
            return False
        inputs = {"usable_servers": 0, "yielded_servers": sum(s.yielded for s in remaining)}
        self._scheduler.refuse(work, admission.NO_SERVER, admission.MAX_RETRY_AFTER_S, inputs)
        return True

    def _abandon_if_too_late(
        self, work: Work, forecast: CapacityForecast | None, now: float
    ) -> None:
        """Abandon a started work item whose remaining tasks cannot meet the deadline."""
        min_slowness = forecast.min_slowness if forecast is not None else 0.0
        fastest_s = work.shape.estimate_s * min_slowness
        if now + fastest_s * MIN_RUN_TIME_SHARE > work.deadline_at:
            self._scheduler.abandon(work, now)
