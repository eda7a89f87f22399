"""Queueing, routing and exchange of the requests of one service with its executors."""

import logging
from dataclasses import dataclass, field

import anyio
import httpcore
from result import Err, Ok, Result

from redwingport_entry.gateways.connections import (
    Connection,
    NotWrittenError,
    read_body,
    send_request,
)
from redwingport_entry.gateways.pool import ServerPool, decision_logger
from redwingport_entry.gateways.servers import Server
from redwingport_entry.logs import log_event
from redwingport_messages.backend import (
    HEADER_ATTEMPT,
    HEADER_LOAD,
    HEADER_OUTCOME,
    HEADER_SUBMISSION,
    HEADER_TASK,
    parse_load,
)
from redwingport_messages.outcomes import Answer, Outcome
from redwingport_messages.submissions import Submission
from redwingport_policy.base import Work
from redwingport_policy.estimates import RunTimes, learn_slowness, observe_load
from redwingport_policy.fair_queue import FairQueue

DISPATCH_INTERVAL_S = 0.05
MAX_ANSWER_BYTES = 12 * 1024 * 1024
# HTTP defines no higher status codes, and the HTTP server cannot send them.
MAX_STATUS = 599
LOST_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(slots=True)
class Waiter:
    """Hold one request that waits for an executor.

    :param team: team whose quota the request is charged to.
    :param deadline: monotonic time by which the caller needs the answer.
    :param run_s: expected run time on an executor of average speed, in seconds.
    :param server: the executor, once chosen.
    :param ticket: position in the queue.
    :param chosen: set when an executor was chosen.
    """

    team: str
    deadline: float
    run_s: float
    server: Server | None = None
    ticket: int = -1
    chosen: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt of a request.

    :param submission_id: the submission id.
    :param submission: the request.
    :param number: number of earlier attempts.
    :param run_s: expected run time, in seconds.
    """

    submission_id: str
    submission: Submission
    number: int
    run_s: float


@dataclass(frozen=True, slots=True)
class NotSent:
    """Report that the executor did not receive the request, or refused to run it.

    :param server: the executor.
    :param reason: what happened.
    """

    server: str
    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Report that the request may have run, but no usable answer arrived.

    :param server: the executor.
    :param reason: what happened.
    """

    server: str
    reason: str


class ExecutorPool(ServerPool):
    """Queue the requests of one service, choose executors and exchange messages with them."""

    def prepare(self, service: str) -> None:
        """Set the service and create its queue.

        :param service: name of the service.
        """
        self.service = service
        self.run_times = RunTimes()
        self.queue: FairQueue[Waiter] = FairQueue(dict(self.settings.quotas))

    def expected_wait_s(self, run_s: float) -> float:
        """Estimate how long a new request waits in the queue, in seconds.

        :param run_s: expected run time of the request, in seconds; not used.
        """
        speed = self.available_speed()
        return self.queue.run_s / speed if speed else 0.0

    async def acquire(self, waiter: Waiter) -> Result[Server, str]:
        """Queue a request and wait until an executor is chosen for it.

        :param waiter: the request.
        :returns: the executor with one slot reserved, or why none was chosen in time.
        """
        waiter.ticket = self.queue.push(waiter)
        self.dispatch()
        if waiter.server is None:
            with anyio.move_on_at(waiter.deadline):
                await waiter.chosen.wait()
        if waiter.server is None:
            self.queue.remove(waiter.ticket, waiter)
            if not self.server_by_id:
                return Err("no executor is listed")
            return Err("no executor was free before the deadline")
        return Ok(waiter.server)

    async def run(self) -> None:
        """Dispatch on a timer, because reported load decays without any event."""
        while True:
            await anyio.sleep(DISPATCH_INTERVAL_S)
            self.normalize()
            if self.queue.length:
                self.dispatch()
            self.metrics.queued.labels(f"executor:{self.service}").set(self.queue.length)

    def dispatch(self) -> None:
        """Assign queued requests to executors, in the order of the queue."""
        now = self.clock()
        while (head := self.queue.peek()) is not None:
            _, waiter = head
            views = [
                s.view for s in self.usable_servers(now) if s.view.own_active < s.connections.limit
            ]
            server = self.choose(views, Work(waiter.run_s, self.queue.length, now, True))
            if server is None:
                return
            self.queue.take(waiter)
            server.view.own_active += 1
            waiter.server = server
            waiter.chosen.set()

    async def exchange(self, server: Server, attempt: Attempt) -> Answer | NotSent | Lost:
        """Send one attempt to the executor that :meth:`acquire` returned, and free its slot.

        :param server: the executor.
        :param attempt: the attempt.
        :returns: the executor's answer, or whether the request may have run when there is none.
        """
        done = anyio.Event()
        outcome: Answer | NotSent | Lost = NotSent(server.info.vm, "not attempted")

        async def run(connection: Connection) -> bool:
            nonlocal outcome
            outcome = Lost(server.info.vm, "the exchange failed")
            try:
                outcome = await self._send(connection, server, attempt)
            finally:
                done.set()
            return isinstance(outcome, Answer)

        server.connections.submit(run)
        try:
            await done.wait()
        finally:
            server.view.own_active -= 1
        if isinstance(outcome, Lost):
            self.count_end(server, False)
        self.dispatch()
        return outcome

    async def _send(
        self, connection: Connection, server: Server, attempt: Attempt
    ) -> Answer | NotSent | Lost:
        submission = attempt.submission
        vm = server.info.vm
        now = self.clock()
        remaining_s = submission.deadline - now
        if remaining_s <= 0 or server.view.leaving:
            return NotSent(
                vm, "the executor is leaving" if server.view.leaving else "the deadline passed"
            )
        key = (attempt.submission_id, attempt.number)
        server.view.started_at_by_task[key] = now
        try:
            with anyio.fail_after(remaining_s):
                return await self._exchange(connection, server, attempt)
        except NotWrittenError as error:
            self.count_unreachable(server)
            return NotSent(vm, str(error))
        except LOST_ERRORS as error:
            return Lost(vm, f"{type(error).__name__}: {error}")
        except TimeoutError:
            return Lost(vm, "no answer before the deadline")
        finally:
            server.view.started_at_by_task.pop(key, None)

    async def _exchange(
        self,
        connection: Connection,
        server: Server,
        attempt: Attempt,
    ) -> Answer | NotSent | Lost:
        submission = attempt.submission
        headers = [
            (b"content-type", submission.content_type.encode("latin-1", "replace")),
            (HEADER_SUBMISSION.encode(), attempt.submission_id.encode()),
            (HEADER_TASK.encode(), b"0"),
            (HEADER_ATTEMPT.encode(), b"%d" % attempt.number),
        ]
        self.metrics.messages.labels("request").inc()
        started_at = self.clock()
        response = await send_request(
            connection,
            "POST",
            server.url(f"/operations/{submission.operation}"),
            headers,
            submission.body,
        )
        try:
            body = await read_body(response, MAX_ANSWER_BYTES)
        finally:
            await response.aclose()
        self.metrics.messages.labels("request-answer").inc()
        if body is None:
            return Lost(server.info.vm, f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        if response.status > MAX_STATUS:
            return Lost(server.info.vm, f"the answer has the invalid status {response.status}")
        fields = {
            name.lower().decode(): value.decode("latin-1") for name, value in response.headers
        }
        if not _echoes_attempt(fields, attempt):
            return Lost(server.info.vm, "the answer names another request")
        self._apply_load(server, fields.get(HEADER_LOAD.lower(), ""))
        if fields.get(HEADER_OUTCOME.lower()) == Outcome.NOT_RUN:
            return NotSent(server.info.vm, "refused by the executor")
        self.metrics.starts.labels("executor").inc()
        self._learn(server, attempt, response.status, self.clock() - started_at)
        outcome = Outcome.COMPLETE if response.status < 500 else Outcome.FAILED
        content_type = fields.get("content-type", "application/octet-stream")
        return Answer(outcome, response.status, content_type, body)

    def _learn(self, server: Server, attempt: Attempt, status: int, run_s: float) -> None:
        succeeded = status < 500
        self.count_end(server, succeeded)
        if succeeded:
            learn_slowness(server.view, attempt.run_s, run_s)
            operation = attempt.submission.operation
            # Requests declare no run time, so the mean run time of the operation is learned.
            self.run_times.learn(operation, 1.0, run_s * 1000.0 / server.view.slowness)

    def _apply_load(self, server: Server, text: str) -> None:
        parsed = parse_load(text)
        if isinstance(parsed, Err):
            return
        load = parsed.ok_value
        view = server.view
        view.slots = load.slots
        # own_active still counts the request whose answer carries this load.
        others = max(0.0, load.active + load.queued - (view.own_active - 1))
        observe_load(view, others, self.clock())
        view.leaving = view.leaving or load.leaving
        self.report_leaving(server)


def _echoes_attempt(fields: dict[str, str], attempt: Attempt) -> bool:
    return (
        fields.get(HEADER_SUBMISSION.lower()) == attempt.submission_id
        and fields.get(HEADER_TASK.lower()) == "0"
        and fields.get(HEADER_ATTEMPT.lower()) == str(attempt.number)
    )


def log_route(
    service: str, attempt: Attempt, server: Server, chooser: str, candidates: int, queued: int
) -> None:
    """Log one routing decision.

    :param service: name of the service.
    :param attempt: the attempt that is routed.
    :param server: the chosen executor.
    :param chooser: name of the policy that chose it.
    :param candidates: number of executors known.
    :param queued: length of the queue.
    """
    log_event(
        decision_logger,
        logging.INFO,
        "route",
        submission=attempt.submission_id,
        service=service,
        operation=attempt.submission.operation,
        server=server.info.vm,
        attempt=attempt.number,
        reason=chooser,
        candidates=candidates,
        queued=queued,
    )
