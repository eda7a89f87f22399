"""Relay TCP connections with delay, resets or silent loss, to simulate network partitions."""

import math
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from time import monotonic

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

SWALLOW_POLL_S = 0.1
_CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
_Chunk = tuple[float, bytes]


class RelayMode(StrEnum):
    """Define how a relay treats bytes: forward, close the connection, or discard silently."""

    PASS = "pass"
    DROP = "drop"
    SWALLOW = "swallow"


class Relay:
    """Forward connections from a local port to a target.

    :param target_port: port of the target.
    :param target_host: IP address of the target.
    :param delay_s: one-way delay in each direction, in seconds.
    """

    def __init__(
        self, target_port: int, target_host: str = "127.0.0.1", delay_s: float = 0.0
    ) -> None:
        self.delay_s = delay_s
        self.port = 0
        self.mode = RelayMode.PASS
        self._target = (target_host, target_port)
        self._streams: set[SocketStream] = set()

    async def set_mode(self, mode: RelayMode) -> None:
        """Set the mode; ``drop`` also closes all open connections."""
        self.mode = mode
        if mode is RelayMode.DROP:
            for stream in list(self._streams):
                await anyio.aclose_forcefully(stream)

    @asynccontextmanager
    async def serving(self, port: int = 0) -> AsyncIterator[int]:
        """Listen for the duration of the context.

        :param port: port to listen on; 0 for a free one.
        :returns: a context manager that yields the port.
        """
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port, family=socket.AF_INET
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._connection)
            yield self.port
            group.cancel_scope.cancel()

    async def _connection(self, client: SocketStream) -> None:
        if self.mode is RelayMode.DROP:
            await anyio.aclose_forcefully(client)
            return
        async with client:
            try:
                server = await anyio.connect_tcp(*self._target)
            except OSError:
                return
            async with server:
                self._streams |= {client, server}
                try:
                    async with anyio.create_task_group() as group:
                        self._start_direction(group, client, server)
                        self._start_direction(group, server, client)
                finally:
                    self._streams -= {client, server}

    def _start_direction(self, group: TaskGroup, source: SocketStream, sink: SocketStream) -> None:
        send, receive = anyio.create_memory_object_stream[_Chunk](math.inf)
        group.start_soon(self._read, group, source, send)
        group.start_soon(self._write, group, sink, receive)

    async def _read(
        self, group: TaskGroup, source: SocketStream, chunks: MemoryObjectSendStream[_Chunk]
    ) -> None:
        with chunks:
            try:
                async for chunk in source:
                    if self.mode is RelayMode.PASS:
                        chunks.send_nowait((monotonic() + self.delay_s, chunk))
            except _CONNECTION_ERRORS:
                group.cancel_scope.cancel()

    async def _write(
        self, group: TaskGroup, sink: SocketStream, chunks: MemoryObjectReceiveStream[_Chunk]
    ) -> None:
        with chunks:
            try:
                async for due_at, chunk in chunks:
                    await anyio.sleep(max(0.0, due_at - monotonic()))
                    if self.mode is RelayMode.PASS:
                        await sink.send(chunk)
                while self.mode is RelayMode.SWALLOW:
                    await anyio.sleep(SWALLOW_POLL_S)
                await sink.send_eof()
            except (*_CONNECTION_ERRORS, RuntimeError):
                # uvloop raises RuntimeError when the connection is already closed.
                group.cancel_scope.cancel()
