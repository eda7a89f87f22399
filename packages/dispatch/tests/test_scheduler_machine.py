"""State machine test: lost, late or reordered orders never make a task run twice at a time."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from scheduling_fakes import BOUNDS, SERVICE, RecordedEffects

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerListing,
    ServerReport,
    TaskShape,
)
from redwingport_dispatch.loopback import Loopback
from redwingport_dispatch.scheduling.history import STARTED_JOB_TTL_S
from redwingport_dispatch.scheduling.scheduler import Scheduler
from redwingport_dispatch.scheduling.work import Run, Task, Work, WorkKey

CPU_MILLIS = 14000
# Name of a task, number of a run, and identity of the job of the run.
OwnedRun = tuple[str, int, str]
LEASE_S = BOUNDS.lease_s
# Time until which holders may submit the work items of an earlier owner.
SETTLED_AT = 100.3


@dataclass(kw_only=True)
class IdentifiedEffects(RecordedEffects):
    """Record for which jobs tasks were started, reported as done or refused.

    :param now: present time, in seconds.
    :param done_runs: runs that were reported to have completed their tasks.
    :param wrong_refusals: refused work items of jobs that had started, or that started later.
    :param unknown_starts: work items of which a task was started after they were dropped.
    :param loopback: delivers the refused and abandoned work items to their holder.
    """

    loopback: Loopback[Work]
    now: float = 0.0
    scheduler: Scheduler | None = None
    unknown_starts: list[Work] = field(default_factory=list)
    done_runs: set[OwnedRun] = field(default_factory=set)
    wrong_refusals: list[Work] = field(default_factory=list)
    _started_at: dict[tuple[str, int, str], float] = field(default_factory=dict)
    _refused: set[WorkKey] = field(default_factory=set)

    def start(self, run: Run, work: Work) -> None:
        super().start(run, work)
        self._started_at[work.job_id, work.step, work.identity] = self.now
        if work.key in self._refused:
            self.wrong_refusals.append(work)
        assert self.scheduler is not None
        if self.scheduler.work_by_key.get(work.key) is not work:
            self.unknown_starts.append(work)

    def report_done(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        self.done_runs.add((work.task_name(task.index), run_number, work.identity))

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        self._refused.add(work.key)
        started_at = self._started_at.get((work.job_id, work.step, work.identity))
        if started_at is not None and self.now < started_at + STARTED_JOB_TTL_S:
            self.wrong_refusals.append(work)
        self.loopback.send(work)

    def abandon(self, work: Work) -> None:
        self.loopback.send(work)


@dataclass
class ModelServer:
    """Model what actually runs on a server, independent of the scheduler's view."""

    server_id: str
    running: dict[str, int] = field(default_factory=dict)
    identity_by_task: dict[str, str] = field(default_factory=dict)
    done_runs: set[OwnedRun] = field(default_factory=set)
    highest_stopped: dict[str, int] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    acknowledged: int = 0
    sequence: int = 0
    lease_ends_at: float = 0.0

    def start(self, run: Run, sent_at: float, now: float) -> bool:
        """Execute a start order; return whether it was accepted."""
        if sent_at + LEASE_S <= now:
            return False
        if run.number <= self.highest_stopped.get(run.task_name, 0):
            return False
        if run.task_name in self.running:
            return self.running[run.task_name] == run.number
        self.lease_ends_at = max(self.lease_ends_at, min(sent_at, now) + LEASE_S)
        self.running[run.task_name] = run.number
        self.identity_by_task[run.task_name] = run.identity
        return True

    def stop(self, run: Run) -> None:
        highest = self.highest_stopped.get(run.task_name, 0)
        self.highest_stopped[run.task_name] = max(highest, run.number)
        if self.running.get(run.task_name, 10**9) <= run.number:
            self.end(run.task_name, EndKind.STOPPED)

    def end(self, task: str, kind: EndKind) -> None:
        number = self.running.pop(task)
        if kind is EndKind.DONE:
            self.done_runs.add((task, number, self.identity_by_task[task]))
        highest = self.highest_stopped.get(task, 0)
        self.highest_stopped[task] = max(highest, number)
        self.sequence += 1
        self.ends.append(RunEnd(self.sequence, task, number, kind))

    def lapse(self, now: float) -> None:
        if now >= self.lease_ends_at:
            for task in list(self.running):
                self.end(task, EndKind.LAPSED)


class SchedulerMachine(RuleBasedStateMachine):
    """Interleave submissions, cancellations, orders, reports, restarts and the passing of time.

    Orders are delivered, lost or delayed. All holders are in the process of the scheduler: they
    cancel the other steps of a job when one was refused or abandoned.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loopback = Loopback(self.end_job)
        self.effects = IdentifiedEffects(loopback=self.loopback, now=100.0)
        self.done_runs: set[OwnedRun] = set()
        self.dispatch_due = False
        self.scheduler = Scheduler(self.effects, BOUNDS, SETTLED_AT, self.request_dispatch)
        self.effects.scheduler = self.scheduler
        self.now = 100.0
        self.model_by_id = {name: ModelServer(name) for name in ("s0", "s1")}
        self.starts: list[tuple[Run, float]] = []
        self.late_starts: list[tuple[Run, float]] = []
        self.works: list[Work] = []
        self.next_job = 0
        for name in self.model_by_id:
            listing = ServerListing(
                name, SERVICE, "127.0.0.1:1", "d", CPU_MILLIS, 65536, 0, ("a",), False
            )
            self.scheduler.set_server(listing)
            self.report(name)

    def request_dispatch(self) -> None:
        self.dispatch_due = True

    def end_job(self, ended: Work) -> None:
        """End the job of a work item that was refused or abandoned."""
        for work in self.works:
            if (work.holder, work.job_id, work.identity) == (
                ended.holder,
                ended.job_id,
                ended.identity,
            ):
                self.scheduler.cancel(work.key, self.now)

    def collect(self) -> None:
        """Let the owner start tasks, and collect the start orders."""
        self.loopback.deliver()
        if self.dispatch_due:
            self.dispatch_due = False
            self.scheduler.dispatch(self.now)
            self.loopback.deliver()
        self.starts += [(run, self.now) for run in self.effects.started]
        self.effects.started.clear()

    @rule(
        tasks=st.integers(1, 3),
        again=st.booleans(),
        holder=st.sampled_from("ab"),
        identity=st.sampled_from("xxy"),
        step=st.sampled_from([0, 0, 1]),
    )
    def submit(self, tasks: int, again: bool, holder: str, identity: str, step: int) -> None:
        if again and self.works:
            job_id = self.works[-1].job_id
        else:
            self.next_job += 1
            job_id = f"job{self.next_job}"
        self.add_work(job_id, holder, identity, step, tasks)

    @rule(holder=st.sampled_from("ab"), cpu_millis=st.permutations([7000, 2 * CPU_MILLIS]))
    def submit_job_with_unfit_step(self, holder: str, cpu_millis: list[int]) -> None:
        self.next_job += 1
        for step, demand in enumerate(cpu_millis):
            self.add_work(f"job{self.next_job}", holder, "x", step, 1, demand)

    def add_work(
        self,
        job_id: str,
        holder: str,
        identity: str,
        step: int,
        tasks: int,
        cpu_millis: int = 7000,
    ) -> None:
        work = Work(
            holder=holder,
            work_id=len(self.works) + 1,
            job_id=job_id,
            step=step,
            service=SERVICE,
            spec="",
            shape=TaskShape(cpu_millis, 64, 0, 0.2),
            priority=0,
            attempts=3,
            received_at=self.now,
            target_at=self.now + 5,
            deadline_at=self.now + 10,
            identity=identity,
            task_by_index={index: Task(index) for index in range(tasks)},
        )
        self.works.append(work)
        self.scheduler.submit(work, {}, resumed=False, now=self.now)
        self.collect()

    @precondition(lambda self: self.starts)
    @rule(data=st.data(), answered=st.sampled_from([True, False]))
    def deliver_start(self, data: st.DataObject, answered: bool) -> None:
        run, sent_at = self.starts.pop(data.draw(st.integers(0, len(self.starts) - 1)))
        accepted = self.model_by_id[run.server_id].start(run, sent_at, self.now)
        if not answered:
            self.scheduler.handle_not_started(run, OrderFailure.NO_ANSWER, self.now)
        elif accepted:
            self.scheduler.handle_started(run, round(self.now * 1000), self.now)
        else:
            self.scheduler.handle_not_started(run, OrderFailure.OLD_RUN, self.now)
        self.collect()

    @precondition(lambda self: self.starts)
    @rule(data=st.data())
    def delay_start(self, data: st.DataObject) -> None:
        """Report a start order as unanswered and execute it later."""
        run, sent_at = self.starts.pop(data.draw(st.integers(0, len(self.starts) - 1)))
        self.late_starts.append((run, sent_at))
        self.scheduler.handle_not_started(run, OrderFailure.NO_ANSWER, self.now)
        self.collect()

    @precondition(lambda self: self.late_starts)
    @rule()
    def deliver_late_start(self) -> None:
        run, sent_at = self.late_starts.pop(0)
        self.model_by_id[run.server_id].start(run, sent_at, self.now)

    @precondition(lambda self: self.effects.stopped)
    @rule(arrives=st.booleans(), answered=st.booleans())
    def deliver_stop(self, arrives: bool, answered: bool) -> None:
        run = self.effects.stopped.pop(0)
        if arrives:
            self.model_by_id[run.server_id].stop(run)
        if arrives and answered:
            self.scheduler.handle_stopped(run, self.now)
        else:
            self.scheduler.handle_not_stopped(run, OrderFailure.NO_ANSWER, self.now)
        self.collect()

    @rule(name=st.sampled_from(["s0", "s1"]))
    def report(self, name: str) -> None:
        """Answer a lease renewal, which extends the lease of all runs on the server."""
        model = self.model_by_id[name]
        model.lapse(self.now)
        self.done_runs |= model.done_runs
        server = self.scheduler.server_by_id[name]
        if server.run_by_task:
            model.lease_ends_at = max(model.lease_ends_at, self.now + LEASE_S)
            # The owner's bound: the server's clock may run 2 % slow, a renewal may take 50 ms.
            longest = self.now + LEASE_S / 0.98 + 0.05
            server.lease_ends_at = max(server.lease_ends_at, longest)
        runs = tuple(RunListing(task, number, 50) for task, number in model.running.items())
        ends = [end for end in model.ends if end.sequence > model.acknowledged]
        model.acknowledged = model.sequence
        report = ServerReport(round(self.now * 1000), runs=runs, ends=tuple(ends))
        self.scheduler.handle_report(name, report, self.now, ends, self.now)
        self.collect()

    @rule(data=st.data(), kind=st.sampled_from([EndKind.DONE, EndKind.FAILED, None]))
    def end_run(self, data: st.DataObject, kind: EndKind | None) -> None:
        """End a run, or restart its server, which loses all state."""
        busy = [model for model in self.model_by_id.values() if model.running]
        if not busy:
            return
        model = data.draw(st.sampled_from(busy))
        if kind is not None:
            model.end(data.draw(st.sampled_from(sorted(model.running))), kind)
            return
        self.model_by_id[model.server_id] = ModelServer(model.server_id)
        # Orders that the previous lifetime had received but not executed are lost with it; orders
        # not sent yet reach the new lifetime.
        self.late_starts = [
            (run, sent_at) for run, sent_at in self.late_starts if run.server_id != model.server_id
        ]
        self.scheduler.handle_restart(model.server_id, self.now)
        self.report(model.server_id)

    @precondition(lambda self: self.scheduler.work_by_key)
    @rule(data=st.data(), whole_holder=st.booleans())
    def give_up(self, data: st.DataObject, whole_holder: bool) -> None:
        """Cancel a work item, or drop the process that holds it."""
        holder, work_id = data.draw(st.sampled_from(sorted(self.scheduler.work_by_key)))
        if whole_holder:
            self.scheduler.drop_holder(holder, self.now)
        else:
            self.scheduler.cancel((holder, work_id), self.now)
        self.collect()

    @precondition(lambda self: any(model.running for model in self.model_by_id.values()))
    @rule(data=st.data())
    def give_up_when_done(self, data: st.DataObject) -> None:
        """Cancel a work item of which a run ends before the stop order arrives."""
        busy = [model for model in self.model_by_id.values() if model.running]
        model = data.draw(st.sampled_from(busy))
        task = data.draw(st.sampled_from(sorted(model.running)))
        run = self.scheduler.run_by_task.get(task)
        if run is not None and run.work is not None:
            self.scheduler.cancel(run.work.key, self.now)
        model.end(task, EndKind.DONE)
        self.report(model.server_id)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.2]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.effects.now = self.now
        for model in self.model_by_id.values():
            model.lapse(self.now)
        self.scheduler.tick(self.now)
        self.collect()

    @invariant()
    def no_task_runs_twice_at_the_same_time(self) -> None:
        running = [task for model in self.model_by_id.values() for task in model.running]
        assert len(running) == len(set(running))

    # Guards against tasks of a refused job that start because its other steps were dropped in the
    # middle of a pass over the work items.
    @invariant()
    def no_task_of_a_dropped_work_item_starts(self) -> None:
        assert not self.effects.unknown_starts

    @invariant()
    def nothing_that_has_started_is_refused(self) -> None:
        assert not self.effects.wrong_refusals

    @invariant()
    def tasks_are_completed_by_runs_of_their_own_job_only(self) -> None:
        assert self.effects.done_runs <= self.done_runs

    @invariant()
    def room_is_counted_right(self) -> None:
        for server in self.scheduler.server_by_id.values():
            used = sum(run.shape.cpu_millis for run in server.run_by_task.values())
            exclusive = server.exclusive_run
            reserved = server in self.scheduler._reserved_by_work.values()
            assert server.is_reserved == reserved
            is_closed = server.full or reserved or exclusive is not None
            assert server.free_cpu_millis == (0 if is_closed else CPU_MILLIS - used)
            assert exclusive is None or server.run_by_task[exclusive.task_name] is exclusive
            assert used <= CPU_MILLIS


SchedulerMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)
TestScheduler = SchedulerMachine.TestCase
