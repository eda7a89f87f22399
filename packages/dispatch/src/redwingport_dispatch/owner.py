"""Owner of a shard: runs the scheduler and server sessions, and notifies holders."""

import asyncio
import logging
from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.interfaces import ServerClientFactory, ServerListing, TaskShape
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.scheduling.crashes import CrashLog
from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.scheduler import Scheduler
from redwingport_dispatch.scheduling.work import Run, Task, TaskState, Work
from redwingport_dispatch.sessions import ServerSession
from redwingport_dispatch.settings import Settings
from redwingport_entry.logs import DECISIONS, log_event
from redwingport_messages.dispatch import (
    CancelWork,
    OpenWorks,
    ReleaseWork,
    SubmitWork,
    TaskEvent,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)

# Interval at which due stops, runs that must have ended and work items that cannot finish in time
# are checked.
TICK_S = 0.05
# A pass over the queue that took less time is followed by no pause.
MIN_PAUSE_S = 0.0005
# A server that is no longer listed is kept at least this long, unless it is suspect and has no
# runs: its entry expires while the store is down, and is back within two seconds of its recovery.
UNLISTED_GRACE_S = 2.5

Notification = TaskNews | WorkRefused | WorkAbandoned

decisions = logging.getLogger(DECISIONS)


class Owner:
    """Own the backend servers of one shard for one term.

    :param shard: number of the shard.
    :param settings: settings of the process.
    :param server_clients: creates clients of the servers.
    :param listing_by_id: the currently listed servers; work items submitted before the sessions
        are open wait for them.
    :param unlisted_by_id: servers that left the list a short time ago. An earlier owner may have
        runs there, so they are asked for their runs, and get no task.
    :param term: term of the owner.
    :param settled_at: monotonic time until which holders may still submit the work items of an
        earlier owner, in seconds.
    :param may_contest: tells whether this process reaches a majority of the known ones, so that it
        may raise its token above that of another owner.
    :param note_token: called with each raised token.
    :param send_notification: sends a notification to a holder, which handles it later.
    :param deliver_local: delivers the messages between this process's holder and its owners that
        are still queued.
    :param metrics: metrics of the process.
    :param crash_log: crashes of servers that the process knows of; None for an empty log.
    :param lease_limit_at: returns the monotonic time beyond which no lease for the tasks of a
        holder may extend, in seconds; None for no limit.
    """

    def __init__(
        self,
        shard: int,
        settings: Settings,
        server_clients: ServerClientFactory,
        listing_by_id: Mapping[str, ServerListing],
        unlisted_by_id: Mapping[str, ServerListing],
        term: int,
        settled_at: float,
        may_contest: Callable[[], bool],
        note_token: Callable[[int], None],
        send_notification: Callable[[str, Notification], None],
        deliver_local: Callable[[], None],
        metrics: Metrics,
        crash_log: CrashLog | None = None,
        lease_limit_at: Callable[[str], float] | None = None,
    ) -> None:
        self.term = term
        # During a burst, many reports and work items arrive in one iteration of the event loop. A
        # pass over the queue for each of them would take most of the processor time.
        self.scheduler = Scheduler(
            self,
            settings.bounds,
            settled_at,
            self._request_dispatch,
            crash_log,
            lease_limit_at,
            may_contest,
        )
        for listing in listing_by_id.values():
            self.scheduler.set_server(listing)
        for server_id in unlisted_by_id.keys() - listing_by_id.keys():
            self.scheduler.add_unlisted_server(unlisted_by_id[server_id], current_time())
        self._shard = shard
        self._settings = settings
        self._server_clients = server_clients
        self._may_contest = may_contest
        self._note_token = note_token
        self._send_notification = send_notification
        self._deliver_local = deliver_local
        self._metrics = metrics
        self._session_by_server: dict[str, ServerSession] = {}
        self._cancel_scope_by_server: dict[str, anyio.CancelScope] = {}
        self._events_by_holder: dict[str, list[tuple[int, int, TaskEvent, int, str]]] = {}
        self._dispatch_due = False
        self._has_work = asyncio.Event()
        self._task_group: TaskGroup | None = None
        self._stopped = anyio.Event()

    async def run(self, listing_by_id: Mapping[str, ServerListing]) -> None:
        """Run the scheduler until :meth:`stop` is called."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self.update_servers(listing_by_id, store_is_fresh=True)
            task_group.start_soon(self._dispatch_and_send)
            task_group.start_soon(self._tick)
            await self._stopped.wait()
            task_group.cancel_scope.cancel()

    def stop(self) -> None:
        """Release the servers; their runs continue until the lease expires."""
        self._stopped.set()

    # Servers

    def update_servers(
        self, listing_by_id: Mapping[str, ServerListing], store_is_fresh: bool
    ) -> None:
        """Apply the list of servers.

        :param listing_by_id: the listed servers.
        :param store_is_fresh: whether the list was read from the store recently.
        """
        if self._task_group is None or self._stopped.is_set():
            return
        now = current_time()
        for server_id, listing in listing_by_id.items():
            known = self.scheduler.server_by_id.get(server_id)
            has_moved = known is not None and known.listing.address != listing.address
            if known is not None and known.listing.draining != listing.draining:
                self.log_decision("server-state", server=server_id, draining=listing.draining)
            server = self.scheduler.set_server(listing)
            if has_moved:
                self._reopen_session(server_id)
            if server_id not in self._session_by_server:
                self._open_session(server_id)
                self.log_decision(
                    "server-added", server=server_id, domain=listing.domain, kind=server.kind
                )
        for server_id, server in self.scheduler.server_by_id.items():
            if server_id not in self._session_by_server:
                self._open_session(server_id)
            if server_id not in listing_by_id and not server.gone_at and store_is_fresh:
                server.gone_at = now + UNLISTED_GRACE_S
                self.log_decision("server-unlisted", server=server_id, answers=not server.suspect)

    def _open_session(self, server_id: str) -> None:
        server = self.scheduler.server_by_id[server_id]
        session = ServerSession(
            server,
            self._server_clients.open(server.listing),
            self.scheduler,
            self.term,
            self._settings.bounds.lease_s,
            self._may_contest,
            self._note_token,
            self._metrics,
        )
        self._session_by_server[server_id] = session
        assert self._task_group is not None
        self._task_group.start_soon(self._run_session, server_id, session)

    async def _run_session(self, server_id: str, session: ServerSession) -> None:
        try:
            async with anyio.create_task_group() as task_group:
                self._cancel_scope_by_server[server_id] = task_group.cancel_scope
                await session.run(task_group)
        finally:
            with anyio.CancelScope(shield=True):
                await session.aclose()

    def _reopen_session(self, server_id: str) -> None:
        """Call a server at its new address; the same lifetime may answer there, with its runs."""
        address = self.scheduler.server_by_id[server_id].listing.address
        self.log_decision("server-moved", server=server_id, address=address)
        self._close_session(server_id)
        self.scheduler.handle_moved(server_id, current_time())
        self._open_session(server_id)

    def _close_session(self, server_id: str) -> None:
        self._session_by_server.pop(server_id, None)
        scope = self._cancel_scope_by_server.pop(server_id, None)
        if scope is not None:
            scope.cancel()

    def _drop_server(self, server_id: str, reason: str) -> None:
        self.log_decision("server-dropped", server=server_id, reason=reason)
        self._close_session(server_id)
        self.scheduler.remove_server(server_id, current_time())

    # Messages from holders

    def submit(self, holder: str, message: SubmitWork) -> None:
        """Accept a work item from its holder."""
        now = current_time()
        shape = TaskShape(
            cpu_millis=message.cpu_millis,
            memory_mb=message.memory_mb,
            gpus=message.gpus,
            estimate_s=message.estimate_ms / 1000,
            required_label=message.required_label,
            near_rack=message.near_rack,
            max_per_server=message.max_per_server,
        )
        work = Work(
            holder=holder,
            work_id=message.work_id,
            job_id=message.job_id,
            step=message.step,
            service=message.service,
            spec=message.spec,
            shape=shape,
            priority=message.priority,
            attempts=message.attempts,
            received_at=now - message.waited_ms / 1000,
            target_at=now + message.target_ms / 1000,
            deadline_at=now + message.deadline_ms / 1000,
            more_offers=message.more_offers,
            other_servers=message.other_servers,
            refused_for_load=message.refused_for_load,
            identity=message.identity,
            task_by_index={
                index: Task(index, next_run, last_run=(server_id, next_run - 1))
                for index, next_run, server_id in message.tasks
            },
        )
        placed_by_index = {index: server_id for index, _, server_id in message.tasks}
        unheard_s = message.unheard_ms / 1000
        self.scheduler.submit(work, placed_by_index, message.resumed, now, unheard_s)
        self._flush_task_events()

    def cancel(self, holder: str, message: CancelWork) -> None:
        """Stop a work item that its holder has cancelled."""
        key = (holder, message.work_id)
        self.scheduler.cancel(key, current_time(), message.may_be_running)
        self._flush_task_events()

    def cancel_others(self, holder: str, message: OpenWorks) -> None:
        """Stop the work items that their holder has ended without this owner hearing of it."""
        open_keys = {(holder, work_id) for work_id in message.work_ids}
        cancelled = self.scheduler.cancel_others(holder, open_keys, current_time())
        if cancelled:
            self.log_decision("works-not-held", holder=holder, works=cancelled)
        self._flush_task_events()

    def release(self, holder: str, message: ReleaseWork) -> None:
        """Give up a work item that its holder has submitted to another owner."""
        self.scheduler.release((holder, message.work_id), current_time())
        self._flush_task_events()

    def drop_holder(self, holder: str, unheard_s: float, has_ended: bool = False) -> None:
        """Stop the work items of a holder that is unreachable or has ended.

        :param holder: incarnation of the holder.
        :param unheard_s: time since its last heartbeat, in seconds; for the log.
        :param has_ended: whether it is known to have ended.
        """
        dropped = self.scheduler.drop_holder(holder, current_time(), has_ended)
        if dropped:
            self.log_decision(
                "holder-dropped",
                holder=holder,
                works=dropped,
                unheard_s=round(unheard_s, 3),
                has_ended=has_ended,
            )
        self._flush_task_events()

    # Effects

    def start(self, run: Run, work: Work) -> None:
        """Send the order to start a run; see :class:`Effects`."""
        self._session_by_server[run.server_id].start(run, work)

    def stop_run(self, run: Run) -> None:
        """Send the order to stop a run; see :class:`Effects`."""
        session = self._session_by_server.get(run.server_id)
        if session is not None:
            session.stop(run)

    def report_placed(self, work: Work, run: Run, placement: Placement) -> None:
        """Notify the holder that the start of a task was ordered; see :class:`Effects`."""
        self.report_placed_again(work, run)
        now = current_time()
        earlier: dict[str, object] = {}
        if run.number > 1 or work.resumed:
            earlier = {"resumed": work.resumed, "after": run.after}
        self.log_decision(
            "task-placed",
            job=work.job_id,
            task=run.task_name,
            run=run.number,
            server=run.server_id,
            waited_s=round(now - work.received_at, 4),
            expected_s=round(placement.expected_s, 4),
            in_time=placement.in_time,
            queued=len(self.scheduler.queue),
            holder=work.holder,
            born_ms=run.ordered_born_ms,
            **earlier,
        )

    def report_placed_again(self, work: Work, run: Run) -> None:
        """Repeat the notification of a placement; see :class:`Effects`."""
        self._add_event(work, (work.work_id, run.index, "placed", run.number, run.server_id))

    def report_done(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Notify the holder that a task is done; see :class:`Effects`."""
        self._add_event(work, (work.work_id, task.index, "done", run_number, server_id))

    def report_failed(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Notify the holder that a task has failed permanently; see :class:`Effects`."""
        self._add_event(work, (work.work_id, task.index, "failed", run_number, server_id))

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        """Notify the holder that a work item was refused; see :class:`Effects`."""
        self._metrics.refused_works.labels(self._shard, reason).inc()
        self.log_decision(
            "work-refused",
            job=work.job_id,
            holder=work.holder,
            tasks=len(work.task_by_index),
            reason=reason,
            retry_after_s=retry_after_s,
            queued=len(self.scheduler.queue),
            waited_s=round(current_time() - work.received_at, 4),
            left_s=round(work.deadline_at - current_time(), 4),
            **inputs,
        )
        self._send_notification(
            work.holder, WorkRefused(work.work_id, self.term, reason, retry_after_s)
        )

    def abandon(self, work: Work) -> None:
        """Notify the holder that a work item can no longer finish; see :class:`Effects`."""
        self._metrics.abandoned_works.labels(self._shard).inc()
        self.log_decision(
            "work-abandoned",
            job=work.job_id,
            open_tasks=sum(task.state is not TaskState.DONE for task in work.tasks()),
            left_s=round(work.deadline_at - current_time(), 4),
            queued=len(self.scheduler.queue),
        )
        self._send_notification(work.holder, WorkAbandoned(work.work_id, self.term))

    def log_decision(self, event: str, **fields: object) -> None:
        """Log an event of a run or a server; see :class:`Effects`."""
        log_event(decisions, logging.INFO, event, term=self.term, shard=self._shard, **fields)

    def _add_event(self, work: Work, event: tuple[int, int, TaskEvent, int, str]) -> None:
        self._has_work.set()
        self._events_by_holder.setdefault(work.holder, []).append(event)

    def _request_dispatch(self) -> None:
        self._dispatch_due = True
        self._has_work.set()

    async def _dispatch_and_send(self) -> None:
        """Start tasks and send task events, once for each iteration of the event loop."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            if self._dispatch_due:
                self._dispatch_due = False
                # The holder in this process may be about to cancel work items, for example the
                # other steps of a job that was refused.
                self._deliver_local()
                started_at = current_time()
                self.scheduler.dispatch(started_at)
                self._flush_task_events()
                # Reports and orders get at least as much processor time as the passes.
                pause_s = current_time() - started_at
                if pause_s >= MIN_PAUSE_S:
                    await anyio.sleep(pause_s)
            self._flush_task_events()

    def _flush_task_events(self) -> None:
        events_by_holder, self._events_by_holder = self._events_by_holder, {}
        for holder, events in events_by_holder.items():
            self._send_notification(holder, TaskNews(events))

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            now = current_time()
            for server_id, server in list(self.scheduler.server_by_id.items()):
                if server.is_removable(now):
                    self._drop_server(server_id, "no longer listed")
            self.scheduler.tick(now)
            self._metrics.queued_works.labels(self._shard).set(len(self.scheduler.queue))
            self._flush_task_events()
