"""The network stream under an HTTP connection, for httpcore."""

import select
import ssl
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

FLUSH_BYTES = 65536


class BatchedStream(httpcore.AsyncNetworkStream):
    """Send what httpcore writes in one piece, when it first reads or a buffer is full.

    httpcore writes head and body separately and opens a cancel scope around each write and read.
    Both cost processor time on every exchange. The timeouts that httpcore passes are not used:
    the caller bounds the whole exchange by its deadline.

    :param stream: the TCP connection.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._pending = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what is pending and read; see :class:`httpcore.AsyncNetworkStream`."""
        if self._pending:
            await self._flush()
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep bytes to be sent; see :class:`httpcore.AsyncNetworkStream`."""
        self._pending += buffer
        if len(self._pending) >= FLUSH_BYTES:
            await self._flush()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse TLS: backend servers and platform are reached over plain HTTP."""
        raise NotImplementedError("TLS is not offered towards backend servers")

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection; see :class:`httpcore.AsyncNetworkStream`."""
        if info == "is_readable":
            return self._is_readable()
        return None

    def _is_readable(self) -> bool:
        """Tell whether an idle connection has something to read, which means its end."""
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _flush(self) -> None:
        data = bytes(self._pending)
        self._pending.clear()
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error
