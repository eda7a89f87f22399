"""Fakes for tests of the scheduler: recorded effects and a harness with a manual clock."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerListing,
    ServerReport,
    TaskShape,
)
from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.scheduler import Scheduler
from redwingport_dispatch.scheduling.work import Run, Task, Work
from redwingport_dispatch.settings import BoundSettings

BOUNDS = BoundSettings(lease_ms=1000, stop_ms=50, grace_s=6, far_factor=1.5)
SERVICE = "desk"
HOLDER = "holder"


@dataclass
class RecordedEffects:
    """Record the decisions of a scheduler."""

    started: list[Run] = field(default_factory=list)
    stopped: list[Run] = field(default_factory=list)
    placed_again: list[tuple[str, str]] = field(default_factory=list)
    done: list[tuple[str, int]] = field(default_factory=list)
    failed: list[tuple[str, int]] = field(default_factory=list)
    refused: list[tuple[str, str, int]] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    fields_by_event: dict[str, list[dict[str, object]]] = field(default_factory=dict)

    def start(self, run: Run, work: Work) -> None:
        self.started.append(run)

    def stop_run(self, run: Run) -> None:
        self.stopped.append(run)

    def report_placed(self, work: Work, run: Run, placement: Placement) -> None:
        pass

    def report_placed_again(self, work: Work, run: Run) -> None:
        self.placed_again.append((run.task_name, run.server_id))

    def report_done(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        self.done.append((work.job_id, task.index))

    def report_failed(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        self.failed.append((work.job_id, task.index))

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        self.refused.append((work.job_id, reason, retry_after_s))

    def abandon(self, work: Work) -> None:
        self.abandoned.append(work.job_id)

    def log_decision(self, event: str, **fields: object) -> None:
        self.events.append(event)
        self.fields_by_event.setdefault(event, []).append(fields)


class SchedulerHarness:
    """Drive a scheduler by hand: manual clock, servers that report their runs, and jobs."""

    def __init__(
        self, servers: int = 2, cpu_millis: int = 16000, kind: str = "a", settled_s: float = 0.0
    ) -> None:
        self.effects = RecordedEffects()
        self.now = 100.0
        # Limits of the leases by holder; other holders have none.
        self.lease_limit_at_by_holder: dict[str, float] = {}
        self.reaches_majority = True
        self.scheduler = Scheduler(
            self.effects,
            BOUNDS,
            self.now + settled_s,
            lease_limit_at=lambda holder: self.lease_limit_at_by_holder.get(holder, math.inf),
            reaches_majority=lambda: self.reaches_majority,
        )
        self._next_work = 0
        self._ends_by_server: dict[str, int] = {}
        for number in range(servers):
            self.add_server(f"s{number}", cpu_millis, kind)

    def add_server(
        self, server_id: str, cpu_millis: int = 16000, kind: str = "a", acquired: bool = True
    ) -> None:
        listing = ServerListing(
            server_id, SERVICE, "127.0.0.1:1", "d", cpu_millis, 65536, 0, (kind, "r1"), False
        )
        self.scheduler.set_server(listing)
        if acquired:
            self.report(server_id)

    def submit(
        self,
        job_id: str,
        tasks: int = 1,
        estimate_s: float = 0.2,
        cpu_millis: int = 7000,
        holder: str = HOLDER,
        deadline_s: float = 1.5,
        target_s: float = 1.0,
        priority: int = 0,
        resumed: bool = False,
        placed: dict[int, str] | None = None,
        attempts: int = 3,
        unheard_s: float = 0.0,
        waited_s: float = 0.0,
        more_offers: bool = False,
        other_servers: bool = False,
        refused_for_load: bool = False,
        work_id: int = 0,
        identity: str = "identity",
    ) -> Work:
        """Submit a work item; one with the number of an earlier one is submitted again."""
        self._next_work += 1
        work = Work(
            holder=holder,
            work_id=work_id or self._next_work,
            job_id=job_id,
            step=0,
            service=SERVICE,
            spec="",
            shape=TaskShape(cpu_millis, 64, 0, estimate_s),
            priority=priority,
            attempts=attempts,
            received_at=self.now - waited_s,
            target_at=self.now + target_s - waited_s,
            deadline_at=self.now + deadline_s - waited_s,
            more_offers=more_offers,
            other_servers=other_servers,
            refused_for_load=refused_for_load,
            identity=identity,
            task_by_index={index: Task(index) for index in range(tasks)},
        )
        for index, server_id in (placed or {}).items():
            if server_id:
                # The holder was told of the first run.
                work.task_by_index[index] = Task(index, 2, last_run=(server_id, 1))
        self.scheduler.submit(work, placed or {}, resumed, self.now, unheard_s)
        return work

    def accept_all(self) -> None:
        for run in self.effects.started:
            if not run.accepted_at:
                self.scheduler.handle_started(run, self.clock_ms, self.now)

    @property
    def clock_ms(self) -> int:
        """Return the clock of the servers, in milliseconds."""
        return round(self.now * 1000)

    def report(
        self, server_id: str, ends: list[RunEnd] | None = None, percent: float = 50
    ) -> None:
        """Report the runs that the scheduler has on a server and that were accepted.

        :param server_id: id of the server.
        :param ends: ends to report; their runs are left out.
        :param percent: progress of each run.
        """
        server = self.scheduler.server_by_id[server_id]
        ended = {end.task for end in ends or []}
        runs = tuple(
            RunListing(run.task_name, run.number, percent)
            for run in server.run_by_task.values()
            if run.task_name not in ended and run.accepted_at
        )
        report = ServerReport(self.clock_ms, runs=runs, ends=tuple(ends or []))
        self.scheduler.handle_report(server_id, report, self.now, list(ends or []), self.now)

    def end(self, run: Run, kind: EndKind = EndKind.DONE) -> None:
        sequence = self._ends_by_server.get(run.server_id, 0) + 1
        self._ends_by_server[run.server_id] = sequence
        self.report(run.server_id, [RunEnd(sequence, run.task_name, run.number, kind)])

    def lose_start(self, run: Run) -> None:
        self.scheduler.handle_not_started(run, OrderFailure.NO_ANSWER, self.now)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.scheduler.tick(self.now)
