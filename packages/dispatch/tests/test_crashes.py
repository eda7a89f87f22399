"""Tasks that crash the servers on which they run, and crashes that no task has caused."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from itertools import permutations
from unittest import mock

import pytest
from scheduling_fakes import SchedulerHarness

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import EndKind, RunEnd, RunListing, ServerReport
from redwingport_dispatch.scheduling.crashes import (
    MAX_TASKS,
    Crash,
    CrashLog,
    Lifetime,
    Retraction,
)
from redwingport_dispatch.scheduling.work import Run

CPU_MILLIS = 16000
RESTART_S = 3.0
TIMEOUT_S = 1.5
RESUBMIT_S = 1.3
STEP_S = 0.05


class Servers:
    """Run what the scheduler starts; servers crash and come back some seconds later.

    :param harness: harness of the scheduler.
    :param is_deadly: tells whether a task crashes its server, from its name.
    :param born_ms: start of the first lifetime of each server.
    """

    def __init__(
        self,
        harness: SchedulerHarness,
        is_deadly: Callable[[str], bool] = lambda task: False,
        born_ms: int = 1,
    ) -> None:
        self.harness = harness
        self.is_deadly = is_deadly
        self.crashes_by_task: dict[str, int] = {}
        self.back_at_by_server: dict[str, float] = {}
        self.silent = False
        self.jobs_done: set[str] = set()
        self._seen = 0
        self._ends_at_by_run: dict[Run, float] = {}
        self._born_ms_by_server = dict.fromkeys(harness.scheduler.server_by_id, born_ms)
        for server_id in self._born_ms_by_server:
            self._answer(server_id)

    def crash(self, server_id: str) -> None:
        self.back_at_by_server[server_id] = self.harness.now + RESTART_S
        for run in list(self._ends_at_by_run):
            if run.server_id == server_id:
                del self._ends_at_by_run[run]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        harness = self.harness
        harness.advance(STEP_S)
        self._start_new()
        for run, ends_at in list(self._ends_at_by_run.items()):
            if harness.now >= ends_at:
                del self._ends_at_by_run[run]
                if harness.scheduler.run_by_task.get(run.task_name) is run:
                    harness.end(run)
        for server_id in self._born_ms_by_server:
            back_at = self.back_at_by_server.get(server_id)
            if back_at is None:
                self._answer(server_id)
            elif harness.now >= back_at:
                del self.back_at_by_server[server_id]
                self._born_ms_by_server[server_id] += 1
                harness.scheduler.handle_restart(server_id, harness.now)
                self._answer(server_id)
            else:
                failure = OrderFailure.NOT_SENT if self.silent else OrderFailure.REFUSED
                harness.scheduler.handle_unreachable(server_id, failure, harness.now)
        self._start_new()

    def _start_new(self) -> None:
        harness = self.harness
        while self._seen < len(harness.effects.started):
            run = harness.effects.started[self._seen]
            self._seen += 1
            if run.server_id in self.back_at_by_server:
                harness.scheduler.handle_not_started(run, OrderFailure.REFUSED, harness.now)
            elif self.is_deadly(run.task_name):
                count = self.crashes_by_task.get(run.task_name, 0)
                self.crashes_by_task[run.task_name] = count + 1
                harness.lose_start(run)
                self.crash(run.server_id)
            else:
                harness.scheduler.handle_started(run, harness.clock_ms, harness.now)
                self._ends_at_by_run[run] = harness.now + run.shape.estimate_s

    def _answer(self, server_id: str) -> None:
        harness = self.harness
        server = harness.scheduler.server_by_id[server_id]
        if server.run_by_task:
            server.lease_ends_at = max(server.lease_ends_at, harness.now + 1.02)
        with self._born(self._born_ms_by_server[server_id]):
            harness.report(server_id)

    @contextmanager
    def _born(self, born_ms: int) -> Iterator[None]:
        """Let reports tell the start of the lifetime."""

        def build(clock_ms: int, **fields: object) -> ServerReport:
            return ServerReport(clock_ms, born_ms, **fields)  # type: ignore[arg-type]

        with mock.patch("scheduling_fakes.ServerReport", build):
            yield


def submit_until_answered(servers: Servers, job_id: str, tasks: int = 1, limit: int = 5) -> int:
    """Submit a job like a client that submits it again after each error.

    :returns: the number of submissions.
    """
    harness = servers.harness
    for number in range(1, limit + 1):
        work = harness.submit(job_id, tasks, holder=f"holder{number}", deadline_s=TIMEOUT_S)
        for _ in range(round(TIMEOUT_S / STEP_S)):
            servers.step()
            if any(failed == job_id for failed, _ in harness.effects.failed):
                return number
            if len({index for job, index in harness.effects.done if job == job_id}) == tasks:
                return number
        harness.scheduler.cancel(work.key, harness.now)
        servers.run(RESUBMIT_S)
    return limit


# Guards against a job that crashed server after server: nothing counted the servers that had
# crashed under its task, so it was tried until its deadline and again when it was resubmitted.
@pytest.mark.parametrize("silent", [False, True])
def test_task_that_crashes_each_server_is_given_up(silent: bool) -> None:
    # While a machine is silent, only its return shows that the server has crashed.
    limit = 5 if silent else 2
    harness = SchedulerHarness(servers=12)
    servers = Servers(harness, lambda task: task == "deadly.0.0.0")
    servers.silent = silent
    submit_until_answered(servers, "deadly")
    servers.run(1)
    assert harness.effects.failed == [("deadly", 0)]
    assert servers.crashes_by_task["deadly.0.0.0"] <= limit
    harness.submit("deadly", holder="other")
    servers.run(1)
    assert harness.effects.failed[1:] == [("deadly", 0)]
    assert sum(servers.crashes_by_task.values()) <= limit


# Guards against further crashes by the other tasks of a job while one of them is being tried.
def test_job_whose_tasks_all_crash_servers_costs_one_server_more_than_its_first_starts() -> None:
    harness = SchedulerHarness(servers=12)
    servers = Servers(harness, lambda task: task.startswith("deadly"))
    submit_until_answered(servers, "deadly", tasks=8)
    servers.run(RESTART_S)
    assert [job for job, _ in harness.effects.failed] == ["deadly"]
    assert sum(servers.crashes_by_task.values()) <= 9


# Guards against failing the jobs that happened to run on a server beside a task that crashed it.
def test_tasks_beside_the_one_that_crashes_servers_are_not_given_up() -> None:
    harness = SchedulerHarness(servers=8, cpu_millis=32000)
    servers = Servers(harness, lambda task: task == "deadly.0.0.0")
    for number in range(3):
        harness.submit(f"beside{number}", estimate_s=0.3, deadline_s=4, target_s=4)
    servers.step()
    harness.submit("deadly", deadline_s=4)
    servers.run(4)
    assert harness.effects.failed == [("deadly", 0)]
    assert sorted(harness.effects.done) == [("beside0", 0), ("beside1", 0), ("beside2", 0)]
    crashed = {
        task
        for event in harness.effects.fields_by_event["server-crashed"]
        for task in event["tasks"]
    }  # type: ignore[attr-defined]
    assert len(crashed) > 1


# Guards against failing jobs whose servers crash together, for a cause outside of them.
def test_loss_of_a_rack_fails_no_job() -> None:
    harness = SchedulerHarness(servers=8)
    servers = Servers(harness)
    for number in range(4):
        harness.submit(f"job{number}", tasks=4, estimate_s=0.4, deadline_s=6, target_s=6)
    servers.step()
    for server_id in ("s0", "s1", "s2", "s3"):
        servers.crash(server_id)
    servers.run(5)
    assert not harness.effects.failed
    assert len(harness.effects.done) == 16


# Guards against failing the jobs on servers that crash again and again by themselves.
def test_flapping_servers_fail_no_job() -> None:
    harness = SchedulerHarness(servers=8)
    servers = Servers(harness)
    for number in range(40):
        harness.submit(f"job{number}", estimate_s=0.2, deadline_s=6, target_s=6)
        if number % 10 == 5:
            servers.crash("s0")
        servers.run(0.2)
    servers.run(5)
    assert not harness.effects.failed
    assert len(harness.effects.done) == 40


# Guards against giving up a whole kind of job, or all capacity, for some jobs of that kind.
def test_a_tenth_of_the_jobs_crash_servers_and_the_rest_are_done() -> None:
    harness = SchedulerHarness(servers=24)
    servers = Servers(harness, lambda task: task.partition(".")[0].endswith("9"))
    for number in range(100):
        harness.submit(f"job{number}", estimate_s=0.1, deadline_s=6, target_s=6)
        servers.run(0.1)
    servers.run(6)
    deadly = {(f"job{number}", 0) for number in range(9, 100, 10)}
    assert set(harness.effects.failed) == deadly
    assert len(harness.effects.failed) == len(deadly)
    assert len(harness.effects.done) == 90
    assert max(servers.crashes_by_task.values()) == 2


def test_server_that_answers_again_with_the_same_lifetime_has_not_crashed() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    harness.accept_all()
    server_id = harness.effects.started[0].server_id
    for _ in range(4):
        harness.now += 0.05
        harness.scheduler.handle_unreachable(server_id, OrderFailure.REFUSED, harness.now)
    assert harness.scheduler._crash_log.is_suspect("job.0.0.0")
    harness.report(server_id)
    assert not harness.scheduler._crash_log.is_suspect("job.0.0.0")


@pytest.mark.parametrize(
    "failure", [OrderFailure.NO_ANSWER, OrderFailure.NOT_SENT, OrderFailure.UNHEALTHY]
)
def test_server_that_does_not_answer_is_not_taken_for_crashed(failure: OrderFailure) -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    harness.accept_all()
    server_id = harness.effects.started[0].server_id
    for _ in range(10):
        harness.now += 0.1
        harness.scheduler.handle_unreachable(server_id, failure, harness.now)
    assert not harness.scheduler._crash_log.is_suspect("job.0.0.0")
    harness.advance(0.1)
    harness.scheduler.remove_server(server_id, harness.now)
    assert harness.scheduler._crash_log.is_suspect("job.0.0.0"), "silent until it was removed"


# Guards against giving up a task whose run had ended out of reach of this owner, before the server
# crashed under a task of another owner.
def test_server_that_is_refused_only_after_its_leases_have_ended_is_no_evidence() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    harness.accept_all()
    server_id = harness.effects.started[0].server_id
    harness.scheduler.handle_unreachable(server_id, OrderFailure.NOT_SENT, harness.now)
    harness.now += 1.1
    for _ in range(4):
        harness.now += 0.05
        harness.scheduler.handle_unreachable(server_id, OrderFailure.REFUSED, harness.now)
    assert not harness.scheduler._crash_log.is_suspect("job.0.0.0")
    harness.scheduler.handle_restart(server_id, harness.now)
    (evidence,) = harness.scheduler._crash_log.crashes_under("job.0.0.0")
    assert not evidence.alone


def test_restart_after_the_lease_counts_for_the_runs_presumed_over() -> None:
    harness = SchedulerHarness(servers=2)
    work = harness.submit("job", estimate_s=2.0, deadline_s=1.5)
    harness.accept_all()
    server_id = harness.effects.started[0].server_id
    harness.scheduler.handle_unreachable(server_id, OrderFailure.NO_ANSWER, harness.now)
    harness.scheduler.cancel(work.key, harness.now)
    harness.advance(2.0)
    assert not harness.scheduler.run_by_task
    harness.scheduler.handle_restart(server_id, harness.now)
    assert harness.scheduler._crash_log.is_suspect("job.0.0.0")


def test_restart_of_a_draining_server_is_no_crash() -> None:
    harness = SchedulerHarness(servers=2)
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    harness.accept_all()
    server_id = harness.effects.started[0].server_id
    listing = harness.scheduler.server_by_id[server_id].listing
    harness.scheduler.set_server(replace(listing, draining=True))
    harness.scheduler.handle_unreachable(server_id, OrderFailure.REFUSED, harness.now)
    harness.advance(1.1)
    harness.scheduler.remove_server(server_id, harness.now)
    assert not harness.scheduler._crash_log.is_suspect("job.0.0.0")


# Guards against a queue that stands still behind a task that waits for an empty server.
def test_task_that_waits_for_an_empty_server_does_not_block_the_queue() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler._crash_log.merge([crash("suspect.0.0.0", "s9")])
    for server in range(2):
        harness.submit(f"long{server}", estimate_s=2.0, deadline_s=6, cpu_millis=9000)
    harness.submit("suspect", deadline_s=6)
    harness.submit("next", deadline_s=6)
    started = [run.task_name for run in harness.effects.started]
    assert started == ["long0.0.0.0", "long1.0.0.0", "next.0.0.0"]
    harness.accept_all()
    for run in list(harness.effects.started):
        harness.end(run)
    harness.submit("later", deadline_s=6, cpu_millis=1000)
    suspect, later = harness.effects.started[3:]
    assert not len(harness.scheduler.queue)
    assert suspect.task_name == "suspect.0.0.0"
    assert later.server_id != suspect.server_id, "nothing is placed beside it"
    harness.accept_all()
    harness.end(suspect, EndKind.FAILED)
    assert not harness.scheduler._crash_log.is_suspect("suspect.0.0.0")


# Guards against a task that waits until its deadline, because no server becomes empty by itself
# while others are queued.
def test_server_is_kept_free_for_a_task_that_has_to_run_alone() -> None:
    harness = SchedulerHarness(servers=6, cpu_millis=14000)
    servers = Servers(harness)
    harness.scheduler._crash_log.merge([crash("suspect.0.0.0", "s9")])
    for number in range(80):
        harness.submit(f"job{number}", estimate_s=0.3, deadline_s=9, target_s=9)
    servers.run(0.1)
    harness.submit("suspect", deadline_s=9, target_s=9)
    servers.run(1.0)
    assert ("suspect", 0) in harness.effects.done
    assert len(harness.effects.done) < 60, "others are still queued"
    assert not any(server.is_closed for server in harness.scheduler.server_by_id.values())


def test_reserved_server_is_released_when_the_job_is_cancelled() -> None:
    harness = SchedulerHarness(servers=1)
    harness.scheduler._crash_log.merge([crash("suspect.0.0.0", "s9")])
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    work = harness.submit("suspect", deadline_s=6, target_s=6)
    assert harness.scheduler.server_by_id["s0"].is_reserved
    harness.submit("next", deadline_s=6, target_s=6)
    harness.scheduler.cancel(work.key, harness.now)
    assert [run.task_name for run in harness.effects.started] == ["job.0.0.0", "next.0.0.0"]


# Guards against a server that stayed closed, and a job that waited for it in vain, after the last
# crash under its task no longer counted.
@pytest.mark.parametrize("change", ["survived", "cleared", "expired"])
def test_reserved_server_is_released_when_the_crash_no_longer_counts(change: str) -> None:
    harness = SchedulerHarness(servers=1)
    log = harness.scheduler._crash_log
    log.merge([crash("suspect.0.0.0", "s9")])
    harness.submit("job", estimate_s=2.0, deadline_s=6)
    harness.submit("suspect", deadline_s=6, target_s=6)
    assert harness.scheduler.server_by_id["s0"].is_reserved
    if change == "survived":
        log.note_survived(Lifetime("s9", 1), harness.now)
    elif change == "cleared":
        log.clear("suspect.0.0.0", harness.now)
    else:
        log.prune(1000.0)
    harness.accept_all()
    harness.end(harness.effects.started[0])
    assert [run.task_name for run in harness.effects.started] == ["job.0.0.0", "suspect.0.0.0"]
    assert not harness.scheduler.server_by_id["s0"].is_closed


# Guards against blaming a task that had ended before its server answered an order, and against
# counting the one that crashed the server later as not alone.
def test_run_that_was_over_before_the_server_answered_is_not_blamed_for_a_later_crash() -> None:
    harness = SchedulerHarness(servers=1)
    work = harness.submit("ended", estimate_s=2.0, deadline_s=6)
    harness.submit("deadly", estimate_s=2.0, deadline_s=6)
    harness.accept_all()
    ended, deadly = harness.effects.started
    server = harness.scheduler.server_by_id["s0"]
    server.lease_ends_at = harness.now + 6
    harness.scheduler.handle_unreachable("s0", OrderFailure.REFUSED, harness.now)
    harness.scheduler.cancel(work.key, harness.now)
    harness.scheduler.handle_stopped(ended, harness.now)
    harness.advance(0.2)
    assert not harness.scheduler._is_known(ended)
    for _ in range(4):
        harness.scheduler.handle_unreachable("s0", OrderFailure.REFUSED, harness.now)
        harness.now += 0.05
    log = harness.scheduler._crash_log
    assert not log.is_suspect("ended.0.0.0")
    assert [crash.alone for crash in log.crashes_under(deadly.task_name)] == [True]


# Guards against losing the evidence with the owner: the next one tried the task again.
def test_next_owner_gives_up_a_task_that_crashed_servers_under_the_previous_one() -> None:
    first = SchedulerHarness(servers=4)
    second = SchedulerHarness(servers=4)
    log = second.scheduler._crash_log
    first.scheduler._crash_log._on_crashes = lambda crashes: log.merge(crashes) and None
    servers = Servers(first, lambda task: True)
    first.submit("deadly", deadline_s=1.5)
    servers.run(0.5)
    assert log.is_suspect("deadly.0.0.0")
    third = Servers(second, lambda task: True, born_ms=2)
    second.submit("deadly", deadline_s=6, resumed=True, placed={0: "s9"})
    third.run(3)
    assert second.effects.failed == [("deadly", 0)]
    assert sum(third.crashes_by_task.values()) == 1


# Guards against losing the evidence of a crash that only the next owner observes.
def test_next_owner_counts_a_crash_of_the_server_that_the_holder_names() -> None:
    harness = SchedulerHarness(servers=2)
    harness.scheduler.server_by_id["s1"].acquired = False
    harness.submit("job", resumed=True, placed={0: "s1"}, deadline_s=6)
    for _ in range(4):
        harness.now += 0.05
        harness.scheduler.handle_unreachable("s1", OrderFailure.REFUSED, harness.now)
    assert harness.scheduler._crash_log.is_suspect("job.0.0.0")


def test_crash_reported_by_another_process_ends_the_job() -> None:
    harness = SchedulerHarness(servers=4)
    harness.submit("deadly", estimate_s=1.0, deadline_s=6)
    harness.accept_all()
    harness.scheduler._crash_log.merge(
        [crash("deadly.0.0.0", "s8"), crash("deadly.0.0.0", "s9", alone=True)]
    )
    harness.advance(0.01)
    assert harness.effects.failed == [("deadly", 0)]
    assert harness.effects.stopped == harness.effects.started


def crash(task: str, server_id: str, alone: bool = False, expires_at: float = 1000.0) -> Crash:
    return Crash(task, Lifetime(server_id, 1), alone, expires_at, round(expires_at * 1000))


def test_crash_that_is_reported_twice_counts_once() -> None:
    log = CrashLog()
    for _ in range(3):
        log.merge([crash("a.0.0.0", "s0", alone=True)])
    assert not log.is_guilty("a.0.0.0")
    assert log.merge([crash("a.0.0.0", "s1")])
    assert log.is_guilty("a.0.0.0")


def test_task_that_was_never_alone_is_guilty_after_three_crashes() -> None:
    log = CrashLog()
    log.merge([crash("a.0.0.0", "s0"), crash("a.0.0.0", "s1")])
    assert not log.is_guilty("a.0.0.0")
    log.merge([crash("a.0.0.0", "s2")])
    assert log.is_guilty("a.0.0.0")


def test_crashes_expire_and_their_number_is_limited() -> None:
    log = CrashLog()
    log.merge([crash(f"job{number}.0.0.0", "s0") for number in range(MAX_TASKS + 10)])
    assert len(log.all_crashes()) == MAX_TASKS
    assert not log.is_suspect("job0.0.0.0")
    log.prune(999.0)
    assert len(log.all_crashes()) == MAX_TASKS
    log.prune(1000.0)
    assert not log.all_crashes()


def exchange(*logs: CrashLog) -> None:
    """Let processes send what they know over links that have just opened."""
    for sender, receiver in permutations(logs, 2):
        for retraction in sender.all_retractions():
            receiver.retract(retraction)
        receiver.merge(sender.all_crashes())


# Guards against crashes that come back: a peer without a link reported them again.
def test_crash_of_a_server_that_answers_is_not_taken_from_a_peer_again() -> None:
    here, peer = (CrashLog(clock_ms=lambda: 0) for _ in range(2))
    for log in (here, peer):
        log.merge([crash("a.0.0.0", "s0", expires_at=160.0)])
    here.note_survived(Lifetime("s0", 1), 100.1)
    exchange(peer, here)
    assert not here.is_suspect("a.0.0.0")
    assert not peer.is_suspect("a.0.0.0")
    here.merge([crash("a.0.0.0", "s0", expires_at=161.0)])
    assert here.is_suspect("a.0.0.0"), "a later crash of the same lifetime"


# Guards against giving up a task for crashes of which a normal end has cleared it.
def test_cleared_crashes_do_not_count_with_a_later_one() -> None:
    here, peer = (CrashLog(clock_ms=lambda: 0) for _ in range(2))
    for log in (here, peer):
        log.merge([crash("a.0.0.0", server, expires_at=160.0) for server in ("s0", "s1")])
    here.clear("a.0.0.0", 101.0)
    exchange(peer, here)
    here.merge([crash("a.0.0.0", "s2", expires_at=162.0)])
    assert len(here.crashes_under("a.0.0.0")) == 1
    assert not here.is_guilty("a.0.0.0")
    assert not peer.is_suspect("a.0.0.0")


def test_retractions_are_announced_and_expire() -> None:
    announced: list[Retraction] = []
    log = CrashLog(on_retracted=announced.append)
    log.clear("a.0.0.0", 100.0)
    log.note_survived(Lifetime("s0", 1), 100.0)
    assert not announced, "there was no crash"
    log.merge([crash("a.0.0.0", "s0", expires_at=160.0), crash("b.0.0.0", "s1", expires_at=160.0)])
    log.clear("a.0.0.0", 101.0)
    log.note_survived(Lifetime("s1", 1), 101.0)
    assert announced == log.all_retractions()
    assert log.is_empty
    assert not log.retract(announced[0]), "known, so it is not passed on again"
    log.prune(161.0)
    assert not log.all_retractions()


# Guards against mistaking reports of processes that set no stamps: an older message is as old as
# can be.
def test_reports_without_stamps_are_older_than_all_others() -> None:
    log = CrashLog()
    unstamped = replace(crash("a.0.0.0", "s0"), stamp=0)
    stamped = crash("a.0.0.0", "s1")
    assert log.merge([unstamped, stamped]) == [unstamped, stamped]
    assert log.retract(Retraction("a.0.0.0", 1000.0))
    assert log.all_crashes() == [stamped]
    assert not log.merge([unstamped])


# Guards against losing the evidence that a task was alone to a later report of the same crash.
def test_crash_while_alone_is_kept_when_it_is_reported_again() -> None:
    log = CrashLog()
    alone = crash("a.0.0.0", "s0", alone=True, expires_at=160.0)
    later = crash("a.0.0.0", "s0", expires_at=161.0)
    assert log.merge([alone]) == [alone]
    assert log.merge([later]) == [later]
    assert log.crashes_under("a.0.0.0") == (alone,)
    assert not log.merge([alone, later])
    log.retract(Retraction("a.0.0.0", 1000.0, alone.stamp))
    assert log.crashes_under("a.0.0.0") == (later,)


def test_crash_that_another_owner_of_the_process_observes_is_not_new() -> None:
    announced: list[object] = []
    log = CrashLog(on_crashes=announced.extend)
    assert log.observe([crash("a.0.0.0", "s0", alone=True)])
    assert not log.observe([crash("a.0.0.0", "s0")])
    assert len(announced) == 1


# Guards against ignoring what is observed while the log is full and the clock is behind.
def test_full_log_records_crashes_and_retractions_of_this_process() -> None:
    clock_ms = 2_000_000
    log = CrashLog(clock_ms=lambda: clock_ms)
    for number in range(MAX_TASKS + 1):
        log.retract(Retraction(f"ended{number}.0.0.0", 1000.0, 4_000_000 + number))
    log.merge(
        [replace(crash(f"job{n}.0.0.0", "s0"), stamp=3_000_000) for n in range(MAX_TASKS + 1)]
    )
    assert log.observe([crash("later.0.0.0", "s1")])
    assert log.is_suspect("later.0.0.0")
    log.clear("later.0.0.0", 100.0)
    assert not log.is_suspect("later.0.0.0")
    assert len(log.all_retractions()) == MAX_TASKS


# Guards against a job that fails although its task runs: a new owner learns of a restart by the
# report that lists the run, or its end, at the next lifetime.
@pytest.mark.parametrize("has_ended", [False, True])
def test_resumed_task_is_not_blamed_for_the_crash_before_its_run(has_ended: bool) -> None:
    harness = SchedulerHarness(servers=0)
    harness.add_server("s0", acquired=False)
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.5, deadline_s=6)
    runs = () if has_ended else (RunListing("job.0.0.0", 1, 10),)
    ends = (RunEnd(1, "job.0.0.0", 1, EndKind.DONE),) if has_ended else ()
    report = ServerReport(harness.clock_ms, born_ms=2, runs=runs, ends=ends)
    harness.scheduler.handle_restart("s0", harness.now, report, harness.now)
    assert "server-crashed" not in harness.effects.events
    harness.scheduler.handle_report("s0", report, harness.now, list(ends), harness.now)
    assert harness.effects.started == []


# Guards against a job that fails although its task is innocent: its start was sent after the
# server had started again, and was not answered, as the connection was to the former lifetime.
@pytest.mark.parametrize(("age_ms", "is_blamed"), [(150, False), (50, True)])
def test_unanswered_start_after_the_restart_is_not_blamed_for_the_crash(
    age_ms: int, is_blamed: bool
) -> None:
    harness = SchedulerHarness(servers=1)
    harness.submit("job", deadline_s=6)
    harness.lose_start(harness.effects.started[0])
    harness.now += 0.1
    report = ServerReport(age_ms, born_ms=2)
    harness.scheduler.handle_restart("s0", harness.now, report, harness.now)
    assert harness.scheduler._crash_log.is_suspect("job.0.0.0") is is_blamed


# Guards against a job that fails by one crash: the server list of a new owner named an older
# lifetime than the one that the previous owner saw crash.
def test_crash_that_a_new_owner_finds_with_an_older_lifetime_counts_once() -> None:
    harness = SchedulerHarness(servers=0)
    harness.add_server("s0", acquired=False)
    server = harness.scheduler.server_by_id["s0"]
    server.born_ms = 1
    harness.submit("job", resumed=True, placed={0: "s0"}, unheard_s=0.5, deadline_s=6)
    crash_log = harness.scheduler._crash_log
    crash_log.merge([Crash("job.0.0.0", Lifetime("s0", 2), True, harness.now + 60.0, 1)])
    report = ServerReport(harness.clock_ms, born_ms=3)
    harness.scheduler.handle_restart("s0", harness.now, report, harness.now)
    assert len(crash_log.crashes_under("job.0.0.0")) == 1
