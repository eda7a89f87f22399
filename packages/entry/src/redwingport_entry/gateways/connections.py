"""Pooled connections to one HTTP server, each run by its own task."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import httpcore
from anyio.abc import TaskGroup

from redwingport_entry.gateways.transport import BatchedStream
from redwingport_entry.logs import ROOT, log_event

IDLE_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0

logger = logging.getLogger(ROOT)

Exchange = Callable[["Connection"], Awaitable[bool]]


class NotWrittenError(Exception):
    """Report that no byte of a request was written, so that it can be sent again."""


class Connection:
    """Hold one HTTP/1.1 connection that is opened on first use.

    :param origin: the server.
    """

    def __init__(self, origin: httpcore.Origin) -> None:
        self._origin = origin
        self._http: httpcore.AsyncHTTP11Connection | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a connection was opened, so that the server may have seen a request."""
        return self._http is not None

    async def request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and read the head of its response.

        :raises NotWrittenError: when connecting failed, so that the server received nothing.
        """
        if self._http is not None and (self._http.is_closed() or self._http.has_expired()):
            await self.aclose()
        if self._http is None:
            self._http = await self._open()
        return await self._http.handle_async_request(request)

    async def aclose(self) -> None:
        """Close the connection; the next request opens a new one."""
        http, self._http = self._http, None
        if http is not None:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await http.aclose()

    async def _open(self) -> httpcore.AsyncHTTP11Connection:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(self._origin.host.decode(), self._origin.port)
        except (OSError, TimeoutError) as error:
            raise NotWrittenError(f"{type(error).__name__}: {error}") from error
        return httpcore.AsyncHTTP11Connection(
            self._origin, BatchedStream(stream), keepalive_expiry=IDLE_TIMEOUT_S * 2
        )


class _IdleConnection:
    """Hold the next exchange for a connection that is idle."""

    def __init__(self) -> None:
        self.exchange: Exchange | None = None
        self.wake = anyio.Event()


class ServerConnections:
    """Open, use and close the connections to one server.

    An exchange returns whether its connection may be reused. A connection whose exchange failed or
    was abandoned is closed, so that a late response cannot be taken for that of another request.

    :param task_group: task group that runs the connections.
    :param host: IP number of the server.
    :param port: port of the server.
    :param limit: maximum number of open connections.
    """

    def __init__(self, task_group: TaskGroup, host: str, port: int, limit: int) -> None:
        self.limit = limit
        self.open = 0
        self.peer = f"{host}:{port}"
        self._task_group = task_group
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._idle: list[_IdleConnection] = []
        self._waiting: deque[Exchange] = deque()
        self._closed = False

    def submit(self, exchange: Exchange) -> None:
        """Run an exchange on an idle connection or a new one, or queue it at the limit.

        :param exchange: coroutine function that is called with the connection.
        """
        if self._idle:
            idle = self._idle.pop()
            idle.exchange = exchange
            idle.wake.set()
        elif self.open < self.limit:
            self.open += 1
            self._task_group.start_soon(self._serve_connection, exchange)
        else:
            self._waiting.append(exchange)

    def close_idle(self) -> None:
        """Close idle connections now, and busy ones after their current exchange."""
        self._closed = True
        for idle in self._idle:
            idle.wake.set()
        self._idle.clear()

    async def _serve_connection(self, first: Exchange) -> None:
        exchange: Exchange | None = first
        connection = Connection(self._origin)
        try:
            while exchange is not None:
                reusable = await _run_guarded(exchange, connection)
                if not reusable:
                    await connection.aclose()
                    # A failed exchange may not have awaited anything, so yield to other tasks.
                    await anyio.lowlevel.checkpoint()
                exchange = await self._next_exchange()
        finally:
            self.open -= 1
            await connection.aclose()
            if self._waiting and not self._closed:
                self.submit(self._waiting.popleft())

    async def _next_exchange(self) -> Exchange | None:
        if self.open > self.limit:
            return None
        if self._waiting:
            return self._waiting.popleft()
        if self._closed:
            return None
        idle = _IdleConnection()
        self._idle.append(idle)
        with anyio.move_on_after(IDLE_TIMEOUT_S):
            await idle.wake.wait()
        if idle.exchange is None and idle in self._idle:
            self._idle.remove(idle)
        return idle.exchange


async def _run_guarded(exchange: Exchange, connection: Connection) -> bool:
    """Run an exchange; an unexpected error closes the connection but is not propagated."""
    try:
        return await exchange(connection)
    except Exception as error:
        log_event(
            logger, logging.ERROR, "exchange-failed", error=f"{type(error).__name__}: {error}"
        )
        return False


async def send_request(
    connection: Connection,
    method: str,
    url: httpcore.URL,
    headers: list[tuple[bytes, bytes]],
    content: bytes,
) -> httpcore.Response:
    """Send one request and read the head of its response.

    There is no timeout; the caller bounds the time of the whole exchange.

    :param connection: connection to send on.
    :param method: HTTP method.
    :param url: address of the resource.
    :param headers: headers beside ``Host`` and ``Content-Length``.
    :param content: the body.
    :returns: the response; the caller reads its body and closes it.
    :raises NotWrittenError: when connecting failed, so that the server received nothing.
    :raises httpcore.NetworkError, httpcore.ProtocolError: when the request may have been written.
    """
    host = url.host if url.port is None else b"%b:%d" % (url.host, url.port)
    request = httpcore.Request(
        method,
        url,
        headers=[(b"host", host), (b"content-length", b"%d" % len(content)), *headers],
        content=content,
    )
    return await connection.request(request)


async def read_body(response: httpcore.Response, limit: int) -> bytes | None:
    """Read the whole body of a response.

    :param response: a response whose body was not read.
    :param limit: maximum size of the body, in bytes.
    :returns: the body, or None when it exceeds the limit.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
