"""Connections that carry the messages between processes, one direction each.

They are protocols of the event loop rather than streams. A process of a large system sends and
receives hundreds of heartbeats a second, and a stream costs several times as much processor time
for each of them: tasks, cancel scopes, locks, and system calls to pause and resume reading.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import cast

import anyio

from redwingport_entry.logs import ROOT, log_event
from redwingport_messages.dispatch import Presence
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    decode_frame,
    encode_frame,
)

# A connection whose peer does not read for this long has failed.
SEND_TIMEOUT_S = 0.5

logger = logging.getLogger(ROOT)


class OutgoingConnection(asyncio.Protocol):
    """Send messages on one connection; whatever the peer sends on it is discarded.

    It is read all the same: otherwise the loss of the connection would show at the next write at
    the earliest, and that write and those before it would be lost without an error.

    :param on_lost: called when the connection is lost.
    """

    def __init__(self, on_lost: Callable[[], None] = lambda: None) -> None:
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._lost = False
        self._error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; see :class:`asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        # Writing is paused as soon as the system does not accept everything.
        self._transport.set_write_buffer_limits(0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Make the current or next call of :meth:`send` fail; see :class:`asyncio.Protocol`."""
        self._lost = True
        self._error = exc
        self._writable.set()
        self._on_lost()

    def pause_writing(self) -> None:
        """Make :meth:`send` wait; see :class:`asyncio.Protocol`."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """End the wait of :meth:`send`; see :class:`asyncio.Protocol`."""
        self._writable.set()

    async def send(self, messages: Iterable[Frame]) -> None:
        """Send messages in a single write; a message that can't be encoded is dropped.

        :raises anyio.BrokenResourceError: when the connection is lost.
        :raises TimeoutError: when the peer does not read.
        """
        assert self._transport is not None
        self.check()
        self._transport.write(b"".join(map(_encode, messages)))
        if not self._writable.is_set():
            with anyio.fail_after(SEND_TIMEOUT_S):
                await self._writable.wait()
            self.check()

    def abort(self) -> None:
        """Close the connection without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def check(self) -> None:
        """Check that the connection is not known to be lost.

        :raises anyio.BrokenResourceError: when it is.
        """
        if self._lost:
            raise anyio.BrokenResourceError from self._error


class IncomingConnection(asyncio.Protocol):
    """Receive messages on one connection; nothing is sent on it.

    :param on_message: called with this connection and each message.
    :param on_end: called once with this connection and the cause when it has ended: an error of
        the link, or an unexpected one that was raised by `on_message`.
    :ivar peer: address of the sender once it is known; used in errors.
    :ivar incarnation: incarnation of the sender; empty until it is known.
    :ivar presence: last presence message of the sender; None before the first.
    """

    def __init__(
        self,
        on_message: Callable[["IncomingConnection", Frame], None],
        on_end: Callable[["IncomingConnection", Exception], None],
    ) -> None:
        self.peer = "incoming"
        self.incarnation = ""
        self.presence: Presence | None = None
        self._on_message = on_message
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; see :class:`asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass on the messages that are complete; see :class:`asyncio.Protocol`."""
        self._received += data
        try:
            self._pass_messages()
        except Exception as error:
            self._end(error)

    def eof_received(self) -> None:
        """End the connection; see :class:`asyncio.Protocol`."""
        self._end(anyio.IncompleteRead() if self._received else anyio.EndOfStream())

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection; see :class:`asyncio.Protocol`."""
        self._end(exc or anyio.EndOfStream())

    def abort(self) -> None:
        """Close the connection without a call of `on_end`."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def _pass_messages(self) -> None:
        received = self._received
        position = 0
        try:
            while not self._ended and len(received) - position >= LENGTH_BYTES:
                body_at = position + LENGTH_BYTES
                length = int.from_bytes(received[position:body_at], "big")
                if length > MAX_FRAME_BYTES:
                    reason = f"{length} bytes exceed {MAX_FRAME_BYTES}"
                    raise MessageError("receive frame", self.peer, reason)
                if len(received) - body_at < length:
                    break
                position = body_at + length
                body = bytes(received[body_at:position])
                self._on_message(self, decode_frame(body, self.peer))
        finally:
            del received[:position]

    def _end(self, error: Exception) -> None:
        if not self._ended:
            self.abort()
            self._on_end(self, error)


def _encode(message: Frame) -> bytes:
    """Return the frame of a message; empty if it can't be encoded."""
    try:
        return encode_frame(message)
    except MessageError as error:
        log_event(logger, logging.ERROR, "message-dropped", reason=str(error))
        return b""
