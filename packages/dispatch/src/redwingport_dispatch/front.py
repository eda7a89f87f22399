"""HTTP interface for clients, and readiness check for the platform."""

import logging
import re
import traceback
from collections.abc import Awaitable, Callable, MutableMapping, Sequence
from typing import Any, Protocol

import anyio
from result import Err, Ok, Result

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.holder import (
    Holder,
    Job,
    JobEnd,
    Outcome,
    job_identity,
    response_target_s,
)
from redwingport_dispatch.interfaces import Configuration, JobFormat, JobState, Route
from redwingport_dispatch.routes import RouteTable
from redwingport_dispatch.scheduling.admission import TOO_LATE
from redwingport_entry.logs import DECISIONS, ROOT, log_event

JOB_ID = re.compile(r"[0-9a-f]{16}")
# Timeout of a job when neither the client nor the queue sets one.
DEFAULT_TIMEOUT_S = 10.0
# A process without a configuration receives one as soon as it reaches the store or a peer.
NO_CONFIGURATION_RETRY_AFTER_S = 1
STOPPING_RETRY_AFTER_S = 1

logger = logging.getLogger(ROOT)
decisions = logging.getLogger(DECISIONS)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Header = tuple[bytes, bytes]


class ProcessState(Protocol):
    """State of the process as seen by the HTTP interface."""

    @property
    def draining(self) -> bool:
        """Tell whether the process is shutting down."""
        ...

    @property
    def configuration(self) -> Configuration | None:
        """Return the current configuration."""
        ...

    @property
    def routes(self) -> RouteTable:
        """Return the queues of the current configuration."""
        ...

    def is_ready(self) -> bool:
        """Tell whether the process can serve new clients."""
        ...


class Response:
    """Hold an HTTP response.

    :param status: HTTP status.
    :param body: JSON document.
    :param headers: additional headers.
    """

    def __init__(self, status: int, body: bytes = b"{}", headers: Sequence[Header] = ()) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class JobApi:
    """ASGI application that serves the jobs of clients.

    :param state: state of the process.
    :param holder: holder of the jobs.
    :param formats: format of client requests and responses.
    """

    def __init__(self, state: ProcessState, holder: Holder, formats: JobFormat) -> None:
        self._state = state
        self._holder = holder
        self._formats = formats
        self._refuses_jobs = False
        self._open_scopes: set[anyio.CancelScope] = set()

    def refuse_jobs(self) -> None:
        """Refuse all further jobs, because the process ends before they could."""
        self._refuses_jobs = True

    def abandon_jobs(self) -> bool:
        """Stop the open jobs and answer that their outcome is unknown.

        :returns: whether there were any.
        """
        scopes = list(self._open_scopes)
        for scope in scopes:
            scope.cancel()
        return bool(scopes)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; see the ASGI specification."""
        if scope["type"] != "http":
            return
        received_at = current_time()
        body = await self._read_body(receive)
        if isinstance(body, Err):
            response = body.err_value
        else:
            try:
                response = await self._respond(scope, receive, body.ok_value, received_at)
            except Exception as error:
                # Clients repeat a request after a 504, but not after a 500.
                _log_failed(scope, error)
                response = Response(504)
        if response is not None:
            await self._send(send, response)

    async def _read_body(self, receive: Receive) -> Result[bytes, Response | None]:
        """Return the body, or the answer to it: None when the client has disconnected."""
        configuration = self._state.configuration
        limit = configuration.max_body_bytes if configuration is not None else 0
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return Err(None)
            chunk = message.get("body", b"")
            size += len(chunk)
            if limit and size > limit:
                return Err(Response(413))
            chunks.append(chunk)
            if not message.get("more_body"):
                return Ok(b"".join(chunks))

    async def _respond(
        self, scope: Scope, receive: Receive, body: bytes, received_at: float
    ) -> Response | None:
        if self._state.configuration is None:
            return _retry_later(503, NO_CONFIGURATION_RETRY_AFTER_S)
        headers: list[Header] = scope["headers"]
        host = next((value for name, value in headers if name == b"host"), b"").decode("latin-1")
        path: str = scope["path"]
        route = self._state.routes.find(host, path)
        if route is None:
            return Response(404)
        job_id = path[len(route.path_prefix) :]
        method: str = scope["method"]
        if method == "GET" and not job_id:
            count = self._holder.pending_count(route.name)
            return Response(200, self._formats.encode_pending(count))
        if not JOB_ID.fullmatch(job_id):
            return Response(404)
        if method == "POST":
            return await self._run_job(route, job_id, body, headers, receive, received_at)
        if method == "DELETE":
            return self._cancel(route, job_id)
        if method == "GET":
            return self._show(route, job_id)
        return Response(405)

    async def _run_job(
        self,
        route: Route,
        job_id: str,
        body: bytes,
        headers: Sequence[Header],
        receive: Receive,
        received_at: float,
    ) -> Response | None:
        decoded = self._formats.decode_job(body)
        if isinstance(decoded, Err):
            self._log_rejected(job_id, route, decoded.err_value)
            return Response(400)
        request = decoded.ok_value
        if request.unsupported:
            self._log_rejected(job_id, route, f"not supported: {request.unsupported}")
            return Response(503)
        if self._refuses_jobs:
            return _retry_later(503, STOPPING_RETRY_AFTER_S)
        client_timeout_s = self._formats.client_timeout_s(headers) or DEFAULT_TIMEOUT_S
        if route.timeout_s:
            client_timeout_s = min(client_timeout_s, route.timeout_s)
        job = Job(
            job_id=job_id,
            route=route,
            request=request,
            received_at=received_at,
            # An answer after the client's timeout misses the target, however long the tasks take.
            target_at=received_at + min(response_target_s(route, request), client_timeout_s),
            deadline_at=received_at + client_timeout_s,
            identity=job_identity(route.name, body),
        )
        with anyio.CancelScope() as scope:
            self._open_scopes.add(scope)
            try:
                end = await self._run_while_connected(job, receive)
            finally:
                self._open_scopes.discard(scope)
            return self._answer(end) if end is not None else None
        return Response(504)

    async def _run_while_connected(self, job: Job, receive: Receive) -> JobEnd | None:
        """Run a job; return None when the client disconnects.

        The job stops then, unless other requests wait for it.
        """
        end: JobEnd | None = None
        async with anyio.create_task_group() as task_group:

            async def watch_client() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                task_group.cancel_scope.cancel()

            task_group.start_soon(watch_client)
            end = await self._holder.run(job)
            task_group.cancel_scope.cancel()
        return end

    def _answer(self, end: JobEnd) -> Response:
        if end.outcome is Outcome.COMPLETE:
            return Response(200, self._formats.encode_state(JobState.COMPLETE))
        if end.outcome in (Outcome.FAILED, Outcome.CANCELLED):
            # A submission is answered by no other final state. After any other answer, the client
            # would submit the deleted job again.
            return Response(200, self._formats.encode_state(JobState.FAILED))
        if end.outcome is Outcome.REFUSED:
            status = 429 if end.reason == TOO_LATE else 503
            return _retry_later(status, end.retry_after_s)
        return Response(504)

    def _cancel(self, route: Route, job_id: str) -> Response:
        if self._holder.cancel(job_id, route.name):
            return Response(200, self._formats.encode_state(JobState.CANCELLED))
        return Response(410)

    def _show(self, route: Route, job_id: str) -> Response:
        job = self._holder.find(job_id, route.name)
        if job is None:
            return Response(410)
        state = JobState.RUNNING if job.started else JobState.QUEUED
        return Response(200, self._formats.encode_state(state))

    def _log_rejected(self, job_id: str, route: Route, reason: str) -> None:
        log_event(
            decisions, logging.INFO, "job-rejected", job=job_id, queue=route.name, reason=reason
        )

    async def _send(self, send: Send, response: Response) -> None:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(response.body)),
            *response.headers,
        ]
        if self._state.draining:
            # The client opens a new connection for its next request, to another process.
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})


class ReadinessCheck:
    """ASGI application that answers the platform's readiness check.

    :param state: state of the process.
    """

    def __init__(self, state: ProcessState) -> None:
        self._state = state

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; see the ASGI specification."""
        if scope["type"] != "http":
            return
        status = 200 if self._state.is_ready() else 503
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})


def _log_failed(scope: Scope, error: Exception) -> None:
    log_event(
        logger,
        logging.ERROR,
        "request-failed",
        method=scope["method"],
        path=scope["path"],
        traceback="".join(traceback.format_exception(error)),
    )


def _retry_later(status: int, retry_after_s: int) -> Response:
    return Response(status, b"{}", [(b"retry-after", b"%d" % retry_after_s)])
