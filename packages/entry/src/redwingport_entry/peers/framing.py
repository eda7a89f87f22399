"""Length-prefixed frames on a byte stream."""

from collections.abc import Sequence

import anyio
from anyio.abc import ByteStream

from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    decode_frame,
    encode_frame,
)

MAX_HANDSHAKE_BYTES = 4096
# Holds about a hundred messages of a busy peer; the largest frames take several reads.
READ_AHEAD_BYTES = 65536


class FrameStream:
    """Send and receive frames on one connection.

    :param stream: the connection.
    :param peer: name or address of the other side, used in errors.
    """

    def __init__(self, stream: ByteStream, peer: str) -> None:
        self.peer = peer
        self._stream = stream
        self._received = bytearray()
        self._send_lock = anyio.Lock()

    async def send(self, message: Frame) -> int:
        """Send one message.

        :returns: size of the frame, in bytes.
        :raises anyio.BrokenResourceError, anyio.ClosedResourceError: when the link is gone.
        """
        data = encode_frame(message)
        async with self._send_lock:
            await self._stream.send(data)
        return len(data)

    async def send_all(self, messages: Sequence[Frame]) -> None:
        """Send several messages in a single write, even when the event loop is busy.

        :raises anyio.BrokenResourceError, anyio.ClosedResourceError: when the link is gone.
        """
        data = b"".join(encode_frame(message) for message in messages)
        async with self._send_lock:
            await self._stream.send(data)

    async def receive(self, max_bytes: int = MAX_FRAME_BYTES) -> Frame:
        """Receive one message.

        :param max_bytes: longest body accepted, in bytes.
        :raises MessageError: when the frame is too long or not a known message.
        :raises anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError: when the link
            is gone.
        """
        length = int.from_bytes(await self._receive_exactly(LENGTH_BYTES), "big")
        if length > max_bytes:
            raise MessageError("receive frame", self.peer, f"{length} bytes exceed {max_bytes}")
        return decode_frame(await self._receive_exactly(length), self.peer)

    async def _receive_exactly(self, count: int) -> bytes:
        """Return the next bytes, buffering whatever else has arrived.

        Reading the length and the body separately would cost two event loop iterations a message.
        """
        while len(self._received) < count:
            try:
                self._received += await self._stream.receive(READ_AHEAD_BYTES)
            except anyio.EndOfStream:
                if not self._received:
                    raise
                raise anyio.IncompleteRead from None
        data = bytes(self._received[:count])
        del self._received[:count]
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await self._stream.aclose()
