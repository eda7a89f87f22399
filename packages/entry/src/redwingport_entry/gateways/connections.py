"""Connections to one HTTP server, each owned by one task."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import httpcore
from anyio.abc import TaskGroup

from redwingport_entry.logs import ROOT, log_event

IDLE_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0

logger = logging.getLogger(ROOT)

Exchange = Callable[[httpcore.AsyncHTTPConnection], Awaitable[bool]]


class NotWrittenError(Exception):
    """Report that a request failed before its first byte was written."""


class _IdleConnection:
    """Hold the next exchange of a connection that waits for one."""

    def __init__(self) -> None:
        self.exchange: Exchange | None = None
        self.wake = anyio.Event()


class ServerConnections:
    """Open, use and close the connections to one server.

    An exchange returns whether its connection may be used again. A connection whose exchange was
    abandoned or failed is closed, so that a late answer cannot reach another request.

    :param task_group: task group that owns the connection tasks.
    :param host: IP number of the server.
    :param port: port of the server.
    :param limit: most connections open at once.
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
        """Run an exchange on an idle connection, on a new one, or when one becomes idle.

        :param exchange: coroutine function that gets the connection.
        """
        if self._idle:
            idle = self._idle.pop()
            idle.exchange = exchange
            idle.wake.set()
        elif self.open < self.limit:
            self.open += 1
            self._task_group.start_soon(self._own_connection, exchange)
        else:
            self._waiting.append(exchange)

    def close_idle(self) -> None:
        """Close idle connections, and the busy ones after their exchange."""
        self._closed = True
        for idle in self._idle:
            idle.wake.set()
        self._idle.clear()

    async def _own_connection(self, first: Exchange) -> None:
        exchange: Exchange | None = first
        connection = self._connect()
        try:
            while exchange is not None:
                if connection.is_closed() or connection.has_expired():
                    await connection.aclose()
                    connection = self._connect()
                reusable = await _run_guarded(exchange, connection)
                if not reusable:
                    await connection.aclose()
                exchange = await self._next_exchange()
        finally:
            self.open -= 1
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
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

    def _connect(self) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(self._origin, keepalive_expiry=IDLE_TIMEOUT_S * 2)


async def _run_guarded(exchange: Exchange, connection: httpcore.AsyncHTTPConnection) -> bool:
    """Run an exchange; an unexpected error costs its connection, not the process."""
    try:
        return await exchange(connection)
    except Exception as error:
        log_event(
            logger, logging.ERROR, "exchange-failed", error=f"{type(error).__name__}: {error}"
        )
        return False


async def send_request(
    connection: httpcore.AsyncHTTPConnection,
    method: str,
    url: httpcore.URL,
    headers: list[tuple[bytes, bytes]],
    content: bytes,
    read_timeout_s: float,
) -> httpcore.Response:
    """Send one request and read the head of its response.

    :param read_timeout_s: longest silence while waiting for bytes, in seconds.
    :returns: the response, whose body the caller reads and closes.
    :raises NotWrittenError: when connecting failed, so that the server saw nothing.
    :raises httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError: when the
        request may have been written.
    """
    host = url.host if url.port is None else b"%b:%d" % (url.host, url.port)
    request = httpcore.Request(
        method,
        url,
        headers=[(b"host", host), (b"content-length", b"%d" % len(content)), *headers],
        content=content,
        extensions={
            "timeout": {
                "connect": CONNECT_TIMEOUT_S,
                "read": read_timeout_s,
                "write": read_timeout_s,
            }
        },
    )
    try:
        return await connection.handle_async_request(request)
    except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.ConnectionNotAvailable) as e:
        raise NotWrittenError(f"{type(e).__name__}: {e}") from e


async def read_body(response: httpcore.Response, limit: int) -> bytes | None:
    """Read the whole body of a response.

    :param limit: most bytes to read.
    :returns: the body, or None when it is longer.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
