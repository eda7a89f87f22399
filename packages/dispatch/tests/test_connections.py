"""Connections between processes: framing, and peers that do not read or send garbage."""

import asyncio
from typing import cast

import anyio
import pytest

from redwingport_dispatch import connections
from redwingport_dispatch.connections import IncomingConnection, OutgoingConnection
from redwingport_dispatch.event_loop import RoundUpTimerLoop
from redwingport_messages.dispatch import CancelWork
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import LENGTH_BYTES, MAX_FRAME_BYTES, Frame, encode_frame

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return ("asyncio", {"loop_factory": RoundUpTimerLoop})


class Incoming:
    """An incoming connection without a network, and what it passed on."""

    def __init__(self) -> None:
        self.messages: list[Frame] = []
        self.ends: list[Exception] = []
        self.connection = IncomingConnection(
            lambda connection, message: self.messages.append(message),
            lambda connection, error: self.ends.append(error),
        )


MESSAGES = [CancelWork(number) for number in range(5)]
DATA = b"".join(map(encode_frame, MESSAGES))


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, len(DATA)])
async def test_messages_are_passed_on_however_the_data_is_split(size: int) -> None:
    incoming = Incoming()
    for start in range(0, len(DATA), size):
        incoming.connection.data_received(DATA[start : start + size])
    assert incoming.messages == MESSAGES
    assert incoming.ends == []


async def test_frame_that_is_too_long_ends_the_connection_after_the_messages_before_it() -> None:
    incoming = Incoming()
    too_long = (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
    incoming.connection.data_received(DATA + too_long + DATA)
    incoming.connection.data_received(DATA)
    assert incoming.messages == MESSAGES
    assert [type(end) for end in incoming.ends] == [MessageError]


async def test_invalid_frame_ends_the_connection() -> None:
    incoming = Incoming()
    incoming.connection.data_received(b"\x00\x00\x00\x01\xc1" + DATA)
    assert incoming.messages == []
    assert [type(end) for end in incoming.ends] == [MessageError]


@pytest.mark.parametrize("data, kind", [(DATA, anyio.EndOfStream), (b"\0", anyio.IncompleteRead)])
async def test_end_of_data_is_reported_once(data: bytes, kind: type[Exception]) -> None:
    incoming = Incoming()
    incoming.connection.data_received(data)
    incoming.connection.eof_received()
    incoming.connection.connection_lost(None)
    assert [type(end) for end in incoming.ends] == [kind]


async def connect(peer: asyncio.Protocol) -> tuple[asyncio.Server, OutgoingConnection]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: peer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, connection = await loop.create_connection(OutgoingConnection, "127.0.0.1", port)
    return server, connection


class SilentPeer(asyncio.Protocol):
    """Accept a connection and read nothing."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # The event loop starts to read after this call.
        asyncio.get_running_loop().call_soon(self.transport.pause_reading)


async def test_peer_that_does_not_read_fails_the_send(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "SEND_TIMEOUT_S", 0.05)
    server, connection = await connect(SilentPeer())
    messages = [CancelWork(number) for number in range(20_000)]
    with anyio.fail_after(30), pytest.raises(TimeoutError):
        while True:
            await connection.send(messages)
    connection.abort()
    server.close()


async def test_send_on_a_connection_that_the_peer_has_reset_fails() -> None:
    peer = SilentPeer()
    server, connection = await connect(peer)
    await connection.send(MESSAGES)
    peer.transport.abort()
    with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
        while True:
            await anyio.sleep(0.01)
            await connection.send(MESSAGES)
    connection.abort()
    server.close()
