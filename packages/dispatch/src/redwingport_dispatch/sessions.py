"""Session of an owner with one backend server."""

import logging
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from result import Err, Result

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.exceptions import OrderError, OrderFailure
from redwingport_dispatch.interfaces import RunEnd, ServerClient, ServerReport, StartOrder
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.leases import MIN_START_LEASE_SHARE, Lease
from redwingport_dispatch.ownership.terms import next_token, raise_token
from redwingport_dispatch.scheduling.scheduler import Scheduler
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.work import Run, Work
from redwingport_entry.logs import ROOT, log_event

# Fraction of the lease for which a renewal waits for a run to end. Two consecutive answers may be
# lost before the lease expires.
RENEWAL_WAIT_SHARE = 0.25
# The same for an idle server: a start in the meantime carries a lease of its own, half of which is
# left when the renewal returns.
IDLE_RENEWAL_WAIT_SHARE = 0.5
# The same for a server for which a renewal has recently failed. A lost answer hides ended runs
# until the renewal has timed out.
LOSSY_RENEWAL_WAIT_SHARE = 0.1
# Time for which a server is considered lossy after a failed renewal.
LOSSY_PERIOD_S = 2.0
# Timeout of an answer beyond the requested wait. An exchange takes 1 to 4 ms; the timeout allows
# for servers and processes that are slowed down by a factor of five.
ANSWER_TIMEOUT_S = 0.15
# Retry interval for a server that obeys another owner, when this process is in a minority and must
# not contest the server.
YIELD_RETRY_S = 1.0
# A fenced owner waits for three heartbeats before it raises its token above the other one.
CONTEST_DELAY_S = 0.45
# Initial and maximum delay before a server that does not answer is called again.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25

logger = logging.getLogger(ROOT)


class ServerSession:
    """Renew the lease of one server, process its reports, and send it orders.

    :param server: state of the server in the scheduler.
    :param client: client of the server.
    :param scheduler: scheduler that receives the reports of the server.
    :param term: term of this owner, which is its first token for a server.
    :param lease_s: maximum duration that the server allows for a lease, in seconds.
    :param may_contest: tells whether this owner may raise its token above that of another owner.
    :param note_token: called with each raised token.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        server: ServerState,
        client: ServerClient,
        scheduler: Scheduler,
        term: int,
        lease_s: float,
        may_contest: Callable[[], bool],
        note_token: Callable[[int], None],
        metrics: Metrics,
    ) -> None:
        self._server = server
        self._server_id = server.listing.server_id
        self._client = client
        self._scheduler = scheduler
        # An earlier session may have raised the token.
        self._token = max(term, server.token)
        self._raise_count = 0
        # Whether no renewal with the token for the present lifetime has been answered yet, as far
        # as this session knows.
        self._token_is_new = self._token > term
        self._lease_s = lease_s
        self._lease = Lease(lease_s)
        self._may_contest = may_contest
        self._note_token = note_token
        self._metrics = metrics
        self._acknowledged = 0
        # The listing may name a later lifetime than that of the known runs.
        self._born_ms = server.born_ms
        self._may_extend = False
        self._lossy_until = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    async def run(self, task_group: TaskGroup) -> None:
        """Renew the lease until the task is cancelled.

        :param task_group: task group that sends the orders.
        """
        self._task_group = task_group
        while True:
            await self._renew()

    def start(self, run: Run, work: Work) -> None:
        """Send the order to start a run."""
        self._task_group.start_soon(self._start, run, work)

    def stop(self, run: Run) -> None:
        """Send the order to stop a run."""
        self._task_group.start_soon(self._stop, run)

    async def aclose(self) -> None:
        """Close the connections to the server."""
        await self._client.aclose()

    async def _renew(self) -> None:
        sent_at = current_time()
        extends = (
            self._may_extend
            and self._lease.has_clock
            and bool(self._server.run_by_task)
            and not self._server.has_unclaimed_runs()
        )
        wait_s = self._wait_s(sent_at) if self._server.acquired and self._may_extend else 0.0
        limit_at = self._scheduler.lease_limit_at(self._server)
        until_ms = None
        if extends and limit_at > sent_at:
            until_ms = self._lease.extend(sent_at, limit_at)
        self._note_lease_end()
        # After an unanswered renewal, the next lifetime may be there, which counts its ends anew.
        acknowledged = self._acknowledged if self._may_extend else 0
        # An unanswered renewal may have been executed. The lease is not extended again until the
        # server has answered, so that behind a one-way network partition the runs are stopped by
        # the end of their lease.
        self._may_extend = False
        result = await self._client.renew(
            self._token,
            acknowledged,
            until_ms,
            int(wait_s * 1000),
            sent_at + wait_s + ANSWER_TIMEOUT_S,
        )
        now = current_time()
        self._metrics.observe_order("renew", result)
        if isinstance(result, Err):
            await self._handle_renewal_error(result.err_value)
        else:
            self._may_extend = True
            self._backoff_s = INITIAL_BACKOFF_S
            self._handle_report(result.ok_value, sent_at, now)

    def _wait_s(self, now: float) -> float:
        """Return how long a renewal may wait for a run to end, in seconds."""
        if not self._server.run_by_task:
            share = IDLE_RENEWAL_WAIT_SHARE
        elif now < self._lossy_until:
            share = LOSSY_RENEWAL_WAIT_SHARE
        else:
            share = RENEWAL_WAIT_SHARE
        return self._lease_s * share

    def _note_lease_end(self) -> None:
        """Raise the latest lease end known for the server to that of this session.

        It is not lowered, as a lease granted by an earlier owner may end later.
        """
        self._server.lease_ends_at = max(self._server.lease_ends_at, self._lease.ends_at)

    def _handle_report(self, report: ServerReport, sent_at: float, now: float) -> None:
        if not self._server.acquired or self._server.suspect:
            log_event(
                logger,
                logging.INFO,
                "server-regained",
                server=self._server_id,
                runs=len(report.runs),
                token=self._token,
            )
        if self._token_is_new:
            # Orders to the former lifetime may have arrived until now.
            self._token_is_new = False
            self._lease.count_from(now)
            self._note_lease_end()
        if report.born_ms != self._born_ms and report.born_ms:
            if self._born_ms:
                self._handle_restart(report, sent_at, now)
            self._born_ms = report.born_ms
        self._lease.observe_clock(report.clock_ms, sent_at, now)
        new_ends: list[RunEnd] = []
        for end in report.ends:
            if end.sequence > self._acknowledged:
                new_ends.append(end)
        if new_ends:
            self._acknowledged = new_ends[-1].sequence
        self._scheduler.handle_report(self._server_id, report, sent_at, new_ends, now)

    def _handle_restart(self, report: ServerReport, sent_at: float, now: float) -> None:
        log_event(
            logger,
            logging.WARNING,
            "server-restarted",
            server=self._server_id,
            born_ms=report.born_ms,
            was_born_ms=self._born_ms,
        )
        self._acknowledged = 0
        # The new lifetime has seen no token. A higher one lets it refuse the orders that were sent
        # to its predecessor and may still arrive.
        self._use_token(next_token(self._token))
        self._lease.reset_clock()
        self._token_is_new = True
        # The next renewal returns at once. It tells which recently accepted runs have ended.
        self._may_extend = False
        self._scheduler.handle_restart(self._server_id, now, report, sent_at)
        self._lease.count_from(now)
        self._note_lease_end()

    async def _handle_renewal_error(self, error: OrderError) -> None:
        if error.failure is OrderFailure.FENCED:
            await self._handle_fenced(error)
            return
        if not self._server.suspect:
            log_event(
                logger,
                logging.WARNING,
                "server-lost",
                server=self._server_id,
                step=error.step,
                reason=error.reason,
            )
        self._scheduler.handle_unreachable(self._server_id, error.failure, current_time())
        self._lossy_until = current_time() + LOSSY_PERIOD_S
        await anyio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    async def _handle_fenced(self, error: OrderError) -> None:
        self._scheduler.handle_fenced(self._server_id, current_time())
        # Another owner may have been elected legitimately; after the delay, its heartbeats would
        # have ended this one. Raising the token against it would let two owners start tasks of
        # the same job.
        await anyio.sleep(CONTEST_DELAY_S)
        contests = self._may_contest()
        log_event(
            logger,
            logging.WARNING,
            "server-fenced",
            server=self._server_id,
            token=self._token,
            contests=contests,
        )
        if contests:
            self._use_token(raise_token(self._token, self._raise_count))
            self._raise_count += 1
        else:
            self._scheduler.handle_yielded(self._server_id)
            await anyio.sleep(YIELD_RETRY_S)

    def _use_token(self, token: int) -> None:
        self._token = self._server.token = token
        self._note_token(token)

    async def _start(self, run: Run, work: Work) -> None:
        now = current_time()
        # Looked at again, as the process may have been paused since the task was placed.
        limit_at = self._scheduler.lease_limit_at(self._server)
        if limit_at < now + MIN_START_LEASE_SHARE * self._lease_s:
            reason = "the holder has not confirmed a recent heartbeat of this owner"
            error = OrderError("start", self._server_id, reason, OrderFailure.NO_LEASE)
            self._log_start_failure(run, work, Err(error))
            self._scheduler.handle_not_started(run, error.failure, now)
            return
        earliest_ms = self._lease.earliest_clock_ms(now)
        order = StartOrder(
            task=run.task_name,
            number=run.number,
            spec=work.spec,
            lease_until_ms=self._lease.extend(now, limit_at),
            token=self._token,
        )
        self._note_lease_end()
        result = await self._client.start(order, now + ANSWER_TIMEOUT_S)
        answered_at = current_time()
        self._metrics.observe_order("start", result, answered_at - now)
        if isinstance(result, Err):
            self._log_start_failure(run, work, result)
            failure = result.err_value.failure
            if failure is OrderFailure.FENCED and order.token < self._token:
                failure = OrderFailure.OUTDATED
            self._scheduler.handle_not_started(run, failure, answered_at)
        else:
            if result.ok_value < earliest_ms:
                self._lease.count_from(answered_at)
                self._note_lease_end()
            if result.ok_value:
                self._lease.observe_clock(result.ok_value, now, answered_at)
            self._scheduler.handle_started(run, result.ok_value, answered_at)

    async def _stop(self, run: Run) -> None:
        now = current_time()
        born_ms = self._born_ms
        result = await self._client.stop(
            run.task_name, run.number, self._token, now + ANSWER_TIMEOUT_S
        )
        self._metrics.observe_order("stop", result)
        if isinstance(result, Err):
            self._scheduler.handle_not_stopped(run, result.err_value.failure, current_time())
        elif self._born_ms != born_ms:
            # The former lifetime may have confirmed it.
            self._scheduler.handle_not_stopped(run, OrderFailure.NO_ANSWER, current_time())
        else:
            self._scheduler.handle_stopped(run, current_time())

    def _log_start_failure(self, run: Run, work: Work, result: Result[int, OrderError]) -> None:
        error = result.err()
        if error is not None:
            log_event(
                logger,
                logging.WARNING,
                "start-failed",
                job=work.job_id,
                task=run.task_name,
                run=run.number,
                server=run.server_id,
                failure=error.failure.name,
                reason=error.reason,
            )
