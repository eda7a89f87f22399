"""Network stream that batches the writes of httpcore."""

import select
import ssl
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

FLUSH_BYTES = 65536


class BatchedStream(httpcore.AsyncNetworkStream):
    """Buffer what httpcore writes, and send it before the next read or when the buffer is full.

    httpcore writes head and body separately and opens a cancel scope around each write and read.
    Both cost CPU time on every exchange. The timeouts that httpcore passes are ignored, because
    the caller bounds the whole exchange by its deadline.

    :param stream: the TCP connection.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._pending = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Flush the buffer and read; see :class:`httpcore.AsyncNetworkStream`."""
        if self._pending:
            await self._flush()
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Append bytes to the buffer; see :class:`httpcore.AsyncNetworkStream`."""
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
        """Reject TLS: backend servers and the platform are reached over plain HTTP."""
        raise NotImplementedError("TLS is not supported for connections to backend servers")

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection; see :class:`httpcore.AsyncNetworkStream`."""
        if info == "is_readable":
            return self._is_readable()
        return None

    def _is_readable(self) -> bool:
        """Return whether an idle connection is readable, which means that the server closed it."""
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
