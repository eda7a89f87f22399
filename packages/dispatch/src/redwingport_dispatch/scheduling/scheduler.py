"""Scheduler of an owner: decides where and when tasks start, and tracks their runs."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence, Set

from redwingport_dispatch.exceptions import OrderFailure
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerListing,
    ServerReport,
)
from redwingport_dispatch.ownership.leases import (
    GRANT_PERIOD_S,
    MIN_START_LEASE_SHARE,
    max_local_duration_s,
)
from redwingport_dispatch.scheduling import admission
from redwingport_dispatch.scheduling.crashes import RECORD_TTL_S, Crash, CrashLog, Lifetime
from redwingport_dispatch.scheduling.effects import Effects
from redwingport_dispatch.scheduling.history import GivenUpWork, History, UnclaimedEnd
from redwingport_dispatch.scheduling.openings import UpcomingSlots
from redwingport_dispatch.scheduling.placement import Placement, choose_server
from redwingport_dispatch.scheduling.queue import WorkQueue
from redwingport_dispatch.scheduling.review import QueueReview
from redwingport_dispatch.scheduling.server_finder import ServerFinder, UsableServers
from redwingport_dispatch.scheduling.servers import UNKNOWN_SHAPE, ServerState
from redwingport_dispatch.scheduling.speeds import Speeds
from redwingport_dispatch.scheduling.stragglers import ends_sooner_elsewhere, is_late, is_stalled
from redwingport_dispatch.scheduling.work import (
    Run,
    RunOver,
    RunState,
    Task,
    TaskState,
    Work,
    WorkKey,
    job_id_of,
)
from redwingport_dispatch.settings import BoundSettings
from redwingport_policy.base import Candidate
from redwingport_policy.ejection import Ejector

# Time for holders to claim the runs that a new owner finds. A new owner is announced at once and
# holders answer at once, so runs still unclaimed after this time belong to processes that have
# ended or are unreachable. Until then their server gets no new lease.
ORPHAN_GRACE_S = 0.2
# Interval after which an unanswered stop order is retried.
STOP_RETRY_S = 0.1
# Pause of placement after a server has fenced this owner: an owner learns within three heartbeats
# that another one was elected.
CHALLENGE_PAUSE_S = 0.45
# Time after a change of owner within which reports of the previous owner arrive.
HANDOVER_REPORT_S = 0.2
# Increment of a run number that a server rejected as old; how far it lags is unknown.
OLD_RUN_NUMBER_STEP = 100
# A machine that refuses connections for this long has no server any more. Shorter refusals occur
# while a server is busy.
REFUSED_TIMEOUT_S = 0.1
# Maximum share of the usable servers that get no task until one can run there alone.
MAX_RESERVED_SHARE = 0.25
# Consecutive failed runs after which a server is ejected for a while. One run in 500 fails on a
# healthy server.
FAILURES_IN_A_ROW = 3


class Scheduler:
    """Place tasks on the servers that this process owns.

    The scheduler does no I/O: it is driven by calls, which pass the monotonic time as `now`, in
    seconds.

    :param effects: carries out the decisions.
    :param bounds: time bounds and factors of the platform.
    :param settled_at: monotonic time until which the holders of an earlier owner may still submit
        their work items, in seconds. A new work item waits as long: the job may have been
        submitted through another process before, and may be running.
    :param on_dispatch_due: called when queued tasks may be able to start, for a call of
        :meth:`dispatch` soon; None for a pass over the queue after each change.
    :param crash_log: crashes of servers that the process knows of; None for an empty log.
    :param lease_limit_at: returns the monotonic time beyond which no lease for the tasks of a
        holder may extend, in seconds; None for no limit.
    :param reaches_majority: tells whether this process reaches a majority of the known ones; None
        if it always does.
    """

    def __init__(
        self,
        effects: Effects,
        bounds: BoundSettings,
        settled_at: float = 0.0,
        on_dispatch_due: Callable[[], None] | None = None,
        crash_log: CrashLog | None = None,
        lease_limit_at: Callable[[str], float] | None = None,
        reaches_majority: Callable[[], bool] | None = None,
    ) -> None:
        self.server_by_id: dict[str, ServerState] = {}
        # Last known lifetime and raised token of the servers that were removed.
        self._dropped_by_id: dict[str, tuple[int, int]] = {}
        self.work_by_key: dict[WorkKey, Work] = {}
        self.run_by_task: dict[str, Run] = {}
        # Runs on other servers with the name of a run in `run_by_task`: of an earlier owner, or of
        # another job with the same id.
        self._other_runs_by_task: dict[str, list[Run]] = {}
        self.queue = WorkQueue()
        self.speeds = Speeds()
        self._effects = effects
        self._review = QueueReview(self)
        self._bounds = bounds
        self._settled_at = settled_at
        self._on_dispatch_due = on_dispatch_due
        self._ejector = Ejector(failures_in_a_row=FAILURES_IN_A_ROW)
        self._server_finder = ServerFinder(self._ejector, bounds.far_factor)
        # In order of arrival, which decides who is served first.
        self._blocked_by_key: dict[WorkKey, Work] = {}
        self._history = History()
        self._crash_log = crash_log if crash_log is not None else CrashLog()
        self._crash_log_revision = 0
        self._reserved_by_work: dict[WorkKey, ServerState] = {}
        self._placement_paused_until = 0.0
        self._lease_limit_at = lease_limit_at
        self._reaches_majority = reaches_majority
        self._unconfirmed_holders: set[str] = set()

    # Servers

    def set_server(self, listing: ServerListing) -> ServerState:
        """Add a server, or update its listing."""
        server = self.server_by_id.get(listing.server_id)
        if server is None:
            candidate = Candidate(listing.server_id, listing.domain, local=True, slots=1)
            # Orders to the lifetime that was dropped may still arrive at this one.
            born_ms, token = self._dropped_by_id.pop(listing.server_id, (0, 0))
            server = ServerState(
                listing, candidate, born_ms=born_ms or listing.born_ms, token=token
            )
            self.server_by_id[listing.server_id] = server
        server.listing = listing
        server.gone_at = 0.0
        server.candidate.leaving = listing.draining
        return server

    def add_unlisted_server(self, listing: ServerListing, now: float) -> None:
        """Add a server that has left the list, on which an earlier owner may have runs.

        It is kept until the leases of that owner have ended, and until it has no runs.
        """
        server = self.set_server(listing)
        server.gone_at = now + self._longest_lease_s()
        server.lease_ends_at = server.gone_at

    def remove_server(self, server_id: str, now: float) -> None:
        """Remove a server without runs.

        That a server is no longer listed says nothing about its runs: it may only be out of touch
        with the platform.

        :raises ValueError: when the server may still have runs.
        """
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        if server.run_by_task:
            raise ValueError(f"server {server_id} may still have {len(server.run_by_task)} runs")
        if server.suspect:
            self._note_crash(server, "removed", now)
        del self.server_by_id[server_id]
        self._dropped_by_id[server_id] = (server.born_ms, server.token)
        self.speeds.forget(server_id)
        self._request_dispatch(now)

    def handle_moved(self, server_id: str, now: float) -> None:
        """Handle a new address of a server, whose open calls have been abandoned.

        Nothing is known of its runs until it reports from there.
        """
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        server.acquired = False
        server.note_contact_lost()
        for run in list(server.run_by_task.values()):
            if run.state is RunState.STARTING:
                self.handle_not_started(run, OrderFailure.NO_ANSWER, now)

    def usable_servers(self, now: float) -> list[ServerState]:
        """Return the servers that may get a task now."""
        return [server for server in self.server_by_id.values() if self._is_usable(server, now)]

    def _is_usable(self, server: ServerState, now: float) -> bool:
        return (
            server.acquired
            and not server.suspect
            and not server.listing.draining
            and not server.gone_at
            and not server.has_unclaimed_runs()
            and self._ejector.admits(server.candidate, now)
        )

    # Work items

    def submit(
        self,
        work: Work,
        placed_by_index: dict[int, str],
        resumed: bool,
        now: float,
        unheard_s: float = 0.0,
    ) -> None:
        """Submit a work item.

        :param work: the work item.
        :param placed_by_index: id of the server of each task's last known run, by task index;
            empty for a task without one.
        :param resumed: whether an earlier owner may have started tasks of the work item.
        :param now: monotonic time, in seconds.
        :param unheard_s: time since the holder last received a heartbeat from that owner, in
            seconds. That owner grants no lease for the tasks of the holder that ends later than
            one granted in full at the end of the grant period after that heartbeat.
        """
        if work.key in self.work_by_key:
            self._resubmit(self.work_by_key[work.key], work, placed_by_index, now)
            return
        guilty = self._find_guilty_task(work)
        if guilty is not None:
            self._report_given_up(work, guilty)
            return
        refusal = self._history.find_refusal(work.key)
        if refusal is not None:
            # The holder resubmitted the work item on a new link while the refusal was in flight.
            self._effects.refuse(work, refusal.reason, refusal.retry_after_s, {})
            return
        ended = self._history.find_ended(work.key)
        if ended is not None:
            self._report_done_again(ended)
            return
        given_up = self._history.find_given_up(work.key)
        if given_up is not None:
            self._report_given_up_again(given_up)
            return
        passed_on = None if resumed else self._history.find_passed_on(work)
        if passed_on is not None:
            self.refuse(work, passed_on.reason, passed_on.retry_after_s, {})
            return
        if not resumed and self._may_run_beyond_a_cut(work):
            self._effects.log_decision("work-runs-elsewhere", job=work.job_id, holder=work.holder)
            self._effects.abandon(work)
            self._history.note_given_up(work, now)
            return
        work.submitted_at = now
        work.late = now + work.shape.estimate_s > work.target_at
        work.resumed = resumed
        settled_at = max(self._settled_at, now)
        leases_end_at = now - unheard_s + GRANT_PERIOD_S + self._longest_lease_s()
        work.safe_at = leases_end_at if resumed else settled_at
        # If the previous owner was reachable until recently, its reports may be in flight.
        recently_reachable = resumed and unheard_s < HANDOVER_REPORT_S
        if recently_reachable:
            work.handover_until = now + HANDOVER_REPORT_S
        else:
            work.handover_until = now if resumed else settled_at
        if not self._displace_older(work, now):
            return
        self.work_by_key[work.key] = work
        self._history.forget_out_of_reach(work.key)
        blocked = self._history.find_blocked(work.job_id, now)
        if blocked is not None:
            work.safe_at = max(work.safe_at, blocked.safe_at)
            work.other_servers = work.other_servers or blocked.other_servers
        work.has_other_holder = self._history.is_out_of_reach(work, now)
        work.ever_started = (
            resumed
            or work.has_other_holder
            or self._history.has_started(work.job_id, work.identity)
        )
        may_run_already = (
            resumed or work.has_other_holder or now < self._settled_at or blocked is not None
        )
        for task in work.task_by_index.values():
            self._admit_task(work, task, placed_by_index.get(task.index, ""), may_run_already)
        if any(
            task.state is not TaskState.QUEUED
            and (resumed or task.state is not TaskState.BLOCKED or task.earlier_run is not None)
            for task in work.tasks()
        ):
            # A run of an earlier submission exists, however long ago it started.
            work.ever_started = True
        if any(t.state is TaskState.BLOCKED for t in work.task_by_index.values()):
            self._blocked_by_key[work.key] = work
        if work.is_done():
            self._finish(work, now)
            return
        if work.queued_tasks():
            self.queue.add(work)
        if not may_run_already and self._review.refuse_on_arrival(work, self.queue, now):
            return
        self._unblock_tasks(now)
        self._request_dispatch(now)

    def _may_run_beyond_a_cut(self, work: Work) -> bool:
        """Return whether another holder of a new work item's job may be served beyond a cut.

        A run that neither this owner nor the holder of the work item has ordered belongs to an
        earlier submission, whose holder is not heard here. An owner that reaches a majority takes
        it for ended.
        """
        if self._reaches_majority is None or self._reaches_majority():
            return False
        for task in work.tasks():
            name = work.task_name(task.index)
            unclaimed = self._history.find_unclaimed_end(name)
            if unclaimed is not None and not unclaimed.identity:
                return True
            if any(run.work is None and not run.identity for run in self._runs_of(name)):
                return True
        return False

    def cancel(self, key: WorkKey, now: float, may_be_running: bool = True) -> None:
        """Cancel a work item: stop its runs and drop its queued tasks.

        :param key: key of the work item.
        :param now: monotonic time, in seconds.
        :param may_be_running: whether runs of its job may go on: some were started, and not all
            are known to have ended.
        """
        self._history.confirm_displaced(key)
        if may_be_running:
            self._history.limit_passed_on(key, now)
            self._history.limit_out_of_reach(key, now)
        else:
            self._history.forget_out_of_reach(key)
            self._history.forget_passed_on(key)
        work = self.work_by_key.get(key)
        if work is not None:
            self._drop_work(work, now)
            self._request_dispatch(now)

    def release(self, key: WorkKey, now: float) -> None:
        """Give up a work item that its holder has submitted to another owner.

        Its runs become unclaimed: the other owner adopts those on servers that it reaches.
        """
        work = self.work_by_key.get(key)
        if work is None:
            return
        self._effects.log_decision("work-released", job=work.job_id)
        self._forget_work(work)
        for task in work.task_by_index.values():
            run = self.run_by_task.get(work.task_name(task.index))
            if run is not None and run.work is work:
                self._detach_run(run, work)
                run.released_work = work
                if run.state in (RunState.STARTING, RunState.RUNNING):
                    run.orphan_until = now + ORPHAN_GRACE_S

    def drop_holder(self, holder: str, now: float, has_ended: bool = False) -> int:
        """Cancel all work items of a process that is out of reach or has ended.

        :param holder: incarnation of the process.
        :param now: monotonic time, in seconds.
        :param has_ended: whether it is known to have ended. Otherwise it may submit its work items
            to another owner, which runs them until their deadlines.
        :returns: the number of cancelled work items.
        """
        self._unconfirmed_holders.discard(holder)
        if has_ended:
            self._history.forget_out_of_reach_of(holder, set())
        else:
            self._history.keep_displaced_of(holder)
            for work in self.work_by_key.values():
                if work.holder == holder:
                    until = work.deadline_at + self._longest_lease_s()
                    self._history.note_out_of_reach(work, until)
        return self._drop_works_of(holder, set(), now)

    def cancel_others(self, holder: str, open_keys: Set[WorkKey], now: float) -> int:
        """Cancel the work items of a holder that it has ended.

        :param holder: incarnation of the holder.
        :param open_keys: keys of its open work items.
        :param now: monotonic time, in seconds.
        :returns: the number of cancelled work items.
        """
        self._history.limit_passed_on_of(holder, open_keys, now)
        # Another owner may go on with an open one until it is submitted to this owner.
        self._history.forget_out_of_reach_of(holder, open_keys)
        return self._drop_works_of(holder, open_keys, now)

    def _drop_works_of(self, holder: str, kept_keys: Set[WorkKey], now: float) -> int:
        works = [
            work
            for key, work in self.work_by_key.items()
            if work.holder == holder and key not in kept_keys
        ]
        for work in works:
            self._drop_work(work, now, logs_ends=True)
        if works:
            self._request_dispatch(now)
        return len(works)

    def _admit_task(self, work: Work, task: Task, placed_on: str, may_run_already: bool) -> None:
        name = work.task_name(task.index)
        unclaimed = self._history.find_unclaimed_end(name)
        if unclaimed is not None:
            task.next_run = max(task.next_run, unclaimed.end.number + 1)
            if self._claim_end(work, task, unclaimed):
                return
        own_run = self._find_adoptable_run(work, task)
        run = self.run_by_task.get(name)
        if own_run is not None:
            self._adopt_run(own_run, work, task)
        elif run is not None:
            self._await_run(run, work, task)
        elif may_run_already:
            task.state = TaskState.BLOCKED
            task.blocked_on = placed_on

    def _claim_end(self, work: Work, task: Task, unclaimed: UnclaimedEnd) -> bool:
        """Apply an end that was reported before its work item arrived.

        :returns: whether it has completed the task.
        """
        end = unclaimed.end
        if not work.owns_run(task, unclaimed.server_id, end.number, unclaimed.identity):
            return False
        self._history.forget_unclaimed_end(end.task)
        task.after = RunOver.END_REPORTED
        if end.kind is not EndKind.DONE:
            return False
        task.state = TaskState.DONE
        self._effects.report_done(work, task, end.number, unclaimed.server_id)
        return True

    def _find_adoptable_run(self, work: Work, task: Task) -> Run | None:
        """Return the known run that a task may adopt, or None."""
        runs = self._runs_of(work.task_name(task.index))
        return next((run for run in runs if self._may_adopt(run, work, task)), None)

    @staticmethod
    def _may_adopt(run: Run, work: Work, task: Task) -> bool:
        return (
            run.work is None
            and run.state is RunState.RUNNING
            and work.owns_run(task, run.server_id, run.number, run.identity)
        )

    def _await_run(self, run: Run, work: Work, task: Task) -> None:
        """Let a task wait for the end of a run that does not belong to its work item."""
        task.next_run = max(task.next_run, run.number + 1)
        task.earlier_run = run
        task.state = TaskState.BLOCKED
        last_server, last_number = task.last_run
        task.blocked_on = last_server if last_number > run.number else run.server_id
        self._blocked_by_key[work.key] = work
        if not run.identity:
            # It uses the resources of its own task, of which no more than the name is known.
            self.server_by_id[run.server_id].set_run_shape(run, work.shape)

    def _displace_older(self, work: Work, now: float) -> bool:
        """Cancel work items of the same step left by another holder or an earlier submission.

        :returns: whether the id of the job is free; the work item is refused if it is not.
        """
        namesakes = [other for other in self.work_by_key.values() if other.job_id == work.job_id]
        for other in namesakes:
            if other.identity == work.identity:
                if other.step != work.step:
                    continue
            elif other.holder != work.holder:
                # The tasks of the two jobs have the same names at the servers. If this one comes
                # from an earlier owner, it may be the one that runs.
                if work.resumed and not other.ever_started:
                    refused, kept = other, work
                else:
                    refused, kept = work, other
                self._refuse_namesake(refused, kept, now)
                if refused is work:
                    if work.resumed:
                        self._history.note_blocked(work)
                        self._block_queued_tasks(kept, work)
                    return False
                continue
            self._effects.log_decision("work-displaced", job=work.job_id, holder=other.holder)
            # Its holder would submit it to the next owner, with runs that are over by then.
            self._effects.abandon(other)
            self._history.note_given_up(other, now)
            self._drop_work(other, now, logs_ends=True)
            if other.holder != work.holder:
                # Until it confirms that, it may be cut off and turn to another owner.
                until = other.deadline_at + self._longest_lease_s()
                self._history.note_displaced(other, until)
        return True

    def _block_queued_tasks(self, work: Work, other: Work) -> None:
        """Let queued tasks wait while runs of another job with their names may exist elsewhere."""
        work.safe_at = max(work.safe_at, other.safe_at)
        work.other_servers = work.other_servers or other.other_servers
        for task in work.queued_tasks():
            task.state = TaskState.BLOCKED
            task.blocked_on = ""
            self._blocked_by_key[work.key] = work
        self.queue.remove(work)

    def _refuse_namesake(self, work: Work, kept: Work, now: float) -> None:
        """Refuse a work item, or abandon it if it has started, as another job has its id.

        :param work: the work item.
        :param kept: the work item of the other job.
        :param now: monotonic time, in seconds.
        """
        if self._history.has_started(work.job_id, work.identity):
            self._effects.abandon(work)
            self._history.note_given_up(work, now)
            self._forget_work(work)
        else:
            retry_after_s = admission.retry_after_s(kept.target_at - now)
            self.refuse(work, admission.ID_IN_USE, retry_after_s, {})

    def _resubmit(
        self, work: Work, again: Work, placed_by_index: dict[int, str], now: float
    ) -> None:
        """Update a resubmitted work item with the placements that its holder knows now.

        Its deadline is extended if another client with a later one waits for the job.
        """
        work.submitted_at = now
        work.deadline_at = max(work.deadline_at, again.deadline_at)
        self._report_done_again(work)
        self._report_placed_again(work)
        for index, reported in again.task_by_index.items():
            task = work.task_by_index.get(index)
            if task is None or task.state not in (TaskState.QUEUED, TaskState.BLOCKED):
                continue
            if not task.blocked_on:
                task.blocked_on = placed_by_index.get(index, "")
            if reported.next_run > task.last_run[1] + 1:
                task.last_run = reported.last_run
                task.next_run = max(task.next_run, reported.next_run)
                self._claim_last_run(work, task)
        if not work.queued_tasks():
            self.queue.remove(work)
        if work.is_done():
            self._finish(work, now)

    def _claim_last_run(self, work: Work, task: Task) -> None:
        """Claim the last run that the holder knows of, if a server has reported it or its end."""
        name = work.task_name(task.index)
        run = self._find_adoptable_run(work, task)
        unclaimed = self._history.find_unclaimed_end(name)
        if run is not None:
            self._adopt_run(run, work, task)
        elif unclaimed is not None:
            self._claim_end(work, task, unclaimed)

    def _report_done_again(self, work: Work) -> None:
        for task in work.task_by_index.values():
            if task.state is TaskState.DONE:
                self._effects.report_done(work, task, task.next_run - 1, "")

    def _report_given_up_again(self, given_up: GivenUpWork) -> None:
        work, run = given_up.work, given_up.failed_run
        if run is None:
            self._effects.abandon(work)
        else:
            task = work.task_by_index[run.index]
            self._effects.report_failed(work, task, run.number, run.server_id)

    def _report_placed_again(self, work: Work) -> None:
        for task in work.task_by_index.values():
            run = self.run_by_task.get(work.task_name(task.index))
            if run is not None and run.work is work:
                self._effects.report_placed_again(work, run)

    def _finish(self, work: Work, now: float) -> None:
        self._forget_work(work)
        self._history.note_ended(work, now)

    def _drop_work(self, work: Work, now: float, logs_ends: bool = False) -> None:
        self._forget_work(work)
        if work.ever_started:
            # An earlier owner may have started it, of which nothing else is recorded here.
            self._history.note_started(work.job_id, work.identity, now)
        for task in work.task_by_index.values():
            run = self.run_by_task.get(work.task_name(task.index))
            if run is not None and run.work is work:
                self._detach_run(run, work)
                run.logs_end = logs_ends
                self._stop_run(run, now)

    def _forget_work(self, work: Work) -> None:
        self.work_by_key.pop(work.key, None)
        if self._blocked_by_key.pop(work.key, None) is not None:
            self._history.note_blocked(work)
        reserved = self._reserved_by_work.pop(work.key, None)
        if reserved is not None:
            reserved.is_reserved = False
        self.queue.remove(work)

    def _longest_lease_s(self) -> float:
        return max_local_duration_s(self._bounds.lease_s)

    # Limits of leases

    def lease_limit_at(self, server: ServerState) -> float:
        """Return the time beyond which no lease on a server may extend.

        A lease covers everything that runs there, so the lowest limit of its runs applies.

        :returns: monotonic time in seconds; infinite without a limit.
        """
        if self._lease_limit_at is None:
            return math.inf
        limits_at = [
            self._lease_limit_at(run.work.holder) if run.work is not None else run.lease_limit_at
            for run in server.run_by_task.values()
        ]
        return min(limits_at, default=math.inf)

    def _detach_run(self, run: Run, work: Work) -> None:
        """Separate a run from its work item, which may have another owner from now on."""
        run.work = None
        limit_at = self._lease_limit_at
        run.lease_limit_at = math.inf if limit_at is None else limit_at(work.holder)

    def _min_start_lease_s(self) -> float:
        return MIN_START_LEASE_SHARE * self._bounds.lease_s

    def _may_extend_leases(self, server: ServerState, now: float) -> bool:
        """Return whether a start, which extends all leases on a server, may be sent there."""
        return self.lease_limit_at(server) >= now + self._min_start_lease_s()

    def _may_start(self, holder: str, now: float) -> bool:
        """Return whether a sufficient lease may be granted for the tasks of a holder."""
        if self._lease_limit_at is None:
            return True
        may_start = self._lease_limit_at(holder) >= now + self._min_start_lease_s()
        if may_start and holder in self._unconfirmed_holders:
            self._unconfirmed_holders.discard(holder)
            self._effects.log_decision("starts-resumed", holder=holder)
        elif not may_start and holder not in self._unconfirmed_holders:
            self._unconfirmed_holders.add(holder)
            self._effects.log_decision("starts-withheld", holder=holder)
        return may_start

    # Placement

    def _request_dispatch(self, now: float) -> None:
        """Start queued tasks now, or when the caller runs the requested pass over the queue."""
        if self._on_dispatch_due is not None:
            self._on_dispatch_due()
        else:
            self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Start queued tasks while servers have capacity for them."""
        self._release_unneeded_reservations()
        if not len(self.queue) or now < self._placement_paused_until:
            return
        if not self._crash_log.is_empty:
            self._dispatch_suspects(now)
            if not len(self.queue):
                return
        # While there is a queue, most work items find no capacity and most servers have none, so
        # both are sorted out by a single number.
        min_cpu_millis = min(work.shape.cpu_millis for work in self.queue)
        open_servers: Sequence[ServerState] = [
            server
            for server in self._find_open_servers(self.server_by_id.values(), min_cpu_millis)
            if self._is_usable(server, now) and self._may_extend_leases(server, now)
        ]
        if not open_servers:
            return
        usable = UsableServers(lambda: self.usable_servers(now), self.speeds)
        max_free_cpu_millis = max(server.free_cpu_millis for server in open_servers)
        upcoming_slots = UpcomingSlots(usable, now)
        may_start_by_holder: dict[str, bool] = {}
        for work in self.queue:
            if work.shape.cpu_millis > max_free_cpu_millis:
                continue
            if work.holder not in may_start_by_holder:
                may_start_by_holder[work.holder] = self._may_start(work.holder, now)
            if not may_start_by_holder[work.holder]:
                continue
            runs_before = len(self.run_by_task)
            if self._place_work(work, open_servers, usable, upcoming_slots, now):
                self.queue.remove(work)
            if len(self.run_by_task) == runs_before:
                continue
            open_servers = self._find_open_servers(open_servers, min_cpu_millis)
            if not open_servers:
                return
            max_free_cpu_millis = max(server.free_cpu_millis for server in open_servers)

    @staticmethod
    def _find_open_servers(
        servers: Iterable[ServerState], cpu_millis: int
    ) -> Sequence[ServerState]:
        return [server for server in servers if server.free_cpu_millis >= max(cpu_millis, 1)]

    def _place_work(
        self,
        work: Work,
        open_servers: Sequence[ServerState],
        usable: UsableServers,
        upcoming_slots: UpcomingSlots,
        now: float,
    ) -> bool:
        """Start as many tasks of a work item as fit; return whether all were started.

        A task that would be late on the servers with capacity waits for an upcoming slot, if it
        would end much sooner in one.
        """
        tasks = work.queued_tasks()
        suspects = self._suspects_of(work)
        if suspects:
            if not self._crash_log.is_cleared(work.job_id):
                return False
            tasks = [task for task in tasks if task not in suspects]
        expected_s_by_server = self._server_finder.find(work, open_servers, usable, now)
        all_started = True
        for task in tasks:
            placement = choose_server(expected_s_by_server, now, work.target_at)
            if placement is None:
                return False
            if not placement.in_time and upcoming_slots.reserve_better(
                work,
                placement.expected_s,
                lambda server, slowness: self._server_finder.expected_run_s(
                    server, work, slowness
                ),
            ):
                all_started = False
                continue
            self._start(work, task, placement, now)
            server = placement.server
            if not server.has_room(work.shape) or not self._server_finder.accepts(
                server, work, now
            ):
                del expected_s_by_server[server]
        return all_started and all(task.state is not TaskState.QUEUED for task in suspects)

    def _suspects_of(self, work: Work) -> list[Task]:
        """Return the tasks of a work item that are not done and under which servers crashed."""
        if not self._crash_log.has_suspects(work.job_id):
            return []
        return [
            task
            for task in work.tasks()
            if task.state is not TaskState.DONE
            and self._crash_log.is_suspect(work.task_name(task.index))
        ]

    def runs_apart(self, work: Work) -> bool:
        """Return whether a work item waits for empty servers; see :class:`ReviewedScheduler`."""
        return self._crash_log.has_suspects(work.job_id) and bool(self._suspects_of(work))

    def _dispatch_suspects(self, now: float) -> None:
        """Start queued tasks under which servers have crashed, each alone on a server.

        If it crashes this one too, nothing else is lost, and no other task can have been the
        cause. Those of one work item are started one by one until one of them has ended normally,
        because each may cost a server.
        """
        works = [work for work in self.queue if self._crash_log.has_suspects(work.job_id)]
        servers = self.usable_servers(now) if works else []
        servers = [server for server in servers if self._may_extend_leases(server, now)]
        usable = UsableServers(lambda: servers, self.speeds)
        for work in works:
            suspects = self._suspects_of(work)
            queued = [task for task in suspects if task.state is TaskState.QUEUED]
            if not self._may_start(work.holder, now):
                continue
            if not self._crash_log.is_cleared(work.job_id):
                if any(self._runs_alone(work.task_name(task.index)) for task in suspects):
                    continue
                queued = queued[:1]
            for task in queued:
                if not self._start_alone(work, task, servers, usable, now):
                    break
            if not work.queued_tasks():
                self.queue.remove(work)

    def _start_alone(
        self,
        work: Work,
        task: Task,
        servers: Sequence[ServerState],
        usable: UsableServers,
        now: float,
    ) -> bool:
        """Start a task on an empty server, or else reserve one; return whether it was started."""
        reserved = self._reserved_by_work.pop(work.key, None)
        if reserved is not None:
            reserved.is_reserved = False
        empty = [server for server in servers if not server.run_by_task]
        expected_s_by_server = self._server_finder.find(work, empty, usable, now)
        placement = choose_server(expected_s_by_server, now, work.target_at)
        if placement is not None:
            self._start(work, task, placement, now)
            placement.server.exclusive_run = self.run_by_task[work.task_name(task.index)]
            return True
        if reserved not in servers:
            reserved = None
            if len(self._reserved_by_work) < math.ceil(MAX_RESERVED_SHARE * len(servers)):
                reserved = self._server_finder.find_first_empty(work, servers, now)
        if reserved is not None:
            reserved.is_reserved = True
            self._reserved_by_work[work.key] = reserved
        return False

    def _release_unneeded_reservations(self) -> None:
        """Open the servers reserved for work items without a queued suspect task.

        The crashes under it may have been retracted or have expired since.
        """
        for key, server in list(self._reserved_by_work.items()):
            suspects = self._suspects_of(self.work_by_key[key])
            if all(task.state is not TaskState.QUEUED for task in suspects):
                server.is_reserved = False
                del self._reserved_by_work[key]

    def _runs_alone(self, task_name: str) -> bool:
        run = self.run_by_task.get(task_name)
        return run is not None and self.server_by_id[run.server_id].exclusive_run is run

    def _start(self, work: Work, task: Task, placement: Placement, now: float) -> None:
        server = placement.server
        run = Run(
            task_name=work.task_name(task.index),
            number=task.next_run,
            server_id=server.listing.server_id,
            shape=work.shape,
            work=work,
            index=task.index,
            state=RunState.STARTING,
            ordered_at=now,
            expected_s=placement.expected_s,
            after=task.after,
            identity=work.identity,
            ordered_born_ms=server.born_ms,
        )
        task.state = TaskState.ACTIVE
        task.last_run = (run.server_id, run.number)
        task.next_run += 1
        if not work.ever_started:
            work.ever_started = True
            self.queue.reposition(work)
        self._history.note_started(work.job_id, work.identity, now)
        self.run_by_task[run.task_name] = run
        server.add_run(run)
        # A start order carries a lease; the last lease of an idle server may have ended long ago.
        server.lease_ends_at = max(server.lease_ends_at, now + self._longest_lease_s())
        self._effects.report_placed(work, run, placement)
        self._effects.start(run, work)

    # Answers of servers

    def handle_started(self, run: Run, clock_ms: int, now: float) -> None:
        """Handle an accepted start order.

        :param run: the run.
        :param clock_ms: the server's clock, in milliseconds.
        :param now: monotonic time, in seconds.
        """
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        run.accepted_at = now
        run.progress.observe(0.0, clock_ms)
        self._clear_suspicion(run.server_id, now)

    def handle_not_started(self, run: Run, failure: OrderFailure, now: float) -> None:
        """Handle a start order that was rejected or not answered."""
        server = self.server_by_id.get(run.server_id)
        if not self._is_known(run) or server is None:
            return
        if failure is OrderFailure.NO_ANSWER:
            server.note_contact_lost()
            if run.state is RunState.STARTING:
                run.state = RunState.LOST
            run.stop_due_at = now
            return
        self._handle_rejected_start(server, run, failure, now)
        server.lost_run_by_task.pop(run.task_name, None)
        self._forget_run(run, RunOver.START_REJECTED)
        self._requeue(run, now)
        self._request_dispatch(now)

    def _handle_rejected_start(
        self, server: ServerState, run: Run, failure: OrderFailure, now: float
    ) -> None:
        if failure is OrderFailure.FENCED:
            self._pause_after_fencing(server, now)
        elif failure is OrderFailure.OTHER_LIFETIME:
            server.acquired = False
        elif failure is OrderFailure.NO_ROOM:
            server.full = True
        elif failure in (OrderFailure.NOT_SENT, OrderFailure.REFUSED):
            server.note_contact_lost()
        elif failure is OrderFailure.UNHEALTHY:
            self._record_end(server, succeeded=False, now=now)
            server.full = True
        elif failure is OrderFailure.OLD_RUN and run.work is not None:
            run.work.task_by_index[run.index].next_run += OLD_RUN_NUMBER_STEP
        elif failure is OrderFailure.INVALID and run.work is not None:
            run.work.task_by_index[run.index].failures += 1

    def handle_stopped(self, run: Run, now: float) -> None:
        """Handle an accepted stop order: the run ends soon, or will never start."""
        self._clear_suspicion(run.server_id, now)
        if self._is_known(run):
            run.stop_due_at = 0.0
            run.stop_effective_at = now + max_local_duration_s(self._bounds.stop_s)
            run.stopped_born_ms = self.server_by_id[run.server_id].born_ms

    def handle_not_stopped(self, run: Run, failure: OrderFailure, now: float) -> None:
        """Handle a stop order that was rejected or not answered."""
        if not self._is_known(run):
            return
        run.stop_due_at = now + STOP_RETRY_S
        if failure in (OrderFailure.OLD_RUN, OrderFailure.INVALID):
            # The server knows of a later run or an end, so this run can no longer start.
            self.handle_stopped(run, now)

    def _clear_suspicion(self, server_id: str, now: float) -> None:
        """Make a suspect server usable again: it answers, so only an order or answer was lost."""
        server = self.server_by_id.get(server_id)
        if server is not None and server.suspect:
            server.suspect = False
            # A restarted server may have answered, so a run whose start was not answered is kept:
            # handle_restart adds only accepted ones.
            server.lost_run_by_task = {
                run.task_name: run for run in server.run_by_task.values() if not run.accepted_at
            }
            server.refused_since = 0.0
            self._effects.log_decision("server-answered", server=server_id)
            self._request_dispatch(now)

    def handle_unreachable(self, server_id: str, failure: OrderFailure, now: float) -> None:
        """Handle a failed lease renewal: the server gets no task until it answers again."""
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        server.note_contact_lost()
        if failure is OrderFailure.OTHER_LIFETIME:
            self._note_crash(server, "replaced", now)
        elif failure is not OrderFailure.REFUSED:
            server.refused_since = 0.0
        elif not server.refused_since:
            server.refused_since = now
        elif now - server.refused_since >= REFUSED_TIMEOUT_S:
            self._note_crash(server, "refused", now)

    def handle_fenced(self, server_id: str, now: float) -> None:
        """Handle a server that is owned by another process."""
        server = self.server_by_id.get(server_id)
        if server is not None:
            self._pause_after_fencing(server, now)

    def handle_yielded(self, server_id: str) -> None:
        """Handle a server that this owner has left to the other process that owns it."""
        server = self.server_by_id.get(server_id)
        if server is not None:
            server.yielded = True

    def _pause_after_fencing(self, server: ServerState, now: float) -> None:
        """Stop using a fenced server, and pause placement on all servers.

        The other owner may have the same work items by now.
        """
        if server.acquired:
            server.acquired = False
            self._placement_paused_until = now + CHALLENGE_PAUSE_S
            self._effects.log_decision("owner-challenged", server=server.listing.server_id)

    def handle_report(
        self,
        server_id: str,
        report: ServerReport,
        sent_at: float,
        new_ends: list[RunEnd],
        now: float,
    ) -> None:
        """Handle a report of a server.

        :param server_id: id of the server.
        :param report: the report.
        :param sent_at: monotonic time at which the call was sent, in seconds; runs accepted later
            may be missing from the report.
        :param new_ends: ends in the report that were not handled before.
        :param now: monotonic time, in seconds.
        """
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        if server.suspect or not server.acquired:
            # It may have been taken for crashed, here or by an earlier owner.
            born_ms = report.born_ms or server.born_ms
            self._crash_log.note_survived(Lifetime(server_id, born_ms), now)
        server.note_contact(report.born_ms)
        for end in new_ends:
            self._handle_end(server, end, now)
        listed_by_task = {run.task: run for run in report.runs}
        for run in list(server.run_by_task.values()):
            listed = listed_by_task.get(run.task_name)
            self._reconcile_run(run, listed, report.clock_ms, sent_at, now)
        for listed in report.runs:
            known = server.run_by_task.get(listed.task)
            if known is not None and known.work is None and listed.number > known.number:
                # Another owner knew that the earlier run was over when it ordered this one.
                self._forget_run(known, RunOver.NOT_LISTED)
                known = None
            if known is None:
                self._add_reported_run(server, listed.task, listed.number, now)
        server.observe_progress(now)
        self._relocate_late_runs(server, now)
        server.acquired = server.runs_listed = True
        server.listed_at = sent_at
        server.yielded = False
        server.full = False
        self._unblock_tasks(now)
        self._request_dispatch(now)

    def handle_restart(
        self,
        server_id: str,
        now: float,
        report: ServerReport | None = None,
        sent_at: float = math.inf,
    ) -> None:
        """Handle a restart of a server, which ended the runs that its former lifetime accepted.

        A start order that was not answered yet may reach the restarted server, so its run is kept,
        and stopped again if it was being stopped.
        So is one that was accepted after the report was asked for: either lifetime may have
        accepted it, and the next report tells.

        :param server_id: id of the server.
        :param now: monotonic time, in seconds.
        :param report: first report of the new lifetime, not handled yet; None for one that names
            no run.
        :param sent_at: monotonic time at which that report was asked for, in seconds.
        """
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        named: set[tuple[str, int]] = set()
        started_at = math.inf
        if report is not None:
            named.update((listed.task, listed.number) for listed in report.runs)
            named.update((end.task, end.number) for end in report.ends)
            # At the latest: the clock starts at zero with a lifetime, and may run slow.
            started_at = now - report.clock_ms / 1000
        ended = []
        for run in server.run_by_task.values():
            if (run.task_name, run.number) in named or run.accepted_at >= sent_at:
                server.lost_run_by_task.pop(run.task_name, None)
            elif run.accepted_at:
                ended.append(run)
        server.lost_run_by_task.update({run.task_name: run for run in ended})
        # A start that was sent later did not reach the former lifetime.
        server.lost_run_by_task = {
            name: run
            for name, run in server.lost_run_by_task.items()
            if run.accepted_at or run.ordered_at <= started_at
        }
        self._note_crash(server, "restarted", now, named)
        server.lost_run_by_task.clear()
        server.crashed_tasks.clear()
        for run in ended:
            self._log_presumed_over(run, RunOver.SERVER_RESTARTED)
            self._forget_run(run, RunOver.SERVER_RESTARTED)
            self._requeue(run, now)
        for run in server.run_by_task.values():
            if run.state in (RunState.LOST, RunState.STOPPING):
                # A stop that the former lifetime has confirmed does not bind this one.
                run.stop_effective_at = 0.0
                run.stop_due_at = now + STOP_RETRY_S
                self._effects.stop_run(run)

    def _note_crash(
        self,
        server: ServerState,
        evidence: str,
        now: float,
        later_runs: Set[tuple[str, int]] = frozenset(),
    ) -> None:
        """Record a crash of a server under the tasks that were there; nothing if it drained.

        :param later_runs: tasks and numbers of the runs that the next lifetime has accepted.
        """
        if server.listing.draining:
            return
        server_id = server.listing.server_id
        lost = set(server.lost_run_by_task)
        # A server that was out of reach may have ended the runs, and crashed under others later.
        is_certain = (server.refused_since or now) <= server.lease_ends_at
        if evidence == "refused" and not is_certain:
            lost.clear()
        is_alone = is_certain and len(lost) == 1
        # Runs that an earlier owner has ordered and that nothing is known of but their server.
        for work in self._blocked_by_key.values():
            for task in work.tasks():
                if task.state is TaskState.BLOCKED and task.blocked_on == server_id:
                    name = work.task_name(task.index)
                    if (name, task.next_run - 1) in later_runs:
                        continue
                    is_alone = is_alone and name in lost
                    lost.add(name)
        lifetime = Lifetime(server_id, server.born_ms)
        crashes = self._crash_log.observe(
            Crash(name, lifetime, is_alone, now + RECORD_TTL_S)
            for name in sorted(lost - server.crashed_tasks)
        )
        # A task that has ended elsewhere since is not blamed again for the same crash.
        server.crashed_tasks |= lost
        if crashes:
            self._effects.log_decision(
                "server-crashed",
                server=server_id,
                born_ms=server.born_ms,
                evidence=evidence,
                tasks=[crash.task_name for crash in crashes],
                crashes=[len(self._crash_log.crashes_under(c.task_name)) for c in crashes],
                alone=is_alone,
            )
            self._give_up_guilty(now)

    def _give_up_guilty(self, now: float) -> None:
        """Fail the work items of tasks that crash the servers on which they run."""
        self._crash_log_revision = self._crash_log.revision
        for work in list(self.work_by_key.values()):
            guilty = self._find_guilty_task(work)
            if guilty is not None:
                self._report_given_up(work, guilty)
                self._drop_work(work, now)
                self._request_dispatch(now)

    def _find_guilty_task(self, work: Work) -> Task | None:
        if not self._crash_log.has_suspects(work.job_id):
            return None
        for task in work.tasks():
            name = work.task_name(task.index)
            if task.state is not TaskState.DONE and self._crash_log.is_guilty(name):
                return task
        return None

    def _report_given_up(self, work: Work, task: Task) -> None:
        crashes = self._crash_log.crashes_under(work.task_name(task.index))
        self._effects.log_decision(
            "task-given-up",
            job=work.job_id,
            task=work.task_name(task.index),
            servers=[crash.lifetime.server_id for crash in crashes],
            alone=[crash.alone for crash in crashes],
        )
        last_run = max(task.next_run - 1, 1)
        self._effects.report_failed(work, task, last_run, crashes[-1].lifetime.server_id)

    def _reconcile_run(
        self, run: Run, listed: RunListing | None, clock_ms: int, sent_at: float, now: float
    ) -> None:
        """Reconcile a run with the server's report.

        :param listed: the run in the report; None if it is missing there.
        """
        if listed is None:
            known_before = run.accepted_at and run.accepted_at < sent_at
            if known_before and run.state in (RunState.RUNNING, RunState.STOPPING):
                self._log_run("run-vanished", run)
                self._forget_run(run, RunOver.NOT_LISTED)
                self._requeue(run, now)
            return
        if listed.number != run.number:
            return
        run.listed_born_ms = self.server_by_id[run.server_id].born_ms
        if not run.accepted_at:
            run.accepted_at = now
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
        run.progress.observe(listed.percent, clock_ms)

    def _relocate_late_runs(self, server: ServerState, now: float) -> None:
        """Stop stalled runs, and slow runs that would end sooner on another server."""
        for run in list(server.run_by_task.values()):
            if run.state is not RunState.RUNNING:
                continue
            if is_stalled(run):
                self._log_moved("run-stalled", run)
                self._record_end(server, succeeded=False, now=now)
                self._relocate_run(run, now)
            elif run.work is not None and is_late(run, run.work, now):
                others = [other for other in self.usable_servers(now) if other is not server]
                expected_s_by_server = self._server_finder.find(
                    run.work, others, self._usable_of(others), now
                )
                if ends_sooner_elsewhere(run, run.work, expected_s_by_server.values(), now):
                    self._log_moved("run-too-slow", run)
                    self._relocate_run(run, now)

    def _usable_of(self, servers: Sequence[ServerState]) -> UsableServers:
        return UsableServers(lambda: servers, self.speeds)

    def _log_moved(self, event: str, run: Run) -> None:
        self._effects.log_decision(
            event,
            task=run.task_name,
            run=run.number,
            server=run.server_id,
            percent=run.progress.percent,
            without_progress_s=round(run.progress.stalled_s, 3),
            remaining_s=round(run.progress.min_remaining_s, 3),
            expected_s=round(run.expected_s, 3),
        )

    def _log_run(self, event: str, run: Run) -> None:
        self._effects.log_decision(
            event,
            task=run.task_name,
            run=run.number,
            server=run.server_id,
            born_ms=self.server_by_id[run.server_id].born_ms,
        )

    def _log_presumed_over(self, run: Run, over: RunOver) -> None:
        self._effects.log_decision(
            "run-presumed-over",
            task=run.task_name,
            run=run.number,
            server=run.server_id,
            after=over,
            accepted=bool(run.accepted_at),
            ordered_born_ms=run.ordered_born_ms,
            listed_born_ms=run.listed_born_ms,
            stopped_born_ms=run.stopped_born_ms,
            born_ms=self.server_by_id[run.server_id].born_ms,
        )

    def _relocate_run(self, run: Run, now: float) -> None:
        """Stop a run; its task is restarted as soon as the run has certainly ended."""
        work = run.work
        if work is not None:
            task = work.task_by_index[run.index]
            task.state = TaskState.BLOCKED
            task.blocked_on = run.server_id
            self._blocked_by_key[work.key] = work
        self._stop_run(run, now)

    def _add_reported_run(
        self, server: ServerState, task_name: str, number: int, now: float
    ) -> None:
        """Add a run that another owner has ordered; it is adopted if its task waits here."""
        run = Run(
            task_name=task_name,
            number=number,
            server_id=server.listing.server_id,
            shape=UNKNOWN_SHAPE,
            work=None,
            index=0,
            state=RunState.RUNNING,
            ordered_at=now,
            accepted_at=now,
            orphan_until=now + ORPHAN_GRACE_S,
            listed_born_ms=server.born_ms,
        )
        self._history.note_started(job_id_of(task_name), "", now)
        known = self.run_by_task.get(task_name)
        if known is not None:
            self._other_runs_by_task.setdefault(task_name, []).append(run)
            if known.work is None and known.number < number:
                self._make_current(run)
        else:
            self.run_by_task[task_name] = run
        server.add_run(run)
        if known is not None and known.work is not None and number <= known.number:
            # No holder can claim it: its task has been started again since.
            self._stop_orphan(run, now)
        # An earlier owner may have renewed the lease of the run just before this report.
        server.lease_ends_at = max(server.lease_ends_at, now + self._longest_lease_s())
        waiting = self._find_waiting_task(task_name)
        if waiting is not None:
            work, task = waiting
            if self._may_adopt(run, work, task):
                self._adopt_run(run, work, task)
            else:
                work.ever_started = True
                self._await_run(run, work, task)
            if not work.queued_tasks():
                self.queue.remove(work)

    def _find_waiting_task(self, task_name: str) -> tuple[Work, Task] | None:
        """Return a task without a run and its work item, or None if there is no such task."""
        for work in self.work_by_key.values():
            task = work.find_task(task_name)
            if task is not None and task.state in (TaskState.QUEUED, TaskState.BLOCKED):
                return work, task
        return None

    def _adopt_run(self, run: Run, work: Work, task: Task) -> None:
        task.next_run = max(task.next_run, run.number + 1)
        task.state = TaskState.ACTIVE
        task.last_run = (run.server_id, run.number)
        work.ever_started = True
        run.work, run.index, run.orphan_until = work, task.index, 0.0
        self._make_current(run)
        run.released_work = None
        run.identity = work.identity
        server = self.server_by_id[run.server_id]
        server.set_run_shape(run, work.shape)
        if len(server.run_by_task) == 1 and self._crash_log.is_suspect(run.task_name):
            server.exclusive_run = run
        self._effects.log_decision(
            "run-adopted",
            job=work.job_id,
            task=run.task_name,
            run=run.number,
            server=run.server_id,
            holder=work.holder,
        )

    def _handle_end(self, server: ServerState, end: RunEnd, now: float) -> None:
        run = server.run_by_task.get(end.task) or self.run_by_task.get(end.task)
        identity = run.identity if run is not None else ""
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            self._crash_log.clear(end.task, now)
        self._history.note_started(job_id_of(end.task), identity, now)
        if run is None or run.number != end.number or run.server_id != server.listing.server_id:
            self._log_end(server, end)
            waiting = self._find_waiting_task(end.task)
            if run is None and waiting is not None:
                self._handle_end_of_earlier_run(*waiting, server, end, now)
            else:
                self._history.note_unclaimed_end(end, server.listing.server_id, "", now)
            return
        self._forget_run(run, RunOver.END_REPORTED)
        work = run.work
        if work is None:
            if run.logs_end or run.orphan_until:
                self._log_end(server, end)
            if run.released_work is not None and end.kind is EndKind.DONE:
                # Acknowledged here, the end is no longer reported to the other owner.
                released = run.released_work
                task = released.task_by_index[run.index]
                self._effects.report_done(released, task, run.number, run.server_id)
            self._history.note_unclaimed_end(end, run.server_id, run.identity, now)
            return
        task = work.task_by_index[run.index]
        if end.kind is EndKind.DONE:
            self._learn_speed(server, run, now)
            self._record_end(server, succeeded=True, now=now)
            task.state = TaskState.DONE
            if work.resumed or run.number > 1:
                self._log_end(server, end)
            self._effects.report_done(work, task, run.number, run.server_id)
            if work.is_done():
                self._finish(work, now)
            return
        if end.kind is EndKind.FAILED:
            self._record_end(server, succeeded=False, now=now)
            task.failures += 1
        self._log_end(server, end)
        self._requeue(run, now)

    def _handle_end_of_earlier_run(
        self, work: Work, task: Task, server: ServerState, end: RunEnd, now: float
    ) -> None:
        """Handle the end of a run that has the name of a waiting task and is not known here.

        It completes the task only if the holder was told of the run by an earlier owner, or if
        this owner has ordered it and presumed it over.
        """
        task.next_run = max(task.next_run, end.number + 1)
        server_id = server.listing.server_id
        if not work.owns_run(task, server_id, end.number, ""):
            self._history.note_unclaimed_end(end, server_id, "", now)
            return
        if end.kind is not EndKind.DONE:
            return
        task.state = TaskState.DONE
        if not work.queued_tasks():
            self.queue.remove(work)
        self._effects.report_done(work, task, end.number, server_id)
        if work.is_done():
            self._finish(work, now)

    def _log_end(self, server: ServerState, end: RunEnd) -> None:
        self._effects.log_decision(
            "run-ended",
            task=end.task,
            run=end.number,
            server=server.listing.server_id,
            how=end.kind.name,
            born_ms=server.born_ms,
        )

    def _learn_speed(self, server: ServerState, run: Run, now: float) -> None:
        if run.accepted_at and run.shape.estimate_s:
            self.speeds.learn(
                run.server_id, server.kind, run.shape.estimate_s, now - run.accepted_at
            )

    def _record_end(self, server: ServerState, succeeded: bool, now: float) -> None:
        others = [s.candidate for s in self.server_by_id.values()]
        if self._ejector.record(server.candidate, succeeded, now, others):
            self._effects.log_decision(
                "server-ejected",
                server=server.listing.server_id,
                for_s=round(server.candidate.ejected_until - now, 3),
            )

    # Runs

    def _runs_of(self, task_name: str) -> list[Run]:
        """Return the known runs with the name of a task, on all servers."""
        run = self.run_by_task.get(task_name)
        return [run, *self._other_runs_by_task.get(task_name, ())] if run is not None else []

    def _make_current(self, run: Run) -> None:
        """Let a known run take the place of the one that is found by the name of the task."""
        current = self.run_by_task[run.task_name]
        if current is not run:
            others = self._other_runs_by_task[run.task_name]
            others[others.index(run)] = current
            self.run_by_task[run.task_name] = run

    def _is_known(self, run: Run) -> bool:
        return run in self._runs_of(run.task_name)

    def _forget_run(self, run: Run, over: RunOver) -> None:
        run.over = over
        self._remove_from_index(run)
        server = self.server_by_id.get(run.server_id)
        if server is not None:
            server.remove_run(run)

    def _remove_from_index(self, run: Run) -> None:
        if not self._is_known(run):
            return
        others = self._other_runs_by_task.get(run.task_name, [])
        if not others:
            del self.run_by_task[run.task_name]
            return
        if self.run_by_task[run.task_name] is run:
            self._make_current(max(others, key=lambda other: other.number))
        others.remove(run)
        if not others:
            del self._other_runs_by_task[run.task_name]

    def _requeue(self, run: Run, now: float) -> None:
        """Requeue the task of a run that has certainly ended, or fail its work item."""
        work = run.work
        if work is None or work.key not in self.work_by_key:
            return
        task = work.task_by_index[run.index]
        task.next_run = max(task.next_run, run.number + 1)
        if task.failures >= work.attempts:
            self._effects.report_failed(work, task, run.number, run.server_id)
            self._history.note_given_up(work, now, failed_run=run)
            self._drop_work(work, now)
            return
        other = self.run_by_task.get(run.task_name)
        if other is not None:
            self._await_run(other, work, task)
            return
        task.state = TaskState.QUEUED
        task.after = run.over or RunOver.NONE_KNOWN
        self.queue.add(work)

    def _stop_orphan(self, run: Run, now: float) -> None:
        self._log_run("orphan-stopped", run)
        run.logs_end = True
        self._stop_run(run, now)

    def _stop_run(self, run: Run, now: float) -> None:
        run.state = RunState.STOPPING
        run.orphan_until = 0.0
        run.stop_due_at = now + STOP_RETRY_S
        self._effects.stop_run(run)

    # Time

    def tick(self, now: float) -> None:
        """Do what is due: end runs, review the queue, and have tasks started.

        Unclaimed runs are stopped, unanswered stop orders are sent again, and runs that have
        certainly ended are removed.
        """
        self.speeds.refresh()
        if self._crash_log.revision != self._crash_log_revision:
            # Another owner or process has reported a crash.
            self._give_up_guilty(now)
        for task_name in list(self.run_by_task):
            for run in self._runs_of(task_name):
                self._check_run(run, now)
        self._unblock_tasks(now)
        self._review.review_blocked(list(self._blocked_by_key.values()), now)
        self._review.review(self.queue, now)
        self._history.prune(now)
        self._request_dispatch(now)

    def _check_run(self, run: Run, now: float) -> None:
        server = self.server_by_id[run.server_id]
        if run.orphan_until and now >= run.orphan_until:
            self._stop_orphan(run, now)
        stopped = bool(run.stop_effective_at) and now >= run.stop_effective_at
        if stopped or now >= server.lease_ends_at:
            over = RunOver.STOP_CONFIRMED if stopped else RunOver.LEASE_ENDED
            self._log_presumed_over(run, over)
            self._forget_run(run, over)
            self._requeue(run, now)
        elif run.stop_due_at and now >= run.stop_due_at:
            run.stop_due_at = now + STOP_RETRY_S
            self._effects.stop_run(run)

    def _unblock_tasks(self, now: float) -> None:
        if not self._blocked_by_key:
            return
        all_listed = self._have_all_servers_listed()
        for work in list(self._blocked_by_key.values()):
            for task in work.task_by_index.values():
                if task.state is not TaskState.BLOCKED:
                    continue
                over = self._find_earlier_run_over(work, task, all_listed, now)
                if over is not None:
                    task.state = TaskState.QUEUED
                    task.after = over
                    self.queue.add(work)
            if all(t.state is not TaskState.BLOCKED for t in work.task_by_index.values()):
                self._blocked_by_key.pop(work.key, None)
                if not work.resumed and work.queued_tasks():
                    # It arrived before the holders of an earlier owner were heard.
                    self._review.refuse_on_arrival(work, self.queue, now)

    def _have_all_servers_listed(self) -> bool:
        """Return whether all servers have listed their runs to this owner since contact was lost.

        The next lifetime of a server has not seen the token of this owner: an earlier owner may
        have started a task there.
        """
        # Without any server, the list of servers may not have arrived yet.
        return bool(self.server_by_id) and all(
            server.acquired and server.runs_listed for server in self.server_by_id.values()
        )

    def _has_listed_since(self, server_id: str, at: float) -> bool:
        server = self.server_by_id.get(server_id)
        return server is not None and server.listed_at >= at

    def _find_earlier_run_over(
        self, work: Work, task: Task, all_listed: bool, now: float
    ) -> RunOver | None:
        """Return the evidence that no earlier run of a task is running; None without evidence.

        :param all_listed: whether all servers have listed their runs.
        """
        if work.task_name(task.index) in self.run_by_task:
            return None
        known = task.earlier_run.over if task.earlier_run is not None else None
        if work.has_other_holder:
            if self._history.is_out_of_reach(work, now):
                return None
            known = known or RunOver.OTHER_HOLDER_ENDED
        if now >= work.safe_at:
            waited_for = RunOver.EARLIER_LEASES_ENDED if work.resumed else RunOver.HOLDERS_HEARD
            return known or waited_for
        if now < work.handover_until:
            return None
        # The report of one server is no evidence, not even of that of the last known run: an
        # earlier owner may have started the task elsewhere since, unnoticed by its holder.
        all_listed = (
            all_listed
            and not work.other_servers
            and (not task.blocked_on or self._has_listed_since(task.blocked_on, work.submitted_at))
        )
        return (known or RunOver.ALL_SERVERS_LISTED) if all_listed else None

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        """Drop a work item without a started task; see :class:`ReviewedScheduler`."""
        self._forget_work(work)
        self._history.note_refused(work, reason, retry_after_s)
        self._effects.refuse(work, reason, retry_after_s, inputs)

    def abandon(self, work: Work, now: float) -> None:
        """Stop the runs of a work item and notify its holder that it cannot be completed."""
        self._effects.abandon(work)
        self._history.note_given_up(work, now)
        self._drop_work(work, now)
